//! What happens to a ledger, one step after the other.

use base::{FencingEpoch, Instant, ModelId};
use mem::{
    Blocked, Ledger, Placement, ReportedOrder, ReportedOrderState, ReportedResident,
    UpstreamState,
};
use schema::store::Intent;
use std::collections::BTreeMap;

pub const DELAY_MS: u32 = 3_000;
pub const OWN: FencingEpoch = FencingEpoch(2);
pub const PREDECESSOR: FencingEpoch = FencingEpoch(1);

/// One thing that happens, at a time in milliseconds where that matters.
pub enum Step {
    Load(u64, &'static str, u32),
    Unload(u64, &'static str),
    Given(u64, u64),
    Accepted(u64),
    Refused(u64, u64),
    Adopt(u64, u64, bool, &'static str, u32),
    Died(u64),
    /// Time made, incarnation, residents, orders.
    Report(
        u64,
        u64,
        &'static [(&'static str, u32)],
        &'static [(u64, ReportedOrderState)],
    ),
}

use Step::{Accepted, Adopt, Died, Given, Load, Refused, Report, Unload};

pub fn at(name: &str) -> Placement {
    Placement {
        accelerator: 0,
        model: ModelId::new(name),
        version: 1,
    }
}

pub fn ledger() -> Ledger {
    let mut ledger = Ledger::new();
    let bases = BTreeMap::from([(ModelId::new("a-adapter"), ModelId::new("a"))]);
    ledger.configure(&[100], bases, DELAY_MS);
    ledger
}

pub fn apply(ledger: &mut Ledger, step: &Step) -> Result<(), Blocked> {
    match *step {
        Load(id, model, size) => {
            return ledger.reserve(id, OWN, true, &at(model), size);
        }
        Unload(id, model) => return ledger.reserve(id, OWN, false, &at(model), 0),
        Given(ms, id) => ledger.given(Instant::from_ms(ms), id),
        Accepted(id) => ledger.accepted(id),
        Refused(ms, id) => drop(ledger.refused(Instant::from_ms(ms), id)),
        Adopt(ms, order, load, model, size_mib) => {
            let intent = Intent {
                order,
                epoch: PREDECESSOR.0,
                load,
                model: model.to_owned(),
                version: 1,
                accelerator: 0,
                size_mib,
                upstream_incarnation: 7,
                link_address: String::new(),
            };
            ledger.adopt(Instant::from_ms(ms), &[intent]);
        }
        Died(ms) => ledger.giver_died(Instant::from_ms(ms), PREDECESSOR, OWN),
        Report(ms, incarnation, residents, orders) => {
            let state = state(ms, incarnation, residents, orders);
            ledger.report(Instant::from_ms(ms), &state);
        }
    }
    Ok(())
}

fn state(
    ms: u64,
    incarnation: u64,
    residents: &[(&str, u32)],
    orders: &[(u64, ReportedOrderState)],
) -> UpstreamState {
    let residents = residents.iter().map(|(model, size)| ReportedResident {
        placement: at(model),
        size_mib: *size,
        loaded: true,
    });
    let orders = orders.iter().map(|(id, state)| ReportedOrder {
        id: *id,
        state: *state,
    });
    UpstreamState {
        incarnation,
        made_at: Instant::from_ms(ms),
        residents: residents.collect(),
        orders: orders.collect(),
    }
}
