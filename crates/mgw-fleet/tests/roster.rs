//! Tests of the roster: outages of the store, restarts, outdated entries and reports, and the
//! groups derived from it.

mod common;

use common::{Cluster, at, config, record};
use mgw_fleet::group;
use mgw_fleet::plan::Planner;
use mgw_fleet::position::{FIRST_ERA, Position};
use mgw_fleet::roster::{Membership, Outdated, Phase, Record, Roster, Stage, Stamp};

/// Guards against live servers that are dropped because the store did not receive their heartbeats
/// during an outage.
#[test]
fn servers_missing_after_an_outage_get_time_to_be_listed_again() {
    let mut roster = Roster::default();
    roster.record_read(at(0), at(0));
    roster.upsert("a", record(0), at(0));
    roster.upsert("b", record(0), at(0));
    roster.remove("b", at(2_100));
    assert_eq!(roster.len(), 2, "nothing has been read for more than 2 s");
    roster.record_read(at(3_000), at(3_100));
    roster.remove("a", at(3_500));
    assert_eq!(roster.len(), 2);
    roster.upsert("a", record(0), at(4_000));
    roster.record_read(at(4_600), at(4_600));
    roster.tick(at(5_200));
    assert_eq!(roster.len(), 2, "servers get 2.2 s after the outage");
    roster.tick(at(5_300));
    assert!(roster.by_id("a").is_some(), "a was listed again");
    assert!(roster.by_id("b").is_none(), "b was not listed again in time");
}

/// Guards against followers that list a removed server again because their reader, which has had no
/// contact to the store, cannot tell yet whether it is gone.
#[test]
fn missing_servers_are_removed_for_followers() {
    let mut roster = Roster::default();
    roster.record_read(at(0), at(0));
    roster.upsert("a", record(0), at(0));
    roster.upsert("b", record(0), at(0));
    let before = roster.changes(0);
    roster.record_read(at(3_000), at(3_000));
    roster.remove("a", at(3_000));
    assert!(roster.by_id("a").is_some_and(|server| server.missing_since.is_some()));
    let marked = roster.changes(before.revision);
    assert_eq!((marked.changed.len(), &marked.gone[..]), (0, &["a".into()][..]));
    assert_eq!(roster.changes(0).changed.len(), 1, "a whole list has only b");
    roster.upsert("a", record(0), at(3_500));
    let listed = roster.changes(marked.revision);
    assert_eq!((listed.changed.len(), listed.gone.len()), (1, 0), "a is listed again");
}

/// Guards against a removed server that is kept because the store refuses this entry, although the
/// reader that it follows has contact all the time.
#[test]
fn a_removal_is_not_doubted_while_a_reader_has_contact() {
    let mut roster = Roster::default();
    roster.upsert("a", record(0), at(0));
    for ms in (0..8_000).step_by(1_500) {
        roster.record_read(at(ms), at(ms + 300));
    }
    roster.remove("a", at(8_000));
    assert!(roster.is_empty());
}

/// Guards against an older time of a reader that replaces the time of this entry's own read.
#[test]
fn an_older_read_does_not_replace_a_newer_one() {
    let mut roster = Roster::default();
    roster.record_read(at(5_000), at(5_000));
    roster.record_read(at(1_000), at(5_100));
    assert_eq!(roster.list_read_at(), at(5_000));
}

/// Guards against requests to a server whose entry was removed while there was no outage.
#[test]
fn a_removed_server_is_dropped_at_once() {
    let mut roster = Roster::default();
    roster.upsert("a", record(0), at(0));
    roster.remove("a", at(100));
    assert!(roster.is_empty());
}

/// Guards against a draining server that is kept after its removal because of an outage.
#[test]
fn a_removed_draining_server_is_dropped_at_once() {
    let mut roster = Roster::default();
    let draining = mgw_fleet::roster::Record { phase: Phase::Draining, ..record(0) };
    roster.record_read(at(0), at(0));
    roster.upsert("a", draining, at(0));
    roster.record_read(at(3_000), at(3_000));
    roster.remove("a", at(3_100));
    assert!(roster.is_empty());
}

/// Guards against load and memberships that are carried over from an earlier process with the same
/// id, and against its late heartbeats.
#[test]
fn a_restarted_server_replaces_the_earlier_process() {
    let mut roster = Roster::default();
    roster.upsert("a", record(0), at(0));
    let first = roster.find("a").expect("listed");
    let restarted = mgw_fleet::roster::Record { started_ms: 2, ..record(0) };
    assert!(roster.upsert("a", restarted, at(100)));
    assert!(roster.get(first).is_none(), "the key of the earlier process is still valid");
    roster.upsert("a", record(0), at(200));
    assert_eq!(roster.by_id("a").map(|server| server.record.started_ms), Some(2));
}

/// Guards against requests to a group that lacks a member or has a draining one.
#[test]
fn an_incomplete_or_draining_group_is_not_servable() {
    let mut world = Cluster::new(1, 4);
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 2_000);
    world.publish_records();
    let groups = group::list(&world.roster, &config());
    assert_eq!(groups.iter().filter(|group| group.is_servable).count(), 1);
    let member = world.members(&groups[0].name)[2].clone();
    let leaving = mgw_fleet::roster::Record {
        phase: Phase::Draining,
        ..world.records.get(&member).expect("a record").clone()
    };
    world.roster.upsert(&member, leaving, world.now);
    assert!(group::list(&world.roster, &config()).iter().all(|group| !group.is_servable));
    world.roster.remove(&member, world.now);
    assert!(group::list(&world.roster, &config()).iter().all(|group| !group.is_servable));
}

/// Guards against a list entry that was written before a report of the server and reverts the
/// reported state: a group that had closed was taken for open again.
#[test]
fn an_older_entry_does_not_undo_a_report() {
    let mut roster = Roster::default();
    roster.record_read(at(0), at(0));
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
    roster.record_read(at(400), at(400));
    roster.upsert("a", record(0), at(410));
    assert_eq!(model(&roster).as_deref(), Some("large"), "may have been written before 300");
    roster.record_read(at(800), at(800));
    roster.upsert("a", record(0), at(810));
    assert_eq!(model(&roster), None, "written after 400");
}

/// Guards against a report that is older than the list entry and makes a head that has just opened
/// look closed. The failure was observed as groups that got no requests and were ordered to open
/// twice.
#[test]
fn an_older_report_does_not_undo_an_entry() {
    let mut roster = Roster::default();
    let record_in_group = |stage| {
        let mut record = record(0);
        let engine = record.engine.as_mut().expect("an engine");
        engine.membership = Some(Membership { group: "g".into(), epoch: 1, rank: 0, stage });
        record
    };
    let engine = |stage| record_in_group(stage).engine.expect("an engine");
    let stage = |roster: &Roster| {
        roster.by_id("a").and_then(|it| it.record.membership()).map(|membership| membership.stage)
    };
    roster.upsert("a", record_in_group(Stage::Ready), at(0));
    roster.apply_report("a", 1, engine(Stage::Ready), 2, at(0));
    for ms in [1_000, 1_400] {
        roster.record_read(at(ms), at(ms));
    }
    roster.upsert("a", record_in_group(Stage::Open), at(1_400));
    roster.apply_report("a", 1, engine(Stage::Ready), 2, at(1_500));
    assert_eq!(stage(&roster), Some(Stage::Open), "the report lags");
    roster.apply_report("a", 1, engine(Stage::Ready), 3, at(1_600));
    assert_eq!(stage(&roster), Some(Stage::Ready), "it was ordered to close in between");
}

/// Guards against a list of servers that replaces a newer one and so undoes a drain or a removal.
#[test]
fn lists_older_than_the_known_one_are_refused() {
    let mut roster = Roster::default();
    assert_eq!(roster.advance(7, at(0)), Ok(()));
    assert_eq!(roster.advance(7, at(0)), Ok(()), "another list of the same offset");
    let outdated = Outdated { end_offset: 6, known_end: 7 };
    assert_eq!(roster.advance(6, at(0)), Err(outdated));
    assert_eq!(roster.end_offset(), 7);
}

/// Position in the servers' topic after the store has come back from an older copy.
fn restored(offset: u64) -> u64 {
    Position { era: FIRST_ERA + 1, offset }.pack()
}

/// Guards against a list that is discarded as its offset is lower than that of a list which the store
/// has lost.
#[test]
fn lists_of_a_restored_store_replace_those_that_it_has_lost() {
    let mut roster = Roster::default();
    assert_eq!(roster.advance(500, at(0)), Ok(()));
    assert_eq!(roster.advance(restored(20), at(100)), Ok(()));
    let outdated = Outdated { end_offset: 501, known_end: restored(20) };
    assert_eq!(roster.advance(501, at(200)), Err(outdated), "a list from before the restore");
}

/// Guards against live servers that are dropped because the copy that the store was restored from
/// does not list them, although it was away for a moment only.
#[test]
fn servers_that_a_restored_list_lacks_get_time_to_be_listed_again() {
    let mut roster = Roster::default();
    roster.advance(500, at(0)).expect("the first list");
    roster.record_read(at(0), at(0));
    roster.upsert("a", record(0), at(0));
    roster.upsert("b", record(0), at(0));
    roster.advance(restored(20), at(1_000)).expect("the restored list");
    roster.record_read(at(1_000), at(1_000));
    roster.remove("a", at(1_000));
    roster.remove("b", at(1_000));
    roster.upsert("a", record(0), at(2_000));
    roster.record_read(at(2_400), at(2_400));
    roster.tick(at(3_100));
    assert_eq!(roster.len(), 2);
    roster.record_read(at(3_200), at(3_200));
    roster.tick(at(3_200));
    assert!(roster.by_id("a").is_some() && roster.by_id("b").is_none());
}

/// The stamp of an entry at `position` that states `heartbeat_count`.
fn stamp(position: u64, heartbeat_count: Option<u64>) -> Stamp {
    Stamp { position, heartbeat_count }
}

/// Guards against requests to a server that leaves or has left, and against groups that are over, as
/// the copy that the store was restored from shows what was before.
#[test]
fn entries_of_the_copy_do_not_undo_newer_ones() {
    let mut roster = Roster::default();
    roster.advance(500, at(0)).expect("the first list");
    for id in ["draining", "removed"] {
        roster.upsert(id, record(0), at(0));
        roster.record_heartbeats(id, 1, Some(9));
    }
    roster.upsert("draining", Record { phase: Phase::Draining, ..record(0) }, at(0));
    roster.remove("removed", at(0));
    let (ready, restarted) = (record(0), Record { started_ms: 2, ..record(0) });
    let older = stamp(restored(10), Some(8));
    assert!(!roster.is_superseded("removed", &ready, stamp(499, Some(9))), "no restore yet");
    roster.advance(restored(20), at(1_000)).expect("the restored list");
    for id in ["draining", "removed"] {
        assert!(roster.is_superseded(id, &ready, older), "{id}");
        assert!(roster.is_superseded(id, &ready, stamp(restored(10), None)), "{id}, without count");
        assert!(!roster.is_superseded(id, &ready, stamp(restored(10), Some(10))), "{id} goes on");
        assert!(!roster.is_superseded(id, &ready, stamp(restored(20), Some(8))), "{id}, later");
        assert!(!roster.is_superseded(id, &restarted, older), "{id} has started again");
    }
    assert!(!roster.is_superseded("unknown", &ready, older));
    // A reader tells that a server drains, without its count of heartbeats.
    roster.upsert("told", record(0), at(1_000));
    roster.record_heartbeats("told", 1, Some(4));
    roster.upsert("told", Record { phase: Phase::Draining, ..record(0) }, at(1_100));
    roster.record_heartbeats("told", 1, None);
    assert!(roster.is_superseded("told", &ready, stamp(restored(10), Some(5))));
}

/// Guards against a live server that is left out for good: it was removed, then the store was
/// restored, and it does not write its entry again as the copy has it unchanged.
#[test]
fn the_list_is_read_again_once_a_restored_store_has_dropped_dead_servers() {
    let mut roster = Roster::default();
    roster.advance(500, at(0)).expect("the first list");
    roster.upsert("a", record(0), at(0));
    roster.remove("a", at(0));
    roster.advance(restored(20), at(1_000)).expect("the restored list");
    assert!(!roster.take_reread(at(5_799)));
    assert!(roster.take_reread(at(5_800)));
    assert!(!roster.take_reread(at(9_000)), "once");
    let copied = Stamp { position: restored(10), heartbeat_count: None };
    assert!(!roster.is_superseded("a", &record(0), copied));
}

/// Guards against a process that starts after a restore and lists a removed server again, as it reads
/// the entry of the copy after it has learned of the removal.
#[test]
fn a_process_that_starts_after_a_restore_keeps_removals() {
    let mut roster = Roster::default();
    roster.advance(restored(20), at(0)).expect("the first list");
    roster.upsert("a", record(0), at(0));
    roster.remove("a", at(100));
    let copied = stamp(restored(10), Some(8));
    assert!(roster.is_superseded("a", &record(0), copied), "the entry is of the copy");
    let written_again = stamp(restored(30), Some(9));
    assert!(!roster.is_superseded("a", &record(0), written_again), "the process lives");
    assert!(roster.take_reread(at(5_000)), "the copy's entries have lapsed");
}

/// Guards against a reader that knows only the copy and undoes what its follower knows from before.
#[test]
fn readers_of_a_copy_undo_no_drain_and_no_removal() {
    let mut roster = Roster::default();
    roster.advance(500, at(0)).expect("the first list");
    roster.record_read(at(0), at(0));
    roster.upsert("draining", Record { phase: Phase::Draining, ..record(0) }, at(0));
    roster.upsert("removed", record(0), at(0));
    roster.remove("removed", at(100));
    for id in ["draining", "removed"] {
        assert!(!roster.is_undone_by(id, &record(0)), "no restore yet: {id}");
    }
    roster.advance(restored(20), at(1_000)).expect("the restored list");
    for id in ["draining", "removed"] {
        assert!(roster.is_undone_by(id, &record(0)), "{id}");
    }
    roster.upsert("lapsed", record(0), at(1_000));
    roster.remove("lapsed", at(1_100));
    assert!(!roster.is_undone_by("lapsed", &record(0)), "removed after the restore");
}

/// Guards against an entry of the copy that undoes a change of group, which a reader has told without
/// a count of heartbeats.
#[test]
fn entries_of_a_copy_tell_nothing_of_a_process_with_an_unknown_count() {
    let mut roster = Roster::default();
    roster.advance(500, at(0)).expect("the first list");
    roster.upsert("a", record(0), at(0));
    roster.advance(restored(20), at(1_000)).expect("the restored list");
    assert!(roster.is_superseded("a", &record(0), stamp(restored(10), Some(3))));
    assert!(!roster.is_superseded("a", &record(0), stamp(restored(20), Some(9))));
}
