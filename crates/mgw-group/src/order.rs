//! Orders to model engines: which are due, how many loads may run, and when an order is settled.
//!
//! The custody in the log is the list of the orders that an executor has to send. An assigned
//! instance is ordered to load its group's model, a free one to unload.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_report::report::{Action, Order, Phase, Weight};
use mgw_state::record::{Incarnation, Offset, Record};
use mgw_state::state::{Custody, Group, State};
use smol_str::SmolStr;

use crate::view::{Report, View};

/// Bounds of ordering.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// An order is sent only if the instance's report is younger than this.
    pub fresh: Duration,
    /// Time between two attempts of an order.
    pub retry: Duration,
    /// Time without a reply after which an attempt's effect is unknown.
    pub flight: Duration,
    /// How long the end of a group must be known to all entries before an empty engine counts as
    /// drained.
    pub settle: Duration,
    /// How long requests may delay an order at most.
    pub drain: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            fresh: Duration::from_secs(15),
            retry: Duration::from_secs(1),
            flight: Duration::from_secs(30),
            settle: Duration::from_secs(3),
            drain: Duration::from_secs(600),
        }
    }
}

/// Result of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The engine accepted the order.
    Accepted,
    /// The engine knows a newer fencing token, so the order can have no effect.
    Stale,
    /// The order was not sent.
    Unsent,
    /// The order was sent, but its effect cannot be told.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
enum Stage {
    /// Nothing was sent.
    New,
    /// An attempt has no reply yet.
    Flying(Instant),
    /// The last attempt was not sent.
    Unsent(Instant),
    /// The last attempt may have had an effect.
    Unknown(Instant),
    /// The order took effect or can have none; nothing is sent any more.
    Done,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    fence: Offset,
    /// When the order was first due.
    since: Instant,
    stage: Stage,
    /// Whether the engine fetches weights for the order.
    weights: bool,
}

/// What the executor remembers of its orders.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    attempts: Map<SmolStr, Attempt>,
    /// Accepted loads that the instance's report does not show yet.
    accepted: Map<SmolStr, Instant>,
}

impl Memory {
    /// Notes the result of an attempt.
    pub fn reply(&mut self, instance: &SmolStr, fence: Offset, reply: Reply, now: Instant) {
        let Some(attempt) = self.attempts.get_mut(instance).filter(|it| it.fence == fence) else {
            return;
        };
        attempt.stage = match reply {
            Reply::Accepted | Reply::Stale => Stage::Done,
            Reply::Unsent => Stage::Unsent(now),
            Reply::Unknown => Stage::Unknown(now),
        };
        if attempt.weights && matches!(reply, Reply::Accepted | Reply::Unknown) {
            self.accepted.insert(instance.clone(), now);
        }
    }
}

/// Why an order is not sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// The instance has no report under the boot that the order is meant for.
    Silent,
    /// The engine still holds requests of the group that it leaves.
    Drain,
    /// An attempt has no reply yet, or its effect is not visible yet.
    Flight,
    /// Too many instances load weights.
    Weight,
    /// A member restarted and is not replaced yet, or is not declared in the sheet.
    Member,
}

/// An order to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Due {
    /// The instance.
    pub instance: SmolStr,
    /// Its address.
    pub address: SmolStr,
    /// The order.
    pub order: Order,
}

/// What the executor has to do.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Outcome {
    /// Orders to send now; each needs a [`Memory::reply`].
    pub orders: Vec<Due>,
    /// `OrderDone` records; proposed again until they are applied.
    pub records: Vec<Record>,
    /// Orders that wait.
    pub waits: Vec<(SmolStr, Wait)>,
}

/// A load that may be sent as soon as weights may be loaded.
#[derive(Clone, Debug)]
struct Load {
    group: Offset,
    due: Due,
}

struct Pass<'a> {
    state: &'a State,
    view: &'a View,
    now: Instant,
    options: &'a Options,
}

/// Decides what the executor `me` does now. An incarnation that is proven dead holds no custody and
/// sends nothing. `weight` is the weight store's newest answer; without
/// one no load is started.
pub fn plan(
    state: &State,
    view: &View,
    now: Instant,
    me: Incarnation,
    weight: Option<Weight>,
    memory: &mut Memory,
    options: &Options,
) -> Outcome {
    let pass = Pass { state, view, now, options };
    let mut outcome = Outcome::default();
    let mut loads = Vec::new();
    let mine = |custody: &&Custody| custody.executor == me;
    let held: Vec<(&SmolStr, &Custody)> = state
        .instances()
        .filter_map(|(name, instance)| Some((name, instance.custody.as_ref().filter(mine)?)))
        .collect();
    memory.attempts.retain(|name, attempt| {
        let flying = matches!(attempt.stage, Stage::Flying(_));
        flying || held.binary_search_by(|(known, _)| (*known).cmp(name)).is_ok()
    });
    pass.expire(memory);
    for (name, custody) in held {
        let attempt = pass.attempt(name, custody, memory);
        let step = pass.decide(name, custody, attempt);
        if let Step::Send(_) | Step::Load(_) = step {
            attempt.weights = matches!(step, Step::Load(_));
        }
        match step {
            Step::Done => {
                attempt.stage = Stage::Done;
                let (instance, fence) = (name.to_string(), custody.fence);
                outcome.records.push(Record::OrderDone { instance, fence });
            }
            Step::Wait(wait) => outcome.waits.push((name.clone(), wait)),
            Step::Send(due) => outcome.orders.push(*due),
            Step::Load(load) => loads.push(*load),
        }
    }
    pass.admit(loads, weight, memory, &mut outcome);
    for due in &outcome.orders {
        if let Some(attempt) = memory.attempts.get_mut(&due.instance) {
            attempt.stage = Stage::Flying(now);
        }
    }
    outcome
}

enum Step {
    Done,
    Wait(Wait),
    Send(Box<Due>),
    /// Send when weights may be loaded.
    Load(Box<Load>),
}

impl Pass<'_> {
    /// Drops what reports have overtaken.
    fn expire(&self, memory: &mut Memory) {
        memory.accepted.retain(|name, at| {
            let seen = self.report(name).is_some_and(|report| report.at > *at);
            !seen && self.now.since(*at) < self.options.fresh
        });
        for (_, attempt) in memory.attempts.iter_mut() {
            match attempt.stage {
                Stage::Flying(sent) if self.now.since(sent) >= self.options.flight => {
                    attempt.stage = Stage::Unknown(self.now);
                }
                _ => {}
            }
        }
    }

    fn report(&self, name: &SmolStr) -> Option<&Report> {
        self.view.observation(name)?.fresh(self.now, self.options.fresh)
    }

    /// The attempt of the order in custody. An attempt under an older fencing token that has no
    /// reply comes first: an engine without fencing could take the two in the wrong order.
    fn attempt<'m>(
        &self,
        name: &SmolStr,
        custody: &Custody,
        memory: &'m mut Memory,
    ) -> &'m mut Attempt {
        let (fence, stage) = (custody.fence, Stage::New);
        let new = Attempt { fence, since: self.now, stage, weights: false };
        let attempt = memory.attempts.entry(name.clone(), || new);
        match attempt.stage {
            Stage::Flying(_) => {}
            _ if attempt.fence == custody.fence => {}
            Stage::Unknown(at) => {
                let stage = Stage::Unknown(at);
                *attempt = Attempt { stage, ..new };
            }
            _ => *attempt = new,
        }
        attempt
    }

    fn decide(&self, name: &SmolStr, custody: &Custody, attempt: &Attempt) -> Step {
        let since = match attempt.stage {
            Stage::Flying(_) => return Step::Wait(Wait::Flight),
            Stage::Done => return Step::Done,
            Stage::New => attempt.since,
            Stage::Unsent(at) if self.now.since(at) < self.options.retry => {
                return Step::Wait(Wait::Flight);
            }
            Stage::Unsent(_) => attempt.since,
            Stage::Unknown(at) => at,
        };
        // An instance that the sheet does not declare has no address; it is not ordered any more.
        let Some(declared) = self.state.sheet_instance(name) else { return Step::Done };
        let report = self.report(name).filter(|report| report.boot == custody.boot);
        let Some(report) = report else { return Step::Wait(Wait::Silent) };
        let group = self.state.instance(name).and_then(|instance| instance.assignment);
        let group = group.and_then(|it| Some((it.group, it.rank, self.state.group(it.group)?)));
        if report.at > since && self.is_visible(custody, report, group, declared.fencing) {
            return Step::Done;
        }
        // What an attempt of unknown effect did is told by a report that was made after it.
        if matches!(attempt.stage, Stage::Unknown(_)) && report.at <= since + self.options.retry {
            return Step::Wait(Wait::Flight);
        }
        if custody.drain && !self.is_drained(report, attempt.since) {
            return Step::Wait(Wait::Drain);
        }
        let due = |order| Due { instance: name.clone(), address: declared.address.clone(), order };
        match group {
            None => Step::Send(Box::new(due(unload(custody, report)))),
            Some((id, rank, group)) => match self.load(id, rank, group, custody) {
                None => Step::Wait(Wait::Member),
                Some(order) if needs_weights(id, group, report) => {
                    Step::Load(Box::new(Load { group: id, due: due(order) }))
                }
                Some(order) => Step::Send(Box::new(due(order))),
            },
        }
    }

    /// Whether the report shows that the order took effect.
    fn is_visible(
        &self,
        custody: &Custody,
        report: &Report,
        group: Option<(Offset, u32, &Group)>,
        fencing: bool,
    ) -> bool {
        match group {
            _ if report.fence == custody.fence => true,
            None => report.group == 0 && report.phase == Phase::Idle,
            // Without fencing only the first order of a group can be told from its id.
            Some((id, _, group)) => custody.fence == id && report.holds(id, group, fencing),
        }
    }

    /// Whether the requests of the group that the engine leaves have ended.
    fn is_drained(&self, report: &Report, since: Instant) -> bool {
        let settled = since + self.options.settle;
        let held: u32 = self
            .view
            .instances
            .iter()
            .filter(|(_, observation)| {
                observation.report.as_ref().is_some_and(|it| {
                    it.group == report.group && self.now.since(it.at) < self.options.fresh
                })
            })
            .filter_map(|(_, observation)| observation.report.as_ref())
            .fold(0, |sum: u32, it| sum.saturating_add(it.load()));
        let empty = report.group == 0 || held == 0;
        (empty && report.at >= settled) || self.now.since(since) >= self.options.drain
    }

    /// The order to load; `None` while a member is missing.
    fn load(&self, id: Offset, rank: u32, group: &Group, custody: &Custody) -> Option<Order> {
        let address = |seat: &mgw_state::state::MemberSlot| match seat.vacant {
            true => None,
            false => Some(self.state.sheet_instance(&seat.instance)?.address.clone()),
        };
        let members = group.members.iter().map(address).collect::<Option<Vec<SmolStr>>>()?;
        let adapters = &self.state.sheet()?.adapters;
        let adapters = adapters.iter().filter(|adapter| adapter.model == group.model);
        Some(Order {
            fence: custody.fence,
            group: id,
            order: Action::Load,
            model: group.model.clone(),
            version: group.version.clone(),
            adapters: adapters.map(|adapter| adapter.name.clone()).collect(),
            members,
            rank,
            boot: custody.boot.clone(),
        })
    }

    /// Admits loads up to the limit of the weight store, those of the group that is complete
    /// soonest first.
    fn admit(
        &self,
        loads: Vec<Load>,
        weight: Option<Weight>,
        memory: &Memory,
        outcome: &mut Outcome,
    ) {
        let mut keyed: Vec<_> = loads.into_iter().map(|it| (self.rank(it.group), it)).collect();
        keyed.sort_by(|left, right| {
            (left.0, left.1.due.order.rank).cmp(&(right.0, right.1.due.order.rank))
        });
        let mut room = self.room(weight, memory);
        for (_, load) in keyed {
            match room {
                0 => outcome.waits.push((load.due.instance, Wait::Weight)),
                _ => {
                    room -= 1;
                    outcome.orders.push(load.due);
                }
            }
        }
    }

    /// Groups that are complete sooner rank lower: those without a member that cannot be ordered,
    /// then those with fewer members to load, then by priority and age.
    fn rank(&self, id: Offset) -> (bool, usize, u8, Offset) {
        let Some(group) = self.state.group(id) else { return (true, usize::MAX, u8::MAX, id) };
        let models = self.state.sheet().map_or(&[][..], |sheet| &sheet.models);
        let priority = models.iter().find(|model| model.name == group.model);
        let unready = |seat: &&mgw_state::state::MemberSlot| {
            let report = self.report(&seat.instance);
            !report.is_some_and(|it| it.group == id && it.phase == Phase::Ready)
        };
        let hindered = group.members.iter().any(|seat| {
            seat.vacant || self.report(&seat.instance).is_none_or(|it| it.boot != seat.boot)
        });
        let missing = group.members.iter().filter(unready).count();
        (hindered, missing, priority.map_or(u8::MAX, |model| model.priority), id)
    }

    /// Loads that may start now.
    fn room(&self, weight: Option<Weight>, memory: &Memory) -> u32 {
        let (Some(weight), Some(sheet)) = (weight, self.state.sheet()) else { return 0 };
        let loading =
            |name: &SmolStr| self.report(name).is_some_and(|report| report.phase == Phase::Loading);
        let seen = self.view.instances.iter().filter(|(name, _)| loading(name)).count();
        let hidden = memory.accepted.iter().filter(|(name, _)| !loading(name)).count();
        let flying = memory
            .attempts
            .iter()
            .filter(|(_, it)| it.weights && matches!(it.stage, Stage::Flying(_)))
            .filter(|(name, _)| !loading(name) && memory.accepted.get(name).is_none())
            .count();
        let running = (seen + hidden + flying) as u32;
        sheet.setting.weight_loads.min(weight.limit).saturating_sub(running.max(weight.active))
    }
}

fn unload(custody: &Custody, report: &Report) -> Order {
    Order {
        fence: custody.fence,
        group: report.group,
        order: Action::Unload,
        model: SmolStr::default(),
        version: SmolStr::default(),
        adapters: Vec::new(),
        members: Vec::new(),
        rank: 0,
        boot: custody.boot.clone(),
    }
}

/// Whether an order makes the engine fetch weights.
fn needs_weights(id: Offset, group: &Group, report: &Report) -> bool {
    let loaded = matches!(report.phase, Phase::Ready | Phase::Loading);
    let same = match &report.model {
        Some((model, version)) => *model == group.model && *version == group.version,
        None => report.group == id,
    };
    !(loaded && same)
}
