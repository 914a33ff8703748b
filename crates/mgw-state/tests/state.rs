//! Tests of the validity rules and effects of records.

mod common;

use common::{Log, check, member};
use mgw_state::claim::{Decision, Status};
use mgw_state::record::{Claim, Envelope, Mark, Reason, Record, Target, UniqueId};
use mgw_state::snapshot::{Assembler, restore, split};
use mgw_state::state::{Cause, Change, Options, Outcome, State};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SHEET: &str = "i a z d k no\ni b z d k no\ni c z d k yes\ni e z d k yes\nm m 1 k 2 1 0";

/// Returns a log in which entries 1 and 2 have joined and entry 1 is the planner.
fn log_with_planner() -> Log {
    let mut log = Log::new();
    log.publish(SHEET);
    log.join(1, "one");
    log.join(2, "two");
    log.lead(1);
    log
}

/// Returns why a record was ignored.
fn ignored_cause(outcome: (u64, Outcome)) -> Cause {
    match outcome.1 {
        Outcome::Ignored(cause) => cause,
        applied => panic!("took effect: {applied:?}"),
    }
}

/// Guards against two planners in one term: the second `Lead` and all plans of its writer are
/// ignored.
#[test]
fn second_planner_of_a_term_has_no_effect() {
    let mut log = Log::new();
    log.publish(SHEET);
    log.lead(1);
    let lead = Record::Lead { term: 1, incarnation: 2 };
    assert_eq!(ignored_cause(log.append(2, lead)), Cause::Term { term: 1 });
    let form = log.form(&["c", "e"], 2);
    assert_eq!(ignored_cause(log.append(2, form)), Cause::Term { term: 1 });
    let form = log.form(&["c", "e"], 1);
    log.accept(1, form);
}

/// Guards against records that a planner was delayed in appending while another took over.
#[test]
fn late_records_of_an_old_term_have_no_effect() {
    let mut log = log_with_planner();
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
        assert_eq!(ignored_cause(log.append(1, record)), Cause::Term { term: 2 });
    }
    let after = log.state.groups().map(|(id, group)| (id, group.clone())).collect::<Vec<_>>();
    assert_eq!(before, after);
}

/// Guards against a plan that is based on a superseded configuration, and against a member that is
/// already assigned, listed twice or restarted.
#[test]
fn form_checks_version_members_and_boots() {
    let mut log = log_with_planner();
    let old = log.form(&["c", "e"], 1);
    let version = log.publish(&format!("{SHEET}\nm n 1 k 1 1 0"));
    assert_eq!(ignored_cause(log.append(1, old)), Cause::Base { version });
    let twice = log.form(&["c", "c"], 1);
    assert!(matches!(ignored_cause(log.append(1, twice)), Cause::Busy { .. }));
    let form = log.form(&["c", "e"], 1);
    let group = log.accept(1, form.clone());
    let busy = Cause::Busy { instance: "c".into(), group };
    assert_eq!(ignored_cause(log.append(1, form)), busy);
    log.accept(1, Record::Restarted { term: 1, instance: "c".into(), boot: "b2".into() });
    assert!(log.state.group(group).is_some_and(|group| group.members[0].vacant));
    let stale = log.form(&["c", "a"], 1);
    assert_eq!(ignored_cause(log.append(1, stale)), Cause::Boot { instance: "c".into() });
    let back = Record::Restarted { term: 1, instance: "c".into(), boot: "b1".into() };
    assert_eq!(ignored_cause(log.append(1, back)), Cause::Boot { instance: "c".into() });
    check(&log.state);
}

/// Guards against orders of two executors reaching an engine that does not check fencing tokens:
/// custody ends only by `OrderDone`, a restart, or proof that the executor is dead.
#[test]
fn custody_blocks_other_executors_until_the_order_can_no_longer_arrive() {
    type EndCustody = fn(&mut Log, u64);
    let end_custody: [(&str, EndCustody); 4] = [
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
    for (name, end_custody) in end_custody {
        let mut log = log_with_planner();
        let form = log.form(&["a", "b"], 1);
        let group = log.accept(1, form);
        log.lead(2);
        log.accept(2, Record::Dissolve { term: 2, group, reason: Reason::NotWanted });
        let form = log.form(&["a", "b"], 2);
        let custody = Cause::Custody { instance: "a".into(), executor: 1 };
        assert_eq!(ignored_cause(log.append(2, form.clone())), custody, "{name}");
        log.join(4, "four");
        assert_eq!(ignored_cause(log.append(2, form.clone())), custody, "{name}");
        end_custody(&mut log, group);
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

/// Guards against custody that blocks engines which reject stale orders themselves, and against a
/// replacement while a delayed order of the old executor could still overwrite the member list.
#[test]
fn custody_exempts_fencing_engines_and_covers_remaining_members() {
    let mut log = log_with_planner();
    let form = log.form(&["c", "e"], 1);
    let group = log.accept(1, form);
    log.lead(2);
    log.accept(2, Record::Dissolve { term: 2, group, reason: Reason::MemberLost });
    let form = log.form(&["c", "a"], 2);
    let group = log.accept(2, form);
    log.lead(1);
    let replace =
        Record::Replace { term: 3, group, lost: "c".into(), spare: member("e"), executor: 1 };
    let custody = Cause::Custody { instance: "a".into(), executor: 2 };
    assert_eq!(ignored_cause(log.append(1, replace.clone())), custody);
    log.accept(2, Record::OrderDone { instance: "a".into(), fence: group });
    let fence = log.accept(1, replace);
    assert_eq!(log.state.group(group).map(|group| group.fence), Some(fence));
    let late = Record::OrderDone { instance: "e".into(), fence: group };
    assert_eq!(ignored_cause(log.append(2, late)), Cause::Settled);
    check(&log.state);
}

/// Guards against two executors of one booking key, and against a claim that expires too early or
/// too late.
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

/// Guards against claims that are lost when the buffered claims are merged into the large vector.
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

/// Guards against a quarantine that starts late, does not end, or counts crashes older than the
/// window.
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

/// Guards against a publication that overwrites one which its author has not seen, against one at
/// offset 0, whose version would mean "none", and against a repeated publication that is not
/// recognized.
#[test]
fn racing_publications_do_not_overwrite_each_other() {
    let publish = |id: &str, base: u64, sheet: &str| Record::Publish {
        publication: id.into(),
        base,
        sheet: sheet.into(),
    };
    let mut state = State::new(Options::new(common::parse));
    let first = Envelope { append_id: UniqueId::default(), record: publish("p", 0, SHEET) };
    assert_eq!(state.apply(0, 1, &first), Outcome::Ignored(Cause::Origin));

    let mut log = Log::new();
    let version = log.accept(1, publish("p", 0, SHEET));
    assert_eq!(ignored_cause(log.append(2, publish("q", 0, "w 0 1"))), Cause::Base { version });
    assert_eq!(ignored_cause(log.append(2, publish("p", 0, SHEET))), Cause::Published { version });
    assert_eq!(ignored_cause(log.append(2, publish("r", version, "fault"))), Cause::Sheet);
    assert_eq!(log.state.config().text, SHEET);
    let next = log.accept(2, publish("q", version, "w 0 1"));
    assert_eq!(log.state.config().version, next);
}

/// Guards against an append that takes effect after its writer has settled it as absent.
#[test]
fn append_after_a_later_append_of_its_writer_has_no_effect() {
    let mut log = log_with_planner();
    let claim = |key| Record::Claim { claims: vec![Claim { key, executor: 1 }] };
    log.accept(1, claim(1));
    log.sequence -= 2;
    assert_eq!(ignored_cause(log.append(1, claim(2))), Cause::Late);
    assert_eq!(log.state.claims().get(2), None);
}

/// Returns a random record, valid or not, that refers to terms, groups and instances of `state`.
fn random_record(state: &State, random: &mut SmallRng) -> Record {
    let names = ["a", "b", "c", "e"];
    let groups: Vec<u64> = state.groups().map(|(id, _)| id).collect();
    let term = state.term().number - u64::from(random.random_ratio(1, 8));
    let executor = random.random_range(1..4);
    let name = names[random.random_range(0..4)];
    let group = match groups.is_empty() {
        true => 0,
        false => groups[random.random_range(0..groups.len())],
    };
    let mut random_member = || {
        let name = names[random.random_range(0..4)];
        let known = state.instance(name).map(|instance| instance.boot.to_string());
        let boot = known.filter(|boot| !boot.is_empty()).unwrap_or("b1".into());
        mgw_state::record::Member { instance: name.into(), boot }
    };
    let (one, two) = (random_member(), random_member());
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

/// Guards against an instance in two groups, against a replay that depends on more than the log,
/// and against a snapshot that loses state. Applies random sequences of valid and invalid records
/// to two states, one of which is restored from its own snapshot every 50 records.
#[test]
fn random_sequences_keep_instances_in_one_group() {
    let mut applied = 0;
    for seed in 0..60 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut log = log_with_planner();
        let mut replica = log.state.clone();
        for step in 0..300 {
            let writer = match random.random_ratio(7, 8) {
                true => log.state.term().planner.unwrap_or(1),
                false => random.random_range(1..4),
            };
            let record = random_record(&log.state, &mut random);
            log.at_ms += 60_000;
            let append_id = UniqueId { incarnation: writer, sequence: log.sequence };
            let envelope = Envelope { append_id, record: record.clone() };
            let (offset, outcome) = log.append(writer, record);
            assert_eq!(replica.apply(offset, log.at_ms, &envelope), outcome, "seed {seed}");
            applied += u32::from(matches!(outcome, Outcome::Applied(_)));
            check(&log.state);
            if step % 50 == 49 {
                let mut assembler = Assembler::default();
                let parts = split(&replica).expect("the state fits");
                let snapshot =
                    parts.into_iter().filter_map(|it| assembler.add(append_id, it)).next();
                replica =
                    restore(Options::new(common::parse), &snapshot.expect("all parts are there"))
                        .expect("the snapshot is valid");
            }
        }
        assert!(replica == log.state, "seed {seed}");
    }
    assert!(applied > 4_000, "only {applied} records took effect");
}
