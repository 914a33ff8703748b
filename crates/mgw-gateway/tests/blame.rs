//! Tests of the blames in heartbeats and of crash reports.

use mgw_fleet::{crash_report, entry, peer_load};
use mgw_gateway::blame::{Blame, decode, encode};
use mgw_route::poison::{Evidence, Part};
use mgw_route::quarantine;

/// Guards against a blame of a part that is taken for one of a request, or the reverse, and against
/// one by which an entry of a former build quarantines a request.
#[test]
fn blames_of_parts_and_requests_are_told_apart() {
    let request = quarantine::Blame { fingerprint: u128::MAX, observer: 3, counter: 41 };
    let evidence = Evidence { part: Part(0xdead), request: u64::MAX, server: 9, position: 255 };
    for blame in [
        Blame::Request(request),
        Blame::Part { evidence, is_conclusive: false },
        Blame::Part { evidence, is_conclusive: true },
    ] {
        let sent: entry::Blame = encode(blame);
        assert_eq!(decode(&sent), blame);
        let former = quarantine::Blame {
            fingerprint: sent.fingerprint,
            observer: sent.observer,
            counter: sent.counter,
        };
        assert_eq!(former.ran_as_suspect(), blame == Blame::Request(request));
    }
}

/// Guards against crash reports that exceed a datagram or that are taken for load reports.
#[test]
fn crash_reports_fit_into_datagrams() {
    let max = u64::MAX;
    let crash = crash_report::Crash { part: max, request: max, server: max, position: u8::MAX };
    let answer = crash_report::Answer { part: max, age_ms: u32::MAX };
    let report = crash_report::Report {
        crashes: vec![crash; crash_report::MAX_ITEMS],
        answers: vec![answer; crash_report::MAX_ITEMS],
    };
    let bytes = crash_report::encode(&report).expect("encode");
    assert!(bytes.len() <= peer_load::MAX_DATAGRAM_BYTES, "{}", bytes.len());
    assert_eq!(crash_report::decode(&bytes), Some(report));
    assert_eq!(peer_load::decode(&bytes), None);
}
