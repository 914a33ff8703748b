//! A revoked key at a machine that is added right after the store has come back from an older copy.

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

/// `revokeMs` of the settings.
const REVOKE: Duration = Duration::from_millis(5_000);

/// Time from the acknowledgement to the moment at which the store goes away, and for which it does.
const DRILL_AFTER: Duration = Duration::from_millis(4_300);
const AWAY_FOR: Duration = Duration::from_millis(500);

/// Time from the return of the store until the operator has written its newest version again.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1_000);

pub fn run(record: &Record) -> Verdict {
    let store = Store::new();
    let one = r#"{"name":"hule930","apiKeys":["key-1"],"priority":1}"#;
    let other = r#"{"name":"wabo412","apiKeys":["key-2"],"priority":1}"#;
    let second = super::config(2, &format!("[{other}]"));
    let first = super::config(1, &format!("[{one},{other}]"));
    store.append("keyed.op", "config", first.as_bytes());
    let server = Server::start(&store, "i-1", ("booking", "zilina-a"), vec![b'x'; 800], record);
    let ips = [13, 14, 15].map(|last| Ipv4Addr::new(127, 0, 0, last));
    let ports = Ports::find(&ips);
    let zones = ["zilina-a", "zilina-b", "martin-c"];
    let machine = |number: usize| Machine {
        name: format!("edge-{}-1", zones[number]),
        ip: ips[number],
        ports,
        store: store.open().address,
        zone: zones[number].into(),
    };
    let gateways = [0, 1].map(|number| Gateway::start_ready(machine(number), record));
    thread::sleep(Duration::from_millis(5_000));
    let send = |gateway: &Machine, attempt: &str| {
        let request = Request {
            method: "POST",
            path: "/book/1",
            attempt,
            key: Some("key-1"),
            deadline_ms: 1_000,
            body: "slot",
        };
        let name = &gateway.name;
        record.note(&format!("client sends {attempt} to {name}, Credential: key-1"));
        let answer = Client::connect(gateway.front()).and_then(|mut it| it.call(&request));
        let text = answer.as_ref().map_or_else(|it| it.to_string(), |it| it.line.clone());
        record.note(&format!("client gets {text} for {attempt}"));
        answer.map_or(0, |it| it.status())
    };
    for (number, gateway) in gateways.iter().enumerate() {
        if send(&gateway.machine, &format!("before-{number}")) != 200 {
            return Verdict::CannotRun;
        }
    }
    let copy = store.copy();
    thread::sleep(Duration::from_millis(500));
    store.append("keyed.op", "config", second.as_bytes());
    let acknowledged = Instant::now();
    record.note("version 2, without key-1, is acknowledged");
    thread::sleep(Duration::from_millis(1_500));
    for (number, gateway) in gateways.iter().enumerate() {
        if send(&gateway.machine, &format!("known-{number}")) != 401 {
            return Verdict::CannotRun;
        }
    }
    thread::sleep(DRILL_AFTER.saturating_sub(acknowledged.elapsed()));
    if has_trouble() {
        record.note("the store is away");
        store.is_down.store(true, Ordering::SeqCst);
    }
    thread::sleep((DRILL_AFTER + AWAY_FOR).saturating_sub(acknowledged.elapsed()));
    if has_trouble() {
        store.restore(&copy);
        store.is_down.store(false, Ordering::SeqCst);
        record.note("the store is back from a copy of before version 2, in the next era");
    }
    let back = Instant::now();
    thread::sleep(Duration::from_millis(50));
    let mut added = Gateway::start_ready(machine(2), record);
    let mut has_written = false;
    let mut number = 0;
    while acknowledged.elapsed() < REVOKE + Duration::from_millis(2_500) {
        if has_trouble() && !has_written && back.elapsed() >= WRITTEN_AGAIN {
            store.append("keyed.op", "config", second.as_bytes());
            record.note("the operator has written version 2 again");
            has_written = true;
        }
        if acknowledged.elapsed() > REVOKE + Duration::from_millis(50) {
            send(&added.machine, &format!("late-{number}"));
            send(&gateways[0].machine, &format!("other-{number}"));
            number += 1;
        }
        thread::sleep(Duration::from_millis(50));
    }
    if added.has_ended() {
        return Verdict::CannotRun;
    }
    let runs = server.runs.lock().expect("the runs");
    let late: Vec<&str> =
        runs.iter().map(|it| it.attempt.as_str()).filter(|it| it.contains("late-")).collect();
    let others = runs.iter().filter(|it| it.attempt.starts_with("other-")).count();
    record.note(&format!(
        "{} requests with the revoked key ran through the added machine, {others} through another",
        late.len()
    ));
    if late.is_empty() && others == 0 { Verdict::Held } else { Verdict::Broken }
}
