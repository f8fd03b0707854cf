//! Log lines on standard error.

use log::LevelFilter;
use simplelog::{ConfigBuilder, WriteLogger};
use std::io;

/// Starts logging to standard error at a level of the settings: `error`,
/// `warn`, `info` or `debug`; an empty or unknown one means `info`.
///
/// A second call in one process changes nothing.
pub fn init_log(level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let config = ConfigBuilder::new().set_time_format_rfc3339().build();
    // It fails only if a logger is set, as in tests with several processes in
    // one; that one then goes on.
    let _ = WriteLogger::init(level, config, io::stderr());
}
