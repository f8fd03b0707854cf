//! A part of prompts crashes servers. Sound requests share the other parts.
//!
//! The desk is quiet for a minute before, but for the requests of another kind of prompt.

use crate::client::{Ask, Try, ask};
use crate::{Lab, Verdict};
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::thread;

/// Time for an event of a stream.
pub const PACE_MS: u64 = 20;

const EVENTS: u64 = 11;
const DEADLINE_MS: u64 = 5_000;

/// The shared parts of the sound requests, of those with the bad part, and of others.
const SOUND: &str = "5c1e07a2:350,91bd3f06:410";
const BAD: &str = "5c1e07a2:350,91bd3f06:410,77aa31e0:300";
const OTHER: &str = "2f40b8d1:350,8801c5ee:410";
const BAD_PART: &str = "77aa31e0";

/// When the sound requests come first, and again; when those with the bad part come.
const FIRST_MS: (u64, u64) = (6_000, 11_000);
const BAD_MS: (u64, u64) = (68_000, 92_000);
const AGAIN_MS: (u64, u64) = (76_000, 92_000);

const SOUND_INTERVAL_MS: u64 = 160;
const AGAIN_INTERVAL_MS: u64 = 500;
const BAD_INTERVAL_MS: u64 = 1_500;
const OTHER_INTERVAL_MS: u64 = 500;

/// Time that a server takes to be back.
const BACK_MS: u64 = 2_500;

/// Twice the time for which a machine has to be undisturbed.
const SETTLED_MS: u64 = 6_000;

#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    Sound,
    Bad,
    Other,
}

/// When requests of a kind come.
struct Flow {
    kind: Kind,
    shared: &'static str,
    span: (u64, u64),
    interval_ms: u64,
}

const FLOWS: [Flow; 4] = [
    Flow { kind: Kind::Sound, shared: SOUND, span: FIRST_MS, interval_ms: SOUND_INTERVAL_MS },
    Flow { kind: Kind::Sound, shared: SOUND, span: AGAIN_MS, interval_ms: AGAIN_INTERVAL_MS },
    Flow { kind: Kind::Bad, shared: BAD, span: BAD_MS, interval_ms: BAD_INTERVAL_MS },
    Flow { kind: Kind::Other, shared: OTHER, span: (6_000, 92_000), interval_ms: OTHER_INTERVAL_MS },
];

/// How much longer the requests come than the case needs (`LONGER_MS`).
fn longer_ms() -> u64 {
    let longer = std::env::var("LONGER_MS").ok();
    longer.and_then(|text| text.parse().ok()).unwrap_or(0)
}

pub fn play(lab: &mut Lab) -> Verdict {
    let fronts: Vec<SocketAddr> = lab.fronts.iter().map(|front| front.callers()).collect();
    if lab.trouble {
        for server in &lab.servers {
            *server.bad_part.lock().expect("no holder panics") = Some(BAD_PART.to_owned());
        }
    }
    let mut due: Vec<(u64, usize)> = FLOWS.iter().enumerate().flat_map(|(flow, Flow { span, interval_ms, .. })| {
        let longer_ms = if span.1 == AGAIN_MS.1 { longer_ms() } else { 0 };
        (span.0..span.1 + longer_ms).step_by(*interval_ms as usize).map(move |at| (at, flow))
    }).collect();
    due.sort_unstable();
    let (sender, results) = channel();
    let mut crashed_at = Vec::new();
    for (number, (at, flow)) in due.into_iter().enumerate() {
        while lab.record.now_ms() < at {
            if lab.servers.iter().any(|server| server.has_crashed()) {
                let count = lab.servers.iter().filter(|server| server.has_crashed()).count();
                crashed_at.extend(vec![lab.record.now_ms(); count]);
                lab.replace_crashed(BACK_MS, Some(BAD_PART));
            }
            thread::sleep(std::time::Duration::from_millis(2));
        }
        let (kind, shared) = (FLOWS[flow].kind, FLOWS[flow].shared);
        let front = fronts[number % fronts.len()];
        let id = format!("{:x}c{number:015x}", flow + 1);
        let request = Ask { id, events: EVENTS, goes_on: None, deadline_ms: DEADLINE_MS, shared: shared.to_owned() };
        let (record, sender) = (lab.record.clone(), sender.clone());
        thread::spawn(move || sender.send((kind, at, ask(front, &request, &record))));
    }
    drop(sender);
    let results: Vec<(Kind, u64, Try)> = results.iter().collect();
    judge(lab, &results, &crashed_at)
}

fn judge(lab: &Lab, results: &[(Kind, u64, Try)], crashed_at: &[u64]) -> Verdict {
    let share = |kind: Kind, from: u64, until: u64| {
        let of_kind: Vec<&Try> = results.iter().filter(|(known, at, _)| *known == kind && (from..until).contains(at)).map(|(.., tried)| tried).collect();
        let begun = of_kind.iter().filter(|tried| tried.status == 200 && tried.first_event.is_some()).count();
        (begun, of_kind.len())
    };
    // The rule counts from the fifth crash, or from the last if there are fewer.
    let last = crashed_at.iter().take(5).max().copied();
    let from = last.map_or(AGAIN_MS.0, |last| (last + SETTLED_MS).max(AGAIN_MS.0));
    let before = share(Kind::Sound, 0, FIRST_MS.1);
    let after = share(Kind::Sound, from, u64::MAX);
    let others = share(Kind::Other, from, u64::MAX);
    let bad = share(Kind::Bad, 0, u64::MAX);
    let summary = format!(
        "{} crashes, the last of the first five at {last:?} ms; sound requests that begin at the first try: {} of {} before, {} of {} from {from} ms on; others then: {} of {}; with the bad part: {} of {}",
        crashed_at.len(), before.0, before.1, after.0, after.1, others.0, others.1, bad.0, bad.1,
    );
    lab.record.note(summary.clone());
    println!("{summary}");
    if before.1 < 20 || after.1 < 20 || before.0 * 10 < before.1 * 9 {
        return Verdict::NotRun("too few sound requests".to_owned());
    }
    if lab.trouble && crashed_at.len() < 2 {
        return Verdict::NotRun("the part crashed fewer than two servers".to_owned());
    }
    let (before, after) = (before.0 as f64 / before.1 as f64, after.0 as f64 / after.1 as f64);
    if after < before / 2.0 { Verdict::Broken } else { Verdict::Held }
}
