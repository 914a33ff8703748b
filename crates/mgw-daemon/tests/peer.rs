//! Peer links over loopback sockets, with peers that are silent, lack the secret or fail.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mgw_daemon::peer::client::Pool;
use mgw_daemon::peer::server::{Incoming, Reply, serve};
use mgw_daemon::peer::{Cause, Failure, Options, Secret};
use mgw_wire::frame::{Blame, Frame, Item, Outcome, Relay, Stamp};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

const SECOND: Duration = Duration::from_secs(1);

fn options(secret: &str) -> Options {
    Options {
        connect_timeout: Duration::from_millis(300),
        ping_timeout: Duration::from_millis(300),
        ping_interval: Duration::from_millis(50),
        initial_backoff: Duration::from_millis(20),
        max_backoff: Duration::from_millis(100),
        idle_timeout: Duration::from_millis(600),
        ..Options::new(vec![Secret::new(secret).expect("a valid secret")], "10.9.9.9:8090".into())
    }
}

fn gossip(counter: u64) -> Frame {
    let blame = Blame { fingerprint: 1, observer: 2, counter };
    Frame::Gossip { sender: 7, items: vec![Item::Blame(blame)] }
}

fn relay(body: usize) -> Frame {
    Frame::Relay(Relay {
        exchange_id: 1,
        executor: 2,
        team: "leaks".into(),
        service: "booking".into(),
        key: "k".into(),
        method: "POST".into(),
        path: "/visits".into(),
        content_type: "application/json".into(),
        body: vec![b'x'; body],
        deadline_ms: 500,
        stamp: Stamp::default(),
    })
}

/// The frames and requests that a test server has received, in order.
type Received = Rc<RefCell<Vec<Frame>>>;

/// Starts a test server on a free port that records what arrives and passes requests to `respond`.
/// Returns its address, the record and its task.
async fn server<F>(options: Options, respond: F) -> (String, Received, JoinHandle<()>)
where
    F: Fn(Frame, Reply) + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let received = Received::default();
    let record = Rc::clone(&received);
    let task = actix_rt::spawn(serve(listener, options, move |incoming| match incoming {
        Incoming::Frame { peer, frame } => {
            assert_eq!(peer, "10.9.9.9:8090");
            record.borrow_mut().push(frame);
        }
        Incoming::Exchange { frame, reply, .. } => {
            record.borrow_mut().push(frame.clone());
            respond(frame, reply);
        }
    }));
    (address, received, task)
}

/// Starts a TCP proxy to `target`. Returns its address, the flag `silent`, and the number of accepted
/// connections.
///
/// While the flag is set, the proxy drops all bytes from `target`. A connection on which bytes were
/// dropped, or that was opened meanwhile, passes no more bytes in either direction even after the flag
/// is cleared.
async fn tcp_proxy(target: String) -> (String, Rc<Cell<bool>>, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address").to_string();
    let (silent, opened) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(0)));
    let (cut, count) = (Rc::clone(&silent), Rc::clone(&opened));
    actix_rt::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            count.set(count.get() + 1);
            let far = TcpStream::connect(&target).await.expect("a connection");
            let ((near_read, near_write), (far_read, far_write)) =
                (near.into_split(), far.into_split());
            // A connection that was opened while the flag is set never passes bytes.
            let lost = Rc::new(Cell::new(cut.get()));
            actix_rt::spawn(copy_until_cut(
                near_read,
                far_write,
                Rc::new(Cell::new(false)),
                lost.clone(),
            ));
            actix_rt::spawn(copy_until_cut(far_read, near_write, Rc::clone(&cut), lost));
        }
    });
    (address, silent, opened)
}

/// Copies bytes until the connection ends. Drops them from the moment at which `cut` or `lost` is set,
/// and sets `lost` then.
async fn copy_until_cut<R, W>(mut from: R, mut to: W, cut: Rc<Cell<bool>>, lost: Rc<Cell<bool>>)
where
    R: AsyncReadExt + Unpin,
    W: AsyncWriteExt + Unpin,
{
    let mut bytes = vec![0; 16 << 10];
    while let Ok(size @ 1..) = from.read(&mut bytes).await {
        lost.set(lost.get() || cut.get());
        if !lost.get() && to.write_all(&bytes[..size]).await.is_err() {
            return;
        }
    }
}

/// Waits until a condition holds; panics after 5 s.
async fn wait_until<F>(mut reached: F)
where
    F: FnMut() -> bool,
{
    let start = Instant::now();
    while !reached() {
        assert!(start.elapsed() < 5 * SECOND, "the expected state was not reached in 5 s");
        actix_rt::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Runs a test in an `actix-rt` system, for 20 s at most.
fn run<F>(test: F)
where
    F: Future<Output = ()>,
{
    actix_rt::System::new().block_on(async {
        actix_rt::time::timeout(20 * SECOND, test).await.expect("test hangs");
    });
}

/// Answers a request for the state with three chunks and any other request with a conflict.
fn answer_at_once(frame: Frame, reply: Reply) {
    match frame {
        Frame::StateRequest => reply.send((0..3).map(|index| chunk(index, 900_000)).collect()),
        _ => reply.send(vec![Frame::RelayAnswer { exchange_id: 1, outcome: Outcome::Conflict }]),
    }
}

fn chunk(index: u32, size: usize) -> Frame {
    Frame::StateChunk { end_offset: 5, index, count: 3, bytes: vec![index as u8; size] }
}

/// Guards against reordered frames, and against large requests or answers that arrive incomplete.
#[test]
fn frames_arrive_in_order_and_exchanges_are_answered_in_full() {
    run(async {
        let (address, received, _task) = server(options("s"), answer_at_once).await;
        let pool = Pool::new(options("s"));
        for counter in 0..5 {
            pool.send(&address, &gossip(counter)).unwrap();
        }
        wait_until(|| received.borrow().len() == 5).await;
        assert_eq!(*received.borrow(), (0..5).map(gossip).collect::<Vec<_>>());
        let answer = pool.exchange(&address, &relay(900_000), 5 * SECOND).await.unwrap();
        assert_eq!(answer, [Frame::RelayAnswer { exchange_id: 1, outcome: Outcome::Conflict }]);
        let state = pool.exchange(&address, &Frame::StateRequest, 5 * SECOND).await.unwrap();
        assert_eq!(state, (0..3).map(|index| chunk(index, 900_000)).collect::<Vec<_>>());
    });
}

/// Guards against stale gossip that delays newer frames, and against unbounded queues to a dead peer.
#[test]
fn a_full_queue_drops_its_oldest_frames() {
    run(async {
        let (address, received, _task) = server(options("s"), answer_at_once).await;
        let pool = Pool::new(Options { max_queued_frames: 3, ..options("s") });
        // The link's task first runs when this test awaits, so all frames are queued by then.
        for counter in 0..10 {
            pool.send(&address, &gossip(counter)).unwrap();
        }
        wait_until(|| received.borrow().len() == 3).await;
        assert_eq!(*received.borrow(), [gossip(7), gossip(8), gossip(9)]);
        assert_eq!(pool.dropped_frames(), 7);
    });
}

/// Guards against requests that reach the node without the secret, and against the secret in logs.
#[test]
fn a_wrong_secret_is_rejected_and_never_shown() {
    run(async {
        let (address, received, _task) = server(options("right"), answer_at_once).await;
        let pool = Pool::new(options("wrong-secret"));
        pool.send(&address, &gossip(1)).unwrap();
        let error = pool.exchange(&address, &relay(10), SECOND).await.unwrap_err();
        assert!(matches!(error.cause, Failure::Unsent(_)), "{error}");
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        assert!(received.borrow().is_empty());
        let shown = format!("{error} {error:?} {:?}", options("wrong-secret"));
        assert!(!shown.contains("wrong-secret"));
        assert!(Secret::new("").is_none() && Secret::new("a\nb").is_none());
    });
}

/// Guards against entries that reject each other while their secret is replaced one by one.
#[test]
fn several_secrets_are_accepted_while_one_is_sent() {
    run(async {
        let new = Secret::new("new").expect("a valid secret");
        let both =
            Options { secrets: vec![new, options("old").secrets.remove(0)], ..options("old") };
        let (address, received, _task) = server(both, answer_at_once).await;
        for secret in ["old", "new"] {
            let pool = Pool::new(options(secret));
            pool.exchange(&address, &relay(10), SECOND).await.unwrap();
        }
        assert_eq!(received.borrow().len(), 2);
    });
}

/// Guards against "outcome unknown" for a booking that no peer received.
#[test]
fn a_request_that_no_peer_accepts_is_reported_as_unsent() {
    run(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let pool = Pool::new(options("s"));
        // Nothing accepts: the kernel opens the connection, but the peer grants no flow-control window
        // for the body.
        let large = pool.exchange(&address, &relay(900_000), SECOND).await.unwrap_err();
        assert!(matches!(large.cause, Failure::Unsent(_)), "{large}");
        drop(listener);
        let refused = pool.exchange(&address, &relay(10), SECOND).await.unwrap_err();
        assert!(matches!(refused.cause, Failure::Unsent(Cause::Connect(_))), "{refused}");
        assert_eq!(refused.peer, address.as_str());
    });
}

/// Guards against "not run" for a booking that the executor received, which could then run twice.
#[test]
fn a_lost_answer_is_reported_as_unanswered() {
    run(async {
        let replies: Rc<RefCell<Vec<Reply>>> = Rc::default();
        let stored_replies = Rc::clone(&replies);
        let (target, received, task) =
            server(options("s"), move |_, reply| stored_replies.borrow_mut().push(reply)).await;
        let (address, silent, _) = tcp_proxy(target).await;
        let pool = Pool::new(options("s"));
        let start = Instant::now();
        let relay_request = relay(10);
        let exchange = |allowed| pool.exchange(&address, &relay_request, allowed);

        let late = exchange(Duration::from_millis(200)).await.unwrap_err();
        assert_eq!(late.cause, Failure::Unanswered(Cause::Timeout));
        wait_until(|| replies.borrow()[0].is_closed()).await;

        let dropped_replies = async {
            wait_until(|| received.borrow().len() == 2).await;
            replies.borrow_mut().clear();
        };
        let (failed, ()) = tokio::join!(exchange(5 * SECOND), dropped_replies);
        assert_eq!(failed.unwrap_err().cause, Failure::Unanswered(Cause::PeerFailed));

        let proxy_silence = async {
            wait_until(|| received.borrow().len() == 3).await;
            silent.set(true);
        };
        let (lost, ()) = tokio::join!(exchange(10 * SECOND), proxy_silence);
        assert!(matches!(lost.unwrap_err().cause, Failure::Unanswered(_)));
        assert!(
            start.elapsed() < 5 * SECOND,
            "the silent peer was not detected before the deadline"
        );

        silent.set(false);
        let server_stop = async {
            wait_until(|| received.borrow().len() == 4).await;
            task.abort();
        };
        let (stopped, ()) = tokio::join!(exchange(5 * SECOND), server_stop);
        assert!(matches!(stopped.unwrap_err().cause, Failure::Unanswered(_)));
    });
}

/// Guards against a half-open connection that loses gossip for as long as TCP retries.
#[test]
fn a_silent_connection_is_replaced_within_the_ping_timeout() {
    run(async {
        let (target, received, _task) = server(options("s"), answer_at_once).await;
        let (address, silent, opened) = tcp_proxy(target).await;
        let pool = Pool::new(options("s"));
        pool.send(&address, &gossip(1)).unwrap();
        wait_until(|| received.borrow().len() == 1).await;
        silent.set(true);
        let start = Instant::now();
        let mut counter = 2;
        while opened.get() < 2 {
            pool.send(&address, &gossip(counter)).unwrap();
            counter += 1;
            actix_rt::time::sleep(Duration::from_millis(20)).await;
            assert!(
                start.elapsed() < SECOND,
                "limit is 300 ms ping timeout, 50 ms ping interval, 20 ms backoff"
            );
        }
        silent.set(false);
        let before = received.borrow().len();
        wait_until(|| {
            pool.send(&address, &gossip(counter)).unwrap();
            received.borrow().len() > before + 20
        })
        .await;
    });
}

/// Guards against links to peers that are no longer used but stay open and pinged.
#[test]
fn idle_links_are_closed_and_reopened_on_use() {
    run(async {
        let (target, received, _task) = server(options("s"), answer_at_once).await;
        let (address, _, opened) = tcp_proxy(target).await;
        let pool = Pool::new(options("s"));
        pool.send(&address, &gossip(1)).unwrap();
        wait_until(|| received.borrow().len() == 1).await;
        wait_until(|| pool.is_empty()).await;
        pool.send(&address, &gossip(2)).unwrap();
        wait_until(|| received.borrow().len() == 2).await;
        assert_eq!(opened.get(), 2);
    });
}

/// Guards against clients without the secret that exhaust the limit of accepted connections.
#[test]
fn a_connection_without_the_secret_is_closed_after_the_connect_timeout() {
    run(async {
        let (address, received, _task) = server(options("s"), answer_at_once).await;
        let socket = TcpStream::connect(&address).await.unwrap();
        let (requests, connection) = h2::client::handshake(socket).await.unwrap();
        let start = Instant::now();
        let _ = connection.await;
        assert!(start.elapsed() < SECOND, "limit is the 300 ms connect timeout");
        drop(requests);
        assert!(received.borrow().is_empty());
    });
}

/// Guards against a peer that floods the executor with requests, and against malformed bytes on a
/// stream, which must not reach the node or break later connections.
#[test]
fn excess_exchanges_and_malformed_streams_are_refused() {
    run(async {
        let replies: Rc<RefCell<Vec<Reply>>> = Rc::default();
        let stored_replies = Rc::clone(&replies);
        let (address, received, _task) =
            server(Options { max_accepted: 2, ..options("s") }, move |_, reply| {
                stored_replies.borrow_mut().push(reply)
            })
            .await;
        let (limited_pool, other_pool) =
            (Pool::new(Options { max_exchanges: 2, ..options("s") }), Pool::new(options("s")));
        let relay_request = relay(1);
        let first = limited_pool.exchange(&address, &relay_request, Duration::from_millis(600));
        let second = limited_pool.exchange(&address, &relay_request, Duration::from_millis(600));
        let others = async {
            wait_until(|| replies.borrow().len() == 2).await;
            let full = limited_pool.exchange(&address, &relay(1), SECOND).await.unwrap_err();
            assert_eq!(full.cause, Failure::Unsent(Cause::TooManyExchanges));
            let busy = other_pool.exchange(&address, &relay(1), SECOND).await.unwrap_err();
            assert_eq!(busy.cause, Failure::Unsent(Cause::PeerBusy));
        };
        let (first, second, ()) = tokio::join!(first, second, others);
        assert!(first.is_err() && second.is_err());
        assert_eq!(received.borrow().len(), 2);
        replies.borrow_mut().clear();

        let socket = TcpStream::connect(&address).await.unwrap();
        let (mut requests, connection) = h2::client::handshake(socket).await.unwrap();
        actix_rt::spawn(async move { drop(connection.await) });
        // The bytes are a length prefix of 9, the encoding version 1, and 8 bytes that are no valid frame.
        for path in ["frames", "exchange"] {
            let uri = format!("http://peer/{path}");
            let request = http::Request::post(uri).header("x-mgw-secret", "s").body(()).unwrap();
            let (_, mut stream) = requests.send_request(request, false).unwrap();
            stream
                .send_data(vec![0, 0, 0, 9, 1, 77, 77, 77, 77, 77, 77, 77, 77].into(), true)
                .unwrap();
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(received.borrow().len(), 2);
        limited_pool.send(&address, &gossip(1)).unwrap();
        wait_until(|| received.borrow().len() == 3).await;
    });
}
