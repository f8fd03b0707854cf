//! Numbered error codes, and errors that end a request.

use std::fmt;

/// What is known about whether a request was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStatus {
    /// The request certainly did not run and never will.
    NotRun,
    /// The request was passed to an upstream.
    Ran,
    /// The request may or may not have run.
    Unknown,
}

impl RunStatus {
    /// Returns the text used in responses to callers.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Ran => "ran",
            Self::Unknown => "unknown",
        }
    }

    /// Returns the number used in frames between processes.
    pub const fn number(self) -> u32 {
        match self {
            Self::NotRun => 0,
            Self::Ran => 1,
            Self::Unknown => 2,
        }
    }

    /// Converts a number from a frame. A number that this version does not know
    /// is `Unknown`.
    pub const fn from_number(number: u32) -> Self {
        match number {
            0 => Self::NotRun,
            1 => Self::Ran,
            _ => Self::Unknown,
        }
    }
}

macro_rules! error_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $text:literal, $status:literal;)*) => {
        /// A numbered error code.
        ///
        /// The ranges are: 1xxx invalid requests; 2xxx requests refused because of
        /// load or the state of the system; 3xxx failures of upstreams; 4xxx
        /// failures of the platform; 5xxx errors in settings, operators' commands
        /// and links. `docs/errors.md` says how to handle each.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum ErrorCode {
            $($(#[$doc])* $name,)*
        }

        impl ErrorCode {
            /// All codes in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the code's number.
            pub const fn number(self) -> u32 {
                match self {
                    $(Self::$name => $number,)*
                }
            }

            /// Returns the code's name, as callers and operators see it.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$name => $text,)*
                }
            }

            /// Returns the HTTP status of a response with this code.
            pub const fn http_status(self) -> u16 {
                match self {
                    $(Self::$name => $status,)*
                }
            }

            /// Returns the code with a number, if there is one.
            pub fn from_number(number: u32) -> Option<Self> {
                Self::ALL.iter().copied().find(|code| code.number() == number)
            }
        }
    };
}

error_codes! {
    /// The request's body or headers can't be parsed.
    BadRequest = 1001, "bad_request", 400;
    /// The request's API key belongs to no caller.
    UnknownCaller = 1002, "unknown_caller", 401;
    /// The profile does not exist or does not include the model or service.
    UnknownProfile = 1003, "unknown_profile", 400;
    /// The model or adapter does not exist.
    UnknownModel = 1004, "unknown_model", 404;
    /// The plain service does not exist.
    UnknownService = 1005, "unknown_service", 404;
    /// The body is larger than the limit.
    BodyTooLarge = 1006, "body_too_large", 413;
    /// The idempotency key was used before with another body.
    KeyReused = 1007, "key_reused", 422;
    /// The path does not exist or does not support the method.
    UnknownPath = 1008, "unknown_path", 404;
    /// A request that is not idempotent lacks the idempotency key it needs.
    KeyMissing = 1009, "key_missing", 400;
    /// The deadline header can't be parsed, or the deadline has passed.
    BadDeadline = 1010, "bad_deadline", 400;
    /// The request's body did not arrive in time.
    BodyTimeout = 1011, "body_timeout", 408;
    /// The request's latency target or deadline can't be met under the current
    /// load.
    Overloaded = 2001, "overloaded", 503;
    /// The queue of waiting requests, or of frames on a link, is full.
    QueueFull = 2002, "queue_full", 503;
    /// The caller has reached its limit of concurrent requests.
    CallerLimit = 2003, "caller_limit", 429;
    /// The process is shutting down.
    Leaving = 2004, "leaving", 503;
    /// The model is not loaded and can't be loaded in time.
    ModelUnavailable = 2005, "model_unavailable", 503;
    /// The deadline passed before the request started to run.
    DeadlineBeforeRun = 2006, "deadline_before_run", 504;
    /// The request crashed upstreams and is refused for some time.
    RequestCrashedUpstreams = 2007, "request_crashed_upstreams", 422;
    /// Another request with the same idempotency key is in progress.
    KeyInProgress = 2008, "key_in_progress", 409;
    /// The request names an earlier incarnation of the agent.
    WrongIncarnation = 2009, "wrong_incarnation", 503;
    /// The agent's admission control has no free slot.
    GateFull = 2010, "gate_full", 503;
    /// The entry revoked the attempt before it started.
    Revoked = 2011, "revoked", 503;
    /// The model is not loaded on the agent's upstream.
    NotHeld = 2012, "not_held", 503;
    /// The process has no configuration yet.
    NotReady = 2013, "not_ready", 503;
    /// The workspace has used up its quota.
    QuotaSpent = 2014, "quota_spent", 429;
    /// The remaining quota of the workspace can't be determined.
    QuotaUnknown = 2015, "quota_unknown", 503;
    /// The software version that began the stream is not known, or can't run the rest.
    ResumeUnavailable = 2016, "resume_unavailable", 503;
    /// Requests that share a part of the prompt crashed upstreams, and the part is
    /// refused for some time.
    PromptPartCrashedUpstreams = 2017, "prompt_part_crashed_upstreams", 503;
    /// The connection to the upstream was lost with the request in flight.
    UpstreamLost = 3001, "upstream_lost", 502;
    /// The upstream refused the request or violated its protocol.
    UpstreamFault = 3002, "upstream_fault", 502;
    /// The deadline passed while the request was running.
    DeadlineWhileRunning = 3003, "deadline_while_running", 504;
    /// The answer was cut off and could not be resumed.
    AnswerBroken = 3004, "answer_broken", 502;
    /// The request was passed on, and whether it took effect is unknown.
    OutcomeUnknown = 3005, "outcome_unknown", 502;
    /// The request needs the platform, which can't be reached.
    PlatformAway = 4001, "platform_away", 503;
    /// The object of a conditional write has another version.
    Conflict = 4002, "conflict", 409;
    /// A write got no response, and whether it took effect is unknown.
    WriteUnanswered = 4003, "write_unanswered", 502;
    /// The document is not valid JSON with comments.
    BadSyntax = 5001, "bad_syntax", 400;
    /// The key is not in the schema.
    UnknownKey = 5002, "unknown_key", 400;
    /// The value has the wrong type.
    WrongType = 5003, "wrong_type", 400;
    /// The key is a known one with another unit suffix.
    WrongUnit = 5004, "wrong_unit", 400;
    /// The name is used twice.
    DuplicateName = 5005, "duplicate_name", 400;
    /// The document refers to something that does not exist.
    MissingReference = 5006, "missing_reference", 400;
    /// The model is larger than every accelerator that it may use.
    ModelTooLarge = 5007, "model_too_large", 400;
    /// The value is out of range.
    OutOfRange = 5008, "out_of_range", 400;
    /// A required key is missing.
    MissingKey = 5009, "missing_key", 400;
    /// A file can't be read or written.
    FileFault = 5010, "file_fault", 500;
    /// An address can't be parsed or bound.
    BadAddress = 5011, "bad_address", 500;
    /// A process can't be reached.
    Unreachable = 5012, "unreachable", 502;
    /// A frame on a link can't be decoded or exceeds the size limit.
    BadFrame = 5013, "bad_frame", 400;
}

impl fmt::Display for ErrorCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.number(), self.name())
    }
}

/// The error that ends a request without a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestError {
    /// What went wrong.
    pub code: ErrorCode,
    /// Whether the request ran.
    pub ran: RunStatus,
    /// Milliseconds after which the caller may retry; `None` if a retry would
    /// not help.
    pub retry_after_ms: Option<u64>,
}

impl RequestError {
    /// Creates an error for a request that did not run.
    pub const fn not_run(code: ErrorCode) -> Self {
        Self {
            code,
            ran: RunStatus::NotRun,
            retry_after_ms: None,
        }
    }

    /// Sets the time after which the caller may retry.
    #[must_use]
    pub const fn retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }
}
