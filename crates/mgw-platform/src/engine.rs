//! Client of model engines: status, orders, chat completions, prefix cache events and KV cache
//! transfer.

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

/// Result of sending an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The engine accepted the order.
    Accepted,
    /// The engine rejected the order because it has seen a newer fencing token.
    Stale {
        /// Newest fencing token that the engine has seen.
        fence: u64,
    },
    /// The engine rejected the order for another reason; the order has no effect.
    Refused(Error),
    /// No byte of the order was written, for example because the connection failed or the engine
    /// reported another boot than the order names.
    Unsent(Error),
    /// Part or all of the order may have been written; whether the engine executed it is unknown.
    Unknown(Error),
}

/// A chat completion request for rank 0 of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct Chat {
    /// Request id, sent as the `x-request-id` header.
    pub id: SmolStr,
    /// Id of the group that serves the request, sent as the `x-group` header.
    pub group: u64,
    /// Priority from 0 (interactive) to 3 (batch), sent as the `x-priority` header.
    pub priority: u8,
    /// Request body of the caller; the adapter sets its fields `stream` and `resume_from`.
    pub body: Map<String, Value>,
    /// Number of tokens already received; the engine continues after them.
    pub resume_from: u64,
    /// Time limit for the first event, including the wait in the engine's queue, in addition to
    /// [`Options::connect_timeout`].
    pub first_event_timeout: Duration,
}

/// Token counts of a finished completion.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Number of generated tokens.
    pub completion_tokens: u64,
}

/// An event in the stream of a completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A generated token.
    Token {
        /// Request id that the event names.
        request_id: SmolStr,
        /// Position of the token from the start of the generated text, if the engine states it; a
        /// repeated position marks a duplicate.
        position: Option<u64>,
        /// Text of the token.
        text: String,
    },
    /// Generation has finished; [`Event::Done`] is still to follow.
    Finish {
        /// Request id that the event names.
        request_id: SmolStr,
        /// The engine's `finish_reason`, such as `stop` or `length`.
        reason: SmolStr,
        /// Token counts, if the engine states them.
        usage: Option<Usage>,
    },
    /// The final marker (`[DONE]`), which ends the stream.
    Done,
}

/// The response to a chat completion.
///
/// The adapter does not compare the request ids in the response with the one that it sent; the
/// receiver has to. Dropping a completion before its end closes the connection.
pub struct Completion {
    /// Request id in the `x-request-id` header of the response; empty if the header is missing.
    pub request_id: SmolStr,
    /// The events of the completion. The stream ends after [`Event::Done`] or the first error. If
    /// the final marker is missing, that error is [`Cause::Truncated`].
    pub events: LocalBoxStream<'static, Result<Event, Error>>,
}

/// The kind of change to a block of an engine's prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The block was added to the cache.
    Stored,
    /// The block was removed from the cache.
    Evicted,
}

/// A change to one block of an engine's prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, ascending per engine boot; a gap means that events were lost.
    #[serde(rename = "n")]
    pub number: u64,
    /// Whether the block was stored or evicted.
    pub kind: CacheEventKind,
    /// Hash of the prompt from its start to the end of this block.
    pub prefix: SmolStr,
}

/// Response to a request for cache events.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct CacheEvents {
    /// Sequence number of the oldest event that the engine retains.
    pub first: u64,
    /// Sequence number from which to request events next time.
    pub next: u64,
    /// The events. They lag behind the cache, and some may be missing.
    pub events: Vec<CacheEvent>,
}

/// Access to the model engines; `peer` is an IP address with a port.
pub trait Service {
    /// Fetches the status report of the engine at `peer`.
    fn status(&self, peer: &str) -> impl Future<Output = Result<report::Engine, Error>>;

    /// Sends `order` if the engine still has the boot that the order names.
    ///
    /// The boot is checked over a new connection and the order follows on that same connection, so
    /// that an engine restarted in between cannot receive it.
    fn order(&self, peer: &str, order: &Order) -> impl Future<Output = Reply>;

    /// Starts a chat completion and returns once the response head has been received.
    fn complete(&self, peer: &str, chat: &Chat) -> impl Future<Output = Result<Completion, Error>>;

    /// Cancels the completion with the given request id; returns `false` if the engine does not
    /// know the request.
    fn cancel(&self, peer: &str, request: &str) -> impl Future<Output = Result<bool, Error>>;

    /// Fetches the prefix cache events with sequence numbers from `from` on.
    fn cache_events(
        &self,
        peer: &str,
        from: u64,
    ) -> impl Future<Output = Result<CacheEvents, Error>>;

    /// Fetches the KV cache of the prefix with the hash `prefix`; `None` if the engine does not
    /// hold it.
    fn export_kv_cache(
        &self,
        peer: &str,
        prefix: &str,
    ) -> impl Future<Output = Result<Option<Bytes>, Error>>;

    /// Sends the engine a KV cache that another engine exported for the prefix hash `prefix`.
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
    /// Creates a client for all model engines.
    pub fn new(options: Options) -> Self {
        Self { transport: transport::Client::new(options) }
    }

    /// Builds a request without headers and body that has the default response timeout.
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

/// Body of a 409 response to an order with an outdated fencing token.
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
