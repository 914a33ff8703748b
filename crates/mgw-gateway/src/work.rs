//! The work of the groups: what this entry sends them, what the other entries tell of theirs, and what
//! the events of streams show of a group's speed. See [`mgw_fleet::work`].

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_fleet::balance::Load;
use mgw_fleet::config::Engine;
use mgw_fleet::peer_load::target_hash;
use mgw_fleet::roster::ServerKey;
use mgw_fleet::work::report::{MAX_ITEMS, Prompt, Report, SlowTarget};
use mgw_fleet::work::{Backlog, Timing};
use platform::header::RequestMetadata;

use crate::clock;
use crate::gateway::State;

/// What a request asks of a group.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    timing: Timing,
    prompt_tokens: u32,
}

/// What is expected of a group that a request is sent to.
#[derive(Clone, Copy, Debug)]
pub struct Prediction {
    /// Time until the first event.
    pub first_event: Duration,
    /// The part of it in which the group reads other prompts.
    pub reading: Duration,
    /// Learned factor on the group's times.
    pub slowdown: f64,
    /// Time to read the prompt.
    read: Duration,
    /// Time between two events if the group reads no prompt.
    pass: Duration,
    /// Whether the other entries are told of the prompt.
    is_long: bool,
}

impl Demand {
    /// The demand of a request at a group of `engine`. `None` if the request states no known model or
    /// no token counts, or the engine no times.
    pub fn new(engine: &Engine, metadata: &RequestMetadata) -> Option<Self> {
        let model = engine.model(metadata.model.as_deref()?)?;
        let (prompt_tokens, _) = metadata.token_counts?;
        let has_times = !engine.step_time.is_zero() && engine.prefill_tokens_per_s > 0.0;
        has_times.then(|| Self { timing: Timing::new(engine, model), prompt_tokens })
    }

    /// What to expect of a group with this `load` and number of requests.
    pub fn predict(&self, load: &Load, requests: f64, now: Instant) -> Prediction {
        let slowdown = load.slowdown.factor(now);
        let backlog = Backlog { requests, reading: load.reading.left(now), slowdown };
        Prediction {
            first_event: self.timing.first_event(&backlog, self.prompt_tokens),
            reading: backlog.reading,
            slowdown,
            read: self.timing.read(self.prompt_tokens).mul_f64(slowdown),
            pass: self.timing.pass(requests),
            is_long: self.timing.is_long(self.prompt_tokens),
        }
    }
}

/// Records that a request with this prediction is sent to `target`. Returns whether there is news for
/// the other entries.
pub fn record_sent(state: &mut State, target: ServerKey, prediction: &Prediction) -> bool {
    if let Some(load) = state.roster.load_mut(target) {
        load.reading.add(prediction.read, clock::now());
    }
    let Some(server) = state.roster.get(target) else { return false };
    if !prediction.is_long || state.work_news.prompts.len() >= MAX_ITEMS {
        return false;
    }
    let read_ms = u16::try_from(prediction.read.as_millis()).unwrap_or(u16::MAX);
    state.work_news.prompts.push(Prompt { target: target_hash(&server.id), read_ms });
    true
}

/// Records the time between two events of a stream from `target`. `reading` is what the target had to
/// read at the first of them. Returns whether there is news for the other entries.
pub fn record_pass(
    state: &mut State,
    target: ServerKey,
    prediction: &Prediction,
    passed: Duration,
    reading: Duration,
) -> bool {
    let now = clock::now();
    let Some(load) = state.roster.load_mut(target) else { return false };
    let expected = prediction.pass + reading.max(load.reading.left(now));
    load.slowdown.record(passed, expected, now);
    let Some(factor) = load.slowdown.take_news(now) else { return false };
    let Some(server) = state.roster.get(target) else { return false };
    if state.work_news.slow.len() >= MAX_ITEMS {
        return false;
    }
    let percent = (factor * 100.0) as u16;
    state.work_news.slow.push(SlowTarget { target: target_hash(&server.id), percent });
    true
}

/// Tells the other entries of a target that this entry has found stalled. Returns whether there is news.
pub fn announce_stalled(state: &mut State, name: &str) -> bool {
    let has_room = state.work_news.stalled.len() < MAX_ITEMS;
    if has_room {
        state.work_news.stalled.push(target_hash(name));
    }
    has_room
}

/// What the target has to read, as far as this entry knows.
pub fn reading(state: &State, target: ServerKey) -> Duration {
    state.roster.get(target).map_or(Duration::ZERO, |it| it.load.reading.left(clock::now()))
}

/// Applies the report of another entry.
pub fn apply_report(state: &mut State, report: &Report) {
    let now = clock::now();
    let groups = state.groups();
    for group in groups.iter() {
        let Some(server) = state.roster.get(group.head) else { continue };
        let hash = target_hash(&server.id);
        let Some(load) = state.roster.load_mut(group.head) else { continue };
        for prompt in report.prompts.iter().filter(|it| it.target == hash) {
            load.reading.add(Duration::from_millis(prompt.read_ms.into()), now);
        }
        for slow in report.slow.iter().filter(|it| it.target == hash) {
            load.slowdown.merge(f64::from(slow.percent) / 100.0, now);
        }
    }
}

/// Time that all groups together need for the prompts that they have not read, as far as this entry
/// knows.
pub fn total_reading(state: &State) -> Duration {
    let now = clock::now();
    state.roster.iter().map(|(_, server)| server.load.reading.left(now)).sum()
}
