//! Limits that servers set on the rate of their requests: what responses state, and what the
//! entries tell each other.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::peer_load::target_hash;
use mgw_fleet::rate::{self, Statement};
use mgw_fleet::rate_report::{self, MAX_ITEMS, Report};
use mgw_fleet::roster::ServerKey;
use mgw_http::head::Response;
use platform::header::ResponseMetadata;

use crate::clock;
use crate::gateway::State;

/// Records the limit that a response of the server `id` states. Only a success without one ends the
/// limit.
pub fn record(state: &mut State, id: ServerKey, response: &Response, metadata: &ResponseMetadata) {
    let rate = metadata.request_limit;
    if rate.is_some() || response.is_success() {
        let now = clock::now();
        apply_statement(state, id, Statement { rate, at: now }, now);
    }
}

fn apply_statement(state: &mut State, id: ServerKey, statement: Statement, now: Instant) {
    let Some(load) = state.roster.load_mut(id) else { return };
    if !load.rate.apply(statement, now) {
        return;
    }
    let Some(server) = state.roster.get(id) else { return };
    let text = match statement.rate {
        Some(rate) => format!("{rate:.2} requests/s"),
        None => "no limit".into(),
    };
    state.journal.record(Body::new(Kind::ServerLimited).instance(&server.id).text(text));
}

/// Counts a request that is sent to the server `id`.
pub fn record_sent(state: &mut State, id: ServerKey) {
    let share = share(state);
    if let Some(load) = state.roster.load_mut(id) {
        load.rate.record_sent(share, clock::now());
    }
}

/// The part of each limit that this entry may use.
pub fn share(state: &State) -> f64 {
    rate::share(state.peer_loads.len(), state.entries.serving().count())
}

/// Applies the report of another entry.
pub fn apply_report(state: &mut State, report: &Report) {
    let now = clock::now();
    let share = share(state);
    let mut targets: Vec<(u64, ServerKey)> =
        state.roster.iter().map(|(key, server)| (target_hash(&server.id), key)).collect();
    targets.sort_unstable();
    for item in &report.servers {
        let found = targets.binary_search_by_key(&item.target, |(target, _)| *target);
        let Ok(index) = found else { continue };
        let id = targets[index].1;
        let statement = Statement {
            rate: item.millirate.map(|rate| f64::from(rate) / 1_000.0),
            at: now - Duration::from_millis(item.age_ms.into()),
        };
        apply_statement(state, id, statement, now);
        if let Some(load) = state.roster.load_mut(id) {
            load.rate.record_peer(report.sender, item.sent, share, now);
        }
    }
}

/// What this entry, with the incarnation `sender`, tells the others of limited servers; empty if
/// there are none.
pub fn reports(state: &State, sender: u64) -> Vec<Report> {
    let now = clock::now();
    let servers: Vec<rate_report::Server> = state
        .roster
        .iter()
        .filter_map(|(_, server)| {
            let (statement, sent) = server.load.rate.news(now)?;
            let age = now.since(statement.at).as_millis();
            Some(rate_report::Server {
                target: target_hash(&server.id),
                millirate: statement.rate.map(|rate| (rate * 1_000.0) as u32),
                age_ms: u32::try_from(age).unwrap_or(u32::MAX),
                sent,
            })
        })
        .collect();
    let report = |servers: &[rate_report::Server]| Report { sender, servers: servers.to_vec() };
    servers.chunks(MAX_ITEMS).map(report).collect()
}
