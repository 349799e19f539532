//! Sends raw bytes, as a faulty or slow client does.

use std::io;
use std::net::SocketAddr;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// What a client does with its side of the connection after the last byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterSend {
    /// The client keeps it open and waits for the server.
    KeepOpen,
    /// The client closes it and can send no more.
    Close,
}

/// Sends bytes on a new connection and returns what the server sends until it closes the connection.
pub async fn send_raw(address: SocketAddr, bytes: &[u8], after: AfterSend) -> io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    stream.write_all(bytes).await?;
    if after == AfterSend::Close {
        stream.shutdown().await?;
    }
    let mut response = Vec::new();
    // A reset connection counts as closed; the bytes received before the reset are the response.
    let _ = stream.read_to_end(&mut response).await;
    Ok(String::from_utf8_lossy(&response).into_owned())
}
