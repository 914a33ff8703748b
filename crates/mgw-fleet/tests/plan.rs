//! Tests of the planner on simulated instances that carry out orders immediately.

mod common;

use common::{Cluster, LARGE, SMALL, at, record};
use mgw_fleet::plan::{Order, Planner};
use mgw_fleet::roster::{Phase, Roster};

/// Whether `instance` was ordered to leave its group before it was first ordered to join another
/// one.
fn leaves_first(world: &Cluster, instance: &str) -> bool {
    let position = |is_match: fn(&Order) -> bool| {
        world.orders.iter().position(|it| it.instance == instance && is_match(&it.order))
    };
    let leave = position(|order| matches!(order, Order::Leave { .. }));
    let join = position(|order| matches!(order, Order::Join { .. }));
    leave.is_some_and(|leave| join.is_none_or(|join| leave < join))
}

/// Guards against instances that stay idle although they could form a group.
#[test]
fn fills_domains_with_whole_groups() {
    let mut world = Cluster::new(2, 10);
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 3_000);
    let (large, small) = (world.open_groups(LARGE).len(), world.open_groups(SMALL).len());
    assert_eq!(large * 4 + small * 2, 20, "{large} large and {small} small groups");
    assert!(large >= 2 && small >= 2, "{large} large and {small} small groups");
}

/// Guards against groups with members in different fabric domains, which would run slower.
#[test]
fn keeps_groups_inside_domains() {
    let mut world = Cluster::new(3, 5);
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 3_000);
    for group in world.open_groups(LARGE).into_iter().chain(world.open_groups(SMALL)) {
        let members = world.members(&group);
        let domain = &members[0][..2];
        assert!(members.iter().all(|id| id.starts_with(domain)), "{members:?}");
    }
}

/// Guards against a model that stays without a group after the loss of a member although the
/// remaining members and a free instance could form a new one.
#[test]
fn replaces_a_lost_member() {
    let mut world = Cluster::new(1, 5);
    world.demand.insert(("engines".into(), LARGE.into()), 1.0);
    world.demand.insert(("engines".into(), SMALL.into()), 0.0);
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 2_000);
    let group = world.open_groups(LARGE).first().cloned().expect("a group");
    let lost = world.members(&group)[2].clone();
    world.silent.push(lost.clone());
    world.run(&mut planner, 6_000);
    let formed = world.open_groups(LARGE);
    assert_eq!(formed.len(), 1);
    assert_ne!(formed[0], group);
    assert!(!world.members(&formed[0]).contains(&lost));
}

/// Guards against members that join another group before they have left one whose head does not
/// reply but may still accept requests. The orders to leave are lost at first and must be sent
/// again. The failure was observed as an instance that joined a group while its former group was
/// open.
#[test]
fn members_leave_a_silent_head_before_they_join() {
    let mut world = Cluster::new(1, 4);
    let mut planner = Planner::new(5, at(0));
    world.demand.insert(("engines".into(), SMALL.into()), 0.0);
    world.run(&mut planner, 2_000);
    let group = world.open_groups(LARGE).first().cloned().expect("a group");
    let members = world.members(&group);
    world.silent.push(members[0].clone());
    world.orders.clear();
    world.drops_leave_orders = true;
    world.run(&mut planner, 6_000);
    let is_join = |order: &Order| matches!(order, Order::Join { .. });
    assert!(!world.orders.iter().any(|it| is_join(&it.order)), "{:?}", world.orders);
    let leaves = world.orders.iter().filter(|it| matches!(it.order, Order::Leave { .. })).count();
    assert!(leaves > 3, "too few orders to leave: {leaves}");
    world.drops_leave_orders = false;
    world.run(&mut planner, 3_000);
    assert!(world.orders.iter().any(|it| is_join(&it.order)), "the survivors were not used again");
}

/// Guards against two groups with the same name. An entry that lost the planner's role and regained
/// it under the same term restarted its epoch sequence, and members of two groups were mistaken for
/// members of one. The failure was observed as an instance in two groups after an outage of the
/// store.
#[test]
fn uses_no_epoch_twice_within_a_term() {
    let mut world = Cluster::new(1, 10);
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 3_000);
    let first: Vec<_> = planner.groups().iter().map(|group| group.epoch).collect();
    let mut renewed = planner.restarted(at(0));
    for (_, record) in world.records.iter_mut() {
        record.engine.as_mut().expect("an engine").membership = None;
    }
    world.run(&mut renewed, 3_000);
    let second: Vec<_> = renewed.groups().iter().map(|group| group.epoch).collect();
    assert!(!second.is_empty());
    assert!(second.iter().all(|epoch| !first.contains(epoch)), "{first:?} {second:?}");
}

/// Guards against orders to serving groups when another entry takes over the planner's role.
#[test]
fn adopts_groups_without_orders() {
    let mut world = Cluster::new(2, 10);
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 3_000);
    let before = (world.open_groups(LARGE), world.open_groups(SMALL));
    world.orders.clear();
    let mut next = Planner::new(9, at(0));
    world.run(&mut next, 3_000);
    assert_eq!((world.open_groups(LARGE), world.open_groups(SMALL)), before);
    assert!(world.orders.is_empty(), "{:?}", world.orders);
}

/// Guards against new requests for a group with a draining member: the group must be closed.
#[test]
fn closes_a_group_whose_member_leaves() {
    let mut world = Cluster::new(1, 6);
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 3_000);
    let group = world.open_groups(LARGE).first().cloned().expect("a group");
    let leaving = world.members(&group)[1].clone();
    world.records.get_mut(&leaving).expect("a member").phase = Phase::Draining;
    world.orders.clear();
    world.run(&mut planner, 1_000);
    let closes = |order: &Order| matches!(order, Order::Close { .. });
    assert!(world.orders.iter().any(|it| closes(&it.order)), "{:?}", world.orders);
    assert!(!world.open_groups(LARGE).contains(&group));
}

/// Guards against a model that stays without enough groups while another model has more than its
/// demand needs.
#[test]
fn preempts_groups_for_a_model_with_low_coverage() {
    let mut world = Cluster::new(1, 12);
    world.demand.insert(("engines".into(), LARGE.into()), 0.02);
    world.demand.insert(("engines".into(), SMALL.into()), 0.98);
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 3_000);
    let before = world.open_groups(LARGE).len();
    world.demand.insert(("engines".into(), LARGE.into()), 0.9);
    world.demand.insert(("engines".into(), SMALL.into()), 0.1);
    world.run(&mut planner, 10_000);
    assert!(world.open_groups(LARGE).len() > before, "not more than {before} large groups");
}

/// Guards against a head in two groups. After an outage of the store a new planner sees some
/// members before their head, which is listed later and still serves. The failure was observed as
/// an instance that joined a group while its former group was open.
#[test]
fn waits_for_heads_that_are_listed_late() {
    let mut world = Cluster::new(1, 4);
    world.demand.insert(("engines".into(), SMALL.into()), 0.0);
    world.run(&mut Planner::new(5, at(0)), 2_000);
    let group = world.open_groups(LARGE).first().cloned().expect("a group");
    let head = world.members(&group)[0].clone();
    // The entry of the new planner has started after the outage and does not know the head.
    world.roster = Roster::default();
    world.silent.push(head.clone());
    world.publish_records();
    world.orders.clear();
    let mut next = Planner::new(9, at(0));
    world.run(&mut next, 1_500);
    assert!(world.orders.is_empty(), "{:?}", world.orders);
    world.silent.clear();
    world.run(&mut next, 9_000);
    assert!(world.orders.is_empty(), "{:?}", world.orders);
    assert_eq!(world.open_groups(LARGE), [group]);
}

/// Guards against members that join another group while their head, which is not listed because it
/// is partitioned from the store, still serves. All remaining members must first leave the group.
#[test]
fn members_leave_a_head_that_is_not_listed() {
    let mut world = Cluster::new(1, 4);
    world.demand.insert(("engines".into(), SMALL.into()), 0.0);
    world.run(&mut Planner::new(5, at(0)), 2_000);
    let group = world.open_groups(LARGE).first().cloned().expect("a group");
    let head = world.members(&group)[0].clone();
    world.roster.remove(&head, world.now);
    world.silent.push(head);
    world.orders.clear();
    let mut next = Planner::new(9, at(0));
    world.run(&mut next, 6_000);
    let is_leave = |order: &Order| matches!(order, Order::Leave { .. });
    let first = |is_match: &dyn Fn(&Order) -> bool| {
        world.orders.iter().position(|it| is_match(&it.order)).expect("a matching order")
    };
    let last_leave = world.orders.iter().rposition(|it| is_leave(&it.order));
    assert_eq!(world.orders.iter().filter(|it| is_leave(&it.order)).count(), 3);
    let join = first(&|order| matches!(order, Order::Join { .. }));
    assert!(last_leave < Some(join), "{:?}", world.orders);
}

/// Guards against an order to open that is carried out late, after the members have been used in
/// another group: the head must leave its group first. The failure was observed as an instance that
/// joined a group while its former group was open.
#[test]
fn a_head_leaves_after_an_unanswered_order_to_open() {
    let mut world = Cluster::new(1, 4);
    world.demand.insert(("engines".into(), SMALL.into()), 0.0);
    world.drops_open_orders = true;
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 6_000);
    let opens: Vec<_> =
        world.orders.iter().filter(|it| matches!(it.order, Order::Open { .. })).collect();
    let head = opens.first().expect("an order to open").instance.clone();
    assert!(opens.iter().filter(|it| it.instance == head).count() > 1, "not sent again");
    world.run(&mut planner, 4_000);
    let leave = world
        .orders
        .iter()
        .position(|it| it.instance == head && matches!(it.order, Order::Leave { .. }));
    let joins = world.orders.iter().skip(leave.expect("an order for the head to leave"));
    assert!(joins.filter(|it| matches!(it.order, Order::Join { .. })).count() >= 2);
}

/// Guards against a head that opens on an order of the previous planner while its members are used
/// in another group: the head of an incomplete group must leave it before it joins another one. The
/// failure was observed after a change of the planner as an instance that joined a group while its
/// former group was open.
#[test]
fn a_head_of_an_incomplete_group_leaves_it_first() {
    let mut world = Cluster::new(1, 4);
    world.demand.insert(("engines".into(), SMALL.into()), 0.0);
    world.drops_open_orders = true;
    world.run(&mut Planner::new(5, at(0)), 900);
    let head = world.orders.iter().find(|it| matches!(it.order, Order::Open { .. }));
    let head = head.expect("an order to open").instance.clone();
    let other = world.records.iter().map(|(id, _)| id.clone()).find(|id| *id != head);
    let other = other.expect("another member");
    world.roster.remove(&other, world.now);
    world.silent.push(other);
    world.orders.clear();
    world.run(&mut Planner::new(9, at(0)), 3_000);
    assert!(leaves_first(&world, &head), "{:?}", world.orders);
}

/// Guards against a head that is still opening and is taken for closed: opening takes a while, and
/// until then the head reports that it does not serve. It must leave the group before it is used
/// again. The failure was observed as an instance that joined a group while its former group was
/// open.
#[test]
fn a_head_that_is_opening_leaves_before_it_is_used_again() {
    let mut world = Cluster::new(1, 4);
    world.demand.insert(("engines".into(), SMALL.into()), 0.0);
    world.ignores_open_orders = true;
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 900);
    let head = world.orders.iter().find(|it| matches!(it.order, Order::Open { .. }));
    let head = head.expect("an order to open").instance.clone();
    let other = world.records.iter().map(|(id, _)| id.clone()).find(|id| *id != head);
    world.silent.push(other.expect("another member"));
    world.orders.clear();
    world.run(&mut planner, 4_000);
    assert!(leaves_first(&world, &head), "{:?}", world.orders);
}

/// Guards against a new planner that uses instances which the previous planner has just ordered to
/// join a group. The failure was observed as an instance that joined a group while its former group
/// was open.
#[test]
fn a_new_planner_waits_for_the_orders_of_the_previous_one() {
    let mut world = Cluster::new(1, 4);
    let mut planner = Planner::new(5, world.now);
    world.run(&mut planner, 450);
    assert!(world.orders.is_empty(), "{:?}", world.orders);
    world.run(&mut planner, 600);
    assert!(!world.orders.is_empty());
}

/// Guards against members that join another group while a draining head still finishes requests of
/// their group. The head no longer listens, which was taken for the end of its process. The failure
/// was observed as an instance that joined a group while its former group was open.
#[test]
fn members_leave_a_head_that_no_longer_listens() {
    let mut world = Cluster::new(1, 4);
    world.demand.insert(("engines".into(), SMALL.into()), 0.0);
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 2_000);
    let group = world.open_groups(LARGE).first().cloned().expect("a group");
    let head = world.members(&group)[0].clone();
    world.records.get_mut(&head).expect("a head").phase = Phase::Draining;
    world.refusing.push(head);
    world.orders.clear();
    world.run(&mut planner, 4_000);
    let last_leave = world.orders.iter().rposition(|it| matches!(it.order, Order::Leave { .. }));
    let join = world.orders.iter().position(|it| matches!(it.order, Order::Join { .. }));
    assert!(last_leave.is_some() && last_leave < join, "{:?}", world.orders);
}

/// Instance and model of each order to stage weights, in the order in which they were sent.
fn loads(world: &Cluster) -> Vec<(String, String)> {
    let load = |command: &mgw_fleet::plan::Command| match &command.order {
        Order::Stage { model } => Some((command.instance.to_string(), model.to_string())),
        _ => None,
    };
    world.orders.iter().filter_map(load).collect()
}

/// Guards against loads onto hosts in use while idle hosts wait for weights. In a deployment in
/// which crashed hosts are replaced continuously, new hosts waited some 14 s for their load, and
/// only 24 of 54 instances were in groups.
#[test]
fn idle_hosts_are_loaded_before_hosts_in_use() {
    let mut world = Cluster::new(2, 6);
    for (_, record) in world.records.iter_mut() {
        record.engine.as_mut().expect("an engine").staged = vec![SMALL.into()];
    }
    world.run(&mut Planner::new(5, at(0)), 3_000);
    for name in ["d0-x0", "d0-x1"] {
        let mut record = record(0);
        record.engine.as_mut().expect("an engine").staged.clear();
        world.records.insert(name.into(), record);
    }
    world.orders.clear();
    world.run(&mut Planner::new(9, at(0)), 1_500);
    let loads = loads(&world);
    assert!(loads.len() >= 2, "{loads:?}");
    assert!(loads[..2].iter().all(|(id, _)| id.contains("-x")), "{loads:?}");
}

/// Guards against loads that complete no group. Of three hosts in a domain one holds the large
/// model and two hold nothing: the two must load the small model, which they can serve together.
#[test]
fn loads_complete_groups() {
    let mut world = Cluster::new(1, 3);
    for (number, (_, record)) in world.records.iter_mut().enumerate() {
        let staged = &mut record.engine.as_mut().expect("an engine").staged;
        *staged = if number == 0 { vec![LARGE.into()] } else { Vec::new() };
    }
    world.run(&mut Planner::new(5, at(0)), 1_500);
    let loads = loads(&world);
    assert!(loads.len() >= 2, "{loads:?}");
    assert!(loads[..2].iter().all(|(_, model)| model == SMALL), "{loads:?}");
}

/// Guards against a load of a model that an instance still holds in memory from its last group.
#[test]
fn an_instance_joins_again_with_the_model_of_its_last_group() {
    let mut world = Cluster::new(1, 2);
    world.run(&mut Planner::new(5, at(0)), 2_000);
    assert_eq!(world.open_groups(SMALL).len(), 1);
    for (_, record) in world.records.iter_mut() {
        let engine = record.engine.as_mut().expect("an engine");
        (engine.model, engine.membership) = (None, None);
        engine.staged = vec![LARGE.into()];
    }
    world.orders.clear();
    world.run(&mut Planner::new(9, at(0)), 2_000);
    assert_eq!(world.open_groups(SMALL).len(), 1, "{:?}", world.orders);
}

/// Guards against spares that cannot replace a lost member of a large group at once, as they hold the
/// weights of another model.
#[test]
fn spares_hold_the_model_of_the_largest_groups() {
    let mut world = Cluster::new(1, 4);
    world.demand.insert(("engines".into(), LARGE.into()), 1.0);
    world.demand.insert(("engines".into(), SMALL.into()), 0.0);
    for (_, record) in world.records.iter_mut() {
        record.engine.as_mut().expect("an engine").staged = vec![LARGE.into()];
    }
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 2_000);
    assert_eq!(world.open_groups(LARGE).len(), 1);
    let mut spare = record(0);
    spare.engine.as_mut().expect("an engine").staged.clear();
    world.records.insert("d0-x".into(), spare);
    world.run(&mut planner, 1_000);
    let loads = loads(&world);
    assert!(loads.contains(&("d0-x".into(), LARGE.into())), "{loads:?}");
}

/// Guards against a model with small groups that takes the instances of a broken large group, as
/// they become free one after the other. The failure was observed as a large model that fell from 40
/// groups to 11 and never had more again.
#[test]
fn the_members_of_a_large_group_are_kept_together() {
    let mut world = Cluster::new(1, 7);
    world.demand.insert(("engines".into(), LARGE.into()), 0.7);
    world.demand.insert(("engines".into(), SMALL.into()), 0.3);
    let mut planner = Planner::new(5, at(0));
    world.run(&mut planner, 2_000);
    let (large, small) = (world.open_groups(LARGE), world.open_groups(SMALL));
    assert_eq!((large.len(), small.len()), (1, 1));
    let members = world.members(&large[0]);
    world.silent.push(members[2].clone());
    world.roster.remove(&members[2], world.now);
    world.staying.push(members[1].clone());
    world.run(&mut planner, 4_000);
    assert_eq!(world.open_groups(SMALL), small, "the small model got some of them");
    world.staying.clear();
    world.run(&mut planner, 2_000);
    assert_eq!(world.open_groups(LARGE).len(), 1);
}
