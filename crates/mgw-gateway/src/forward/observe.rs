//! What a request shows of the work of the group that it is sent to.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_fleet::roster::ServerKey;

use crate::clock;
use crate::forward::ActiveRequest;
use crate::forward::exchange::Exchange;
use crate::forward::target::Target;
use crate::plain_work::{self, Answer};
use crate::work;

/// The last event that a stream got from its present server.
#[derive(Clone, Copy, Debug)]
pub(super) struct LastEvent {
    target: ServerKey,
    at: Instant,
    /// What the server had to read then.
    reading: Duration,
}

impl ActiveRequest<'_> {
    /// Records that the request is sent to `target`.
    pub(super) fn record_work_sent(&self, target: &Target) {
        let Some(prediction) = &target.prediction else { return };
        let gateway = self.admitted.gateway;
        if gateway.with(|state| work::record_sent(state, target.id, prediction)) {
            gateway.work_news_due.notify_one();
        }
    }

    /// Records that the present server has sent events, or its whole response, by `now`.
    pub(super) fn record_work_events(&mut self, now: Instant) {
        let Some(target) = &self.current.target else { return };
        let Some(prediction) = target.prediction else { return };
        let (id, last) = (target.id, self.current.last_event);
        let is_first = self.current.progress.writing_since.is_none();
        let gateway = self.admitted.gateway;
        let (reading, has_news) = gateway.with(|state| {
            if is_first && let Some(sent_at) = self.current.sent_at {
                let error = now.since(sent_at).abs_diff(prediction.first_event);
                state.metrics.latency("first_event_error", error);
            }
            let has_news = last.filter(|it| !is_first && it.target == id).is_some_and(|it| {
                work::record_pass(state, id, &prediction, now.since(it.at), it.reading)
            });
            (work::reading(state, id), has_news)
        });
        self.current.last_event = Some(LastEvent { target: id, at: now, reading });
        if has_news {
            gateway.work_news_due.notify_one();
        }
    }

    /// Records the time until the whole answer of a plain server.
    pub(super) fn record_service_time(&self, exchange: &Exchange) {
        let Some(sent) = exchange.target.sent else { return };
        let answer = Answer {
            time: clock::now().since(exchange.sent_at),
            requests: exchange.stated_requests.map_or(exchange.target.requests, f64::from),
        };
        let id = exchange.target.id;
        let gateway = self.admitted.gateway;
        gateway.with(|state| plain_work::record_answer(state, id, sent.kind, answer));
    }

    /// The predicted first event and the actual one since the attempt, for the log; empty if none was
    /// predicted.
    pub(super) fn prediction_text(&self) -> String {
        let prediction = self.current.target.as_ref().and_then(|it| it.prediction);
        let writing_since = self.current.progress.writing_since;
        let (Some(prediction), Some(sent_at)) = (prediction, self.current.sent_at) else {
            return String::new();
        };
        let actual = writing_since.map_or(Duration::ZERO, |at| at.since(sent_at));
        format!(
            ", attempt {} ms, predicted {} ms (prompts {} ms, slowdown {:.1})",
            actual.as_millis(),
            prediction.first_event.as_millis(),
            prediction.reading.as_millis(),
            prediction.slowdown,
        )
    }
}
