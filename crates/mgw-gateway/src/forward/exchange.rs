//! A request at one server: its connection, and what has been read of the response.

use std::future::poll_fn;
use std::task::Poll;
use std::time::Duration;

use bytes::BytesMut;
use mgw_base::time::Instant;
use mgw_http::body::{Decoder, Framing};
use mgw_http::head::Response;
use platform::header;

use crate::connection::Connection;
use crate::forward::target::Target;
use crate::memory::Reservation;
use crate::pool;
use crate::verify::Verified;

/// What has been read of a response.
#[derive(Debug)]
pub(super) enum Stage {
    /// Nothing, or only a part of its head.
    Head,
    /// The head of a response to another request, whose body is skipped.
    Foreign { decoder: Decoder, skipped: BytesMut },
    /// The head of a stream that is relayed, with memory for its incomplete event.
    Stream { response: Verified, decoder: Decoder, body: BytesMut, reservation: Reservation },
    /// The head of a response that is read as a whole.
    Body { response: Verified, decoder: Decoder, body: BytesMut, reservation: Reservation },
}

/// Progress of a server with the response to a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Progress {
    /// When it sent its first event or a whole response; `None` before.
    pub(super) writing_since: Option<Instant>,
    /// Whether it has answered for long enough to clear the parts of the prompt.
    pub(super) has_settled: bool,
}

/// Whether the connection of an exchange may carry another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Reuse {
    /// The response has not been read to its end, or the server closes the connection after it.
    Never,
    /// The connection is idle. The server keeps it open for `timeout`, if it states one.
    Idle { timeout: Option<Duration> },
}

/// A request that has been sent to a server.
#[derive(Debug)]
pub(super) struct Exchange {
    pub(super) target: Target,
    pub(super) connection: Connection,
    /// When sending the request began.
    pub(super) sent_at: Instant,
    /// Number of requests at the server, as its response stated it.
    pub(super) stated_requests: Option<u32>,
    /// Whether the connection may be reused after the response: the server took the whole request,
    /// and the response has its own body.
    pub(super) allows_reuse: bool,
    pub(super) stage: Stage,
    /// Whether what the server has sent was left unread for long, as the caller did not read, and
    /// has not been read up to its end since.
    pub(super) is_behind: bool,
    pub(super) reuse: Reuse,
    /// Number of responses to other requests so far.
    pub(super) foreign_responses: usize,
    /// Progress up to the suspension.
    pub(super) progress: Progress,
    /// The incomplete event at the end of the stream up to the suspension.
    pub(super) partial: BytesMut,
    /// Until when the server is waited for once no other one is left, if it has not begun to answer;
    /// `None` if it has not stalled since it last sent something.
    pub(super) given_up_at: Option<Instant>,
}

impl Exchange {
    /// A request whose response has not begun.
    pub(super) fn new(
        target: Target,
        connection: Connection,
        allows_reuse: bool,
        sent_at: Instant,
    ) -> Self {
        Self {
            target,
            connection,
            sent_at,
            stated_requests: None,
            allows_reuse,
            stage: Stage::Head,
            is_behind: false,
            reuse: Reuse::Never,
            foreign_responses: 0,
            progress: Progress::default(),
            partial: BytesMut::new(),
            given_up_at: None,
        }
    }

    /// Whether the end of the connection is that of the response.
    pub(super) fn ends_with_connection(&self) -> bool {
        match &self.stage {
            Stage::Stream { response, .. } | Stage::Body { response, .. } => {
                response.head().framing == Framing::Close
            }
            Stage::Head | Stage::Foreign { .. } => false,
        }
    }

    /// Records that `response` has been read to its end.
    pub(super) fn finish(&mut self, response: &Response) {
        let is_identified = header::parse_response_metadata(response).attempt_id.is_some();
        let is_idle = response.keeps_alive() && self.connection.input.is_empty();
        if self.allows_reuse && is_identified && is_idle {
            self.reuse = Reuse::Idle { timeout: pool::keep_alive_timeout(response) };
        }
    }
}

/// Waits until the server of one of the `exchanges` sends something or closes its connection.
/// Returns the index of that exchange; waits without end if there is none.
pub(super) async fn readable(exchanges: &[Exchange]) -> usize {
    poll_fn(|context| {
        let is_readable = |it: &Exchange| it.connection.poll_readable(context).is_ready();
        exchanges.iter().position(is_readable).map_or(Poll::Pending, Poll::Ready)
    })
    .await
}
