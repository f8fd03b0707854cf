//! An engine with memory.

use base::prelude::*;
use role::agent::{
    Order, OrderAnswer, UpstreamOrder, UpstreamOrderState, UpstreamReport,
    UpstreamResident,
};
use std::collections::BTreeMap;

/// An engine that carries out orders and counts its memory.
#[derive(Debug)]
pub struct Engine {
    pub incarnation: u64,
    pub checks_fencing: bool,
    pub fence: u64,
    residents: BTreeMap<(String, u32), (u32, bool)>,
    orders: BTreeMap<u64, (Order, UpstreamOrderState)>,
    /// Most memory there ever was.
    pub peak_mib: u32,
}

impl Engine {
    pub fn new() -> Self {
        Self {
            incarnation: 7,
            checks_fencing: false,
            fence: 0,
            residents: BTreeMap::new(),
            orders: BTreeMap::new(),
            peak_mib: 0,
        }
    }

    /// Takes an order and begins to carry it out.
    pub fn take(&mut self, order: &Order) -> OrderAnswer {
        if self.checks_fencing && order.fencing_token.0 < self.fence {
            return OrderAnswer::Fenced;
        }
        self.fence = self.fence.max(order.fencing_token.0);
        if self.orders.contains_key(&order.id) {
            return OrderAnswer::Accepted;
        }
        let key = (order.model.as_str().to_owned(), order.version);
        if order.load {
            self.residents.entry(key).or_insert((order.size_mib, false));
        }
        let state = UpstreamOrderState::InProgress;
        self.orders.insert(order.id, (order.clone(), state));
        self.peak_mib = self.peak_mib.max(self.memory_mib());
        OrderAnswer::Accepted
    }

    /// Ends the orders in progress.
    pub fn finish(&mut self) {
        for (order, state) in self.orders.values_mut() {
            if *state != UpstreamOrderState::InProgress {
                continue;
            }
            *state = UpstreamOrderState::Done;
            let key = (order.model.as_str().to_owned(), order.version);
            if order.load {
                self.residents.insert(key, (order.size_mib, true));
            } else {
                self.residents.remove(&key);
            }
        }
    }

    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.fence = 0;
        self.residents.clear();
        self.orders.clear();
    }

    pub fn memory_mib(&self) -> u32 {
        self.residents.values().map(|(size, _)| size).sum()
    }

    pub fn holds(&self, model: &str) -> bool {
        let mut residents = self.residents.iter();
        residents.any(|((name, _), (_, loaded))| name == model && *loaded)
    }

    pub fn report(&self) -> UpstreamReport {
        let residents =
            self.residents
                .iter()
                .map(|((model, version), held)| UpstreamResident {
                    model: ModelId::new(model),
                    version: *version,
                    accelerator: 0,
                    size_mib: held.0,
                    loaded: held.1,
                });
        let orders = self.orders.values().map(|(order, state)| UpstreamOrder {
            order: order.id,
            fencing_token: order.fencing_token.0,
            state: *state,
        });
        UpstreamReport {
            incarnation: self.incarnation,
            residents: residents.collect(),
            orders: orders.collect(),
            highest_fencing_token: self.fence,
            ..UpstreamReport::default()
        }
    }
}
