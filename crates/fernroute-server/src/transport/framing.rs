//! Where an answer begins and ends among the bytes of a connection. The client library takes what comes first
//! for the answer, forgets what comes behind it, and lets several readings of a length pass.

use bytes::BytesMut;
use std::io;

/// Longer heads are no upstream's of ours.
const MOST_HEAD: usize = 16 * 1024;

/// More heads ahead of an answer than this have no end.
const MOST_INTERIM: usize = 8;

const MOST_HEADERS: usize = 96;

const OLDER: &[u8] = b"HTTP/1.0";

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Rest {
    #[default]
    Head,
    /// So many bytes of the body are still to come.
    Length(u64),
    /// The library finds the end of these.
    Chunks,
    /// All that comes until the connection ends.
    Close,
    Nothing,
}

/// Finds one answer's end.
#[derive(Debug, Default)]
pub struct Framing {
    rest: Rest,
    interim: usize,
    closes: bool,
}

fn spoilt(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why)
}

impl Framing {
    /// The answer is whole.
    pub fn is_whole(&self) -> bool {
        self.rest == Rest::Nothing
    }

    /// Nothing tells where the answer ends but the library's own reading.
    pub fn is_open_ended(&self) -> bool {
        matches!(self.rest, Rest::Chunks | Rest::Close)
    }

    /// The connection ends with this answer.
    pub fn closes(&self) -> bool {
        self.closes
    }

    /// The end of the connection is the answer's.
    pub fn ends_with_connection(&self) -> bool {
        self.rest == Rest::Close
    }

    /// How many of the bytes at the front are the answer's, of all that has come and is not handed on yet. Heads
    /// that only announce an answer are taken out.
    pub fn count(&mut self, heard: &mut BytesMut, most_body: u64) -> io::Result<usize> {
        let head = match self.rest {
            Rest::Head => match self.head(heard, most_body)? {
                Some(length) => length,
                None => return Ok(0),
            },
            _ => 0,
        };
        let new = (heard.len() - head) as u64;
        let body = match self.rest {
            Rest::Length(left) => left.min(new),
            Rest::Chunks | Rest::Close => new,
            Rest::Head | Rest::Nothing => 0,
        };
        self.rest = match self.rest {
            Rest::Length(left) if left == body => Rest::Nothing,
            Rest::Length(left) => Rest::Length(left - body),
            other => other,
        };
        Ok(head + body as usize)
    }

    /// The length of the answer's head, once it is whole; what follows it is then in `rest`.
    fn head(&mut self, heard: &mut BytesMut, most_body: u64) -> io::Result<Option<usize>> {
        loop {
            let mut headers = [httparse::EMPTY_HEADER; MOST_HEADERS];
            let mut answer = httparse::Response::new(&mut headers);
            let parsed = answer.parse(heard).map_err(|why| spoilt(&why.to_string()))?;
            let (httparse::Status::Complete(length), Some(status)) = (parsed, answer.code) else {
                let endless = heard.len() > MOST_HEAD;
                return if endless { Err(spoilt("a head without end")) } else { Ok(None) };
            };
            if !(100..200).contains(&status) {
                self.rest = rest(status, answer.version, answer.headers)?;
                self.closes = answer.version == Some(0) || closes(answer.headers);
                if let Rest::Length(body) = self.rest {
                    if body > most_body {
                        return Err(spoilt(&format!("a body of {body} bytes")));
                    }
                }
                if self.rest == Rest::Close {
                    // The library reads on until the end for answers of the older version alone.
                    heard[..OLDER.len()].copy_from_slice(OLDER);
                }
                return Ok(Some(length));
            }
            self.interim += 1;
            if status == 101 || self.interim > MOST_INTERIM {
                return Err(spoilt("no answer behind its announcement"));
            }
            let _ = heard.split_to(length);
        }
    }
}

fn closes(headers: &[httparse::Header<'_>]) -> bool {
    let named = headers.iter().filter(|h| h.name.eq_ignore_ascii_case("connection"));
    named
        .flat_map(|h| h.value.split(|b| *b == b','))
        .any(|word| word.trim_ascii().eq_ignore_ascii_case(b"close"))
}

/// What follows a head, where there is one reading of it alone.
fn rest(status: u16, version: Option<u8>, headers: &[httparse::Header<'_>]) -> io::Result<Rest> {
    let named = |name: &'static str| headers.iter().filter(move |h| h.name.eq_ignore_ascii_case(name));
    let mut lengths = named("content-length").map(|h| std::str::from_utf8(h.value).ok().map(str::trim));
    let mut codings = named("transfer-encoding");
    match (lengths.next(), lengths.next(), codings.next(), codings.next()) {
        (None, None, Some(coding), None) if coding.value.trim_ascii().eq_ignore_ascii_case(b"chunked") => {
            Ok(Rest::Chunks)
        }
        (Some(Some(length)), None, None, None) if length.bytes().all(|b| b.is_ascii_digit()) => {
            length.parse().map(Rest::Length).map_err(|_| spoilt("an unreadable length"))
        }
        (None, None, None, None) if status == 204 || status == 304 => Ok(Rest::Length(0)),
        // Who says that the connection ends means it; a head that says nothing at all is spoilt.
        (None, None, None, None) if version == Some(0) || closes(headers) => Ok(Rest::Close),
        _ => Err(spoilt("no length, or several readings of it")),
    }
}
