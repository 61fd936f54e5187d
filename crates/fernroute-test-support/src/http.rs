//! The subset of HTTP/1.1 that the stubs need: messages with Content-Length on persistent connections.

use std::io;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// A request or response: the head as received, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub head: String,
    /// Request target; empty for a response.
    pub target: String,
    status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn header_number<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.header(name)?.parse().ok()
    }

    /// Response status; 0 for a request.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Whether the message carries `Connection: close`.
    pub fn closes_connection(&self) -> bool {
        self.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"))
    }

    /// The message as sent on the wire.
    pub fn to_bytes(&self) -> Vec<u8> {
        [self.head.as_bytes(), &self.body].concat()
    }

    /// Parses the head at the start of these bytes. Returns it with its length, or `None` if it is incomplete.
    fn decode_head(bytes: &[u8]) -> io::Result<Option<(Message, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut message = Message::default();
        let wrong = |e: httparse::Error| invalid_data(&e.to_string());
        let (length, headers) = if bytes.starts_with(b"HTTP/") {
            let mut parsed = httparse::Response::new(&mut headers);
            let length = parsed.parse(bytes).map_err(wrong)?;
            message.status = parsed.code.unwrap_or(0);
            (length, parsed.headers)
        } else {
            let mut parsed = httparse::Request::new(&mut headers);
            let length = parsed.parse(bytes).map_err(wrong)?;
            message.target = parsed.path.unwrap_or("").to_owned();
            (length, parsed.headers)
        };
        let httparse::Status::Complete(length) = length else { return Ok(None) };
        let text =
            |h: &httparse::Header<'_>| (h.name.to_owned(), String::from_utf8_lossy(h.value).into_owned());
        message.headers = headers.iter().map(text).collect();
        message.head = String::from_utf8_lossy(&bytes[..length]).into_owned();
        Ok(Some((message, length)))
    }

    fn length(&self) -> usize {
        self.header_number("content-length").unwrap_or(0)
    }
}

/// A connection with its read buffer.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

const MAX_HEADERS: usize = 32;
/// The longest message that coordinators send each other.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

fn invalid_data(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_owned())
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        // Affects latency only, so a failure is ignored.
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the next message. `None` if the connection ends between messages.
    pub async fn read(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, length)) = parse_message(&self.buffer)? {
                self.buffer.drain(..length);
                return Ok(Some(message));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return match self.buffer.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        }
    }

    /// Waits until the peer closes the connection. Data that arrives meanwhile stays in the buffer.
    pub async fn wait_for_close(&mut self) {
        while self.stream.read_buf(&mut self.buffer).await.is_ok_and(|n| n > 0) {}
    }
}

/// Parses the message at the start of these bytes. Returns it with its length, or `None` if it is incomplete.
pub fn parse_message(bytes: &[u8]) -> io::Result<Option<(Message, usize)>> {
    let Some((mut message, head)) = Message::decode_head(bytes)? else {
        return if bytes.len() > MAX_MESSAGE_BYTES {
            Err(invalid_data("message too long"))
        } else {
            Ok(None)
        };
    };
    let length = message.length();
    if length > MAX_MESSAGE_BYTES {
        return Err(invalid_data("message too long"));
    }
    let Some(body) = bytes.get(head..head + length) else { return Ok(None) };
    message.body = body.to_vec();
    Ok(Some((message, head + length)))
}

/// Reads exactly one message, without a limit on its length. `None` if the connection ends or the head is invalid.
pub async fn read_message(stream: &mut TcpStream) -> Option<Message> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let (mut message, _) = Message::decode_head(&head).ok()??;
    message.body.resize(message.length(), 0);
    stream.read_exact(&mut message.body).await.ok()?;
    Some(message)
}

/// The bytes of a response.
pub fn response(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} .\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len()).into_bytes()
}
