//! The deployment that a script declares.

use std::fmt::Write;

use smol_str::{SmolStr, format_smolstr};

use crate::world::{Micros, Options, SECOND, Seat};

/// A fabric domain with its model servers, named `DOMAIN-1` and so on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Domain {
    /// Its name.
    pub name: SmolStr,
    /// Its zone.
    pub zone: SmolStr,
    /// The number of model servers.
    pub size: u32,
    /// Whether their engines refuse stale fencing tokens.
    pub fencing: bool,
}

/// A model.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Its name.
    pub name: SmolStr,
    /// Its version.
    pub version: SmolStr,
    /// Model servers per replica.
    pub instances: u32,
    /// Replicas wanted.
    pub replicas: u32,
    /// 0 (first) to 3 (last).
    pub priority: u8,
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: SmolStr,
    /// Requests per second.
    pub rate: u32,
    /// Tokens per second.
    pub tokens: u32,
    /// Requests in flight.
    pub concurrency: u32,
}

/// A plain service with its servers, named `SERVICE-1` and so on, one zone after the other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: SmolStr,
    /// The number of servers.
    pub servers: u32,
}

/// A change of the sheet against the declared one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Replicas of a model.
    Replicas(SmolStr, u32),
    /// Version of a model.
    Version(SmolStr, SmolStr),
    /// Rate of a team.
    Rate(SmolStr, u32),
    /// A text that is no sheet.
    Malformed,
}

/// A deployment.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Seed of the run.
    pub seed: u64,
    /// Entries `e1`, `e2` and so on with their zones.
    pub entries: Vec<SmolStr>,
    /// Fabric domains.
    pub domains: Vec<Domain>,
    /// Models.
    pub models: Vec<Model>,
    /// Teams.
    pub teams: Vec<Team>,
    /// Plain services.
    pub services: Vec<Service>,
    /// Delays between zones.
    pub delays: Vec<(SmolStr, SmolStr, Micros)>,
    /// Settings by name.
    pub settings: Vec<(SmolStr, f64)>,
    /// Instances that are not there at the start.
    pub absent: Vec<SmolStr>,
}

/// The settings: name, unit and meaning are those of the options that [`Deployment::options`]
/// sets. Times are in seconds.
pub const SETTINGS: [&str; 22] = [
    "downtime_weight",
    "weight_loads",
    "load",
    "list_lag",
    "engine_lag",
    "engine_slots",
    "engine_token",
    "engine_restart",
    "log_append",
    "log_rate",
    "log_retention",
    "jitter",
    "loss",
    "server_run",
    "server_answer",
    "call_attempts",
    "call_patience",
    "call_pause",
    "entry_first",
    "entry_idle",
    "entry_booking",
    "entry_log",
];

impl Deployment {
    /// Names of all entries.
    pub fn entry_names(&self) -> Vec<SmolStr> {
        (1..=self.entries.len()).map(|place| format_smolstr!("e{place}")).collect()
    }

    /// Names of all model servers.
    pub fn instance_names(&self) -> Vec<SmolStr> {
        let of = |domain: &Domain| {
            let name = domain.name.clone();
            (1..=domain.size).map(move |place| format_smolstr!("{name}-{place}"))
        };
        self.domains.iter().flat_map(of).collect()
    }

    /// Names of all servers of plain services.
    pub fn server_names(&self) -> Vec<SmolStr> {
        let of = |service: &Service| {
            let name = service.name.clone();
            (1..=service.servers).map(move |place| format_smolstr!("{name}-{place}"))
        };
        self.services.iter().flat_map(of).collect()
    }

    /// The zones of entries and domains.
    pub fn zones(&self) -> Vec<SmolStr> {
        let domains = self.domains.iter().map(|it| it.zone.clone());
        let mut zones: Vec<SmolStr> = self.entries.iter().cloned().chain(domains).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    fn setting(&self, name: &str, default: f64) -> f64 {
        self.settings.iter().rev().find(|it| it.0 == name).map_or(default, |it| it.1)
    }

    /// The sheet with some changes.
    pub fn sheet(&self, edits: &[Edit]) -> String {
        let columns = "kind,name,zone,domain,accelerator,accelerators,address,fencing,model,\
                       version,instances,replicas,priority,rate,tokens,concurrency,key,service,\
                       method,path,repeatable,value";
        let columns: Vec<&str> = columns.split(',').collect();
        let mut text = columns.join(",") + "\n";
        let mut row = |cells: &[(&str, String)]| {
            let value = |column: &&str| {
                cells.iter().find(|it| it.0 == *column).map_or("", |it| it.1.as_str())
            };
            let line: Vec<&str> = columns.iter().map(value).collect();
            let _ = writeln!(text, "{}", line.join(","));
        };
        let cell =
            |column: &'static str, value: &dyn std::fmt::Display| (column, value.to_string());
        for (name, value) in [
            ("deployment", "scenario".to_owned()),
            ("downtime_weight", self.setting("downtime_weight", 0.5).to_string()),
            ("weight_loads", (self.setting("weight_loads", 8.0) as u32).to_string()),
        ] {
            row(&[cell("kind", &"setting"), cell("name", &name), ("value", value)]);
        }
        for (place, domain) in self.domains.iter().enumerate() {
            for number in 1..=domain.size {
                row(&[
                    cell("kind", &"instance"),
                    cell("name", &format_args!("{}-{number}", domain.name)),
                    cell("zone", &domain.zone),
                    cell("domain", &domain.name),
                    cell("accelerator", &"h100"),
                    cell("accelerators", &8),
                    cell("address", &format_args!("10.1.{place}.{number}:9000")),
                    cell("fencing", &if domain.fencing { "yes" } else { "no" }),
                ]);
            }
        }
        for model in &self.models {
            let (mut version, mut replicas) = (model.version.clone(), model.replicas);
            for edit in edits {
                match edit {
                    Edit::Replicas(name, number) if *name == model.name => replicas = *number,
                    Edit::Version(name, wanted) if *name == model.name => {
                        version = wanted.clone();
                    }
                    _ => {}
                }
            }
            row(&[
                cell("kind", &"model"),
                cell("name", &model.name),
                cell("version", &version),
                cell("accelerator", &"h100"),
                cell("instances", &model.instances),
                cell("replicas", &replicas),
                cell("priority", &model.priority),
            ]);
        }
        for team in &self.teams {
            let wanted = edits.iter().rev().find_map(|edit| match edit {
                Edit::Rate(name, rate) if *name == team.name => Some(*rate),
                _ => None,
            });
            row(&[
                cell("kind", &"team"),
                cell("name", &team.name),
                cell("rate", &wanted.unwrap_or(team.rate)),
                cell("tokens", &team.tokens),
                cell("concurrency", &team.concurrency),
                cell("key", &mgw_sheet::key::hash(&team.name)),
            ]);
        }
        let zones = self.zones();
        for (place, service) in self.services.iter().enumerate() {
            row(&[cell("kind", &"service"), cell("name", &service.name)]);
            for number in 1..=service.servers {
                row(&[
                    cell("kind", &"server"),
                    cell("name", &format_args!("{}-{number}", service.name)),
                    cell("service", &service.name),
                    cell("zone", &zones[(number as usize - 1) % zones.len()]),
                    cell("address", &format_args!("10.2.{place}.{number}:9000")),
                ]);
            }
        }
        if edits.contains(&Edit::Malformed) {
            text.push_str("model,broken\n");
        }
        text
    }

    /// The options of a run.
    pub fn options(&self) -> Options {
        let seats = self.entry_names().into_iter().zip(&self.entries);
        let entries = seats.map(|(name, zone)| Seat { name, zone: zone.clone() }).collect();
        let mut options = Options::new(self.seed, entries, self.sheet(&[]));
        let time = |name, default: Micros| {
            let seconds = self.setting(name, default as f64 / SECOND as f64);
            (seconds * SECOND as f64) as Micros
        };
        options.absent = self.absent.clone();
        options.link.pairs = self.delays.clone();
        options.link.jitter = time("jitter", options.link.jitter);
        options.link.loss = self.setting("loss", options.link.loss);
        options.platform.load = time("load", 5 * SECOND);
        options.platform.lag = time("list_lag", options.platform.lag);
        let engine = &mut options.engine;
        engine.lag = time("engine_lag", engine.lag);
        engine.slots = self.setting("engine_slots", engine.slots as f64) as usize;
        engine.token = time("engine_token", engine.token);
        engine.restart = time("engine_restart", engine.restart);
        let log = &mut options.log;
        log.append = time("log_append", log.append);
        log.rate = self.setting("log_rate", log.rate);
        log.retention = self.setting("log_retention", log.retention as f64) as usize;
        options.server.run = time("server_run", options.server.run);
        options.server.answer = time("server_answer", options.server.answer);
        let call = &mut options.call;
        call.attempts = self.setting("call_attempts", f64::from(call.attempts)) as u32;
        call.patience = time("call_patience", call.patience);
        call.pause = time("call_pause", call.pause);
        let entry = &mut options.entry;
        entry.first = time("entry_first", entry.first);
        entry.idle = time("entry_idle", entry.idle);
        entry.booking = time("entry_booking", entry.booking);
        entry.log = time("entry_log", entry.log);
        options
    }
}
