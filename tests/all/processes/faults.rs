//! Processes that die or freeze under load.

use fake::load;
use nix::sys::signal::Signal;
use std::time::Duration;

use super::rig::{BOUND, Rig, TestResult, check, text, whole};
use super::stop::holder_of;

/// Work during the fault.
const RATE_PER_S: f64 = 60.0;
const COUNT: u64 = 480;
const SETTLED: Duration = Duration::from_secs(2);

/// Longer than the silence after which an agent is lost, ten heartbeats.
const FROZEN: Duration = Duration::from_secs(4);

/// The agents of a hot model and of a plain service are killed under load and
/// started again. Streams go on at another holder or end with an explicit error;
/// orders in progress end as unknown and are not run again, also when their
/// callers send them again. The new agents have the old ones' intents and
/// claims, so memory and calls stay right.
pub(super) async fn killed_agent(rig: &mut Rig) -> TestResult {
    let holder = holder_of(rig, "diagnosis-01").await?;
    rig.slow_services().await?;
    let load = load::run(rig.load(RATE_PER_S, COUNT, 3));
    let kill = async {
        for id in [holder.as_str(), "deskapp-01"] {
            tokio::time::sleep(SETTLED).await;
            kill_and_restart(rig, id).await?;
        }
        Ok::<(), String>(())
    };
    let (report, killed) = tokio::join!(load, kill);
    killed?;
    check(report.wrong_responses() == 0, || report.table())?;
    check(whole(&report) * 2 > COUNT, || report.table())?;
    sent_again(rig, 3).await?;
    served_again(rig, 31).await
}

/// An entry is killed under load: its callers' connections break, which none of
/// them can take for a whole answer. Its runs at the engines are cancelled, and
/// orders that its callers send again through the other entry run at most once.
pub(super) async fn killed_entry(rig: &mut Rig) -> TestResult {
    rig.warm_up().await?;
    rig.slow_services().await?;
    let load = load::run(rig.load(RATE_PER_S, COUNT, 4));
    let kill = async {
        tokio::time::sleep(SETTLED).await;
        kill_and_restart(rig, "entry-2").await
    };
    let (report, killed) = tokio::join!(load, kill);
    killed?;
    check(report.wrong_responses() == 0, || report.table())?;
    check(whole(&report) * 2 > COUNT, || report.table())?;
    sent_again(rig, 4).await?;
    served_again(rig, 41).await
}

/// An agent freezes for longer than its silence is borne, so its work and its
/// models go elsewhere, and then wakes with old orders and old answers at hand.
/// What it still says belongs to attempts that were given up, and what it still
/// orders is checked against its engine's memory.
pub(super) async fn frozen_agent(rig: &mut Rig) -> TestResult {
    let holder = holder_of(rig, "diagnosis-01").await?;
    rig.slow_services().await?;
    let load = load::run(rig.load(RATE_PER_S, COUNT * 2, 5));
    let freeze = async {
        for id in [holder.as_str(), "deskapp-01"] {
            tokio::time::sleep(SETTLED).await;
            rig.deployment.signal(id, Signal::SIGSTOP).map_err(text)?;
            tokio::time::sleep(FROZEN).await;
            rig.deployment.signal(id, Signal::SIGCONT).map_err(text)?;
        }
        Ok::<(), String>(())
    };
    let (report, frozen) = tokio::join!(load, freeze);
    frozen?;
    check(report.wrong_responses() == 0, || report.table())?;
    check(whole(&report) > COUNT, || report.table())?;
    served_again(rig, 51).await
}

/// Sends the work of a seed again: the same keys and bodies, so that each order
/// whose outcome was lost would run a second time if anything let it.
async fn sent_again(rig: &Rig, seed: u64) -> TestResult {
    let again = load::run(rig.load(RATE_PER_S, COUNT, seed)).await;
    check(again.wrong_responses() == 0, || again.table())?;
    rig.promises_held().await
}

async fn kill_and_restart(rig: &mut Rig, id: &str) -> TestResult {
    rig.deployment.signal(id, Signal::SIGKILL).map_err(text)?;
    rig.deployment.wait_exited(id, BOUND).await.map_err(text)?;
    rig.deployment.restart(id).map_err(text)
}

/// All processes are ready again, work is answered, and the promises held.
async fn served_again(rig: &Rig, seed: u64) -> TestResult {
    rig.deployment.wait_ready().await.map_err(text)?;
    rig.until("work is answered again", async || {
        let report = load::run(rig.load(RATE_PER_S, 60, seed)).await;
        (whole(&report) == 60).then_some(())
    })
    .await?;
    rig.promises_held().await
}
