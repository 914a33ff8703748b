//! Tests of events and their forms, the catalogue, the bounded ring, the clock and the timeline.

use std::sync::Mutex;

use mgw_event::clock::{Clock, MAX_AHEAD_MS, Stamp};
use mgw_event::event::{MAX_NAME, MAX_TEXT, Utc};
use mgw_event::ring::Ring;
use mgw_event::timeline::{self, Filter, MAX_LINE};
use mgw_event::{Body, Event, Kind, Recorder, Severity, kind};

fn body() -> Body {
    Body::new(Kind::RequestBroken)
        .request("r 1\nE303")
        .group(17)
        .instance("za1-rack1-01")
        .team("dispatch")
        .text("reset \"by\" peer")
}

/// Guards against a documentation page of events that differs from the code.
#[test]
fn catalogue_agrees_with_the_code() {
    assert_eq!(include_str!("../../../docs/EVENTS.md"), kind::catalogue());
}

/// Guards against two kinds with the same number or name, which a reader would confuse.
#[test]
fn numbers_ascend_and_names_are_unique() {
    assert!(Kind::ALL.windows(2).all(|pair| pair[0].number() < pair[1].number()));
    for kind in Kind::ALL.iter().copied() {
        assert_eq!(Kind::from_number(kind.number()), Some(kind));
        assert_eq!(Kind::from_name(kind.name()), Some(kind));
    }
    assert_eq!(Kind::from_number(0), None);
}

/// Guards against a field that is lost in either form, and against a request id that forges further
/// fields in the plain-text form.
#[test]
fn json_and_plain_text_hold_every_field() {
    let mut recorder = Recorder::new("entry-2", 4);
    let event = recorder.record(1_782_777_600_123, body());
    insta::assert_snapshot!(event.json(), @r#"
    {"seq":1,"wall_ms":1782777600123,"logical":0,"at":"entry-2","number":506,"event":"request_broken","severity":"warn","request":"r 1\nE303","group":17,"instance":"za1-rack1-01","team":"dispatch","text":"reset \"by\" peer"}
    "#);
    insta::assert_snapshot!(event.to_string(), @r#"
    2026-06-30T00:00:00.123Z   0 entry-2 warn  E506 request_broken request="r 1\nE303" group=17 instance=za1-rack1-01 team=dispatch text="reset \"by\" peer"
    "#);
    assert_eq!(Event::from_json(event.json().as_bytes()).expect("own form"), event);
    let all = Body::new(Kind::MarkSet).entry("entry-1").offset(9).instance("a").text("drain");
    let event = recorder.record(1, all);
    assert_eq!(Event::from_json(event.json().as_bytes()).expect("own form"), event);
}

/// Guards against text that exceeds its limit, and against a panic when truncation would split a
/// multi-byte character.
#[test]
fn text_is_truncated_at_a_character_boundary() {
    let body = Body::new(Kind::MalformedFrame).text("ž".repeat(MAX_TEXT)).entry("e".repeat(999));
    assert_eq!(body.text.len(), MAX_TEXT);
    assert_eq!(body.entry.len(), MAX_NAME);
    assert_eq!(
        Body::new(Kind::MalformedFrame).text(format!("x{}", "ž".repeat(MAX_TEXT))).text.len(),
        MAX_TEXT - 1
    );
}

/// Guards against a date that is off by a day around a leap day or at the end of a century.
#[test]
fn utc_dates_match_the_calendar() {
    for (ms, date) in [
        (0, "1970-01-01T00:00:00.000Z"),
        (951_782_399_999, "2000-02-28T23:59:59.999Z"),
        (951_782_400_000, "2000-02-29T00:00:00.000Z"),
        (1_709_251_199_000, "2024-02-29T23:59:59.000Z"),
        (4_107_542_400_000, "2100-03-01T00:00:00.000Z"),
    ] {
        assert_eq!(Utc(ms).to_string(), date);
    }
}

/// Guards against an unbounded ring, and against frequent request events that displace the history
/// of a group.
#[test]
fn ring_is_bounded_and_debug_events_displace_no_others() {
    let mut recorder = Recorder::new("entry-1", 8);
    recorder.record(1, Body::new(Kind::GroupFormed).group(1));
    for _ in 0..1_000 {
        recorder.record(2, Body::new(Kind::RequestAdmitted));
    }
    recorder.record(3, Body::new(Kind::GroupClosed).group(1));
    let ring = recorder.ring();
    assert_eq!((ring.len(), ring.dropped()), (10, 992));
    let seqs = |after, limit| -> Vec<u64> {
        ring.after(after, limit).iter().map(|event| event.seq).collect()
    };
    assert_eq!(seqs(0, 100), [1, 994, 995, 996, 997, 998, 999, 1_000, 1_001, 1_002]);
    assert_eq!(seqs(999, 2), [1_000, 1_001]);
    assert_eq!(seqs(1_002, 100), [0; 0]);
    let mut smallest = Ring::new(0);
    smallest.push(recorder.record(4, body()));
    smallest.push(recorder.record(4, body()));
    assert_eq!(smallest.len(), 1);
}

/// Guards against stamps that repeat or decrease when the wall clock is set back.
#[test]
fn stamps_ascend_when_the_wall_clock_is_set_back() {
    let mut clock = Clock::default();
    let mut last = clock.tick(10_000);
    for wall_ms in [10_000, 9_000, 1, 10_001, 10_001] {
        let next = clock.tick(wall_ms);
        assert!(next > last, "{next:?} after {last:?}");
        last = next;
    }
    let full = Stamp { wall_ms: 20_000, logical: u32::MAX };
    clock.observe(20_000, full).expect("within the limit");
    assert!(clock.tick(20_000) > full);
}

/// Guards against one host with a wrong date that moves the stamps of all entries forward.
#[test]
fn stamp_of_a_clock_that_is_far_ahead_is_not_adopted() {
    let mut recorder = Recorder::new("entry-1", 8);
    let far = Stamp { wall_ms: 1_000 + MAX_AHEAD_MS + 1, logical: 0 };
    let event = recorder.observe(1_000, "entry-9", far).expect("an event is recorded");
    assert_eq!((event.body.kind, event.body.entry.as_str()), (Kind::ClockAhead, "entry-9"));
    assert_eq!(recorder.stamp(1_001).wall_ms, 1_001);
}

/// Returns causally ordered events of three entries whose wall clocks are off by 4 s, 0 s and -3 s.
/// Each entry sends a message to the next: the planner forms a group, the executor sends the order,
/// the observer sees the group servable, and the planner learns of that.
fn causal_chain() -> Vec<Event> {
    let offsets = [4_000_i64, 0, -3_000];
    let wall = |entry: usize, true_ms: i64| (1_000_000 + true_ms + offsets[entry]) as u64;
    let mut entries: Vec<_> = (1..=3).map(|n| Recorder::new(format!("entry-{n}"), 64)).collect();
    let steps = [
        (0, Kind::GroupFormed),
        (1, Kind::OrderSent),
        (2, Kind::GroupServable),
        (0, Kind::RequestAdmitted),
        (2, Kind::MemberLost),
        (1, Kind::GroupClosed),
    ];
    let mut events = Vec::new();
    let mut message: Option<Stamp> = None;
    for (at, (entry, kind)) in steps.into_iter().enumerate() {
        let now = wall(entry, at as i64 * 10);
        if let Some(stamp) = message {
            assert_eq!(entries[entry].observe(now, "peer", stamp), None);
        }
        events.push(entries[entry].record(now, Body::new(kind).group(17)));
        message = Some(entries[entry].stamp(now));
    }
    events
}

/// Guards against a merge by wall clock, which would place an effect before its cause.
#[test]
fn timeline_keeps_cause_before_effect_when_wall_clocks_differ_by_seconds() {
    let events = causal_chain();
    let mut shuffled = events.clone();
    shuffled.reverse();
    shuffled.extend(events.clone());
    assert_eq!(timeline::merge(shuffled, &Filter::default()), events);
}

/// Guards against a filter criterion that is ignored or compared with the wrong field.
#[test]
fn filter_selects_by_every_field() {
    let mut recorder = Recorder::new("entry-1", 64);
    recorder.record(100, body());
    recorder.record(200, Body::new(Kind::PeerSilent).entry("entry-2"));
    recorder.record(300, Body::new(Kind::GroupServable).group(18));
    let events = recorder.ring().after(0, 10);
    let seqs = |filter: Filter| -> Vec<u64> {
        timeline::merge(events.clone(), &filter).iter().map(|event| event.seq).collect()
    };
    let none = Filter::default;
    assert_eq!(seqs(none()), [1, 2, 3]);
    assert_eq!(seqs(Filter { request: Some("r 1\nE303".into()), ..none() }), [1]);
    assert_eq!(seqs(Filter { group: Some(18), ..none() }), [3]);
    assert_eq!(seqs(Filter { instance: Some("za1-rack1-01".into()), ..none() }), [1]);
    assert_eq!(seqs(Filter { team: Some("dispatch".into()), ..none() }), [1]);
    assert_eq!(seqs(Filter { entry: Some("entry-2".into()), ..none() }), [2]);
    assert_eq!(seqs(Filter { entry: Some("entry-1".into()), ..none() }), [1, 2, 3]);
    assert_eq!(seqs(Filter { from_ms: Some(200), until_ms: Some(299), ..none() }), [2]);
    assert_eq!(seqs(Filter { severity: Some(Severity::Warn), ..none() }), [1, 2]);
    assert_eq!(seqs(Filter { group: Some(17), entry: Some("x".into()), ..none() }), [0; 0]);
}

/// Guards against a damaged line that stops the reading of a file, and against damage that is not
/// reported.
#[test]
fn malformed_lines_are_skipped_and_reported() {
    let mut recorder = Recorder::new("entry-1", 8);
    let first = recorder.record(100, body());
    let second = recorder.record(200, body());
    let mut file = Vec::new();
    for line in [
        first.json().into_bytes(),
        b"2026-12-04 plain log line".to_vec(),
        b"".to_vec(),
        b"\xff\xfe{}".to_vec(),
        b"{\"seq\":1,\"wall_ms\":1,\"at\":\"e\",\"number\":65000}".to_vec(),
        vec![b'x'; MAX_LINE + 1],
        second.json().into_bytes(),
        first.json().into_bytes()[..40].to_vec(),
    ] {
        file.extend(line);
        file.extend(b"\r\n");
    }
    let outcome = timeline::read(file.as_slice(), &Filter::default()).expect("memory can be read");
    assert_eq!(outcome.events, [first, second]);
    let late = Filter { from_ms: Some(101), ..Filter::default() };
    let kept = timeline::read(file.as_slice(), &late).expect("memory can be read").events;
    assert_eq!(kept.len(), 1);
    assert_eq!(outcome.malformed, 5);
    let errors: Vec<_> =
        outcome.errors.iter().map(|(line, cause)| format!("{line}: {cause}")).collect();
    insta::assert_snapshot!(errors.join("\n"), @r#"
    2: invalid type: integer `2026`, expected struct Line at line 1 column 4
    4: expected value at line 1 column 1
    5: unknown event number 65000
    6: the line has more than 16384 bytes
    8: EOF while parsing a value at line 1 column 41
    "#);
}

/// Log records captured by [`Logger`]; static, because the tests of this file run in one process.
static LOGGED: Mutex<Vec<String>> = Mutex::new(Vec::new());

struct Logger;

impl log::Log for Logger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = format!("{} {} {}", record.level(), record.target(), record.args());
        LOGGED.lock().expect("no test panics while it holds the lock").push(line);
    }

    fn flush(&self) {}
}

/// Guards against events that are logged with a target or level that a log filter doesn't match.
#[test]
fn events_are_logged_with_target_and_level() {
    log::set_logger(&Logger).expect("no other test sets a logger");
    log::set_max_level(log::LevelFilter::Trace);
    let mut recorder = Recorder::new("entry-1", 4);
    recorder.record(1, Body::new(Kind::LogUnreachable).text("timeout")).log();
    recorder.record(2, Body::new(Kind::RequestAdmitted).request("r-1").group(3)).log();
    insta::assert_snapshot!(LOGGED.lock().expect("no panic").join("\n"), @r#"
    ERROR mgw::event E217 log_unreachable text="timeout"
    DEBUG mgw::event E501 request_admitted request=r-1 group=3
    "#);
}
