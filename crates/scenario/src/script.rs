//! A parsed script.

use base::{Instant, RunStatus};
use schema::settings::Fleet;

/// A deployment, the faults that befall it and what must be seen.
#[derive(Debug, Default)]
pub struct Script {
    /// Seed of every random choice.
    pub seed: u64,
    /// Time at which the run ends.
    pub end: Instant,
    /// First configuration.
    pub fleet: Fleet,
    /// Entries in the order declared.
    pub entries: Vec<EntryDecl>,
    /// Instances in the order declared.
    pub instances: Vec<InstanceDecl>,
    /// What happens, in order of time and then of line.
    pub steps: Vec<Step>,
}

/// An entry.
#[derive(Debug)]
pub struct EntryDecl {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// The process is not started until a step does.
    pub later: bool,
}

/// An instance with an upstream and an agent.
#[derive(Debug)]
pub struct InstanceDecl {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub domain: String,
    /// Pool.
    pub pool: String,
}

/// Something that happens at a time.
#[derive(Debug)]
pub struct Step {
    /// When.
    pub at: Instant,
    /// Line of the script.
    pub line: usize,
    /// What.
    pub verb: Verb,
}

/// What a step does.
#[derive(Debug)]
pub enum Verb {
    /// A caller sends a request.
    Request(RequestDecl),
    /// The caller of a request goes away.
    Gone {
        /// Request.
        request: String,
    },
    /// A process is killed; its connections end.
    Kill {
        /// Process.
        process: String,
    },
    /// A killed or undeclared process is started anew.
    Start {
        /// Process.
        process: String,
    },
    /// A process stops running but keeps its connections and its address.
    Freeze {
        /// Process.
        process: String,
    },
    /// A frozen process goes on with all that reached it meanwhile.
    Thaw {
        /// Process.
        process: String,
    },
    /// A second agent is started beside an upstream whose agent is frozen; the
    /// first is then called `<agent>.old`.
    Replace {
        /// Agent.
        process: String,
    },
    /// A process is asked to stop.
    Drain {
        /// Process.
        process: String,
    },
    /// Nothing passes between two processes until `heal`; what was sent is held.
    Cut {
        /// One end.
        a: String,
        /// Other end; may be `platform`.
        b: String,
    },
    /// Ends a cut; what was held is delivered.
    Heal {
        /// One end.
        a: String,
        /// Other end.
        b: String,
    },
    /// The connection between two processes ends and what was on its way is
    /// lost.
    Break {
        /// One end.
        a: String,
        /// Other end.
        b: String,
    },
    /// A fault of the platform.
    Platform(PlatformFault),
    /// A fault of one upstream.
    Upstream {
        /// Instance.
        instance: String,
        /// Fault.
        fault: UpstreamFault,
    },
    /// The upstream of every engine dies when it runs this request's body.
    CrashOn {
        /// Name of the request whose body it is.
        body: String,
    },
    /// An operator publishes a change.
    Publish {
        /// Revision to create.
        revision: u64,
        /// Merge patch.
        patch: String,
    },
    /// The platform's list says that an instance leaves.
    ListLeaving {
        /// Instance.
        instance: String,
    },
    /// What must have been seen by now.
    Expect(Expect),
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct RequestDecl {
    /// Name in the script.
    pub name: String,
    /// Caller; its key is `key-<caller>`.
    pub caller: String,
    /// Entry it is sent to.
    pub entry: String,
    /// Model or adapter asked for.
    pub model: Option<String>,
    /// Plain service asked for.
    pub service: Option<String>,
    /// Profile named.
    pub profile: Option<String>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Deadline named.
    pub deadline_ms: Option<u64>,
    /// Units of a whole answer.
    pub units: u32,
    /// Text of the body; the request's name unless stated.
    pub body: String,
}

/// A fault of the platform.
#[derive(Debug, Clone, Copy)]
pub enum PlatformFault {
    /// Every call is refused.
    Away,
    /// Ends `Away`.
    Back,
    /// Each call takes this long.
    Delay {
        /// Milliseconds in each direction.
        ms: u64,
    },
    /// The next writes take effect but are not answered.
    LoseAnswers {
        /// Writes.
        count: u32,
    },
    /// The next reads give the value before the last write.
    OldReads {
        /// Reads.
        count: u32,
    },
    /// Watches miss every change until `back`.
    MissWatches,
}

/// A fault of one upstream.
#[derive(Debug, Clone, Copy)]
pub enum UpstreamFault {
    /// It dies and comes back empty.
    Crash {
        /// Time until it is back.
        restart_ms: u64,
    },
    /// Steps take this many times as long.
    Slow {
        /// Factor.
        factor: u32,
    },
    /// The next orders never arrive.
    LoseOrders {
        /// Orders.
        count: u32,
    },
    /// The next orders arrive late; the sender gets no answer.
    DelayOrders {
        /// Orders.
        count: u32,
        /// How late.
        by_ms: u64,
    },
    /// Loads take this many times as long.
    SlowLoads {
        /// Factor.
        factor: u32,
    },
    /// It answers the next requests with an error, and all else as before.
    Fail {
        /// Requests; `u32::MAX` for all until told otherwise.
        count: u32,
    },
}

/// What must have been seen.
#[derive(Debug)]
pub enum Expect {
    /// The request got its whole answer.
    Whole {
        /// Request.
        request: String,
    },
    /// The request got an error.
    Failed {
        /// Request.
        request: String,
        /// Name of the code, if stated.
        code: Option<String>,
        /// What it said about having run, if stated.
        ran: Option<RunStatus>,
    },
    /// The request got its final answer, whole or not.
    Final {
        /// Request.
        request: String,
    },
    /// The request has no final answer yet.
    Pending {
        /// Request.
        request: String,
    },
    /// Runs counted by upstreams for a body.
    Runs {
        /// Body of the request.
        body: String,
        /// Bounds, inclusive.
        bounds: Bounds,
    },
    /// Requests handed to one upstream so far.
    Handed {
        /// Instance.
        instance: String,
        /// Bounds, inclusive.
        bounds: Bounds,
    },
    /// Crashes of upstreams so far.
    Crashes {
        /// Bounds, inclusive.
        bounds: Bounds,
    },
    /// Events of one kind on the time line so far.
    Event {
        /// Kind, as in the schema without its prefix.
        kind: String,
        /// Bounds, inclusive.
        bounds: Bounds,
    },
    /// Every running process has this revision in force.
    Revision {
        /// Revision.
        revision: u64,
    },
    /// Time from the request's arrival to its first unit.
    FirstUnit {
        /// Request.
        request: String,
        /// Milliseconds.
        max_ms: u64,
    },
    /// The process has ended by itself.
    Ended {
        /// Process.
        process: String,
    },
    /// The process does not take work, or does.
    Ready {
        /// Process.
        process: String,
        /// Which of the two.
        ready: bool,
    },
    /// The upstream holds a model, able to serve.
    Holds {
        /// Instance.
        instance: String,
        /// Model or adapter.
        model: String,
        /// False if it must not.
        held: bool,
    },
}

/// Inclusive bounds of a count.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Least.
    pub min: u64,
    /// Greatest.
    pub max: u64,
}

impl Bounds {
    /// Whether a count is within the bounds.
    pub const fn hold(self, count: u64) -> bool {
        self.min <= count && count <= self.max
    }
}
