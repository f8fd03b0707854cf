//! Processes that are killed or frozen under load.

use fake::load;
use nix::sys::signal::Signal;
use std::time::Duration;

use super::rig::{
    Fixture, TestResult, WAIT_TIMEOUT, check, complete_answers, error_text,
};
use super::stop::wait_for_holder;

/// Rate and number of requests during the fault.
const RATE_PER_S: f64 = 60.0;
const COUNT: u64 = 480;

/// Time under load before the fault.
const DELAY_BEFORE_FAULT: Duration = Duration::from_secs(2);

/// Longer than ten heartbeat intervals, after which an entry considers an agent
/// lost.
const FREEZE_DURATION: Duration = Duration::from_secs(4);

/// The agents of a busy model and of a plain service are killed under load and
/// restarted. Streams continue at another holder or end with an explicit error.
/// Orders in progress end with an unknown run status and are not run a second
/// time, even if their callers send them again. The new agents read the recorded
/// intents and claims of the old ones, so that memory is not overcommitted and no
/// order runs twice.
pub(super) async fn killed_agent(fixture: &mut Fixture) -> TestResult {
    let holder = wait_for_holder(fixture, "diagnosis-01").await?;
    fixture.slow_down_services().await?;
    let load = load::run(fixture.load_options(RATE_PER_S, COUNT, 3));
    let kill = async {
        for id in [holder.as_str(), "deskapp-01"] {
            tokio::time::sleep(DELAY_BEFORE_FAULT).await;
            kill_and_restart(fixture, id).await?;
        }
        Ok::<(), String>(())
    };
    let (report, killed) = tokio::join!(load, kill);
    killed?;
    check(report.wrong_responses() == 0, || report.table())?;
    check(complete_answers(&report) * 2 > COUNT, || report.table())?;
    resend_requests(fixture, 3).await?;
    check_recovered(fixture, 31).await
}

/// An entry is killed under load. Its callers' connections break, which none of
/// them can mistake for a complete answer. Its attempts at the engines are
/// cancelled, and orders that callers send again through the other entry run at
/// most once.
pub(super) async fn killed_entry(fixture: &mut Fixture) -> TestResult {
    fixture.warm_up().await?;
    fixture.slow_down_services().await?;
    let load = load::run(fixture.load_options(RATE_PER_S, COUNT, 4));
    let kill = async {
        tokio::time::sleep(DELAY_BEFORE_FAULT).await;
        kill_and_restart(fixture, "entry-2").await
    };
    let (report, killed) = tokio::join!(load, kill);
    killed?;
    check(report.wrong_responses() == 0, || report.table())?;
    check(complete_answers(&report) * 2 > COUNT, || report.table())?;
    resend_requests(fixture, 4).await?;
    check_recovered(fixture, 41).await
}

/// An agent freezes until the entries consider it lost and move its requests and
/// models elsewhere, and then resumes with outdated orders and answers. Its answers
/// belong to abandoned attempts and must reach no caller, and its orders must not
/// overcommit the memory of its engine.
pub(super) async fn frozen_agent(fixture: &mut Fixture) -> TestResult {
    let holder = wait_for_holder(fixture, "diagnosis-01").await?;
    fixture.slow_down_services().await?;
    let load = load::run(fixture.load_options(RATE_PER_S, COUNT * 2, 5));
    let freeze = async {
        for id in [holder.as_str(), "deskapp-01"] {
            tokio::time::sleep(DELAY_BEFORE_FAULT).await;
            fixture
                .deployment
                .signal(id, Signal::SIGSTOP)
                .map_err(error_text)?;
            tokio::time::sleep(FREEZE_DURATION).await;
            fixture
                .deployment
                .signal(id, Signal::SIGCONT)
                .map_err(error_text)?;
        }
        Ok::<(), String>(())
    };
    let (report, frozen) = tokio::join!(load, freeze);
    frozen?;
    check(report.wrong_responses() == 0, || report.table())?;
    check(complete_answers(&report) > COUNT, || report.table())?;
    check_recovered(fixture, 51).await
}

/// Sends the requests of a seed again, with the same keys and bodies. An order
/// whose outcome was lost must not run a second time.
async fn resend_requests(fixture: &Fixture, seed: u64) -> TestResult {
    let again = load::run(fixture.load_options(RATE_PER_S, COUNT, seed)).await;
    check(again.wrong_responses() == 0, || again.table())?;
    fixture.check_invariants().await
}

async fn kill_and_restart(fixture: &mut Fixture, id: &str) -> TestResult {
    fixture
        .deployment
        .signal(id, Signal::SIGKILL)
        .map_err(error_text)?;
    fixture
        .deployment
        .wait_exited(id, WAIT_TIMEOUT)
        .await
        .map_err(error_text)?;
    fixture.deployment.restart(id).map_err(error_text)
}

/// Checks that all processes become ready, requests are answered and the
/// invariants held.
async fn check_recovered(fixture: &Fixture, seed: u64) -> TestResult {
    fixture.deployment.wait_ready().await.map_err(error_text)?;
    fixture
        .wait_until("all requests are answered again", async || {
            let report = load::run(fixture.load_options(RATE_PER_S, 60, seed)).await;
            (complete_answers(&report) == 60).then_some(())
        })
        .await?;
    fixture.check_invariants().await
}
