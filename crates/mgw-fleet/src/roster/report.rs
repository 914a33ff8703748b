//! The engine state that a server reports itself, in its replies to probes and to orders.

use std::cmp::Ordering;
use std::time::Duration;

use mgw_base::time::Instant;

use crate::roster::changes::Mark;
use crate::roster::{Engine, Membership, Roster};

/// Time for which a report may still show a state from before the newest order. Reports lag by some
/// hundred milliseconds.
const MAX_REPORT_LAG: Duration = Duration::from_secs(1);

/// Whether a report with an unchanged order count shows an earlier stage in the same group than the
/// known one.
fn is_earlier_stage(known: Option<&Membership>, reported: Option<&Membership>) -> bool {
    known.zip(reported).is_some_and(|(known, reported)| {
        (&known.group, known.epoch) == (&reported.group, reported.epoch)
            && reported.stage < known.stage
    })
}

impl Roster {
    /// Applies the report of a server to a probe, unless it is older than the known state.
    ///
    /// `orders` is the number of orders that the process had accepted at the time of the report.
    pub fn apply_report(
        &mut self,
        id: &str,
        started_ms: u64,
        engine: Engine,
        orders: u64,
        now: Instant,
    ) {
        let Some(server) = self.instance_mut(id) else { return };
        if server.record.started_ms != started_ms {
            return;
        }
        server.last_seen = now;
        let has_recent_report = server.reported_at.is_some_and(|at| now.since(at) < MAX_REPORT_LAG);
        let has_recent_entry = now.since(server.changed_at) < MAX_REPORT_LAG;
        let is_older = match orders.cmp(&server.latest_order_count) {
            Ordering::Less => has_recent_report,
            Ordering::Equal => {
                has_recent_entry
                    && is_earlier_stage(server.record.membership(), engine.membership.as_ref())
            }
            Ordering::Greater => false,
        };
        if is_older {
            return;
        }
        server.reported_at = Some(now);
        server.order_count = Some(orders);
        server.latest_order_count = orders;
        let mut engine = engine;
        engine.fill_last_model(server.record.engine.as_ref());
        if server.record.engine.as_ref() != Some(&engine) {
            server.record.engine = Some(engine);
            self.record_change(id);
        }
    }

    /// Records that a server accepted an order whose precondition was the count `accepted` and that
    /// results in `membership`. The reports of the server show this only after a while.
    pub fn confirm_order(
        &mut self,
        id: &str,
        accepted: u64,
        membership: Option<Membership>,
        now: Instant,
    ) {
        let Some(server) = self.instance_mut(id) else { return };
        server.reported_at = Some(now);
        server.latest_order_count = accepted.saturating_add(1);
        server.order_count = Some(server.latest_order_count);
        if let Some(engine) = &mut server.record.engine {
            engine.membership = membership;
            self.record_change(id);
        }
    }

    /// Counts a change of the engine state of an instance that the list may not show yet.
    fn record_change(&mut self, id: &str) {
        self.revision += 1;
        let changed = Mark::unlisted(self.revision);
        if let Some(server) = self.instance_mut(id) {
            server.changed = changed;
        }
    }

    /// Marks the state and order count of a server as uncertain until its next report, because an
    /// order may have changed them.
    pub fn clear_order_count(&mut self, id: &str) {
        if let Some(server) = self.instance_mut(id) {
            server.order_count = None;
        }
    }
}
