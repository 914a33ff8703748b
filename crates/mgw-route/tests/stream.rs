//! Tests of model calls over lost connections and mixed-up answers.

mod common;

use common::{at, targets};
use mgw_route::stream::{
    Alternatives, Attempt, Call, Chunk, Completion, Discard, Disposition, Error, Options, Recovery,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const REQUEST: &str = "r1";

fn call() -> Call {
    Call::new(Options::default(), REQUEST.into(), targets(2)[0], at(1_000))
}

fn piece(connection: u32, offset: u64, tokens: u64) -> Chunk<'static> {
    Chunk { connection, request: REQUEST, offset, tokens }
}

fn means(same_target: bool, other: bool) -> Alternatives {
    Alternatives { same_target, other_target: other.then(|| targets(2)[1]), retry_budget: true }
}

/// Guards against a truncated answer that is reported as whole.
#[test]
fn an_answer_is_whole_only_when_the_engine_says_so() {
    let mut call = call();
    assert_eq!(call.receive(&piece(0, 0, 5)), Disposition::Forward { skip: 0 });
    assert_eq!(call.finish(0, REQUEST, Some(6)), Completion::Truncated);
    assert!(!call.is_complete());
    let attempt = Attempt { connection: 1, target: targets(2)[0] };
    assert_eq!(
        call.connection_lost(0, &means(true, true), at(1)),
        Recovery::Resume { attempt, offset: 5 }
    );
    assert_eq!(call.finish(0, REQUEST, None), Completion::Discard(Discard::Late));
    assert_eq!(call.receive(&piece(1, 5, 1)), Disposition::Forward { skip: 0 });
    assert_eq!(call.finish(1, "r2", None), Completion::Discard(Discard::Crossed));
    assert_eq!(call.finish(1, REQUEST, Some(6)), Completion::Complete);
    assert!(call.is_complete());
    assert_eq!(call.connection_lost(1, &means(true, true), at(2)), Recovery::Ignored);
    assert_eq!(call.finish(1, REQUEST, Some(6)), Completion::Discard(Discard::Over));
}

/// Guards against tokens of another request, of an old connection, twice, or with a gap.
#[test]
fn crossed_late_duplicate_and_missing_pieces_do_not_reach_the_caller() {
    let mut call = call();
    call.receive(&piece(0, 0, 4));
    let crossed = Chunk { request: "r2", ..piece(0, 4, 1) };
    assert_eq!(call.receive(&crossed), Disposition::Discard(Discard::Crossed));
    assert_eq!(call.receive(&piece(0, 2, 2)), Disposition::Discard(Discard::Duplicate));
    assert_eq!(call.receive(&piece(0, 2, 3)), Disposition::Forward { skip: 2 });
    assert_eq!(call.received(), 5);
    assert_eq!(call.receive(&piece(0, 6, 1)), Disposition::Gap);
    call.connection_lost(0, &means(true, true), at(1));
    assert_eq!(call.receive(&piece(0, 5, 1)), Disposition::Discard(Discard::Late));
    // The engine ignored the resume count and started over.
    assert_eq!(call.receive(&piece(1, 0, 5)), Disposition::Discard(Discard::Duplicate));
    assert_eq!(call.receive(&piece(1, 5, 2)), Disposition::Forward { skip: 0 });
    assert_eq!(call.received(), 7);
}

/// Guards against endless attempts at a dead target, and against giving up with another one left.
#[test]
fn a_lost_connection_is_resumed_then_continued_then_broken() {
    let mut call = call();
    call.receive(&piece(0, 0, 4));
    let [first, second] = targets(2)[..] else { panic!("two targets") };
    let resume = Attempt { connection: 1, target: first };
    let means = means(true, true);
    assert_eq!(
        call.connection_lost(0, &means, at(1)),
        Recovery::Resume { attempt: resume, offset: 4 }
    );
    assert_eq!(
        call.connection_lost(0, &means, at(1)),
        Recovery::Ignored,
        "told twice of the same loss"
    );
    let resume = Attempt { connection: 2, target: first };
    assert_eq!(
        call.connection_lost(1, &means, at(2)),
        Recovery::Resume { attempt: resume, offset: 4 }
    );
    let attempt = Attempt { connection: 3, target: second };
    assert_eq!(call.connection_lost(2, &means, at(3)), Recovery::Continue { attempt, offset: 4 });
    let none = self::means(false, false);
    assert_eq!(call.connection_lost(3, &none, at(4)), Recovery::Broken(Error::NoTarget));
    assert_eq!(call.error(), Some(Error::NoTarget));
    assert_eq!(call.receive(&piece(3, 4, 1)), Disposition::Discard(Discard::Over));
    assert_eq!(call.finish(3, REQUEST, None), Completion::Discard(Discard::Over));
}

/// Guards against recovery beyond the budget, the deadline or the kept text.
#[test]
fn recovery_has_bounds() {
    let lost = |text: bool, means: Alternatives, ms| {
        let mut call = call();
        call.receive(&piece(0, 0, 4));
        if !text {
            call.drop_text();
        }
        call.connection_lost(0, &means, at(ms))
    };
    let spent = Alternatives { retry_budget: false, ..means(false, true) };
    assert_eq!(lost(true, spent, 1), Recovery::Broken(Error::Budget));
    assert_eq!(lost(true, means(true, true), 1_000), Recovery::Broken(Error::Deadline));
    assert_eq!(lost(false, means(false, true), 1), Recovery::Broken(Error::Text));
    assert!(matches!(lost(false, means(true, true), 1), Recovery::Resume { .. }));
    let mut call = call();
    assert!(!call.expire(at(999)));
    assert!(call.expire(at(1_000)));
    assert!(!call.expire(at(1_001)));
    assert_eq!(call.cancel(), None);
}

/// Guards, over random losses and repeats, against a caller that gets a wrong or partial answer
/// as a whole one.
#[test]
fn random_losses_yield_the_exact_answer_or_an_error() {
    let (mut whole, mut broken) = (0, 0);
    for seed in 0..500 {
        let mut random = SmallRng::seed_from_u64(seed);
        let total: u64 = random.random_range(0..40);
        let mut call = call();
        let mut answer: Vec<u64> = Vec::new();
        let (mut connection, mut position) = (0, 0);
        while !call.is_complete() && call.error().is_none() {
            let lose = match random.random_range(0..10) {
                0 => true,
                1 => {
                    // A late or crossed message.
                    let late = Chunk { connection: connection + 1, ..piece(0, position, 3) };
                    assert!(matches!(call.receive(&late), Disposition::Discard(_)));
                    false
                }
                2 => call.finish(connection, REQUEST, Some(total)) == Completion::Truncated,
                _ => {
                    let tokens = random.random_range(0..6).min(total - position);
                    let piece = piece(connection, position, tokens);
                    position += tokens;
                    match call.receive(&piece) {
                        Disposition::Forward { skip } => {
                            answer.extend(piece.offset + skip..piece.offset + tokens);
                            false
                        }
                        Disposition::Discard(_) => false,
                        Disposition::Gap => true,
                    }
                }
            };
            if lose {
                let means = means(random.random(), random.random_range(0..4) > 0);
                if let Recovery::Resume { attempt, offset }
                | Recovery::Continue { attempt, offset } =
                    call.connection_lost(connection, &means, at(1))
                {
                    connection = attempt.connection;
                    // Some engines repeat tokens, some skip one.
                    position = match random.random_range(0..4) {
                        0 => 0,
                        1 => (offset + 1).min(total),
                        _ => offset,
                    };
                }
            }
        }
        let expected: Vec<u64> = (0..call.received()).collect();
        assert_eq!(answer, expected, "seed {seed}");
        match call.is_complete() {
            true => {
                assert_eq!(call.received(), total, "seed {seed}");
                whole += 1;
            }
            false => broken += 1,
        }
    }
    assert!(whole > 50 && broken > 50, "{whole} whole, {broken} broken");
}
