//! What all tasks of the process share.

use base::prelude::*;
use direct::{
    AvoidanceTracker, Config, DemandTracker, Fleet, Lease, MeanPrefillTimes,
    ModelTimeFactors, RetryBudget, Watermark,
};
use parking_lot::Mutex;
use plat::ObjectApi;
use rand_core::Rng;
use rand_pcg::Pcg64Mcg;
use route::{CrashVerdict, SuspectRequests};
use serde_json::json;
use std::collections::BTreeMap;
use std::fmt::Display;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;
use tokio_util::task::TaskTracker;

use super::call::Call;
use super::giver::Giver;
use super::meters::Meters;
use super::peers::Peers;
use super::pool::Pool;
use super::quota::Quotas;
use super::relay::Relay;
use super::stop::Stop;
use super::unread::{Kind, Unread, start_of};
use super::wants::Wants;
use crate::quota::Scope;
use crate::shared_watch::SharedWatches;
use crate::{BootClock, Log, Options, PlatformProtocol};

/// Time for which a verdict on a request that crashes upstreams stands.
const VERDICT_MS: u64 = 60_000;

/// Time for which a renewed lease lets its holder order. Longer than most outages
/// of the platform, and shorter than what a holder that is gone for good may
/// leave upstreams without orders; one that only restarts takes the lease again
/// at once.
const LEASE_VALID_MS: u64 = 5_000;

/// What all tasks of the process share. Each part has its own lock, and none is
/// held across an await.
#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) options: Options,
    pub(crate) dialect: Box<dyn PlatformProtocol>,
    pub(crate) store: Box<dyn ObjectApi>,
    pub(crate) clock: BootClock,
    pub(crate) log: Log,
    pub(crate) meters: Meters,
    pub(crate) pool: Pool,
    /// Start of this process, in milliseconds of the time of day.
    pub(crate) start: u64,
    /// The same by the clock that everything here goes by.
    pub(crate) started_at: Instant,
    /// Configuration in force, and how far it is known.
    pub(crate) setup: Mutex<(Option<Arc<Config>>, Watermark)>,
    pub(crate) fleet: Mutex<Fleet>,
    /// Doubts about upstreams that were told of; locked before the fleet.
    pub(crate) doubts: Mutex<AvoidanceTracker>,
    /// How far the upstreams' entries are known.
    pub(crate) fleet_mark: Mutex<Watermark>,
    /// Demand by service.
    pub(crate) demand: Mutex<BTreeMap<Arc<str>, DemandTracker>>,
    pub(crate) repeats: Mutex<RetryBudget>,
    pub(crate) paces: Mutex<ModelTimeFactors>,
    pub(crate) readings: Mutex<MeanPrefillTimes>,
    pub(crate) suspects: Mutex<SuspectRequests>,
    pub(crate) wants: Wants,
    /// Tokens of workspaces.
    pub(crate) quota: Quotas,
    /// Tokens of upstreams that ask for a rate.
    upstream_tokens: Quotas,
    pub(crate) peers: Peers,
    /// What entries of this failure domain share of their watches.
    pub(crate) shared: SharedWatches,
    pub(crate) lease: Mutex<Lease>,
    pub(crate) relay: Relay,
    pub(crate) giver: Giver,
    /// Told when upstreams come, go or hold something else.
    pub(crate) holdings: Notify,
    /// Told when a request ends and makes room.
    pub(crate) room: Notify,
    pub(crate) stop: Stop,
    /// Tasks of callers' connections; each is there until its last bytes are sent.
    pub(crate) connections: TaskTracker,
    /// What could not be read and was told of.
    pub(crate) unread: Unread,
    random: Mutex<Pcg64Mcg>,
}

impl Node {
    pub(crate) fn new(
        options: Options,
        dialect: Box<dyn PlatformProtocol>,
        store: Box<dyn ObjectApi>,
        log: Log,
    ) -> Self {
        let now = SystemTime::now().duration_since(UNIX_EPOCH);
        let start = now.map_or(0, |now| now.as_millis() as u64);
        let bounds = &options.deployment;
        let repeats = RetryBudget::new(
            BootClock.now(),
            bounds.retry_ratio,
            bounds.retry_burst,
            bounds.retry_window_ms,
        );
        let lease = Lease::new(
            &options.entry,
            start,
            LEASE_VALID_MS,
            bounds.coordinator_takeover_ms,
        );
        let seed =
            xxhash_rust::xxh3::xxh3_64_with_seed(options.entry.as_bytes(), start);
        Self {
            dialect,
            store,
            clock: BootClock,
            log,
            meters: Meters::new(),
            pool: Pool::default(),
            start,
            started_at: BootClock.now(),
            setup: Mutex::default(),
            fleet: Mutex::default(),
            doubts: Mutex::default(),
            fleet_mark: Mutex::default(),
            demand: Mutex::default(),
            repeats: Mutex::new(repeats),
            paces: Mutex::default(),
            readings: Mutex::default(),
            suspects: Mutex::new(SuspectRequests::new(VERDICT_MS)),
            wants: Wants::default(),
            quota: Quotas::new(bounds.quota_overdraft),
            upstream_tokens: Quotas::new(0.0),
            peers: Peers::new(&options),
            shared: SharedWatches::default(),
            lease: Mutex::new(lease),
            relay: Relay::default(),
            giver: Giver::new(bounds.store_load_window_ms),
            holdings: Notify::new(),
            room: Notify::new(),
            stop: Stop::default(),
            connections: TaskTracker::new(),
            unread: Unread::default(),
            random: Mutex::new(Pcg64Mcg::new(u128::from(seed) | 1)),
            options,
        }
    }

    /// The present.
    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// The configuration in force.
    pub(crate) fn setup(&self) -> Option<Arc<Config>> {
        self.setup.lock().0.clone()
    }

    /// Whether the configuration was confirmed lately, so that what it does not
    /// name is not there.
    pub(crate) fn setup_is_fresh(&self) -> bool {
        let mark = self.setup.lock().1;
        mark.is_fresh(self.now(), self.options.deployment.platform_freshness_ms)
    }

    /// A number drawn at random.
    pub(crate) fn random(&self) -> u64 {
        self.random.lock().next_u64()
    }

    /// Whether a request has crashed so many upstreams that it is not sent to
    /// another one.
    pub(crate) fn is_convicted(&self, fingerprint: u64) -> bool {
        let verdict = self.suspects.lock().verdict(self.now(), fingerprint);
        matches!(verdict, CrashVerdict::Convicted { .. })
    }

    /// Whether this entry can serve callers.
    pub(crate) fn is_ready(&self) -> bool {
        let knows_fleet = self.fleet_mark.lock().confirmed_at.is_some();
        !self.stop.is_stopping() && knows_fleet && self.setup().is_some()
    }

    /// Tokens of workspaces or of upstreams.
    pub(crate) const fn quotas(&self, scope: Scope) -> &Quotas {
        match scope {
            Scope::Workspaces => &self.quota,
            Scope::Upstreams => &self.upstream_tokens,
        }
    }

    /// Factor on the time that reading a request's prompt takes.
    pub(crate) fn pace_of(&self, call: &Call) -> f64 {
        let model = call.ask.model.as_ref();
        model.map_or(1.0, |(model, _)| {
            self.paces.lock().factor(&call.service, model)
        })
    }

    /// Counts demand for a model of a service.
    pub(crate) fn with_demand(
        &self,
        service: &Arc<str>,
        change: impl FnOnce(&mut DemandTracker),
    ) {
        let mut demand = self.demand.lock();
        change(demand.entry(Arc::clone(service)).or_default());
    }

    /// Tells of an object that can't be read, unless it was told of as it is.
    pub(crate) fn tell_unread(
        &self,
        kind: Kind,
        key: &str,
        value: &[u8],
        why: impl Display,
    ) {
        if !self.unread.is_new(kind, key, value) {
            return;
        }
        let object = kind.as_str();
        self.meters.unread.with_label_values(&[object]).inc();
        let why = why.to_string();
        self.log.line(
            &format!("{object}_unread"),
            json!({ "key": start_of(key), "why": start_of(&why), "bytes": value.len() }),
        );
    }
}
