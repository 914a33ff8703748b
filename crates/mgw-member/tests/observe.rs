//! Observer assignment and the directory as entries come and go.

mod common;

use common::{at, beat, view};
use mgw_member::directory::{self, FULL_WEIGHT, TTL_MS};
use mgw_member::observe::{self, Assignment, Candidate, Placement, Unit};
use mgw_member::view::{Options, View};
use mgw_wire::frame::{Heartbeat, Phase};
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn candidates(entries: impl Iterator<Item = u64>) -> Vec<Candidate> {
    entries
        .map(|entry| Candidate { incarnation: entry, zone: format!("zone-{}", entry % 3).into() })
        .collect()
}

fn places() -> Vec<Placement> {
    let place = |number: u64| Placement {
        unit: Unit::Group(number),
        zone: format!("zone-{}", number % 4).into(),
    };
    (0..300).map(place).collect()
}

/// Guards against a wave of re-assignment, which would age all summaries at once.
#[test]
fn observers_move_minimally_and_stay_in_the_zone() {
    let all = candidates(1..=30);
    let without = candidates((1..=30).filter(|&entry| entry != 7));
    let mut moved = 0;
    for place in places() {
        let (before, after) =
            (observe::observers(&place, &all), observe::observers(&place, &without));
        assert_eq!((before.len(), after.len()), (2, 2));
        assert_ne!(before[0], before[1]);
        let kept = before.iter().filter(|entry| after.contains(entry)).count();
        assert_eq!(kept, if before.contains(&7) { 1 } else { 2 });
        moved += 2 - kept;
        if place.zone != "zone-3" {
            let local = |entry: &u64| format!("zone-{}", entry % 3) == place.zone;
            assert!(before.iter().all(local));
        }
    }
    assert!((1..60).contains(&moved), "{moved} of 600 moved, about 20 expected");
    let alone = candidates(std::iter::once(5));
    assert_eq!(observe::observers(&places()[0], &alone), [5]);
    assert!(observe::observers(&places()[0], &[]).is_empty());
}

/// Guards against a unit that nobody observes because entries disagree on the result.
#[test]
fn assignments_of_all_entries_cover_each_unit_twice() {
    let mut total = 0;
    for own in 1..=9 {
        let mut assignment = Assignment::default();
        assert!(assignment.update(own, places(), candidates(1..=9)));
        assert!(!assignment.update(own, places(), candidates(1..=9)));
        assert!(assignment.units().iter().all(|unit| assignment.contains(unit)));
        total += assignment.units().len();
    }
    assert_eq!(total, 600);
    let mut view = view(2..6);
    view.merge(&Heartbeat { phase: Phase::Starting, ..beat(3, 11) }, at(1_000));
    let live: Vec<u64> =
        observe::candidates(&view, at(2_000)).iter().map(|entry| entry.incarnation).collect();
    assert_eq!(live, [1, 2, 4, 5]);
}

/// Guards against callers that are sent to leaving, starting or dead entries.
#[test]
fn the_directory_lists_serving_entries_with_the_own_zone_first() {
    let mut view = view(2..10);
    view.merge(&Heartbeat { phase: Phase::Draining, ..beat(3, 11) }, at(2_000));
    view.merge(&Heartbeat { phase: Phase::Starting, ..beat(4, 11) }, at(2_000));
    for other in 5..10 {
        view.merge(&beat(other, 11), at(9_000));
    }
    let mut random = SmallRng::seed_from_u64(1);
    let answer = directory::answer(&view, Some("zone-2"), at(10_900), &mut random);
    assert_eq!(answer.ttl_ms, TTL_MS);
    let zones: Vec<&str> = answer.entries.iter().map(|line| line.zone.as_str()).collect();
    assert_eq!(zones.len(), 7);
    assert_eq!(zones[..2], ["zone-2", "zone-2"]);
    let last = &answer.entries[6];
    assert_eq!((last.address.as_str(), last.weight), ("10.0.0.2:8080", 1), "suspect: last");
    assert_eq!(answer.entries[0].weight, FULL_WEIGHT);
    assert!(answer.entries.iter().any(|line| line.key_prefix == "mgw1.0000000000000009."));
    let later = directory::answer(&view, None, at(11_100), &mut random);
    assert!(later.entries.iter().all(|line| line.address != "10.0.0.2:8080"));
}

/// Guards against a surge on a new entry.
#[test]
fn a_new_entry_gets_calls_in_proportion_to_its_ramp() {
    let mut view = view(2..10);
    let new = Heartbeat { uptime_ms: 0, zone: "zone-1".into(), ..beat(40, 1) };
    view.merge(&new, at(1_000));
    let first = |view: &View, zone, now| {
        let mut random = SmallRng::seed_from_u64(3);
        let mut count = 0;
        for _ in 0..4_000 {
            let answer = directory::answer(view, zone, now, &mut random);
            count += usize::from(answer.entries[0].address == "10.0.0.40:8080");
        }
        count
    };
    let weight = |now| {
        let answer = directory::answer(&view, None, now, &mut SmallRng::seed_from_u64(3));
        answer.entries.iter().find(|line| line.address == "10.0.0.40:8080").unwrap().weight
    };
    assert_eq!((weight(at(1_000)), weight(at(3_999))), (1, 9));
    // Three others of the zone with weight 100: 9 of 309 calls.
    let share = first(&view, Some("zone-1"), at(3_999));
    assert!((70..180).contains(&share), "{share} of 4,000 calls");

    // After the loss of its zone, a single new entry must not get all calls of the zone.
    let mut alone = View::new(beat(3, 1), Options::default(), at(1_000));
    for other in [6, 9, 2, 5, 8] {
        alone.merge(&beat(other, 1), at(1_000));
    }
    alone.merge(&new, at(1_000));
    let share = first(&alone, Some("zone-1"), at(3_999));
    assert!(share < 150, "{share} of 4,000 calls");
}

/// Guards against the same order for all callers.
#[test]
fn calls_spread_evenly_over_entries_of_equal_weight() {
    let view = view(2..10);
    let mut random = SmallRng::seed_from_u64(8);
    let mut counts = [0; 10];
    for _ in 0..9_000 {
        let answer = directory::answer(&view, None, at(2_000), &mut random);
        let number: usize = answer.entries[0].address[7..8].parse().unwrap();
        counts[number] += 1;
    }
    assert!(counts[1..].iter().all(|count| (850..1_150).contains(count)), "{counts:?}");
}

/// Guards against an answer of 60 KB with a large fleet, and against a cut that leaves some entries
/// without callers.
#[test]
fn a_large_fleet_is_answered_with_a_changing_part() {
    let view = view(2..121);
    let mut random = SmallRng::seed_from_u64(5);
    let mut addresses = Vec::new();
    for _ in 0..400 {
        let answer = directory::answer(&view, Some("zone-1"), at(2_000), &mut random);
        assert_eq!(answer.entries.len(), directory::MAX_ENTRIES);
        assert!(answer.entries.iter().all(|line| line.zone == "zone-1"));
        addresses.extend(answer.entries.into_iter().map(|line| line.address));
    }
    addresses.sort_unstable();
    addresses.dedup();
    let zone: Vec<u64> = (1..121).filter(|entry| entry % 3 == 1).collect();
    assert_eq!(addresses.len(), zone.len());
}
