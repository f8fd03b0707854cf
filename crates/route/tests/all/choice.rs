use base::prelude::*;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use route::{Holder, RouteReason, RoutingInput, choose_holder};

/// Owns the names that holders borrow.
struct Ids {
    agents: Vec<AgentId>,
    here: FailureDomainId,
    there: FailureDomainId,
}

impl Ids {
    fn new(count: usize) -> Self {
        Self {
            agents: (0..count).map(|n| AgentId::new(&format!("a{n}"))).collect(),
            here: FailureDomainId::new("here"),
            there: FailureDomainId::new("there"),
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

    /// Counts how often each holder is chosen; also returns the reason of the last
    /// choice.
    fn count_choices(
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

type Change = fn(&mut [Holder<'_>], &Ids);

/// Without a prefix, loaded, slow, full and suspected holders are avoided.
#[test]
fn two_choices_follow_load_and_suspicion() {
    // For each holder: 0 = never chosen, 1 = sometimes, 2 = always.
    let cases: [(&str, Change, [u8; 3]); 11] = [
        ("all equal", |_, _| (), [1, 1, 1]),
        ("one busier", |h, _| h[0].running = 9, [0, 1, 1]),
        ("one queueing", |h, _| h[0].waiting = 1, [0, 1, 1]),
        (
            "one with a recent attempt",
            |h, _| h[0].sent_since_report = 1,
            [0, 1, 1],
        ),
        ("one slower", |h, _| h[0].step_time_us = 40_000, [0, 1, 1]),
        ("one full", |h, _| h[0].running = 18, [0, 1, 1]),
        ("one without slots", |h, _| h[0].running_max = 0, [0, 1, 1]),
        ("one suspected", |h, _| h[0].suspected = true, [0, 1, 1]),
        (
            "only a suspected one has capacity",
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
            "out-of-range numbers",
            |h, _| {
                h[0].running = u32::MAX;
                h[0].sent_since_report = u32::MAX;
                h[1].report_age_ms = u64::MAX;
                h[2].step_time_us = u32::MAX;
            },
            [0, 2, 0],
        ),
    ];
    let ids = Ids::new(3);
    for (name, change, expected) in cases {
        let mut holders = ids.holders();
        change(&mut holders, &ids);
        let (counts, _) = ids.count_choices(&holders, 0, &[]);
        let class = |count: &usize| match count {
            0 => 0,
            1_000 => 2,
            _ => 1,
        };
        let classes: Vec<u8> = counts.iter().map(class).collect();
        assert_eq!(classes, expected, "{name}: {counts:?}");
    }
}

/// Guards against an old report of an idle holder that attracts all requests
/// although another holder is known to be nearly idle.
#[test]
fn an_old_load_report_counts_less() {
    let ids = Ids::new(3);
    let mut holders = ids.holders();
    holders[0].running = 0;
    holders[1].running = 1;
    holders[2].running = 14;
    let (fresh, _) = ids.count_choices(&holders, 0, &[]);
    holders[0].report_age_ms = 60_000;
    let (aged, _) = ids.count_choices(&holders, 0, &[]);
    assert!(fresh[0] > fresh[1], "{fresh:?}");
    assert!(aged[0] < aged[1], "{aged:?}");
}

/// The entry's own failure domain decides between equally loaded holders only.
#[test]
fn the_local_domain_breaks_ties() {
    let ids = Ids::new(2);
    let mut holders = ids.holders();
    holders[1].domain = &ids.here;
    assert_eq!(ids.count_choices(&holders, 0, &[]).0, [0, 1_000]);
    holders[1].running += 1;
    assert_eq!(ids.count_choices(&holders, 0, &[]).0, [1_000, 0]);
}

/// A prefix leaves its preferred holder while that exceeds the load bound, and
/// returns afterwards. Prefixes are spread over all holders.
#[test]
fn a_prefix_stays_within_the_load_bound() {
    let ids = Ids::new(8);
    let mut holders = ids.holders();
    let (counts, reason) = ids.count_choices(&holders, 42, &[]);
    let preferred = counts
        .iter()
        .position(|count| *count > 0)
        .expect("one is chosen");
    assert_eq!(
        (counts[preferred], reason),
        (1_000, Some(RouteReason::Prefix))
    );

    holders[preferred].running = 12;
    let (counts, reason) = ids.count_choices(&holders, 42, &[]);
    assert_eq!(
        (counts[preferred], reason),
        (0, Some(RouteReason::PrefixBounded))
    );

    holders[preferred].running = 5;
    let (counts, _) = ids.count_choices(&holders, 42, &[]);
    assert_eq!(counts[preferred], 1_000);

    let used = (1..200u64).map(|prefix| ids.count_choices(&holders, prefix, &[]).0);
    let preferred_holders: std::collections::BTreeSet<_> = used.collect();
    assert_eq!(
        preferred_holders.len(),
        8,
        "every holder is preferred for some prefix"
    );
}

/// A request is not sent to an excluded holder. The last holder left is reported as
/// the only one, and there is none when all are excluded.
#[test]
fn tried_holders_are_not_chosen_again() {
    let ids = Ids::new(3);
    let holders = ids.holders();
    for tried in 0..=3 {
        for prefix_hash in [0, 42] {
            let excluded = &ids.agents[..tried];
            let (counts, reason) = ids.count_choices(&holders, prefix_hash, excluded);
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

/// For any input the chosen holder has capacity, and none is chosen only if none
/// has.
#[test]
fn any_input_gives_a_holder_with_capacity() {
    arbtest::arbtest(|u| {
        let ids = Ids::new(u.int_in_range(0..=9)?);
        let mut holders = ids.holders();
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
            domain: &ids.here,
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
