//! Checks of teams and their keys.

use mgw_fleet::config::{Parts, Team};
use mgw_sheet::key;
use smol_str::SmolStr;

use crate::finding::{Finding, Kind};
use crate::place::Place;

/// Returns the findings of all teams.
pub(crate) fn check(parts: &Parts) -> Vec<Finding> {
    let teams = parts.teams.as_deref().unwrap_or_default();
    let mut findings = Vec::new();
    for (index, (team, keys)) in teams.iter().enumerate() {
        let mut report = |kind| findings.push(Finding::new(Place::Team(team.name.clone()), kind));
        if teams[..index].iter().any(|(earlier, _)| earlier.name == team.name) {
            report(Kind::Repeated);
        }
        if keys.is_empty() {
            report(Kind::NoKeys);
        }
        for key in keys {
            if let Some(owner) = last_owner(&teams[index + 1..], key) {
                let (fingerprint, team) = (key::hash(key), owner.name.clone());
                report(Kind::SharedKey { fingerprint, team });
            }
        }
    }
    findings
}

/// The last of the `teams` that has the key: a key counts for the last team that lists it.
pub(crate) fn last_owner<'a>(teams: &'a [(Team, Vec<SmolStr>)], key: &SmolStr) -> Option<&'a Team> {
    teams.iter().rev().find(|(_, keys)| keys.contains(key)).map(|(team, _)| team)
}
