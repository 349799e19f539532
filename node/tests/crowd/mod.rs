//! A crowd of clients that send something, keep their connections open, and come again when these are closed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

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

/// Starts `size` clients, which go on until the set is dropped.
pub fn start(address: SocketAddr, size: usize, reading: Reading, bytes: &Bytes) -> JoinSet<()> {
    let mut clients = JoinSet::new();
    for number in 0..size {
        let bytes = Arc::clone(bytes);
        clients.spawn(async move {
            loop {
                // Whatever ends the connection, the client comes again.
                let _ = send_and_stay(address, &bytes(number), reading).await;
                tokio::time::sleep(RETURN_DELAY).await;
            }
        });
    }
    clients
}

/// Sends bytes, and returns once the connection is closed.
async fn send_and_stay(address: SocketAddr, bytes: &[u8], reading: Reading) -> std::io::Result<()> {
    let stream = TcpStream::connect(address).await?;
    let (mut reader, mut writer) = stream.into_split();
    let sending = async {
        for part in bytes.chunks(WRITE_BYTES) {
            writer.write_all(part).await?;
        }
        std::io::Result::Ok(())
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
