//! Decides which log lines are relevant to a request or a model.

use super::LogLine;

/// How long before a request's arrival a line may tell the cause of its
/// outcome; the longest load of a model takes nine seconds.
const LOOKBACK_MS: u64 = 12_000;

/// How long after a request's end lines are relevant, such as a load that
/// finished too late for it.
const LOOKAHEAD_MS: u64 = 2_000;

/// How far apart in time other requests may be to be compared with a request.
const COMPARISON_WINDOW_MS: u64 = 5_000;

/// Events of any entry that affect all entries: changes of the coordinator, and
/// unavailable entries.
const EVENTS_OF_ANY_ENTRY: [&str; 5] = [
    "suspended",
    "peer_lost",
    "lease",
    "lease_ended",
    "giver_began",
];

/// Events that affect only the entry that logs them.
const EVENTS_OF_SAME_ENTRY: [&str; 8] = [
    "platform_lost",
    "platform_regained",
    "setup_in_force",
    "peer_heard",
    "started",
    "stopping",
    "stopped",
    "reload",
];

/// What the logs are searched for.
#[derive(Debug)]
pub(super) enum Subject {
    /// A request, with its own lines.
    Request(Vec<LogLine>),
    /// A model or adapter, by name.
    Model(String),
}

impl Subject {
    pub(super) fn of_request(lines: Vec<LogLine>) -> Option<Self> {
        (!lines.is_empty()).then_some(Self::Request(lines))
    }

    pub(super) fn of_model(name: &str) -> Self {
        Self::Model(name.to_owned())
    }

    /// Arrival of the request, in milliseconds since the Unix epoch; `None` for
    /// a model.
    pub(super) fn arrival_ms(&self) -> Option<u64> {
        match self {
            Self::Request(lines) => lines.iter().map(arrival_ms).min(),
            Self::Model(_) => None,
        }
    }

    /// Whether a line is relevant to the subject.
    pub(super) fn is_relevant(&self, line: &LogLine) -> bool {
        match self {
            Self::Request(own_lines) => {
                own_lines.iter().any(|request| is_relevant(request, line))
            }
            Self::Model(name) => line.event != "request" && mentions_model(line, name),
        }
    }

    /// What the request of a line has in common with the subject, and the
    /// outcome of that request.
    pub(super) fn in_common(&self, line: &LogLine) -> Option<(String, String)> {
        if line.event != "request" {
            return None;
        }
        let outcome = line.str_field("outcome")?.to_owned();
        match self {
            Self::Model(name) => {
                let common = format!("for {}", line.str_field("model")?);
                mentions_model(line, name).then_some((common, outcome))
            }
            Self::Request(own_lines) => own_lines
                .iter()
                .find_map(|request| in_common(request, line)),
        }
    }
}

fn arrival_ms(request: &LogLine) -> u64 {
    let ms = request.u64_field("ms").unwrap_or(0);
    request.t_ms.saturating_sub(ms)
}

fn is_relevant(request: &LogLine, line: &LogLine) -> bool {
    if line.str_field("id").is_some() {
        return line.str_field("id") == request.str_field("id");
    }
    let from = arrival_ms(request).saturating_sub(LOOKBACK_MS);
    if !(from..=request.t_ms + LOOKAHEAD_MS).contains(&line.t_ms) {
        return false;
    }
    let is_own_model = request
        .str_field("model")
        .is_some_and(|model| mentions_model(line, model));
    let upstream = line.str_field("upstream");
    let of_own_upstream = line.event.starts_with("upstream_")
        && request
            .attempts()
            .any(|(attempted, _)| Some(attempted) == upstream);
    let of_same_entry =
        line.source == request.source && EVENTS_OF_SAME_ENTRY.contains(&&*line.event);
    is_own_model
        || of_own_upstream
        || of_same_entry
        || EVENTS_OF_ANY_ENTRY.contains(&&*line.event)
}

/// What another request at about the same time has in common with this one: the
/// upstream of the last attempt, or the model.
fn in_common(request: &LogLine, line: &LogLine) -> Option<(String, String)> {
    let is_near = request.t_ms.abs_diff(line.t_ms) <= COMPARISON_WINDOW_MS;
    if !is_near || line.str_field("id") == request.str_field("id") {
        return None;
    }
    let last = request.attempts().last().map(|(upstream, _)| upstream);
    if let Some((upstream, outcome)) = line
        .attempts()
        .find(|(attempted, _)| Some(*attempted) == last)
    {
        let common = format!("at {upstream} within {COMPARISON_WINDOW_MS} ms");
        return Some((common, outcome.to_owned()));
    }
    let model = request.str_field("model")?;
    (line.str_field("model") == Some(model)).then(|| {
        let common = format!("for {model} within {COMPARISON_WINDOW_MS} ms");
        (
            common,
            line.str_field("outcome").unwrap_or_default().to_owned(),
        )
    })
}

/// Whether a line is about a model; `name` is a model, or a model and its
/// adapter separated by `/`.
fn mentions_model(line: &LogLine, name: &str) -> bool {
    let (model, adapter) = match name.split_once('/') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (name, None),
    };
    let move_fields = ["load", "unload"].iter();
    if move_fields
        .clone()
        .any(|field| line.str_field(field) == Some(model))
    {
        return true;
    }
    if let Some(line_model) = line.str_field("model") {
        return line_model == name || line_model.split('/').next() == Some(name);
    }
    let quote = |name: &str| format!("\"{name}\"");
    line.str_field("action").is_some_and(|action| {
        let for_model = !action.contains("Adapter");
        let matches_adapter = adapter.is_none_or(|name| action.contains(&quote(name)));
        action.contains(&quote(model)) && (for_model || matches_adapter)
    })
}
