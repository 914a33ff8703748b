//! Chat completions whose text is a deterministic function of the model and the prompt.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use mgw_report::report::Phase;
use serde_json::{Value, json};
use smol_str::SmolStr;

use super::{Engine, batch, cache, order};
use crate::server::{self, Call, Reply, lock};

/// Vocabulary of the generated text; each token is one word.
const WORDS: &[&str] = &[
    "a",
    "and",
    "at",
    "boiler",
    "call",
    "cellar",
    "chutney",
    "crate",
    "damp",
    "driver",
    "found",
    "gauge",
    "is",
    "joint",
    "leak",
    "lentil",
    "loading",
    "main",
    "meter",
    "near",
    "of",
    "on",
    "order",
    "pipe",
    "potato",
    "pressure",
    "route",
    "samosa",
    "shop",
    "sound",
    "stock",
    "survey",
    "technician",
    "the",
    "thermal",
    "to",
    "tray",
    "valve",
    "van",
    "visit",
    "wall",
    "with",
];

/// Offset basis of the 64-bit FNV-1a hash.
pub(super) const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Extends the 64-bit FNV-1a hash `hash` by `bytes`.
pub(super) fn fnv1a(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}

/// The generation for one request.
struct Generation {
    engine: Arc<Engine>,
    /// Id by which the request can be cancelled.
    request_id: SmolStr,
    /// Request id in the response, which differs under the fault `other_id`.
    response_id: SmolStr,
    model: SmolStr,
    prompt: String,
    seed: u64,
    /// Position of the next token.
    position: u64,
    /// Position after the last token.
    end: u64,
    finish_reason: &'static str,
    priority: u8,
    /// Epoch of the assignment at the start; the generation is aborted when it changes.
    epoch: u64,
    /// Position at which the fault `cut` aborts the generation.
    cut_at: Option<u64>,
    slot: Option<batch::Slot>,
}

impl Drop for Generation {
    fn drop(&mut self) {
        let mut requests = lock(&self.engine.requests);
        if let Some(index) = requests.iter().position(|(id, _)| *id == self.request_id) {
            requests.remove(index);
        }
    }
}

/// Result of one step of a generation.
enum Step {
    Token { position: u64, text: String },
    End,
    Aborted,
}

/// Handles `POST /v1/chat/completions`.
pub(super) async fn complete(engine: Arc<Engine>, call: Call) -> Reply {
    let text = std::str::from_utf8(&call.body).unwrap_or_default();
    let crash = |fault: &crate::fault::Fault| fault.text("text").is_some_and(|t| text.contains(t));
    if engine.faults.take_if("crash_on", crash).is_some() {
        return Reply::Crash;
    }
    let body: Value = match serde_json::from_slice(&call.body) {
        Ok(body) => body,
        Err(error) => return Reply::error(400, &error.to_string()),
    };
    let assignment = lock(&engine.assignment).clone();
    let group = call.header("x-group").and_then(|group| group.parse::<u64>().ok());
    if assignment.phase != Phase::Ready
        || assignment.rank != 0
        || group.is_some_and(|id| id != assignment.group)
    {
        return Reply::error(503, "not rank 0 of a ready group");
    }
    let members_ready = match engine.all_members_ready() {
        Some(members_ready) => members_ready,
        None => order::check_members(&engine).await,
    };
    if !members_ready {
        return Reply::error(503, "a member of the group is missing");
    }
    let model = SmolStr::from(body["model"].as_str().unwrap_or_default());
    if model != assignment.model && !assignment.adapters.contains(&model) {
        return Reply::error(404, "the model is not loaded");
    }
    let Some(messages) = body["messages"].as_array() else {
        return Reply::error(400, "expected an array `messages`");
    };
    let prompt: String = messages.iter().map(render_message).collect();
    let seed = fnv1a(fnv1a(FNV_OFFSET_BASIS, model.as_bytes()), prompt.as_bytes());
    let natural_length = 16 + splitmix64(seed) % 48;
    let max_tokens = body["max_tokens"].as_u64().unwrap_or(u64::MAX);
    let request_id = SmolStr::from(call.header("x-request-id").unwrap_or_default());
    let response_id = engine.faults.take("other_id").map_or_else(
        || request_id.clone(),
        |fault| fault.text("id").unwrap_or("another-request").into(),
    );
    lock(&engine.requests).push((request_id.clone(), false));
    let generation = Generation {
        request_id,
        response_id: response_id.clone(),
        model,
        prompt,
        seed,
        position: body["resume_from"].as_u64().unwrap_or(0),
        end: natural_length.min(max_tokens),
        finish_reason: if max_tokens < natural_length { "length" } else { "stop" },
        priority: call.header("x-priority").and_then(|text| text.parse().ok()).unwrap_or(0),
        epoch: assignment.epoch,
        cut_at: engine.faults.take("cut").map(|fault| fault.number("after").unwrap_or(0.0) as u64),
        slot: None,
        engine,
    };
    match body["stream"].as_bool() {
        Some(true) => Reply::Stream {
            headers: vec![
                ("content-type", "text/event-stream".into()),
                ("x-request-id", response_id.to_string()),
            ],
            body: Box::pin(stream::unfold(Some(generation), next_chunk)),
        },
        _ => generation.into_reply().await,
    }
}

/// Returns the next part of the event stream; an error closes the connection.
async fn next_chunk(
    generation: Option<Generation>,
) -> Option<(io::Result<Bytes>, Option<Generation>)> {
    let mut generation = generation?;
    match generation.step().await {
        Step::Token { position, text } => {
            let duplicate = generation.engine.faults.take_if("duplicate", |fault| {
                fault.number("at").is_none_or(|at| at as u64 == position)
            });
            let mut event = generation.chunk_json(json!({ "content": text }), None);
            event["token"] = json!(position);
            let event = format!("data: {event}\n\n");
            let copies = 1 + usize::from(duplicate.is_some());
            Some((Ok(event.repeat(copies).into()), Some(generation)))
        }
        Step::End => {
            let mut event = generation.chunk_json(json!({}), Some(generation.finish_reason));
            event["usage"] = generation.usage();
            Some((Ok(format!("data: {event}\n\ndata: [DONE]\n\n").into()), None))
        }
        Step::Aborted => Some((Err(io::Error::other("generation aborted")), None)),
    }
}

impl Generation {
    /// Generates the complete text and returns a non-streaming response.
    async fn into_reply(mut self) -> Reply {
        let mut content = String::new();
        loop {
            match self.step().await {
                Step::Token { text, .. } => content.push_str(&text),
                Step::End => break,
                Step::Aborted => return Reply::Disconnect,
            }
        }
        let response = json!({
            "id": self.response_id,
            "object": "chat.completion",
            "created": server::now_ms() / 1_000,
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": content },
                "finish_reason": self.finish_reason,
            }],
            "usage": self.usage(),
        });
        match Reply::json(200, &response) {
            Reply::Full { status, mut headers, body } => {
                headers.push(("x-request-id", self.response_id.to_string()));
                Reply::Full { status, headers, body }
            }
            other => other,
        }
    }

    /// Generates the next token. The first call waits for a slot and simulates the prefill first.
    async fn step(&mut self) -> Step {
        let engine = self.engine.clone();
        if self.slot.is_none() {
            self.slot = engine.batch.acquire(self.priority).await;
            let (blocks, missing) = lock(&engine.cache).insert_prompt(&self.prompt);
            ::log::debug!(
                "request {}: {missing} of {blocks} prompt blocks are not in the prefix cache",
                self.request_id
            );
            // The last, incomplete block is never cached, so it always needs a prefill.
            simulate_delay(&engine, engine.options.block_prefill_time * (missing as u32 + 1)).await;
        }
        if self.position >= self.end {
            return Step::End;
        }
        simulate_delay(&engine, engine.options.token_interval).await;
        let position = self.position;
        // After a pause of this process the last check is too old, and the members are checked
        // again.
        let members_ready = match engine.all_members_ready() {
            Some(members_ready) => members_ready,
            None => order::check_members(&engine).await,
        };
        match () {
            () if engine.is_cancelled(&self.request_id) => {
                self.finish_reason = "cancelled";
                return Step::End;
            }
            () if self.cut_at == Some(position) => return Step::Aborted,
            () if engine.epoch() != self.epoch => return Step::Aborted,
            () if !members_ready => return Step::Aborted,
            () => self.position += 1,
        }
        let word =
            WORDS[(splitmix64(self.seed ^ splitmix64(position)) % WORDS.len() as u64) as usize];
        let text = match engine.faults.take("large") {
            Some(fault) => "x".repeat(fault.number("bytes").unwrap_or(1e6) as usize),
            None if position == 0 => word.to_owned(),
            None => format!(" {word}"),
        };
        Step::Token { position, text }
    }

    /// Returns a chunk of the streaming response.
    fn chunk_json(&self, delta: Value, finish_reason: Option<&str>) -> Value {
        json!({
            "id": self.response_id,
            "object": "chat.completion.chunk",
            "created": server::now_ms() / 1_000,
            "model": self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": finish_reason }],
        })
    }

    /// Returns the token usage. The stand-in has no tokenizer and counts one prompt token per
    /// block.
    fn usage(&self) -> Value {
        let prompt = self.prompt.len().div_ceil(cache::BLOCK_BYTES) as u64;
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": self.position,
            "total_tokens": prompt + self.position,
        })
    }
}

/// Sleeps for `duration` times the group's slow factor, then waits while the stand-in is paused.
async fn simulate_delay(engine: &Engine, duration: Duration) {
    actix_rt::time::sleep(duration.mul_f64(engine.group_slow_factor())).await;
    server::wait_while_paused(&engine.faults).await;
}

/// Returns the prompt text of a message; see the module `cache`.
fn render_message(message: &Value) -> String {
    let role = message["role"].as_str().unwrap_or("user");
    match &message["content"] {
        Value::String(content) => format!("{role}:{content}\n"),
        content => format!("{role}:{content}\n"),
    }
}

/// SplitMix64: adds the increment to `value` and applies the finalizer, which mixes all bits.
fn splitmix64(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
