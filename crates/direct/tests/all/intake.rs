use direct::{INTAKE_INTERVAL_MS, IntakeLimit};
use std::collections::VecDeque;

/// Steps that a request takes, each after one step of all others.
const STEPS: u32 = 8;

/// Interval of the timer that observes the delay.
const OBSERVED_EVERY_MS: f64 = INTAKE_INTERVAL_MS as f64;

/// Time after which a caller closes the connection.
const DEADLINE_MS: f64 = 4_000.0;

/// From here on requests count: entries have told one another of a change.
const CONTACT_MS: f64 = 3_000.0;

/// An entry's requests, in the order in which they take their steps.
struct Entry {
    limit: Option<IntakeLimit>,
    capacity_per_s: f64,
    running: VecDeque<(f64, u32)>,
    accepted: usize,
    served: usize,
    refused: usize,
}

impl Entry {
    fn new(capacity_per_s: f64, limit: Option<IntakeLimit>) -> Self {
        Self {
            limit,
            capacity_per_s,
            running: VecDeque::new(),
            accepted: 0,
            served: 0,
            refused: 0,
        }
    }

    /// Lets requests arrive at this rate for some time. Returns the share of the accepted
    /// ones that are served in time.
    fn run(&mut self, rate_per_s: f64, ms: f64) -> f64 {
        let step_ms = 1_000.0 / self.capacity_per_s / f64::from(STEPS);
        let mut now = 0.0;
        let mut arrived = 0.0;
        let mut observe_at = OBSERVED_EVERY_MS;
        while now < ms {
            while arrived <= now {
                self.arrive(arrived);
                arrived += 1_000.0 / rate_per_s;
            }
            now += (self.running.len() as f64 * step_ms).max(1.0);
            self.step_all(now);
            if now >= observe_at {
                if let Some(limit) = &mut self.limit {
                    limit.observe((now - observe_at) as u64, self.running.len() as u64);
                }
                observe_at = now + OBSERVED_EVERY_MS;
            }
        }
        self.served as f64 / self.accepted.max(1) as f64
    }

    fn arrive(&mut self, at: f64) {
        if self.limit.as_mut().is_none_or(IntakeLimit::accepts) {
            self.running.push_back((at, STEPS));
        } else {
            self.refused += 1;
        }
    }

    fn step_all(&mut self, now: f64) {
        for _ in 0..self.running.len() {
            let Some((at, steps)) = self.running.pop_front() else {
                return;
            };
            let is_late = now - at > DEADLINE_MS;
            if steps > 1 && !is_late {
                self.running.push_back((at, steps - 1));
            } else if at >= CONTACT_MS {
                self.accepted += 1;
                self.served += usize::from(!is_late);
            }
        }
    }
}

/// Guards against an entry that accepts most connections of a region and then serves none
/// of them in time.
#[test]
fn what_an_overloaded_entry_accepts_is_served() {
    for overload in [1.5, 3.0, 10.0, 30.0] {
        let mut unlimited = Entry::new(100.0, None);
        unlimited.run(100.0 * overload, 20_000.0);
        let mut limited = Entry::new(100.0, Some(IntakeLimit::default()));
        let served = limited.run(100.0 * overload, 20_000.0);
        assert!(served >= 0.75, "{overload}: {served:.3}");
        assert!(
            limited.served > unlimited.served && limited.served >= 17 * 50,
            "{overload}: {} in time, {} without the limit",
            limited.served,
            unlimited.served
        );
    }
}

/// Guards against connections that are refused although the entry has time for them.
#[test]
fn an_entry_with_time_to_spare_refuses_nothing() {
    for load in [0.1, 0.5, 0.8] {
        let mut entry = Entry::new(100.0, Some(IntakeLimit::default()));
        let served = entry.run(100.0 * load, 20_000.0);
        assert_eq!((entry.refused, served), (0, 1.0), "{load}");
    }
}

/// Guards against the same after a process was suspended, and where its processor share
/// is used up now and then.
#[test]
fn single_delays_refuse_nothing() {
    let mut limit = IntakeLimit::default();
    for delay_ms in [0, 5_000, 0, 90, 95, 99, 300, 0, 300] {
        assert_eq!(limit.observe(delay_ms, 1_000), None);
        assert!(limit.accepts());
    }
}

/// Guards against connections that are refused at a machine that is busy otherwise, where
/// that would free no time.
#[test]
fn a_process_with_few_requests_refuses_nothing() {
    let mut limit = IntakeLimit::default();
    for _ in 0..100 {
        assert_eq!(limit.observe(1_000, 31), None);
        assert!(limit.accepts());
    }
}

/// Guards against an entry that stays limited after the load has gone, or is out of reach
/// meanwhile.
#[test]
fn the_limit_ends_with_the_lack_of_time() {
    let mut limit = IntakeLimit::default();
    for _ in 0..100 {
        limit.observe(1_000, 1_000);
    }
    let accepted = (0..100).filter(|_| limit.accepts()).count();
    assert!((1..=2).contains(&accepted), "{accepted}");
    let until_unlimited = (1..100).find(|_| limit.observe(0, 1_000) == Some(1.0));
    assert!(until_unlimited.is_some_and(|observations| observations <= 50));
    assert!((0..100).all(|_| limit.accepts()));
}

/// Guards against a connection that is closed unread by an entry with nothing to do, for
/// an earlier lack of processor time.
#[test]
fn an_entry_with_few_requests_accepts_connections_whatever_was_before() {
    let mut limit = IntakeLimit::default();
    for _ in 0..6 {
        limit.observe(365, 40);
    }
    assert!((0..20).filter(|_| limit.accepts()).count() <= 1);
    limit.observe(0, 0);
    assert!((0..20).all(|_| limit.accepts()), "none is in progress");
    limit.observe(0, 20);
    let accepted = (0..100).filter(|_| limit.accepts()).count();
    assert!((12..30).contains(&accepted), "{accepted} beside 20");
    limit.observe(0, 40);
    let accepted = (0..100).filter(|_| limit.accepts()).count();
    assert!(accepted <= 10, "{accepted} beside 40");
}
