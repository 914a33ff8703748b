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
    /// The id that the next event with data must exceed, if another server is to go on after it.
    resumes_after: Option<u64>,
    /// Whether something that is no event of the stream was found. Nothing is passed on after it.
    has_stray: bool,
}

impl Splitter {
    /// Takes all bytes of `input` and appends the events that are complete to `output`, up to one
    /// that does not belong to the stream.
    pub fn push(&mut self, input: &mut BytesMut, output: &mut BytesMut) {
        self.partial.unsplit(input.split());
        while !self.has_stray
            && let Some(end) = self.find_end()
        {
            let event = self.partial.split_to(end);
            self.searched = 0;
            let id = event_id(&event);
            self.has_stray = has_status_line(&event) || !self.is_next(id, &event);
            if !self.has_stray {
                self.last_id = id.or(self.last_id);
                self.resumes_after = self.resumes_after.filter(|_| id.is_none());
                output.unsplit(event);
            }
        }
    }

    /// Returns true if an event with this `id` may be the next one. The first one with data from
    /// the server that resumes the stream must have an id after that of the last event.
    fn is_next(&self, id: Option<u64>, event: &[u8]) -> bool {
        match (self.resumes_after, id) {
            (None, _) => true,
            (Some(last), Some(id)) => id > last,
            (Some(_), None) => !lines(event).any(|line| line.starts_with(b"data")),
        }
    }

    /// Returns true if the stream contains something that is no event of it: the status line of
    /// another response, or an event that does not follow the last one after
    /// [`resume`](Self::resume).
    pub fn has_stray(&self) -> bool {
        self.has_stray
    }

    /// Returns true if the incomplete event exceeds 256 KiB, the maximum size of an event.
    pub fn is_oversized(&self) -> bool {
        self.partial.len() > MAX_EVENT_BYTES
    }

    /// Returns the size in bytes of the incomplete event.
    pub fn partial_size(&self) -> usize {
        self.partial.len()
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

    /// Prepares for another server that resumes the stream after the last complete event. Discards
    /// the incomplete event, which that server sends again from its start.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.searched = 0;
        self.resumes_after = self.last_id;
        self.has_stray = false;
    }

    /// Removes and returns the bytes of the incomplete event.
    pub fn take_partial(&mut self) -> BytesMut {
        self.searched = 0;
        self.partial.split()
    }

    /// Returns to a server whose stream was left inside the event `partial`, which
    /// [`Splitter::take_partial`] returned. `has_begun` says whether it had sent an event before.
    pub fn return_to(&mut self, partial: BytesMut, has_begun: bool) {
        self.resume();
        self.partial = partial;
        self.resumes_after = self.last_id.filter(|_| !has_begun);
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

fn lines(event: &[u8]) -> impl DoubleEndedIterator<Item = &[u8]> {
    event.split(|byte| *byte == b'\n')
}

/// Returns true if a line begins like the head of a response; no line of an event does.
fn has_status_line(event: &[u8]) -> bool {
    lines(event).any(|line| line.starts_with(b"HTTP/1."))
}

/// Parses the last `id` field of an event; `None` if it has none or it isn't a number.
fn event_id(event: &[u8]) -> Option<u64> {
    lines(event)
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()
        .and_then(|value| std::str::from_utf8(value.trim_ascii()).ok()?.parse().ok())
}
