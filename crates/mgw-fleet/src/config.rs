//! The operator's configuration.

use std::time::Duration;

use mgw_base::sorted::Map;
use smol_str::SmolStr;

/// How much more a prompt weighs than the time to read it: the group's other requests wait meanwhile.
const READ_WEIGHT: f64 = 2.0;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// A stream of events that may go on at another server after its last event.
    ResumableStream,
    /// A stream of events that runs at most once.
    Stream,
}

impl Kind {
    /// Whether the request may run again after it may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::ResumableStream | Kind::Stream)
    }
}

/// Where requests of a host and path go.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name for logs.
    pub name: SmolStr,
    /// Host in lower case, without port.
    pub host: SmolStr,
    /// What the path begins with; ends with a slash.
    pub path_prefix: SmolStr,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time until the final answer.
    pub timeout: Duration,
    /// The time within which an answer is on time; to the first event for streams.
    pub latency_target: Duration,
    /// The longest pause between events with which a stream is on time.
    pub gap_target: Option<Duration>,
    /// The most servers that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Rank, 0 first.
    pub priority: u8,
    /// Whether no key is needed.
    pub allow_anonymous: bool,
    /// Services by weight; never empty.
    pub services: Vec<(SmolStr, u32)>,
}

/// A model of an engine service.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name.
    pub name: SmolStr,
    /// Instances of one replica; at least 1.
    pub group_size: usize,
    /// Share of the service's instances that its requests take when traffic begins, 0 to 1.
    pub initial_share: f64,
    /// Factor on all times of a group; above 0.
    pub time_factor: f64,
    /// Time to load the weights from the weight store.
    pub cold_load_time: Duration,
    /// Time to load the weights from the host.
    pub warm_load_time: Duration,
}

/// Figures of the engines of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Requests that a group runs at once.
    pub slots: u32,
    /// Models by name.
    pub models: Vec<Model>,
    /// Loads that may start per second over all instances.
    pub max_loads_per_s: f64,
    /// Loads beyond which all take proportionally longer.
    pub full_speed_loads: usize,
    /// Time from the order to open until the head serves.
    pub open_delay: Duration,
    /// Time of a token step with one request.
    pub step_time: Duration,
    /// Additional time of a token step per running request.
    pub step_time_per_request: Duration,
    /// Prompt tokens read per second.
    pub prefill_tokens_per_s: f64,
    /// Mean tokens of an answer.
    pub mean_output_tokens: f64,
}

impl Engine {
    /// Time of a group that a request of `model` takes when the group is full, in seconds: the
    /// prompt is read alone, each step writes a token of every request.
    pub fn group_seconds(&self, model: &Model, prompt: u32, answer: u32) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let step = self.step_time.as_secs_f64() + self.step_time_per_request.as_secs_f64() * slots;
        let read = f64::from(prompt) / self.prefill_tokens_per_s.max(1.0);
        (read * READ_WEIGHT + f64::from(answer) * step / slots) * model.time_factor
    }

    /// The model called `name`.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The most connections that a server accepts from all entries together.
    pub max_connections: u32,
    /// Set if the servers are model engines that form groups.
    pub engine: Option<Engine>,
}

/// Bounds on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a request's head.
    pub max_header_bytes: usize,
    /// Bytes of a request's body.
    pub max_body_bytes: usize,
    /// Time for a request's head.
    pub header_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_header_bytes: 16_384,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A team.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name.
    pub name: SmolStr,
    /// Rank that goes before the route's, 0 first.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Ascending version.
    pub version: u64,
    /// Sorted by host, then by prefix, longest first.
    routes: Vec<Route>,
    /// Services by name.
    pub services: Map<SmolStr, Service>,
    /// Bounds on callers.
    pub limits: Limits,
    /// Teams; `None` if requests need no key.
    teams: Option<Vec<Team>>,
    /// Keys with the index of their team.
    keys: Map<SmolStr, usize>,
}

/// What a version consists of.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// Ascending version.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: Map<SmolStr, Service>,
    /// Bounds on callers.
    pub limits: Limits,
    /// Teams with their keys; `None` if requests need no key.
    pub teams: Option<Vec<(Team, Vec<SmolStr>)>>,
}

/// Whom a key belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Principal<'a> {
    /// No key is needed.
    Anonymous,
    /// The key's team.
    Team(&'a Team),
    /// The key is missing or unknown.
    Unauthenticated,
}

impl Config {
    /// A version from its parts.
    pub fn new(parts: Parts) -> Self {
        let mut routes = parts.routes;
        routes.sort_by(|one, other| {
            let longest_first = other.path_prefix.len().cmp(&one.path_prefix.len());
            one.host
                .cmp(&other.host)
                .then(longest_first)
                .then(one.path_prefix.cmp(&other.path_prefix))
        });
        let mut keys = Map::default();
        let teams = parts.teams.map(|teams| {
            let number = |(place, (team, own)): (usize, (Team, Vec<SmolStr>))| {
                own.into_iter().for_each(|key| {
                    keys.insert(key, place);
                });
                team
            };
            teams.into_iter().enumerate().map(number).collect()
        });
        Self {
            version: parts.version,
            routes,
            services: parts.services,
            limits: parts.limits,
            teams,
            keys,
        }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    ///
    /// `host` may have a port and capital letters.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or("").to_ascii_lowercase();
        let first = self.routes.partition_point(|route| route.host.as_str() < host.as_str());
        self.routes[first..]
            .iter()
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Whether requests on `route` need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.teams.is_some() && !route.allow_anonymous
    }

    /// Whom `key` belongs to on `route`.
    pub fn authenticate(&self, route: &Route, key: Option<&str>) -> Principal<'_> {
        let team = key
            .and_then(|key| self.keys.get(&SmolStr::new(key)))
            .and_then(|place| self.teams.as_ref()?.get(*place));
        match team {
            Some(team) => Principal::Team(team),
            None if self.needs_key(route) => Principal::Unauthenticated,
            None => Principal::Anonymous,
        }
    }
}
