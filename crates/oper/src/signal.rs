//! The signal to stop.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// Where a handler can't be installed it waits for ever: the process then dies
/// by the signal itself, as it would without the handler.
pub async fn termination_signal() {
    let wait = async |kind| match signal(kind) {
        Ok(mut signal) => {
            signal.recv().await;
        }
        Err(fault) => {
            log::warn!("no handler for the signal to stop: {fault}");
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = wait(SignalKind::terminate()) => {}
        () = wait(SignalKind::interrupt()) => {}
    }
}
