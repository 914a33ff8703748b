//! Orders, loads, and rank 0's checks of the other members.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mgw_report::report::{Action, Order, Phase};
use serde_json::{Value, json};
use smol_str::SmolStr;

use super::{Assignment, Engine, Peers};
use crate::server::{self, Reply, lock};

/// Pause before a failed fetch of weights is tried again.
const FETCH_RETRY: Duration = Duration::from_millis(200);

/// Longest time that one fetch may take, including the wait in the weight store's queue.
const FETCH_LIMIT: Duration = Duration::from_secs(600);

/// Accepts or rejects `order`, and starts to carry it out.
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
        // An engine that ignores the token does not remember it either.
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
        let loaded = matches!(assignment.phase, Phase::Loading | Phase::Ready);
        let unload = order.order == Action::Unload;
        let kept = !unload && same_weights && loaded;
        let changed = !kept || !same_group;
        let phase = match assignment.phase {
            _ if unload => Phase::Idle,
            // The load in progress ends with its epoch if the group changes.
            Phase::Ready if kept => Phase::Ready,
            _ => Phase::Loading,
        };
        let load = changed && phase == Phase::Loading;
        let epoch = assignment.epoch + u64::from(changed);
        *assignment = Assignment { phase, epoch, ..next };
        if !kept {
            lock(&engine.cache).clear();
        }
        let monitor = changed && assignment.rank == 0 && assignment.members.len() > 1;
        (load, monitor, epoch)
    };
    if load {
        actix_rt::spawn(fetch(engine.clone(), epoch));
    }
    if monitor {
        actix_rt::spawn(watch(engine.clone(), epoch));
    }
    match engine.faults.take("order_lost") {
        Some(_) => Reply::Disconnect,
        None => Reply::json(200, &json!({})),
    }
}

/// Loads the weights and makes the engine ready, unless a later order came in between.
async fn fetch(engine: Arc<Engine>, epoch: u64) {
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
            let client = awc::Client::builder().timeout(FETCH_LIMIT).finish();
            while engine.epoch() == epoch {
                let sent = client.post(format!("http://{store}/weights/fetch")).send_json(&body);
                match sent.await {
                    Ok(answer) if answer.status().is_success() => break,
                    _ => actix_rt::time::sleep(FETCH_RETRY).await,
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

/// Checks the other members until a later order changes the group.
async fn watch(engine: Arc<Engine>, epoch: u64) {
    let client = awc::Client::default();
    while engine.epoch() == epoch {
        server::wait_while_paused(&engine.faults).await;
        check_with(&engine, &client).await;
        actix_rt::time::sleep(engine.options.member_check_interval).await;
    }
}

/// Asks every other member for its status and notes whether all are ready in this group.
pub(super) async fn check(engine: &Engine) -> bool {
    check_with(engine, &awc::Client::default()).await
}

async fn check_with(engine: &Engine, client: &awc::Client) -> bool {
    let assignment = lock(&engine.assignment).clone();
    let limit = engine.options.member_check_interval.max(Duration::from_millis(50)) * 2;
    let asked =
        assignment.members.iter().enumerate().filter(|(rank, _)| *rank != assignment.rank as usize);
    let statuses = asked.map(|(_, member)| status(client, member, limit));
    let statuses = futures_util::future::join_all(statuses).await;
    let present = statuses.iter().all(|status| {
        status["group"] == assignment.group
            && status["model"] == assignment.model.as_str()
            && status["version"] == assignment.version.as_str()
            && status["state"] == "ready"
    });
    let slow = statuses.iter().filter_map(|status| status["slow"].as_f64()).fold(1.0, f64::max);
    *lock(&engine.peers) =
        Some(Peers { epoch: assignment.epoch, at: Instant::now(), present, slow });
    present
}

async fn status(client: &awc::Client, member: &SmolStr, limit: Duration) -> Value {
    let answer = async {
        let mut answer = client.get(format!("http://{member}/status")).send().await.ok()?;
        let body = answer.body().await.ok()?;
        serde_json::from_slice(&body).ok()
    };
    actix_rt::time::timeout(limit, answer).await.ok().flatten().unwrap_or_default()
}

impl Engine {
    /// Whether every other member was ready at the last check, which is recent.
    pub(super) fn members_present(&self) -> Option<bool> {
        let assignment = lock(&self.assignment);
        if assignment.members.len() <= 1 {
            return Some(true);
        }
        let peers = *lock(&self.peers);
        peers
            .filter(|peers| peers.epoch == assignment.epoch)
            .filter(|peers| peers.at.elapsed() < self.options.member_check_interval * 5)
            .map(|peers| peers.present)
    }
}
