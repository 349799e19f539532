//! Signals that end a tool early.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Waits for SIGINT or SIGTERM, so that the tool can kill its child processes before it ends.
pub async fn wait_for_stop_signal() {
    let signals = [SignalKind::interrupt(), SignalKind::terminate()].map(|kind| {
        Box::pin(async move {
            match signal(kind) {
                Ok(mut signal) => signal.recv().await,
                Err(_) => std::future::pending().await,
            }
        })
    });
    futures::future::select_all(signals).await;
}
