//! Reading the response of a server: its head, the responses to other requests before it, and a body
//! that is not relayed as a stream.

use std::io;

use bytes::BytesMut;
use mgw_event::Kind as EventKind;
use mgw_fleet::roster::ServerKey;
use mgw_http::body::{Decoder, Framing};
use mgw_http::head::{self, Response};
use platform::header;

use crate::clock;
use crate::connection::Connection;
use crate::exchange::{Answer, Failure, Outcome};
use crate::forward::ActiveRequest;
use crate::forward::delivery::Streaming;
use crate::forward::exchange::{Exchange, Stage};
use crate::limit;
use crate::notice;
use crate::verify::{self, LOWEST_FINAL, Verified};

/// Maximum size of a server's response head in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum size in bytes of a response body that is not a stream.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Maximum responses to other requests that are skipped on one connection.
const MAX_FOREIGN_RESPONSES: usize = 2;

/// Maximum size in bytes of the body of a response to another request that is skipped.
const MAX_FOREIGN_BODY_BYTES: usize = 64 << 10;

/// Status of a server that changes to another protocol, which no request asks for.
const SWITCHING_PROTOCOLS: u16 = 101;

/// Maximum interim (1xx) responses that are skipped before a response.
const MAX_INTERIM_RESPONSES: usize = 8;

impl ActiveRequest<'_> {
    /// Reads what is left of the response, after those to other requests.
    pub(super) async fn receive(
        &mut self,
        caller: &mut Connection,
        exchange: &mut Exchange,
    ) -> Result<Outcome, Failure> {
        loop {
            match exchange.stage {
                Stage::Head => self.receive_head(caller, exchange).await?,
                Stage::Foreign { .. } => self.skip_body(caller, exchange).await?,
                Stage::Body { .. } => return self.read_body(caller, exchange).await,
                Stage::Stream { .. } => return self.relay_stream(caller, exchange).await,
            }
        }
    }

    /// Reads the head of the next response. If it is the one to this request, reports the result to
    /// the load of the target.
    async fn receive_head(
        &mut self,
        caller: &mut Connection,
        exchange: &mut Exchange,
    ) -> Result<(), Failure> {
        let response = self.read_head(caller, &mut exchange.connection).await?;
        let metadata = header::parse_response_metadata(&response);
        if metadata.attempt_id.is_some() {
            self.admitted.gateway.with(|state| {
                notice::record(state, &exchange.target.process, &response, &metadata);
            });
        }
        let options = verify::Options {
            attempt_id: &self.admitted.metadata.attempt_id,
            is_repeatable: self.is_repeatable(),
            is_reused: exchange.connection.is_reused,
        };
        match verify::verify(response, &metadata, &options) {
            Ok(verify::Outcome::Answer(head)) => {
                self.record_response(exchange.target.id, head.head(), &metadata);
                exchange.stated_requests = metadata.outstanding_requests;
                self.begin_body(exchange, head)
            }
            Ok(verify::Outcome::Refusal(response)) => {
                self.record_response(exchange.target.id, &response, &metadata);
                drain_refusal(exchange, &response);
                Err(Failure::NotRun { status: response.status })
            }
            Ok(verify::Outcome::Foreign { response, reason }) => {
                self.record_event(EventKind::AnswerDiscarded, &reason);
                begin_skip(exchange, &response)
            }
            Err(verify::Error::UnidentifiedRefusal { status }) => {
                Err(Failure::UnidentifiedRefusal { status })
            }
            Err(verify::Error::NotOfServer { reason }) => {
                self.record_event(EventKind::AnswerDiscarded, &reason);
                Err(Failure::Malformed)
            }
        }
    }

    /// Reports the head of a response to this request to the load of the server `target`.
    fn record_response(
        &self,
        target: ServerKey,
        response: &Response,
        metadata: &header::ResponseMetadata,
    ) {
        self.admitted.gateway.with(|state| {
            let now = clock::now();
            limit::record(state, target, response, metadata);
            let Some(load) = state.roster.load_mut(target) else { return };
            load.clear_avoidance();
            if let Some(requests) = metadata.outstanding_requests {
                load.record_report(requests, now);
            }
            load.record_result(metadata.is_not_executed || response.status >= 500, now);
        });
    }

    /// Begins to read the body of the response to this request.
    fn begin_body(&self, exchange: &mut Exchange, response: Verified) -> Result<(), Failure> {
        let body = BytesMut::new();
        let reservation = self.admitted.gateway.response_bodies.reserve();
        exchange.stage = match self.is_stream(response.head()) {
            true => {
                let decoder = Decoder::new(response.head().framing);
                Stage::Stream { response, decoder, body, reservation }
            }
            false if self.delivery.is_started() => {
                return Err(Failure::NotResumed { status: response.head().status });
            }
            false => {
                let framing = match self.admitted.request.is_head() {
                    true => Framing::Length(0),
                    false => response.head().framing,
                };
                let decoder = Decoder::new(framing);
                Stage::Body { response, decoder, body, reservation }
            }
        };
        Ok(())
    }

    /// Whether a response is a stream for the caller. One without a body is not. One that resumes a
    /// stream must be of the same kind as the first one, whose head the caller has.
    fn is_stream(&self, response: &Response) -> bool {
        let is_same_kind = |stream: &Streaming| {
            response.status == 200 && response.media_type().eq_ignore_ascii_case(&stream.media_type)
        };
        self.admitted.route().kind.is_stream()
            && response.is_success()
            && response.status != 204
            && !self.admitted.request.is_head()
            && self.delivery.stream().is_none_or(is_same_kind)
    }

    /// Reads the head of the next response that is not an interim one.
    async fn read_head(
        &mut self,
        caller: &mut Connection,
        connection: &mut Connection,
    ) -> Result<Response, Failure> {
        let mut interim_count = 0;
        loop {
            match head::parse_response(&mut connection.input, MAX_HEAD_BYTES) {
                Ok(Some(response)) if response.status >= LOWEST_FINAL => return Ok(response),
                Ok(Some(response)) if response.status == SWITCHING_PROTOCOLS => {
                    return Err(Failure::Malformed);
                }
                Ok(Some(_)) if interim_count < MAX_INTERIM_RESPONSES => interim_count += 1,
                Ok(None) => self.read_more(caller, connection).await?,
                Ok(Some(_)) | Err(_) => return Err(Failure::Malformed),
            }
        }
    }

    /// Skips the body of a response to another request.
    async fn skip_body(
        &mut self,
        caller: &mut Connection,
        exchange: &mut Exchange,
    ) -> Result<(), Failure> {
        loop {
            let connection = &mut exchange.connection;
            let Stage::Foreign { decoder, skipped } = &mut exchange.stage else { return Ok(()) };
            decoder.decode(&mut connection.input, skipped).map_err(|_| Failure::Malformed)?;
            if decoder.is_done() {
                exchange.stage = Stage::Head;
                return Ok(());
            }
            if skipped.len() > MAX_FOREIGN_BODY_BYTES {
                return Err(Failure::Malformed);
            }
            self.read_more(caller, connection).await?;
        }
    }

    /// Reads more of a response; the end of the stream is a failure.
    pub(super) async fn read_more(
        &mut self,
        caller: &mut Connection,
        connection: &mut Connection,
    ) -> Result<(), Failure> {
        match self.read_from(caller, connection).await? {
            Ok(0) | Err(_) => Err(Failure::ConnectionLost),
            Ok(_) => Ok(()),
        }
    }

    /// Reads what the server sends next; see [`Connection::read`]. Fails after the deadline even if
    /// the server sends without a pause.
    pub(super) async fn read_from(
        &mut self,
        caller: &mut Connection,
        connection: &mut Connection,
    ) -> Result<io::Result<usize>, Failure> {
        if clock::now() >= self.admitted.deadline {
            return Err(Failure::Deadline);
        }
        let read = self.wait_or_switch(caller, connection.read()).await?;
        if matches!(read, Ok(size) if size > 0) {
            self.current.given_up_at = None;
        }
        Ok(read)
    }

    /// The same for a stream. `is_behind` is [`Exchange::is_behind`], which ends once all is read that
    /// arrived while the caller did not read.
    pub(super) async fn read_stream(
        &mut self,
        caller: &mut Connection,
        connection: &mut Connection,
        is_behind: &mut bool,
    ) -> Result<io::Result<usize>, Failure> {
        if *is_behind && clock::now() < self.admitted.deadline {
            match connection.try_read() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => *is_behind = false,
                received => {
                    self.current.given_up_at = None;
                    return Ok(received);
                }
            }
        }
        self.read_from(caller, connection).await
    }

    /// Reads the whole body of a response that is not a stream. A success that ends with its
    /// connection before its first byte has been broken off.
    async fn read_body(
        &mut self,
        caller: &mut Connection,
        exchange: &mut Exchange,
    ) -> Result<Outcome, Failure> {
        let target = exchange.target.id;
        loop {
            let connection = &mut exchange.connection;
            let Stage::Body { response, decoder, body, reservation } = &mut exchange.stage else {
                return Err(Failure::Malformed);
            };
            decoder.decode(&mut connection.input, body).map_err(|_| Failure::Malformed)?;
            if body.len() > MAX_BODY_BYTES {
                return Err(Failure::Malformed);
            }
            let held = reservation.hold(body.len(), self.admitted.gateway.free_response_bytes);
            held.map_err(|_| Failure::NoMemory)?;
            if decoder.is_done() {
                break;
            }
            match self.read_from(caller, connection).await? {
                Ok(0) if body.is_empty() && response.head().is_success() => {
                    return Err(Failure::ConnectionLost);
                }
                Ok(0) => decoder.finish().map_err(|_| Failure::ConnectionLost)?,
                Ok(_) => self.wait_for_response(target),
                Err(_) => return Err(Failure::ConnectionLost),
            }
        }
        match std::mem::replace(&mut exchange.stage, Stage::Head) {
            Stage::Body { response, body, reservation, .. } => {
                if response.head().is_success() {
                    self.record_answering(true);
                    self.record_service_time(exchange);
                }
                exchange.finish(response.head());
                Ok(Outcome::Answer(Answer { head: response, body, reservation }))
            }
            Stage::Head | Stage::Foreign { .. } | Stage::Stream { .. } => Err(Failure::Malformed),
        }
    }
}

/// Begins to skip the body of a response to another request.
///
/// # Errors
///
/// [`Failure::Malformed`] if there were too many, or if nothing can follow the body, as it ends with
/// the connection.
fn begin_skip(exchange: &mut Exchange, response: &Response) -> Result<(), Failure> {
    let has_too_many = exchange.foreign_responses >= MAX_FOREIGN_RESPONSES;
    if has_too_many || response.framing == Framing::Close {
        return Err(Failure::Malformed);
    }
    exchange.foreign_responses += 1;
    exchange.connection.is_reused = true;
    let decoder = Decoder::new(response.framing);
    exchange.stage = Stage::Foreign { decoder, skipped: BytesMut::new() };
    Ok(())
}

/// Reads the body of a refusal as far as it has arrived. If it is complete, the connection can be
/// reused.
fn drain_refusal(exchange: &mut Exchange, response: &Response) {
    let mut decoder = Decoder::new(response.framing);
    let mut dropped = BytesMut::new();
    let decoded = decoder.decode(&mut exchange.connection.input, &mut dropped);
    if decoded.is_ok() && decoder.is_done() {
        exchange.finish(response);
    }
}
