//! An HTTP client that opens a new connection for each request.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::Value;

/// Read timeout for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// A complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct HttpAnswer {
    /// The status.
    pub(crate) status: u16,
    /// The headers, with names in lower case.
    pub(crate) headers: Vec<(String, String)>,
    /// The body.
    pub(crate) body: Vec<u8>,
}

impl HttpAnswer {
    /// Returns the value of a header.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Parses the body as JSON. Returns `Null` if it is invalid.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the body as text.
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Sends requests to one address.
#[derive(Clone, Debug)]
pub(crate) struct HttpClient {
    address: SocketAddr,
    headers: Vec<(String, String)>,
}

impl HttpClient {
    /// Creates a client.
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self { address, headers: Vec::new() }
    }

    /// Returns the address that requests are sent to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Adds a header to every request.
    pub(crate) fn with_header(mut self, name: &str, value: &str) -> Self {
        self.headers.push((name.to_owned(), value.to_owned()));
        self
    }

    /// Sends a request and reads the complete answer. A truncated answer is an error.
    pub(crate) fn send(&self, method: &str, path: &str, body: &[u8]) -> io::Result<HttpAnswer> {
        let mut stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(2))?;
        stream.set_read_timeout(Some(ANSWER_TIMEOUT))?;
        stream.set_nodelay(true)?;
        let mut head = format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
        for (name, value) in &self.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str(&format!("content-length: {}\r\n\r\n", body.len()));
        stream.write_all(head.as_bytes())?;
        stream.write_all(body)?;
        let mut raw = Vec::new();
        stream.read_to_end(&mut raw)?;
        parse(&raw).ok_or_else(|| io::Error::other("the answer was cut short"))
    }

    /// Sends a GET request.
    pub(crate) fn get(&self, path: &str) -> io::Result<HttpAnswer> {
        self.send("GET", path, b"")
    }
}

fn parse(raw: &[u8]) -> Option<HttpAnswer> {
    let end = raw.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = std::str::from_utf8(&raw[..end]).ok()?;
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let answer = HttpAnswer { status, headers, body: raw[end + 4..].to_vec() };
    if answer.header("transfer-encoding") == Some("chunked") {
        let body = decode_chunked(&answer.body)?;
        return Some(HttpAnswer { body, ..answer });
    }
    let length: Option<usize> = answer.header("content-length").and_then(|n| n.parse().ok());
    length.is_none_or(|length| length == answer.body.len()).then_some(answer)
}

fn decode_chunked(mut raw: &[u8]) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let end = raw.windows(2).position(|window| window == b"\r\n")?;
        let size = usize::from_str_radix(std::str::from_utf8(&raw[..end]).ok()?, 16).ok()?;
        raw = &raw[end + 2..];
        if size == 0 {
            return Some(body);
        }
        body.extend_from_slice(raw.get(..size)?);
        raw = raw.get(size + 2..)?;
    }
}
