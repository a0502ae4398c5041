//! The parts of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response, 0 if the line has none.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or_default()
    }
}

pub fn invalid(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason.to_owned())
}

/// Reads a head. `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return if message.start_line.is_empty() { Ok(None) } else { Err(invalid("cut head")) };
        }
        let line = line.trim_end_matches(['\r', '\n']);
        if message.start_line.is_empty() {
            message.start_line = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body that the head announces by a length or by chunks.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(invalid("cut chunk"));
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("chunk size"))?;
            let read = reader.by_ref().take(size as u64).read_to_end(&mut message.body)?;
            let mut end = [0; 2];
            reader.read_exact(&mut end)?;
            if read < size {
                return Err(invalid("cut chunk"));
            }
            if size == 0 {
                return Ok(());
            }
        }
    }
    let length = message.header("content-length").map_or(Ok(0), str::parse::<u64>);
    let length = length.map_err(|_| invalid("content length"))?;
    let read = reader.take(length).read_to_end(&mut message.body)?;
    if read as u64 == length { Ok(()) } else { Err(invalid("cut body")) }
}

pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// Writes a response with a length.
pub fn write_response(
    mut stream: &TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes += &format!("{name}: {value}\r\n");
    }
    let mut bytes = (bytes + "\r\n").into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// How a request of a caller ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// The response, if one arrived whole.
    pub response: Option<Message>,
    /// The status in the head, if a head arrived.
    pub status: Option<u16>,
    pub error: Option<String>,
    pub took: Duration,
}

/// A connection of a caller that is kept open for many requests.
pub struct Kept {
    stream: TcpStream,
    pub peer: SocketAddr,
}

impl Kept {
    pub fn open(peer: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&peer, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { stream, peer })
    }

    /// Sends a request and waits for the whole response.
    pub fn call(&self, request: &str, patience: Duration) -> io::Result<Message> {
        (&self.stream).write_all(request.as_bytes())?;
        let deadline = Instant::now() + patience;
        let mut reader = BufReader::new(DeadlineReader { stream: &self.stream, deadline });
        let Some(mut response) = read_head(&mut reader)? else {
            return Err(invalid("closed without an answer"));
        };
        read_body(&mut reader, &mut response)?;
        Ok(response)
    }
}

/// Sends a request on a connection of its own and waits for the whole response.
pub fn call(address: SocketAddr, request: &str, patience: Duration) -> Ended {
    let started = Instant::now();
    let mut status = None;
    let result = try_call(address, request, started + patience, &mut status);
    let took = started.elapsed();
    match result {
        Ok(response) => Ended { response: Some(response), status, error: None, took },
        Err(error) => Ended { response: None, status, error: Some(error.to_string()), took },
    }
}

fn try_call(
    address: SocketAddr,
    request: &str,
    deadline: Instant,
    status: &mut Option<u16>,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    (&stream).write_all(request.as_bytes())?;
    let mut reader = BufReader::new(DeadlineReader { stream: &stream, deadline });
    let Some(mut response) = read_head(&mut reader)? else {
        return Err(invalid("closed without an answer"));
    };
    *status = Some(response.status());
    read_body(&mut reader, &mut response)?;
    Ok(response)
}

struct DeadlineReader<'a> {
    stream: &'a TcpStream,
    deadline: Instant,
}

impl Read for DeadlineReader<'_> {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::Error::new(io::ErrorKind::TimedOut, "the caller's deadline passed"));
        }
        self.stream.set_read_timeout(Some(left))?;
        let mut stream = self.stream;
        match stream.read(buf) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                Err(io::Error::new(io::ErrorKind::TimedOut, "the caller's deadline passed"))
            }
            result => result,
        }
    }
}
