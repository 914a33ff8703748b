//! The platform's store, as PROTOCOL.md describes it: topics with one partition, conditional appends,
//! reads that wait, the newest record of each key, and eras.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, response};

/// Records of a topic; the index is the offset.
type Log = Vec<(String, Vec<u8>)>;

/// Maximum number of records in a page of the newest ones.
const PAGE: usize = 500;

#[derive(Clone, Default)]
pub struct Copy {
    topics: BTreeMap<String, Log>,
}

struct Contents {
    topics: BTreeMap<String, Log>,
    era: u64,
}

/// The store. Each gateway has a door of its own, so that the store can turn one of them away.
pub struct Store {
    contents: Mutex<Contents>,
    changed: Condvar,
    /// Whether calls at all doors are answered with 503.
    pub is_down: AtomicBool,
}

/// An address at which the store answers one gateway.
pub struct Door {
    pub address: SocketAddr,
    /// Whether the store turns this gateway away with 503.
    pub is_refused: AtomicBool,
    /// Whether the way between the store and this gateway is cut: what is sent is lost.
    pub is_cut: AtomicBool,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let contents = Contents { topics: BTreeMap::new(), era: 1 };
        Arc::new(Self {
            contents: Mutex::new(contents),
            changed: Condvar::new(),
            is_down: AtomicBool::new(false),
        })
    }

    /// Opens a door.
    pub fn open(self: &Arc<Self>) -> Arc<Door> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind the store");
        let address = listener.local_addr().expect("the address of the store");
        let door = Arc::new(Door {
            address,
            is_refused: AtomicBool::new(false),
            is_cut: AtomicBool::new(false),
        });
        let (store, its_door) = (Arc::clone(self), Arc::clone(&door));
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, door) = (Arc::clone(&store), Arc::clone(&its_door));
                thread::spawn(move || store.serve(Connection::new(stream), &door));
            }
        });
        door
    }

    /// Appends a record; it is acknowledged when this returns.
    pub fn append(&self, topic: &str, key: &str, value: &[u8]) {
        let mut contents = self.contents.lock().expect("the store");
        contents.topics.entry(topic.into()).or_default().push((key.into(), value.to_vec()));
        self.changed.notify_all();
    }

    /// Copies all topics.
    pub fn copy(&self) -> Copy {
        Copy { topics: self.contents.lock().expect("the store").topics.clone() }
    }

    /// Comes back from a copy: later records are lost, and the era rises by one.
    pub fn restore(&self, copy: &Copy) {
        let mut contents = self.contents.lock().expect("the store");
        contents.topics = copy.topics.clone();
        contents.era += 1;
        self.changed.notify_all();
    }

    /// The newest value of a key.
    pub fn newest(&self, topic: &str, key: &str) -> Option<Vec<u8>> {
        let contents = self.contents.lock().expect("the store");
        let found = contents.topics.get(topic)?.iter().rev().find(|(it, _)| it == key)?;
        Some(found.1.clone())
    }

    fn is_away(&self, door: &Door) -> bool {
        self.is_down.load(Ordering::SeqCst) || door.is_refused.load(Ordering::SeqCst)
    }

    fn serve(&self, mut connection: Connection, door: &Door) {
        while let Ok(call) = connection.read_message() {
            let was_cut = door.is_cut.load(Ordering::SeqCst);
            let answer = match self.is_away(door) {
                _ if was_cut => (0, Vec::new()),
                true => (503, Vec::new()),
                false => self.answer(&call, door),
            };
            if was_cut || door.is_cut.load(Ordering::SeqCst) {
                // A connection that has lost something returns nothing further.
                while connection.read_message().is_ok() {}
                return;
            }
            let era = self.contents.lock().expect("the store").era.to_string();
            let fields = [("Store-Era", era.as_str())];
            if connection.write(&response(answer.0, &fields, &answer.1)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message, door: &Door) -> (u16, Vec<u8>) {
        let topic = call.query("topic").unwrap_or_default();
        match call.path() {
            "/api/log-append" => {
                // The system may not write to these two.
                if matches!(topic.as_str(), "keyed.op" | "keyed.servers") {
                    return (403, Vec::new());
                }
                self.answer_append(&topic, &call.body, call.query("at"))
            }
            "/api/log-read" => self.answer_read(&topic, call, door),
            "/api/log-newest" => (200, self.newest_page(&topic, call.query("after"))),
            _ => (404, Vec::new()),
        }
    }

    fn answer_append(&self, topic: &str, body: &[u8], at: Option<String>) -> (u16, Vec<u8>) {
        let mut contents = self.contents.lock().expect("the store");
        let log = contents.topics.entry(topic.into()).or_default();
        let end = log.len();
        if at.is_some_and(|at| at != end.to_string()) {
            return (412, format!("{{\"endOffset\":{end}}}").into_bytes());
        }
        let mut rest = body;
        while rest.len() > 4 {
            let size = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + size];
            let key = 1 + record[0] as usize;
            let name = String::from_utf8_lossy(&record[1..key]).into_owned();
            log.push((name, record[key..].to_vec()));
            rest = &rest[4 + size..];
        }
        let answer = format!("{{\"offset\":{end},\"endOffset\":{}}}", log.len());
        self.changed.notify_all();
        (200, answer.into_bytes())
    }

    fn answer_read(&self, topic: &str, call: &Message, door: &Door) -> (u16, Vec<u8>) {
        let number = |name: &str| call.query(name).and_then(|it| it.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let due = Instant::now() + Duration::from_millis(number("waitMs").unwrap_or(0));
        let mut contents = self.contents.lock().expect("the store");
        loop {
            if self.is_away(door) {
                return (503, Vec::new());
            }
            let end = contents.topics.get(topic).map_or(0, Vec::len);
            if end < from {
                return (410, b"{\"firstOffset\":0}".to_vec());
            }
            let left = due.saturating_duration_since(Instant::now());
            if end > from || left.is_zero() {
                break;
            }
            let slice = left.min(Duration::from_millis(20));
            contents = self.changed.wait_timeout(contents, slice).expect("the store").0;
        }
        let empty = Vec::new();
        let log = contents.topics.get(topic).unwrap_or(&empty);
        let mut body = (log.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0_u64.to_be_bytes());
        for (key, value) in &log[from..] {
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        (200, body)
    }

    fn newest_page(&self, topic: &str, after: Option<String>) -> Vec<u8> {
        let contents = self.contents.lock().expect("the store");
        let empty = Vec::new();
        let log = contents.topics.get(topic).unwrap_or(&empty);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in log.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|key, (_, value)| {
            !value.is_empty() && after.as_deref().is_none_or(|after| *key > after)
        });
        let item = |(key, (offset, value)): (&&str, &(usize, &[u8]))| {
            let value = base64(value);
            format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
        };
        let items: Vec<String> = newest.iter().take(PAGE).map(item).collect();
        let (has_more, end) = (newest.len() > PAGE, log.len());
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"endOffset\":{end}}}").into_bytes()
    }
}

/// Standard Base64.
fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let at = |index: usize| u32::from(group.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= group.len() { digit } else { '=' });
        }
    }
    text
}
