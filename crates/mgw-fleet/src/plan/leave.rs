//! Orders for instances to leave groups that are no longer used, so that they can join others.

use std::time::Duration;

use crate::plan::{Action, Order, Planner, View, command};
use crate::roster::Stage;

/// Interval at which an instance that still reports the group is ordered to leave again.
const LEAVE_RESEND_INTERVAL: Duration = Duration::from_millis(600);

impl Planner {
    /// Orders unassigned instances to leave their group if it was dissolved, or if no listed head
    /// serves it.
    pub(super) fn order_leaves(&mut self, view: &View<'_>, actions: &mut Vec<Action>) {
        self.leave_ordered.retain(|_, at| view.now.since(*at) < LEAVE_RESEND_INTERVAL);
        let serving = self.serving_epochs(view);
        for server in self.unassigned(view) {
            let Some(membership) = server.record.membership() else { continue };
            let is_due =
                server.order_count.is_some() && self.leave_ordered.get(&server.id).is_none();
            let serves = serving.binary_search(&membership.epoch).is_ok();
            let is_dissolved = self.dissolved_epochs.binary_search(&membership.epoch).is_ok();
            if is_due && (is_dissolved || !serves) && !self.is_preloading(server, membership, view)
            {
                self.leave_ordered.insert(server.id.clone(), view.now);
                actions.push(command(server, Order::leave(membership)));
            }
        }
    }

    /// Epochs of the groups whose reachable heads report that they serve, including groups that
    /// this planner does not manage; sorted.
    fn serving_epochs(&self, view: &View<'_>) -> Vec<u64> {
        let heads = view.roster.instances().filter(|server| !self.liveness.is_lost(&server.id));
        let mut epochs: Vec<u64> = heads
            .filter_map(|server| server.record.head_membership())
            .filter(|membership| matches!(membership.stage, Stage::Open | Stage::Closing))
            .map(|membership| membership.epoch)
            .collect();
        epochs.sort_unstable();
        epochs
    }
}
