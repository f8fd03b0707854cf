//! Streams that clients take up at another entry after theirs was killed.
//!
//! Clients come in waves, as on a desk where work arrives in batches. One entry is killed
//! in the middle of a wave.

use crate::client::{Ask, Try, ask};
use crate::{Lab, Verdict};
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// Time for an event of a stream; the pauses that the sheet allows are 400 ms.
pub const PACE_MS: u64 = 30;

/// Events of a stream, as on the sheet of `job-summary`.
const EVENTS: u64 = 86;

const DEADLINE_MS: u64 = 15_000;

/// The part of the prompt that all streams share.
const SHARED: &str = "5c1e07a2:1150";
const WAVES: u64 = 4;
const FIRST_WAVE_MS: u64 = 4_000;
const WAVE_INTERVAL_MS: u64 = 9_000;

/// Streams of a wave at the entry that is killed, and at each other one.
const STREAMS: usize = 20;
const STREAMS_ELSEWHERE: usize = 6;

/// Time between two streams of an entry, if they come evenly (`STEADY`) and not in waves.
const STEADY_INTERVAL: Duration = Duration::from_millis(140);

/// When the entry is killed after the beginning of the last wave.
const KILL_AFTER_MS: u64 = 1_200;

/// What a refusal names as the time to come back.
const RETRY_AFTER: Duration = Duration::from_millis(250);

/// How often a client repeats: once, as the sheet says, unless `REPEATS` says otherwise.
fn repeats() -> usize {
    let repeats = std::env::var("REPEATS").ok();
    repeats.and_then(|text| text.parse().ok()).unwrap_or(1)
}

/// When the entry is killed after the beginning of the last wave.
fn kill_after_ms() -> u64 {
    let after = std::env::var("KILL_AFTER_MS").ok();
    after.and_then(|text| text.parse().ok()).unwrap_or(KILL_AFTER_MS)
}

/// A stream and its tries: the first, and the one that took it up.
struct Outcome {
    first: Try,
    second: Option<Try>,
    at_killed: bool,
    is_new: bool,
}

fn stream(id: String, front: SocketAddr, other: SocketAddr, lab: &Lab, flags: (bool, bool)) -> impl FnOnce() -> Outcome + use<> {
    let record = lab.record.clone();
    let (at_killed, is_new) = flags;
    move || {
        let request = Ask { id: id.clone(), events: EVENTS, goes_on: None, deadline_ms: DEADLINE_MS, shared: SHARED.to_owned() };
        let first = ask(front, &request, &record);
        let mut second = None;
        if let Some(last) = first.last_event
            && !first.whole
        {
            for number in 0..repeats() {
                let goes_on = Some((last, id.clone()));
                let request = Ask { id: format!("{id}{number:x}"), goes_on, ..request.clone() };
                let tried = ask(other, &request, &record);
                let was_refused = tried.status == 503;
                second = Some(tried);
                if !was_refused {
                    break;
                }
                thread::sleep(RETRY_AFTER);
            }
        }
        Outcome { first, second, at_killed, is_new }
    }
}

pub fn play(lab: &mut Lab) -> Verdict {
    let fronts: Vec<SocketAddr> = lab.fronts.iter().map(|front| front.callers()).collect();
    let (sender, outcomes) = channel();
    let start = |lab: &Lab, id: String, front: usize, flags: (bool, bool)| {
        // Tries after the first reach other nodes, those of the zone first.
        let other = fronts[if front == 0 { 1 } else { front }];
        let run = stream(id, fronts[front], other, lab, flags);
        let sender = sender.clone();
        thread::spawn(move || sender.send(run()));
    };
    let began = lab.record.now_ms() + FIRST_WAVE_MS;
    let mut number = 0;
    let mut next_id = || {
        number += 1;
        format!("9c41d07b{number:08x}")
    };
    let is_steady = std::env::var_os("STEADY").is_some();
    let last_wave = began + (WAVES - 1) * WAVE_INTERVAL_MS;
    while is_steady && lab.record.now_ms() < last_wave + kill_after_ms() {
        for front in 0..fronts.len() {
            start(lab, next_id(), front, (front == 0, false));
        }
        thread::sleep(STEADY_INTERVAL);
    }
    for wave in 0..if is_steady { 0 } else { WAVES } {
        lab.sleep_until(began + wave * WAVE_INTERVAL_MS);
        for front in 0..fronts.len() {
            let streams = if front == 0 { STREAMS } else { STREAMS_ELSEWHERE };
            for _ in 0..streams {
                start(lab, next_id(), front, (front == 0, false));
                thread::sleep(Duration::from_millis(5));
            }
        }
    }
    lab.sleep_until(last_wave + kill_after_ms());
    if lab.trouble {
        let name = lab.fronts[0].name.clone();
        lab.fronts[0].kill();
        lab.record.note(format!("{name} is killed"));
    }
    // New streams at the entry to which the others come.
    for _ in 0..STREAMS {
        start(lab, next_id(), 1, (false, true));
        thread::sleep(Duration::from_millis(20));
    }
    if lab.trouble && lab.fronts[0].start(false).is_err() {
        return Verdict::NotRun("the killed entry could not be started again".to_owned());
    }
    drop(sender);
    let outcomes: Vec<Outcome> = outcomes.iter().collect();
    judge(lab, &outcomes)
}

fn judge(lab: &Lab, outcomes: &[Outcome]) -> Verdict {
    let has_begun = |tried: &Try| tried.status == 200 && tried.first_event.is_some();
    let new: Vec<&Outcome> = outcomes.iter().filter(|outcome| outcome.is_new).collect();
    let new_begun = new.iter().filter(|outcome| has_begun(&outcome.first)).count();
    let taken_up: Vec<&Try> = outcomes.iter().filter_map(|outcome| outcome.second.as_ref()).collect();
    let gone_on = taken_up.iter().filter(|tried| has_begun(tried)).count();
    let at_killed = outcomes.iter().filter(|outcome| outcome.at_killed && !outcome.is_new).count();
    let whole = outcomes.iter().filter(|outcome| outcome.first.whole).count();
    let summary = format!(
        "{} streams, {at_killed} of them at the first entry; {whole} whole at the first try; \
         {} of {} new streams began; {gone_on} of {} streams that were taken up went on",
        outcomes.len(),
        new_begun,
        new.len(),
        taken_up.len(),
    );
    lab.record.note(summary.clone());
    println!("{summary}");
    if new_begun * 10 < new.len() * 9 {
        return Verdict::NotRun("new streams did not begin".to_owned());
    }
    if !lab.trouble {
        let is_calm = whole == outcomes.len();
        return if is_calm { Verdict::Held } else { Verdict::NotRun("streams broke without trouble".to_owned()) };
    }
    if taken_up.len() < 12 {
        return Verdict::NotRun("fewer than 12 streams were taken up".to_owned());
    }
    // Under half of the share of new streams that begin.
    let share = gone_on as f64 / taken_up.len() as f64;
    let new_share = new_begun as f64 / new.len() as f64;
    if share < new_share / 2.0 { Verdict::Broken } else { Verdict::Held }
}
