//! Where streams began and may go on.

use crate::support::{at, cases, name, record, record_with_start};
use direct::{
    Fleet, NoSoleVersion, OriginProof, SelectionError, SelectionInput, SoftwareVersion,
    StreamId, StreamOrigin, StreamOrigins, UpstreamIncarnation, UpstreamRecord,
    origin_keepers, origin_keepers_to_ask, select_upstream,
};
use std::collections::BTreeSet;
use std::net::SocketAddr;

const STREAM: StreamId = StreamId(7);

fn origin(service: &str, version: &str) -> StreamOrigin {
    StreamOrigin {
        service: name(service),
        software: Some(SoftwareVersion::new(version)),
        upstream: name("1"),
        proof: OriginProof::Confirmed,
    }
}

/// An origin at an incarnation of upstream 1, which was connected to at 10 s.
fn recorded(version: &str, started_unix_ms: Option<u64>) -> StreamOrigin {
    StreamOrigin {
        proof: OriginProof::Recorded {
            started_unix_ms,
            connected_at: at(10_000),
        },
        ..origin("oracle", version)
    }
}

/// A fleet of two upstreams with start times, with news since 0 s.
fn started_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    let listed = ["1", "2"].map(|id| (5, record_with_start(id, 100, &["a"])));
    fleet.apply_list(at(0), 5, listed.into());
    fleet.records_read(at(0));
    fleet
}

fn versioned(id: &str, version: &str) -> UpstreamRecord {
    UpstreamRecord {
        software_version: Some(version.into()),
        ..record(id, &["a"])
    }
}

/// A fleet of upstreams given by name and version.
fn fleet(upstreams: &[(&str, &str)]) -> Fleet {
    let mut fleet = Fleet::new();
    let listed = upstreams.iter();
    let listed = listed.map(|(id, version)| (5, versioned(id, version)));
    fleet.apply_list(at(0), 5, listed.collect());
    fleet
}

fn selected(fleet: &Fleet, origin: &StreamOrigin) -> Result<String, SelectionError> {
    let input = SelectionInput {
        now: at(10),
        service: "oracle",
        engine: None,
        model: Some(("a", None)),
        prompt_parts: &[],
        priority: 1,
        is_ordered: false,
        prompt_tokens: 10,
        time_factor: 1.0,
        kv_tokens: 20,
        excluded: &[],
        origin: Some(origin),
        domain: "east",
        random: 1,
    };
    select_upstream(fleet, &input).map(|selected| selected.id.to_string())
}

#[test]
fn a_stream_goes_on_at_an_upstream_of_its_version_only() {
    let mut fleet = fleet(&[("1", "v1"), ("2", "v1.1"), ("3", "")]);
    assert_eq!(
        selected(&fleet, &origin("oracle", "v1")).as_deref(),
        Ok("1")
    );
    let gone = fleet.get_mut("1").expect("it is known");
    gone.record.leaving = true;
    // Neither a version that begins alike nor an empty one is the same.
    let none = Err(SelectionError::NoSameVersion);
    assert_eq!(selected(&fleet, &origin("oracle", "v1")), none);
    // The same text in another service is another version.
    let other = StreamOrigin {
        upstream: name("2"),
        ..origin("desk", "v1.1")
    };
    assert_eq!(selected(&fleet, &other), none);
    let unknown = StreamOrigin {
        software: None,
        ..origin("oracle", "v1")
    };
    assert_eq!(selected(&fleet, &unknown), none);
}

/// Guards against streams of an upstream's earlier version that count as ones of its new
/// version, or the other way round: those that begin before its new record is read.
#[test]
fn an_upstream_with_a_new_version_leaves_its_streams_in_doubt() {
    let mut fleet = started_fleet();
    fleet.records_read(at(13_000));
    let began = recorded("v1", None);
    assert!(fleet.confirms_origin(&began));
    fleet.observe_report(UpstreamIncarnation {
        id: "1",
        started_unix_ms: Some(200),
    });
    assert!(!fleet.confirms_origin(&began), "its version is not known");
    let restarted = record_with_start("1", 200, &["a"]);
    fleet.apply_update(6, restarted.clone());
    assert!(fleet.confirms_origin(&began), "it is the same version");
    let changed = UpstreamRecord {
        started_unix_ms: Some(300),
        software_version: Some("v2".into()),
        ..restarted
    };
    fleet.apply_update(7, changed);
    let doubt = Err(SelectionError::NoSameVersion);
    assert_eq!(selected(&fleet, &began), doubt);
}

/// Guards against doubt where there is none: an upstream whose starts have names of their
/// own answers no request for another name.
#[test]
fn the_name_of_one_start_confirms_its_streams_at_once() {
    let fleet = fleet(&[("1", "v1"), ("2", "v1")]);
    assert!(fleet.confirms_origin(&recorded("v1", None)));
    let contradicted = recorded("v2", None);
    assert!(!fleet.confirms_origin(&contradicted));
    assert!(fleet.refutes_origin(&contradicted));
    let unknown = StreamOrigin {
        upstream: name("9"),
        ..recorded("v1", None)
    };
    assert!(!fleet.confirms_origin(&unknown));
    // Its record may be on its way, or come from another writer.
    assert!(!fleet.confirms_origin(&recorded("v1", Some(100))));
}

/// Guards against a stream that counts as one of its upstream's earlier version, since it
/// began after the upstream had started again and before its new record was read.
#[test]
fn news_confirms_a_version_once_a_later_record_would_be_known() {
    let mut fleet = started_fleet();
    let began = recorded("v1", Some(100));
    fleet.records_read(at(12_999));
    assert!(
        !fleet.confirms_origin(&began),
        "its record may be on its way"
    );
    assert!(!fleet.refutes_origin(&began));
    let doubt = Err(SelectionError::NoSameVersion);
    assert_eq!(selected(&fleet, &began), doubt);
    fleet.records_read(at(13_000));
    assert!(fleet.confirms_origin(&began));
    assert!(selected(&fleet, &began).is_ok());
    // What was read before stays true after later news of an earlier time.
    fleet.records_read(at(11_000));
    assert!(fleet.confirms_origin(&began));
    let next = UpstreamRecord {
        software_version: Some("v2".into()),
        ..record_with_start("1", 200, &["a"])
    };
    fleet.apply_update(6, next);
    assert!(!fleet.confirms_origin(&began));
    assert!(fleet.refutes_origin(&began));
}

/// Guards against refusing the streams of an upstream that is replaced by one of the same
/// version, and against the next one but one, of which nothing is known yet.
#[test]
fn a_later_incarnation_of_the_same_version_confirms_a_stream_once_it_is_settled() {
    let mut fleet = started_fleet();
    let began = recorded("v1", Some(100));
    fleet.apply_update(6, record_with_start("1", 300, &["a"]));
    fleet.records_read(at(12_999));
    assert!(!fleet.confirms_origin(&began));
    assert!(!fleet.refutes_origin(&began));
    let stated = |started_unix_ms| UpstreamIncarnation {
        id: "1",
        started_unix_ms: Some(started_unix_ms),
    };
    fleet.incarnation_stated(at(10_000), stated(300));
    assert!(fleet.confirms_origin(&began));
    fleet.observe_report(stated(400));
    fleet.records_read(at(20_000));
    assert!(!fleet.confirms_origin(&began), "its version is not known");
    assert!(!fleet.refutes_origin(&began));
}

/// Guards against waiting for news where the upstream itself can tell, and against an
/// answer of its earlier incarnation that is taken for one of the later.
#[test]
fn an_upstream_confirms_the_streams_that_began_before_it_was_asked() {
    let stated = |started_unix_ms| UpstreamIncarnation {
        id: "1",
        started_unix_ms,
    };
    let mut fleet = started_fleet();
    let began = recorded("v1", Some(100));
    fleet.incarnation_stated(at(9_999), stated(Some(100)));
    assert!(!fleet.confirms_origin(&began), "it may have ended since");
    fleet.incarnation_stated(at(10_001), stated(None));
    fleet.incarnation_stated(at(10_001), stated(Some(200)));
    assert!(!fleet.confirms_origin(&began));
    fleet.incarnation_stated(at(10_000), stated(Some(100)));
    assert!(fleet.confirms_origin(&began));
    fleet.incarnation_stated(at(9_000), stated(Some(100)));
    assert!(
        fleet.confirms_origin(&began),
        "a late answer changes nothing"
    );
    fleet.apply_update(6, record_with_start("1", 200, &["a"]));
    let next = recorded("v1", Some(200));
    assert!(
        !fleet.confirms_origin(&next),
        "it was the earlier one's answer"
    );
}

/// Guards against news from a platform that upstreams could not write to, or that lost
/// what they wrote.
#[test]
fn news_after_an_outage_or_a_restore_confirms_later() {
    let began = recorded("v1", Some(100));
    let outage: [fn(&mut Fleet); 2] = [
        |fleet| fleet.platform_returned(at(12_000)),
        |fleet| fleet.platform_restored(at(12_000)),
    ];
    for interrupt in outage {
        let mut fleet = started_fleet();
        fleet.records_read(at(11_900));
        interrupt(&mut fleet);
        let before = StreamOrigin {
            proof: OriginProof::Recorded {
                started_unix_ms: Some(100),
                connected_at: at(8_900),
            },
            ..began.clone()
        };
        assert!(fleet.confirms_origin(&before));
        fleet.records_read(at(14_999));
        assert!(!fleet.confirms_origin(&began));
        fleet.records_read(at(15_000));
        assert!(fleet.confirms_origin(&began));
    }
}

/// Guards against a stream that is refused since this entry's records are behind those of
/// the entry at which it began.
#[test]
fn an_origin_with_a_later_record_than_the_known_one_is_not_refuted() {
    let mut fleet = started_fleet();
    let began = recorded("v2", Some(200));
    assert!(!fleet.refutes_origin(&began));
    assert!(!fleet.confirms_origin(&began));
    fleet.observe_report(UpstreamIncarnation {
        id: "1",
        started_unix_ms: Some(200),
    });
    fleet.records_read(at(20_000));
    assert!(!fleet.refutes_origin(&began));
    assert!(!fleet.confirms_origin(&began), "its version is not known");
    let next = UpstreamRecord {
        software_version: Some("v2".into()),
        ..record_with_start("1", 200, &["a"])
    };
    fleet.apply_update(6, next);
    assert!(fleet.confirms_origin(&began));
}

/// Guards against a confirmed stream that is lost as its upstream starts again later.
#[test]
fn what_was_confirmed_stays_so() {
    let mut origins = StreamOrigins::default();
    let began = recorded("v1", Some(100));
    origins.insert(STREAM, began.clone(), at(90_000));
    origins.confirm(|_| false);
    let known = |origins: &StreamOrigins| {
        let (origin, _) = origins.get(at(0), STREAM).expect("it is known");
        origin.proof
    };
    assert_eq!(known(&origins), began.proof);
    origins.insert(STREAM, origin("oracle", "v1"), at(90_000));
    assert_eq!(known(&origins), OriginProof::Confirmed);
    origins.insert(STREAM, began.clone(), at(90_000));
    assert_eq!(known(&origins), OriginProof::Confirmed);
    let mut origins = StreamOrigins::default();
    origins.insert(STREAM, began, at(90_000));
    origins.confirm(|_| true);
    assert_eq!(known(&origins), OriginProof::Confirmed);
}

/// Guards against a version that came and went while this entry read no news, and whose
/// streams would go on at the only one that it knows.
#[test]
fn a_sole_version_is_in_doubt_after_a_gap_in_the_news() {
    let service = name("oracle");
    let mut fleet = fleet(&[("1", "v1")]);
    assert!(fleet.sole_origin(at(9_000), &service, 1_000).is_ok());
    fleet.set_known_version(8);
    fleet.apply_list(at(9_500), 8, vec![(5, versioned("1", "v1"))]);
    assert!(fleet.sole_origin(at(9_500), &service, 1_000).is_ok());
    fleet.apply_list(at(10_000), 12, vec![(5, versioned("1", "v1"))]);
    let short = Err(NoSoleVersion::ShortHistory);
    assert_eq!(fleet.sole_origin(at(10_900), &service, 1_000), short);
    assert!(fleet.sole_origin(at(11_000), &service, 1_000).is_ok());
}

#[test]
fn a_sole_version_is_certain_after_a_streams_longest_time() {
    let service = name("oracle");
    let mut both = fleet(&[("1", "v1"), ("2", "v1")]);
    let short = Err(NoSoleVersion::ShortHistory);
    assert_eq!(both.sole_origin(at(900), &service, 1_000), short);
    let sole = both.sole_origin(at(1_000), &service, 1_000);
    assert_eq!(sole, Ok(origin("oracle", "v1")));
    assert_eq!(both.sole_origin(at(90_000), &service, 80_000), short);
    // One that has left since counts, and one that runs another version now.
    both.apply_update(6, versioned("3", "v2"));
    both.remove(at(1_100), "3", 7);
    let several = Err(NoSoleVersion::SeveralVersions);
    assert_eq!(both.sole_origin(at(1_200), &service, 1_000), several);
    let mut changed = fleet(&[("1", "v1")]);
    changed.apply_update(6, versioned("1", "v2"));
    assert_eq!(changed.sole_origin(at(1_200), &service, 1_000), several);
    changed.forget_gone(at(1_200));
    assert_eq!(changed.sole_origin(at(9_000), &service, 1_000), several);
    changed.forget_gone(at(61_300));
    assert!(changed.sole_origin(at(61_300), &service, 1_000).is_ok());
}

#[test]
fn origins_are_kept_until_nobody_can_ask() {
    let mut origins = StreamOrigins::default();
    origins.insert(STREAM, origin("oracle", "v1"), at(100));
    assert!(origins.get(at(99), STREAM).is_some());
    assert!(origins.get(at(100), STREAM).is_none());
    origins.insert(STREAM, origin("oracle", "v1"), at(200));
    origins.expire(at(150));
    assert!(origins.get(at(150), STREAM).is_some());
    origins.expire(at(200));
    assert!(origins.is_empty());
}

/// Guards against a choice between two versions that both claim a stream.
#[test]
fn a_stream_that_began_in_two_ways_is_unknown() {
    for other in [origin("oracle", "v2"), origin("desk", "v1")] {
        let mut origins = StreamOrigins::default();
        origins.insert(STREAM, origin("oracle", "v1"), at(100));
        origins.insert(STREAM, other, at(100));
        origins.insert(STREAM, origin("oracle", "v1"), at(100));
        assert!(origins.get(at(0), STREAM).is_none());
    }
}

#[test]
fn the_number_of_known_streams_is_bounded() {
    let mut origins = StreamOrigins::default();
    for number in 0..40_000 {
        origins.insert(StreamId(number), origin("oracle", "v1"), at(100 + number));
    }
    assert_eq!(origins.len(), 16_384);
    assert!(origins.get(at(0), StreamId(39_999)).is_some());
    assert!(origins.get(at(0), StreamId(0)).is_none());
}

#[test]
fn a_stream_belongs_to_the_workspace_of_its_caller() {
    let streams = [
        StreamId::new(None, "r-1"),
        StreamId::new(Some("a"), "r-1"),
        StreamId::new(Some("b"), "r-1"),
        StreamId::new(None, "r-2"),
    ];
    let distinct: BTreeSet<StreamId> = streams.into_iter().collect();
    assert_eq!(distinct.len(), streams.len());
}

/// Entries with their failure domains.
fn entries(count: usize, domains: usize) -> Vec<(SocketAddr, String)> {
    let entries = (0..count).map(|number| {
        let address = format!("10.0.{}.{}:7", number / 200, number % 200 + 1);
        let domain = format!("domain-{}", number % domains);
        (address.parse().expect("an address"), domain)
    });
    entries.collect()
}

fn views(
    entries: &[(SocketAddr, String)],
) -> impl Iterator<Item = (SocketAddr, &str)> + Clone {
    let entries = entries.iter();
    entries.map(|(address, domain)| (*address, domain.as_str()))
}

/// Guards against a stream that nobody asks the right entries for: its entry counts
/// itself not among the keepers, and is gone from the others' view.
#[test]
fn the_keepers_of_a_stream_are_asked_from_every_entry() {
    cases(300, |random| {
        let domains = random.int_in_range(1..=9)?;
        let count = if random.arbitrary()? { 9 } else { 400 };
        let entries = entries(random.int_in_range(2..=count)?, domains);
        let stream = StreamId(random.arbitrary()?);
        let began_at = entries[random.choose_index(entries.len())?].0;
        let others = views(&entries).filter(|(entry, _)| *entry != began_at);
        let keepers = origin_keepers(stream, others.clone());
        assert_eq!(keepers.len(), 3.min(entries.len() - 1));
        let asks_at = entries[random.choose_index(entries.len())?].0;
        let knows_first = random.arbitrary()?;
        let known = views(&entries).filter(|(entry, _)| {
            *entry != asks_at && (knows_first || *entry != began_at)
        });
        let asked = origin_keepers_to_ask(stream, known);
        for keeper in keepers.iter().filter(|keeper| **keeper != asks_at) {
            assert!(asked.contains(keeper), "{keeper} of {keepers:?}, {asked:?}");
        }
        assert!(asked.len() <= 8, "{asked:?}");
        Ok(())
    });
}

/// Guards against streams that are all lost with one failure domain.
#[test]
fn the_keepers_of_a_stream_are_in_several_failure_domains() {
    let entries = entries(384, 6);
    for stream in 0..200 {
        let keepers = origin_keepers(StreamId(stream), views(&entries));
        let domains: BTreeSet<&str> = views(&entries)
            .filter(|(entry, _)| keepers.contains(entry))
            .map(|(_, domain)| domain)
            .collect();
        assert_eq!(domains.len(), 3);
    }
}

/// Guards against a few entries that keep the streams of all: at the size of 1,300
/// entries, each keeps about as many as the others.
#[test]
fn streams_are_spread_over_all_entries() {
    let entries = entries(1_300, 14);
    let mut kept = std::collections::HashMap::new();
    for stream in 0..2_600 {
        for keeper in origin_keepers(StreamId(stream), views(&entries)) {
            *kept.entry(keeper).or_insert(0) += 1;
        }
    }
    let most = kept.values().max().expect("streams are kept");
    assert!(*most <= 25, "one entry keeps {most}, the mean is 6");
}
