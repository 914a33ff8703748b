//! Tests of the retry budgets.

mod common;

use std::time::Duration;

use common::at;
use mgw_route::retry::{Error, Kind, Options, Request, Table};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn ask() -> Request {
    Request {
        kind: Kind::Retry,
        idempotent: true,
        written: true,
        attempts: 1,
        deadline: at(u64::MAX / 1_000),
        expected_duration: Duration::from_millis(100),
    }
}

/// Budgets without a floor, so that the share alone decides.
fn shares_only() -> Options {
    Options { min_retries: 0, ..Options::default() }
}

/// Guards against a quiet team whose request can never be retried, and against floors of many teams
/// that add up beyond the entry's.
#[test]
fn the_floor_serves_quiet_teams_and_bounds_their_sum() {
    let mut table = Table::new(Options::default());
    table.count_request("quiet", at(0));
    assert_eq!(table.withdraw("quiet", &ask(), at(0)), Ok(()));
    let teams: Vec<String> = (0..20).map(|number| format!("t{number}")).collect();
    let mut drawn = 1;
    for team in &teams {
        table.count_request(team, at(0));
        drawn += (0..50).filter(|_| table.withdraw(team, &ask(), at(0)).is_ok()).count();
    }
    assert_eq!(drawn, 30, "one retry a second over the window of 30 s");
    assert_eq!(table.withdraw("quiet", &ask(), at(0)), Err(Error::EntryBudget));
}

/// Guards against retry amplification when every request fails, after a quiet time, and with one
/// team causing most failures.
#[test]
fn retries_never_exceed_the_budget() {
    let mut table = Table::new(shares_only());
    let mut random = SmallRng::seed_from_u64(11);
    let (mut requests, mut retries) = ([0u32; 2], [0u32; 2]);
    let mut now = 0;
    for step in 0..20_000 {
        now += if step % 5_000 == 4_999 { 120_000 } else { random.random_range(0..20) };
        let team = usize::from(random.random_range(0..10) == 0);
        let name = ["loud", "quiet"][team];
        table.count_request(name, at(now));
        requests[team] += 1;
        for attempts in 1..6 {
            match table.withdraw(name, &Request { attempts, ..ask() }, at(now)) {
                Ok(()) => retries[team] += 1,
                Err(_) => break,
            }
        }
        assert!(retries[0] + retries[1] <= (requests[0] + requests[1]) / 10 + 1);
        assert!(retries[team] <= requests[team] / 10 + 1, "{retries:?} of {requests:?}");
    }
    assert!(retries[0] + retries[1] > 1_900, "{retries:?}");
}

/// Guards against a team without failures that cannot retry because another one spent its budget,
/// and against a budget saved up from long ago.
#[test]
fn budgets_are_per_team_and_expire() {
    let mut table = Table::new(shares_only());
    for _ in 0..100 {
        table.count_request("a", at(0));
        table.count_request("b", at(0));
    }
    let drawn = (0..50).filter(|_| table.withdraw("a", &ask(), at(0)).is_ok()).count();
    assert_eq!(drawn, 10);
    assert_eq!(table.withdraw("a", &ask(), at(0)), Err(Error::TeamBudget));
    assert_eq!(table.withdraw("b", &ask(), at(0)), Ok(()));
    assert_eq!(table.withdraw("b", &ask(), at(60_000)), Err(Error::TeamBudget));
    assert_eq!(table.withdraw("unknown", &ask(), at(0)), Err(Error::TeamBudget));
}

/// Guards against a second execution of a call that is not idempotent, and against attempts that
/// cannot end in time.
#[test]
fn calls_that_must_not_or_need_not_be_repeated_are_refused() {
    let mut table = Table::new(shares_only());
    for _ in 0..100 {
        table.count_request("a", at(0));
    }
    let mut draw = |ask: Request| table.withdraw("a", &ask, at(0));
    let call = Request { idempotent: false, ..ask() };
    assert_eq!(draw(call), Err(Error::NotRepeatable));
    assert_eq!(draw(Request { written: false, ..call }), Ok(()));
    let hedge = Request { kind: Kind::Hedge, written: false, ..call };
    assert_eq!(draw(hedge), Err(Error::NotRepeatable));
    assert_eq!(draw(Request { deadline: at(100), ..ask() }), Err(Error::Deadline));
    assert_eq!(draw(Request { attempts: 3, ..ask() }), Err(Error::TooManyAttempts));
    let drawn = (0..50).filter(|_| draw(Request { kind: Kind::Hedge, ..ask() }).is_ok()).count();
    assert_eq!(drawn, 9, "hedges and retries draw on the same budget");
}
