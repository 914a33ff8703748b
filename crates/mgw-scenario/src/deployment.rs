//! The deployment that a script declares: its configuration sheet and the options of the run.

use std::fmt::Write;

use smol_str::{SmolStr, format_smolstr};

use crate::world::{EntrySpec, Micros, Options, SECOND};

/// A fabric domain and its model servers, which are named `DOMAIN-1`, `DOMAIN-2` and so on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Domain {
    /// Name; the prefix of the names of its model servers.
    pub name: SmolStr,
    /// Availability zone of all its model servers.
    pub zone: SmolStr,
    /// Number of model servers.
    pub size: u32,
    /// Whether the engines reject orders with a stale fencing token.
    pub fencing: bool,
}

/// A model to be served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Model {
    /// Name by which calls and expectations refer to the model.
    pub name: SmolStr,
    /// Declared version; [`Edit::Version`] changes it in a later publication.
    pub version: SmolStr,
    /// Number of model servers in each replica.
    pub instances: u32,
    /// Number of replicas to place.
    pub replicas: u32,
    /// Placement priority from 0 (highest) to 3 (lowest).
    pub priority: u8,
}

/// A team and its limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name; also the text whose hash is the team's key in the sheet.
    pub name: SmolStr,
    /// Limit of requests per second.
    pub rate: u32,
    /// Limit of tokens per second.
    pub tokens: u32,
    /// Limit of requests in flight.
    pub concurrency: u32,
}

/// A service and its backend servers, which are named `SERVICE-1`, `SERVICE-2` and so on and are
/// spread over the zones in turn.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Service {
    /// Name; the prefix of the names of its servers.
    pub name: SmolStr,
    /// Number of backend servers.
    pub servers: u32,
}

/// A difference between a published sheet and the declared one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Edit {
    /// Sets the number of replicas of a model.
    Replicas(SmolStr, u32),
    /// Sets the version of a model.
    Version(SmolStr, SmolStr),
    /// Sets the limit of requests per second of a team.
    Rate(SmolStr, u32),
    /// Appends a row with too few cells, which makes the sheet invalid.
    Malformed,
}

/// A declared deployment with the parameters of the run.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// Seed of all random choices of the run.
    pub seed: u64,
    /// Zone of each entry; the entries are named `e1`, `e2` and so on in this order.
    pub entries: Vec<SmolStr>,
    /// Fabric domains with their model servers.
    pub domains: Vec<Domain>,
    /// Models to be served.
    pub models: Vec<Model>,
    /// Teams that may send requests.
    pub teams: Vec<Team>,
    /// Services with backend servers.
    pub services: Vec<Service>,
    /// Network delays between pairs of zones.
    pub delays: Vec<(SmolStr, SmolStr, Micros)>,
    /// Settings by name, with times in seconds; the last value of a name applies.
    pub settings: Vec<(SmolStr, f64)>,
    /// Names of instances that are not running at the start.
    pub absent: Vec<SmolStr>,
}

/// Names of the settings that a script can set.
///
/// `downtime_weight` and `weight_loads` become rows of the sheet. The meaning of each other setting
/// is that of the option that [`Deployment::options`] assigns it to. Times are in seconds.
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
    /// Returns the names of all entries.
    pub fn entry_names(&self) -> Vec<SmolStr> {
        (1..=self.entries.len()).map(|number| format_smolstr!("e{number}")).collect()
    }

    /// Returns the names of all model servers, domain by domain.
    pub fn instance_names(&self) -> Vec<SmolStr> {
        let names_of = |domain: &Domain| {
            let name = domain.name.clone();
            (1..=domain.size).map(move |number| format_smolstr!("{name}-{number}"))
        };
        self.domains.iter().flat_map(names_of).collect()
    }

    /// Returns the names of all backend servers, service by service.
    pub fn server_names(&self) -> Vec<SmolStr> {
        let names_of = |service: &Service| {
            let name = service.name.clone();
            (1..=service.servers).map(move |number| format_smolstr!("{name}-{number}"))
        };
        self.services.iter().flat_map(names_of).collect()
    }

    /// Returns the zones of the entries and domains, sorted and without duplicates.
    pub fn zones(&self) -> Vec<SmolStr> {
        let domains = self.domains.iter().map(|it| it.zone.clone());
        let mut zones: Vec<SmolStr> = self.entries.iter().cloned().chain(domains).collect();
        zones.sort_unstable();
        zones.dedup();
        zones
    }

    /// Returns the last value that the script sets for `name`, or `default`.
    fn setting(&self, name: &str, default: f64) -> f64 {
        self.settings.iter().rev().find(|it| it.0 == name).map_or(default, |it| it.1)
    }

    /// Renders the declared sheet as CSV text with `edits` applied.
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
        for (index, domain) in self.domains.iter().enumerate() {
            for number in 1..=domain.size {
                row(&[
                    cell("kind", &"instance"),
                    cell("name", &format_args!("{}-{number}", domain.name)),
                    cell("zone", &domain.zone),
                    cell("domain", &domain.name),
                    cell("accelerator", &"h100"),
                    cell("accelerators", &8),
                    cell("address", &format_args!("10.1.{index}.{number}:9000")),
                    cell("fencing", &if domain.fencing { "yes" } else { "no" }),
                ]);
            }
        }
        for model in &self.models {
            let (mut version, mut replicas) = (model.version.clone(), model.replicas);
            for edit in edits {
                match edit {
                    Edit::Replicas(name, count) if *name == model.name => replicas = *count,
                    Edit::Version(name, edited) if *name == model.name => {
                        version = edited.clone();
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
            let edited_rate = edits.iter().rev().find_map(|edit| match edit {
                Edit::Rate(name, rate) if *name == team.name => Some(*rate),
                _ => None,
            });
            row(&[
                cell("kind", &"team"),
                cell("name", &team.name),
                cell("rate", &edited_rate.unwrap_or(team.rate)),
                cell("tokens", &team.tokens),
                cell("concurrency", &team.concurrency),
                cell("key", &mgw_sheet::key::hash(&team.name)),
            ]);
        }
        let zones = self.zones();
        for (index, service) in self.services.iter().enumerate() {
            row(&[cell("kind", &"service"), cell("name", &service.name)]);
            for number in 1..=service.servers {
                row(&[
                    cell("kind", &"server"),
                    cell("name", &format_args!("{}-{number}", service.name)),
                    cell("service", &service.name),
                    cell("zone", &zones[(number as usize - 1) % zones.len()]),
                    cell("address", &format_args!("10.2.{index}.{number}:9000")),
                ]);
            }
        }
        if edits.contains(&Edit::Malformed) {
            text.push_str("model,broken\n");
        }
        text
    }

    /// Returns the options of a run: the defaults of the world, replaced by the settings of the
    /// script.
    pub fn options(&self) -> Options {
        let seats = self.entry_names().into_iter().zip(&self.entries);
        let entries = seats.map(|(name, zone)| EntrySpec { name, zone: zone.clone() }).collect();
        let mut options = Options::new(self.seed, entries, self.sheet(&[]));
        let time = |name, default: Micros| {
            let seconds = self.setting(name, default as f64 / SECOND as f64);
            (seconds * SECOND as f64) as Micros
        };
        options.absent = self.absent.clone();
        options.link.zone_pair_delays = self.delays.clone();
        options.link.max_jitter = time("jitter", options.link.max_jitter);
        options.link.loss_probability = self.setting("loss", options.link.loss_probability);
        options.platform.load_time = time("load", 5 * SECOND);
        options.platform.list_lag = time("list_lag", options.platform.list_lag);
        let engine = &mut options.engine;
        engine.report_lag = time("engine_lag", engine.report_lag);
        engine.slots = self.setting("engine_slots", engine.slots as f64) as usize;
        engine.token_time = time("engine_token", engine.token_time);
        engine.restart_delay = time("engine_restart", engine.restart_delay);
        let log = &mut options.log;
        log.append_time = time("log_append", log.append_time);
        log.append_rate = self.setting("log_rate", log.append_rate);
        log.retention = self.setting("log_retention", log.retention as f64) as usize;
        options.server.run_time = time("server_run", options.server.run_time);
        options.server.answer_time = time("server_answer", options.server.answer_time);
        let call = &mut options.call;
        call.attempts = self.setting("call_attempts", f64::from(call.attempts)) as u32;
        call.idle_timeout = time("call_patience", call.idle_timeout);
        call.retry_backoff = time("call_pause", call.retry_backoff);
        let entry = &mut options.entry;
        entry.first_byte_timeout = time("entry_first", entry.first_byte_timeout);
        entry.idle_timeout = time("entry_idle", entry.idle_timeout);
        entry.booking_timeout = time("entry_booking", entry.booking_timeout);
        entry.log_timeout = time("entry_log", entry.log_timeout);
        options
    }
}
