//! Starting and ending the process.

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

use crate::driver::{Node, Outside};
use crate::link_listener::accept;
use crate::operator_api::OperatedAgent;

/// Longest wait, once drained, for the last frames to reach the entries.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running agent.
#[derive(Debug)]
pub struct AgentHandle {
    /// Address on which entries connect.
    pub link_address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    node: Arc<Node>,
    done: JoinHandle<()>,
}

impl AgentHandle {
    /// Starts to drain; a second call changes nothing.
    pub fn drain(&self) {
        self.node.tell(AgentEvent::Drain);
    }

    /// Whether the process takes work.
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// Number of attempts that are at the upstream.
    pub fn attempts_at_upstream(&self) -> usize {
        self.node.attempts().len()
    }

    /// Waits until the process has drained and closed its connections.
    pub async fn wait_drained(self) {
        // The task ends by itself; a panic in it has been reported.
        let _ = self.done.await;
    }

    /// Ends the process at once, as a crash would: links and connections to
    /// the upstream are cut without a word.
    pub fn abort(self) {
        self.node.exit().cancel();
        self.done.abort();
    }
}

/// Runs an agent until it has drained, which `shutdown` asks for.
///
/// # Errors
///
/// An address of the settings can't be read or bound.
pub async fn run(
    settings: AgentSettings,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<(), StartError> {
    let agent = start(settings).await?;
    let node = Arc::clone(&agent.node);
    tokio::select! {
        () = shutdown => node.tell(AgentEvent::Drain),
        () = node.exit().cancelled() => {}
    }
    agent.wait_drained().await;
    Ok(())
}

/// Starts an agent.
///
/// # Errors
///
/// As for [`run`].
pub async fn start(settings: AgentSettings) -> Result<AgentHandle, StartError> {
    let platform = parse_address("platform", &settings.platform)?;
    start_with_platform(settings, Arc::new(HttpPlatform::new(platform))).await
}

/// Starts an agent on another platform than the one of its settings.
///
/// # Errors
///
/// As for [`run`].
pub async fn start_with_platform(
    settings: AgentSettings,
    platform: Arc<dyn ObjectApi>,
) -> Result<AgentHandle, StartError> {
    let operator_listen = parse_address("operator_listen", &settings.operator_listen)?;
    let operators =
        TcpListener::bind(operator_listen)
            .await
            .context(BindListenerSnafu {
                key: "operator_listen",
            })?;
    let operator_address = operators.local_addr().context(BindListenerSnafu {
        key: "operator_listen",
    })?;
    let link_listen = parse_address("link_listen", &settings.link_listen)?;
    let links = Listener::bind(link_listen, wire::DEFAULT_FRAME_MAX_BYTES)
        .await
        .context(BindLinkListenerSnafu)?;
    let link_address = links.local_addr().context(BindLinkListenerSnafu)?;

    let clock = Clock::start();
    let options = options(&settings, &clock, link_address, operator_address);
    let events = settings.timeline_events as usize;
    let outside = Outside {
        link_address,
        upstream: parse_address("upstream", &settings.upstream)?,
        platform,
        recorder: EventRecorder::new(&settings.id, events),
    };
    let node = Node::new(options, clock, outside);
    node.begin();
    log::info!("{}: entries connect on {link_address}", settings.id);
    let done = tokio::spawn(serve(Arc::clone(&node), links, operators));
    Ok(AgentHandle {
        link_address,
        operator_address,
        node,
        done,
    })
}

/// Serves until the process has drained.
async fn serve(node: Arc<Node>, links: Listener, operators: TcpListener) {
    let operated = Arc::new(OperatedAgent::new(Arc::clone(&node)));
    let accepting = tokio::spawn(accept(Arc::clone(&node), links));
    tokio::select! {
        () = node.exit().cancelled() => {}
        () = oper::serve(operators, operated) => {}
    }
    accepting.abort();
    node.links().close(CLOSE_TIMEOUT).await;
    log::info!("{}: drained", node.id());
}

fn options(
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
