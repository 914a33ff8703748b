//! Tests of applying server lists that arrive out of order.

mod common;

use common::{listing, settings};
use mgw_base::time::Instant;
use mgw_fleet::roster::{Outdated, Phase};
use mgw_gateway::gateway::Gateway;
use mgw_gateway::journal::Journal;
use mgw_gateway::servers::{self, Origin};

/// Guards against requests to a server that has left: a reader with an older list, or a response of
/// the store that arrives late, must not undo a drain or list a removed server again.
#[test]
fn older_lists_undo_neither_drains_nor_removals() {
    let journal = Journal::start("e1".into()).expect("start the journal");
    let gateway = Gateway::new(settings(), 1, journal);
    let now = Instant::from_millis(1_000);
    gateway.with(|state| {
        let newest = listing(20, &[("draining", Phase::Draining)]);
        assert_eq!(servers::apply(state, newest, Origin::Store, now), Ok(()));
        let older = [("draining", Phase::Ready), ("removed", Phase::Ready)];
        for origin in [Origin::Push("e2"), Origin::Response("e2"), Origin::Store] {
            let outdated = Outdated { end_offset: 19, known_end: 20 };
            let result = servers::apply(state, listing(19, &older), origin, now);
            assert_eq!(result, Err(outdated), "{origin:?}");
            let phase = |id| state.roster.by_id(id).map(|server| server.record.phase);
            assert_eq!(phase("draining"), Some(Phase::Draining), "{origin:?}");
            assert_eq!(phase("removed"), None, "{origin:?}");
        }
    });
}
