//! Streams that are taken up while two entries of a zone are stopped and started in turn.

use crate::client::{Ask, Try, ask};
use crate::front::is_ready;
use crate::{FRONT_ZONES, Lab, Verdict};
use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// Time for an event of a stream; the pauses that the sheet allows are 400 ms.
pub const PACE_MS: u64 = 150;

/// Events of a stream, as on the sheet of `job-summary`.
const EVENTS: u64 = 86;
const DEADLINE_MS: u64 = 15_000;

/// When streams come, and the time between two of a zone.
const SPAN_MS: (u64, u64) = (6_000, 48_000);
const INTERVALS_MS: [u64; 3] = [250, 1_000, 1_000];

/// When the entries of the first zone get their signals.
const SIGNALS_MS: [(usize, u64); 2] = [(0, 40_000), (1, 45_000)];

/// Time after its end at which a process is started again.
const RESTART_MS: u64 = 500;

/// Time for which a machine has to be undisturbed to be judged.
const CONTACT_MS: u64 = 3_000;

/// What the platform and the operator know of an entry.
#[derive(Debug, Default)]
struct Node {
    in_rotation: AtomicBool,
    /// When it was last signalled or started.
    disturbed_ms: Mutex<Option<u64>>,
}

/// The platform in front of the entries.
#[derive(Clone)]
struct Ingress {
    nodes: Arc<Vec<Node>>,
    addresses: Vec<SocketAddr>,
}

impl Ingress {
    /// Asks an entry each second; two misses take it out, an answer 200 takes it in.
    fn watch(&self, index: usize, ip: IpAddr) {
        let nodes = Arc::clone(&self.nodes);
        thread::spawn(move || {
            let mut misses = 2;
            loop {
                let ready = is_ready(ip).unwrap_or(false);
                misses = if ready { 0 } else { misses + 1 };
                nodes[index].in_rotation.store(misses < 2, Ordering::Relaxed);
                thread::sleep(Duration::from_secs(1));
            }
        });
    }

    /// The entry for a client of a zone. Retries reach other nodes.
    fn choose(&self, zone: usize, client: usize, but: Option<usize>) -> usize {
        let is_in = |index: &usize| self.nodes[*index].in_rotation.load(Ordering::Relaxed);
        let others = (0..self.addresses.len()).filter(|index| Some(*index) != but);
        let (of_zone, elsewhere): (Vec<usize>, Vec<usize>) =
            others.filter(is_in).partition(|index| FRONT_ZONES[*index] == zone);
        let nodes = if of_zone.is_empty() { elsewhere } else { of_zone };
        // An uneven share of the clients: three of eight at the first node.
        match nodes.len() {
            0 => but.unwrap_or(0),
            2 => nodes[usize::from(client % 8 >= 3)],
            count => nodes[client % count],
        }
    }

    fn is_in_touch(&self, index: usize, now_ms: u64) -> bool {
        let node = &self.nodes[index];
        let disturbed = *node.disturbed_ms.lock().expect("no holder panics");
        let is_calm = disturbed.is_none_or(|at| now_ms >= at + CONTACT_MS);
        is_calm && node.in_rotation.load(Ordering::Relaxed)
    }

    fn disturb(&self, index: usize, now_ms: u64) {
        *self.nodes[index].disturbed_ms.lock().expect("no holder panics") = Some(now_ms);
    }
}

/// A try, and whether it is one that takes a stream up, at a machine in touch.
struct Outcome {
    tried: Try,
    takes_up: bool,
    in_touch: bool,
}

pub fn play(lab: &mut Lab) -> Verdict {
    let ingress = Ingress {
        nodes: Arc::new(lab.fronts.iter().map(|_| Node::default()).collect()),
        addresses: lab.fronts.iter().map(|front| front.callers()).collect(),
    };
    for (index, front) in lab.fronts.iter().enumerate() {
        ingress.watch(index, front.ip);
    }
    let (sender, outcomes) = channel();
    let mut due: Vec<(u64, usize)> = INTERVALS_MS.iter().enumerate().flat_map(|(zone, interval_ms)| {
        (SPAN_MS.0..SPAN_MS.1).step_by(*interval_ms as usize).map(move |at| (at, zone))
    }).collect();
    due.sort_unstable();
    let mut operator = Operator::default();
    for (number, (at, zone)) in due.into_iter().enumerate() {
        while lab.record.now_ms() < at {
            operator.act(lab, &ingress);
            thread::sleep(Duration::from_millis(2));
        }
        let (ingress, record, sender) = (ingress.clone(), lab.record.clone(), sender.clone());
        thread::spawn(move || {
            let began_ms = record.now_ms();
            let front = ingress.choose(zone, number, None);
            let in_touch = ingress.is_in_touch(front, began_ms);
            let id = format!("6d0e{number:012x}");
            let request = Ask { id: id.clone(), events: EVENTS, goes_on: None, deadline_ms: DEADLINE_MS, shared: format!("{number:x}c:1150") };
            let first = ask(ingress.addresses[front], &request, &record);
            let last = first.last_event.filter(|_| !first.whole);
            let _ = sender.send(Outcome { tried: first, takes_up: false, in_touch });
            let now_ms = record.now_ms();
            let left_ms = (began_ms + DEADLINE_MS).saturating_sub(now_ms);
            let Some(last) = last.filter(|_| left_ms > 100) else { return };
            let other = ingress.choose(zone, number, Some(front));
            let in_touch = ingress.is_in_touch(other, now_ms);
            let request = Ask { id: format!("{id}b"), goes_on: Some((last, id)), deadline_ms: left_ms, ..request };
            let tried = ask(ingress.addresses[other], &request, &record);
            let _ = sender.send(Outcome { tried, takes_up: true, in_touch });
        });
    }
    drop(sender);
    let until = lab.record.now_ms() + DEADLINE_MS + 1_000;
    while lab.record.now_ms() < until {
        operator.act(lab, &ingress);
        thread::sleep(Duration::from_millis(5));
    }
    let outcomes: Vec<Outcome> = outcomes.iter().collect();
    judge(lab, &outcomes)
}

/// Sends the signals, and starts what has ended again.
#[derive(Default)]
struct Operator {
    signalled: usize,
    ended_ms: [Option<u64>; 4],
}

impl Operator {
    fn act(&mut self, lab: &mut Lab, ingress: &Ingress) {
        if !lab.trouble {
            return;
        }
        let now_ms = lab.record.now_ms();
        if let Some((index, at)) = SIGNALS_MS.get(self.signalled)
            && now_ms >= *at
        {
            self.signalled += 1;
            lab.fronts[*index].terminate();
            ingress.disturb(*index, now_ms);
            lab.record.note(format!("{} gets SIGTERM", lab.fronts[*index].name));
        }
        for index in 0..lab.fronts.len() {
            match self.ended_ms[index] {
                None if lab.fronts[index].has_ended() => {
                    self.ended_ms[index] = Some(now_ms);
                    lab.record.note(format!("{} has ended", lab.fronts[index].name));
                }
                Some(at) if now_ms >= at + RESTART_MS => {
                    self.ended_ms[index] = None;
                    let _ = lab.fronts[index].start(false);
                    ingress.disturb(index, now_ms);
                    lab.record.note(format!("{} is started", lab.fronts[index].name));
                }
                _ => {}
            }
        }
    }
}

fn judge(lab: &Lab, outcomes: &[Outcome]) -> Verdict {
    let share = |takes_up: bool, in_touch: Option<bool>| {
        let tries = outcomes.iter().filter(|outcome| {
            outcome.takes_up == takes_up && in_touch.is_none_or(|known| known == outcome.in_touch)
        });
        let tries: Vec<&Try> = tries.map(|outcome| &outcome.tried).collect();
        let begun = tries.iter().filter(|tried| tried.status == 200 && tried.first_event.is_some()).count();
        (begun, tries.len())
    };
    let new = share(false, Some(true));
    let taken_up = share(true, Some(true));
    let elsewhere = share(true, Some(false));
    let whole = outcomes.iter().filter(|outcome| !outcome.takes_up && outcome.tried.whole).count();
    let summary = format!(
        "{} streams, {whole} whole at the first try; at machines in touch {} of {} new streams began, and {} of {} that were taken up went on; at others {} of {} that were taken up",
        share(false, None).1, new.0, new.1, taken_up.0, taken_up.1, elsewhere.0, elsewhere.1,
    );
    lab.record.note(summary.clone());
    println!("{summary}");
    if new.0 * 10 < new.1 * 8 {
        return Verdict::NotRun("new streams did not begin".to_owned());
    }
    if !lab.trouble {
        let is_calm = taken_up.1 == 0 && whole * 10 >= share(false, None).1 * 9;
        return if is_calm { Verdict::Held } else { Verdict::NotRun("streams broke without trouble".to_owned()) };
    }
    if taken_up.1 < 12 {
        return Verdict::NotRun("fewer than 12 streams were taken up".to_owned());
    }
    let gone_on = taken_up.0 as f64 / taken_up.1 as f64;
    let begun = new.0 as f64 / new.1 as f64;
    if gone_on < begun / 2.0 { Verdict::Broken } else { Verdict::Held }
}
