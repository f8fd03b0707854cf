//! What the entry's and the agent's process have in common towards operators:
//! the listener, the log, the clock and the machine's timer, the signal to stop,
//! and the start with its errors.
//!
//! [`serve`] answers on a listener of its own, so that a flood of callers can't
//! keep an operator or a liveness probe out. Everything it shows comes from an
//! [`Operated`] process by borrowed views; the only thing it changes is that
//! [`Operated::drain`] may be called.

mod answer;
mod clock;
mod log_lines;
mod operated;
mod process_use;
mod program;
mod query;
mod route;
mod server;
mod signal;
mod start;
mod ticker;

pub use clock::Clock;
pub use log_lines::init_log;
pub use operated::Operated;
pub use process_use::ProcessUse;
pub use program::{exit_code, read_settings, run_shell};
pub use query::query_value;
pub use server::serve;
pub use signal::terminated;
pub use start::{LinkListenSnafu, ListenSnafu, StartError, address};
pub use ticker::Ticker;
