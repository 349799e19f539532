//! Finds out whether a backend server has crashed.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

/// Timeout for the connection that checks whether the backend server still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);
/// Time for which such a connection must stay open. The sockets of an exiting process are closed
/// one after another; half of `PROBE_TIMEOUT` covers that on a busy machine.
const PROBE_SETTLE: Duration = Duration::from_millis(100);

/// Attempts to connect after a connection has ended, until it counts as closed by a server that goes
/// on listening.
const REFUSAL_ATTEMPTS: u32 = 5;
/// Delay between these attempts, together [`PROBE_SETTLE`].
const REFUSAL_DELAY: Duration = Duration::from_millis(20);
/// Delay before the next connection to a server that closed one and goes on listening, as one with
/// too many connections does.
const WATCH_DELAY: Duration = Duration::from_millis(250);

/// Returns whether the backend server at `address` still accepts connections and keeps them open.
pub(crate) async fn is_listening(address: SocketAddr) -> bool {
    let Ok(Ok(mut probe)) = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await else {
        return false;
    };
    // No request was sent, so the read can only end because the connection ends.
    timeout(PROBE_SETTLE, probe.read_u8()).await.is_err()
}

/// Returns once no process listens at `address`, of which one connection is kept open.
///
/// A server that closes the connection does not count as crashed as long as it accepts another one.
pub(crate) async fn wait_until_refused(address: SocketAddr) {
    loop {
        match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(mut watched)) => {
                // No request was sent, so the read only ends with the connection.
                let _ = watched.read_u8().await;
                for _ in 0..REFUSAL_ATTEMPTS {
                    if is_refused(address).await {
                        return;
                    }
                    sleep(REFUSAL_DELAY).await;
                }
            }
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => return,
            Ok(Err(_)) | Err(_) => {}
        }
        sleep(WATCH_DELAY).await;
    }
}

/// Returns whether no process listens at `address`.
pub(crate) async fn is_refused(address: SocketAddr) -> bool {
    let connected = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
    matches!(connected, Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused)
}
