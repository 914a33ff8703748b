//! Fair shares of teams where room is short.
//!
//! Each entry sees a random part of each team's callers, so it decides by what it sees itself. The
//! shares are weighted max-min: a team that sends no more than its usual part gets all of it, and
//! what some do not use is divided among the others by what they usually send.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::admission::meter::Meter;

/// Half-life of what a team sends now.
const RECENT_HALF_LIFE: Duration = Duration::from_secs(1);

/// Half-life of what a team usually sends.
const USUAL_HALF_LIFE: Duration = Duration::from_secs(20);

/// Requests per second by which a team may exceed its share. An entry sees few requests of most
/// teams, so a small excess may be chance.
const TOLERANCE: f64 = 2.0;

/// Usual requests per second of a team that has just begun to send.
const MIN_USUAL: f64 = 0.1;

/// Maximum number of teams that are told apart.
const MAX_TEAMS: usize = 1_024;

/// What a team sends.
#[derive(Clone, Copy, Debug)]
struct Demand {
    recent: Meter,
    usual: Meter,
}

/// The demand of the teams for one pool at this entry.
#[derive(Clone, Debug, Default)]
pub struct Table {
    teams: Map<SmolStr, Demand>,
}

impl Table {
    /// Counts a request of `team`.
    pub fn record(&mut self, team: &SmolStr, now: Instant) {
        if self.teams.len() >= MAX_TEAMS && self.teams.get(team).is_none() {
            return;
        }
        let new = || Demand {
            recent: Meter::new(RECENT_HALF_LIFE, now),
            usual: Meter::new(USUAL_HALF_LIFE, now),
        };
        let demand = self.teams.get_or_insert_with(team.clone(), new);
        demand.recent.record(now);
        demand.usual.record(now);
    }

    /// Requests per second of all teams.
    pub fn total(&self, now: Instant) -> f64 {
        self.teams.iter().map(|(_, it)| it.recent.rate(now)).sum()
    }

    /// Whether `team` sends more than its share of `capacity` requests per second, and another team
    /// that sends anything does not: otherwise there is none that it takes room from.
    pub fn is_over(&self, team: &SmolStr, capacity: f64, now: Instant) -> bool {
        let Some(demand) = self.teams.get(team) else { return false };
        let level = self.level(capacity, now);
        let excess = |it: &Demand| it.recent.rate(now) - level * usual(it, now);
        let is_within = |it: &Demand| it.recent.rate(now) >= MIN_USUAL && excess(it) <= 0.0;
        excess(demand) > TOLERANCE && self.teams.iter().any(|(_, it)| is_within(it))
    }

    /// The multiple of its usual demand that each team may send; infinite if all demand fits.
    fn level(&self, capacity: f64, now: Instant) -> f64 {
        let mut demands: Vec<(f64, f64)> =
            self.teams.iter().map(|(_, it)| (it.recent.rate(now), usual(it, now))).collect();
        let ratio = |(recent, usual): &(f64, f64)| recent / usual;
        demands.sort_by(|one, other| ratio(one).total_cmp(&ratio(other)));
        let mut left = capacity;
        let mut weight: f64 = demands.iter().map(|(_, usual)| usual).sum();
        for (recent, usual) in demands {
            let level = left / weight;
            if recent > level * usual {
                return level;
            }
            left -= recent;
            weight -= usual;
        }
        f64::INFINITY
    }
}

/// Requests per second that a team usually sends.
fn usual(demand: &Demand, now: Instant) -> f64 {
    demand.usual.rate(now).max(MIN_USUAL)
}
