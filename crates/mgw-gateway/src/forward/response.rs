//! Responses to the caller: relayed streams, whole responses and local replies.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mgw_event::Kind as EventKind;
use mgw_http::body::Framing;
use mgw_http::write;
use platform::header;
use rand::Rng;

use crate::clock;
use crate::connection::Connection;
use crate::exchange::{Answer, Failure, Outcome};
use crate::forward::delivery::Unsent;
use crate::forward::exchange::{Exchange, Stage};
use crate::forward::{ActiveRequest, Persistence};
use crate::reply::{self, Cause, Reply};
use crate::verify::Verified;

/// Media type of a stream of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// Time that one write to a caller takes from which on what the server sends counts as unread. A
/// server cuts off a response only after seconds.
const UNREAD_TIME: Duration = Duration::from_millis(500);

/// Size in bytes up to which a body is written together with its head, which takes a copy of it.
pub(super) const MAX_COMBINED_BYTES: usize = 16 << 10;

impl ActiveRequest<'_> {
    /// Relays a stream to the caller, one or more complete events at a time, so that it can be
    /// resumed at another server after the last one.
    pub(super) async fn relay_stream(
        &mut self,
        caller: &mut Connection,
        exchange: &mut Exchange,
    ) -> Result<Outcome, Failure> {
        let target = exchange.target.id;
        let resumes = self.delivery.is_started() && self.current.progress.writing_since.is_none();
        let mut output = BytesMut::new();
        loop {
            let connection = &mut exchange.connection;
            let Stage::Stream { response, decoder, body, reservation } = &mut exchange.stage else {
                return Err(Failure::Malformed);
            };
            let head = response.head();
            let must_end_with_event = resumes
                || head.framing == Framing::Close
                || head.media_type().eq_ignore_ascii_case(EVENT_STREAM);
            decoder.decode(&mut connection.input, body).map_err(|_| Failure::Malformed)?;
            let mut events = BytesMut::new();
            self.splitter.push(body, &mut events);
            let free = self.admitted.gateway.free_response_bytes;
            let held = reservation.hold(self.splitter.partial_size(), free);
            held.map_err(|_| Failure::NoMemory)?;
            let is_empty = events.is_empty() && self.current.progress.writing_since.is_none();
            let is_broken_off = self.splitter.is_partial() && must_end_with_event
                || is_empty && head.framing == Framing::Close;
            let is_end = decoder.is_done() && !is_broken_off && !self.splitter.has_stray();
            if is_end {
                events.unsplit(self.splitter.take_partial());
            }
            if !events.is_empty() || is_end {
                self.end_suspended();
                self.record_answering(is_end);
                self.append_events(&mut output, response, &events, is_end);
                let since = clock::now();
                let written = self.write_to_caller(caller, &output).await;
                output.clear();
                written?;
                exchange.is_behind |= clock::now().since(since) >= UNREAD_TIME;
                self.record_progress(target);
            }
            if is_end {
                break;
            }
            if self.splitter.has_stray() || self.splitter.is_oversized() {
                return Err(Failure::Malformed);
            }
            if decoder.is_done() {
                return Err(Failure::ConnectionLost);
            }
            let is_behind = &mut exchange.is_behind;
            let received = self.read_stream(caller, connection, is_behind).await?;
            let lost = if exchange.is_behind { Failure::Unread } else { Failure::ConnectionLost };
            match received {
                Ok(0) => decoder.finish().map_err(|_| lost)?,
                Ok(_) => {}
                Err(_) => return Err(lost),
            }
        }
        if let Stage::Stream { response, .. } = std::mem::replace(&mut exchange.stage, Stage::Head)
        {
            exchange.finish(response.head());
        }
        Ok(Outcome::Streamed)
    }

    /// Appends events to `output` in the framing of the caller's connection, with the head of the
    /// response before the first ones. `is_end` says that the stream ends with them.
    fn append_events(
        &mut self,
        output: &mut BytesMut,
        response: &Verified,
        events: &[u8],
        is_end: bool,
    ) {
        if let Some(unsent) = self.delivery.pass_on_events(response, clock::now()) {
            self.write_head(output, &unsent, response, None);
        }
        let is_chunked = self.admitted.request.is_http_11;
        match is_chunked {
            true => write::chunk(output, events),
            false => output.extend_from_slice(events),
        }
        if is_end && is_chunked {
            output.extend_from_slice(write::LAST_CHUNK);
        }
    }

    /// Writes to the caller. Fails at the deadline, so that a caller that reads slowly does not
    /// hold the request.
    pub(super) async fn write_to_caller(
        &mut self,
        caller: &mut Connection,
        output: &[u8],
    ) -> Result<(), Failure> {
        let wake = Rc::clone(&self.admitted.wake);
        let deadline = self.admitted.deadline;
        tokio::select! {
            biased;
            written = caller.write(output) => written.map_err(|_| Failure::CallerGone),
            () = async {
                loop {
                    wake.notified().await;
                    if clock::now() >= deadline {
                        return;
                    }
                }
            } => Err(Failure::Deadline),
        }
    }

    /// Appends the head of a server's response. Without a `length` the body is chunked, or for an
    /// HTTP/1.0 caller ends with the connection. If the server asks this entry for a pause, the
    /// caller is told when the service takes its requests again. There is one head for each
    /// [`Unsent`].
    fn write_head(
        &self,
        output: &mut BytesMut,
        _unsent: &Unsent,
        response: &Verified,
        length: Option<usize>,
    ) {
        let response = response.head();
        write::status_line(output, response.status);
        let is_forwarded =
            |(name, _): &(&[u8], _)| header::is_forwarded_to_caller(name, response.status);
        let fields = response.fields.iter().filter(is_forwarded);
        fields.for_each(|(name, value)| write::field(output, name, value));
        if header::parse_pause(response).is_some() {
            let spread = self.admitted.gateway.with(|state| state.rng.random::<f64>());
            reply::write_retry_after(output, self.refusal_cause(), spread);
        }
        match length {
            Some(length) => write::number_field(output, "Content-Length", length as u64),
            None if self.admitted.request.is_http_11 => {
                write::field(output, b"Transfer-Encoding", b"chunked");
            }
            None => {}
        }
        if self.admitted.persistence() == Persistence::Close {
            write::field(output, b"Connection", b"close");
        }
        output.extend_from_slice(b"\r\n");
    }

    /// Sends a whole response of a server to the caller, or closes its connection if it has got a
    /// part of another one.
    pub(super) async fn send_answer(
        &mut self,
        caller: &mut Connection,
        answer: Answer,
    ) -> Persistence {
        match self.delivery.take_unsent(clock::now()) {
            Some(unsent) => self.send_whole(caller, &unsent, answer).await,
            None => self.break_off(caller, Cause::ServerFailed),
        }
    }

    async fn send_whole(
        &mut self,
        caller: &mut Connection,
        unsent: &Unsent,
        answer: Answer,
    ) -> Persistence {
        let Answer { head: response, body, reservation: _reservation } = answer;
        let is_combined = body.len() <= MAX_COMBINED_BYTES;
        let combined_size = if is_combined { body.len() } else { 0 };
        let mut output = BytesMut::with_capacity(512 + combined_size);
        let head = response.head();
        let length = match head.framing {
            Framing::Length(length) if self.admitted.request.is_head() => Some(length as usize),
            Framing::Chunked | Framing::Close if self.admitted.request.is_head() => None,
            _ => Some(body.len()),
        };
        self.write_head(&mut output, unsent, &response, length);
        output.extend_from_slice(&body[..combined_size]);
        let mut written = self.write_to_caller(caller, &output).await;
        if written.is_ok() && !is_combined {
            written = self.write_to_caller(caller, &body).await;
        }
        let label = if head.is_success() { "answered" } else { "server_error" };
        self.record_completion(label, head.status);
        match written {
            Ok(()) => self.admitted.persistence(),
            Err(_) => Persistence::Close,
        }
    }

    /// Ends a request after its last attempt has failed: by closing a connection on which a stream
    /// has begun, with an error response that a server gave earlier, or with a local reply.
    pub(super) async fn fail(&mut self, caller: &mut Connection, cause: Cause) -> Persistence {
        match self.delivery.take_unsent(clock::now()) {
            None => self.break_off(caller, cause),
            Some(mut unsent) => match unsent.kept.take() {
                Some(answer) => self.send_whole(caller, &unsent, answer).await,
                None => self.send_reply(caller, unsent, cause).await,
            },
        }
    }

    /// Ends a stream that has begun. An HTTP/1.0 caller, whose stream has no framing, sees by a
    /// reset that it is incomplete.
    fn break_off(&self, caller: &Connection, cause: Cause) -> Persistence {
        self.record_event(EventKind::RequestBroken, cause.name());
        self.admitted.gateway.count("requests", "cut");
        if !self.admitted.request.is_http_11 {
            caller.reset_on_drop();
        }
        Persistence::Close
    }

    /// Sends a local reply.
    async fn send_reply(
        &mut self,
        caller: &mut Connection,
        _unsent: Unsent,
        cause: Cause,
    ) -> Persistence {
        let kind = match self.attempts.may_have_run {
            true => EventKind::RequestBroken,
            false => EventKind::RequestRefused,
        };
        self.record_event(kind, cause.name());
        let spread = self.admitted.gateway.with(|state| {
            state.metrics.count("refused", cause.name());
            state.rng.random::<f64>()
        });
        let mut output = BytesMut::new();
        let reply = Reply {
            cause,
            attempt: &self.admitted.metadata.attempt_id,
            spread,
            is_last: self.admitted.persistence() == Persistence::Close,
            has_body: !self.admitted.request.is_head(),
        };
        reply.write(&mut output);
        match self.write_to_caller(caller, &output).await {
            Ok(()) => self.admitted.persistence(),
            Err(_) => Persistence::Close,
        }
    }
}
