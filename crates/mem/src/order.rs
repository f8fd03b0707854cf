//! Orders that the ledger tracks.

use base::{FencingEpoch, Instant, ModelId};
use schema::store::Intent;

/// One version of a model or adapter on one accelerator.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Placement {
    /// Index of the accelerator.
    pub accelerator: u32,
    /// Model or adapter.
    pub model: ModelId,
    /// Version of the model or adapter.
    pub version: u32,
}

/// An order to load or unload that may take effect or may have done so.
#[derive(Debug, Clone)]
pub struct TrackedOrder {
    /// Order number, unique over all epochs.
    pub id: u64,
    /// Epoch of the agent that issued the order.
    pub epoch: FencingEpoch,
    /// True for a load, false for an unload.
    pub load: bool,
    /// The model and accelerator to load to or unload from.
    pub placement: Placement,
    /// Memory that the model takes, in MiB.
    pub size_mib: u32,
    /// Upstream incarnation for which the order was issued.
    pub upstream_incarnation: u64,
    /// Number of times that this process sent the order; 0 while it is only
    /// reserved.
    pub send_count: u32,
    /// When this process last sent the order.
    pub sent_at: Instant,
    /// The upstream has accepted the order.
    pub accepted: bool,
    /// The upstream's last report lists the order as in progress.
    pub in_progress: bool,
    /// A predecessor sent the order or may have done so.
    pub adopted: bool,
    /// Link address of the predecessor that issued the order; empty if this
    /// agent issued it or the address is unknown.
    pub issuer_address: String,
    /// Agent that took over the intent when the issuer was known to be dead.
    pub inherited_by: Option<FencingEpoch>,
    /// Time after which no copy of the order is sent any more, if known. From
    /// then on the order can take effect for the longest order delay.
    pub no_send_after: Option<Instant>,
}

impl TrackedOrder {
    /// Converts the order to the intent that the record of the agent at
    /// `own_address` stores.
    ///
    /// The intent contains the address of the agent that must be known to be
    /// dead before the order can expire: the issuer, or the agent that took the
    /// intent over.
    pub fn intent(&self, own_address: &str) -> Intent {
        let uses_own_address = !self.adopted || self.inherited_by.is_some();
        let address = match uses_own_address {
            true => own_address,
            false => &self.issuer_address,
        };
        Intent {
            order: self.id,
            epoch: self.inherited_by.unwrap_or(self.epoch).0,
            load: self.load,
            model: self.placement.model.as_str().to_owned(),
            version: self.placement.version,
            accelerator: self.placement.accelerator,
            size_mib: self.size_mib,
            upstream_incarnation: self.upstream_incarnation,
            link_address: address.to_owned(),
        }
    }

    /// Whether no copy of the order could be in flight when a report was made.
    /// False as long as the longest order delay is not configured.
    pub(crate) fn has_expired(&self, made_at: Instant, delay_ms: Option<u64>) -> bool {
        match (self.no_send_after, delay_ms) {
            (Some(from), Some(delay_ms)) => from.plus_ms(delay_ms) <= made_at,
            _ => false,
        }
    }

    /// Whether the order may have been sent more than once.
    pub(crate) const fn may_have_copies(&self) -> bool {
        self.adopted || self.send_count > 1
    }

    /// Creates the tracked order for an intent in a predecessor's record.
    ///
    /// Whether the predecessor sent the order is unknown, so it counts as sent.
    pub(crate) fn from_intent(intent: &Intent, now: Instant) -> Self {
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
            send_count: 1,
            sent_at: now,
            accepted: false,
            in_progress: false,
            adopted: true,
            issuer_address: intent.link_address.clone(),
            inherited_by: None,
            no_send_after: None,
        }
    }
}

/// Why an order can't be reserved now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReserveError {
    /// The instance has no such accelerator.
    UnknownAccelerator,
    /// The accelerator has too little free memory.
    InsufficientMemory,
    /// An order for the same placement has not ended.
    OrderPending,
    /// The adapter's base model is not loaded on the accelerator or is being
    /// unloaded.
    BaseNotLoaded,
    /// An adapter of the base model is on the accelerator or may be loaded
    /// there.
    BaseInUse,
    /// No report contains the effect of the orders that predecessors saw end.
    NoCurrentReport,
    /// The model to load is already present, or the model to unload is not.
    NothingToDo,
}

/// A tracked order that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedOrder {
    /// Order number.
    pub id: u64,
    /// True for a load, false for an unload.
    pub load: bool,
    /// The model and accelerator of the order.
    pub placement: Placement,
    /// True if the order took effect, false if it failed, was refused or
    /// expired.
    pub took_effect: bool,
}
