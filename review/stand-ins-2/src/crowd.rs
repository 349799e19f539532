//! A crowd of clients that nobody controls, whose chunked bodies stop just short of their end.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time until a client whose connection was closed opens another one.
const RETURN_DELAY: Duration = Duration::from_millis(100);
/// Time between two chunks of a client.
const PAUSE: Duration = Duration::from_millis(2);

/// Sends a chunked body without the last two bytes of its end, in writes of one chunk.
pub async fn send_chunks(
    address: SocketAddr,
    id: &str,
    chunk_bytes: usize,
    chunks: usize,
) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let head = format!(
        "POST /note/300/100/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 60000\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    let mut chunk = format!("{chunk_bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + chunk_bytes, b'z');
    chunk.extend_from_slice(b"\r\n");
    for _ in 0..chunks {
        stream.write_all(&chunk).await?;
        tokio::time::sleep(PAUSE).await;
    }
    stream.write_all(b"0\r\n").await?;
    Ok(stream)
}

async fn read_until_closed(stream: &mut TcpStream) {
    let mut part = [0; 4_096];
    while matches!(stream.read(&mut part).await, Ok(1..)) {}
}

/// Starts clients that stay, and come again when their connections are closed.
pub fn stay(
    address: SocketAddr,
    name: &'static str,
    count: usize,
    chunk_bytes: usize,
    chunks: usize,
) -> Vec<JoinHandle<()>> {
    let clients = (0..count).map(|number| {
        tokio::spawn(async move {
            for turn in 0.. {
                let id = format!("{name}{number}t{turn}");
                if let Ok(mut stream) = send_chunks(address, &id, chunk_bytes, chunks).await {
                    read_until_closed(&mut stream).await;
                }
                tokio::time::sleep(RETURN_DELAY).await;
            }
        })
    });
    clients.collect()
}
