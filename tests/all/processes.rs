//! The whole system as separate processes on loopback, with the stand-ins.
//!
//! Nothing here is timed: a test waits for a condition under a generous bound.
//! What a fault does to memory and to calls is read from the counts that the
//! stand-ins keep, not from what the system says of itself.

mod faults;
mod fleet;
mod outage;
mod path;
mod publish;
mod rig;
mod stop;

use crate::red::{self, Passing};
use libtest_mimic::{Failed, Trial};
use rig::{Rig, TestResult};

pub(crate) fn trials() -> Vec<Trial> {
    vec![
        trial("path", async |rig| {
            path::streamed_answer_is_whole(rig).await?;
            path::cold_model_is_loaded(rig).await?;
            path::keyed_order_runs_once(rig).await
        }),
        trial("publish", async |rig| {
            publish::change_is_in_force_everywhere(rig).await?;
            publish::faulty_file_changes_nothing(rig).await?;
            publish::conflict_changes_nothing(rig).await
        }),
        trial("stop_of_an_entry_cuts_nothing", async |rig| {
            stop::entry_under_load(rig).await
        }),
        trial("stop_of_an_agent_cuts_nothing", async |rig| {
            stop::agent_under_load(rig).await
        }),
        trial("killed_agent", async |rig| faults::killed_agent(rig).await),
        trial("killed_entry", async |rig| faults::killed_entry(rig).await),
        trial("frozen_agent", async |rig| faults::frozen_agent(rig).await),
        trial("platform_away", async |rig| {
            outage::platform_away(rig).await
        }),
    ]
}

/// A test on a deployment of its own, under load and all.
fn trial<F>(name: &str, test: F) -> Trial
where
    F: AsyncFnOnce(&mut Rig) -> TestResult + Send + 'static,
{
    let name = format!("processes::{name}");
    red::trial(&name, Passing::Prints, move || -> Result<(), Failed> {
        rig::run(test).map_err(Failed::from)
    })
}
