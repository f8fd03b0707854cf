//! Faults during a simulated run.

/// A fault, or an uneven or high load, from second 10 of a run on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// No fault. Nine in ten requests reach one entry; load of half the quota.
    Skewed,
    /// No fault. Evenly distributed load of four times the quota.
    Hot,
    /// A third of the entries can't exchange messages for 6 s; load of four times the
    /// quota.
    Cut,
    /// A third of the entries is suspended for 3 s; load of four times the quota.
    Frozen,
    /// Half of the entries are killed at the same time and restart 2 s later, repeated
    /// every 5 s; load of four times the quota.
    Herds,
    /// The entries are stopped one after the other, each for a second; load of half the
    /// quota.
    Rolling,
    /// The entry on which the others rely most is down for 4 s; load of half the quota.
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

    /// Load, as a multiple of the quota.
    pub const fn demand(self) -> f64 {
        match self {
            Self::Skewed | Self::Rolling | Self::Keeper => 0.5,
            Self::Hot | Self::Cut | Self::Frozen | Self::Herds => 4.0,
        }
    }
}
