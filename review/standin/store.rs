//! Stand-in of the platform's store: keyed topics with one partition, as PROTOCOL.md tells them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::base::{self, Message, Wire, response};

/// Time of silence after which a server's entry is removed: three heartbeat intervals.
const ENTRY_LIFE_S: f64 = 3.6;

/// Largest number of bytes of records in the answer to a read.
const MAX_READ: usize = 1 << 20;

#[derive(Default)]
struct State {
    topics: BTreeMap<String, Vec<(String, Vec<u8>)>>,
    /// When each listed server last wrote.
    heard: BTreeMap<String, f64>,
}

pub struct Store {
    pub address: SocketAddr,
    state: Mutex<State>,
    changed: Condvar,
}

impl Store {
    pub fn start() -> Arc<Self> {
        let (listener, address) = base::listen([127, 0, 0, 1]);
        let store =
            Arc::new(Self { address, state: Mutex::default(), changed: Condvar::new() });
        let accepting = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&accepting);
                std::thread::spawn(move || store.serve(Wire::new(stream)));
            }
        });
        let expiring = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                base::sleep(0.1);
                expiring.expire();
            }
        });
        store
    }

    /// Appends a record; an empty value drops the key.
    pub fn append(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.state.lock().unwrap();
        state.topics.entry(topic.into()).or_default().push((key.into(), value.to_vec()));
        self.changed.notify_all();
    }

    /// Writes the entry of a server. Returns whether it was not listed.
    pub fn list(&self, id: &str, entry: &str) -> bool {
        let is_new = self.state.lock().unwrap().heard.insert(id.into(), base::now()).is_none();
        self.append("keyed.servers", id, entry.as_bytes());
        is_new
    }

    /// Removes the entry of a server.
    pub fn unlist(&self, id: &str) {
        let is_known = self.state.lock().unwrap().heard.remove(id).is_some();
        if is_known {
            self.append("keyed.servers", id, b"");
        }
    }

    /// Removes the entries of servers that have been silent for too long.
    fn expire(&self) {
        let now = base::now();
        let silent: Vec<String> = {
            let state = self.state.lock().unwrap();
            let heard = state.heard.iter();
            heard.filter(|(_, at)| now - **at > ENTRY_LIFE_S).map(|(id, _)| id.clone()).collect()
        };
        for id in silent {
            base::record(&format!("store: entry of {id} removed after three silent intervals"));
            self.unlist(&id);
        }
    }

    fn serve(&self, mut wire: Wire) {
        while let Ok(call) = wire.read_message() {
            let (status, body) = self.answer(&call);
            // The store's usual answer takes 4 ms.
            base::sleep(0.004);
            let era = [("Store-Era", "1".to_string())];
            if wire.send(&response(status, &era, &body)).is_err() {
                return;
            }
        }
    }

    fn answer(&self, call: &Message) -> (u16, Vec<u8>) {
        let topic = call.query("topic").unwrap_or_default();
        match call.path() {
            "/api/log-append" => {
                let at = call.query("at").and_then(|it| it.parse::<usize>().ok());
                self.answer_append(&topic, &call.body, at)
            }
            "/api/log-newest" => self.answer_newest(&topic, call.query("after")),
            "/api/log-read" => {
                let number = |name| call.query(name).and_then(|it| it.parse().ok()).unwrap_or(0);
                self.answer_read(&topic, number("from"), number("waitMs").min(30_000) as u64)
            }
            _ => (404, Vec::new()),
        }
    }

    fn answer_append(&self, topic: &str, body: &[u8], at: Option<usize>) -> (u16, Vec<u8>) {
        let mut state = self.state.lock().unwrap();
        let log = state.topics.entry(topic.into()).or_default();
        let offset = log.len();
        if at.is_some_and(|at| at != offset) {
            return (412, format!("{{\"endOffset\":{offset}}}").into_bytes());
        }
        let mut rest = body;
        while rest.len() > 4 {
            let size = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            let record = &rest[4..4 + size];
            let key_size = record[0] as usize;
            let key = String::from_utf8_lossy(&record[1..1 + key_size]).into_owned();
            log.push((key, record[1 + key_size..].to_vec()));
            rest = &rest[4 + size..];
        }
        let end = log.len();
        self.changed.notify_all();
        (200, format!("{{\"offset\":{offset},\"endOffset\":{end}}}").into_bytes())
    }

    fn answer_newest(&self, topic: &str, after: Option<String>) -> (u16, Vec<u8>) {
        let state = self.state.lock().unwrap();
        let empty = Vec::new();
        let log = state.topics.get(topic).unwrap_or(&empty);
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in log.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|key, (_, value)| {
            !value.is_empty() && after.as_deref().is_none_or(|after| *key > after)
        });
        let has_more = newest.len() > 500;
        let items: Vec<String> = newest
            .iter()
            .take(500)
            .map(|(key, (offset, value))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{offset}}}", base::base64(value))
            })
            .collect();
        let items = items.join(",");
        let text =
            format!("{{\"items\":[{items}],\"hasMore\":{has_more},\"endOffset\":{}}}", log.len());
        (200, text.into_bytes())
    }

    fn answer_read(&self, topic: &str, from: usize, wait_ms: u64) -> (u16, Vec<u8>) {
        let state = self.state.lock().unwrap();
        let is_waiting =
            |state: &mut State| state.topics.get(topic).map_or(0, Vec::len) == from;
        let wait = Duration::from_millis(wait_ms);
        let (state, _) = self.changed.wait_timeout_while(state, wait, is_waiting).unwrap();
        let empty = Vec::new();
        let log = state.topics.get(topic).unwrap_or(&empty);
        if log.len() < from {
            return (410, b"{\"firstOffset\":0}".to_vec());
        }
        let mut body = Vec::new();
        body.extend_from_slice(&(log.len() as u64).to_be_bytes());
        body.extend_from_slice(&0u64.to_be_bytes());
        for (key, value) in &log[from..] {
            if body.len() > MAX_READ {
                break;
            }
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        (200, body)
    }
}
