//! A fake entry: an HTTP server that implements the operators interface as far as the tests need
//! it.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

/// Operator key that the fake entry accepts.
pub const KEY: &str = "operator-key-of-the-tests";

/// Behavior of the fake entry on a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The publication takes effect if its base is in force; otherwise the reply is 409.
    Normal,
    /// The publication takes effect, but the connection is closed without a reply.
    DropReply,
    /// The connection is closed at once, and the publication takes effect 500 ms later.
    DropReplyAndApplyLate,
    /// The connection is closed, and the publication never takes effect.
    DropRequest,
    /// Another publication takes effect first, and the connection is closed without a reply.
    ConflictAndDropReply,
    /// Another publication takes effect first, and the reply is 409 with the changes.
    ConflictWithChanges,
    /// As `ConflictWithChanges`, but the reply does not contain the changes.
    ConflictWithoutChanges,
    /// The reply has this status, and the publication does not take effect.
    Status(u16),
}

/// State of the fake entry, which tests may inspect and change.
pub struct State {
    pub mode: Mode,
    /// Version, publication id and sheet of each configuration, sorted by version.
    pub versions: Vec<(u64, String, String)>,
    /// Method and path, and body, of each request received.
    pub requests: Vec<(String, Value)>,
    /// Reply bodies by method and path, for paths that the fake entry does not implement.
    pub replies: Vec<(&'static str, String)>,
}

/// A fake entry that listens on a loopback port.
pub struct FakeEntry {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl FakeEntry {
    /// Starts a fake entry in which `sheet` is in force as version 17.
    pub fn start(mode: Mode, sheet: &str) -> FakeEntry {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener.local_addr().expect("the listener is bound");
        let versions = vec![(17, "first".to_owned(), sheet.to_owned())];
        let state = State { mode, versions, requests: Vec::new(), replies: Vec::new() };
        let state = Arc::new(Mutex::new(state));
        let shared = state.clone();
        // The thread runs until the test process ends.
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
                // Some tests close the connection early, so an error is not a failure.
                let _ = serve(stream, &shared);
            }
        });
        FakeEntry { address, state }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no test panics with the lock")
    }

    /// Returns the bodies of the requests with this method and path.
    pub fn bodies(&self, request: &str) -> Vec<Value> {
        let state = self.state();
        let matching = state.requests.iter().filter(|(known, _)| known == request);
        matching.map(|(_, body)| body.clone()).collect()
    }
}

/// Reads one request from a connection and writes the reply, if any.
fn serve(stream: TcpStream, shared: &Arc<Mutex<State>>) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream.try_clone()?);
    let mut line = String::new();
    reader.read_line(&mut line)?;
    let request = line.trim_end().trim_end_matches(" HTTP/1.1").to_owned();
    let (mut length, mut authorized) = (0, false);
    loop {
        line.clear();
        reader.read_line(&mut line)?;
        let Some((name, value)) = line.trim_end().split_once(": ") else { break };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => length = value.parse().unwrap_or(0),
            "authorization" => authorized = value == format!("Bearer {KEY}"),
            _ => {}
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    let body = serde_json::from_slice(&body).unwrap_or(Value::Null);
    let reply = match authorized {
        true => reply(&request, &body, shared),
        false => Some((401, json!({"error": {"code": "unauthorized"}}).to_string())),
    };
    let Some((status, text)) = reply else { return Ok(()) };
    let mut stream = stream;
    write!(stream, "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{text}", text.len())
}

/// Returns the status and body of the reply to a request, or `None` to close the connection.
fn reply(request: &str, body: &Value, shared: &Arc<Mutex<State>>) -> Option<(u16, String)> {
    let mut state = shared.lock().expect("no test panics with the lock");
    state.requests.push((request.to_owned(), body.clone()));
    let config = |state: &State, version: u64| {
        let (_, publication, sheet) =
            state.versions.iter().find(|revision| revision.0 == version)?;
        let history = state.versions.iter().filter(|revision| revision.0 <= version);
        let history: Vec<_> = history
            .map(|revision| {
                json!({"version": revision.0, "publication": revision.1, "at_ms": revision.0})
            })
            .collect();
        Some(json!({
            "version": version, "publication": publication, "sheet": sheet, "history": history
        }))
    };
    let newest = state.versions.last().map_or(0, |revision| revision.0);
    if request == "GET /operator/v1/config" {
        return config(&state, newest).map(|config| (200, config.to_string()));
    }
    if let Some(version) = request.strip_prefix("GET /operator/v1/config/") {
        let config = config(&state, version.parse().unwrap_or(0));
        return Some(config.map_or((404, "{}".to_owned()), |config| (200, config.to_string())));
    }
    if request == "POST /operator/v1/sheets" {
        return publish(&mut state, body, shared);
    }
    let known = state.replies.iter().find(|(known, _)| *known == request);
    match (known, state.mode) {
        (Some((_, text)), _) => Some((200, text.clone())),
        (None, Mode::DropReply) => None,
        (None, Mode::Status(status)) => Some((status, "{}".to_owned())),
        (None, _) if request.starts_with("GET ") => Some((404, "{}".to_owned())),
        (None, _) => Some((200, "{}".to_owned())),
    }
}

/// Handles a publication according to the mode.
fn publish(state: &mut State, body: &Value, shared: &Arc<Mutex<State>>) -> Option<(u16, String)> {
    let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
    let (publication, sheet) = (text("publication"), text("sheet"));
    let newest = state.versions.last().map_or(0, |revision| revision.0);
    let publish_other = |state: &mut State| {
        let other = state.versions[0].2.replace("0.8", "0.7");
        state.versions.push((newest + 2, "other".to_owned(), other));
    };
    match state.mode {
        Mode::Normal if body["base"] == newest => {
            state.versions.push((newest + 5, publication, sheet));
            Some((200, json!({"version": newest + 5}).to_string()))
        }
        Mode::Normal => Some((409, json!({"in_force": newest, "changed": []}).to_string())),
        Mode::DropReply => {
            state.versions.push((newest + 5, publication, sheet));
            None
        }
        Mode::DropReplyAndApplyLate => {
            let shared = shared.clone();
            thread::spawn(move || {
                thread::sleep(Duration::from_millis(500));
                let mut state = shared.lock().expect("no test panics with the lock");
                state.versions.push((newest + 5, publication, sheet));
            });
            None
        }
        Mode::DropRequest => None,
        Mode::ConflictAndDropReply => {
            publish_other(state);
            None
        }
        Mode::ConflictWithChanges => {
            publish_other(state);
            let changed = json!([{"kind": "setting", "name": "downtime_weight",
                "action": "changed",
                "fields": [{"column": "value", "old": "0.8", "new": "0.7"}]}]);
            let reply = json!({"in_force": newest + 2, "changed": changed});
            Some((409, reply.to_string()))
        }
        Mode::ConflictWithoutChanges => {
            publish_other(state);
            Some((409, json!({"in_force": newest + 2}).to_string()))
        }
        Mode::Status(422) => {
            let faults = json!([{"row": 3, "column": "zone", "cause": "not allowed here"}]);
            Some((422, json!({"faults": faults}).to_string()))
        }
        Mode::Status(status) => Some((status, "no answer from the log".to_owned())),
    }
}
