//! Parsing of the heads of requests and responses.

use bytes::{Bytes, BytesMut};

use crate::body::Framing;
use crate::error::Error;

/// Largest number of header fields in a head.
const MAX_FIELDS: usize = 96;

/// A range of the head's bytes.
#[derive(Clone, Copy, Debug)]
struct Span {
    start: u32,
    end: u32,
}

impl Span {
    /// Returns the range of `part`, which must be a subslice of `base`.
    fn of(base: &[u8], part: &[u8]) -> Self {
        let start = part.as_ptr() as usize - base.as_ptr() as usize;
        Self { start: start as u32, end: (start + part.len()) as u32 }
    }

    fn get(self, bytes: &[u8]) -> &[u8] {
        &bytes[self.start as usize..self.end as usize]
    }
}

/// The header fields of a head, in the order received.
#[derive(Clone, Debug)]
pub struct Fields {
    /// The bytes of the whole head.
    bytes: Bytes,
    /// Ranges of the name and value of each field in `bytes`.
    spans: Vec<(Span, Span)>,
}

impl Fields {
    fn new(bytes: Bytes, parsed: &[httparse::Header<'_>], base: &[u8]) -> Self {
        let span = |field: &httparse::Header<'_>| {
            (Span::of(base, field.name.as_bytes()), Span::of(base, field.value))
        };
        Self { spans: parsed.iter().map(span).collect(), bytes }
    }

    /// Iterates over all fields as name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&[u8], &[u8])> {
        self.spans.iter().map(|(name, value)| (name.get(&self.bytes), value.get(&self.bytes)))
    }

    /// Iterates over the values of all fields called `name`, compared without case.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        self.iter()
            .filter(move |(other, _)| other.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Returns the value of the first field called `name`, compared without case.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        self.iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name.as_bytes()))
            .map(|(_, value)| value)
    }

    /// Returns the value of the first field called `name` without surrounding whitespace, if it is
    /// valid UTF-8.
    pub fn get_str(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// Returns true if the comma-separated values of the fields called `name` include `token`,
    /// compared without case.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name).any(|value| {
            value
                .split(|byte| *byte == b',')
                .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Returns true if a value contains the beginning of a status line.
    fn contains_status_line(&self) -> bool {
        self.iter().any(|(_, value)| contains_status_line(value))
    }

    /// Parses `Content-Length`. Repeated fields must have equal values; signs and lists are
    /// rejected, because a server might read another length and so find another request in the
    /// body.
    fn content_length(&self) -> Result<Option<u64>, Error> {
        let mut length = None;
        for value in self.get_all("content-length") {
            let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(value).map_err(|_| Error::Framing)?;
            let parsed = text.parse::<u64>().map_err(|_| Error::Framing)?;
            match length {
                _ if !is_number => return Err(Error::Framing),
                Some(previous) if previous != parsed => return Err(Error::Framing),
                _ => length = Some(parsed),
            }
        }
        Ok(length)
    }

    /// Returns true if the only transfer coding is `chunked`; any other coding is an error.
    fn is_chunked(&self) -> Result<bool, Error> {
        let mut codings = self.get_all("transfer-encoding");
        match (codings.next(), codings.next()) {
            (None, _) => Ok(false),
            (Some(value), None) if value.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(true),
            _ => Err(Error::TransferCoding),
        }
    }
}

/// The head of a request.
#[derive(Clone, Debug)]
pub struct Request {
    method: Span,
    target: Span,
    /// True for HTTP/1.1, false for HTTP/1.0.
    pub is_http_11: bool,
    /// The header fields.
    pub fields: Fields,
    /// How the end of the body is determined.
    pub framing: Framing,
}

impl Request {
    /// Returns the method.
    pub fn method(&self) -> &str {
        std::str::from_utf8(self.method.get(&self.fields.bytes)).unwrap_or("")
    }

    /// Returns true if the response to this request has no body, whatever its head states.
    pub fn is_head(&self) -> bool {
        self.method() == "HEAD"
    }

    /// Returns the request target as sent, usually path and query.
    pub fn target(&self) -> &str {
        std::str::from_utf8(self.target.get(&self.fields.bytes)).unwrap_or("")
    }

    /// Returns the request target without its query.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Returns true if the connection may be used for another request after this message.
    pub fn keeps_alive(&self) -> bool {
        self.is_http_11 && !self.fields.has_token("connection", "close")
    }
}

/// Parses a request head of at most `limit` bytes and removes it from the front of `input`; returns
/// `None` if more bytes are needed.
///
/// # Errors
///
/// The head is malformed or larger than `limit` bytes, or the body length is ambiguous.
pub fn parse_request(input: &mut BytesMut, limit: usize) -> Result<Option<Request>, Error> {
    let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Request::new(&mut storage);
    let size = match parsed.parse(input) {
        Ok(httparse::Status::Complete(size)) if size <= limit => size,
        Ok(httparse::Status::Partial) if input.len() <= limit => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadSize),
        Err(_) => return Err(Error::Head),
    };
    let method = parsed.method.unwrap_or("");
    let target = parsed.path.unwrap_or("");
    let (method, target) = (Span::of(input, method.as_bytes()), Span::of(input, target.as_bytes()));
    let is_http_11 = parsed.version == Some(1);
    let mut fields = Fields::new(Bytes::new(), parsed.headers, input);
    fields.bytes = input.split_to(size).freeze();
    let framing = match (fields.is_chunked()?, fields.content_length()?) {
        (true, None) if is_http_11 => Framing::Chunked,
        (true, _) => return Err(Error::Framing),
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::Length(0),
    };
    Ok(Some(Request { method, target, is_http_11, fields, framing }))
}

/// Returns true if `text` contains the version and status code with which a status line begins.
fn contains_status_line(text: &[u8]) -> bool {
    const VERSION: &[u8] = b"HTTP/1.";
    memchr::memmem::find_iter(text, VERSION).any(|start| {
        let rest = &text[start + VERSION.len()..];
        matches!(rest, [minor, b' ', a, b, c, ..]
            if [minor, a, b, c].iter().all(|it| it.is_ascii_digit()))
    })
}

/// The head of a response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// True for HTTP/1.1, false for HTTP/1.0.
    pub is_http_11: bool,
    /// The header fields.
    pub fields: Fields,
    /// How the end of the body is determined.
    pub framing: Framing,
}

impl Response {
    /// Returns true if the connection may be used for another request after this message.
    pub fn keeps_alive(&self) -> bool {
        self.is_http_11
            && self.framing != Framing::Close
            && !self.fields.has_token("connection", "close")
    }

    /// Returns the media type without its parameters; empty if none is stated.
    pub fn media_type(&self) -> &str {
        let value = self.fields.get_str("content-type").unwrap_or_default();
        value.split(';').next().unwrap_or_default().trim()
    }

    /// Returns true if the status code is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Status codes that belong to a class of responses.
const STATUS_CODES: std::ops::RangeInclusive<u16> = 100..=599;

/// Parses the head of a response of at most `limit` bytes and removes it from the front of `input`;
/// returns `None` if more bytes are needed.
///
/// The request must not have been a `HEAD` request, whose response has a length but no body.
///
/// # Errors
///
/// The head is malformed or larger than `limit` bytes, or the body length is ambiguous. A head that
/// contains another status line is malformed: it begins with the part of a head that was cut off,
/// and goes on with the head of the next response. So is one whose status code is in no class, such as
/// 000.
pub fn parse_response(input: &mut BytesMut, limit: usize) -> Result<Option<Response>, Error> {
    let mut storage = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut storage);
    let size = match parsed.parse(input) {
        Ok(httparse::Status::Complete(size)) if size <= limit => size,
        Ok(httparse::Status::Partial) if input.len() <= limit => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadSize),
        Err(_) => return Err(Error::Head),
    };
    let status = parsed.code.filter(|it| STATUS_CODES.contains(it)).ok_or(Error::Head)?;
    let is_cut_reason = contains_status_line(parsed.reason.unwrap_or_default().as_bytes());
    let is_http_11 = parsed.version == Some(1);
    let mut fields = Fields::new(Bytes::new(), parsed.headers, input);
    fields.bytes = input.split_to(size).freeze();
    if is_cut_reason || fields.contains_status_line() {
        return Err(Error::Head);
    }
    let framing = match (fields.is_chunked()?, fields.content_length()?) {
        _ if matches!(status, 100..=199 | 204 | 304) => Framing::Length(0),
        (true, None) => Framing::Chunked,
        (true, Some(_)) => return Err(Error::Framing),
        (false, Some(length)) => Framing::Length(length),
        (false, None) => Framing::Close,
    };
    Ok(Some(Response { status, is_http_11, fields, framing }))
}
