//! Tests of the crash quarantine.

mod common;

use std::time::Duration;

use common::at;
use mgw_route::quarantine::{Blame, InFlight, Options, Status, Table, Verdict, fingerprint};
use mgw_route::trial::Seat;

fn unsuspected(fingerprint: u128) -> InFlight {
    InFlight { fingerprint, suspect: false }
}

fn suspect(fingerprint: u128) -> InFlight {
    InFlight { fingerprint, suspect: true }
}

fn is_quarantined(table: &Table, fingerprint: u128, ms: u64) -> bool {
    matches!(table.check(fingerprint, at(ms)), Status::Quarantined { .. })
}

const CULPRIT: u128 = 99;

/// Guards against the quarantine of requests that were in flight together with one that crashed the
/// server.
#[test]
fn innocent_requests_of_the_same_batch_are_not_quarantined() {
    let mut table = Table::new(Options::default(), 1);
    let blames =
        table.observe_crash(&[unsuspected(1), unsuspected(CULPRIT), unsuspected(2)], at(0));
    assert_eq!(blames.len(), 3);
    assert!([1, 2, CULPRIT].iter().all(|f| table.check(*f, at(1)) == Status::Suspect));
    // The suspects run in different groups, each among requests that are not suspected.
    let blames = table.observe_crash(&[unsuspected(5), suspect(CULPRIT), unsuspected(6)], at(100));
    assert_eq!(blames.len(), 1);
    let until = at(100) + Duration::from_secs(600);
    assert_eq!(table.check(CULPRIT, at(200)), Status::Quarantined { until });
    assert!([1, 2].iter().all(|f| table.check(*f, at(200)) == Status::Suspect));
    assert!([5, 6].iter().all(|f| table.check(*f, at(200)) == Status::Clear));
    assert_eq!(table.check(CULPRIT, until), Status::Clear);
    assert_eq!(table.check(1, at(600_000)), Status::Clear);
}

/// Guards against the quarantine of a request that was in flight at two crashes before it was a
/// suspect, for example because it was hedged.
#[test]
fn two_crashes_among_others_do_not_quarantine() {
    let mut table = Table::new(Options::default(), 1);
    table.observe_crash(&[unsuspected(1), unsuspected(CULPRIT)], at(0));
    let blames = table.observe_crash(&[unsuspected(1), unsuspected(CULPRIT)], at(10));
    assert_eq!(blames.len(), 2);
    assert!(blames.iter().all(|it| !it.ran_as_suspect()));
    assert!(!is_quarantined(&table, 1, 15) && !is_quarantined(&table, CULPRIT, 15));
    let mut peer = Table::new(Options::default(), 2);
    for blame in peer.observe_crash(&[unsuspected(1), unsuspected(3)], at(10)) {
        table.merge(blame, at(20), at(20));
    }
    assert_eq!(table.check(1, at(30)), Status::Suspect);
    // With two suspects at one server, neither of them can be blamed alone.
    assert_eq!(table.observe_crash(&[suspect(1), suspect(CULPRIT)], at(40)), []);
    assert!(!is_quarantined(&table, 1, 50));
}

/// Guards against a quarantine for one crash whose blame is received several times, in any order.
#[test]
fn blame_is_merged_once() {
    let mut observer = Table::new(Options::default(), 1);
    let first = observer.observe_crash(&[unsuspected(1), unsuspected(2)], at(0));
    let mut table = Table::new(Options::default(), 2);
    for ms in [0, 5, 10, 500] {
        for blame in &first {
            table.merge(*blame, at(ms), at(ms));
        }
    }
    table.merge_log_record(1, 7, at(20), at(20));
    table.merge_log_record(1, 7, at(9_000), at(9_000));
    assert_eq!(table.check(1, at(9_100)), Status::Suspect);
    let second = observer.observe_crash(&[suspect(1)], at(10_000));
    let mut late = Table::new(Options::default(), 3);
    for table in [&mut table, &mut late] {
        // The second blame is sufficient, even if the first one was lost.
        table.merge(second[0], at(10_100), at(10_100));
        assert!(is_quarantined(table, 1, 10_200));
        table.merge(first[0], at(10_300), at(10_300));
        assert!(is_quarantined(table, 1, 10_400));
        // A late copy must not prolong the quarantine.
        table.merge(second[0], at(609_000), at(609_000));
        assert!(!is_quarantined(table, 1, 611_000));
    }
}

/// Guards against the quarantine of an innocent suspect whose group was crashed by a suspect of
/// another entry.
#[test]
fn coinciding_crashes_of_suspects_at_two_entries_quarantine_neither() {
    let mut first_entry = Table::new(Options::default(), 1);
    let mut second_entry = Table::new(Options::default(), 2);
    let mut blames = first_entry.observe_crash(&[unsuspected(CULPRIT), unsuspected(1)], at(0));
    for blame in &blames {
        second_entry.merge(*blame, at(10), at(10));
    }
    blames = first_entry.observe_crash(&[suspect(CULPRIT)], at(100));
    blames.extend(second_entry.observe_crash(&[suspect(1)], at(100)));
    for blame in &blames {
        first_entry.merge(*blame, at(900), at(900));
        second_entry.merge(*blame, at(900), at(900));
    }
    for table in [&first_entry, &second_entry] {
        assert!(!is_quarantined(table, 1, 1_000));
        assert!(!is_quarantined(table, CULPRIT, 1_000));
    }
    for blame in first_entry.observe_crash(&[suspect(CULPRIT)], at(10_000)) {
        second_entry.merge(blame, at(10_500), at(10_500));
    }
    for table in [&first_entry, &second_entry] {
        assert!(is_quarantined(table, CULPRIT, 11_000));
        assert!(!is_quarantined(table, 1, 11_000));
    }
}

/// Guards against a request that crashes a fourth server because each of its crashes as a suspect
/// coincided with one that was blamed on another entry's suspect.
#[test]
fn a_second_crash_as_a_suspect_quarantines_even_if_both_coincide_with_others() {
    let mut first_entry = Table::new(Options::default(), 1);
    let mut second_entry = Table::new(Options::default(), 2);
    first_entry.observe_crash(&[unsuspected(CULPRIT), unsuspected(1), unsuspected(2)], at(0));
    first_entry.observe_crash(&[suspect(CULPRIT)], at(100));
    for blame in second_entry.observe_crash(&[suspect(1)], at(101)) {
        first_entry.merge(blame, at(110), at(110));
    }
    assert!(!is_quarantined(&first_entry, CULPRIT, 150));
    first_entry.observe_crash(&[suspect(CULPRIT)], at(200));
    for blame in second_entry.observe_crash(&[suspect(2)], at(201)) {
        first_entry.merge(blame, at(210), at(210));
    }
    assert!(is_quarantined(&first_entry, CULPRIT, 250));
    assert!(!is_quarantined(&first_entry, 1, 250));
    assert!(!is_quarantined(&first_entry, 2, 250));
}

/// Guards against a process that learns of crashes only from the log and does not quarantine the
/// request.
#[test]
fn the_log_alone_quarantines_after_crashes_of_two_groups() {
    let mut table = Table::new(Options::default(), 1);
    table.merge_log_record(1, 7, at(0), at(0));
    table.merge_log_record(1, 8, at(1_000), at(1_000));
    // Both crashes may have happened before the request was a suspect.
    assert_eq!(table.check(1, at(2_000)), Status::Suspect);
    table.merge_log_record(1, 9, at(8_000), at(8_000));
    assert!(is_quarantined(&table, 1, 9_000));
    let old = Blame { fingerprint: 5, observer: 3, counter: 3 };
    table.merge(old, at(0), at(700_000));
    assert_eq!(table.check(5, at(700_000)), Status::Clear);
}

/// Guards against unbounded memory use, and against a flood of suspects that evicts a quarantined
/// request.
#[test]
fn memory_is_bounded_and_quarantine_outlasts_a_flood() {
    let options = Options { max_fingerprints: 50, ..Options::default() };
    let mut table = Table::new(options, 1);
    table.observe_crash(&[suspect(CULPRIT)], at(0));
    for fingerprint in 1_000..3_000 {
        table.observe_crash(&[unsuspected(fingerprint)], at(10));
    }
    assert_eq!(table.len(), 50);
    assert!(is_quarantined(&table, CULPRIT, 20));
    for counter in 0..100 {
        table.merge(
            Blame { fingerprint: 2_999, observer: 2, counter: counter * 2 },
            at(20),
            at(20),
        );
    }
    table.tick(at(2_000_000));
    assert!(table.is_empty());
}

/// Guards against equal fingerprints of requests whose parts only concatenate to the same bytes.
#[test]
fn fingerprints_keep_their_parts_apart() {
    assert_eq!(fingerprint("a", "b", b"c"), fingerprint("a", "b", b"c"));
    assert_ne!(fingerprint("ab", "c", b""), fingerprint("a", "bc", b""));
}

/// A kind of request that all have one fingerprint, as lookups without a body have.
const SHARED: u128 = 7;

/// Guards against a kind of request that is refused since it was beside two ordinary crashes,
/// although it was answered in between, or before.
#[test]
fn what_is_answered_is_not_quarantined_for_ordinary_crashes() {
    let mut table = Table::new(Options::default(), 1);
    for round in 0..20 {
        let now = 1_000 * round;
        table.record_answer(SHARED, at(now), at(now + 50));
        let in_flight = match table.check(SHARED, at(now + 100)) {
            Status::Clear => unsuspected(SHARED),
            Status::Suspect | Status::Quarantined { .. } => suspect(SHARED),
        };
        table.observe_crash(&[in_flight], at(now + 100));
        assert!(!is_quarantined(&table, SHARED, now + 200), "round {round}");
        // Another crash follows before the next answer.
        table.observe_crash(&[suspect(SHARED)], at(now + 300));
        assert!(!is_quarantined(&table, SHARED, now + 400), "round {round}");
    }
    table.record_answer(SHARED, at(30_000), at(30_050));
    assert_eq!(table.check(SHARED, at(30_100)), Status::Clear);
}

/// Guards against a deadly request that is taken for a sound one because it is quarantined late: one
/// that is never answered is quarantined as before.
#[test]
fn a_request_that_is_never_answered_is_quarantined_at_its_second_crash() {
    let mut table = Table::new(Options::default(), 1);
    table.observe_crash(&[unsuspected(CULPRIT), unsuspected(1)], at(0));
    table.record_answer(1, at(10), at(60));
    table.observe_crash(&[suspect(CULPRIT)], at(500));
    assert!(is_quarantined(&table, CULPRIT, 600));
    assert_eq!(table.check(1, at(600)), Status::Clear);
}

/// Guards against a quarantine that peers keep after an answer, also if the blame reaches them after
/// its refutation.
#[test]
fn an_answer_refutes_a_blame_at_all_entries() {
    let (mut one, mut other, mut late) = (
        Table::new(Options::default(), 1),
        Table::new(Options::default(), 2),
        Table::new(Options::default(), 3),
    );
    let mut blames = one.observe_crash(&[unsuspected(CULPRIT)], at(0));
    blames.extend(one.observe_crash(&[suspect(CULPRIT)], at(100)));
    blames.iter().for_each(|it| other.merge(*it, at(200), at(200)));
    assert!(is_quarantined(&one, CULPRIT, 300) && is_quarantined(&other, CULPRIT, 300));
    let due = one.trial_due(CULPRIT);
    assert_eq!(due, at(20_100));
    let refuted = one.record_answer(CULPRIT, at(20_200), at(20_300));
    assert_eq!(refuted.len(), 1);
    for table in [&mut other, &mut late] {
        refuted.iter().for_each(|it| table.refute(*it, at(20_500)));
        blames.iter().for_each(|it| table.merge(*it, at(21_000), at(21_000)));
        assert!(!is_quarantined(table, CULPRIT, 21_100));
    }
    assert_eq!(one.check(CULPRIT, at(20_400)), Status::Clear);
    // Each further crash puts the next trial off.
    one.observe_crash(&[unsuspected(CULPRIT)], at(30_000));
    one.observe_crash(&[suspect(CULPRIT)], at(200_000));
    one.observe_crash(&[suspect(CULPRIT)], at(201_000));
    assert_eq!(one.trial_due(CULPRIT), at(281_000));
}

/// Guards against a deadly request of which attempts of two callers are under way at the same moment:
/// after three crashes few entries send it, one at a time, until it is answered.
#[test]
fn a_request_at_three_crashes_is_sent_one_at_a_time() {
    let mut one = Table::new(Options::default(), 1);
    let mut other = Table::new(Options::default(), 2);
    let mut blames: Vec<Blame> = [0, 100]
        .into_iter()
        .flat_map(|ms| one.observe_crash(&[unsuspected(CULPRIT), unsuspected(1)], at(ms)))
        .collect();
    one.record_answer(1, at(150), at(200));
    blames.extend(other.observe_crash(&[unsuspected(CULPRIT)], at(220)));
    for table in [&mut one, &mut other] {
        blames.iter().for_each(|it| table.merge(*it, at(300), at(300)));
        assert_eq!(table.check(CULPRIT, at(400)), Status::Suspect);
    }
    let seat = |rank| move |_| Seat { rank, entries: 9 };
    let is_refused = |it: Verdict| matches!(it, Verdict::Refused { .. });
    assert!(is_refused(one.admit(CULPRIT, at(4_000), seat(8))), "by a few entries");
    assert_eq!(one.admit(CULPRIT, at(4_000), seat(0)), Verdict::AtRisk);
    assert!(is_refused(one.admit(CULPRIT, at(4_100), seat(0))), "one at a time");
    // The other request was beside two of the crashes by chance.
    assert_eq!(one.admit(1, at(4_100), seat(8)), Verdict::Clear);
    let refuted = one.record_answer(CULPRIT, at(4_050), at(4_350));
    refuted.iter().for_each(|it| other.refute(*it, at(4_400)));
    assert_eq!(one.admit(CULPRIT, at(4_500), seat(8)), Verdict::Clear);
    assert!(!is_refused(other.admit(CULPRIT, at(4_500), seat(8))), "an answer ends it everywhere");
}

/// Guards against lookups that an entry refuses after ordinary crashes because it has not answered one
/// itself yet, although others have; and against entries that keep a request sound by telling each
/// other what nobody has answered any more.
#[test]
fn an_entry_takes_over_that_others_have_answered_a_fingerprint() {
    let (mut one, mut other) =
        (Table::new(Options::default(), 1), Table::new(Options::default(), 2));
    one.record_answer(SHARED, at(0), at(50));
    let told = one.observe_crash(&[unsuspected(SHARED)], at(100));
    told.iter().for_each(|it| other.merge(*it, at(200), at(200)));
    // The other entry sends it as a suspect to servers that crash as well.
    for ms in [300, 400, 500] {
        let blames = other.observe_crash(&[suspect(SHARED)], at(ms));
        assert!(blames.iter().all(|it| !it.ran_as_suspect()), "{blames:?}");
    }
    let seat = |_| Seat { rank: 8, entries: 9 };
    assert_eq!(other.admit(SHARED, at(600), seat), Verdict::Suspect);
    assert_eq!(one.admit(SHARED, at(600), seat), Verdict::Suspect);
    // A minute later nobody has answered one since.
    let blames = other.observe_crash(&[suspect(SHARED)], at(60_300));
    assert!(blames.iter().all(Blame::ran_as_suspect), "{blames:?}");
    assert!(is_quarantined(&other, SHARED, 60_400));
}
