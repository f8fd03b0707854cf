//! What messages hold of the state that seldom changes, among many entries.

use base::AgentId;
use base::Instant;
use direct::{
    ItemRepeats, MessageDetail, PEER_FORMAT, Receiver, digest_settle_ms,
    is_repeat_round, message_detail, peer_message_interval_ms, rotation_number,
    suspects_per_message,
};
use route::{CrashVerdict, PartCrash, PromptPart, SuspectParts, SuspectRequests};

/// Time for which a suspect is remembered.
const VERDICT_MS: u64 = 60_000;

/// Age at which an entry counts as started long ago.
const LONG_MS: u64 = 100_000;

/// An entry that exchanges suspects with others.
struct Entry {
    suspects: SuspectRequests,
    digest: u32,
    started_at: Instant,
    /// For each other entry, since when its messages have another digest.
    different: Vec<Option<Instant>>,
}

/// Entries that all send messages to one another, of which a share is lost.
struct Mesh {
    entries: Vec<Entry>,
    now: Instant,
    round: u64,
    random: u64,
    lost_percent: u64,
    records_sent: usize,
    /// Whether each message holds records in turn, as builds before digests send them.
    always_records: bool,
}

impl Mesh {
    fn new(count: usize, lost_percent: u64) -> Self {
        let entry = |_| Entry {
            suspects: SuspectRequests::new(VERDICT_MS),
            digest: 0,
            started_at: Instant::ZERO,
            different: vec![None; count],
        };
        Self {
            entries: (0..count).map(entry).collect(),
            now: Instant::ZERO.plus_ms(LONG_MS),
            round: 0,
            random: 7,
            lost_percent,
            records_sent: 0,
            always_records: false,
        }
    }

    fn is_lost(&mut self) -> bool {
        let multiplied = self.random.wrapping_mul(6_364_136_223_846_793_005);
        self.random = multiplied.wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % 100 < self.lost_percent
    }

    fn crash(&mut self, entry: usize, fingerprint: u64) {
        let suspects = &mut self.entries[entry].suspects;
        let agent = AgentId::new(&format!("e-{fingerprint}"));
        suspects.record_crash(self.now, &[fingerprint], &agent, 1, false);
    }

    /// Each entry sends a message to each other one.
    fn run_round(&mut self) {
        let peers = self.entries.len() - 1;
        let max = suspects_per_message(peers);
        for sender in 0..self.entries.len() {
            let entry = &mut self.entries[sender];
            entry.digest = entry.suspects.digest(self.now, digest_settle_ms(peers));
            let changes = entry.suspects.export_changes(self.now, max);
            let offset = sender as u64 * 0x1_2345_6789;
            let turn = if self.always_records {
                self.round
            } else {
                rotation_number(self.round, offset, peers)
            };
            let records = entry.suspects.export_batch(self.now, turn, max);
            for receiver in 0..self.entries.len() {
                if receiver == sender {
                    continue;
                }
                let known = Receiver {
                    format: Some(PEER_FORMAT),
                    heard_for_ms: self.now.ms_since(self.entries[receiver].started_at),
                    different_for_ms: self.entries[sender].different[receiver]
                        .map_or(0, |since| self.now.ms_since(since)),
                    needs_full_uses: false,
                    pair: (sender + receiver) as u64,
                };
                let detail = message_detail(&known, self.round, peers);
                let sent = match detail {
                    MessageDetail::Changes if !self.always_records => &changes,
                    _ => &records,
                };
                self.records_sent += sent.len();
                if self.is_lost() {
                    continue;
                }
                let digest = self.entries[sender].digest;
                let receiver = &mut self.entries[receiver];
                for suspect in sent {
                    receiver.suspects.merge(self.now, suspect);
                }
                let different = &mut receiver.different[sender];
                *different =
                    (digest != receiver.digest).then(|| different.unwrap_or(self.now));
            }
        }
        self.round += 1;
        self.now = self.now.plus_ms(peer_message_interval_ms(peers));
    }

    fn knows(&mut self, entry: usize, fingerprint: u64) -> bool {
        let verdict = self.entries[entry].suspects.verdict(self.now, fingerprint);
        verdict != CrashVerdict::Clear
    }

    fn all_know(&mut self, fingerprints: std::ops::Range<u64>) -> bool {
        (0..self.entries.len())
            .all(|entry| fingerprints.clone().all(|f| self.knows(entry, f)))
    }

    /// Number of rounds until all entries know these suspects.
    fn rounds_until_known(&mut self, fingerprints: std::ops::Range<u64>) -> u64 {
        let first = self.round;
        while !self.all_know(fingerprints.clone()) {
            self.run_round();
            assert!(self.round - first < 100, "some are never known everywhere");
        }
        self.round - first
    }
}

/// Guards against suspects that some entries never learn of because all three messages
/// about them were lost, and against messages that hold known records again: these were
/// two fifths of what entries sent under crashes.
#[test]
fn suspects_are_known_everywhere_at_a_twentieth_of_the_records() {
    let run = |always_records: bool| {
        let mut mesh = Mesh::new(23, 10);
        mesh.always_records = always_records;
        for crash in 0..150_u64 {
            mesh.crash(crash as usize * 5 % 23, crash);
            mesh.run_round();
        }
        let rounds = mesh.rounds_until_known(0..150);
        for _ in 0..100 {
            mesh.run_round();
        }
        (rounds, mesh.records_sent)
    };
    let (rounds, records) = run(false);
    let (_, records_before) = run(true);
    assert!(rounds <= 10, "{rounds} rounds of 100 ms");
    assert!(records * 20 < records_before, "{records}, {records_before}");
}

/// An entry that has just started knows nothing, and must learn all suspects as fast as
/// from messages that always hold records.
#[test]
fn an_entry_that_starts_learns_all_at_once() {
    let rounds = |always_records: bool| {
        let mut mesh = Mesh::new(23, 10);
        for crash in 0..300_u64 {
            mesh.crash(crash as usize % 22, crash);
        }
        mesh.rounds_until_known(0..300);
        for _ in 0..20 {
            mesh.run_round();
        }
        mesh.always_records = always_records;
        mesh.entries[22] = Entry {
            suspects: SuspectRequests::new(VERDICT_MS),
            digest: 0,
            started_at: mesh.now,
            different: vec![None; 23],
        };
        mesh.rounds_until_known(0..300)
    };
    let (now, before) = (rounds(false), rounds(true));
    assert!(now <= before + 1, "{now} rounds, {before} before");
}

/// With hundreds of entries, messages are 1.35 s apart. A suspect must still be known
/// everywhere after two to four of them, whatever is lost.
#[test]
fn a_suspect_is_known_to_hundreds_of_entries() {
    for count in [384, 768] {
        let mut mesh = Mesh::new(count, 10);
        mesh.crash(3, 1);
        let rounds = mesh.rounds_until_known(1..2);
        assert!(rounds <= 8, "{count} entries: {rounds} rounds");
        // The last entry that learned of it has another digest for three rounds, and a few
        // of its messages may be lost after that.
        for _ in 0..10 {
            mesh.run_round();
        }
        let sent = mesh.records_sent;
        for _ in 0..4 {
            mesh.run_round();
        }
        assert_eq!(mesh.records_sent, sent, "known records were sent again");
    }
}

/// A record that only one entry has, and none of whose messages arrived, must reach the
/// others after the connection is back.
#[test]
fn a_digest_shows_what_a_cut_off_entry_missed() {
    let mut mesh = Mesh::new(23, 100);
    mesh.crash(0, 1);
    for _ in 0..10 {
        mesh.run_round();
    }
    mesh.lost_percent = 10;
    let rounds = mesh.rounds_until_known(1..2);
    assert!(rounds <= 15, "{rounds} rounds of 100 ms");
}

/// Builds that don't know of digests need everything in each message.
#[test]
fn builds_without_a_format_get_everything() {
    let receiver = Receiver {
        format: Some(0),
        heard_for_ms: LONG_MS,
        different_for_ms: 0,
        needs_full_uses: false,
        pair: 0,
    };
    let detail = |receiver: &Receiver| message_detail(receiver, 1, 22);
    assert_eq!(detail(&receiver), MessageDetail::OlderFormat);
    let unheard = Receiver {
        format: None,
        ..receiver
    };
    assert_eq!(detail(&unheard), MessageDetail::OlderFormat);
    let known = Receiver {
        format: Some(PEER_FORMAT),
        ..receiver
    };
    assert_eq!(detail(&known), MessageDetail::Changes);
    let lacks_upstream = Receiver {
        needs_full_uses: true,
        ..known
    };
    assert_eq!(detail(&lacks_upstream), MessageDetail::Records);
}

/// What no digest covers is repeated each second, however long the messages' interval.
#[test]
fn what_has_no_digest_is_repeated() {
    for (peers, expected) in [(22, 10), (384, 100), (768, 100)] {
        let repeats = (0..100).filter(|round| is_repeat_round(*round, 5, peers));
        assert_eq!(repeats.count(), expected, "{peers} peers");
    }
}

/// A change is sent in three messages. If more change than fit, none is left out.
#[test]
fn each_change_is_sent_three_times() {
    let mut changes = ItemRepeats::default();
    let items: Vec<u64> = (0..10).collect();
    let mut sent = vec![0; items.len()];
    for _ in 0..10 {
        for position in changes.take(&items, 4) {
            sent[position] += 1;
        }
    }
    assert_eq!(sent, vec![3; items.len()]);
    assert!(changes.take(&[], 4).is_empty());
    assert_eq!(changes.take(&items[..1], 4), [0], "it came back");
}

/// Guards against entries that never agree on which parts of prompts are refused, so that
/// each would send all its records to the others for good: one knows answers that another
/// one lacks, or the crashes of a part were seen by different entries.
#[test]
fn entries_agree_on_refused_parts_after_crashes_and_answers() {
    const ENTRIES: usize = 12;
    const SETTLE_MS: u64 = 300;
    for seed in 1..=20_u64 {
        let mut random = seed;
        let mut draw = move |bound: u64| {
            random = random
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (random >> 33) % bound
        };
        let mut entries: Vec<SuspectParts> = Vec::new();
        entries.resize_with(ENTRIES, SuspectParts::default);
        let mut different = 0;
        for round in 0..150_u64 {
            let now = Instant::ZERO.plus_ms(LONG_MS + round * 100);
            for entry in &mut entries {
                let part = PromptPart {
                    service: "s".into(),
                    part: draw(20),
                };
                let crash = PartCrash {
                    incarnation: draw(1_000),
                    request: draw(1_000),
                };
                match draw(10) {
                    0 if round < 100 => {
                        entry.record_crash(now, &[part], &crash);
                    }
                    1 if round < 100 => {
                        entry.record_answer(now, &[part], draw(1_000));
                    }
                    _ => {}
                }
            }
            let repairs = different > 0;
            let digests: Vec<u32> = entries
                .iter()
                .map(|entry| entry.digest(now, SETTLE_MS))
                .collect();
            let is_different = digests.iter().any(|digest| *digest != digests[0]);
            different = if is_different { different + 1 } else { 0 };
            for sender in 0..ENTRIES {
                let mut sent = entries[sender].export_changes(now, 16);
                if repairs {
                    sent.extend(entries[sender].export_batch(now, round, 16));
                }
                for receiver in (0..ENTRIES).filter(|receiver| *receiver != sender) {
                    if draw(10) > 0 {
                        for part in &sent {
                            entries[receiver].merge(now, part);
                        }
                    }
                }
            }
        }
        assert!(different < 20, "seed {seed}: {different} rounds");
        let now = Instant::ZERO.plus_ms(LONG_MS + 150 * 100);
        let digests = entries.iter().map(|entry| entry.digest(now, SETTLE_MS));
        let digests: std::collections::BTreeSet<u32> = digests.collect();
        assert_eq!(digests.len(), 1, "seed {seed}");
    }
}
