//! Tests of the ledger: joins, conflicts, deadlines and eviction.

use bytes::Bytes;
use mgw_base::time::Instant;
use mgw_booking::ledger::{Acceptance, Booking, Dispatch, End, Ledger, Options, Waiter};
use mgw_booking::outcome::{Cause, Outcome, Reply};

const START: Instant = Instant::from_millis(1_000);

fn at(ms: u64) -> Instant {
    Instant::from_millis(1_000 + ms)
}

fn booking(key: u128, issued_ms: u64) -> Booking {
    Booking { key, content: key, issued_ms: Some(issued_ms), deadline: at(10_000) }
}

fn reply(size: usize) -> Reply {
    Reply { status: 200, content_type: "text/plain".into(), body: Bytes::from(vec![7; size]) }
}

fn run(ledger: &mut Ledger, key: u128, issued_ms: u64, end: End) -> Vec<(Waiter, Outcome)> {
    assert_eq!(ledger.accept(booking(key, issued_ms), Waiter(0), at(issued_ms)), Acceptance::New);
    assert_eq!(ledger.dispatch(key, at(issued_ms)), Dispatch::Granted);
    ledger.settle(key, end)
}

/// Guards against two runs of a key whose requests arrive at the same time, and against a request
/// among them that is not answered.
#[test]
fn the_same_key_twice_at_once_runs_once_and_answers_both() {
    let mut ledger = Ledger::new(Options::default(), START);
    assert_eq!(ledger.accept(booking(1, 0), Waiter(1), at(0)), Acceptance::New);
    assert_eq!(ledger.accept(booking(1, 0), Waiter(2), at(0)), Acceptance::Joined);
    assert_eq!(ledger.dispatch(1, at(1)), Dispatch::Granted);
    assert_eq!(ledger.dispatch(1, at(1)), Dispatch::Refused);
    assert_eq!(ledger.accept(booking(1, 0), Waiter(3), at(2)), Acceptance::Joined);
    let done = Outcome::Done(reply(3));
    let answers = ledger.settle(1, End::Answered(reply(3)));
    assert_eq!(answers, [1, 2, 3].map(|waiter| (Waiter(waiter), done.clone())));
    assert_eq!(ledger.accept(booking(1, 0), Waiter(4), at(3)), Acceptance::Answer(done));
    assert_eq!(ledger.dispatch(1, at(3)), Dispatch::Refused);
}

/// Guards against a request that is answered with the outcome of another one with the same key.
#[test]
fn the_same_key_with_other_content_is_a_conflict_in_every_state() {
    let mut ledger = Ledger::new(Options::default(), START);
    let other = Booking { content: 99, ..booking(1, 0) };
    ledger.accept(booking(1, 0), Waiter(1), at(0));
    assert_eq!(ledger.accept(other, Waiter(2), at(0)), Acceptance::Conflict);
    ledger.dispatch(1, at(0));
    assert_eq!(ledger.accept(other, Waiter(2), at(0)), Acceptance::Conflict);
    assert_eq!(ledger.settle(1, End::Answered(reply(1))).len(), 1);
    assert_eq!(ledger.accept(other, Waiter(2), at(0)), Acceptance::Conflict);
}

/// Guards against a process that sends a booking after it was paused past the deadline.
#[test]
fn a_paused_executor_does_not_send_after_the_deadline() {
    let mut ledger = Ledger::new(Options::default(), START);
    ledger.accept(booking(1, 0), Waiter(1), at(0));
    let expired = Outcome::NotRun(Cause::Deadline);
    assert_eq!(
        ledger.dispatch(1, at(10_000)),
        Dispatch::Expired(vec![(Waiter(1), expired.clone())])
    );
    // A retry with a later deadline must not run a booking that was reported as not run.
    let later = Booking { deadline: at(60_000), ..booking(1, 0) };
    assert_eq!(ledger.accept(later, Waiter(2), at(10_001)), Acceptance::Answer(expired));
    assert_eq!(ledger.dispatch(1, at(10_001)), Dispatch::Refused);
}

/// Guards against the outcome "not run" for a booking that was sent and not answered in time.
#[test]
fn a_sent_booking_is_unknown_at_the_deadline_and_done_for_a_later_retry() {
    let mut ledger = Ledger::new(Options::default(), START);
    ledger.accept(booking(1, 0), Waiter(1), at(0));
    ledger.dispatch(1, at(9_999));
    let (answers, _) = ledger.expire(at(10_000));
    assert_eq!(answers, [(Waiter(1), Outcome::Unknown(Cause::StillRunning))]);
    assert!(ledger.abandon(1, Cause::NeverWritten).is_empty());
    assert!(ledger.settle(1, End::Answered(reply(1))).is_empty());
    let retry = Booking { deadline: at(60_000), ..booking(1, 0) };
    assert_eq!(
        ledger.accept(retry, Waiter(2), at(10_001)),
        Acceptance::Answer(Outcome::Done(reply(1)))
    );
}

/// Guards against a second report of a call that overwrites its outcome.
#[test]
fn an_outcome_is_final() {
    let mut ledger = Ledger::new(Options::default(), START);
    let answers = run(&mut ledger, 1, 0, End::Lost);
    assert_eq!(answers, [(Waiter(0), Outcome::Unknown(Cause::AnswerLost))]);
    assert!(ledger.settle(1, End::NeverWritten).is_empty());
    assert_eq!(
        ledger.accept(booking(1, 0), Waiter(1), at(0)),
        Acceptance::Answer(Outcome::Unknown(Cause::AnswerLost))
    );
}

/// Guards against a second run of a key whose record was evicted.
#[test]
fn evicted_keys_and_all_issued_before_them_are_unknown() {
    let options = Options { max_keys: 4, ..Options::default() };
    let mut ledger = Ledger::new(options, START);
    for key in 1..=4 {
        run(&mut ledger, key, key as u64 * 10, End::Answered(reply(1)));
    }
    run(&mut ledger, 5, 50, End::Answered(reply(1)));
    assert_eq!(ledger.len(), 4);
    let forgotten = Acceptance::Answer(Outcome::Unknown(Cause::Forgotten));
    // Key 1 was evicted. Key 100 is new, but cannot be distinguished from an evicted one.
    assert_eq!(ledger.accept(booking(1, 10), Waiter(1), at(60)), forgotten);
    assert_eq!(ledger.accept(booking(100, 9), Waiter(1), at(60)), forgotten);
    assert_eq!(ledger.accept(booking(101, 10), Waiter(1), at(60)), forgotten);
    // Key 102 was issued after the watermark, so it was never evicted.
    assert_eq!(ledger.accept(booking(102, 11), Waiter(1), at(60)), Acceptance::New);
    // Its arrival evicted key 2. Key 103 can no longer be distinguished from an evicted one.
    assert_eq!(ledger.accept(booking(103, 11), Waiter(1), at(60)), forgotten);
    assert_eq!(ledger.accept(booking(2, 20), Waiter(1), at(60)), forgotten);
    assert_eq!(ledger.accept(booking(102, 11), Waiter(2), at(60)), Acceptance::Joined);
    assert_eq!(ledger.dispatch(102, at(60)), Dispatch::Granted);
    assert_eq!(
        ledger.accept(booking(3, 30), Waiter(1), at(60)),
        Acceptance::Answer(Outcome::Done(reply(1)))
    );
}

/// Guards against the eviction of a booking in progress, which would allow a second run.
#[test]
fn unsettled_bookings_are_never_evicted() {
    let options = Options { max_keys: 2, ..Options::default() };
    let mut ledger = Ledger::new(options, START);
    ledger.accept(booking(1, 1), Waiter(1), at(10));
    ledger.accept(booking(2, 2), Waiter(2), at(10));
    assert_eq!(
        ledger.accept(booking(3, 3), Waiter(3), at(10)),
        Acceptance::Answer(Outcome::Unknown(Cause::LedgerFull))
    );
    assert_eq!(ledger.dispatch(1, at(10)), Dispatch::Granted);
    assert_eq!(ledger.accept(booking(1, 1), Waiter(4), at(10)), Acceptance::Joined);
}

/// Guards against unbounded storage of answers, and against the outcome "not run" for a booking
/// whose answer was not stored or was evicted.
#[test]
fn answers_are_bounded_and_a_dropped_one_is_unknown() {
    let options = Options { max_bytes: 100, max_answer_bytes: 60, ..Options::default() };
    let mut ledger = Ledger::new(options, START);
    let answers = run(&mut ledger, 1, 10, End::Answered(reply(61)));
    assert_eq!(answers, [(Waiter(0), Outcome::Done(reply(61)))]);
    assert_eq!(
        ledger.accept(booking(1, 10), Waiter(1), at(60)),
        Acceptance::Answer(Outcome::Unknown(Cause::AnswerTooLarge))
    );
    run(&mut ledger, 2, 20, End::Answered(reply(60)));
    run(&mut ledger, 3, 30, End::Answered(reply(60)));
    assert_eq!(
        ledger.accept(booking(2, 20), Waiter(1), at(60)),
        Acceptance::Answer(Outcome::Unknown(Cause::Forgotten))
    );
}

/// Guards against a forged issue time that would move the watermark past all real keys.
#[test]
fn a_key_from_the_future_is_not_run() {
    let mut ledger = Ledger::new(Options::default(), START);
    let unknown = Acceptance::Answer(Outcome::Unknown(Cause::NotIssued));
    assert_eq!(ledger.accept(booking(1, 6), Waiter(1), at(5)), unknown);
    assert!(ledger.is_empty());
}
