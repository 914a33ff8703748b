//! A heartbeat of a server that the store carries out late, after the server has reported `draining`.

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

/// Rounds, each with another server that drains.
const ROUNDS: usize = 3;

/// Time from the lost answer to the report of `draining`: `contactMs` and more, so that the store is stable.
const DRAINS_AFTER: Duration = Duration::from_millis(3_100);

/// Time from the lost answer until the store carries the heartbeat out.
const CARRIED_OUT_AFTER: Duration = Duration::from_millis(4_950);

/// `drainMs` of the settings, and a margin for the time that clients and servers take to note something.
const DRAIN: Duration = Duration::from_millis(2_050);

/// Clients of each gateway that send one booking after the other.
const CLIENTS: usize = 2;

pub fn run(record: &Record) -> Verdict {
    let store = Store::new();
    let tenants = r#"[{"name":"hule930","apiKeys":["key-1"],"priority":1}]"#;
    store.append("keyed.op", "config", super::config(1, tenants).as_bytes());
    let start = |number: usize| {
        let id = format!("i-{number}");
        Server::start(&store, &id, ("booking", "zilina-a"), vec![b'x'; 800], record)
    };
    let mut servers: Vec<Arc<Server>> = (0..3).map(&start).collect();
    let ips = [17, 18].map(|last| Ipv4Addr::new(127, 0, 0, last));
    let ports = Ports::find(&ips);
    let zones = ["zilina-a", "zilina-b"];
    let mut gateways = [0, 1].map(|number| {
        let machine = Machine {
            name: format!("edge-{}-1", zones[number]),
            ip: ips[number],
            ports,
            store: store.open().address,
            zone: zones[number].into(),
        };
        Gateway::start_ready(machine, record)
    });
    let sent: Arc<Mutex<BTreeMap<String, Instant>>> = Arc::default();
    let (is_over, answered) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
    let fronts = gateways.each_ref().map(|it| it.machine.front());
    let clients: Vec<_> = (0..CLIENTS * fronts.len())
        .map(|client| {
            let (sent, is_over) = (Arc::clone(&sent), Arc::clone(&is_over));
            let (answered, record) = (Arc::clone(&answered), record.clone());
            let front = fronts[client % fronts.len()];
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
                    let start = Instant::now();
                    let answer = connection.call(&request);
                    let text =
                        answer.as_ref().map_or_else(|it| it.to_string(), |it| it.line.clone());
                    let time = start.elapsed().as_millis();
                    record.note(&format!("client sent {attempt} {time} ms ago, and gets {text}"));
                    let is_ok = answer.is_ok_and(|it| it.status() == 200);
                    answered.fetch_add(usize::from(is_ok), Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(40));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(4_500));
    let mut broken = 0;
    for round in 0..ROUNDS {
        record.note(&format!("round {round}"));
        let server = servers.remove(0);
        if has_trouble() {
            server.hold_next_heartbeat();
            while !server.has_held_heartbeat() {
                thread::sleep(Duration::from_millis(5));
            }
        }
        let lost = Instant::now();
        thread::sleep(DRAINS_AFTER);
        server.drain(&store);
        let acknowledged = Instant::now();
        thread::sleep(CARRIED_OUT_AFTER.saturating_sub(lost.elapsed()));
        server.carry_out_held_heartbeat(&store);
        thread::sleep(Duration::from_millis(2_500));
        let sent = sent.lock().expect("the times");
        let runs = server.runs.lock().expect("the runs");
        let late: Vec<u128> = runs
            .iter()
            .filter_map(|run| sent.get(&run.attempt))
            .filter(|at| **at > acknowledged + DRAIN)
            .map(|at| at.duration_since(acknowledged).as_millis())
            .collect();
        let id = &server.id;
        record.note(&format!("{} bookings reached {id} too late: {late:?} ms after", late.len()));
        broken += usize::from(!late.is_empty());
        server.leave(&store);
        servers.push(start(3 + round));
        thread::sleep(Duration::from_millis(1_500));
    }
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|it| drop(it.join()));
    let answered = answered.load(Ordering::SeqCst);
    record.note(&format!("{broken} of {ROUNDS} rounds broken, {answered} bookings answered"));
    if gateways.iter_mut().any(Gateway::has_ended) || answered < 200 {
        return Verdict::CannotRun;
    }
    if broken > 0 { Verdict::Broken } else { Verdict::Held }
}
