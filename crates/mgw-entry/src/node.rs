//! The node: its tables, its inputs and its tick.

use std::time::Duration;

use mgw_base::arena::Arena;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_base::timer;
use mgw_booking::coordinator::{self, Coordinator};
use mgw_booking::relay;
use mgw_event::Body;
use mgw_group::view::View as Observations;
use mgw_group::{order, planner, readiness};
use mgw_member::gossip::{self, Gossip};
use mgw_member::observe::Assignment;
use mgw_member::store::{self, Store};
use mgw_member::view::{self, View};
use mgw_report::report::Weight;
use mgw_route::select::Id;
use mgw_route::{eject, limit, quarantine, retry, select, stream};
use mgw_state::reader::Reader;
use mgw_state::record::{Incarnation, Offset, Record};
use mgw_state::state::{self, State};
use mgw_wire::frame::{Heartbeat, Phase};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::agree::{Crash, Reading};
use crate::call::Call;
use crate::command::Command;
use crate::input::Input;
use crate::outbox::{Origin, Outbox};
use crate::poll::Poll;
use crate::publish::Past;
use crate::target::Credential;

/// Where the entry is and how it decides.
#[derive(Clone, Debug)]
pub struct Options {
    /// The entry's name, as in the instance list.
    pub entry: SmolStr,
    /// 64 random bits drawn at start.
    pub incarnation: Incarnation,
    /// Address for callers.
    pub callers: SmolStr,
    /// Address for peers, bound exclusively by this process.
    pub peers: SmolStr,
    /// Availability zone; the part before `/`, if any, is the region.
    pub zone: SmolStr,
    /// Period of the control tick.
    pub control: Duration,
    /// Period of polls of backend servers and of gossip rounds.
    pub round: Duration,
    /// Time without an answer after which an instance counts as silent.
    pub silent: Duration,
    /// Period of requests for the instance list and the weight store's load.
    pub platform: Duration,
    /// Bounds of the replicated state.
    pub state: state::Options,
    /// Bounds of the table of entries.
    pub view: view::Options,
    /// Bounds of gossip.
    pub gossip: gossip::Options,
    /// Bounds of what gossip tells.
    pub store: store::Options,
    /// Bounds of the presence check.
    pub presence: readiness::Options,
    /// Decides on groups when this entry is the planner. Measurements put baselines in its place.
    pub planner: planner::Planner,
    /// Bounds of planning.
    pub form: planner::Options,
    /// Bounds of orders.
    pub order: order::Options,
    /// Parameters of the choice of targets.
    pub select: select::Options,
    /// Parameters of admission.
    pub limit: limit::Options,
    /// Parameters of the retry budget.
    pub retry: retry::Options,
    /// Parameters of ejection.
    pub eject: eject::Options,
    /// Parameters of crash blame.
    pub quarantine: quarantine::Options,
    /// Bounds of model calls.
    pub stream: stream::Options,
    /// Bounds of bookings.
    pub booking: coordinator::Options,
}

impl Options {
    /// The defaults of the design for an entry.
    pub fn new(entry: SmolStr, incarnation: Incarnation, zone: SmolStr) -> Self {
        Self {
            entry,
            incarnation,
            callers: SmolStr::default(),
            peers: SmolStr::default(),
            zone,
            control: Duration::from_millis(100),
            round: Duration::from_millis(500),
            silent: Duration::from_millis(1_500),
            platform: Duration::from_secs(2),
            state: state::Options::new(|text| mgw_sheet::parse::parse(text).ok()),
            view: view::Options::default(),
            gossip: gossip::Options::default(),
            store: store::Options::default(),
            presence: readiness::Options::default(),
            planner: planner::plan,
            form: planner::Options::default(),
            order: order::Options::default(),
            select: select::Options::default(),
            limit: limit::Options::default(),
            retry: retry::Options::default(),
            eject: eject::Options::default(),
            quarantine: quarantine::Options::default(),
            stream: stream::Options::default(),
            booking: coordinator::Options::default(),
        }
    }
}

/// A longer time without a tick counts as a pause of this process; the control tick is ten times as
/// frequent.
const PAUSE: Duration = Duration::from_secs(1);

/// Time after a pause within which queued messages are taken from their queues.
const CATCH_UP: Duration = Duration::from_secs(1);

/// The region of an availability zone.
pub fn region(zone: &str) -> &str {
    zone.split_once('/').map_or("", |(region, _)| region)
}

/// What the timer service announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Topic {
    /// The control tick.
    Control,
    /// Polls and gossip.
    Round,
    /// Instance list and weight store.
    Platform,
    /// Demand of the teams.
    Demand,
    /// The next read of the log after a failed one.
    Read,
}

/// One entry's decisions.
#[derive(Debug)]
pub struct Node {
    pub(crate) options: Options,
    pub(crate) started: Instant,
    pub(crate) random: SmallRng,
    pub(crate) timers: timer::Service<Topic>,
    /// When the node last ran.
    ran: Instant,
    /// When the process last went on after a pause.
    resumed: Option<Instant>,
    pub(crate) phase: Phase,
    pub(crate) draining_since: Option<Instant>,
    pub(crate) reader: Reader,
    pub(crate) reading: Reading,
    pub(crate) replayed: Vec<Crash>,
    pub(crate) outbox: Outbox,
    /// `State::changed` at the last synchronisation of the derived tables.
    pub(crate) synced: Offset,
    /// Versions that this process saw come into force, ascending.
    pub(crate) history: Vec<Past>,
    /// Whether no version is missing before the first one of the history.
    pub(crate) history_whole: bool,
    /// Configuration version that the admission was configured from.
    pub(crate) configured: Offset,
    pub(crate) peers: View,
    pub(crate) store: Store,
    pub(crate) gossip: Gossip,
    pub(crate) duty: Assignment,
    /// When the outstanding poll of each instance was sent.
    pub(crate) asked: Map<SmolStr, Instant>,
    pub(crate) polls: Map<SmolStr, Poll>,
    pub(crate) observations: Observations,
    /// Taking time of the newest instance list, on the platform's clock, in ms.
    pub(crate) list_as_of: u64,
    pub(crate) list_failed: bool,
    /// When the outstanding request for the instance list was sent.
    pub(crate) list_asked: Option<Instant>,
    pub(crate) weight: Option<Weight>,
    pub(crate) planner: planner::Tracker,
    pub(crate) undone: Vec<planner::Cause>,
    pub(crate) orders: order::Tracker,
    pub(crate) targets: select::Table,
    pub(crate) credentials: Vec<Credential>,
    pub(crate) limiter: limit::Limiter,
    pub(crate) retries: retry::Table,
    pub(crate) ejections: eject::Table,
    pub(crate) quarantine: quarantine::Table,
    /// When a target last refused a connection; it is open again once a newer report says so.
    pub(crate) refusals: Map<Id, Instant>,
    /// When a target last crashed.
    pub(crate) crashes: Map<Id, Instant>,
    pub(crate) calls: Arena<Call>,
    pub(crate) requests: u64,
    pub(crate) bookings: Coordinator,
    pub(crate) relays: relay::Table,
    pub(crate) commands: Vec<Command>,
    pub(crate) events: Vec<Body>,
}

impl Node {
    /// A node that starts at `now`; `seed` determines its random choices.
    pub fn new(options: Options, seed: u64, now: Instant) -> Self {
        let incarnation = options.incarnation;
        let own = Heartbeat {
            incarnation,
            counter: 0,
            entry: options.entry.to_string(),
            callers: options.callers.to_string(),
            peers: options.peers.to_string(),
            zone: options.zone.to_string(),
            phase: Phase::Starting,
            applied: 0,
            uptime_ms: 0,
        };
        let region = SmolStr::new(region(&options.zone));
        let mut timers = timer::Service::default();
        timers.every(now, options.control, Topic::Control);
        timers.every(now, options.round, Topic::Round);
        timers.every(now, options.platform, Topic::Platform);
        timers.every(now + Duration::from_secs(1), Duration::from_secs(1), Topic::Demand);
        timers.at(now, Topic::Read);
        let mut outbox = Outbox::new(incarnation);
        outbox.push(
            Origin::Join,
            Record::Join {
                entry: options.entry.to_string(),
                incarnation,
                address: options.peers.to_string(),
                zone: options.zone.to_string(),
            },
        );
        Self {
            started: now,
            random: SmallRng::seed_from_u64(seed),
            timers,
            ran: now,
            resumed: None,
            phase: Phase::Starting,
            draining_since: None,
            reader: Reader::new(options.state, incarnation),
            reading: Reading::default(),
            replayed: Vec::new(),
            outbox,
            synced: 0,
            history: Vec::new(),
            history_whole: true,
            configured: 0,
            peers: View::new(own, options.view, now),
            store: Store::new(options.store),
            gossip: Gossip::new(options.gossip.clone(), seed),
            duty: Assignment::default(),
            asked: Map::default(),
            polls: Map::default(),
            observations: Observations::default(),
            list_as_of: 0,
            list_failed: false,
            list_asked: None,
            weight: None,
            planner: planner::Tracker::default(),
            undone: Vec::new(),
            orders: order::Tracker::default(),
            targets: select::Table::new(options.select, options.zone.clone(), region),
            credentials: Vec::new(),
            limiter: limit::Limiter::new(options.limit, now),
            retries: retry::Table::new(options.retry),
            ejections: eject::Table::new(options.eject),
            quarantine: quarantine::Table::new(options.quarantine, incarnation),
            refusals: Map::default(),
            crashes: Map::default(),
            calls: Arena::default(),
            requests: 0,
            bookings: Coordinator::new(options.booking, incarnation, now),
            relays: relay::Table::default(),
            commands: Vec::new(),
            events: Vec::new(),
            options,
        }
    }

    /// The options.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// The replicated state.
    pub fn state(&self) -> &State {
        self.reader.state()
    }

    /// Starting, serving or draining.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Takes an input.
    pub fn input(&mut self, now: Instant, input: Input) {
        self.note_run(now);
        match input {
            Input::Read(read) => self.take_read(now, read),
            Input::Append { sequence, result } => self.take_append(now, sequence, result),
            Input::State(whole) => self.take_state(now, whole),
            Input::List(list) => self.take_list(now, list),
            Input::Weight(weight) => self.weight = weight,
            Input::Engine { instance, report } => self.take_engine(instance, report),
            Input::Server { instance, report } => self.take_server(instance, report),
            Input::Order { instance, fence, reply } => {
                self.take_reply(now, instance, fence, reply);
            }
            Input::Gossip { items } => self.take_gossip(now, items),
            Input::View { items } => self.take_view(now, items),
        }
        self.flush(now);
    }

    /// Runs the systems that are due.
    pub fn tick(&mut self, now: Instant) {
        self.note_run(now);
        while let Some(topic) = self.timers.pop(now) {
            match topic {
                Topic::Control => self.control(now),
                Topic::Round => self.round(now),
                Topic::Platform => self.ask_platform(now),
                Topic::Demand => self.measure_demand(now),
                Topic::Read => self.read(now),
            }
        }
        self.tick_bookings(now);
        self.flush(now);
    }

    /// When [`Node::tick`] has something to do next.
    pub fn next(&self) -> Option<Instant> {
        self.timers
            .next()
            .into_iter()
            .chain(self.bookings.next_deadline())
            .chain(self.relays.next_deadline())
            .min()
    }

    /// Removes and returns the commands that are due.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Body> {
        std::mem::take(&mut self.events)
    }

    /// Leaves the directory and finishes what is in flight.
    pub fn drain(&mut self, now: Instant) {
        if self.draining_since.is_none() {
            self.draining_since = Some(now);
            self.set_phase(Phase::Draining, now);
        }
    }

    /// Whether the log says that this incarnation has ended: an operator declared it gone, or a
    /// newer incarnation joined at its address. Its orders and plans no longer count, so the
    /// process has to be started again.
    pub fn is_expelled(&self) -> bool {
        self.reader.state().is_dead(self.options.incarnation)
    }

    /// Whether a draining node may end: callers no longer use its address, and nothing is in
    /// flight.
    pub fn is_drained(&self, now: Instant) -> bool {
        self.has_left(now)
            && self.calls.is_empty()
            && self.bookings.ledger().open_count() == 0
            && self.relays.is_empty()
    }

    /// Whether the directory answers that named this entry have expired since it began to drain.
    fn has_left(&self, now: Instant) -> bool {
        let ttl = Duration::from_millis(u64::from(mgw_member::directory::TTL_MS));
        self.draining_since.is_some_and(|since| now.since(since) >= ttl)
    }

    /// Whether new requests are refused. Callers that keep an old directory must not delay the end
    /// of a drain, so nothing new is taken once the directory's ttl has passed.
    pub(crate) fn refuses(&self, now: Instant) -> bool {
        self.phase == Phase::Starting || self.has_left(now)
    }

    /// The number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.calls.len() + self.bookings.ledger().open_count() + self.relays.len()
    }

    pub(crate) fn set_phase(&mut self, phase: Phase, now: Instant) {
        self.phase = phase;
        if self.peers.set_own_state(phase, self.reader.state().applied(), now) {
            self.gossip.announce(&self.peers);
        }
        let kind = match phase {
            Phase::Starting => return,
            Phase::Serving => mgw_event::Kind::EntryStarted,
            Phase::Draining => mgw_event::Kind::EntryDraining,
        };
        self.events.push(
            Body::new(kind)
                .entry(&self.options.entry)
                .text(format_args!("incarnation {:016x}", self.options.incarnation)),
        );
    }

    /// Notices a pause of this process.
    fn note_run(&mut self, now: Instant) {
        if now.since(self.ran) >= PAUSE {
            self.resumed = Some(now);
        }
        self.ran = now;
    }

    /// Whether what arrives now may have waited in a queue during a pause of this process. Such
    /// gossip tells the past with the ages of the present.
    pub(crate) fn is_resuming(&self, now: Instant) -> bool {
        self.resumed.is_some_and(|at| now.since(at) < CATCH_UP)
    }

    fn control(&mut self, now: Instant) {
        if self.is_expelled() {
            self.drain(now);
        }
        self.update_phase(now);
        self.sync_state(now);
        self.see_instances(now);
        self.sync_targets(now);
        self.tick_routing(now);
        self.tick_planner(now);
        self.tick_orders(now);
    }

    /// Hands the next append to the edges.
    fn flush(&mut self, now: Instant) {
        if let Some(batch) = self.bookings.next_batch(now) {
            self.queue_claims(now, batch);
        }
        if let Some(batch) = self.outbox.next(now) {
            self.reader.track_append(batch.sequence);
            self.commands
                .push(Command::Append { sequence: batch.sequence, records: batch.records });
        }
    }
}
