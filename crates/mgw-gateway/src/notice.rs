//! What responses state about the servers that they come from.

use std::time::Duration;

use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::notice::Process;
use mgw_http::head::Response;
use platform::header::ResponseMetadata;

use crate::clock;
use crate::gateway::State;

/// Status of the responses of processes that a request was not meant for.
pub const MISDIRECTED: u16 = 421;

/// Records what a response states about `process`, which it was expected from.
pub fn record(
    state: &mut State,
    process: &Process,
    response: &Response,
    metadata: &ResponseMetadata,
) {
    let is_named = metadata.faulty_instance.as_ref() == Some(&process.id);
    let is_from_process = response.status != MISDIRECTED || is_named;
    if is_from_process && metadata.is_leaving {
        record_leaving(state, process);
    }
    if let Some(pause) = metadata.pause {
        record_pause(state, process, pause);
    }
}

/// Records that `process` takes no requests from this entry for the time `pause`.
fn record_pause(state: &mut State, process: &Process, pause: Duration) {
    if state.roster.record_pause(process, pause, clock::now()) {
        let text = format!("{:.2} s", pause.as_secs_f64());
        state.journal.record(Body::new(Kind::ServerPaused).instance(&process.id).text(text));
    }
}

/// Records that `process` is leaving. Idle connections to it are closed.
fn record_leaving(state: &mut State, process: &Process) {
    if !state.roster.record_leaving(process, clock::now()) {
        return;
    }
    let listed = state.roster.by_id(&process.id).filter(|server| server.process() == *process);
    let listed_phase = listed.map(|server| server.record.phase);
    let text = format!("started_ms {}, in the list: {listed_phase:?}", process.started_ms);
    if let (Some(_), Some(key)) = (listed, state.roster.find(&process.id)) {
        state.pool.close_idle(key);
    }
    state.journal.record(Body::new(Kind::ServerLeaving).instance(&process.id).text(text));
}
