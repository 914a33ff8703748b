//! Server-sent events inside a body.

use bytes::BytesMut;

/// Splits a body into whole events, so that a stream that breaks inside an event can go on at
/// another server after the last whole one.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    /// The begun event.
    rest: BytesMut,
    /// How far `rest` has been searched for the end of an event.
    searched: usize,
    /// The id of the last whole event.
    last_id: Option<u64>,
}

impl Splitter {
    /// Adds bytes of the body and moves the whole events to `output`.
    pub fn push(&mut self, input: &mut BytesMut, output: &mut BytesMut) {
        self.rest.unsplit(input.split());
        while let Some(end) = self.find_end() {
            let event = self.rest.split_to(end);
            self.searched = 0;
            if let Some(id) = id(&event) {
                self.last_id = Some(id);
            }
            output.unsplit(event);
        }
    }

    /// The id of the last whole event.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether an event has begun that is not whole.
    pub fn is_partial(&self) -> bool {
        !self.rest.is_empty()
    }

    /// Drops the begun event, as the stream goes on elsewhere.
    pub fn drop_partial(&mut self) {
        self.rest.clear();
        self.searched = 0;
    }

    /// Takes the begun event.
    pub fn take_partial(&mut self) -> BytesMut {
        self.searched = 0;
        self.rest.split()
    }

    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let window = &self.rest[from..];
        let plain = memchr::memmem::find(window, b"\n\n").map(|at| at + 2);
        let crlf = memchr::memmem::find(window, b"\r\n\r\n").map(|at| at + 4);
        self.searched = self.rest.len();
        match (plain, crlf) {
            (Some(one), Some(other)) => Some(from + one.min(other)),
            (one, other) => one.or(other).map(|end| from + end),
        }
    }
}

fn id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()
        .and_then(|value| std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok())
}
