//! The planner: forms model groups, replaces those that lose a member and tracks the liveness of
//! their instances.
//!
//! [`Planner::tick`] reconciles the planned groups with what the instances report, and returns the
//! orders and probes to send. The planner persists no state: an entry that takes over the role
//! adopts the groups that the instances report.

mod adopt;
mod form;
mod group;
mod leave;
mod liveness;
mod preload;
mod reconcile;
mod reserve;
mod stage;
mod usage;

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

pub use group::{Group, Phase};
use liveness::Liveness;
pub use liveness::ProbeResult;
use preload::Preload;
pub use usage::Totals;
use usage::Usage;

use crate::config::Config;
use crate::evacuation;
use crate::roster::{Membership, Roster, Server, Stage};

/// A planner sends no orders until it has read the server list at least this long after it took the
/// role. By then the orders of the previous planner have been carried out, and the previous planner
/// has learnt that it was replaced.
const TAKEOVER_DELAY: Duration = Duration::from_millis(600);

/// During system startup the server list counts as complete once its length has not changed for
/// this long.
const LIST_SETTLE_DELAY: Duration = Duration::from_millis(500);

/// Time before the first expected requests from which groups are formed even if the server list is
/// still growing.
const LISTING_CUTOFF: Duration = Duration::from_millis(6_500);

/// Size of the epoch range of one term. A planner forms a few groups per second, so it does not use
/// the range up.
const EPOCHS_PER_TERM: u64 = 1_000_000;

/// An operation that an instance is ordered to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Become a member of a group and load its model.
    Join {
        /// Group name.
        group: SmolStr,
        /// Group epoch.
        epoch: u64,
        /// Name of the model that the group serves.
        model: SmolStr,
        /// Instance ids of all members in the order of their ranks, the head first.
        members: Vec<SmolStr>,
    },
    /// Start to accept requests. Sent to the head of a group only.
    Open {
        /// Group name.
        group: SmolStr,
        /// Group epoch.
        epoch: u64,
    },
    /// Accept no new requests and finish the running ones. Sent to the head of a group only.
    Close {
        /// Group name.
        group: SmolStr,
        /// Group epoch.
        epoch: u64,
    },
    /// Leave a group.
    Leave {
        /// Group name.
        group: SmolStr,
        /// Group epoch.
        epoch: u64,
    },
    /// Load the weights of a model onto the host in the background.
    Stage {
        /// Name of the model.
        model: SmolStr,
    },
}

impl Order {
    /// The order to leave the group of `membership`.
    fn leave(membership: &Membership) -> Self {
        Order::Leave { group: membership.group.clone(), epoch: membership.epoch }
    }
}

/// An order, the instance that it is addressed to and the condition under which it applies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// Id of the instance that the order is sent to.
    pub instance: SmolStr,
    /// Number of orders that the instance must have accepted so far; with any other number it
    /// rejects the order as a conflict. This prevents an order that arrives late from undoing a
    /// newer one. `None` leaves the order unconditional.
    pub precondition: Option<u64>,
    /// The operation to perform.
    pub order: Order,
}

impl Command {
    /// The membership of the instance once the order has been carried out. The outer `None` means
    /// that the order does not determine it.
    fn resulting_membership(&self) -> Option<Option<Membership>> {
        match &self.order {
            Order::Leave { .. } => Some(None),
            Order::Join { group, epoch, members, .. } => Some(Some(Membership {
                group: group.clone(),
                epoch: *epoch,
                rank: members.iter().position(|it| *it == self.instance)?,
                stage: Stage::Joining,
            })),
            Order::Open { .. } | Order::Close { .. } | Order::Stage { .. } => None,
        }
    }
}

/// Reply of an instance to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The instance accepted the order and started to carry it out.
    Begun,
    /// The order was completed, or the instance was already in the requested state.
    Done,
    /// The state of the engine does not allow the order, or the precondition does not match its
    /// number of accepted orders.
    Conflict,
    /// The engine has accepted an order with a newer term, or knows a newer epoch of the group.
    Fenced,
    /// A process other than the addressed instance replied, or the engine does not support the
    /// order.
    Rejected,
}

/// Updates the roster from the reply to an order; `None` means that no reply arrived.
///
/// The known state of the instance changes only if the reply confirms an order that was sent with a
/// precondition. In all other cases it is uncertain until the next report.
pub fn apply_reply(roster: &mut Roster, command: &Command, reply: Option<Reply>, now: Instant) {
    let is_begun = match command.order {
        Order::Leave { .. } => matches!(reply, Some(Reply::Begun | Reply::Done)),
        _ => reply == Some(Reply::Begun),
    };
    match (command.precondition, command.resulting_membership()) {
        (Some(accepted), Some(membership)) if is_begun => {
            roster.confirm_order(&command.instance, accepted, membership, now);
        }
        _ => roster.clear_order_count(&command.instance),
    }
}

/// A message that the planner asks its caller to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order to an instance.
    Order(Command),
    /// Request a report of its state from the instance with this id.
    Probe(SmolStr),
}

/// A message for the event log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// The phase of a group changed, or the planner started or stopped managing it.
    Group {
        /// Name of the group.
        name: SmolStr,
        /// The change and its cause.
        text: SmolStr,
    },
    /// Summary of all groups and instances, once per second.
    Usage(SmolStr),
}

/// Share of a service's instances that the requests for a model need, 0 to 1, by service name and
/// model name.
pub type Demand = Map<(SmolStr, SmolStr), f64>;

/// State of the planner during one term.
#[derive(Clone, Debug)]
pub struct Planner {
    term: u64,
    /// When this planner took the role. Orders wait for a read of the server list that was sent
    /// [`TAKEOVER_DELAY`] later.
    started: Instant,
    /// Position of the next group's epoch in the epoch range of the term.
    next_epoch_offset: u64,
    groups: Vec<Group>,
    liveness: Liveness,
    /// Epochs of groups that the planner no longer manages, sorted. Their members may still report
    /// them for a while, which must not cause the groups to be adopted again.
    released_epochs: Vec<u64>,
    /// Epochs of groups whose members are ordered to leave even if the head still serves, sorted.
    dissolved_epochs: Vec<u64>,
    /// When each instance was last ordered to leave a group, by instance id.
    leave_ordered: Map<SmolStr, Instant>,
    /// When the most recent loads from the weight store were ordered, to limit loads per second.
    recent_loads: Vec<Instant>,
    /// Background loads in progress, by instance id.
    staging: Map<SmolStr, Staging>,
    /// Loads of models into the memory of spare instances, by instance id.
    preloads: Map<SmolStr, Preload>,
    /// Epochs of groups that are to be closed so that another model can use their instances.
    preempted_epochs: Vec<u64>,
    /// When groups were last chosen for preemption.
    last_preemption: Option<Instant>,
    /// Groups to form once the preempted groups have closed.
    preemptions: Vec<Preemption>,
    /// Number of listed servers, and since when it has been unchanged.
    server_count: (usize, Instant),
    /// Number of times that a group opened, started to close or was dissolved.
    group_changes: u64,
    usage: Usage,
    notes: Vec<Note>,
}

/// A background load of a model onto a host.
#[derive(Clone, Debug)]
struct Staging {
    model: SmolStr,
    started: Instant,
}

/// A group for whose formation other groups are closed.
#[derive(Clone, Debug)]
struct Preemption {
    service: SmolStr,
    domain: SmolStr,
    model: SmolStr,
    since: Instant,
}

/// Input of one planning step.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The servers as this entry knows them.
    pub roster: &'a Roster,
    /// The current configuration.
    pub config: &'a Config,
    /// Current demand for each model.
    pub demand: &'a Demand,
    /// The zones whose servers get no requests at present. Their groups stay as they are, but no
    /// new ones are formed there.
    pub evacuations: &'a evacuation::Table,
    /// Time until the first requests are expected during the initial startup of the system, `None`
    /// afterwards. Until then loads from the weight store are fast and not limited.
    pub until_traffic: Option<Duration>,
    /// Current time.
    pub now: Instant,
}

impl View<'_> {
    /// Whether `server` gets no requests at present, as its zone is evacuated.
    fn is_evacuated(&self, server: &Server) -> bool {
        self.evacuations.contains(&server.record.zone)
    }

    /// Whether `group` gets no requests at present, as the zone of its head is evacuated.
    fn has_evacuated_head(&self, group: &Group) -> bool {
        let head = group.head().and_then(|head| self.roster.instance(&head.id));
        head.is_some_and(|head| self.is_evacuated(head))
    }
}

impl Planner {
    /// Creates a planner that took the role under `term` at `now` and manages no groups yet.
    pub fn new(term: u64, now: Instant) -> Self {
        Self {
            term,
            started: now,
            next_epoch_offset: 1,
            groups: Vec::new(),
            liveness: Liveness::default(),
            released_epochs: Vec::new(),
            dissolved_epochs: Vec::new(),
            leave_ordered: Map::default(),
            recent_loads: Vec::new(),
            staging: Map::default(),
            preloads: Map::default(),
            preempted_epochs: Vec::new(),
            last_preemption: None,
            preemptions: Vec::new(),
            server_count: (0, Instant::default()),
            group_changes: 0,
            usage: Usage::default(),
            notes: Vec::new(),
        }
    }

    /// Creates a planner for the same term after a time in which another entry may have planned.
    ///
    /// It manages no groups yet, but continues the epoch sequence: group names contain the epoch,
    /// and two groups with the same name would be mistaken for one.
    pub fn restarted(&self, now: Instant) -> Self {
        Self {
            next_epoch_offset: self.next_epoch_offset,
            group_changes: self.group_changes,
            ..Self::new(self.term, now)
        }
    }

    /// The term under which this planner sends orders.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The groups that the planner manages.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Removes and returns the log messages since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Records that an instance refused an order, so that a refused load no longer counts as in
    /// progress.
    pub fn order_refused(&mut self, command: &Command) {
        if matches!(command.order, Order::Stage { .. }) {
            self.staging.remove(&command.instance);
        }
    }

    /// Makes the next probe of an instance due immediately, because an order may have changed its
    /// state.
    pub fn probe_soon(&mut self, instance: &str) {
        self.liveness.probe_soon(instance);
    }

    /// Records the result of a probe.
    pub fn record_probe(&mut self, instance: &str, probe: ProbeResult, now: Instant) {
        self.liveness.record_probe(instance, probe, now);
    }

    /// Requests probes of all members of the group led by `head`, whose requests make no progress.
    pub fn suspect_group(&mut self, head: &str, now: Instant) {
        let members = self
            .groups
            .iter()
            .filter(|group| group.members.first().is_some_and(|it| it.id == head))
            .flat_map(|group| group.members.iter());
        members.for_each(|member| self.liveness.suspect(&member.id, now));
    }

    /// Reconciles the managed groups with the reports and returns the orders and probes to send.
    pub fn tick(&mut self, view: &View<'_>) -> Vec<Action> {
        if self.is_list_growing(view) || self.awaits_fresh_list(view) {
            return Vec::new();
        }
        let transitioning = self.transitioning_members();
        let mut actions = self.liveness.due_probes(view.roster, &transitioning, view.now);
        self.adopt(view);
        self.reconcile(view, &mut actions);
        self.order_leaves(view, &mut actions);
        self.form_groups(view, &mut actions);
        self.stage_weights(view, &mut actions);
        self.preload_spares(view, &mut actions);
        if let Some(text) = self.update_usage(view) {
            self.notes.push(Note::Usage(text));
        }
        actions
    }

    /// Whether the server list may not show the effects of the previous planner's orders yet.
    fn awaits_fresh_list(&self, view: &View<'_>) -> bool {
        view.until_traffic.is_none() && view.roster.list_read_at() < self.started + TAKEOVER_DELAY
    }

    /// Whether servers are still being added to the list of a starting system. Groups formed from
    /// the first servers could leave too few instances in a domain for large groups.
    fn is_list_growing(&mut self, view: &View<'_>) -> bool {
        if self.server_count.0 != view.roster.len() {
            self.server_count = (view.roster.len(), view.now);
        }
        view.until_traffic.is_some_and(|left| left > LISTING_CUTOFF)
            && view.now.since(self.server_count.1) < LIST_SETTLE_DELAY
    }

    /// Ids of the members of groups that wait for the effect of an order, sorted. Members that are
    /// ready are among them, so that a group does not open after one of them was lost.
    fn transitioning_members(&self) -> Vec<SmolStr> {
        let changes =
            |phase: Phase| matches!(phase, Phase::Joining | Phase::Opening | Phase::Closing);
        let groups = self.groups.iter().filter(|group| changes(group.phase));
        let members = groups.flat_map(|group| group.members.iter());
        let mut members: Vec<SmolStr> = members.map(|member| member.id.clone()).collect();
        members.sort_unstable();
        members
    }

    /// Number of times that a group opened, started to close or was dissolved. The other entries
    /// read the server list at once when it changes.
    pub fn group_changes(&self) -> u64 {
        self.group_changes
    }

    fn note<T>(&mut self, group: &SmolStr, text: T)
    where
        T: Into<SmolStr>,
    {
        self.notes.push(Note::Group { name: group.clone(), text: text.into() });
    }

    fn next_epoch(&mut self) -> u64 {
        let epoch = self.term * EPOCHS_PER_TERM + self.next_epoch_offset;
        self.next_epoch_offset += 1;
        epoch
    }
}

/// Addresses `order` to `server`, with the known order count as precondition.
fn command(server: &Server, order: Order) -> Action {
    // A load onto the host undoes no other order, however late it is carried out.
    let is_conditional = !matches!(order, Order::Stage { .. });
    let precondition = server.order_count.filter(|_| is_conditional);
    Action::Order(Command { instance: server.id.clone(), precondition, order })
}

/// Interval at which an order is sent again while its effect is not reported.
const RESEND_INTERVAL: Duration = Duration::from_millis(1_200);
