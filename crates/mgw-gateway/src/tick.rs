//! Periodic tasks of the process.

use std::rc::Rc;
use std::time::Duration;

use mgw_base::time::Instant;
use mgw_base::timer;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::entry::Phase;
use mgw_fleet::fan_out::ROUND_INTERVAL;
use mgw_fleet::peer_load::target_hash;
use tokio::net::UdpSocket;

use crate::clock;
use crate::forward::STALLED_COOLDOWN;
use crate::gateway::Gateway;
use crate::gossip;
use crate::limit;
use crate::work;

/// Interval of the check of the requests in flight for deadlines and stalls.
const REQUEST_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Interval of the update of the phase, the roster and the retry budget, and of flushing the log.
const CONTROL_INTERVAL: Duration = Duration::from_millis(200);

/// Interval of removing expired data and sampling the demand.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

/// Factor applied to the requested work each second.
const DEMAND_DECAY: f64 = 0.9;

/// A task with its own interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    CheckRequests,
    Gossip,
    Control,
    CleanUp,
}

/// Runs the periodic tasks for as long as the process runs.
pub async fn run(gateway: Rc<Gateway>, socket: Rc<UdpSocket>) {
    let mut sequence = 0;
    let mut timers = timer::Queue::default();
    let start = clock::now();
    timers.schedule_periodic(start, REQUEST_CHECK_INTERVAL, Task::CheckRequests);
    timers.schedule_periodic(start, ROUND_INTERVAL, Task::Gossip);
    timers.schedule_periodic(start, CONTROL_INTERVAL, Task::Control);
    timers.schedule_periodic(start, CLEANUP_INTERVAL, Task::CleanUp);
    loop {
        let now = clock::now();
        while let Some(task) = timers.pop_due(now) {
            match task {
                Task::CheckRequests => check_requests(&gateway, now),
                Task::Gossip => {
                    sequence += 1;
                    let settings = gateway.settings();
                    gateway.with(|state| limit::update_ceilings(state, &settings));
                    gossip::broadcast(&gateway, &socket, sequence);
                }
                Task::Control => control(&gateway, now),
                Task::CleanUp => clean_up(&gateway, now),
            }
        }
        let pause = timers.next_due().map_or(REQUEST_CHECK_INTERVAL, |due| due.since(clock::now()));
        tokio::time::sleep(pause).await;
    }
}

/// Wakes requests that are past their deadline, stalled or next in the queue for admission. Stalled
/// targets are avoided for a while and, if this entry is the planner, probed.
fn check_requests(gateway: &Gateway, now: Instant) {
    let has_news = gateway.with(|state| {
        state.admission.wake_next(now);
        let (stalled, pause) = state.requests.tick(now);
        if let Some(pause) = pause {
            let text = format!("the process did not run for {} ms", pause.as_millis());
            state.journal.record(Body::new(Kind::ProcessPaused).text(text));
        }
        let hash = |id| state.roster.get(id).map(|server| target_hash(&server.id));
        state.stalled_targets = stalled.iter().filter_map(|id| hash(*id)).collect();
        state.peer_loads.expire(now);
        let mut has_news = false;
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
                has_news |= work::announce_stalled(state, &name);
                state.journal.record(Body::new(Kind::TargetStalled).instance(&name));
            }
        }
        has_news
    });
    if has_news {
        gateway.work_news_due.notify_one();
    }
}

/// Updates the phase, the roster, the retry budget and the followers, and flushes the log. A change
/// is announced with a heartbeat.
fn control(gateway: &Gateway, now: Instant) {
    let settings = gateway.settings();
    let bound = settings.bounds.key_revocation_timeout;
    let has_changed = gateway.with(|state| {
        state.roster.tick(now);
        let trusts_keys = state.trusts_keys(bound, now);
        let phase = match state.phase {
            Phase::Draining => Phase::Draining,
            _ if state.config.is_some() && state.has_server_list && trusts_keys => Phase::Serving,
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
        state.update_retry_floor(settings.bounds.extra_retries);
        has_changed | state.remove_expired_followers(now)
    });
    if has_changed {
        gateway.heartbeat_due.send_replace(());
    }
}

/// Removes expired connections and suspects, and updates the demand.
fn clean_up(gateway: &Gateway, now: Instant) {
    gateway.with(|state| {
        state.pool.evict_expired(now);
        state.quarantine.tick(now);
        state.poison.tick(now);
        state.record_poison_changes();
        state.sample_load(now);
        state.requested_work.iter_mut().for_each(|(_, weight)| *weight *= DEMAND_DECAY);
        state.requested_work.retain(|_, weight| *weight > 0.1);
    });
}
