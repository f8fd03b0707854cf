//! Steps that the test cases apply to a ledger.

use base::{FencingEpoch, Instant, ModelId};
use mem::{
    Ledger, MemoryReport, Placement, ReportedOrder, ReportedOrderState,
    ReportedResident, ReserveError,
};
use schema::store::Intent;
use std::collections::BTreeMap;

pub const ORDER_DELAY_MAX_MS: u32 = 3_000;
pub const OWN_EPOCH: FencingEpoch = FencingEpoch(2);
pub const PREDECESSOR_EPOCH: FencingEpoch = FencingEpoch(1);

/// One step. Times are in milliseconds, sizes in MiB.
pub enum Step {
    /// Reserves a load: order number, model, size.
    Load(u64, &'static str, u32),
    /// Reserves an unload: order number, model.
    Unload(u64, &'static str),
    /// Time, order number.
    Sent(u64, u64),
    /// Order number.
    Accepted(u64),
    /// Time, order number.
    Refused(u64, u64),
    /// Adopts an intent of a predecessor: time, order number, whether it is a
    /// load, model, size.
    Adopt(u64, u64, bool, &'static str, u32),
    /// Time at which the predecessor is known to be dead.
    IssuerDied(u64),
    /// Time made, incarnation, residents with their sizes, and order states.
    Report(
        u64,
        u64,
        &'static [(&'static str, u32)],
        &'static [(u64, ReportedOrderState)],
    ),
}

use Step::{Accepted, Adopt, IssuerDied, Load, Refused, Report, Sent, Unload};

pub fn placement(name: &str) -> Placement {
    Placement {
        accelerator: 0,
        model: ModelId::new(name),
        version: 1,
    }
}

pub fn configured_ledger() -> Ledger {
    let mut ledger = Ledger::new();
    let base_by_adapter =
        BTreeMap::from([(ModelId::new("a-adapter"), ModelId::new("a"))]);
    ledger.configure(&[100], base_by_adapter, ORDER_DELAY_MAX_MS);
    ledger
}

pub fn apply(ledger: &mut Ledger, step: &Step) -> Result<(), ReserveError> {
    match *step {
        Load(id, model, size) => {
            return ledger.reserve(id, OWN_EPOCH, true, &placement(model), size);
        }
        Unload(id, model) => {
            return ledger.reserve(id, OWN_EPOCH, false, &placement(model), 0);
        }
        Sent(ms, id) => ledger.mark_sent(Instant::from_ms(ms), id),
        Accepted(id) => ledger.mark_accepted(id),
        Refused(ms, id) => drop(ledger.mark_refused(Instant::from_ms(ms), id)),
        Adopt(ms, order, load, model, size_mib) => {
            let intent = Intent {
                order,
                epoch: PREDECESSOR_EPOCH.0,
                load,
                model: model.to_owned(),
                version: 1,
                accelerator: 0,
                size_mib,
                upstream_incarnation: 7,
                link_address: String::new(),
            };
            ledger.adopt_intents(Instant::from_ms(ms), &[intent]);
        }
        IssuerDied(ms) => {
            ledger.issuer_died(Instant::from_ms(ms), PREDECESSOR_EPOCH, OWN_EPOCH);
        }
        Report(ms, incarnation, residents, orders) => {
            let report = memory_report(ms, incarnation, residents, orders);
            ledger.apply_report(Instant::from_ms(ms), &report);
        }
    }
    Ok(())
}

fn memory_report(
    ms: u64,
    incarnation: u64,
    residents: &[(&str, u32)],
    orders: &[(u64, ReportedOrderState)],
) -> MemoryReport {
    let residents = residents.iter().map(|(model, size)| ReportedResident {
        placement: placement(model),
        size_mib: *size,
        loaded: true,
    });
    let orders = orders.iter().map(|(id, state)| ReportedOrder {
        id: *id,
        state: *state,
    });
    MemoryReport {
        incarnation,
        made_at: Instant::from_ms(ms),
        residents: residents.collect(),
        orders: orders.collect(),
    }
}
