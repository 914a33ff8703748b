//! Limits that servers set on the rate of their requests.

use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::roster::ServerKey;
use mgw_http::head::Response;
use platform::header::ResponseMetadata;

use crate::gateway::State;

/// Records the limit that a response of the server `id` states. Only a success without one ends the
/// limit.
pub fn record(state: &mut State, id: ServerKey, response: &Response, metadata: &ResponseMetadata) {
    let limit = metadata.request_limit;
    if limit.is_none() && !response.is_success() {
        return;
    }
    let Some(load) = state.roster.load_mut(id) else { return };
    if std::mem::replace(&mut load.request_limit, limit) == limit {
        return;
    }
    let Some(server) = state.roster.get(id) else { return };
    let text = match limit {
        Some(limit) => format!("{limit:.2} requests/s"),
        None => "no limit".into(),
    };
    state.journal.record(Body::new(Kind::ServerLimited).instance(&server.id).text(text));
}
