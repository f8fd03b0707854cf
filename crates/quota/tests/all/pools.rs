//! What one entry has of a workspace's tokens: made by time, handed over once, owed
//! once.

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

fn pools(entries: usize, makes: bool) -> TokenPools {
    let mut pools = TokenPools::new(OVERDRAFT);
    pools.set_limits(Instant::ZERO, [(&desk(), LIMIT)]);
    pools.set_entries(Instant::ZERO, entries, makes);
    pools
}

fn level(pools: &TokenPools, ms: u64) -> f64 {
    let level = pools.level_and_share(Instant::from_ms(ms), "desk");
    level.expect("the workspace has a bound").0
}

fn fed(tokens: f64, owed: Option<f64>) -> Feed {
    Feed {
        workspace: desk(),
        tokens,
        previous_keeper_level: owed,
    }
}

#[test]
fn a_workspace_without_a_bound_takes_what_it_wants() {
    let take = pools(1, true).take(Instant::ZERO, "press", 1e9);
    assert_eq!(take, TakeOutcome::Unlimited);
}

/// A process that starts has nothing: what came before it may have been used.
#[test]
fn a_start_has_nothing() {
    let mut pools = pools(1, true);
    let take = pools.take(Instant::ZERO, "desk", 1.0);
    assert!(matches!(take, TakeOutcome::Insufficient { .. }), "{take:?}");
}

/// The parts that all entries make sum up to the rate, however many there are, and
/// one that the others may not count yet makes none.
#[test]
fn parts_sum_up_to_the_rate() {
    for entries in [1, 4, 24, 300] {
        let now = Instant::from_ms(100);
        let made: f64 = (0..entries)
            .map(|_| {
                let mut pools = pools(entries, true);
                let feeds = pools.feed(now, |_| true, |_| false);
                feeds.iter().map(|feed| feed.tokens).sum::<f64>()
            })
            .sum();
        assert!((made - 100.0).abs() < 1e-6, "{entries} entries made {made}");
    }
    let feeds = pools(24, false).feed(Instant::from_ms(100), |_| true, |_| false);
    assert_eq!(feeds[0].tokens, 0.0);
}

/// What lies unused is bounded by the part of the burst that is fed to a place, or a
/// place that feeders left would keep a burst that is given out elsewhere again.
#[test]
fn what_lies_unused_is_a_part_of_the_burst() {
    let mut pools = pools(4, true);
    let _ = pools.take(Instant::from_ms(60_000), "desk", 0.0);
    assert_eq!(level(&pools, 60_000), 250.0);
}

#[test]
fn a_keeper_that_all_feed_has_the_whole_burst() {
    let mut keeper = pools(4, true);
    let now = Instant::from_ms(10_000);
    for name in ["lj-a-2", "lj-a-3", "lj-a-4"] {
        let _ = keeper.receive(now, &name.into(), &fed(900.0, None));
    }
    assert_eq!(level(&keeper, 10_000), 1_000.0);
}

/// A request larger than what is left is let in while there is anything, and the debt
/// is paid before the next one: large requests are served as often as small ones.
#[test]
fn a_large_request_overdraws_once() {
    let mut pools = pools(1, true);
    let now = Instant::from_ms(100);
    assert_eq!(pools.take(now, "desk", 600.0), TakeOutcome::Taken);
    assert_eq!(level(&pools, 100), -500.0);
    let TakeOutcome::Insufficient {
        retry_after_ms: return_ms,
    } = pools.take(now, "desk", 1.0)
    else {
        panic!("a debt is paid first");
    };
    assert!((500..=502).contains(&return_ms), "{return_ms}");
    let later = Instant::from_ms(700);
    assert_eq!(pools.take(later, "desk", 1.0), TakeOutcome::Taken);
}

#[test]
fn what_can_never_be_had_is_refused_for_good() {
    let mut pools = pools(1, true);
    let now = Instant::from_ms(60_000);
    assert_eq!(pools.take(now, "desk", 1_500.5), TakeOutcome::ExceedsLimit);
    assert_eq!(pools.take(now, "desk", 1_500.0), TakeOutcome::Taken);
}

/// Callers that are refused together are told moments as far apart as what they want
/// is made, or all but the first would be refused again.
#[test]
fn refused_callers_return_one_behind_the_other() {
    let mut pools = pools(1, true);
    let returns: Vec<u64> = (0..4)
        .map(|_| match pools.take(Instant::ZERO, "desk", 200.0) {
            TakeOutcome::Insufficient {
                retry_after_ms: return_ms,
            } => return_ms,
            take => panic!("{take:?}"),
        })
        .collect();
    assert_eq!(returns, [200, 400, 600, 800]);
}

/// Under a storm of refusals they are spread over some seconds, and none is told to
/// stay away for longer.
#[test]
fn nobody_is_told_to_stay_away_for_long() {
    let mut pools = pools(1, true);
    for _ in 0..1_000 {
        let TakeOutcome::Insufficient {
            retry_after_ms: return_ms,
        } = pools.take(Instant::ZERO, "desk", 200.0)
        else {
            panic!("nothing is there");
        };
        assert!((1..=5_000).contains(&return_ms), "{return_ms}");
    }
}

/// Of a thousand callers refused at one moment none is alone in being told the latest:
/// they are spread evenly over the moments at which there is something for one of them.
#[test]
fn a_storm_of_refused_callers_is_spread_evenly() {
    let mut pools = pools(1, true);
    let mut told = std::collections::BTreeMap::new();
    for _ in 0..1_000 {
        let TakeOutcome::Insufficient {
            retry_after_ms: return_ms,
        } = pools.take(Instant::ZERO, "desk", 200.0)
        else {
            panic!("nothing is there");
        };
        *told.entry(return_ms).or_insert(0) += 1;
    }
    // One each 200 ms of 5 s.
    assert_eq!(told.len(), 25, "{told:?}");
    assert!(told.values().all(|callers| *callers == 40), "{told:?}");
}

/// What was promised is paid as time makes tokens, so those who are refused later do
/// not stand behind callers whose turn has come.
#[test]
fn a_promise_is_paid_by_time() {
    let mut pools = pools(1, true);
    for _ in 0..4 {
        let _ = pools.take(Instant::ZERO, "desk", 200.0);
    }
    let now = Instant::from_ms(400);
    assert_eq!(pools.take(now, "desk", 900.0), TakeOutcome::Taken);
    // A debt of 500, 400 of the 800 that were promised, and its own 200.
    let take = pools.take(now, "desk", 200.0);
    assert_eq!(
        take,
        TakeOutcome::Insufficient {
            retry_after_ms: 1_100
        }
    );
}

/// A limit is lowered far below a debt. Its callers are told to look again in five
/// seconds and not when it will be paid, for the limit may be raised before.
#[test]
fn a_debt_under_a_low_limit_keeps_nobody_away_for_long() {
    let mut pools = pools(1, true);
    let now = Instant::from_ms(100);
    assert_eq!(pools.take(now, "desk", 600.0), TakeOutcome::Taken);
    let lower = RateLimit {
        rate_per_s: 10.0,
        burst: 10.0,
    };
    pools.set_limits(now, [(&desk(), lower)]);
    let take = pools.take(now, "desk", 1.0);
    assert_eq!(
        take,
        TakeOutcome::Insufficient {
            retry_after_ms: 5_000
        }
    );
}

/// An entry that nobody counts yet makes nothing, and refuses its callers for seconds.
/// When it makes its part, the next one that is refused is told its own turn, and not a
/// moment behind all that were told before.
#[test]
fn a_pool_that_made_nothing_promises_nothing() {
    let mut pools = pools(1, false);
    for ms in 0..1_000 {
        let take = pools.take(Instant::from_ms(ms), "desk", 200.0);
        assert_eq!(
            take,
            TakeOutcome::Insufficient {
                retry_after_ms: 300
            }
        );
    }
    let now = Instant::from_ms(1_000);
    pools.set_entries(now, 1, true);
    let take = pools.take(now, "desk", 200.0);
    assert_eq!(
        take,
        TakeOutcome::Insufficient {
            retry_after_ms: 200
        }
    );
}

#[test]
fn what_did_not_run_is_put_back() {
    let mut pools = pools(1, true);
    let now = Instant::from_ms(500);
    assert_eq!(pools.take(now, "desk", 500.0), TakeOutcome::Taken);
    pools.refund("desk", 500.0);
    assert_eq!(pools.take(now, "desk", 500.0), TakeOutcome::Taken);
}

/// At an entry that keeps nothing for others, what is put back goes to the keeper
/// whole, though its own part of the burst is small.
#[test]
fn what_is_put_back_goes_to_the_keeper() {
    let mut pools = pools(1_000, true);
    pools.refund("desk", 500.0);
    let feeds = pools.feed(Instant::ZERO, |_| true, |_| false);
    assert_eq!(feeds[0].tokens, 500.0);
}

/// A keeper dies overdrawn. Whoever heard its debt tells the next one, which begins
/// with the debt and not with nothing; told by many, it is owed once.
#[test]
fn a_debt_outlives_its_keeper() {
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

/// A keeper that hands over while it runs brings its debt itself. Told by others as
/// well, debts doubled each time that entries, all restarted at once, named another
/// keeper, and every workspace was refused for the rest of the day.
#[test]
fn a_debt_that_is_handed_over_is_not_told_as_well() {
    let mut feeder = pools(4, true);
    feeder.set_keeper_level("lj-b-1#1", "desk", -400.0);
    let feeds = feeder.feed(Instant::ZERO, |_| true, |_| false);
    assert_eq!(feeds[0].previous_keeper_level, None);
}

#[test]
fn no_debt_is_larger_than_the_overdraft() {
    let mut keeper = pools(4, true);
    for name in ["lj-a-2", "lj-a-3", "lj-a-4"] {
        let owed = fed(-OVERDRAFT, Some(-OVERDRAFT));
        let _ = keeper.receive(Instant::ZERO, &name.into(), &owed);
    }
    assert_eq!(level(&keeper, 0), -OVERDRAFT);
}

/// A lowered limit binds at once, also on what lies unused; a raised one gives from
/// now on.
#[test]
fn a_changed_limit_holds_at_once() {
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
fn a_workspace_that_is_gone_is_forgotten() {
    let mut pools = pools(1, true);
    pools.set_limits(Instant::ZERO, []);
    assert!(pools.is_empty());
}
