//! What the programs of the entry and the agent share: the operators' listener,
//! logging, the clock, the timer of the state machine, termination signals, and
//! startup with its errors.
//!
//! [`serve`] uses its own listener, so that a flood of callers can't block
//! operators or liveness probes. It only reads from the process, through
//! [`OperatorApi`]; the one operation that changes the process is
//! [`OperatorApi::drain`].

mod clock;
mod deadline_timer;
mod logging;
mod operator_api;
mod process_usage;
mod program;
mod query;
mod response;
mod route;
mod server;
mod signal;
mod start_error;

pub use clock::Clock;
pub use deadline_timer::DeadlineTimer;
pub use logging::init_log;
pub use operator_api::OperatorApi;
pub use process_usage::ProcessUsage;
pub use program::{exit_code, read_settings, run_process};
pub use query::query_value;
pub use server::serve;
pub use signal::termination_signal;
pub use start_error::{
    BindLinkListenerSnafu, BindListenerSnafu, StartError, parse_address,
};
