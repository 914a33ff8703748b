//! One attempt: sends the request to one server and reads its response.

use std::io;
use std::time::Duration;

use bytes::BytesMut;
use mgw_base::time::Instant;
use mgw_event::Kind as EventKind;
use mgw_fleet::config::Kind;
use mgw_fleet::roster::ServerKey;
use mgw_http::body::{Decoder, Framing};
use mgw_http::head::{self, Response};
use platform::header;

use crate::clock;
use crate::connection::Connection;
use crate::exchange::{Answer, Failure, Outcome};
use crate::forward::exchange::{Exchange, Progress, Reuse, Stage};
use crate::forward::target::Target;
use crate::forward::{ActiveRequest, MIN_ATTEMPT_TIME, NO_TIMEOUT};
use crate::in_flight::Wait;
use crate::limit;

/// Timeout of a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);

/// Maximum size of a server's response head in bytes.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum size in bytes of a response body that is not a stream.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Size in bytes up to which a response body needs no reservation of memory, so that responses
/// without end at other requests do not make it fail.
const MAX_SMALL_BODY_BYTES: usize = 64 << 10;

/// Maximum responses to other requests that are skipped on one connection.
const MAX_FOREIGN_RESPONSES: usize = 2;

/// Maximum size in bytes of the body of a response to another request that is skipped.
const MAX_FOREIGN_BODY_BYTES: usize = 64 << 10;

/// Maximum interim (1xx) responses that are skipped before a response.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Stall timeout of an idempotent request, as a multiple of its route's latency target.
const LATENCY_TARGETS_PER_ATTEMPT: u32 = 2;

/// Time without the first event after which a resumable stream may move to another group.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Time after a stall for which a server that has not begun to answer is waited for once no other
/// server is left. A sound server may be silent for a second or so.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

impl ActiveRequest<'_> {
    /// Makes an attempt at `target`, which is counted in the target's requests in flight meanwhile.
    pub(super) async fn attempt(
        &mut self,
        caller: &mut Connection,
        target: Target,
    ) -> Result<Outcome, Failure> {
        self.gateway.with(|state| {
            limit::record_sent(state, target.id);
            if let Some(load) = state.roster.load_mut(target.id) {
                load.in_flight += 1;
            }
        });
        self.tried.push(target.id);
        self.target = Some(target.clone());
        self.has_begun_sending = false;
        self.progress = Progress::default();
        self.given_up_at = None;
        match self.open(caller, &target).await {
            Ok(exchange) => self.follow(caller, exchange).await,
            Err(failure) => {
                self.set_wait(None, Wait::Nothing, NO_TIMEOUT);
                self.leave_target(target.id);
                Err(failure)
            }
        }
    }

    /// Connects to `target` and sends the request.
    async fn open(
        &mut self,
        caller: &mut Connection,
        target: &Target,
    ) -> Result<Exchange, Failure> {
        let mut connection = self.connect(caller, target).await?;
        self.attempts += 1;
        let now = clock::now();
        if self.attempts == 1 {
            self.gateway.with(|state| state.retry_budgets.count_request(&self.service, now));
        }
        self.set_wait(Some(target.id), Wait::Response, self.response_timeout());
        let output = self.encode_request(target, now);
        let is_fully_sent = self.send_request(caller, &mut connection, &output).await?;
        // A HEAD response that is sent once more could be taken for the head of the next one.
        let allows_reuse = is_fully_sent && !self.request.is_head();
        Ok(Exchange::new(target.clone(), connection, allows_reuse))
    }

    /// Time without the head of a response after which the request may move to another server.
    fn response_timeout(&self) -> Duration {
        match self.route().kind {
            Kind::AtMostOnce | Kind::Stream => NO_TIMEOUT,
            Kind::Idempotent => {
                (self.route().latency_target * LATENCY_TARGETS_PER_ATTEMPT).max(MIN_ATTEMPT_TIME)
            }
            Kind::ResumableStream => FIRST_EVENT_TIMEOUT,
        }
    }

    /// Reads or relays the rest of the response. If the server has stalled, the exchange is kept, as
    /// the server may go on before another one answers.
    pub(super) async fn follow(
        &mut self,
        caller: &mut Connection,
        mut exchange: Exchange,
    ) -> Result<Outcome, Failure> {
        let result = self.receive(caller, &mut exchange).await;
        self.set_wait(None, Wait::Nothing, NO_TIMEOUT);
        match result {
            Err(Failure::Stalled) => self.suspend(exchange),
            _ => self.end(exchange),
        }
        result
    }

    /// Reads the head of the response, unless it has been read, and then its body.
    async fn receive(
        &mut self,
        caller: &mut Connection,
        exchange: &mut Exchange,
    ) -> Result<Outcome, Failure> {
        if matches!(exchange.stage, Stage::Head) {
            self.receive_head(caller, exchange).await?;
        }
        match exchange.stage {
            Stage::Head | Stage::Body { .. } => self.read_body(caller, exchange).await,
            Stage::Stream { .. } => self.relay_stream(caller, exchange).await,
        }
    }

    /// Reads the head of the response and reports the result to the load of the target.
    async fn receive_head(
        &mut self,
        caller: &mut Connection,
        exchange: &mut Exchange,
    ) -> Result<(), Failure> {
        let target = exchange.target.id;
        let (response, response_metadata) =
            self.read_head(caller, &mut exchange.connection).await?;
        self.gateway.with(|state| {
            let now = clock::now();
            limit::record(state, target, &response, &response_metadata);
            let Some(load) = state.roster.load_mut(target) else { return };
            load.clear_avoidance();
            if let Some(requests) = response_metadata.outstanding_requests {
                load.record_report(requests, now);
            }
            let is_failure = response_metadata.is_not_executed || response.status >= 500;
            load.record_result(is_failure, now);
        });
        if response_metadata.is_not_executed {
            drain_refusal(exchange, &response);
            return Err(Failure::NotRun { status: response.status });
        }
        let body = BytesMut::new();
        exchange.stage = match self.is_stream(&response) {
            true => {
                let decoder = Decoder::new(response.framing);
                Stage::Stream { response, decoder, body }
            }
            false if self.is_started => {
                return Err(Failure::NotResumed { status: response.status });
            }
            false => {
                let framing = match self.request.is_head() {
                    true => Framing::Length(0),
                    false => response.framing,
                };
                let decoder = Decoder::new(framing);
                let reservation = self.gateway.response_bodies.reserve();
                Stage::Body { response, decoder, body, reservation }
            }
        };
        Ok(())
    }

    /// Whether a response is a stream for the caller. One without a body is not. One that resumes a
    /// stream must be of the same kind as the first one, whose head the caller has.
    fn is_stream(&self, response: &Response) -> bool {
        let is_same_kind =
            response.status == 200 && response.media_type().eq_ignore_ascii_case(&self.media_type);
        self.route().kind.is_stream()
            && response.is_success()
            && response.status != 204
            && !self.request.is_head()
            && (!self.is_started || is_same_kind)
    }

    /// Takes an idle connection to `target` from the pool or opens a new one. The response to a
    /// request without an attempt id can be told from others only on a new one.
    pub(super) async fn connect(
        &mut self,
        caller: &mut Connection,
        target: &Target,
    ) -> Result<Connection, Failure> {
        let now = clock::now();
        let pooled = match self.metadata.attempt_id.is_empty() {
            true => None,
            false => self.gateway.with(|state| state.pool.take(target.id, now)),
        };
        if let Some(connection) = pooled {
            return Ok(connection);
        }
        self.gateway.count("connections", "opened");
        let connecting = Connection::connect(target.address, CONNECT_TIMEOUT);
        self.wait(caller, connecting).await?.map_err(|_| Failure::Connect)
    }

    /// The bytes of the request for `target`, with the time left until the deadline as of `now`.
    pub(super) fn encode_request(&self, target: &Target, now: Instant) -> BytesMut {
        let mut output = BytesMut::with_capacity(1_024 + self.body.len());
        let time_left =
            Duration::from_micros(self.deadline.as_micros().saturating_sub(now.as_micros()));
        let upstream = header::UpstreamMetadata {
            timeout: time_left,
            server_id: &target.name,
            team: self.team.as_deref(),
            last_event_id: self.splitter.last_id().or(self.metadata.last_event_id),
            priority: Some(self.priority),
            body_length: self.body.len(),
        };
        header::write_upstream_head(&mut output, self.request, &upstream);
        output.extend_from_slice(&self.body);
        output
    }

    /// Sends the request. Returns false if the server responded or closed the connection before all
    /// was sent.
    pub(super) async fn send_request(
        &mut self,
        caller: &mut Connection,
        connection: &mut Connection,
        output: &[u8],
    ) -> Result<bool, Failure> {
        self.has_begun_sending = true;
        self.wait(caller, connection.send(output)).await?.map_err(|_| Failure::ConnectionLost)
    }

    /// Reads the head of the response to this request. Responses that name another attempt are
    /// skipped, as are interim (1xx) ones, up to a limit of each.
    ///
    /// A response without an attempt id is taken for that of this request only if no other one can
    /// arrive on the connection; otherwise it is skipped. After such a refusal, a request that may
    /// be repeated fails, so that it is sent to another server, and any other one waits.
    pub(super) async fn read_head(
        &mut self,
        caller: &mut Connection,
        connection: &mut Connection,
    ) -> Result<(Response, header::ResponseMetadata), Failure> {
        for _ in 0..=MAX_FOREIGN_RESPONSES {
            let response = self.read_next_head(caller, connection).await?;
            let response_metadata = header::parse_response_metadata(&response);
            let status = response.status;
            let text = match &response_metadata.attempt_id {
                Some(attempt) if *attempt != self.metadata.attempt_id => {
                    format!("response to attempt {attempt}, status {status}")
                }
                None if connection.is_reused
                    && response_metadata.is_not_executed
                    && self.route().kind.is_repeatable() =>
                {
                    return Err(Failure::UnidentifiedRefusal { status });
                }
                None if connection.is_reused => {
                    format!("response without an attempt id, status {status}")
                }
                Some(_) | None => return Ok((response, response_metadata)),
            };
            self.record_event(EventKind::AnswerDiscarded, &text);
            self.skip_body(caller, connection, response.framing).await?;
            connection.is_reused = true;
        }
        Err(Failure::Malformed)
    }

    /// Reads the head of the next response that is not an interim one.
    async fn read_next_head(
        &mut self,
        caller: &mut Connection,
        connection: &mut Connection,
    ) -> Result<Response, Failure> {
        let mut interim_count = 0;
        loop {
            match head::parse_response(&mut connection.input, MAX_HEAD_BYTES) {
                Ok(Some(response)) if response.status >= 200 => return Ok(response),
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
        connection: &mut Connection,
        framing: Framing,
    ) -> Result<(), Failure> {
        // Nothing can follow a body that ends with the connection.
        if framing == Framing::Close {
            return Err(Failure::Malformed);
        }
        let (mut decoder, mut skipped) = (Decoder::new(framing), BytesMut::new());
        loop {
            decoder.decode(&mut connection.input, &mut skipped).map_err(|_| Failure::Malformed)?;
            if decoder.is_done() {
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
        if clock::now() >= self.deadline {
            return Err(Failure::Deadline);
        }
        self.wait(caller, connection.read()).await
    }

    /// Reads the whole body of a response that is not a stream. A success that ends with its
    /// connection before its first byte has been broken off.
    async fn read_body(
        &mut self,
        caller: &mut Connection,
        exchange: &mut Exchange,
    ) -> Result<Outcome, Failure> {
        loop {
            let connection = &mut exchange.connection;
            let Stage::Body { response, decoder, body, reservation } = &mut exchange.stage else {
                return Err(Failure::Malformed);
            };
            decoder.decode(&mut connection.input, body).map_err(|_| Failure::Malformed)?;
            match body.len() {
                size if size > MAX_BODY_BYTES => return Err(Failure::Malformed),
                size if size > MAX_SMALL_BODY_BYTES => {
                    reservation.grow_to(size).map_err(|_| Failure::Malformed)?;
                }
                _ => {}
            }
            if decoder.is_done() {
                break;
            }
            match self.read_from(caller, connection).await? {
                Ok(0) if body.is_empty() && response.is_success() => {
                    return Err(Failure::ConnectionLost);
                }
                Ok(0) => decoder.finish().map_err(|_| Failure::ConnectionLost)?,
                Ok(_) => {}
                Err(_) => return Err(Failure::ConnectionLost),
            }
        }
        match std::mem::replace(&mut exchange.stage, Stage::Head) {
            Stage::Body { response, body, reservation, .. } => {
                if response.is_success() {
                    self.record_answering(true);
                }
                exchange.finish(&response);
                Ok(Outcome::Answer(Answer { head: response, body, reservation }))
            }
            Stage::Head | Stage::Stream { .. } => Err(Failure::Malformed),
        }
    }

    /// Keeps an exchange with a server that has stalled, while another server is tried.
    fn suspend(&mut self, mut exchange: Exchange) {
        let given_up_at = clock::now() + SILENCE_TIMEOUT;
        exchange.given_up_at = exchange.given_up_at.or(Some(given_up_at));
        exchange.progress = self.progress;
        exchange.partial = self.splitter.take_partial();
        self.suspended.push(exchange);
    }

    /// Takes the newest suspended exchange that is worth waiting for: with a server that has sent
    /// something, or that has not been silent for too long. A stream that has begun has no other
    /// way to be completed.
    pub(super) fn take_suspended(&mut self) -> Option<Exchange> {
        let now = clock::now();
        while let Some(exchange) = self.suspended.pop() {
            let is_given_up = exchange.given_up_at.is_some_and(|at| now >= at);
            if self.is_started || !is_given_up || !exchange.connection.input.is_empty() {
                return Some(exchange);
            }
            self.end(exchange);
        }
        None
    }

    /// Waits again for the response of a server that had stalled.
    pub(super) async fn return_to(
        &mut self,
        caller: &mut Connection,
        mut exchange: Exchange,
    ) -> Result<Outcome, Failure> {
        let now = clock::now();
        self.target = Some(exchange.target.clone());
        self.has_begun_sending = true;
        self.progress = exchange.progress;
        let has_begun = self.progress.writing_since.is_some();
        self.splitter.return_to(std::mem::take(&mut exchange.partial), has_begun);
        self.given_up_at = exchange.given_up_at.filter(|_| !self.is_started);
        self.record_event(EventKind::RequestReturned, "waits again for a server that had stalled");
        match (self.progress.writing_since, self.given_up_at) {
            (Some(_), _) => self.record_progress(exchange.target.id),
            (None, Some(at)) => {
                self.set_wait(Some(exchange.target.id), Wait::Response, at.since(now));
            }
            (None, None) => {
                self.set_wait(Some(exchange.target.id), Wait::Response, self.response_timeout());
            }
        }
        self.follow(caller, exchange).await
    }

    /// Ends the exchanges with servers that had stalled, as another one has answered.
    pub(super) fn end_suspended(&mut self) {
        for exchange in std::mem::take(&mut self.suspended) {
            self.end(exchange);
        }
    }

    /// Whether the server of the suspended exchange at `index` has sent something. If so, it becomes
    /// the newest one; if its connection has ended, it is removed.
    pub(super) fn goes_on(&mut self, index: usize) -> bool {
        match self.suspended[index].connection.try_read() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => false,
            Ok(0) | Err(_) => {
                let exchange = self.suspended.remove(index);
                self.end(exchange);
                false
            }
            Ok(_) => {
                let newest = self.suspended.len() - 1;
                self.suspended.swap(index, newest);
                true
            }
        }
    }

    /// Ends an exchange. Its connection is returned to the pool if it can be reused.
    fn end(&self, exchange: Exchange) {
        let id = exchange.target.id;
        if let Reuse::Idle { timeout } = exchange.reuse {
            let now = clock::now();
            self.gateway.with(|state| state.pool.put(id, exchange.connection, timeout, now));
        }
        self.leave_target(id);
    }

    /// Counts the request as no longer in flight at a target.
    fn leave_target(&self, id: ServerKey) {
        self.gateway.with(|state| {
            if let Some(load) = state.roster.load_mut(id) {
                load.in_flight = load.in_flight.saturating_sub(1);
            }
        });
    }
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
