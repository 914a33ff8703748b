//! What becomes known of a request on its way: failures, progress, completion, and events.

use std::time::Duration;

use mgw_event::Kind as EventKind;
use mgw_event::event::Body;
use mgw_fleet::config::Kind;
use mgw_fleet::roster::ServerKey;
use mgw_route::poison::SETTLE_TIME;
use mgw_route::quarantine::InFlight;

use crate::blame::Blame;
use crate::clock;
use crate::crash::{self, Disconnect};
use crate::exchange::Failure;
use crate::forward::exchange::Progress;
use crate::forward::{ActiveRequest, NO_TIMEOUT, Next};
use crate::in_flight::Wait;
use crate::notice::MISDIRECTED;

/// Time for which new requests avoid a server after a failed connection to it or a 421 response.
const UNREACHABLE_COOLDOWN: Duration = Duration::from_millis(1_000);

/// Failure rate above which a server that sends bytes which are no response is avoided, and for how
/// long. A server that spoils a response now and then is not.
const MALFORMED_RATE: f64 = 0.25;
const MALFORMED_COOLDOWN: Duration = Duration::from_millis(1_000);

/// Time without an event after which a resumable stream may move to another group, even if other
/// streams of the present group make progress.
const NEXT_EVENT_TIMEOUT: Duration = Duration::from_millis(1_500);

impl ActiveRequest<'_> {
    /// Records the failure of an attempt: for the request, the load of the target, the pool and the
    /// detection of crashes.
    pub(super) fn record_failure(&mut self, failure: Failure) {
        let Some(target) = self.current.target.clone() else { return };
        self.attempts.may_have_run |= self.current.has_begun_sending && failure.may_have_run();
        let now = clock::now();
        self.splitter.resume();
        if matches!(failure, Failure::NotRun { .. } | Failure::UnidentifiedRefusal { .. }) {
            self.attempts.refused += 1;
        }
        if failure == (Failure::NotRun { status: MISDIRECTED }) {
            self.attempts.misdirected += 1;
        }
        if failure == Failure::ConnectionLost && self.current.has_begun_sending {
            let disconnect = self.disconnect(target.id, self.current.progress);
            crash::record_disconnect(self.admitted.gateway, target.address, disconnect);
        }
        self.admitted.gateway.with(|state| {
            if matches!(failure, Failure::Connect | Failure::ConnectionLost) {
                state.pool.close_idle(target.id);
            }
            match failure {
                Failure::Unread => state.metrics.count("lost", "unread"),
                Failure::NoMemory => state.metrics.count("lost", "no_memory"),
                _ => {}
            }
            let Some(load) = state.roster.load_mut(target.id) else { return };
            match failure {
                Failure::Connect => load.avoid_until(now + UNREACHABLE_COOLDOWN),
                Failure::Malformed => {
                    load.record_result(true, now);
                    if load.failure_rate(now) > MALFORMED_RATE {
                        load.avoid_until(now + MALFORMED_COOLDOWN);
                    }
                }
                Failure::ConnectionLost | Failure::UnidentifiedRefusal { .. } => {
                    load.record_result(true, now);
                }
                Failure::NotRun { status: MISDIRECTED } => {
                    load.avoid_until(now + UNREACHABLE_COOLDOWN)
                }
                _ => {}
            }
        });
    }

    /// The loss of the connection to `server`, which had made `progress`.
    pub(super) fn disconnect(&self, server: ServerKey, progress: Progress) -> Disconnect {
        let now = clock::now();
        Disconnect {
            server,
            request: InFlight {
                fingerprint: self.admitted.fingerprint,
                suspect: self.admitted.caution.is_suspect,
            },
            attempt_id: self.admitted.metadata.attempt_id.clone(),
            shared_parts: self.admitted.shared_parts.clone(),
            writing_for: progress.writing_since.map(|since| now.since(since)),
        }
    }

    /// Records that the request is sent to another server after `failure`.
    pub(super) fn record_retry(&self, next: Next, failure: Failure) {
        let kind = match (next, self.delivery.is_started()) {
            (Next::Suspended, _) => return,
            (Next::Target, true) => EventKind::RequestResumed,
            (Next::Target, false) => EventKind::RequestRetried,
        };
        let server = self
            .current
            .target
            .as_ref()
            .map(|target| target.process.id.as_str())
            .unwrap_or_default();
        self.record_event(kind, &format!("{failure} at {server}"));
    }

    /// Sets what the request waits for in the table of requests in flight, and restarts its stall
    /// timeout.
    pub(super) fn set_wait(&self, target: Option<ServerKey>, wait: Wait, stall_timeout: Duration) {
        let now = clock::now();
        self.admitted.gateway.with(|state| {
            let Some(in_flight) = state.requests.get_mut(self.admitted.request_key) else { return };
            in_flight.set_wait(target, wait, stall_timeout, now);
        });
    }

    /// Records that the server of the present attempt has sent a part of its answer. Once it has
    /// answered for [`SETTLE_TIME`] or up to the end, the request and the parts of its prompt are
    /// cleared.
    pub(super) fn record_answering(&mut self, is_complete: bool) {
        let now = clock::now();
        self.record_work_events(now);
        if self.current.progress.writing_since.is_none() {
            self.record_first_event(now);
        }
        let began = *self.current.progress.writing_since.get_or_insert(now);
        if !self.current.progress.has_settled && (is_complete || now.since(began) >= SETTLE_TIME) {
            self.current.progress.has_settled = true;
            let has_news = self.admitted.gateway.with(|state| {
                state.poison.record_answer(&self.admitted.shared_parts, began, now);
                state.record_poison_changes();
                let fingerprint = self.admitted.fingerprint;
                let refuted = state.quarantine.record_answer(fingerprint, began, now);
                let has_news = !refuted.is_empty();
                state.publish_blames(refuted.into_iter().map(Blame::Refuted));
                has_news
            });
            if has_news {
                // Sends a heartbeat at once, so that the other entries learn of it.
                self.admitted.gateway.heartbeat_due.send_replace(());
            }
        }
    }

    /// Records that a part of the stream from `target` has been relayed, and waits for the next
    /// event.
    pub(super) fn record_progress(&self, target: ServerKey) {
        let stall_timeout = match self.admitted.route().kind {
            Kind::ResumableStream => NEXT_EVENT_TIMEOUT,
            _ => NO_TIMEOUT,
        };
        self.set_wait(Some(target), Wait::Event, stall_timeout);
    }

    /// Records the latencies of a request whose response is complete.
    pub(super) fn record_completion(&self, label: &'static str, status: u16) {
        let now = clock::now();
        let whole = now.since(self.admitted.arrived);
        let longest_gap = self.delivery.longest_gap();
        let first = self.delivery.first_sent().map_or(whole, |at| at.since(self.admitted.arrived));
        self.admitted.gateway.with(|state| {
            state.metrics.count("requests", label);
            state.metrics.latency("first_byte", first);
            state.metrics.latency("answer", whole);
            state.metrics.latency("pause", longest_gap);
        });
        let prediction = self.prediction_text();
        let text = format!(
            "{label} {status}, first byte {} ms{prediction}, longest gap {} ms, total {} ms",
            first.as_millis(),
            longest_gap.as_millis(),
            whole.as_millis()
        );
        self.record_event(EventKind::RequestCompleted, &text);
    }

    /// Records an event about the request, with its route, attempts, target and age.
    pub(super) fn record_event(&self, kind: EventKind, text: &str) {
        let now = clock::now();
        let age = now.since(self.admitted.arrived).as_millis();
        let route = &self.admitted.route().name;
        let (server, load) = match &self.current.target {
            Some(target) => (target.process.id.as_str(), target.requests),
            None => ("", 0.0),
        };
        self.admitted.gateway.with(|state| {
            let proof = state.config_proof.age(now).map_or(0, |age| age.as_millis());
            let text = format!(
                "{text}; route {route}, config {} proven {proof} ms ago, attempt {}, \
                 target load {load:.1}, age {age} ms",
                self.admitted.config.version, self.attempts.sent
            );
            let event = Body::new(kind)
                .request(&self.admitted.metadata.attempt_id)
                .instance(server)
                .team(self.admitted.team.as_deref().unwrap_or_default())
                .text(text);
            state.journal.record(event);
        });
    }
}
