//! Model engines: status, orders, chat completions, cache events and KV transfer.

mod events;

use std::future::Future;
use std::time::Duration;

use actix_http::Method;
use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use mgw_report::report::{self, Order};
use serde::Deserialize;
use serde_json::{Map, Value};
use smol_str::{SmolStr, format_smolstr};

use crate::transport::{self, Cause, Error, Options, Request};

/// Result of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The engine accepted the order.
    Accepted,
    /// The engine knows a newer fencing token.
    Stale {
        /// That token.
        fence: u64,
    },
    /// The engine rejected the order for another reason; it has no effect.
    Refused(Error),
    /// No byte of the order was written: no connection, or another boot answered.
    Unsent(Error),
    /// The order was written at least in part, and its effect is unknown.
    Unknown(Error),
}

/// A chat completion to be sent to rank 0 of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct Chat {
    /// The request id.
    pub id: SmolStr,
    /// The group that is to serve it.
    pub group: u64,
    /// From 0, interactive, to 3, batch.
    pub priority: u8,
    /// The caller's body; `stream` and `resume_from` are set by the adapter.
    pub body: Map<String, Value>,
    /// Number of tokens that are already there.
    pub resume_from: u64,
    /// Time until the first event, which includes the wait in the engine's queue.
    pub first_event_timeout: Duration,
}

/// Tokens of a finished completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Generated tokens.
    pub completion_tokens: u64,
}

/// An event of a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// One token.
    Token {
        /// The request that the event names.
        request_id: SmolStr,
        /// The token's position from the start of the answer, if the engine states it; a repeated
        /// position is a duplicate.
        position: Option<u64>,
        /// Its text.
        text: String,
    },
    /// The text is complete.
    Finish {
        /// The request that the event names.
        request_id: SmolStr,
        /// Why the text ends here.
        reason: SmolStr,
        /// Token counts, if the engine states them.
        usage: Option<Usage>,
    },
    /// The final marker; nothing follows.
    Done,
}

/// The answer to a chat completion.
///
/// The request ids are those that the engine names: whether they are the one that was sent is for
/// the receiver to check. Dropping the answer closes its connection unless the answer is complete.
pub struct Completion {
    /// The request that the answer's head names; empty if it names none.
    pub request_id: SmolStr,
    /// The events. The stream ends after [`Event::Done`] or after the first error; a stream that
    /// lacks the final marker ends with [`Cause::Truncated`].
    pub events: LocalBoxStream<'static, Result<Event, Error>>,
}

/// What happened to a block of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The cache holds it now.
    Stored,
    /// The cache no longer holds it.
    Evicted,
}

/// A cache event.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Ascending per engine boot; a gap means lost events.
    #[serde(rename = "n")]
    pub number: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// Hash of the prompt from its start to the end of the block.
    pub prefix: SmolStr,
}

/// Answer to a request for cache events.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvents {
    /// The oldest event that the engine has.
    pub first: u64,
    /// The number to ask from next time.
    pub next: u64,
    /// The events, which are late and may have gaps.
    pub events: Vec<CacheEvent>,
}

/// The model engines.
pub trait Service {
    /// The report of the engine at `peer`.
    fn status(&self, peer: &str) -> impl Future<Output = Result<report::Engine, Error>>;

    /// Sends `order` over a new connection on which the engine has just confirmed the boot that
    /// the order names.
    fn order(&self, peer: &str, order: &Order) -> impl Future<Output = Reply>;

    /// Starts a chat completion and returns its answer once its head is there.
    fn complete(&self, peer: &str, chat: &Chat) -> impl Future<Output = Result<Completion, Error>>;

    /// Cancels a completion; false if the engine does not know the request.
    fn cancel(&self, peer: &str, request: &str) -> impl Future<Output = Result<bool, Error>>;

    /// The cache events from number `from` on.
    fn cache_events(
        &self,
        peer: &str,
        from: u64,
    ) -> impl Future<Output = Result<CacheEvents, Error>>;

    /// The KV cache of `prefix`; `None` if the engine does not hold it.
    fn export_kv_cache(
        &self,
        peer: &str,
        prefix: &str,
    ) -> impl Future<Output = Result<Option<Bytes>, Error>>;

    /// Hands the engine a KV cache that another engine exported.
    fn import_kv_cache(
        &self,
        peer: &str,
        prefix: &str,
        content: Bytes,
    ) -> impl Future<Output = Result<(), Error>>;
}

/// The HTTP adapter of [`Service`].
#[derive(Clone)]
pub struct Client {
    transport: transport::Client,
}

impl Client {
    /// An adapter for all model engines.
    pub fn new(options: Options) -> Self {
        Self { transport: transport::Client::new(options) }
    }

    fn request<'a>(
        &self,
        step: &'static str,
        peer: &'a str,
        method: Method,
        path: &'a str,
    ) -> Request<'a> {
        let response_timeout = self.transport.options.response_timeout;
        Request { step, peer, method, path, headers: &[], body: Bytes::new(), response_timeout }
    }
}

#[derive(Deserialize)]
struct StaleOrder {
    fence: u64,
}

impl Service for Client {
    async fn status(&self, peer: &str) -> Result<report::Engine, Error> {
        self.transport.get_json("read an engine's status", peer, "/status").await
    }

    async fn order(&self, peer: &str, order: &Order) -> Reply {
        let (single, counters) = transport::Client::single_connection(self.transport.options);
        let step = "confirm an engine's boot";
        let actual = match single.get_json::<report::Engine>(step, peer, "/status").await {
            Ok(status) => status.boot,
            Err(error) => return Reply::Unsent(error),
        };
        if actual != order.boot {
            let expected = order.boot.clone();
            return Reply::Unsent(Error::new(step, peer, Cause::BootMismatch { expected, actual }));
        }
        let mut request = self.request("send an order", peer, Method::POST, "/orders");
        request.headers = &[("content-type", b"application/json")];
        request.body = match serde_json::to_vec(order) {
            Ok(body) => body.into(),
            Err(error) => {
                let cause = Cause::InvalidRequest(format_smolstr!("{error}"));
                return Reply::Unsent(request.error(cause));
            }
        };
        let written_before = counters.bytes_written();
        match single.send_buffered(&request).await {
            Ok(response) => match response.status {
                200 => Reply::Accepted,
                409 => match serde_json::from_slice::<StaleOrder>(&response.body) {
                    Ok(stale) => Reply::Stale { fence: stale.fence },
                    Err(_) => Reply::Refused(request.error(response.status_error())),
                },
                400..=499 => Reply::Refused(request.error(response.status_error())),
                _ => Reply::Unknown(request.error(response.status_error())),
            },
            Err(error) if counters.bytes_written() == written_before => Reply::Unsent(error),
            Err(error) => Reply::Unknown(error),
        }
    }

    async fn complete(&self, peer: &str, chat: &Chat) -> Result<Completion, Error> {
        let mut request =
            self.request("complete a chat", peer, Method::POST, "/v1/chat/completions");
        let mut body = chat.body.clone();
        body.insert("stream".into(), Value::Bool(true));
        body.insert("resume_from".into(), chat.resume_from.into());
        request.body = Value::Object(body).to_string().into();
        let (priority, group) = (chat.priority.to_string(), chat.group.to_string());
        let headers: [(&str, &[u8]); 4] = [
            ("content-type", b"application/json"),
            ("x-request-id", chat.id.as_bytes()),
            ("x-priority", priority.as_bytes()),
            ("x-group", group.as_bytes()),
        ];
        request.headers = &headers;
        request.response_timeout = chat.first_event_timeout;
        let options = self.transport.options;
        let start = std::time::Instant::now();
        let response = self.transport.send_streaming(&request).await?;
        if response.status() != 200 {
            let buffered = transport::buffer_response(response, &options).await;
            let cause = buffered.map_or_else(|cause| cause, |response| response.status_error());
            return Err(request.error(cause));
        }
        let request_id = response.headers().get("x-request-id");
        let request_id = request_id.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let first_event_timeout =
            (options.connect_timeout + chat.first_event_timeout).saturating_sub(start.elapsed());
        Ok(Completion {
            request_id: request_id.into(),
            events: events::stream_events(
                response,
                options,
                first_event_timeout,
                SmolStr::from(peer),
            ),
        })
    }

    async fn cancel(&self, peer: &str, request: &str) -> Result<bool, Error> {
        let path = format!("/cancel/{}", transport::encode_path_segment(request));
        let request = self.request("cancel a completion", peer, Method::POST, &path);
        let response = self.transport.send_buffered(&request).await?;
        match response.status {
            200 => Ok(true),
            404 => Ok(false),
            _ => Err(request.error(response.status_error())),
        }
    }

    async fn cache_events(&self, peer: &str, from: u64) -> Result<CacheEvents, Error> {
        let path = format!("/cache/events?from={from}");
        self.transport.get_json("read an engine's cache events", peer, &path).await
    }

    async fn export_kv_cache(&self, peer: &str, prefix: &str) -> Result<Option<Bytes>, Error> {
        let path = format!("/kv/{}", transport::encode_path_segment(prefix));
        let request = self.request("export a KV cache", peer, Method::GET, &path);
        let response = self.transport.send_buffered(&request).await?;
        match response.status {
            200 => Ok(Some(response.body)),
            404 => Ok(None),
            _ => Err(request.error(response.status_error())),
        }
    }

    async fn import_kv_cache(&self, peer: &str, prefix: &str, content: Bytes) -> Result<(), Error> {
        let path = format!("/kv/{}", transport::encode_path_segment(prefix));
        let mut request = self.request("import a KV cache", peer, Method::POST, &path);
        request.headers = &[("content-type", b"application/octet-stream")];
        request.body = content;
        let response = self.transport.send_buffered(&request).await?;
        match response.status {
            200 => Ok(()),
            _ => Err(request.error(response.status_error())),
        }
    }
}
