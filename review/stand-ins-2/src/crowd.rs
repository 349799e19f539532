//! A crowd of clients that nobody controls, whose chunked bodies stop just short of their end.

use std::net::SocketAddr;
use std::time::Duration;

use rustix::process::Resource;
use rustix::process::Rlimit;
use rustix::process::getrlimit;
use rustix::process::setrlimit;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time until a client whose connection was closed opens another one.
const RETURN_DELAY: Duration = Duration::from_millis(100);
/// Descriptors of a process, as `fds` of the site.
const DESCRIPTORS: u64 = 4_100;
/// Time between two chunks of a client.
const PAUSE: Duration = Duration::from_millis(2);

/// Allows this process and the relays that it starts as many descriptors as a machine of the site has, or fails if that
/// is not allowed.
pub fn allow_descriptors() -> std::io::Result<()> {
    let allowed = getrlimit(Resource::Nofile);
    let limits = Rlimit {
        current: Some(DESCRIPTORS),
        maximum: allowed.maximum,
    };
    setrlimit(Resource::Nofile, limits)?;
    Ok(())
}

fn head(id: &str) -> String {
    format!(
        "POST /note/300/100/x HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: {id}\r\n\
         X-Deadline-Ms: 60000\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
}

fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b'z');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Sends a chunked body without the last two bytes of its end, in writes of one chunk.
pub async fn send_chunks(
    address: SocketAddr,
    id: &str,
    chunk_bytes: usize,
    chunks: usize,
) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_all(head(id).as_bytes()).await?;
    let chunk = chunk(chunk_bytes);
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

/// Does the same with clients that send as fast as they can and read meanwhile, as the answer to a refused body arrives
/// while it is sent. The number of the client says which of `chunks` its body has.
pub fn stay_reading(
    address: SocketAddr,
    name: &'static str,
    count: usize,
    chunk_bytes: usize,
    chunks: &'static [usize],
) -> Vec<JoinHandle<()>> {
    let clients = (0..count).map(|number| {
        tokio::spawn(async move {
            let chunk = chunk(chunk_bytes);
            let chunks = chunks[number % chunks.len()];
            for turn in 0.. {
                let id = format!("{name}{number}t{turn}");
                let _ = send_reading(address, &id, &chunk, chunks).await;
                tokio::time::sleep(RETURN_DELAY).await;
            }
        })
    });
    clients.collect()
}

/// Sends a chunked body without the last two bytes of its end, and returns once the connection is closed.
async fn send_reading(
    address: SocketAddr,
    id: &str,
    chunk: &[u8],
    chunks: usize,
) -> std::io::Result<()> {
    let (mut reader, mut writer) = TcpStream::connect(address).await?.into_split();
    let sending = async {
        writer.write_all(head(id).as_bytes()).await?;
        for _ in 0..chunks {
            writer.write_all(chunk).await?;
        }
        writer.write_all(b"0\r\n").await
    };
    let receiving = async {
        let mut part = [0; 4_096];
        while reader.read(&mut part).await? > 0 {}
        std::io::Result::Ok(())
    };
    let (sent, received) = tokio::join!(sending, receiving);
    sent.and(received)
}
