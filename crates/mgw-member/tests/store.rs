//! Group summaries, instance states, usage and crashes, out of order and from several observers.

mod common;

use common::{at, group, instance, view};
use mgw_member::store::{Change, Options, Store};
use mgw_wire::frame::{Blame, State, Usage};

fn store() -> Store {
    let mut store = Store::new(Options::default());
    store.set_listed(&[(50, 60)]);
    store
}

/// Guards against requests to a group that an observer has found incomplete.
#[test]
fn a_closed_summary_wins_over_an_older_open_one() {
    let mut store = store();
    assert_eq!(store.merge_group(&group(1, 1, true, 100), at(1_000)), Change::Updated);
    assert_eq!(store.merge_group(&group(2, 1, false, 0), at(1_050)), Change::Closed);
    // Late, duplicated and equally old open summaries, in full or as an age, change nothing.
    store.merge_group(&group(1, 1, true, 0), at(1_100));
    store.merge_group(&group(1, 2, true, 50), at(1_100));
    assert!(!store.merge_group_age((50, 60), 10, Some(20), at(1_100)));
    assert!(!store.group(50, 60, at(1_100)).unwrap().servable);
    assert_eq!(store.merge_group(&group(1, 3, true, 10), at(1_200)), Change::Updated);
    assert!(store.group(50, 60, at(1_200)).unwrap().servable);
    assert_eq!(store.group(50, 61, at(1_200)), None, "another fencing token is another group");
}

/// Guards against a group that stays open because its summary looks younger than it is.
#[test]
fn ages_grow_with_the_time_here_and_shrink_only_by_younger_reports() {
    let mut store = store();
    store.merge_group(&group(1, 1, true, 700), at(1_000));
    assert_eq!(store.group(50, 60, at(2_500)).unwrap().age_ms, 2_200);
    assert!(!store.merge_group_age((50, 60), 2_500, Some(0), at(2_500)));
    assert!(store.merge_group_age((50, 60), 300, Some(96), at(2_500)));
    let renewed = store.group(50, 60, at(2_600)).unwrap();
    assert_eq!((renewed.age_ms, renewed.running, renewed.queued), (400, 32, 16));
    assert!(store.merge_group_age((50, 60), 350, None, at(2_600)));
    assert_eq!(store.group(50, 60, at(2_600)).unwrap().queued, 16, "the last known load");
    assert_eq!(store.merge_group(&group(1, 1, true, 0), at(2_700)), Change::Ignored);
    assert_eq!(store.group(50, 60, at(2_700)).unwrap().age_ms, 450);
    store.expire(at(100_000));
    assert_eq!(store.group(50, 60, at(100_000)), None);
}

/// Guards against a listed group that stays closed until its full summary comes round.
#[test]
fn an_age_is_enough_for_a_listed_group_without_summary() {
    let mut store = store();
    assert!(store.merge_group_age((50, 60), 300, Some(32), at(1_000)));
    assert!(!store.merge_group_age((50, 61), 300, Some(32), at(1_000)));
    let known = store.group(50, 60, at(1_100)).unwrap();
    assert!(known.servable && known.age_ms == 400);
    assert_eq!(store.merge_group(&group(1, 9, false, 0), at(1_200)), Change::Closed);
}

/// Guards against the replacement of an instance that only one observer cannot reach.
#[test]
fn an_instance_is_lost_only_by_agreement_of_two_live_observers() {
    let (mut store, view) = (store(), view(2..4));
    store.merge_instance(&instance(2, 1, State::Silent, 2_500), at(1_000));
    assert!(!store.is_lost("server-1", &view, at(2_000)), "one observer");
    store.merge_instance(&instance(3, 1, State::Silent, 2_000), at(1_000));
    assert!(!store.is_lost("server-1", &view, at(1_900)), "second observer: 2.9 s");
    assert!(store.is_lost("server-1", &view, at(2_000)));
    assert!(!store.is_lost("server-1", &view, at(4_000)), "observers are not live themselves");
    let (mut heard, name) = (store.clone(), "server-1");
    heard.merge_instance(&instance(1, 5, State::Ready, 100), at(2_000));
    assert!(!heard.is_lost(name, &view, at(2_000)), "a third observer has heard it");
    assert_eq!(heard.instance(name, at(2_100)).unwrap().state, State::Ready);
    store.merge_instance(&instance(2, 2, State::Ready, 0), at(2_000));
    store.merge_instance(&instance(2, 1, State::Silent, 9_000), at(2_100));
    assert!(!store.is_lost(name, &view, at(2_200)), "an old state after a newer one");
}

/// Guards against items that peers tell each other for ever.
#[test]
fn usage_and_crashes_are_relayed_for_less_time_than_they_are_kept() {
    let mut store = store();
    let usage = |counter| Usage {
        incarnation: 2,
        counter,
        team: "vans".into(),
        requests: 7,
        tokens: 70,
        in_flight: 1,
    };
    let team = "vans".into();
    store.merge_usage(&usage(5), at(1_000));
    assert_eq!(store.merge_usage(&usage(4), at(1_500)), Change::Ignored);
    assert_eq!(store.usage_of("vans", at(10_900)).count(), 1);
    assert!(store.relayable_usage(&team, 2, at(5_900)).is_some());
    assert!(store.relayable_usage(&team, 2, at(6_100)).is_none());
    assert_eq!(store.usage_of("vans", at(11_100)).count(), 0);
    store.expire(at(12_000));
    assert_eq!(store.merge_usage(&usage(5), at(12_000)), Change::Ignored);

    let blame = |counter| Blame { fingerprint: 9, observer: 2, counter };
    assert_eq!(store.merge_blame(blame(1), at(1_000)), Change::Updated);
    assert_eq!(store.merge_blame(blame(1), at(50_000)), Change::Ignored);
    store.merge_blame(blame(2), at(50_000));
    store.expire(at(100_000));
    assert_eq!(store.crash_count(9), 2);
    assert!(!store.is_blame_relayable(blame(1), at(61_000)));
    store.expire(at(601_000));
    assert_eq!(store.crash_count(9), 1);
}
