//! What belongs to a request or a model.

use super::Line;

/// Time before a request's arrival from which on lines may tell its cause: the
/// longest load takes nine seconds.
const BEFORE_MS: u64 = 12_000;

/// Time after its end: what came just too late tells as much.
const AFTER_MS: u64 = 2_000;

/// Time around a request in which others are compared with it.
const NEAR_MS: u64 = 5_000;

/// Events at any entry that change what all of them do: who orders, and who is
/// missing.
const OF_ALL: [&str; 5] = [
    "suspended",
    "peer_lost",
    "lease",
    "lease_ended",
    "giver_began",
];

/// Events that change what the entry itself does.
const OF_ITSELF: [&str; 8] = [
    "platform_lost",
    "platform_regained",
    "setup_in_force",
    "peer_heard",
    "started",
    "stopping",
    "stopped",
    "reload",
];

/// What logs are searched for.
#[derive(Debug)]
pub(super) enum Subject {
    /// A request, by its own lines.
    Request(Vec<Line>),
    /// A model.
    Model(String),
}

impl Subject {
    pub(super) fn of_request(lines: Vec<Line>) -> Option<Self> {
        (!lines.is_empty()).then_some(Self::Request(lines))
    }

    pub(super) fn of_model(name: &str) -> Self {
        Self::Model(name.to_owned())
    }

    /// When the request arrived.
    pub(super) fn arrived_ms(&self) -> Option<u64> {
        match self {
            Self::Request(lines) => lines.iter().map(arrived_ms).min(),
            Self::Model(_) => None,
        }
    }

    /// Whether a line is told.
    pub(super) fn concerns(&self, line: &Line) -> bool {
        match self {
            Self::Request(own) => own.iter().any(|own| concerns(own, line)),
            Self::Model(name) => line.event != "request" && names(line, name),
        }
    }

    /// What another request shares with the subject, and how it ended.
    pub(super) fn shares(&self, line: &Line) -> Option<(String, String)> {
        if line.event != "request" {
            return None;
        }
        let outcome = line.text("outcome")?.to_owned();
        match self {
            Self::Model(name) => {
                let shared = format!("for {}", line.text("model")?);
                names(line, name).then_some((shared, outcome))
            }
            Self::Request(own) => own.iter().find_map(|own| shares(own, line)),
        }
    }
}

fn arrived_ms(request: &Line) -> u64 {
    let ms = request.number("ms").unwrap_or(0);
    request.t_ms.saturating_sub(ms)
}

fn concerns(own: &Line, line: &Line) -> bool {
    if line.text("id").is_some() {
        return line.text("id") == own.text("id");
    }
    let from = arrived_ms(own).saturating_sub(BEFORE_MS);
    if !(from..=own.t_ms + AFTER_MS).contains(&line.t_ms) {
        return false;
    }
    let of_model = own.text("model").is_some_and(|model| names(line, model));
    let upstream = line.text("upstream");
    let doubted = line.event.starts_with("upstream_")
        && own.tries().any(|(tried, _)| Some(tried) == upstream);
    let of_itself = line.source == own.source && OF_ITSELF.contains(&&*line.event);
    of_model || doubted || of_itself || OF_ALL.contains(&&*line.event)
}

/// What another request near in time shares with this one: the upstream that it
/// was sent to last, or its model.
fn shares(own: &Line, line: &Line) -> Option<(String, String)> {
    let near = own.t_ms.abs_diff(line.t_ms) <= NEAR_MS;
    if !near || line.text("id") == own.text("id") {
        return None;
    }
    let last = own.tries().last().map(|(upstream, _)| upstream);
    if let Some((upstream, outcome)) =
        line.tries().find(|(tried, _)| Some(*tried) == last)
    {
        let shared = format!("at {upstream} within {NEAR_MS} ms");
        return Some((shared, outcome.to_owned()));
    }
    let model = own.text("model")?;
    (line.text("model") == Some(model)).then(|| {
        let shared = format!("for {model} within {NEAR_MS} ms");
        (shared, line.text("outcome").unwrap_or_default().to_owned())
    })
}

/// Whether a line is about a model; `name` may have an adapter behind it.
fn names(line: &Line, name: &str) -> bool {
    let (model, adapter) = match name.split_once('/') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (name, None),
    };
    let moved = ["load", "unload"].iter();
    if moved.clone().any(|field| line.text(field) == Some(model)) {
        return true;
    }
    if let Some(asked) = line.text("model") {
        return asked == name || asked.split('/').next() == Some(name);
    }
    let quoted = |name: &str| format!("\"{name}\"");
    line.text("action").is_some_and(|action| {
        let whole = !action.contains("Adapter");
        let of_adapter = adapter.is_none_or(|name| action.contains(&quoted(name)));
        action.contains(&quoted(model)) && (whole || of_adapter)
    })
}
