//! The agent directory: which heartbeats and reports it believes, and the
//! liveness that follows.

use base::prelude::*;
use live::{AgentChange, AgentDirectory, HeartbeatSource, Liveness, SilenceLimits};
use schema::link::{Heartbeat, Resident, ResidentState};
use std::collections::BTreeSet;

const HEARTBEAT_MS: u32 = 500;

fn heartbeat(incarnation: u64, sequence: u64, model: &str) -> Heartbeat {
    Heartbeat {
        agent: "a1".to_owned(),
        incarnation,
        sequence,
        pool: "gpu".to_owned(),
        failure_domain: "d1".to_owned(),
        upstream_up: true,
        residents: vec![Resident {
            model: model.to_owned(),
            version: 1,
            state: ResidentState::Loaded as i32,
            ..Resident::default()
        }],
        ..Heartbeat::default()
    }
}

fn agent() -> AgentId {
    AgentId::new("a1")
}

fn directory() -> AgentDirectory {
    AgentDirectory::new(SilenceLimits::new(HEARTBEAT_MS))
}

fn record(
    directory: &mut AgentDirectory,
    now_ms: u64,
    heartbeat: Heartbeat,
    source: HeartbeatSource,
) -> bool {
    let now = Instant::from_ms(now_ms);
    directory.record_heartbeat(now, heartbeat, source, &mut Vec::new())
}

fn holds(directory: &AgentDirectory, model: &str) -> bool {
    directory.holders(model).next().is_some()
}

/// A late heartbeat must not replace a newer one, or requests would be sent to
/// a model that is no longer loaded or to a dead incarnation of an agent. Rows:
/// incarnation, sequence number, and whether the heartbeat counts as newer
/// after (2, 5), which reports model `new`.
#[test]
fn older_heartbeats_are_dropped() {
    let rows = [
        ("same heartbeat", 2, 5, false),
        ("older sequence", 2, 4, false),
        ("older incarnation, greater sequence", 1, 99, false),
        ("newer sequence", 2, 6, true),
        ("newer incarnation, smaller sequence", 3, 1, true),
        ("newer incarnation, sequence zero", 3, 0, true),
    ];
    for (name, incarnation, sequence, is_newer) in rows {
        for source in [HeartbeatSource::Direct, HeartbeatSource::Relayed] {
            let mut directory = directory();
            record(
                &mut directory,
                0,
                heartbeat(2, 5, "new"),
                HeartbeatSource::Direct,
            );
            let late = heartbeat(incarnation, sequence, "other");
            assert_eq!(record(&mut directory, 10, late, source), is_newer, "{name}");
            assert_eq!(holds(&directory, "new"), !is_newer, "{name}");
            assert_eq!(holds(&directory, "other"), is_newer, "{name}");
        }
    }
}

/// The broken link of one entry must not make an agent lost that others still
/// hear, and a dead agent must not keep its requests waiting. Rows: silence in
/// ms, whether the link is up, whether another entry reports the agent as
/// silent, whether this is the only entry, and the expected liveness.
#[test]
fn liveness_by_silence_and_link() {
    use Liveness::{Lost, Suspected, Up};
    let rows = [
        ("heard just now", 0, true, false, false, Up),
        ("almost suspected", 1_499, true, false, false, Up),
        ("suspected", 1_500, true, false, false, Suspected),
        (
            "link down, but heard just now",
            0,
            false,
            false,
            true,
            Suspected,
        ),
        (
            "link down, reported silent by another entry",
            1_500,
            false,
            true,
            false,
            Lost,
        ),
        ("link down, only entry", 1_500, false, false, true, Lost),
        (
            "link down, not reported silent",
            1_500,
            false,
            false,
            false,
            Suspected,
        ),
        (
            "link up, reported silent by another entry",
            1_500,
            true,
            true,
            false,
            Suspected,
        ),
        ("long silence", 5_000, true, false, false, Lost),
    ];
    for (name, silent_ms, connected, reported_silent, only_entry, expected) in rows {
        let mut directory = directory();
        record(
            &mut directory,
            0,
            heartbeat(1, 1, "m"),
            HeartbeatSource::Direct,
        );
        if !connected {
            directory.link_down(&agent());
        }
        let now = Instant::from_ms(silent_ms);
        if reported_silent {
            let reports = [(agent(), Incarnation(1))];
            directory.record_silences(now, &EntryId::new("e2"), &reports);
        }
        directory.tick(now, only_entry, &mut Vec::new());
        let liveness = directory
            .get(&agent())
            .expect("the agent is known")
            .liveness;
        assert_eq!(liveness, expected, "{name}");
    }
}

/// A report of another entry about an older incarnation, or from long ago, does
/// not count against the present one.
#[test]
fn outdated_silence_reports_are_ignored() {
    let rows = [
        ("older incarnation", Incarnation(1), 1_500),
        ("outdated report", Incarnation(2), 0),
    ];
    for (name, incarnation, reported_at_ms) in rows {
        let mut directory = directory();
        record(
            &mut directory,
            0,
            heartbeat(2, 1, "m"),
            HeartbeatSource::Direct,
        );
        directory.link_down(&agent());
        let reported_at = Instant::from_ms(reported_at_ms);
        let reports = [(agent(), incarnation)];
        directory.record_silences(reported_at, &EntryId::new("e2"), &reports);
        directory.tick(Instant::from_ms(1_600), false, &mut Vec::new());
        let liveness = directory
            .get(&agent())
            .expect("the agent is known")
            .liveness;
        assert_eq!(liveness, Liveness::Suspected, "{name}");
    }
}

/// An agent that only other entries hear is alive but can't be sent work. A
/// relayed copy of a heartbeat does not hide the direct one.
#[test]
fn only_the_own_link_makes_an_agent_usable() {
    let mut directory = directory();
    record(
        &mut directory,
        0,
        heartbeat(1, 1, "m"),
        HeartbeatSource::Relayed,
    );
    let usable = |directory: &AgentDirectory, ms| {
        let agent = directory.get(&agent()).expect("the agent is known");
        directory.usable(Instant::from_ms(ms), agent)
    };
    assert!(!usable(&directory, 0));
    directory.link_up(Instant::ZERO, &agent(), Incarnation(1), &mut Vec::new());
    record(
        &mut directory,
        1,
        heartbeat(1, 1, "m"),
        HeartbeatSource::Direct,
    );
    assert!(usable(&directory, 1));
    for second in 1..=4 {
        let relayed = heartbeat(1, 1 + second, "m");
        record(
            &mut directory,
            second * 500,
            relayed,
            HeartbeatSource::Relayed,
        );
    }
    assert!(
        !usable(&directory, 2_000),
        "usable although silent on its own link"
    );
}

/// A restarted agent starts without state: requests are not sent to models of
/// the old incarnation, and the new one does not count as leaving.
#[test]
fn new_incarnation_starts_without_state() {
    let mut directory = directory();
    record(
        &mut directory,
        0,
        heartbeat(1, 1, "m"),
        HeartbeatSource::Direct,
    );
    let mut changes = Vec::new();
    directory.mark_leaving(&agent(), Incarnation(1), &mut changes);
    directory.mark_leaving(&agent(), Incarnation(1), &mut changes);
    assert_eq!(
        changes,
        [AgentChange::Leaving(agent())],
        "reported more or less than once"
    );
    changes.clear();
    directory.link_up(Instant::ZERO, &agent(), Incarnation(2), &mut changes);
    assert_eq!(changes, [AgentChange::Restarted(agent())]);
    assert!(!holds(&directory, "m"));
    directory.mark_leaving(&agent(), Incarnation(1), &mut changes);
    assert!(
        !directory
            .get(&agent())
            .expect("the agent is known")
            .leaving()
    );
}

/// The platform's list lags. It may list an instance as leaving and later
/// remove it, but that does not undo what the agent itself announced.
#[test]
fn platform_list_does_not_override_the_agents_goodbye() {
    let mut directory = directory();
    record(
        &mut directory,
        0,
        heartbeat(1, 1, "m"),
        HeartbeatSource::Direct,
    );
    let mut changes = Vec::new();
    let leaving = BTreeSet::from([agent()]);
    directory.set_platform_leaving(&leaving, &mut changes);
    assert_eq!(changes, [AgentChange::Leaving(agent())]);
    directory.set_platform_leaving(&BTreeSet::new(), &mut changes);
    assert!(
        !directory
            .get(&agent())
            .expect("the agent is known")
            .leaving()
    );
    directory.mark_leaving(&agent(), Incarnation(1), &mut changes);
    directory.set_platform_leaving(&BTreeSet::new(), &mut changes);
    assert!(
        directory
            .get(&agent())
            .expect("the agent is known")
            .leaving()
    );
}

/// Agents made up by a faulty peer don't use up the memory, and agents that
/// have been silent for very long are removed.
#[test]
fn directory_is_bounded() {
    let mut directory = directory();
    for index in 0..20_000 {
        let mut heartbeat = heartbeat(1, 1, "m");
        heartbeat.agent = format!("x{index}");
        record(&mut directory, 0, heartbeat, HeartbeatSource::Relayed);
    }
    assert_eq!(directory.agents().count(), 16_384);
    directory.tick(Instant::from_ms(400_000), true, &mut Vec::new());
    assert_eq!(directory.agents().count(), 0);
    assert!(!holds(&directory, "m"));
}
