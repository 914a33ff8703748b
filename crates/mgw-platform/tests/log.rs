//! The log adapter against the stand-in under faults.

mod common;

use std::time::{Duration, Instant};

use actix_rt::net::TcpSocket;
use common::{WAIT, impatient, options};
use mgw_platform::log::{Append, Client, Read, Service};
use mgw_platform::transport::{Cause, Options};
use mgw_standin::log;
use serde_json::json;

fn start(options: log::Options) -> (mgw_standin::server::Handle, Client) {
    let handle = log::start(options).expect("stand-in");
    let client = Client::new(handle.address.to_string(), self::options());
    (handle, client)
}

fn records(texts: &[&str]) -> Vec<Vec<u8>> {
    texts.iter().map(|text| text.as_bytes().to_vec()).collect()
}

async fn texts(client: &Client, from: u64) -> Vec<(u64, String)> {
    match client.read("control", from, 1 << 20, Duration::ZERO).await {
        Read::Batch { records, .. } => records
            .iter()
            .map(|record| (record.offset, String::from_utf8_lossy(&record.bytes).into_owned()))
            .collect(),
        other => panic!("no batch: {other:?}"),
    }
}

/// Guards against a wrong framing in either direction and against mixed-up streams.
#[actix_rt::test]
async fn appends_are_read_back_in_order() {
    let (_log, client) = start(log::Options::default());
    let first = client.append("control", &records(&["a", "", "ccc"])).await;
    assert_eq!(first, Append::Accepted { first: 0 });
    assert_eq!(client.append("other", &records(&["x"])).await, Append::Accepted { first: 0 });
    assert_eq!(client.append("control", &records(&["d"])).await, Append::Accepted { first: 3 });
    assert_eq!(texts(&client, 1).await, [(1, "".into()), (2, "ccc".into()), (3, "d".into())]);
    match client.read("control", 4, 1 << 20, Duration::ZERO).await {
        Read::Batch { first: 0, next: 4, records } => assert!(records.is_empty()),
        other => panic!("no empty batch: {other:?}"),
    }
}

/// Guards against a batch that ignores `max_bytes`, and against one that makes no progress.
#[actix_rt::test]
async fn a_batch_is_limited_but_never_empty() {
    let (_log, client) = start(log::Options::default());
    client.append("control", &records(&["0123456789", "0123456789"])).await;
    match client.read("control", 0, 1, Duration::ZERO).await {
        Read::Batch { next: 2, records, .. } => assert_eq!(records.len(), 1),
        other => panic!("no batch: {other:?}"),
    }
}

/// Guards against a reader that polls: the read waits and returns as soon as a record is there.
#[actix_rt::test]
async fn a_read_waits_for_an_append() {
    let (_log, client) = start(log::Options::default());
    let (reader, start) = (client.clone(), Instant::now());
    let read =
        actix_rt::spawn(
            async move { reader.read("control", 0, 1 << 20, Duration::from_secs(5)).await },
        );
    actix_rt::time::sleep(Duration::from_millis(40)).await;
    client.append("control", &records(&["a"])).await;
    match read.await.expect("task") {
        Read::Batch { records, .. } => assert_eq!(records.len(), 1),
        other => panic!("no batch: {other:?}"),
    }
    assert!(start.elapsed() < Duration::from_secs(2));
}

/// Guards against a lost reply being taken for a refusal, after which a writer would append twice.
#[actix_rt::test]
async fn a_lost_reply_leaves_the_outcome_unknown() {
    let (log, client) = start(log::Options::default());
    log.set_fault(&json!({ "fault": "lost", "count": 1 })).expect("fault");
    match client.append("control", &records(&["a"])).await {
        Append::Unknown(error) => assert!(matches!(error.cause, Cause::Closed(_)), "{error}"),
        other => panic!("not unknown: {other:?}"),
    }
    assert_eq!(texts(&client, 0).await, [(0, "a".into())]);
}

/// Guards against an empty batch where records were dropped: a reader would skip them.
#[actix_rt::test]
async fn a_read_below_the_retained_range_is_trimmed() {
    let (_log, client) = start(log::Options { max_records: 2, ..log::Options::default() });
    client.append("control", &records(&["a", "b", "c"])).await;
    let read = client.read("control", 0, 1 << 20, Duration::ZERO).await;
    assert_eq!(read, Read::Trimmed { first: 1, next: 3 });
    assert_eq!(texts(&client, 1).await.len(), 2);
}

/// Guards against refusals that are reported as unknown, or that have an effect.
#[actix_rt::test]
async fn refused_appends_have_no_effect() {
    let (log, client) = start(log::Options { appends_per_second: 1.0, ..log::Options::default() });
    assert!(matches!(client.append("control", &records(&["a"])).await, Append::Accepted { .. }));
    match client.append("control", &records(&["b"])).await {
        Append::Refused(error) => {
            assert!(matches!(error.cause, Cause::Status { status: 429, .. }), "{error}");
        }
        other => panic!("not refused: {other:?}"),
    }
    log.set_fault(&json!({ "fault": "down", "count": 2 })).expect("fault");
    assert!(matches!(client.append("control", &records(&["c"])).await, Append::Refused(_)));
    let read = client.read("control", 0, 1 << 20, Duration::ZERO).await;
    assert!(matches!(read, Read::Failed(_)), "{read:?}");
    assert_eq!(texts(&client, 0).await.len(), 1);
}

/// Guards against an append that was never sent being reported as unknown.
#[actix_rt::test]
async fn an_append_without_a_connection_is_refused() {
    // The port stays bound, as another test would get it otherwise, but nothing listens on it.
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("bind");
    let address = socket.local_addr().expect("address").to_string();
    match Client::new(address, options()).append("control", &records(&["a"])).await {
        Append::Refused(error) => assert!(matches!(error.cause, Cause::Connect(_)), "{error}"),
        other => panic!("not refused: {other:?}"),
    }
}

/// Guards against calls that hang, and against a stalled connection that is handed out again.
#[actix_rt::test]
async fn a_silent_connection_is_replaced() {
    let (log, patient) = start(log::Options::default());
    assert_eq!(patient.append("control", &records(&["a"])).await, Append::Accepted { first: 0 });
    let client = Client::new(log.address.to_string(), impatient());
    log.set_fault(&json!({ "fault": "silent", "count": 1 })).expect("fault");
    let start = Instant::now();
    match client.append("control", &records(&["b"])).await {
        Append::Unknown(error) => assert_eq!(error.cause, Cause::Timeout),
        other => panic!("not unknown: {other:?}"),
    }
    assert!(start.elapsed() < 4 * WAIT, "{:?}", start.elapsed());
    // On a busy machine, an impatient client may miss single answers.
    let mut read = client.read("control", 0, 1 << 20, Duration::ZERO).await;
    for _ in 0..4 {
        if matches!(read, Read::Failed(_)) {
            read = client.read("control", 0, 1 << 20, Duration::ZERO).await;
        }
    }
    assert!(matches!(read, Read::Batch { next: 1, .. }), "{read:?}");
}

/// Guards against an answer that fills the memory.
#[actix_rt::test]
async fn an_oversize_answer_is_refused() {
    let (log, _) = start(log::Options::default());
    let options = Options { limit: 1_000, ..options() };
    let client = Client::new(log.address.to_string(), options);
    client.append("control", &[vec![b'x'; 2_000]]).await;
    match client.read("control", 0, 1 << 20, Duration::ZERO).await {
        Read::Failed(error) => assert_eq!(error.cause, Cause::Oversize { limit: 1_000 }),
        other => panic!("not failed: {other:?}"),
    }
}
