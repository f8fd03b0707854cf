//! Entries that send a load to engines, with the order of waiting requests and without.

use crate::support::{at, name};
use crate::wait_queue::{check, place, request};
use direct::{
    Place, PlaceDecision, WaitCheck, WaitOrder, WaitQueue, WaiterId, WaitingRequest,
};

/// Delay with which entries know what others have sent.
const USAGE_DELAY_MS: u64 = 200;

/// Engines, each with some of the models. A scarce model is on the first two only.
const ENGINES: usize = 12;
const MODELS: u64 = 20;

/// A prompt at an engine.
#[derive(Debug)]
struct Prompt {
    entry: u64,
    request: WaitingRequest,
    /// Priority at the engine.
    priority: u32,
    left_ms: u64,
    sent_ms: u64,
    done_ms: Option<u64>,
}

/// A request at an entry.
#[derive(Debug)]
struct Arrived {
    entry: u64,
    holders: [usize; 2],
    id: Option<WaiterId>,
    check_at: u64,
    request: WaitingRequest,
}

/// What the requests of one priority achieved.
#[derive(Debug, Default, Clone, Copy)]
struct Achieved {
    requests: f64,
    in_time: f64,
    late: f64,
}

impl Achieved {
    /// Value as a share of the maximum. A late answer is worth a fifth.
    fn value(&self) -> f64 {
        (self.in_time + self.late * 0.2) / self.requests
    }
}

/// Urgent and patient requests on some engines for 20 s.
struct Play {
    now: u64,
    entries: u64,
    /// Without an order, requests are sent or refused at once, as they were before.
    order: Option<WaitOrder>,
    queues: Vec<WaitQueue>,
    engines: Vec<Vec<Prompt>>,
    achieved: [Achieved; 3],
}

fn random_numbers(seed: u64) -> impl FnMut() -> u64 {
    let mut random = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    move || {
        random ^= random << 13;
        random ^= random >> 7;
        random ^= random << 17;
        random >> 8
    }
}

impl Play {
    /// Plays the load and returns the value achieved by priority.
    fn values(entries: u64, order: Option<WaitOrder>) -> [f64; 3] {
        let queue = |_| WaitQueue::new(order.unwrap_or_default());
        let mut play = Self {
            now: 0,
            entries,
            order,
            queues: (0..entries).map(queue).collect(),
            engines: (0..ENGINES).map(|_| Vec::new()).collect(),
            achieved: [Achieved::default(); 3],
        };
        let (mut random, mut random_of_entries) =
            (random_numbers(1), random_numbers(2));
        let mut waiting = Vec::new();
        for now in (0..24_000).step_by(10) {
            play.now = now;
            play.engines_work();
            if now < 20_000 {
                play.requests_arrive(&mut waiting, &mut random);
            }
            waiting.retain_mut(|arrived| {
                arrived.check_at > now
                    || play.still_waits(arrived, &mut random_of_entries)
            });
        }
        assert!(waiting.is_empty() && play.queues.iter().all(WaitQueue::is_empty));
        play.achieved.map(|achieved| achieved.value())
    }

    /// Engines finish the prompt that they began, and then the most urgent one.
    fn engines_work(&mut self) {
        let now = self.now;
        for engine in &mut self.engines {
            let unread = engine.iter_mut().filter(|prompt| prompt.left_ms > 0);
            let next = unread.min_by_key(|prompt| {
                (prompt.left_ms == prompt.request.engine_ms, prompt.priority)
            });
            if let Some(prompt) = next {
                prompt.left_ms = prompt.left_ms.saturating_sub(10);
                if prompt.left_ms == 0 {
                    prompt.done_ms = Some(now);
                    let took_ms = at(now).ms_since(prompt.request.arrived_at);
                    let achieved = &mut self.achieved[prompt.request.priority as usize];
                    if took_ms < prompt.request.latency_target_ms {
                        achieved.in_time += 1.0;
                    } else if at(now) < prompt.request.first_answer_deadline {
                        achieved.late += 1.0;
                    }
                }
            }
            engine.retain(|prompt| {
                prompt.done_ms.is_none_or(|at| at + USAGE_DELAY_MS > now)
            });
        }
    }

    /// 70 urgent requests per second, for six of eight seconds half of them for the
    /// scarce model, beside 15 others and patient ones in bursts.
    fn requests_arrive(
        &mut self,
        waiting: &mut Vec<Arrived>,
        random: &mut impl FnMut() -> u64,
    ) {
        let is_burst = self.now % 5_000 < 1_500;
        let per_thousand = [700, 150, if is_burst { 800 } else { 200 }];
        for (priority, per_thousand) in per_thousand.into_iter().enumerate() {
            if random() % 1_000 >= per_thousand {
                continue;
            }
            let target_ms = [500, 1_500, 8_000][priority];
            let is_shift = priority == 0 && self.now % 8_000 < 6_000;
            let holders = if is_shift && random().is_multiple_of(2) {
                [0, 1]
            } else {
                let model = (random() % MODELS) as usize;
                [model % 6, 6 + model % 6]
            };
            self.achieved[priority].requests += 1.0;
            waiting.push(Arrived {
                entry: random() % self.entries,
                holders,
                id: None,
                check_at: self.now,
                request: WaitingRequest {
                    engine_ms: (3 + random() % 9) * 10,
                    ..request(self.now, priority as u32, target_ms)
                },
            });
        }
    }

    /// What an entry knows of an engine: how long a prompt waits there, and how long
    /// the prompts take that it must not delay.
    fn known_ms(&self, engine: usize, entry: u64, priority: u32) -> (u64, u64) {
        let (mut ahead_ms, mut unread_ms, mut total_ms) = (0, 0, 0);
        for prompt in &self.engines[engine] {
            let delay_ms = if prompt.entry == entry {
                0
            } else {
                USAGE_DELAY_MS
            };
            let is_sent = prompt.sent_ms + delay_ms <= self.now;
            let is_done = prompt.done_ms.is_some_and(|at| at + delay_ms <= self.now);
            if is_sent && !is_done {
                total_ms += prompt.request.engine_ms;
                if prompt.priority <= priority {
                    ahead_ms += prompt.request.engine_ms;
                }
                if prompt.priority <= priority.max(1) {
                    unread_ms += prompt.request.engine_ms;
                }
            }
        }
        (ahead_ms + (total_ms - ahead_ms).min(80), unread_ms)
    }

    /// Lets a request try the better engine; returns whether it goes on waiting.
    fn still_waits(
        &mut self,
        arrived: &mut Arrived,
        random: &mut impl FnMut() -> u64,
    ) -> bool {
        let Arrived { entry, request, .. } = *arrived;
        let known = arrived
            .holders
            .map(|engine| (self.known_ms(engine, entry, request.priority), engine));
        let ((queue_ms, unread_ms), engine) = known[0].min(known[1]);
        let upstream = name(&engine.to_string());
        let place = Place {
            queue_ms,
            prefill_ms: request.engine_ms,
            ..place(&upstream, unread_ms)
        };
        match self.decide(arrived, &place, random) {
            PlaceDecision::Wait(after_ms) => {
                arrived.check_at = self.now + after_ms;
                return true;
            }
            PlaceDecision::Refuse(_) => {}
            PlaceDecision::Take => {
                self.engines[engine].push(Prompt {
                    entry,
                    request,
                    priority: request.priority,
                    left_ms: request.engine_ms,
                    sent_ms: self.now,
                    done_ms: None,
                });
            }
        }
        if let Some(id) = arrived.id {
            self.queues[entry as usize].leave(id);
        }
        false
    }

    fn decide(
        &mut self,
        arrived: &mut Arrived,
        place: &Place<'_>,
        random: &mut impl FnMut() -> u64,
    ) -> PlaceDecision {
        let (now, request) = (at(self.now), &arrived.request);
        if self.order.is_none() {
            let is_in_time = place.queue_ms + 70 <= request.latency_target_ms * 3 / 4;
            return if is_in_time {
                PlaceDecision::Take
            } else {
                PlaceDecision::Refuse(0)
            };
        }
        let queue = &mut self.queues[arrived.entry as usize];
        if arrived.id.is_none() && queue.takes_at_once(now, request, place) {
            return PlaceDecision::Take;
        }
        let id = match arrived.id {
            Some(id) => id,
            None => match queue.join(now, *request, random()) {
                Ok(id) => id,
                Err(retry_after_ms) => return PlaceDecision::Refuse(retry_after_ms),
            },
        };
        arrived.id = Some(id);
        let check = WaitCheck {
            entries: self.entries,
            ..check(Some(*place), random())
        };
        queue.decide(now, id, &check)
    }
}

/// Each entry sees a part of the load and learns of the other parts late. Waiting must
/// not cost urgent requests anything at any number of entries, nor starve patient ones
/// where the engines have time for all.
#[test]
fn waiting_costs_urgent_requests_nothing_at_any_number_of_entries() {
    for entries in [4, 24, 300] {
        let [at_once, by_arrival, by_start] =
            [None, Some(WaitOrder::Arrival), Some(WaitOrder::LatestStart)]
                .map(|order| Play::values(entries, order));
        println!("{entries}: {at_once:.3?} {by_arrival:.3?} {by_start:.3?}");
        assert!(by_start[0] > at_once[0] - 0.01, "{by_start:?} {at_once:?}");
        assert!(
            by_start[0] > by_arrival[0] - 0.015,
            "{by_start:?} {by_arrival:?}"
        );
        assert!(by_start[1] > 0.95 && by_start[2] > 0.85, "{by_start:?}");
    }
}
