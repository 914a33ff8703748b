//! The groups that the planner follows, from the first join to the release of the members.

use std::time::Duration;

use mgw_base::time::Instant;
use smol_str::{SmolStr, format_smolstr};

use crate::config::Engine;
use crate::plan::{Action, Order, Planner, RESEND, View, command};
use crate::roster::{self, Membership, Roster, Server, Stage};

/// Time after an outage of the store within which live servers are listed again.
const RELIST: Duration = Duration::from_millis(2_300);

/// Time that requests of a group get to end when a member leaves.
const DRAIN: Duration = Duration::from_millis(1_800);

/// Time beyond the expected one after which a join is given up.
const JOIN_SLACK: Duration = Duration::from_secs(8);

/// Time for a head to open before it is joined anew.
const OPEN_PATIENCE: Duration = Duration::from_secs(5);

/// A member.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Id.
    pub id: SmolStr,
    /// Start of its process, see [`roster::Record::started_ms`].
    pub started_ms: u64,
}

/// How far a group is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The members load.
    Joining,
    /// The head was ordered to open.
    Opening,
    /// The head serves.
    Open,
    /// The head was ordered to close, and finishes its requests.
    Closing,
    /// The head is not listed, as may happen for a while after an outage of the store.
    Headless,
}

/// A group that the planner follows.
#[derive(Clone, Debug)]
pub struct Group {
    /// Service.
    pub service: SmolStr,
    /// Name.
    pub name: SmolStr,
    /// Epoch.
    pub epoch: u64,
    /// Model.
    pub model: SmolStr,
    /// Members in the order of their ranks. Fewer than the model's size if some were lost before
    /// this planner took over.
    pub members: Vec<Member>,
    /// Whether the first member is the head.
    has_head: bool,
    /// Progress.
    pub phase: Phase,
    /// Since when it is in this phase.
    since: Instant,
    /// When an order was last sent.
    ordered: Instant,
}

/// What becomes of an intent.
enum Transition {
    Keep,
    Enter(Phase, SmolStr),
    /// The group is over; its members leave it when they are used again.
    Release(SmolStr),
    /// The group is over although its head may serve: all members leave at once.
    Dissolve(SmolStr),
    /// The group is to be adopted anew, as its head is back.
    Forget,
}

impl Group {
    pub(super) fn joining(
        service: &SmolStr,
        epoch: u64,
        model: &SmolStr,
        members: Vec<Member>,
        now: Instant,
    ) -> Self {
        Self {
            service: service.clone(),
            name: format_smolstr!("g{epoch}"),
            epoch,
            model: model.clone(),
            members,
            has_head: true,
            phase: Phase::Joining,
            since: now,
            ordered: now,
        }
    }

    /// The head, if it is known.
    pub(super) fn head(&self) -> Option<&Member> {
        self.members.first().filter(|_| self.has_head)
    }

    /// The order that makes an instance a member.
    pub(super) fn join(&self) -> Order {
        Order::Join {
            group: self.name.clone(),
            epoch: self.epoch,
            model: self.model.clone(),
            members: self.members.iter().map(|member| member.id.clone()).collect(),
        }
    }

    fn open(&self) -> Order {
        Order::Open { group: self.name.clone(), epoch: self.epoch }
    }

    fn close(&self) -> Order {
        Order::Close { group: self.name.clone(), epoch: self.epoch }
    }

    /// Whether `seat` is in this group.
    pub(super) fn holds(&self, membership: &Membership) -> bool {
        membership.group == self.name && membership.epoch == self.epoch
    }

    /// The stage that `server` reports in this group.
    fn stage(&self, server: &Server) -> Option<Stage> {
        server
            .record
            .membership()
            .filter(|membership| self.holds(membership))
            .map(|membership| membership.stage)
    }
}

impl Planner {
    /// Takes over groups that instances report and that this planner does not follow.
    pub(super) fn adopt(&mut self, view: &View<'_>) {
        let mut seen: Vec<(SmolStr, u64)> = Vec::new();
        for (_, server) in view.roster.iter() {
            let Some(membership) = server.record.membership() else { continue };
            let key = (membership.group.clone(), membership.epoch);
            let is_known =
                seen.contains(&key) || self.groups.iter().any(|group| group.holds(membership));
            if is_known {
                continue;
            }
            seen.push(key);
            let Some(group) = adopted(view, server, membership) else { continue };
            let was_released = self.released.binary_search(&group.epoch).is_ok();
            // Members of a released group are free unless its head serves after all; the entry of
            // a head that does not answer is an old one.
            let serves = matches!(group.phase, Phase::Open | Phase::Closing)
                && self.dissolved.binary_search(&group.epoch).is_err()
                && group.head().is_some_and(|head| !self.liveness.is_lost(&head.id));
            if !was_released || serves {
                self.note(&group.name.clone(), format_smolstr!("adopted as {:?}", group.phase));
                self.groups.push(group);
            }
        }
    }

    /// Moves each group on.
    pub(super) fn follow(&mut self, view: &View<'_>, actions: &mut Vec<Action>) {
        let mut groups = std::mem::take(&mut self.groups);
        groups.retain_mut(|group| {
            let service = view.config.services.get(&group.service);
            let Some(engine) = service.and_then(|it| it.engine.as_ref()) else { return false };
            match self.transition(group, engine, view, actions) {
                Transition::Keep => true,
                Transition::Enter(phase, cause) => {
                    self.note(&group.name, format_smolstr!("{phase:?}: {cause}"));
                    (group.phase, group.since) = (phase, view.now);
                    let is_seen = matches!(phase, Phase::Open | Phase::Closing);
                    self.group_changes += u64::from(is_seen);
                    self.announce(group, view, actions);
                    true
                }
                Transition::Forget => {
                    self.note(&group.name, "the head is back");
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
                    if let Err(place) = self.dissolved.binary_search(&group.epoch) {
                        self.dissolved.insert(place, group.epoch);
                    }
                    self.group_changes += 1;
                    false
                }
            }
        });
        groups.append(&mut self.groups);
        self.groups = groups;
    }

    fn release(&mut self, epoch: u64) {
        self.closing.retain(|other| *other != epoch);
        if let Err(place) = self.released.binary_search(&epoch) {
            self.released.insert(place, epoch);
        }
    }

    /// The live server of a member, if it is the process that joined.
    fn live<'a>(&self, member: &Member, roster: &'a Roster) -> Option<&'a Server> {
        roster.by_id(&member.id).filter(|server| {
            server.record.started_ms == member.started_ms && !self.liveness.is_lost(&member.id)
        })
    }

    fn transition(
        &self,
        group: &mut Group,
        engine: &Engine,
        view: &View<'_>,
        actions: &mut Vec<Action>,
    ) -> Transition {
        let (roster, now) = (view.roster, view.now);
        let Some(model) = engine.model(&group.model) else {
            return Transition::Release("the model is not configured any more".into());
        };
        let live: Vec<&Server> =
            group.members.iter().filter_map(|member| self.live(member, roster)).collect();
        let is_whole = live.len() == model.size;
        let leaves = live.iter().any(|server| server.record.phase == roster::Phase::Draining);
        let head = group.head().and_then(|member| self.live(member, roster));
        let stage = head.and_then(|head| group.stage(head));
        let waited = now.since(group.since);
        match (group.phase, stage) {
            (Phase::Joining | Phase::Opening, Some(Stage::Open)) => {
                Transition::Enter(Phase::Open, "the head serves".into())
            }
            (Phase::Joining, _) if !is_whole || leaves => {
                Transition::Release("a member was lost while joining".into())
            }
            (Phase::Joining, _) => self.transition_joining(group, &live, model.load, now, actions),
            (Phase::Opening, _) if head.is_none() => {
                Transition::Release("the head was lost while opening".into())
            }
            (Phase::Opening, _) if !is_whole || leaves => {
                Transition::Dissolve("a member was lost while opening".into())
            }
            (Phase::Opening, _) if waited > OPEN_PATIENCE => {
                Transition::Dissolve("the head does not open".into())
            }
            (Phase::Opening, _) if head.is_some_and(|head| head.order_count.is_none()) => {
                Transition::Keep
            }
            (Phase::Opening, _) => {
                self.resend(group, head, group.open(), now, actions);
                Transition::Keep
            }
            (Phase::Open | Phase::Closing, _) if head.is_none() => {
                Transition::Release("the head is out of reach".into())
            }
            (Phase::Open | Phase::Closing, None | Some(Stage::Broken)) => {
                Transition::Release("the head does not serve the group any more".into())
            }
            // Nothing moves in a group that lacks a member.
            (Phase::Open | Phase::Closing, _) if !is_whole => {
                Transition::Dissolve("a member was lost".into())
            }
            (Phase::Open, _) if leaves => {
                Transition::Enter(Phase::Closing, "a member leaves".into())
            }
            (Phase::Open, _) if self.closing.contains(&group.epoch) => {
                Transition::Enter(Phase::Closing, "preempted by a model that lacks supply".into())
            }
            (Phase::Open, Some(Stage::Ready | Stage::Joining)) => {
                Transition::Enter(Phase::Joining, "the head is not open".into())
            }
            (Phase::Open, _) => Transition::Keep,
            (Phase::Closing, Some(Stage::Ready | Stage::Joining)) => {
                Transition::Release("the head closed".into())
            }
            (Phase::Closing, _) if waited > DRAIN => {
                Transition::Dissolve("the requests take too long".into())
            }
            (Phase::Closing, _) => {
                self.resend(group, head, group.close(), now, actions);
                Transition::Keep
            }
            (Phase::Headless, _) if self.serving_head(group, roster).is_some() => {
                Transition::Forget
            }
            (Phase::Headless, _) if waited > RELIST => {
                Transition::Release("the head is not listed again".into())
            }
            (Phase::Headless, _) => Transition::Keep,
        }
    }

    fn transition_joining(
        &self,
        group: &mut Group,
        live: &[&Server],
        load: Duration,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Transition {
        let is_ready = live.iter().all(|server| group.stage(server) == Some(Stage::Ready));
        let waited = now.since(group.since);
        // Without the count of orders an order to open could be carried out after newer ones.
        let is_counted = live.iter().all(|server| server.order_count.is_some());
        if is_ready && is_counted {
            return Transition::Enter(Phase::Opening, "all members are ready".into());
        }
        if waited > load * 3 + JOIN_SLACK {
            return Transition::Release("the members do not get ready".into());
        }
        if now.since(group.ordered) > RESEND {
            group.ordered = now;
            let missing = live.iter().filter(|server| group.stage(server).is_none());
            actions.extend(missing.filter(|it| it.order_count.is_some()).map(|server| {
                let order = match server.record.membership() {
                    // An earlier join was carried out late.
                    Some(membership) => Order::leave(membership),
                    None => group.join(),
                };
                command(server, order)
            }));
        }
        Transition::Keep
    }

    /// The head of a group that serves although the planner does not follow it there.
    fn serving_head<'a>(&self, group: &Group, roster: &'a Roster) -> Option<&'a Server> {
        let serves = |stage| matches!(stage, Stage::Open | Stage::Closing);
        let mut servers = roster.iter().map(|(_, server)| server);
        servers.find(|server| {
            let membership =
                server.record.head_membership().filter(|membership| group.holds(membership));
            membership.is_some_and(|membership| serves(membership.stage))
                && !self.liveness.is_lost(&server.id)
        })
    }

    /// Sends the order that begins a phase.
    fn announce(&self, group: &mut Group, view: &View<'_>, actions: &mut Vec<Action>) {
        let roster = view.roster;
        group.ordered = view.now;
        let head = group.head().and_then(|member| self.live(member, roster));
        let order = match group.phase {
            Phase::Opening => group.open(),
            Phase::Closing => group.close(),
            Phase::Joining | Phase::Open | Phase::Headless => return,
        };
        actions.extend(head.map(|head| command(head, order)));
    }

    fn resend(
        &self,
        group: &mut Group,
        head: Option<&Server>,
        order: Order,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if now.since(group.ordered) > RESEND {
            group.ordered = now;
            actions.extend(head.map(|head| command(head, order)));
        }
    }
}

/// The intent behind a group that `server` reports; `None` if its members are free.
fn adopted(view: &View<'_>, server: &Server, membership: &Membership) -> Option<Group> {
    let (roster, now) = (view.roster, view.now);
    let service = &server.record.service;
    let engine = view.config.services.get(service)?.engine.as_ref()?;
    let mut members: Vec<(usize, &Server)> = roster
        .iter()
        .filter_map(|(_, other)| {
            let theirs = other.record.membership()?;
            (theirs.group == membership.group && theirs.epoch == membership.epoch)
                .then_some((theirs.rank, other))
        })
        .collect();
    members.sort_by_key(|(rank, _)| *rank);
    let model = members.iter().find_map(|(_, it)| it.record.engine.as_ref()?.model.clone())?;
    let size = engine.model(&model)?.size;
    let is_whole = members.len() == size;
    let head = members.first().filter(|(rank, _)| *rank == 0);
    let stage =
        head.and_then(|(_, head)| head.record.membership()).map(|membership| membership.stage);
    let phase = match stage {
        Some(Stage::Open) => Phase::Open,
        Some(Stage::Closing) => Phase::Closing,
        Some(Stage::Joining | Stage::Ready) if is_whole => Phase::Joining,
        Some(Stage::Joining | Stage::Ready | Stage::Broken) => return None,
        None => Phase::Headless,
    };
    let member = |(_, server): &(usize, &Server)| Member {
        id: server.id.clone(),
        started_ms: server.record.started_ms,
    };
    Some(Group {
        service: service.clone(),
        name: membership.group.clone(),
        epoch: membership.epoch,
        model,
        members: members.iter().map(member).collect(),
        has_head: head.is_some(),
        phase,
        since: now,
        // Whatever has to be ordered is ordered at once.
        ordered: Instant::default(),
    })
}
