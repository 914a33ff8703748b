//! Instances leave groups that are over, so that they can join others.

use std::time::Duration;

use crate::plan::{Action, Order, Planner, View, command};
use crate::roster::Stage;

/// Time after which an instance that has not left is ordered again.
const RESEND: Duration = Duration::from_millis(600);

impl Planner {
    /// Orders instances to leave groups that are dissolved, or that the planner does not follow and
    /// whose heads do not serve as far as is known.
    pub(super) fn vacate(&mut self, view: &View<'_>, actions: &mut Vec<Action>) {
        self.vacated.retain(|_, at| view.now.since(*at) < RESEND);
        let serving = self.serving_epochs(view);
        for server in self.usable(view) {
            let Some(membership) = server.record.membership() else { continue };
            let is_due = server.order_count.is_some() && self.vacated.get(&server.id).is_none();
            let serves = serving.binary_search(&membership.epoch).is_ok();
            let is_dissolved = self.dissolved.binary_search(&membership.epoch).is_ok();
            if is_due && (is_dissolved || !serves) {
                self.vacated.insert(server.id.clone(), view.now);
                actions.push(command(server, Order::leave(membership)));
            }
        }
    }

    /// Epochs of the groups whose heads report that they serve, whoever formed them; sorted.
    fn serving_epochs(&self, view: &View<'_>) -> Vec<u64> {
        let heads = view.roster.iter().filter(|(_, server)| !self.liveness.is_lost(&server.id));
        let mut epochs: Vec<u64> = heads
            .filter_map(|(_, server)| server.record.head_membership())
            .filter(|membership| matches!(membership.stage, Stage::Open | Stage::Closing))
            .map(|membership| membership.epoch)
            .collect();
        epochs.sort_unstable();
        epochs
    }
}
