//! Limits on the rate of requests to a server: the one that its responses state and the entries tell
//! each other ([`mgw_fleet::rate`]), and its ceiling while it may be cold ([`mgw_fleet::ceiling`]).

use std::time::Duration;

use mgw_base::hash;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::ceiling::{Ceiling, Member, Window};
use mgw_fleet::cold_report;
use mgw_fleet::config::{Service, WarmUp};
use mgw_fleet::entry::{HEARTBEAT_TIMEOUT, Phase};
use mgw_fleet::peer_load::target_hash;
use mgw_fleet::rate::{self, Statement};
use mgw_fleet::rate_report::{self, MAX_ITEMS, Report};
use mgw_fleet::roster::{Server, ServerKey};
use mgw_http::head::Response;
use platform::header::ResponseMetadata;
use platform::settings::Settings;
use smol_str::SmolStr;

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

/// Whether the limits of `server`, a server of `service`, allow a request. `requests` is the estimated
/// number of requests there, and `share` the result of [`share`].
pub fn admits(service: &Service, server: &Server, requests: f64, share: f64, now: Instant) -> bool {
    let rate = &server.load.rate;
    let is_below_ceiling = match (&service.warm_up, &rate.window) {
        (None, _) => true,
        (Some(_), Some(window)) => window.admits(requests, now),
        // The ceiling of a server that has just been listed is not computed yet.
        (Some(_), None) => false,
    };
    is_below_ceiling && rate.admits(share, now)
}

/// Whether `server` is or may be cold.
pub fn is_cold(server: &Server, now: Instant) -> bool {
    server.load.rate.window.as_ref().is_some_and(|window| window.is_cold(now))
}

/// Records that, by its list entry, the server `id` stays cold for the time `left`.
pub fn record_cold(state: &mut State, id: &SmolStr, left: Duration) {
    let now = clock::now();
    let Some(key) = state.roster.find(id) else { return };
    let Some(window) = state.roster.load_mut(key).and_then(|it| it.rate.window.as_mut()) else {
        return;
    };
    let was_cold = window.is_cold(now);
    window.record_cold_entry(now + left, now);
    if !was_cold {
        let text = format!("for {} ms", left.as_millis());
        state.journal.record(Body::new(Kind::ServerCold).instance(id).text(text));
    }
}

/// What this entry tells the others of cold servers; empty if there are none.
pub fn cold_reports(state: &State) -> Vec<cold_report::Report> {
    let now = clock::now();
    let servers: Vec<cold_report::Server> = state
        .roster
        .iter()
        .filter_map(|(_, server)| {
            let left = server.load.rate.window.as_ref()?.cold_news(now)?.as_millis();
            let left_ms = u32::try_from(left).unwrap_or(u32::MAX);
            Some(cold_report::Server { target: target_hash(&server.id), left_ms })
        })
        .collect();
    let report = |servers: &[cold_report::Server]| cold_report::Report { servers: servers.into() };
    servers.chunks(cold_report::MAX_ITEMS).map(report).collect()
}

/// Applies another entry's report of cold servers.
pub fn apply_cold_report(state: &mut State, report: &cold_report::Report) {
    let now = clock::now();
    let cold: Map<u64, u32> = report.servers.iter().map(|it| (it.target, it.left_ms)).collect();
    let found: Vec<(ServerKey, u32)> = state
        .roster
        .iter()
        .filter_map(|(key, it)| Some((key, *cold.get(&target_hash(&it.id))?)))
        .collect();
    for (key, left_ms) in found {
        if let Some(window) = state.roster.load_mut(key).and_then(|it| it.rate.window.as_mut()) {
            window.record_cold(now + Duration::from_millis(left_ms.into()));
        }
    }
}

/// Updates this entry's quotas for the servers with a ceiling.
pub fn update_ceilings(state: &mut State, settings: &Settings) {
    let Some(config) = state.config.clone() else { return };
    let warm_up = |service: &SmolStr| config.services.get(service).and_then(|it| it.warm_up);
    if config.services.iter().all(|(_, it)| it.warm_up.is_none()) {
        return clear_ceilings(state);
    }
    let now = clock::now();
    state.allocation.update(members(state, settings), now);
    let quota_part = quota_part(state, now);
    let own = name_hash(&settings.entry_name);
    let servers: Vec<(ServerKey, u64, Option<WarmUp>)> = state
        .roster
        .iter()
        .map(|(key, it)| (key, target_hash(&it.id), warm_up(&it.record.service)))
        .collect();
    for (key, target, warm_up) in servers {
        let Some(load) = state.roster.load_mut(key) else { continue };
        let Some(warm_up) = warm_up else {
            load.rate.window = None;
            continue;
        };
        let bounds = &settings.bounds;
        let ceiling = Ceiling {
            cold_rate: warm_up.max_rate,
            bound: warm_up.max_rate * bounds.cold_overshoot + bounds.cold_slack,
            cold_time: warm_up.duration,
        };
        let window = load.rate.window.get_or_insert_with(|| Window::new(ceiling, now));
        window.update(ceiling, &state.allocation, own, target, now);
        window.set_quota_part(quota_part);
        if window.take_warmed(now) {
            record_warm(state, key, warm_up.max_rate);
        }
    }
}

/// Records that a server is warm again, which took `max_rate` requests a second while it was cold.
fn record_warm(state: &mut State, key: ServerKey, max_rate: f64) {
    let Some(server) = state.roster.get(key) else { return };
    let text = format!("{max_rate:.2} requests/s");
    state.journal.record(Body::new(Kind::ServerWarm).instance(&server.id).text(text));
}

/// The part of its quotas that this entry may use. If its list of entries is old, it may be missing
/// in the lists of the others, which then use its quotas soon.
fn quota_part(state: &State, now: Instant) -> f64 {
    let age = state.entries.last_read().map(|at| now.since(at));
    match age.is_some_and(|age| age < HEARTBEAT_TIMEOUT) {
        true => 1.0,
        false => share(state),
    }
}

/// Removes the ceilings of all servers.
fn clear_ceilings(state: &mut State) {
    let keys: Vec<ServerKey> = state.roster.iter().map(|(key, _)| key).collect();
    for key in keys {
        if let Some(load) = state.roster.load_mut(key) {
            load.rate.window = None;
        }
    }
}

/// The entries that get quotas: those that serve. This entry counts itself while it drains, as its
/// requests may still move to other servers.
fn members(state: &State, settings: &Settings) -> Vec<Member> {
    let own = &settings.entry_name;
    let others = state.entries.serving().filter(|(name, _)| *name != own);
    let mut members: Vec<Member> = others
        .map(|(name, it)| Member { name: name_hash(name), cores_milli: it.heartbeat.cores_milli })
        .collect();
    let is_listed = state.entries.serving().any(|(name, _)| name == own);
    if is_listed || state.phase == Phase::Draining {
        members.push(Member { name: name_hash(own), cores_milli: settings.cpu_millicores });
    }
    members.sort_unstable_by_key(|it| it.name);
    members
}

fn name_hash(name: &str) -> u64 {
    hash::parts(&[name.as_bytes()]) as u64
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
