//! The command line.

use bpaf::{Bpaf, OptionParser};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

/// Text below the list of commands in the help.
///
/// bpaf keeps a line break only before a space, and short help ends at an empty
/// line.
const FOOTER: &str = "A first session:
  sesamectl check fleet.jsonc
  sesamectl publish fleet.jsonc --platform 10.0.0.9:7900 --wait
  sesamectl status --platform 10.0.0.9:7900
 Exit codes: 0 done, 1 faults found, 2 usage, 3 unreachable, 4 conflict,
 5 outcome unknown, 6 accepted but not yet in force everywhere.";

/// Check, publish and inspect the configuration of a sesameshore deployment
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version, footer(FOOTER))]
pub enum Command {
    /// Check a document and list all its faults
    #[bpaf(
        command,
        header(
            "No process is contacted. Each fault has a line, a column, a number and \
             the place in the document."
        )
    )]
    Check(#[bpaf(external(check_options))] CheckOptions),
    /// Publish a fleet configuration
    #[bpaf(
        command,
        header(
            "The document is checked first. It is accepted once its revision exists on \
             the platform; then it can't be replaced, only followed by another. Without \
             --base the file is compared with the newest revision and takes its place."
        )
    )]
    Publish(#[bpaf(external(publish_options))] PublishOptions),
    /// Show what publishing a file would change
    #[bpaf(command)]
    Diff(#[bpaf(external(diff_options))] DiffOptions),
    /// Print the configuration that is in force, or an older revision
    #[bpaf(command)]
    Show(#[bpaf(external(show_options))] ShowOptions),
    /// List all processes with their revision and readiness
    #[bpaf(command)]
    Status(#[bpaf(external(status_options))] StatusOptions),
    /// Explain where a model is and why, or what became of a request
    #[bpaf(command)]
    Explain(#[bpaf(external(explain_options))] ExplainOptions),
    /// Count lost requests by time and model, from the logs of entries
    #[bpaf(
        command,
        header(
            "No process is contacted. Requests are counted by outcome, time and model. The \
             times without a leading entry and the durations of model moves are listed."
        )
    )]
    Losses(#[bpaf(external(losses_options))] LossesOptions),
    /// Ask a process to finish its work, take no more and stop
    #[bpaf(command)]
    Drain(#[bpaf(external(drain_options))] DrainOptions),
    /// Print the events of all processes in order of time
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline_options))] TimelineOptions),
}

/// Kind of a document.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DocumentKind {
    /// The fleet configuration of the deployment.
    Fleet,
    /// The settings file of an entry.
    Entry,
    /// The settings file of an agent.
    Agent,
}

impl FromStr for DocumentKind {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "fleet" => Ok(Self::Fleet),
            "entry" => Ok(Self::Entry),
            "agent" => Ok(Self::Agent),
            _ => Err("must be fleet, entry or agent".to_owned()),
        }
    }
}

/// Options of `check`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct CheckOptions {
    /// What the document is: fleet, entry or agent
    #[bpaf(long, argument("KIND"), fallback(DocumentKind::Fleet))]
    pub kind: DocumentKind,
    /// Print JSON for programs
    pub json: bool,
    /// JSON with comments
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Options of `publish`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct PublishOptions {
    /// Address of the platform's object API
    #[bpaf(argument("IP:PORT"))]
    pub platform: SocketAddr,
    /// Revision the file was made from; later changes by others are then
    /// reported as a conflict instead of being reverted
    #[bpaf(argument("N"))]
    pub base: Option<u64>,
    /// Publish on top of others' changes if none of them overlaps
    pub rebase: bool,
    /// Wait until the revision is in force in all processes
    pub wait: bool,
    /// Longest time to wait
    #[bpaf(argument("MS"), fallback(10_000), display_fallback)]
    pub wait_ms: u64,
    /// Operator listener of a process to wait for in addition to the registered
    /// ones
    #[bpaf(argument("IP:PORT"))]
    pub entry: Vec<SocketAddr>,
    /// Print JSON for programs
    pub json: bool,
    /// JSON with comments
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Options of `diff`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct DiffOptions {
    /// Address of the platform's object API
    #[bpaf(argument("IP:PORT"))]
    pub platform: SocketAddr,
    /// Print JSON for programs
    pub json: bool,
    /// JSON with comments
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
}

/// Options of `show`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ShowOptions {
    /// Address of the platform's object API
    #[bpaf(argument("IP:PORT"))]
    pub platform: SocketAddr,
    /// Revision to print; the newest if not given
    #[bpaf(argument("N"))]
    pub revision: Option<u64>,
}

/// Where to find the processes.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ProcessOptions {
    /// Address of the platform's object API, where processes register
    #[bpaf(argument("IP:PORT"))]
    pub platform: Option<SocketAddr>,
    /// Operator listener of a process; may be repeated, and is enough while the
    /// platform is unreachable
    #[bpaf(argument("IP:PORT"))]
    pub entry: Vec<SocketAddr>,
}

/// Options of `status`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct StatusOptions {
    /// Where to find the processes.
    #[bpaf(external(process_options))]
    pub processes: ProcessOptions,
    /// Print JSON for programs
    pub json: bool,
}

/// Kind of the subject that is explained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExplainSubject {
    /// A model or adapter.
    Model,
    /// A request.
    Request,
}

impl FromStr for ExplainSubject {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "model" => Ok(Self::Model),
            "request" => Ok(Self::Request),
            _ => Err("must be model or request".to_owned()),
        }
    }
}

/// Options of `explain`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct ExplainOptions {
    /// Where to find the processes.
    #[bpaf(external(process_options))]
    pub processes: ProcessOptions,
    /// Log of entries that call upstreams directly, one JSON object per line;
    /// may be repeated. No process is asked then
    #[bpaf(argument("FILE"))]
    pub log: Vec<PathBuf>,
    /// Print JSON for programs
    pub json: bool,
    /// model or request
    #[bpaf(positional("model|request"))]
    pub subject: ExplainSubject,
    /// Name of the model, or the request id from the response header
    #[bpaf(positional("ID"))]
    pub id: String,
}

/// Options of `losses`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct LossesOptions {
    /// Length of a time slice
    #[bpaf(argument("MS"), fallback(2_000), display_fallback)]
    pub slice_ms: u64,
    /// Print JSON for programs
    pub json: bool,
    /// Log of entries that call upstreams directly, one JSON object per line
    #[bpaf(positional("LOG"), some("give a log"))]
    pub log: Vec<PathBuf>,
}

/// Options of `drain`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct DrainOptions {
    /// Where to find the processes.
    #[bpaf(external(process_options))]
    pub processes: ProcessOptions,
    /// Print JSON for programs
    pub json: bool,
    /// Name of the process
    #[bpaf(positional("ID"))]
    pub id: String,
}

/// Options of `timeline`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(ignore_rustdoc)]
pub struct TimelineOptions {
    /// Where to find the processes.
    #[bpaf(external(process_options))]
    pub processes: ProcessOptions,
    /// Only events of this request
    #[bpaf(argument("ID"))]
    pub request: Option<String>,
    /// Only events of this model
    #[bpaf(argument("M"))]
    pub model: Option<String>,
    /// Only events of the last N milliseconds
    #[bpaf(argument("N"))]
    pub since_ms: Option<u64>,
    /// Print JSON for programs
    pub json: bool,
}

/// Returns the parser of the whole command line.
pub fn parser() -> OptionParser<Command> {
    command()
}
