//! Tests of the retry budgets.

mod common;

use std::time::Duration;

use common::at;
use mgw_route::retry::{Error, Kind, Options, Request, Table};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn request() -> Request {
    Request {
        kind: Kind::Retry,
        idempotent: true,
        written: true,
        attempts: 1,
        deadline: at(u64::MAX / 1_000),
        expected_duration: Duration::from_millis(100),
    }
}

/// Options without a minimum number of retries, so that only the ratio limits them.
fn without_min_retries() -> Options {
    Options { min_retries: 0, ..Options::default() }
}

/// Guards against a team with little traffic whose requests can never be retried, and against the
/// minimum retries of many teams that add up to more than the entry's.
#[test]
fn min_retries_serve_quiet_teams_and_bound_their_sum() {
    let mut table = Table::new(Options::default());
    table.count_request("quiet", at(0));
    assert_eq!(table.withdraw("quiet", &request(), at(0)), Ok(()));
    let teams: Vec<String> = (0..20).map(|number| format!("t{number}")).collect();
    let mut allowed = 1;
    for team in &teams {
        table.count_request(team, at(0));
        allowed += (0..50).filter(|_| table.withdraw(team, &request(), at(0)).is_ok()).count();
    }
    assert_eq!(allowed, 30, "one retry per second over the window of 30 s");
    assert_eq!(table.withdraw("quiet", &request(), at(0)), Err(Error::EntryBudget));
}

/// Guards against retry amplification when every request fails, after a pause in the traffic, and
/// when one team causes most failures.
#[test]
fn retries_never_exceed_the_budget() {
    let mut table = Table::new(without_min_retries());
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
            match table.withdraw(name, &Request { attempts, ..request() }, at(now)) {
                Ok(()) => retries[team] += 1,
                Err(_) => break,
            }
        }
        assert!(retries[0] + retries[1] <= (requests[0] + requests[1]) / 10 + 1);
        assert!(retries[team] <= requests[team] / 10 + 1, "{retries:?} of {requests:?}");
    }
    assert!(retries[0] + retries[1] > 1_900, "{retries:?}");
}

/// Guards against a team that cannot retry because another team spent its budget, and against a
/// budget from requests that have left the window.
#[test]
fn budgets_are_per_team_and_expire() {
    let mut table = Table::new(without_min_retries());
    for _ in 0..100 {
        table.count_request("a", at(0));
        table.count_request("b", at(0));
    }
    let allowed = (0..50).filter(|_| table.withdraw("a", &request(), at(0)).is_ok()).count();
    assert_eq!(allowed, 10);
    assert_eq!(table.withdraw("a", &request(), at(0)), Err(Error::TeamBudget));
    assert_eq!(table.withdraw("b", &request(), at(0)), Ok(()));
    assert_eq!(table.withdraw("b", &request(), at(60_000)), Err(Error::TeamBudget));
    assert_eq!(table.withdraw("unknown", &request(), at(0)), Err(Error::TeamBudget));
}

/// Guards against a second execution of a call that is not idempotent, and against attempts that
/// cannot end before the deadline.
#[test]
fn calls_that_must_not_or_need_not_be_repeated_are_refused() {
    let mut table = Table::new(without_min_retries());
    for _ in 0..100 {
        table.count_request("a", at(0));
    }
    let mut try_withdraw = |request: Request| table.withdraw("a", &request, at(0));
    let call = Request { idempotent: false, ..request() };
    assert_eq!(try_withdraw(call), Err(Error::NotRepeatable));
    assert_eq!(try_withdraw(Request { written: false, ..call }), Ok(()));
    let hedge = Request { kind: Kind::Hedge, written: false, ..call };
    assert_eq!(try_withdraw(hedge), Err(Error::NotRepeatable));
    assert_eq!(try_withdraw(Request { deadline: at(100), ..request() }), Err(Error::Deadline));
    assert_eq!(try_withdraw(Request { attempts: 3, ..request() }), Err(Error::TooManyAttempts));
    let allowed = (0..50)
        .filter(|_| try_withdraw(Request { kind: Kind::Hedge, ..request() }).is_ok())
        .count();
    assert_eq!(allowed, 9, "hedges and retries use the same budget");
}
