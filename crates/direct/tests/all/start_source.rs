//! From where entries get the platform's state when all of them start at once.

use direct::start_sources;
use std::collections::BTreeMap;

fn names(entries: usize) -> Vec<String> {
    (0..entries).map(|number| format!("{number:04}")).collect()
}

/// Number of entries of a failure domain that list from the platform, and the largest
/// number that ask one of them first.
fn lists_and_questions(entries: usize) -> (usize, usize) {
    let names = names(entries);
    let mut lists = 0;
    let mut questions = BTreeMap::new();
    for name in &names {
        match start_sources(&names, name).first() {
            None => lists += 1,
            Some(source) => *questions.entry(*source).or_insert(0) += 1,
        }
    }
    (lists, questions.into_values().max().unwrap_or(0))
}

/// Guards against lists that each entry reads for itself. Modelled at the platform's
/// rates: 125 MB/s, 600 B for each upstream; and 20 Mbit/s at an entry, a sixth of the
/// size when compressed.
#[test]
fn the_start_of_all_entries_is_bound_by_groups_not_by_entries() {
    for (entries, domains, upstreams) in
        [(30, 3, 60), (384, 5, 623), (1_300, 14, 2_000)]
    {
        let (lists, questions) = lists_and_questions(entries / domains);
        let listed_bytes = lists * domains * upstreams * 600;
        let sent_bytes = questions * upstreams * 100;
        let seconds = listed_bytes as f64 / 125e6 + sent_bytes as f64 * 8.0 / 20e6;
        assert!(questions <= 8, "{questions} of {entries}");
        assert!(
            lists * domains <= entries / 9 + domains,
            "{lists} of {entries}"
        );
        // Callers wait this long for an entry that starts.
        assert!(seconds < 3.0, "{entries} entries take {seconds} s");
    }
}

/// Guards against an entry that asks itself or one that asks it in turn: nobody would
/// ever list.
#[test]
fn whoever_is_asked_first_lists_itself() {
    for entries in 1..40 {
        let names = names(entries);
        for name in &names {
            for source in start_sources(&names, name) {
                assert_ne!(source, name);
                assert!(start_sources(&names, source).is_empty(), "{source} asks");
            }
        }
    }
}

/// An entry that is not in the list yet knows nobody whom all agree to ask.
#[test]
fn an_entry_that_is_not_listed_lists_itself() {
    assert!(start_sources(&names(20), "9999").is_empty());
    assert!(start_sources(&[], "0000").is_empty());
}
