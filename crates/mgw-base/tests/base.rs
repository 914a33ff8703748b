//! Tests of the arena, the name table, the sorted map, the timer queue and the hash.

use std::time::Duration;

use mgw_base::arena::Arena;
use mgw_base::hash;
use mgw_base::sorted::Map;
use mgw_base::table::Table;
use mgw_base::time::Instant;
use mgw_base::timer::Queue;

/// Guards against a key of a removed entity that resolves to the entity that reused its slot.
#[test]
fn removed_key_does_not_reach_the_new_entity() {
    let mut arena = Arena::default();
    let old = arena.insert("old");
    assert_eq!(arena.remove(old), Some("old"));
    let new = arena.insert("new");
    assert_eq!(old.index(), new.index());
    assert_eq!(arena.get(old), None);
    assert_eq!(arena.remove(old), None);
    assert_eq!(arena.get(new), Some(&"new"));
    assert_eq!(arena.len(), 1);
}

/// Guards against a name index that disagrees with the arena after an entity was replaced or
/// removed.
#[test]
fn table_keeps_names_and_entities_together() {
    let mut table = Table::default();
    let b = table.insert("b".into(), 1);
    table.insert("a".into(), 2);
    assert_eq!(table.insert("b".into(), 3), b);
    let order: Vec<_> = table.iter().map(|(name, value)| (name.as_str(), *value)).collect();
    assert_eq!(order, [("a", 2), ("b", 3)]);
    assert_eq!(table.remove("b"), Some(3));
    assert_eq!((table.find("b"), table.get(b), table.len()), (None, None, 1));
}

/// Guards against an insertion that breaks the key order, after which binary search misses keys.
#[test]
fn map_stays_sorted() {
    let mut map: Map<u32, u32> = [5, 1, 3, 1].into_iter().map(|key| (key, key * 10)).collect();
    *map.get_or_insert_with(4, || 0) += 1;
    map.retain(|key, _| *key != 3);
    let keys: Vec<_> = map.iter().map(|(key, _)| *key).collect();
    assert_eq!(keys, [1, 4, 5]);
    assert_eq!(map.get(&4), Some(&1));
}

/// Guards against a periodic timer that fires once per missed period after a pause, and against a
/// one-shot timer that is lost.
#[test]
fn periodic_timer_is_due_once_after_a_pause() {
    let mut timer = Queue::default();
    let period = Duration::from_millis(10);
    timer.schedule_periodic(Instant::from_millis(10), period, "tick");
    let cancelled = timer.schedule(Instant::from_millis(25), "once");
    assert_eq!(timer.pop_due(Instant::from_millis(9)), None);
    assert_eq!(timer.pop_due(Instant::from_millis(10)), Some("tick"));
    timer.cancel(cancelled);
    timer.schedule(Instant::from_millis(30), "once");
    assert_eq!(timer.pop_due(Instant::from_millis(500)), Some("tick"));
    assert_eq!(timer.pop_due(Instant::from_millis(500)), Some("once"));
    assert_eq!(timer.pop_due(Instant::from_millis(500)), None);
    assert_eq!(timer.next_due(), Some(Instant::from_millis(510)));
}

/// Guards against a change of the hash function: keys and fingerprints in the log would no longer
/// match those that entries of another version compute.
#[test]
fn hash_is_stable_and_depends_on_part_boundaries() {
    assert_eq!(hash::parts(&[]), 204_254_712_233_039_002_205_064_565_430_793_619_839);
    assert_eq!(
        hash::parts(&[b"ab", b"", b"c"]),
        265_090_242_258_677_909_914_080_241_401_965_812_090
    );
    assert_ne!(hash::parts(&[b"ab", b"c"]), hash::parts(&[b"a", b"bc"]));
}
