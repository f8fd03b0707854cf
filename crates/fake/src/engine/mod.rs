//! Stand-in for a model engine.
//!
//! Each accelerator uses continuous batching: a step generates one token for every
//! running request, and takes 1% longer for each request beyond the first. Prefill
//! takes steps in proportion to the prompt tokens that are not in the prefix cache.
//! Memory is accounted for but not enforced: an order that exceeds an accelerator's
//! memory is carried out and counted in [`Counts::overcommits`], so that errors in the
//! sender's memory accounting are detected.

mod accelerator;
mod faults;
mod orders;
mod prefix_cache;
mod report;
mod response_body;
mod run;
mod serve;

use parking_lot::Mutex;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Notify;

use crate::Handle;
use crate::handle::{self, ANY_PORT, TaskSet, handle_methods};
use crate::http::ConnectionCloser;

pub use accelerator::{Resident, ResidentState};
pub use faults::{Counts, Faults};
pub use orders::{Order, OrderKind};
pub use report::{OrderReport, Report};

use accelerator::Accelerator;

/// Options of the stand-in.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Address of the API listener.
    pub listen: SocketAddr,
    /// Address of the control listener.
    pub control: SocketAddr,
    /// Memory of each accelerator.
    pub accelerators_mib: Vec<u32>,
    /// Duration of a step with one request in the batch.
    pub step_us: u64,
    /// Maximum number of requests in one accelerator's batch.
    pub slots: usize,
    /// Maximum number of requests that wait for one accelerator; more are refused.
    pub waiting_max: usize,
    /// Prompt tokens of one request that a step prefills.
    pub prefill_tokens_per_step: u64,
    /// Capacity of one accelerator's prefix cache, in blocks.
    pub prefix_blocks: usize,
    /// Whether an order is refused if its fencing epoch is lower than one already seen.
    pub check_fencing: bool,
    /// Address of the weight store; without one, a load takes `load_ms`.
    pub store: Option<SocketAddr>,
    /// Duration of a load without a weight store.
    pub load_ms: u64,
    /// Duration of an unload.
    pub unload_ms: u64,
    /// Text that crashes the engine when a request with it in the prompt starts to run.
    pub crash_text: Option<String>,
    /// Time from a crash to the next incarnation.
    pub restart_ms: u64,
    /// Incarnation at the start; each crash increments it.
    pub incarnation: u64,
}

impl Default for EngineOptions {
    fn default() -> Self {
        Self {
            listen: ANY_PORT,
            control: ANY_PORT,
            accelerators_mib: vec![81_920],
            step_us: 10_000,
            slots: 16,
            waiting_max: 256,
            prefill_tokens_per_step: 512,
            prefix_blocks: 4_096,
            check_fencing: false,
            store: None,
            load_ms: 2_000,
            unload_ms: 50,
            crash_text: None,
            restart_ms: 1_000,
            incarnation: 1,
        }
    }
}

/// Engine behind a [`Handle`].
#[derive(Debug)]
pub struct Engine {
    options: EngineOptions,
    inner: Mutex<Inner>,
    /// Wakes the stepping task of each accelerator when work arrives.
    step_wakeups: Vec<Notify>,
    connection_closer: ConnectionCloser,
    tasks: TaskSet,
}

#[derive(Debug)]
struct Inner {
    incarnation: u64,
    /// Highest fencing epoch of an order in this incarnation.
    highest_fencing_epoch: u64,
    accelerators: Vec<Accelerator>,
    orders: BTreeMap<u64, OrderReport>,
    /// Last report and its time, served again while it is younger than the report lag.
    cached_report: Option<(tokio::time::Instant, Report)>,
    faults: Faults,
    counts: Counts,
    /// Orders held back until the control command `deliver`.
    held_orders: Vec<Order>,
}

/// Starts the stand-in.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn start(options: EngineOptions) -> io::Result<Handle<Engine>> {
    let (connection_closer, tasks) = (ConnectionCloser::default(), TaskSet::default());
    let (listen, control) = (options.listen, options.control);
    let engine = Arc::new(Engine {
        inner: Mutex::new(Inner::new(&options)),
        step_wakeups: options
            .accelerators_mib
            .iter()
            .map(|_| Notify::new())
            .collect(),
        options,
        connection_closer: connection_closer.clone(),
        tasks: tasks.clone(),
    });
    for index in 0..engine.step_wakeups.len() {
        tasks.spawn(Arc::clone(&engine).run_steps(index));
    }
    handle::start(engine, listen, control, connection_closer, tasks).await
}

handle_methods!(Engine, Faults, Counts);

impl Handle<Engine> {
    /// Crashes the engine; it restarts after `restart_ms`.
    pub fn crash(&self) {
        self.stand_in.crash();
    }

    /// Carries out the orders that are held back.
    pub fn deliver_late_orders(&self) {
        self.stand_in.deliver_late_orders();
    }

    /// Returns the engine's current state, without report lag.
    pub fn report(&self) -> Report {
        self.stand_in.inner.lock().fresh_report()
    }
}

impl Inner {
    fn new(options: &EngineOptions) -> Self {
        let accelerators = options
            .accelerators_mib
            .iter()
            .map(|capacity_mib| Accelerator::new(*capacity_mib, options.prefix_blocks));
        Self {
            incarnation: options.incarnation,
            highest_fencing_epoch: 0,
            accelerators: accelerators.collect(),
            orders: BTreeMap::new(),
            cached_report: None,
            faults: Faults::default(),
            counts: Counts::default(),
            held_orders: Vec::new(),
        }
    }
}

/// Interval at which a frozen accelerator checks whether it may continue.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Engine {
    async fn run_steps(self: Arc<Self>, index: usize) {
        loop {
            let Some(duration) = self.step_duration(index) else {
                self.step_wakeups[index].notified().await;
                continue;
            };
            tokio::time::sleep(duration).await;
            if self.inner.lock().faults.frozen {
                tokio::time::sleep(FROZEN_POLL_INTERVAL).await;
                continue;
            }
            if self.step(index) {
                self.crash();
            }
        }
    }

    /// Returns the duration of the next step, or `None` if the accelerator is idle.
    fn step_duration(&self, index: usize) -> Option<Duration> {
        let inner = self.inner.lock();
        let accelerator = &inner.accelerators[index];
        if accelerator.is_idle() {
            return None;
        }
        let batch = accelerator.next_batch_size(self.options.slots) as u64;
        let batch_percent = 100 + batch.saturating_sub(1);
        let slow_factor = u64::from(inner.faults.slow_factor.max(1));
        let step_us = self.options.step_us * batch_percent * slow_factor / 100;
        Some(Duration::from_micros(step_us))
    }

    /// Runs one step of an accelerator. Returns whether a request crashed the engine.
    fn step(&self, index: usize) -> bool {
        let mut guard = self.inner.lock();
        let inner = &mut *guard;
        inner.accelerators[index].step(&self.options, &mut inner.counts)
    }

    /// Closes all connections, drops all state of the incarnation, and accepts
    /// connections again after the restart time.
    fn crash(self: &Arc<Self>) {
        {
            let mut inner = self.inner.lock();
            inner.incarnation += 1;
            inner.highest_fencing_epoch = 0;
            inner.orders.clear();
            inner.cached_report = None;
            inner.counts.crashes += 1;
            for accelerator in &mut inner.accelerators {
                accelerator.reset(self.options.prefix_blocks);
            }
        }
        self.connection_closer.set_rejecting(true);
        let engine = Arc::clone(self);
        self.tasks.spawn(async move {
            tokio::time::sleep(Duration::from_millis(engine.options.restart_ms)).await;
            let closed = engine.inner.lock().faults.closed;
            engine.connection_closer.set_rejecting(closed);
        });
    }
}
