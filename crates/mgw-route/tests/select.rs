//! Tests of target selection.

mod common;

use std::time::Duration;

use common::at;
use mgw_base::arena::Key;
use mgw_route::prefix::Event;
use mgw_route::select::{
    Attributes, Criteria, Destination, Error, Health, Id, Load, Options, Table, Target,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

static CHAT: Destination = Destination::Model(smol_str::SmolStr::new_static("chat"));

fn attributes(zone: &str) -> Attributes {
    Attributes {
        destination: CHAT.clone(),
        adapters: vec!["notes".into()],
        zone: zone.into(),
        region: zone[..1].into(),
        available: true,
        leaving: false,
    }
}

fn load(queued: u32, running: u32, ms: u64) -> Load {
    Load { queued, running, slots: 10, measured_at: at(ms) }
}

fn criteria() -> Criteria<'static> {
    Criteria {
        destination: &CHAT,
        adapter: None,
        prefixes: &[],
        tried: &[],
        suspect: false,
        can_probe: false,
    }
}

/// Returns a table of an entry in zone `a1` of region `a`, with one group per item of `zones`, and
/// the keys of the groups.
fn table(zones: &[&str]) -> (Table, Vec<Key<Target>>) {
    let mut table = Table::new(Options::default(), "a1".into(), "a".into());
    let groups = (1..).zip(zones);
    let keys = groups.map(|(id, zone)| table.upsert(Id::Group(id), attributes(zone))).collect();
    (table, keys)
}

/// Selects a target 300 times and returns how often each one was chosen. With `hold`, each request
/// stays in flight at its target.
fn spread(
    table: &mut Table,
    keys: &[Key<Target>],
    criteria: &Criteria<'_>,
    hold: bool,
) -> Vec<usize> {
    let mut random = SmallRng::seed_from_u64(7);
    let mut counts = vec![0; keys.len()];
    for request in 0..300 {
        let target =
            table.choose(criteria, at(1_000), &mut random).expect("a target is available").target;
        let place = keys.iter().position(|key| *key == target);
        counts[place.expect("the target is known")] += 1;
        if hold {
            table.start_request(target, request, false, &[], at(1_001));
        }
    }
    counts
}

/// Guards against traffic between zones that is not needed, and against its absence when the own
/// zone is overloaded or has no available target.
#[test]
fn the_own_zone_is_used_unless_it_is_overloaded_or_unavailable() {
    let (mut table, keys) = table(&["a1", "a2", "b1"]);
    assert_eq!(spread(&mut table, &keys, &criteria(), false), [300, 0, 0]);
    table.report_load(keys[0], load(10, 10, 1_000));
    table.report_load(keys[1], load(0, 5, 1_000));
    assert_eq!(spread(&mut table, &keys, &criteria(), false), [0, 300, 0]);
    table.upsert(Id::Group(1), Attributes { available: false, ..attributes("a1") });
    table.upsert(Id::Group(2), Attributes { available: false, ..attributes("a2") });
    assert_eq!(spread(&mut table, &keys, &criteria(), false), [0, 0, 300]);
}

/// Guards against new requests for a target that is leaving or not available, even if it is the
/// only one.
#[test]
fn leaving_and_unavailable_targets_get_no_new_requests() {
    let (mut table, keys) = table(&["a1", "a1"]);
    let mut random = SmallRng::seed_from_u64(1);
    table.upsert(Id::Group(1), Attributes { leaving: true, ..attributes("a1") });
    assert_eq!(spread(&mut table, &keys, &criteria(), false), [0, 300]);
    table.upsert(Id::Group(2), Attributes { available: false, ..attributes("a1") });
    assert_eq!(table.choose(&criteria(), at(0), &mut random), Err(Error::NoneAvailable));
    table.set_health(keys[0], Health::Probe);
    let probe = Criteria { can_probe: true, ..criteria() };
    assert_eq!(table.choose(&probe, at(0), &mut random), Err(Error::NoneAvailable));
    let adapter = Criteria { adapter: Some("other"), ..criteria() };
    assert_eq!(table.choose(&adapter, at(0), &mut random), Err(Error::NotServed));
}

/// Guards against herding onto the target with the lowest reported load: the requests that the
/// entry sent since the report must be included in the estimate.
#[test]
fn requests_since_the_report_are_counted() {
    let (mut table, keys) = table(&["a1"; 4]);
    table.report_load(keys[0], load(0, 0, 1_000));
    for key in &keys[1..] {
        table.report_load(*key, load(0, 5, 1_000));
    }
    let counts = spread(&mut table, &keys, &criteria(), true);
    assert!(counts.iter().all(|count| (50..110).contains(count)), "{counts:?}");
}

/// Guards against an old load report, of an idle target or of a full one, that keeps its full
/// weight.
#[test]
fn stale_load_is_trusted_less() {
    let (mut table, keys) = table(&["a1"; 2]);
    table.report_load(keys[0], load(30, 10, 10_000));
    let fresh = table.estimated_wait(keys[0], at(10_000)).unwrap();
    let aging = table.estimated_wait(keys[0], at(11_000)).unwrap();
    assert!(aging < fresh);
    // An older report that arrives later is ignored.
    table.report_load(keys[0], load(0, 0, 9_000));
    assert_eq!(table.estimated_wait(keys[0], at(10_000)), Some(fresh));
    // An idle report from 3 s ago has no weight left; the mean of the other targets is assumed.
    let (mut table, keys) = self::table(&["a1"; 2]);
    table.report_load(keys[0], load(0, 0, 7_000));
    table.report_load(keys[1], load(20, 10, 10_000));
    let mut random = SmallRng::seed_from_u64(3);
    for _ in 0..20 {
        let wait = table.choose(&criteria(), at(10_000), &mut random).unwrap().wait;
        assert!(wait > Duration::from_secs(1), "{wait:?}");
    }
}

/// Guards against a cached prefix that attracts all requests to one overloaded target.
#[test]
fn affinity_holds_until_the_wait_outweighs_it() {
    let (mut table, keys) = table(&["a1"; 6]);
    for key in &keys {
        table.report_load(*key, load(0, 2, 1_000));
    }
    let prefixes = [11, 12, 13];
    table.start_request(keys[4], 1, false, &prefixes, at(900));
    let criteria = Criteria { prefixes: &prefixes, ..criteria() };
    let mut random = SmallRng::seed_from_u64(5);
    let choice = table.choose(&criteria, at(1_000), &mut random).unwrap();
    assert_eq!((choice.target, choice.cached_blocks), (keys[4], 3));
    assert_eq!(spread(&mut table, &keys, &criteria, false)[4], 300);
    table.report_load(keys[4], load(3, 10, 1_000));
    assert_eq!(spread(&mut table, &keys, &criteria, false)[4], 0);
}

/// Guards against late or missing cache events that remove newer entries or leave stale ones.
#[test]
fn late_cache_events_do_not_undo_newer_knowledge() {
    let (mut table, keys) = table(&["a1"; 6]);
    let prefixes = [11, 12];
    let criteria = Criteria { prefixes: &prefixes, ..criteria() };
    let blocks = |table: &Table| {
        table.choose(&criteria, at(1_000), &mut SmallRng::seed_from_u64(5)).unwrap().cached_blocks
    };
    for key in &keys {
        table.report_load(*key, load(0, 2, 950));
    }
    table.start_request(keys[0], 1, false, &prefixes, at(900));
    table.apply_cache_event(keys[0], Event::Removed(11), at(800));
    assert_eq!(blocks(&table), 2);
    table.apply_cache_event(keys[0], Event::Removed(12), at(950));
    assert_eq!(blocks(&table), 1);
    table.apply_cache_event(keys[1], Event::Stored(12), at(990));
    assert_eq!(blocks(&table), 1, "a longer prefix without the shorter one cannot be reused");
    table.forget_cache(keys[0], at(960));
    assert_eq!(blocks(&table), 0);
}

/// Guards against two suspects in flight at one group, and against a retry at a target that was
/// already tried.
#[test]
fn suspects_are_kept_apart_and_tried_targets_are_skipped() {
    let (mut table, keys) = table(&["a1"; 2]);
    let mut random = SmallRng::seed_from_u64(1);
    let suspect = Criteria { suspect: true, ..criteria() };
    for request in 0..2 {
        let target = table.choose(&suspect, at(0), &mut random).unwrap().target;
        assert!(!table.runs_suspect(target));
        table.start_request(target, request, true, &[], at(0));
    }
    assert_eq!(table.choose(&suspect, at(0), &mut random), Err(Error::AllRunSuspects));
    assert!(table.choose(&criteria(), at(0), &mut random).is_ok());
    for key in &keys {
        table.finish_request(*key, 0, false, at(1));
    }
    assert!(table.choose(&suspect, at(1), &mut random).is_ok());
    let tried = Criteria { tried: &keys[..1], ..criteria() };
    assert_eq!(table.choose(&tried, at(1), &mut random).unwrap().target, keys[1]);
    let tried = Criteria { tried: &keys, ..criteria() };
    assert_eq!(table.choose(&tried, at(1), &mut random), Err(Error::AllTried));
}

/// Guards against more than one probe request for an ejected group, and against refused requests
/// when only ejected groups are left.
#[test]
fn an_ejected_group_gets_one_probe_or_serves_as_the_last_resort() {
    let (mut table, keys) = table(&["a1"; 3]);
    let mut random = SmallRng::seed_from_u64(1);
    table.set_health(keys[0], Health::Ejected);
    assert_eq!(spread(&mut table, &keys, &criteria(), false)[0], 0);
    table.set_health(keys[0], Health::Probe);
    assert_eq!(spread(&mut table, &keys, &criteria(), false)[0], 0);
    let probe = Criteria { can_probe: true, ..criteria() };
    let choice = table.choose(&probe, at(0), &mut random).unwrap();
    assert_eq!((choice.target, choice.is_probe), (keys[0], true));
    table.start_request(keys[0], 1, false, &[], at(0));
    assert_ne!(table.choose(&probe, at(0), &mut random).unwrap().target, keys[0]);
    let tried = Criteria { tried: &keys[1..], ..criteria() };
    assert_eq!(table.choose(&tried, at(0), &mut random).unwrap().target, keys[0]);
}

/// Guards against the selection of a removed target. Also covers servers of plain services.
#[test]
fn servers_of_a_service_are_chosen_and_removed() {
    let mut table = Table::new(Options::default(), "a1".into(), "a".into());
    let destination = Destination::Service("booking".into());
    let server = |zone| Attributes { destination: destination.clone(), ..attributes(zone) };
    let near_server = table.upsert(Id::Server("s1".into()), server("a1"));
    let far_server = table.upsert(Id::Server("s2".into()), server("a2"));
    let mut random = SmallRng::seed_from_u64(1);
    let criteria = Criteria { destination: &destination, ..criteria() };
    assert_eq!(table.choose(&criteria, at(0), &mut random).unwrap().target, near_server);
    table.remove(near_server);
    assert_eq!(table.choose(&criteria, at(0), &mut random).unwrap().target, far_server);
    table.remove(far_server);
    assert_eq!(table.choose(&criteria, at(0), &mut random), Err(Error::NotServed));
}
