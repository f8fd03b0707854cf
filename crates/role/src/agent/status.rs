//! Status of an agent, as shown to operators.

use super::AgentRole;
use serde::Serialize;

/// Status of an agent, as shown to operators.
#[derive(Debug, Clone, Serialize)]
pub struct AgentStatus {
    /// Name of the instance.
    pub id: String,
    /// Incarnation of this process.
    pub incarnation: u64,
    /// Epoch, which is also the fencing epoch of its orders; 0 before it is
    /// taken.
    pub epoch: u64,
    /// A successor has taken over.
    pub fenced: bool,
    /// Configuration revision in force.
    pub revision: u64,
    /// The process accepts work.
    pub ready: bool,
    /// The process is draining.
    pub leaving: bool,
    /// The upstream can be reached.
    pub upstream_up: bool,
    /// Incarnation of the upstream; 0 before its first report.
    pub upstream_incarnation: u64,
    /// Memory of each accelerator.
    pub accelerators: Vec<AcceleratorStatus>,
    /// Orders that may still take effect.
    pub orders: Vec<OrderStatus>,
    /// Planner whose target is followed; empty for none.
    pub target_planner: String,
    /// Number of attempts in progress.
    pub attempts: usize,
    /// Claims held by attempts in progress.
    pub claims_held: usize,
}

/// Memory of one accelerator.
#[derive(Debug, Clone, Serialize)]
pub struct AcceleratorStatus {
    /// Total memory, in MiB.
    pub capacity_mib: u64,
    /// Memory that is in use or may come into use, in MiB.
    pub in_use_mib: u64,
    /// Models and adapters that the upstream reports, as `name@version`.
    pub residents: Vec<String>,
}

/// One order that may still take effect.
#[derive(Debug, Clone, Serialize)]
pub struct OrderStatus {
    /// Number of the order.
    pub order: u64,
    /// Epoch of the agent that sent it.
    pub epoch: u64,
    /// `load` or `unload`.
    pub kind: &'static str,
    /// Model or adapter.
    pub model: String,
    /// Version of the model.
    pub version: u32,
    /// Index of the accelerator.
    pub accelerator: u32,
    /// Times this process sent it; 0 while its intent is being recorded.
    pub sends: u32,
}

impl AgentRole {
    /// Returns the agent's status.
    pub fn status(&self) -> AgentStatus {
        AgentStatus {
            id: self.options.id.as_str().to_owned(),
            incarnation: self.options.incarnation.0,
            epoch: self.record.epoch().0,
            fenced: self.record.is_fenced(),
            revision: self.revision().0,
            ready: self.ready,
            leaving: self.drain.is_some(),
            upstream_up: self.upstream.is_up(),
            upstream_incarnation: self.ledger.upstream_incarnation().unwrap_or(0),
            accelerators: self.accelerator_status(),
            orders: self.order_status(),
            target_planner: self.targets.planner().to_owned(),
            attempts: self.attempts.len(),
            claims_held: self.claims.held_count(),
        }
    }

    fn accelerator_status(&self) -> Vec<AcceleratorStatus> {
        let status = |accelerator: u32| {
            let on_accelerator = self
                .ledger
                .residents()
                .filter(|resident| resident.placement.accelerator == accelerator);
            AcceleratorStatus {
                capacity_mib: self.ledger.capacity_mib(accelerator),
                in_use_mib: self.ledger.in_use_mib(accelerator),
                residents: on_accelerator
                    .map(|resident| {
                        format!(
                            "{}@{}",
                            resident.placement.model, resident.placement.version
                        )
                    })
                    .collect(),
            }
        };
        (0..self.ledger.accelerators()).map(status).collect()
    }

    fn order_status(&self) -> Vec<OrderStatus> {
        let orders = self.ledger.orders().map(|order| OrderStatus {
            order: order.id,
            epoch: order.epoch.0,
            kind: if order.load { "load" } else { "unload" },
            model: order.placement.model.as_str().to_owned(),
            version: order.placement.version,
            accelerator: order.placement.accelerator,
            sends: order.send_count,
        });
        orders.collect()
    }
}
