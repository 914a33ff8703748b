//! The planner's duty and the executor's orders.

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
use crate::outbox::Origin;

/// Time after the start during which a planner that was not heard yet is not replaced.
const GRACE: Duration = Duration::from_secs(3);

impl Node {
    /// Takes the term if the planner is gone, plans if this entry is the planner.
    pub(crate) fn tick_planner(&mut self, now: Instant) {
        if self.phase != Phase::Serving || !self.reader.is_caught_up() || self.reading.is_failing()
        {
            return;
        }
        let own = self.options.incarnation;
        let term = self.reader.state().term();
        match term.planner {
            Some(planner) if planner == own => self.plan(now),
            Some(planner) if self.is_led(planner, now) => {}
            _ => {
                let next = term.number + 1;
                if self.peers.first_ranked(next, now) == Some(own) {
                    let record = Record::Lead { term: next, incarnation: own };
                    self.append_once(Origin::Lead, record);
                }
            }
        }
    }

    fn is_led(&self, planner: u64, now: Instant) -> bool {
        let unheard = now.since(self.started) < GRACE && self.peers.get(planner).is_none();
        let serves = |phase: Phase| phase != Phase::Draining;
        !self.reader.state().is_dead(planner)
            && (unheard
                || (self.peers.is_live(planner, now)
                    && self.peers.get(planner).is_some_and(|it| serves(it.heartbeat.phase))))
    }

    fn plan(&mut self, now: Instant) {
        if self.outbox.holds(&Origin::Plan) {
            return;
        }
        let (own, options) = (self.options.incarnation, self.options.form);
        let planner = self.options.planner;
        let state = self.reader.state();
        match planner(state, &self.observations, now, own, &mut self.planner, &options) {
            Ok(outcome) => {
                for record in outcome.records {
                    self.note_plan(&record);
                    self.outbox.push(Origin::Plan, record);
                }
                if !outcome.unresolved.is_empty() {
                    self.undone = outcome.unresolved;
                }
            }
            Err(planner::Error::NotPlanner | planner::Error::NoConfig) => {}
        }
        self.write_snapshot(now);
    }

    fn note_plan(&mut self, record: &Record) {
        match record {
            Record::Replace { group, lost, .. } => {
                let body = Body::new(Kind::MemberLost).group(*group).instance(lost);
                self.events.push(body.text("to be replaced"));
            }
            Record::Dissolve { group, reason, .. } => {
                let body = Body::new(Kind::GroupClosed).group(*group);
                self.events.push(body.text(format_args!("to be dissolved: {reason:?}")));
            }
            _ => {}
        }
    }

    fn write_snapshot(&mut self, now: Instant) {
        if !self.reader.is_snapshot_due() || self.outbox.holds(&Origin::Snapshot) {
            return;
        }
        let state = self.reader.state();
        let id = UniqueId { incarnation: self.options.incarnation, sequence: now.as_micros() };
        match snapshot::split(state) {
            Ok(parts) => {
                let upto = state.applied();
                for part in parts {
                    self.outbox.push(Origin::Snapshot, part.into_record(id));
                }
                self.events.push(Body::new(Kind::SnapshotWritten).offset(upto));
            }
            Err(cause) => {
                let text = format_args!("the state cannot be written as a snapshot: {cause}");
                self.events.push(Body::new(Kind::RecordSkipped).text(text));
            }
        }
    }

    /// Sends the orders that this entry is the executor of.
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
            self.weight,
            &mut self.orders,
            &options,
        );
        for due in outcome.orders {
            let text =
                format_args!("{:?} {} {}", due.order.order, due.order.model, due.order.version);
            let body = Body::new(Kind::OrderSent).group(due.order.group).instance(&due.instance);
            self.events.push(body.offset(due.order.fence).text(text));
            self.commands.push(Command::Order {
                instance: due.instance,
                address: due.address,
                order: due.order,
            });
        }
        for record in outcome.records {
            if let Record::OrderDone { instance, .. } = &record {
                self.append_once(Origin::Done(SmolStr::new(instance)), record);
            }
        }
    }

    pub(crate) fn take_reply(&mut self, now: Instant, instance: SmolStr, fence: u64, reply: Reply) {
        let (kind, result) = match reply {
            Reply::Accepted => (Kind::OrderAccepted, order::Reply::Accepted),
            Reply::Stale { .. } => (Kind::OrderStale, order::Reply::Stale),
            Reply::Unsent => (Kind::OrderUnsent, order::Reply::Unsent),
            Reply::Unknown => (Kind::OrderUnknown, order::Reply::Unknown),
        };
        self.orders.record_reply(&instance, fence, result, now);
        let body = Body::new(kind).instance(&instance).offset(fence);
        self.events.push(match reply {
            Reply::Stale { fence } => body.text(format_args!("the engine knows {fence}")),
            _ => body,
        });
    }
}
