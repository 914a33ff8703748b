//! Tests of what responses state about the servers that they come from.

mod common;

use bytes::BytesMut;
use common::{listing, settings};
use mgw_base::time::Instant;
use mgw_fleet::notice::Process;
use mgw_fleet::roster::Phase;
use mgw_gateway::gateway::{Gateway, State};
use mgw_gateway::journal::Journal;
use mgw_gateway::notice;
use mgw_gateway::servers::{self, Origin};
use mgw_http::head;
use platform::header::ResponseMetadata;
use smol_str::SmolStr;

/// Records a 421 of a process that is leaving, sent by the server `a` or another one at its address;
/// it names `instance`.
fn record_misdirected(state: &mut State, instance: Option<&str>) {
    let text = "HTTP/1.1 421 Other\r\n\r\n";
    let response = head::parse_response(&mut BytesMut::from(text), 4_096).expect("valid");
    let response = response.expect("the head is complete");
    let metadata = ResponseMetadata {
        is_leaving: true,
        faulty_instance: instance.map(SmolStr::from),
        ..ResponseMetadata::default()
    };
    let process = Process { id: "a".into(), started_ms: 1 };
    notice::record(state, &process, &response, &metadata);
}

/// Runs `test` on the state of a gateway that knows the ready server `a`.
fn with_state<F>(test: F)
where
    F: FnOnce(&mut State),
{
    let journal = Journal::start("e1".into()).expect("start the journal");
    let gateway = Gateway::new(settings(), 1, journal);
    gateway.with(|state| {
        let list = listing(1, &[("a", Phase::Ready)]);
        let applied = servers::apply(state, list, Origin::Store, Instant::from_millis(1_000));
        applied.expect("the first list");
        test(state);
    });
}

/// Guards against a server that gets no requests because another process at its address is leaving.
/// Such a process responds with 421, as does the server itself to a request for another version.
#[test]
fn misdirected_requests_tell_nothing_of_the_server() {
    with_state(|state| {
        let phase = |state: &State| state.roster.by_id("a").map(|server| server.phase());
        for instance in [None, Some("b")] {
            record_misdirected(state, instance);
            assert_eq!(phase(state), Some(Phase::Ready), "{instance:?}");
        }
        record_misdirected(state, Some("a"));
        assert_eq!(phase(state), Some(Phase::Draining));
    });
}
