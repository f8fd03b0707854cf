//! Orders to load and unload models.

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;

use super::accelerator::{Resident, ResidentState};
use super::report::{OrderReport, OrderState};
use super::{Engine, Inner};
use crate::fault_count::consume;

/// Body of `POST /admin/orders`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Number chosen by the sender. An order received again has no further effect.
    pub order: u64,
    /// Fencing epoch of the sender.
    pub fence: u64,
    /// Whether to load or to unload.
    pub kind: OrderKind,
    /// Name of the model or adapter.
    pub model: String,
    /// Version of the model or adapter.
    pub version: u32,
    /// Base model, for an adapter.
    #[serde(default)]
    pub base: Option<String>,
    /// Index of the accelerator.
    pub accelerator: u32,
    /// Memory that the model occupies; used for loads only.
    #[serde(default)]
    pub size_mib: u32,
}

/// Action that an order requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load the model.
    Load,
    /// Unload the model.
    Unload,
}

/// Reason why an order was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderError {
    Fenced,
    Invalid,
}

/// Effect of the faults on one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OrderFault {
    None,
    RequestLost,
    Ignored,
    ResponseLost,
    Delayed,
}

/// Identifies a resident whose load or unload is in progress. The incarnation tells
/// whether the engine has crashed since.
#[derive(Debug, Clone)]
struct PendingChange {
    incarnation: u64,
    accelerator: usize,
    model: String,
    version: u32,
}

impl Engine {
    /// Returns the fault that applies to the next order and decrements its count.
    pub(super) fn take_order_fault(&self) -> OrderFault {
        let faults = &mut self.inner.lock().faults;
        if consume(&mut faults.lose_orders) {
            OrderFault::RequestLost
        } else if consume(&mut faults.ignore_orders) {
            OrderFault::Ignored
        } else if consume(&mut faults.lose_order_answers) {
            OrderFault::ResponseLost
        } else if consume(&mut faults.late_orders) {
            OrderFault::Delayed
        } else {
            OrderFault::None
        }
    }

    /// Schedules an order that takes effect late, or holds it back.
    pub(super) fn delay_order(self: &Arc<Self>, order: Order) {
        let mut inner = self.inner.lock();
        let delay_ms = inner.faults.late_order_ms;
        if delay_ms == 0 {
            inner.held_orders.push(order);
            return;
        }
        let engine = Arc::clone(self);
        self.tasks.spawn(async move {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            // The sender's connection is closed, so nobody is told of a refusal.
            let _ = engine.apply_order(order);
        });
    }

    /// Carries out the orders that are held back.
    pub(super) fn deliver_late_orders(self: &Arc<Self>) {
        let held = std::mem::take(&mut self.inner.lock().held_orders);
        for order in held {
            let _ = self.apply_order(order);
        }
    }

    /// Validates and records an order, and starts to carry it out.
    pub(super) fn apply_order(
        self: &Arc<Self>,
        order: Order,
    ) -> Result<(), OrderError> {
        let mut inner = self.inner.lock();
        inner.counts.orders += 1;
        if order.fence < inner.highest_fencing_epoch {
            if self.options.check_fencing {
                inner.counts.orders_fenced += 1;
                return Err(OrderError::Fenced);
            }
            inner.counts.orders_stale += 1;
        }
        let index = order.accelerator as usize;
        if index >= inner.accelerators.len() || order.model.is_empty() {
            return Err(OrderError::Invalid);
        }
        inner.highest_fencing_epoch = inner.highest_fencing_epoch.max(order.fence);
        if inner.orders.contains_key(&order.order) {
            inner.counts.orders_repeated += 1;
            return Ok(());
        }
        inner.add_order(&order, OrderState::InProgress);
        match order.kind {
            OrderKind::Load => self.apply_load(&mut inner, order),
            OrderKind::Unload => self.apply_unload(&mut inner, &order),
        }
        Ok(())
    }

    fn apply_load(self: &Arc<Self>, inner: &mut Inner, order: Order) {
        let index = order.accelerator as usize;
        let found =
            inner.accelerators[index].find_resident(&order.model, order.version);
        match found.map(|resident| (resident.state, resident)) {
            Some((ResidentState::Loaded, _)) => {
                inner.set_order_state(order.order, OrderState::Done);
            }
            Some((ResidentState::Loading, found)) => found.orders.push(order.order),
            Some((ResidentState::Unloading, _)) => {
                inner.set_order_state(order.order, OrderState::Failed);
            }
            None => self.start_load(inner, order),
        }
    }

    fn start_load(self: &Arc<Self>, inner: &mut Inner, order: Order) {
        let index = order.accelerator as usize;
        let pending = PendingChange {
            incarnation: inner.incarnation,
            accelerator: index,
            model: order.model.clone(),
            version: order.version,
        };
        let size_mib = order.size_mib;
        inner.accelerators[index].residents.push(Resident {
            model: order.model,
            version: order.version,
            accelerator: order.accelerator,
            size_mib,
            state: ResidentState::Loading,
            base: order.base.filter(|base| !base.is_empty()),
            orders: vec![order.order],
        });
        let used_mib = inner.accelerators[index].used_mib();
        inner.counts.used_max_mib = inner.counts.used_max_mib.max(used_mib);
        let exceeded = used_mib > u64::from(inner.accelerators[index].capacity_mib);
        inner.counts.overcommits += u64::from(exceeded);
        let fails = consume(&mut inner.faults.fail_loads);
        let engine = Arc::clone(self);
        self.tasks.spawn(async move {
            let loaded = engine.load_weights(&pending.model, size_mib).await && !fails;
            engine.finish_load(&pending, loaded);
        });
    }

    /// Waits until the weights are transferred. Returns whether that succeeded.
    async fn load_weights(&self, model: &str, size_mib: u32) -> bool {
        let Some(store) = self.options.store else {
            tokio::time::sleep(Duration::from_millis(self.options.load_ms)).await;
            return true;
        };
        fetch_weights(store, model, size_mib).await.unwrap_or(false)
    }

    fn finish_load(&self, pending: &PendingChange, succeeded: bool) {
        let mut inner = self.inner.lock();
        if inner.incarnation != pending.incarnation {
            return;
        }
        let accelerator = &mut inner.accelerators[pending.accelerator];
        let Some(resident) = accelerator.find_resident(&pending.model, pending.version)
        else {
            return;
        };
        if resident.state != ResidentState::Loading {
            return;
        }
        resident.state = ResidentState::Loaded;
        let orders = std::mem::take(&mut resident.orders);
        if !succeeded {
            accelerator.remove_resident(&pending.model, pending.version);
        }
        inner.counts.loads += u64::from(succeeded);
        let state = if succeeded {
            OrderState::Done
        } else {
            OrderState::Failed
        };
        for order in orders {
            inner.set_order_state(order, state);
        }
    }

    fn apply_unload(self: &Arc<Self>, inner: &mut Inner, order: &Order) {
        let index = order.accelerator as usize;
        let accelerator = &mut inner.accelerators[index];
        let Some(resident) = accelerator.find_resident(&order.model, order.version)
        else {
            inner.set_order_state(order.order, OrderState::Done);
            return;
        };
        if resident.state == ResidentState::Unloading {
            resident.orders.push(order.order);
            return;
        }
        resident.state = ResidentState::Unloading;
        let obsolete_loads = std::mem::replace(&mut resident.orders, vec![order.order]);
        let aborted = accelerator.abort_runs(&order.model, order.version);
        inner.counts.cut += aborted;
        for load in obsolete_loads {
            inner.set_order_state(load, OrderState::Failed);
        }
        let pending = PendingChange {
            incarnation: inner.incarnation,
            accelerator: index,
            model: order.model.clone(),
            version: order.version,
        };
        let engine = Arc::clone(self);
        self.tasks.spawn(async move {
            tokio::time::sleep(Duration::from_millis(engine.options.unload_ms)).await;
            engine.finish_unload(&pending);
        });
    }

    fn finish_unload(&self, pending: &PendingChange) {
        let mut inner = self.inner.lock();
        if inner.incarnation != pending.incarnation {
            return;
        }
        let accelerator = &mut inner.accelerators[pending.accelerator];
        let Some(resident) =
            accelerator.remove_resident(&pending.model, pending.version)
        else {
            return;
        };
        inner.counts.unloads += 1;
        for order in resident.orders {
            inner.set_order_state(order, OrderState::Done);
        }
    }
}

impl Inner {
    fn add_order(&mut self, order: &Order, state: OrderState) {
        let report = OrderReport {
            order: order.order,
            fence: order.fence,
            state,
        };
        self.orders.insert(order.order, report);
    }

    fn set_order_state(&mut self, order: u64, state: OrderState) {
        if let Some(report) = self.orders.get_mut(&order) {
            report.state = state;
        }
    }
}

impl super::accelerator::Accelerator {
    fn remove_resident(&mut self, model: &str, version: u32) -> Option<Resident> {
        let index = self.residents.iter().position(|resident| {
            resident.model == model && resident.version == version
        })?;
        Some(self.residents.remove(index))
    }
}

/// Requests a model's weights from the weight store. Returns whether it served them.
async fn fetch_weights(
    store: SocketAddr,
    model: &str,
    size_mib: u32,
) -> Result<bool, Box<dyn std::error::Error + Send + Sync>> {
    let stream = TcpStream::connect(store).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::get(format!("/weights/{model}?size_mib={size_mib}"))
        .header(hyper::header::HOST, "store")
        .body(Empty::<Bytes>::new())?;
    let exchange = async move {
        let response = sender.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        Ok::<bool, hyper::Error>(status == StatusCode::OK)
    };
    let (_, transferred) = tokio::join!(connection, exchange);
    Ok(transferred?)
}
