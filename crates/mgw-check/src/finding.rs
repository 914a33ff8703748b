//! What a check finds.

use std::fmt;
use std::time::Duration;

use serde::ser::SerializeStruct;
use serde::{Serialize, Serializer};
use smol_str::SmolStr;

use crate::place::Place;

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Severity {
    /// The configuration would not take effect.
    Error,
    /// It would take effect, but a part of it has none, or contradicts another.
    Warning,
}

/// What is wrong.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// The parser refuses the configuration, with this message.
    Rejected(SmolStr),
    /// The version is not higher than the one in force.
    NotNewer {
        /// Version of the checked configuration.
        version: u64,
        /// Version in force.
        in_force: u64,
    },
    /// An earlier route has the same host and prefix.
    Shadowed {
        /// Name of the earlier route.
        by: SmolStr,
    },
    /// No request's host equals that of the route.
    UnmatchedHost,
    /// No request's path begins with the prefix of the route.
    UnmatchedPath,
    /// The route names a service that is not declared.
    UnknownService(SmolStr),
    /// The weight of a service is 0 beside others above 0.
    ZeroWeight(SmolStr),
    /// All weights are 0.
    ZeroWeights {
        /// The service that gets all requests then.
        service: SmolStr,
    },
    /// The timeout is 0.
    ZeroTimeout,
    /// The latency target is above the timeout.
    TargetAboveTimeout {
        /// Latency target.
        target: Duration,
        /// Timeout.
        timeout: Duration,
    },
    /// The longest pause between events is above the timeout.
    GapAboveTimeout {
        /// Longest pause.
        gap: Duration,
        /// Timeout.
        timeout: Duration,
    },
    /// A longest pause between events is stated, and responses are no streams.
    GapWithoutStream,
    /// The timeout is over before the last attempt may begin.
    AttemptsAboveTimeout {
        /// Maximum number of attempts.
        attempts: u32,
        /// Time after which an attempt without a response is given up.
        silence: Duration,
        /// Timeout.
        timeout: Duration,
    },
    /// The route needs a key, and no team has one.
    NoValidKey,
    /// The name is declared more than once.
    Repeated,
    /// Nothing refers to it.
    Unused,
    /// A limit of 0, which excludes all use.
    ZeroLimit(&'static str),
    /// The engine has no models.
    NoModels,
    /// The shares of the models add up to more than 1.
    SharesAboveOne(f64),
    /// A cold server may get more requests than a warm one can serve.
    ColdRateAboveCapacity {
        /// Requests per second that a cold server may get.
        rate: f64,
        /// Requests of the service's mean length that a group can serve per second.
        capacity: f64,
    },
    /// The team has no keys.
    NoKeys,
    /// The team's key belongs to another team too.
    SharedKey {
        /// Fingerprint of the key.
        fingerprint: SmolStr,
        /// Team that requests with the key count for.
        team: SmolStr,
    },
    /// A replica needs more instances than the sheet has with the accelerator.
    ReplicaAboveInstances {
        /// Instances of one replica.
        needed: u32,
        /// Instances with the accelerator.
        available: usize,
    },
    /// The wanted replicas of all models with the accelerator need more instances than there are.
    ReplicasAboveInstances {
        /// Instances of all wanted replicas.
        wanted: u64,
        /// Instances with the accelerator.
        available: usize,
        /// The accelerator.
        accelerator: SmolStr,
    },
    /// No model needs the accelerator of the instance.
    UnusedAccelerator(SmolStr),
    /// The service has no servers.
    NoServers,
    /// The limit of tokens per second is below that of requests, each of which takes one or more.
    TokensBelowRate {
        /// Tokens per second.
        tokens: u32,
        /// Requests per second.
        rate: u32,
    },
}

impl Kind {
    /// How serious findings of this kind are.
    pub fn severity(&self) -> Severity {
        match self {
            Kind::Rejected(_) | Kind::NotNewer { .. } => Severity::Error,
            _ => Severity::Warning,
        }
    }

    /// Name of the kind in JSON.
    pub fn name(&self) -> &'static str {
        match self {
            Kind::Rejected(_) => "rejected",
            Kind::NotNewer { .. } => "not_newer",
            Kind::Shadowed { .. } => "shadowed",
            Kind::UnmatchedHost => "unmatched_host",
            Kind::UnmatchedPath => "unmatched_path",
            Kind::UnknownService(_) => "unknown_service",
            Kind::ZeroWeight(_) => "zero_weight",
            Kind::ZeroWeights { .. } => "zero_weights",
            Kind::ZeroTimeout => "zero_timeout",
            Kind::TargetAboveTimeout { .. } => "target_above_timeout",
            Kind::GapAboveTimeout { .. } => "gap_above_timeout",
            Kind::GapWithoutStream => "gap_without_stream",
            Kind::AttemptsAboveTimeout { .. } => "attempts_above_timeout",
            Kind::NoValidKey => "no_valid_key",
            Kind::Repeated => "repeated",
            Kind::Unused => "unused",
            Kind::ZeroLimit(_) => "zero_limit",
            Kind::NoModels => "no_models",
            Kind::SharesAboveOne(_) => "shares_above_one",
            Kind::ColdRateAboveCapacity { .. } => "cold_rate_above_capacity",
            Kind::NoKeys => "no_keys",
            Kind::SharedKey { .. } => "shared_key",
            Kind::ReplicaAboveInstances { .. } => "replica_above_instances",
            Kind::ReplicasAboveInstances { .. } => "replicas_above_instances",
            Kind::UnusedAccelerator(_) => "unused_accelerator",
            Kind::NoServers => "no_servers",
            Kind::TokensBelowRate { .. } => "tokens_below_rate",
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Kind::Rejected(message) => f.write_str(message),
            Kind::NotNewer { version, in_force } => {
                write!(f, "version {version} is not above version {in_force}, which is in force")
            }
            Kind::Shadowed { by } => {
                write!(f, "never matches: route {by}, which comes first, has its host and prefix")
            }
            Kind::UnmatchedHost => f.write_str("never matches: no host of a request is like this"),
            Kind::UnmatchedPath => f.write_str("never matches: no path begins with this prefix"),
            Kind::UnknownService(name) => write!(f, "service {name} is not declared"),
            Kind::ZeroWeight(name) => write!(f, "service {name} has weight 0 and gets no requests"),
            Kind::ZeroWeights { service } => {
                write!(f, "all weights are 0, so service {service} gets all requests")
            }
            Kind::ZeroTimeout => f.write_str("the timeout is 0, so no request can be served"),
            Kind::TargetAboveTimeout { target, timeout } => {
                write!(f, "the latency target {target:?} is above the timeout {timeout:?}")
            }
            Kind::GapAboveTimeout { gap, timeout } => {
                write!(f, "the longest pause {gap:?} is above the timeout {timeout:?}")
            }
            Kind::GapWithoutStream => {
                f.write_str("a longest pause between events is set, but responses are no streams")
            }
            Kind::AttemptsAboveTimeout { attempts, silence, timeout } => write!(
                f,
                "the timeout {timeout:?} leaves no time for {attempts} attempts if servers are \
                 silent, each of which is given up after {silence:?}"
            ),
            Kind::NoValidKey => f.write_str("needs a key, and no team has one"),
            Kind::Repeated => f.write_str("is declared more than once"),
            Kind::Unused => f.write_str("no route leads to it"),
            Kind::ZeroLimit(name) => write!(f, "{name} is 0"),
            Kind::NoModels => f.write_str("the engine has no models"),
            Kind::SharesAboveOne(sum) => write!(f, "the shares of the models add up to {sum:.3}"),
            Kind::ColdRateAboveCapacity { rate, capacity } => write!(
                f,
                "a cold server may get {rate} requests per second, but a warm group serves \
                 {capacity:.1}"
            ),
            Kind::NoKeys => f.write_str("the team has no keys"),
            Kind::SharedKey { fingerprint, team } => {
                write!(f, "key {fingerprint} is in several teams and counts for team {team}")
            }
            Kind::ReplicaAboveInstances { needed, available } => write!(
                f,
                "a replica needs {needed} instances, but {available} have the accelerator"
            ),
            Kind::ReplicasAboveInstances { wanted, available, accelerator } => write!(
                f,
                "the replicas that are wanted on {accelerator} need {wanted} instances, but there \
                 are {available}"
            ),
            Kind::UnusedAccelerator(name) => write!(f, "no model needs accelerator {name}"),
            Kind::NoServers => f.write_str("the service has no servers"),
            Kind::TokensBelowRate { tokens, rate } => write!(
                f,
                "{tokens} tokens per second are below {rate} requests per second, which cannot be \
                 reached"
            ),
        }
    }
}

/// A finding in a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Where it is.
    pub place: Place,
    /// What is wrong.
    pub kind: Kind,
}

impl Finding {
    /// A finding at a place.
    pub fn new<P>(place: P, kind: Kind) -> Self
    where
        P: Into<Place>,
    {
        Self { place: place.into(), kind }
    }

    /// How serious the finding is.
    pub fn severity(&self) -> Severity {
        self.kind.severity()
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity() {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(f, "{severity}: {}: {}", self.place, self.kind)
    }
}

impl Serialize for Finding {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        let mut fields = serializer.serialize_struct("Finding", 4)?;
        fields.serialize_field("place", &self.place)?;
        fields.serialize_field("severity", &self.severity())?;
        fields.serialize_field("kind", self.kind.name())?;
        fields.serialize_field("text", &self.kind.to_string())?;
        fields.end()
    }
}
