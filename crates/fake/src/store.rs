//! Stand-in for the weight store.
//!
//! Loads start at a limited rate. Up to a number of them run at full speed;
//! beyond that they share the store's bandwidth evenly.

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
use crate::handle::{self, ANY_PORT, StandIn, Tasks, handle_methods};
use crate::http::{self, Answer};

/// How to start the stand-in.
#[derive(Debug, Clone)]
pub struct StoreOptions {
    /// Where weights are served.
    pub listen: SocketAddr,
    /// Where faults are switched.
    pub control: SocketAddr,
    /// Loads that may start per second.
    pub loads_per_s: f64,
    /// Loads that run at full speed at the same time.
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

/// Faults in force; the default is none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Every load is refused with 503.
    pub outage: bool,
    /// Next loads that are refused with 503.
    pub fail_loads: u32,
    /// Factor on the duration of loads; 0 and 1 change nothing.
    pub slow_factor: u32,
}

/// Loads since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Loads asked for.
    pub started: u64,
    /// Loads transferred.
    pub done: u64,
    /// Loads refused by a fault.
    pub refused: u64,
    /// Loads that transfer now.
    pub active: u32,
    /// Most loads that transferred at once.
    pub active_max: u32,
}

/// The stand-in's state.
#[derive(Debug)]
pub struct Store {
    options: StoreOptions,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    next_start: Instant,
    faults: Faults,
    counts: Counts,
}

/// Answer to a load.
#[derive(Debug, Serialize)]
struct Transferred {
    ms: u64,
}

/// How finely a shared load is stepped.
const QUANTUM: Duration = Duration::from_millis(10);

/// Starts the stand-in.
///
/// # Errors
///
/// An address can't be bound.
pub async fn start(options: StoreOptions) -> io::Result<Handle<Store>> {
    let (listen, control) = (options.listen, options.control);
    let store = Arc::new(Store {
        options,
        inner: Mutex::new(Inner {
            next_start: Instant::now(),
            faults: Faults::default(),
            counts: Counts::default(),
        }),
    });
    handle::start(
        store,
        listen,
        control,
        http::Cutter::default(),
        Tasks::default(),
    )
    .await
}

handle_methods!(Store, Faults, Counts);

impl StandIn for Store {
    type Faults = Faults;
    type Counts = Counts;

    fn call(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Pin<Box<dyn Future<Output = Answer> + Send>> {
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

/// Counts a load as active until dropped, also when its caller goes away.
#[derive(Debug)]
struct Active<'a>(&'a Store);

impl<'a> Active<'a> {
    fn new(store: &'a Store) -> Self {
        let mut inner = store.inner.lock();
        inner.counts.active += 1;
        inner.counts.active_max = inner.counts.active_max.max(inner.counts.active);
        Self(store)
    }
}

impl Drop for Active<'_> {
    fn drop(&mut self) {
        self.0.inner.lock().counts.active -= 1;
    }
}

impl Store {
    async fn serve(&self, request: &Request<Incoming>) -> hyper::Response<http::Body> {
        let path = request.uri().path();
        let known = path
            .strip_prefix("/weights/")
            .is_some_and(|m| !m.is_empty());
        if request.method() != Method::GET || !known {
            return http::text(StatusCode::NOT_FOUND, "no such call");
        }
        let begun = Instant::now();
        let Some(start) = self.admit() else {
            return http::text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        };
        tokio::time::sleep_until(start).await;
        self.transfer().await;
        self.inner.lock().counts.done += 1;
        let ms = u64::try_from(begun.elapsed().as_millis()).unwrap_or(u64::MAX);
        http::json(StatusCode::OK, &Transferred { ms })
    }

    /// When a load may start; `None` if it is refused.
    fn admit(&self) -> Option<Instant> {
        let mut inner = self.inner.lock();
        let failed = crate::faults::take(&mut inner.faults.fail_loads);
        if inner.faults.outage || failed {
            inner.counts.refused += 1;
            return None;
        }
        inner.counts.started += 1;
        let start = inner.next_start.max(Instant::now());
        let gap = 1.0 / self.options.loads_per_s.max(f64::MIN_POSITIVE);
        inner.next_start = start + Duration::from_secs_f64(gap.min(GAP_MAX_S));
        Some(start)
    }

    async fn transfer(&self) {
        let _active = Active::new(self);
        let mut left_s = Duration::from_millis(self.options.load_time_ms).as_secs_f64();
        while left_s > 0.0 {
            let speed = self.speed();
            let step = QUANTUM.min(Duration::from_secs_f64(left_s / speed));
            tokio::time::sleep(step.max(STEP_MIN)).await;
            left_s -= step.max(STEP_MIN).as_secs_f64() * speed;
        }
    }

    /// Share of full speed that each load has now.
    fn speed(&self) -> f64 {
        let inner = self.inner.lock();
        let full = f64::from(self.options.full_speed_loads.max(1));
        let share = (full / f64::from(inner.counts.active.max(1))).min(1.0);
        share / f64::from(inner.faults.slow_factor.max(1))
    }
}

/// A lower rate than one load in this time makes no difference to a test.
const GAP_MAX_S: f64 = 3_600.0;

/// Shortest sleep, so that rounding can't make a loop without end.
const STEP_MIN: Duration = Duration::from_micros(100);
