//! Tests of the limits of servers that several entries share, in virtual time.

mod common;

use std::time::Duration;

use common::at;
use mgw_base::time::Instant;
use mgw_fleet::rate::{Bucket, Statement, share};
use mgw_fleet::rate_report::{self, Report, Server};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Milliseconds between the reports of an entry.
const REPORT_INTERVAL: u64 = 100;

/// Milliseconds until a report arrives.
const REPORT_DELAY: u64 = 10;

/// Milliseconds that a run simulates.
const RUN_TIME: u64 = 30_000;

/// Milliseconds of the span in which requests are counted.
const WINDOW: u64 = 4_000;

fn limited(rate: f64) -> Bucket {
    let mut bucket = Bucket::default();
    assert!(bucket.apply(Statement { rate: Some(rate), at: at(0) }, at(0)));
    bucket
}

/// Runs entries whose requests for one server with the limit `rate` arrive at `demands` a second.
/// With `hears`, they get each other's reports. Returns when requests were sent, in milliseconds.
fn simulate(rate: f64, demands: &[f64], hears: bool, seed: u64) -> Vec<u64> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut buckets: Vec<Bucket> = demands.iter().map(|_| limited(rate)).collect();
    let heard = if hears { demands.len() - 1 } else { 0 };
    let share = share(heard, demands.len());
    let mut reports: Vec<(u64, usize, u32)> = Vec::new();
    let mut sent = Vec::new();
    for ms in 0..RUN_TIME {
        let now = at(ms);
        for (index, demand) in demands.iter().enumerate() {
            if random.random::<f64>() < demand / 1_000.0 && buckets[index].admits(share, now) {
                buckets[index].record_sent(share, now);
                sent.push(ms);
            }
            // Entries do not report at the same time.
            if (ms + 37 * index as u64).is_multiple_of(REPORT_INTERVAL) {
                let (_, count) = buckets[index].news(now).expect("the server is limited");
                reports.push((ms + REPORT_DELAY, index, count));
            }
        }
        let (due, later) = reports.into_iter().partition(|(arrival, ..)| *arrival <= ms);
        reports = later;
        let due: Vec<(u64, usize, u32)> = due;
        for (_, sender, count) in due.into_iter().filter(|_| hears) {
            for (index, bucket) in buckets.iter_mut().enumerate() {
                if index != sender {
                    bucket.record_peer(sender as u64, count, share, now);
                }
            }
        }
    }
    sent
}

/// The most requests in a span of [`WINDOW`].
fn peak(sent: &[u64]) -> usize {
    let count = |from: u64| sent.iter().filter(|ms| (from..from + WINDOW).contains(*ms)).count();
    sent.iter().map(|from| count(*from)).max().unwrap_or(0)
}

fn mean_rate(sent: &[u64]) -> f64 {
    sent.len() as f64 * 1_000.0 / RUN_TIME as f64
}

/// Guards against a server that gets more than its limit from entries that learn late of each
/// other's requests, and against one that gets fewer because the demand is uneven.
#[test]
fn entries_use_a_limit_fully_but_not_more() {
    for (rate, demands) in [
        (3.4, vec![2.0; 9]),
        (3.4, vec![20.0, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1, 0.1]),
        (0.5, vec![2.0; 9]),
        (40.0, vec![15.0; 9]),
        (10.0, vec![3.0; 24]),
    ] {
        for seed in 0..8 {
            let sent = simulate(rate, &demands, true, seed);
            let allowed = 1.5 * rate * WINDOW as f64 / 1_000.0 + 5.0;
            assert!(peak(&sent) as f64 <= allowed, "{rate}: {} of {allowed}", peak(&sent));
            assert!(mean_rate(&sent) >= 0.85 * rate, "{rate}: {:.2}", mean_rate(&sent));
        }
    }
}

/// Guards against entries that use the whole limit each while they do not hear of each other.
#[test]
fn entries_that_hear_nothing_use_their_share_only() {
    for rate in [3.4, 40.0] {
        let sent = simulate(rate, &[10.0; 9], false, 1);
        let allowed = 1.5 * rate * WINDOW as f64 / 1_000.0 + 5.0;
        assert!(peak(&sent) as f64 <= allowed, "{rate}: {} of {allowed}", peak(&sent));
    }
    assert_eq!((share(8, 9), share(0, 9), share(3, 0)), (1.0, 1.0 / 9.0, 1.0));
}

/// Guards against a limit that comes back with a late report of a peer after the server has ended
/// it, and against a server that is never asked again.
#[test]
fn only_newer_statements_change_a_limit() {
    let mut bucket = Bucket::default();
    let statement = |rate, ms| Statement { rate, at: at(ms) };
    assert!(!bucket.apply(statement(None, 100), at(100)));
    assert!(bucket.news(at(100)).is_none(), "the server never had a limit");
    assert!(bucket.apply(statement(Some(2.0), 200), at(200)));
    assert!(!bucket.admits(1.0, at(200)) && bucket.admits(1.0, at(700)));
    assert!(bucket.apply(statement(None, 900), at(900)));
    assert!(!bucket.apply(statement(Some(2.0), 800), at(950)));
    assert!(bucket.admits(1.0, at(950)) && bucket.rate().is_none());
    let known = bucket.news(at(1_000)).map(|(statement, _)| statement);
    assert_eq!(known, Some(statement(None, 900)));
    assert!(bucket.news(at(3_000)).is_none());
    let mut closed = limited(0.0);
    assert!(!closed.admits(1.0, at(1_000)) && closed.admits(1.0, at(6_000)));
    closed.record_sent(1.0, at(6_000));
    assert!(!closed.admits(1.0, at(7_000)));
}

/// Guards against requests of a peer from before its first report, and from before a report that
/// was lost, that are counted wrongly.
#[test]
fn requests_of_peers_are_counted_once() {
    let mut bucket = limited(10.0);
    let now: Instant = at(1_000);
    bucket.record_peer(7, 500, 1.0, now);
    assert!(bucket.admits(1.0, now));
    bucket.record_peer(7, 506, 1.0, now);
    assert!(!bucket.admits(1.0, now), "six requests of six");
    bucket.record_peer(7, 506, 1.0, now);
    assert!(bucket.admits(1.0, now + Duration::from_millis(100)));
}

/// Guards against reports that exceed a datagram or that another kind of datagram is taken for.
#[test]
fn reports_fit_into_datagrams() {
    let server =
        Server { target: u64::MAX, millirate: Some(u32::MAX), age_ms: u32::MAX, sent: u32::MAX };
    let report = Report { sender: u64::MAX, servers: vec![server; rate_report::MAX_ITEMS] };
    let bytes = rate_report::encode(&report).expect("encode");
    assert!(bytes.len() <= mgw_fleet::peer_load::MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(rate_report::decode(&bytes), Some(report));
    assert_eq!(mgw_fleet::peer_load::decode(&bytes), None);
    assert_eq!(mgw_fleet::crash_report::decode(&bytes), None);
}
