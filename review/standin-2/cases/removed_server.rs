//! A server that is removed just after the way between a machine and the store has healed.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Request};
use crate::gateway::{Gateway, Machine, Ports};
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;
use crate::{Verdict, has_trouble};

/// Rounds of a cut, each with another server that is removed.
const ROUNDS: usize = 3;

/// Time for which the way is cut.
const CUT_FOR: Duration = Duration::from_millis(4_500);

/// Time from the healing to the removal.
const REMOVED_AFTER: Duration = Duration::from_millis(100);

/// `contactMs` and `drainMs` of the settings.
const CONTACT: Duration = Duration::from_millis(3_000);
const DRAIN: Duration = Duration::from_millis(2_000);

/// Margin for the time that clients and servers take to note something.
const MARGIN: Duration = Duration::from_millis(50);

/// Clients that send one booking after the other.
const CLIENTS: usize = 4;

pub fn run(record: &Record) -> Verdict {
    let store = Store::new();
    let tenants = r#"[{"name":"hule930","apiKeys":["key-1"],"priority":1}]"#;
    store.append("keyed.op", "config", super::config(1, tenants).as_bytes());
    let start = |number: usize| {
        let id = format!("i-{number}");
        Server::start(&store, &id, ("booking", "zilina-a"), vec![b'x'; 800], record)
    };
    let mut servers: Vec<Arc<Server>> = (0..3).map(&start).collect();
    let door = store.open();
    let ip = Ipv4Addr::new(127, 0, 0, 16);
    let machine = Machine {
        name: "edge-1".into(),
        ip,
        ports: Ports::find(&[ip]),
        store: door.address,
        zone: "zilina-a".into(),
    };
    let mut gateway = Gateway::start_ready(machine, record);
    let front = gateway.machine.front();
    let sent: Arc<Mutex<BTreeMap<String, Instant>>> = Arc::default();
    let (is_over, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (sent, is_over) = (Arc::clone(&sent), Arc::clone(&is_over));
            let answered = Arc::clone(&answered);
            thread::spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let attempt = format!("a{client}-{number}");
                    let request = Request {
                        method: "POST",
                        path: "/book/1",
                        attempt: &attempt,
                        key: Some("key-1"),
                        deadline_ms: 1_000,
                        body: "slot",
                    };
                    let Ok(mut connection) = Client::connect(front) else { continue };
                    sent.lock().expect("the times").insert(attempt.clone(), Instant::now());
                    let answer = connection.call(&request);
                    let is_ok = answer.is_ok_and(|it| it.status() == 200);
                    answered.fetch_add(usize::from(is_ok), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(4_000));
    let mut broken = 0;
    for round in 0..ROUNDS {
        if has_trouble() {
            record.note(&format!("round {round}: the way to the store is cut"));
            door.is_cut.store(true, Ordering::SeqCst);
        }
        thread::sleep(CUT_FOR);
        door.is_cut.store(false, Ordering::SeqCst);
        let healed = Instant::now();
        record.note("the way to the store is open");
        thread::sleep(REMOVED_AFTER);
        let removed = servers.remove(0);
        removed.leave(&store);
        let acknowledged = Instant::now();
        record.note(&format!("the store has acknowledged that {} is gone", removed.id));
        thread::sleep(Duration::from_millis(5_500));
        let sent = sent.lock().expect("the times");
        let judged_from = (healed + CONTACT).max(acknowledged + DRAIN) + MARGIN;
        let runs = removed.runs.lock().expect("the runs");
        let late: Vec<u128> = runs
            .iter()
            .filter_map(|run| sent.get(&run.attempt))
            .filter(|at| **at > judged_from)
            .map(|at| at.duration_since(acknowledged).as_millis())
            .collect();
        let id = &removed.id;
        record.note(&format!("{} bookings reached {id} too late: {late:?} ms after", late.len()));
        broken += usize::from(!late.is_empty());
        servers.push(start(3 + round));
        thread::sleep(Duration::from_millis(1_500));
    }
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|it| drop(it.join()));
    let answered = answered.load(Ordering::SeqCst);
    record.note(&format!("{broken} of {ROUNDS} rounds broken, {answered} bookings answered"));
    if gateway.has_ended() || answered < 200 {
        return Verdict::CannotRun;
    }
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
