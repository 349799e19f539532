//! Signals that end a tool early.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Waits until SIGINT or SIGTERM asks the tool to end, so that it can end its processes first.
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
