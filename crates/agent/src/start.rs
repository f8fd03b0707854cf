//! Starting and stopping the agent.

use base::prelude::*;
use line::EventRecorder;
use oper::Clock;
use oper::{BindLinkListenerSnafu, BindListenerSnafu, StartError, parse_address};
use plat::{HttpPlatform, ObjectApi};
use role::agent::{AgentEvent, AgentOptions};
use schema::settings::AgentSettings;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use wire::Listener;

use crate::driver::{AgentDriver, Environment};
use crate::link_listener::accept_links;
use crate::operator_api::AgentOperatorApi;

/// Maximum time for sending the queued frames to the entries after draining.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running agent.
#[derive(Debug)]
pub struct AgentHandle {
    /// Address on which entries connect.
    pub link_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    driver: Arc<AgentDriver>,
    done: JoinHandle<()>,
}

impl AgentHandle {
    /// Starts draining; further calls have no effect.
    pub fn drain(&self) {
        self.driver.handle_event(AgentEvent::Drain);
    }

    /// Returns whether the process accepts work.
    pub fn is_ready(&self) -> bool {
        self.driver.is_ready()
    }

    /// Returns the number of attempts that are running at the upstream.
    pub fn attempts_at_upstream(&self) -> usize {
        self.driver.attempts().len()
    }

    /// Waits until the process has drained and closed its connections.
    pub async fn wait_drained(self) {
        // The task ends by itself. A panic in it has already been reported.
        let _ = self.done.await;
    }

    /// Stops the agent immediately, as a crash would: links and connections to the
    /// upstream are closed without further messages.
    pub fn abort(self) {
        self.driver.exit().cancel();
        self.done.abort();
    }
}

/// Runs an agent until it has drained. It starts draining when `shutdown` completes.
///
/// # Errors
///
/// Fails if an address in the settings can't be parsed or bound.
pub async fn run(
    settings: AgentSettings,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<(), StartError> {
    let agent = start(settings).await?;
    let driver = Arc::clone(&agent.driver);
    tokio::select! {
        () = shutdown => driver.handle_event(AgentEvent::Drain),
        () = driver.exit().cancelled() => {}
    }
    agent.wait_drained().await;
    Ok(())
}

/// Starts an agent.
///
/// # Errors
///
/// Fails for the same reasons as [`run`].
pub async fn start(settings: AgentSettings) -> Result<AgentHandle, StartError> {
    let platform = parse_address("platform", &settings.platform)?;
    start_with_platform(settings, Arc::new(HttpPlatform::new(platform))).await
}

/// Starts an agent with a given platform client instead of the platform in its
/// settings.
///
/// # Errors
///
/// Fails for the same reasons as [`run`].
pub async fn start_with_platform(
    settings: AgentSettings,
    platform: Arc<dyn ObjectApi>,
) -> Result<AgentHandle, StartError> {
    let operator_listen = parse_address("operator_listen", &settings.operator_listen)?;
    let operator_listener =
        TcpListener::bind(operator_listen)
            .await
            .context(BindListenerSnafu {
                key: "operator_listen",
            })?;
    let operator_address =
        operator_listener.local_addr().context(BindListenerSnafu {
            key: "operator_listen",
        })?;
    let link_listen = parse_address("link_listen", &settings.link_listen)?;
    let link_listener = Listener::bind(link_listen, wire::DEFAULT_FRAME_MAX_BYTES)
        .await
        .context(BindLinkListenerSnafu)?;
    let link_address = link_listener.local_addr().context(BindLinkListenerSnafu)?;

    let clock = Clock::start();
    let options = agent_options(&settings, &clock, link_address, operator_address);
    let events = settings.timeline_events as usize;
    let environment = Environment {
        link_address,
        upstream_address: parse_address("upstream", &settings.upstream)?,
        platform,
        recorder: EventRecorder::new(&settings.id, events),
    };
    let driver = AgentDriver::new(options, clock, environment);
    driver.start();
    log::info!("{}: entries connect on {link_address}", settings.id);
    let done =
        tokio::spawn(serve(Arc::clone(&driver), link_listener, operator_listener));
    Ok(AgentHandle {
        link_address,
        operator_address,
        driver,
        done,
    })
}

/// Serves entries and operators until the process has drained.
async fn serve(
    driver: Arc<AgentDriver>,
    link_listener: Listener,
    operator_listener: TcpListener,
) {
    let operator_api = Arc::new(AgentOperatorApi::new(Arc::clone(&driver)));
    let accepting = tokio::spawn(accept_links(Arc::clone(&driver), link_listener));
    tokio::select! {
        () = driver.exit().cancelled() => {}
        () = oper::serve(operator_listener, operator_api) => {}
    }
    accepting.abort();
    driver.links().close(CLOSE_TIMEOUT).await;
    log::info!("{}: drained", driver.id());
}

/// Builds the state machine's options. The incarnation is the start time, in
/// microseconds since the Unix epoch; a seed of 0 selects the incarnation as the seed.
fn agent_options(
    settings: &AgentSettings,
    clock: &Clock,
    link_address: SocketAddr,
    operator_address: SocketAddr,
) -> AgentOptions {
    let incarnation = clock.unix_us_at_zero();
    let seed = match settings.seed {
        0 => incarnation,
        seed => seed,
    };
    AgentOptions {
        id: AgentId::new(&settings.id),
        incarnation: Incarnation(incarnation),
        failure_domain: FailureDomainId::new(&settings.failure_domain),
        pool: PoolId::new(&settings.pool),
        link_address: link_address.to_string(),
        operator_address: operator_address.to_string(),
        seed,
        unix_ms_at_zero: clock.unix_ms_at_zero(),
    }
}
