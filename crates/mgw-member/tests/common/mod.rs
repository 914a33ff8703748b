//! Builders of heartbeats, views and reports that the tests share.
#![allow(dead_code)]

use mgw_base::time::Instant;
use mgw_member::view::{Options, View};
use mgw_wire::frame::{Group, Heartbeat, Instance, Phase, State};

/// The time `millis` milliseconds after the start of the test.
pub fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

/// The heartbeat of an entry that has been serving for an hour, and is the only one at its address.
pub fn heartbeat(incarnation: u64, counter: u64) -> Heartbeat {
    Heartbeat {
        incarnation,
        counter,
        entry: format!("entry-{incarnation}"),
        caller_address: format!("10.0.0.{incarnation}:8080"),
        peer_address: format!("10.0.0.{incarnation}:8090"),
        zone: format!("zone-{}", incarnation % 3),
        phase: Phase::Serving,
        applied_offset: 100,
        uptime_ms: 3_600_000,
    }
}

/// The view of entry 1, to which the heartbeats of `others` came at 1 s.
pub fn view(others: std::ops::Range<u64>) -> View {
    let mut view = View::new(heartbeat(1, 1), Options::default(), at(1_000));
    for other in others {
        view.merge(&heartbeat(other, 10), at(1_000));
    }
    view
}

/// A summary of group 50 under fencing token 60, with a full batch and 4 queued requests.
pub fn group(observer: u64, counter: u64, servable: bool, age_ms: u32) -> Group {
    Group {
        group: 50,
        fence: 60,
        observer,
        counter,
        servable,
        queued: 4,
        running: 32,
        slots: 32,
        age_ms,
    }
}

/// A state of instance `server-1`, which is a member of group 50 under fencing token 60.
pub fn instance(observer: u64, counter: u64, state: State, age_ms: u32) -> Instance {
    Instance {
        instance: "server-1".into(),
        boot: "b1".into(),
        observer,
        counter,
        fence: 60,
        group: 50,
        state,
        load: 1,
        age_ms,
    }
}
