//! The next step of each managed group, from what its members report.

use std::time::Duration;

use mgw_base::time::Instant;
use smol_str::{SmolStr, format_smolstr};

use crate::config::Engine;
use crate::plan::group::Member;
use crate::plan::{Action, Group, Order, Phase, Planner, RESEND_INTERVAL, View, command};
use crate::roster::{self, Roster, Server, Stage};

/// Time for which a group is kept while its head is not listed. After an outage of the store, live
/// servers are listed again within this time.
const RELIST_TIMEOUT: Duration = Duration::from_millis(2_300);

/// Time that the running requests of a closing group get to finish before its members are ordered
/// to leave.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Time for which an open group waits for the return of its head to the list. A head that reaches
/// the store again is listed within a heartbeat interval of 1.2 s.
const HEAD_RETURN_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that the running requests of a group get if it closes only because its head is no longer
/// listed. Its members are sound, so nothing else waits for them.
const UNLISTED_DRAIN_TIMEOUT: Duration = Duration::from_secs(4);

/// Multiple of the model's load time that members get to become ready, plus
/// [`JOIN_TIMEOUT_MARGIN`].
const JOIN_LOAD_FACTOR: u32 = 3;

/// Constant part of the time that members get to become ready.
const JOIN_TIMEOUT_MARGIN: Duration = Duration::from_secs(8);

/// Time that a head gets to open before its group is dissolved, so that the members join a new
/// group.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);

/// Outcome of a reconciliation step for one group. Texts state the cause.
enum Transition {
    /// The group stays in its phase.
    Keep,
    /// The group enters a phase.
    Enter(Phase, SmolStr),
    /// The planner stops managing the group. Its members are ordered to leave it once no listed
    /// head serves it.
    Release(SmolStr),
    /// The planner stops managing the group, and all members are ordered to leave it at once even
    /// if the head still serves.
    Dissolve(SmolStr),
    /// The head is listed again, so the group is adopted anew from the reports.
    Readopt,
}

impl Planner {
    /// Advances each managed group according to the reports of its members.
    pub(super) fn reconcile(&mut self, view: &View<'_>, actions: &mut Vec<Action>) {
        let mut groups = std::mem::take(&mut self.groups);
        groups.retain_mut(|group| {
            let service = view.config.services.get(&group.service);
            let Some(engine) = service.and_then(|it| it.engine.as_ref()) else { return false };
            match self.transition(group, engine, view, actions) {
                Transition::Keep => true,
                Transition::Enter(phase, cause) => {
                    self.note(&group.name, format_smolstr!("{phase:?}: {cause}"));
                    (group.phase, group.phase_since) = (phase, view.now);
                    let is_visible = matches!(phase, Phase::Open | Phase::Closing);
                    self.group_changes += u64::from(is_visible);
                    self.send_phase_order(group, view, actions);
                    true
                }
                Transition::Readopt => {
                    self.note(&group.name, "the head is listed again");
                    false
                }
                Transition::Release(cause) => {
                    self.note(&group.name, format_smolstr!("released: {cause}"));
                    self.release(group.epoch);
                    false
                }
                Transition::Dissolve(cause) => {
                    self.note(&group.name, format_smolstr!("dissolved: {cause}"));
                    self.release(group.epoch);
                    if let Err(place) = self.dissolved_epochs.binary_search(&group.epoch) {
                        self.dissolved_epochs.insert(place, group.epoch);
                    }
                    self.group_changes += 1;
                    false
                }
            }
        });
        groups.append(&mut self.groups);
        self.groups = groups;
    }

    /// Keeps the group of `epoch` from being adopted again.
    fn release(&mut self, epoch: u64) {
        self.preempted_epochs.retain(|other| *other != epoch);
        if let Err(place) = self.released_epochs.binary_search(&epoch) {
            self.released_epochs.insert(place, epoch);
        }
    }

    /// The server of a member, if it is reachable and still the process that joined.
    fn live_server<'a>(&self, member: &Member, roster: &'a Roster) -> Option<&'a Server> {
        roster.instance(&member.id).filter(|server| {
            server.record.started_ms == member.started_ms && !self.liveness.is_lost(&member.id)
        })
    }

    /// Determines the next step of `group`; sends the pending order again if its effect is overdue.
    fn transition(
        &self,
        group: &mut Group,
        engine: &Engine,
        view: &View<'_>,
        actions: &mut Vec<Action>,
    ) -> Transition {
        let (roster, now) = (view.roster, view.now);
        let Some(model) = engine.model(&group.model) else {
            return Transition::Release("the model is no longer configured".into());
        };
        let live: Vec<&Server> =
            group.members.iter().filter_map(|member| self.live_server(member, roster)).collect();
        let is_whole = live.len() == model.group_size;
        let has_lost_member = live.len() < group.members.len();
        let is_draining = live.iter().any(|server| server.phase() == roster::Phase::Draining);
        let head = group.head().and_then(|member| self.live_server(member, roster));
        let stage = head.and_then(|head| group.member_stage(head));
        let unlisted_since = head.and_then(|head| head.unlisted_since);
        let is_head_unlisted = unlisted_since.is_some();
        let drain_timeout = match is_head_unlisted && !is_draining {
            true => UNLISTED_DRAIN_TIMEOUT,
            false => DRAIN_TIMEOUT,
        };
        let elapsed = now.since(group.phase_since);
        match (group.phase, stage) {
            (Phase::Joining | Phase::Opening, Some(Stage::Open)) => {
                Transition::Enter(Phase::Open, "the head accepts requests".into())
            }
            (Phase::Joining, _) if !is_whole || is_draining => {
                Transition::Release("a member was lost or is draining before all were ready".into())
            }
            (Phase::Joining, _) if is_head_unlisted => {
                Transition::Release("the head is no longer listed".into())
            }
            (Phase::Joining, _) => {
                self.transition_joining(group, &live, model.cold_load_time, view, actions)
            }
            (Phase::Opening, _) if head.is_none() => {
                Transition::Release("the head was lost before it opened".into())
            }
            (Phase::Opening, _) if !is_whole || is_draining => Transition::Dissolve(
                "a member was lost or is draining before the head opened".into(),
            ),
            (Phase::Opening, _) if is_head_unlisted => {
                Transition::Dissolve("the head is no longer listed".into())
            }
            (Phase::Opening, _) if elapsed > OPEN_TIMEOUT => {
                Transition::Dissolve("the head did not open in time".into())
            }
            (Phase::Opening, _) if head.is_some_and(|head| head.order_count.is_none()) => {
                Transition::Keep
            }
            (Phase::Opening, _) => {
                self.resend_if_due(group, head, group.open(), now, actions);
                Transition::Keep
            }
            (Phase::Open | Phase::Closing, _) if head.is_none() => {
                Transition::Release("the head is unreachable or was restarted".into())
            }
            (Phase::Open | Phase::Closing, None | Some(Stage::Broken)) => {
                Transition::Release("the head no longer serves the group".into())
            }
            // The requests of a group that lacks a member make no progress. A member is lost if it
            // does not answer probes or has restarted, not if only its list entry is missing.
            (Phase::Open | Phase::Closing, _) if has_lost_member => {
                Transition::Dissolve("a member was lost".into())
            }
            (Phase::Open, _) if is_draining => {
                Transition::Enter(Phase::Closing, "a member is draining".into())
            }
            // No request may be sent to a head that is not listed, but its members can serve under
            // another head.
            (Phase::Open, _)
                if unlisted_since.is_some_and(|since| now.since(since) > HEAD_RETURN_TIMEOUT) =>
            {
                Transition::Enter(Phase::Closing, "the head is no longer listed".into())
            }
            (Phase::Open, _) if self.preempted_epochs.contains(&group.epoch) => Transition::Enter(
                Phase::Closing,
                "preempted for a model with lower coverage".into(),
            ),
            (Phase::Open, Some(Stage::Ready | Stage::Joining)) => {
                Transition::Enter(Phase::Joining, "the head is not open".into())
            }
            (Phase::Open, _) => Transition::Keep,
            (Phase::Closing, Some(Stage::Ready | Stage::Joining)) => {
                Transition::Release("the head closed".into())
            }
            (Phase::Closing, _) if elapsed > drain_timeout => {
                Transition::Dissolve("the running requests did not finish in time".into())
            }
            (Phase::Closing, _) => {
                self.resend_if_due(group, head, group.close(), now, actions);
                Transition::Keep
            }
            (Phase::Headless, _) if self.serving_head(group, roster).is_some() => {
                Transition::Readopt
            }
            (Phase::Headless, _) if elapsed > RELIST_TIMEOUT => {
                Transition::Release("the head was not listed again in time".into())
            }
            (Phase::Headless, _) => Transition::Keep,
        }
    }

    /// Opens a group whose live members are all ready, and orders members that have not joined yet
    /// to join again. A group in an evacuated zone opens when the evacuation has ended.
    fn transition_joining(
        &self,
        group: &mut Group,
        live: &[&Server],
        load: Duration,
        view: &View<'_>,
        actions: &mut Vec<Action>,
    ) -> Transition {
        let now = view.now;
        let is_ready = live.iter().all(|server| group.member_stage(server) == Some(Stage::Ready));
        let elapsed = now.since(group.phase_since);
        // Without the order count as precondition, an order to open could be carried out after
        // newer orders.
        let has_order_counts = live.iter().all(|server| server.order_count.is_some());
        if is_ready && view.has_evacuated_head(group) {
            return Transition::Keep;
        }
        if is_ready && has_order_counts {
            return Transition::Enter(Phase::Opening, "all members are ready".into());
        }
        if elapsed > load * JOIN_LOAD_FACTOR + JOIN_TIMEOUT_MARGIN {
            return Transition::Release("the members did not become ready in time".into());
        }
        if now.since(group.last_order) > RESEND_INTERVAL {
            group.last_order = now;
            let missing = live.iter().filter(|server| group.member_stage(server).is_none());
            actions.extend(missing.filter(|it| it.order_count.is_some()).map(|server| {
                let order = match server.record.membership() {
                    // A join order to another group was carried out late.
                    Some(membership) => Order::leave(membership),
                    None => group.join(),
                };
                command(server, order)
            }));
        }
        Transition::Keep
    }

    /// The reachable server that reports to be the serving head of `group`, for a group that was
    /// adopted without its head.
    fn serving_head<'a>(&self, group: &Group, roster: &'a Roster) -> Option<&'a Server> {
        let serves = |stage| matches!(stage, Stage::Open | Stage::Closing);
        let mut servers = roster.iter().map(|(_, server)| server);
        servers.find(|server| {
            let membership =
                server.record.head_membership().filter(|membership| group.contains(membership));
            membership.is_some_and(|membership| serves(membership.stage))
                && !self.liveness.is_lost(&server.id)
        })
    }

    /// Sends the order that starts the current phase of `group` to its head, if the phase has one.
    fn send_phase_order(&self, group: &mut Group, view: &View<'_>, actions: &mut Vec<Action>) {
        let roster = view.roster;
        group.last_order = view.now;
        let head = group.head().and_then(|member| self.live_server(member, roster));
        let order = match group.phase {
            Phase::Opening => group.open(),
            Phase::Closing => group.close(),
            Phase::Joining | Phase::Open | Phase::Headless => return,
        };
        actions.extend(head.map(|head| command(head, order)));
    }

    /// Sends `order` to the head again after [`RESEND_INTERVAL`].
    fn resend_if_due(
        &self,
        group: &mut Group,
        head: Option<&Server>,
        order: Order,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if now.since(group.last_order) > RESEND_INTERVAL {
            group.last_order = now;
            actions.extend(head.map(|head| command(head, order)));
        }
    }
}
