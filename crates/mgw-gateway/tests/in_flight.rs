//! Tests of the table of requests in flight: deadlines, stalls and pauses of the process.

use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::Duration;

use mgw_base::time::Instant;
use mgw_fleet::roster::{Phase, Record, Roster, ServerKey};
use mgw_gateway::in_flight::{Alarm, Request, STALL_TIMEOUT, Table, Wait};
use tokio::sync::Notify;

fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

fn targets() -> [ServerKey; 2] {
    let mut roster = Roster::default();
    for id in ["a", "b"] {
        let record = Record {
            service: "s".into(),
            address: "10.0.0.1:80".parse().expect("an address"),
            zone: "z".into(),
            phase: Phase::Ready,
            slots: 4,
            started_ms: 1,
            engine: None,
        };
        roster.upsert(id, record, at(0));
    }
    ["a", "b"].map(|id| roster.find(id).expect("listed"))
}

fn request(target: ServerKey, wait: Wait, last_progress: u64) -> Request {
    Request {
        deadline: at(60_000),
        target: Some(target),
        wait,
        last_progress: at(last_progress),
        stall_timeout: Duration::from_secs(10),
        alarm: None,
        wake: Rc::new(Notify::new()),
        fingerprint: 1,
        is_suspect: false,
    }
}

/// Consumes a notification; returns whether there was one.
fn is_notified(wake: &Notify) -> bool {
    pin!(wake.notified()).poll(&mut Context::from_waker(Waker::noop())).is_ready()
}

/// Ticks every 50 ms from `from` to `until`; returns the stalled targets of the last tick.
fn run(table: &mut Table, from: u64, until: u64) -> Vec<ServerKey> {
    let mut stalled = Vec::new();
    for ms in (from..=until).step_by(50) {
        stalled = table.tick(at(ms)).0;
    }
    stalled
}

/// Guards against requests that are left waiting at a stalled target, both begun streams and
/// requests that have no response yet.
#[test]
fn requests_at_a_stalled_target_are_woken() {
    let [stalled_target, healthy_target] = targets();
    let mut table = Table::default();
    let stream = table.insert(request(stalled_target, Wait::Event, 1_000));
    let waiting = table.insert(request(stalled_target, Wait::Response, 1_000));
    let other = table.insert(request(healthy_target, Wait::Event, 1_300));
    let stalled = run(&mut table, 1_000, 1_000 + STALL_TIMEOUT.as_millis() as u64 + 100);
    assert_eq!(stalled, [stalled_target]);
    let alarm = |table: &mut Table, key| table.get_mut(key).and_then(|request| request.alarm);
    assert_eq!(alarm(&mut table, stream), Some(Alarm::Stalled));
    assert_eq!(alarm(&mut table, waiting), Some(Alarm::Stalled));
    assert_eq!(alarm(&mut table, other), None);
}

/// Guards against waking a slow stream although another stream at its target makes progress.
#[test]
fn slow_stream_at_a_progressing_target_is_not_woken() {
    let [target, _] = targets();
    let mut table = Table::default();
    let slow = table.insert(request(target, Wait::Event, 1_000));
    let fast = table.insert(request(target, Wait::Event, 1_000));
    for ms in (1_000..2_000).step_by(50) {
        table.get_mut(fast).expect("in flight").last_progress = at(ms);
        let (stalled, _) = table.tick(at(ms));
        assert!(stalled.is_empty(), "at {ms} ms");
    }
    assert_eq!(table.get_mut(slow).and_then(|request| request.alarm), None);
}

/// Guards against waking requests because this process was paused: their servers may have sent data
/// that it has not read yet.
#[test]
fn process_pause_is_not_taken_for_a_stall() {
    let [target, _] = targets();
    let mut table = Table::default();
    let stream = table.insert(request(target, Wait::Event, 1_000));
    run(&mut table, 1_000, 1_100);
    let (stalled, pause) = table.tick(at(5_000));
    assert!(stalled.is_empty());
    assert_eq!(pause, Some(Duration::from_millis(3_900)));
    assert_eq!(table.get_mut(stream).and_then(|request| request.alarm), None);
}

/// Guards against requests that are not woken at their deadline.
#[test]
fn request_past_its_deadline_is_woken() {
    let [target, _] = targets();
    let mut table = Table::default();
    let key =
        table.insert(Request { deadline: at(1_500), ..request(target, Wait::Response, 1_000) });
    run(&mut table, 1_000, 1_500);
    assert_eq!(table.get_mut(key).and_then(|request| request.alarm), Some(Alarm::Deadline));
}

/// Guards against a request that is never told of its deadline, because it has not taken the alarm of
/// an earlier stall.
#[test]
fn a_pending_stall_alarm_does_not_hide_the_deadline() {
    let [target, _] = targets();
    let mut table = Table::default();
    let waiting = Request { deadline: at(2_000), ..request(target, Wait::Event, 0) };
    let wake = Rc::clone(&waiting.wake);
    let key = table.insert(waiting);
    run(&mut table, 0, 1_000);
    assert_eq!(table.get_mut(key).map(|it| it.alarm), Some(Some(Alarm::Stalled)));
    // The notification is consumed, but the alarm is not taken.
    assert!(is_notified(&wake));
    run(&mut table, 1_050, 2_000);
    assert_eq!(table.get_mut(key).map(|it| it.alarm), Some(Some(Alarm::Deadline)));
    assert!(is_notified(&wake), "the request is not woken at its deadline");
}

/// Guards against a request that leaves its target although it has made progress since the stall.
#[test]
fn progress_ends_a_pending_stall_alarm() {
    let [target, _] = targets();
    let mut table = Table::default();
    let key = table.insert(request(target, Wait::Event, 0));
    run(&mut table, 0, 1_000);
    let waiting = table.get_mut(key).expect("in flight");
    assert_eq!(waiting.alarm, Some(Alarm::Stalled));
    waiting.set_wait(Some(target), Wait::Event, Duration::from_secs(10), at(1_000));
    assert_eq!(waiting.alarm, None);
}
