//! Admission under overload: what this entry keeps for [`mgw_fleet::admission`].

use std::rc::Rc;
use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_fleet::admission::Timeliness;
use mgw_fleet::admission::curve::Curve;
use mgw_fleet::admission::drain::Drain;
use mgw_fleet::admission::queue::{GroupPool, Queue, Ticket};
use mgw_fleet::admission::returns::{RefusedRequests, Schedule, Timeouts};
use mgw_fleet::admission::share;
use smol_str::SmolStr;
use tokio::sync::Notify;

/// Interval at which waiting requests that are late are tried again. They are not urgent, and what
/// the entry knows of the others' requests changes no faster.
const LATE_INTERVAL: Duration = Duration::from_millis(200);

/// What is known of the requests for a pool.
#[derive(Clone, Debug, Default)]
pub struct Statistics {
    /// Demand of the teams.
    pub shares: share::Table,
    /// Times until first events.
    pub curve: Curve,
    /// Pace of the requests that get only the room which others leave.
    pub drain: Drain,
}

/// The state of admission under overload.
#[derive(Debug, Default)]
pub struct Table {
    /// The waiting requests.
    pub queue: Queue<Rc<Notify>>,
    /// When refused callers are asked to come back.
    pub returns: Schedule,
    /// The requests that were refused lately.
    pub refused: RefusedRequests,
    /// The timeouts that callers state, by route.
    pub timeouts: Map<SmolStr, Timeouts>,
    /// What is known of the requests for each pool.
    statistics: Map<GroupPool, Statistics>,
    /// When late requests were last tried.
    late_tried_at: Instant,
}

impl Table {
    /// What is known of the requests for `pool`.
    pub fn statistics(&mut self, pool: &GroupPool) -> &mut Statistics {
        self.statistics.get_or_insert_with(pool.clone(), Statistics::default)
    }

    /// Wakes the request that is next for each pool.
    pub fn wake_next(&mut self, now: Instant) {
        let includes_late = now.since(self.late_tried_at) >= LATE_INTERVAL;
        let is_due = |it: &&Ticket<Rc<Notify>>| {
            includes_late || it.claim.timeliness(now) == Timeliness::InTime
        };
        self.queue.heads(now).into_iter().filter(is_due).for_each(|it| it.wake.notify_one());
        if includes_late {
            self.late_tried_at = now;
        }
    }
}
