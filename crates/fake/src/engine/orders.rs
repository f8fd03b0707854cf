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
use crate::faults::take;

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
pub(super) enum Refused {
    Fenced,
    Bad,
}

/// Effect of the faults on one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Fate {
    Answered,
    Lost,
    Ignored,
    AnswerLost,
    Late,
}

/// Identifies a resident whose load or unload is in progress. The incarnation tells
/// whether the engine has crashed since.
#[derive(Debug, Clone)]
struct Change {
    incarnation: u64,
    accelerator: usize,
    model: String,
    version: u32,
}

impl Engine {
    /// Returns the fault that applies to the next order and decrements its count.
    pub(super) fn order_fate(&self) -> Fate {
        let faults = &mut self.inner.lock().faults;
        if take(&mut faults.lose_orders) {
            Fate::Lost
        } else if take(&mut faults.ignore_orders) {
            Fate::Ignored
        } else if take(&mut faults.lose_order_answers) {
            Fate::AnswerLost
        } else if take(&mut faults.late_orders) {
            Fate::Late
        } else {
            Fate::Answered
        }
    }

    /// Schedules an order that takes effect late, or holds it back.
    pub(super) fn delay(self: &Arc<Self>, order: Order) {
        let mut inner = self.inner.lock();
        let late_ms = inner.faults.late_order_ms;
        if late_ms == 0 {
            inner.late_orders.push(order);
            return;
        }
        let engine = Arc::clone(self);
        self.tasks.spawn(async move {
            tokio::time::sleep(Duration::from_millis(late_ms)).await;
            // The sender's connection is closed, so nobody is told of a refusal.
            let _ = engine.apply(order);
        });
    }

    /// Carries out the orders that are held back.
    pub(super) fn deliver_late_orders(self: &Arc<Self>) {
        let held = std::mem::take(&mut self.inner.lock().late_orders);
        for order in held {
            let _ = self.apply(order);
        }
    }

    /// Validates and records an order, and starts to carry it out.
    pub(super) fn apply(self: &Arc<Self>, order: Order) -> Result<(), Refused> {
        let mut inner = self.inner.lock();
        inner.counts.orders += 1;
        if order.fence < inner.fence {
            if self.options.check_fencing {
                inner.counts.orders_fenced += 1;
                return Err(Refused::Fenced);
            }
            inner.counts.orders_stale += 1;
        }
        let index = order.accelerator as usize;
        if index >= inner.accelerators.len() || order.model.is_empty() {
            return Err(Refused::Bad);
        }
        inner.fence = inner.fence.max(order.fence);
        if inner.orders.contains_key(&order.order) {
            inner.counts.orders_repeated += 1;
            return Ok(());
        }
        inner.record(&order, OrderState::InProgress);
        match order.kind {
            OrderKind::Load => self.load(&mut inner, order),
            OrderKind::Unload => self.unload(&mut inner, &order),
        }
        Ok(())
    }

    fn load(self: &Arc<Self>, inner: &mut Inner, order: Order) {
        let index = order.accelerator as usize;
        let held = inner.accelerators[index].find(&order.model, order.version);
        match held.map(|held| (held.state, held)) {
            Some((ResidentState::Loaded, _)) => {
                inner.settle(order.order, OrderState::Done);
            }
            Some((ResidentState::Loading, held)) => held.orders.push(order.order),
            Some((ResidentState::Unloading, _)) => {
                inner.settle(order.order, OrderState::Failed);
            }
            None => self.begin_load(inner, order),
        }
    }

    fn begin_load(self: &Arc<Self>, inner: &mut Inner, order: Order) {
        let index = order.accelerator as usize;
        let change = Change {
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
        let over = used_mib > u64::from(inner.accelerators[index].capacity_mib);
        inner.counts.overcommits += u64::from(over);
        let fails = take(&mut inner.faults.fail_loads);
        let engine = Arc::clone(self);
        self.tasks.spawn(async move {
            let loaded = engine.transfer(&change.model, size_mib).await && !fails;
            engine.loaded(&change, loaded);
        });
    }

    /// Waits until the weights are transferred. Returns whether that succeeded.
    async fn transfer(&self, model: &str, size_mib: u32) -> bool {
        let Some(store) = self.options.store else {
            tokio::time::sleep(Duration::from_millis(self.options.load_ms)).await;
            return true;
        };
        fetch(store, model, size_mib).await.unwrap_or(false)
    }

    fn loaded(&self, change: &Change, ok: bool) {
        let mut inner = self.inner.lock();
        if inner.incarnation != change.incarnation {
            return;
        }
        let accelerator = &mut inner.accelerators[change.accelerator];
        let Some(held) = accelerator.find(&change.model, change.version) else {
            return;
        };
        if held.state != ResidentState::Loading {
            return;
        }
        held.state = ResidentState::Loaded;
        let orders = std::mem::take(&mut held.orders);
        if !ok {
            accelerator.remove(&change.model, change.version);
        }
        inner.counts.loads += u64::from(ok);
        let state = if ok {
            OrderState::Done
        } else {
            OrderState::Failed
        };
        for order in orders {
            inner.settle(order, state);
        }
    }

    fn unload(self: &Arc<Self>, inner: &mut Inner, order: &Order) {
        let index = order.accelerator as usize;
        let accelerator = &mut inner.accelerators[index];
        let Some(held) = accelerator.find(&order.model, order.version) else {
            inner.settle(order.order, OrderState::Done);
            return;
        };
        if held.state == ResidentState::Unloading {
            held.orders.push(order.order);
            return;
        }
        held.state = ResidentState::Unloading;
        let overtaken = std::mem::replace(&mut held.orders, vec![order.order]);
        let cut = accelerator.cut_runs(&order.model, order.version);
        inner.counts.cut += cut;
        for load in overtaken {
            inner.settle(load, OrderState::Failed);
        }
        let change = Change {
            incarnation: inner.incarnation,
            accelerator: index,
            model: order.model.clone(),
            version: order.version,
        };
        let engine = Arc::clone(self);
        self.tasks.spawn(async move {
            tokio::time::sleep(Duration::from_millis(engine.options.unload_ms)).await;
            engine.unloaded(&change);
        });
    }

    fn unloaded(&self, change: &Change) {
        let mut inner = self.inner.lock();
        if inner.incarnation != change.incarnation {
            return;
        }
        let accelerator = &mut inner.accelerators[change.accelerator];
        let Some(held) = accelerator.remove(&change.model, change.version) else {
            return;
        };
        inner.counts.unloads += 1;
        for order in held.orders {
            inner.settle(order, OrderState::Done);
        }
    }
}

impl Inner {
    fn record(&mut self, order: &Order, state: OrderState) {
        let report = OrderReport {
            order: order.order,
            fence: order.fence,
            state,
        };
        self.orders.insert(order.order, report);
    }

    fn settle(&mut self, order: u64, state: OrderState) {
        if let Some(report) = self.orders.get_mut(&order) {
            report.state = state;
        }
    }
}

impl super::accelerator::Accelerator {
    fn remove(&mut self, model: &str, version: u32) -> Option<Resident> {
        let place = self
            .residents
            .iter()
            .position(|held| held.model == model && held.version == version)?;
        Some(self.residents.remove(place))
    }
}

/// Requests a model's weights from the weight store. Returns whether it served them.
async fn fetch(
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
        let answer = sender.send_request(request).await?;
        let status = answer.status();
        answer.into_body().collect().await?;
        Ok::<bool, hyper::Error>(status == StatusCode::OK)
    };
    let (_, transferred) = tokio::join!(connection, exchange);
    Ok(transferred?)
}
