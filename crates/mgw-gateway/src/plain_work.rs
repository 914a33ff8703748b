//! The work of plain servers: what this entry's requests take there, and what the other entries tell of
//! theirs. See [`mgw_fleet::work::left`].

use std::time::Duration;

use mgw_base::hash;
use mgw_base::time::Instant;
use mgw_fleet::peer_load::target_hash;
use mgw_fleet::roster::ServerKey;
use mgw_fleet::work::left::{KindTime, MAX_ITEMS, MAX_KINDS, Report, Server};
use mgw_fleet::work::service_time::{Kind, Table};
use smol_str::SmolStr;

use crate::clock;
use crate::gateway::State;

/// A request that is sent to a plain server.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    /// Kind of the request.
    pub kind: Kind,
    /// When its server was chosen.
    pub at: Instant,
}

/// What an answer shows of the work of its server.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Time since the request was sent.
    pub time: Duration,
    /// Number of requests at the server, as stated in the answer, or else as estimated before.
    pub requests: f64,
}

/// Records that a request is sent to the server `target`.
pub fn record_sent(state: &mut State, target: ServerKey, sent: Sent) {
    if let Some(load) = state.roster.load_mut(target) {
        load.running.add(sent.kind, sent.at);
    }
}

/// Records that a request is no longer at the server `target`.
pub fn record_left(state: &mut State, target: ServerKey, sent: Sent) {
    if let Some(load) = state.roster.load_mut(target) {
        load.running.remove(sent.kind, sent.at);
    }
}

/// Learns from the successful answer of `target`. One that probably waited for a slot shows nothing.
pub fn record_answer(state: &mut State, target: ServerKey, kind: Kind, answer: Answer) {
    let State { roster, service_times, .. } = state;
    let Some(server) = roster.get(target) else { return };
    if answer.requests > f64::from(server.record.slots) {
        return;
    }
    let times = service_times.get_or_insert_with(server.record.service.clone(), Table::default);
    if let Some(load) = roster.load_mut(target) {
        times.record_answer(kind, answer.time, &mut load.speed, clock::now());
    }
}

/// What the other entries are told of the work at the servers of uneven services; `None` if there is no
/// such service.
pub fn report(state: &State, sender: u64, sequence: u64) -> Option<Report> {
    let now = clock::now();
    let uneven = || state.service_times.iter().filter(|(_, times)| times.is_uneven());
    uneven().next()?;
    let servers = state.roster.iter().filter(|(_, it)| it.load.in_flight > 0);
    let servers = servers.filter_map(|(_, server)| {
        let times = state.service_times.get(&server.record.service)?;
        let left_ms = (server.load.running.left_s(times, now) * 1_000.0) as u32;
        times.is_uneven().then(|| Server { target: target_hash(&server.id), left_ms })
    });
    let kinds = uneven().flat_map(|(service, times)| {
        times.known().map(|(kind, mean)| KindTime {
            service: service_hash(service),
            kind,
            mean_us: u32::try_from(mean.as_micros()).unwrap_or(u32::MAX),
        })
    });
    let (servers, kinds) = (servers.take(MAX_ITEMS).collect(), kinds.take(MAX_KINDS).collect());
    Some(Report { sender, sequence, servers, kinds })
}

/// Applies the report of another entry.
pub fn apply_report(state: &mut State, report: &Report) {
    let now = clock::now();
    state.peer_loads.apply_work(report);
    let Some(config) = state.config.clone() else { return };
    for told in &report.kinds {
        let is_told = |name: &&SmolStr| service_hash(name) == told.service;
        let Some(service) = config.services.iter().map(|(name, _)| name).find(is_told) else {
            continue;
        };
        let times = state.service_times.get_or_insert_with(service.clone(), Table::default);
        times.adopt(told.kind, Duration::from_micros(told.mean_us.into()), now);
    }
}

/// Number of services whose requests take clearly different times.
pub fn uneven_services(state: &State) -> usize {
    state.service_times.iter().filter(|(_, times)| times.is_uneven()).count()
}

/// The hash by which reports identify a service.
fn service_hash(name: &str) -> u64 {
    hash::parts(&[name.as_bytes()]) as u64
}
