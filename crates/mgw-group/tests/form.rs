//! Tests of the planner.

mod common;

use std::time::Instant as Clock;

use common::{Fleet, ME, domain};
use mgw_group::form::{self, Cause};
use mgw_group::view::Listed;
use mgw_report::report::Phase;
use mgw_state::record::{Mark, Reason, Record};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn sheet(lines: &[&str]) -> String {
    lines.iter().map(|line| format!("{}\n", line.trim_end())).collect()
}

/// Guards against groups across domains where one domain has room, groups across zones, and
/// remainders that no group can use.
#[test]
fn groups_fit_domains_and_never_cross_zones() {
    let mut fleet = Fleet::new(&sheet(&[
        &domain("a", 5, "z1", true),
        &domain("b", 4, "z1", true),
        &domain("c", 3, "z2", true),
        &domain("d", 3, "z3", true),
        "m m 1 k 4 1 0",
    ]));
    fleet.run(30);
    let groups = fleet.groups("m");
    assert!(groups[0].1.iter().all(|name| name.starts_with('b')), "{groups:?}");
    assert_eq!((groups.len(), fleet.servable("m")), (2, 2), "{groups:?}");

    let mut split = Fleet::new(&sheet(&[
        &domain("a", 3, "z1", true),
        &domain("c", 2, "z2", true),
        &domain("d", 2, "z2", true),
        "m m 1 k 4 2 0",
    ]));
    split.run(30);
    let groups = split.groups("m");
    assert_eq!(groups.len(), 1);
    assert!(groups[0].1.iter().all(|name| !name.starts_with('a')), "{groups:?}");
}

/// Guards against a replacement that moves the members that are left.
#[test]
fn lost_member_is_replaced_and_others_keep_their_place() {
    for fencing in [true, false] {
        let mut fleet = Fleet::new(&sheet(&[&domain("a", 5, "z1", fencing), "m m 1 k 4 1 0"]));
        fleet.run(30);
        let (group, before) = fleet.groups("m").remove(0);
        let spare = (0..5).map(|it| format!("a{it}")).find(|it| !before.contains(&it.into()));
        fleet.sent.clear();
        fleet.stop(&before[1]);
        assert_eq!(fleet.run(2), []);
        assert!(!fleet.is_servable(group));
        let records = fleet.run(3);
        assert!(matches!(&records[..], [Record::Replace { .. }]), "{records:?}");
        fleet.run(30);
        let (same, after) = fleet.groups("m").remove(0);
        let expected = [before[0].clone(), spare.expect("one").into(), before[2].clone()];
        assert_eq!((same, &after[..3], &after[3]), (group, &expected[..], &before[3]));
        assert!(fleet.is_servable(group));
        // The lost instance returns with its old weights; it is told to unload and stays out.
        fleet.resume(&before[1]);
        fleet.run(20);
        assert!(fleet.is_servable(group));
        assert_eq!(fleet.engine(&before[1]).phase, Phase::Idle);
    }
}

/// Guards against a fleet that starts slowly and forms no group until the last instance is there.
#[test]
fn slow_start_does_not_delay_groups_for_long() {
    let mut fleet = Fleet::new(&sheet(&[&domain("a", 40, "z1", true), "m m 1 k 4 8 0"]));
    let later = fleet.now + std::time::Duration::from_secs(3_600);
    fleet.engines.iter_mut().for_each(|(_, engine)| engine.silent = Some(later));
    for it in 0..30 {
        fleet.resume(&format!("a{it}"));
        fleet.run(1);
    }
    assert!(fleet.groups("m").len() >= 4, "{:?}", fleet.groups("m"));
}

/// Guards against churn: late reports, silence at one observer only, a stale list.
#[test]
fn lagging_reports_move_nothing() {
    let mut fleet = Fleet::new(&sheet(&[&domain("a", 6, "z1", true), "m m 1 k 4 1 0"]));
    fleet.run(30);
    fleet.reporting = false;
    assert_eq!(fleet.run(60), []);
    fleet.reporting = true;
    assert_eq!(fleet.run(10), []);
    let member = fleet.groups("m")[0].1[0].clone();
    fleet.stop(&member);
    fleet.view.alive = vec![ME, 2, 3];
    fleet.view.listed_at = Some(fleet.now - std::time::Duration::from_secs(31));
    for _ in 0..40 {
        fleet.now = fleet.now + std::time::Duration::from_millis(500);
        let observation = fleet.view.instances.get_mut(&member).expect("seen");
        observation.listed = Listed::Absent;
        observation.silences = vec![mgw_group::view::Silence { observer: 2, since: fleet.now }];
        observation.silences[0].since = fleet.now - std::time::Duration::from_secs(20);
        let options = form::Options::default();
        let state = &fleet.log.state;
        let planned = form::plan(state, &fleet.view, fleet.now, ME, &mut fleet.memory, &options);
        assert_eq!(planned.expect("planner").records, []);
    }
}

/// Guards against a group that is loaded again although its member was only paused, against a
/// restarted member that is taken for the old one, and against the group being torn down for it.
#[test]
fn returning_member_takes_its_place_again() {
    let mut fleet = Fleet::new(&sheet(&[&domain("a", 4, "z1", true), "m m 1 k 4 1 0"]));
    fleet.run(30);
    let (group, members) = fleet.groups("m").remove(0);
    fleet.sent.clear();
    fleet.stop(&members[2]);
    assert_eq!(fleet.run(30), []);
    assert!(!fleet.is_servable(group));
    fleet.resume(&members[2]);
    assert_eq!(fleet.run(1), []);
    assert!(fleet.is_servable(group) && fleet.sent.is_empty());
    fleet.stop(&members[2]);
    assert_eq!(fleet.run(30), []);
    fleet.restart(&members[2]);
    fleet.run(30);
    assert_eq!(fleet.groups("m"), [(group, members)]);
    assert!(fleet.is_servable(group));
}

/// Guards against a dark domain that keeps its model from being served elsewhere, and against more
/// loads at once than the weight store allows.
#[test]
fn dark_domain_is_rebuilt_elsewhere_within_the_load_limit() {
    let mut fleet = Fleet::new(&sheet(&[
        &domain("a", 8, "z1", true),
        &domain("b", 8, "z2", true),
        "w 0 3",
        "m m 1 k 4 2 0",
        "m n 1 k 4 0 3",
    ]));
    fleet.run(200);
    assert_eq!(fleet.groups("m").len() + fleet.groups("n").len(), 4);
    assert!(fleet.loading <= 3 && fleet.loading > 0, "{} at once", fleet.loading);
    let dark = fleet.groups("m")[0].1[0][..1].to_string();
    (0..8).for_each(|it| fleet.stop(&format!("{dark}{it}")));
    fleet.run(200);
    assert_eq!(fleet.servable("m"), 2);
    let lit = |(_, members): &(u64, Vec<smol_str::SmolStr>)| !members[0].starts_with(&dark);
    assert_eq!(fleet.groups("m").iter().filter(|group| lit(group)).count(), 2);
    assert!(fleet.loading <= 3);
}

/// Guards against a wanted group that stays broken while an extra or less important group could
/// give a member, and against taking members from a more important one.
#[test]
fn extra_and_lower_groups_give_members() {
    let mut fleet =
        Fleet::new(&sheet(&[&domain("a", 6, "z1", true), "m m 1 k 3 1 0", "m n 1 k 3 1 2"]));
    fleet.run(30);
    assert_eq!((fleet.servable("m"), fleet.servable("n")), (1, 1));
    let lost = fleet.groups("m")[0].1[0].clone();
    fleet.stop(&lost);
    fleet.run(60);
    assert_eq!((fleet.servable("m"), fleet.groups("n").len()), (1, 0));
    // The less important model is not repaired at the expense of the other one.
    assert_eq!(fleet.run(10), []);
}

/// Guards against instances that stay idle although they could form a group, and against a change
/// of the sheet that leaves groups of a removed model.
#[test]
fn leftovers_form_extra_groups_and_unwanted_ones_go() {
    let instances = domain("a", 9, "z1", true);
    let mut fleet = Fleet::new(&sheet(&[&instances, "m m 1 k 4 1 0"]));
    fleet.run(30);
    assert_eq!(fleet.servable("m"), 2);
    fleet.log.publish(&sheet(&[&instances, "m m 1 k 4 1 0", "m n 1 k 4 1 1"]));
    fleet.run(40);
    assert_eq!((fleet.servable("m"), fleet.servable("n")), (1, 1));
    fleet.log.publish(&sheet(&[&instances, "m n 1 k 4 1 1"]));
    fleet.run(40);
    assert_eq!((fleet.servable("m"), fleet.servable("n")), (0, 2));
}

/// Guards against spares that cost more than they save, and against none where downtime counts.
#[test]
fn spares_follow_the_downtime_weight() {
    for (weight, groups) in [(0, 11), (950, 10)] {
        let mut fleet = Fleet::new(&sheet(&[
            &domain("a", 44, "z1", true),
            &format!("w {weight} 64"),
            "m m 1 k 4 10 0",
        ]));
        fleet.run(10);
        assert_eq!(fleet.groups("m").len(), groups, "weight {weight}");
    }
}

/// Guards against a version change that takes down several groups of a model, stops the old group
/// before the new one is ready although there is room, or interrupts requests.
#[test]
fn version_change_is_rolling_and_drains() {
    for (count, least) in [(8, 1), (12, 2)] {
        let instances = domain("a", count, "z1", true);
        let text = |version| sheet(&[&instances, &format!("m m {version} k 4 2 0")]);
        let mut fleet = Fleet::new(&text(1));
        fleet.run(30);
        let busy = fleet.groups("m");
        (busy.iter()).for_each(|(_, members)| fleet.engine(&members[0]).running = 3);
        fleet.log.publish(&text(2));
        for step in 0..400 {
            fleet.step();
            let serving = fleet.servable("m");
            // Requests end within 30 s.
            let first = busy.iter().map(|(_, members)| members[0].clone());
            for name in first.collect::<Vec<_>>() {
                let engine = fleet.engine(&name).clone();
                let old = engine.model.1 == "1";
                assert!(old || engine.running == 0, "interrupted at step {step}");
                if step == 60 {
                    fleet.engine(&name).running = 0;
                }
            }
            assert!(serving >= least, "{count} instances, step {step}: {serving}");
        }
        assert!(fleet.state().groups().all(|(_, group)| group.version == "2"));
        assert!(fleet.servable("m") >= 2);
    }
}

/// Guards against a new planner that takes groups for broken before it has heard of them.
#[test]
fn planner_without_reports_changes_nothing() {
    let instances = domain("a", 8, "z1", true);
    let mut fleet = Fleet::new(&sheet(&[&instances, "m m 1 k 4 2 0"]));
    fleet.run(30);
    fleet.log.publish(&sheet(&[&instances, "m m 2 k 4 2 0", "m n 1 k 4 1 0"]));
    fleet.reporting = false;
    fleet.memory = form::Memory::default();
    fleet.view.instances = Default::default();
    assert_eq!(fleet.run(60), []);
}

/// Guards against a planned move that interrupts requests, and against marked or leaving instances
/// in new groups.
#[test]
fn drained_and_leaving_members_move_after_their_requests() {
    for leaving in [false, true] {
        let mut fleet = Fleet::new(&sheet(&[&domain("a", 5, "z1", true), "m m 1 k 4 1 0"]));
        fleet.run(30);
        let (group, members) = fleet.groups("m").remove(0);
        fleet.engine(&members[0]).running = 1;
        match leaving {
            true => fleet.engine(&members[3]).listed = Listed::Leaving,
            false => fleet.mark(&members[3], Mark::Drain),
        }
        assert_eq!(fleet.run(20), []);
        assert!(!fleet.is_servable(group));
        fleet.engine(&members[0]).running = 0;
        fleet.run(40);
        assert!(fleet.is_servable(group));
        assert!(!fleet.groups("m")[0].1.contains(&members[3]));
        fleet.mark(&members[0], Mark::Cordon);
        assert_eq!(fleet.run(20), []);
        assert!(fleet.is_servable(group));
    }
}

/// Guards against assigning an engine without fencing that a paused executor may still order, and
/// against waiting for it where fencing protects the engine.
#[test]
fn paused_executor_keeps_custody_of_engines_without_fencing() {
    for fencing in [false, true] {
        let mut fleet = Fleet::new(&sheet(&[&domain("a", 5, "z1", fencing), "m m 1 k 4 1 0"]));
        fleet.log.lead(2);
        let members = ["a0", "a1", "a2", "a3"];
        let form = fleet.log.form(&members, 2);
        let group = fleet.log.accept(2, form);
        fleet.log.lead(ME);
        fleet.view.alive = vec![ME];
        fleet.run(8);
        let state = &fleet.log.state;
        let options = form::Options::default();
        let memory = &mut form::Memory::default();
        let planned = form::plan(state, &fleet.view, fleet.now, ME, memory, &options);
        assert_eq!(fleet.state().group(group).is_some(), !fencing);
        assert_eq!(planned.expect("planner").records, []);
        if !fencing {
            // A late order could also undo the member list that a replacement makes.
            fleet.stop("a0");
            assert_eq!(fleet.run(20), []);
            fleet.log.accept(ME, Record::EntryGone { incarnation: 2 });
        }
        fleet.run(60);
        assert_eq!(fleet.servable("m"), 1, "fencing {fencing}");
    }
}

/// Guards against an entry that is taken for gone while gossip or a list shows it, or never is.
#[test]
fn entry_is_gone_only_without_list_and_gossip() {
    let mut fleet = Fleet::new(&sheet(&[&domain("a", 1, "z1", true)]));
    fleet.view.listed_entries = vec!["entry-1".into()];
    assert_eq!(fleet.run(100), []);
    fleet.view.alive = vec![ME];
    assert_eq!(fleet.run(50), []);
    fleet.view.listed_entries = vec!["entry-1".into(), "entry-2".into()];
    assert_eq!(fleet.run(100), []);
    fleet.view.listed_entries = vec!["entry-1".into()];
    assert_eq!(fleet.run(62), [Record::EntryGone { incarnation: 2 }]);
}

/// Guards against a group that is kept broken without a reason, or dissolved without use.
#[test]
fn broken_group_is_dissolved_only_for_a_gain() {
    let mut fleet = Fleet::new(&sheet(&[&domain("a", 4, "z1", true), "m m 1 k 4 1 0"]));
    fleet.run(30);
    let (group, members) = fleet.groups("m").remove(0);
    fleet.stop(&members[0]);
    assert_eq!(fleet.run(20), []);
    let memory = &mut form::Memory::default();
    let options = form::Options { calm: std::time::Duration::ZERO, ..Default::default() };
    let planned = form::plan(fleet.state(), &fleet.view, fleet.now, ME, memory, &options);
    assert_eq!(planned.expect("planner").undone, [Cause::Spare { group }]);
    let smaller = sheet(&[&domain("a", 4, "z1", true), "m m 1 k 4 1 0", "m n 1 k 3 0 3"]);
    fleet.log.publish(&smaller);
    let records = fleet.run(40);
    let reason = Reason::MemberLost;
    assert!(records.contains(&Record::Dissolve { term: 1, group, reason }), "{records:?}");
    assert_eq!(fleet.servable("n"), 1);
}

/// Checks a fleet at rest: complete groups serve, and no instance is idle that could form a group
/// in its domain, but for a spare.
fn check_rest(fleet: &Fleet, seed: u64) {
    let state = fleet.state();
    let sheet = state.sheet().expect("published");
    let fit = |name: &smol_str::SmolStr| {
        let engine = fleet.engines.get(name).expect("known");
        let mark = state.instance(name).map_or(Mark::Clear, |it| it.mark);
        engine.silent.is_none() && engine.listed == Listed::Live && mark == Mark::Clear
    };
    for (id, group) in state.groups() {
        let whole = group.members.iter().all(|seat| !seat.vacant && fit(&seat.instance));
        assert!(!whole || fleet.is_servable(id), "seed {seed}: group {id} does not serve");
    }
    let smallest = sheet.models.iter().map(|model| model.instances as usize).min();
    let spare = usize::from(sheet.setting.downtime_weight >= 500);
    let mut idle: Vec<&str> = sheet
        .instances
        .iter()
        .filter(|it| fit(&it.name) && state.blocking_executor(&it.name, ME).is_none())
        .filter(|it| state.instance(&it.name).is_none_or(|it| it.assignment.is_none()))
        .map(|it| it.domain.as_str())
        .collect();
    idle.sort_unstable();
    for domain in idle.chunk_by(|left, right| left == right) {
        let most = smallest.map_or(usize::MAX, |smallest| smallest + spare);
        assert!(domain.len() < most, "seed {seed}: {domain:?} are idle");
    }
}

/// Guards against proposals that are not valid in order (each appended record must take effect, as
/// `Fleet::step` checks), a fleet that does not come to rest, groups that do not serve and
/// instances that stay idle, over random events.
#[test]
fn proposals_are_valid_in_random_states_and_come_to_rest() {
    for seed in 0..40 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut instances = String::new();
        for it in 0..6 {
            let count = random.random_range(2..10);
            let zone = format!("z{}", it % 3);
            instances += &domain(
                &format!("{}", ['a', 'b', 'c', 'd', 'e', 'f'][it]),
                count,
                &zone,
                it % 2 == 0,
            );
        }
        let models = |random: &mut SmallRng| {
            let mut lines = format!("w {} 4\n", random.random_range(0..1_000));
            for it in 0..random.random_range(1..5) {
                let (version, size) = (random.random_range(1..3), random.random_range(1..6));
                let (replicas, priority) = (random.random_range(0..4), random.random_range(0..4));
                lines += &format!("m m{it} {version} k {size} {replicas} {priority}\n");
            }
            lines
        };
        let mut fleet = Fleet::new(&format!("{instances}{}", models(&mut random)));
        fleet.load = std::time::Duration::from_secs(4);
        let names: Vec<_> = fleet.engines.iter().map(|(name, _)| name.clone()).collect();
        for _ in 0..150 {
            let name = &names[random.random_range(0..names.len())];
            match random.random_range(0..24) {
                0..3 => fleet.stop(name),
                3..5 => fleet.resume(name),
                5..8 => fleet.restart(name),
                8 => fleet.engine(name).listed = Listed::Leaving,
                9 => fleet.engine(name).listed = Listed::Absent,
                10 => fleet.engine(name).listed = Listed::Live,
                11 if fleet.state().instance(name).map(|it| it.mark) != Some(Mark::Drain) => {
                    fleet.mark(name, Mark::Drain);
                }
                12 if fleet.state().instance(name).is_some_and(|it| it.mark != Mark::Clear) => {
                    fleet.mark(name, Mark::Clear);
                }
                13 => drop(fleet.log.publish(&format!("{instances}{}", models(&mut random)))),
                14 => fleet.engine(name).phase = Phase::Failed,
                15 => {
                    fleet.log.lead(2);
                    fleet.log.lead(ME);
                    fleet.memory = form::Memory::default();
                }
                _ => {}
            }
            fleet.step();
        }
        fleet.run(800);
        assert_eq!(fleet.run(20), [], "seed {seed}");
        check_rest(&fleet, seed);
    }
}

/// Guards against a planning pass that takes too long at full size: 600 instances, groups of up to
/// 32. The bound holds for optimised builds.
#[test]
fn full_size_pass_is_fast() {
    let mut lines = vec!["w 300 600".to_string()];
    for it in 0..15 {
        lines.push(domain(&format!("d{it:02}x"), 40, &format!("z{}", it % 5), it % 2 == 0));
    }
    for it in 0..20 {
        let size = [32, 8, 4, 1][it % 4];
        lines.push(format!("m m{it:02} 1 k {size} 2 {}", it % 4));
    }
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    let mut fleet = Fleet::new(&sheet(&lines));
    let options = form::Options::default();
    let state = fleet.log.state.clone();
    fleet.step();
    let later = fleet.now + std::time::Duration::from_secs(3);
    let time = |memory: &form::Memory| {
        let mut best = std::time::Duration::MAX;
        for _ in 0..10 {
            let mut memory = memory.clone();
            let start = Clock::now();
            let planned = form::plan(&state, &fleet.view, later, ME, &mut memory, &options);
            best = best.min(start.elapsed());
            assert!(planned.is_ok_and(|planned| planned.records.len() > 20));
        }
        best
    };
    let busy = time(&fleet.memory);
    fleet.run(60);
    let idle = (0..10).map(|_| {
        let start = Clock::now();
        let planned =
            form::plan(&fleet.log.state, &fleet.view, fleet.now, ME, &mut fleet.memory, &options);
        let span = start.elapsed();
        assert_eq!(planned.expect("planner").records, []);
        span
    });
    let idle = idle.min().expect("ten passes");
    (0..40).for_each(|it| fleet.stop(&format!("d03x{it}")));
    let mut dark = std::time::Duration::ZERO;
    for _ in 0..12 {
        let memory = fleet.memory.clone();
        fleet.step();
        let start = Clock::now();
        let memory = &mut memory.clone();
        let planned = form::plan(&fleet.log.state, &fleet.view, fleet.now, ME, memory, &options);
        dark = dark.max(start.elapsed());
        assert!(planned.is_ok());
    }
    println!("forming everything: {busy:?}; nothing changed: {idle:?}; dark domain: {dark:?}");
    let bound = std::time::Duration::from_millis(5);
    let fast = busy < bound && idle < bound / 10 && dark < 2 * bound;
    assert!(cfg!(debug_assertions) || fast);
}

/// Guards against a group that is broken up for a smaller gain than the load that it costs when its
/// lost member returns soon, and against members that stay idle when it does not.
#[test]
fn broken_group_waits_for_a_short_absence() {
    for back in [true, false] {
        let mut fleet =
            Fleet::new(&sheet(&[&domain("a", 3, "z1", true), "m m 1 k 3 1 0", "m n 1 k 2 0 1"]));
        fleet.run(30);
        let (group, members) = fleet.groups("m")[0].clone();
        fleet.stop(&members[2]);
        fleet.run(8);
        assert_eq!(fleet.groups("m").len(), 1);
        if back {
            fleet.restart(&members[2]);
        }
        fleet.run(30);
        match back {
            true => assert_eq!(fleet.groups("m"), [(group, members)]),
            false => assert_eq!(fleet.servable("n"), 1),
        }
    }
}
