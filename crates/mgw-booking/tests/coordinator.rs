//! Tests of the coordinator: claim races, lost append replies, late claims and relays.

use std::time::Duration;

use bytes::Bytes;
use mgw_base::time::Instant;
use mgw_booking::claim::{Append, Lookup};
use mgw_booking::coordinator::{Coordinator, Effect, Options, Origin, Request, Step};
use mgw_booking::key::Key;
use mgw_booking::ledger::{Dispatch, End, Waiter};
use mgw_booking::outcome::{Cause, Outcome, Reply};
use mgw_booking::relay;

const OWN: u64 = 0xa;
const OTHER: u64 = 0xb;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn coordinator() -> Coordinator {
    Coordinator::new(Options::default(), OWN, at(0))
}

fn opaque(hash: u128) -> Request {
    Request { key: Key::Opaque, hash, content: 1, deadline: at(1_000) }
}

fn reply() -> Reply {
    Reply { status: 200, content_type: "text/plain".into(), body: Bytes::from_static(b"ok") }
}

fn arrive(coordinator: &mut Coordinator, hash: u128, waiter: u64, lookup: Lookup, ms: u64) -> Step {
    coordinator.arrive(&opaque(hash), Origin::Caller, lookup, Waiter(waiter), at(ms))
}

/// Guards against a dispatch before this process's claim is known to be the first one in the log.
#[test]
fn an_opaque_key_runs_only_after_its_own_claim_was_seen() {
    let mut coordinator = coordinator();
    assert_eq!(arrive(&mut coordinator, 7, 1, Lookup::Unclaimed, 0), Step::Wait);
    assert_eq!(coordinator.dispatch(7, at(0)), Dispatch::Refused);
    assert_eq!(coordinator.next_batch(at(9)), None);
    assert_eq!(arrive(&mut coordinator, 8, 2, Lookup::Unclaimed, 9), Step::Wait);
    let batch = coordinator.next_batch(at(10)).unwrap();
    assert_eq!(batch.keys, [7, 8]);
    coordinator.finish_append(batch.sequence, Append::Accepted, at(15));
    assert_eq!(coordinator.dispatch(7, at(15)), Dispatch::Refused);
    assert_eq!(coordinator.observe_claim(7, OWN), [Effect::Run(7)]);
    assert_eq!(coordinator.observe_claim(7, OWN), []);
    assert_eq!(coordinator.dispatch(7, at(16)), Dispatch::Granted);
    assert_eq!(coordinator.dispatch(7, at(16)), Dispatch::Refused);
    let done = Outcome::Done(reply());
    let effects = coordinator.settle(7, End::Answered(reply()));
    assert_eq!(effects, [Effect::Answer(Waiter(1), done.clone())]);
    assert_eq!(arrive(&mut coordinator, 7, 3, Lookup::Claimed(OWN), 20), Step::Answer(done));
}

/// Guards against two executors when two entries claim the same key at once.
#[test]
fn the_loser_of_a_claim_race_relays_all_its_requests() {
    let mut coordinator = coordinator();
    arrive(&mut coordinator, 7, 1, Lookup::Unclaimed, 0);
    arrive(&mut coordinator, 7, 2, Lookup::Unclaimed, 1);
    let batch = coordinator.next_batch(at(10)).unwrap();
    coordinator.finish_append(batch.sequence, Append::Accepted, at(12));
    let relay =
        |waiter| Effect::Relay { waiter: Waiter(waiter), executor: OTHER, deadline: at(1_000) };
    assert_eq!(coordinator.observe_claim(7, OTHER), [relay(1), relay(2)]);
    assert_eq!(coordinator.dispatch(7, at(13)), Dispatch::Refused);
    assert_eq!(arrive(&mut coordinator, 7, 3, Lookup::Claimed(OTHER), 14), Step::Relay(OTHER));
}

/// Guards against a second append, or a booking that is given up, when only the reply to the append
/// was lost.
#[test]
fn a_lost_append_reply_is_settled_by_the_log() {
    let mut coordinator = coordinator();
    arrive(&mut coordinator, 7, 1, Lookup::Unclaimed, 0);
    let batch = coordinator.next_batch(at(10)).unwrap();
    coordinator.finish_append(batch.sequence, Append::Unknown, at(500));
    assert_eq!(coordinator.next_batch(at(600)), None);
    assert_eq!(coordinator.caught_up(at(600)), []);
    assert_eq!(coordinator.observe_claim(7, OWN), [Effect::Run(7)]);
    assert_eq!(coordinator.dispatch(7, at(700)), Dispatch::Granted);
}

/// Guards against a dispatch for a claim that is read after the booking was given up, and against
/// the outcome "not run" while another process may still be the executor.
#[test]
fn a_claim_that_appears_after_giving_up_runs_nothing() {
    let mut coordinator = coordinator();
    arrive(&mut coordinator, 7, 1, Lookup::Unclaimed, 0);
    let batch = coordinator.next_batch(at(10)).unwrap();
    coordinator.finish_append(batch.sequence, Append::Unknown, at(500));
    let unknown = Outcome::Unknown(Cause::ClaimUnsettled);
    assert_eq!(coordinator.tick(at(1_000)), [Effect::Answer(Waiter(1), unknown)]);
    assert_eq!(coordinator.observe_claim(7, OWN), []);
    assert_eq!(coordinator.dispatch(7, at(1_100)), Dispatch::Refused);
    // Now this process is known to be the only executor, and it never sent the booking.
    let not_run = Outcome::NotRun(Cause::GivenUp);
    assert_eq!(arrive(&mut coordinator, 7, 2, Lookup::Claimed(OWN), 1_200), Step::Answer(not_run));
}

/// Guards against a process that sends a booking after it was paused past the deadline between its
/// claim and the dispatch.
#[test]
fn an_own_claim_seen_after_the_deadline_is_not_run() {
    let mut coordinator = coordinator();
    arrive(&mut coordinator, 7, 1, Lookup::Unclaimed, 0);
    coordinator.next_batch(at(10)).unwrap();
    assert_eq!(coordinator.observe_claim(7, OWN), [Effect::Run(7)]);
    let not_run = Outcome::NotRun(Cause::Deadline);
    assert_eq!(
        coordinator.dispatch(7, at(5_000)),
        Dispatch::Expired(vec![(Waiter(1), not_run.clone())])
    );
    assert_eq!(arrive(&mut coordinator, 7, 2, Lookup::Claimed(OWN), 5_001), Step::Answer(not_run));
}

/// Guards against the outcome "not run" for a key that another process claimed and ran before this
/// one has read the log to its end.
#[test]
fn a_refused_append_is_not_run_only_after_the_log_was_read() {
    let mut coordinator = coordinator();
    arrive(&mut coordinator, 7, 1, Lookup::Unclaimed, 0);
    let batch = coordinator.next_batch(at(10)).unwrap();
    coordinator.finish_append(batch.sequence, Append::Refused, at(20));
    // This read was started before the refusal and may have missed a claim.
    assert_eq!(coordinator.caught_up(at(19)), []);
    let not_run = Outcome::NotRun(Cause::ClaimRefused);
    assert_eq!(coordinator.caught_up(at(20)), [Effect::Answer(Waiter(1), not_run)]);
    assert_eq!(coordinator.dispatch(7, at(21)), Dispatch::Refused);

    arrive(&mut coordinator, 8, 2, Lookup::Unclaimed, 30);
    let batch = coordinator.next_batch(at(40)).unwrap();
    coordinator.finish_append(batch.sequence, Append::Refused, at(50));
    let relay = Effect::Relay { waiter: Waiter(2), executor: OTHER, deadline: at(1_000) };
    assert_eq!(coordinator.observe_claim(8, OTHER), [relay]);
    assert_eq!(coordinator.caught_up(at(60)), []);

    // Without any read of the log, the outcome is unknown at the deadline.
    arrive(&mut coordinator, 9, 3, Lookup::Full, 70);
    let unknown = Outcome::Unknown(Cause::ClaimUnsettled);
    assert_eq!(coordinator.tick(at(1_000)), [Effect::Answer(Waiter(3), unknown)]);
}

/// Guards against the dispatch of a booking whose last request was answered as unknown before the
/// deadline of the booking.
#[test]
fn a_booking_that_waits_for_its_claim_lapses_with_its_last_request() {
    let mut coordinator = coordinator();
    arrive(&mut coordinator, 7, 1, Lookup::Unclaimed, 0);
    let short = Request { deadline: at(50), ..opaque(7) };
    coordinator.arrive(&short, Origin::Caller, Lookup::Unclaimed, Waiter(2), at(0));
    coordinator.remove_waiter(7, Waiter(1));
    let unknown = Outcome::Unknown(Cause::ClaimUnsettled);
    assert_eq!(coordinator.tick(at(50)), [Effect::Answer(Waiter(2), unknown)]);
    assert_eq!(coordinator.observe_claim(7, OWN), []);
    assert_eq!(coordinator.dispatch(7, at(60)), Dispatch::Refused);
}

/// Guards against the outcome "not run" for a request that joined after the start of the read on
/// which the outcome is based.
#[test]
fn a_request_that_joins_a_refused_claim_needs_a_later_read() {
    let mut coordinator = coordinator();
    arrive(&mut coordinator, 7, 1, Lookup::Unclaimed, 0);
    let batch = coordinator.next_batch(at(10)).unwrap();
    coordinator.finish_append(batch.sequence, Append::Refused, at(20));
    arrive(&mut coordinator, 7, 2, Lookup::Unclaimed, 30);
    assert_eq!(coordinator.caught_up(at(25)), []);
    assert_eq!(coordinator.caught_up(at(30)).len(), 2);
}

/// Guards against a run after the callers disconnected, as another entry may have told them that
/// the booking was not run.
#[test]
fn a_booking_that_waits_for_its_claim_lapses_when_its_callers_leave() {
    let mut coordinator = coordinator();
    arrive(&mut coordinator, 7, 1, Lookup::Unclaimed, 0);
    arrive(&mut coordinator, 7, 2, Lookup::Unclaimed, 0);
    coordinator.remove_waiter(7, Waiter(1));
    coordinator.next_batch(at(10)).unwrap();
    coordinator.remove_waiter(7, Waiter(2));
    assert_eq!(coordinator.observe_claim(7, OWN), []);
    assert_eq!(coordinator.dispatch(7, at(20)), Dispatch::Refused);
}

/// Guards against the result of an append that is applied to the claims of a later one.
#[test]
fn results_of_other_appends_are_ignored() {
    let mut coordinator = coordinator();
    arrive(&mut coordinator, 7, 1, Lookup::Unclaimed, 0);
    let first = coordinator.next_batch(at(10)).unwrap();
    arrive(&mut coordinator, 8, 2, Lookup::Unclaimed, 11);
    assert_eq!(coordinator.next_batch(at(100)), None, "one append at a time");
    coordinator.finish_append(first.sequence, Append::Accepted, at(101));
    let second = coordinator.next_batch(at(101)).unwrap();
    coordinator.finish_append(first.sequence, Append::Refused, at(102));
    assert_eq!(coordinator.caught_up(at(103)), []);
    coordinator.finish_append(second.sequence, Append::Refused, at(104));
    assert_eq!(coordinator.caught_up(at(105)).len(), 1);
}

/// Guards against keys that wait until their deadline for claims that were part of a snapshot.
#[test]
fn a_snapshot_settles_waiting_claims() {
    let mut coordinator = coordinator();
    arrive(&mut coordinator, 7, 1, Lookup::Unclaimed, 0);
    arrive(&mut coordinator, 8, 2, Lookup::Unclaimed, 0);
    coordinator.next_batch(at(10)).unwrap();
    let lookup = |key| if key == 7 { Lookup::Claimed(OWN) } else { Lookup::Claimed(OTHER) };
    let relay = Effect::Relay { waiter: Waiter(2), executor: OTHER, deadline: at(1_000) };
    assert_eq!(coordinator.resync(lookup), [Effect::Run(7), relay]);
}

/// Guards against a second run for a claim of this process whose key is no longer in the ledger.
#[test]
fn an_own_claim_without_a_record_is_unknown() {
    let unknown = Outcome::Unknown(Cause::Forgotten);
    let step = arrive(&mut coordinator(), 7, 1, Lookup::Claimed(OWN), 0);
    assert_eq!(step, Step::Answer(unknown));
}

/// Guards against executor keys that are run by a process that they do not name, for example after
/// a restart at the same address, and against relays that loop.
#[test]
fn only_the_named_incarnation_runs_an_executor_key() {
    let mut coordinator = coordinator();
    let request = |incarnation| Request {
        key: Key::Executor { incarnation, issued_ms: 0 },
        ..opaque(u128::from(incarnation))
    };
    let peer = |executor| Origin::Peer { executor };
    let mut arrive = |incarnation, origin| {
        coordinator.arrive(&request(incarnation), origin, Lookup::Unclaimed, Waiter(1), at(1))
    };
    let gone = Step::Answer(Outcome::Unknown(Cause::ExecutorGone));
    assert_eq!(arrive(OTHER, Origin::Caller), Step::Relay(OTHER));
    assert_eq!(arrive(OTHER, peer(OTHER)), gone);
    assert_eq!(arrive(OTHER, peer(OWN)), gone);
    assert_eq!(arrive(OWN, peer(OTHER)), gone);
    assert_eq!(arrive(OWN, peer(OWN)), Step::Run);
    assert_eq!(arrive(OWN, Origin::Caller), Step::Wait);
    let relayed = coordinator.arrive(
        &opaque(9),
        Origin::Peer { executor: OWN },
        Lookup::Claimed(OTHER),
        Waiter(1),
        at(1),
    );
    assert_eq!(relayed, Step::Answer(Outcome::Unknown(Cause::ClaimUnsettled)));
}

/// Guards against the outcome "not run" after a lost relay answer, and against answers that are
/// late, repeated or from another process.
#[test]
fn a_relay_ends_once_and_a_lost_answer_is_unknown() {
    let mut table = relay::Table::default();
    let exchange =
        |waiter| relay::Exchange { waiter: Waiter(waiter), executor: OTHER, deadline: at(100) };
    let unknown = |cause| relay::Answer::Outcome(Outcome::Unknown(cause));
    let done = relay::Answer::Outcome(Outcome::Done(reply()));
    let answered = relay::End::Answered(done.clone());

    let first = table.begin(exchange(1));
    assert_eq!(
        table.finish_attempt(first, OTHER, relay::End::Unsent, at(1)),
        Some(relay::Step::Retry(exchange(1)))
    );
    assert_eq!(table.finish_attempt(first, 0xc, answered.clone(), at(2)), None);
    let step = Some(relay::Step::Answer(Waiter(1), done));
    assert_eq!(table.finish_attempt(first, OTHER, answered.clone(), at(2)), step);
    assert_eq!(table.finish_attempt(first, OTHER, answered, at(2)), None);

    let second = table.begin(exchange(2));
    let step = Some(relay::Step::Answer(Waiter(2), unknown(Cause::AnswerLost)));
    assert_eq!(table.finish_attempt(second, OTHER, relay::End::Lost, at(3)), step);

    let third = table.begin(exchange(3));
    let step = Some(relay::Step::Answer(Waiter(3), unknown(Cause::Unreachable)));
    assert_eq!(table.finish_attempt(third, OTHER, relay::End::Unsent, at(100)), step);

    table.begin(exchange(4));
    let step = relay::Step::Answer(Waiter(4), unknown(Cause::Unreachable));
    assert_eq!(table.expire(at(99) + Duration::from_millis(1)), [step]);
    assert!(table.is_empty());
}
