//! Tests of instances that reach neither the store nor, some of them, the planner.

mod common;

use common::{Cluster, LARGE, SMALL, at, record};
use mgw_fleet::group;
use mgw_fleet::notice::Process;
use mgw_fleet::plan::{Order, Planner, ProbeResult};
use mgw_fleet::roster::{Phase, Record};
use smol_str::SmolStr;

/// A cluster of one domain with an open group of four, and its planner.
fn one_large_group(instances: usize) -> (Cluster, Planner, SmolStr) {
    let mut world = Cluster::new(1, instances);
    world.demand.insert(("engines".into(), LARGE.into()), 1.0);
    world.demand.insert(("engines".into(), SMALL.into()), 0.0);
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 2_000);
    let group = world.open_groups(LARGE).first().cloned().expect("a group");
    world.orders.clear();
    (world, planner, group)
}

/// Whether the entries may send requests to the group.
fn is_servable(world: &Cluster, name: &str) -> bool {
    let groups = group::list(&world.roster, &world.config);
    groups.iter().any(|group| group.name == name && group.is_servable)
}

/// Guards against a group that is given up because the store dropped the entry of a member that
/// cannot reach it. The failure was observed as 34 dissolved groups, of which 8 were broken, after
/// 39 of 171 instances had been partitioned from the store.
#[test]
fn a_member_that_only_the_store_cannot_reach_stays() {
    let (mut world, mut planner, group) = one_large_group(4);
    let member = world.members(&group)[2].clone();
    world.cut_off(&member);
    world.run(&mut planner, 20_000);
    assert_eq!(world.orders, [], "no order");
    assert!(is_servable(&world, &group));
    world.cut.clear();
    world.run(&mut planner, 3_000);
    assert_eq!(world.orders, [], "no order after its return");
    assert!(is_servable(&world, &group));
}

/// Guards against members that stay idle for as long as their head cannot reach the store. Nothing
/// may be sent to such a head, but the same instances can serve under another one.
#[test]
fn a_group_whose_head_is_unlisted_continues_under_another_head() {
    let (mut world, mut planner, group) = one_large_group(4);
    let members = world.members(&group);
    world.cut_off(&members[0]);
    assert!(!is_servable(&world, &group), "requests for a head that is not listed");
    world.run(&mut planner, 4_000);
    let next = world.open_groups(LARGE).first().cloned().expect("a group");
    assert_ne!(next, group);
    assert_ne!(world.members(&next)[0], members[0]);
    assert!(world.members(&next).contains(&members[0]), "{:?}", world.members(&next));
    assert!(is_servable(&world, &next));
    let close = world.orders.iter().position(|it| matches!(it.order, Order::Close { .. }));
    let join = world.orders.iter().position(|it| matches!(it.order, Order::Join { .. }));
    assert!(close.is_some() && close < join, "{:?}", world.orders);
}

/// Guards against a group that is formed anew although its head is listed again a moment later.
#[test]
fn a_head_that_is_listed_again_soon_keeps_its_group() {
    let (mut world, mut planner, group) = one_large_group(4);
    let head = world.members(&group)[0].clone();
    world.cut_off(&head);
    world.run(&mut planner, 1_200);
    world.cut.clear();
    world.run(&mut planner, 5_000);
    assert_eq!(world.orders, [], "no order");
    assert!(is_servable(&world, &group));
}

/// Guards against a lost member that counts as present because its entry was removed before.
#[test]
fn an_unlisted_member_that_does_not_answer_is_lost() {
    for is_refusing in [true, false] {
        let (mut world, mut planner, group) = one_large_group(5);
        let member = world.members(&group)[2].clone();
        world.cut_off(&member);
        match is_refusing {
            true => world.refusing.push(member.clone()),
            false => world.silent.push(member.clone()),
        }
        world.run(&mut planner, 6_000);
        let next = world.open_groups(LARGE).first().cloned().expect("a group");
        assert!(!world.members(&next).contains(&member), "{:?}", world.members(&next));
    }
}

/// Guards against requests for a group whose member leaves without an entry that says so.
#[test]
fn an_unlisted_member_that_is_leaving_closes_its_group() {
    let (mut world, mut planner, group) = one_large_group(5);
    let member = world.members(&group)[2].clone();
    world.cut_off(&member);
    let started_ms = world.records.get(&member).expect("a record").started_ms;
    world.roster.record_leaving(&Process { id: member.clone(), started_ms }, world.now);
    assert!(!is_servable(&world, &group));
    world.run(&mut planner, 4_000);
    let next = world.open_groups(LARGE).first().cloned().expect("a group");
    assert!(!world.members(&next).contains(&member), "{:?}", world.members(&next));
}

/// Guards against a member that was listed as draining and counts as present after its entry is
/// removed.
#[test]
fn a_drained_member_does_not_count_as_present() {
    let (mut world, _, group) = one_large_group(4);
    let member = world.members(&group)[1].clone();
    world.records.get_mut(&member).expect("a record").phase = Phase::Draining;
    world.publish_records();
    world.cut_off(&member);
    assert!(!is_servable(&world, &group));
}

/// Guards against a group that counts as whole after a member has restarted under the same id.
#[test]
fn an_unlisted_member_that_restarted_is_lost() {
    let (mut world, mut planner, group) = one_large_group(5);
    let member = world.members(&group)[2].clone();
    world.cut_off(&member);
    world.run(&mut planner, 1_000);
    let restarted = Record { started_ms: 2, ..record(0) };
    world.records.insert(member.clone(), restarted);
    world.cut.clear();
    world.publish_records();
    assert!(!is_servable(&world, &group));
    world.run(&mut planner, 3_000);
    assert_ne!(world.open_groups(LARGE), [group]);
}

/// Guards against a new planner that dissolves a sound group because one of its members was not
/// listed when it took over, and against one that never learns of that member.
#[test]
fn a_new_planner_keeps_a_group_with_an_unlisted_member() {
    let (mut world, _, group) = one_large_group(4);
    let member = world.members(&group)[2].clone();
    world.cut_off(&member);
    // The new planner has started after the entry was removed.
    world.roster = Default::default();
    world.publish_records();
    let mut next = Planner::new(9, at(0));
    world.run(&mut next, 3_000);
    assert_eq!(world.orders, [], "no order");
    world.cut.clear();
    world.run(&mut next, 3_000);
    assert_eq!(world.orders, [], "no order after its return");
    assert!(is_servable(&world, &group));
    world.silent.push(member);
    world.run(&mut next, 4_000);
    assert_ne!(world.orders, [], "the lost member is not noticed");
}

/// Guards against probes of instances that have ended, for as long as the roster knows them.
#[test]
fn ended_instances_are_not_probed_forever() {
    let (mut world, mut planner, group) = one_large_group(5);
    let member = world.members(&group)[2].clone();
    world.cut_off(&member);
    world.refusing.push(member.clone());
    world.run(&mut planner, 3_000);
    let before = world.probes_of(&member);
    world.run(&mut planner, 10_000);
    assert_eq!(world.probes_of(&member), before);
    planner.record_probe(&member, ProbeResult::Refused, world.now);
}
