//! Rule MIXED: successes without the seal of a server.

use std::sync::Arc;

use crate::base::{self, now, record};
use crate::client::{self, Request};
use crate::gateway::Fleet;
use crate::has_trouble;
use crate::server::{Kind, Server};
use crate::store::Store;

const GATEWAYS: usize = 9;
const SERVERS: usize = 6;

/// Requests a second.
const RATE: f64 = 60.0;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"check","host":"desk.example","pathPrefix":"/check/","kind":"idempotent","service":"rounds-app",
"timeoutMs":1000,"targetLatencyMs":200,"priority":2,"maxAttempts":2,"allowAnonymous":false},
{"name":"book","host":"desk.example","pathPrefix":"/book/","kind":"non_idempotent","service":"rounds-app",
"timeoutMs":1000,"targetLatencyMs":200,"priority":2,"maxAttempts":1,"allowAnonymous":false}],
"services":[{"name":"rounds-app","maxConnections":260,"healthPath":"/health"}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"team","apiKeys":["key-1"]}]}"#;

pub fn run() -> bool {
    let store = Store::start();
    store.append("keyed.op", "config", CONFIG.as_bytes());
    let zones = ["pinetown", "umlazi", "verulam"];
    let servers: Vec<Arc<Server>> = (0..SERVERS)
        .map(|index| {
            let kind = Kind {
                service: "rounds-app",
                zone: zones[index % 3],
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
    let faulty: Vec<Arc<Server>> = servers[..2].to_vec();
    std::thread::spawn(move || {
        for round in 0..6 {
            base::sleep_until(start + 2.0 + 8.0 * f64::from(round));
            let share = if has_trouble() { 0.02 } else { 0.0 };
            record(&format!("two of {SERVERS} servers spoil {share} of their answers for 5.5 s"));
            faulty.iter().for_each(|it| *it.garble_share.lock().unwrap() = share);
            base::sleep(5.5);
            faulty.iter().for_each(|it| *it.garble_share.lock().unwrap() = 0.0);
        }
    });
    let mut calls = Vec::new();
    for number in 0..(RATE * 50.0) as u32 {
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
    let is_success = |it: &&client::Outcome| it.status.is_some_and(|it| (200..300).contains(&it));
    let unsealed: Vec<&client::Outcome> =
        outcomes.iter().filter(is_success).filter(|it| !it.is_sealed).collect();
    let bookings = unsealed.iter().filter(|it| it.attempt.starts_with("book")).count();
    let spoilt: u64 = servers.iter().map(|it| *it.spoilt.lock().unwrap()).sum();
    let text = format!(
        "{} requests, {} successes, {spoilt} spoilt answers; {} successes without a seal, {bookings} of bookings",
        outcomes.len(),
        outcomes.iter().filter(is_success).count(),
        unsealed.len()
    );
    record(&text);
    println!("{text}");
    unsealed.is_empty()
}
