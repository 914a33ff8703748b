//! Tests the client of plain services against the service stand-in and scripted peers.

mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::{Duration, Instant};

use actix_rt::net::TcpSocket;
use common::{LONG_TIMEOUT, SHORT_TIMEOUT, long_timeouts, short_timeouts};
use mgw_platform::service::{Call, Client, Method, Outcome, Service};
use mgw_platform::transport::{Cause, Options};
use mgw_standin::serve::Handle;
use mgw_standin::service;
use serde_json::{Value, json};

fn client() -> Client {
    Client::new(long_timeouts())
}

fn start() -> (Handle, String) {
    let handle = service::start(service::Options::default()).expect("stand-in");
    let peer = handle.address.to_string();
    (handle, peer)
}

fn booking(key: &str) -> Call {
    Call {
        method: Method::POST,
        path: "/bookings".into(),
        headers: vec![("content-type".into(), "application/json".into())],
        body: r#"{"survey":"thermal"}"#.into(),
        idempotency_key: Some(key.into()),
        repeatable: false,
        response_timeout: LONG_TIMEOUT,
    }
}

fn get(path: &str) -> Call {
    Call {
        method: Method::GET,
        path: path.into(),
        body: Default::default(),
        idempotency_key: None,
        repeatable: true,
        ..booking("")
    }
}

async fn counts(peer: &str) -> Value {
    match client().call(peer, &get("/counts")).await {
        Outcome::Answered(answer) => serde_json::from_slice(&answer.body).expect("JSON"),
        other => panic!("expected counts: {other:?}"),
    }
}

/// Starts a peer that accepts one connection, reads one request and sends `answer`.
///
/// If `hold` is zero, the peer then closes the connection; otherwise it waits that long for the
/// client to close it. Returns the peer's address and a channel that receives the request, followed
/// by "closed" if the client closed the connection in time.
fn scripted(answer: &'static str, hold: Duration) -> (String, mpsc::Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address").to_string();
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("accept");
        let mut buffer = [0; 4_096];
        let length = socket.read(&mut buffer).expect("read");
        let _ = sender.send(String::from_utf8_lossy(&buffer[..length]).into_owned());
        let _ = socket.write_all(answer.as_bytes());
        if !hold.is_zero() {
            socket.set_read_timeout(Some(hold)).expect("timeout");
            if matches!(socket.read(&mut buffer), Ok(0)) {
                let _ = sender.send("closed".into());
            }
        }
    });
    (address, receiver)
}

/// Guards against a booking that is altered in transit or executed more than once.
#[actix_rt::test]
async fn a_booking_is_forwarded_and_runs_once() {
    let (_service, peer) = start();
    match client().call(&peer, &booking("k1")).await {
        Outcome::Answered(answer) => {
            let body: Value = serde_json::from_slice(&answer.body).expect("JSON");
            assert_eq!((answer.status, &body["key"], &body["run"]), (200, &json!("k1"), &json!(1)));
            assert_eq!(body["booked"], json!({ "survey": "thermal" }));
        }
        other => panic!("expected Answered: {other:?}"),
    }
    assert_eq!(counts(&peer).await, json!({ "k1": 1 }));
}

/// Guards against a changed method, path, query or body, and against forwarding hop-by-hop headers
/// or a second idempotency key from the caller's headers.
#[actix_rt::test]
async fn a_call_is_forwarded_unchanged() {
    let (peer, requests) = scripted("HTTP/1.1 204 No Content\r\nx-a: b\r\n\r\n", Duration::ZERO);
    let mut call = Call { method: Method::PATCH, path: "/a%20b?c=d&e".into(), ..booking("k") };
    call.headers.push(("connection".into(), "upgrade".into()));
    call.headers.push(("Idempotency-Key".into(), "other".into()));
    match client().call(&peer, &call).await {
        Outcome::Answered(answer) => {
            assert_eq!(answer.status, 204);
            assert!(answer.headers.contains(&("x-a".into(), "b".into())), "{:?}", answer.headers);
        }
        other => panic!("expected Answered: {other:?}"),
    }
    let request = requests.recv().expect("request");
    assert!(request.starts_with("PATCH /a%20b?c=d&e HTTP/1.1\r\n"), "{request}");
    assert!(request.ends_with("\r\n\r\n{\"survey\":\"thermal\"}"), "{request}");
    let lower = request.to_lowercase();
    assert!(lower.contains("idempotency-key: k\r\n"), "{request}");
    assert!(!lower.contains("upgrade") && !lower.contains("other"), "{request}");
}

/// Guards against reporting a call as unknown if nothing was sent, because there is no connection or
/// the path is invalid.
#[actix_rt::test]
async fn a_booking_without_a_connection_is_unsent() {
    // The socket stays bound so that no other test gets the port, but nothing listens on it.
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("bind");
    let peer = socket.local_addr().expect("address").to_string();
    match client().call(&peer, &booking("k1")).await {
        Outcome::Unsent(error) => assert!(matches!(error.cause, Cause::Connect(_)), "{error}"),
        other => panic!("expected Unsent: {other:?}"),
    }
    let invalid = Call { path: "bookings".into(), ..booking("k1") };
    assert!(matches!(client().call(&peer, &invalid).await, Outcome::Unsent(_)));
}

/// Guards against reporting a booking as unsent or not run if it was executed and its reply was
/// lost, late or too large, or the server crashed after executing it.
#[actix_rt::test]
async fn a_booking_whose_reply_is_lost_is_unknown() {
    let (service, peer) = start();
    for (key, fault) in [
        ("k1", json!({ "fault": "lose", "count": 1 })),
        ("k2", json!({ "fault": "slow", "ms": 400, "count": 1 })),
        ("k3", json!({ "fault": "large", "bytes": 100_000, "count": 1 })),
    ] {
        service.fault(&fault).expect("fault");
        let client = Client::new(Options { max_body_bytes: 10_000, ..short_timeouts() });
        let start = Instant::now();
        let outcome =
            client.call(&peer, &Call { response_timeout: SHORT_TIMEOUT, ..booking(key) }).await;
        assert!(matches!(outcome, Outcome::Unknown(_)), "{key}: {outcome:?}");
        assert!(start.elapsed() < 4 * SHORT_TIMEOUT, "{key}: {:?}", start.elapsed());
    }
    assert_eq!(counts(&peer).await, json!({ "k1": 1, "k2": 1, "k3": 1 }));
    service.fault(&json!({ "fault": "crash_after" })).expect("fault");
    let outcome = client().call(&peer, &booking("k4")).await;
    assert!(matches!(outcome, Outcome::Unknown(_)), "{outcome:?}");
}

/// Guards against treating every 503 as proof that the call was not executed: only one with the
/// header `x-not-run` is.
#[actix_rt::test]
async fn a_not_run_response_is_distinguished_from_other_errors() {
    let (service, peer) = start();
    service.fault(&json!({ "fault": "refuse", "count": 1 })).expect("fault");
    let outcome = client().call(&peer, &booking("k1")).await;
    assert!(matches!(outcome, Outcome::NotRun(_)), "{outcome:?}");
    // A 503 without the header does not tell whether the call was executed.
    service.fault(&json!({ "fault": "down", "count": 1 })).expect("fault");
    match client().call(&peer, &booking("k1")).await {
        Outcome::Answered(answer) => assert_eq!(answer.status, 503),
        other => panic!("expected Answered: {other:?}"),
    }
    assert_eq!(counts(&peer).await, json!({}));
}

/// Guards against accepting a partial response as complete, whichever way its length is given.
#[actix_rt::test]
async fn a_truncated_response_is_unknown() {
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n",
        "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nconte",
    ] {
        let (peer, _requests) = scripted(answer, Duration::ZERO);
        let outcome = client().call(&peer, &booking("k1")).await;
        assert!(matches!(outcome, Outcome::Unknown(_)), "{answer}: {outcome:?}");
    }
}

/// Guards against reading an oversized response to its end before rejecting it, and against
/// accepting one because it does not declare its length.
#[actix_rt::test]
async fn an_oversized_response_is_rejected_early() {
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-length: 100000\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n14\r\n01234567890123456789\r\n",
    ] {
        let (peer, _requests) = scripted(answer, 10 * SHORT_TIMEOUT);
        let client = Client::new(Options { max_body_bytes: 10, ..long_timeouts() });
        match client.call(&peer, &booking("k1")).await {
            Outcome::Unknown(error) => assert_eq!(error.cause, Cause::TooLarge { limit: 10 }),
            other => panic!("expected Unknown: {other:?}"),
        }
    }
}

/// Guards against a stalled response that blocks the call until its deadline, and against leaving
/// its connection open.
#[actix_rt::test]
async fn a_stalled_connection_is_closed() {
    for (answer, cause, within) in [
        (
            "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
            Cause::IdleTimeout,
            100 * SHORT_TIMEOUT,
        ),
        ("HTTP/1.1 200 OK\r\n", Cause::Timeout, SHORT_TIMEOUT),
        ("", Cause::Timeout, SHORT_TIMEOUT),
    ] {
        let (peer, received) = scripted(answer, LONG_TIMEOUT);
        let start = Instant::now();
        let call = Call { response_timeout: within, repeatable: true, ..booking("k1") };
        let client = Client::new(short_timeouts());
        match client.call(&peer, &call).await {
            Outcome::Unknown(error) => assert_eq!(error.cause, cause, "{answer}"),
            other => panic!("expected Unknown: {other:?}"),
        }
        assert!(start.elapsed() < 4 * SHORT_TIMEOUT, "{:?}", start.elapsed());
        received.recv().expect("request");
        assert_eq!(received.recv().as_deref(), Ok("closed"), "{answer}");
    }
}

/// Guards against following redirects, which would execute the call a second time.
#[actix_rt::test]
async fn a_redirect_is_returned_to_the_caller() {
    let (_service, other) = start();
    let answer =
        "HTTP/1.1 307 Temporary Redirect\r\nlocation: /bookings\r\ncontent-length: 0\r\n\r\n";
    let (peer, _requests) = scripted(answer, Duration::ZERO);
    match client().call(&peer, &booking("k1")).await {
        Outcome::Answered(answer) => assert_eq!(answer.status, 307),
        outcome => panic!("expected Answered: {outcome:?}"),
    }
    assert_eq!(counts(&other).await, json!({}));
}

/// Guards against a client that cannot reach a server any more after the server was paused.
#[actix_rt::test]
async fn a_paused_server_answers_again() {
    let (service, peer) = start();
    let client = Client::new(Options { connect_timeout: SHORT_TIMEOUT, ..long_timeouts() });
    assert!(matches!(client.call(&peer, &get("/stock?item=7")).await, Outcome::Answered(_)));
    service.fault(&json!({ "fault": "pause", "ms": 400 })).expect("fault");
    match client
        .call(&peer, &Call { response_timeout: SHORT_TIMEOUT, ..get("/stock?item=7") })
        .await
    {
        Outcome::Unknown(error) => assert_eq!(error.cause, Cause::Timeout),
        other => panic!("expected Unknown: {other:?}"),
    }
    actix_rt::time::sleep(Duration::from_millis(400)).await;
    assert!(matches!(client.call(&peer, &get("/stock?item=7")).await, Outcome::Answered(_)));
    assert_eq!(client.status(&peer).await.expect("status").instance, "service-1");
}
