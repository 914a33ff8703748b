//! Reads the server-sent events of a chat completion.

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

/// Wait for the end of the body after the final marker, which most peers send together. It delays
/// the final event, and a connection whose body has not ended by then is closed.
const END_WAIT: Duration = Duration::from_millis(5);

#[derive(Deserialize)]
struct Chunk {
    #[serde(default)]
    id: SmolStr,
    #[serde(default)]
    choices: Vec<Choice>,
    usage: Option<Usage>,
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

struct Reader {
    response: ClientResponse,
    options: Options,
    peer: SmolStr,
    /// Time allowed until the next chunk of the body.
    patience: Duration,
    received: usize,
    buffer: BytesMut,
    /// Start of the part of `buffer` that was not yet searched for a line feed.
    searched: usize,
    events: VecDeque<Event>,
    ended: bool,
}

/// The events of `response`, of which the first may take `first`.
pub(super) fn read(
    response: ClientResponse,
    options: Options,
    first: Duration,
    peer: SmolStr,
) -> LocalBoxStream<'static, Result<Event, Error>> {
    let reader = Reader {
        response,
        options,
        peer,
        patience: first,
        received: 0,
        buffer: BytesMut::new(),
        searched: 0,
        events: VecDeque::new(),
        ended: false,
    };
    stream::unfold(reader, |mut reader| async move {
        if reader.ended {
            return None;
        }
        let result = reader.next().await;
        reader.ended = matches!(result, Ok(Event::Done) | Err(_));
        let result =
            result.map_err(|cause| Error::new("read a completion", reader.peer.clone(), cause));
        Some((result, reader))
    })
    .boxed_local()
}

impl Reader {
    async fn next(&mut self) -> Result<Event, Cause> {
        loop {
            if let Some(event) = self.events.pop_front() {
                if event == Event::Done {
                    self.finish().await;
                }
                return Ok(event);
            }
            match self.line() {
                Some(line) => self.parse(&line)?,
                None => self.fill().await?,
            }
        }
    }

    /// Reads the regular end of the body, so that the connection can be used again.
    async fn finish(&mut self) {
        let _ = transport::chunk(&mut self.response, END_WAIT).await;
    }

    /// Reads the next chunk of the body into the buffer.
    async fn fill(&mut self) -> Result<(), Cause> {
        if self.buffer.len() > self.options.max_body_bytes {
            return Err(Cause::TooLarge { limit: self.options.max_body_bytes });
        }
        let chunk = transport::chunk(&mut self.response, self.patience).await?;
        self.patience = self.options.idle_timeout;
        let chunk = chunk.ok_or(Cause::Truncated)?;
        self.received += chunk.len();
        if self.received > self.options.max_stream_bytes {
            return Err(Cause::TooLarge { limit: self.options.max_stream_bytes });
        }
        self.buffer.extend_from_slice(&chunk);
        Ok(())
    }

    /// Takes a complete line without its end from the buffer.
    fn line(&mut self) -> Option<BytesMut> {
        let found = self.buffer[self.searched..].iter().position(|byte| *byte == b'\n');
        let Some(found) = found else {
            self.searched = self.buffer.len();
            return None;
        };
        let mut line = self.buffer.split_to(self.searched + found);
        self.buffer.advance(1);
        self.searched = 0;
        if line.last() == Some(&b'\r') {
            line.truncate(line.len() - 1);
        }
        Some(line)
    }

    /// Queues the events of one line; lines other than `data` carry none.
    fn parse(&mut self, line: &[u8]) -> Result<(), Cause> {
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
