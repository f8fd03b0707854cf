//! When an upstream begins and ceases to be avoided.

use crate::support::{at, name, news};
use direct::{Doubt, Doubts, Fleet, Turn, Usage};

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    let listed = ["1", "2"].map(|id| (5, news(id, &["a"])));
    fleet.list(at(0), 5, listed.to_vec());
    fleet
}

fn turn(id: &str, before: Option<Doubt>, now: Option<Doubt>) -> Turn {
    Turn {
        upstream: name(id),
        before,
        now,
    }
}

/// An upstream that has work falls silent and answers again after a while. Each
/// turn is told once, however often one looks, and the other upstream has none.
#[test]
fn a_silence_is_told_when_it_begins_and_when_it_ends() {
    let (mut fleet, mut doubts) = (fleet(), Doubts::new());
    let upstream = fleet.get_mut("1").expect("it is known");
    upstream.sent(
        at(0),
        &Usage {
            running: 1,
            ..Usage::default()
        },
    );
    assert_eq!(doubts.look(at(600), &fleet), []);
    let begun = turn("1", None, Some(Doubt::Silent));
    assert_eq!(doubts.look(at(800), &fleet), [begun]);
    assert_eq!(doubts.look(at(900), &fleet), []);
    fleet.get_mut("1").expect("it is known").heard(at(950));
    let ended = turn("1", Some(Doubt::Silent), None);
    assert_eq!(doubts.look(at(1_000), &fleet), [ended]);
}

#[test]
fn one_that_can_not_be_connected_to_is_tried_again_a_second_later() {
    let (mut fleet, mut doubts) = (fleet(), Doubts::new());
    fleet.get_mut("2").expect("it is known").unreached(at(100));
    let begun = turn("2", None, Some(Doubt::Unreached));
    assert_eq!(doubts.look(at(200), &fleet), [begun]);
    let ended = turn("2", Some(Doubt::Unreached), None);
    assert_eq!(doubts.look(at(1_200), &fleet), [ended]);
}

/// The platform was away, and when it is back one entry is missing: it may only
/// have lapsed. The doubt ends when the entry is back.
#[test]
fn a_missing_entry_is_a_doubt_until_it_is_back() {
    let (mut fleet, mut doubts) = (fleet(), Doubts::new());
    fleet.platform_returned(at(0));
    fleet.remove(at(100), "1", 6);
    let begun = turn("1", None, Some(Doubt::Vanished));
    assert_eq!(doubts.look(at(200), &fleet), [begun]);
    fleet.put(9, news("1", &["a"]));
    let ended = turn("1", Some(Doubt::Vanished), None);
    assert_eq!(doubts.look(at(300), &fleet), [ended]);
}
