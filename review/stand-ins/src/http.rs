//! HTTP/1.1 messages on blocking sockets.

use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(known, _)| *known == name)
            .map(|(_, value)| value)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read and not yet used.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            rest: Vec::new(),
        }
    }

    fn fill(&mut self) -> std::io::Result<()> {
        let mut buffer = [0; 16_384];
        match self.stream.read(&mut buffer)? {
            0 => Err(std::io::ErrorKind::UnexpectedEof.into()),
            read => {
                self.rest.extend_from_slice(&buffer[..read]);
                Ok(())
            }
        }
    }

    /// Reads a message with a Content-Length, a chunked body or no body.
    pub fn read(&mut self) -> std::io::Result<Message> {
        let end = loop {
            match self.rest.windows(4).position(|four| four == b"\r\n\r\n") {
                Some(end) => break end,
                None => self.fill()?,
            }
        };
        let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let header = (name.trim().to_owned(), value.trim().to_owned());
                message.headers.push(header);
            }
        }
        let length = message
            .header("content-length")
            .and_then(|text| text.parse().ok());
        if message.header("transfer-encoding") == Some("chunked") {
            message.body = self.read_chunks()?;
        } else {
            let length: usize = length.unwrap_or(0);
            while self.rest.len() < length {
                self.fill()?;
            }
            message.body = self.rest.drain(..length).collect();
        }
        Ok(message)
    }

    fn read_chunks(&mut self) -> std::io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                match self.rest.windows(2).position(|two| two == b"\r\n") {
                    Some(end) => break end,
                    None => self.fill()?,
                }
            };
            let line = String::from_utf8_lossy(&self.rest[..end]).into_owned();
            self.rest.drain(..end + 2);
            let length = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            while self.rest.len() < length + 2 {
                self.fill()?;
            }
            body.extend(self.rest.drain(..length));
            self.rest.drain(..2);
            if length == 0 {
                return Ok(body);
            }
        }
    }

    pub fn write(
        &mut self,
        first: &str,
        headers: &[(&str, &str)],
        body: &[u8],
    ) -> std::io::Result<()> {
        let mut text = format!("{first}\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}
