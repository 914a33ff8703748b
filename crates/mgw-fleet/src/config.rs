//! The configuration that the operator publishes: routes, services, model engines and teams.

use std::time::Duration;

use mgw_base::sorted::Map;
use rand::Rng;
use rand::seq::IndexedRandom;
use smol_str::SmolStr;

/// Factor by which the prefill time of a prompt is multiplied in the cost of a request. The group's
/// other requests wait while it processes a prompt, so a prompt costs more than its prefill time.
const PREFILL_WEIGHT: f64 = 2.0;

/// Execution semantics of a route: whether its requests may be repeated, and whether the response
/// is a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request may run more than once.
    Idempotent,
    /// The request runs at most once.
    AtMostOnce,
    /// The response is a stream of events. Another server can resume it after the last event that
    /// was received.
    ResumableStream,
    /// The response is a stream of events, and the request runs at most once.
    Stream,
}

impl Kind {
    /// Whether a request may be sent again although a server may already have run it.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::ResumableStream)
    }

    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::ResumableStream | Kind::Stream)
    }
}

/// Maps a host and a path prefix to services.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, used in logs only.
    pub name: SmolStr,
    /// Host in lower case, without port.
    pub host: SmolStr,
    /// Prefix of the request path; ends with a slash.
    pub path_prefix: SmolStr,
    /// Whether requests may be repeated, and whether responses are streams.
    pub kind: Kind,
    /// Upper limit on the time until the response is complete.
    pub timeout: Duration,
    /// Time within which the response should be complete; for streams, until the first event.
    pub latency_target: Duration,
    /// Longest acceptable time between two events of a stream.
    pub gap_target: Option<Duration>,
    /// Maximum number of servers that a caller's request is sent to, one after the other.
    pub max_attempts: u32,
    /// Priority of the requests; 0 is the highest.
    pub priority: u8,
    /// Whether requests without a valid key are served.
    pub allow_anonymous: bool,
    /// Services with their weights in the traffic split; never empty.
    pub services: Vec<(SmolStr, u32)>,
}

impl Route {
    /// Draws one of the services at random, by their weights. If all weights are 0, this is the first
    /// service.
    pub fn draw_service<R>(&self, random: &mut R) -> SmolStr
    where
        R: Rng,
    {
        let weight = |(_, weight): &(SmolStr, u32)| u64::from(*weight);
        let drawn = self.services.choose_weighted(random, weight).ok();
        drawn.or(self.services.first()).map(|(service, _)| service.clone()).unwrap_or_default()
    }
}

/// A model that the engines of a service can run.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Name by which requests and instances refer to the model.
    pub name: SmolStr,
    /// Number of instances in a group, which runs one replica of the model; at least 1.
    pub group_size: usize,
    /// Expected share of this model in the service's instances, 0 to 1. It is used until enough
    /// requests have been received.
    pub initial_share: f64,
    /// Factor by which the processing times in [`Engine`] are multiplied for this model; above 0.
    pub time_factor: f64,
    /// Time to load the weights from the weight store.
    pub cold_load_time: Duration,
    /// Time to load the weights when they are already on the host.
    pub warm_load_time: Duration,
}

/// Capacity and timing of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Engine {
    /// Number of requests that a group runs concurrently.
    pub slots: u32,
    /// The models that the service offers.
    pub models: Vec<Model>,
    /// Maximum number of weight loads started per second, over all instances.
    pub max_loads_per_s: f64,
    /// Number of concurrent weight loads up to which each runs at full speed. Beyond it, all of
    /// them slow down in proportion.
    pub full_speed_loads: usize,
    /// Time from the order to open a group until its head serves requests.
    pub open_delay: Duration,
    /// Duration of a decoding step, which yields a token for each running request, when one
    /// request runs.
    pub step_time: Duration,
    /// Additional duration of a decoding step per running request.
    pub step_time_per_request: Duration,
    /// Number of decoding steps in a pass, at least 1. A pass yields an event for each stream.
    pub steps_per_pass: u32,
    /// Prompt tokens that a group processes per second.
    pub prefill_tokens_per_s: f64,
    /// Mean length of a response in tokens.
    pub mean_output_tokens: f64,
}

impl Engine {
    /// Seconds of a fully loaded group's time that a request for `model` takes.
    ///
    /// Prompts are processed one at a time, whereas each decoding step yields a token for every
    /// running request, so the cost of a step is divided among the slots.
    pub fn group_seconds(&self, model: &Model, prompt_tokens: u32, output_tokens: u32) -> f64 {
        let slots = f64::from(self.slots.max(1));
        let step = self.step_time.as_secs_f64() + self.step_time_per_request.as_secs_f64() * slots;
        let prefill = f64::from(prompt_tokens) / self.prefill_tokens_per_s.max(1.0);
        (prefill * PREFILL_WEIGHT + f64::from(output_tokens) * step / slots) * model.time_factor
    }

    /// Returns the model called `name`.
    pub fn model(&self, name: &str) -> Option<&Model> {
        self.models.iter().find(|model| model.name == name)
    }
}

/// A service, to which routes send requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Maximum number of connections that a server accepts from all entries together.
    pub max_connections: u32,
    /// Set if the servers are model engines, which form groups.
    pub engine: Option<Engine>,
    /// Set if a server bears fewer requests for some time after its start.
    pub warm_up: Option<WarmUp>,
}

/// What a server bears while it is cold. It may become cold at any moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUp {
    /// Time for which a server is cold after its start.
    pub duration: Duration,
    /// Requests per second that a cold server bears; above 0.
    pub max_rate: f64,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of a request's head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub max_body_bytes: usize,
    /// Time within which the rest of a request's head must arrive after its first bytes.
    pub header_timeout: Duration,
    /// Time that a connection may be idle between requests; also the limit for receiving a body.
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

/// A team, identified by its API keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Team {
    /// Name, as it appears in events.
    pub name: SmolStr,
    /// Priority that overrides the route's; 0 is the highest.
    pub priority: Option<u8>,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default)]
pub struct Config {
    /// Version, which rises with each publication.
    pub version: u64,
    /// Sorted by host, then by descending length of the prefix.
    routes: Vec<Route>,
    /// Services by name.
    pub services: Map<SmolStr, Service>,
    /// Limits on callers.
    pub limits: Limits,
    /// The teams; `None` if no request needs a key.
    teams: Option<Vec<Team>>,
    /// Index into `teams` by API key.
    keys: Map<SmolStr, usize>,
}

/// The parts that a [`Config`] is built from.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// Version, which rises with each publication.
    pub version: u64,
    /// Routes in any order.
    pub routes: Vec<Route>,
    /// Services with their names. Of several with one name, the last counts.
    pub services: Vec<(SmolStr, Service)>,
    /// Limits on callers.
    pub limits: Limits,
    /// Teams with their API keys; `None` if no request needs a key.
    pub teams: Option<Vec<(Team, Vec<SmolStr>)>>,
}

/// The result of authenticating a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Principal<'a> {
    /// The request has no valid key, and the route needs none.
    Anonymous,
    /// The team that the key belongs to.
    Team(&'a Team),
    /// The route needs a key, and the request's key is missing or unknown.
    Unauthenticated,
}

impl Config {
    /// Builds a configuration from its parts.
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
            let index_keys = |(index, (team, team_keys)): (usize, (Team, Vec<SmolStr>))| {
                team_keys.into_iter().for_each(|key| {
                    keys.insert(key, index);
                });
                team
            };
            teams.into_iter().enumerate().map(index_keys).collect()
        });
        Self {
            version: parts.version,
            routes,
            services: parts.services.into_iter().collect(),
            limits: parts.limits,
            teams,
            keys,
        }
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    ///
    /// `host` is matched without regard to case, and a port in it is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or("").to_ascii_lowercase();
        let first = self.routes.partition_point(|route| route.host.as_str() < host.as_str());
        self.routes[first..]
            .iter()
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    /// Returns all routes, sorted by host, then by descending length of the prefix.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Whether requests on `route` need a key.
    pub fn needs_key(&self, route: &Route) -> bool {
        self.teams.is_some() && !route.allow_anonymous
    }

    /// Returns the team that `key` belongs to. Without a valid key, the result depends on whether
    /// requests on `route` need one.
    pub fn authenticate(&self, route: &Route, key: Option<&str>) -> Principal<'_> {
        let team = key
            .and_then(|key| self.keys.get(&SmolStr::new(key)))
            .and_then(|index| self.teams.as_ref()?.get(*index));
        match team {
            Some(team) => Principal::Team(team),
            None if self.needs_key(route) => Principal::Unauthenticated,
            None => Principal::Anonymous,
        }
    }
}
