//! The executor's orders to model engines: which orders are due, how many loads may run at once,
//! and when an order is done.
//!
//! The log holds, as custody, which executor has to send an order to which instance. An instance
//! that is assigned to a group is ordered to load the group's model, a free one to unload.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_report::report::{Action, Order, Phase, Weight};
use mgw_state::record::{Incarnation, Offset, Record};
use mgw_state::state::{Custody, Group, State};
use smol_str::SmolStr;

use crate::view::{Report, View};

/// Timeouts and delays of the executor.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Orders are sent only to instances with a report younger than this.
    pub report_max_age: Duration,
    /// Minimum time between two attempts to send an order.
    pub retry_interval: Duration,
    /// Time without a reply after which the effect of an attempt is treated as unknown.
    pub reply_timeout: Duration,
    /// Time after which all entries are expected to know that a group has ended. An engine without
    /// requests counts as drained only by a report that was made this long after its order was
    /// first due.
    pub settle_delay: Duration,
    /// Longest time that requests in flight may delay an order.
    pub drain_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            report_max_age: Duration::from_secs(15),
            retry_interval: Duration::from_secs(1),
            reply_timeout: Duration::from_secs(30),
            settle_delay: Duration::from_secs(3),
            drain_timeout: Duration::from_secs(600),
        }
    }
}

/// Result of an attempt to send an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The engine accepted the order.
    Accepted,
    /// The engine rejected the order because it knows a newer fencing token, so the order cannot
    /// take effect any more.
    Stale,
    /// The order was not sent.
    Unsent,
    /// The order was sent, but it is not known whether it took effect.
    Unknown,
}

/// Progress of the attempts to send one order.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// No attempt was made yet.
    New,
    /// An attempt was sent at this time and has no reply yet.
    InFlight(Instant),
    /// The last attempt failed at this time before the order was sent.
    Unsent(Instant),
    /// The last attempt ended at this time without a reply; it may have taken effect.
    Unknown(Instant),
    /// The order took effect or was rejected as stale; it is not sent again.
    Done,
}

/// The state of the order that is being sent to one instance.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    /// Fencing token of the order.
    fence: Offset,
    /// When the order was first due.
    due_since: Instant,
    stage: Stage,
    /// Whether the order makes the engine load weights, which counts against the load limit.
    loads_weights: bool,
}

/// The attempts of an executor to send its orders, kept between calls of [`schedule`].
#[derive(Clone, Debug, Default)]
pub struct Tracker {
    /// The newest attempt, by instance.
    attempts: Map<SmolStr, Attempt>,
    /// When loads were accepted that the instance's report does not show yet, by instance.
    accepted_loads: Map<SmolStr, Instant>,
}

impl Tracker {
    /// Records the result of an attempt. Replies for another fencing token than that of the
    /// instance's newest attempt are ignored.
    pub fn record_reply(&mut self, instance: &SmolStr, fence: Offset, reply: Reply, now: Instant) {
        let Some(attempt) = self.attempts.get_mut(instance).filter(|it| it.fence == fence) else {
            return;
        };
        attempt.stage = match reply {
            Reply::Accepted | Reply::Stale => Stage::Done,
            Reply::Unsent => Stage::Unsent(now),
            Reply::Unknown => Stage::Unknown(now),
        };
        if attempt.loads_weights && matches!(reply, Reply::Accepted | Reply::Unknown) {
            self.accepted_loads.insert(instance.clone(), now);
        }
    }
}

/// Why an order is not sent now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// There is no recent report of the instance under the boot that the order is meant for.
    NoReport,
    /// The group that the engine leaves still holds requests.
    Draining,
    /// An attempt has no reply yet, no later report shows its effect yet, or the retry interval has
    /// not passed.
    InFlight,
    /// As many instances load weights as the sheet or the weight store allows.
    LoadLimit,
    /// A seat of the group is vacant, or the sheet does not declare a member.
    MissingMember,
}

/// An order and the instance that it is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Dispatch {
    /// Name of the instance.
    pub instance: SmolStr,
    /// IP address and port of the instance, from the sheet.
    pub address: SmolStr,
    /// The order to send.
    pub order: Order,
}

/// What the executor has to do now.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Schedule {
    /// Orders to send now. The result of each must be passed to [`Tracker::record_reply`].
    pub orders: Vec<Dispatch>,
    /// `OrderDone` records to append; they are returned again until they are applied.
    pub records: Vec<Record>,
    /// Instances whose orders are not sent now, and why.
    pub waits: Vec<(SmolStr, Wait)>,
}

/// A load order that may be sent once the load limit allows it.
#[derive(Clone, Debug)]
struct Load {
    group: Offset,
    dispatch: Dispatch,
}

/// The inputs of one call of [`schedule`].
struct Pass<'a> {
    state: &'a State,
    view: &'a View,
    now: Instant,
    options: &'a Options,
}

/// Decides which orders the executor `own` sends now and which are done.
///
/// An incarnation that is proven dead has no custody and sends nothing. `store` is the weight
/// store's newest answer; without one, no load is started.
pub fn schedule(
    state: &State,
    view: &View,
    now: Instant,
    own: Incarnation,
    store: Option<Weight>,
    tracker: &mut Tracker,
    options: &Options,
) -> Schedule {
    let pass = Pass { state, view, now, options };
    let mut schedule = Schedule::default();
    let mut loads = Vec::new();
    let is_own = |custody: &&Custody| custody.executor == own;
    let orders: Vec<(&SmolStr, &Custody)> = state
        .instances()
        .filter_map(|(name, instance)| Some((name, instance.custody.as_ref().filter(is_own)?)))
        .collect();
    tracker.attempts.retain(|name, attempt| {
        let in_flight = matches!(attempt.stage, Stage::InFlight(_));
        in_flight || orders.binary_search_by(|(known, _)| (*known).cmp(name)).is_ok()
    });
    pass.expire(tracker);
    for (name, custody) in orders {
        let attempt = pass.current_attempt(name, custody, tracker);
        let step = pass.decide(name, custody, attempt);
        if let Step::Send(_) | Step::Load(_) = step {
            attempt.loads_weights = matches!(step, Step::Load(_));
        }
        match step {
            Step::Done => {
                attempt.stage = Stage::Done;
                let (instance, fence) = (name.to_string(), custody.fence);
                schedule.records.push(Record::OrderDone { instance, fence });
            }
            Step::Wait(wait) => schedule.waits.push((name.clone(), wait)),
            Step::Send(dispatch) => schedule.orders.push(*dispatch),
            Step::Load(load) => loads.push(*load),
        }
    }
    pass.admit_loads(loads, store, tracker, &mut schedule);
    for dispatch in &schedule.orders {
        if let Some(attempt) = tracker.attempts.get_mut(&dispatch.instance) {
            attempt.stage = Stage::InFlight(now);
        }
    }
    schedule
}

/// What is to be done about one order.
enum Step {
    /// Record the order as done.
    Done,
    /// Send nothing now.
    Wait(Wait),
    /// Send the order now.
    Send(Box<Dispatch>),
    /// Send the order once the load limit allows it.
    Load(Box<Load>),
}

impl Pass<'_> {
    /// Drops accepted loads that newer reports cover or that are older than a report may be, and
    /// marks attempts without a reply after [`Options::reply_timeout`] as unknown.
    fn expire(&self, tracker: &mut Tracker) {
        tracker.accepted_loads.retain(|name, at| {
            let reported = self.report(name).is_some_and(|report| report.at > *at);
            !reported && self.now.since(*at) < self.options.report_max_age
        });
        for (_, attempt) in tracker.attempts.iter_mut() {
            match attempt.stage {
                Stage::InFlight(sent) if self.now.since(sent) >= self.options.reply_timeout => {
                    attempt.stage = Stage::Unknown(self.now);
                }
                _ => {}
            }
        }
    }

    /// The instance's report, if it is recent enough to send an order.
    fn report(&self, name: &SmolStr) -> Option<&Report> {
        self.view.observation(name)?.fresh_report(self.now, self.options.report_max_age)
    }

    /// The attempt for the order in custody.
    ///
    /// While an attempt under an older fencing token has no reply, it is returned instead, so that
    /// the new order waits: an engine without fencing could execute the two in the wrong order.
    fn current_attempt<'m>(
        &self,
        name: &SmolStr,
        custody: &Custody,
        tracker: &'m mut Tracker,
    ) -> &'m mut Attempt {
        let (fence, stage) = (custody.fence, Stage::New);
        let new = Attempt { fence, due_since: self.now, stage, loads_weights: false };
        let attempt = tracker.attempts.entry(name.clone(), || new);
        match attempt.stage {
            Stage::InFlight(_) => {}
            _ if attempt.fence == custody.fence => {}
            Stage::Unknown(at) => {
                let stage = Stage::Unknown(at);
                *attempt = Attempt { stage, ..new };
            }
            _ => *attempt = new,
        }
        attempt
    }

    /// Decides what to do about the order in `custody` of the instance `name`.
    fn decide(&self, name: &SmolStr, custody: &Custody, attempt: &Attempt) -> Step {
        let since = match attempt.stage {
            Stage::InFlight(_) => return Step::Wait(Wait::InFlight),
            Stage::Done => return Step::Done,
            Stage::New => attempt.due_since,
            Stage::Unsent(at) if self.now.since(at) < self.options.retry_interval => {
                return Step::Wait(Wait::InFlight);
            }
            Stage::Unsent(_) => attempt.due_since,
            Stage::Unknown(at) => at,
        };
        // An instance that the sheet no longer declares has no address, so its order is given up.
        let Some(declared) = self.state.sheet_instance(name) else { return Step::Done };
        let report = self.report(name).filter(|report| report.boot == custody.boot);
        let Some(report) = report else { return Step::Wait(Wait::NoReport) };
        let group = self.state.instance(name).and_then(|instance| instance.assignment);
        let group = group.and_then(|it| Some((it.group, it.rank, self.state.group(it.group)?)));
        if report.at > since && self.has_taken_effect(custody, report, group, declared.fencing) {
            return Step::Done;
        }
        // Whether an attempt with an unknown result took effect shows only in a later report.
        if matches!(attempt.stage, Stage::Unknown(_))
            && report.at <= since + self.options.retry_interval
        {
            return Step::Wait(Wait::InFlight);
        }
        if custody.drain && !self.is_drained(report, attempt.due_since) {
            return Step::Wait(Wait::Draining);
        }
        let dispatch =
            |order| Dispatch { instance: name.clone(), address: declared.address.clone(), order };
        match group {
            None => Step::Send(Box::new(dispatch(unload_order(custody, report)))),
            Some((id, rank, group)) => match self.load_order(id, rank, group, custody) {
                None => Step::Wait(Wait::MissingMember),
                Some(order) if needs_weights(id, group, report) => {
                    Step::Load(Box::new(Load { group: id, dispatch: dispatch(order) }))
                }
                Some(order) => Step::Send(Box::new(dispatch(order))),
            },
        }
    }

    /// Whether the report shows that the order took effect.
    fn has_taken_effect(
        &self,
        custody: &Custody,
        report: &Report,
        group: Option<(Offset, u32, &Group)>,
        fencing: bool,
    ) -> bool {
        match group {
            _ if report.fence == custody.fence => true,
            None => report.group == 0 && report.phase == Phase::Idle,
            // Without fencing, the group id in the report identifies only the first order of a
            // group.
            Some((id, _, group)) => custody.fence == id && report.matches_group(id, group, fencing),
        }
    }

    /// Whether the group that the engine leaves holds no requests any more, or has delayed the
    /// order that was first due at `since` for as long as allowed.
    fn is_drained(&self, report: &Report, since: Instant) -> bool {
        let settled = since + self.options.settle_delay;
        let requests: u32 = self
            .view
            .instances
            .iter()
            .filter(|(_, observation)| {
                observation.report.as_ref().is_some_and(|it| {
                    it.group == report.group && self.now.since(it.at) < self.options.report_max_age
                })
            })
            .filter_map(|(_, observation)| observation.report.as_ref())
            .fold(0, |sum: u32, it| sum.saturating_add(it.request_count()));
        let empty = report.group == 0 || requests == 0;
        (empty && report.at >= settled) || self.now.since(since) >= self.options.drain_timeout
    }

    /// The order to load the group's model; `None` while a seat is vacant or the sheet does not
    /// declare a member.
    fn load_order(&self, id: Offset, rank: u32, group: &Group, custody: &Custody) -> Option<Order> {
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

    /// Schedules loads up to the load limit, in the order of [`Pass::load_priority`] and then by
    /// rank; the others wait.
    fn admit_loads(
        &self,
        loads: Vec<Load>,
        store: Option<Weight>,
        tracker: &Tracker,
        schedule: &mut Schedule,
    ) {
        let mut keyed: Vec<_> =
            loads.into_iter().map(|it| (self.load_priority(it.group), it)).collect();
        keyed.sort_by(|left, right| {
            (left.0, left.1.dispatch.order.rank).cmp(&(right.0, right.1.dispatch.order.rank))
        });
        let mut free = self.free_load_slots(store, tracker);
        for (_, load) in keyed {
            match free {
                0 => schedule.waits.push((load.dispatch.instance, Wait::LoadLimit)),
                _ => {
                    free -= 1;
                    schedule.orders.push(load.dispatch);
                }
            }
        }
    }

    /// Sort key by which groups load weights first: groups whose members can all be ordered, then
    /// groups with the fewest members left to load, then by the model's priority and the group's
    /// age. Groups are thus completed one after another instead of all at the same time.
    fn load_priority(&self, id: Offset) -> (bool, usize, u8, Offset) {
        let Some(group) = self.state.group(id) else { return (true, usize::MAX, u8::MAX, id) };
        let models = self.state.sheet().map_or(&[][..], |sheet| &sheet.models);
        let priority = models.iter().find(|model| model.name == group.model);
        let unready = |seat: &&mgw_state::state::MemberSlot| {
            let report = self.report(&seat.instance);
            !report.is_some_and(|it| it.group == id && it.phase == Phase::Ready)
        };
        let blocked = group.members.iter().any(|seat| {
            seat.vacant || self.report(&seat.instance).is_none_or(|it| it.boot != seat.boot)
        });
        let unready_count = group.members.iter().filter(unready).count();
        (blocked, unready_count, priority.map_or(u8::MAX, |model| model.priority), id)
    }

    /// Number of further loads that the sheet and the weight store allow now. Counted as running
    /// are the loads that reports show, accepted loads that no report shows yet and attempts
    /// without a reply; the store may count further loads of other users.
    fn free_load_slots(&self, store: Option<Weight>, tracker: &Tracker) -> u32 {
        let (Some(store), Some(sheet)) = (store, self.state.sheet()) else { return 0 };
        let loading =
            |name: &SmolStr| self.report(name).is_some_and(|report| report.phase == Phase::Loading);
        let reported = self.view.instances.iter().filter(|(name, _)| loading(name)).count();
        let unreported = tracker.accepted_loads.iter().filter(|(name, _)| !loading(name)).count();
        let in_flight = tracker
            .attempts
            .iter()
            .filter(|(_, it)| it.loads_weights && matches!(it.stage, Stage::InFlight(_)))
            .filter(|(name, _)| !loading(name) && tracker.accepted_loads.get(name).is_none())
            .count();
        let running = (reported + unreported + in_flight) as u32;
        sheet.setting.weight_loads.min(store.limit).saturating_sub(running.max(store.active))
    }
}

/// The order to drop the model and leave the group in `report`.
fn unload_order(custody: &Custody, report: &Report) -> Order {
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

/// Whether an order makes the engine load weights: it has not loaded, and is not loading, the
/// group's model in the wanted version.
fn needs_weights(id: Offset, group: &Group, report: &Report) -> bool {
    let loaded = matches!(report.phase, Phase::Ready | Phase::Loading);
    let same = match &report.model {
        Some((model, version)) => *model == group.model && *version == group.version,
        None => report.group == id,
    };
    !(loaded && same)
}
