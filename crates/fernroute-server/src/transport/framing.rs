//! Finds the start and the end of an answer in the bytes of a connection. The HTTP client library does not check this: it
//! takes the first bytes for the answer, drops what follows them, and accepts ambiguous lengths.

use bytes::BytesMut;
use std::io;

/// Limit for the head of an answer, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Limit for interim (1xx) answers before the final one.
const MAX_INTERIM_ANSWERS: usize = 8;

const MAX_HEADERS: usize = 96;

const HTTP_1_0: &[u8] = b"HTTP/1.0";

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Remainder {
    #[default]
    Head,
    /// Number of body bytes that are still to come.
    Length(u64),
    /// A chunked body; the library finds its end.
    Chunks,
    /// The body ends with the connection.
    UntilClose,
    Complete,
}

/// Finds the end of one answer.
#[derive(Debug, Default)]
pub struct Framing {
    remainder: Remainder,
    interim_answers: usize,
    closes: bool,
}

fn invalid_answer(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, reason)
}

impl Framing {
    /// Whether the whole answer has been received.
    pub fn is_complete(&self) -> bool {
        self.remainder == Remainder::Complete
    }

    /// Whether only the library can tell where the answer ends.
    pub fn is_open_ended(&self) -> bool {
        matches!(self.remainder, Remainder::Chunks | Remainder::UntilClose)
    }

    /// Whether the upstream closes the connection after this answer.
    pub fn closes(&self) -> bool {
        self.closes
    }

    /// Whether the answer ends with the connection.
    pub fn ends_with_connection(&self) -> bool {
        self.remainder == Remainder::UntilClose
    }

    /// Number of bytes at the front of `received` that belong to the answer; `received` holds everything that has not been
    /// passed on yet. Removes interim (1xx) heads.
    pub fn answer_bytes(&mut self, received: &mut BytesMut, max_body: u64) -> io::Result<usize> {
        let head = match self.remainder {
            Remainder::Head => match self.head(received, max_body)? {
                Some(length) => length,
                None => return Ok(0),
            },
            _ => 0,
        };
        let available = (received.len() - head) as u64;
        let body = match self.remainder {
            Remainder::Length(left) => left.min(available),
            Remainder::Chunks | Remainder::UntilClose => available,
            Remainder::Head | Remainder::Complete => 0,
        };
        self.remainder = match self.remainder {
            Remainder::Length(left) if left == body => Remainder::Complete,
            Remainder::Length(left) => Remainder::Length(left - body),
            other => other,
        };
        Ok(head + body as usize)
    }

    /// The length of the answer's head, once it is complete; sets `remainder` for what follows.
    fn head(&mut self, received: &mut BytesMut, max_body: u64) -> io::Result<Option<usize>> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut answer = httparse::Response::new(&mut headers);
            let parsed = answer.parse(received).map_err(|reason| invalid_answer(&reason.to_string()))?;
            let (httparse::Status::Complete(length), Some(status)) = (parsed, answer.code) else {
                let too_long = received.len() > MAX_HEAD_BYTES;
                return if too_long {
                    Err(invalid_answer("answer head exceeds the limit"))
                } else {
                    Ok(None)
                };
            };
            if !(100..200).contains(&status) {
                self.remainder = remainder(status, answer.version, answer.headers)?;
                self.closes = answer.version == Some(0) || closes(answer.headers);
                if let Remainder::Length(body) = self.remainder {
                    if body > max_body {
                        return Err(invalid_answer(&format!(
                            "answer body of {body} bytes exceeds the limit"
                        )));
                    }
                }
                if self.remainder == Remainder::UntilClose {
                    // The library reads a body up to the end of the connection only for HTTP/1.0.
                    received[..HTTP_1_0.len()].copy_from_slice(HTTP_1_0);
                }
                return Ok(Some(length));
            }
            self.interim_answers += 1;
            if status == 101 || self.interim_answers > MAX_INTERIM_ANSWERS {
                return Err(invalid_answer("too many interim answers, or a protocol switch"));
            }
            let _ = received.split_to(length);
        }
    }
}

fn closes(headers: &[httparse::Header<'_>]) -> bool {
    let named = headers.iter().filter(|h| h.name.eq_ignore_ascii_case("connection"));
    named
        .flat_map(|h| h.value.split(|b| *b == b','))
        .any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// The kind of body that follows a head. An error if the head is ambiguous.
fn remainder(status: u16, version: Option<u8>, headers: &[httparse::Header<'_>]) -> io::Result<Remainder> {
    let named = |name: &'static str| headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    let mut lengths = named("content-length").map(|h| std::str::from_utf8(h.value).ok().map(str::trim));
    let mut codings = named("transfer-encoding");
    match (lengths.next(), lengths.next(), codings.next(), codings.next()) {
        (None, None, Some(coding), None) if coding.value.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Remainder::Chunks)
        }
        (Some(Some(length)), None, None, None) if length.bytes().all(|b| b.is_ascii_digit()) => length
            .parse()
            .map(Remainder::Length)
            .map_err(|_| invalid_answer("answer with an invalid Content-Length")),
        (None, None, None, None) if status == 204 || status == 304 => Ok(Remainder::Length(0)),
        // Without a length, a body up to the end of the connection is accepted only if the head announces that end.
        (None, None, None, None) if version == Some(0) || closes(headers) => Ok(Remainder::UntilClose),
        _ => Err(invalid_answer("answer without a length, or with an ambiguous one")),
    }
}
