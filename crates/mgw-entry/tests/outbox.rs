//! Tests of the outbox: which records are appended, and when.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_entry::input::Append;
use mgw_entry::outbox::{Outbox, Purpose};
use mgw_state::codec;
use mgw_state::reader::Settlement;
use mgw_state::record::{Mark, Record, Target};

/// The instant `ms` milliseconds after the start of the test's clock.
fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// A record that is queued again if it was not appended.
fn mark(name: &str) -> Record {
    Record::Mark { target: Target::Instance(name.into()), mark: Mark::Cordon }
}

/// A record that is not queued again.
fn lead(term: u64) -> Record {
    Record::Lead { term, incarnation: 1 }
}

/// Sequence number and decoded records of the next append.
fn records(outbox: &mut Outbox, now: Instant) -> Option<(u64, Vec<Record>)> {
    let batch = outbox.next_batch(now)?;
    let decode = |bytes: &Vec<u8>| codec::decode(bytes).expect("own encoding").record;
    Some((batch.sequence, batch.records.iter().map(decode).collect()))
}

/// Guards against two appends in flight at once: if a reply is lost, the order of the two in the
/// log would be unknown.
#[test]
fn at_most_one_append_is_in_flight() {
    let mut outbox = Outbox::new(1);
    outbox.push(Purpose::Mark, mark("a"));
    let (first, sent) = records(&mut outbox, at(0)).expect("a record waits");
    assert_eq!(sent, [mark("a")]);
    outbox.push(Purpose::Mark, mark("b"));
    assert_eq!(outbox.next_batch(at(1)), None);
    assert!(outbox.record_result(first + 1, Append::Accepted { first: 5 }, at(2)).is_none());
    assert!(outbox.record_result(first, Append::Accepted { first: 5 }, at(2)).is_some());
    let (second, sent) = records(&mut outbox, at(3)).expect("a record waits");
    assert!(second > first);
    assert_eq!(sent, [mark("b")]);
}

/// Guards against plans and elections that are appended again although the state has changed, and
/// against marks that are lost with a refused append.
#[test]
fn refused_append_requeues_only_records_that_are_not_decided_anew() {
    let mut outbox = Outbox::new(1);
    outbox.push(Purpose::Lead, lead(1));
    outbox.push(Purpose::Mark, mark("a"));
    let (sequence, _) = records(&mut outbox, at(0)).expect("records wait");
    let completion =
        outbox.record_result(sequence, Append::Refused, at(1)).expect("it was in flight");
    assert_eq!(completion.purposes, [Purpose::Lead, Purpose::Mark]);
    assert!(!outbox.contains(&Purpose::Lead));
    assert!(outbox.contains(&Purpose::Mark));
    assert_eq!(outbox.next_batch(at(50)), None, "a refusal is followed by a pause");
    let (_, sent) = records(&mut outbox, at(1_000)).expect("the mark waits");
    assert_eq!(sent, [mark("a")]);
}

/// Guards against a lost reply that is never settled because nothing else is appended, and against
/// a second append of a record that is already in the log.
#[test]
fn a_lost_reply_is_settled_by_a_later_append() {
    let mut outbox = Outbox::new(1);
    outbox.push(Purpose::Mark, mark("a"));
    let (lost, _) = records(&mut outbox, at(0)).expect("a record waits");
    outbox.record_result(lost, Append::Unknown, at(10)).expect("it was in flight");
    assert!(outbox.contains(&Purpose::Mark), "the outcome is unsettled");
    assert_eq!(outbox.next_batch(at(500)), None);
    let (barrier, sent) = records(&mut outbox, at(2_000)).expect("the outcome must be settled");
    assert!(barrier > lost);
    assert!(matches!(sent[..], [Record::OrderDone { fence: 0, .. }]));
    assert_eq!(outbox.settle(lost, Settlement::Found(7)), [Purpose::Mark]);
    assert!(!outbox.contains(&Purpose::Mark));
    outbox
        .record_result(barrier, Append::Accepted { first: 8 }, at(2_010))
        .expect("it was in flight");
    outbox.record_applied(9);
    assert_eq!(
        outbox.next_batch(at(10_000)),
        None,
        "the mark is in the log and is not appended again"
    );
}

/// Guards against the loss of a record whose append did not reach the log.
#[test]
fn absent_append_is_requeued() {
    let mut outbox = Outbox::new(1);
    outbox.push(Purpose::Mark, mark("a"));
    outbox.push(Purpose::Plan, lead(2));
    let (lost, _) = records(&mut outbox, at(0)).expect("records wait");
    outbox.record_result(lost, Append::Unknown, at(10)).expect("it was in flight");
    outbox.settle(lost, Settlement::Absent);
    let (again, sent) = records(&mut outbox, at(5_000)).expect("the mark waits");
    assert!(again > lost);
    assert_eq!(sent, [mark("a")], "a plan is decided anew");
}

/// Guards against a planner that plans again before it has read its accepted plan, and so forms the
/// same groups twice.
#[test]
fn accepted_append_is_held_until_it_was_read() {
    let mut outbox = Outbox::new(1);
    outbox.push(Purpose::Plan, lead(1));
    outbox.push(Purpose::Plan, lead(2));
    let (sequence, _) = records(&mut outbox, at(0)).expect("records wait");
    outbox
        .record_result(sequence, Append::Accepted { first: 20 }, at(5))
        .expect("it was in flight");
    outbox.record_applied(21);
    assert!(outbox.contains(&Purpose::Plan));
    outbox.record_applied(22);
    assert!(!outbox.contains(&Purpose::Plan));
}

/// Guards against unbounded memory while the log service is unreachable, and against appends with
/// more than 128 records.
#[test]
fn queue_is_bounded_and_appends_are_split() {
    let mut outbox = Outbox::new(1);
    let taken = (0..10_000).filter(|_| outbox.push(Purpose::Mark, mark("a"))).count();
    assert_eq!(taken, 4_096);
    let mut now = at(0);
    let mut sent = 0;
    while let Some((sequence, records)) = records(&mut outbox, now) {
        assert!(records.len() <= 128);
        sent += records.len();
        outbox
            .record_result(sequence, Append::Accepted { first: 0 }, now)
            .expect("it was in flight");
        now = now + Duration::from_millis(1);
    }
    assert_eq!(sent, taken);
}

/// Guards against an append that is never settled when its record is read before the timeout of its
/// reply. It would block its purpose and be followed by barrier records forever.
#[test]
fn a_lost_reply_is_settled_by_an_earlier_read() {
    let mut outbox = Outbox::new(1);
    outbox.push(Purpose::Lead, lead(1));
    let batch = outbox.next_batch(at(0)).expect("a record waits");
    outbox.settle(batch.sequence, Settlement::Found(4));
    assert!(outbox.contains(&Purpose::Lead));
    outbox.record_result(batch.sequence, Append::Unknown, at(2_000)).expect("it was in flight");
    assert!(!outbox.contains(&Purpose::Lead));
    assert_eq!(outbox.next_batch(at(62_000)), None);
}
