//! Logging to standard error.

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::io;

/// Starts logging to standard error at a level from the settings: `error`,
/// `warn`, `info` or `debug`. An empty or unknown level means `info`.
///
/// A second call in the same process has no effect.
pub fn init_log(level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    // Fails only if a logger is already set, as in tests that run several entries
    // or agents in one process. That logger then stays in use.
    let _ = WriteLogger::init(level, config, io::stderr());
}
