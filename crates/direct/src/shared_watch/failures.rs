//! What an entry does after watches of its own failed.

/// Number of watches in a row without an answer after which another call tells whether the
/// platform answers at all. Fewer cost a platform in trouble more calls; more delay the
/// list on a platform whose watches alone fail.
const UNANSWERED_MAX: u32 = 4;

/// Number of watches without an answer, after another call was answered, that show that
/// watches alone fail. One may have been sent before the platform returned.
const UNANSWERED_ALONE_MAX: u32 = 2;

/// What to do after a watch that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterFailure {
    /// Watch again from the same version.
    Watch,
    /// Find out by another call whether the platform answers, then watch again.
    Probe,
    /// Get the state from another entry, or list it.
    Resync,
}

/// Watches of an entry's own that failed in a row.
///
/// A platform that doesn't answer has not dropped its history yet. The watch after its
/// return either goes on from what is known, at the cost of the changes alone, or says
/// that the history is gone. Only from then on do entries wait for one another's lists.
/// If they waited while the platform is away, their waits would run out, and all of them
/// would list when it is back.
#[derive(Debug, Clone, Copy, Default)]
pub struct WatchFailures {
    unanswered: u32,
    others_are_answered: bool,
}

impl WatchFailures {
    /// Creates a state without failures.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a watch that succeeded.
    pub fn on_answered(&mut self) {
        *self = Self::default();
    }

    /// Records a watch that got no answer.
    pub const fn on_unanswered(&mut self) -> AfterFailure {
        self.unanswered += 1;
        if self.others_are_answered && self.unanswered >= UNANSWERED_ALONE_MAX {
            AfterFailure::Resync
        } else if !self.others_are_answered && self.unanswered >= UNANSWERED_MAX {
            AfterFailure::Probe
        } else {
            AfterFailure::Watch
        }
    }

    /// Records whether the call that was made to find out was answered.
    pub const fn on_probed(&mut self, is_answered: bool) {
        self.unanswered = 0;
        self.others_are_answered = is_answered;
    }
}
