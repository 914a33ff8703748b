//! Planning of groups by the planner, and orders that this entry sends as their executor.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_event::{Body, Kind};
use mgw_group::{order, planner};
use mgw_state::record::{Record, UniqueId};
use mgw_state::snapshot;
use mgw_wire::frame::Phase;
use smol_str::SmolStr;

use crate::command::Command;
use crate::input::Reply;
use crate::node::Node;
use crate::outbox::Purpose;

/// Time after the start of this process during which a planner is not replaced only because no
/// heartbeat of it was received yet.
const STARTUP_GRACE_TIMEOUT: Duration = Duration::from_secs(3);

impl Node {
    /// Plans if this entry is the planner. If the planner is not available and this entry is the
    /// first candidate, asks for the next term.
    pub(crate) fn tick_planner(&mut self, now: Instant) {
        if self.phase != Phase::Serving
            || !self.reader.is_caught_up()
            || self.read_state.is_failing()
        {
            return;
        }
        let own = self.options.incarnation;
        let term = self.reader.state().term();
        match term.planner {
            Some(planner) if planner == own => self.plan(now),
            Some(planner) if self.is_planner_available(planner, now) => {}
            _ => {
                let next = term.number + 1;
                if self.peers.first_ranked(next, now) == Some(own) {
                    let record = Record::Lead { term: next, incarnation: own };
                    self.append_once(Purpose::Lead, record);
                }
            }
        }
    }

    /// Whether the planner is live and not draining, or may be so because it was not heard yet.
    fn is_planner_available(&self, planner: u64, now: Instant) -> bool {
        let unheard =
            now.since(self.started_at) < STARTUP_GRACE_TIMEOUT && self.peers.get(planner).is_none();
        let serves = |phase: Phase| phase != Phase::Draining;
        !self.reader.state().is_dead(planner)
            && (unheard
                || (self.peers.is_live(planner, now)
                    && self.peers.get(planner).is_some_and(|it| serves(it.heartbeat.phase))))
    }

    /// Queues the records that the planner proposes, unless those of an earlier pass are
    /// outstanding.
    fn plan(&mut self, now: Instant) {
        if self.outbox.contains(&Purpose::Plan) {
            return;
        }
        let (own, options) = (self.options.incarnation, self.options.planning);
        let planner = self.options.planner;
        let state = self.reader.state();
        match planner(state, &self.observations, now, own, &mut self.planner, &options) {
            Ok(outcome) => {
                for record in outcome.records {
                    self.report_plan(&record);
                    self.outbox.push(Purpose::Plan, record);
                }
                if !outcome.unresolved.is_empty() {
                    self.unresolved = outcome.unresolved;
                }
            }
            Err(planner::Error::NotPlanner | planner::Error::NoConfig) => {}
        }
        self.write_snapshot(now);
    }

    /// Emits an event for a member that is to be replaced and a group that is to be dissolved.
    fn report_plan(&mut self, record: &Record) {
        match record {
            Record::Replace { group, lost, .. } => {
                let body = Body::new(Kind::MemberLost).group(*group).instance(lost);
                self.events.push(body.text("the planner will replace this member"));
            }
            Record::Dissolve { group, reason, .. } => {
                let body = Body::new(Kind::GroupClosed).group(*group);
                self.events.push(
                    body.text(format_args!("the planner will dissolve this group: {reason:?}")),
                );
            }
            _ => {}
        }
    }

    /// Queues a snapshot of the state if one is due.
    fn write_snapshot(&mut self, now: Instant) {
        if !self.reader.is_snapshot_due() || self.outbox.contains(&Purpose::Snapshot) {
            return;
        }
        let state = self.reader.state();
        let id = UniqueId { incarnation: self.options.incarnation, sequence: now.as_micros() };
        match snapshot::split(state) {
            Ok(parts) => {
                let upto = state.applied();
                for part in parts {
                    self.outbox.push(Purpose::Snapshot, part.into_record(id));
                }
                self.events.push(Body::new(Kind::SnapshotWritten).offset(upto));
            }
            Err(cause) => {
                let text = format_args!("the state cannot be written as a snapshot: {cause}");
                self.events.push(Body::new(Kind::RecordSkipped).text(text));
            }
        }
    }

    /// Sends the orders that are due and that this entry is the executor of, and queues the records
    /// of those that are done.
    pub(crate) fn tick_orders(&mut self, now: Instant) {
        if !self.reader.is_current() {
            return;
        }
        let (own, options) = (self.options.incarnation, self.options.order);
        let state = self.reader.state();
        let outcome = order::schedule(
            state,
            &self.observations,
            now,
            own,
            self.weight_load,
            &mut self.orders,
            &options,
        );
        for dispatch in outcome.orders {
            let text = format_args!(
                "{:?} {} {}",
                dispatch.order.order, dispatch.order.model, dispatch.order.version
            );
            let body =
                Body::new(Kind::OrderSent).group(dispatch.order.group).instance(&dispatch.instance);
            self.events.push(body.offset(dispatch.order.fence).text(text));
            self.commands.push(Command::SendOrder {
                instance: dispatch.instance,
                address: dispatch.address,
                order: dispatch.order,
            });
        }
        for record in outcome.records {
            if let Record::OrderDone { instance, .. } = &record {
                self.append_once(Purpose::OrderDone(SmolStr::new(instance)), record);
            }
        }
    }

    /// Records the result of an order.
    pub(crate) fn handle_reply(
        &mut self,
        now: Instant,
        instance: SmolStr,
        fence: u64,
        reply: Reply,
    ) {
        let (kind, result) = match reply {
            Reply::Accepted => (Kind::OrderAccepted, order::Reply::Accepted),
            Reply::Stale { .. } => (Kind::OrderStale, order::Reply::Stale),
            Reply::Unsent => (Kind::OrderUnsent, order::Reply::Unsent),
            Reply::Unknown => (Kind::OrderUnknown, order::Reply::Unknown),
        };
        self.orders.record_reply(&instance, fence, result, now);
        let body = Body::new(kind).instance(&instance).offset(fence);
        self.events.push(match reply {
            Reply::Stale { fence } => {
                body.text(format_args!("the engine has seen fencing token {fence}"))
            }
            _ => body,
        });
    }
}
