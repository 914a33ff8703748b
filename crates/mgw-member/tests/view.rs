//! The table of entries under loss, delay, replacement and pauses.

mod common;

use common::{at, beat, view};
use mgw_member::view::{Change, NOT_HEARD, Options, Status, View};
use mgw_wire::frame::{Heartbeat, Phase};

/// Guards against liveness from duplicated or reordered frames.
#[test]
fn only_a_rising_counter_counts_as_heard() {
    let mut view = view(2..3);
    assert_eq!(view.merge(&beat(2, 11), at(2_000)), Change::Refreshed);
    assert_eq!(view.merge(&beat(2, 11), at(4_000)), Change::Ignored);
    assert_eq!(view.merge(&Heartbeat { applied: 900, ..beat(2, 5) }, at(4_500)), Change::Ignored);
    assert_eq!((view.get(2).unwrap().counter, view.highest_applied()), (11, 100));
    assert_eq!(view.status(2, at(4_999)), Status::Live);
    assert_eq!(view.status(2, at(5_000)), Status::Suspect);
    assert_eq!(view.status(2, at(12_000)), Status::Gone);
    assert!(!view.is_live(3, at(2_000)) && view.is_live(1, at(900_000)));
}

/// Guards against a draining entry that returns to the directory through a peer that knows a newer
/// counter but older content.
#[test]
fn content_has_its_own_order() {
    let mut view = view(2..3);
    assert!(view.merge_short_counter(2, 20, at(1_500)));
    let draining = Heartbeat { phase: Phase::Draining, ..beat(2, 15) };
    assert_eq!(view.merge(&draining, at(2_000)), Change::Updated);
    assert_eq!(view.get(2).unwrap().counter, 20);
    assert_eq!(view.merge(&beat(2, 14), at(2_100)), Change::Ignored);
    assert_eq!(view.get(2).unwrap().heartbeat.phase, Phase::Draining);
    assert_eq!(view.heartbeat(2, at(2_100)).unwrap().counter, 15);
}

/// Guards against a wrong order where the short form of the counter wraps.
#[test]
fn short_counters_wrap_and_never_go_back() {
    let mut view = view(2..3);
    let mut counter = 10u64;
    for step in 1..2_000u64 {
        counter += step % 20;
        let now = at(1_000 + step);
        assert_eq!(view.merge_short_counter(2, (counter % 255) as u8, now), step % 20 > 0);
        assert!(!view.merge_short_counter(2, ((counter - 7) % 255) as u8, now));
        assert_eq!(view.get(2).unwrap().counter, counter);
    }
    assert!(
        !view.merge_short_counter(2, NOT_HEARD, at(9_000))
            && !view.merge_short_counter(9, 3, at(9_000))
    );
    assert_eq!(
        view.short_counter(2, at(100_000)),
        NOT_HEARD,
        "a gone entry must not be relayed as heard"
    );
}

/// Guards against two live incarnations at one address.
#[test]
fn a_replaced_incarnation_never_returns() {
    let mut view = view(2..3);
    let new = Heartbeat { incarnation: 77, uptime_ms: 5_000, ..beat(2, 1) };
    assert_eq!(view.merge(&new, at(2_000)), Change::Updated);
    assert_eq!(view.status(2, at(2_000)), Status::Gone);
    assert_eq!(view.merge(&beat(2, 900), at(2_100)), Change::Ignored);
    assert!(!view.merge_short_counter(2, 200, at(2_100)) && !view.is_live(2, at(2_100)));
    // The old one's heartbeat arrives after the new one's.
    let older = Heartbeat { incarnation: 78, uptime_ms: 9_000, ..beat(2, 1) };
    assert_eq!(view.merge(&older, at(2_200)), Change::Ignored);
    assert!(!view.is_live(78, at(2_200)) && view.is_live(77, at(2_200)));
    view.mark_replaced(77);
    assert!(!view.is_live(77, at(2_200)));
    view.mark_replaced(1);
    assert!(view.is_live(1, at(2_200)), "the own incarnation doesn't judge itself");
}

/// Guards against a paused process that takes all others for dead when it resumes.
#[test]
fn a_pause_of_this_process_is_not_silence_of_others() {
    let mut view = view(2..5);
    view.advance_own_counter(at(1_500));
    view.advance_own_counter(at(61_500));
    assert!((2..5).all(|entry| view.is_live(entry, at(61_500))));
    for round in 1..8 {
        view.advance_own_counter(at(61_500 + round * 500));
    }
    assert!((2..5).all(|entry| !view.is_live(entry, at(65_000))));
}

/// Guards against an unbounded table, and against forgetting entries that the log lists.
#[test]
fn entries_are_forgotten_unless_listed() {
    let options = Options { max_entries: 4, ..Options::default() };
    let mut view = View::new(beat(1, 1), options, at(0));
    for other in 2..9 {
        view.merge(&beat(other, 1), at(0));
    }
    assert_eq!(view.iter(at(0)).count(), 4);
    view.set_listed(&[2]);
    view.expire(at(61_000));
    assert!(view.get(2).is_some() && view.get(3).is_none() && view.get(1).is_some());
}

/// Guards against two entries that both take themselves for the next planner.
#[test]
fn ranks_are_a_permutation_that_depends_on_the_term() {
    let mut view = view(2..20);
    view.merge(&Heartbeat { phase: Phase::Draining, ..beat(5, 11) }, at(1_000));
    let now = at(1_100);
    let mut firsts = Vec::new();
    for term in 0..50 {
        let mut ranks: Vec<_> = (1..20).filter_map(|entry| view.rank(term, entry, now)).collect();
        ranks.sort_unstable();
        assert_eq!(ranks, (0..18).collect::<Vec<_>>());
        let first = view.first_ranked(term, now).unwrap();
        assert_eq!(view.rank(term, first, now), Some(0));
        firsts.push(first);
    }
    assert_eq!(view.rank(1, 5, now), None);
    firsts.sort_unstable();
    firsts.dedup();
    assert!(firsts.len() > 8, "the role must not stay with few entries");
}
