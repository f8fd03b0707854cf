//! One line out of several processes' events.

use schema::timeline::Event;

/// Puts the events of several processes into one line.
///
/// Events with the same clock in different processes did not cause one another;
/// they are ordered by process so that the result is the same on every run.
pub fn merge(lines: Vec<Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = lines.into_iter().flatten().collect();
    events.sort_by(|a, b| {
        (a.clock_us, &a.process, a.sequence).cmp(&(b.clock_us, &b.process, b.sequence))
    });
    events
}
