//! What the entry's and the agent's process have in common towards operators:
//! the listener, the log, the clock and the machine's timer, the signal to stop,
//! and the start with its errors.
//!
//! [`serve`] answers on a listener of its own, so that a flood of callers can't
//! keep an operator or a liveness probe out. Everything it shows comes from an
//! [`OperatorApi`] process by borrowed views; the only thing it changes is that
//! [`OperatorApi::drain`] may be called.

mod answer;
mod clock;
mod deadline_timer;
mod log_lines;
mod operator_api;
mod process_usage;
mod program;
mod query;
mod route;
mod server;
mod signal;
mod start;

pub use clock::Clock;
pub use deadline_timer::DeadlineTimer;
pub use log_lines::init_log;
pub use operator_api::OperatorApi;
pub use process_usage::ProcessUsage;
pub use program::{exit_code, read_settings, run_process};
pub use query::query_value;
pub use server::serve;
pub use signal::termination_signal;
pub use start::{BindLinkListenerSnafu, BindListenerSnafu, StartError, parse_address};
