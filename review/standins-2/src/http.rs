//! Reads and writes HTTP/1.1 messages.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Head of a request or a response.
pub struct Head {
    /// Request line or status line.
    pub line: String,
    fields: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header, the name in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(known, _)| known == name).map(|(_, value)| &**value)
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }

    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
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
        Self { stream, rest: Vec::new() }
    }

    /// Reads a head. `None` if the connection ends before one.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.rest.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            if !self.fill()? {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let field = |line: &str| {
            let (name, value) = line.split_once(':')?;
            Some((name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        };
        Ok(Some(Head { line, fields: lines.filter_map(field).collect() }))
    }

    /// Reads up to `length` bytes of a body, fewer if the connection ends.
    pub fn body(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            if !self.fill()? {
                break;
            }
        }
        let end = length.min(self.rest.len());
        Ok(self.rest.drain(..end).collect())
    }

    /// Reads `length` bytes of a body without keeping them. Returns the number read.
    pub fn skip(&mut self, length: usize) -> io::Result<usize> {
        let mut skipped = self.rest.len().min(length);
        self.rest.drain(..skipped);
        let mut buf = vec![0; 64 * 1024];
        while skipped < length {
            let wanted = buf.len().min(length - skipped);
            let read = self.stream.read(&mut buf[..wanted])?;
            if read == 0 {
                break;
            }
            skipped += read;
        }
        Ok(skipped)
    }

    /// Sends a message with a body of known length.
    pub fn send(&mut self, head: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut buf = [0; 16 * 1024];
        let read = self.stream.read(&mut buf)?;
        self.rest.extend_from_slice(&buf[..read]);
        Ok(read > 0)
    }
}
