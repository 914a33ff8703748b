//! Helpers shared by the tests.
#![allow(dead_code)]

use mgw_base::arena::Key;
use mgw_base::time::Instant;
use mgw_route::select::{Attributes, Destination, Id, Table, Target};

pub fn at(ms: u64) -> Instant {
    Instant::from_millis(ms)
}

/// Returns the keys of `count` available groups of model `m`.
pub fn targets(count: u64) -> Vec<Key<Target>> {
    let mut table = Table::new(Default::default(), "z".into(), "r".into());
    let attributes = Attributes {
        destination: Destination::Model("m".into()),
        adapters: Vec::new(),
        zone: "z".into(),
        region: "r".into(),
        available: true,
        leaving: false,
    };
    (0..count).map(|id| table.upsert(Id::Group(id), attributes.clone())).collect()
}
