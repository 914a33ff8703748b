//! The membership view under loss, delay, replacement of entries and pauses of the process.

mod common;

use common::{at, heartbeat, view};
use mgw_member::view::{Change, NOT_HEARD, Options, Status, View};
use mgw_wire::frame::{Heartbeat, Phase};

/// Guards against an entry that stays live because its frames arrive again or out of order.
#[test]
fn only_a_rising_counter_counts_as_heard() {
    let mut view = view(2..3);
    assert_eq!(view.merge(&heartbeat(2, 11), at(2_000)), Change::Refreshed);
    assert_eq!(view.merge(&heartbeat(2, 11), at(4_000)), Change::Ignored);
    assert_eq!(
        view.merge(&Heartbeat { applied_offset: 900, ..heartbeat(2, 5) }, at(4_500)),
        Change::Ignored
    );
    assert_eq!((view.get(2).unwrap().counter, view.highest_applied()), (11, 100));
    assert_eq!(view.status(2, at(4_999)), Status::Live);
    assert_eq!(view.status(2, at(5_000)), Status::Suspect);
    assert_eq!(view.status(2, at(12_000)), Status::Gone);
    assert!(!view.is_live(3, at(2_000)) && view.is_live(1, at(900_000)));
}

/// Guards against a draining entry that returns to the directory.
///
/// `Item::HeartbeatCounters` raises the counter without content. An older full heartbeat from another peer must
/// not replace a newer one, and a newer one must be taken although its counter is below the raised
/// one.
#[test]
fn content_is_ordered_by_the_counter_of_full_heartbeats() {
    let mut view = view(2..3);
    assert!(view.merge_short_counter(2, 20, at(1_500)));
    let draining = Heartbeat { phase: Phase::Draining, ..heartbeat(2, 15) };
    assert_eq!(view.merge(&draining, at(2_000)), Change::Updated);
    assert_eq!(view.get(2).unwrap().counter, 20);
    assert_eq!(view.merge(&heartbeat(2, 14), at(2_100)), Change::Ignored);
    assert_eq!(view.get(2).unwrap().heartbeat.phase, Phase::Draining);
    assert_eq!(view.heartbeat(2, at(2_100)).unwrap().counter, 15);
}

/// Guards against a wrong order of counters when their short form wraps around.
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

/// Guards against two incarnations at one address that both count as live.
#[test]
fn a_replaced_incarnation_never_returns() {
    let mut view = view(2..3);
    let new = Heartbeat { incarnation: 77, uptime_ms: 5_000, ..heartbeat(2, 1) };
    assert_eq!(view.merge(&new, at(2_000)), Change::Updated);
    assert_eq!(view.status(2, at(2_000)), Status::Gone);
    assert_eq!(view.merge(&heartbeat(2, 900), at(2_100)), Change::Ignored);
    assert!(!view.merge_short_counter(2, 200, at(2_100)) && !view.is_live(2, at(2_100)));
    // The heartbeat of an incarnation with a longer uptime arrives after that of the newer one.
    let older = Heartbeat { incarnation: 78, uptime_ms: 9_000, ..heartbeat(2, 1) };
    assert_eq!(view.merge(&older, at(2_200)), Change::Ignored);
    assert!(!view.is_live(78, at(2_200)) && view.is_live(77, at(2_200)));
    view.mark_replaced(77);
    assert!(!view.is_live(77, at(2_200)));
    view.mark_replaced(1);
    assert!(view.is_live(1, at(2_200)), "the own incarnation is never marked as replaced");
}

/// Guards against a process that considers all other entries gone when it resumes after a pause.
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

/// Guards against a view without a size limit, and against the removal of entries that the log
/// lists.
#[test]
fn entries_are_forgotten_unless_listed() {
    let options = Options { max_entries: 4, ..Options::default() };
    let mut view = View::new(heartbeat(1, 1), options, at(0));
    for other in 2..9 {
        view.merge(&heartbeat(other, 1), at(0));
    }
    assert_eq!(view.iter(at(0)).count(), 4);
    view.set_listed(&[2]);
    view.expire(at(61_000));
    assert!(view.get(2).is_some() && view.get(3).is_none() && view.get(1).is_some());
}

/// Guards against two entries that each consider themselves the next planner, and against a planner
/// role that stays with a few entries over many terms.
#[test]
fn ranks_are_a_permutation_that_depends_on_the_term() {
    let mut view = view(2..20);
    view.merge(&Heartbeat { phase: Phase::Draining, ..heartbeat(5, 11) }, at(1_000));
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
