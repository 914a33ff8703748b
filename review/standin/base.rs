//! Shared parts of the stand-ins: time, the record of a run, HTTP, JSON, ports.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: OnceLock<Mutex<File>> = OnceLock::new();
static RANDOM: AtomicU64 = AtomicU64::new(0);

/// Seconds since the start of the run.
pub fn now() -> f64 {
    START.get_or_init(Instant::now).elapsed().as_secs_f64()
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep(seconds: f64) {
    if seconds > 0.0 {
        std::thread::sleep(Duration::from_secs_f64(seconds));
    }
}

/// Sleeps until `at` seconds after the start of the run.
pub fn sleep_until(at: f64) {
    sleep(at - now());
}

/// Opens the record of the run.
pub fn open_record(path: &str) {
    now();
    RANDOM.store(unix_ms() ^ 0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    let _ = RECORD.set(Mutex::new(File::create(path).expect("create the record")));
}

/// Adds a line to the record.
pub fn record(text: &str) {
    let at = now();
    if let Some(file) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// A random number (splitmix64).
pub fn random() -> u64 {
    let mut z = RANDOM.fetch_add(0x9e37_79b9_7f4a_7c15, Ordering::Relaxed);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// A head and its body.
pub struct Message {
    /// Request line or status line.
    pub first: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its head was complete.
    pub at: f64,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(it, _)| it.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|it| it.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_string())
    }
}

/// A connection with its unread input.
pub struct Wire {
    pub stream: TcpStream,
    pub input: Vec<u8>,
}

impl Wire {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, input: Vec::new() }
    }

    pub fn connect(address: SocketAddr, limit: f64) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs_f64(limit))?;
        Ok(Self::new(stream))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16384];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            size => {
                self.input.extend_from_slice(&bytes[..size]);
                Ok(())
            }
        }
    }

    /// Reads a head without its body.
    pub fn read_head(&mut self) -> io::Result<Message> {
        loop {
            if let Some(end) = find(&self.input, b"\r\n\r\n") {
                let at = now();
                let head: Vec<u8> = self.input.drain(..end + 4).collect();
                let text = String::from_utf8_lossy(&head[..end]).into_owned();
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_string();
                let fields = lines
                    .filter_map(|line| line.split_once(':'))
                    .map(|(name, value)| (name.trim().to_string(), value.trim().to_string()))
                    .collect();
                return Ok(Message { first, fields, body: Vec::new(), at });
            }
            self.fill()?;
        }
    }

    pub fn take(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.input.len() < size {
            self.fill()?;
        }
        Ok(self.input.drain(..size).collect())
    }

    pub fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.input, b"\r\n") {
                let line: Vec<u8> = self.input.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads the body of `message`; without a length or chunks, it is empty for a request.
    pub fn read_body(&mut self, message: &mut Message) -> io::Result<()> {
        if message.field("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
            loop {
                let line = self.take_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                let chunk = self.take(size)?;
                message.body.extend(chunk);
                if size == 0 {
                    while !self.take_line()?.is_empty() {}
                    return Ok(());
                }
                self.take(2)?;
            }
        }
        let size = message.field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        message.body = self.take(size)?;
        Ok(())
    }

    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message)?;
        Ok(message)
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|it| it == wanted)
}

/// Encodes a response with a length.
pub fn response(status: u16, fields: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in fields {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Listens on a free port of `ip`.
pub fn listen(ip: [u8; 4]) -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(SocketAddr::from((ip, 0))).expect("bind a loopback port");
    let address = listener.local_addr().expect("read the address");
    (listener, address)
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let value = chunk.iter().fold(0u32, |sum, it| sum << 8 | u32::from(*it)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(DIGITS[(value >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut rest = text.as_bytes();
        parse_value(&mut rest)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(table) => table.get(name).unwrap_or(&Json::Null),
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> String {
        match self {
            Json::Text(text) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> Vec<Json> {
        match self {
            Json::List(list) => list.clone(),
            _ => Vec::new(),
        }
    }
}

fn skip_space(rest: &mut &[u8]) {
    while rest.first().is_some_and(u8::is_ascii_whitespace) {
        *rest = &rest[1..];
    }
}

fn take(rest: &mut &[u8], byte: u8) -> Option<()> {
    skip_space(rest);
    (rest.first() == Some(&byte)).then(|| *rest = &rest[1..])
}

fn parse_value(rest: &mut &[u8]) -> Option<Json> {
    skip_space(rest);
    match *rest.first()? {
        b'{' => {
            take(rest, b'{')?;
            let mut table = BTreeMap::new();
            if take(rest, b'}').is_some() {
                return Some(Json::Table(table));
            }
            loop {
                skip_space(rest);
                let key = parse_text(rest)?;
                take(rest, b':')?;
                table.insert(key, parse_value(rest)?);
                if take(rest, b',').is_none() {
                    take(rest, b'}')?;
                    return Some(Json::Table(table));
                }
            }
        }
        b'[' => {
            take(rest, b'[')?;
            let mut list = Vec::new();
            if take(rest, b']').is_some() {
                return Some(Json::List(list));
            }
            loop {
                list.push(parse_value(rest)?);
                if take(rest, b',').is_none() {
                    take(rest, b']')?;
                    return Some(Json::List(list));
                }
            }
        }
        b'"' => parse_text(rest).map(Json::Text),
        _ => {
            let end = rest.iter().position(|it| b",]} \r\n\t".contains(it)).unwrap_or(rest.len());
            let word = std::str::from_utf8(&rest[..end]).ok()?;
            *rest = &rest[end..];
            Some(match word {
                "null" => Json::Null,
                "true" => Json::Bool(true),
                "false" => Json::Bool(false),
                _ => Json::Number(word.parse().ok()?),
            })
        }
    }
}

fn parse_text(rest: &mut &[u8]) -> Option<String> {
    take(rest, b'"')?;
    let mut bytes = Vec::new();
    loop {
        let byte = *rest.first()?;
        *rest = &rest[1..];
        match byte {
            b'"' => return String::from_utf8(bytes).ok(),
            b'\\' => {
                bytes.push(*rest.first()?);
                *rest = &rest[1..];
            }
            _ => bytes.push(byte),
        }
    }
}
