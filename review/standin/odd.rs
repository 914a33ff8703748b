//! Rule DENIED: an entry of another writer in the list of servers.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::base::{self, Wire, now, record, response};
use crate::client::{self, Request};
use crate::gateway::Fleet;
use crate::has_trouble;
use crate::server::{Kind, Server};
use crate::store::Store;

const GATEWAYS: usize = 9;
const SERVERS: usize = 3;

/// Requests a second: those of the sheet.
const RATE: f64 = 19.5;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"check","host":"desk.example","pathPrefix":"/check/","kind":"idempotent","service":"rounds-app",
"timeoutMs":1000,"targetLatencyMs":200,"priority":2,"maxAttempts":2,"allowAnonymous":false},
{"name":"book","host":"desk.example","pathPrefix":"/book/","kind":"non_idempotent","service":"rounds-app",
"timeoutMs":1000,"targetLatencyMs":200,"priority":2,"maxAttempts":1,"allowAnonymous":false}],
"services":[{"name":"rounds-app","maxConnections":52,"healthPath":"/health"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"team","apiKeys":["key-1"]}]}"#;

/// The process of another writer: it speaks HTTP and knows none of the paths.
fn start_other(reached: &Arc<AtomicUsize>) -> std::net::SocketAddr {
    let (listener, address) = base::listen([127, 0, 20, 1]);
    let reached = Arc::clone(reached);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let reached = Arc::clone(&reached);
            std::thread::spawn(move || {
                let mut wire = Wire::new(stream);
                while let Ok(request) = wire.read_message() {
                    reached.fetch_add(1, Ordering::SeqCst);
                    record(&format!("the other writer's process gets {}", request.first));
                    if wire.send(&response(404, &[], b"not found")).is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

pub fn run() -> bool {
    let store = Store::start();
    store.append("keyed.op", "config", CONFIG.as_bytes());
    let zones = ["pinetown", "umlazi", "verulam"];
    let _servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|index| {
            let kind = Kind {
                service: "rounds-app",
                zone: zones[index],
                slots: 6,
                work_s: 0.03,
                queue: 24,
                stream: (0, 0.0),
                warm_s: 0.0,
                engine: None,
                deadly_part: None,
            };
            Server::start(&store, &format!("app-{}", index + 1), kind)
        })
        .collect();
    let mut fleet = Fleet::start(&store, GATEWAYS);
    fleet.wait_ready(20.0);
    base::sleep_until(11.0);
    let start = now();
    let reached = Arc::new(AtomicUsize::new(0));
    let address = start_other(&reached);
    let world = Arc::clone(&store);
    std::thread::spawn(move || {
        base::sleep_until(start + 5.0);
        // Another writer's entry, without `version`, `coldRemainingMs`, `sequence` and `born`.
        let entry = format!(
            "{{\"service\":\"rounds-app\",\"address\":\"{address}\",\"zone\":\"umlazi\",\"slots\":6,\
             \"state\":\"ready\"}}"
        );
        if has_trouble() {
            record(&format!("another writer writes servers/agent-1: {entry}"));
            // The store removes it after three heartbeat intervals, as it is not written again.
            world.list("agent-1", &entry);
        }
    });
    let mut calls = Vec::new();
    for number in 0..(RATE * 30.0) as u32 {
        base::sleep_until(start + f64::from(number) / RATE);
        let gateway = &fleet.gateways[(base::random() % GATEWAYS as u64) as usize];
        let is_booking = base::random() % 7 < 5;
        let request = Request {
            method: if is_booking { "POST" } else { "GET" },
            path: format!("/{}/{number:x}", if is_booking { "book" } else { "check" }),
            attempt: format!("{}.{number}", if is_booking { "book" } else { "check" }),
            key: "key-1",
            deadline_ms: 1000,
            fields: String::new(),
            body: if is_booking { "{\"trays\":2}" } else { "" },
        };
        calls.push(client::spawn(&gateway.name, gateway.front, request));
    }
    let outcomes: Vec<_> = calls.into_iter().map(|it| it.join().unwrap()).collect();
    if !fleet.all_run() {
        fleet.give_up();
    }
    let denied: Vec<_> = outcomes
        .iter()
        .filter(|it| !it.is_sealed && it.status.is_some_and(|it| (300..500).contains(&it)))
        .filter(|it| !matches!(it.status, Some(408 | 421 | 429)))
        .collect();
    let bookings = denied.iter().filter(|it| it.attempt.starts_with("book")).count();
    let allowed = 5.0 + outcomes.len() as f64 / 500.0;
    let text = format!(
        "{} requests, {} answered 200; {} ended with a 3xx or 4xx of no server, {bookings} of them bookings, \
         allowed {allowed:.1}; {} requests reached the other writer's process",
        outcomes.len(),
        outcomes.iter().filter(|it| it.status == Some(200)).count(),
        denied.len(),
        reached.load(Ordering::SeqCst)
    );
    record(&text);
    println!("{text}");
    denied.len() as f64 <= allowed
}
