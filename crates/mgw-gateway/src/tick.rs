//! The periodic work of the process.

use std::rc::Rc;
use std::time::Duration;

use mgw_base::time::Instant;
use mgw_base::timer;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::entry::Phase;
use mgw_fleet::peer_load::target_hash;
use tokio::net::UdpSocket;

use crate::clock;
use crate::forward::STALLED_COOLDOWN;
use crate::gateway::Gateway;
use crate::gossip;

/// Period of the watch over requests in flight.
const WATCH: Duration = Duration::from_millis(50);

/// Period of the check of the phase and of the writing of log lines.
const CONTROL: Duration = Duration::from_millis(200);

/// Period of datagrams with counts to the other entries.
const SHARE: Duration = Duration::from_millis(100);

/// Period of what only frees memory.
const CLEAN: Duration = Duration::from_secs(1);

/// What the counted demand is multiplied with each second.
const DEMAND_DECAY: f64 = 0.9;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Topic {
    Watch,
    Share,
    Control,
    Clean,
}

/// Runs for as long as the process does.
pub async fn run(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut sequence = 0;
    let mut timers = timer::Service::default();
    let start = clock::now();
    timers.every(start, WATCH, Topic::Watch);
    timers.every(start, SHARE, Topic::Share);
    timers.every(start, CONTROL, Topic::Control);
    timers.every(start, CLEAN, Topic::Clean);
    loop {
        let now = clock::now();
        while let Some(topic) = timers.pop(now) {
            match topic {
                Topic::Watch => watch(&gateway, now),
                Topic::Share => {
                    sequence += 1;
                    gossip::broadcast(&gateway, &socket, sequence);
                }
                Topic::Control => control(&gateway, now),
                Topic::Clean => clean(&gateway, now),
            }
        }
        let pause = timers.next().map_or(WATCH, |due| due.since(clock::now()));
        tokio::time::sleep(pause).await;
    }
}

fn watch(gateway: &Gateway, now: Instant) {
    gateway.with(|state| {
        let (stalled, pause) = state.requests.tick(now);
        if let Some(pause) = pause {
            let text = format!("{} ms", pause.as_millis());
            state.journal.record(Body::new(Kind::ProcessPaused).text(text));
        }
        let server = |id| state.roster.get(id).map(|server| target_hash(&server.id));
        state.stalled_targets = stalled.iter().filter_map(|id| server(*id)).collect();
        state.shares.expire(now);
        for id in stalled {
            let Some(server) = state.roster.get(id) else { continue };
            let name = server.id.clone();
            let is_new = !server.load.is_avoided(now);
            if let Some(load) = state.roster.load_mut(id) {
                load.avoid_until(now + STALLED_COOLDOWN);
            }
            if let Some(planner) = state.active_planner() {
                planner.suspect_group(&name, now);
            }
            if is_new {
                state.journal.record(Body::new(Kind::TargetStalled).instance(&name));
            }
        }
    });
}

fn control(gateway: &Gateway, now: Instant) {
    let bound = gateway.settings.bounds.key_revocation_timeout;
    let has_changed = gateway.with(|state| {
        state.roster.tick(now);
        let covers = state.covers_keys(bound, now);
        let phase = match state.phase {
            Phase::Draining => Phase::Draining,
            _ if state.config.is_some() && state.has_server_list && covers => Phase::Serving,
            _ => Phase::Starting,
        };
        let has_changed = phase != state.phase;
        if has_changed {
            let (kind, text) = match phase {
                Phase::Serving => (Kind::ConfigFresh, "serving"),
                Phase::Starting | Phase::Draining => (Kind::ConfigStale, "not serving"),
            };
            state.journal.record(Body::new(kind).text(text));
            state.phase = phase;
        }
        state.journal.flush();
        state.refresh_members();
        state.update_retry_floor(gateway.settings.bounds.extra_retries);
        has_changed | state.remove_expired_followers(now)
    });
    if has_changed {
        gateway.heartbeat_due.send_replace(());
    }
}

fn clean(gateway: &Gateway, now: Instant) {
    gateway.with(|state| {
        state.pool.evict_expired(now);
        state.quarantine.tick(now);
        state.sample_load(now);
        state.requested_work.iter_mut().for_each(|(_, weight)| *weight *= DEMAND_DECAY);
        state.requested_work.retain(|_, weight| *weight > 0.1);
    });
}
