//! Checks of routes: those that never match, times that contradict each other, and services.

use mgw_fleet::attempt;
use mgw_fleet::config::{Config, Parts, Route};
use smol_str::{SmolStr, format_smolstr};

use crate::finding::{Finding, Kind};

/// Characters that the path of a request cannot contain, as they end it or the request line.
const NOT_IN_PATHS: [char; 3] = ['?', '#', ' '];

/// Returns the findings of all routes.
pub(crate) fn check(parts: &Parts) -> Vec<Finding> {
    let lookup = Lookup::new(&parts.routes);
    let has_keys = match &parts.teams {
        Some(teams) => teams.iter().any(|(_, keys)| !keys.is_empty()),
        None => true,
    };
    let mut findings = Vec::new();
    for (index, route) in parts.routes.iter().enumerate() {
        let mut report = |kind| findings.push(Finding::new(route, kind));
        if let Some(kind) = lookup.mismatch(index, &parts.routes) {
            report(kind);
        }
        times(route).into_iter().for_each(&mut report);
        services(route, parts).into_iter().for_each(&mut report);
        if !has_keys && !route.allow_anonymous {
            report(Kind::NoValidKey);
        }
    }
    findings
}

/// The gateway's lookup of routes, in which each route is named by its index.
struct Lookup(Config);

impl Lookup {
    fn new(routes: &[Route]) -> Self {
        let named = |(index, route): (usize, &Route)| Route {
            name: format_smolstr!("{index}"),
            ..route.clone()
        };
        let routes = routes.iter().enumerate().map(named).collect();
        Self(Config::new(Parts { routes, ..Parts::default() }))
    }

    /// Why the route with the `index` never matches. The longest prefix wins, so a route that matches
    /// any path matches the one that equals its prefix.
    fn mismatch(&self, index: usize, routes: &[Route]) -> Option<Kind> {
        let route = &routes[index];
        let prefix = route.path_prefix.as_str();
        if !(prefix.is_empty() || prefix.starts_with('/')) || prefix.contains(NOT_IN_PATHS) {
            return Some(Kind::UnmatchedPath);
        }
        let Some(found) = self.0.route(&route.host, prefix) else {
            return Some(Kind::UnmatchedHost);
        };
        let found = found.name.parse().unwrap_or(index);
        let by = &routes[found];
        match found == index {
            true => None,
            false if by.host == route.host => Some(Kind::Shadowed { by: by.name.clone() }),
            false => Some(Kind::UnmatchedHost),
        }
    }
}

/// Contradictions between the times of a route.
fn times(route: &Route) -> Vec<Kind> {
    let Route { timeout, latency_target: target, gap_target, max_attempts: attempts, .. } = *route;
    if timeout.is_zero() {
        return vec![Kind::ZeroTimeout];
    }
    let mut kinds = Vec::new();
    if target > timeout {
        kinds.push(Kind::TargetAboveTimeout { target, timeout });
    }
    match gap_target {
        Some(_) if !route.kind.is_stream() => kinds.push(Kind::GapWithoutStream),
        Some(gap) if gap > timeout => kinds.push(Kind::GapAboveTimeout { gap, timeout }),
        Some(_) | None => {}
    }
    if let Some(silence) = attempt::response_timeout(route)
        && silence.saturating_mul(attempts.saturating_sub(1)) >= timeout
    {
        kinds.push(Kind::AttemptsAboveTimeout { attempts, silence, timeout });
    }
    kinds
}

/// Services of a route that do not exist or get no requests.
fn services(route: &Route, parts: &Parts) -> Vec<Kind> {
    let is_known = |name: &SmolStr| parts.services.iter().any(|(known, _)| known == name);
    let unknown = route.services.iter().filter(|(name, _)| !is_known(name));
    let mut kinds: Vec<Kind> =
        unknown.map(|(name, _)| Kind::UnknownService(name.clone())).collect();
    let zero = || route.services.iter().filter(|(_, weight)| *weight == 0);
    match route.services.first() {
        Some((service, _)) if zero().count() == route.services.len() => {
            kinds.push(Kind::ZeroWeights { service: service.clone() });
        }
        _ => kinds.extend(zero().map(|(name, _)| Kind::ZeroWeight(name.clone()))),
    }
    kinds
}
