//! Stand-in for the weight store.
//!
//! Loads start at a limited rate. A limited number of them run at full speed; if there
//! are more, all share the store's bandwidth evenly.

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;

use crate::Handle;
use crate::handle::{self, ANY_PORT, StandIn, TaskSet, handle_methods};
use crate::http::{self, ResponseResult};

/// Options of the stand-in.
#[derive(Debug, Clone)]
pub struct StoreOptions {
    /// Address of the listener that serves weights.
    pub listen: SocketAddr,
    /// Address of the control listener.
    pub control: SocketAddr,
    /// Maximum number of loads started per second.
    pub loads_per_s: f64,
    /// Maximum number of concurrent loads at full speed.
    pub full_speed_loads: u32,
    /// Duration of a load at full speed.
    pub load_time_ms: u64,
}

impl Default for StoreOptions {
    fn default() -> Self {
        Self {
            listen: ANY_PORT,
            control: ANY_PORT,
            loads_per_s: 2.0,
            full_speed_loads: 6,
            load_time_ms: 2_000,
        }
    }
}

/// Active faults; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether every load is refused with 503.
    pub outage: bool,
    /// Number of following loads that are refused with 503.
    pub fail_loads: u32,
    /// Factor that multiplies the duration of loads; 0 and 1 have no effect.
    pub slow_factor: u32,
}

/// Counters since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Loads that were accepted.
    pub started: u64,
    /// Loads that completed.
    pub done: u64,
    /// Loads that a fault refused.
    pub refused: u64,
    /// Loads that are transferring weights now.
    pub active: u32,
    /// Maximum of `active`.
    pub active_max: u32,
}

/// Weight store behind a [`Handle`].
#[derive(Debug)]
pub struct Store {
    options: StoreOptions,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    next_start_at: Instant,
    faults: Faults,
    counts: Counts,
}

/// JSON response to a completed load.
#[derive(Debug, Serialize)]
struct LoadResponse {
    ms: u64,
}

/// Interval at which a load's share of the bandwidth is recomputed.
const RATE_UPDATE_INTERVAL: Duration = Duration::from_millis(10);

/// Starts the stand-in.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn start(options: StoreOptions) -> io::Result<Handle<Store>> {
    let (listen, control) = (options.listen, options.control);
    let store = Arc::new(Store {
        options,
        inner: Mutex::new(Inner {
            next_start_at: Instant::now(),
            faults: Faults::default(),
            counts: Counts::default(),
        }),
    });
    handle::start(
        store,
        listen,
        control,
        http::ConnectionCloser::default(),
        TaskSet::default(),
    )
    .await
}

handle_methods!(Store, Faults, Counts);

impl StandIn for Store {
    type Faults = Faults;
    type Counts = Counts;

    fn handle_request(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = ResponseResult> + Send>> {
        Box::pin(async move { Ok(self.serve(&request).await) })
    }

    fn set_faults(&self, faults: Faults) {
        self.inner.lock().faults = faults;
    }

    fn faults(&self) -> Faults {
        self.inner.lock().faults.clone()
    }

    fn counts(&self) -> Counts {
        self.inner.lock().counts.clone()
    }
}

/// Counts a load as active until dropped, also if its client disconnects.
#[derive(Debug)]
struct ActiveLoad<'a>(&'a Store);

impl<'a> ActiveLoad<'a> {
    fn new(store: &'a Store) -> Self {
        let mut inner = store.inner.lock();
        inner.counts.active += 1;
        inner.counts.active_max = inner.counts.active_max.max(inner.counts.active);
        Self(store)
    }
}

impl Drop for ActiveLoad<'_> {
    fn drop(&mut self) {
        self.0.inner.lock().counts.active -= 1;
    }
}

impl Store {
    async fn serve(&self, request: &Request<Incoming>) -> hyper::Response<http::Body> {
        let path = request.uri().path();
        let known = path
            .strip_prefix("/weights/")
            .is_some_and(|model| !model.is_empty());
        if request.method() != Method::GET || !known {
            return http::text_response(StatusCode::NOT_FOUND, "no such call");
        }
        let started_at = Instant::now();
        let Some(start) = self.reserve_start() else {
            return http::text_response(StatusCode::SERVICE_UNAVAILABLE, "outage");
        };
        tokio::time::sleep_until(start).await;
        self.transfer().await;
        self.inner.lock().counts.done += 1;
        let ms = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        http::json_response(StatusCode::OK, &LoadResponse { ms })
    }

    /// Returns the time at which a load may start, or `None` if a fault refuses it.
    fn reserve_start(&self) -> Option<Instant> {
        let mut inner = self.inner.lock();
        let fails = crate::fault_count::consume(&mut inner.faults.fail_loads);
        if inner.faults.outage || fails {
            inner.counts.refused += 1;
            return None;
        }
        inner.counts.started += 1;
        let start = inner.next_start_at.max(Instant::now());
        let interval_s = 1.0 / self.options.loads_per_s.max(f64::MIN_POSITIVE);
        inner.next_start_at =
            start + Duration::from_secs_f64(interval_s.min(START_INTERVAL_MAX_S));
        Some(start)
    }

    async fn transfer(&self) {
        let _active_load = ActiveLoad::new(self);
        let mut remaining_s =
            Duration::from_millis(self.options.load_time_ms).as_secs_f64();
        while remaining_s > 0.0 {
            let speed = self.relative_speed();
            let step =
                RATE_UPDATE_INTERVAL.min(Duration::from_secs_f64(remaining_s / speed));
            tokio::time::sleep(step.max(SLEEP_MIN)).await;
            remaining_s -= step.max(SLEEP_MIN).as_secs_f64() * speed;
        }
    }

    /// Returns the current speed of each load, as a fraction of full speed.
    fn relative_speed(&self) -> f64 {
        let inner = self.inner.lock();
        let full = f64::from(self.options.full_speed_loads.max(1));
        let share = (full / f64::from(inner.counts.active.max(1))).min(1.0);
        share / f64::from(inner.faults.slow_factor.max(1))
    }
}

/// Maximum interval between the starts of two loads, in seconds. Lower rates make no
/// difference to a test, and the interval of a rate near zero would overflow
/// `Duration`.
const START_INTERVAL_MAX_S: f64 = 3_600.0;

/// Minimum sleep. Without it, rounding could produce zero-length steps and an endless
/// loop.
const SLEEP_MIN: Duration = Duration::from_micros(100);
