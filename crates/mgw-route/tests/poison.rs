//! Tests of the detection of prompt parts that crash servers.

mod common;

use common::at;
use mgw_route::poison::{Change, Clearance, Evidence, Options, Part, Table};

const FIRST: Part = Part(1);
const DEADLY: Part = Part(0xdead);

fn table() -> Table {
    Table::new(Options::default())
}

fn is_quarantined(table: &Table, part: Part) -> bool {
    table.is_quarantined(&[part])
}

/// Guards against different requests that go on crashing servers by a part that they share, and
/// against the quarantine of the other parts of these requests.
#[test]
fn the_part_that_crashing_requests_share_is_quarantined() {
    let mut table = table();
    for (number, ms) in [(1, 0), (2, 400)] {
        table.record_crash(&[FIRST, DEADLY, Part(100 + number)], number, number, at(ms));
        assert!(!is_quarantined(&table, DEADLY), "after {number} crashes");
    }
    // A sound request that begins like these is answered.
    table.record_answer(&[FIRST, Part(7)], at(500), at(800));
    table.record_crash(&[FIRST, DEADLY, Part(103)], 3, 3, at(900));
    assert!(is_quarantined(&table, DEADLY));
    assert!([FIRST, Part(101), Part(102), Part(103)].iter().all(|it| !is_quarantined(&table, *it)));
    assert_eq!(table.take_changes(), [Change { part: DEADLY, is_quarantined: true }]);
    table.tick(at(600_900));
    assert!(!is_quarantined(&table, DEADLY));
}

/// Guards against the quarantine of a beginning that is answered rarely: of the parts that all
/// crashing requests share, the one that was never answered is quarantined.
#[test]
fn a_part_that_was_answered_before_the_crashes_is_spared() {
    let mut table = table();
    table.record_answer(&[FIRST], at(0), at(300));
    for number in 1..=8 {
        table.record_crash(&[FIRST, DEADLY], number, number, at(1_000 + 400 * number));
    }
    assert!(is_quarantined(&table, DEADLY) && !is_quarantined(&table, FIRST));
}

/// Guards against the quarantine of a common beginning by an entry that has seen no answer: among
/// parts that were never answered, the last one is the most specific.
#[test]
fn the_last_of_several_unknown_parts_is_quarantined_alone() {
    let mut table = table();
    for number in 1..=8 {
        table.record_crash(&[FIRST, DEADLY], number, number, at(400 * number));
    }
    assert!(is_quarantined(&table, DEADLY) && !is_quarantined(&table, FIRST));
}

/// Guards against a deadly beginning that is spared because other parts of its requests explain
/// single crashes.
#[test]
fn a_deadly_beginning_is_quarantined_if_the_later_parts_differ() {
    let mut table = table();
    for number in 1..=4 {
        table.record_crash(&[DEADLY, Part(100 + number)], number, number, at(400 * number));
    }
    assert!(is_quarantined(&table, DEADLY));
}

/// Guards against the quarantine of common parts when many servers fail at the same time.
#[test]
fn servers_that_fail_together_quarantine_nothing() {
    let mut table = table();
    for server in 0..10 {
        for request in 0..5 {
            table.record_crash(&[FIRST], server * 10 + request, server, at(1_000 + server * 30));
        }
    }
    assert!(!is_quarantined(&table, FIRST));
    // It is answered before the next servers fail.
    table.record_answer(&[FIRST], at(1_400), at(1_700));
    for server in 20..30 {
        table.record_crash(&[FIRST], server * 10, server, at(2_500));
    }
    assert!(!is_quarantined(&table, FIRST));
}

/// Guards against the quarantine of the parts of one request that crashes server after server.
#[test]
fn one_request_with_its_retries_quarantines_no_part() {
    let mut table = table();
    for server in 0..6 {
        table.record_crash(&[FIRST, Part(2)], 1, server, at(500 * server));
    }
    assert!(!table.is_quarantined(&[FIRST, Part(2)]));
}

/// Guards against a quarantine that does not end although the part is answered.
#[test]
fn an_answer_ends_the_quarantine_at_all_entries() {
    let (mut one, mut other) = (table(), table());
    for number in 1..=3 {
        one.record_crash(&[DEADLY], number, number, at(400 * number));
    }
    for (evidence, is_conclusive) in one.published(8) {
        other.merge(evidence, is_conclusive, at(1_300));
    }
    assert!(is_quarantined(&one, DEADLY) && is_quarantined(&other, DEADLY));
    one.record_answer(&[DEADLY], at(1_500), at(1_900));
    assert!(!is_quarantined(&one, DEADLY));
    let (_, answers) = one.news(8, at(1_950));
    assert_eq!(answers, [Clearance { part: DEADLY, began: at(1_500) }]);
    answers.into_iter().for_each(|it| other.clear(it));
    assert!(!is_quarantined(&other, DEADLY));
    // A heartbeat of an entry that has not heard of the answer changes nothing.
    let evidence = Evidence { part: DEADLY, request: 1, server: 1, position: 0 };
    other.merge(evidence, true, at(2_000));
    assert!(!is_quarantined(&other, DEADLY));
}

/// Guards against crashes that count once at each entry that observed them, and against an entry
/// that was started after the crashes and does not know the quarantined part.
#[test]
fn evidence_of_peers_is_merged_once_and_kept_for_later_entries() {
    let (mut one, mut other, mut late) = (table(), table(), table());
    for number in 1..=2 {
        one.record_crash(&[DEADLY], number, number, at(700 * number));
        let (evidence, _) = one.news(8, at(700 * number));
        for _ in 0..5 {
            evidence.iter().for_each(|it| other.merge(*it, false, at(700 * number + 50)));
        }
    }
    assert!(!is_quarantined(&other, DEADLY), "two crashes");
    other.record_crash(&[DEADLY], 3, 3, at(2_100));
    assert!(is_quarantined(&other, DEADLY));
    // The entry that observed the other crashes has ended.
    for (evidence, is_conclusive) in other.published(8) {
        late.merge(evidence, is_conclusive, at(5_000));
    }
    assert!(is_quarantined(&late, DEADLY));
}
