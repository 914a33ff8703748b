//! What a change means for the requests that arrive, and for those that run.

use std::fmt;

use mgw_fleet::config::{Config, Limits, Route};
use mgw_sheet::column::{Column, Kind as Row};
use mgw_sheet::diff::{Action, Field};
use serde::{Serialize, Serializer};
use smol_str::SmolStr;

/// A known effect of a change. Requests that a gateway has already accepted keep the configuration
/// that they were accepted under.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Effect {
    /// Requests that matched the route match none.
    NotFound,
    /// Requests that matched the route match another.
    TakenBy(SmolStr),
    /// Requests without a valid key are refused.
    KeyRequired,
    /// Requests with the key are refused on routes that need one.
    KeyWithdrawn,
    /// Requests with the key count for another team.
    KeyMoved(SmolStr),
    /// Requests are not sent again after a server may have run them.
    NotRepeated,
    /// New requests have less time.
    LessTime,
    /// New requests go to other services, or in other shares.
    OtherServices,
    /// Requests with larger heads are refused.
    LargeHeadsRefused,
    /// Requests with larger bodies are refused.
    LargeBodiesRefused,
    /// Connections that are idle for longer are closed.
    IdleClosedSooner,
    /// Requests of the team above the new limit are refused.
    LimitLowered(Column),
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Effect::NotFound => f.write_str("new requests get 404; running ones go on"),
            Effect::TakenBy(route) => write!(f, "new requests match route {route} instead"),
            Effect::KeyRequired => f.write_str("new requests without a valid key get 401"),
            Effect::KeyWithdrawn => {
                f.write_str("new requests with it get 401 on routes that need a key")
            }
            Effect::KeyMoved(team) => write!(f, "new requests with it count for team {team}"),
            Effect::NotRepeated => {
                f.write_str("new requests are not sent again after a server may have run them")
            }
            Effect::LessTime => {
                f.write_str("new requests have less time; running ones keep theirs")
            }
            Effect::OtherServices => {
                f.write_str("new requests go to these services; running ones stay where they are")
            }
            Effect::LargeHeadsRefused => f.write_str("larger heads get 431"),
            Effect::LargeBodiesRefused => f.write_str("larger bodies get 413"),
            Effect::IdleClosedSooner => f.write_str("connections that are idle longer are closed"),
            Effect::LimitLowered(column) => {
                write!(f, "requests of the team above the new {} are refused", column.name())
            }
        }
    }
}

impl Serialize for Effect {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.collect_str(self)
    }
}

/// The effect of removing a route, given the configuration that remains.
pub(crate) fn of_removed_route(route: &Route, newer: &Config) -> Vec<Effect> {
    let other = newer.route(&route.host, &route.path_prefix);
    vec![other.map_or(Effect::NotFound, |other| Effect::TakenBy(other.name.clone()))]
}

/// The effects of changing a route, each given with its configuration.
pub(crate) fn of_changed_route(
    (old, older): (&Route, &Config),
    (new, newer): (&Route, &Config),
) -> Vec<Effect> {
    let effects = [
        (Effect::KeyRequired, newer.needs_key(new) && !older.needs_key(old)),
        (Effect::NotRepeated, old.kind.is_repeatable() && !new.kind.is_repeatable()),
        (Effect::LessTime, new.timeout < old.timeout),
        (Effect::OtherServices, new.services != old.services),
    ];
    effects.into_iter().filter(|(_, holds)| *holds).map(|(effect, _)| effect).collect()
}

/// The effects of changing the limits on callers.
pub(crate) fn of_limits(old: &Limits, new: &Limits) -> Vec<Effect> {
    let effects = [
        (Effect::LargeHeadsRefused, new.max_header_bytes < old.max_header_bytes),
        (Effect::LargeBodiesRefused, new.max_body_bytes < old.max_body_bytes),
        (Effect::IdleClosedSooner, new.idle_timeout < old.idle_timeout),
    ];
    effects.into_iter().filter(|(_, holds)| *holds).map(|(effect, _)| effect).collect()
}

/// The known effects of a change of a sheet.
pub fn of_sheet(change: &mgw_sheet::Change) -> Vec<Effect> {
    let value = |value: &Option<SmolStr>| value.as_ref().and_then(|it| it.parse::<u64>().ok());
    let is_lower = |field: &Field| value(&field.new) < value(&field.old);
    let of_field = |field: &Field| match (change.kind, field.column) {
        (Row::Team, Column::Key) => Some(Effect::KeyWithdrawn),
        (Row::Team, Column::Rate | Column::Tokens | Column::Concurrency) if is_lower(field) => {
            Some(Effect::LimitLowered(field.column))
        }
        (Row::Call, Column::Repeatable) if field.new.as_deref() == Some("no") => {
            Some(Effect::NotRepeated)
        }
        _ => None,
    };
    match (change.action, change.kind) {
        (Action::Added, _) => Vec::new(),
        (Action::Removed, Row::Team) => vec![Effect::KeyWithdrawn],
        (Action::Removed, Row::Call) => vec![Effect::NotRepeated],
        (Action::Removed, _) => Vec::new(),
        (Action::Changed, _) => change.fields.iter().filter_map(of_field).collect(),
    }
}
