//! Exchange of reports with the other entries, as UDP datagrams: of load
//! ([`mgw_fleet::peer_load`]), of crashes ([`mgw_fleet::crash_report`]), of servers with a request
//! limit ([`mgw_fleet::rate_report`]), of cold ones ([`mgw_fleet::cold_report`]) and of work
//! ([`mgw_fleet::work::report`], [`mgw_fleet::work::left`]).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bincode::error::EncodeError;
use mgw_base::sorted::Map;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::cold_report;
use mgw_fleet::crash_report;
use mgw_fleet::entry::Phase;
use mgw_fleet::fan_out;
use mgw_fleet::peer_load::{self, PlannerStatus, Report};
use mgw_fleet::plan::Planner;
use mgw_fleet::rate_report;
use mgw_fleet::work::{left, report as work_report};
use mgw_route::poison::{Clearance, Evidence, Part};
use smol_str::SmolStr;
use tokio::net::UdpSocket;

use crate::clock;
use crate::forward::STALLED_COOLDOWN;
use crate::gateway::{Gateway, State};
use crate::limit;
use crate::plain_work;
use crate::work;

/// Receives and applies reports for as long as the process runs.
pub async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut bytes = [0; peer_load::MAX_DATAGRAM_BYTES];
    loop {
        let received = match socket.recv_from(&mut bytes).await {
            Ok((size, _)) => &bytes[..size],
            Err(_) => {
                // For example, an ICMP error after a datagram to a peer that has exited.
                gateway.count("share", "receive_error");
                continue;
            }
        };
        apply_datagram(&gateway, received);
    }
}

/// Applies a report of any kind.
fn apply_datagram(gateway: &Gateway, received: &[u8]) {
    if let Some(report) = peer_load::decode(received) {
        if gateway.with(|state| apply(state, report)) {
            gateway.servers_read_due.notify_one();
        }
    } else if let Some(report) = crash_report::decode(received) {
        apply_crashes(gateway, report);
    } else if let Some(report) = rate_report::decode(received) {
        gateway.with(|state| limit::apply_report(state, &report));
    } else if let Some(report) = work_report::decode(received) {
        gateway.with(|state| {
            work::apply_report(state, &report);
            avoid_stalled(state, &report.stalled);
        });
    } else if let Some(report) = cold_report::decode(received) {
        gateway.with(|state| limit::apply_cold_report(state, &report));
    } else if let Some(report) = left::decode(received) {
        if gateway.settings().learns_service_times {
            gateway.with(|state| plain_work::apply_report(state, &report));
        }
    } else {
        gateway.count("share", "malformed");
    }
}

/// Applies the crash report of another entry.
fn apply_crashes(gateway: &Gateway, report: crash_report::Report) {
    let now = clock::now();
    gateway.with(|state| {
        for crash_report::Crash { part, request, server, position } in report.crashes {
            let evidence = Evidence { part: Part(part), request, server, position };
            state.poison.merge(evidence, false, now);
        }
        for answer in report.answers {
            let began = now - Duration::from_millis(answer.age_ms.into());
            state.poison.clear(Clearance { part: Part(answer.part), began });
        }
        state.record_poison_changes();
    });
}

/// What this entry tells the others of crashes and of answers; `None` if there is no news.
fn crash_report(state: &State) -> Option<crash_report::Report> {
    let now = clock::now();
    let (evidence, clearances) = state.poison.news(crash_report::MAX_ITEMS, now);
    let crash = |it: Evidence| crash_report::Crash {
        part: it.part.0,
        request: it.request,
        server: it.server,
        position: it.position,
    };
    let answer = |it: Clearance| crash_report::Answer {
        part: it.part.0,
        age_ms: u32::try_from(now.since(it.began).as_millis()).unwrap_or(u32::MAX),
    };
    let is_news = !evidence.is_empty() || !clearances.is_empty();
    is_news.then(|| crash_report::Report {
        crashes: evidence.into_iter().map(crash).collect(),
        answers: clearances.into_iter().map(answer).collect(),
    })
}

/// Makes new requests avoid the targets with these hashes, which another entry found stalled, and the
/// planner probe their groups.
fn avoid_stalled(state: &mut State, targets: &[u64]) {
    let now = clock::now();
    for target in targets {
        let found =
            state.roster.iter().find(|(_, server)| peer_load::target_hash(&server.id) == *target);
        let Some((id, name)) = found.map(|(id, server)| (id, server.id.clone())) else { continue };
        if let Some(load) = state.roster.load_mut(id) {
            load.avoid_until(now + STALLED_COOLDOWN);
        }
        if let Some(planner) = state.active_planner() {
            planner.suspect_group(&name, now);
        }
    }
}

/// Applies the load report of another entry: its requests in flight, the targets that it found
/// stalled, and its status as planner. Returns whether the planner has opened or closed groups
/// since its last report.
fn apply(state: &mut State, report: Report) -> bool {
    let now = clock::now();
    avoid_stalled(state, &report.stalled);
    let newer = report.planner.map(|it| it.term).filter(|term| state.planner_term() < Some(*term));
    if newer.is_some() && std::mem::take(&mut state.is_planner) {
        let text = format!("superseded by term {}", newer.unwrap_or_default());
        state.journal.record(Body::new(Kind::LeadLost).text(text));
    }
    let group_changes = report.planner.map(|it| (it.term, it.group_changes));
    let has_changed = group_changes
        .is_some_and(|group_changes| state.planner_group_changes != Some(group_changes));
    state.planner_group_changes = group_changes.or(state.planner_group_changes);
    state.peer_loads.apply(report, now);
    has_changed
}

/// Sends this entry's load report, and its reports of crashes and of cold and limited servers if there
/// is news, to other serving entries; see [`fan_out`].
pub fn broadcast(gateway: &Gateway, socket: &UdpSocket, sequence: u64) {
    let port = gateway.settings.metrics_address.port();
    let (report, crashes, limits, peers) = gateway.with(|state| {
        let has_stale_view = state.has_stale_view;
        let status = |planner: &mut Planner| PlannerStatus {
            term: planner.term(),
            group_changes: planner.group_changes(),
            has_stale_view,
        };
        let report = Report {
            sender: gateway.incarnation,
            sequence,
            in_flight: counts(state),
            stalled: state.stalled_targets.clone(),
            planner: state.active_planner().map(status),
        };
        let peers = peers(state, &gateway.settings.entry_name, port, sequence);
        (report, crash_report(state), limit::reports(state, gateway.incarnation), peers)
    });
    send(gateway, socket, &peers, peer_load::encode(&report));
    let work = |state: &mut State| plain_work::report(state, gateway.incarnation, sequence);
    if gateway.settings().learns_service_times
        && let Some(report) = gateway.with(work)
    {
        send(gateway, socket, &peers, left::encode(&report));
    }
    if let Some(report) = crashes {
        send(gateway, socket, &peers, crash_report::encode(&report));
    }
    for report in gateway.with(|state| limit::cold_reports(state)) {
        send(gateway, socket, &peers, cold_report::encode(&report));
    }
    for report in limits {
        send(gateway, socket, &peers, rate_report::encode(&report));
    }
}

/// The addresses of the entries that are sent to in the round `sequence`.
fn peers(state: &mut State, own: &SmolStr, port: u16, sequence: u64) -> Vec<SocketAddr> {
    let others = others(state, own);
    let targets = fan_out::targets(0, others.len() + 1, sequence);
    let address =
        |target: usize| peer_load::datagram_address(others[target - 1], port)?.parse().ok();
    let addresses = targets.filter_map(address).collect();
    let cycle = fan_out::cycle(others.len());
    state.peer_loads.set_cycle(cycle);
    addresses
}

/// The addresses for callers of the other serving entries, in the order of their names, from the one
/// after `own` on.
fn others<'a>(state: &'a State, own: &SmolStr) -> Vec<&'a str> {
    let serving = state.entries.serving();
    let entries: Vec<(&SmolStr, &str)> = serving
        .filter(|(name, it)| it.heartbeat.phase == Phase::Serving || *name == own)
        .map(|(name, it)| (name, it.heartbeat.caller_address.as_str()))
        .collect();
    // A draining entry is not in the list, but has a place in its order.
    let place = entries.partition_point(|(name, _)| *name < own);
    let is_listed = entries.get(place).is_some_and(|(name, _)| *name == own);
    entries[place + usize::from(is_listed)..]
        .iter()
        .chain(&entries[..place])
        .map(|(_, address)| *address)
        .collect()
}

/// Tells all other entries of the groups' work as soon as there is news, for as long as the process
/// runs.
pub async fn announce_work(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let port = gateway.settings.metrics_address.port();
    loop {
        gateway.work_news_due.notified().await;
        let (news, peers) = gateway.with(|state| {
            let news = std::mem::take(&mut state.work_news);
            let address = |address: &str| peer_load::datagram_address(address, port)?.parse().ok();
            let others = others(state, &gateway.settings.entry_name);
            let peers: Vec<SocketAddr> = others.into_iter().filter_map(address).collect();
            (news, peers)
        });
        send(&gateway, &socket, &peers, work_report::encode(&news));
    }
}

/// Sends a datagram to all `peers`.
fn send(
    gateway: &Gateway,
    socket: &UdpSocket,
    peers: &[SocketAddr],
    encoded: Result<Vec<u8>, EncodeError>,
) {
    let Ok(bytes) = encoded else { return gateway.count("share", "encode_error") };
    if bytes.len() > peer_load::MAX_DATAGRAM_BYTES {
        return gateway.count("share", "too_large");
    }
    for peer in peers {
        // No retry is needed after a full buffer or an unreachable peer: the next report replaces
        // this one.
        if socket.try_send_to(&bytes, *peer).is_err() {
            gateway.count("share", "send_error");
        }
    }
}

/// This entry's requests in flight by hash of the target, sorted; targets without any are left out.
fn counts(state: &State) -> Vec<(u64, u16)> {
    let mut counts: Map<u64, u16> = Map::default();
    for (_, server) in state.roster.iter() {
        let in_flight = server.load.in_flight;
        if in_flight > 0 {
            counts.insert(
                peer_load::target_hash(&server.id),
                in_flight.min(u32::from(u16::MAX)) as u16,
            );
        }
    }
    counts.iter().map(|(target, count)| (*target, *count)).collect()
}
