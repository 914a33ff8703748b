//! A server of a plain service, as PROTOCOL.md describes it.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, response};
use crate::record::Record;
use crate::store::Store;

/// Interval of the heartbeats.
const BEAT: Duration = Duration::from_millis(1_200);

/// A request that a server began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub path: String,
    pub tenant: Option<String>,
    pub at: Instant,
}

pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    service: String,
    zone: String,
    body: Vec<u8>,
    /// All that it has run.
    pub runs: Mutex<Vec<Run>>,
    seals: AtomicU64,
    /// Whether its entry was removed.
    is_removed: AtomicBool,
    /// Whether it has reported `draining`.
    is_draining: AtomicBool,
    born: u64,
    /// Number of its heartbeats.
    sequence: AtomicU64,
    /// Whether the store carries the next heartbeat out late, and the heartbeat that it holds.
    holds_next: AtomicBool,
    held: Mutex<Option<Vec<u8>>>,
    record: Record,
}

impl Server {
    /// Starts a server that answers each request with `body`, and lists it in the store.
    pub fn start(
        store: &Arc<Store>,
        id: &str,
        (service, zone): (&str, &str),
        body: Vec<u8>,
        record: &Record,
    ) -> Arc<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind a server");
        let server = Arc::new(Self {
            id: id.into(),
            address: listener.local_addr().expect("the address of a server"),
            service: service.into(),
            zone: zone.into(),
            body,
            runs: Mutex::default(),
            seals: AtomicU64::new(0),
            is_removed: AtomicBool::new(false),
            is_draining: AtomicBool::new(false),
            born: crate::unix_ms(),
            sequence: AtomicU64::new(0),
            holds_next: AtomicBool::new(false),
            held: Mutex::default(),
            record: record.clone(),
        });
        server.beat(store);
        let (beating, its_store) = (Arc::clone(&server), Arc::clone(store));
        thread::spawn(move || {
            loop {
                thread::sleep(BEAT);
                beating.beat(&its_store);
            }
        });
        let accepting = Arc::clone(&server);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&accepting);
                thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Writes its entry. While the store is away, the entry is lost.
    fn beat(&self, store: &Store) {
        if store.is_down.load(Ordering::SeqCst) || self.is_removed.load(Ordering::SeqCst) {
            return;
        }
        let Self { id, address, service, zone, born, .. } = self;
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let state = if self.is_draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1",
"slots":17,"state":"{state}","coldRemainingMs":0,"born":{born},"sequence":{sequence}}}"#
        );
        if self.holds_next.swap(false, Ordering::SeqCst) {
            self.record
                .note(&format!("{id} writes {state}, sequence {sequence}, and gets no answer"));
            *self.held.lock().expect("the heartbeat") = Some(entry.into_bytes());
            return;
        }
        store.append("keyed.servers", id, entry.as_bytes());
    }

    /// Has the store lose its answer to the next heartbeat, and carry that out later.
    pub fn hold_next_heartbeat(&self) {
        self.holds_next.store(true, Ordering::SeqCst);
    }

    /// Whether a heartbeat is held.
    pub fn has_held_heartbeat(&self) -> bool {
        self.held.lock().expect("the heartbeat").is_some()
    }

    /// Has the store carry out the heartbeat that it held.
    pub fn carry_out_held_heartbeat(&self, store: &Store) {
        let held = self.held.lock().expect("the heartbeat").take();
        if let Some(entry) = held {
            self.record.note(&format!("the store carries out the late heartbeat of {}", self.id));
            store.append("keyed.servers", &self.id, &entry);
        }
    }

    /// Reports `draining`; acknowledged when this returns.
    pub fn drain(&self, store: &Store) {
        self.is_draining.store(true, Ordering::SeqCst);
        self.beat(store);
        self.record.note(&format!("the store has acknowledged that {} drains", self.id));
    }

    /// Leaves without reporting `draining`: its entry is removed, and it goes on serving for a while.
    pub fn leave(&self, store: &Store) {
        self.is_removed.store(true, Ordering::SeqCst);
        store.append("keyed.servers", &self.id, b"");
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(request) = connection.read_message() {
            if connection.write(&self.answer(&request)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let attempt = request.field("attempt-id").unwrap_or_default().to_owned();
        if request.field("expect-instance").is_some_and(|it| it != self.id) {
            let fields = [("Attempt-Id", attempt.as_str()), ("Instance-Id", self.id.as_str())];
            return response(421, &fields, b"");
        }
        let tenant = request.field("tenant").map(str::to_owned);
        let path = request.path().to_owned();
        let text = format!("{} runs {attempt}, {path}, Tenant: {tenant:?}", self.id);
        self.record.note(&text);
        let run = Run { attempt: attempt.clone(), path, tenant, at: Instant::now() };
        self.runs.lock().expect("the runs").push(run);
        let seal = format!("{}.{}", self.id, self.seals.fetch_add(1, Ordering::SeqCst));
        let fields = [
            ("Attempt-Id", attempt.as_str()),
            ("Server-Seal", seal.as_str()),
            ("Server-Load", "1,0,17"),
            ("Keep-Alive", "timeout=10"),
        ];
        response(200, &fields, &self.body)
    }
}
