use base::prelude::*;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use route::{Holder, RouteReason, RoutingInput, choose_holder};

/// Owns the names that holders borrow.
struct Names {
    agents: Vec<AgentId>,
    here: DomainId,
    there: DomainId,
}

impl Names {
    fn new(count: usize) -> Self {
        Self {
            agents: (0..count).map(|n| AgentId::new(&format!("a{n}"))).collect(),
            here: DomainId::new("here"),
            there: DomainId::new("there"),
        }
    }

    fn holders(&self) -> Vec<Holder<'_>> {
        let holder = |agent| Holder {
            agent,
            domain: &self.there,
            running: 4,
            waiting: 0,
            running_max: 16,
            step_time_us: 10_000,
            report_age_ms: 0,
            sent_since_report: 0,
            suspected: false,
        };
        self.agents.iter().map(holder).collect()
    }

    /// How often each holder is chosen, and the reason of the last choice.
    fn tally(
        &self,
        holders: &[Holder<'_>],
        prefix_hash: u64,
        excluded: &[AgentId],
    ) -> (Vec<usize>, Option<RouteReason>) {
        let mut rng = Pcg64Mcg::seed_from_u64(7);
        let mut counts = vec![0; holders.len()];
        let mut reason = None;
        let input = RoutingInput {
            prefix_hash,
            domain: &self.here,
            excluded,
        };
        for _ in 0..1_000 {
            let chosen = choose_holder(holders, &input, &mut rng);
            reason = chosen.map(|chosen| chosen.reason);
            if let Some(chosen) = chosen {
                counts[chosen.index] += 1;
            }
        }
        (counts, reason)
    }
}

type Change = fn(&mut [Holder<'_>], &Names);

/// Which of three holders is never chosen, and which always, after a change.
#[test]
fn two_choices_follow_load_and_life() {
    // For each holder: 0 never, 1 sometimes, 2 always.
    let cases: [(&str, Change, [u8; 3]); 11] = [
        ("all alike", |_, _| (), [1, 1, 1]),
        ("one busier", |h, _| h[0].running = 9, [0, 1, 1]),
        ("one queueing", |h, _| h[0].waiting = 1, [0, 1, 1]),
        ("one sent to", |h, _| h[0].sent_since_report = 1, [0, 1, 1]),
        ("one slower", |h, _| h[0].step_time_us = 40_000, [0, 1, 1]),
        ("one full", |h, _| h[0].running = 18, [0, 1, 1]),
        ("one without places", |h, _| h[0].running_max = 0, [0, 1, 1]),
        ("one silent", |h, _| h[0].suspected = true, [0, 1, 1]),
        (
            "only a silent one has room",
            |h, _| {
                h[0].suspected = true;
                h[1].running = 18;
                h[2].running = 18;
            },
            [2, 0, 0],
        ),
        (
            "all full",
            |h, _| h.iter_mut().for_each(|holder| holder.running = 18),
            [0, 0, 0],
        ),
        (
            "a number out of all bounds",
            |h, _| {
                h[0].running = u32::MAX;
                h[0].sent_since_report = u32::MAX;
                h[1].report_age_ms = u64::MAX;
                h[2].step_time_us = u32::MAX;
            },
            [0, 2, 0],
        ),
    ];
    let names = Names::new(3);
    for (name, change, expected) in cases {
        let mut holders = names.holders();
        change(&mut holders, &names);
        let (counts, _) = names.tally(&holders, 0, &[]);
        let class = |count: &usize| match count {
            0 => 0,
            1_000 => 2,
            _ => 1,
        };
        let classes: Vec<u8> = counts.iter().map(class).collect();
        assert_eq!(classes, expected, "{name}: {counts:?}");
    }
}

/// A holder that was idle a minute ago does not draw everything away from one
/// that is known to be nearly idle.
#[test]
fn an_old_hint_is_worth_less() {
    let names = Names::new(3);
    let mut holders = names.holders();
    holders[0].running = 0;
    holders[1].running = 1;
    holders[2].running = 14;
    let (fresh, _) = names.tally(&holders, 0, &[]);
    holders[0].report_age_ms = 60_000;
    let (aged, _) = names.tally(&holders, 0, &[]);
    assert!(fresh[0] > fresh[1], "{fresh:?}");
    assert!(aged[0] < aged[1], "{aged:?}");
}

/// The own failure domain decides between equals and never against load.
#[test]
fn the_own_domain_decides_between_equals() {
    let names = Names::new(2);
    let mut holders = names.holders();
    holders[1].domain = &names.here;
    assert_eq!(names.tally(&holders, 0, &[]).0, [0, 1_000]);
    holders[1].running += 1;
    assert_eq!(names.tally(&holders, 0, &[]).0, [1_000, 0]);
}

/// A prefix stays with its holder until that is over the load bound, and comes
/// back afterwards; other prefixes are spread over the others.
#[test]
fn a_prefix_stays_within_the_load_bound() {
    let names = Names::new(8);
    let mut holders = names.holders();
    let (counts, reason) = names.tally(&holders, 42, &[]);
    let home = counts
        .iter()
        .position(|count| *count > 0)
        .expect("one is chosen");
    assert_eq!((counts[home], reason), (1_000, Some(RouteReason::Prefix)));

    holders[home].running = 12;
    let (counts, reason) = names.tally(&holders, 42, &[]);
    assert_eq!(
        (counts[home], reason),
        (0, Some(RouteReason::PrefixBounded))
    );

    holders[home].running = 5;
    let (counts, _) = names.tally(&holders, 42, &[]);
    assert_eq!(counts[home], 1_000);

    let used = (1..200u64).map(|prefix| names.tally(&holders, prefix, &[]).0);
    let homes: std::collections::BTreeSet<_> = used.collect();
    assert_eq!(homes.len(), 8, "every holder is the home of some prefix");
}

/// A prefix whose home was tried before goes to the next; the last one left is
/// chosen as such, and when all were tried there is none.
#[test]
fn tried_holders_are_not_chosen_again() {
    let names = Names::new(3);
    let holders = names.holders();
    for tried in 0..=3 {
        for prefix_hash in [0, 42] {
            let excluded = &names.agents[..tried];
            let (counts, reason) = names.tally(&holders, prefix_hash, excluded);
            assert_eq!(counts[..tried].iter().sum::<usize>(), 0);
            assert_eq!(
                counts.iter().sum::<usize>(),
                if tried < 3 { 1_000 } else { 0 }
            );
            let only = reason == Some(RouteReason::OnlyHolder);
            assert_eq!(only, tried == 2, "{tried} tried, prefix {prefix_hash}");
        }
    }
}

/// Whatever the numbers, a choice is a holder with room, or none has room.
#[test]
fn any_numbers_give_a_holder_with_room() {
    arbtest::arbtest(|u| {
        let names = Names::new(u.int_in_range(0..=9)?);
        let mut holders = names.holders();
        for holder in &mut holders {
            holder.running = u.arbitrary()?;
            holder.waiting = u.arbitrary::<u32>()? % 4;
            holder.running %= 40;
            holder.running_max = u.arbitrary::<u32>()? % 32;
            holder.step_time_us = u.arbitrary()?;
            holder.report_age_ms = u.arbitrary()?;
            holder.suspected = u.arbitrary()?;
        }
        let input = RoutingInput {
            prefix_hash: u.arbitrary()?,
            domain: &names.here,
            excluded: &[],
        };
        let mut rng = Pcg64Mcg::seed_from_u64(u.arbitrary()?);
        let chosen = choose_holder(&holders, &input, &mut rng);
        let room = holders.iter().any(route::has_capacity);
        assert_eq!(chosen.is_some(), room);
        assert!(
            chosen.is_none_or(|chosen| route::has_capacity(&holders[chosen.index]))
        );
        Ok(())
    });
}
