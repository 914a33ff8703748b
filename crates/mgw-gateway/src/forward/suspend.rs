//! Exchanges with servers that have stalled, which are kept while another server is tried.

use std::io;
use std::time::Duration;

use mgw_event::Kind as EventKind;

use crate::clock;
use crate::connection::Connection;
use crate::exchange::{Failure, Outcome};
use crate::forward::ActiveRequest;
use crate::forward::exchange::Exchange;
use crate::in_flight::Wait;

/// Time after a stall for which a server that has not begun to answer is waited for once no other
/// server is left. A sound server may be silent for a second or so.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_500);

impl ActiveRequest<'_> {
    /// Keeps an exchange with a server that has stalled, while another server is tried.
    pub(super) fn suspend(&mut self, mut exchange: Exchange) {
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
}
