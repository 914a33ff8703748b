//! A fleet of engines under one planner that is also the executor, in virtual time.
#![allow(dead_code)]

#[path = "../../../mgw-state/tests/common/mod.rs"]
pub mod log;

use std::time::Duration;

use log::{Log, check};
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_group::view::{Listing, Observation, PollFailure, Report, View};
use mgw_group::{order, planner, readiness};
use mgw_report::report::{Action, Phase, Weight};
use mgw_state::record::{Mark, Record, Target};
use mgw_state::state::State;
use smol_str::SmolStr;

/// The planner and executor of the tests.
pub const ME: u64 = 1;

/// A model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    pub boot: u32,
    pub fence: u64,
    pub group: u64,
    pub model: (SmolStr, SmolStr),
    pub phase: Phase,
    pub running: u32,
    pub listed: Listing,
    /// Since when the engine does not answer.
    pub silent: Option<Instant>,
    /// When the current load ends.
    pub loaded: Instant,
}

/// The fleet.
pub struct Fleet {
    pub log: Log,
    pub engines: Map<SmolStr, Engine>,
    pub view: View,
    pub now: Instant,
    pub memory: planner::Tracker,
    pub orders: order::Tracker,
    /// Time that an engine loads weights.
    pub load: Duration,
    /// Whether reports reach the planner.
    pub reporting: bool,
    /// Whether orders are sent.
    pub ordering: bool,
    pub weight: Option<Weight>,
    /// Most engines that loaded at once.
    pub loading: usize,
    /// Orders that took effect: instance and action.
    pub sent: Vec<(SmolStr, Action)>,
}

impl Fleet {
    /// A fleet of idle engines for a sheet.
    pub fn new(sheet: &str) -> Self {
        let mut log = Log::new();
        log.publish(sheet);
        log.join(ME, "one");
        log.join(2, "two");
        log.lead(ME);
        let now = Instant::from_millis(1_000_000);
        let engine = idle(now);
        let sheet = log.state.sheet().expect("published");
        let engines = sheet.instances.iter().map(|it| (it.name.clone(), engine.clone())).collect();
        let view = View { live_entries: vec![ME, 2], listed_at: Some(now), ..View::default() };
        Self {
            log,
            engines,
            view,
            now,
            memory: planner::Tracker::default(),
            orders: order::Tracker::default(),
            load: Duration::from_secs(20),
            reporting: true,
            ordering: true,
            weight: Some(Weight { limit: 64, active: 0, queued: 0 }),
            loading: 0,
            sent: Vec::new(),
        }
    }

    pub fn state(&self) -> &State {
        &self.log.state
    }

    pub fn engine(&mut self, name: &str) -> &mut Engine {
        self.engines.get_mut(&name.into()).expect("known")
    }

    /// Silences an instance.
    pub fn stop(&mut self, name: &str) {
        self.engine(name).silent = Some(self.now);
    }

    /// Brings an instance back under its boot with what it had loaded.
    pub fn resume(&mut self, name: &str) {
        self.engine(name).silent = None;
    }

    /// Brings an instance back under a new boot with nothing loaded.
    pub fn restart(&mut self, name: &str) {
        let now = self.now;
        let engine = self.engine(name);
        *engine = Engine { boot: engine.boot + 1, ..idle(now) };
    }

    pub fn mark(&mut self, name: &str, mark: Mark) {
        self.log.accept(2, Record::Mark { target: Target::Instance(name.into()), mark });
    }

    fn observe(&mut self) {
        let now = self.now;
        let mut loading = 0;
        for (name, engine) in self.engines.iter_mut() {
            if engine.phase == Phase::Loading && engine.loaded <= now && engine.silent.is_none() {
                engine.phase = Phase::Ready;
            }
            loading += usize::from(engine.phase == Phase::Loading);
            let observation = self.view.instances.entry(name.clone(), Observation::default);
            observation.listed = engine.listed;
            observation.poll_failures.clear();
            match engine.silent {
                Some(since) => {
                    observation.poll_failures =
                        [ME, 2].map(|observer| PollFailure { observer, since }).to_vec();
                }
                None if self.reporting => {
                    observation.report = Some(Report {
                        boot: format!("b{}", engine.boot).into(),
                        fence: engine.fence,
                        group: engine.group,
                        model: Some(engine.model.clone()),
                        phase: engine.phase,
                        running: engine.running,
                        queued: 0,
                        slots: 8,
                        at: now,
                    });
                }
                None => {}
            }
        }
        self.loading = self.loading.max(loading);
        self.view.listed_at = Some(now);
    }

    /// Lets 500 ms pass; returns what the planner appended. Each record must take effect.
    pub fn step(&mut self) -> Vec<Record> {
        self.now = self.now + Duration::from_millis(500);
        self.log.at_ms += 500;
        self.observe();
        let options = planner::Options::default();
        let planned =
            planner::plan(&self.log.state, &self.view, self.now, ME, &mut self.memory, &options)
                .expect("the planner holds the term");
        for record in &planned.records {
            self.log.accept(ME, record.clone());
            check(&self.log.state);
        }
        self.order();
        planned.records
    }

    fn order(&mut self) {
        if !self.ordering {
            return;
        }
        let (now, options) = (self.now, order::Options::default());
        let due = order::schedule(
            &self.log.state,
            &self.view,
            now,
            ME,
            self.weight,
            &mut self.orders,
            &options,
        );
        for due in due.orders {
            let engine = self.engines.get_mut(&due.instance).expect("known");
            let confirmed =
                engine.silent.is_none() && format!("b{}", engine.boot) == due.order.boot;
            let reply = match confirmed {
                true => order::Reply::Accepted,
                false => order::Reply::Unsent,
            };
            if confirmed {
                self.sent.push((due.instance.clone(), due.order.order));
                take(engine, &due.order, now, self.load);
            }
            self.orders.record_reply(&due.instance, due.order.fence, reply, now);
        }
        for record in due.records {
            self.log.accept(ME, record);
        }
    }

    /// Lets time pass; returns what the planner appended.
    pub fn run(&mut self, seconds: u64) -> Vec<Record> {
        (0..2 * seconds).flat_map(|_| self.step()).collect()
    }

    pub fn is_servable(&self, group: u64) -> bool {
        let options = readiness::Options::default();
        readiness::check_members(self.state(), &self.view, group, self.now, &options).is_servable()
    }

    /// Members of the groups of a model, by group.
    pub fn groups(&self, model: &str) -> Vec<(u64, Vec<SmolStr>)> {
        let members = |group: &mgw_state::state::Group| {
            group.members.iter().map(|seat| seat.instance.clone()).collect()
        };
        self.state()
            .groups()
            .filter(|(_, group)| group.model == model)
            .map(|(id, group)| (id, members(group)))
            .collect()
    }

    pub fn servable(&self, model: &str) -> usize {
        self.groups(model).iter().filter(|(id, _)| self.is_servable(*id)).count()
    }
}

fn idle(now: Instant) -> Engine {
    Engine {
        boot: 1,
        fence: 0,
        group: 0,
        model: Default::default(),
        phase: Phase::Idle,
        running: 0,
        listed: Listing::Live,
        silent: None,
        loaded: now,
    }
}

fn take(engine: &mut Engine, order: &mgw_report::report::Order, now: Instant, load: Duration) {
    engine.fence = order.fence;
    engine.group = order.group;
    let model = (order.model.clone(), order.version.clone());
    match order.order {
        Action::Unload => {
            engine.group = 0;
            engine.phase = Phase::Idle;
            engine.model = Default::default();
        }
        Action::Load if engine.model == model && engine.phase == Phase::Ready => {}
        Action::Load => {
            engine.phase = Phase::Loading;
            engine.loaded = now + load;
            engine.model = model;
        }
    }
}

/// Sheet lines of instances `PREFIX0..` in a domain.
pub fn domain(prefix: &str, count: usize, zone: &str, fencing: bool) -> String {
    let fencing = if fencing { "yes" } else { "no" };
    (0..count).map(|it| format!("i {prefix}{it} {zone} {prefix} k {fencing}\n")).collect()
}
