//! Fits of a cost against a size.

/// One measurement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// What the cost grows with.
    pub size: f64,
    /// The cost, in the unit of its series.
    pub cost: f64,
}

/// How a series is carried on beyond its largest size.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Growth {
    /// A power of the size, by the exponent over the last three samples: fixed
    /// costs flatten the small sizes, and an exponent over all would promise
    /// too little.
    #[default]
    Power,
    /// A straight line through all samples, for memory and bytes, whose fixed
    /// part is not small.
    Line,
}

/// A straight line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Value at zero.
    pub start: f64,
    /// Growth for each step of size.
    pub slope: f64,
}

/// Samples of one quantity.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Series {
    /// What was measured.
    pub name: &'static str,
    /// What the size counts.
    pub size_of: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// How to go on beyond the largest size.
    pub growth: Growth,
    /// Samples in order of size.
    pub samples: Vec<Sample>,
}

/// Samples at the end of a series that give the exponent beyond it.
const TAIL: usize = 3;

/// Least squares line through samples; `None` without two different sizes.
pub fn line(samples: &[Sample]) -> Option<Line> {
    let count = samples.len() as f64;
    let mean = |of: fn(&Sample) -> f64| samples.iter().map(of).sum::<f64>() / count;
    let (size, cost) = (mean(|s| s.size), mean(|s| s.cost));
    let spread: f64 = samples.iter().map(|s| (s.size - size).powi(2)).sum();
    if samples.len() < 2 || spread <= 0.0 {
        return None;
    }
    let along = samples.iter().map(|s| (s.size - size) * (s.cost - cost));
    let slope = along.sum::<f64>() / spread;
    Some(Line {
        start: cost - slope * size,
        slope,
    })
}

/// Exponent of the power of the size that fits best on logarithmic axes; 0
/// where none can be fitted.
pub fn exponent(samples: &[Sample]) -> f64 {
    let logs: Vec<Sample> = samples
        .iter()
        .filter(|s| s.size > 0.0 && s.cost > 0.0)
        .map(|s| Sample {
            size: s.size.ln(),
            cost: s.cost.ln(),
        })
        .collect();
    line(&logs).map_or(0.0, |line| line.slope)
}

impl Series {
    /// Exponent over all samples.
    pub fn exponent(&self) -> f64 {
        exponent(&self.samples)
    }

    /// Exponent over the largest samples.
    pub fn tail_exponent(&self) -> f64 {
        exponent(&self.samples[self.samples.len().saturating_sub(TAIL)..])
    }

    /// Cost of one item at the largest size; for a line its slope.
    pub fn per_item(&self) -> f64 {
        match self.growth {
            Growth::Line => line(&self.samples).map_or(0.0, |line| line.slope),
            Growth::Power => self.largest().map_or(0.0, |s| s.cost / s.size),
        }
    }

    /// Cost at a size, measured or carried on.
    pub fn at(&self, size: f64) -> f64 {
        if let Growth::Line = self.growth {
            return line(&self.samples).map_or(0.0, |l| l.start + l.slope * size);
        }
        let Some(largest) = self.largest() else {
            return 0.0;
        };
        if size >= largest.size {
            let exponent = self.tail_exponent().max(0.0);
            return largest.cost * (size / largest.size).powf(exponent);
        }
        self.between(size)
    }

    /// Cost at a size within the range, on logarithmic axes.
    fn between(&self, size: f64) -> f64 {
        let pairs = self.samples.windows(2);
        let mut pairs = pairs.filter(|pair| size <= pair[1].size);
        match pairs.next() {
            Some([below, above]) if size > below.size => {
                let power = exponent(&[*below, *above]);
                below.cost * (size / below.size).powf(power)
            }
            _ => self.samples.first().map_or(0.0, |first| first.cost),
        }
    }

    fn largest(&self) -> Option<Sample> {
        self.samples.last().copied()
    }
}
