//! Tests of the validity rules.

mod common;

use common::{Log, check, member};
use mgw_state::claim::{Decision, Status};
use mgw_state::record::{Claim, Envelope, Mark, Reason, Record, Target, UniqueId};
use mgw_state::snapshot::{Assembler, restore, split};
use mgw_state::state::{Cause, Change, Options, Outcome, State};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SHEET: &str = "i a z d k no\ni b z d k no\ni c z d k yes\ni e z d k yes\nm m 1 k 2 1 0";

/// Entries 1 and 2 have joined and 1 is the planner.
fn start() -> Log {
    let mut log = Log::new();
    log.publish(SHEET);
    log.join(1, "one");
    log.join(2, "two");
    log.lead(1);
    log
}

fn ignored(outcome: (u64, Outcome)) -> Cause {
    match outcome.1 {
        Outcome::Ignored(cause) => cause,
        applied => panic!("took effect: {applied:?}"),
    }
}

/// Guards against two planners in one term: the second `Lead` and every plan of its writer fail.
#[test]
fn second_planner_of_a_term_has_no_effect() {
    let mut log = Log::new();
    log.publish(SHEET);
    log.lead(1);
    let lead = Record::Lead { term: 1, incarnation: 2 };
    assert_eq!(ignored(log.append(2, lead)), Cause::TermMismatch { term: 1 });
    let form = log.form(&["c", "e"], 2);
    assert_eq!(ignored(log.append(2, form)), Cause::TermMismatch { term: 1 });
    let form = log.form(&["c", "e"], 1);
    log.accept(1, form);
}

/// Guards against late records of a planner that was paused while another took over.
#[test]
fn late_records_of_an_old_term_have_no_effect() {
    let mut log = start();
    let form = log.form(&["a", "b"], 1);
    let group = log.accept(1, form);
    let late = [
        log.form(&["c", "e"], 1),
        Record::Dissolve { term: 1, group, reason: Reason::NotWanted },
        Record::Replace { term: 1, group, lost: "a".into(), spare: member("c"), executor: 1 },
        Record::Restarted { term: 1, instance: "a".into(), boot: "b2".into() },
    ];
    log.lead(2);
    let before = log.state.groups().map(|(id, group)| (id, group.clone())).collect::<Vec<_>>();
    for record in late {
        assert_eq!(ignored(log.append(1, record)), Cause::TermMismatch { term: 2 });
    }
    let after = log.state.groups().map(|(id, group)| (id, group.clone())).collect::<Vec<_>>();
    assert_eq!(before, after);
}

/// Guards against a plan made from a superseded configuration, and against a busy, repeated or
/// restarted member.
#[test]
fn form_checks_version_members_and_boots() {
    let mut log = start();
    let old = log.form(&["c", "e"], 1);
    let version = log.publish(&format!("{SHEET}\nm n 1 k 1 1 0"));
    assert_eq!(ignored(log.append(1, old)), Cause::BaseMismatch { version });
    let twice = log.form(&["c", "c"], 1);
    assert!(matches!(ignored(log.append(1, twice)), Cause::AlreadyAssigned { .. }));
    let form = log.form(&["c", "e"], 1);
    let group = log.accept(1, form.clone());
    let busy = Cause::AlreadyAssigned { instance: "c".into(), group };
    assert_eq!(ignored(log.append(1, form)), busy);
    log.accept(1, Record::Restarted { term: 1, instance: "c".into(), boot: "b2".into() });
    assert!(log.state.group(group).is_some_and(|group| group.members[0].vacant));
    let stale = log.form(&["c", "a"], 1);
    assert_eq!(ignored(log.append(1, stale)), Cause::BootMismatch { instance: "c".into() });
    let back = Record::Restarted { term: 1, instance: "c".into(), boot: "b1".into() };
    assert_eq!(ignored(log.append(1, back)), Cause::BootMismatch { instance: "c".into() });
    check(&log.state);
}

/// Guards against orders of two executors reaching an engine without fencing: custody ends only by
/// `OrderDone`, a restart, or proof that the executor is dead.
#[test]
fn custody_blocks_until_the_order_cannot_arrive_any_more() {
    type Settle = fn(&mut Log, u64);
    let settle: [(&str, Settle); 4] = [
        ("order done", |log, fence| {
            for instance in ["a", "b"] {
                log.accept(1, Record::OrderDone { instance: instance.into(), fence });
            }
        }),
        ("joined at the address", |log, _| {
            log.join(3, "one");
        }),
        ("gone", |log, _| {
            log.accept(2, Record::EntryGone { incarnation: 1 });
        }),
        ("restarted", |log, _| {
            for instance in ["a", "b"] {
                let (instance, boot) = (instance.into(), "b2".into());
                log.accept(2, Record::Restarted { term: 2, instance, boot });
            }
        }),
    ];
    for (name, settle) in settle {
        let mut log = start();
        let form = log.form(&["a", "b"], 1);
        let group = log.accept(1, form);
        log.lead(2);
        log.accept(2, Record::Dissolve { term: 2, group, reason: Reason::NotWanted });
        let form = log.form(&["a", "b"], 2);
        let custody = Cause::CustodyHeld { instance: "a".into(), executor: 1 };
        assert_eq!(ignored(log.append(2, form.clone())), custody, "{name}");
        log.join(4, "four");
        assert_eq!(ignored(log.append(2, form.clone())), custody, "{name}");
        settle(&mut log, group);
        let custody = |name| log.state.instance(name).and_then(|it| it.custody.as_ref());
        assert_eq!((custody("a"), custody("b")), (None, None), "{name}");
        let form = match form {
            Record::Form { term, base, model, version, mut members, executor } => {
                let boot = |name: &str| log.state.instance(name).map(|it| it.boot.to_string());
                for member in &mut members {
                    member.boot = boot(&member.instance).expect("known");
                }
                Record::Form { term, base, model, version, members, executor }
            }
            other => other,
        };
        log.accept(2, form);
        check(&log.state);
    }
}

/// Guards against custody that stops engines which reject stale orders themselves, and against a
/// new member list that a late order of the old executor could undo.
#[test]
fn custody_spares_fencing_engines_and_covers_remaining_members() {
    let mut log = start();
    let form = log.form(&["c", "e"], 1);
    let group = log.accept(1, form);
    log.lead(2);
    log.accept(2, Record::Dissolve { term: 2, group, reason: Reason::MemberLost });
    let form = log.form(&["c", "a"], 2);
    let group = log.accept(2, form);
    log.lead(1);
    let replace =
        Record::Replace { term: 3, group, lost: "c".into(), spare: member("e"), executor: 1 };
    let custody = Cause::CustodyHeld { instance: "a".into(), executor: 2 };
    assert_eq!(ignored(log.append(1, replace.clone())), custody);
    log.accept(2, Record::OrderDone { instance: "a".into(), fence: group });
    let fence = log.accept(1, replace);
    assert_eq!(log.state.group(group).map(|group| group.fence), Some(fence));
    let late = Record::OrderDone { instance: "e".into(), fence: group };
    assert_eq!(ignored(log.append(2, late)), Cause::NoSuchOrder);
    check(&log.state);
}

/// Guards against two executors of one booking key, and against a claim that is lost or kept at the
/// wrong moment.
#[test]
fn first_claim_wins_within_the_window() {
    let mut log = Log::with(Options { claim_limit: 2, ..Options::new(common::parse) });
    let claim = |key: u128, executor: u64| Record::Claim { claims: vec![Claim { key, executor }] };
    let decided = |key: u128, claimant: u64, status: Status| {
        Outcome::Applied(Change::ClaimsDecided(vec![Decision { key, claimant, status }]))
    };
    let outcome = log.append(1, claim(7, 1)).1;
    assert_eq!(outcome, decided(7, 1, Status::Granted));
    let outcome = log.append(2, claim(7, 2)).1;
    assert_eq!(outcome, decided(7, 2, Status::AlreadyClaimed { executor: 1 }));
    let outcome = log.append(1, claim(7, 1)).1;
    assert_eq!(outcome, decided(7, 1, Status::Granted));
    let day = 24 * 3_600_000;
    log.at_ms += day - 1;
    let outcome = log.append(2, claim(7, 2)).1;
    assert_eq!(outcome, decided(7, 2, Status::AlreadyClaimed { executor: 1 }));
    let outcome = log.append(2, claim(8, 2)).1;
    assert_eq!(outcome, decided(8, 2, Status::Granted));
    let outcome = log.append(2, claim(9, 2)).1;
    assert_eq!(outcome, decided(9, 2, Status::LimitReached));
    assert_eq!(log.state.claims().get(9), None);
    log.at_ms += 1;
    let outcome = log.append(2, claim(7, 2)).1;
    assert_eq!(outcome, decided(7, 2, Status::Granted));
    assert_eq!(log.state.claims().get(7).map(|held| held.executor), Some(2));
    let outcome = log.append(1, claim(9, 1)).1;
    assert_eq!(outcome, decided(9, 1, Status::LimitReached));
    assert_eq!(log.state.claims().len(), 2);
}

/// Guards against claims that get lost between the small and the large vector, over many claims.
#[test]
fn many_claims_stay_in_force() {
    let mut log = Log::new();
    let mut random = SmallRng::seed_from_u64(5);
    let keys: Vec<u128> = (0..5_000).map(|_| random.random()).collect();
    for chunk in keys.chunks(100) {
        let claims = chunk.iter().map(|key| Claim { key: *key, executor: 1 }).collect();
        log.accept(1, Record::Claim { claims });
        log.at_ms += 1_000;
    }
    let held = |key: &u128| log.state.claims().get(*key).is_some_and(|held| held.executor == 1);
    assert!(keys.iter().all(held));
    assert_eq!(log.state.claims().len(), keys.len());
}

/// Guards against a quarantine that starts late, never ends, or counts crashes of long ago.
#[test]
fn crashes_count_within_the_window() {
    let mut log = Log::new();
    let crash = Record::Crash { fingerprint: 3, group: 1 };
    log.accept(1, crash.clone());
    assert!(!log.state.is_quarantined(3, log.at_ms));
    log.at_ms += 600_000;
    log.accept(1, crash.clone());
    assert_eq!(log.state.crashes(3, log.at_ms), 1);
    log.at_ms += 599_999;
    log.accept(2, crash);
    assert!(log.state.is_quarantined(3, log.at_ms));
    assert!(log.state.is_quarantined(3, log.at_ms + 599_999));
    assert!(!log.state.is_quarantined(3, log.at_ms + 600_000));
    assert!(!log.state.is_quarantined(4, log.at_ms));
}

/// Guards against a publication that overwrites one that its author has not seen, also at the
/// first offset, and against a repeated publication that fails instead of naming its version.
#[test]
fn racing_publications_do_not_overwrite_each_other() {
    let publish = |id: &str, base: u64, sheet: &str| Record::Publish {
        publication: id.into(),
        base,
        sheet: sheet.into(),
    };
    let mut state = State::new(Options::new(common::parse));
    let first = Envelope { append_id: UniqueId::default(), record: publish("p", 0, SHEET) };
    assert_eq!(state.apply(0, 1, &first), Outcome::Ignored(Cause::OffsetZero));

    let mut log = Log::new();
    let version = log.accept(1, publish("p", 0, SHEET));
    assert_eq!(ignored(log.append(2, publish("q", 0, "w 0 1"))), Cause::BaseMismatch { version });
    assert_eq!(ignored(log.append(2, publish("p", 0, SHEET))), Cause::AlreadyPublished { version });
    assert_eq!(ignored(log.append(2, publish("r", version, "fault"))), Cause::InvalidSheet);
    assert_eq!(log.state.config().text, SHEET);
    let next = log.accept(2, publish("q", version, "w 0 1"));
    assert_eq!(log.state.config().version, next);
}

/// Guards against an append that takes effect after its writer has taken it for absent.
#[test]
fn append_behind_a_later_one_of_its_writer_has_no_effect() {
    let mut log = start();
    let claim = |key| Record::Claim { claims: vec![Claim { key, executor: 1 }] };
    log.accept(1, claim(1));
    log.sequence -= 2;
    assert_eq!(ignored(log.append(1, claim(2))), Cause::StaleSequence);
    assert_eq!(log.state.claims().get(2), None);
}

/// A record that is plausible in `state`, valid or not.
fn plausible(state: &State, random: &mut SmallRng) -> Record {
    let names = ["a", "b", "c", "e"];
    let groups: Vec<u64> = state.groups().map(|(id, _)| id).collect();
    let term = state.term().number - u64::from(random.random_ratio(1, 8));
    let executor = random.random_range(1..4);
    let name = names[random.random_range(0..4)];
    let group = match groups.is_empty() {
        true => 0,
        false => groups[random.random_range(0..groups.len())],
    };
    let mut any = || {
        let name = names[random.random_range(0..4)];
        let known = state.instance(name).map(|instance| instance.boot.to_string());
        let boot = known.filter(|boot| !boot.is_empty()).unwrap_or("b1".into());
        mgw_state::record::Member { instance: name.into(), boot }
    };
    let (one, two) = (any(), any());
    match random.random_range(0..12) {
        0..4 => Record::Form {
            term,
            base: state.config().version,
            model: "m".into(),
            version: "1".into(),
            members: vec![one, two],
            executor,
        },
        4 => Record::Dissolve { term, group, reason: Reason::MemberLost },
        5 | 6 => Record::Replace { term, group, lost: name.into(), spare: one, executor },
        7 => {
            let boot = format!("b{}", random.random_range(1..20));
            Record::Restarted { term, instance: name.into(), boot }
        }
        8 => {
            let fence = state.instance(name).and_then(|it| it.custody.as_ref()).map(|it| it.fence);
            Record::OrderDone { instance: name.into(), fence: fence.unwrap_or(0) }
        }
        9 => Record::Lead { term: term + 1, incarnation: executor },
        10 => Record::Claim { claims: vec![Claim { key: random.random_range(0..9), executor }] },
        _ => Record::Mark { target: Target::Instance(name.into()), mark: Mark::Cordon },
    }
}

/// Guards against an instance in two groups, a replay that depends on more than the log, and a
/// snapshot that loses state, over random sequences of valid and invalid records.
#[test]
fn random_sequences_keep_instances_in_one_group() {
    let mut applied = 0;
    for seed in 0..60 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut log = start();
        let mut twin = log.state.clone();
        for step in 0..300 {
            let writer = match random.random_ratio(7, 8) {
                true => log.state.term().planner.unwrap_or(1),
                false => random.random_range(1..4),
            };
            let record = plausible(&log.state, &mut random);
            log.at_ms += 60_000;
            let append_id = UniqueId { incarnation: writer, sequence: log.sequence };
            let envelope = Envelope { append_id, record: record.clone() };
            let (offset, outcome) = log.append(writer, record);
            assert_eq!(twin.apply(offset, log.at_ms, &envelope), outcome, "seed {seed}");
            applied += u32::from(matches!(outcome, Outcome::Applied(_)));
            check(&log.state);
            if step % 50 == 49 {
                let mut assembly = Assembler::default();
                let parts = split(&twin).expect("the state fits");
                let whole = parts.into_iter().filter_map(|it| assembly.add(append_id, it)).next();
                twin = restore(Options::new(common::parse), &whole.expect("all parts are there"))
                    .expect("the snapshot is whole");
            }
        }
        assert!(twin == log.state, "seed {seed}");
    }
    assert!(applied > 4_000, "only {applied} records took effect");
}
