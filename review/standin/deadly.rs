//! Rule LOST: sound requests while requests come with a part of a prompt that crashes servers.

use std::collections::HashSet;
use std::sync::atomic::{AtomicBool, Ordering};
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

/// Groups of two model servers.
const GROUPS: usize = 6;

/// The part that crashes servers.
const DEADLY: &str = "dead0001";

/// Time after which a server that has crashed is back, with a new id.
const BACK_S: f64 = 4.0;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"note","host":"desk.example","pathPrefix":"/note/","kind":"streaming","resumeStreams":true,
"service":"marigold-desk","timeoutMs":6000,"targetLatencyMs":300,"targetGapMs":200,"priority":1,
"maxAttempts":2,"allowAnonymous":false,"sessionAffinity":true}],
"services":[{"name":"marigold-desk","maxConnections":288,"healthPath":"/health","engine":{
"slots":17,"kvCapacity":1860000,"models":[{"name":"m1","size":2,"share":1.0,"pace":0.6,"loadS":12.0,"warmS":1.1}],
"step_ms":7.8,"per_seq_ms":0.0947,"context_per_k":0.0096,"read_per_s":45900.0,"pairs_per_m":0.433,
"chunk":2048,"stride":5,"report_lag_ms":200,"loadsPerS":5.0,"loads_at_once":7,"cachedPrefixes":1,
"formMs":300.0,"far_x":2.5,"usual":{"prompt":674,"answer":174}}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"team","apiKeys":["key-1"]}]}"#;

struct World {
    store: Arc<Store>,
    servers: Mutex<Vec<Arc<Server>>>,
    is_over: AtomicBool,
}

impl World {
    fn add_server(&self, number: usize, domain: usize) {
        let zones = ["pinetown", "umlazi", "verulam"];
        let kind = Kind {
            service: "marigold-desk",
            zone: zones[domain % 3],
            slots: 17,
            work_s: 0.02,
            queue: 34,
            stream: (8, 0.02),
            warm_s: 1.1,
            engine: Some(("m1", format!("d{domain}"))),
            deadly_part: has_trouble().then_some(DEADLY),
        };
        let server = Server::start(&self.store, &format!("i-{number}"), kind);
        self.servers.lock().unwrap().push(server);
    }

    /// Starts the servers that have crashed again, under new ids.
    fn restart_crashed(&self) {
        let mut seen: Vec<(String, f64)> = Vec::new();
        let mut number = GROUPS * 2;
        while !self.is_over.load(Ordering::SeqCst) {
            base::sleep(0.05);
            let ended: Vec<String> = {
                let servers = self.servers.lock().unwrap();
                let ended = servers.iter().filter(|it| it.has_ended.load(Ordering::SeqCst));
                ended.map(|it| it.id.clone()).collect()
            };
            for id in ended {
                if !seen.iter().any(|it| it.0 == id) {
                    seen.push((id, now()));
                }
            }
            for entry in seen.iter_mut().filter(|it| it.1 + BACK_S <= now()) {
                entry.1 = f64::INFINITY;
                number += 1;
                self.add_server(number, number % 2);
            }
        }
    }

    fn open_groups(&self) -> usize {
        self.servers.lock().unwrap().iter().filter(|it| it.is_open()).count()
    }

    /// The requests that servers began to run, by attempt.
    fn begun(&self) -> HashSet<String> {
        let servers = self.servers.lock().unwrap();
        let mut begun = HashSet::new();
        for server in servers.iter() {
            let arrivals = server.arrivals.lock().unwrap();
            begun.extend(arrivals.iter().filter(|it| it.has_run).map(|it| it.attempt.clone()));
        }
        begun
    }
}

/// A request whose prompt has the parts `first`, `second` and one of its own.
fn request(kind: &str, number: u32, first: &str, second: &str) -> Request {
    let prompt = format!("{first}:40,{second}:300,{:08x}:334", 0xe000_0000u32 + number);
    Request {
        method: "POST",
        path: format!("/note/{number:x}"),
        attempt: format!("{kind}.{number}"),
        key: "key-1",
        deadline_ms: 6000,
        fields: format!("Model: m1\r\nToken-Count: 674,174\r\nPrompt-Prefix: {prompt}\r\n"),
        body: "{\"ask\":1}",
    }
}

pub fn run() -> bool {
    let store = Store::start();
    store.append("keyed.op", "config", CONFIG.as_bytes());
    let world = Arc::new(World { store, servers: Mutex::default(), is_over: AtomicBool::new(false) });
    for number in 1..=GROUPS * 2 {
        world.add_server(number, number % 2);
    }
    let mut fleet = Fleet::start(&world.store, GATEWAYS);
    fleet.wait_ready(20.0);
    base::sleep_until(11.0);
    while world.open_groups() < GROUPS {
        if now() > 30.0 {
            record(&format!("only {} groups are open", world.open_groups()));
            fleet.give_up();
        }
        base::sleep(0.1);
    }
    base::sleep(1.0);
    let restarting = Arc::clone(&world);
    let restarting = std::thread::spawn(move || restarting.restart_crashed());
    let (mut calls, mut number) = (Vec::new(), 0u32);
    let mut send = |kind: &str, first: &str, second: &str| {
        number += 1;
        let gateway = &fleet.gateways[(base::random() % GATEWAYS as u64) as usize];
        let request = request(kind, number, first, second);
        calls.push((now(), kind.to_string(), client::spawn(&gateway.name, gateway.front, request)));
    };
    // The application's prompts so far.
    record("phase 1: sound requests with the parts 5c1e07a2, 91bd3f06");
    for _ in 0..60 {
        send("sound", "5c1e07a2", "91bd3f06");
        base::sleep(0.15);
    }
    // A new version of the application brings a new second part. Two of its first requests have the
    // deadly part; sound ones share their caller and the second part.
    let phase2 = now();
    record("phase 2: requests with the new second part 77aa0002, the first two with the deadly part");
    send("deadly", DEADLY, "77aa0002");
    base::sleep(0.9);
    send("deadly", DEADLY, "77aa0002");
    base::sleep(0.9);
    for round in 0..150 {
        if round % 8 == 7 {
            send("deadly", DEADLY, "77aa0002");
        }
        send("sound", "5c1e07a2", "77aa0002");
        base::sleep(0.15);
    }
    let end = now();
    let mut outcomes = Vec::new();
    for (at, kind, call) in calls {
        outcomes.push((at, kind, call.join().unwrap()));
    }
    world.is_over.store(true, Ordering::SeqCst);
    restarting.join().unwrap();
    if !fleet.all_run() {
        fleet.give_up();
    }
    let crashes: Vec<f64> = {
        let servers = world.servers.lock().unwrap();
        let mut crashes: Vec<f64> =
            servers.iter().filter_map(|it| *it.crashed_at.lock().unwrap()).collect();
        crashes.sort_by(f64::total_cmp);
        crashes
    };
    let crash = crashes.get(4).or(crashes.last()).copied();
    let begun = world.begun();
    let share = |from: f64, to: f64| {
        let sound = outcomes.iter().filter(|it| it.1 == "sound" && it.0 >= from && it.0 < to);
        let (mut all, mut ran) = (0, 0);
        for (_, _, outcome) in sound {
            all += 1;
            ran += usize::from(begun.contains(&outcome.attempt));
        }
        (ran, all)
    };
    let before = share(0.0, phase2);
    let from = crash.map_or(phase2, |at| at + 2.0 * CONTACT_S);
    let after = share(from, end);
    let text = format!(
        "crashes at {crashes:.2?}; sound requests that began at the first attempt: {} of {} before, \
         {} of {} from {from:.2} s (2 x contactMs after the fifth or last crash) to {end:.2} s",
        before.0, before.1, after.0, after.1
    );
    record(&text);
    println!("{text}");
    let mut causes = std::collections::BTreeMap::new();
    for (_, kind, outcome) in outcomes.iter().filter(|it| it.0 >= from) {
        *causes.entry((kind.clone(), outcome.status, outcome.text.clone())).or_insert(0) += 1;
    }
    println!("answers after that: {causes:?}");
    record(&format!("answers after that: {causes:?}"));
    if before.1 < 20 || after.1 < 20 {
        return true;
    }
    let (before, after) = (before.0 as f64 / before.1 as f64, after.0 as f64 / after.1 as f64);
    after >= before / 2.0
}
