//! Placement under uneven load, and what entries tell each other.

mod common;

use common::{at, record};
use mgw_fleet::place::{Candidate, Error, Load, Options, choose};
use mgw_fleet::roster::{Roster, ServerKey};
use mgw_fleet::share::{self, Planning, Share, Table};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn ids(count: usize) -> Vec<ServerKey> {
    let mut roster = Roster::default();
    for it in 0..count {
        roster.upsert(&format!("s{it}"), record(0), at(0));
    }
    roster.iter().map(|(id, _)| id).collect()
}

fn candidate<'a>(id: ServerKey, load: &'a Load, requests: f64) -> Candidate<'a> {
    Candidate { id, load, requests, slots: 17, is_near: false, is_tried: false }
}

/// Guards against groups that queue while others are idle: eight entries that see each other's
/// counts fill ten groups evenly.
#[test]
fn fills_targets_evenly() {
    let ids = ids(10);
    let load = Load::default();
    let mut counts = vec![0.0; ids.len()];
    let mut random = SmallRng::seed_from_u64(7);
    for _ in 0..100 {
        let candidates: Vec<_> =
            ids.iter().zip(&counts).map(|(id, count)| candidate(*id, &load, *count)).collect();
        let chosen = choose(&candidates, &Options::default(), at(0), &mut random);
        let chosen = chosen.expect("room");
        let place = ids.iter().position(|id| *id == chosen).expect("a candidate");
        counts[place] += 1.0;
    }
    assert!(counts.iter().all(|count| (7.0..=13.0).contains(count)), "{counts:?}");
}

/// Guards against requests that wait at full groups until their time is over.
#[test]
fn refuses_when_all_targets_are_full() {
    let ids = ids(2);
    let load = Load::default();
    let full = 17.0 + Options::default().waiting;
    let candidates = [candidate(ids[0], &load, full), candidate(ids[1], &load, full)];
    let mut random = SmallRng::seed_from_u64(7);
    let chosen = choose(&candidates, &Options::default(), at(0), &mut random);
    assert_eq!(chosen, Err(Error::Full));
    let none = choose(&[], &Options::default(), at(0), &mut random);
    assert_eq!(none, Err(Error::Absent));
}

/// Guards against new requests at a target that stands still, and against refusals when there is
/// no other.
#[test]
fn avoids_a_target_that_stands_still() {
    let ids = ids(2);
    let mut stalled = Load::default();
    stalled.avoid(at(1_000));
    let sound = Load::default();
    let mut random = SmallRng::seed_from_u64(7);
    let both = [candidate(ids[0], &stalled, 0.0), candidate(ids[1], &sound, 16.0)];
    for _ in 0..20 {
        let chosen = choose(&both, &Options::default(), at(500), &mut random);
        assert_eq!(chosen, Ok(ids[1]));
    }
    let alone = [candidate(ids[0], &stalled, 0.0)];
    assert_eq!(choose(&alone, &Options::default(), at(500), &mut random), Ok(ids[0]));
}

/// Guards against a server that fails most requests and gets its share because it is idle.
#[test]
fn avoids_a_server_that_fails() {
    let ids = ids(2);
    let mut failing = Load::default();
    (0..20).for_each(|_| failing.result(true, at(1_000)));
    let sound = Load::default();
    let both = [candidate(ids[0], &failing, 0.0), candidate(ids[1], &sound, 4.0)];
    let mut random = SmallRng::seed_from_u64(7);
    let chosen = (0..200)
        .filter(|_| choose(&both, &Options::default(), at(1_000), &mut random) == Ok(ids[0]))
        .count();
    assert!(chosen < 80, "{chosen} of 200");
    assert!(failing.failures(at(21_000)) < 0.1, "it is tried again later");
}

/// Guards against counts that are added twice, or that outlive their entry.
#[test]
fn newest_counts_replace_older_ones() {
    let target = share::target("s1");
    let share = |sender, sequence, count| Share {
        sender,
        sequence,
        counts: vec![(target, count)],
        stalled: Vec::new(),
        planning: None,
    };
    let mut table = Table::default();
    table.take(share(1, 2, 5), at(0));
    table.take(share(1, 1, 9), at(10));
    table.take(share(2, 1, 3), at(500));
    assert_eq!(table.requests(target), 8);
    table.tick(at(1_000));
    assert_eq!((table.requests(target), table.len()), (3, 1));
}

/// Guards against datagrams of other senders.
#[test]
fn reads_only_its_own_datagrams() {
    let share = Share {
        sender: 1,
        sequence: 2,
        counts: vec![(3, 4)],
        stalled: vec![5],
        planning: Some(Planning { term: 6, moves: 7, is_blind: false }),
    };
    let bytes = share::encode(&share).expect("encodes");
    assert_eq!(share::decode(&bytes), Some(share));
    assert_eq!(share::decode(&bytes[1..]), None);
    assert_eq!(share::decode(&[1, 255, 255, 255, 255, 255]), None);
}

/// Guards against an estimate that ignores the target's own report when the entries cannot hear
/// each other.
#[test]
fn uses_the_report_when_nobody_tells() {
    let mut load = Load::default();
    load.in_flight = 2;
    load.report(12, at(1_000));
    assert_eq!(load.requests(None, at(1_000)), 12.0);
    assert_eq!(load.requests(Some(1), at(1_000)), 3.0);
    assert!(load.requests(None, at(4_000)) < 5.0, "old reports fade");
}

/// Guards against an entry that takes all others for lost because it is cut off itself.
#[test]
fn silence_counts_only_while_others_are_heard() {
    let share = |sender, sequence| Share {
        sender,
        sequence,
        counts: Vec::new(),
        stalled: Vec::new(),
        planning: None,
    };
    let mut table = Table::default();
    for sender in 1..=4 {
        table.take(share(sender, 1), at(0));
    }
    assert!(!table.has_lost(1, at(2_000)), "nobody is heard");
    table.take(share(2, 2), at(1_900));
    table.take(share(3, 2), at(1_900));
    assert!(table.has_lost(1, at(2_000)));
    assert!(!table.has_lost(9, at(2_000)), "it was never heard");
}
