//! Streams at a slow server that go on at another server while the slow one still works.

use crate::client::{Ask, Try, ask};
use crate::server::Run;
use crate::{Lab, Verdict};
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// Time for an event of a stream; the pauses that the sheet allows are 400 ms.
pub const PACE_MS: u64 = 380;

/// How many times as long the slow servers take.
const SLOWNESS: u64 = 5;

/// How long they are slow.
const SLOW_MS: u64 = 6_000;

const EVENTS: u64 = 12;
const DEADLINE_MS: u64 = 15_000;

/// The part of the prompt that all streams share.
const SHARED: &str = "5c1e07a2:1150";
const WAVES: usize = 2;
const INTERVAL_MS: u64 = 20_000;

/// Time for which a run may overlap with the one after it.
const ALLOWED_MS: u64 = 400;

pub fn play(lab: &mut Lab) -> Verdict {
    let fronts: Vec<SocketAddr> = lab.fronts.iter().map(|front| front.callers()).collect();
    let (sender, tries) = channel();
    let began = lab.record.now_ms() + 12_000;
    for wave in 0..WAVES {
        lab.sleep_until(began + wave as u64 * INTERVAL_MS);
        for (index, front) in fronts.iter().enumerate() {
            let (front, record, sender) = (*front, lab.record.clone(), sender.clone());
            let id = format!("7be1{wave:04x}{index:08x}");
            let request = Ask { id, events: EVENTS, goes_on: None, deadline_ms: DEADLINE_MS, shared: SHARED.to_owned() };
            thread::spawn(move || sender.send(ask(front, &request, &record)));
        }
        thread::sleep(Duration::from_millis(1_000));
        if lab.trouble {
            set_slowness(lab, SLOWNESS);
            thread::sleep(Duration::from_millis(SLOW_MS));
            set_slowness(lab, 1);
        }
    }
    drop(sender);
    let tries: Vec<Try> = tries.iter().collect();
    thread::sleep(Duration::from_millis(500));
    judge(lab, &tries)
}

/// Two of eighteen servers turn slow, or are as fast as before.
fn set_slowness(lab: &Lab, slowness: u64) {
    for server in &lab.servers[..2] {
        server.slowness.store(slowness, Ordering::Relaxed);
        lab.record.note(format!("server {} works {slowness} times as long", server.id));
    }
}

fn judge(lab: &Lab, tries: &[Try]) -> Verdict {
    let runs: Vec<Run> = lab.servers.iter().flat_map(|server| server.runs.lock().expect("no holder panics").clone()).collect();
    let now = lab.record.now_ms();
    let mut broken = 0;
    let mut gone_on = 0;
    for later in runs.iter().filter(|run| run.after > 0) {
        gone_on += 1;
        let before = runs.iter().filter(|run| {
            run.request == later.request && run.server != later.server && run.began_ms < later.began_ms
        });
        let worked_until = before.map(|run| run.ended_ms.unwrap_or(now)).max().unwrap_or(0);
        let overlap_ms = worked_until.min(later.ended_ms.unwrap_or(now)).saturating_sub(later.began_ms);
        if overlap_ms > ALLOWED_MS {
            broken += 1;
            lab.record.note(format!(
                "{} went on at {} at {} ms, and the server before worked on it until {worked_until} ms: both for {overlap_ms} ms",
                later.request, later.server, later.began_ms,
            ));
        }
    }
    let whole = tries.iter().filter(|tried| tried.whole).count();
    let summary = format!(
        "{} streams, {whole} whole; {} runs, {gone_on} of them went on with a stream, {broken} of these while the server before worked on for over {ALLOWED_MS} ms",
        tries.len(),
        runs.len(),
    );
    lab.record.note(summary.clone());
    println!("{summary}");
    if tries.iter().all(|tried| tried.first_event.is_none()) {
        return Verdict::NotRun("no stream began".to_owned());
    }
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
