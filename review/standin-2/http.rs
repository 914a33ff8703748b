//! HTTP/1.1 messages over a blocking connection, as far as the stand-ins need them.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A request or a response: its first line, header fields with names in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The first field called `name`, which is in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(it, _)| it == name).map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or_default()
    }

    /// A value in the query of a request.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.replace("%2F", "/"))
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    input: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, input: Vec::new() }
    }

    fn read_more(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 << 10];
        match self.stream.read(&mut bytes)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            size => {
                self.input.extend_from_slice(&bytes[..size]);
                Ok(())
            }
        }
    }

    /// Reads the head of the next message.
    pub fn read_head(&mut self) -> io::Result<Message> {
        let end = loop {
            match self.input.windows(4).position(|it| it == b"\r\n\r\n") {
                Some(end) => break end,
                None => self.read_more()?,
            }
        };
        let head = String::from_utf8_lossy(&self.input[..end]).into_owned();
        self.input.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or_default().to_owned();
        let field = |it: &str| {
            let (name, value) = it.split_once(':')?;
            Some((name.to_ascii_lowercase(), value.trim().to_owned()))
        };
        Ok(Message { line, fields: lines.filter_map(field).collect(), body: Vec::new() })
    }

    /// Reads exactly `size` bytes.
    fn read_bytes(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.input.len() < size {
            self.read_more()?;
        }
        Ok(self.input.drain(..size).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.input.windows(2).position(|it| it == b"\r\n") {
                let line: Vec<u8> = self.input.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.read_more()?;
        }
    }

    /// Reads the next message with its body.
    pub fn read_message(&mut self) -> io::Result<Message> {
        let mut message = self.read_head()?;
        let is_chunked =
            message.field("transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let line = self.read_line()?;
                let digits = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(digits, 16)
                    .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Ok(message);
                }
                let chunk = self.read_bytes(size)?;
                message.body.extend_from_slice(&chunk);
                self.read_line()?;
            }
        }
        let size = message.field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        message.body = self.read_bytes(size)?;
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }
}

/// The bytes of a response with a length.
pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in fields {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
