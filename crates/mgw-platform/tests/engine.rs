//! Tests the engine client against the engine stand-in and scripted peers.

mod common;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use common::{LONG_TIMEOUT, SHORT_TIMEOUT, long_timeouts, short_timeouts};
use futures_util::StreamExt;
use mgw_platform::engine::{CacheEventKind, Chat, Client, Event, Reply, Service};
use mgw_platform::report::{Action, Order, Phase};
use mgw_platform::transport::{Cause, Error, Options};
use mgw_standin::engine;
use mgw_standin::serve::{Bind, Handle};
use serde_json::{Value, json};

fn client() -> Client {
    Client::new(long_timeouts())
}

/// Options of an engine that loads and generates quickly and loses no cache events.
fn fast_options(boot: &str) -> engine::Options {
    engine::Options {
        boot: boot.into(),
        load: Duration::from_millis(5),
        prefill: Duration::from_millis(1),
        token: Duration::from_millis(1),
        check: Duration::from_millis(20),
        cache_lag: Duration::ZERO,
        cache_loss: 0,
        report_lag: Duration::ZERO,
        ..engine::Options::default()
    }
}

fn start(options: engine::Options) -> (Handle, String) {
    let handle = engine::start(options).expect("stand-in");
    let peer = handle.address.to_string();
    (handle, peer)
}

/// An order to load a model as member `rank` of group 7.
fn order(fence: u64, boot: &str, members: &[&str], rank: u32) -> Order {
    Order {
        fence,
        group: 7,
        order: Action::Load,
        model: "m".into(),
        version: "1".into(),
        adapters: Vec::new(),
        members: members.iter().map(|member| (*member).into()).collect(),
        rank,
        boot: boot.into(),
    }
}

/// Waits until the engine reports `state`.
async fn wait_for_state(peer: &str, state: Phase) {
    for _ in 0..400 {
        if client().status(peer).await.is_ok_and(|status| status.state == state) {
            return;
        }
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("engine {peer} did not reach the state {state:?}");
}

/// Starts an engine and waits until it is ready as the only member of group 7.
async fn start_ready(options: engine::Options) -> (Handle, String) {
    let (handle, peer) = start(options);
    let boot = client().status(&peer).await.expect("status").boot;
    assert_eq!(client().order(&peer, &order(1, &boot, &[&peer], 0)).await, Reply::Accepted);
    wait_for_state(&peer, Phase::Ready).await;
    (handle, peer)
}

fn chat(id: &str, text: &str) -> Chat {
    let body = json!({ "model": "m", "messages": [{ "role": "user", "content": text }] });
    let body = body.as_object().cloned().expect("object");
    Chat {
        id: id.into(),
        group: 7,
        priority: 0,
        body,
        resume_from: 0,
        first_event_timeout: LONG_TIMEOUT,
    }
}

fn chat_with_max_tokens(id: &str, text: &str, max_tokens: u64) -> Chat {
    let mut chat = chat(id, text);
    chat.body.insert("max_tokens".into(), json!(max_tokens));
    chat
}

/// Runs a completion to its end and returns its events.
async fn events(peer: &str, chat: &Chat) -> Vec<Result<Event, Error>> {
    let answer = client().complete(peer, chat).await.expect("answer");
    answer.events.collect().await
}

/// Returns the texts of the token events.
fn texts(events: &[Result<Event, Error>]) -> Vec<String> {
    let token = |event: &Result<Event, Error>| match event {
        Ok(Event::Token { text, .. }) => Some(text.clone()),
        _ => None,
    };
    events.iter().filter_map(token).collect()
}

/// Returns the cause of the last event if that is an error.
fn last_cause(events: &[Result<Event, Error>]) -> Option<&Cause> {
    events.last()?.as_ref().err().map(|error| &error.cause)
}

/// Guards against an engine that executes orders of a superseded planner, and against a rejection
/// that the client reports as accepted or unknown.
#[actix_rt::test]
async fn a_stale_order_is_rejected_with_the_newer_fence() {
    let (_engine, peer) = start(fast_options("b1"));
    let client = client();
    assert_eq!(client.order(&peer, &order(9, "b1", &[&peer], 0)).await, Reply::Accepted);
    assert_eq!(client.order(&peer, &order(8, "b1", &[], 1)).await, Reply::Stale { fence: 9 });
    // Repeating an order with the current token is accepted and has no effect.
    assert_eq!(client.order(&peer, &order(9, "b1", &[&peer], 0)).await, Reply::Accepted);
    wait_for_state(&peer, Phase::Ready).await;
    let status = client.status(&peer).await.expect("status");
    assert_eq!((status.fence, status.group, status.rank), (9, 7, 0));
}

/// Guards against a stand-in without fencing that still rejects stale orders or reports a fencing
/// token. Such engines are protected by custody instead of fencing.
#[actix_rt::test]
async fn an_engine_without_fencing_executes_stale_orders() {
    let (_engine, peer) = start(engine::Options { fencing: false, ..fast_options("b1") });
    let client = client();
    assert_eq!(client.order(&peer, &order(9, "b1", &[&peer], 0)).await, Reply::Accepted);
    let unload = Order { order: Action::Unload, ..order(8, "b1", &[], 0) };
    assert_eq!(client.order(&peer, &unload).await, Reply::Accepted);
    let status = client.status(&peer).await.expect("status");
    assert_eq!((status.fence, status.group, status.state), (0, 0, Phase::Idle));
}

/// Guards against sending an order to an engine that was restarted since the order was created.
#[actix_rt::test]
async fn an_order_for_another_boot_is_not_sent() {
    let (_engine, peer) = start(fast_options("b2"));
    match client().order(&peer, &order(1, "b1", &[&peer], 0)).await {
        Reply::Unsent(error) => {
            assert!(matches!(error.cause, Cause::BootMismatch { .. }), "{error}");
            assert_eq!(error.peer, peer);
        }
        other => panic!("expected Unsent: {other:?}"),
    }
    assert_eq!(client().status(&peer).await.expect("status").state, Phase::Idle);
}

/// Status report of an engine with the boot `b1`.
const STATUS_BODY: &str = r#"{"instance":"e","boot":"b1","fence":0,"group":0,"rank":0,"model":"",
    "version":"","adapters":[],"state":"idle","running":0,"queued":0,"slots":1,"as_of_ms":0}"#;

/// A complete status response with the additional header lines `header`.
fn status_answer(header: &str) -> String {
    let length = STATUS_BODY.len();
    format!("HTTP/1.1 200 OK\r\n{header}content-length: {length}\r\n\r\n{STATUS_BODY}")
}

/// Starts a peer that answers the first request of each connection with a status report and closes
/// the connection. Returns its address and a counter of accepted connections.
fn status_then_close(header: &'static str) -> (String, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let peer = listener.local_addr().expect("address").to_string();
    let accepted = Arc::new(AtomicU32::new(0));
    let count = accepted.clone();
    std::thread::spawn(move || {
        for socket in listener.incoming() {
            let mut socket = socket.expect("socket");
            count.fetch_add(1, Ordering::SeqCst);
            let _ = socket.read(&mut [0; 4_096]);
            let _ = socket.write_all(status_answer(header).as_bytes());
        }
    });
    (peer, accepted)
}

/// Starts a peer that accepts one connection and answers the n-th request on it with the n-th item
/// of `answers`, written in the given pieces. Returns its address.
fn scripted(answers: Vec<Vec<String>>) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let peer = listener.local_addr().expect("address").to_string();
    std::thread::spawn(move || {
        let (mut socket, _) = listener.accept().expect("accept");
        socket.set_nodelay(true).expect("nodelay");
        for answer in answers {
            let _ = socket.read(&mut [0; 4_096]);
            for piece in answer {
                let _ = socket.write_all(piece.as_bytes());
                std::thread::sleep(Duration::from_millis(2));
            }
        }
    });
    peer
}

/// Response head of a stream with chunked transfer coding.
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";

/// Encodes `text` as one chunk of the chunked transfer coding.
fn http_chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

/// Guards against events that are lost or corrupted at chunk boundaries of the body, and against
/// opening a new connection for each call.
#[actix_rt::test]
async fn events_may_be_split_anywhere_and_the_connection_is_kept() {
    let stream = [
        http_chunk(
            ": comment\r\n\r\ndata: {\"id\":\"r1\",\"choices\":[{\"delta\":{\"content\":\"a",
        ),
        http_chunk("b\"}}]}\r"),
        http_chunk(
            "\n\r\nevent: x\ndata:{\"id\":\"r1\",\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\n",
        ),
        http_chunk(
            "\ndata: {\"id\":\"r1\",\"choices\":[{\"finish_reason\":\"stop\"}]}\n\ndata: [DO",
        ),
        http_chunk("NE]\n\n") + "0\r\n\r\n",
    ];
    let mut answer = vec![CHUNKED_HEAD.to_owned()];
    answer.extend(stream);
    let status = vec![status_answer("")];
    let peer = scripted(vec![status.clone(), answer, status]);
    let client = client();
    client.status(&peer).await.expect("status");
    let answer = client.complete(&peer, &chat("r1", "leak")).await.expect("answer");
    let events: Vec<_> = answer.events.collect().await;
    let request = smol_str::SmolStr::from("r1");
    let expected = [
        Event::Token { request_id: request.clone(), position: None, text: "ab".into() },
        Event::Finish { request_id: request, reason: "stop".into(), usage: None },
        Event::Done,
    ];
    assert_eq!(events, expected.map(Ok));
    client.status(&peer).await.expect("status");
}

/// Guards against accepting a stream without its final marker because its HTTP body ends regularly,
/// and against ignoring error events or malformed events.
#[actix_rt::test]
async fn a_stream_without_its_final_marker_is_an_error() {
    let token =
        http_chunk("data: {\"id\":\"r1\",\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n");
    let end = "0\r\n\r\n".to_owned();
    let reported = http_chunk("data: {\"error\":{\"message\":\"out of memory\"}}\n\n");
    let malformed = http_chunk("data: {\n\n");
    for (tail, expected) in
        [(end, "truncated"), (reported, "out of memory"), (malformed, "malformed response")]
    {
        let peer = scripted(vec![vec![CHUNKED_HEAD.to_owned(), token.clone(), tail]]);
        let events = events(&peer, &chat("r1", "leak")).await;
        assert_eq!(events.len(), 2, "{events:?}");
        let cause = last_cause(&events).expect("cause").to_string();
        assert!(cause.contains(expected), "{cause}");
    }
}

/// Guards against sending an order over a second connection if the first one ends after the boot was
/// checked: a restarted engine may accept that connection.
#[actix_rt::test]
async fn an_order_is_not_sent_over_a_second_connection() {
    for (header, announced) in [("connection: close\r\n", true), ("", false)] {
        let (peer, accepted) = status_then_close(header);
        for count in 1..=5 {
            let reply = client().order(&peer, &order(1, "b1", &[&peer], 0)).await;
            match reply {
                Reply::Unsent(_) => {}
                // Without `connection: close`, the client may notice the end of the connection only
                // while it writes the order.
                Reply::Unknown(_) if !announced => {}
                other => panic!("{header:?}: {other:?}"),
            }
            // Leaves time for a second connection to be accepted and counted.
            actix_rt::time::sleep(Duration::from_millis(20)).await;
            assert_eq!(accepted.load(Ordering::SeqCst), count);
        }
    }
}

/// Guards against reporting an order as failed if it took effect and only its reply was lost.
#[actix_rt::test]
async fn an_order_whose_reply_is_lost_is_unknown() {
    let (engine, peer) = start(fast_options("b1"));
    engine.fault(&json!({ "fault": "order_lost", "count": 1 })).expect("fault");
    let reply = client().order(&peer, &order(3, "b1", &[&peer], 0)).await;
    assert!(matches!(reply, Reply::Unknown(_)), "{reply:?}");
    assert_eq!(client().status(&peer).await.expect("status").fence, 3);
}

/// Polls the status until the engine answers, at most five times: on a busy machine, single polls may
/// exceed the short timeout.
async fn poll_until_answered(client: &Client, peer: &str) {
    for _ in 0..5 {
        if client.status(peer).await.is_ok() {
            return;
        }
    }
    panic!("engine {peer} answered none of 5 status polls");
}

/// Guards against a status poll that hangs on a silent engine, and against later polls that fail
/// because they reuse its connection.
#[actix_rt::test]
async fn a_silent_engine_times_out_and_can_be_polled_again() {
    let (engine, peer) = start(fast_options("b1"));
    let client = Client::new(short_timeouts());
    poll_until_answered(&client, &peer).await;
    engine.fault(&json!({ "fault": "silent", "count": 1 })).expect("fault");
    let start = Instant::now();
    let error = client.status(&peer).await.expect_err("silent");
    assert_eq!(error.cause, Cause::Timeout);
    assert!(start.elapsed() < 4 * SHORT_TIMEOUT, "{:?}", start.elapsed());
    poll_until_answered(&client, &peer).await;
}

/// Guards against a resumed stream that loses or repeats tokens or whose text differs from the
/// uninterrupted one.
#[actix_rt::test]
async fn a_resumed_stream_continues_the_same_text() {
    let (_engine, peer) = start_ready(fast_options("b1")).await;
    let whole = events(&peer, &chat("r1", "leak in the cellar")).await;
    assert_eq!(whole.last(), Some(&Ok(Event::Done)));
    let tokens = texts(&whole);
    assert!(tokens.len() >= 16, "{tokens:?}");
    let (_other, second) = start_ready(fast_options("b2")).await;
    let rest = Chat { resume_from: 10, ..chat("r2", "leak in the cellar") };
    assert_eq!(texts(&events(&second, &rest).await), tokens[10..]);
    let short = events(&peer, &chat_with_max_tokens("r3", "leak in the cellar", 4)).await;
    assert_eq!(texts(&short), tokens[..4]);
    match &short[4] {
        Ok(Event::Finish { request_id: request, reason, usage: Some(usage) }) => {
            assert_eq!((request.as_str(), reason.as_str()), ("r3", "length"));
            assert_eq!(usage.completion_tokens, 4);
        }
        other => panic!("expected Finish: {other:?}"),
    }
    assert_ne!(texts(&events(&peer, &chat("r4", "two vans")).await), tokens);
}

/// Guards against reporting a stream as complete if its connection was cut.
#[actix_rt::test]
async fn a_cut_stream_is_truncated() {
    let (engine, peer) = start_ready(fast_options("b1")).await;
    engine.fault(&json!({ "fault": "cut", "after": 3, "count": 1 })).expect("fault");
    let events = events(&peer, &chat("r1", "leak")).await;
    assert_eq!(texts(&events).len(), 3);
    assert_eq!(last_cause(&events), Some(&Cause::Truncated));
}

/// Guards against applying the first event's timeout instead of the idle timeout to later events.
#[actix_rt::test]
async fn a_stalled_stream_ends_with_the_idle_timeout() {
    let (engine, peer) = start_ready(fast_options("b1")).await;
    let chat = Chat { first_event_timeout: Duration::from_secs(5), ..chat("r1", "leak") };
    let mut answer = Client::new(short_timeouts()).complete(&peer, &chat).await.expect("answer");
    answer.events.next().await.expect("event").expect("token");
    engine.fault(&json!({ "fault": "pause", "ms": 5_000 })).expect("fault");
    let start = Instant::now();
    let rest: Vec<_> = answer.events.collect().await;
    assert_eq!(last_cause(&rest), Some(&Cause::IdleTimeout));
    assert!(start.elapsed() < 4 * SHORT_TIMEOUT, "{:?}", start.elapsed());
}

/// Guards against a client that drops request ids or token positions, which the receiver needs to
/// discard foreign and duplicate events.
#[actix_rt::test]
async fn foreign_and_duplicate_events_are_distinguishable() {
    let (engine, peer) = start_ready(fast_options("b1")).await;
    engine.fault(&json!({ "fault": "other_id", "id": "x", "count": 1 })).expect("fault");
    let answer =
        client().complete(&peer, &chat_with_max_tokens("r1", "leak", 1)).await.expect("answer");
    assert_eq!(answer.request_id, "x");
    let events: Vec<_> = answer.events.collect().await;
    assert!(matches!(&events[0], Ok(Event::Token { request_id: request, .. }) if request == "x"));
    engine.fault(&json!({ "fault": "duplicate", "at": 1, "count": 1 })).expect("fault");
    let events = self::events(&peer, &chat_with_max_tokens("r2", "leak", 3)).await;
    let position = |event: &Result<Event, Error>| match event {
        Ok(Event::Token { position, .. }) => *position,
        _ => None,
    };
    assert_eq!(events.iter().filter_map(position).collect::<Vec<_>>(), [0, 1, 1, 2]);
}

/// Guards against events or streams of unlimited size.
#[actix_rt::test]
async fn an_oversized_stream_is_rejected() {
    let (engine, peer) = start_ready(fast_options("b1")).await;
    for options in [
        Options { max_body_bytes: 1_000, ..long_timeouts() },
        Options { max_body_bytes: 100_000, max_stream_bytes: 8_000, ..long_timeouts() },
    ] {
        engine.fault(&json!({ "fault": "large", "bytes": 5_000, "count": 4 })).expect("fault");
        let answer = Client::new(options).complete(&peer, &chat("r1", "leak")).await;
        let events: Vec<_> = answer.expect("answer").events.collect().await;
        assert!(matches!(last_cause(&events), Some(Cause::TooLarge { .. })), "{events:?}");
    }
}

/// Guards against a group that serves requests, or continues one, while a member is missing.
#[actix_rt::test]
async fn a_group_with_a_missing_member_does_not_serve() {
    let (_first, first) = start(fast_options("b1"));
    let (second, peer) = start(fast_options("b2"));
    let members = [first.as_str(), peer.as_str()];
    let client = client();
    assert_eq!(client.order(&first, &order(1, "b1", &members, 0)).await, Reply::Accepted);
    wait_for_state(&first, Phase::Ready).await;
    let error = client.complete(&first, &chat("r1", "leak")).await.err().expect("refused");
    assert!(matches!(error.cause, Cause::Status { status: 503, .. }), "{error}");
    assert_eq!(client.order(&peer, &order(1, "b2", &members, 1)).await, Reply::Accepted);
    wait_for_state(&peer, Phase::Ready).await;
    actix_rt::time::sleep(SHORT_TIMEOUT).await;
    let error = client.complete(&peer, &chat("r2", "leak")).await.err().expect("refused");
    assert!(matches!(error.cause, Cause::Status { status: 503, .. }), "{error}");
    // The slowest member determines the speed of the group; this leaves enough time to stop a
    // member during the request.
    second.fault(&json!({ "fault": "slow", "factor": 40 })).expect("fault");
    actix_rt::time::sleep(SHORT_TIMEOUT).await;
    let mut answer = client.complete(&first, &chat("r3", "leak")).await.expect("answer");
    answer.events.next().await.expect("event").expect("token");
    second.stop();
    let rest: Vec<_> = answer.events.collect().await;
    assert_eq!(last_cause(&rest), Some(&Cause::Truncated), "{rest:?}");
}

/// Guards against reporting a crash as a rejection of the request, and against a `crash_on` fault
/// that affects requests without its text.
#[actix_rt::test]
async fn a_crashing_request_ends_the_engine() {
    // Uses its own IP address, because another test may get the port that the crash frees.
    let bind = Bind { address: ([127, 0, 0, 2], 0).into(), exit: false };
    let (engine, peer) = start_ready(engine::Options { bind, ..fast_options("b1") }).await;
    engine.fault(&json!({ "fault": "crash_on", "text": "poison" })).expect("fault");
    assert_eq!(events(&peer, &chat("r1", "leak")).await.last(), Some(&Ok(Event::Done)));
    let error = client().complete(&peer, &chat("r2", "poison")).await.err().expect("crash");
    assert!(matches!(error.cause, Cause::Closed(_)), "{error}");
    let address = engine.address;
    engine.wait();
    let error = client().status(&peer).await.expect_err("gone");
    assert!(error.cause.is_unsent(), "{error}");
    // The instance restarts at the same address with another boot id.
    let bind = Bind { address, exit: false };
    let (_engine, peer) = start(engine::Options { bind, ..fast_options("b2") });
    assert_eq!(client().status(&peer).await.expect("status").boot, "b2");
}

/// Guards against running more requests than there are slots, ignoring priorities in the queue, or
/// not ending cancelled requests.
#[actix_rt::test]
async fn requests_queue_by_priority_and_are_cancelled() {
    let options =
        engine::Options { slots: 1, token: Duration::from_millis(4), ..fast_options("b1") };
    let (_engine, peer) = start_ready(options).await;
    let client = client();
    let mut first = client.complete(&peer, &chat("first.1", "leak")).await.expect("answer").events;
    first.next().await.expect("event").expect("token");
    let start = |id: &'static str, priority| {
        let (client, peer) = (client.clone(), peer.clone());
        let chat = Chat { priority, ..chat_with_max_tokens(id, "leak", 2) };
        actix_rt::spawn(async move {
            let answer = client.complete(&peer, &chat).await.expect("answer");
            assert_eq!(answer.events.count().await, 4);
            Instant::now()
        })
    };
    let batch = start("batch", 3);
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    let interactive = start("interactive", 0);
    actix_rt::time::sleep(Duration::from_millis(20)).await;
    let status = client.status(&peer).await.expect("status");
    assert_eq!((status.running, status.queued), (1, 2));
    assert!(client.cancel(&peer, "first.1").await.expect("cancel"));
    assert!(!client.cancel(&peer, "unknown").await.expect("cancel"));
    let rest: Vec<_> = first.collect().await;
    assert!(
        matches!(&rest[rest.len() - 2], Ok(Event::Finish { reason, .. }) if reason == "cancelled")
    );
    assert!(interactive.await.expect("task") < batch.await.expect("task"));
}

/// Guards against a request that still occupies a slot of the batch after its caller disconnected.
#[actix_rt::test]
async fn a_dropped_completion_frees_its_slot() {
    let options = engine::Options { token: Duration::from_millis(100), ..fast_options("b1") };
    let (_engine, peer) = start_ready(options).await;
    let start = Instant::now();
    let mut answer = client().complete(&peer, &chat("r1", "leak")).await.expect("answer");
    answer.events.next().await.expect("event").expect("token");
    assert_eq!(client().status(&peer).await.expect("status").running, 1);
    drop(answer);
    while client().status(&peer).await.expect("status").running > 0 {
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
    // The whole text takes at least 16 tokens.
    assert!(start.elapsed() < Duration::from_millis(1_500), "{:?}", start.elapsed());
}

/// Guards against a prefix cache that does not shorten the prefill, exceeds its block limit, reports
/// no events, or cannot be transferred to another engine.
#[actix_rt::test]
async fn the_prefix_cache_shortens_the_first_token() {
    let options = engine::Options {
        prefill: Duration::from_millis(30),
        cache_blocks: 10,
        token: Duration::ZERO,
        ..fast_options("b1")
    };
    let (_engine, peer) = start_ready(options.clone()).await;
    let client = client();
    let prompt = "x".repeat(64 * 8);
    let mut times = Vec::new();
    for id in ["r1", "r2"] {
        let chat = chat_with_max_tokens(id, &prompt, 1);
        let start = Instant::now();
        let mut answer = client.complete(&peer, &chat).await.expect("answer");
        answer.events.next().await.expect("event").expect("token");
        times.push(start.elapsed());
    }
    assert!(times[0] >= Duration::from_millis(270) && times[1] < times[0] / 2, "{times:?}");
    let changes = client.cache_events(&peer, 0).await.expect("events");
    assert_eq!((changes.events.len(), changes.next), (8, 8));
    let prefix = changes.events[7].prefix.clone();
    let content = client.export_kv_cache(&peer, &prefix).await.expect("export").expect("held");
    let (_other, other) = start_ready(engine::Options { cache_blocks: 1, ..options }).await;
    assert_eq!(client.export_kv_cache(&other, &prefix).await.expect("export"), None);
    client.import_kv_cache(&other, &prefix, content.clone()).await.expect("import");
    assert!(client.import_kv_cache(&other, "0", content).await.is_err());
    assert!(client.export_kv_cache(&other, &prefix).await.expect("export").is_some());
    events(&other, &chat_with_max_tokens("r3", &"y".repeat(64), 1)).await;
    let kinds: Vec<_> = client
        .cache_events(&other, 1)
        .await
        .expect("events")
        .events
        .iter()
        .map(|e| e.kind)
        .collect();
    assert_eq!(kinds, [CacheEventKind::Stored, CacheEventKind::Evicted]);
}

/// Guards against a non-streaming response whose text differs from the streamed one or that lacks
/// the request id.
#[actix_rt::test]
async fn a_non_streaming_response_has_the_text_of_the_stream() {
    let (_engine, peer) = start_ready(fast_options("b1")).await;
    let streamed = texts(&events(&peer, &chat("r1", "leak")).await).concat();
    let mut answer = awc::Client::default()
        .post(format!("http://{peer}/v1/chat/completions"))
        .insert_header(("x-request-id", "r2"))
        .send_json(&chat("", "leak").body)
        .await
        .expect("answer");
    assert_eq!(answer.headers().get("x-request-id").expect("id"), "r2");
    let body: Value = serde_json::from_slice(&answer.body().await.expect("body")).expect("JSON");
    assert_eq!(body["choices"][0]["message"]["content"], streamed);
    assert_eq!(body["id"], "r2");
}
