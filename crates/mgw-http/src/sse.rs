//! Server-sent events in a response body.

use bytes::BytesMut;

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a body into complete events.
///
/// Only complete events are passed on, so a stream whose connection breaks inside an event can be
/// resumed from another server after the last complete event.
#[derive(Clone, Debug, Default)]
pub struct Splitter {
    /// Bytes of the incomplete event at the end of the stream so far.
    partial: BytesMut,
    /// Number of bytes of `partial` that were searched for the end of an event.
    searched: usize,
    /// The `id` field of the last complete event that has one.
    last_id: Option<u64>,
}

impl Splitter {
    /// Takes all bytes of `input` and appends the events that are complete to `output`.
    pub fn push(&mut self, input: &mut BytesMut, output: &mut BytesMut) {
        self.partial.unsplit(input.split());
        while let Some(end) = self.find_end() {
            let event = self.partial.split_to(end);
            self.searched = 0;
            if let Some(id) = event_id(&event) {
                self.last_id = Some(id);
            }
            output.unsplit(event);
        }
    }

    /// Returns true if the incomplete event exceeds 256 KiB, the maximum size of an event.
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Returns the `id` of the last complete event that has a numeric one, to resume the stream
    /// after it.
    pub fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Returns true if the stream so far ends inside an event.
    pub fn is_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Discards the incomplete event; the resumed stream sends it again from its start.
    pub fn drop_partial(&mut self) {
        self.partial.clear();
        self.searched = 0;
    }

    /// Removes and returns the bytes of the incomplete event.
    pub fn take_partial(&mut self) -> BytesMut {
        self.searched = 0;
        self.partial.split()
    }

    /// Continues with the bytes of an incomplete event that [`Splitter::take_partial`] returned.
    pub fn restore_partial(&mut self, partial: BytesMut) {
        self.partial = partial;
        self.searched = 0;
    }

    /// Returns the length of the first event with the blank line that ends it. Searches again from
    /// 3 bytes before the new ones, because a blank line may arrive in pieces.
    fn find_end(&mut self) -> Option<usize> {
        let from = self.searched.saturating_sub(3);
        let window = &self.partial[from..];
        let lf = memchr::memmem::find(window, b"\n\n").map(|index| index + 2);
        let crlf = memchr::memmem::find(window, b"\r\n\r\n").map(|index| index + 4);
        self.searched = self.partial.len();
        match (lf, crlf) {
            (Some(lf), Some(crlf)) => Some(from + lf.min(crlf)),
            (lf, crlf) => lf.or(crlf).map(|end| from + end),
        }
    }
}

/// Parses the last `id` field of an event; `None` if it has none or it isn't a number.
fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()
        .and_then(|value| std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok())
}
