//! Discrete-event simulation of a deployment: entries, backend servers, the platform and callers.
//!
//! Every entry runs a real [`mgw_entry::node::Node`]. All other parties are simple fakes. The
//! [`checker`] sees the true state of all parties and checks the invariants against it.

pub mod call;
pub mod checker;
pub mod engine;
pub mod entry;
pub mod link;
pub mod log;
pub mod operator;
pub mod platform;
pub mod proxy;
pub mod server;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::fmt;
use std::sync::Arc;

use mgw_base::sorted::Map;
use mgw_event::{Body, Kind};
use mgw_sheet::sheet::Sheet;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::{SmolStr, format_smolstr};

use self::call::{Call, Client};
use self::checker::Checker;
use self::engine::Engine;
use self::entry::Entry;
use self::link::{Link, Party, Side};
use self::log::Log;
use self::operator::Publication;
use self::platform::{List, Store};
use self::server::Server;

/// Virtual time in microseconds since the start of the run.
pub type Micros = u64;

/// One second of virtual time.
pub const SECOND: Micros = 1_000_000;

/// One millisecond of virtual time.
pub const MILLISECOND: Micros = 1_000;

/// Upper bound on the trace lines kept in memory; the oldest are dropped first.
const MAX_TRACE_LINES: usize = 20_000;

/// Name and location of an entry in the deployment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntrySpec {
    /// Name in the instance list.
    pub name: SmolStr,
    /// Availability zone.
    pub zone: SmolStr,
}

/// Parameters of a simulation run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the random generator, which makes all random choices of the run.
    pub seed: u64,
    /// The entries of the deployment. All of them start at the beginning of the run.
    pub entries: Vec<EntrySpec>,
    /// Text of the sheet published at the start. It also declares all engines and booking
    /// servers of the run.
    pub sheet: String,
    /// Instances declared in the sheet that do not run at the start.
    pub absent: Vec<SmolStr>,
    /// Delays and losses of the simulated network.
    pub link: link::Options,
    /// Capacity and timing of the log service.
    pub log: log::Options,
    /// Capacity and timing of the model engines.
    pub engine: engine::Options,
    /// Timing of the booking servers.
    pub server: server::Options,
    /// Timing of the instance list and the weight store.
    pub platform: platform::Options,
    /// Caches, retries and timeouts of the callers.
    pub call: call::Options,
    /// Timeouts and node options of the entries.
    pub entry: entry::Options,
    /// Intervals and bounds of the invariant checker.
    pub checker: checker::Options,
}

impl Options {
    /// Returns options with defaults for everything but the seed, the entries and the sheet.
    pub fn new(seed: u64, entries: Vec<EntrySpec>, sheet: String) -> Self {
        Self {
            seed,
            entries,
            sheet,
            absent: Vec::new(),
            link: link::Options::default(),
            log: log::Options::default(),
            engine: engine::Options::default(),
            server: server::Options::default(),
            platform: platform::Options::default(),
            call: call::Options::default(),
            entry: entry::Options::default(),
            checker: checker::Options::default(),
        }
    }
}

/// One line of the trace of a run.
#[derive(Clone, Debug)]
pub struct Trace {
    /// Virtual time of the event.
    pub at: Micros,
    /// Who reported it: an entry's name, or `world`, `judge`, `caller` or `script`.
    pub source: SmolStr,
    /// The event or text.
    pub detail: Detail,
}

/// Content of a trace line.
#[derive(Clone, Debug)]
pub enum Detail {
    /// An event emitted by an entry's node.
    Event(Body),
    /// A script step, a state change of a fake, the outcome of a call or a violation.
    Text(String),
}

impl fmt::Display for Trace {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:>9.3}s {:<6} ", self.at as f64 / 1e6, self.source)?;
        match &self.detail {
            Detail::Text(text) => formatter.write_str(text),
            Detail::Event(body) => {
                write!(formatter, "{:?}", body.kind)?;
                for (name, value) in [
                    ("request", body.request.as_str()),
                    ("instance", body.instance.as_str()),
                    ("team", body.team.as_str()),
                    ("entry", body.entry.as_str()),
                ] {
                    if !value.is_empty() {
                        write!(formatter, " {name}={value}")?;
                    }
                }
                if let Some(group) = body.group {
                    write!(formatter, " group={group}")?;
                }
                if let Some(offset) = body.offset {
                    write!(formatter, " offset={offset}")?;
                }
                match body.text.is_empty() {
                    true => Ok(()),
                    false => write!(formatter, ": {}", body.text),
                }
            }
        }
    }
}

type Step = Box<dyn FnOnce(&mut World)>;

struct ScheduledStep {
    at: Micros,
    sequence: u64,
    step: Step,
}

impl PartialEq for ScheduledStep {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.sequence) == (other.at, other.sequence)
    }
}

impl Eq for ScheduledStep {}

impl PartialOrd for ScheduledStep {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledStep {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.sequence).cmp(&(other.at, other.sequence))
    }
}

/// A simulation run: the parties, the network between them and the queue of scheduled steps.
pub struct World {
    pub(crate) options: Options,
    pub(crate) now: Micros,
    pub(crate) random: SmallRng,
    queue: BinaryHeap<Reverse<ScheduledStep>>,
    sequence: u64,
    steps: u64,
    pub(crate) zones: Vec<SmolStr>,
    pub(crate) domains: Vec<SmolStr>,
    pub(crate) sheet: Arc<Sheet>,
    pub(crate) link: Link,
    pub(crate) entries: Vec<Entry>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) servers: Vec<Server>,
    pub(crate) addresses: Vec<(SmolStr, Party)>,
    pub(crate) log: Log,
    pub(crate) list: List,
    pub(crate) store: Store,
    pub(crate) clients: Vec<Client>,
    pub(crate) calls: Vec<Call>,
    pub(crate) open_calls: Vec<usize>,
    pub(crate) publications: Vec<Publication>,
    pub(crate) checker: Checker,
    pub(crate) trace: VecDeque<Trace>,
    /// Number of events of each kind, summed over all entries.
    event_counts: Map<Kind, u64>,
    pub(crate) breakpoints: Vec<(entry::Breakpoint, bool)>,
    pub(crate) last_stopped_entry: Option<usize>,
    pub(crate) last_generation: u64,
    pub(crate) last_id: u64,
}

impl World {
    /// Creates a run at time zero. The sheet is published through the first entry after one
    /// second.
    ///
    /// # Errors
    ///
    /// Returns the faults of the sheet if it does not parse.
    pub fn new(options: Options) -> Result<Self, Vec<mgw_sheet::Fault>> {
        let sheet = Arc::new(mgw_sheet::parse(&options.sheet)?);
        let mut zones: Vec<SmolStr> = options
            .entries
            .iter()
            .map(|it| it.zone.clone())
            .chain(sheet.instances.iter().map(|it| it.zone.clone()))
            .chain(sheet.servers.iter().map(|it| it.zone.clone()))
            .collect();
        zones.sort_unstable();
        zones.dedup();
        let mut domains: Vec<SmolStr> =
            sheet.instances.iter().map(|it| it.domain.clone()).collect();
        domains.sort_unstable();
        domains.dedup();
        let zone = |name: &SmolStr| zones.binary_search(name).unwrap_or_default();
        let domain = |name: &SmolStr| domains.binary_search(name).unwrap_or_default();
        let engines: Vec<Engine> = sheet
            .instances
            .iter()
            .map(|it| {
                let present = !options.absent.contains(&it.name);
                Engine::new(it, zone(&it.zone), domain(&it.domain), present)
            })
            .collect();
        let servers: Vec<Server> = sheet
            .servers
            .iter()
            .map(|it| {
                let present = !options.absent.contains(&it.name);
                Server::new(it, zone(&it.zone), present)
            })
            .collect();
        let entries: Vec<Entry> = options
            .entries
            .iter()
            .enumerate()
            .map(|(index, spec)| Entry::new(index, spec, zone(&spec.zone)))
            .collect();
        let mut addresses: Vec<(SmolStr, Party)> = Vec::new();
        for (index, engine) in engines.iter().enumerate() {
            addresses.push((engine.address.clone(), Party::Engine(index)));
        }
        for (index, server) in servers.iter().enumerate() {
            addresses.push((server.address.clone(), Party::Server(index)));
        }
        for (index, entry) in entries.iter().enumerate() {
            addresses.push((entry.peer_address.clone(), Party::Entry(index)));
            addresses.push((entry.caller_address.clone(), Party::Entry(index)));
        }
        addresses.sort_unstable();
        let clients = (0..zones.len() * options.call.clients)
            .map(|index| Client::new(index % zones.len()))
            .collect();
        let mut world = Self {
            now: 0,
            random: SmallRng::seed_from_u64(options.seed),
            queue: BinaryHeap::new(),
            sequence: 0,
            steps: 0,
            link: Link::default(),
            log: Log::new(options.log),
            list: List::new(options.platform),
            store: Store::new(sheet.settings.weight_loads),
            checker: Checker::new(options.checker),
            zones,
            domains,
            entries,
            engines,
            servers,
            addresses,
            clients,
            calls: Vec::new(),
            open_calls: Vec::new(),
            publications: Vec::new(),
            trace: VecDeque::new(),
            event_counts: Map::default(),
            breakpoints: Vec::new(),
            last_stopped_entry: None,
            last_generation: 0,
            last_id: 0,
            sheet,
            options,
        };
        world.start();
        Ok(world)
    }

    fn start(&mut self) {
        self.update_list();
        self.list.apply_changes(0);
        for entry in 0..self.entries.len() {
            let jitter = self.random.random_range(0..200 * MILLISECOND);
            self.schedule_after(jitter, move |world| world.start_entry(entry));
        }
        let text = self.options.sheet.clone();
        self.schedule_after(SECOND, move |world| {
            world.publish("initial", 0, operator::Base::Current, text);
        });
        self.schedule_after(self.options.checker.interval, World::check_tick);
    }

    /// Returns the current virtual time.
    pub fn now(&self) -> Micros {
        self.now
    }

    /// Returns the number of steps executed so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns the sheet published at the start.
    pub fn sheet(&self) -> &Sheet {
        &self.sheet
    }

    /// Schedules `step` to run after `delay`.
    pub fn schedule_after<F>(&mut self, delay: Micros, step: F)
    where
        F: FnOnce(&mut World) + 'static,
    {
        self.schedule_at(self.now + delay, step);
    }

    /// Schedules `step` to run at `at`, or at the current time if `at` has passed.
    pub fn schedule_at<F>(&mut self, at: Micros, step: F)
    where
        F: FnOnce(&mut World) + 'static,
    {
        self.sequence += 1;
        let due =
            ScheduledStep { at: at.max(self.now), sequence: self.sequence, step: Box::new(step) };
        self.queue.push(Reverse(due));
    }

    /// Executes the next scheduled step if it is due by `until`. Otherwise advances the clock to
    /// `until` and returns false.
    pub fn step(&mut self, until: Micros) -> bool {
        match self.queue.peek() {
            Some(Reverse(due)) if due.at <= until => {}
            _ => {
                self.now = self.now.max(until);
                return false;
            }
        }
        if let Some(Reverse(due)) = self.queue.pop() {
            self.now = due.at;
            self.steps += 1;
            (due.step)(self);
        }
        true
    }

    /// Executes all steps due by `until`.
    pub fn run_until(&mut self, until: Micros) {
        while self.step(until) {}
    }

    /// Returns the retained trace lines, oldest first.
    pub fn trace(&self) -> impl Iterator<Item = &Trace> {
        self.trace.iter()
    }

    /// Returns the number of events of the kind `name`, summed over all entries.
    pub fn event_count(&self, name: &str) -> u64 {
        let found = self.event_counts.iter().find(|(kind, _)| kind.name() == name);
        found.map_or(0, |(_, count)| *count)
    }

    pub(crate) fn trace_text<T>(&mut self, source: &str, text: T)
    where
        T: Into<String>,
    {
        self.push_trace(SmolStr::new(source), Detail::Text(text.into()));
    }

    pub(crate) fn push_trace(&mut self, source: SmolStr, detail: Detail) {
        if let Detail::Event(body) = &detail {
            *self.event_counts.get_or_insert_with(body.kind, || 0) += 1;
        }
        if self.trace.len() >= MAX_TRACE_LINES {
            self.trace.pop_front();
        }
        self.trace.push_back(Trace { at: self.now, source, detail });
    }

    /// Resolves a name of the scenario script: an engine, a booking server, an entry, `log`, `list`
    /// or `weights`.
    pub fn find_party(&self, name: &str) -> Option<Party> {
        match name {
            "log" => return Some(Party::Log),
            "list" => return Some(Party::List),
            "weights" => return Some(Party::Store),
            _ => {}
        }
        let engine = self.engines.iter().position(|it| it.name == name).map(Party::Engine);
        let server = || self.servers.iter().position(|it| it.name == name).map(Party::Server);
        let entry = || self.entries.iter().position(|it| it.name == name).map(Party::Entry);
        engine.or_else(server).or_else(entry)
    }

    /// Finds a zone by name.
    pub fn find_zone(&self, name: &str) -> Option<Side> {
        self.zones.iter().position(|it| it == name).map(Side::Zone)
    }

    /// Finds a fabric domain by name.
    pub fn find_domain(&self, name: &str) -> Option<Side> {
        self.domains.iter().position(|it| it == name).map(Side::Domain)
    }

    pub(crate) fn resolve_address(&self, address: &str) -> Option<Party> {
        let index = self.addresses.binary_search_by(|(it, _)| it.as_str().cmp(address)).ok()?;
        Some(self.addresses[index].1)
    }

    /// Returns the zone of a party, or `None` for the platform services, which have no zone.
    pub(crate) fn zone_of(&self, party: Party) -> Option<usize> {
        match party {
            Party::Entry(index) => Some(self.entries[index].zone),
            Party::Engine(index) => Some(self.engines[index].zone),
            Party::Server(index) => Some(self.servers[index].zone),
            Party::Caller(zone) => Some(zone),
            Party::Log | Party::List | Party::Store => None,
        }
    }

    fn side_includes(&self, side: Side, party: Party) -> bool {
        match side {
            Side::One(one) => one == party,
            Side::Zone(zone) => self.zone_of(party) == Some(zone),
            Side::Domain(domain) => match party {
                Party::Engine(index) => self.engines[index].domain == domain,
                _ => false,
            },
        }
    }

    /// Returns whether a partition or an isolated side drops messages between two parties.
    pub fn is_cut(&self, left: Party, right: Party) -> bool {
        if self.link.is_intact() {
            return false;
        }
        let partitioned = self.link.partitions.iter().any(|(one, other)| {
            (self.side_includes(*one, left) && self.side_includes(*other, right))
                || (self.side_includes(*one, right) && self.side_includes(*other, left))
        });
        let isolated = self
            .link
            .isolated
            .iter()
            .any(|side| self.side_includes(*side, left) != self.side_includes(*side, right));
        partitioned || isolated
    }

    /// Returns whether a party belongs to an isolated side.
    pub(crate) fn is_isolated(&self, party: Party) -> bool {
        self.link.isolated.iter().any(|side| self.side_includes(*side, party))
    }

    /// Draws the delay of a message; `None` if a partition drops it. A random transport loss only
    /// adds the retransmission delay.
    pub(crate) fn message_delay(&mut self, from: Party, to: Party) -> Option<Micros> {
        if self.is_cut(from, to) {
            return None;
        }
        let (left, right) = (self.zone_of(from), self.zone_of(to));
        let base = match (left, right) {
            (Some(left), Some(right)) if left == right => self.options.link.same_zone_delay,
            (Some(left), Some(right)) => {
                let names = (&self.zones[left], &self.zones[right]);
                self.options.link.zone_pair_delay(names.0, names.1)
            }
            _ => self.options.link.platform_delay,
        };
        let jitter = self.options.link.max_jitter;
        let jitter = if jitter > 0 { self.random.random_range(0..=jitter) } else { 0 };
        let lost = self.options.link.loss_probability > 0.0
            && self.random.random_bool(self.options.link.loss_probability);
        Some(base + jitter + if lost { self.options.link.resend_delay } else { 0 })
    }

    /// Drops all messages between two sides until [`World::heal`].
    pub fn partition(&mut self, left: Side, right: Side) {
        self.trace_text("world", format!("partition between {left:?} and {right:?}"));
        self.link.partitions.push((left, right));
    }

    /// Drops all messages that enter or leave a side until [`World::heal`].
    pub fn isolate(&mut self, side: Side) {
        self.trace_text("world", format!("isolate {side:?}"));
        self.link.isolated.push(side);
        self.refresh_absence();
    }

    /// Removes the partition between two sides, every partition and isolation of one side, or all
    /// of them if no side is given.
    pub fn heal(&mut self, left: Option<Side>, right: Option<Side>) {
        self.trace_text("world", format!("heal partitions: {left:?} {right:?}"));
        match (left, right) {
            (Some(left), Some(right)) => {
                self.link.partitions.retain(|pair| *pair != (left, right) && *pair != (right, left))
            }
            (Some(side), None) | (None, Some(side)) => {
                self.link.isolated.retain(|it| *it != side);
                self.link.partitions.retain(|(one, other)| *one != side && *other != side);
            }
            (None, None) => {
                self.link.isolated.clear();
                self.link.partitions.clear();
            }
        }
        self.refresh_absence();
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    pub(crate) fn new_boot_id(&mut self) -> SmolStr {
        format_smolstr!("b{}", self.next_id())
    }
}
