//! Numbered result codes.

use std::fmt;

/// What is known about whether a request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// It provably was not run and never will be.
    NotRun,
    /// It was handed to an upstream.
    Ran,
    /// Neither can be shown.
    Unknown,
}

impl RunStatus {
    /// The word used towards callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }

    /// The number used on links.
    pub const fn number(self) -> u32 {
        match self {
            Self::NotRun => 0,
            Self::Ran => 1,
            Self::Unknown => 2,
        }
    }

    /// Reads the number used on links; an unknown number shows nothing.
    pub const fn from_number(number: u32) -> Self {
        match number {
            0 => Self::NotRun,
            1 => Self::Ran,
            _ => Self::Unknown,
        }
    }
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal, $status:literal;)*) => {
        /// A numbered result code.
        ///
        /// 1xxx blame the request, 2xxx are refusals under load, 3xxx are faults
        /// of upstreams, 4xxx of the platform, 5xxx of settings and operators'
        /// commands. `docs/errors.md` tells what to do about each.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ErrorCode {
            $($(#[$doc])* $name,)*
        }

        impl ErrorCode {
            /// Every code, in order of number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// The code's number.
            pub const fn number(self) -> u32 {
                match self {
                    $(Self::$name => $number,)*
                }
            }

            /// The code's name.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// HTTP status with which callers are told.
            pub const fn http_status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }

            /// Finds a code by its number.
            pub fn from_number(number: u32) -> Option<Self> {
                Self::ALL.iter().copied().find(|code| code.number() == number)
            }
        }
    };
}

codes! {
    /// The request's body or headers can't be read.
    BadRequest = 1001, "bad_request", 400;
    /// No caller has the key that the request carries.
    UnknownCaller = 1002, "unknown_caller", 401;
    /// No such profile, or it does not name the model or service.
    UnknownProfile = 1003, "unknown_profile", 400;
    /// No such model or adapter.
    UnknownModel = 1004, "unknown_model", 404;
    /// No such plain service.
    UnknownService = 1005, "unknown_service", 404;
    /// The body is larger than the limit.
    BodyTooLarge = 1006, "body_too_large", 413;
    /// The key was used before with another body.
    KeyReused = 1007, "key_reused", 422;
    /// No such path or method.
    UnknownPath = 1008, "unknown_path", 404;
    /// A non-idempotent call came without an idempotency key where one is
    /// needed.
    KeyMissing = 1009, "key_missing", 400;
    /// The deadline header can't be read or has passed.
    BadDeadline = 1010, "bad_deadline", 400;
    /// The expectation can't be met under the present load.
    Overloaded = 2001, "overloaded", 503;
    /// The entry holds as many waiting requests as it may.
    QueueFull = 2002, "queue_full", 503;
    /// The caller has as many requests in progress as it may.
    CallerLimit = 2003, "caller_limit", 429;
    /// The process is stopping.
    Leaving = 2004, "leaving", 503;
    /// The model is not loaded and can't be in time.
    ModelUnavailable = 2005, "model_unavailable", 503;
    /// The deadline passed before the request was run.
    DeadlineBeforeRun = 2006, "deadline_before_run", 504;
    /// The request crashed upstreams and is not run again for now.
    RequestCrashedUpstreams = 2007, "request_crashed_upstreams", 422;
    /// The same key is being run by another request.
    KeyInProgress = 2008, "key_in_progress", 409;
    /// The agent was addressed by an old incarnation.
    WrongIncarnation = 2009, "wrong_incarnation", 503;
    /// The agent's gate is full.
    GateFull = 2010, "gate_full", 503;
    /// The attempt was revoked before it started.
    Revoked = 2011, "revoked", 503;
    /// The agent's upstream does not hold the model.
    NotHeld = 2012, "not_held", 503;
    /// The process has no configuration yet.
    NotReady = 2013, "not_ready", 503;
    /// The workspace has used what it may.
    QuotaSpent = 2014, "quota_spent", 429;
    /// Nobody could say whether the workspace has something left.
    QuotaUnknown = 2015, "quota_unknown", 503;
    /// The upstream died with the request in flight.
    UpstreamLost = 3001, "upstream_lost", 502;
    /// The upstream refused or broke its protocol.
    UpstreamFault = 3002, "upstream_fault", 502;
    /// The deadline passed while the request ran.
    DeadlineWhileRunning = 3003, "deadline_while_running", 504;
    /// The answer broke off and could not be continued.
    AnswerBroken = 3004, "answer_broken", 502;
    /// The call ran before; whether it took effect is not known.
    OutcomeUnknown = 3005, "outcome_unknown", 502;
    /// The platform can't be reached, and the request needs it.
    PlatformAway = 4001, "platform_away", 503;
    /// A conditional write found another version.
    Conflict = 4002, "conflict", 409;
    /// A write got no answer and its effect is not known.
    WriteUnanswered = 4003, "write_unanswered", 502;
    /// The document is not JSON with comments.
    BadSyntax = 5001, "bad_syntax", 400;
    /// No such key in the schema.
    UnknownKey = 5002, "unknown_key", 400;
    /// The value has the wrong type.
    WrongType = 5003, "wrong_type", 400;
    /// The key has the name of a known one with another unit.
    WrongUnit = 5004, "wrong_unit", 400;
    /// The name stands twice.
    DuplicateName = 5005, "duplicate_name", 400;
    /// Something named does not exist.
    MissingReference = 5006, "missing_reference", 400;
    /// The model is larger than any accelerator it may use.
    ModelTooLarge = 5007, "model_too_large", 400;
    /// The value is outside its range.
    OutOfRange = 5008, "out_of_range", 400;
    /// A needed key is missing.
    MissingKey = 5009, "missing_key", 400;
    /// A file can't be read or written.
    FileFault = 5010, "file_fault", 500;
    /// An address can't be read or bound.
    BadAddress = 5011, "bad_address", 500;
    /// A process could not be reached.
    Unreachable = 5012, "unreachable", 502;
    /// A frame on a link can't be decoded or breaks a bound.
    BadFrame = 5013, "bad_frame", 400;
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

/// A final answer other than a whole one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestError {
    /// Why.
    pub code: ErrorCode,
    /// Whether the request was run.
    pub ran: RunStatus,
    /// When to come back; `None` where coming back does not help.
    pub retry_after_ms: Option<u64>,
}

impl RequestError {
    /// A refusal of a request that was not run.
    pub const fn not_run(code: ErrorCode) -> Self {
        Self {
            code,
            ran: RunStatus::NotRun,
            retry_after_ms: None,
        }
    }

    /// The same refusal with a time to come back.
    #[must_use]
    pub const fn retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}
