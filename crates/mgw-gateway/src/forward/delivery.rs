//! What the caller has got of the response. Before its first byte an error response of a server may
//! be kept for it, and it may still get any head. Once something has been sent, neither exists.

use std::time::Duration;

use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::exchange::Answer;
use crate::verify::Verified;

/// What the caller has got of the response.
#[derive(Debug)]
pub(super) enum Delivery {
    /// Nothing.
    Unsent(Unsent),
    /// The head of a stream, and the events up to the last one that was passed on.
    Streaming(Streaming),
    /// A whole response, or as much of it as the connection took.
    Complete {
        /// When sending it began.
        at: Instant,
    },
}

/// The right to send the head of a response, of which there is one for each request.
#[derive(Debug, Default)]
pub(super) struct Unsent {
    /// An error response of a server, for the case that no retry succeeds.
    pub(super) kept: Option<Answer>,
}

/// A stream of which the caller has the head.
#[derive(Clone, Debug)]
pub(super) struct Streaming {
    /// Media type in the head; empty if it states none.
    pub(super) media_type: SmolStr,
    /// When the first events were passed on.
    first_event: Instant,
    /// When events were last passed on.
    last_event: Instant,
    /// The longest time between two times at which events were passed on.
    longest_gap: Duration,
}

impl Default for Delivery {
    fn default() -> Self {
        Delivery::Unsent(Unsent::default())
    }
}

impl Delivery {
    /// Whether the caller has got a part of the response.
    pub(super) fn is_started(&self) -> bool {
        !matches!(self, Delivery::Unsent(_))
    }

    /// The stream that the caller gets, if one has begun.
    pub(super) fn stream(&self) -> Option<&Streaming> {
        match self {
            Delivery::Streaming(streaming) => Some(streaming),
            Delivery::Unsent(_) | Delivery::Complete { .. } => None,
        }
    }

    /// Keeps an error response of a server for the caller, unless the caller has got something.
    pub(super) fn keep(&mut self, answer: Answer) {
        if let Delivery::Unsent(unsent) = self {
            unsent.kept = Some(answer);
        }
    }

    /// Takes the right to send a whole response, if it is there; it is used at `now`.
    pub(super) fn take_unsent(&mut self, now: Instant) -> Option<Unsent> {
        match std::mem::replace(self, Delivery::Complete { at: now }) {
            Delivery::Unsent(unsent) => Some(unsent),
            started => {
                *self = started;
                None
            }
        }
    }

    /// Records that events of the stream with this `head` are passed on at `now`. Returns the right
    /// to send the head before the first ones.
    pub(super) fn pass_on_events(&mut self, head: &Verified, now: Instant) -> Option<Unsent> {
        if let Delivery::Streaming(streaming) = self {
            let gap = now.since(streaming.last_event);
            streaming.longest_gap = streaming.longest_gap.max(gap);
            streaming.last_event = now;
            return None;
        }
        let unsent = self.take_unsent(now)?;
        *self = Delivery::Streaming(Streaming {
            media_type: head.head().media_type().into(),
            first_event: now,
            last_event: now,
            longest_gap: Duration::ZERO,
        });
        Some(unsent)
    }

    /// When the first event or the whole response was passed on.
    pub(super) fn first_sent(&self) -> Option<Instant> {
        match self {
            Delivery::Unsent(_) => None,
            Delivery::Streaming(streaming) => Some(streaming.first_event),
            Delivery::Complete { at } => Some(*at),
        }
    }

    /// The longest time between two times at which events were passed on.
    pub(super) fn longest_gap(&self) -> Duration {
        self.stream().map_or(Duration::ZERO, |streaming| streaming.longest_gap)
    }
}
