//! Measures the decisions against simpler ones on seeded queues.
//!
//! Time is a number that the event queue moves on, so a run takes a second or
//! two and gives the same table every time. `docs/design/routing.md` and
//! `docs/design/retries.md` hold the figures and what was changed by them.

mod admission;
mod events;
mod retries;
mod routing;

fn main() {
    routing::print();
    retries::print();
    admission::print();
}
