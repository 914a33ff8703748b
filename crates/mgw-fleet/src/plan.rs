//! The planner: forms groups, repairs them and watches their members.
//!
//! [`Planner::tick`] compares what is intended with what the instances report, and returns orders
//! and probes. Nothing of it is stored: another entry that takes the role adopts the groups that the
//! instances report.

mod form;
mod group;
mod leave;
mod liveness;
mod stage;
mod usage;

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

pub use group::{Group, Phase};
use liveness::Liveness;
pub use liveness::ProbeResult;
pub use usage::Totals;
use usage::Usage;

use crate::config::Config;
use crate::roster::{Membership, Roster, Server, Stage};

/// Time from taking the role until the list must have been read for the first orders. By then the
/// orders of the planner before have been carried out, and it has heard that it is replaced.
const TAKE_OVER: Duration = Duration::from_millis(600);

/// Time without a new server after which the list of a system that starts is taken to be whole.
const SETTLED: Duration = Duration::from_millis(500);

/// Time before the first requests at which groups are formed of the servers that are there.
const LISTED: Duration = Duration::from_millis(6_500);

/// Epochs that one term may use; a planner forms a few groups a second.
const EPOCHS_PER_TERM: u64 = 1_000_000;

/// An order to an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Become a member of a group.
    Join {
        /// Group name.
        group: SmolStr,
        /// Group epoch.
        epoch: u64,
        /// Model to hold.
        model: SmolStr,
        /// Ids of all members, the head first.
        members: Vec<SmolStr>,
    },
    /// As head, take requests.
    Open {
        /// Group name.
        group: SmolStr,
        /// Group epoch.
        epoch: u64,
    },
    /// As head, take no more requests and finish those that run.
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
    /// Load a model onto the host, beside all other work.
    Stage {
        /// The model.
        model: SmolStr,
    },
}

impl Order {
    /// The order to leave the group of `seat`.
    fn leave(membership: &Membership) -> Self {
        Order::Leave { group: membership.group.clone(), epoch: membership.epoch }
    }
}

/// An order with its addressee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Command {
    /// Id of the instance.
    pub instance: SmolStr,
    /// Number of orders that the instance must have accepted so far, if it is known. It keeps an
    /// order that is carried out late from undoing a newer one.
    pub precondition: Option<u64>,
    /// The order.
    pub order: Order,
}

impl Command {
    /// The place in a group that `server` has after the order, if that is certain: the order was
    /// given in a known state.
    fn effect(&self) -> Option<Option<Membership>> {
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

/// How an instance answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// It was begun.
    Begun,
    /// The state holds already, or the order is done.
    Done,
    /// The engine's state or its count of orders is another one.
    Conflict,
    /// The engine knows a newer term, or a newer epoch of the group.
    Fenced,
    /// Another process answered, or the engine does not know the order.
    Rejected,
}

/// Takes the answer to an order into the roster; `None` if there was none.
pub fn apply_reply(roster: &mut Roster, command: &Command, reply: Option<Reply>, now: Instant) {
    let is_begun = match command.order {
        Order::Leave { .. } => matches!(reply, Some(Reply::Begun | Reply::Done)),
        _ => reply == Some(Reply::Begun),
    };
    match (command.precondition, command.effect()) {
        (Some(accepted), Some(membership)) if is_begun => {
            roster.confirm_order(&command.instance, accepted, membership, now);
        }
        _ => roster.clear_order_count(&command.instance),
    }
}

/// What the planner wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an order.
    Order(Command),
    /// Ask an instance for its state.
    Probe(SmolStr),
}

/// What is worth a line in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// A group moved on.
    Group {
        /// Its name.
        name: SmolStr,
        /// What happened.
        text: SmolStr,
    },
    /// The state of all groups and instances.
    Usage(SmolStr),
}

/// Share of a service's instances that the requests for a model take, by service and model.
pub type Demand = Map<(SmolStr, SmolStr), f64>;

/// The planner's memory during one term.
#[derive(Clone, Debug)]
pub struct Planner {
    term: u64,
    /// When this planner took the role.
    since: Instant,
    next: u64,
    groups: Vec<Group>,
    liveness: Liveness,
    /// Epochs of groups that were given up, sorted. Their members may report them for a while.
    released: Vec<u64>,
    /// Epochs of groups whose members leave although their heads may serve, sorted.
    dissolved: Vec<u64>,
    /// When instances were ordered to leave groups that are over.
    vacated: Map<SmolStr, Instant>,
    /// When loads from the weight store were ordered.
    loads: Vec<Instant>,
    staging: Map<SmolStr, Staging>,
    /// Epochs of groups that are to be closed for the sake of another model.
    closing: Vec<u64>,
    /// When a group last gave way.
    preempted: Option<Instant>,
    /// Groups that are to be formed when those have closed.
    pending: Vec<Pending>,
    /// The number of servers, and since when it is the same.
    listed: (usize, Instant),
    /// Groups that opened or began to close.
    group_changes: u64,
    usage: Usage,
    notes: Vec<Note>,
}

/// A model that is on its way to a host.
#[derive(Clone, Debug)]
struct Staging {
    model: SmolStr,
    since: Instant,
}

/// A group for which others give way.
#[derive(Clone, Debug)]
struct Pending {
    service: SmolStr,
    domain: SmolStr,
    model: SmolStr,
    since: Instant,
}

/// What the planner needs to know beside the roster.
#[derive(Clone, Copy, Debug)]
pub struct View<'a> {
    /// The servers.
    pub roster: &'a Roster,
    /// The configuration.
    pub config: &'a Config,
    /// The demand for the models.
    pub demand: &'a Demand,
    /// Time until requests are expected, while the system starts for the first time. Until then
    /// loads are fast and unlimited.
    pub until_traffic: Option<Duration>,
    /// The time.
    pub now: Instant,
}

impl Planner {
    /// A planner that takes the role of `term` at `now` and knows nothing.
    pub fn new(term: u64, now: Instant) -> Self {
        Self {
            term,
            since: now,
            next: 1,
            groups: Vec::new(),
            liveness: Liveness::default(),
            released: Vec::new(),
            dissolved: Vec::new(),
            vacated: Map::default(),
            loads: Vec::new(),
            staging: Map::default(),
            closing: Vec::new(),
            preempted: None,
            pending: Vec::new(),
            listed: (0, Instant::default()),
            group_changes: 0,
            usage: Usage::default(),
            notes: Vec::new(),
        }
    }

    /// A planner of the same term after a time in which another one may have planned. It knows
    /// nothing, but uses no epoch a second time: two groups with one name would be taken for one.
    pub fn restarted(&self, now: Instant) -> Self {
        Self { next: self.next, group_changes: self.group_changes, ..Self::new(self.term, now) }
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// The groups that the planner follows.
    pub fn groups(&self) -> &[Group] {
        &self.groups
    }

    /// Removes and returns the changes since the last call.
    pub fn take_notes(&mut self) -> Vec<Note> {
        std::mem::take(&mut self.notes)
    }

    /// Takes note that an instance did not begin to carry out an order, for all that is known.
    pub fn order_refused(&mut self, command: &Command) {
        if matches!(command.order, Order::Stage { .. }) {
            self.staging.remove(&command.instance);
        }
    }

    /// Takes note that an instance was given an order, so that it is asked for its state at once.
    pub fn probe_soon(&mut self, instance: &str) {
        self.liveness.probe_soon(instance);
    }

    /// Takes the result of a probe.
    pub fn record_probe(&mut self, instance: &str, probe: ProbeResult, now: Instant) {
        self.liveness.record_probe(instance, probe, now);
    }

    /// Asks for a probe of the members of a group whose head stands still.
    pub fn suspect_group(&mut self, head: &str, now: Instant) {
        let members = self
            .groups
            .iter()
            .filter(|group| group.members.first().is_some_and(|it| it.id == head))
            .flat_map(|group| group.members.iter());
        members.for_each(|member| self.liveness.suspect(&member.id, now));
    }

    /// Compares intentions with reports and returns what to do.
    pub fn tick(&mut self, view: &View<'_>) -> Vec<Action> {
        if self.is_listing(view) || self.is_settling(view) {
            return Vec::new();
        }
        let changing = self.changing();
        let mut actions = self.liveness.tick(view.roster, &changing, view.now);
        self.adopt(view);
        self.follow(view, &mut actions);
        self.vacate(view, &mut actions);
        self.fill(view, &mut actions);
        self.stage(view, &mut actions);
        if let Some(text) = self.count(view) {
            self.notes.push(Note::Usage(text));
        }
        actions
    }

    /// Whether orders of the planner before may not be seen yet.
    fn is_settling(&self, view: &View<'_>) -> bool {
        view.until_traffic.is_none() && view.roster.list_read_at() < self.since + TAKE_OVER
    }

    /// Whether the servers of a system that starts are still being listed. Groups that are formed of
    /// the first ones would leave no room for large ones.
    fn is_listing(&mut self, view: &View<'_>) -> bool {
        if self.listed.0 != view.roster.len() {
            self.listed = (view.roster.len(), view.now);
        }
        view.until_traffic.is_some_and(|left| left > LISTED)
            && view.now.since(self.listed.1) < SETTLED
    }

    /// Members of groups that wait for the effect of an order, sorted.
    fn changing(&self) -> Vec<SmolStr> {
        let changes =
            |phase: Phase| matches!(phase, Phase::Joining | Phase::Opening | Phase::Closing);
        let groups = self.groups.iter().filter(|group| changes(group.phase));
        let members = groups.flat_map(|group| group.members.iter());
        let mut members: Vec<SmolStr> = members.map(|member| member.id.clone()).collect();
        members.sort_unstable();
        members
    }

    /// The number of changes that the other entries should see soon.
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
        let epoch = self.term * EPOCHS_PER_TERM + self.next;
        self.next += 1;
        epoch
    }
}

fn command(server: &Server, order: Order) -> Action {
    // A load onto the host undoes nothing, however late it is carried out.
    let is_conditional = !matches!(order, Order::Stage { .. });
    let precondition = server.order_count.filter(|_| is_conditional);
    Action::Order(Command { instance: server.id.clone(), precondition, order })
}

/// Time after which an order whose effect is not seen is sent again.
const RESEND: Duration = Duration::from_millis(1_200);
