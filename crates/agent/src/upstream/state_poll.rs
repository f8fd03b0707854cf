//! The upstream's state, asked for again and again.

use base::ModelId;
use hyper::StatusCode;
use role::agent::{
    AgentEvent, UpstreamEvent, UpstreamOrder, UpstreamOrderState, UpstreamReport,
    UpstreamResident,
};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};

use super::state_client::{Asking, NoState};
use crate::driver::Node;

/// Pause between two questions.
const INTERVAL: Duration = Duration::from_millis(150);

/// Longest wait for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// Questions without an answer after which an upstream that can be connected to
/// counts as down. One alone may be a pause of the upstream, and counting it as
/// down would end all that it runs.
const SILENT_MAX: u32 = 3;

/// An engine's state.
#[derive(Debug, Deserialize)]
struct StateJson {
    incarnation: u64,
    #[serde(default)]
    fence: u64,
    #[serde(default)]
    residents: Vec<ResidentJson>,
    #[serde(default)]
    orders: Vec<OrderJson>,
    #[serde(default)]
    running: u32,
    #[serde(default)]
    waiting: u32,
    #[serde(default)]
    step_time_us: u32,
    #[serde(default)]
    report_age_ms: u32,
}

#[derive(Debug, Deserialize)]
struct ResidentJson {
    model: String,
    version: u32,
    accelerator: u32,
    size_mib: u32,
    state: ResidentState,
}

#[derive(Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum ResidentState {
    Loading,
    Loaded,
    Unloading,
}

#[derive(Debug, Deserialize)]
struct OrderJson {
    order: u64,
    fence: u64,
    state: OrderState,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OrderState {
    InProgress,
    Done,
    Failed,
}

/// A plain service's state.
#[derive(Debug, Deserialize)]
struct HealthJson {
    incarnation: u64,
}

/// What came of a question.
#[derive(Debug)]
enum Asked {
    Report(UpstreamReport),
    /// Nobody is there.
    Gone,
    /// There is no answer that can be read.
    Silent,
}

/// Asks for the upstream's state until the process ends.
pub(crate) async fn poll(node: Arc<Node>) {
    let exit = node.exit().clone();
    tokio::select! {
        () = exit.cancelled() => {}
        () = ask_on(&node) => {}
    }
}

async fn ask_on(node: &Arc<Node>) {
    let mut silent = 0;
    let mut was_up = None;
    let mut asking = Asking::new(node.upstream().address);
    loop {
        if let Some(engine) = node.is_engine() {
            let asked = ask(&mut asking, engine).await;
            silent = match asked {
                Asked::Silent => silent + 1,
                _ => 0,
            };
            let event = match asked {
                Asked::Report(report) => Some(UpstreamEvent::Report(report)),
                Asked::Silent if silent < SILENT_MAX => None,
                Asked::Gone | Asked::Silent => Some(UpstreamEvent::Down),
            };
            if let Some(event) = event {
                note(node, &mut was_up, &event);
                node.tell(AgentEvent::Upstream(event));
            }
        }
        // A pause that ends early asks again early.
        let _ = timeout(INTERVAL, node.upstream().ask_now.notified()).await;
    }
}

fn note(node: &Node, was_up: &mut Option<bool>, event: &UpstreamEvent) {
    let up = matches!(event, UpstreamEvent::Report(_));
    if was_up.replace(up) != Some(up) {
        let word = if up { "answers" } else { "is down" };
        log::info!("{}: the upstream {word}", node.id());
    }
}

async fn ask(asking: &mut Asking, engine: bool) -> Asked {
    let began = Instant::now();
    let report = if engine {
        fetch(asking, "/admin/state").await.map(report)
    } else {
        let health = fetch(asking, "/healthz").await;
        health.map(|health: HealthJson| UpstreamReport {
            incarnation: health.incarnation,
            ..UpstreamReport::default()
        })
    };
    match report {
        Ok(mut report) => {
            report.age_ms = report.age_ms.saturating_add(age_ms(began));
            Asked::Report(report)
        }
        Err(asked) => asked,
    }
}

/// Age that a report has by being on its way.
///
/// It was made at some time since the question went out. Were it taken for
/// newer, the state from before an order could pass for the one after it, and
/// memory would be counted as free that a load is about to take.
fn age_ms(began: Instant) -> u32 {
    let ms = began.elapsed().as_millis() + 1;
    u32::try_from(ms).unwrap_or(u32::MAX)
}

async fn fetch<T: DeserializeOwned>(
    asking: &mut Asking,
    path: &str,
) -> Result<T, Asked> {
    match timeout(ANSWER_TIMEOUT, asking.get(path)).await {
        Ok(Ok((StatusCode::OK, body))) => {
            serde_json::from_slice(&body).map_err(|_| Asked::Silent)
        }
        Ok(Err(NoState::Gone)) => Err(Asked::Gone),
        _ => Err(Asked::Silent),
    }
}

fn report(state: StateJson) -> UpstreamReport {
    let residents = state.residents.into_iter().map(|held| UpstreamResident {
        model: ModelId::new(&held.model),
        version: held.version,
        accelerator: held.accelerator,
        size_mib: held.size_mib,
        loaded: held.state == ResidentState::Loaded,
    });
    let orders = state.orders.into_iter().map(|held| UpstreamOrder {
        order: held.order,
        fencing_epoch: held.fence,
        state: match held.state {
            OrderState::InProgress => UpstreamOrderState::InProgress,
            OrderState::Done => UpstreamOrderState::Done,
            OrderState::Failed => UpstreamOrderState::Failed,
        },
    });
    UpstreamReport {
        incarnation: state.incarnation,
        residents: residents.collect(),
        orders: orders.collect(),
        highest_fencing_epoch: state.fence,
        running: state.running,
        waiting: state.waiting,
        step_time_us: state.step_time_us,
        age_ms: state.report_age_ms,
    }
}
