//! Tests of what servers state about themselves, and of how long it holds.

mod common;

use std::time::Duration;

use common::{Cluster, LARGE, SMALL, at, record};
use mgw_fleet::notice::{Notice, Process};
use mgw_fleet::plan::Planner;
use mgw_fleet::rate::Statement;
use mgw_fleet::roster::{Phase, Record, Roster};

/// The run of the server `a` that [`record`] is of.
fn process(started_ms: u64) -> Process {
    Process { id: "a".into(), started_ms }
}

fn restarted(started_ms: u64) -> Record {
    Record { started_ms, ..record(0) }
}

fn phase(roster: &Roster) -> Option<Phase> {
    roster.by_id("a").map(|server| server.phase())
}

/// Guards against a leaving server that counts as ready again because of an older list, or because
/// its entry is removed and written again.
#[test]
fn the_list_does_not_take_a_statement_back() {
    let mut roster = Roster::default();
    roster.upsert("a", record(0), at(0));
    assert!(roster.record_leaving(&process(1), at(100)));
    assert!(!roster.record_leaving(&process(1), at(200)), "the second response is no news");
    roster.upsert("a", record(0), at(300));
    assert_eq!(phase(&roster), Some(Phase::Draining));
    roster.remove("a", at(400));
    roster.tick(at(5_000));
    assert_eq!(phase(&roster), None);
    roster.upsert("a", record(0), at(6_000));
    assert_eq!(phase(&roster), Some(Phase::Draining));
}

/// Guards against a response that arrives after its server was removed from the list and is
/// forgotten when the server is listed again.
#[test]
fn a_statement_of_an_unlisted_server_is_kept() {
    let mut roster = Roster::default();
    assert!(roster.record_leaving(&process(1), at(100)));
    roster.upsert("a", record(0), at(200));
    assert_eq!(phase(&roster), Some(Phase::Draining));
}

/// Guards against a server that gets more requests than it allows (rule LIMIT) after it was cut off
/// from the store, removed from the list and listed again.
#[test]
fn the_limit_of_a_server_outlasts_its_removal_from_the_list() {
    let mut roster = Roster::default();
    let plain = |started_ms| Record { engine: None, ..restarted(started_ms) };
    let key = |roster: &Roster| roster.iter().map(|(key, _)| key).next().expect("it is listed");
    roster.upsert("a", plain(1), at(0));
    let limit = Statement { rate: Some(0.5), at: at(100) };
    let listed = key(&roster);
    let load = roster.load_mut(listed).expect("it is listed");
    assert!(load.rate.apply(limit, at(100)));
    load.rate.record_sent(1.0, at(3_000));
    roster.remove("a", at(4_000));
    roster.upsert("a", plain(1), at(4_300));
    let rate = |roster: &Roster| roster.by_id("a").map(|it| it.load.rate.clone());
    let kept = rate(&roster).expect("it is listed");
    assert_eq!(kept.rate(), Some(0.5));
    assert!(!kept.admits(1.0, at(4_400)), "it has got its request of these 2 s");
    // A new process has not stated a limit.
    roster.upsert("a", plain(2), at(5_000));
    assert_eq!(rate(&roster).expect("it is listed").rate(), None);
}

/// Guards against a new process that gets no requests because of what the former one stated, also
/// if the response of the former one arrives late.
#[test]
fn a_new_process_is_not_bound_by_a_former_one() {
    let mut roster = Roster::default();
    roster.upsert("a", record(0), at(0));
    roster.record_leaving(&process(1), at(100));
    assert!(roster.upsert("a", restarted(2), at(200)));
    assert_eq!(phase(&roster), Some(Phase::Ready));
    roster.record_leaving(&process(1), at(300));
    assert_eq!(phase(&roster), Some(Phase::Ready));
    roster.record_leaving(&process(2), at(400));
    assert_eq!(phase(&roster), Some(Phase::Draining));
}

/// Guards against notices that are kept without end.
#[test]
fn notices_of_processes_that_ended_long_ago_are_dropped() {
    let mut roster = Roster::default();
    roster.record_leaving(&process(1), at(0));
    roster.tick(at(599_000));
    roster.tick(at(601_000));
    roster.upsert("a", record(0), at(602_000));
    assert_eq!(phase(&roster), Some(Phase::Ready));
}

/// Guards against a leaving server that is kept after its removal because the store was out of
/// reach before.
#[test]
fn a_removed_leaving_server_is_not_doubted() {
    let mut roster = Roster::default();
    roster.record_read(at(0), at(0));
    roster.upsert("a", record(0), at(0));
    roster.record_leaving(&process(1), at(100));
    roster.remove("a", at(3_000));
    assert_eq!(phase(&roster), None);
}

/// Guards against requests before the end of a pause because of another response with a shorter one,
/// and against a server that gets no requests for good because of a mistaken one.
#[test]
fn the_latest_end_of_a_pause_holds_within_bounds() {
    let mut notice = Notice::default();
    assert!(notice.pause(Duration::from_secs(4), at(1_000)));
    assert!(!notice.pause(Duration::from_secs(1), at(2_000)), "the server is paused already");
    assert_eq!(notice.pause_left(at(2_000)), Duration::from_secs(3));
    assert!(!notice.pause(Duration::from_secs(4), at(3_000)));
    assert_eq!(notice.pause_left(at(3_000)), Duration::from_secs(4));
    assert_eq!(notice.pause_left(at(7_000)), Duration::ZERO);
    assert!(!notice.pause(Duration::ZERO, at(8_000)));
    assert!(notice.pause(Duration::from_secs(300), at(9_000)));
    assert_eq!(notice.pause_left(at(9_000)), Duration::from_secs(300));
    notice.pause(Duration::MAX, at(9_000));
    assert_eq!(notice.pause_left(at(9_000)), Duration::from_secs(600));
}

/// Guards against requests during a pause because the entry of the server is removed and written
/// again, and against a pause that binds a new process.
#[test]
fn a_pause_holds_for_its_process_only() {
    let mut roster = Roster::default();
    roster.upsert("a", record(0), at(0));
    roster.record_pause(&process(1), Duration::from_secs(8), at(0));
    let takes_requests =
        |roster: &Roster, ms| roster.by_id("a").map(|server| server.takes_requests(at(ms)));
    roster.remove("a", at(500));
    roster.upsert("a", record(0), at(1_000));
    assert_eq!(takes_requests(&roster, 7_999), Some(false));
    assert_eq!(takes_requests(&roster, 8_000), Some(true));
    roster.upsert("a", restarted(2), at(2_000));
    assert_eq!(takes_requests(&roster, 2_000), Some(true));
}

/// Guards against a planner that keeps a group whose member is leaving, or forms a new one with it,
/// because the list says that the member is ready.
#[test]
fn the_planner_replaces_a_leaving_member() {
    let mut world = Cluster::new(1, 5);
    world.demand.insert(("engines".into(), LARGE.into()), 1.0);
    world.demand.insert(("engines".into(), SMALL.into()), 0.0);
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 2_000);
    let group = world.open_groups(LARGE).first().cloned().expect("a group");
    let leaving = world.members(&group)[2].clone();
    let process = Process { id: leaving.clone(), started_ms: 1 };
    assert!(world.roster.record_leaving(&process, world.now));
    world.run(&mut planner, 4_000);
    let formed = world.open_groups(LARGE);
    assert_eq!(formed.len(), 1);
    assert_ne!(formed[0], group);
    assert!(!world.members(&formed[0]).contains(&leaving));
}
