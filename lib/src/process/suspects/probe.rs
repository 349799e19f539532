//! Finds out whether a backend server has crashed.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// Timeout for the connection that checks whether the backend server still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which such a connection must stay open. The sockets of an exiting process are closed
/// one after another; half of `PROBE_TIMEOUT` covers that on a busy machine.
const PROBE_SETTLE: Duration = Duration::from_millis(100);

/// Returns whether the backend server at `address` still accepts connections and keeps them open.
pub(crate) async fn is_listening(address: SocketAddr) -> bool {
    let Ok(Ok(mut probe)) = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await else {
        return false;
    };
    // No request was sent, so the read can only end because the connection ends.
    timeout(PROBE_SETTLE, probe.read_u8()).await.is_err()
}
