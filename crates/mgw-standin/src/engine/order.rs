//! Execution of orders, weight loads, and rank 0's checks of the other members.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mgw_report::report::{Action, Order, Phase};
use serde_json::{Value, json};
use smol_str::SmolStr;

use super::{Assignment, Engine, PeerCheck};
use crate::server::{self, Reply, lock};

/// Delay before a failed fetch from the weight store is retried.
const FETCH_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Timeout of a fetch from the weight store, including the wait in the store's queue.
const FETCH_TIMEOUT: Duration = Duration::from_secs(600);

/// Accepts or rejects `order`, and starts its execution if accepted.
///
/// Rejects an order for another boot id with 412, and one with a stale fencing token with 409.
pub(super) fn accept(engine: Arc<Engine>, order: Order) -> Reply {
    let options = &engine.options;
    if order.boot != options.boot_id {
        return Reply::json(412, &json!({ "boot": options.boot_id }));
    }
    let (load, monitor, epoch) = {
        let mut assignment = lock(&engine.assignment);
        if options.fencing && order.fence < assignment.fence {
            return Reply::json(409, &json!({ "fence": assignment.fence }));
        }
        // An engine without fencing does not store the token either.
        let fence = if options.fencing { order.fence } else { 0 };
        let next = match order.order {
            Action::Load => Assignment {
                fence,
                group: order.group,
                rank: order.rank,
                model: order.model,
                version: order.version,
                adapters: order.adapters,
                members: order.members,
                phase: assignment.phase,
                epoch: assignment.epoch,
            },
            Action::Unload => Assignment { fence, epoch: assignment.epoch, ..Assignment::idle() },
        };
        let same_weights = (&assignment.model, &assignment.version, &assignment.adapters)
            == (&next.model, &next.version, &next.adapters);
        let same_group = (assignment.group, assignment.rank, &assignment.members)
            == (next.group, next.rank, &next.members);
        let loading_or_ready = matches!(assignment.phase, Phase::Loading | Phase::Ready);
        let unload = order.order == Action::Unload;
        let weights_kept = !unload && same_weights && loading_or_ready;
        let changed = !weights_kept || !same_group;
        let phase = match assignment.phase {
            _ if unload => Phase::Idle,
            // If only the group changes during a load, the epoch changes too: the load in progress
            // has no effect, and a new one is started below.
            Phase::Ready if weights_kept => Phase::Ready,
            _ => Phase::Loading,
        };
        let load = changed && phase == Phase::Loading;
        let epoch = assignment.epoch + u64::from(changed);
        *assignment = Assignment { phase, epoch, ..next };
        if !weights_kept {
            lock(&engine.cache).clear();
        }
        let monitor = changed && assignment.rank == 0 && assignment.members.len() > 1;
        (load, monitor, epoch)
    };
    if load {
        actix_rt::spawn(load_weights(engine.clone(), epoch));
    }
    if monitor {
        actix_rt::spawn(monitor_members(engine.clone(), epoch));
    }
    match engine.faults.take("order_lost") {
        Some(_) => Reply::Disconnect,
        None => Reply::json(200, &json!({})),
    }
}

/// Loads the weights, then sets the phase to ready, or to failed under the fault `load_failed`.
///
/// The result is discarded if a later order has changed the epoch.
async fn load_weights(engine: Arc<Engine>, epoch: u64) {
    match &engine.options.weight_store {
        None => actix_rt::time::sleep(engine.options.load_time).await,
        Some(store) => {
            let assignment = lock(&engine.assignment).clone();
            let body = json!({
                "instance": engine.options.instance,
                "model": assignment.model,
                "version": assignment.version,
                "bytes": engine.options.weight_bytes,
            });
            let client = awc::Client::builder().timeout(FETCH_TIMEOUT).finish();
            while engine.epoch() == epoch {
                let sent = client.post(format!("http://{store}/weights/fetch")).send_json(&body);
                match sent.await {
                    Ok(response) if response.status().is_success() => break,
                    _ => actix_rt::time::sleep(FETCH_RETRY_INTERVAL).await,
                }
            }
        }
    }
    server::wait_while_paused(&engine.faults).await;
    let failed = engine.faults.take("load_failed").is_some();
    let mut assignment = lock(&engine.assignment);
    if assignment.epoch == epoch {
        assignment.phase = if failed { Phase::Failed } else { Phase::Ready };
    }
}

/// Checks the other members periodically until a later order changes the epoch.
async fn monitor_members(engine: Arc<Engine>, epoch: u64) {
    let client = awc::Client::default();
    while engine.epoch() == epoch {
        server::wait_while_paused(&engine.faults).await;
        check_members_with(&engine, &client).await;
        actix_rt::time::sleep(engine.options.member_check_interval).await;
    }
}

/// Fetches the status of every other member, and stores and returns whether all are ready in this
/// group with the same model version.
pub(super) async fn check_members(engine: &Engine) -> bool {
    check_members_with(engine, &awc::Client::default()).await
}

async fn check_members_with(engine: &Engine, client: &awc::Client) -> bool {
    let assignment = lock(&engine.assignment).clone();
    let timeout = engine.options.member_check_interval.max(Duration::from_millis(50)) * 2;
    let others =
        assignment.members.iter().enumerate().filter(|(rank, _)| *rank != assignment.rank as usize);
    let statuses = others.map(|(_, member)| fetch_status(client, member, timeout));
    let statuses = futures_util::future::join_all(statuses).await;
    let all_ready = statuses.iter().all(|status| {
        status["group"] == assignment.group
            && status["model"] == assignment.model.as_str()
            && status["version"] == assignment.version.as_str()
            && status["state"] == "ready"
    });
    let max_slow_factor =
        statuses.iter().filter_map(|status| status["slow"].as_f64()).fold(1.0, f64::max);
    *lock(&engine.peer_check) = Some(PeerCheck {
        epoch: assignment.epoch,
        checked_at: Instant::now(),
        all_ready,
        max_slow_factor,
    });
    all_ready
}

/// Fetches a member's status; returns null if the member does not respond within the timeout.
async fn fetch_status(client: &awc::Client, member: &SmolStr, timeout: Duration) -> Value {
    let response = async {
        let mut response = client.get(format!("http://{member}/status")).send().await.ok()?;
        let body = response.body().await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    actix_rt::time::timeout(timeout, response).await.ok().flatten().unwrap_or_default()
}

impl Engine {
    /// Returns whether every other member was ready at the last check.
    ///
    /// Returns `None` if there was no check in this epoch, or the last one is at least five check
    /// intervals old.
    pub(super) fn all_members_ready(&self) -> Option<bool> {
        let assignment = lock(&self.assignment);
        if assignment.members.len() <= 1 {
            return Some(true);
        }
        let last_check = *lock(&self.peer_check);
        last_check
            .filter(|check| check.epoch == assignment.epoch)
            .filter(|check| check.checked_at.elapsed() < self.options.member_check_interval * 5)
            .map(|check| check.all_ready)
    }
}
