//! Fits costs against sizes and extrapolates them.

/// One measurement.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Sample {
    /// Number of things that the cost grows with.
    pub size: f64,
    /// The cost, in the unit of its series.
    pub cost: f64,
}

/// How a series is extrapolated beyond its largest size.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Growth {
    /// A power of the size, with the exponent of the last three samples. Fixed
    /// costs flatten the curve at small sizes, so an exponent over all samples
    /// would underestimate the cost.
    #[default]
    PowerLaw,
    /// A straight line through all samples, for memory and bytes, whose fixed
    /// part is large.
    Linear,
}

/// A straight line.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Line {
    /// Value at size 0.
    pub intercept: f64,
    /// Increase per unit of size.
    pub slope: f64,
}

/// Samples of one cost at several sizes.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Series {
    /// What was measured.
    pub name: &'static str,
    /// What the size counts.
    pub size_of: &'static str,
    /// Unit of the cost.
    pub unit: &'static str,
    /// How to extrapolate beyond the largest size.
    pub growth: Growth,
    /// Samples in order of size.
    pub samples: Vec<Sample>,
}

/// Number of samples at the end of a series that determine the exponent for
/// extrapolation.
const TAIL_SAMPLES: usize = 3;

/// Least-squares line through samples; `None` if there are fewer than two
/// different sizes.
pub fn fit_line(samples: &[Sample]) -> Option<Line> {
    let count = samples.len() as f64;
    let mean = |of: fn(&Sample) -> f64| samples.iter().map(of).sum::<f64>() / count;
    let (size, cost) = (mean(|s| s.size), mean(|s| s.cost));
    let size_variance: f64 = samples.iter().map(|s| (s.size - size).powi(2)).sum();
    if samples.len() < 2 || size_variance <= 0.0 {
        return None;
    }
    let covariance = samples.iter().map(|s| (s.size - size) * (s.cost - cost));
    let slope = covariance.sum::<f64>() / size_variance;
    Some(Line {
        intercept: cost - slope * size,
        slope,
    })
}

/// Exponent of the power law that fits best on logarithmic axes; 0 if none can
/// be fitted.
pub fn exponent(samples: &[Sample]) -> f64 {
    let log_samples: Vec<Sample> = samples
        .iter()
        .filter(|s| s.size > 0.0 && s.cost > 0.0)
        .map(|s| Sample {
            size: s.size.ln(),
            cost: s.cost.ln(),
        })
        .collect();
    fit_line(&log_samples).map_or(0.0, |line| line.slope)
}

impl Series {
    /// Exponent of all samples.
    pub fn exponent(&self) -> f64 {
        exponent(&self.samples)
    }

    /// Exponent of the samples with the largest sizes.
    pub fn tail_exponent(&self) -> f64 {
        exponent(&self.samples[self.samples.len().saturating_sub(TAIL_SAMPLES)..])
    }

    /// Cost per item: the slope of a linear series, otherwise the cost at the
    /// largest size divided by that size.
    pub fn cost_per_item(&self) -> f64 {
        match self.growth {
            Growth::Linear => fit_line(&self.samples).map_or(0.0, |line| line.slope),
            Growth::PowerLaw => self.largest().map_or(0.0, |s| s.cost / s.size),
        }
    }

    /// Cost at a size, interpolated or extrapolated.
    pub fn cost_at(&self, size: f64) -> f64 {
        if let Growth::Linear = self.growth {
            return fit_line(&self.samples)
                .map_or(0.0, |l| l.intercept + l.slope * size);
        }
        let Some(largest) = self.largest() else {
            return 0.0;
        };
        if size >= largest.size {
            let exponent = self.tail_exponent().max(0.0);
            return largest.cost * (size / largest.size).powf(exponent);
        }
        self.interpolate(size)
    }

    /// Interpolates within the measured range, on logarithmic axes.
    fn interpolate(&self, size: f64) -> f64 {
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
