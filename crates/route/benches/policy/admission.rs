//! Compares admission policies at up to twice the sustainable load.
//!
//! Requests wait in one queue for 64 slots. Interactive requests are served before
//! batch requests, and a request is cancelled at its deadline. The policies are to
//! admit all requests, to refuse those that would miss their deadline, and to
//! refuse also interactive ones whose first token would be late.

use route::{Admission, AdmissionInput, admit};
use std::collections::VecDeque;

use crate::events::{Events, Random};

const SLOTS: u32 = 64;
const SERVICE_MS: f64 = 2_000.0;
const REQUESTS: usize = 30_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Policy {
    None,
    Deadline,
    FirstToken,
}

const POLICIES: [(Policy, &str); 3] = [
    (Policy::None, "none"),
    (Policy::Deadline, "deadline"),
    (Policy::FirstToken, "first token too"),
];

#[derive(Debug, Clone, Copy)]
struct Request {
    arrived_ms: u64,
    interactive: bool,
    service_ms: u64,
}

impl Request {
    fn deadline_ms(&self) -> u64 {
        self.arrived_ms + if self.interactive { 8_000 } else { 30_000 }
    }

    fn first_token_ms(&self) -> u32 {
        if self.interactive { 1_000 } else { 0 }
    }
}

#[derive(Debug)]
enum Event {
    Arrive,
    Finish,
}

#[derive(Debug, Default)]
struct Counts {
    arrived: u64,
    /// Completed by the deadline.
    in_time: u64,
    /// Completed by the deadline, and with the first token in the expected time.
    attained: u64,
    /// Cancelled at the deadline, waiting or running.
    late: u64,
    refused: u64,
    wasted_ms: u64,
}

struct Queue {
    policy: Policy,
    interactive_share: f64,
    running: u32,
    waiting: [VecDeque<Request>; 2],
    events: Events<Event>,
    counts: Counts,
}

impl Queue {
    fn run(policy: Policy, load: f64, interactive_share: f64, seed: u64) -> Counts {
        let mut queue = Self {
            policy,
            interactive_share,
            running: 0,
            waiting: [VecDeque::new(), VecDeque::new()],
            events: Events::new(),
            counts: Counts::default(),
        };
        let mut random = Random::new(seed);
        let gap_us = SERVICE_MS * 1_000.0 / f64::from(SLOTS) / load;
        queue.events.schedule(0, Event::Arrive);
        while let Some((now_us, event)) = queue.events.pop() {
            let now_ms = now_us / 1_000;
            match event {
                Event::Arrive if queue.counts.arrived < REQUESTS as u64 => {
                    let at_us = now_us + random.exponential(gap_us) as u64 + 1;
                    queue.events.schedule(at_us, Event::Arrive);
                    let request = Request {
                        arrived_ms: now_ms,
                        interactive: random.uniform() < queue.interactive_share,
                        service_ms: random.exponential(SERVICE_MS) as u64 + 1,
                    };
                    queue.arrive(now_ms, request);
                }
                Event::Arrive => {}
                Event::Finish => queue.running -= 1,
            }
            queue.start(now_ms);
        }
        queue.counts
    }

    fn arrive(&mut self, now_ms: u64, request: Request) {
        self.counts.arrived += 1;
        if self.refuses(now_ms, &request) {
            self.counts.refused += 1;
            return;
        }
        self.waiting[usize::from(!request.interactive)].push_back(request);
    }

    fn refuses(&self, now_ms: u64, request: &Request) -> bool {
        if self.policy == Policy::None {
            return false;
        }
        let interactive_ahead = self.waiting[0].len();
        let batch_ahead = self.waiting[1].len();
        let ahead = if request.interactive {
            interactive_ahead
        } else {
            interactive_ahead + batch_ahead
        };
        let input = AdmissionInput {
            remaining_ms: request.deadline_ms() - now_ms,
            first_token_ms: match self.policy {
                Policy::FirstToken => request.first_token_ms(),
                _ => 0,
            },
            interactive: request.interactive,
            holders: 4,
            free_slots: SLOTS - self.running,
            slots: SLOTS,
            queued_ahead: ahead as u32,
            service_time_ms: SERVICE_MS as u32,
            load_wait_ms: None,
            answer_time_ms: SERVICE_MS as u64,
        };
        matches!(admit(&input), Admission::Refuse(_))
    }

    fn start(&mut self, now_ms: u64) {
        while self.running < SLOTS {
            let next = self.waiting[0]
                .pop_front()
                .or_else(|| self.waiting[1].pop_front());
            let Some(request) = next else { return };
            if request.deadline_ms() <= now_ms {
                self.counts.late += 1;
                continue;
            }
            self.serve(now_ms, &request);
        }
    }

    fn serve(&mut self, now_ms: u64, request: &Request) {
        self.running += 1;
        let end_ms = (now_ms + request.service_ms).min(request.deadline_ms());
        self.events.schedule(end_ms * 1_000, Event::Finish);
        if now_ms + request.service_ms > request.deadline_ms() {
            self.counts.late += 1;
            self.counts.wasted_ms += end_ms - now_ms;
            return;
        }
        self.counts.in_time += 1;
        let wait_ms = now_ms - request.arrived_ms;
        if !request.interactive || wait_ms <= u64::from(request.first_token_ms()) {
            self.counts.attained += 1;
        }
    }
}

pub fn print() {
    println!(
        "\nadmission: 64 slots; interactive 8 s, first token 1 s; batch 30 s; one seed"
    );
    println!(
        "{:>5} {:>9} {:<16} | {:>8} {:>9} {:>6} {:>8} {:>9}",
        "load",
        "interact%",
        "refuses by",
        "in time%",
        "attained%",
        "late%",
        "refused%",
        "wasted s"
    );
    for (load, interactive_share) in [
        (0.9, 0.5),
        (1.2, 0.5),
        (2.0, 0.5),
        (0.9, 1.0),
        (1.2, 1.0),
        (2.0, 1.0),
        (2.0, 0.0),
    ] {
        for (policy, name) in POLICIES {
            let counts = Queue::run(policy, load, interactive_share, 5);
            row(name, load, interactive_share, &counts);
        }
    }
}

fn row(name: &str, load: f64, interactive_share: f64, counts: &Counts) {
    let percent = |count: u64| count as f64 * 100.0 / counts.arrived as f64;
    println!(
        "{load:>5} {:>9} {name:<16} | {:>8.1} {:>9.1} {:>6.1} {:>8.1} {:>9}",
        interactive_share * 100.0,
        percent(counts.in_time),
        percent(counts.attained),
        percent(counts.late),
        percent(counts.refused),
        counts.wasted_ms / 1_000,
    );
}
