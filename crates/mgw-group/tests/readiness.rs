//! Tests of the readiness check.

mod common;

use std::time::Duration;

use common::{Fleet, PLANNER, domain};
use mgw_base::time::Instant;
use mgw_group::readiness::{Cause, Options, Summary, check_members, check_summaries};
use mgw_group::view::{Listing, Observation};
use mgw_report::report::Phase;
use mgw_state::record::{Mark, Record};

/// A fleet with a servable group of a0 and a1 and the free instance a2; also returns the group's
/// id.
fn servable_pair(fencing: bool) -> (Fleet, u64) {
    let text = format!("{}m m 1 k 2 1 0", domain("a", 3, "z1", fencing));
    let mut fleet = Fleet::new(&text);
    fleet.run(30);
    let group = fleet.groups("m")[0].0;
    assert!(fleet.is_servable(group));
    (fleet, group)
}

/// Why an observer finds the group closed; `None` if it is servable.
fn closed_cause(fleet: &Fleet, group: u64) -> Option<Cause> {
    check_members(fleet.state(), &fleet.view, group, fleet.now, &Options::default()).cause
}

/// Guards against a group that serves although one of its members must not, for each such cause.
#[test]
fn one_unready_member_closes_the_group() {
    type Change = fn(&mut Observation);
    let name = || "a1".into();
    let cases: [(Change, Cause); 8] = [
        (|observation| observation.listed = Listing::Leaving, Cause::Leaving(name())),
        (|observation| observation.listed = Listing::Absent, Cause::Absent(name())),
        (|observation| observation.report = None, Cause::Silent(name())),
        (|observation| report_mut(observation).boot = "b2".into(), Cause::Boot(name())),
        (|observation| report_mut(observation).group += 1, Cause::Order(name())),
        (|observation| report_mut(observation).fence -= 1, Cause::Order(name())),
        (|observation| report_mut(observation).phase = Phase::Loading, Cause::Phase(name())),
        (|observation| report_mut(observation).at = Instant::from_millis(0), Cause::Silent(name())),
    ];
    for (change, expected) in cases {
        let (mut fleet, group) = servable_pair(true);
        change(fleet.view.instances.get_mut(&"a1".into()).expect("seen"));
        assert_eq!(closed_cause(&fleet, group), Some(expected));
    }
    let (mut fleet, group) = servable_pair(true);
    fleet.mark("a1", Mark::Drain);
    assert_eq!(closed_cause(&fleet, group), Some(Cause::Drained(name())));
    let (mut fleet, group) = servable_pair(true);
    fleet.log.publish(&format!("{}m m 1 k 2 1 0", domain("a", 1, "z1", true)));
    assert_eq!(closed_cause(&fleet, group), Some(Cause::Removed(name())));
    assert_eq!(closed_cause(&fleet, group + 1_000), Some(Cause::Group));
}

/// The instance's report, to be changed.
fn report_mut(observation: &mut Observation) -> &mut mgw_group::view::Report {
    observation.report.as_mut().expect("reported")
}

/// Guards against a limit of the reports' age that is off by one millisecond.
#[test]
fn reports_count_for_less_than_two_seconds() {
    let (fleet, group) = servable_pair(true);
    let is_servable_after = |age| {
        let now = fleet.now + Duration::from_millis(age);
        check_members(fleet.state(), &fleet.view, group, now, &Options::default()).is_servable()
    };
    assert!(is_servable_after(1_999) && !is_servable_after(2_000));
}

/// Guards against a group of engines without fencing that serves while a member still uses the
/// member list from before a replacement. Reports do not show the list, so only the `OrderDone`
/// records tell.
#[test]
fn engines_without_fencing_need_the_new_member_list() {
    let (mut fleet, group) = servable_pair(false);
    let report_without_fencing = |fleet: &mut Fleet, group| {
        for (_, observation) in fleet.view.instances.iter_mut() {
            let report = report_mut(observation);
            report.fence = 0;
            report.group = group;
            report.model = Some(("m".into(), "1".into()));
            report.phase = Phase::Ready;
        }
    };
    report_without_fencing(&mut fleet, group);
    assert_eq!(closed_cause(&fleet, group), None);
    let spare = common::log::member("a2");
    let replace = Record::Replace { term: 1, group, lost: "a1".into(), spare, executor: PLANNER };
    let fence = fleet.log.accept(PLANNER, replace);
    assert_eq!(closed_cause(&fleet, group), Some(Cause::Unsettled("a0".into())));
    fleet.log.accept(PLANNER, Record::OrderDone { instance: "a0".into(), fence });
    assert_eq!(closed_cause(&fleet, group), Some(Cause::Unsettled("a2".into())));
    fleet.log.accept(PLANNER, Record::OrderDone { instance: "a2".into(), fence });
    assert_eq!(closed_cause(&fleet, group), None);
}

/// Guards against requests that are not counted because the member that holds them is leaving: the
/// group would count as drained.
#[test]
fn requests_of_an_unready_member_count() {
    let (mut fleet, group) = servable_pair(true);
    let observation = fleet.view.instances.get_mut(&"a0".into()).expect("seen");
    observation.listed = Listing::Leaving;
    report_mut(observation).running = 2;
    let status = check_members(fleet.state(), &fleet.view, group, fleet.now, &Options::default());
    assert_eq!((status.is_servable(), status.running, status.at), (false, 2, fleet.now));
}

/// Guards against an entry that uses a group which an observer has found closed, which has only
/// summaries that are too old or of an older member list, or of which the entry's own instance list
/// shows a member as leaving.
#[test]
fn newest_summary_decides_and_closed_takes_precedence() {
    let (mut fleet, group) = servable_pair(true);
    let now = fleet.now;
    let fence = fleet.state().group(group).expect("formed").fence;
    let at = |age| now - Duration::from_millis(age);
    let summary = |observer, servable, age| Summary {
        observer,
        counter: 1,
        fence,
        servable,
        at: at(age),
        running: 0,
        queued: 0,
        slots: 8,
    };
    let open = summary(1, true, 100);
    let older_members = Summary { fence: fence - 1, ..summary(2, false, 0) };
    let cases = [
        (vec![], Err(Cause::Stale)),
        (vec![open], Ok(open)),
        (vec![summary(2, false, 50), open], Err(Cause::Observer(2))),
        (vec![open, summary(2, false, 100)], Err(Cause::Observer(2))),
        (vec![open, summary(2, false, 500)], Ok(open)),
        (vec![summary(1, true, 2_000)], Err(Cause::Stale)),
        (vec![open, older_members], Ok(open)),
        (vec![Summary { fence: fence - 1, ..open }], Err(Cause::Stale)),
    ];
    for (summaries, expected) in cases {
        fleet.view.summaries.insert(group, summaries.clone());
        let found = check_summaries(fleet.state(), &fleet.view, group, now, &Options::default());
        assert_eq!(found, expected, "{summaries:?}");
    }
    fleet.view.summaries.insert(group, vec![open]);
    fleet.view.instances.get_mut(&"a1".into()).expect("seen").listed = Listing::Leaving;
    let found = check_summaries(fleet.state(), &fleet.view, group, now, &Options::default());
    assert_eq!(found, Err(Cause::Leaving("a1".into())));
}
