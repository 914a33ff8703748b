//! A simulated fleet of model engines with one planner, which is also the executor, in virtual
//! time.
#![allow(dead_code)]

#[path = "../../../mgw-state/tests/common/mod.rs"]
pub mod log;

use std::time::Duration;

use log::{Log, check};
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_group::view::{Listing, Observation, PollFailure, Report, View};
use mgw_group::{order, planner, readiness};
use mgw_report::report::{Action, Phase, WeightStore};
use mgw_state::record::{Mark, Record, Target};
use mgw_state::state::State;
use smol_str::SmolStr;

/// Incarnation of the entry that plans and executes orders in the tests.
pub const PLANNER: u64 = 1;

/// A simulated model engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Number of the boot; 1 at first, and one more after each restart.
    pub boot: u32,
    pub fence: u64,
    pub group: u64,
    pub model: (SmolStr, SmolStr),
    pub phase: Phase,
    pub running: u32,
    pub listed: Listing,
    /// Since when the engine has not answered; `None` if it answers.
    pub silent_since: Option<Instant>,
    /// When the current load ends.
    pub loaded_at: Instant,
}

/// The fleet, the log and the state of its only planner.
pub struct Fleet {
    pub log: Log,
    pub engines: Map<SmolStr, Engine>,
    pub view: View,
    pub now: Instant,
    pub tracker: planner::Tracker,
    pub order_tracker: order::Tracker,
    /// Time that an engine needs to load weights.
    pub load_time: Duration,
    /// Whether reports of engines reach the planner.
    pub reports_enabled: bool,
    /// Whether due orders are sent.
    pub orders_enabled: bool,
    pub weight: Option<WeightStore>,
    /// Largest number of engines that loaded at the same time.
    pub max_loading: usize,
    /// Instance and action of the orders that engines accepted.
    pub sent: Vec<(SmolStr, Action)>,
}

impl Fleet {
    /// A fleet of idle engines for the instances of a sheet.
    pub fn new(sheet: &str) -> Self {
        let mut log = Log::new();
        log.publish(sheet);
        log.join(PLANNER, "one");
        log.join(2, "two");
        log.lead(PLANNER);
        let now = Instant::from_millis(1_000_000);
        let engine = idle_engine(now);
        let sheet = log.state.sheet().expect("published");
        let engines = sheet.instances.iter().map(|it| (it.name.clone(), engine.clone())).collect();
        let view = View { live_entries: vec![PLANNER, 2], listed_at: Some(now), ..View::default() };
        Self {
            log,
            engines,
            view,
            now,
            tracker: planner::Tracker::default(),
            order_tracker: order::Tracker::default(),
            load_time: Duration::from_secs(20),
            reports_enabled: true,
            orders_enabled: true,
            weight: Some(WeightStore { limit: 64, active: 0, queued: 0 }),
            max_loading: 0,
            sent: Vec::new(),
        }
    }

    pub fn state(&self) -> &State {
        &self.log.state
    }

    pub fn engine(&mut self, name: &str) -> &mut Engine {
        self.engines.get_mut(&name.into()).expect("known")
    }

    /// Pauses an instance: it does not answer, but keeps its state.
    pub fn pause(&mut self, name: &str) {
        self.engine(name).silent_since = Some(self.now);
    }

    /// Resumes an instance under the same boot with the model that it had loaded.
    pub fn resume(&mut self, name: &str) {
        self.engine(name).silent_since = None;
    }

    /// Restarts an instance: it has a new boot and no model loaded.
    pub fn restart(&mut self, name: &str) {
        let now = self.now;
        let engine = self.engine(name);
        *engine = Engine { boot: engine.boot + 1, ..idle_engine(now) };
    }

    pub fn mark(&mut self, name: &str, mark: Mark) {
        self.log.accept(2, Record::Mark { target: Target::Instance(name.into()), mark });
    }

    /// Brings the view up to date with the engines.
    fn update_view(&mut self) {
        let now = self.now;
        let mut loading = 0;
        for (name, engine) in self.engines.iter_mut() {
            if engine.phase == Phase::Loading
                && engine.loaded_at <= now
                && engine.silent_since.is_none()
            {
                engine.phase = Phase::Ready;
            }
            loading += usize::from(engine.phase == Phase::Loading);
            let observation =
                self.view.instances.get_or_insert_with(name.clone(), Observation::default);
            observation.listed = engine.listed;
            observation.poll_failures.clear();
            match engine.silent_since {
                Some(since) => {
                    observation.poll_failures =
                        [PLANNER, 2].map(|observer| PollFailure { observer, since }).to_vec();
                }
                None if self.reports_enabled => {
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
        self.max_loading = self.max_loading.max(loading);
        self.view.listed_at = Some(now);
    }

    /// Advances time by 500 ms and runs one pass of the planner and of the executor. Returns the
    /// records that the planner appended; each of them must take effect.
    pub fn step(&mut self) -> Vec<Record> {
        self.now = self.now + Duration::from_millis(500);
        self.log.at_ms += 500;
        self.update_view();
        let options = planner::Options::default();
        let plan = planner::plan(
            &self.log.state,
            &self.view,
            self.now,
            PLANNER,
            &mut self.tracker,
            &options,
        )
        .expect("the planner holds the term");
        for record in &plan.records {
            self.log.accept(PLANNER, record.clone());
            check(&self.log.state);
        }
        self.send_orders();
        plan.records
    }

    /// Sends the due orders. An engine that answers accepts an order for its boot.
    fn send_orders(&mut self) {
        if !self.orders_enabled {
            return;
        }
        let (now, options) = (self.now, order::Options::default());
        let schedule = order::schedule(
            &self.log.state,
            &self.view,
            now,
            PLANNER,
            self.weight,
            &mut self.order_tracker,
            &options,
        );
        for dispatch in schedule.orders {
            let engine = self.engines.get_mut(&dispatch.instance).expect("known");
            let accepted =
                engine.silent_since.is_none() && format!("b{}", engine.boot) == dispatch.order.boot;
            let reply = match accepted {
                true => order::Reply::Accepted,
                false => order::Reply::Unsent,
            };
            if accepted {
                self.sent.push((dispatch.instance.clone(), dispatch.order.order));
                apply_order(engine, &dispatch.order, now, self.load_time);
            }
            self.order_tracker.record_reply(&dispatch.instance, dispatch.order.fence, reply, now);
        }
        for record in schedule.records {
            self.log.accept(PLANNER, record);
        }
    }

    /// Runs steps for `seconds`; returns the records that the planner appended.
    pub fn run(&mut self, seconds: u64) -> Vec<Record> {
        (0..2 * seconds).flat_map(|_| self.step()).collect()
    }

    pub fn is_servable(&self, group: u64) -> bool {
        let options = readiness::Options::default();
        readiness::check_members(self.state(), &self.view, group, self.now, &options).is_servable()
    }

    /// Ids and members of the groups of a model, in the order of the ids.
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

    /// Number of servable groups of a model.
    pub fn servable(&self, model: &str) -> usize {
        self.groups(model).iter().filter(|(id, _)| self.is_servable(*id)).count()
    }
}

fn idle_engine(now: Instant) -> Engine {
    Engine {
        boot: 1,
        fence: 0,
        group: 0,
        model: Default::default(),
        phase: Phase::Idle,
        running: 0,
        listed: Listing::Live,
        silent_since: None,
        loaded_at: now,
    }
}

/// Makes the engine execute an accepted order.
fn apply_order(
    engine: &mut Engine,
    order: &mgw_report::report::Order,
    now: Instant,
    load_time: Duration,
) {
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
            engine.loaded_at = now + load_time;
            engine.model = model;
        }
    }
}

/// Sheet lines that declare `count` instances `PREFIX0`, `PREFIX1`, ... in the domain `PREFIX`.
pub fn domain(prefix: &str, count: usize, zone: &str, fencing: bool) -> String {
    let fencing = if fencing { "yes" } else { "no" };
    (0..count).map(|it| format!("i {prefix}{it} {zone} {prefix} k {fencing}\n")).collect()
}
