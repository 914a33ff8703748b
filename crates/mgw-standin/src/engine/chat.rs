//! Chat completions with deterministic text.

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

/// Words of the generated text.
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

/// Start value of the FNV-1a hash.
pub(super) const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Continues the FNV-1a hash `hash` with `bytes`.
pub(super) fn fnv(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3))
}

/// What is generated for one request.
struct Job {
    engine: Arc<Engine>,
    /// The id it is known by for cancelling; the answer may name another under a fault.
    request: SmolStr,
    shown: SmolStr,
    model: SmolStr,
    prompt: String,
    seed: u64,
    /// The next token.
    position: u64,
    /// Token at which the text ends.
    end: u64,
    reason: &'static str,
    priority: u8,
    epoch: u64,
    cut: Option<u64>,
    slot: Option<batch::Slot>,
}

impl Drop for Job {
    fn drop(&mut self) {
        let mut requests = lock(&self.engine.requests);
        if let Some(place) = requests.iter().position(|(id, _)| *id == self.request) {
            requests.remove(place);
        }
    }
}

/// One step of a generation.
enum Step {
    Token { position: u64, text: String },
    End,
    Broken,
}

/// Answers `POST /v1/chat/completions`.
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
    let present = match engine.members_present() {
        Some(present) => present,
        None => order::check(&engine).await,
    };
    if !present {
        return Reply::error(503, "a member of the group is missing");
    }
    let model = SmolStr::from(body["model"].as_str().unwrap_or_default());
    if model != assignment.model && !assignment.adapters.contains(&model) {
        return Reply::error(404, "the model is not loaded");
    }
    let Some(messages) = body["messages"].as_array() else {
        return Reply::error(400, "expected an array `messages`");
    };
    let prompt: String = messages.iter().map(render).collect();
    let seed = fnv(fnv(FNV_BASIS, model.as_bytes()), prompt.as_bytes());
    let natural = 16 + mix(seed) % 48;
    let limit = body["max_tokens"].as_u64().unwrap_or(u64::MAX);
    let request = SmolStr::from(call.header("x-request-id").unwrap_or_default());
    let shown = engine.faults.take("other_id").map_or_else(
        || request.clone(),
        |fault| fault.text("id").unwrap_or("another-request").into(),
    );
    lock(&engine.requests).push((request.clone(), false));
    let job = Job {
        request,
        shown: shown.clone(),
        model,
        prompt,
        seed,
        position: body["resume_from"].as_u64().unwrap_or(0),
        end: natural.min(limit),
        reason: if limit < natural { "length" } else { "stop" },
        priority: call.header("x-priority").and_then(|text| text.parse().ok()).unwrap_or(0),
        epoch: assignment.epoch,
        cut: engine.faults.take("cut").map(|fault| fault.number("after").unwrap_or(0.0) as u64),
        slot: None,
        engine,
    };
    match body["stream"].as_bool() {
        Some(true) => Reply::Stream {
            headers: vec![
                ("content-type", "text/event-stream".into()),
                ("x-request-id", shown.to_string()),
            ],
            body: Box::pin(stream::unfold(Some(job), chunk)),
        },
        _ => job.whole().await,
    }
}

/// The next piece of the event stream; an error cuts the connection.
async fn chunk(job: Option<Job>) -> Option<(io::Result<Bytes>, Option<Job>)> {
    let mut job = job?;
    match job.step().await {
        Step::Token { position, text } => {
            let duplicate = job.engine.faults.take_if("duplicate", |fault| {
                fault.number("at").is_none_or(|at| at as u64 == position)
            });
            let mut event = job.event(json!({ "content": text }), None);
            event["token"] = json!(position);
            let event = format!("data: {event}\n\n");
            let times = 1 + usize::from(duplicate.is_some());
            Some((Ok(event.repeat(times).into()), Some(job)))
        }
        Step::End => {
            let mut event = job.event(json!({}), Some(job.reason));
            event["usage"] = job.usage();
            Some((Ok(format!("data: {event}\n\ndata: [DONE]\n\n").into()), None))
        }
        Step::Broken => Some((Err(io::Error::other("generation broke off")), None)),
    }
}

impl Job {
    async fn whole(mut self) -> Reply {
        let mut content = String::new();
        loop {
            match self.step().await {
                Step::Token { text, .. } => content.push_str(&text),
                Step::End => break,
                Step::Broken => return Reply::Disconnect,
            }
        }
        let answer = json!({
            "id": self.shown,
            "object": "chat.completion",
            "created": server::now_ms() / 1_000,
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": content },
                "finish_reason": self.reason,
            }],
            "usage": self.usage(),
        });
        match Reply::json(200, &answer) {
            Reply::Full { status, mut headers, body } => {
                headers.push(("x-request-id", self.shown.to_string()));
                Reply::Full { status, headers, body }
            }
            other => other,
        }
    }

    /// Waits for a slot and the prefill if need be, then for the next token.
    async fn step(&mut self) -> Step {
        let engine = self.engine.clone();
        if self.slot.is_none() {
            self.slot = engine.batch.enter(self.priority).await;
            let (blocks, missing) = lock(&engine.cache).visit(&self.prompt);
            ::log::debug!("request {}: {missing} of {blocks} blocks not cached", self.request);
            // The incomplete last block is always computed.
            wait(&engine, engine.options.block_prefill_time * (missing as u32 + 1)).await;
        }
        if self.position >= self.end {
            return Step::End;
        }
        wait(&engine, engine.options.token_interval).await;
        let position = self.position;
        // The last check is too old after a pause of this process.
        let present = match engine.members_present() {
            Some(present) => present,
            None => order::check(&engine).await,
        };
        match () {
            () if engine.cancelled(&self.request) => {
                self.reason = "cancelled";
                return Step::End;
            }
            () if self.cut == Some(position) => return Step::Broken,
            () if engine.epoch() != self.epoch => return Step::Broken,
            () if !present => return Step::Broken,
            () => self.position += 1,
        }
        let word = WORDS[(mix(self.seed ^ mix(position)) % WORDS.len() as u64) as usize];
        let text = match engine.faults.take("large") {
            Some(fault) => "x".repeat(fault.number("bytes").unwrap_or(1e6) as usize),
            None if position == 0 => word.to_owned(),
            None => format!(" {word}"),
        };
        Step::Token { position, text }
    }

    fn event(&self, delta: Value, reason: Option<&str>) -> Value {
        json!({
            "id": self.shown,
            "object": "chat.completion.chunk",
            "created": server::now_ms() / 1_000,
            "model": self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": reason }],
        })
    }

    /// The usage; a prompt token is counted per block, as the stand-in has no tokenizer.
    fn usage(&self) -> Value {
        let prompt = self.prompt.len().div_ceil(cache::BLOCK) as u64;
        json!({
            "prompt_tokens": prompt,
            "completion_tokens": self.position,
            "total_tokens": prompt + self.position,
        })
    }
}

/// Waits for `span`, longer if the group is slow, and through pauses.
async fn wait(engine: &Engine, span: Duration) {
    actix_rt::time::sleep(span.mul_f64(engine.slowdown())).await;
    server::wait_while_paused(&engine.faults).await;
}

fn render(message: &Value) -> String {
    let role = message["role"].as_str().unwrap_or("user");
    match &message["content"] {
        Value::String(content) => format!("{role}:{content}\n"),
        content => format!("{role}:{content}\n"),
    }
}

/// Spreads the bits of `value`; the finalizer of SplitMix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
