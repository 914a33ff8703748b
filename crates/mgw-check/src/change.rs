//! What differs between two configurations of a gateway.

use std::fmt;

use mgw_base::sorted::Map;
use mgw_fleet::config::{Config, Model, Parts, Route, Service, Team};
use mgw_sheet::key;
use serde::Serialize;
use smol_str::SmolStr;

use crate::effect::{self, Effect};
use crate::fields::{self, Field};
use crate::place::Place;
use crate::team;

/// The kind of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Only the newer configuration has it.
    Added,
    /// Only the older configuration has it.
    Removed,
    /// Both have it, with different fields.
    Changed,
}

/// A field whose value differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// Name of the field.
    pub name: &'static str,
    /// Value in the older configuration; `None` if it has no such field.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub old: Option<SmolStr>,
    /// Value in the newer configuration; `None` if it has no such field.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub new: Option<SmolStr>,
}

/// A part of the configuration that differs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The part.
    pub place: Place,
    /// Whether it was added, removed or changed.
    pub action: Action,
    /// The fields that differ, or all of a part that was added or removed, in a fixed order.
    pub fields: Vec<Difference>,
    /// What the change is known to mean for requests.
    pub effects: Vec<Effect>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.action {
            Action::Added => '+',
            Action::Removed => '-',
            Action::Changed => '~',
        };
        write!(f, "{sign} {}", self.place)?;
        for (index, Difference { name, old, new }) in self.fields.iter().enumerate() {
            let separator = if index == 0 { ": " } else { ", " };
            write!(f, "{separator}{name}")?;
            match (self.action, old, new) {
                (Action::Changed, old, new) => {
                    let [old, new] = [old, new].map(|it| it.as_deref().unwrap_or("none"));
                    write!(f, " {old} -> {new}")?;
                }
                (_, old, new) => old.iter().chain(new).try_for_each(|it| write!(f, " {it}"))?,
            }
        }
        self.effects.iter().try_for_each(|effect| write!(f, "\n    {effect}"))
    }
}

/// Returns the changes that turn `old` into `new`: limits, routes, services, models, teams and keys.
/// A part that is declared repeatedly counts as the gateway takes it.
pub fn changes(old: &Parts, new: &Parts) -> Vec<Change> {
    let (older, newer) = (Config::new(old.clone()), Config::new(new.clone()));
    let mut changes: Vec<Change> = limits(old, new).into_iter().collect();
    changes.extend(routes(&older, &newer));
    changes.extend(services(&older, &newer));
    changes.extend(models(&older, &newer));
    changes.extend(teams(old, new));
    changes.extend(keys(old, new));
    changes
}

/// Compares the fields of a part that is in one configuration or in both; `None` if nothing differs.
fn compare<T, F>(place: Place, old: Option<&T>, new: Option<&T>, fields: F) -> Option<Change>
where
    F: Fn(&T) -> Vec<Field>,
{
    let action = match (old, new) {
        (Some(_), Some(_)) => Action::Changed,
        (Some(_), None) => Action::Removed,
        (None, Some(_)) => Action::Added,
        (None, None) => return None,
    };
    let fields = |side: Option<&T>| side.map(&fields).unwrap_or_default();
    let differences = differences(&fields(old), &fields(new));
    let is_same = action == Action::Changed && differences.is_empty();
    (!is_same).then_some(Change { place, action, fields: differences, effects: Vec::new() })
}

/// The fields whose values differ. A field that only one side has follows those of the newer side.
fn differences(old: &[Field], new: &[Field]) -> Vec<Difference> {
    let find = |fields: &[Field], name: &str| {
        fields.iter().find(|(known, _)| *known == name).map(|(_, value)| value.clone())
    };
    let is_gone = |(name, _): &&Field| find(new, name).is_none();
    let names = new.iter().chain(old.iter().filter(is_gone)).map(|(name, _)| *name);
    names
        .map(|name| Difference { name, old: find(old, name), new: find(new, name) })
        .filter(|difference| difference.old != difference.new)
        .collect()
}

/// Pairs the values of two maps by key, in key order.
fn pairs<'a, K, V>(
    old: &'a Map<K, V>,
    new: &'a Map<K, V>,
) -> impl Iterator<Item = (&'a K, Option<&'a V>, Option<&'a V>)>
where
    K: Ord,
{
    let mut keys: Vec<&K> = old.iter().chain(new.iter()).map(|(key, _)| key).collect();
    keys.sort();
    keys.dedup();
    keys.into_iter().map(|key| (key, old.get(key), new.get(key)))
}

fn limits(old: &Parts, new: &Parts) -> Option<Change> {
    let (old, new) = (&old.limits, &new.limits);
    let change = compare(Place::Limits, Some(old), Some(new), fields::limits)?;
    Some(Change { effects: effect::of_limits(old, new), ..change })
}

/// Changes of routes, which are the same if host and prefix are.
fn routes(older: &Config, newer: &Config) -> Vec<Change> {
    let by_match = |config: &Config| -> Map<(SmolStr, SmolStr), Route> {
        // The first of several routes with one host and prefix matches.
        let routes = config.routes().iter().rev();
        routes.map(|it| ((it.host.clone(), it.path_prefix.clone()), it.clone())).collect()
    };
    let (old, new) = (by_match(older), by_match(newer));
    let compare_pair = |(_, old, new): (_, Option<&Route>, Option<&Route>)| {
        let place = Place::from(new.or(old)?);
        let effects = match (old, new) {
            (Some(old), None) => effect::of_removed_route(old, newer),
            (Some(old), Some(new)) => effect::of_changed_route((old, older), (new, newer)),
            (None, _) => Vec::new(),
        };
        match compare(place.clone(), old, new, fields::route) {
            Some(change) => Some(Change { effects, ..change }),
            // Teams that are declared for the first time change routes but none of their fields.
            None if !effects.is_empty() => {
                Some(Change { place, action: Action::Changed, fields: Vec::new(), effects })
            }
            None => None,
        }
    };
    pairs(&old, &new).filter_map(compare_pair).collect()
}

fn services(older: &Config, newer: &Config) -> Vec<Change> {
    pairs(&older.services, &newer.services)
        .filter_map(|(name, old, new)| {
            compare(Place::Service(name.clone()), old, new, fields::service)
        })
        .collect()
}

fn models(older: &Config, newer: &Config) -> Vec<Change> {
    let by_name = |config: &Config| -> Map<(SmolStr, SmolStr), Model> {
        let of_service = |(service, it): (&SmolStr, &Service)| -> Vec<_> {
            // The first of several models with one name counts.
            let models = it.engine.iter().flat_map(|engine| engine.models.iter().rev());
            models.map(|model| ((service.clone(), model.name.clone()), model.clone())).collect()
        };
        config.services.iter().flat_map(of_service).collect()
    };
    pairs(&by_name(older), &by_name(newer))
        .filter_map(|((service, name), old, new)| {
            let place = Place::Model { service: service.clone(), name: name.clone() };
            compare(place, old, new, fields::model)
        })
        .collect()
}

fn teams(old: &Parts, new: &Parts) -> Vec<Change> {
    let by_name = |parts: &Parts| -> Map<SmolStr, Team> {
        let teams = parts.teams.iter().flatten();
        teams.map(|(team, _)| (team.name.clone(), team.clone())).collect()
    };
    pairs(&by_name(old), &by_name(new))
        .filter_map(|(name, old, new)| compare(Place::Team(name.clone()), old, new, fields::team))
        .collect()
}

/// Changes of the keys, each with the team that requests with it count for.
fn keys(old: &Parts, new: &Parts) -> Vec<Change> {
    let owners = |parts: &Parts| -> Map<SmolStr, SmolStr> {
        let teams = parts.teams.as_deref().unwrap_or_default();
        let owner = |key: &SmolStr| Some((key.clone(), team::last_owner(teams, key)?.name.clone()));
        teams.iter().flat_map(|(_, keys)| keys).filter_map(owner).collect()
    };
    let needs_keys = new.teams.is_some();
    pairs(&owners(old), &owners(new))
        .filter_map(|(key, old, new)| {
            let place = Place::Key(key::hash(key));
            let change = compare(place, old, new, |team| vec![("team", team.clone())])?;
            let effects = match (old, new) {
                (Some(_), None) if needs_keys => vec![Effect::KeyWithdrawn],
                (Some(_), Some(team)) => vec![Effect::KeyMoved(team.clone())],
                _ => Vec::new(),
            };
            Some(Change { effects, ..change })
        })
        .collect()
}
