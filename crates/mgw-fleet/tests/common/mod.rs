//! Builders for the tests of the decisions.
#![allow(dead_code)]

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_fleet::config::{Config, Engine, Kind, Limits, Model, Parts, Route, Service, Team};
use mgw_fleet::plan::{Action, Command, Demand, Order, Planner, ProbeResult, View};
use mgw_fleet::roster::{self, Membership, Phase, Record, Roster, Stage};
use smol_str::{SmolStr, format_smolstr};

pub const LARGE: &str = "large";
pub const SMALL: &str = "small";

pub fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

pub fn route(host: &str, prefix: &str) -> Route {
    Route {
        name: "route".into(),
        host: host.into(),
        prefix: prefix.into(),
        kind: Kind::Resumable,
        timeout: Duration::from_secs(8),
        objective: Duration::from_millis(400),
        gap: None,
        attempts: 2,
        priority: 1,
        anonymous: false,
        services: vec![("engines".into(), 1)],
    }
}

/// A service with a model of 4 instances and one of 2.
pub fn engine() -> Engine {
    let model = |name: &str, size, pace| Model {
        name: name.into(),
        size,
        share: 0.5,
        pace,
        load: Duration::from_secs(16),
        warm: Duration::from_millis(1_600),
    };
    Engine {
        slots: 17,
        models: vec![model(LARGE, 4, 1.0), model(SMALL, 2, 0.6)],
        loads_per_s: 5.0,
        loads_at_once: 7,
        form: Duration::from_millis(300),
        step: Duration::from_millis(8),
        step_per_request: Duration::from_micros(95),
        read_per_s: 45_900.0,
        answer_tokens: 154.0,
    }
}

pub fn config() -> Config {
    let services = [("engines".into(), Service { connections: 278, engine: Some(engine()) })];
    let team = Team { name: "team".into(), priority: None };
    Config::new(Parts {
        version: 1,
        routes: vec![route("host.example", "/a/"), route("host.example", "/a/b/")],
        services: services.into_iter().collect(),
        limits: Limits::default(),
        teams: Some(vec![(team, vec!["key".into()])]),
    })
}

pub fn record(domain: usize) -> Record {
    Record {
        service: "engines".into(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "a".into(),
        phase: Phase::Ready,
        slots: 17,
        started_ms: 1,
        engine: Some(roster::Engine {
            model: None,
            last_model: None,
            domain: format_smolstr!("d{domain}"),
            staged: vec![LARGE.into(), SMALL.into()],
            membership: None,
        }),
    }
}

/// Instances that carry out orders at once, and their entries.
pub struct World {
    pub roster: Roster,
    pub config: Config,
    pub demand: Demand,
    pub records: Map<SmolStr, Record>,
    /// Instances that neither write entries nor answer.
    pub silent: Vec<SmolStr>,
    /// Instances that neither write entries nor listen any more.
    pub refusing: Vec<SmolStr>,
    pub now: Instant,
    /// Whether orders to open are neither carried out nor answered.
    pub loses_opens: bool,
    /// Whether orders to leave are neither carried out nor answered.
    pub loses_leaves: bool,
    /// Whether heads answer orders to open without an effect yet.
    pub ignores_opens: bool,
    /// All orders that were given.
    pub orders: Vec<Command>,
}

impl World {
    /// Domains of `each` instances named `dX-nY`.
    pub fn new(domains: usize, each: usize) -> Self {
        let mut world = Self {
            roster: Roster::default(),
            config: config(),
            demand: Demand::default(),
            records: Map::default(),
            silent: Vec::new(),
            refusing: Vec::new(),
            now: at(10_000),
            loses_opens: false,
            ignores_opens: false,
            loses_leaves: false,
            orders: Vec::new(),
        };
        for domain in 0..domains {
            for node in 0..each {
                world.records.insert(format_smolstr!("d{domain}-n{node}"), record(domain));
            }
        }
        world.publish();
        world
    }

    /// Writes the entries of all instances that live.
    pub fn publish(&mut self) {
        self.roster.record_read(self.now);
        for (id, record) in self.records.iter() {
            if !self.silent.contains(id) && !self.refusing.contains(id) {
                self.roster.upsert(id, record.clone(), self.now);
            }
        }
    }

    /// Runs the planner for `ms` in steps of 150 ms and carries its orders out.
    pub fn run(&mut self, planner: &mut Planner, ms: u64) {
        for _ in 0..ms.div_ceil(150) {
            self.now = self.now + Duration::from_millis(150);
            self.publish();
            let view = View {
                roster: &self.roster,
                config: &self.config,
                demand: &self.demand,
                until_traffic: None,
                now: self.now,
            };
            for action in planner.tick(&view) {
                match action {
                    Action::Order(command) => {
                        let is_leave = matches!(command.order, Order::Leave { .. });
                        let is_open = matches!(command.order, Order::Open { .. });
                        if is_open && self.ignores_opens {
                            self.roster.clear_order_count(&command.instance);
                            self.orders.push(command);
                        } else if is_open && self.loses_opens || is_leave && self.loses_leaves {
                            self.orders.push(command);
                        } else {
                            self.roster.clear_order_count(&command.instance);
                            self.carry_out(command);
                        }
                    }
                    Action::Probe(id) => {
                        let is_silent = self.silent.contains(&id);
                        let probe = match self.refusing.contains(&id) {
                            true => ProbeResult::Refused,
                            false if is_silent => ProbeResult::Silent,
                            false => ProbeResult::Alive,
                        };
                        planner.record_probe(&id, probe, self.now);
                        if !is_silent && let Some(record) = self.records.get(&id) {
                            let engine = record.engine.clone().expect("an engine");
                            self.roster.apply_report(&id, record.started_ms, engine, 0, self.now);
                        }
                    }
                }
            }
        }
    }

    fn carry_out(&mut self, command: Command) {
        self.orders.push(command.clone());
        let is_deaf = self.refusing.contains(&command.instance);
        if is_deaf || self.silent.contains(&command.instance) {
            return;
        }
        let record = self.records.get_mut(&command.instance).expect("a known instance");
        let engine = record.engine.as_mut().expect("an engine");
        let membership = engine.membership.as_mut();
        match command.order {
            Order::Join { group, epoch, model, members } => {
                let rank = members.iter().position(|it| *it == command.instance);
                let rank = rank.expect("a member");
                engine.model = Some(model);
                engine.membership = Some(Membership { group, epoch, rank, stage: Stage::Ready });
            }
            Order::Open { epoch, .. } => {
                let membership = membership
                    .filter(|membership| membership.epoch == epoch)
                    .expect("a membership");
                membership.stage = Stage::Open;
            }
            Order::Close { epoch, .. } => {
                if let Some(membership) = membership.filter(|membership| membership.epoch == epoch)
                {
                    membership.stage = Stage::Ready;
                }
            }
            Order::Leave { epoch, .. } => {
                if membership.is_some_and(|membership| membership.epoch == epoch) {
                    engine.membership = None;
                }
            }
            Order::Stage { model } => engine.staged.push(model),
        }
    }

    /// Names of the open groups of a model.
    pub fn open(&self, model: &str) -> Vec<SmolStr> {
        let heads = self.records.iter().filter(|(id, _)| !self.silent.contains(id));
        heads
            .filter_map(|(_, record)| {
                let engine = record.engine.as_ref()?;
                let membership = engine.membership.as_ref()?;
                let is_open = membership.rank == 0 && membership.stage == Stage::Open;
                (is_open && engine.model.as_deref() == Some(model))
                    .then(|| membership.group.clone())
            })
            .collect()
    }

    /// The id of the head of the first open group of a model, and of another member.
    pub fn members(&self, group: &str) -> Vec<SmolStr> {
        let mut members: Vec<(usize, SmolStr)> = self
            .records
            .iter()
            .filter_map(|(id, record)| {
                let membership =
                    record.membership().filter(|membership| membership.group == group)?;
                Some((membership.rank, id.clone()))
            })
            .collect();
        members.sort();
        members.into_iter().map(|(_, id)| id).collect()
    }
}
