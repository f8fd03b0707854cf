//! Termination signals.

use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT.
///
/// If the handler of a signal can't be installed, that signal terminates the
/// process at once, and only the other signal completes this future.
pub async fn termination_signal() {
    let wait = async |kind| match signal(kind) {
        Ok(mut signal) => {
            signal.recv().await;
        }
        Err(error) => {
            log::warn!("can't install a handler for a termination signal: {error}");
            std::future::pending::<()>().await;
        }
    };
    tokio::select! {
        () = wait(SignalKind::terminate()) => {}
        () = wait(SignalKind::interrupt()) => {}
    }
}
