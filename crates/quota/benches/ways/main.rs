//! Compares schemes that keep a workspace within its quota over many entries, with the
//! same requests and faults.
//!
//! `cargo bench -p quota --bench ways` prints a line for each scheme, number of entries
//! and fault: the most tokens granted in a window, relative to rate times window plus
//! burst; the fraction of requests that were refused although the load was within the
//! quota; and the messages a second of one entry. Time is simulated.

mod alternatives;
mod faults;
mod pooled;
mod simulation;

use faults::Fault;
use simulation::{QuotaScheme, simulate};

fn main() {
    // `cargo test --benches` runs this as well and needs no special handling.
    let rates = [4_200.0, 150_000.0];
    println!(
        "{:<8} {:>7} {:>7} {:<12} {:>7} {:>8} {:>9}",
        "way", "rate", "entries", "fault", "window", "refused", "msg/s"
    );
    for rate_per_s in rates {
        for entries in [4, 24, 300] {
            for fault in Fault::ALL {
                for mut scheme in schemes(entries, rate_per_s) {
                    let result = simulate(&mut *scheme, entries, rate_per_s, fault);
                    println!(
                        "{:<8} {:>7} {:>7} {:<12} {:>7.2} {:>8.3} {:>9.1}",
                        scheme.name(),
                        rate_per_s,
                        entries,
                        fault.as_str(),
                        result.max_window_use,
                        result.refused_fraction,
                        result.messages_per_s,
                    );
                }
            }
        }
    }
}

fn schemes(entries: usize, rate_per_s: f64) -> Vec<Box<dyn QuotaScheme>> {
    vec![
        Box::new(alternatives::EvenShares::new(entries, rate_per_s)),
        Box::new(alternatives::DemandShares::new(entries, rate_per_s)),
        Box::new(alternatives::LeasedCoordinator::new(entries, rate_per_s)),
        Box::new(alternatives::GossipedUsage::new(entries, rate_per_s)),
        Box::new(pooled::PooledTokens::new(entries, rate_per_s)),
    ]
}
