//! One attempt: sends the request to one server and follows its response.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use mgw_base::time::Instant;
use mgw_fleet::attempt;
use mgw_fleet::roster::{Phase, ServerKey};
use platform::header;

use crate::clock;
use crate::connection::Connection;
use crate::exchange::{Failure, Outcome};
use crate::forward::exchange::{Exchange, Progress, Reuse};
use crate::forward::response::MAX_COMBINED_BYTES;
use crate::forward::target::Target;
use crate::forward::{ActiveRequest, NO_TIMEOUT};
use crate::gateway::State;
use crate::in_flight::Wait;
use crate::limit;
use crate::plain_work;

/// Timeout of a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(450);

/// Whether `target` is still listed, and neither draining nor leaving.
fn is_ready(state: &State, target: &Target) -> bool {
    state.roster.get(target.id).is_some_and(|server| server.phase() == Phase::Ready)
}

/// Whether `target` is still listed and takes requests, and its zone is not evacuated.
fn takes_requests(state: &State, target: &Target) -> bool {
    let now = clock::now();
    state.roster.get(target.id).is_some_and(|server| {
        server.takes_requests(now) && !state.evacuations.contains(&server.record.zone)
    })
}

impl ActiveRequest<'_> {
    /// Makes an attempt at `target`, which is counted in the target's requests in flight meanwhile.
    pub(super) async fn attempt(
        &mut self,
        caller: &mut Connection,
        target: Target,
    ) -> Result<Outcome, Failure> {
        self.admitted.gateway.with(|state| {
            limit::record_sent(state, target.id);
            if let Some(load) = state.roster.load_mut(target.id) {
                load.in_flight += 1;
            }
            if let Some(sent) = target.sent {
                plain_work::record_sent(state, target.id, sent);
            }
        });
        self.record_work_sent(&target);
        self.attempts.tried.push(target.id);
        self.current.target = Some(target.clone());
        self.current.has_begun_sending = false;
        self.current.progress = Progress::default();
        self.current.given_up_at = None;
        self.current.sent_at = Some(clock::now());
        match self.open(caller, &target).await {
            Ok(exchange) => self.follow(caller, exchange).await,
            Err(failure) => {
                self.set_wait(None, Wait::Nothing, NO_TIMEOUT);
                self.leave_target(&target);
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
        self.attempts.sent += 1;
        let now = clock::now();
        if self.attempts.sent == 1 {
            self.admitted
                .gateway
                .with(|state| state.retry_budgets.count_request(&self.admitted.service, now));
        }
        self.wait_for_response(target.id);
        let (head, body) = self.encode_request(target, now);
        let is_fully_sent = self.send_request(caller, &mut connection, &head, &body).await?;
        // A HEAD response that is sent once more could be taken for the head of the next one.
        let allows_reuse = is_fully_sent && !self.admitted.request.is_head();
        Ok(Exchange::new(target.clone(), connection, allows_reuse, now))
    }

    /// Waits for the response of a server, or for more of it, from now on.
    pub(super) fn wait_for_response(&self, target: ServerKey) {
        let timeout = attempt::response_timeout(self.admitted.route()).unwrap_or(NO_TIMEOUT);
        self.set_wait(Some(target), Wait::Response, timeout);
    }

    /// Reads or relays the rest of the response. If the server has stalled, or an earlier one goes on,
    /// the exchange is suspended: any of them may be the first to answer.
    pub(super) async fn follow(
        &mut self,
        caller: &mut Connection,
        mut exchange: Exchange,
    ) -> Result<Outcome, Failure> {
        let result = self.receive(caller, &mut exchange).await;
        self.set_wait(None, Wait::Nothing, NO_TIMEOUT);
        match result {
            Err(Failure::Stalled) => self.suspend(exchange, true),
            Err(Failure::Superseded) => self.suspend(exchange, false),
            _ => self.end(exchange),
        }
        result
    }

    /// Takes an idle connection to `target` from the pool or opens a new one. The response to a
    /// request without an attempt id can be told from others only on a new one. Fails if the target
    /// has stopped taking requests once it is open.
    pub(super) async fn connect(
        &mut self,
        caller: &mut Connection,
        target: &Target,
    ) -> Result<Connection, Failure> {
        let now = clock::now();
        let pooled = match self.admitted.metadata.attempt_id.is_empty() {
            true => None,
            false => self.admitted.gateway.with(|state| state.pool.take(target.id, now)),
        };
        if let Some(connection) = pooled {
            return Ok(connection);
        }
        self.admitted.gateway.count("connections", "opened");
        let connecting = Connection::connect(target.address, CONNECT_TIMEOUT);
        let connection = self.wait(caller, connecting).await?.map_err(|_| Failure::Connect)?;
        match self.admitted.gateway.with(|state| takes_requests(state, target)) {
            true => Ok(connection),
            false => Err(Failure::Withdrawn),
        }
    }

    /// The bytes of the request for `target`, with the time left until the deadline as of `now`: the
    /// head, with the body if it is small, and otherwise the body, which is not copied.
    pub(super) fn encode_request(&self, target: &Target, now: Instant) -> (BytesMut, Bytes) {
        let mut body = self.admitted.body.clone();
        let combined = match body.len() {
            ..=MAX_COMBINED_BYTES => std::mem::take(&mut body),
            _ => Bytes::new(),
        };
        let mut output = BytesMut::with_capacity(1_024 + combined.len());
        let time_left = Duration::from_micros(
            self.admitted.deadline.as_micros().saturating_sub(now.as_micros()),
        );
        let upstream = header::UpstreamMetadata {
            timeout: time_left,
            server_id: &target.process.id,
            team: self.admitted.team.as_deref(),
            last_event_id: self.splitter.last_id().or(self.admitted.metadata.last_event_id),
            priority: Some(self.admitted.priority),
            body_length: self.admitted.body.len(),
        };
        header::write_upstream_head(&mut output, self.admitted.request, &upstream);
        output.extend_from_slice(&combined);
        (output, body)
    }

    /// Sends the request. Returns false if the server responded or closed the connection before all
    /// was sent.
    pub(super) async fn send_request(
        &mut self,
        caller: &mut Connection,
        connection: &mut Connection,
        head: &[u8],
        body: &[u8],
    ) -> Result<bool, Failure> {
        self.current.has_begun_sending = true;
        let sending = async { Ok(connection.send(head).await? && connection.send(body).await?) };
        let sent: io::Result<bool> = self.wait(caller, sending).await?;
        sent.map_err(|_| Failure::ConnectionLost)
    }

    /// Ends an exchange. Its connection is returned to the pool if it can be reused.
    pub(super) fn end(&self, exchange: Exchange) {
        let Exchange { target, connection, reuse, .. } = exchange;
        if let Reuse::Idle { timeout } = reuse {
            let now = clock::now();
            self.admitted.gateway.with(|state| {
                if is_ready(state, &target) {
                    state.pool.put(target.id, connection, timeout, now);
                }
            });
        }
        self.leave_target(&target);
    }

    /// Counts the request as no longer in flight at a target.
    fn leave_target(&self, target: &Target) {
        self.admitted.gateway.with(|state| {
            if let Some(load) = state.roster.load_mut(target.id) {
                load.in_flight = load.in_flight.saturating_sub(1);
            }
            if let Some(sent) = target.sent {
                plain_work::record_left(state, target.id, sent);
            }
            state.admission.wake_next(clock::now());
        });
    }
}
