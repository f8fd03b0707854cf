//! Orders as the ledger tracks them.

use base::{FencingEpoch, Instant, ModelId};
use schema::store::Intent;

/// One version of one model or adapter on one accelerator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Placement {
    /// Index of the accelerator.
    pub accelerator: u32,
    /// Model or adapter.
    pub model: ModelId,
    /// Version.
    pub version: u32,
}

/// An order that may take effect, or may have done so.
#[derive(Debug, Clone)]
pub struct TrackedOrder {
    /// Number, unique over all epochs.
    pub id: u64,
    /// Epoch of the agent that gave it.
    pub epoch: FencingEpoch,
    /// True for a load, false for an unload.
    pub load: bool,
    /// What it concerns.
    pub placement: Placement,
    /// Memory the model takes.
    pub size_mib: u32,
    /// Upstream incarnation it was made for.
    pub upstream_incarnation: u64,
    /// Times this process gave it; 0 while it is only reserved.
    pub sends: u32,
    /// When this process last gave it.
    pub sent_at: Instant,
    /// The upstream said that it will carry it out.
    pub accepted: bool,
    /// The upstream's last report shows that it is being carried out.
    pub in_progress: bool,
    /// A predecessor gave it, or may have.
    pub adopted: bool,
    /// Link address of the predecessor that gave it; empty if this agent gave it
    /// or the address is not known.
    pub giver_address: String,
    /// Agent to which the intent passed when its giver was known dead.
    pub heir: Option<FencingEpoch>,
    /// When the last copy of it can have been given, once that is known; from
    /// then on it can take effect for the longest order delay.
    pub ends_from: Option<Instant>,
}

impl TrackedOrder {
    /// The order as the record of the agent at `own_address` holds it.
    ///
    /// The address is that of the agent which has to be found dead before the
    /// order can end by time: the giver, or the one that it passed to.
    pub fn intent(&self, own_address: &str) -> Intent {
        let is_own = !self.adopted || self.heir.is_some();
        let address = match is_own {
            true => own_address,
            false => &self.giver_address,
        };
        Intent {
            order: self.id,
            epoch: self.heir.unwrap_or(self.epoch).0,
            load: self.load,
            model: self.placement.model.as_str().to_owned(),
            version: self.placement.version,
            accelerator: self.placement.accelerator,
            size_mib: self.size_mib,
            upstream_incarnation: self.upstream_incarnation,
            link_address: address.to_owned(),
        }
    }

    /// No copy of it can be under way any more when a report was made.
    ///
    /// Before the delay is configured that can't be said.
    pub(crate) fn is_over(&self, made_at: Instant, delay_ms: Option<u64>) -> bool {
        match (self.ends_from, delay_ms) {
            (Some(from), Some(delay_ms)) => from.plus_ms(delay_ms) <= made_at,
            _ => false,
        }
    }

    /// It may have been given more than once.
    pub(crate) const fn may_have_copies(&self) -> bool {
        self.adopted || self.sends > 1
    }

    /// An order found in the record of a predecessor.
    ///
    /// Whether the predecessor gave it can't be known, so it counts as given.
    pub(crate) fn adopted(intent: &Intent, now: Instant) -> Self {
        Self {
            id: intent.order,
            epoch: FencingEpoch(intent.epoch),
            load: intent.load,
            placement: Placement {
                accelerator: intent.accelerator,
                model: ModelId::new(&intent.model),
                version: intent.version,
            },
            size_mib: intent.size_mib,
            upstream_incarnation: intent.upstream_incarnation,
            sends: 1,
            sent_at: now,
            accepted: false,
            in_progress: false,
            adopted: true,
            giver_address: intent.link_address.clone(),
            heir: None,
            ends_from: None,
        }
    }
}

/// Why an order can't be reserved now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Blocked {
    /// The instance has no such accelerator.
    NoAccelerator,
    /// The memory in use leaves no room.
    NoRoom,
    /// An order on the same placement has not ended.
    Pending,
    /// The adapter's base is not loaded there, or is being unloaded.
    NoBase,
    /// An adapter is, or may come, on top of the base.
    UnderAdapter,
    /// No report shows what predecessors have done to their end.
    Unseen,
    /// The model is already there, or is not there to be unloaded.
    Nothing,
}

/// How a tracked order ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderEnd {
    /// Number of the order.
    pub id: u64,
    /// True for a load, false for an unload.
    pub load: bool,
    /// What it concerned.
    pub placement: Placement,
    /// It took effect.
    pub done: bool,
}
