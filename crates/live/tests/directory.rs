//! The directory: what is believed of agents, and what is not.

use base::prelude::*;
use live::{AgentChange, AgentDirectory, HeartbeatSource, Liveness, SilenceLimits};
use schema::link::{Heartbeat, Resident, ResidentState};
use std::collections::BTreeSet;

const HEARTBEAT_MS: u32 = 500;

fn beat(incarnation: u64, sequence: u64, model: &str) -> Heartbeat {
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

fn hear(
    directory: &mut AgentDirectory,
    now_ms: u64,
    beat: Heartbeat,
    heard: HeartbeatSource,
) -> bool {
    let now = Instant::from_ms(now_ms);
    directory.record_heartbeat(now, beat, heard, &mut Vec::new())
}

fn holds(directory: &AgentDirectory, model: &str) -> bool {
    directory.holders(model).next().is_some()
}

/// A request would be sent to a model that is gone, or to a dead run of an
/// agent, if a late heartbeat replaced a newer one. Rows: incarnation, sequence
/// and whether it is news after (2, 5) holding `new`.
#[test]
fn older_heartbeats_change_nothing() {
    let rows = [
        ("same again", 2, 5, false),
        ("older sequence", 2, 4, false),
        ("older run, greater sequence", 1, 99, false),
        ("newer sequence", 2, 6, true),
        ("newer run, small sequence", 3, 1, true),
        ("newer run, no sequence", 3, 0, true),
    ];
    for (name, incarnation, sequence, news) in rows {
        for heard in [HeartbeatSource::Direct, HeartbeatSource::Relayed] {
            let mut directory = directory();
            hear(
                &mut directory,
                0,
                beat(2, 5, "new"),
                HeartbeatSource::Direct,
            );
            let late = beat(incarnation, sequence, "other");
            assert_eq!(hear(&mut directory, 10, late, heard), news, "{name}");
            assert_eq!(holds(&directory, "new"), !news, "{name}");
            assert_eq!(holds(&directory, "other"), news, "{name}");
        }
    }
}

/// One entry's broken link must not end an agent that others still hear, and a
/// dead agent must not keep its requests waiting. Rows: silence, link, another
/// entry's word, whether this entry is alone, and the verdict.
#[test]
fn verdicts_on_silence() {
    use Liveness::{Lost, Suspected, Up};
    let rows = [
        ("heard", 0, true, false, false, Up),
        ("almost suspected", 1_499, true, false, false, Up),
        ("suspected", 1_500, true, false, false, Suspected),
        (
            "link down, heard just now",
            0,
            false,
            false,
            true,
            Suspected,
        ),
        (
            "link down, missed by others",
            1_500,
            false,
            true,
            false,
            Lost,
        ),
        ("link down, alone", 1_500, false, false, true, Lost),
        (
            "link down, nobody else misses it",
            1_500,
            false,
            false,
            false,
            Suspected,
        ),
        (
            "link up, missed by others",
            1_500,
            true,
            true,
            false,
            Suspected,
        ),
        ("long silence", 5_000, true, false, false, Lost),
    ];
    for (name, silent_ms, connected, missed, alone, verdict) in rows {
        let mut directory = directory();
        hear(&mut directory, 0, beat(1, 1, "m"), HeartbeatSource::Direct);
        if !connected {
            directory.link_down(&agent());
        }
        let now = Instant::from_ms(silent_ms);
        if missed {
            let said = [(agent(), Incarnation(1))];
            directory.record_silences(now, &EntryId::new("e2"), &said);
        }
        directory.tick(now, alone, &mut Vec::new());
        let life = directory.get(&agent()).expect("known").liveness;
        assert_eq!(life, verdict, "{name}");
    }
}

/// The word of another entry about an older run, or from long ago, is no
/// witness against the present run.
#[test]
fn stale_words_are_no_witness() {
    let rows = [
        ("an older run", Incarnation(1), 1_500),
        ("long ago", Incarnation(2), 0),
    ];
    for (name, incarnation, said_ms) in rows {
        let mut directory = directory();
        hear(&mut directory, 0, beat(2, 1, "m"), HeartbeatSource::Direct);
        directory.link_down(&agent());
        let said_at = Instant::from_ms(said_ms);
        let said = [(agent(), incarnation)];
        directory.record_silences(said_at, &EntryId::new("e2"), &said);
        directory.tick(Instant::from_ms(1_600), false, &mut Vec::new());
        let life = directory.get(&agent()).expect("known").liveness;
        assert_eq!(life, Liveness::Suspected, "{name}");
    }
}

/// An agent that others hear is alive, but without an own link it can't be
/// sent work; the same heartbeat through a peer doesn't hide the direct one.
#[test]
fn only_the_own_link_makes_an_agent_usable() {
    let mut directory = directory();
    hear(&mut directory, 0, beat(1, 1, "m"), HeartbeatSource::Relayed);
    let usable = |directory: &AgentDirectory, ms| {
        let agent = directory.get(&agent()).expect("known");
        directory.usable(Instant::from_ms(ms), agent)
    };
    assert!(!usable(&directory, 0));
    directory.link_up(Instant::ZERO, &agent(), Incarnation(1), &mut Vec::new());
    hear(&mut directory, 1, beat(1, 1, "m"), HeartbeatSource::Direct);
    assert!(usable(&directory, 1));
    for second in 1..=4 {
        let relayed = beat(1, 1 + second, "m");
        hear(
            &mut directory,
            second * 500,
            relayed,
            HeartbeatSource::Relayed,
        );
    }
    assert!(!usable(&directory, 2_000), "silent on its own link");
}

/// A restarted agent begins with nothing: what the old run held is not routed
/// to, and its leaving does not stick to the new run.
#[test]
fn a_new_run_begins_with_nothing() {
    let mut directory = directory();
    hear(&mut directory, 0, beat(1, 1, "m"), HeartbeatSource::Direct);
    let mut changes = Vec::new();
    directory.mark_leaving(&agent(), Incarnation(1), &mut changes);
    directory.mark_leaving(&agent(), Incarnation(1), &mut changes);
    assert_eq!(changes, [AgentChange::Leaving(agent())], "told once");
    changes.clear();
    directory.link_up(Instant::ZERO, &agent(), Incarnation(2), &mut changes);
    assert_eq!(changes, [AgentChange::Restarted(agent())]);
    assert!(!holds(&directory, "m"));
    directory.mark_leaving(&agent(), Incarnation(1), &mut changes);
    assert!(!directory.get(&agent()).expect("known").leaving());
}

/// The platform's list lags: it may mark an instance as leaving and later take
/// that back, but it can't take back what the agent said itself.
#[test]
fn the_platforms_word_on_leaving() {
    let mut directory = directory();
    hear(&mut directory, 0, beat(1, 1, "m"), HeartbeatSource::Direct);
    let mut changes = Vec::new();
    let leaving = BTreeSet::from([agent()]);
    directory.set_platform_leaving(&leaving, &mut changes);
    assert_eq!(changes, [AgentChange::Leaving(agent())]);
    directory.set_platform_leaving(&BTreeSet::new(), &mut changes);
    assert!(!directory.get(&agent()).expect("known").leaving());
    directory.mark_leaving(&agent(), Incarnation(1), &mut changes);
    directory.set_platform_leaving(&BTreeSet::new(), &mut changes);
    assert!(directory.get(&agent()).expect("known").leaving());
}

/// Names made up by a broken peer don't fill the memory, and what is long gone
/// is forgotten.
#[test]
fn the_directory_is_bounded() {
    let mut directory = directory();
    for index in 0..20_000 {
        let mut beat = beat(1, 1, "m");
        beat.agent = format!("x{index}");
        hear(&mut directory, 0, beat, HeartbeatSource::Relayed);
    }
    assert_eq!(directory.agents().count(), 16_384);
    directory.tick(Instant::from_ms(400_000), true, &mut Vec::new());
    assert_eq!(directory.agents().count(), 0);
    assert!(!holds(&directory, "m"));
}
