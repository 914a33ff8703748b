//! Clients that pause before they read the answer to a booking.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, Request};
use crate::gateway::{Gateway, Machine, Ports};
use crate::record::Record;
use crate::server::Server;
use crate::store::Store;
use crate::{Verdict, has_trouble};

/// Clients; each sends one booking whose answer it reads late.
const CLIENTS: usize = 8;

/// Deadline of the bookings, the longest on the pages.
const DEADLINE_MS: u64 = 8_000;

/// Time for which a client does not read.
const PAUSE: Duration = Duration::from_millis(5_000);

/// Size of the servers' answers, the largest of the bookings' on the pages.
const ANSWER_BYTES: usize = 4_800;

/// More unanswered requests than this break the rule.
const ALLOWED: usize = 3;

pub fn run(record: &Record) -> Verdict {
    let store = Store::new();
    let tenants = r#"[{"name":"hule930","apiKeys":["key-1"],"priority":1}]"#;
    store.append("keyed.op", "config", super::config(1, tenants).as_bytes());
    let body = vec![b'x'; ANSWER_BYTES];
    let server = Server::start(&store, "i-1", ("booking", "zilina-a"), body, record);
    let door = store.open();
    let ip = Ipv4Addr::new(127, 0, 0, 11);
    let machine = Machine {
        name: "edge-1".into(),
        ip,
        ports: Ports::find(&[ip]),
        store: door.address,
        zone: "zilina-a".into(),
    };
    let mut gateway = Gateway::start_ready(machine, record);
    // In touch: nothing disturbs the machine for longer than contactMs.
    thread::sleep(Duration::from_millis(4_000));
    let front = gateway.machine.front_v4();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let record = record.clone();
            thread::spawn(move || book(front, number, &record))
        })
        .collect();
    let outcomes: Vec<Option<bool>> =
        clients.into_iter().map(|it| it.join().unwrap_or(None)).collect();
    if gateway.has_ended() || outcomes.contains(&None) {
        return Verdict::CannotRun;
    }
    let runs = server.runs.lock().expect("the runs").len();
    let lost = outcomes.iter().filter(|it| **it == Some(false)).count();
    record.note(&format!("{runs} runs, {lost} of {CLIENTS} bookings without a whole answer"));
    if lost > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Makes a first booking, then the one whose answer is read late, on the same connection. Returns
/// whether the second one got its whole answer; `None` if the first one did not.
fn book(front: SocketAddrV4, number: usize, record: &Record) -> Option<bool> {
    let mut client = Client::connect_with_small_window(front).ok()?;
    let request = |attempt| Request {
        method: "POST",
        path: "/book/1",
        attempt,
        key: Some("key-1"),
        deadline_ms: DEADLINE_MS,
        body: "slot",
    };
    let first_attempt = format!("first-{number}");
    record.note(&format!("client {number} sends {first_attempt}"));
    let first = client.call(&request(&first_attempt)).ok()?;
    let (line, size) = (&first.line, first.body.len());
    record.note(&format!("client {number}, {first_attempt}: {line}, {size} bytes"));
    if first.status() != 200 || first.body.len() != ANSWER_BYTES {
        return None;
    }
    let attempt = format!("second-{number}");
    let sent = Instant::now();
    record.note(&format!("client {number} sends {attempt} on its kept connection"));
    client.send(&request(&attempt)).ok()?;
    if has_trouble() {
        thread::sleep(PAUSE);
    }
    let answer = client.answer(Duration::from_millis(DEADLINE_MS).saturating_sub(sent.elapsed()));
    let is_whole = matches!(&answer, Ok(it) if it.status() == 200 && it.body.len() == ANSWER_BYTES);
    let text = match &answer {
        Ok(it) => format!("{}, {} bytes", it.line, it.body.len()),
        Err(error) => format!("no whole answer: {error}"),
    };
    let at = sent.elapsed().as_millis();
    record.note(&format!("client {number}, {attempt}, {at} ms after sending: {text}"));
    Some(is_whole)
}
