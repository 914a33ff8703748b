//! Rule MIXED: what clients read on streams.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::base::{self, Wire, now, record};
use crate::gateway::Fleet;
use crate::has_trouble;
use crate::server::{Kind, Server};
use crate::store::Store;

const GATEWAYS: usize = 9;

/// Groups of four model servers, each in a domain of its own.
const GROUPS: usize = 8;

/// Requests a second.
const RATE: f64 = 150.0;

/// Time that clients wait.
const DEADLINE_S: f64 = 6.0;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"note","host":"desk.example","pathPrefix":"/note/","kind":"streaming","resumeStreams":true,
"service":"marigold-desk","timeoutMs":5000,"targetLatencyMs":300,"targetGapMs":200,"priority":1,
"maxAttempts":2,"allowAnonymous":false,"sessionAffinity":true}],
"services":[{"name":"marigold-desk","maxConnections":288,"healthPath":"/health","engine":{
"slots":17,"kvCapacity":1860000,"models":[{"name":"m0","size":4,"share":1.0,"pace":1.0,"loadS":16.0,"warmS":1.6}],
"step_ms":7.8,"per_seq_ms":0.0947,"context_per_k":0.0096,"read_per_s":45900.0,"pairs_per_m":0.433,
"chunk":2048,"stride":5,"report_lag_ms":200,"loadsPerS":5.0,"loads_at_once":7,"cachedPrefixes":1,
"formMs":300.0,"far_x":2.5,"usual":{"prompt":674,"answer":174}}}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"team","apiKeys":["key-1"]}]}"#;

/// What a client found on its connection.
#[derive(Clone, Debug, PartialEq)]
enum Found {
    /// A complete stream.
    Complete,
    /// Another answer with this status.
    Status(u16),
    /// A stream that was cut: the connection ended, or the client's deadline passed.
    Cut,
    /// Bytes where a chunk was to begin that begin none.
    NoAnswer(String),
}

/// Sends a request and reads its answer to the end.
fn call(name: &str, front: SocketAddr, number: u32) -> Found {
    let text = format!(
        "POST /note/{number:x} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: note.{number}\r\n\
         Credential: key-1\r\nDeadline-Ms: {}\r\nModel: m0\r\nToken-Count: 674,174\r\n\
         Prompt-Prefix: 5c1e07a2:40,{:08x}:634\r\nContent-Length: 9\r\n\r\n{{\"ask\":1}}",
        DEADLINE_S * 1e3,
        0xe000_0000u32 + number
    );
    let start = now();
    let mut events = 0;
    let found = (|| {
        let Ok(mut wire) = Wire::connect(front, 1.0) else { return Found::Cut };
        let read = |wire: &mut Wire| {
            let left = (start + DEADLINE_S - now()).max(0.001);
            let _ = wire.stream.set_read_timeout(Some(std::time::Duration::from_secs_f64(left)));
            wire.take_line()
        };
        if wire.send(text.as_bytes()).is_err() {
            return Found::Cut;
        }
        let _ = wire.stream.set_read_timeout(Some(std::time::Duration::from_secs_f64(DEADLINE_S)));
        let Ok(head) = wire.read_head() else { return Found::Cut };
        if head.status() != 200 {
            return Found::Status(head.status());
        }
        loop {
            let Ok(line) = read(&mut wire) else { return Found::Cut };
            let Ok(size) = usize::from_str_radix(&line, 16) else {
                let mut lines = vec![line];
                while let Ok(line) = read(&mut wire) {
                    if line.is_empty() {
                        break;
                    }
                    lines.push(line);
                }
                return Found::NoAnswer(lines.join(" | "));
            };
            let Ok(_) = wire.take(size + 2) else { return Found::Cut };
            if size == 0 {
                return Found::Complete;
            }
            events += 1;
        }
    })();
    let took = now() - start;
    record(&format!(
        "client: note.{number} at {name} sent {start:.3}: {found:?} after {events} chunks, {took:.2} s"
    ));
    found
}

pub fn run() -> bool {
    let store = Store::start();
    store.append("keyed.op", "config", CONFIG.as_bytes());
    let zones = ["pinetown", "umlazi", "verulam"];
    let servers: Vec<Arc<Server>> = (0..GROUPS * 4)
        .map(|index| {
            let kind = Kind {
                service: "marigold-desk",
                zone: zones[index % 3],
                slots: 17,
                work_s: 0.02,
                queue: 34,
                stream: (30, 0.25),
                warm_s: 1.6,
                engine: Some(("m0", format!("d{}", index % GROUPS))),
                deadly_part: None,
            };
            Server::start(&store, &format!("i-{}", index + 1), kind)
        })
        .collect();
    let mut fleet = Fleet::start(&store, GATEWAYS);
    fleet.wait_ready(20.0);
    base::sleep_until(11.0);
    let heads = || -> Vec<Arc<Server>> { servers.iter().filter(|it| it.is_open()).cloned().collect() };
    while heads().len() < GROUPS {
        if now() > 30.0 {
            record(&format!("only {} groups are open", heads().len()));
            fleet.give_up();
        }
        base::sleep(0.1);
    }
    base::sleep(1.0);
    let heads = heads();
    let start = now();
    let troubles = std::thread::spawn(move || {
        // Four servers of 32 fail part of their requests.
        if has_trouble() {
            for server in &heads[4..] {
                record(&format!("server {} fails 0.45 of its requests for 6.5 s", server.id));
                *server.error_share.lock().unwrap() = 0.45;
            }
        }
        let failing: Vec<_> = heads[..4]
            .iter()
            .zip([2.0, 3.0, 4.0, 5.0])
            .map(|(server, at)| {
                let server = Arc::clone(server);
                std::thread::spawn(move || {
                    base::sleep_until(start + at);
                    // A sound server may fall silent for a second or so.
                    server.silence(1.2);
                    base::sleep(1.6);
                    if has_trouble() {
                        server.go_dark();
                    }
                })
            })
            .collect();
        base::sleep_until(start + 6.5);
        heads[4..].iter().for_each(|server| *server.error_share.lock().unwrap() = 0.0);
        failing.into_iter().for_each(|it| it.join().unwrap());
    });
    let mut calls = Vec::new();
    for number in 0..(RATE * 12.0) as u32 {
        base::sleep_until(start + f64::from(number) / RATE);
        let gateway = &fleet.gateways[(base::random() % GATEWAYS as u64) as usize];
        let (name, front) = (gateway.name.clone(), gateway.front);
        calls.push(std::thread::spawn(move || call(&name, front, number)));
    }
    let found: Vec<Found> = calls.into_iter().map(|it| it.join().unwrap()).collect();
    troubles.join().unwrap();
    if !fleet.all_run() {
        fleet.give_up();
    }
    let count = |wanted: fn(&Found) -> bool| found.iter().filter(|it| wanted(it)).count();
    let broken = count(|it| matches!(it, Found::NoAnswer(_)));
    let text = format!(
        "{} requests: {} complete streams, {} other answers, {} cut, {broken} with bytes that are no answer",
        found.len(),
        count(|it| *it == Found::Complete),
        count(|it| matches!(it, Found::Status(_))),
        count(|it| *it == Found::Cut)
    );
    record(&text);
    println!("{text}");
    for it in found.iter().filter(|it| matches!(it, Found::NoAnswer(_))).take(3) {
        println!("  {it:?}");
    }
    broken == 0
}
