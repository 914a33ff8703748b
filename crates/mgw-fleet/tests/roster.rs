//! The list of servers through outages of the store, and groups in it.

mod common;

use common::{World, at, config, record};
use mgw_fleet::group;
use mgw_fleet::plan::Planner;
use mgw_fleet::roster::{Membership, Phase, Roster, Stage};

/// Guards against servers that are dropped because the store could not hear them.
#[test]
fn entries_that_lapse_in_an_outage_get_time_to_return() {
    let mut roster = Roster::default();
    roster.upsert("a", record(0), at(0));
    roster.upsert("b", record(0), at(0));
    roster.record_outage(at(1_000));
    roster.remove("a", at(1_500));
    roster.remove("b", at(1_500));
    assert_eq!(roster.len(), 2);
    roster.upsert("a", record(0), at(2_000));
    roster.tick(at(3_300));
    assert!(roster.by_id("a").is_some(), "it is listed again");
    assert!(roster.by_id("b").is_none(), "it is still missing");
}

/// Guards against requests to a server whose entry was removed while the store is sound.
#[test]
fn a_removed_server_is_gone_at_once() {
    let mut roster = Roster::default();
    roster.upsert("a", record(0), at(0));
    roster.remove("a", at(100));
    assert!(roster.is_empty());
}

/// Guards against a server that leaves and is kept because of an outage.
#[test]
fn a_draining_server_is_gone_at_once() {
    let mut roster = Roster::default();
    let draining = mgw_fleet::roster::Record { phase: Phase::Draining, ..record(0) };
    roster.upsert("a", draining, at(0));
    roster.record_outage(at(50));
    roster.remove("a", at(100));
    assert!(roster.is_empty());
}

/// Guards against load and seats of an earlier process under the same id, and against its late
/// heartbeats.
#[test]
fn a_reborn_server_is_another_one() {
    let mut roster = Roster::default();
    roster.upsert("a", record(0), at(0));
    let first = roster.find("a").expect("listed");
    let restarted = mgw_fleet::roster::Record { started_ms: 2, ..record(0) };
    assert!(roster.upsert("a", restarted, at(100)));
    assert!(roster.get(first).is_none(), "keys of the earlier process are dead");
    roster.upsert("a", record(0), at(200));
    assert_eq!(roster.by_id("a").map(|server| server.record.started_ms), Some(2));
}

/// Guards against requests to a group that lacks a member, or whose member leaves.
#[test]
fn a_group_serves_only_whole() {
    let mut world = World::new(1, 4);
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 2_000);
    world.publish();
    let groups = group::list(&world.roster, &config());
    assert_eq!(groups.iter().filter(|group| group.is_servable).count(), 1);
    let member = world.roster.get(groups[0].members[2]).expect("a member").id.clone();
    let leaving = mgw_fleet::roster::Record {
        phase: Phase::Draining,
        ..world.records.get(&member).expect("a record").clone()
    };
    world.roster.upsert(&member, leaving, world.now);
    assert!(group::list(&world.roster, &config()).iter().all(|group| !group.is_servable));
    world.roster.remove(&member, world.now);
    assert!(group::list(&world.roster, &config()).iter().all(|group| !group.is_servable));
}

/// Guards against an entry of the list that was written before the server's own report and undoes
/// it: a group that had closed was taken for open again.
#[test]
fn an_older_entry_does_not_undo_a_report() {
    let mut roster = Roster::default();
    roster.record_read(at(0));
    roster.upsert("a", record(0), at(10));
    let reported = mgw_fleet::roster::Engine {
        model: Some("large".into()),
        ..record(0).engine.expect("an engine")
    };
    roster.apply_report("a", 1, reported, 1, at(300));
    let model = |roster: &Roster| {
        let engine = roster.by_id("a").and_then(|server| server.record.engine.clone());
        engine.and_then(|engine| engine.model)
    };
    roster.record_read(at(400));
    roster.upsert("a", record(0), at(410));
    assert_eq!(model(&roster).as_deref(), Some("large"), "written before 300 perhaps");
    roster.record_read(at(800));
    roster.upsert("a", record(0), at(810));
    assert_eq!(model(&roster), None, "written after 400");
}

/// Guards against a head that seems to have closed again just after it opened: its report is older than
/// its entry (seen as groups that were left out of routing and ordered to open twice).
#[test]
fn an_older_report_does_not_undo_an_entry() {
    let mut roster = Roster::default();
    let seated = |stage| {
        let mut record = record(0);
        let engine = record.engine.as_mut().expect("an engine");
        engine.membership = Some(Membership { group: "g".into(), epoch: 1, rank: 0, stage });
        record
    };
    let engine = |stage| seated(stage).engine.expect("an engine");
    let stage = |roster: &Roster| {
        roster.by_id("a").and_then(|it| it.record.membership()).map(|membership| membership.stage)
    };
    roster.upsert("a", seated(Stage::Ready), at(0));
    roster.apply_report("a", 1, engine(Stage::Ready), 2, at(0));
    for ms in [1_000, 1_400] {
        roster.record_read(at(ms));
    }
    roster.upsert("a", seated(Stage::Open), at(1_400));
    roster.apply_report("a", 1, engine(Stage::Ready), 2, at(1_500));
    assert_eq!(stage(&roster), Some(Stage::Open), "the report lags");
    roster.apply_report("a", 1, engine(Stage::Ready), 3, at(1_600));
    assert_eq!(stage(&roster), Some(Stage::Ready), "it was ordered to close meanwhile");
}
