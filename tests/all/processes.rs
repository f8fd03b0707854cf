//! Tests of the whole system as separate processes on loopback, with fake engines,
//! services and platform.
//!
//! No test depends on timing: each waits for a condition with a generous timeout.
//! The effects of a fault on memory and on calls are read from the counters of the
//! fakes, not from what the system reports about itself.

mod faults;
mod fleet;
mod outage;
mod path;
mod publish;
mod restored;
mod rig;
mod stop;

use crate::red::{self, OnPass};
use libtest_mimic::{Failed, Trial};
use rig::{Fixture, TestResult};

pub(crate) fn trials() -> Vec<Trial> {
    vec![
        trial("path", async |fixture| {
            path::streamed_answer_is_complete(fixture).await?;
            path::cold_model_is_loaded(fixture).await?;
            path::keyed_order_runs_once(fixture).await
        }),
        trial("resend_right_after_the_answer", async |fixture| {
            path::resend_right_after_the_answer(fixture).await
        }),
        trial("orders_run_once_across_a_restore", async |fixture| {
            restored::orders_run_once_across_a_restore(fixture).await
        }),
        trial(
            "orders_run_once_if_their_agents_are_killed",
            async |fixture| {
                restored::orders_run_once_if_their_agents_are_killed(fixture).await
            },
        ),
        trial(
            "orders_run_once_if_their_agents_and_entry_are_killed",
            async |fixture| {
                restored::orders_run_once_if_their_agents_and_entry_are_killed(fixture)
                    .await
            },
        ),
        trial(
            "orders_run_once_if_their_agent_is_frozen",
            async |fixture| {
                restored::orders_run_once_if_their_agent_is_frozen(fixture).await
            },
        ),
        trial(
            "orders_run_once_if_their_claims_are_deleted",
            async |fixture| {
                restored::orders_run_once_if_their_claims_are_deleted(fixture).await
            },
        ),
        trial("publish", async |fixture| {
            publish::change_is_in_force_everywhere(fixture).await?;
            publish::invalid_file_changes_nothing(fixture).await?;
            publish::conflict_changes_nothing(fixture).await
        }),
        trial("stop_of_an_entry_cuts_nothing", async |fixture| {
            stop::stop_entry_under_load(fixture).await
        }),
        trial("stop_of_an_agent_cuts_nothing", async |fixture| {
            stop::stop_agent_under_load(fixture).await
        }),
        trial("killed_agent", async |fixture| {
            faults::killed_agent(fixture).await
        }),
        trial("killed_entry", async |fixture| {
            faults::killed_entry(fixture).await
        }),
        trial("frozen_agent", async |fixture| {
            faults::frozen_agent(fixture).await
        }),
        trial("platform_away", async |fixture| {
            outage::platform_outage(fixture).await
        }),
    ]
}

/// Creates a trial that runs on a deployment of its own.
fn trial<F>(name: &str, test: F) -> Trial
where
    F: AsyncFnOnce(&mut Fixture) -> TestResult + Send + 'static,
{
    let name = format!("processes::{name}");
    red::trial(&name, OnPass::PrintOnly, move || -> Result<(), Failed> {
        rig::run(test).map_err(Failed::from)
    })
}
