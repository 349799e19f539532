//! Bytes as a bad or slow client sends them.

use std::io;
use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Whether a client ends its side of the connection after its last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterSend {
    /// The client waits for the server.
    KeepOpen,
    /// The client sends no more.
    Close,
}

/// Sends bytes on a new connection and reads until the server closes it.
pub async fn send_raw(address: SocketAddr, bytes: &[u8], after: AfterSend) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    if after == AfterSend::Close {
        stream.shutdown().await?;
    }
    let mut response = Vec::new();
    // A reset connection counts as closed; what arrived before it is the response.
    let _ = stream.read_to_end(&mut response).await;
    Ok(String::from_utf8_lossy(&response).into_owned())
}
