//! As much of HTTP/1.1 as the stand-ins need: messages of stated length on kept connections.

use std::io;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// A message's first line in parts, its headers and its body.
#[derive(Debug, Default)]
pub struct Message {
    /// The verb and the target of a request, the status of an answer.
    pub verb: String,
    pub target: String,
    pub status: u16,
    headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }

    pub fn number<T: std::str::FromStr>(&self, name: &str) -> Option<T> {
        self.header(name)?.parse().ok()
    }
}

/// A connection and what has come of the next message.
pub struct Peer {
    pub stream: TcpStream,
    heard: Vec<u8>,
}

const MOST_HEADERS: usize = 32;
const MOST_BYTES: usize = 1 << 20;

fn bad(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_owned())
}

impl Peer {
    pub fn new(stream: TcpStream) -> Self {
        // Only makes it quicker.
        let _ = stream.set_nodelay(true);
        Peer { stream, heard: Vec::new() }
    }

    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// The next message; none where the connection ends between two.
    pub async fn read(&mut self, answer: bool) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, length)) = self.decode(answer)? {
                self.heard.drain(..length);
                return Ok(Some(message));
            }
            if self.heard.len() > MOST_BYTES {
                return Err(bad("too long"));
            }
            if self.stream.read_buf(&mut self.heard).await? == 0 {
                return if self.heard.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    /// Waits for the other side to close; what it sends meanwhile is kept.
    pub async fn closed(&mut self) {
        while self.stream.read_buf(&mut self.heard).await.is_ok_and(|n| n > 0) {}
    }

    fn decode(&self, answer: bool) -> io::Result<Option<(Message, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut message = Message::default();
        let wrong = |e: httparse::Error| bad(&e.to_string());
        let (head, headers) = if answer {
            let mut parsed = httparse::Response::new(&mut headers);
            let head = parsed.parse(&self.heard).map_err(wrong)?;
            message.status = parsed.code.unwrap_or(0);
            (head, parsed.headers)
        } else {
            let mut parsed = httparse::Request::new(&mut headers);
            let head = parsed.parse(&self.heard).map_err(wrong)?;
            message.verb = parsed.method.unwrap_or("").to_owned();
            message.target = parsed.path.unwrap_or("").to_owned();
            (head, parsed.headers)
        };
        let httparse::Status::Complete(head) = head else { return Ok(None) };
        let text =
            |h: &httparse::Header<'_>| (h.name.to_owned(), String::from_utf8_lossy(h.value).into_owned());
        message.headers = headers.iter().map(text).collect();
        let length = message.number("content-length").unwrap_or(0);
        if length > MOST_BYTES {
            return Err(bad("too long"));
        }
        let Some(body) = self.heard.get(head..head + length) else { return Ok(None) };
        message.body = body.to_vec();
        Ok(Some((message, head + length)))
    }
}

/// An answer's bytes.
pub fn answer(status: u16, headers: &str, body: &str) -> Vec<u8> {
    format!("HTTP/1.1 {status} .\r\nContent-Length: {}\r\n{headers}\r\n{body}", body.len()).into_bytes()
}
