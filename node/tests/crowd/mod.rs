//! A crowd of clients that send something, keep their connections open, and come again when these are closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

/// Time until a client whose connection was closed opens another one.
const RETURN_DELAY: Duration = Duration::from_millis(100);
/// Size of the writes, after each of which others go on.
const WRITE_BYTES: usize = 16 * 1_024;

/// Whether a client reads what it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reading {
    All,
    Nothing,
}

/// What the clients of a crowd send: by the number of the client.
pub type Bytes = Arc<dyn Fn(usize) -> Vec<u8> + Send + Sync>;

/// The clients of a crowd, until this is dropped. They have a thread of their own, so that they take no time from the
/// stand-ins of the server and the store.
pub struct Crowd {
    runtime: Option<Runtime>,
    size: usize,
    /// Clients that have sent all they have once, or as much as they could.
    sent: Arc<AtomicUsize>,
}

impl Crowd {
    /// Starts `size` clients.
    pub fn start(address: SocketAddr, size: usize, reading: Reading, bytes: &Bytes) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let sent = Arc::new(AtomicUsize::new(0));
        for number in 0..size {
            let (bytes, sent) = (Arc::clone(bytes), Arc::clone(&sent));
            runtime.spawn(async move {
                let mut has_sent = false;
                let mut record_sent = || {
                    if !std::mem::replace(&mut has_sent, true) {
                        sent.fetch_add(1, Ordering::Relaxed);
                    }
                };
                loop {
                    // Whatever ends the connection, the client comes again.
                    let _ = send_and_stay(address, &bytes(number), reading, &mut record_sent).await;
                    tokio::time::sleep(RETURN_DELAY).await;
                }
            });
        }
        Self {
            runtime: Some(runtime),
            size,
            sent,
        }
    }

    /// Returns once all clients have sent, whatever time that takes.
    pub async fn gathered(&self) {
        while self.sent.load(Ordering::Relaxed) < self.size {
            tokio::time::sleep(RETURN_DELAY).await;
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Sends bytes, and returns once the connection is closed.
async fn send_and_stay(
    address: SocketAddr,
    bytes: &[u8],
    reading: Reading,
    mut record_sent: impl FnMut(),
) -> std::io::Result<()> {
    let stream = TcpStream::connect(address).await?;
    let (mut reader, mut writer) = stream.into_split();
    let sending = async {
        let mut result = Ok(());
        for part in bytes.chunks(WRITE_BYTES) {
            result = writer.write_all(part).await;
            if result.is_err() {
                break;
            }
        }
        record_sent();
        result
    };
    match reading {
        Reading::All => {
            let mut dropped = [0; 4_096];
            let receiving = async {
                while reader.read(&mut dropped).await? > 0 {}
                std::io::Result::Ok(())
            };
            // The answer to a refused body arrives while the body is sent.
            let (sent, received) = tokio::join!(sending, receiving);
            sent.and(received)
        }
        Reading::Nothing => {
            sending.await?;
            writer.as_ref().ready(tokio::io::Interest::ERROR).await?;
            Ok(())
        }
    }
}
