//! Tests the log client against the log stand-in, including injected faults.

mod common;

use std::time::{Duration, Instant};

use actix_rt::net::TcpSocket;
use common::{SHORT_TIMEOUT, long_timeouts, short_timeouts};
use mgw_platform::log::{Append, Client, Read, Service};
use mgw_platform::transport::{Cause, Options};
use mgw_standin::log;
use serde_json::json;

fn start(options: log::Options) -> (mgw_standin::serve::Handle, Client) {
    let handle = log::start(options).expect("stand-in");
    let client = Client::new(handle.address.to_string(), long_timeouts());
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
        other => panic!("expected a batch: {other:?}"),
    }
}

/// Guards against wrong record framing in appends or reads, and against records that end up in
/// another stream.
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
        other => panic!("expected an empty batch: {other:?}"),
    }
}

/// Guards against a batch that ignores `max_bytes`, and against an empty batch if the next record
/// alone exceeds `max_bytes`, which would keep the reader at the same offset forever.
#[actix_rt::test]
async fn a_batch_is_limited_but_never_empty() {
    let (_log, client) = start(log::Options::default());
    client.append("control", &records(&["0123456789", "0123456789"])).await;
    match client.read("control", 0, 1, Duration::ZERO).await {
        Read::Batch { next: 2, records, .. } => assert_eq!(records.len(), 1),
        other => panic!("expected a batch: {other:?}"),
    }
}

/// Guards against reads that return empty at once, or only after the whole wait: a read has to block
/// until a record is appended and then return it.
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
        other => panic!("expected a batch: {other:?}"),
    }
    assert!(start.elapsed() < Duration::from_secs(2));
}

/// Guards against reporting an append as refused if only its reply was lost: the writer would append
/// the records a second time.
#[actix_rt::test]
async fn a_lost_reply_leaves_the_outcome_unknown() {
    let (log, client) = start(log::Options::default());
    log.fault(&json!({ "fault": "lost", "count": 1 })).expect("fault");
    match client.append("control", &records(&["a"])).await {
        Append::Unknown(error) => assert!(matches!(error.cause, Cause::Closed(_)), "{error}"),
        other => panic!("expected Unknown: {other:?}"),
    }
    assert_eq!(texts(&client, 0).await, [(0, "a".into())]);
}

/// Guards against an empty batch for offsets that the log no longer retains: the reader would miss
/// those records without noticing.
#[actix_rt::test]
async fn a_read_below_the_retained_range_is_trimmed() {
    let (_log, client) = start(log::Options { records: 2, ..log::Options::default() });
    client.append("control", &records(&["a", "b", "c"])).await;
    let read = client.read("control", 0, 1 << 20, Duration::ZERO).await;
    assert_eq!(read, Read::Trimmed { first: 1, next: 3 });
    assert_eq!(texts(&client, 1).await.len(), 2);
}

/// Guards against refused appends that are reported as unknown, and against refused appends whose
/// records are in the log.
#[actix_rt::test]
async fn refused_appends_have_no_effect() {
    let (log, client) = start(log::Options { rate: 1.0, ..log::Options::default() });
    assert!(matches!(client.append("control", &records(&["a"])).await, Append::Accepted { .. }));
    match client.append("control", &records(&["b"])).await {
        Append::Refused(error) => {
            assert!(matches!(error.cause, Cause::Status { status: 429, .. }), "{error}");
        }
        other => panic!("expected Refused: {other:?}"),
    }
    log.fault(&json!({ "fault": "down", "count": 2 })).expect("fault");
    assert!(matches!(client.append("control", &records(&["c"])).await, Append::Refused(_)));
    let read = client.read("control", 0, 1 << 20, Duration::ZERO).await;
    assert!(matches!(read, Read::Failed(_)), "{read:?}");
    assert_eq!(texts(&client, 0).await.len(), 1);
}

/// Guards against reporting an append as unknown if there was no connection to send it over.
#[actix_rt::test]
async fn an_append_without_a_connection_is_refused() {
    // The socket stays bound so that no other test gets the port, but nothing listens on it.
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("bind");
    let address = socket.local_addr().expect("address").to_string();
    match Client::new(address, long_timeouts()).append("control", &records(&["a"])).await {
        Append::Refused(error) => assert!(matches!(error.cause, Cause::Connect(_)), "{error}"),
        other => panic!("expected Refused: {other:?}"),
    }
}

/// Guards against calls that hang on a silent peer, and against reusing their connection.
#[actix_rt::test]
async fn a_silent_connection_is_replaced() {
    let (log, patient_client) = start(log::Options::default());
    assert_eq!(
        patient_client.append("control", &records(&["a"])).await,
        Append::Accepted { first: 0 }
    );
    let client = Client::new(log.address.to_string(), short_timeouts());
    log.fault(&json!({ "fault": "silent", "count": 1 })).expect("fault");
    let start = Instant::now();
    match client.append("control", &records(&["b"])).await {
        Append::Unknown(error) => assert_eq!(error.cause, Cause::Timeout),
        other => panic!("expected Unknown: {other:?}"),
    }
    assert!(start.elapsed() < 4 * SHORT_TIMEOUT, "{:?}", start.elapsed());
    // On a busy machine, single reads may exceed the short timeout.
    let mut read = client.read("control", 0, 1 << 20, Duration::ZERO).await;
    for _ in 0..4 {
        if matches!(read, Read::Failed(_)) {
            read = client.read("control", 0, 1 << 20, Duration::ZERO).await;
        }
    }
    assert!(matches!(read, Read::Batch { next: 1, .. }), "{read:?}");
}

/// Guards against buffering a response of any size in memory.
#[actix_rt::test]
async fn an_oversized_response_is_rejected() {
    let (log, _) = start(log::Options::default());
    let options = Options { max_body_bytes: 1_000, ..long_timeouts() };
    let client = Client::new(log.address.to_string(), options);
    client.append("control", &[vec![b'x'; 2_000]]).await;
    match client.read("control", 0, 1 << 20, Duration::ZERO).await {
        Read::Failed(error) => assert_eq!(error.cause, Cause::TooLarge { limit: 1_000 }),
        other => panic!("expected Failed: {other:?}"),
    }
}
