//! Entries, the planner's role and the freshness of knowledge.

mod common;

use std::time::Duration;

use common::at;
use mgw_fleet::entry::{
    Heartbeat, LEADER_KEY, Leader, Phase, Record, Role, Table, decode, encode, heartbeat_key,
};
use mgw_fleet::freshness::Proof;

fn own(incarnation: u64, phase: Phase) -> Heartbeat {
    Heartbeat {
        incarnation,
        caller_address: "10.0.0.1:80".into(),
        feed_address: "10.0.0.1:81".into(),
        cores_milli: 250,
        zone: "a".into(),
        region: "r".into(),
        phase,
        resigned_term: None,
        blames: Vec::new(),
    }
}

fn heartbeat(incarnation: u64, phase: Phase) -> Record {
    Record::Heartbeat { wall_ms: 0, own: own(incarnation, phase), followers: Vec::new() }
}

fn lead(entry: &str, incarnation: u64) -> Record {
    Record::Leader(Leader { entry: entry.into(), incarnation })
}

/// A table that heard `a` and `b` at 1,000 ms.
fn table() -> Table {
    let mut table = Table::default();
    table.apply(&heartbeat_key("a"), 1, heartbeat(1, Phase::Serving), at(1_000));
    table.apply(&heartbeat_key("b"), 2, heartbeat(2, Phase::Serving), at(1_000));
    table.record_read(at(1_000));
    table
}

/// Guards against two planners: only the entry that the newest record names has the role.
#[test]
fn the_newest_record_names_the_planner() {
    let mut table = table();
    table.apply(LEADER_KEY, 3, lead("a", 1), at(1_000));
    assert_eq!(table.role("a", 1, false, at(1_100)), Role::Leader { term: 3 });
    assert_eq!(table.role("b", 2, false, at(1_100)), Role::Standby);
    table.apply(LEADER_KEY, 5, lead("b", 2), at(1_200));
    assert_eq!(table.role("a", 1, false, at(1_300)), Role::Standby);
    assert_eq!(table.role("b", 2, false, at(1_300)), Role::Leader { term: 5 });
}

/// Guards against groups that nobody repairs while the store is away: the planner goes on, as servers
/// refuse its orders once another one has given any. No other entry takes the role without a view of
/// the store, and nobody keeps it against a newer record.
#[test]
fn a_planner_with_old_knowledge_holds_the_role() {
    let mut table = table();
    table.apply(LEADER_KEY, 3, lead("a", 1), at(1_000));
    assert_eq!(table.role("a", 1, false, at(3_600)), Role::UnconfirmedLeader { term: 3 });
    assert_eq!(table.role("a", 9, false, at(3_600)), Role::Standby, "another process");
    assert_eq!(table.role("b", 2, true, at(3_600)), Role::Standby);
    table.apply(LEADER_KEY, 5, lead("b", 2), at(3_600));
    assert_eq!(table.role("a", 1, false, at(3_600)), Role::Standby);
}

/// Guards against a role that a restarted process takes for its own.
#[test]
fn a_restarted_planner_has_no_role() {
    let mut table = table();
    table.apply(LEADER_KEY, 3, lead("a", 1), at(1_000));
    table.apply(&heartbeat_key("a"), 4, heartbeat(9, Phase::Serving), at(1_100));
    table.record_read(at(1_100));
    assert_ne!(table.role("a", 9, false, at(1_200)), Role::Leader { term: 3 });
}

/// Guards against a fleet without planner after the loss of its holder, and against all entries
/// applying at once.
#[test]
fn candidates_apply_one_after_the_other() {
    let mut table = table();
    assert_eq!(table.role("a", 1, false, at(1_000)), Role::Candidate);
    assert_eq!(table.role("b", 2, false, at(1_000)), Role::Standby);
    table.record_read(at(1_400));
    assert_eq!(table.role("b", 2, false, at(1_400)), Role::Candidate);
}

/// Guards against a directory that names entries which have ended, and one that is empty because
/// the store could not be read.
#[test]
fn silence_counts_only_while_the_store_is_read() {
    let mut table = table();
    for ms in [2_000, 3_000, 4_000] {
        table.apply(&heartbeat_key("b"), ms, heartbeat(2, Phase::Serving), at(ms));
        table.record_read(at(ms));
    }
    table.record_read(at(4_500));
    let names: Vec<_> = table.serving().map(|(name, _)| name.as_str()).collect();
    assert_eq!(names, ["b"]);
    table.record_read(at(60_000));
    let names: Vec<_> = table.serving().map(|(name, _)| name.as_str()).collect();
    assert_eq!(
        names,
        ["b"],
        "it could not be heard during the outage; the other one had ended before"
    );
}

/// Guards against records of other writers that are taken for ours.
#[test]
fn reads_only_its_own_encoding() {
    let bytes = encode(&heartbeat(1, Phase::Serving)).expect("encodes");
    assert_eq!(decode(&bytes), Some(heartbeat(1, Phase::Serving)));
    assert_eq!(decode(&bytes[..bytes.len() - 1]), None);
    assert_eq!(decode(&[9, 1, 2]), None);
    assert_eq!(decode(&[]), None);
}

/// Guards against keys that are trusted longer than a revocation may take.
#[test]
fn keys_are_trusted_for_a_bounded_time() {
    let bound = Duration::from_secs(5);
    let mut proof = Proof::default();
    assert!(!proof.trusts_keys(bound, at(0)));
    proof.renew(at(1_000));
    assert!(proof.trusts_keys(bound, at(5_700)));
    assert!(!proof.trusts_keys(bound, at(5_800)));
    proof.renew(at(500));
    assert!(proof.trusts_keys(bound, at(5_700)), "an older proof changes nothing");
}

/// Guards against seconds without planner after its loss: the others hear its silence first.
#[test]
fn a_silent_planner_is_replaced() {
    let mut table = table();
    table.apply(LEADER_KEY, 3, lead("b", 2), at(1_000));
    assert_eq!(table.role("a", 1, false, at(1_100)), Role::Standby);
    assert_eq!(table.role("a", 1, true, at(1_100)), Role::Candidate);
    assert_eq!(table.role("b", 2, true, at(1_100)), Role::Leader { term: 3 }, "it knows better");
}

/// Guards against a fleet without planner when its holder lives but cannot read the store.
#[test]
fn a_planner_that_resigned_is_replaced() {
    let mut table = table();
    table.apply(LEADER_KEY, 3, lead("b", 2), at(1_000));
    let resigned = Heartbeat { resigned_term: Some(3), ..own(2, Phase::Serving) };
    table.apply(
        &heartbeat_key("b"),
        4,
        Record::Heartbeat { wall_ms: 0, own: resigned, followers: Vec::new() },
        at(1_100),
    );
    table.record_read(at(1_100));
    assert_eq!(table.role("a", 1, false, at(1_100)), Role::Candidate);
    table.apply(LEADER_KEY, 5, lead("b", 2), at(1_200));
    assert_eq!(table.role("b", 2, false, at(1_200)), Role::Leader { term: 5 }, "a new term");
}
