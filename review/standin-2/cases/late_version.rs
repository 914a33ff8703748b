//! A write of the operator that the store carries out late, after a newer version has taken a key away, and
//! a machine that is added after that.

use std::net::Ipv4Addr;
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

/// Time after which the operator, without an answer, writes version 2 again.
const WRITTEN_AGAIN: Duration = Duration::from_millis(1_000);

/// Time from the first write of version 2 to version 3.
const NEXT_VERSION: Duration = Duration::from_millis(2_000);

/// Time from the first write of version 2 until the store carries it out: 6 s at most.
const CARRIED_OUT: Duration = Duration::from_millis(5_500);

/// Time for which requests are judged.
const JUDGED_FOR: Duration = Duration::from_millis(3_000);

pub fn run(record: &Record) -> Verdict {
    let store = Store::new();
    let one = r#"{"name":"hule930","apiKeys":["key-1"],"priority":1}"#;
    let other = r#"{"name":"wabo412","apiKeys":["key-2"],"priority":1}"#;
    let publish = |version: u64, tenants: &str| {
        store.append("keyed.op", "config", super::config(version, tenants).as_bytes());
    };
    let both = format!("[{one},{other}]");
    publish(1, &both);
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
    let mut gateways = [0, 1].map(|number| Gateway::start_ready(machine(number), record));
    thread::sleep(Duration::from_millis(5_000));
    let send = |gateway: &Machine, attempt: &str, key: &str| {
        let request = Request {
            method: "POST",
            path: "/book/1",
            attempt,
            key: Some(key),
            deadline_ms: 1_000,
            body: "slot",
        };
        let answer = Client::connect(gateway.front()).and_then(|mut it| it.call(&request));
        let text = answer.as_ref().map_or_else(|it| it.to_string(), |it| it.line.clone());
        let name = &gateway.name;
        record.note(&format!("client sends {attempt} with {key} to {name}, and gets {text}"));
        answer.map_or(0, |it| it.status())
    };
    for (number, gateway) in gateways.iter().enumerate() {
        if send(&gateway.machine, &format!("before-{number}"), "key-1") != 200 {
            return Verdict::CannotRun;
        }
    }
    let first_write = Instant::now();
    match has_trouble() {
        true => record.note("the operator writes version 2, and gets no answer"),
        false => {
            publish(2, &both);
            record.note("version 2 is acknowledged");
        }
    }
    thread::sleep(WRITTEN_AGAIN);
    if has_trouble() {
        publish(2, &both);
        record.note("the operator writes version 2 again, and it is acknowledged");
    }
    thread::sleep(NEXT_VERSION.saturating_sub(first_write.elapsed()));
    publish(3, &format!("[{other}]"));
    let acknowledged = Instant::now();
    record.note("version 3, without key-1, is acknowledged");
    thread::sleep(Duration::from_millis(1_500));
    for (number, gateway) in gateways.iter().enumerate() {
        if send(&gateway.machine, &format!("known-{number}"), "key-1") != 401 {
            return Verdict::CannotRun;
        }
    }
    thread::sleep(CARRIED_OUT.saturating_sub(first_write.elapsed()));
    if has_trouble() {
        publish(2, &both);
        record.note("the store carries out the first write of version 2");
    }
    thread::sleep(Duration::from_millis(300));
    let mut added = Gateway::start_ready(machine(2), record);
    thread::sleep((REVOKE + Duration::from_millis(50)).saturating_sub(acknowledged.elapsed()));
    let judged = Instant::now();
    for number in 0.. {
        if judged.elapsed() > JUDGED_FOR {
            break;
        }
        send(&added.machine, &format!("late-{number}"), "key-1");
        send(&gateways[0].machine, &format!("other-{number}"), "key-1");
        send(&gateways[0].machine, &format!("sound-{number}"), "key-2");
        thread::sleep(Duration::from_millis(100));
    }
    if added.has_ended() || gateways.iter_mut().any(Gateway::has_ended) {
        return Verdict::CannotRun;
    }
    let runs = server.runs.lock().expect("the runs");
    let count = |name: &str| runs.iter().filter(|it| it.attempt.starts_with(name)).count();
    let (late, others, sound) = (count("late-"), count("other-"), count("sound-"));
    record.note(&format!(
        "of the bookings with the revoked key, {late} ran through the added machine and {others} \
         through another; of those with a sound key, {sound} ran through that one"
    ));
    if late + others == 0 { Verdict::Held } else { Verdict::Broken }
}
