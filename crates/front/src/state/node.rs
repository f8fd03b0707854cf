//! State shared by all tasks of the process.

use base::prelude::*;
use direct::{
    AvoidanceTracker, Config, DemandTracker, EstimateCorrections, Fleet, IntakeLimit,
    Lease, Limits, MeanPrefillTimes, ModelTimeFactors, ResponseMemory, RetryBudget,
    StreamDurations, Watermark,
};
use inbound::{BodyMemory, Budget, ConnectionTable};
use parking_lot::Mutex;
use plat::ObjectApi;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use route::{CrashVerdict, SuspectParts, SuspectRequests};
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use super::caller_request::CallerRequest;
use super::connection_pool::ConnectionPool;
use super::coordinator::Coordinator;
use super::entry_queues::EntryQueues;
use super::fair_shares::FairShareRegistry;
use super::lease_relay::LeaseRelay;
use super::metered_platform::MeteredPlatform;
use super::metrics::Metrics;
use super::peers::Peers;
use super::quota::Quotas;
use super::shutdown::Shutdown;
use super::stream_origins::StreamOriginTable;
use super::unreadable::{ObjectKind, UnreadableObjects, truncated};
use super::wanted_adapters::WantedAdapters;
use crate::crash::incarnation_hash_of;
use crate::origin_records::OriginRecords;
use crate::quota::Scope;
use crate::refused_parts::ChangedParts;
use crate::shared_watch::SharedWatches;
use crate::start_state::StartState;
use crate::{BootClock, Log, Options, PlatformProtocol};

/// Time for which a request stays convicted of crashing upstreams.
const CRASH_VERDICT_MS: u64 = 60_000;

/// Number of crashes without another possible cause that convict a request.
const CONVICTING_CRASHES: usize = 2;

/// Time for which a renewed lease entitles its holder to send orders. It is
/// longer than most outages of the platform, and shorter than the time for
/// which upstreams may go without orders after a holder is gone for good. A
/// holder that merely restarts acquires the lease again at once.
const LEASE_VALID_MS: u64 = 5_000;

/// Time after the start within which the first configuration is waited for. If
/// it takes longer, the platform is in trouble, and callers are refused at once.
const FIRST_CONFIG_MS: u64 = 3_000;

/// This entry: the state shared by all tasks of the process. Each part has its
/// own lock, and none is held across an await.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) options: Options,
    pub(crate) protocol: Box<dyn PlatformProtocol>,
    /// The platform's object storage, shared by all entries.
    pub(crate) platform: Box<dyn ObjectApi>,
    /// Latest known generation of the platform, once there is any.
    generation: Mutex<Option<u64>>,
    /// Notified when the platform was restored from an older copy.
    pub(crate) platform_restored: Notify,
    pub(crate) clock: BootClock,
    pub(crate) log: Log,
    pub(crate) metrics: Metrics,
    pub(crate) connections: ConnectionPool,
    /// Start time of this process, in milliseconds since the Unix epoch.
    pub(crate) started_unix_ms: u64,
    /// The same start time by the process's monotonic clock.
    pub(crate) started_at: Instant,
    /// Configuration in force, and how current it is.
    pub(crate) config: Mutex<(Option<Arc<Config>>, Watermark)>,
    pub(crate) fleet: Mutex<Fleet>,
    /// Logged reasons to avoid upstreams. Locked before the fleet.
    pub(crate) avoidance: Mutex<AvoidanceTracker>,
    /// How current the upstreams' records are.
    pub(crate) fleet_watermark: Mutex<Watermark>,
    /// Demand by service.
    pub(crate) demand: Mutex<BTreeMap<Arc<str>, DemandTracker>>,
    pub(crate) retry_budget: Mutex<RetryBudget>,
    pub(crate) time_factors: Mutex<ModelTimeFactors>,
    pub(crate) mean_prefill_times: Mutex<MeanPrefillTimes>,
    /// How long streams last.
    pub(crate) stream_durations: Mutex<StreamDurations>,
    pub(crate) estimate_corrections: Mutex<EstimateCorrections>,
    pub(crate) suspects: Mutex<SuspectRequests>,
    pub(crate) suspect_parts: Mutex<SuspectParts>,
    /// Memory for the bodies of responses, until callers have got them.
    pub(crate) response_memory: Arc<Mutex<ResponseMemory>>,
    /// What callers may take of this machine.
    pub(crate) budget: Budget,
    /// Memory for the bodies of requests.
    pub(crate) body_memory: Arc<BodyMemory>,
    /// Connections of callers.
    pub(crate) caller_table: Arc<ConnectionTable>,
    /// Parts whose objects in the platform are to be written.
    pub(crate) changed_parts: ChangedParts,
    /// Which new connections of callers are accepted.
    pub(crate) intake_limit: Mutex<IntakeLimit>,
    pub(crate) wanted_adapters: WantedAdapters,
    /// Requests that wait for a place at an engine.
    pub(crate) entry_queues: EntryQueues,
    /// Shares of workspaces in scarce upstreams.
    pub(crate) fair_shares: FairShareRegistry,
    /// Quota tokens of workspaces.
    pub(crate) workspace_quotas: Quotas,
    /// Rate tokens of upstreams that advertise a rate.
    upstream_quotas: Quotas,
    pub(crate) peers: Peers,
    /// Where streams began.
    pub(crate) stream_origins: StreamOriginTable,
    /// Records in the platform of where streams began.
    pub(crate) origin_records: OriginRecords,
    /// Transfers of state to entries that start.
    pub(crate) start_state: StartState,
    /// The platform watches shared within this failure domain.
    pub(crate) shared_watches: SharedWatches,
    pub(crate) lease: Mutex<Lease>,
    pub(crate) lease_relay: LeaseRelay,
    pub(crate) coordinator: Coordinator,
    /// Notified when a configuration comes into force.
    pub(crate) config_adopted: Notify,
    /// Whether a part of the first list of upstreams was applied.
    pub(crate) has_first_upstreams: AtomicBool,
    /// Notified when upstreams appear, disappear or change their holdings.
    pub(crate) holdings_changed: Notify,
    /// Notified when a request ends and frees capacity.
    pub(crate) capacity_freed: Notify,
    pub(crate) shutdown: Shutdown,
    /// Tasks of callers' connections. Each task ends once the last bytes of its
    /// connection are sent.
    pub(crate) caller_connections: TaskTracker,
    /// Objects that can't be decoded and have been reported.
    pub(crate) unreadable: UnreadableObjects,
    random: Mutex<Pcg64Mcg>,
}

impl Node {
    pub(crate) fn new(
        options: Options,
        budget: Budget,
        protocol: Box<dyn PlatformProtocol>,
        platform: Box<dyn ObjectApi>,
        log: Log,
    ) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let started_unix_ms = now.map_or(0, |now| now.as_millis() as u64);
        let deployment = &options.deployment;
        let retry_budget = RetryBudget::new(
            BootClock.now(),
            deployment.retry_ratio,
            deployment.retry_burst,
            deployment.retry_window_ms,
        );
        let mut lease = Lease::new(
            &options.entry,
            started_unix_ms,
            LEASE_VALID_MS,
            deployment.coordinator_takeover_ms,
        );
        if !options.is_first_start {
            lease.set_later_start();
        }
        let seed = xxhash_rust::xxh3::xxh3_64_with_seed(
            options.entry.as_bytes(),
            started_unix_ms,
        );
        let response_memory = ResponseMemory::new(budget.responses_bytes);
        let metrics = Metrics::new();
        let calls = metrics.platform_calls.clone();
        let transfer_bytes = metrics.transfer_bytes.clone();
        Self {
            protocol,
            platform: Box::new(MeteredPlatform::new(
                platform,
                options.keys.clone(),
                calls,
                transfer_bytes,
            )),
            generation: Mutex::default(),
            platform_restored: Notify::new(),
            clock: BootClock,
            log,
            metrics,
            connections: ConnectionPool::default(),
            started_unix_ms,
            started_at: BootClock.now(),
            config: Mutex::default(),
            fleet: Mutex::default(),
            avoidance: Mutex::default(),
            fleet_watermark: Mutex::default(),
            demand: Mutex::default(),
            retry_budget: Mutex::new(retry_budget),
            time_factors: Mutex::default(),
            mean_prefill_times: Mutex::default(),
            stream_durations: Mutex::default(),
            estimate_corrections: Mutex::default(),
            suspects: Mutex::new(SuspectRequests::new(CRASH_VERDICT_MS)),
            suspect_parts: Mutex::default(),
            response_memory: Arc::new(Mutex::new(response_memory)),
            body_memory: BodyMemory::new(budget.bodies_bytes, budget.bodies_max_bytes),
            caller_table: ConnectionTable::new(budget.connections),
            budget,
            changed_parts: ChangedParts::default(),
            intake_limit: Mutex::default(),
            wanted_adapters: WantedAdapters::default(),
            entry_queues: EntryQueues::default(),
            fair_shares: FairShareRegistry::default(),
            workspace_quotas: Quotas::new(deployment.quota_overdraft),
            upstream_quotas: Quotas::new(0.0),
            peers: Peers::new(&options),
            stream_origins: StreamOriginTable::default(),
            origin_records: OriginRecords::default(),
            start_state: StartState::default(),
            shared_watches: SharedWatches::default(),
            lease: Mutex::new(lease),
            lease_relay: LeaseRelay::default(),
            coordinator: Coordinator::new(deployment.store_load_window_ms),
            config_adopted: Notify::new(),
            has_first_upstreams: AtomicBool::new(false),
            holdings_changed: Notify::new(),
            capacity_freed: Notify::new(),
            shutdown: Shutdown::default(),
            caller_connections: TaskTracker::new(),
            unreadable: UnreadableObjects::default(),
            random: Mutex::new(Pcg64Mcg::new(u128::from(seed) | 1)),
            options,
        }
    }

    /// Returns the current time.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the configuration in force.
    pub(crate) fn config(&self) -> Option<Arc<Config>> {
        self.config.lock().0.clone()
    }

    /// Returns the limits in force on what callers send.
    pub(crate) fn limits(&self) -> Limits {
        let config = self.config();
        config
            .map(|config| config.limits.clone())
            .unwrap_or_default()
    }

    /// Returns the configuration in force. A process that has just started waits
    /// for its first one, `max_wait` at most: it arrives within a second, and a
    /// caller that is refused may have no retry left.
    pub(crate) async fn first_config(&self, max_wait: Duration) -> Option<Arc<Config>> {
        let wait_end = self
            .now()
            .plus_ms(max_wait.as_millis() as u64)
            .min(self.started_at.plus_ms(FIRST_CONFIG_MS));
        loop {
            let adopted = self.config_adopted.notified();
            let config = self.config();
            let remaining = wait_end.since(self.now());
            if config.is_some() || remaining.is_zero() {
                return config;
            }
            // The next iteration checks, whether it was notified or timed out.
            let _ = timeout(remaining, adopted).await;
        }
    }

    /// Returns whether all upstreams in the platform's records are known.
    pub(crate) fn knows_upstreams(&self) -> bool {
        self.fleet_watermark.lock().confirmed_at.is_some()
    }

    /// Returns whether the configuration was confirmed recently, so that what
    /// it doesn't contain doesn't exist.
    pub(crate) fn config_is_fresh(&self) -> bool {
        let watermark = self.config.lock().1;
        watermark.is_fresh(self.now(), self.options.deployment.platform_freshness_ms)
    }

    /// Returns a random number.
    pub(crate) fn random(&self) -> u64 {
        self.random.lock().next_u64()
    }

    /// Returns whether a request has crashed so many upstreams that it must not
    /// be sent to another one. Crashes of which a part of other requests may be the
    /// cause don't count.
    pub(crate) fn is_convicted(&self, request: &CallerRequest) -> bool {
        let now = self.now();
        let mut suspects = self.suspects.lock();
        let verdict = suspects.verdict(now, request.fingerprint);
        if !matches!(verdict, CrashVerdict::Convicted { .. }) {
            return false;
        }
        let crashed: Vec<AgentId> =
            suspects.crashed_agents(request.fingerprint).collect();
        drop(suspects);
        let parts = self.suspect_parts.lock();
        let explained = crashed.iter().filter(|source| {
            parts.explains(now, incarnation_hash_of(source), &request.shared_parts)
        });
        let explained = explained.count();
        explained == 0 || crashed.len() - explained >= CONVICTING_CRASHES
    }

    /// Returns the outcome of a request whose connection ended before its response.
    pub(crate) fn unfinished_outcome(&self) -> &'static str {
        if self.shutdown.finished.is_cancelled() {
            "process_ended"
        } else {
            "caller_gone"
        }
    }

    /// Returns whether this entry can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        let knows_some = self.has_first_upstreams.load(Ordering::Relaxed);
        !self.shutdown.is_stopping() && knows_some && self.config().is_some()
    }

    /// Returns the tokens of workspaces or of upstreams.
    pub(crate) const fn quotas(&self, scope: Scope) -> &Quotas {
        match scope {
            Scope::Workspaces => &self.workspace_quotas,
            Scope::Upstreams => &self.upstream_quotas,
        }
    }

    /// Returns the factor on the estimated prefill time of a request.
    pub(crate) fn time_factor_of(&self, request: &CallerRequest) -> f64 {
        let model = request.head.model.as_ref();
        model.map_or(1.0, |(model, _)| {
            self.time_factors.lock().factor(&request.service, model)
        })
    }

    /// Updates the demand for a service.
    pub(crate) fn update_demand(
        &self,
        service: &Arc<str>,
        change: impl FnOnce(&mut DemandTracker),
    ) {
        let mut demand = self.demand.lock();
        change(demand.entry(Arc::clone(service)).or_default());
    }

    /// Records a generation of the platform that an own call or another entry named. A
    /// later one than the known one means that the platform was restored from an older
    /// copy.
    pub(crate) fn observe_generation(&self, generation: u64) {
        let mut known = self.generation.lock();
        let before = *known;
        *known = before.max(Some(generation));
        drop(known);
        if before < Some(generation) {
            if before.is_some() {
                self.fleet.lock().platform_restored(self.now());
                self.platform_restored.notify_waiters();
            }
            self.log.line(
                "platform_generation",
                json!({ "generation": generation, "before": before }),
            );
        }
    }

    /// Returns the latest known generation of the platform.
    pub(crate) fn generation(&self) -> Option<u64> {
        *self.generation.lock()
    }

    /// Reports an object that can't be decoded, unless it was reported with the
    /// same content.
    pub(crate) fn report_unreadable(
        &self,
        kind: ObjectKind,
        key: &str,
        value: &[u8],
        why: impl Display,
    ) {
        if !self.unreadable.is_new(kind, key, value) {
            return;
        }
        let object = kind.as_str();
        self.metrics.unreadable.with_label_values(&[object]).inc();
        let why = why.to_string();
        self.log.line(
            &format!("{object}_unread"),
            json!({ "key": truncated(key), "why": truncated(&why), "bytes": value.len() }),
        );
    }
}
