//! Tests of applying server lists that arrive out of order.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_fleet::roster::{Outdated, Phase, Record};
use mgw_gateway::gateway::Gateway;
use mgw_gateway::journal::Journal;
use mgw_gateway::servers::{self, Change, Listing, Origin};
use platform::settings::{Bounds, Settings};

fn settings() -> Settings {
    let address = "127.0.0.1:1".parse().expect("an address");
    Settings {
        entry_name: "e1".into(),
        zone: "z".into(),
        region: "r".into(),
        callers_address: address,
        readiness_address: address,
        directory_address: address,
        metrics_address: address,
        feed_address: address,
        cpu_millicores: 250,
        store_address: address,
        is_first_start: false,
        max_file_descriptors: 1_000,
        bounds: Bounds {
            termination_grace_period: Duration::from_secs(8),
            key_revocation_timeout: None,
            retry_ratio: 0.2,
            extra_retries: 50,
            retry_window: Duration::from_secs(10),
            stall_duration: Duration::from_secs(4),
            max_directory_ttl: Duration::from_secs(5),
        },
    }
}

/// A whole list that ends at `end_offset` and has the given servers.
fn listing(end_offset: u64, servers: &[(&str, Phase)]) -> Listing {
    let change = |(id, phase): &(&str, Phase)| {
        let record = Record {
            service: "s".into(),
            address: "10.0.0.1:80".parse().expect("an address"),
            zone: "z".into(),
            phase: *phase,
            slots: 4,
            started_ms: 1,
            engine: None,
        };
        ((*id).into(), Change::Listed(Box::new(record)))
    };
    let changes = servers.iter().map(change).collect();
    Listing { end_offset, read_at: None, is_whole: true, changes }
}

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
