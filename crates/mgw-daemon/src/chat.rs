//! Model calls through the chat-completions interface.

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

use crate::answer::{Code, Error};
use crate::callers::{self, Head};
use crate::shared::Shared;
use crate::{http, metrics};

/// Bytes of the prompt per prefix block, as the engines count them.
const BLOCK: usize = 64;

/// Prefix blocks of a prompt that are taken into account.
const BLOCKS: usize = 32;

/// Answer length that is assumed if the request names none, in tokens.
const TOKENS: u64 = 256;

/// Pieces that may wait for a slow caller; the engine's stream is not read further then.
const QUEUE: usize = 64;

/// The longest wait for the first piece before the connection counts as silent.
const FIRST_PIECE: Duration = Duration::from_secs(30);

/// Text that is kept so that another group can continue.
const TEXT_LIMIT: usize = 1 << 20;

/// What the caller gets.
enum Piecewise {
    /// Text of one or more tokens.
    Text(String),
    /// The answer is whole.
    End { reason: SmolStr, prompt_tokens: u64, tokens: u64 },
    /// The answer ends here without being whole.
    Broken(Error),
}

/// Ends the call when the answer is over or the caller went away.
struct Guard {
    shared: Rc<Shared>,
    call: Key<Call>,
    served: bool,
    tokens: u32,
    address: SmolStr,
    id: SmolStr,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let (call, served, tokens) = (self.call, self.served, self.tokens);
        self.shared.with(|node, now| node.close(now, call, served, tokens));
        if !served {
            let (shared, address, id) =
                (self.shared.clone(), self.address.clone(), self.id.clone());
            actix_rt::spawn(async move {
                // The engine may be gone; a failed cancel changes nothing.
                let _ = shared.clients.engine.cancel(&address, &id).await;
            });
        }
    }
}

/// Answers a chat completion.
pub async fn complete(
    shared: &Rc<Shared>,
    head: Head,
    body: &[u8],
) -> Result<Response<BoxBody>, Error> {
    let body: Map<String, Value> = serde_json::from_slice(body)
        .map_err(|error| Error::new(Code::BadRequest, format!("the body is no JSON: {error}")))?;
    let name = body.get("model").and_then(Value::as_str).unwrap_or_default().to_owned();
    let resolved = shared.node.borrow().resolve(&name);
    let (model, adapter) = resolved.ok_or_else(|| {
        Error::new(Code::UnknownModel, format!("the configuration declares no model {name:?}"))
    })?;
    let prompt = prompt(&body)?;
    let streamed = body.get("stream").and_then(Value::as_bool).unwrap_or(false);
    let wanted = body.get("max_tokens").and_then(Value::as_u64).unwrap_or(TOKENS);
    let tokens = (prompt.len() as u64 / 4).saturating_add(wanted).min(u64::from(u32::MAX)) as u32;
    // A retry may differ in where the caller's library puts a space, not in what it asks for.
    let canonical = Value::Object(body.clone()).to_string();
    let request = call::Request {
        id: head.id.clone(),
        team: head.team.clone(),
        fingerprint: quarantine::fingerprint(&head.team, &model, canonical.as_bytes()),
        scope: Destination::Model(model.clone()),
        adapter,
        priority: head.priority,
        tokens,
        deadline: head.deadline,
        prefixes: prefixes(&prompt),
    };
    let route = shared.with(|node, now| node.open(now, request))?;
    let (sender, mut receiver) = mpsc::channel(QUEUE);
    actix_rt::spawn(produce(shared.clone(), head.clone(), model.clone(), body, route, sender));
    // The status is decided by the first piece; nothing was sent to the caller before it.
    let first = match receiver.recv().await {
        Some(Piecewise::Broken(error)) => return Err(error),
        Some(first) => first,
        None => return Err(Error::new(Code::UpstreamFailed, "the call ended without an answer")),
    };
    let mut response = match streamed {
        true => stream_answer(&head, &name, first, receiver),
        false => whole_answer(&head, &name, first, receiver).await?,
    };
    http::set_header(&mut response, "x-request-id", &head.id);
    Ok(response)
}

/// The text of all messages, or of the prompt.
fn prompt(body: &Map<String, Value>) -> Result<String, Error> {
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

/// Hashes of the prompt's first block, first two blocks and so on.
fn prefixes(prompt: &str) -> Vec<u64> {
    let blocks = (prompt.len() / BLOCK).min(BLOCKS);
    (1..=blocks).map(|count| fnv(&prompt.as_bytes()[..count * BLOCK])).collect()
}

/// FNV-1a with 64 bits, with which engines name the blocks of their prefix caches.
fn fnv(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}

/// Reads the answer from engines until it is whole or cannot be completed.
async fn produce(
    shared: Rc<Shared>,
    head: Head,
    model: SmolStr,
    body: Map<String, Value>,
    mut route: Route,
    sender: mpsc::Sender<Piecewise>,
) {
    let start = shared.now();
    let mut guard = Guard {
        shared: shared.clone(),
        call: route.call,
        served: false,
        tokens: 0,
        address: route.address.clone(),
        id: head.id.clone(),
    };
    let mut text = 0;
    loop {
        guard.address = route.address.clone();
        let group = match &route.target {
            Id::Group(group) => *group,
            Id::Server(_) => 0,
        };
        let chat = Chat {
            id: head.id.clone(),
            group,
            priority: head.priority,
            body: body.clone(),
            resume_from: route.from,
            first_event_timeout: shared.left(head.deadline).min(FIRST_PIECE),
        };
        let attempt = Attempt { shared: &shared, route: &route, start, head: &head, model: &model };
        let loss = match attempt.run(&chat, &mut guard, &mut text, &sender).await {
            Ended::Whole | Ended::CallerGone => return,
            Ended::Rejected(error) => {
                let _ = sender.send(Piecewise::Broken(error)).await;
                return;
            }
            Ended::Lost(loss) => loss,
        };
        match callers::next(&shared, &route, loss).await {
            Ok(next) => route = next,
            Err(error) => {
                let _ = sender.send(Piecewise::Broken(error)).await;
                return;
            }
        }
    }
}

/// How an attempt ended.
enum Ended {
    Whole,
    CallerGone,
    /// The engine does not accept the request.
    Rejected(Error),
    Lost(Loss),
}

/// One connection of a call.
struct Attempt<'a> {
    shared: &'a Rc<Shared>,
    route: &'a Route,
    start: mgw_base::time::Instant,
    head: &'a Head,
    model: &'a SmolStr,
}

impl Attempt<'_> {
    async fn run(
        &self,
        chat: &Chat,
        guard: &mut Guard,
        text: &mut usize,
        sender: &mpsc::Sender<Piecewise>,
    ) -> Ended {
        let engine = &self.shared.clients.engine;
        let opened = tokio::select! {
            opened = engine.complete(&self.route.address, chat) => opened,
            () = sender.closed() => return Ended::CallerGone,
        };
        let mut answer = match opened {
            Ok(answer) => answer,
            Err(error) => return rejected(&error.cause),
        };
        let (call, connection) = (self.route.call, self.route.connection);
        let (mut reason, mut usage) = (SmolStr::default(), None);
        loop {
            let event = tokio::select! {
                event = answer.events.next() => event,
                () = sender.closed() => return Ended::CallerGone,
            };
            match event {
                None => return Ended::Lost(Loss::Cut),
                Some(Err(error)) => return Ended::Lost(loss(&error.cause)),
                Some(Ok(Event::Token { request_id: request, position, text: token })) => {
                    let offset = position.unwrap_or(u64::from(guard.tokens));
                    let piece = Chunk { connection, request: &request, offset, tokens: 1 };
                    // Waking the driver for every token would cost a tick and a timer each.
                    match self.shared.act(|node, now| node.piece(now, call, &piece)) {
                        Disposition::Forward { .. } => {}
                        Disposition::Discard(Discard::Duplicate) => continue,
                        Disposition::Discard(_) | Disposition::Gap => {
                            return Ended::Lost(Loss::Garbled);
                        }
                    }
                    if guard.tokens == 0 {
                        let span = self.shared.now().since(self.start);
                        self.shared.metrics.time(
                            &metrics::FIRST_TOKEN,
                            span,
                            &self.head.team,
                            self.model,
                        );
                    }
                    guard.tokens += 1;
                    *text += token.len();
                    if *text > TEXT_LIMIT {
                        self.shared.with(|node, _| node.drop_text(call));
                    }
                    if sender.send(Piecewise::Text(token)).await.is_err() {
                        return Ended::CallerGone;
                    }
                }
                Some(Ok(Event::Finish { request_id: request, reason: why, usage: counts })) => {
                    if request != self.head.id {
                        return Ended::Lost(Loss::Garbled);
                    }
                    (reason, usage) = (why, counts);
                }
                Some(Ok(Event::Done)) => {
                    let total = usage.map(|usage| usage.completion_tokens);
                    let id = &self.head.id;
                    match self.shared.act(|node, _| node.end(call, connection, id, total)) {
                        Completion::Complete => {}
                        Completion::Truncated | Completion::Discard(_) => {
                            return Ended::Lost(Loss::Garbled);
                        }
                    }
                    guard.served = true;
                    let tokens = u64::from(guard.tokens);
                    let prompt_tokens = usage.map_or(0, |usage| usage.prompt_tokens);
                    let _ = sender.send(Piecewise::End { reason, prompt_tokens, tokens }).await;
                    return Ended::Whole;
                }
            }
        }
    }
}

fn rejected(cause: &Cause) -> Ended {
    match cause {
        Cause::Status { status: 400..=499, excerpt } => {
            Ended::Rejected(Error::new(Code::BadRequest, excerpt.as_str()))
        }
        Cause::Status { .. } => Ended::Lost(Loss::Unready),
        cause => Ended::Lost(loss(cause)),
    }
}

/// What a failed exchange says of the connection.
pub fn loss(cause: &Cause) -> Loss {
    match cause {
        cause if cause.is_unsent() => Loss::Refused,
        Cause::Timeout | Cause::IdleTimeout => Loss::Silent,
        Cause::Closed(_) | Cause::Truncated | Cause::PeerError(_) => Loss::Cut,
        Cause::Status { .. } => Loss::Unready,
        _ => Loss::Garbled,
    }
}

async fn whole_answer(
    head: &Head,
    model: &str,
    first: Piecewise,
    mut receiver: mpsc::Receiver<Piecewise>,
) -> Result<Response<BoxBody>, Error> {
    let mut content = String::new();
    let mut next = Some(first);
    loop {
        match next {
            Some(Piecewise::Text(text)) => content.push_str(&text),
            Some(Piecewise::End { reason, prompt_tokens, tokens }) => {
                return Ok(http::json(
                    200,
                    &json!({
                        "id": head.id,
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
            Some(Piecewise::Broken(error)) => return Err(error),
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

fn stream_answer(
    head: &Head,
    model: &str,
    first: Piecewise,
    receiver: mpsc::Receiver<Piecewise>,
) -> Response<BoxBody> {
    let (id, model) = (head.id.clone(), model.to_owned());
    let rest = stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|piece| (piece, receiver))
    });
    let pieces = stream::once(async move { first }).chain(rest);
    let lines = pieces.map(move |piece| Ok::<_, std::io::Error>(event(&id, &model, piece)));
    let body = BoxBody::new(BodyStream::new(Box::pin(lines)));
    let mut response = Response::ok().set_body(body);
    http::set_header(&mut response, "content-type", "text/event-stream");
    http::set_header(&mut response, "cache-control", "no-store");
    response
}

/// A piece as server-sent events. A broken answer ends with an error event and without `[DONE]`.
fn event(id: &str, model: &str, piece: Piecewise) -> Bytes {
    let chunk = |delta: Value, reason: Option<&str>| {
        json!({
            "id": id,
            "object": "chat.completion.chunk",
            "model": model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": reason }],
        })
    };
    match piece {
        Piecewise::Text(text) => {
            format!("data: {}\n\n", chunk(json!({ "content": text }), None)).into()
        }
        Piecewise::End { reason, .. } => {
            format!("data: {}\n\ndata: [DONE]\n\n", chunk(json!({}), Some(&reason))).into()
        }
        Piecewise::Broken(error) => {
            let broken = Error { code: Code::StreamBroken, ..error };
            let json = serde_json::to_string(&broken.json()).unwrap_or_default();
            format!("event: error\ndata: {json}\n\n").into()
        }
    }
}
