//! The times of a group's passes, from the engine's configuration.
//!
//! A group works in passes. In each it reads the prompts that have arrived, and runs a few decoding
//! steps for all of its streams, each of which then yields an event.

use std::time::Duration;

use crate::config::{Engine, Model};
use crate::work::{Backlog, predicted_time};

/// The times of a group that runs one model.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Time of the decoding steps of a pass without any request, in seconds.
    pass_s: f64,
    /// Additional time of these steps per request, in seconds.
    pass_per_request_s: f64,
    /// Time to read a prompt token, in seconds.
    read_s: f64,
}

impl Timing {
    /// The times of a group of `engine` that runs `model`.
    pub fn new(engine: &Engine, model: &Model) -> Self {
        let steps = f64::from(engine.steps_per_pass.max(1)) * model.time_factor;
        Self {
            pass_s: engine.step_time.as_secs_f64() * steps,
            pass_per_request_s: engine.step_time_per_request.as_secs_f64() * steps,
            read_s: model.time_factor / engine.prefill_tokens_per_s.max(1.0),
        }
    }

    /// Time of the decoding steps of a pass with this number of requests.
    pub fn pass(&self, requests: f64) -> Duration {
        predicted_time(self.pass_s + self.pass_per_request_s * requests)
    }

    /// Time to read a prompt.
    pub fn read(&self, prompt_tokens: u32) -> Duration {
        predicted_time(self.read_s * f64::from(prompt_tokens))
    }

    /// Whether a prompt takes longer to read than an idle group's pass, so that others notice it.
    pub fn is_long(&self, prompt_tokens: u32) -> bool {
        self.read(prompt_tokens) > self.pass(0.0)
    }

    /// Expected time until the first event of a request that is sent to a group with this backlog:
    /// the rest of the current pass, on average a half, then the prompts before this one, and a pass
    /// with this prompt.
    pub fn first_event(&self, backlog: &Backlog, prompt_tokens: u32) -> Duration {
        let pass = self.pass(backlog.requests).as_secs_f64();
        let own = pass * 1.5 + self.read(prompt_tokens).as_secs_f64();
        predicted_time(own * backlog.slowdown) + backlog.reading
    }
}
