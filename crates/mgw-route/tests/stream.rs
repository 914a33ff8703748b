//! Tests of model calls across lost connections and mixed-up answers.

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

fn chunk(connection: u32, offset: u64, tokens: u64) -> Chunk<'static> {
    Chunk { connection, request: REQUEST, offset, tokens }
}

fn alternatives(same_target: bool, other: bool) -> Alternatives {
    Alternatives { same_target, other_target: other.then(|| targets(2)[1]), retry_budget: true }
}

/// Guards against a truncated answer that is reported as complete.
#[test]
fn an_answer_is_complete_only_when_the_engine_says_so() {
    let mut call = call();
    assert_eq!(call.receive(&chunk(0, 0, 5)), Disposition::Forward { skip: 0 });
    assert_eq!(call.finish(0, REQUEST, Some(6)), Completion::Truncated);
    assert!(!call.is_complete());
    let attempt = Attempt { connection: 1, target: targets(2)[0] };
    assert_eq!(
        call.connection_lost(0, &alternatives(true, true), at(1)),
        Recovery::Resume { attempt, offset: 5 }
    );
    assert_eq!(call.finish(0, REQUEST, None), Completion::Discard(Discard::Late));
    assert_eq!(call.receive(&chunk(1, 5, 1)), Disposition::Forward { skip: 0 });
    assert_eq!(call.finish(1, "r2", None), Completion::Discard(Discard::Crossed));
    assert_eq!(call.finish(1, REQUEST, Some(6)), Completion::Complete);
    assert!(call.is_complete());
    assert_eq!(call.connection_lost(1, &alternatives(true, true), at(2)), Recovery::Ignored);
    assert_eq!(call.finish(1, REQUEST, Some(6)), Completion::Discard(Discard::Over));
}

/// Guards against an answer with tokens of another request or an old connection, with repeated
/// tokens or with a gap.
#[test]
fn crossed_late_duplicate_and_missing_pieces_do_not_reach_the_caller() {
    let mut call = call();
    call.receive(&chunk(0, 0, 4));
    let crossed = Chunk { request: "r2", ..chunk(0, 4, 1) };
    assert_eq!(call.receive(&crossed), Disposition::Discard(Discard::Crossed));
    assert_eq!(call.receive(&chunk(0, 2, 2)), Disposition::Discard(Discard::Duplicate));
    assert_eq!(call.receive(&chunk(0, 2, 3)), Disposition::Forward { skip: 2 });
    assert_eq!(call.received(), 5);
    assert_eq!(call.receive(&chunk(0, 6, 1)), Disposition::Gap);
    call.connection_lost(0, &alternatives(true, true), at(1));
    assert_eq!(call.receive(&chunk(0, 5, 1)), Disposition::Discard(Discard::Late));
    // The engine ignored the requested offset and started from the beginning.
    assert_eq!(call.receive(&chunk(1, 0, 5)), Disposition::Discard(Discard::Duplicate));
    assert_eq!(call.receive(&chunk(1, 5, 2)), Disposition::Forward { skip: 0 });
    assert_eq!(call.received(), 7);
}

/// Guards against endless attempts at a dead target, and against a broken call while another target
/// is available.
#[test]
fn a_lost_connection_is_resumed_then_continued_then_broken() {
    let mut call = call();
    call.receive(&chunk(0, 0, 4));
    let [first, second] = targets(2)[..] else { panic!("two targets") };
    let resume = Attempt { connection: 1, target: first };
    let alternatives = alternatives(true, true);
    assert_eq!(
        call.connection_lost(0, &alternatives, at(1)),
        Recovery::Resume { attempt: resume, offset: 4 }
    );
    assert_eq!(
        call.connection_lost(0, &alternatives, at(1)),
        Recovery::Ignored,
        "the same loss reported again"
    );
    let resume = Attempt { connection: 2, target: first };
    assert_eq!(
        call.connection_lost(1, &alternatives, at(2)),
        Recovery::Resume { attempt: resume, offset: 4 }
    );
    let attempt = Attempt { connection: 3, target: second };
    assert_eq!(
        call.connection_lost(2, &alternatives, at(3)),
        Recovery::Continue { attempt, offset: 4 }
    );
    let none = self::alternatives(false, false);
    assert_eq!(call.connection_lost(3, &none, at(4)), Recovery::Broken(Error::NoTarget));
    assert_eq!(call.error(), Some(Error::NoTarget));
    assert_eq!(call.receive(&chunk(3, 4, 1)), Disposition::Discard(Discard::Over));
    assert_eq!(call.finish(3, REQUEST, None), Completion::Discard(Discard::Over));
}

/// Guards against a recovery without retry budget, after the deadline, or at another target
/// although the text was not kept.
#[test]
fn recovery_has_bounds() {
    let lost = |text: bool, alternatives: Alternatives, ms| {
        let mut call = call();
        call.receive(&chunk(0, 0, 4));
        if !text {
            call.drop_text();
        }
        call.connection_lost(0, &alternatives, at(ms))
    };
    let spent = Alternatives { retry_budget: false, ..alternatives(false, true) };
    assert_eq!(lost(true, spent, 1), Recovery::Broken(Error::Budget));
    assert_eq!(lost(true, alternatives(true, true), 1_000), Recovery::Broken(Error::Deadline));
    assert_eq!(lost(false, alternatives(false, true), 1), Recovery::Broken(Error::Text));
    assert!(matches!(lost(false, alternatives(true, true), 1), Recovery::Resume { .. }));
    let mut call = call();
    assert!(!call.expire(at(999)));
    assert!(call.expire(at(1_000)));
    assert!(!call.expire(at(1_001)));
    assert_eq!(call.cancel(), None);
}

/// Guards against a wrong or partial answer that is reported as complete, over random losses and
/// repetitions.
#[test]
fn random_losses_yield_the_exact_answer_or_an_error() {
    let (mut complete, mut broken) = (0, 0);
    for seed in 0..500 {
        let mut random = SmallRng::seed_from_u64(seed);
        let total: u64 = random.random_range(0..40);
        let mut call = call();
        let mut answer: Vec<u64> = Vec::new();
        let (mut connection, mut position) = (0, 0);
        while !call.is_complete() && call.error().is_none() {
            let is_lost = match random.random_range(0..10) {
                0 => true,
                1 => {
                    // A late or crossed message.
                    let late = Chunk { connection: connection + 1, ..chunk(0, position, 3) };
                    assert!(matches!(call.receive(&late), Disposition::Discard(_)));
                    false
                }
                2 => call.finish(connection, REQUEST, Some(total)) == Completion::Truncated,
                _ => {
                    let tokens = random.random_range(0..6).min(total - position);
                    let chunk = chunk(connection, position, tokens);
                    position += tokens;
                    match call.receive(&chunk) {
                        Disposition::Forward { skip } => {
                            answer.extend(chunk.offset + skip..chunk.offset + tokens);
                            false
                        }
                        Disposition::Discard(_) => false,
                        Disposition::Gap => true,
                    }
                }
            };
            if is_lost {
                let alternatives = alternatives(random.random(), random.random_range(0..4) > 0);
                if let Recovery::Resume { attempt, offset }
                | Recovery::Continue { attempt, offset } =
                    call.connection_lost(connection, &alternatives, at(1))
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
                complete += 1;
            }
            false => broken += 1,
        }
    }
    assert!(complete > 50 && broken > 50, "{complete} complete, {broken} broken");
}
