//! Compares the decisions of this crate with simpler ones on seeded queueing
//! models.
//!
//! Time is simulated, so a run takes a second or two and always gives the same
//! table. `docs/design/routing.md` and `docs/design/retries.md` contain the figures
//! and their consequences.

mod admission;
mod events;
mod retries;
mod routing;

fn main() {
    routing::print();
    retries::print();
    admission::print();
}
