//! A parsed script.

use base::{Instant, RunStatus};
use schema::settings::Fleet;

/// A deployment, the faults injected into it and the expected observations.
#[derive(Debug, Default)]
pub struct Script {
    /// Seed of every random choice.
    pub seed: u64,
    /// Simulated time at which the run ends.
    pub end: Instant,
    /// Configuration published as revision 1.
    pub fleet: Fleet,
    /// Entry processes, in order of declaration.
    pub entries: Vec<EntryDecl>,
    /// Instances, in order of declaration.
    pub instances: Vec<InstanceDecl>,
    /// Steps, ordered by time and then by line.
    pub steps: Vec<Step>,
}

/// Declaration of an entry process.
#[derive(Debug)]
pub struct EntryDecl {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub failure_domain: String,
    /// The process does not run until a `start` step starts it.
    pub starts_later: bool,
}

/// Declaration of an instance, which consists of an upstream and its agent.
#[derive(Debug)]
pub struct InstanceDecl {
    /// Name.
    pub name: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Pool.
    pub pool: String,
}

/// An action or expectation at a point in simulated time.
#[derive(Debug)]
pub struct Step {
    /// Simulated time of the step.
    pub at: Instant,
    /// Line of the script, counted from 1.
    pub line: usize,
    /// Action or expectation.
    pub verb: Verb,
}

/// What a step does.
#[derive(Debug)]
pub enum Verb {
    /// A caller sends a request.
    Request(RequestDecl),
    /// The caller of a request disconnects.
    Gone {
        /// Request.
        request: String,
    },
    /// A process is killed; its connections end.
    Kill {
        /// Process.
        process: String,
    },
    /// A process that was killed, has exited or is declared `later` is started.
    Start {
        /// Process.
        process: String,
    },
    /// A process stops being scheduled; it keeps its connections and address.
    Freeze {
        /// Process.
        process: String,
    },
    /// A frozen process resumes and handles every event that arrived meanwhile.
    Thaw {
        /// Process.
        process: String,
    },
    /// A second agent is started for an upstream whose agent is frozen. Steps
    /// name the frozen one `<agent>.old` from then on.
    Replace {
        /// Agent.
        process: String,
    },
    /// A process is asked to shut down gracefully.
    Drain {
        /// Process.
        process: String,
    },
    /// Messages between two processes are held back until `heal`.
    Cut {
        /// One of the two processes.
        a: String,
        /// The other process, or `platform`.
        b: String,
    },
    /// Ends a cut; the messages held back are delivered.
    Heal {
        /// One of the two processes.
        a: String,
        /// The other process, or `platform`.
        b: String,
    },
    /// The connection between two processes breaks and frames in flight are
    /// lost.
    Break {
        /// One of the two processes.
        a: String,
        /// The other process, or `platform`.
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
    /// From now on, every engine that runs a request with this body crashes.
    CrashOn {
        /// Body text.
        body: String,
    },
    /// An operator publishes a change.
    Publish {
        /// Revision to create.
        revision: u64,
        /// Merge patch, as JSON.
        patch: String,
    },
    /// The platform's list of instances marks an instance as leaving.
    ListLeaving {
        /// Instance.
        instance: String,
    },
    /// An expectation that must hold at this time.
    Expect(Expectation),
}

/// A request of a caller.
#[derive(Debug, Clone)]
pub struct RequestDecl {
    /// Name in the script.
    pub name: String,
    /// Caller. Its API key is `key-<caller>`.
    pub caller: String,
    /// Entry it is sent to.
    pub entry: String,
    /// Requested model or adapter.
    pub model: Option<String>,
    /// Requested plain service.
    pub service: Option<String>,
    /// Requested profile.
    pub profile: Option<String>,
    /// Idempotency key.
    pub key: Option<String>,
    /// Requested deadline, in milliseconds from the request's arrival.
    pub deadline_ms: Option<u64>,
    /// Number of tokens that an engine generates for the complete answer.
    pub units: u32,
    /// Text of the body. Defaults to the request's name.
    pub body: String,
}

/// A fault of the platform.
#[derive(Debug, Clone, Copy)]
pub enum PlatformFault {
    /// Every call fails as unavailable, without effect.
    Away,
    /// Ends `Away` and `MissWatches`.
    Back,
    /// Calls and responses are delayed.
    Delay {
        /// Delay in each direction, in milliseconds.
        ms: u64,
    },
    /// The next writes take effect, but their responses are lost.
    LoseAnswers {
        /// Number of writes.
        count: u32,
    },
    /// The next reads return the value before the last write.
    OldReads {
        /// Number of reads.
        count: u32,
    },
    /// Watches report no changes until `Back`.
    MissWatches,
}

/// A fault of one upstream.
#[derive(Debug, Clone, Copy)]
pub enum UpstreamFault {
    /// It crashes and restarts without loaded models.
    Crash {
        /// Time until it runs again, in milliseconds.
        restart_ms: u64,
    },
    /// Engine steps take `factor` times as long.
    Slow {
        /// Factor.
        factor: u32,
    },
    /// The next load and unload orders are lost on the way to the upstream.
    LoseOrders {
        /// Number of orders.
        count: u32,
    },
    /// The next load and unload orders arrive late and get no answer.
    DelayOrders {
        /// Number of orders.
        count: u32,
        /// Delay in milliseconds.
        by_ms: u64,
    },
    /// Loads take `factor` times as long.
    SlowLoads {
        /// Factor.
        factor: u32,
    },
    /// The next requests fail with an error; everything else works as before.
    Fail {
        /// Number of requests; `u32::MAX` means all until the next such step.
        count: u32,
    },
}

/// An expectation about what has been observed.
#[derive(Debug)]
pub enum Expectation {
    /// The caller received the complete answer.
    Whole {
        /// Request.
        request: String,
    },
    /// The caller received an error.
    Failed {
        /// Request.
        request: String,
        /// Name of the error code, if stated.
        code: Option<String>,
        /// Run status reported by the error, if stated.
        ran: Option<RunStatus>,
    },
    /// The request has ended, with a complete answer or otherwise.
    Final {
        /// Request.
        request: String,
    },
    /// The request has not ended yet.
    Pending {
        /// Request.
        request: String,
    },
    /// Number of runs of a body, summed over all upstreams.
    Runs {
        /// Body of the request.
        body: String,
        /// Allowed counts.
        bounds: Bounds,
    },
    /// Number of requests that one upstream has accepted.
    Handed {
        /// Instance.
        instance: String,
        /// Allowed counts.
        bounds: Bounds,
    },
    /// Number of upstream crashes so far.
    Crashes {
        /// Allowed counts.
        bounds: Bounds,
    },
    /// Number of timeline events of one kind so far.
    Event {
        /// Name of the kind in the schema, without the `EVENT_KIND_` prefix.
        kind: String,
        /// Allowed counts.
        bounds: Bounds,
    },
    /// Every running process has this revision in force.
    Revision {
        /// Revision.
        revision: u64,
    },
    /// The first token or byte of the answer arrived within a time limit.
    FirstUnit {
        /// Request.
        request: String,
        /// Limit in milliseconds after the request was sent.
        max_ms: u64,
    },
    /// The process has exited by itself.
    Ended {
        /// Process.
        process: String,
    },
    /// The process reports itself as ready, or as not ready.
    Ready {
        /// Process.
        process: String,
        /// Expected readiness.
        ready: bool,
    },
    /// The upstream has a model loaded and is able to serve it, or has not.
    Holds {
        /// Instance.
        instance: String,
        /// Model or adapter.
        model: String,
        /// Whether the model must be loaded.
        held: bool,
    },
}

/// Inclusive bounds of a count.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Smallest allowed count.
    pub min: u64,
    /// Largest allowed count.
    pub max: u64,
}

impl Bounds {
    /// Whether a count is within the bounds.
    pub const fn contains(self, count: u64) -> bool {
        self.min <= count && count <= self.max
    }
}
