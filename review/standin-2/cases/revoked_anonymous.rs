//! A revoked key at a machine that the store turns away, on a route that needs no key.

use std::net::Ipv4Addr;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Request};
use crate::gateway::{Gateway, Machine, Ports};
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;
use crate::{Verdict, has_trouble};

/// Time from the acknowledgement of the revocation to the first judged request: revokeMs and more.
const JUDGED_AFTER: Duration = Duration::from_millis(5_500);

/// Time for which the store turns the machine away.
const REFUSED_FOR: Duration = Duration::from_millis(9_000);

pub fn run(record: &Record) -> Verdict {
    let store = Store::new();
    let one = r#"{"name":"hule930","apiKeys":["key-1"],"priority":1}"#;
    let other = r#"{"name":"wabo412","apiKeys":["key-2"],"priority":1}"#;
    let first = super::config(1, &format!("[{one},{other}]"));
    store.append("keyed.op", "config", first.as_bytes());
    let server = Server::start(&store, "i-1", ("booking", "zilina-a"), vec![b'x'; 800], record);
    let door = store.open();
    let ip = Ipv4Addr::new(127, 0, 0, 12);
    let machine = Machine {
        name: "edge-1".into(),
        ip,
        ports: Ports::find(&[ip]),
        store: door.address,
        zone: "zilina-a".into(),
    };
    let mut gateway = Gateway::start_ready(machine, record);
    thread::sleep(Duration::from_millis(4_000));
    let front = gateway.machine.front();
    let send = |path: &str, attempt: &str| {
        let request = Request {
            method: "GET",
            path,
            attempt,
            key: Some("key-1"),
            deadline_ms: 1_000,
            body: "",
        };
        record.note(&format!("client sends {attempt}, {path}, Credential: key-1"));
        let answer = Client::connect(front).and_then(|mut it| it.call(&request));
        let text = answer.as_ref().map_or_else(|it| it.to_string(), |it| it.line.clone());
        record.note(&format!("client gets {text} for {attempt}"));
    };
    send("/open/1", "before-open");
    send("/look/1", "before-look");
    if server.runs.lock().expect("the runs").len() != 2 {
        return Verdict::CannotRun;
    }
    if has_trouble() {
        record.note("the store turns edge-1 away with 503, and serves the operator");
        door.is_refused.store(true, Ordering::SeqCst);
    }
    let refused = Instant::now();
    thread::sleep(Duration::from_millis(300));
    store.append("keyed.op", "config", super::config(2, &format!("[{other}]")).as_bytes());
    let acknowledged = Instant::now();
    record.note("version 2, without key-1 and its tenant hule930, is acknowledged");
    thread::sleep(JUDGED_AFTER);
    for number in 0..8 {
        send("/open/1", &format!("open-{number}"));
        send("/look/1", &format!("look-{number}"));
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(REFUSED_FOR.saturating_sub(refused.elapsed()));
    door.is_refused.store(false, Ordering::SeqCst);
    if gateway.has_ended() {
        return Verdict::CannotRun;
    }
    let runs = server.runs.lock().expect("the runs");
    let late = runs.iter().filter(|it| it.at.duration_since(acknowledged) > JUDGED_AFTER / 2);
    let foreign = late.filter(|it| it.tenant.as_deref() == Some("hule930")).count();
    record.note(&format!("{foreign} requests ran as hule930, which holds no key any more"));
    if foreign > 0 { Verdict::Broken } else { Verdict::Held }
}
