//! Tests of admission control and of the division of a team's capacity over the entries.

mod common;

use std::time::Duration;

use common::at;
use mgw_route::limit::{Capacity, Demand, Error, Limiter, Options, Request};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

fn capacity(rate: f64) -> Capacity {
    Capacity { rate, tokens: 1e6, concurrency: 1_000 }
}

fn teams(rates: &[(&'static str, f64)]) -> Vec<(SmolStr, Capacity)> {
    rates.iter().map(|(team, rate)| (SmolStr::from(*team), capacity(*rate))).collect()
}

fn request(ms: u64) -> Request {
    Request { priority: 0, tokens: 10, wait: Duration::ZERO, deadline: at(ms + 60_000) }
}

/// Offers `rate` requests per second for `seconds` from `from` (in ms) and returns the number of
/// admitted ones.
fn offer_load(limiter: &mut Limiter, team: &str, rate: u64, from: u64, seconds: u64) -> u64 {
    let mut admitted = 0;
    for step in 0..rate * seconds {
        let ms = from + step * 1_000 / rate;
        if step % rate == 0 {
            limiter.tick(at(ms));
        }
        if let Ok(permit) = limiter.admit(team, &request(ms), at(ms)) {
            admitted += 1;
            limiter.finish(permit, 10, at(ms));
        }
    }
    admitted
}

/// Guards against a team over its capacity that causes requests of other teams to be refused.
#[test]
fn one_team_over_its_capacity_does_not_affect_another() {
    let mut limiter = Limiter::new(Options::default(), at(0));
    limiter.configure(&teams(&[("big", 50.0), ("small", 10.0)]), at(0));
    let (mut big, mut small) = (0, 0);
    for ms in 0..20_000u64 {
        if ms % 1_000 == 0 {
            limiter.tick(at(ms));
        }
        for _ in 0..2 {
            if let Ok(permit) = limiter.admit("big", &request(ms), at(ms)) {
                big += 1;
                limiter.finish(permit, 10, at(ms));
            }
        }
        if ms % 125 == 0 {
            let permit = limiter.admit("small", &request(ms), at(ms)).expect("within its capacity");
            small += 1;
            limiter.finish(permit, 10, at(ms));
        }
    }
    assert_eq!(small, 160);
    assert!((1_000..=1_060).contains(&big), "{big}");
    assert_eq!(limiter.admit("none", &request(0), at(0)), Err(Error::UnknownTeam));
}

/// Guards against a team that uses up the entry's limit of requests in flight.
#[test]
fn one_team_cannot_fill_the_entry() {
    let options = Options { max_in_flight: 20, ..Options::default() };
    let mut limiter = Limiter::new(options, at(0));
    limiter.configure(&teams(&[("big", 1_000.0), ("small", 1_000.0)]), at(0));
    let held: Vec<_> =
        (0..30).filter_map(|_| limiter.admit("big", &request(0), at(0)).ok()).collect();
    assert_eq!(held.len(), 10);
    assert!(matches!(limiter.admit("big", &request(0), at(0)), Err(Error::TeamCapacity { .. })));
    assert!(limiter.admit("small", &request(0), at(0)).is_ok());
    for permit in held {
        limiter.finish(permit, 0, at(1));
    }
    assert!(limiter.admit("big", &request(1), at(1)).is_ok());
}

/// Guards against a team that exceeds its tokens per second with answers longer than estimated.
#[test]
fn tokens_beyond_the_estimate_are_paid_back() {
    let mut limiter = Limiter::new(Options::default(), at(0));
    let capacity = Capacity { rate: 1e3, tokens: 100.0, concurrency: 10 };
    limiter.configure(&[("team".into(), capacity)], at(0));
    let permit = limiter.admit("team", &request(0), at(0)).unwrap();
    // The bucket holds 400 tokens, so its level falls to -400.
    limiter.finish(permit, 800, at(0));
    let refused = limiter.admit("team", &request(0), at(0));
    let Err(Error::TeamCapacity { retry_after }) = refused else { panic!("{refused:?}") };
    assert!(retry_after > Duration::from_secs(4), "{retry_after:?}");
    assert!(limiter.admit("team", &request(3_900), at(3_900)).is_err());
    assert!(limiter.admit("team", &request(4_200), at(4_200)).is_ok());
}

/// Guards against refusals for a small team far below its capacity, which occurred when its bucket
/// at each entry held only one request.
#[test]
fn a_small_team_far_below_its_capacity_is_not_refused() {
    let mut limiter = Limiter::new(Options::default(), at(0));
    let capacity = Capacity { rate: 10.0, tokens: 3_000.0, concurrency: 12 };
    limiter.configure(&[("team".into(), capacity)], at(0));
    let peers: Vec<u64> = (2..=9).collect();
    limiter.set_peers(&peers, at(0));
    let mut random = SmallRng::seed_from_u64(3);
    let (mut arrived, mut refused) = (0, 0);
    let mut in_flight_permits: Vec<(u64, mgw_route::limit::Permit)> = Vec::new();
    for now in (0..600_000).step_by(50) {
        for peer in &peers {
            limiter.heartbeat(*peer, at(now));
        }
        for (_, permit) in in_flight_permits.extract_if(.., |(due, _)| *due <= now) {
            limiter.finish(permit, 200, at(now));
        }
        if now % 1_000 == 0 {
            limiter.tick(at(now));
        }
        // A sixth of the capacity, divided over 9 entries: 0.19 requests per second at this one.
        if random.random_bool(0.0095) {
            arrived += 1;
            match limiter.admit("team", &Request { tokens: 250, ..request(now) }, at(now)) {
                Ok(permit) => in_flight_permits.push((now + 1_500, permit)),
                Err(_) => refused += 1,
            }
        }
    }
    assert!(arrived > 80, "{arrived}");
    assert!(refused * 50 <= arrived, "{refused} of {arrived}");
}

/// Guards against shares of the entries that add up to more than the team's capacity, or to far
/// less.
#[test]
fn shares_follow_the_demand_and_add_up_to_the_capacity() {
    let demand = |requests| Demand { requests, ..Demand::default() };
    let shares = |demands: [u64; 3]| -> Vec<f64> {
        let one = |own: usize| {
            let mut limiter = Limiter::new(Options::default(), at(0));
            limiter.configure(&teams(&[("team", 60.0)]), at(0));
            let peers: Vec<u64> = (0..3).filter(|peer| *peer != own as u64).collect();
            limiter.set_peers(&peers, at(0));
            if demands[own] > 0 {
                offer_load(&mut limiter, "team", demands[own], 0, 10);
            }
            for peer in peers {
                let demand = demand(demands[peer as usize] as f64);
                limiter.report_demand(peer, 1, "team", demand, at(10_000));
                limiter.heartbeat(peer, at(10_000));
            }
            limiter.tick(at(10_000));
            limiter.own_share("team").unwrap().0
        };
        (0..3).map(one).collect()
    };
    for (demands, least) in [([100, 10, 0], 40.0), ([100, 100, 100], 19.0), ([20, 10, 0], 28.0)] {
        let shares = shares(demands);
        let sum: f64 = shares.iter().sum();
        assert!((57.0..=61.0).contains(&sum), "{demands:?}: {shares:?}");
        assert!(shares[0] >= least, "{demands:?}: {shares:?}");
        assert!(shares.iter().all(|share| *share >= 4.9), "{demands:?}: {shares:?}");
    }
}

/// Guards against an entry that claims the whole capacity because it receives no heartbeats.
#[test]
fn silent_peers_get_an_equal_share() {
    let mut limiter = Limiter::new(Options::default(), at(0));
    limiter.configure(&teams(&[("team", 60.0)]), at(0));
    limiter.set_peers(&[1, 2], at(0));
    offer_load(&mut limiter, "team", 200, 0, 5);
    limiter.heartbeat(1, at(5_000));
    limiter.heartbeat(2, at(5_000));
    limiter.tick(at(5_500));
    let alone = limiter.own_share("team").unwrap().0;
    assert!(alone > 45.0, "{alone}");
    offer_load(&mut limiter, "team", 200, 6_000, 20);
    let equal = limiter.own_share("team").unwrap().0;
    assert!((19.0..21.0).contains(&equal), "{equal}");
    // An older report that arrives later must not replace a newer one.
    let demand = |requests| Demand { requests, ..Demand::default() };
    limiter.report_demand(1, 9, "team", demand(400.0), at(26_000));
    limiter.report_demand(1, 8, "team", demand(0.0), at(26_000));
    limiter.report_demand(2, 1, "team", demand(400.0), at(26_000));
    limiter.tick(at(26_001));
    let least = limiter.own_share("team").unwrap().0;
    assert!((5.0..17.0).contains(&least), "{least}");
}

/// Guards against the refusal of interactive requests while batch requests are admitted.
#[test]
fn overload_refuses_the_lowest_priority_first() {
    let options = Options { max_in_flight: 100, team_fill: 1.0, ..Options::default() };
    let mut limiter = Limiter::new(options, at(0));
    limiter.configure(&teams(&[("team", 1e4)]), at(0));
    let mut held = Vec::new();
    let mut counts = [0; 4];
    for priority in [3, 2, 1, 0] {
        while let Ok(permit) = limiter.admit("team", &Request { priority, ..request(0) }, at(0)) {
            counts[usize::from(priority)] += 1;
            held.push(permit);
        }
    }
    assert_eq!(counts, [10, 15, 15, 60]);
    held.truncate(0);

    let mut limiter = Limiter::new(options, at(0));
    limiter.configure(&teams(&[("team", 1e4)]), at(0));
    let wait = Duration::from_millis(1_500);
    let mut admit = |priority, deadline| {
        limiter.admit("team", &Request { priority, wait, deadline, ..request(0) }, at(0)).map(drop)
    };
    assert_eq!(admit(0, at(10_000)), Ok(()));
    assert_eq!(admit(1, at(10_000)), Ok(()));
    assert!(matches!(admit(2, at(10_000)), Err(Error::Overloaded { .. })));
    assert!(matches!(admit(200, at(10_000)), Err(Error::Overloaded { .. })));
    assert_eq!(admit(0, at(1_500)), Err(Error::Deadline));

    // The same limits apply to a wait that becomes known after admission.
    let permit = limiter.admit("team", &Request { priority: 2, ..request(0) }, at(0)).unwrap();
    let late = limiter.check_overload(&Request { priority: 2, wait, ..request(0) }, at(0));
    assert!(matches!(late, Err(Error::Overloaded { .. })));
    assert_eq!(limiter.check_overload(&Request { priority: 1, wait, ..request(0) }, at(0)), Ok(()));
    let before = limiter.in_flight();
    limiter.finish(permit, 0, at(0));
    assert_eq!(limiter.in_flight(), before - 1);
}
