//! Exchange of request counts with the other entries, as UDP datagrams.

use std::net::SocketAddr;
use std::rc::Rc;

use mgw_base::sorted::Map;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::entry::Phase;
use mgw_fleet::peer_load::{self, FAN_OUT, PlannerStatus, Report};
use mgw_fleet::plan::Planner;
use rand::seq::SliceRandom;
use tokio::net::UdpSocket;

use crate::clock;
use crate::forward::STALLED_COOLDOWN;
use crate::gateway::{Gateway, State};

/// Receives and applies datagrams for as long as the process runs.
pub async fn receive(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut bytes = [0; peer_load::MAX_DATAGRAM_BYTES];
    loop {
        let share = match socket.recv_from(&mut bytes).await {
            Ok((size, _)) => peer_load::decode(&bytes[..size]),
            Err(_) => {
                // For example, an ICMP error after a datagram to a peer that has exited.
                gateway.count("share", "receive_error");
                continue;
            }
        };
        match share {
            Some(share) => {
                if gateway.with(|state| apply(state, share)) {
                    gateway.servers_read_due.notify_one();
                }
            }
            None => gateway.count("share", "malformed"),
        }
    }
}

/// Applies a datagram of another entry: its request counts, the targets that stalled for it, and
/// what it says as planner. Returns whether the planner has opened or closed groups since its last
/// datagram.
fn apply(state: &mut State, share: Report) -> bool {
    let now = clock::now();
    for target in &share.stalled {
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
    let newer = share.planner.map(|it| it.term).filter(|term| state.planner_term() < Some(*term));
    if newer.is_some() && std::mem::take(&mut state.is_planner) {
        let text = format!("superseded by term {}", newer.unwrap_or_default());
        state.journal.record(Body::new(Kind::LeadLost).text(text));
    }
    let moves = share.planner.map(|it| (it.term, it.group_changes));
    let has_moved = moves.is_some_and(|moves| state.planner_moves != Some(moves));
    state.planner_moves = moves.or(state.planner_moves);
    state.shares.apply(share, now);
    has_moved
}

/// Sends this entry's counts to the other serving entries; to [`FAN_OUT`] random ones if there are
/// more.
pub fn broadcast(gateway: &Gateway, socket: &UdpSocket, sequence: u64) {
    let port = gateway.settings.metrics_address.port();
    let (share, peers) = gateway.with(|state| {
        let is_blind = state.is_blind;
        let planning = |planner: &mut Planner| PlannerStatus {
            term: planner.term(),
            group_changes: planner.group_changes(),
            has_stale_view: is_blind,
        };
        let share = Report {
            sender: gateway.incarnation,
            sequence,
            in_flight: counts(state),
            stalled: state.stalled_targets.clone(),
            planner: state.active_planner().map(planning),
        };
        let own = gateway.settings.callers_address.to_string();
        let mut peers: Vec<SocketAddr> = state
            .entries
            .serving()
            .filter(|(_, it)| {
                it.heartbeat.caller_address != own && it.heartbeat.phase == Phase::Serving
            })
            .filter_map(|(_, it)| {
                peer_load::datagram_address(&it.heartbeat.caller_address, port)?.parse().ok()
            })
            .collect();
        if peers.len() > FAN_OUT {
            peers.partial_shuffle(&mut state.rng, FAN_OUT);
            peers.truncate(FAN_OUT);
        }
        (share, peers)
    });
    let Ok(bytes) = peer_load::encode(&share) else {
        return gateway.count("share", "encode_error");
    };
    if bytes.len() > peer_load::MAX_DATAGRAM_BYTES {
        return gateway.count("share", "too_large");
    }
    for peer in peers {
        // No retry is needed after a full buffer or an unreachable peer: the next round replaces
        // this datagram.
        if socket.try_send_to(&bytes, peer).is_err() {
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
