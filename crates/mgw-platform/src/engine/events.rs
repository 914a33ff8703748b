//! Parses the server-sent events of a streamed chat completion.

use std::collections::VecDeque;
use std::time::Duration;

use awc::ClientResponse;
use bytes::{Buf, BytesMut};
use futures_util::stream::{self, LocalBoxStream, StreamExt};
use serde::Deserialize;
use serde_json::Value;
use smol_str::{SmolStr, format_smolstr};

use super::{Event, Usage};
use crate::transport::{self, Cause, Error, Options};

/// Time limit for reading the end of the body after the final marker.
///
/// Most peers send the two together. The wait delays [`Event::Done`], so it is short; a connection
/// whose body has not ended by then is closed instead of being returned to the pool.
const END_OF_BODY_TIMEOUT: Duration = Duration::from_millis(5);

/// JSON payload of one `data` line.
#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    id: SmolStr,
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
    /// Position of the token from the start of the generated text.
    token: Option<u64>,
    error: Option<Value>,
}

#[derive(Deserialize)]
struct Choice {
    #[serde(default)]
    delta: Delta,
    finish_reason: Option<SmolStr>,
}

#[derive(Default, Deserialize)]
struct Delta {
    content: Option<String>,
}

/// State of the event stream of one response.
struct Reader {
    response: ClientResponse,
    options: Options,
    peer: SmolStr,
    /// Time limit for the next chunk of the body; [`Options::idle_timeout`] after the first one.
    chunk_timeout: Duration,
    /// Total size of the body so far, checked against [`Options::max_stream_bytes`].
    bytes_received: usize,
    /// Received bytes that do not yet form a complete line, or were not yet parsed.
    buffer: BytesMut,
    /// Offset in `buffer` before which there is no line feed.
    search_start: usize,
    /// Parsed events that were not yet returned.
    events: VecDeque<Event>,
    /// Set after [`Event::Done`] or an error, either of which ends the stream.
    ended: bool,
}

/// Returns the events of `response`.
///
/// `first_event_timeout` limits the wait for the first chunk of the body; the idle timeout of
/// `options` applies to all later ones.
pub(super) fn stream_events(
    response: ClientResponse,
    options: Options,
    first_event_timeout: Duration,
    peer: SmolStr,
) -> LocalBoxStream<'static, Result<Event, Error>> {
    let reader = Reader {
        response,
        options,
        peer,
        chunk_timeout: first_event_timeout,
        bytes_received: 0,
        buffer: BytesMut::new(),
        search_start: 0,
        events: VecDeque::new(),
        ended: false,
    };
    stream::unfold(reader, |mut reader| async move {
        if reader.ended {
            return None;
        }
        let result = reader.next_event().await;
        reader.ended = matches!(result, Ok(Event::Done) | Err(_));
        let result =
            result.map_err(|cause| Error::new("read a completion", reader.peer.clone(), cause));
        Some((result, reader))
    })
    .boxed_local()
}

impl Reader {
    /// Returns the next event, reading from the connection as needed.
    async fn next_event(&mut self) -> Result<Event, Cause> {
        loop {
            if let Some(event) = self.events.pop_front() {
                if event == Event::Done {
                    self.read_end_of_body().await;
                }
                return Ok(event);
            }
            match self.take_line() {
                Some(line) => self.parse_line(&line)?,
                None => self.read_chunk().await?,
            }
        }
    }

    /// Reads the regular end of the body, after which the connection returns to the pool.
    async fn read_end_of_body(&mut self) {
        let _ = transport::next_chunk(&mut self.response, END_OF_BODY_TIMEOUT).await;
    }

    /// Appends the next chunk of the body to the buffer, subject to the size limits.
    async fn read_chunk(&mut self) -> Result<(), Cause> {
        if self.buffer.len() > self.options.max_body_bytes {
            return Err(Cause::TooLarge { limit: self.options.max_body_bytes });
        }
        let chunk = transport::next_chunk(&mut self.response, self.chunk_timeout).await?;
        self.chunk_timeout = self.options.idle_timeout;
        let chunk = chunk.ok_or(Cause::Truncated)?;
        self.bytes_received += chunk.len();
        if self.bytes_received > self.options.max_stream_bytes {
            return Err(Cause::TooLarge { limit: self.options.max_stream_bytes });
        }
        self.buffer.extend_from_slice(&chunk);
        Ok(())
    }

    /// Removes the next complete line from the buffer and returns it without its line ending.
    fn take_line(&mut self) -> Option<BytesMut> {
        let line_feed = self.buffer[self.search_start..].iter().position(|byte| *byte == b'\n');
        let Some(line_feed) = line_feed else {
            self.search_start = self.buffer.len();
            return None;
        };
        let mut line = self.buffer.split_to(self.search_start + line_feed);
        self.buffer.advance(1);
        self.search_start = 0;
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        Some(line)
    }

    /// Parses one line and queues its events; lines other than `data` are ignored.
    fn parse_line(&mut self, line: &[u8]) -> Result<(), Cause> {
        if line.len() > self.options.max_body_bytes {
            return Err(Cause::TooLarge { limit: self.options.max_body_bytes });
        }
        let Some(data) = line.strip_prefix(b"data:") else {
            return Ok(());
        };
        let data = data.trim_ascii();
        if data == b"[DONE]" {
            self.events.push_back(Event::Done);
            return Ok(());
        }
        let chunk: Chunk = serde_json::from_slice(data)
            .map_err(|error| Cause::Malformed(format_smolstr!("{error}")))?;
        if let Some(error) = chunk.error {
            return Err(Cause::PeerError(format_smolstr!("{error}")));
        }
        for choice in chunk.choices {
            let request = chunk.id.clone();
            if let Some(text) = choice.delta.content.filter(|text| !text.is_empty()) {
                let event =
                    Event::Token { request_id: request.clone(), position: chunk.token, text };
                self.events.push_back(event);
            }
            if let Some(reason) = choice.finish_reason {
                self.events.push_back(Event::Finish {
                    request_id: request,
                    reason,
                    usage: chunk.usage,
                });
            }
        }
        Ok(())
    }
}
