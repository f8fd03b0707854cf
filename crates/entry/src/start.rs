//! Startup and shutdown of the process.

use base::prelude::*;
use inbound::{Budget, ConfiguredMachine, Machine};
use line::EventRecorder;
use oper::Clock;
use oper::{BindLinkListenerSnafu, BindListenerSnafu, StartError, parse_address};
use plat::{HttpPlatform, ObjectApi};
use role::entry::{EntryEvent, EntryOptions};
use schema::settings::EntrySettings;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};
use wire::Listener;
use xxhash_rust::xxh3::xxh3_64;

use crate::driver::Driver;
use crate::http::CallerServer;
use crate::links;
use crate::operator_api::EntryOperatorApi;

/// Longest time after the drain for the last bytes to reach callers and peers.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// Low bits of an incarnation that hold a hash of the process's id.
const ID_HASH_BITS: u32 = 12;

/// A running entry.
#[derive(Debug)]
pub struct EntryHandle {
    /// Address on which callers are served over HTTP.
    pub caller_address: SocketAddr,
    /// Address on which links of other entries are accepted.
    pub link_address: SocketAddr,
    /// Address of the operators' listener.
    pub operator_address: SocketAddr,
    driver: Arc<Driver>,
    task: JoinHandle<()>,
}

impl EntryHandle {
    /// Starts draining; a second call has no effect.
    pub fn drain(&self) {
        self.driver.handle_event(EntryEvent::Drain);
    }

    /// Whether the process accepts requests.
    pub fn is_ready(&self) -> bool {
        self.driver.is_ready()
    }

    /// Number of requests in progress.
    pub fn in_progress(&self) -> usize {
        self.driver.active_requests().len()
    }

    /// Waits until the process has drained and closed its connections.
    pub async fn wait_drained(self) {
        // An error means that the task panicked, which the panic hook reported.
        let _ = self.task.await;
    }

    /// Ends the entry at once, as a crash would: links and callers' connections
    /// are closed without draining.
    pub fn abort(self) {
        self.driver.exit().cancel();
        self.driver.links().abort_all();
        self.task.abort();
    }
}

/// Runs an entry until it has drained. The drain starts when `shutdown` completes.
///
/// # Errors
///
/// An address in the settings is invalid or can't be bound.
pub async fn run(
    settings: EntrySettings,
    shutdown: impl Future<Output = ()> + Send,
) -> Result<(), StartError> {
    let mut shutdown = pin!(shutdown);
    // Polled before anything is started, as the first poll installs the signal
    // handlers. Without them, a signal that arrives after the first log line
    // would kill the process without a drain.
    let entry = tokio::select! {
        biased;
        () = shutdown.as_mut() => return Ok(()),
        entry = start(settings) => entry?,
    };
    let driver = Arc::clone(&entry.driver);
    tokio::select! {
        () = shutdown => driver.handle_event(EntryEvent::Drain),
        () = driver.exit().cancelled() => {}
    }
    entry.wait_drained().await;
    Ok(())
}

/// Starts an entry.
///
/// # Errors
///
/// As for [`run`].
pub async fn start(settings: EntrySettings) -> Result<EntryHandle, StartError> {
    let platform = parse_address("platform", &settings.platform)?;
    start_with_platform(settings, Arc::new(HttpPlatform::new(platform))).await
}

/// Starts an entry that uses `platform` instead of the address in its settings.
///
/// # Errors
///
/// As for [`run`].
pub async fn start_with_platform(
    settings: EntrySettings,
    platform: Arc<dyn ObjectApi>,
) -> Result<EntryHandle, StartError> {
    let budget = budget(&settings);
    let callers = bind_caller_listener(&settings.caller_listen, &budget)?;
    let operators = bind_listener("operator_listen", &settings.operator_listen).await?;
    let links = parse_address("link_listen", &settings.link_listen)?;
    let links = Listener::bind(links, wire::DEFAULT_FRAME_MAX_BYTES)
        .await
        .context(BindLinkListenerSnafu)?;
    let link_address = links.local_addr().context(BindLinkListenerSnafu)?;
    let operator_address = local_address("operator_listen", &operators)?;
    let caller_address = local_address("caller_listen", &callers)?;

    let clock = Clock::start();
    let options = entry_options(&settings, &clock, link_address, operator_address);
    let recorder = EventRecorder::new(&settings.id, settings.timeline_events as usize);
    let driver = Driver::new(options, clock, platform, recorder, budget);
    driver.start();
    log::info!(
        "{}: up to {} connections, {} bytes of request bodies",
        settings.id,
        budget.connections,
        budget.bodies_bytes
    );
    log::info!("{}: serves callers on {caller_address}", settings.id);
    let listeners = Listeners {
        callers,
        links,
        operators,
    };
    Ok(EntryHandle {
        caller_address,
        link_address,
        operator_address,
        task: tokio::spawn(listeners.serve(Arc::clone(&driver))),
        driver,
    })
}

/// The three listeners of an entry.
struct Listeners {
    callers: TcpListener,
    links: Listener,
    operators: TcpListener,
}

impl Listeners {
    /// Serves until the process has drained, then closes all connections.
    async fn serve(self, driver: Arc<Driver>) {
        let operator_api = Arc::new(EntryOperatorApi::new(Arc::clone(&driver)));
        // Dropping the set aborts both tasks, also when this future is dropped.
        let mut background = JoinSet::new();
        background.spawn(oper::serve(self.operators, operator_api));
        background.spawn(links::accept_inbound(
            Arc::new(Arc::clone(&driver)),
            self.links,
        ));
        let callers = CallerServer::new(Arc::clone(&driver));
        callers.accept(self.callers).await;
        log::info!("{}: drained", driver.id());
        callers.close(CLOSE_TIMEOUT).await;
        driver.links().close(CLOSE_TIMEOUT).await;
    }
}

fn entry_options(
    settings: &EntrySettings,
    clock: &Clock,
    link_address: SocketAddr,
    operator_address: SocketAddr,
) -> EntryOptions {
    let incarnation = incarnation(&settings.id, clock);
    let peers = settings
        .peers
        .iter()
        .map(|(id, address)| (EntryId::new(id), address.clone()));
    let seed = match settings.seed {
        0 => incarnation.0,
        seed => seed,
    };
    EntryOptions {
        id: EntryId::new(&settings.id),
        incarnation,
        failure_domain: FailureDomainId::new(&settings.failure_domain),
        link_address: link_address.to_string(),
        operator_address: operator_address.to_string(),
        peers: peers.collect(),
        shards: settings.request_shards as usize,
        seed,
        unix_ms_at_zero: clock.unix_ms_at_zero(),
    }
}

/// Incarnation of this run of the process: its start time, with some bits of a
/// hash of its id.
///
/// Attempt ids contain the incarnation but not the entry's id. Without the hash,
/// two entries started in the same microsecond would use the same attempt ids,
/// and an agent would apply the `Cancel` of one to an attempt of the other.
fn incarnation(id: &str, clock: &Clock) -> Incarnation {
    let id_hash = xxh3_64(id.as_bytes()) >> (u64::BITS - ID_HASH_BITS);
    Incarnation((clock.unix_us_at_zero() << ID_HASH_BITS) | id_hash)
}

/// What callers may take of the machine, which the settings may narrow.
fn budget(settings: &EntrySettings) -> Budget {
    let given = |value: u32| (value != 0).then(|| u64::from(value));
    Budget::of(Machine::detect(ConfiguredMachine {
        memory_bytes: given(settings.memory_mib).map(|mib| mib << 20),
        descriptors: given(settings.descriptors_max),
    }))
}

fn bind_caller_listener(
    text: &str,
    budget: &Budget,
) -> Result<TcpListener, StartError> {
    let key = "caller_listen";
    let address = parse_address(key, text)?;
    inbound::bind(address, budget).context(BindListenerSnafu { key })
}

async fn bind_listener(
    key: &'static str,
    text: &str,
) -> Result<TcpListener, StartError> {
    let address = parse_address(key, text)?;
    TcpListener::bind(address)
        .await
        .context(BindListenerSnafu { key })
}

fn local_address(
    key: &'static str,
    listener: &TcpListener,
) -> Result<SocketAddr, StartError> {
    listener.local_addr().context(BindListenerSnafu { key })
}
