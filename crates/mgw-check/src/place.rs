//! Where a finding or a change is in a configuration.

use std::fmt;

use mgw_fleet::config::Route;
use mgw_sheet::column;
use serde::{Serialize, Serializer};
use smol_str::SmolStr;

/// A part of a configuration. Its text names it to an operator.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Place {
    /// The configuration as a whole.
    Configuration,
    /// The limits on callers.
    Limits,
    /// A route.
    Route {
        /// Name, which need not be unique.
        name: SmolStr,
        /// Host that it matches.
        host: SmolStr,
        /// Prefix of the paths that it matches.
        prefix: SmolStr,
    },
    /// A service.
    Service(SmolStr),
    /// A model of a service.
    Model {
        /// The service.
        service: SmolStr,
        /// Name of the model.
        name: SmolStr,
    },
    /// A team.
    Team(SmolStr),
    /// An API key, by its fingerprint.
    Key(SmolStr),
    /// An entity of a sheet.
    Row {
        /// Kind of its row.
        kind: column::Kind,
        /// Name, or service, method and path of a call.
        name: SmolStr,
    },
}

impl From<&Route> for Place {
    fn from(route: &Route) -> Self {
        let Route { name, host, path_prefix, .. } = route;
        Place::Route { name: name.clone(), host: host.clone(), prefix: path_prefix.clone() }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Place::Configuration => formatter.write_str("configuration"),
            Place::Limits => formatter.write_str("limits"),
            Place::Route { name, host, prefix } => write!(formatter, "route {name} {host}{prefix}"),
            Place::Service(name) => write!(formatter, "service {name}"),
            Place::Model { service, name } => write!(formatter, "model {name} of {service}"),
            Place::Team(name) => write!(formatter, "team {name}"),
            Place::Key(fingerprint) => write!(formatter, "key {fingerprint}"),
            Place::Row { kind, name } => write!(formatter, "{} {name}", kind.name()),
        }
    }
}

impl Serialize for Place {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}
