//! Checks of a gateway's configuration.

use mgw_fleet::config::{Limits, Parts};

use crate::finding::{Finding, Kind};
use crate::place::Place;
use crate::{route, service, team};

/// The version of the configuration in force.
pub type Version = u64;

/// Returns what is wrong with a configuration that the parser accepts: first the whole, then routes,
/// services and teams in their order.
pub fn check(parts: &Parts, in_force: Option<Version>) -> Vec<Finding> {
    let version = parts.version;
    let stale = in_force.filter(|in_force| version <= *in_force);
    let mut findings: Vec<Finding> = stale
        .map(|in_force| Finding::new(Place::Configuration, Kind::NotNewer { version, in_force }))
        .into_iter()
        .collect();
    findings.extend(check_limits(&parts.limits));
    findings.extend(route::check(parts));
    findings.extend(service::check(parts));
    findings.extend(team::check(parts));
    findings
}

fn check_limits(limits: &Limits) -> impl Iterator<Item = Finding> {
    let Limits { max_header_bytes, max_body_bytes: _, header_timeout, idle_timeout } = *limits;
    let zero = [
        ("the maximum size of a head", max_header_bytes == 0),
        ("the time limit of a head", header_timeout.is_zero()),
        ("the time limit of idle connections and of bodies", idle_timeout.is_zero()),
    ];
    zero.into_iter()
        .filter(|(_, is_zero)| *is_zero)
        .map(|(name, _)| Finding::new(Place::Limits, Kind::ZeroLimit(name)))
}
