//! Tests of outlier ejection.

mod common;

use std::time::Duration;

use common::{at, targets};
use mgw_base::arena::Key;
use mgw_route::eject::{Change, Options, Table};
use mgw_route::select::{Health, Target};

fn setup(count: u64) -> (Table, Vec<Key<Target>>) {
    let keys = targets(count);
    let mut table = Table::new(Options::default());
    for key in &keys {
        table.add(*key, &"m".into());
    }
    (table, keys)
}

/// Adds latency samples in ms to the targets that are not ejected and ticks the table, every 500 ms
/// from `from` to `to`. A latency of 0 stands for no sample. Returns all changes with their time.
fn observe_all(
    table: &mut Table,
    keys: &[Key<Target>],
    latency: &[u64],
    from: u64,
    to: u64,
) -> Vec<(u64, Change)> {
    let mut changes = Vec::new();
    for ms in (from..to).step_by(500) {
        for (key, latency) in keys.iter().zip(latency) {
            if !table.is_ejected(*key) && *latency > 0 {
                table.observe(*key, Duration::from_millis(*latency), at(ms));
            }
        }
        changes.extend(table.tick(at(ms)).into_iter().map(|change| (ms, change)));
    }
    changes
}

fn change(target: Key<Target>, health: Health) -> Change {
    Change { target, health }
}

/// Guards against the ejection of a target after a short slowdown or a single slow sample, and
/// against a lasting straggler that is not ejected.
#[test]
fn only_a_lasting_straggler_is_ejected() {
    let (mut table, keys) = setup(4);
    assert_eq!(observe_all(&mut table, &keys, &[20, 20, 20, 100], 0, 9_000), []);
    assert_eq!(observe_all(&mut table, &keys, &[20, 20, 20, 20], 9_000, 20_000), []);
    // One slow sample followed by silence.
    table.observe(keys[0], Duration::from_secs(10), at(20_000));
    assert_eq!(observe_all(&mut table, &keys, &[0, 20, 20, 20], 20_000, 40_000), []);
    let changes = observe_all(&mut table, &keys, &[20, 20, 20, 100], 40_000, 55_000);
    let [(ms, ejected)] = changes.as_slice() else { panic!("{changes:?}") };
    assert_eq!(*ejected, change(keys[3], Health::Ejected));
    assert!((50_000..53_000).contains(ms), "{ms}");
}

/// Guards against the ejection of so many groups that the remaining ones are overloaded.
#[test]
fn at_most_a_third_is_ejected_slowest_first() {
    let (mut table, keys) = setup(7);
    let changes = observe_all(&mut table, &keys, &[20, 20, 20, 20, 100, 200, 300], 0, 18_000);
    let out: Vec<_> = changes.iter().map(|(_, change)| change.target).collect();
    assert_eq!(out, [keys[6], keys[5]]);
    // After the loss of other groups, more than a third is ejected, and one is readmitted.
    for key in &keys[..3] {
        table.remove(*key);
    }
    let changes = table.tick(at(18_000));
    assert!(changes.iter().any(|change| change.health == Health::Healthy), "{changes:?}");
    assert_eq!(keys.iter().filter(|key| table.is_ejected(**key)).count(), 1);

    let (mut table, keys) = setup(2);
    assert_eq!(observe_all(&mut table, &keys, &[20, 500], 0, 60_000), []);
}

/// Guards against a straggler that is probed too often, and against one that is never readmitted.
#[test]
fn probes_double_until_one_succeeds() {
    let (mut table, keys) = setup(3);
    observe_all(&mut table, &keys, &[20, 20, 100], 0, 11_000);
    assert!(table.is_ejected(keys[2]));
    let mut last = 10_000;
    for wait in [10_000, 20_000, 40_000] {
        let changes = observe_all(&mut table, &keys, &[20, 20, 0], last, last + wait + 1);
        let [(ms, probe)] = changes.as_slice() else { panic!("{changes:?}") };
        assert_eq!(*probe, change(keys[2], Health::Probe));
        assert_eq!(*ms, last + wait);
        let result = table.finish_probe(keys[2], Some(Duration::from_millis(100)), at(*ms));
        assert_eq!(result, Some(change(keys[2], Health::Ejected)));
        last = *ms;
    }
    // A probe that is never answered counts as failed.
    let changes = observe_all(&mut table, &keys, &[20, 20, 0], last, last + 80_000 + 30_500);
    let standings: Vec<_> = changes.iter().map(|(_, change)| change.health).collect();
    assert_eq!(standings, [Health::Probe, Health::Ejected]);
    last += 110_000;
    let changes = observe_all(&mut table, &keys, &[20, 20, 0], last, last + 160_500);
    assert_eq!(changes.len(), 1);
    let result = table.finish_probe(keys[2], Some(Duration::from_millis(25)), at(last + 160_000));
    assert_eq!(result, Some(change(keys[2], Health::Healthy)));
    let late = table.finish_probe(keys[2], None, at(last + 160_000));
    assert_eq!(late, None, "a second result of the same probe changes nothing");
}

/// Guards against a panic or a change for the key of a removed target.
#[test]
fn unknown_targets_are_ignored() {
    let (mut table, keys) = setup(1);
    table.remove(keys[0]);
    table.observe(keys[0], Duration::from_secs(1), at(0));
    assert_eq!(table.tick(at(0)), []);
    assert_eq!(table.finish_probe(keys[0], None, at(0)), None);
}
