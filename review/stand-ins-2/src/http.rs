//! HTTP/1.1 messages, read and written on plain sockets.

use std::io;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

const HEAD_BYTES_MAX: usize = 256 * 1_024;

/// A message with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header by its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the method and the target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut parts = self.first.split(' ');
        (parts.next().unwrap_or(""), parts.next().unwrap_or(""))
    }
}

/// A connection with the bytes that were read and not used.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads a message. Returns none at the end of the connection. A response to `HEAD` is not supported.
    pub async fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end;
            }
            if self.buffer.len() > HEAD_BYTES_MAX {
                return Err(io::Error::other("head too long"));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers =
            headers.map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()));
        let mut message = Message {
            first,
            headers: headers.collect(),
            body: Vec::new(),
        };
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        message.body = match message.header("content-length") {
            _ if is_chunked => self.read_chunks().await?,
            Some(length) => {
                let length = length.parse().map_err(io::Error::other)?;
                self.take(length).await?
            }
            None => Vec::new(),
        };
        Ok(Some(message))
    }

    async fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.take_line().await?;
            let size = line.split(';').next().unwrap_or("").trim();
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            if size == 0 {
                while !self.take_line().await?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.take(size).await?);
            self.take(2).await?;
        }
    }

    async fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            self.more().await?;
        }
    }

    async fn take(&mut self, bytes: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < bytes {
            self.more().await?;
        }
        let rest = self.buffer.split_off(bytes);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    async fn more(&mut self) -> io::Result<()> {
        match self.stream.read_buf(&mut self.buffer).await? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Ok(()),
        }
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|part| part == wanted)
}

/// Returns the bytes of a message with a length.
pub fn message(first: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{first}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    [text.as_bytes(), body].concat()
}
