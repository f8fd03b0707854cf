//! The token pools of one entry: refill, feeds, overdrafts, refunds and retry times.

use base::prelude::*;
use quota::{Feed, RateLimit, TakeOutcome, TokenPools};
use std::sync::Arc;

const LIMIT: RateLimit = RateLimit {
    rate_per_s: 1_000.0,
    burst: 1_000.0,
};
const OVERDRAFT: f64 = 500.0;

fn desk() -> Arc<str> {
    "desk".into()
}

fn pools(entries: usize, refills: bool) -> TokenPools {
    let mut pools = TokenPools::new(OVERDRAFT);
    pools.set_limits(Instant::ZERO, [(&desk(), LIMIT)]);
    pools.set_entries(Instant::ZERO, entries, refills);
    pools
}

fn level(pools: &TokenPools, ms: u64) -> f64 {
    let level = pools.level_and_share(Instant::from_ms(ms), "desk");
    level.expect("the workspace has a limit").0
}

fn feed(tokens: f64, previous_keeper_level: Option<f64>) -> Feed {
    Feed {
        workspace: desk(),
        tokens,
        previous_keeper_level,
    }
}

#[test]
fn workspace_without_a_limit_is_unlimited() {
    let outcome = pools(1, true).take(Instant::ZERO, "press", 1e9);
    assert_eq!(outcome, TakeOutcome::Unlimited);
}

/// A process starts without tokens, because an earlier process may have used them.
#[test]
fn process_starts_without_tokens() {
    let mut pools = pools(1, true);
    let outcome = pools.take(Instant::ZERO, "desk", 1.0);
    assert!(
        matches!(outcome, TakeOutcome::Insufficient { .. }),
        "{outcome:?}"
    );
}

/// The shares that all entries refill sum to the rate, however many there are. An entry
/// that the others may not count yet refills nothing.
#[test]
fn shares_sum_to_the_rate() {
    for entries in [1, 4, 24, 300] {
        let now = Instant::from_ms(100);
        let refilled: f64 = (0..entries)
            .map(|_| {
                let mut pools = pools(entries, true);
                let feeds = pools.feed(now, |_| true, |_| false);
                feeds.iter().map(|feed| feed.tokens).sum::<f64>()
            })
            .sum();
        assert!(
            (refilled - 100.0).abs() < 1e-6,
            "{entries} entries refilled {refilled}"
        );
    }
    let feeds = pools(24, false).feed(Instant::from_ms(100), |_| true, |_| false);
    assert_eq!(feeds[0].tokens, 0.0);
}

/// Unused tokens are bounded by the share of the burst that reaches a pool. Otherwise a
/// keeper that its feeders have left would keep a burst that another keeper grants as
/// well.
#[test]
fn unused_tokens_are_bounded_by_the_share_of_the_burst() {
    let mut pools = pools(4, true);
    let _ = pools.take(Instant::from_ms(60_000), "desk", 0.0);
    assert_eq!(level(&pools, 60_000), 250.0);
}

#[test]
fn keeper_fed_by_all_entries_has_the_whole_burst() {
    let mut keeper = pools(4, true);
    let now = Instant::from_ms(10_000);
    for name in ["lj-a-2", "lj-a-3", "lj-a-4"] {
        let _ = keeper.receive(now, &name.into(), &feed(900.0, None));
    }
    assert_eq!(level(&keeper, 10_000), 1_000.0);
}

/// A request larger than the level is admitted while the level is positive, and the
/// debt is repaid before the next one, so that large requests are served as often as
/// small ones.
#[test]
fn large_request_overdraws_once() {
    let mut pools = pools(1, true);
    let now = Instant::from_ms(100);
    assert_eq!(pools.take(now, "desk", 600.0), TakeOutcome::Taken);
    assert_eq!(level(&pools, 100), -500.0);
    let TakeOutcome::Insufficient { retry_after_ms } = pools.take(now, "desk", 1.0)
    else {
        panic!("admitted before the debt was repaid");
    };
    assert!((500..=502).contains(&retry_after_ms), "{retry_after_ms}");
    let later = Instant::from_ms(700);
    assert_eq!(pools.take(later, "desk", 1.0), TakeOutcome::Taken);
}

#[test]
fn request_above_the_limit_is_refused_for_good() {
    let mut pools = pools(1, true);
    let now = Instant::from_ms(60_000);
    assert_eq!(pools.take(now, "desk", 1_500.5), TakeOutcome::ExceedsLimit);
    assert_eq!(pools.take(now, "desk", 1_500.0), TakeOutcome::Taken);
}

/// Callers that are refused together are told retry times as far apart as their costs
/// take to refill. With one time for all, all but the first would be refused again.
#[test]
fn refused_callers_get_successive_retry_times() {
    let mut pools = pools(1, true);
    let retry_times: Vec<u64> = (0..4)
        .map(|_| match pools.take(Instant::ZERO, "desk", 200.0) {
            TakeOutcome::Insufficient { retry_after_ms } => retry_after_ms,
            outcome => panic!("{outcome:?}"),
        })
        .collect();
    assert_eq!(retry_times, [200, 400, 600, 800]);
}

/// Under a storm of refusals, retry times are spread over five seconds and none is
/// longer.
#[test]
fn retry_times_are_at_most_five_seconds() {
    let mut pools = pools(1, true);
    for _ in 0..1_000 {
        let TakeOutcome::Insufficient { retry_after_ms } =
            pools.take(Instant::ZERO, "desk", 200.0)
        else {
            panic!("admitted without tokens");
        };
        assert!((1..=5_000).contains(&retry_after_ms), "{retry_after_ms}");
    }
}

/// The retry times of a thousand callers refused at one time are spread evenly over the
/// times at which there are tokens for one of them.
#[test]
fn retry_times_of_many_callers_are_spread_evenly() {
    let mut pools = pools(1, true);
    let mut callers_by_time = std::collections::BTreeMap::new();
    for _ in 0..1_000 {
        let TakeOutcome::Insufficient { retry_after_ms } =
            pools.take(Instant::ZERO, "desk", 200.0)
        else {
            panic!("admitted without tokens");
        };
        *callers_by_time.entry(retry_after_ms).or_insert(0) += 1;
    }
    // One time every 200 ms of 5 s, and 1,000 callers on 25 times.
    assert_eq!(callers_by_time.len(), 25, "{callers_by_time:?}");
    assert!(
        callers_by_time.values().all(|callers| *callers == 40),
        "{callers_by_time:?}"
    );
}

/// The tokens promised to refused callers decrease as tokens are refilled, so that
/// later callers don't wait behind callers whose time has come.
#[test]
fn promised_tokens_decrease_with_the_refill() {
    let mut pools = pools(1, true);
    for _ in 0..4 {
        let _ = pools.take(Instant::ZERO, "desk", 200.0);
    }
    let now = Instant::from_ms(400);
    assert_eq!(pools.take(now, "desk", 900.0), TakeOutcome::Taken);
    // A debt of 500, 400 of the 800 that were promised, and the 200 of this request.
    let outcome = pools.take(now, "desk", 200.0);
    assert_eq!(
        outcome,
        TakeOutcome::Insufficient {
            retry_after_ms: 1_100
        }
    );
}

/// A limit is lowered far below a debt. Callers are told to retry after five seconds
/// and not after the debt is repaid, because the limit may be raised before.
#[test]
fn retry_time_is_bounded_after_a_limit_is_lowered_below_a_debt() {
    let mut pools = pools(1, true);
    let now = Instant::from_ms(100);
    assert_eq!(pools.take(now, "desk", 600.0), TakeOutcome::Taken);
    let lower = RateLimit {
        rate_per_s: 10.0,
        burst: 10.0,
    };
    pools.set_limits(now, [(&desk(), lower)]);
    let outcome = pools.take(now, "desk", 1.0);
    assert_eq!(
        outcome,
        TakeOutcome::Insufficient {
            retry_after_ms: 5_000
        }
    );
}

/// An entry that the others don't count yet refills nothing and refuses its callers for
/// seconds. Once it refills its share, the next refused caller is told the time for its
/// own cost, and not one behind all callers refused before.
#[test]
fn pool_without_refill_promises_no_tokens() {
    let mut pools = pools(1, false);
    for ms in 0..1_000 {
        let outcome = pools.take(Instant::from_ms(ms), "desk", 200.0);
        assert_eq!(
            outcome,
            TakeOutcome::Insufficient {
                retry_after_ms: 300
            }
        );
    }
    let now = Instant::from_ms(1_000);
    pools.set_entries(now, 1, true);
    let outcome = pools.take(now, "desk", 200.0);
    assert_eq!(
        outcome,
        TakeOutcome::Insufficient {
            retry_after_ms: 200
        }
    );
}

#[test]
fn refunded_tokens_can_be_taken_again() {
    let mut pools = pools(1, true);
    let now = Instant::from_ms(500);
    assert_eq!(pools.take(now, "desk", 500.0), TakeOutcome::Taken);
    pools.refund("desk", 500.0);
    assert_eq!(pools.take(now, "desk", 500.0), TakeOutcome::Taken);
}

/// A refund at an entry that is not the keeper goes to the keeper in full, although the
/// entry's own share of the burst is small.
#[test]
fn refunded_tokens_are_fed_to_the_keeper() {
    let mut pools = pools(1_000, true);
    pools.refund("desk", 500.0);
    let feeds = pools.feed(Instant::ZERO, |_| true, |_| false);
    assert_eq!(feeds[0].tokens, 500.0);
}

/// A keeper dies overdrawn. Entries that received its level report the debt to its
/// successor, which starts with the debt; reported by several entries, it counts once.
#[test]
fn debt_of_a_dead_keeper_passes_to_its_successor() {
    let now = Instant::from_ms(10);
    let mut next = pools(4, true);
    for name in ["lj-a-2", "lj-a-3"] {
        let mut feeder = pools(4, true);
        feeder.set_keeper_level("lj-b-1#1", "desk", -400.0);
        let feeds = feeder.feed(now, |_| true, |keeper| keeper == "lj-b-1#1");
        assert_eq!(feeds[0].previous_keeper_level, Some(-400.0));
        let _ = next.receive(now, &name.into(), &feeds[0]);
    }
    let level = level(&next, 10);
    assert!((-400.0..=-390.0).contains(&level), "{level}");
}

/// A live keeper hands over its debt itself. When other entries reported it as well,
/// debts doubled each time that entries were restarted together and chose another
/// keeper, and every workspace was refused for the rest of the run.
#[test]
fn debt_of_a_live_keeper_is_not_reported_by_feeders() {
    let mut feeder = pools(4, true);
    feeder.set_keeper_level("lj-b-1#1", "desk", -400.0);
    let feeds = feeder.feed(Instant::ZERO, |_| true, |_| false);
    assert_eq!(feeds[0].previous_keeper_level, None);
}

#[test]
fn debt_is_at_most_the_overdraft() {
    let mut keeper = pools(4, true);
    for name in ["lj-a-2", "lj-a-3", "lj-a-4"] {
        let previous_keeper_level = feed(-OVERDRAFT, Some(-OVERDRAFT));
        let _ = keeper.receive(Instant::ZERO, &name.into(), &previous_keeper_level);
    }
    assert_eq!(level(&keeper, 0), -OVERDRAFT);
}

/// A lowered limit applies at once, also to unused tokens; a raised one to the refill
/// from now on.
#[test]
fn changed_limit_applies_at_once() {
    let mut pools = pools(1, true);
    let now = Instant::from_ms(10_000);
    let lower = RateLimit {
        rate_per_s: 10.0,
        burst: 10.0,
    };
    pools.set_limits(now, [(&desk(), lower)]);
    assert_eq!(level(&pools, 10_000), 10.0);
    let higher = RateLimit {
        rate_per_s: 2_000.0,
        burst: 2_000.0,
    };
    pools.set_limits(now, [(&desk(), higher)]);
    let later = Instant::from_ms(10_100);
    assert_eq!(pools.take(later, "desk", 210.0), TakeOutcome::Taken);
}

#[test]
fn pool_of_a_removed_workspace_is_dropped() {
    let mut pools = pools(1, true);
    pools.set_limits(Instant::ZERO, []);
    assert!(pools.is_empty());
}
