//! What goes wrong while a workspace is served.

/// A day's fault, from second 10 on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// Nothing; nine in ten of the requests reach one entry, at half of the quota.
    Skewed,
    /// Nothing; four times the quota, evenly.
    Hot,
    /// A third of the entries hears nobody and is not heard, for 6 s, at four times
    /// the quota.
    Cut,
    /// A third is suspended for 3 s and goes on, at four times the quota.
    Frozen,
    /// Half are killed at one moment and start again 2 s later, twice, at four times
    /// the quota.
    Herds,
    /// One after the other is stopped and starts again after a second, at half of the
    /// quota.
    Rolling,
    /// The entry that the others rely on most is killed for 4 s, at half of the quota.
    Keeper,
}

impl Fault {
    pub const ALL: [Self; 7] = [
        Self::Skewed,
        Self::Hot,
        Self::Cut,
        Self::Frozen,
        Self::Herds,
        Self::Rolling,
        Self::Keeper,
    ];

    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Skewed => "skewed",
            Self::Hot => "hot",
            Self::Cut => "cut",
            Self::Frozen => "frozen",
            Self::Herds => "herds",
            Self::Rolling => "rolling",
            Self::Keeper => "keeper",
        }
    }

    /// What is asked for, as a multiple of the quota.
    pub const fn demand(self) -> f64 {
        match self {
            Self::Skewed | Self::Rolling | Self::Keeper => 0.5,
            Self::Hot | Self::Cut | Self::Frozen | Self::Herds => 4.0,
        }
    }
}
