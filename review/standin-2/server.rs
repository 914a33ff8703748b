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
            record: record.clone(),
        });
        let (beating, its_store) = (Arc::clone(&server), Arc::clone(store));
        let born = crate::unix_ms();
        let (first, first_store) = (Arc::clone(&server), Arc::clone(store));
        first.beat(&first_store, born, 1);
        thread::spawn(move || {
            for sequence in 2.. {
                thread::sleep(BEAT);
                beating.beat(&its_store, born, sequence);
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
    fn beat(&self, store: &Store, born: u64, sequence: u64) {
        if store.is_down.load(Ordering::SeqCst) || self.is_removed.load(Ordering::SeqCst) {
            return;
        }
        let Self { id, address, service, zone, .. } = self;
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1",
"slots":17,"state":"ready","coldRemainingMs":0,"born":{born},"sequence":{sequence}}}"#
        );
        store.append("keyed.servers", id, entry.as_bytes());
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
