//! Rule CONFIG: requests on a route that was added later, beside servers that crash.

use std::sync::{Arc, Mutex};

use crate::base::{self, now, record};
use crate::client::{self, Request};
use crate::gateway::Fleet;
use crate::has_trouble;
use crate::server::{Kind, Server};
use crate::store::Store;

/// `contactMs`.
const CONTACT_S: f64 = 3.0;

const GATEWAYS: usize = 9;
const SERVERS: usize = 6;

/// Requests a second on each of the two routes.
const RATE: f64 = 45.0;

/// Time after which a server that has crashed is back, with a new id.
const BACK_S: f64 = 4.5;

const CRASHES: usize = 10;

fn config(version: u64, has_check: bool) -> String {
    let check = r#",{"name":"check","host":"desk.example","pathPrefix":"/check/","kind":"idempotent",
"service":"rounds-app","timeoutMs":1000,"targetLatencyMs":200,"priority":2,"maxAttempts":2,"allowAnonymous":false}"#;
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"book","host":"desk.example","pathPrefix":"/book/","kind":"non_idempotent","service":"rounds-app",
"timeoutMs":1000,"targetLatencyMs":200,"priority":2,"maxAttempts":1,"allowAnonymous":false}}{}],
"services":[{{"name":"rounds-app","maxConnections":260,"healthPath":"/health"}}],
"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},
"tenants":[{{"name":"team","apiKeys":["key-1"]}}]}}"#,
        if has_check { check } else { "" }
    )
}

fn add_server(store: &Arc<Store>, number: usize) -> Arc<Server> {
    let zones = ["pinetown", "umlazi", "verulam"];
    let kind = Kind {
        service: "rounds-app",
        zone: zones[number % 3],
        slots: 6,
        work_s: 0.06,
        queue: 24,
        stream: (0, 0.0),
        warm_s: 0.0,
        engine: None,
        deadly_part: Some("none"),
    };
    Server::start(store, &format!("app-{number}"), kind)
}

pub fn run() -> bool {
    let store = Store::start();
    store.append("keyed.op", "config", config(3, false).as_bytes());
    let mut servers: Vec<Arc<Server>> = (1..=SERVERS).map(|it| add_server(&store, it)).collect();
    let mut fleet = Fleet::start(&store, GATEWAYS);
    fleet.wait_ready(20.0);
    base::sleep_until(11.0);
    record("configuration 8 adds the route of the lookups");
    store.append("keyed.op", "config", config(8, true).as_bytes());
    base::sleep(3.0);
    let start = now();
    let ends = Arc::new(Mutex::new(Vec::new()));
    let crashes = Arc::clone(&ends);
    let world = Arc::clone(&store);
    let crashing = std::thread::spawn(move || {
        for index in 0..CRASHES {
            base::sleep_until(start + 6.0 + 5.0 * index as f64);
            if has_trouble() {
                servers[index].crash();
                base::sleep(BACK_S);
                crashes.lock().unwrap().push(now());
                servers.push(add_server(&world, SERVERS + 1 + index));
            }
        }
    });
    let mut calls = Vec::new();
    for number in 0..(2.0 * RATE * 70.0) as u32 {
        base::sleep_until(start + f64::from(number) / (2.0 * RATE));
        let gateway = &fleet.gateways[(base::random() % GATEWAYS as u64) as usize];
        let is_booking = number % 2 == 0;
        let (method, path, body) = match is_booking {
            true => ("POST", format!("/book/{number:x}"), "{\"trays\":2}"),
            false => ("GET", "/check/free".to_string(), ""),
        };
        let attempt = format!("{}.{number}", if is_booking { "book" } else { "check" });
        let fields = String::new();
        let request = Request { method, path, attempt, key: "key-1", deadline_ms: 1000, fields, body };
        calls.push((now(), client::spawn(&gateway.name, gateway.front, request)));
    }
    let outcomes: Vec<_> = calls.into_iter().map(|(at, it)| (at, it.join().unwrap())).collect();
    crashing.join().unwrap();
    if !fleet.all_run() {
        fleet.give_up();
    }
    // The last server is back, and `contactMs` have passed.
    let steady = ends.lock().unwrap().last().map_or(start + 58.5, |it| it + CONTACT_S);
    let share = |prefix: &str, from: f64, to: f64| {
        let own = outcomes.iter().filter(|(at, it)| it.attempt.starts_with(prefix) && *at >= from && *at < to);
        let (mut all, mut served) = (0, 0);
        for (_, outcome) in own {
            all += 1;
            served += usize::from(outcome.status == Some(200));
        }
        (served, all)
    };
    let (first, later) = (share("book", steady, 1e9), share("check", steady, 1e9));
    let before = share("check", start, start + 6.0);
    let text = format!(
        "from {steady:.1} s, when all servers have been back for contactMs: {} of {} requests on the first route \
         served, {} of {} on the one that was added later ({} of {} before the crashes)",
        first.0, first.1, later.0, later.1, before.0, before.1
    );
    record(&text);
    println!("{text}");
    let mut causes = std::collections::BTreeMap::new();
    for (_, it) in outcomes.iter().filter(|(at, _)| *at >= steady) {
        let kind = it.attempt.split('.').next().unwrap_or("").to_string();
        *causes.entry((kind, it.status, it.text.clone())).or_insert(0) += 1;
    }
    println!("answers: {causes:?}");
    record(&format!("answers: {causes:?}"));
    let share = |(served, all): (usize, usize)| served as f64 / all.max(1) as f64;
    later.1 < 20 || share(later) >= share(first) / 4.0
}
