//! Tests of the executor: which orders it sends, delays and reports as done.

mod common;

use std::time::Duration;

use common::{Fleet, PLANNER, domain};
use mgw_group::order::{self, Options, Reply, Schedule, Tracker, Wait};
use mgw_report::report::{Action, Phase, WeightStore};
use mgw_state::record::{Reason, Record};

/// A fleet whose orders the test sends itself. No groups are formed yet: the reports are collected
/// while the sheet declares no models.
fn fleet(lines: &str) -> Fleet {
    let mut fleet = Fleet::new(lines);
    fleet.orders_enabled = false;
    let sheet = fleet.log.state.config().text.clone();
    let without_models: Vec<&str> = sheet.lines().filter(|line| !line.starts_with('m')).collect();
    fleet.log.publish(&without_models.join("\n"));
    fleet.run(3);
    fleet.log.publish(lines);
    fleet
}

/// Appends the record that forms a group; returns the group's id.
fn form_group(fleet: &mut Fleet, members: &[&str]) -> u64 {
    let form = fleet.log.form(members, PLANNER);
    fleet.log.accept(PLANNER, form)
}

/// Runs the executor with the default options.
fn schedule(fleet: &Fleet, weight: Option<WeightStore>, tracker: &mut Tracker) -> Schedule {
    let options = Options::default();
    order::schedule(fleet.state(), &fleet.view, fleet.now, PLANNER, weight, tracker, &options)
}

/// Names of the instances to which orders are sent.
fn names(schedule: &Schedule) -> Vec<&str> {
    schedule.orders.iter().map(|dispatch| dispatch.instance.as_str()).collect()
}

/// Advances time by 1.5 s and replaces the reports by the current state of the engines.
fn refresh_reports(fleet: &mut Fleet) {
    fleet.now = fleet.now + Duration::from_millis(1_500);
    for (name, observation) in fleet.view.instances.iter_mut() {
        let engine = fleet.engines.get(name).expect("known");
        let report = observation.report.as_mut().expect("reported");
        report.fence = engine.fence;
        report.group = engine.group;
        report.model = Some(engine.model.clone());
        report.phase = engine.phase;
        report.running = engine.running;
        report.at = fleet.now;
    }
}

/// A weight store without loads.
const IDLE_STORE: Option<WeightStore> = Some(WeightStore { limit: 64, active: 0, queued: 0 });

/// Guards against more loads at once than the sheet or the weight store allows, counting the loads
/// of the store's other users, and against loads for a group while another group could be complete
/// sooner.
#[test]
fn loads_are_limited_and_complete_groups_first() {
    let lines = format!("{}w 0 3\nm m 1 k 4 1 0", domain("a", 8, "z1", true));
    let mut fleet = fleet(&lines);
    form_group(&mut fleet, &["a0", "a1", "a2", "a3"]);
    form_group(&mut fleet, &["a4", "a5"]);
    let mut tracker = Tracker::default();
    let store = |limit, active| Some(WeightStore { limit, active, queued: 0 });
    assert_eq!(names(&schedule(&fleet, None, &mut tracker.clone())), [""; 0]);
    assert_eq!(names(&schedule(&fleet, store(1, 0), &mut tracker.clone())), ["a4"]);
    assert_eq!(names(&schedule(&fleet, store(9, 2), &mut tracker.clone())), ["a4"]);
    let outcome = schedule(&fleet, store(9, 0), &mut tracker);
    assert_eq!(names(&outcome), ["a4", "a5", "a0"]);
    assert!(outcome.waits.contains(&("a1".into(), Wait::LoadLimit)));
    // Accepted loads count from the reply on, until a report shows that the load has ended.
    let now = fleet.now;
    for dispatch in &outcome.orders {
        tracker.record_reply(&dispatch.instance, dispatch.order.fence, Reply::Accepted, now);
    }
    assert_eq!(names(&schedule(&fleet, store(9, 0), &mut tracker)), [""; 0]);
    for dispatch in &outcome.orders {
        fleet.engine(&dispatch.instance).phase = Phase::Loading;
    }
    refresh_reports(&mut fleet);
    assert_eq!(names(&schedule(&fleet, store(9, 0), &mut tracker)), [""; 0]);
    fleet.engine("a5").phase = Phase::Ready;
    refresh_reports(&mut fleet);
    assert_eq!(names(&schedule(&fleet, store(9, 0), &mut tracker)), ["a1"]);
}

/// Guards against a lost reply after which the order is repeated before a new report of the engine,
/// is sent under another fencing token, or is never repeated.
#[test]
fn order_with_unknown_result_is_done_by_a_report_or_repeated() {
    for took_effect in [true, false] {
        let mut fleet = fleet(&format!("{}m m 1 k 1 1 0", domain("a", 1, "z1", true)));
        let group = form_group(&mut fleet, &["a0"]);
        let mut tracker = Tracker::default();
        let first = schedule(&fleet, IDLE_STORE, &mut tracker);
        assert_eq!(first.orders[0].order.fence, group);
        assert_eq!(
            schedule(&fleet, IDLE_STORE, &mut tracker).waits,
            [("a0".into(), Wait::InFlight)]
        );
        let now = fleet.now;
        tracker.record_reply(&"a0".into(), group, Reply::Unknown, now);
        assert_eq!(
            schedule(&fleet, IDLE_STORE, &mut tracker).waits,
            [("a0".into(), Wait::InFlight)]
        );
        if took_effect {
            fleet.engine("a0").fence = group;
            fleet.engine("a0").group = group;
        }
        refresh_reports(&mut fleet);
        let second = schedule(&fleet, IDLE_STORE, &mut tracker);
        let done = Record::OrderDone { instance: "a0".into(), fence: group };
        match took_effect {
            true => assert_eq!((second.orders, second.records), (vec![], vec![done])),
            false => assert_eq!(second.orders, first.orders),
        }
    }
}

/// Guards against an order that overtakes an older one on its way to an engine without fencing, and
/// against an order under a fencing token that was replaced.
#[test]
fn new_order_waits_for_the_older_attempt() {
    let mut fleet = fleet(&format!("{}m m 1 k 1 1 0", domain("a", 1, "z1", false)));
    let group = form_group(&mut fleet, &["a0"]);
    let mut tracker = Tracker::default();
    assert_eq!(schedule(&fleet, IDLE_STORE, &mut tracker).orders.len(), 1);
    let reason = Reason::MemberLost;
    let fence = fleet.log.accept(PLANNER, Record::Dissolve { term: 1, group, reason });
    assert_eq!(schedule(&fleet, IDLE_STORE, &mut tracker).waits, [("a0".into(), Wait::InFlight)]);
    fleet.engine("a0").group = group;
    fleet.engine("a0").phase = Phase::Loading;
    let now = fleet.now;
    tracker.record_reply(&"a0".into(), group, Reply::Accepted, now);
    refresh_reports(&mut fleet);
    let outcome = schedule(&fleet, IDLE_STORE, &mut tracker);
    let order = &outcome.orders[0].order;
    assert_eq!((order.order, order.fence, order.group), (Action::Unload, fence, group));
    assert_eq!(outcome.records, []);
    let now = fleet.now;
    tracker.record_reply(&"a0".into(), fence, Reply::Stale, now);
    let done = Record::OrderDone { instance: "a0".into(), fence };
    assert_eq!(schedule(&fleet, IDLE_STORE, &mut tracker).records, [done]);
}

/// Guards against orders to an instance that runs under another boot or does not report, against
/// orders of an executor that is proven dead, and against orders that are repeated after the engine
/// accepted them because the state does not show yet that they are done.
#[test]
fn orders_need_the_boot_and_a_live_executor_and_are_sent_once() {
    let mut fleet = fleet(&format!("{}m m 1 k 1 1 0", domain("a", 1, "z1", false)));
    let group = form_group(&mut fleet, &["a0"]);
    let no_report = [("a0".into(), Wait::NoReport)];
    let set_boot = |fleet: &mut Fleet, boot: &str| {
        let observation = fleet.view.instances.get_mut(&"a0".into()).expect("seen");
        observation.report.as_mut().expect("reported").boot = boot.into();
    };
    set_boot(&mut fleet, "b2");
    assert_eq!(schedule(&fleet, IDLE_STORE, &mut Tracker::default()).waits, no_report);
    set_boot(&mut fleet, "b1");
    let mut other_tracker = Tracker::default();
    let mut tracker = Tracker::default();
    assert_eq!(names(&schedule(&fleet, IDLE_STORE, &mut tracker)), ["a0"]);
    let now = fleet.now;
    tracker.record_reply(&"a0".into(), group, Reply::Accepted, now);
    for _ in 0..3 {
        let outcome = schedule(&fleet, IDLE_STORE, &mut tracker);
        assert_eq!((outcome.orders.len(), outcome.records.len()), (0, 1));
    }
    fleet.now = fleet.now + Duration::from_secs(60);
    assert_eq!(schedule(&fleet, IDLE_STORE, &mut other_tracker).waits, no_report);
    refresh_reports(&mut fleet);
    fleet.log.accept(2, Record::EntryGone { incarnation: PLANNER });
    assert_eq!(schedule(&fleet, IDLE_STORE, &mut other_tracker), Schedule::default());
}

/// Guards against a planned unload that interrupts requests which rank 0 holds for the whole group
/// or requests that arrive before all entries know that the group has ended, and against an order
/// that waits for requests without a limit.
#[test]
fn planned_orders_wait_for_requests_in_flight() {
    let mut fleet = fleet(&format!("{}m m 1 k 2 1 0", domain("a", 2, "z1", true)));
    let group = form_group(&mut fleet, &["a0", "a1"]);
    for name in ["a0", "a1"] {
        fleet.engine(name).group = group;
        fleet.engine(name).fence = group;
        fleet.engine(name).phase = Phase::Ready;
    }
    fleet.log.accept(PLANNER, Record::Dissolve { term: 1, group, reason: Reason::NotWanted });
    let mut tracker = Tracker::default();
    refresh_reports(&mut fleet);
    assert_eq!(names(&schedule(&fleet, IDLE_STORE, &mut tracker)), [""; 0]);
    fleet.engine("a0").running = 1;
    for _ in 0..4 {
        refresh_reports(&mut fleet);
        let draining = [("a0".into(), Wait::Draining), ("a1".into(), Wait::Draining)];
        assert_eq!(schedule(&fleet, IDLE_STORE, &mut tracker).waits, draining);
    }
    let mut timed_out = tracker.clone();
    fleet.engine("a0").running = 0;
    refresh_reports(&mut fleet);
    assert_eq!(names(&schedule(&fleet, IDLE_STORE, &mut tracker)), ["a0", "a1"]);
    fleet.engine("a0").running = 1;
    (0..400).for_each(|_| refresh_reports(&mut fleet));
    assert_eq!(names(&schedule(&fleet, IDLE_STORE, &mut timed_out)), ["a0", "a1"]);
}
