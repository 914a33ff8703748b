//! Tests of the executor's orders.

mod common;

use std::time::Duration;

use common::{Fleet, ME, domain};
use mgw_group::order::{self, Options, Reply, Schedule, Tracker, Wait};
use mgw_report::report::{Action, Phase, Weight};
use mgw_state::record::{Reason, Record};

/// A fleet whose orders the test sends itself; nothing is formed yet.
fn fleet(lines: &str) -> Fleet {
    let mut fleet = Fleet::new(lines);
    fleet.ordering = false;
    let models = fleet.log.state.config().text.clone();
    let bare: Vec<&str> = models.lines().filter(|line| !line.starts_with('m')).collect();
    fleet.log.publish(&bare.join("\n"));
    fleet.run(3);
    fleet.log.publish(lines);
    fleet
}

fn form(fleet: &mut Fleet, members: &[&str]) -> u64 {
    let form = fleet.log.form(members, ME);
    fleet.log.accept(ME, form)
}

fn plan(fleet: &Fleet, weight: Option<Weight>, memory: &mut Tracker) -> Schedule {
    let options = Options::default();
    order::schedule(fleet.state(), &fleet.view, fleet.now, ME, weight, memory, &options)
}

fn names(outcome: &Schedule) -> Vec<&str> {
    outcome.orders.iter().map(|due| due.instance.as_str()).collect()
}

/// Lets reports show the engines as they are now.
fn look(fleet: &mut Fleet) {
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

const STORE: Option<Weight> = Some(Weight { limit: 64, active: 0, queued: 0 });

/// Guards against more loads than the sheet, the weight store or its other users allow, and
/// against loads that complete no group while another group could be complete sooner.
#[test]
fn loads_are_limited_and_complete_groups_first() {
    let lines = format!("{}w 0 3\nm m 1 k 4 1 0", domain("a", 8, "z1", true));
    let mut fleet = fleet(&lines);
    form(&mut fleet, &["a0", "a1", "a2", "a3"]);
    form(&mut fleet, &["a4", "a5"]);
    let mut memory = Tracker::default();
    let store = |limit, active| Some(Weight { limit, active, queued: 0 });
    assert_eq!(names(&plan(&fleet, None, &mut memory.clone())), [""; 0]);
    assert_eq!(names(&plan(&fleet, store(1, 0), &mut memory.clone())), ["a4"]);
    assert_eq!(names(&plan(&fleet, store(9, 2), &mut memory.clone())), ["a4"]);
    let outcome = plan(&fleet, store(9, 0), &mut memory);
    assert_eq!(names(&outcome), ["a4", "a5", "a0"]);
    assert!(outcome.waits.contains(&("a1".into(), Wait::LoadLimit)));
    // Accepted loads count until the reports show them, and as long as they run.
    let now = fleet.now;
    for due in &outcome.orders {
        memory.record_reply(&due.instance, due.order.fence, Reply::Accepted, now);
    }
    assert_eq!(names(&plan(&fleet, store(9, 0), &mut memory)), [""; 0]);
    for due in &outcome.orders {
        fleet.engine(&due.instance).phase = Phase::Loading;
    }
    look(&mut fleet);
    assert_eq!(names(&plan(&fleet, store(9, 0), &mut memory)), [""; 0]);
    fleet.engine("a5").phase = Phase::Ready;
    look(&mut fleet);
    assert_eq!(names(&plan(&fleet, store(9, 0), &mut memory)), ["a1"]);
}

/// Guards against a lost reply that leads to a second order without a look at the engine, to an
/// order under another fencing token, or to an order that is never repeated.
#[test]
fn unknown_reply_is_settled_by_the_report_or_repeated() {
    for arrived in [true, false] {
        let mut fleet = fleet(&format!("{}m m 1 k 1 1 0", domain("a", 1, "z1", true)));
        let group = form(&mut fleet, &["a0"]);
        let mut memory = Tracker::default();
        let first = plan(&fleet, STORE, &mut memory);
        assert_eq!(first.orders[0].order.fence, group);
        assert_eq!(plan(&fleet, STORE, &mut memory).waits, [("a0".into(), Wait::InFlight)]);
        let now = fleet.now;
        memory.record_reply(&"a0".into(), group, Reply::Unknown, now);
        assert_eq!(plan(&fleet, STORE, &mut memory).waits, [("a0".into(), Wait::InFlight)]);
        if arrived {
            fleet.engine("a0").fence = group;
            fleet.engine("a0").group = group;
        }
        look(&mut fleet);
        let second = plan(&fleet, STORE, &mut memory);
        let done = Record::OrderDone { instance: "a0".into(), fence: group };
        match arrived {
            true => assert_eq!((second.orders, second.records), (vec![], vec![done])),
            false => assert_eq!(second.orders, first.orders),
        }
    }
}

/// Guards against an order that overtakes an older one on the way to an engine without fencing,
/// and against orders under a token that was replaced.
#[test]
fn new_order_waits_for_the_older_attempt() {
    let mut fleet = fleet(&format!("{}m m 1 k 1 1 0", domain("a", 1, "z1", false)));
    let group = form(&mut fleet, &["a0"]);
    let mut memory = Tracker::default();
    assert_eq!(plan(&fleet, STORE, &mut memory).orders.len(), 1);
    let reason = Reason::MemberLost;
    let fence = fleet.log.accept(ME, Record::Dissolve { term: 1, group, reason });
    assert_eq!(plan(&fleet, STORE, &mut memory).waits, [("a0".into(), Wait::InFlight)]);
    fleet.engine("a0").group = group;
    fleet.engine("a0").phase = Phase::Loading;
    let now = fleet.now;
    memory.record_reply(&"a0".into(), group, Reply::Accepted, now);
    look(&mut fleet);
    let outcome = plan(&fleet, STORE, &mut memory);
    let order = &outcome.orders[0].order;
    assert_eq!((order.order, order.fence, order.group), (Action::Unload, fence, group));
    assert_eq!(outcome.records, []);
    let now = fleet.now;
    memory.record_reply(&"a0".into(), fence, Reply::Stale, now);
    let done = Record::OrderDone { instance: "a0".into(), fence };
    assert_eq!(plan(&fleet, STORE, &mut memory).records, [done]);
}

/// Guards against orders to an instance that runs under another boot or does not report, from an
/// incarnation that is proven dead, or repeated from a stale state after they were answered.
#[test]
fn orders_need_the_boot_a_living_executor_and_are_sent_once() {
    let mut fleet = fleet(&format!("{}m m 1 k 1 1 0", domain("a", 1, "z1", false)));
    let group = form(&mut fleet, &["a0"]);
    let silent = [("a0".into(), Wait::NoReport)];
    let observation = |fleet: &mut Fleet, boot: &str| {
        let observation = fleet.view.instances.get_mut(&"a0".into()).expect("seen");
        observation.report.as_mut().expect("reported").boot = boot.into();
    };
    observation(&mut fleet, "b2");
    assert_eq!(plan(&fleet, STORE, &mut Tracker::default()).waits, silent);
    observation(&mut fleet, "b1");
    let mut late = Tracker::default();
    let mut memory = Tracker::default();
    assert_eq!(names(&plan(&fleet, STORE, &mut memory)), ["a0"]);
    let now = fleet.now;
    memory.record_reply(&"a0".into(), group, Reply::Accepted, now);
    for _ in 0..3 {
        let outcome = plan(&fleet, STORE, &mut memory);
        assert_eq!((outcome.orders.len(), outcome.records.len()), (0, 1));
    }
    fleet.now = fleet.now + Duration::from_secs(60);
    assert_eq!(plan(&fleet, STORE, &mut late).waits, silent);
    look(&mut fleet);
    fleet.log.accept(2, Record::EntryGone { incarnation: ME });
    assert_eq!(plan(&fleet, STORE, &mut late), Schedule::default());
}

/// Guards against a planned stop that interrupts requests which rank 0 holds for the whole group,
/// against requests that arrive while the end of the group spreads, and against a wait for ever.
#[test]
fn planned_orders_wait_for_requests_in_flight() {
    let mut fleet = fleet(&format!("{}m m 1 k 2 1 0", domain("a", 2, "z1", true)));
    let group = form(&mut fleet, &["a0", "a1"]);
    for name in ["a0", "a1"] {
        fleet.engine(name).group = group;
        fleet.engine(name).fence = group;
        fleet.engine(name).phase = Phase::Ready;
    }
    fleet.log.accept(ME, Record::Dissolve { term: 1, group, reason: Reason::NotWanted });
    let mut memory = Tracker::default();
    look(&mut fleet);
    assert_eq!(names(&plan(&fleet, STORE, &mut memory)), [""; 0]);
    fleet.engine("a0").running = 1;
    for _ in 0..4 {
        look(&mut fleet);
        let drain = [("a0".into(), Wait::Draining), ("a1".into(), Wait::Draining)];
        assert_eq!(plan(&fleet, STORE, &mut memory).waits, drain);
    }
    let mut bounded = memory.clone();
    fleet.engine("a0").running = 0;
    look(&mut fleet);
    assert_eq!(names(&plan(&fleet, STORE, &mut memory)), ["a0", "a1"]);
    fleet.engine("a0").running = 1;
    (0..400).for_each(|_| look(&mut fleet));
    assert_eq!(names(&plan(&fleet, STORE, &mut bounded)), ["a0", "a1"]);
}
