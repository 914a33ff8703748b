//! Model calls through the chat-completions interface.
//!
//! A task per call reads the answer from model engines and passes it in pieces to the response, which
//! is streamed or collected. If a connection is lost, the task continues on the route that the node
//! chooses next.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Response;
use actix_http::body::{BodyStream, BoxBody};
use bytes::Bytes;
use futures_util::{StreamExt, stream};
use mgw_base::arena::Key;
use mgw_entry::call::{self, Call, Loss, Route};
use mgw_platform::engine::{Chat, Event, Service as _};
use mgw_platform::transport::Cause;
use mgw_route::quarantine;
use mgw_route::select::{Destination, Id};
use mgw_route::stream::{Chunk, Completion, Discard, Disposition};
use serde_json::{Map, Value, json};
use smol_str::SmolStr;
use tokio::sync::mpsc;

use crate::callers::{self, Metadata};
use crate::error::{Code, Error};
use crate::shared::Shared;
use crate::{http, metrics};

/// Size of a prefix block of the prompt in bytes; the same as in the engines.
const PREFIX_BLOCK_BYTES: usize = 64;

/// Maximum number of prefix blocks of a prompt that are hashed for routing.
const MAX_PREFIX_BLOCKS: usize = 32;

/// Length of the answer that is assumed for a request without `max_tokens`, in tokens.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// Maximum number of pieces that wait for a slow caller. When the queue is full, the engine's stream
/// is not read.
const PIECE_QUEUE_CAPACITY: usize = 64;

/// Maximum wait for the first event of an answer before the connection counts as silent.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_secs(30);

/// Maximum size, in bytes, of an answer's text that is kept so that another group can continue it.
const MAX_RETAINED_TEXT_BYTES: usize = 1 << 20;

/// A part of the answer on its way to the caller.
enum Piece {
    /// Text of one or more tokens.
    Text(String),
    /// End of a complete answer.
    End { reason: SmolStr, prompt_tokens: u64, tokens: u64 },
    /// End of an incomplete answer.
    Broken(Error),
}

/// Closes the call at the node when the answer has ended or the caller has disconnected, and cancels
/// the request at the engine unless the answer is complete.
struct CallGuard {
    shared: Rc<Shared>,
    call: Key<Call>,
    /// Whether the answer is complete.
    served: bool,
    /// Tokens passed on to the caller.
    tokens: u32,
    /// Address of the engine that the call was last sent to.
    address: SmolStr,
    /// Request id.
    id: SmolStr,
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        let (call, served, tokens) = (self.call, self.served, self.tokens);
        self.shared.with_node(|node, now| node.close_call(now, call, served, tokens));
        if !served {
            let (shared, address, id) =
                (self.shared.clone(), self.address.clone(), self.id.clone());
            actix_rt::spawn(async move {
                // Best effort: the engine may be unreachable.
                let _ = shared.clients.engine.cancel(&address, &id).await;
            });
        }
    }
}

/// Answers a chat completion, streamed if the body says so.
///
/// # Errors
///
/// Fails if the request is invalid, the node refuses it, or the answer ends before its first piece;
/// an answer that is not streamed also fails if it ends incomplete.
pub async fn complete(
    shared: &Rc<Shared>,
    metadata: Metadata,
    body: &[u8],
) -> Result<Response<BoxBody>, Error> {
    let body: Map<String, Value> = serde_json::from_slice(body)
        .map_err(|error| Error::new(Code::BadRequest, format!("the body is no JSON: {error}")))?;
    let name = body.get("model").and_then(Value::as_str).unwrap_or_default().to_owned();
    let resolved = shared.node.borrow().resolve_model(&name);
    let (model, adapter) = resolved.ok_or_else(|| {
        Error::new(Code::UnknownModel, format!("the configuration declares no model {name:?}"))
    })?;
    let prompt = prompt_text(&body)?;
    let streamed = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
    let max_tokens = body.get("max_tokens").and_then(Value::as_u64).unwrap_or(DEFAULT_MAX_TOKENS);
    // The length of the prompt in tokens is estimated at 4 bytes per token.
    let tokens =
        (prompt.len() as u64 / 4).saturating_add(max_tokens).min(u64::from(u32::MAX)) as u32;
    // The fingerprint ignores JSON whitespace, which may differ when a caller's library retries.
    let canonical = Value::Object(body.clone()).to_string();
    let request = call::Request {
        id: metadata.id.clone(),
        team: metadata.team.clone(),
        fingerprint: quarantine::fingerprint(&metadata.team, &model, canonical.as_bytes()),
        destination: Destination::Model(model.clone()),
        adapter,
        priority: metadata.priority,
        tokens,
        deadline: metadata.deadline,
        prefixes: prefix_hashes(&prompt),
    };
    let route = shared.with_node(|node, now| node.open_call(now, request))?;
    let (sender, mut receiver) = mpsc::channel(PIECE_QUEUE_CAPACITY);
    actix_rt::spawn(run_call(shared.clone(), metadata.clone(), model.clone(), body, route, sender));
    // Nothing is sent to the caller before the first piece, which determines the status.
    let first = match receiver.recv().await {
        Some(Piece::Broken(error)) => return Err(error),
        Some(first) => first,
        None => return Err(Error::new(Code::UpstreamFailed, "the call ended without an answer")),
    };
    let mut response = match streamed {
        true => stream_response(&metadata, &name, first, receiver),
        false => collect_response(&metadata, &name, first, receiver).await?,
    };
    http::set_header(&mut response, "x-request-id", &metadata.id);
    Ok(response)
}

/// Joins roles and contents of all messages into one text. Content that is not a string is
/// included as JSON text.
fn prompt_text(body: &Map<String, Value>) -> Result<String, Error> {
    let messages = body.get("messages").and_then(Value::as_array);
    let messages = messages
        .filter(|messages| !messages.is_empty())
        .ok_or_else(|| Error::new(Code::BadRequest, "messages is no list with a message"))?;
    let mut prompt = String::new();
    for message in messages {
        let role = message.get("role").and_then(Value::as_str).unwrap_or_default();
        prompt.push_str(role);
        prompt.push(':');
        match message.get("content") {
            Some(Value::String(text)) => prompt.push_str(text),
            Some(other) => prompt.push_str(&other.to_string()),
            None => {}
        }
        prompt.push('\n');
    }
    Ok(prompt)
}

/// Hashes of the prompt's first block, first two blocks and so on, without an incomplete last block.
fn prefix_hashes(prompt: &str) -> Vec<u64> {
    let blocks = (prompt.len() / PREFIX_BLOCK_BYTES).min(MAX_PREFIX_BLOCKS);
    (1..=blocks).map(|count| fnv1a(&prompt.as_bytes()[..count * PREFIX_BLOCK_BYTES])).collect()
}

/// 64-bit FNV-1a, with which engines name the blocks of their prefix caches.
fn fnv1a(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// Reads the answer from engines, on one connection after another, until it is complete, cannot be
/// completed, or the caller disconnects.
async fn run_call(
    shared: Rc<Shared>,
    metadata: Metadata,
    model: SmolStr,
    body: Map<String, Value>,
    mut route: Route,
    sender: mpsc::Sender<Piece>,
) {
    let start = shared.now();
    let mut guard = CallGuard {
        shared: shared.clone(),
        call: route.call,
        served: false,
        tokens: 0,
        address: route.address.clone(),
        id: metadata.id.clone(),
    };
    let mut text_bytes = 0;
    loop {
        guard.address = route.address.clone();
        let group = match &route.target {
            Id::Group(group) => *group,
            Id::Server(_) => 0,
        };
        let chat = Chat {
            id: metadata.id.clone(),
            group,
            priority: metadata.priority,
            body: body.clone(),
            resume_from: route.resume_from,
            first_event_timeout: shared.time_left(metadata.deadline).min(FIRST_EVENT_TIMEOUT),
        };
        let attempt =
            Attempt { shared: &shared, route: &route, start, metadata: &metadata, model: &model };
        let loss = match attempt.run(&chat, &mut guard, &mut text_bytes, &sender).await {
            AttemptEnd::Complete | AttemptEnd::CallerGone => return,
            AttemptEnd::Rejected(error) => {
                let _ = sender.send(Piece::Broken(error)).await;
                return;
            }
            AttemptEnd::Lost(loss) => loss,
        };
        match callers::next_route(&shared, &route, loss).await {
            Ok(next) => route = next,
            Err(error) => {
                let _ = sender.send(Piece::Broken(error)).await;
                return;
            }
        }
    }
}

/// Result of an attempt.
enum AttemptEnd {
    /// The answer is complete.
    Complete,
    /// The caller has disconnected.
    CallerGone,
    /// The engine rejected the request itself with a 4xx status, so it is not sent again.
    Rejected(Error),
    /// The connection failed or the engine is not ready; the node decides how to continue.
    Lost(Loss),
}

/// One connection of a call to an engine.
struct Attempt<'a> {
    shared: &'a Rc<Shared>,
    route: &'a Route,
    /// When the first attempt of the call began, for the time to the first token.
    start: mgw_base::time::Instant,
    metadata: &'a Metadata,
    model: &'a SmolStr,
}

impl Attempt<'_> {
    /// Sends the request and passes on the answer until the attempt ends. `text_bytes` adds up the
    /// text of all attempts.
    async fn run(
        &self,
        chat: &Chat,
        guard: &mut CallGuard,
        text_bytes: &mut usize,
        sender: &mpsc::Sender<Piece>,
    ) -> AttemptEnd {
        let engine = &self.shared.clients.engine;
        let opened = tokio::select! {
            opened = engine.complete(&self.route.address, chat) => opened,
            () = sender.closed() => return AttemptEnd::CallerGone,
        };
        let mut answer = match opened {
            Ok(answer) => answer,
            Err(error) => return classify_rejection(&error.cause),
        };
        let (call, connection) = (self.route.call, self.route.connection);
        let (mut reason, mut usage) = (SmolStr::default(), None);
        loop {
            let event = tokio::select! {
                event = answer.events.next() => event,
                () = sender.closed() => return AttemptEnd::CallerGone,
            };
            match event {
                None => return AttemptEnd::Lost(Loss::Disconnected),
                Some(Err(error)) => return AttemptEnd::Lost(classify_loss(&error.cause)),
                Some(Ok(Event::Token { request_id: request, position, text: token })) => {
                    let offset = position.unwrap_or(u64::from(guard.tokens));
                    let piece = Chunk { connection, request: &request, offset, tokens: 1 };
                    // Waking the driver for every token would cost a tick and a timer each time.
                    match self
                        .shared
                        .with_node_without_wake(|node, now| node.receive_chunk(now, call, &piece))
                    {
                        Disposition::Forward { .. } => {}
                        Disposition::Discard(Discard::Duplicate) => continue,
                        Disposition::Discard(_) | Disposition::Gap => {
                            return AttemptEnd::Lost(Loss::InvalidAnswer);
                        }
                    }
                    if guard.tokens == 0 {
                        let duration = self.shared.now().since(self.start);
                        self.shared.metrics.time(
                            &metrics::FIRST_TOKEN,
                            duration,
                            &self.metadata.team,
                            self.model,
                        );
                    }
                    guard.tokens += 1;
                    *text_bytes += token.len();
                    if *text_bytes > MAX_RETAINED_TEXT_BYTES {
                        // From now on only the same group can continue the answer.
                        self.shared.with_node(|node, _| node.drop_text(call));
                    }
                    if sender.send(Piece::Text(token)).await.is_err() {
                        return AttemptEnd::CallerGone;
                    }
                }
                Some(Ok(Event::Finish {
                    request_id: request,
                    reason: finish_reason,
                    usage: counts,
                })) => {
                    if request != self.metadata.id {
                        return AttemptEnd::Lost(Loss::InvalidAnswer);
                    }
                    (reason, usage) = (finish_reason, counts);
                }
                Some(Ok(Event::Done)) => {
                    let total = usage.map(|usage| usage.completion_tokens);
                    let id = &self.metadata.id;
                    match self.shared.with_node_without_wake(|node, _| {
                        node.finish_answer(call, connection, id, total)
                    }) {
                        Completion::Complete => {}
                        Completion::Truncated | Completion::Discard(_) => {
                            return AttemptEnd::Lost(Loss::InvalidAnswer);
                        }
                    }
                    guard.served = true;
                    let tokens = u64::from(guard.tokens);
                    let prompt_tokens = usage.map_or(0, |usage| usage.prompt_tokens);
                    let _ = sender.send(Piece::End { reason, prompt_tokens, tokens }).await;
                    return AttemptEnd::Complete;
                }
            }
        }
    }
}

/// Classifies a failure to open the answer stream: a 4xx status rejects the request, anything else is
/// a loss of the connection.
fn classify_rejection(cause: &Cause) -> AttemptEnd {
    match cause {
        Cause::Status { status: 400..=499, excerpt } => {
            AttemptEnd::Rejected(Error::new(Code::BadRequest, excerpt.as_str()))
        }
        Cause::Status { .. } => AttemptEnd::Lost(Loss::Unavailable),
        cause => AttemptEnd::Lost(classify_loss(cause)),
    }
}

/// Classifies a failed exchange with a backend server as a loss of its connection.
pub fn classify_loss(cause: &Cause) -> Loss {
    match cause {
        cause if cause.is_unsent() => Loss::Refused,
        Cause::Timeout | Cause::IdleTimeout => Loss::IdleTimeout,
        Cause::Closed(_) | Cause::Truncated | Cause::PeerError(_) => Loss::Disconnected,
        Cause::Status { .. } => Loss::Unavailable,
        _ => Loss::InvalidAnswer,
    }
}

/// Collects the pieces into one JSON response.
async fn collect_response(
    metadata: &Metadata,
    model: &str,
    first: Piece,
    mut receiver: mpsc::Receiver<Piece>,
) -> Result<Response<BoxBody>, Error> {
    let mut content = String::new();
    let mut next = Some(first);
    loop {
        match next {
            Some(Piece::Text(text)) => content.push_str(&text),
            Some(Piece::End { reason, prompt_tokens, tokens }) => {
                return Ok(http::json_response(
                    200,
                    &json!({
                        "id": metadata.id,
                        "object": "chat.completion",
                        "model": model,
                        "choices": [{
                            "index": 0,
                            "message": { "role": "assistant", "content": content },
                            "finish_reason": reason,
                        }],
                        "usage": {
                            "prompt_tokens": prompt_tokens,
                            "completion_tokens": tokens,
                            "total_tokens": prompt_tokens + tokens,
                        },
                    }),
                ));
            }
            Some(Piece::Broken(error)) => return Err(error),
            None => {
                return Err(Error::new(
                    Code::UpstreamFailed,
                    "the answer ended before it was whole",
                ));
            }
        }
        next = receiver.recv().await;
    }
}

/// Streams the pieces as server-sent events.
fn stream_response(
    metadata: &Metadata,
    model: &str,
    first: Piece,
    receiver: mpsc::Receiver<Piece>,
) -> Response<BoxBody> {
    let (id, model) = (metadata.id.clone(), model.to_owned());
    let rest = stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|piece| (piece, receiver))
    });
    let pieces = stream::once(async move { first }).chain(rest);
    let lines = pieces.map(move |piece| Ok::<_, std::io::Error>(sse_event(&id, &model, piece)));
    let body = BoxBody::new(BodyStream::new(Box::pin(lines)));
    let mut response = Response::ok().set_body(body);
    http::set_header(&mut response, "content-type", "text/event-stream");
    http::set_header(&mut response, "cache-control", "no-store");
    response
}

/// Encodes a piece as server-sent events. An incomplete answer ends with an `error` event and without
/// `[DONE]`.
fn sse_event(id: &str, model: &str, piece: Piece) -> Bytes {
    let chunk = |delta: Value, reason: Option<&str>| {
        json!({
            "id": id,
            "object": "chat.completion.chunk",
            "model": model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": reason }],
        })
    };
    match piece {
        Piece::Text(text) => {
            format!("data: {}\n\n", chunk(json!({ "content": text }), None)).into()
        }
        Piece::End { reason, .. } => {
            format!("data: {}\n\ndata: [DONE]\n\n", chunk(json!({}), Some(&reason))).into()
        }
        Piece::Broken(error) => {
            let broken = Error { code: Code::StreamBroken, ..error };
            let json = serde_json::to_string(&broken.json()).unwrap_or_default();
            format!("event: error\ndata: {json}\n\n").into()
        }
    }
}
