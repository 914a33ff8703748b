//! The node: its tables, its inputs and its periodic work.

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
use mgw_report::report::WeightStore;
use mgw_route::select::Id;
use mgw_route::{eject, limit, quarantine, retry, select, stream};
use mgw_state::reader::Reader;
use mgw_state::record::{Incarnation, Offset, Record};
use mgw_state::state::{self, State};
use mgw_wire::frame::{Heartbeat, Phase};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::call::Call;
use crate::command::Command;
use crate::input::Input;
use crate::outbox::{Outbox, Purpose};
use crate::poll::Poll;
use crate::publish::Revision;
use crate::replication::{Crash, ReadState};
use crate::target::Credential;

/// Identity of the entry and parameters of its decisions.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the entry, as in the instance list.
    pub entry: SmolStr,
    /// Identifier of this run of the process: 64 bits drawn at random at the start.
    pub incarnation: Incarnation,
    /// Address at which callers reach the entry.
    pub callers: SmolStr,
    /// Address at which peers reach the entry. Only this process may be bound to it.
    pub peers: SmolStr,
    /// Availability zone of the entry. The part before `/`, if any, is the region.
    pub zone: SmolStr,
    /// Interval of the control loop, which updates the derived tables and plans.
    pub control_interval: Duration,
    /// Interval of polls of backend servers and of gossip rounds.
    pub round_interval: Duration,
    /// Time without an answer after which an instance counts as silent. The node does not read it.
    pub silence_timeout: Duration,
    /// Interval of requests for the instance list and the load of the weight store.
    pub platform_interval: Duration,
    /// Parameters of the replicated state.
    pub state: state::Options,
    /// Parameters of the table of entries.
    pub view: view::Options,
    /// Parameters of gossip.
    pub gossip: gossip::Options,
    /// Parameters of the store of gossiped reports.
    pub store: store::Options,
    /// Parameters of the readiness check of groups.
    pub readiness: readiness::Options,
    /// Function that plans groups when this entry is the planner. Measurements replace it by
    /// baseline policies.
    pub planner: planner::Planner,
    /// Parameters of planning.
    pub planning: planner::Options,
    /// Parameters of orders.
    pub order: order::Options,
    /// Parameters of target selection.
    pub select: select::Options,
    /// Parameters of admission.
    pub limit: limit::Options,
    /// Parameters of the retry budget.
    pub retry: retry::Options,
    /// Parameters of the ejection of slow targets.
    pub eject: eject::Options,
    /// Parameters of the quarantine of requests that crash servers.
    pub quarantine: quarantine::Options,
    /// Parameters of model calls.
    pub stream: stream::Options,
    /// Parameters of bookings.
    pub booking: coordinator::Options,
}

impl Options {
    /// Default options. The addresses are empty and must be set if the entry has peers or callers.
    pub fn new(entry: SmolStr, incarnation: Incarnation, zone: SmolStr) -> Self {
        Self {
            entry,
            incarnation,
            callers: SmolStr::default(),
            peers: SmolStr::default(),
            zone,
            control_interval: Duration::from_millis(100),
            round_interval: Duration::from_millis(500),
            silence_timeout: Duration::from_millis(1_500),
            platform_interval: Duration::from_secs(2),
            state: state::Options::new(|text| mgw_sheet::parse::parse(text).ok()),
            view: view::Options::default(),
            gossip: gossip::Options::default(),
            store: store::Options::default(),
            readiness: readiness::Options::default(),
            planner: planner::plan,
            planning: planner::Options::default(),
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

/// Time between two inputs or ticks from which on the process counts as having been paused. The
/// default interval of the control loop is a tenth of it.
const MIN_PAUSE: Duration = Duration::from_secs(1);

/// Time after a pause during which messages may still come from queues that filled during the
/// pause.
const CATCH_UP_DURATION: Duration = Duration::from_secs(1);

/// The region of an availability zone; empty if the zone names none.
pub fn region(zone: &str) -> &str {
    zone.split_once('/').map_or("", |(region, _)| region)
}

/// Timers of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Timer {
    /// Runs the control loop.
    Control,
    /// Polls backend servers and runs a gossip round.
    Round,
    /// Fetches the instance list and the load of the weight store.
    Platform,
    /// Measures and publishes the demand of the teams.
    Demand,
    /// Starts the next read of the log after a failed one.
    Read,
}

/// The state and decisions of one entry. It performs no I/O and reads no clock.
#[derive(Debug)]
pub struct Node {
    pub(crate) options: Options,
    pub(crate) started_at: Instant,
    pub(crate) random: SmallRng,
    pub(crate) timers: timer::Queue<Timer>,
    /// Time of the last input or tick.
    last_run: Instant,
    /// When the process last resumed after a pause.
    resumed_at: Option<Instant>,
    pub(crate) phase: Phase,
    /// When [`Node::drain`] was called.
    pub(crate) draining_since: Option<Instant>,
    pub(crate) reader: Reader,
    pub(crate) read_state: ReadState,
    /// Crash records that were read before the end of the log was reached.
    pub(crate) pending_crashes: Vec<Crash>,
    pub(crate) outbox: Outbox,
    /// [`State::planning_revision`] at the last update of the derived tables.
    pub(crate) synced_offset: Offset,
    /// Newest revisions that came into force while this process read the log, ascending.
    pub(crate) history: Vec<Revision>,
    /// Whether the history goes back to the first version.
    pub(crate) history_complete: bool,
    /// Version of the configuration that was last applied to admission.
    pub(crate) configured_version: Offset,
    pub(crate) peers: View,
    pub(crate) store: Store,
    pub(crate) gossip: Gossip,
    /// Units that this entry observes.
    pub(crate) assignment: Assignment,
    /// When the poll in flight was sent, by instance.
    pub(crate) polls_in_flight: Map<SmolStr, Instant>,
    pub(crate) polls: Map<SmolStr, Poll>,
    pub(crate) observations: Observations,
    /// When the newest instance list was made, in ms by the platform's clock.
    pub(crate) list_as_of: u64,
    /// Whether the last request for the instance list failed.
    pub(crate) list_failed: bool,
    /// When the outstanding request for the instance list was sent.
    pub(crate) list_requested_at: Option<Instant>,
    pub(crate) weight_load: Option<WeightStore>,
    pub(crate) planner: planner::Tracker,
    /// Causes for which the planner left groups incomplete, from its last pass that stated any.
    pub(crate) unresolved: Vec<planner::Cause>,
    pub(crate) orders: order::Tracker,
    pub(crate) targets: select::Table,
    pub(crate) credentials: Vec<Credential>,
    pub(crate) limiter: limit::Limiter,
    pub(crate) retries: retry::Table,
    pub(crate) ejections: eject::Table,
    pub(crate) quarantine: quarantine::Table,
    /// When a target last refused a connection or said that it does not serve. It is available
    /// again once a newer report says so.
    pub(crate) refused_at: Map<Id, Instant>,
    /// When a target last crashed.
    pub(crate) crashed_at: Map<Id, Instant>,
    pub(crate) calls: Arena<Call>,
    /// Number of calls admitted so far, which numbers the newest one.
    pub(crate) request_count: u64,
    pub(crate) bookings: Coordinator,
    /// Bookings that are relayed to their executors.
    pub(crate) relays: relay::Table,
    /// Commands since the last [`Node::take_commands`].
    pub(crate) commands: Vec<Command>,
    /// Events since the last [`Node::take_events`].
    pub(crate) events: Vec<Body>,
}

impl Node {
    /// Creates a node that starts at `now`. `seed` determines its random choices.
    pub fn new(options: Options, seed: u64, now: Instant) -> Self {
        let incarnation = options.incarnation;
        let own = Heartbeat {
            incarnation,
            counter: 0,
            entry: options.entry.to_string(),
            caller_address: options.callers.to_string(),
            peer_address: options.peers.to_string(),
            zone: options.zone.to_string(),
            phase: Phase::Starting,
            applied_offset: 0,
            uptime_ms: 0,
        };
        let region = SmolStr::new(region(&options.zone));
        let mut timers = timer::Queue::default();
        timers.schedule_periodic(now, options.control_interval, Timer::Control);
        timers.schedule_periodic(now, options.round_interval, Timer::Round);
        timers.schedule_periodic(now, options.platform_interval, Timer::Platform);
        timers.schedule_periodic(
            now + Duration::from_secs(1),
            Duration::from_secs(1),
            Timer::Demand,
        );
        timers.schedule(now, Timer::Read);
        let mut outbox = Outbox::new(incarnation);
        outbox.push(
            Purpose::Join,
            Record::Join {
                entry: options.entry.to_string(),
                incarnation,
                address: options.peers.to_string(),
                zone: options.zone.to_string(),
            },
        );
        Self {
            started_at: now,
            random: SmallRng::seed_from_u64(seed),
            timers,
            last_run: now,
            resumed_at: None,
            phase: Phase::Starting,
            draining_since: None,
            reader: Reader::new(options.state, incarnation),
            read_state: ReadState::default(),
            pending_crashes: Vec::new(),
            outbox,
            synced_offset: 0,
            history: Vec::new(),
            history_complete: true,
            configured_version: 0,
            peers: View::new(own, options.view, now),
            store: Store::new(options.store),
            gossip: Gossip::new(options.gossip.clone(), seed),
            assignment: Assignment::default(),
            polls_in_flight: Map::default(),
            polls: Map::default(),
            observations: Observations::default(),
            list_as_of: 0,
            list_failed: false,
            list_requested_at: None,
            weight_load: None,
            planner: planner::Tracker::default(),
            unresolved: Vec::new(),
            orders: order::Tracker::default(),
            targets: select::Table::new(options.select, options.zone.clone(), region),
            credentials: Vec::new(),
            limiter: limit::Limiter::new(options.limit, now),
            retries: retry::Table::new(options.retry),
            ejections: eject::Table::new(options.eject),
            quarantine: quarantine::Table::new(options.quarantine, incarnation),
            refused_at: Map::default(),
            crashed_at: Map::default(),
            calls: Arena::default(),
            request_count: 0,
            bookings: Coordinator::new(options.booking, incarnation, now),
            relays: relay::Table::default(),
            commands: Vec::new(),
            events: Vec::new(),
            options,
        }
    }

    /// The options that the node was created with.
    pub fn options(&self) -> &Options {
        &self.options
    }

    /// The replicated state.
    pub fn state(&self) -> &State {
        self.reader.state()
    }

    /// The phase of this entry: starting, serving or draining.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Handles an input.
    pub fn handle_input(&mut self, now: Instant, input: Input) {
        self.detect_pause(now);
        match input {
            Input::Read(read) => self.handle_read(now, read),
            Input::Append { sequence, result } => self.handle_append(now, sequence, result),
            Input::State(whole) => self.handle_state(now, whole),
            Input::InstanceList(list) => self.handle_list(now, list),
            Input::WeightLoad(load) => self.weight_load = load,
            Input::EngineReport { instance, report } => self.handle_engine(instance, report),
            Input::ServerReport { instance, report } => self.handle_server(instance, report),
            Input::OrderReply { instance, fence, reply } => {
                self.handle_reply(now, instance, fence, reply);
            }
            Input::Gossip { items } => self.handle_gossip(now, items),
            Input::View { items } => self.handle_view(now, items),
        }
        self.flush(now);
    }

    /// Runs everything that is due at `now`.
    pub fn tick(&mut self, now: Instant) {
        self.detect_pause(now);
        while let Some(topic) = self.timers.pop_due(now) {
            match topic {
                Timer::Control => self.control(now),
                Timer::Round => self.round(now),
                Timer::Platform => self.fetch_platform_state(now),
                Timer::Demand => self.measure_demand(now),
                Timer::Read => self.read(now),
            }
        }
        self.tick_bookings(now);
        self.flush(now);
    }

    /// The time at which [`Node::tick`] must be called next.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.timers
            .next_due()
            .into_iter()
            .chain(self.bookings.next_deadline())
            .chain(self.relays.next_deadline())
            .min()
    }

    /// Removes and returns the commands to carry out.
    pub fn take_commands(&mut self) -> Vec<Command> {
        std::mem::take(&mut self.commands)
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<Body> {
        std::mem::take(&mut self.events)
    }

    /// Starts to drain: the entry leaves the directory and finishes the requests in flight.
    pub fn drain(&mut self, now: Instant) {
        if self.draining_since.is_none() {
            self.draining_since = Some(now);
            self.set_phase(Phase::Draining, now);
        }
    }

    /// Whether this incarnation has ended according to the log: an operator declared it gone, or a
    /// newer incarnation joined at its address. Its orders and plans have no effect any more, so
    /// the process must be restarted.
    pub fn is_expelled(&self) -> bool {
        self.reader.state().is_dead(self.options.incarnation)
    }

    /// Whether a draining node may be stopped: the directory answers that contain it have expired,
    /// and no request is in flight.
    pub fn is_drained(&self, now: Instant) -> bool {
        self.is_directory_expired(now)
            && self.calls.is_empty()
            && self.bookings.ledger().open_count() == 0
            && self.relays.is_empty()
    }

    /// Whether the directory answers that contain this entry have expired since [`Node::drain`] was
    /// called.
    fn is_directory_expired(&self, now: Instant) -> bool {
        let ttl = Duration::from_millis(u64::from(mgw_member::directory::TTL_MS));
        self.draining_since.is_some_and(|since| now.since(since) >= ttl)
    }

    /// Whether new requests are refused. A draining entry refuses them once the TTL of the
    /// directory has passed, so that callers with an outdated directory do not delay the end of the
    /// drain.
    pub(crate) fn refuses_requests(&self, now: Instant) -> bool {
        self.phase == Phase::Starting || self.is_directory_expired(now)
    }

    /// Number of calls, bookings and relays in flight.
    pub fn in_flight(&self) -> usize {
        self.calls.len() + self.bookings.ledger().open_count() + self.relays.len()
    }

    /// Changes the phase, announces it to the peers and emits an event.
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

    /// Detects that this process was paused since the last input or tick.
    fn detect_pause(&mut self, now: Instant) {
        if now.since(self.last_run) >= MIN_PAUSE {
            self.resumed_at = Some(now);
        }
        self.last_run = now;
    }

    /// Whether a message that arrives now may have waited in a queue during a pause of this
    /// process. The ages in such gossip do not include the time that it waited.
    pub(crate) fn is_resuming(&self, now: Instant) -> bool {
        self.resumed_at.is_some_and(|at| now.since(at) < CATCH_UP_DURATION)
    }

    /// Runs the control loop: phase, derived tables, routing, planning and orders.
    fn control(&mut self, now: Instant) {
        if self.is_expelled() {
            self.drain(now);
        }
        self.update_phase(now);
        self.sync_state(now);
        self.update_observations(now);
        self.sync_targets(now);
        self.tick_routing(now);
        self.tick_planner(now);
        self.tick_orders(now);
    }

    /// Emits the command for the next append, if one is due.
    fn flush(&mut self, now: Instant) {
        if let Some(batch) = self.bookings.next_batch(now) {
            self.queue_claims(now, batch);
        }
        if let Some(batch) = self.outbox.next_batch(now) {
            self.reader.track_append(batch.sequence);
            self.commands
                .push(Command::Append { sequence: batch.sequence, records: batch.records });
        }
    }
}
