//! Ways of keeping a workspace within its quota over many entries, on the same arrivals
//! and faults.
//!
//! `cargo bench -p quota --bench ways` prints, for each way, number of entries and
//! fault, the most tokens that ran in a window against rate times window and burst,
//! and the part of the requests that was refused though all together stayed within
//! the quota. Time is a number: nothing here waits.

mod faults;
mod pooled;
mod rivals;
mod world;

use faults::Fault;
use world::{Way, play};

fn main() {
    // `cargo test --benches` runs this too; it needs no word of its own.
    let rates = [4_200.0, 150_000.0];
    println!(
        "{:<8} {:>7} {:>7} {:<12} {:>7} {:>8} {:>9}",
        "way", "rate", "entries", "fault", "window", "refused", "msg/s"
    );
    for rate_per_s in rates {
        for entries in [4, 24, 300] {
            for fault in Fault::ALL {
                for mut way in ways(entries, rate_per_s) {
                    let played = play(&mut *way, entries, rate_per_s, fault);
                    println!(
                        "{:<8} {:>7} {:>7} {:<12} {:>7.2} {:>8.3} {:>9.1}",
                        way.name(),
                        rate_per_s,
                        entries,
                        fault.as_str(),
                        played.worst_window,
                        played.refused_within,
                        played.messages_per_s,
                    );
                }
            }
        }
    }
}

fn ways(entries: usize, rate_per_s: f64) -> Vec<Box<dyn Way>> {
    vec![
        Box::new(rivals::Even::new(entries, rate_per_s)),
        Box::new(rivals::Following::new(entries, rate_per_s)),
        Box::new(rivals::Leased::new(entries, rate_per_s)),
        Box::new(rivals::Settling::new(entries, rate_per_s)),
        Box::new(pooled::Pooled::new(entries, rate_per_s)),
    ]
}
