//! Exchanges that are kept while another server is tried: with servers that have stalled, and with
//! those that an earlier server got ahead of.

use std::io;
use std::time::Duration;

use mgw_base::time::Instant;
use mgw_event::Kind as EventKind;
use mgw_fleet::roster::ServerKey;

use crate::clock;
use crate::connection::Connection;
use crate::crash;
use crate::exchange::{Failure, Outcome};
use crate::forward::ActiveRequest;
use crate::forward::exchange::Exchange;
use crate::in_flight::Wait;

/// Time after a stall for which a server that has not begun to answer is waited for once no other
/// server is left. A sound server may be silent for a second or so.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

impl ActiveRequest<'_> {
    /// Suspends an exchange; `has_stalled` says whether because its server is silent.
    pub(super) fn suspend(&mut self, mut exchange: Exchange, has_stalled: bool) {
        let given_up_at = || clock::now() + SILENCE_TIMEOUT;
        exchange.given_up_at = self.current.given_up_at.or_else(|| has_stalled.then(given_up_at));
        exchange.progress = self.current.progress;
        exchange.partial = self.splitter.take_partial();
        self.attempts.suspended.push(exchange);
    }

    /// Takes the suspended exchange to return to: the one whose server goes on, else one whose server
    /// has not stalled, else the newest one that is worth waiting for.
    pub(super) fn take_suspended(&mut self) -> Option<Exchange> {
        if let Some(exchange) = self.attempts.going_on.take() {
            return Some(exchange);
        }
        if let Some(index) = self.attempts.suspended.iter().position(|it| it.given_up_at.is_none())
        {
            return Some(self.attempts.suspended.remove(index));
        }
        while let Some(exchange) = self.attempts.suspended.pop() {
            if !self.is_given_up(exchange.target.id, exchange.given_up_at) {
                return Some(exchange);
            }
            self.end(exchange);
        }
        None
    }

    /// Whether a server that is waited for until `given_up_at` is not waited for any longer. A stream
    /// that has begun has no other way to be completed, so its server is as long as it is listed.
    pub(super) fn is_given_up(&self, server: ServerKey, given_up_at: Option<Instant>) -> bool {
        let is_listed = || self.admitted.gateway.with(|state| state.roster.get(server).is_some());
        let is_overdue = given_up_at.is_some_and(|at| clock::now() >= at);
        is_overdue && !(self.delivery.is_started() && is_listed())
    }

    /// Whether a server that has not stalled is suspended, so that the request may return to it.
    pub(super) fn has_live_alternative(&self) -> bool {
        self.attempts.suspended.iter().any(|it| it.given_up_at.is_none())
    }

    /// Waits again for the response of a server whose exchange was suspended.
    pub(super) async fn return_to(
        &mut self,
        caller: &mut Connection,
        mut exchange: Exchange,
    ) -> Result<Outcome, Failure> {
        let target = exchange.target.id;
        self.current.target = Some(exchange.target.clone());
        self.current.has_begun_sending = true;
        self.current.progress = exchange.progress;
        let has_begun = self.current.progress.writing_since.is_some();
        self.splitter.return_to(std::mem::take(&mut exchange.partial), has_begun);
        self.current.given_up_at = exchange.given_up_at;
        self.record_event(EventKind::RequestReturned, "waits again for an earlier server");
        match self.current.given_up_at {
            _ if has_begun => self.record_progress(target),
            Some(at) => self.set_wait(Some(target), Wait::Response, at.since(clock::now())),
            None => self.wait_for_response(target),
        }
        self.follow(caller, exchange).await
    }

    /// Ends the suspended exchanges, as the caller gets the answer of another server.
    pub(super) fn end_suspended(&mut self) {
        let exchanges = std::mem::take(&mut self.attempts.suspended);
        for exchange in exchanges.into_iter().chain(self.attempts.going_on.take()) {
            self.end(exchange);
        }
    }

    /// Looks at the input of the suspended exchange at `index`. Returns whether its server goes on;
    /// if its connection has ended instead, the exchange is removed.
    pub(super) fn goes_on(&mut self, index: usize) -> bool {
        let exchange = &mut self.attempts.suspended[index];
        let goes_on = match exchange.connection.try_read() {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
            Ok(0) => exchange.ends_with_connection(),
            Ok(_) => true,
            Err(_) => false,
        };
        let mut exchange = self.attempts.suspended.remove(index);
        if goes_on {
            exchange.given_up_at = None;
            self.attempts.going_on = Some(exchange);
        } else {
            let disconnect = self.disconnect(exchange.target.id, exchange.progress);
            crash::record_disconnect(self.admitted.gateway, exchange.target.address, disconnect);
            self.end(exchange);
        }
        goes_on
    }
}
