//! Attained work with and without admission, up to twice the load that fits.
//!
//! One queue before 64 places; interactive requests go before batch ones, and a
//! request is cancelled at its deadline. The second way
//! refuses only what would miss its deadline, the third also interactive
//! requests whose first token would be late.

use route::{Admission, AdmissionInput, admit};
use std::collections::VecDeque;

use crate::events::{Draw, Events};

const PLACES: u32 = 64;
const SERVICE_MS: f64 = 2_000.0;
const REQUESTS: usize = 30_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    None,
    Deadline,
    FirstToken,
}

const WAYS: [(Way, &str); 3] = [
    (Way::None, "none"),
    (Way::Deadline, "deadline"),
    (Way::FirstToken, "first token too"),
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
struct Tally {
    arrived: u64,
    /// Whole by the deadline.
    in_time: u64,
    /// Whole by the deadline, and the first token as expected.
    attained: u64,
    /// Cancelled at the deadline, waiting or running.
    late: u64,
    refused: u64,
    wasted_ms: u64,
}

struct Queue {
    way: Way,
    interactive_share: f64,
    running: u32,
    waiting: [VecDeque<Request>; 2],
    events: Events<Event>,
    tally: Tally,
}

impl Queue {
    fn run(way: Way, load: f64, interactive_share: f64, seed: u64) -> Tally {
        let mut queue = Self {
            way,
            interactive_share,
            running: 0,
            waiting: [VecDeque::new(), VecDeque::new()],
            events: Events::new(),
            tally: Tally::default(),
        };
        let mut draw = Draw::new(seed);
        let gap_us = SERVICE_MS * 1_000.0 / f64::from(PLACES) / load;
        queue.events.set(0, Event::Arrive);
        while let Some((now_us, event)) = queue.events.take() {
            let now_ms = now_us / 1_000;
            match event {
                Event::Arrive if queue.tally.arrived < REQUESTS as u64 => {
                    let at_us = now_us + draw.exponential(gap_us) as u64 + 1;
                    queue.events.set(at_us, Event::Arrive);
                    let request = Request {
                        arrived_ms: now_ms,
                        interactive: draw.unit() < queue.interactive_share,
                        service_ms: draw.exponential(SERVICE_MS) as u64 + 1,
                    };
                    queue.arrive(now_ms, request);
                }
                Event::Arrive => {}
                Event::Finish => queue.running -= 1,
            }
            queue.start(now_ms);
        }
        queue.tally
    }

    fn arrive(&mut self, now_ms: u64, request: Request) {
        self.tally.arrived += 1;
        if self.refuses(now_ms, &request) {
            self.tally.refused += 1;
            return;
        }
        self.waiting[usize::from(!request.interactive)].push_back(request);
    }

    fn refuses(&self, now_ms: u64, request: &Request) -> bool {
        if self.way == Way::None {
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
            first_token_ms: match self.way {
                Way::FirstToken => request.first_token_ms(),
                _ => 0,
            },
            interactive: request.interactive,
            holders: 4,
            free_slots: PLACES - self.running,
            slots: PLACES,
            queued_ahead: ahead as u32,
            service_time_ms: SERVICE_MS as u32,
            load_wait_ms: None,
            answer_time_ms: SERVICE_MS as u64,
        };
        matches!(admit(&input), Admission::Refuse(_))
    }

    fn start(&mut self, now_ms: u64) {
        while self.running < PLACES {
            let next = self.waiting[0]
                .pop_front()
                .or_else(|| self.waiting[1].pop_front());
            let Some(request) = next else { return };
            if request.deadline_ms() <= now_ms {
                self.tally.late += 1;
                continue;
            }
            self.serve(now_ms, &request);
        }
    }

    fn serve(&mut self, now_ms: u64, request: &Request) {
        self.running += 1;
        let end_ms = (now_ms + request.service_ms).min(request.deadline_ms());
        self.events.set(end_ms * 1_000, Event::Finish);
        if now_ms + request.service_ms > request.deadline_ms() {
            self.tally.late += 1;
            self.tally.wasted_ms += end_ms - now_ms;
            return;
        }
        self.tally.in_time += 1;
        let wait_ms = now_ms - request.arrived_ms;
        if !request.interactive || wait_ms <= u64::from(request.first_token_ms()) {
            self.tally.attained += 1;
        }
    }
}

pub fn print() {
    println!(
        "\nadmission: 64 places; interactive 8 s, first token 1 s; batch 30 s; one seed"
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
        for (way, name) in WAYS {
            let tally = Queue::run(way, load, interactive_share, 5);
            row(name, load, interactive_share, &tally);
        }
    }
}

fn row(name: &str, load: f64, interactive_share: f64, tally: &Tally) {
    let percent = |count: u64| count as f64 * 100.0 / tally.arrived as f64;
    println!(
        "{load:>5} {:>9} {name:<16} | {:>8.1} {:>9.1} {:>6.1} {:>8.1} {:>9}",
        interactive_share * 100.0,
        percent(tally.in_time),
        percent(tally.attained),
        percent(tally.late),
        percent(tally.refused),
        tally.wasted_ms / 1_000,
    );
}
