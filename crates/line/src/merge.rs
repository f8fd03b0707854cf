//! Merging the events of several processes.

use schema::timeline::Event;

/// Merges the events of several processes into one list in causal order.
///
/// Events of different processes with the same clock value are not causally
/// related. They are ordered by process name, so that the result does not depend on
/// the order of the input.
pub fn merge(events_by_process: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = events_by_process.into_iter().flatten().collect();
    events.sort_by(|a, b| {
        (a.clock_us, &a.process, a.sequence).cmp(&(b.clock_us, &b.process, b.sequence))
    });
    events
}
