//! Periodic polling of the upstream's state.

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

use super::state_client::{StateClient, StateError};
use crate::driver::AgentDriver;

/// Delay between two requests for the state.
const POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum wait for a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of consecutive requests without a response after which an upstream that
/// accepts connections counts as down. A single one may be a pause of the upstream,
/// and counting it as down would end all attempts that it runs.
const DOWN_AFTER_MISSED_RESPONSES: u32 = 3;

/// Response of an engine to `/admin/state`.
#[derive(Debug, Deserialize)]
struct StateJson {
    incarnation: u64,
    /// Highest fencing epoch that the engine has seen.
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
    /// Age of the state when the engine sent it, in milliseconds.
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
    /// Fencing epoch that the order carried.
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

/// Response of a plain service to `/healthz`.
#[derive(Debug, Deserialize)]
struct HealthJson {
    incarnation: u64,
}

/// Result of one request for the state.
#[derive(Debug)]
enum PollResult {
    Report(UpstreamReport),
    /// The upstream accepts no connection.
    Unreachable,
    /// There is no valid response.
    NoResponse,
}

/// Polls the upstream's state until the process exits and reports it to the state
/// machine.
pub(crate) async fn poll_state(driver: Arc<AgentDriver>) {
    let exit = driver.exit().clone();
    tokio::select! {
        () = exit.cancelled() => {}
        () = poll_forever(&driver) => {}
    }
}

async fn poll_forever(driver: &Arc<AgentDriver>) {
    let mut missed_responses = 0;
    let mut was_up = None;
    let mut client = StateClient::new(driver.upstream().address);
    loop {
        if let Some(is_engine) = driver.is_engine() {
            let result = poll_once(&mut client, is_engine).await;
            missed_responses = match result {
                PollResult::NoResponse => missed_responses + 1,
                _ => 0,
            };
            let event = match result {
                PollResult::Report(report) => Some(UpstreamEvent::Report(report)),
                PollResult::NoResponse
                    if missed_responses < DOWN_AFTER_MISSED_RESPONSES =>
                {
                    None
                }
                PollResult::Unreachable | PollResult::NoResponse => {
                    Some(UpstreamEvent::Down)
                }
            };
            if let Some(event) = event {
                log_transition(driver, &mut was_up, &event);
                driver.handle_event(AgentEvent::Upstream(event));
            }
        }
        // The delay is cut short by `Upstream::poll_now`.
        let _ = timeout(POLL_INTERVAL, driver.upstream().poll_now.notified()).await;
    }
}

/// Logs the event if the upstream went up or down.
fn log_transition(
    driver: &AgentDriver,
    was_up: &mut Option<bool>,
    event: &UpstreamEvent,
) {
    let up = matches!(event, UpstreamEvent::Report(_));
    if was_up.replace(up) != Some(up) {
        let state = if up { "up" } else { "down" };
        log::info!("{}: the upstream is {state}", driver.id());
    }
}

async fn poll_once(client: &mut StateClient, is_engine: bool) -> PollResult {
    let requested_at = Instant::now();
    let report = if is_engine {
        fetch(client, "/admin/state").await.map(report_from_state)
    } else {
        let health = fetch(client, "/healthz").await;
        health.map(|health: HealthJson| UpstreamReport {
            incarnation: health.incarnation,
            ..UpstreamReport::default()
        })
    };
    match report {
        Ok(mut report) => {
            report.age_ms = report.age_ms.saturating_add(max_transit_ms(requested_at));
            PollResult::Report(report)
        }
        Err(result) => result,
    }
}

/// Returns the maximum time, in milliseconds, that a report took to arrive.
///
/// The upstream created it at some time after the request was sent. If the report were
/// assumed to be more recent, a state from before an order could be taken for the state
/// after it, and memory that a load is about to use would count as free.
fn max_transit_ms(requested_at: Instant) -> u32 {
    let ms = requested_at.elapsed().as_millis() + 1;
    u32::try_from(ms).unwrap_or(u32::MAX)
}

async fn fetch<T: DeserializeOwned>(
    client: &mut StateClient,
    path: &str,
) -> Result<T, PollResult> {
    match timeout(RESPONSE_TIMEOUT, client.get(path)).await {
        Ok(Ok((StatusCode::OK, body))) => {
            serde_json::from_slice(&body).map_err(|_| PollResult::NoResponse)
        }
        Ok(Err(StateError::Unreachable)) => Err(PollResult::Unreachable),
        _ => Err(PollResult::NoResponse),
    }
}

fn report_from_state(state: StateJson) -> UpstreamReport {
    let residents = state
        .residents
        .into_iter()
        .map(|resident| UpstreamResident {
            model: ModelId::new(&resident.model),
            version: resident.version,
            accelerator: resident.accelerator,
            size_mib: resident.size_mib,
            loaded: resident.state == ResidentState::Loaded,
        });
    let orders = state.orders.into_iter().map(|order| UpstreamOrder {
        order: order.order,
        fencing_epoch: order.fence,
        state: match order.state {
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
