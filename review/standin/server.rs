//! Stand-ins of servers: plain ones and model servers that form groups.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

use crate::base::{self, Json, Message, Wire, now, record, response};
use crate::store::Store;

/// Interval between two heartbeats.
const HEARTBEAT_S: f64 = 1.2;

/// What a server is.
#[derive(Clone)]
pub struct Kind {
    pub service: &'static str,
    pub zone: &'static str,
    pub slots: usize,
    /// Time that a plain request takes, or the time between two events of a stream.
    pub work_s: f64,
    /// Requests that wait beyond those that run; a plain server turns others away.
    pub queue: usize,
    /// The model whose weights are on the host, and the fabric domain; `None` for a plain server.
    pub engine: Option<(&'static str, String)>,
    /// Events of a stream, and the time until the first one.
    pub stream: (u64, f64),
    /// Time from an order to join until the member is ready; the weights are on the host.
    pub warm_s: f64,
    /// Part of a prompt that crashes each server which begins to write an answer on it.
    pub deadly_part: Option<&'static str>,
}

/// Time from the order to open until the head serves.
const FORM_S: f64 = 0.3;

#[derive(Clone, Debug, Default)]
struct Membership {
    group: String,
    epoch: u64,
    members: Vec<String>,
    ready_at: f64,
    open_at: Option<f64>,
}

#[derive(Default)]
struct State {
    running: usize,
    waiting: usize,
    /// Orders accepted.
    orders: u64,
    fence: u64,
    epoch: u64,
    membership: Option<Membership>,
    model: Option<String>,
    /// Connections, to be broken at a crash.
    streams: Vec<TcpStream>,
}

/// A request that reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: f64,
    pub attempt: String,
    pub has_run: bool,
}

pub struct Server {
    pub id: String,
    pub kind: Kind,
    pub address: SocketAddr,
    born: u64,
    store: Arc<Store>,
    state: Mutex<State>,
    freed: Condvar,
    heartbeats: AtomicU64,
    pub arrivals: Mutex<Vec<Arrival>>,
    /// Whether the server reaches the store.
    pub reaches_store: AtomicBool,
    pub has_ended: AtomicBool,
    pub crashed_at: Mutex<Option<f64>>,
    /// Until when it sends nothing.
    pub silent_until: Mutex<f64>,
    /// Share of its requests in whose place it sends bytes that are no answer of a server.
    pub garble_share: Mutex<f64>,
    /// Number of these.
    pub spoilt: Mutex<u64>,
    /// Share of its requests that it answers with 500.
    pub error_share: Mutex<f64>,
}

impl Server {
    /// Starts a server that is listed from now on.
    pub fn start(store: &Arc<Store>, id: &str, kind: Kind) -> Arc<Self> {
        let (listener, address) = base::listen([127, 0, 20, 1]);
        let server = Arc::new(Self {
            id: id.into(),
            kind,
            address,
            born: base::unix_ms(),
            store: Arc::clone(store),
            state: Mutex::default(),
            freed: Condvar::new(),
            heartbeats: AtomicU64::new(0),
            arrivals: Mutex::default(),
            reaches_store: AtomicBool::new(true),
            has_ended: AtomicBool::new(false),
            crashed_at: Mutex::new(None),
            silent_until: Mutex::new(0.0),
            error_share: Mutex::new(0.0),
            garble_share: Mutex::new(0.0),
            spoilt: Mutex::new(0),
        });
        record(&format!("server {id} started at {address}"));
        let accepting = Arc::clone(&server);
        std::thread::spawn(move || accepting.accept(listener));
        let beating = Arc::clone(&server);
        std::thread::spawn(move || {
            while !beating.has_ended.load(Ordering::SeqCst) {
                beating.publish();
                base::sleep(HEARTBEAT_S);
            }
        });
        server
    }

    fn accept(self: Arc<Self>, listener: TcpListener) {
        for stream in listener.incoming().flatten() {
            if self.silent_until.lock().unwrap().is_infinite() {
                // It is dark: its connections hang.
                self.state.lock().unwrap().streams.push(stream);
                continue;
            }
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            if self.kind.deadly_part.is_some()
                && let Ok(copy) = stream.try_clone()
            {
                self.state.lock().unwrap().streams.push(copy);
            }
            let server = Arc::clone(&self);
            std::thread::spawn(move || server.serve(Wire::new(stream)));
        }
    }

    /// Ends the process at once: its address refuses connections, and the open ones break.
    pub fn crash(self: &Arc<Self>) {
        if self.has_ended.swap(true, Ordering::SeqCst) {
            return;
        }
        *self.crashed_at.lock().unwrap() = Some(now());
        record(&format!("server {} crashes", self.id));
        // Wakes the thread that accepts, which then drops the listener.
        let _ = TcpStream::connect(self.address);
        for stream in self.state.lock().unwrap().streams.drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    /// Sends nothing for `time`.
    pub fn silence(&self, time: f64) {
        record(&format!("server {} is silent for {time} s", self.id));
        *self.silent_until.lock().unwrap() = now() + time;
    }

    /// Ends the process without a sign: its connections stay open, and nothing more comes.
    pub fn go_dark(&self) {
        record(&format!("server {} goes dark", self.id));
        *self.crashed_at.lock().unwrap() = Some(now());
        *self.silent_until.lock().unwrap() = f64::INFINITY;
        self.has_ended.store(true, Ordering::SeqCst);
    }

    /// Waits while the server is silent.
    fn wait_silence(&self) {
        loop {
            let until = *self.silent_until.lock().unwrap();
            if now() >= until {
                return;
            }
            base::sleep((until - now()).min(0.05));
        }
    }

    /// Writes the entry to the store, if the server reaches it.
    fn publish(&self) {
        let is_silent = now() < *self.silent_until.lock().unwrap();
        if is_silent || self.has_ended.load(Ordering::SeqCst) || !self.reaches_store.load(Ordering::SeqCst) {
            return;
        }
        let count = self.heartbeats.fetch_add(1, Ordering::SeqCst) + 1;
        let Kind { service, zone, slots, .. } = &self.kind;
        let engine = self.engine_fields();
        let entry = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
             \"slots\":{slots},\"state\":\"ready\",\"coldRemainingMs\":0,\"sequence\":{count},\
             \"born\":{}{engine}}}",
            self.address, self.born
        );
        if self.store.list(&self.id, &entry) {
            record(&format!("store: entry of {} written, it was not listed", self.id));
        }
    }

    /// The fields of a model server in its entry and in its report.
    fn engine_fields(&self) -> String {
        let Some((model, domain)) = &self.kind.engine else { return String::new() };
        let state = self.state.lock().unwrap();
        let models = state.model.iter().map(|it| {
            format!("{{\"name\":\"{it}\",\"version\":1,\"adapters\":[]}}")
        });
        let models: Vec<String> = models.collect();
        let group = state.membership.as_ref().map_or(String::new(), |it| {
            let rank = it.members.iter().position(|id| *id == self.id).unwrap_or(0);
            format!(
                ",\"group\":{{\"name\":\"{}\",\"epoch\":{},\"rank\":{rank},\"state\":\"{}\"}}",
                it.group,
                it.epoch,
                stage(it)
            )
        });
        format!(
            ",\"models\":[{}],\"staged\":[\"{model}\"],\"domain\":\"{domain}\"{group}",
            models.join(",")
        )
    }

    fn serve(self: &Arc<Self>, mut wire: Wire) {
        while let Ok(request) = wire.read_message() {
            self.wait_silence();
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let is_other = request.field("expect-instance").is_some_and(|it| it != self.id);
            let sent = match request.path() {
                _ if is_other => {
                    let at = [("At-Server", self.id.clone())];
                    wire.send(&response(421, &at, b""))
                }
                "/api/report" => {
                    let state = self.state.lock().unwrap();
                    let numbers = format!(
                        "\"stage\":\"both\",\"busy\":false,\"sequence\":{},\"queued\":{},\
                         \"running\":{},\"kvUsed\":0,\"kvTotal\":1860000,\"handles\":0,\"born\":{}",
                        state.orders, state.waiting, state.running, self.born
                    );
                    drop(state);
                    let body = format!("{{{numbers}{}}}", self.engine_fields());
                    let json = [("Content-Type", "application/json".to_string())];
                    wire.send(&response(200, &json, body.as_bytes()))
                }
                "/api/order" => {
                    let status = self.take_order(&request.body);
                    self.publish();
                    wire.send(&response(status, &[], b""))
                }
                _ => match self.serve_request(&mut wire, &request) {
                    true => Ok(()),
                    false => return,
                },
            };
            if sent.is_err() {
                return;
            }
        }
    }

    /// Carries out an order; returns the status of its answer.
    fn take_order(self: &Arc<Self>, body: &[u8]) -> u16 {
        let Some(order) = Json::parse(&String::from_utf8_lossy(body)) else { return 400 };
        let operation = order.get("operation").text();
        let mut state = self.state.lock().unwrap();
        if let Some(token) = order.get("fencingToken").number() {
            if token < state.fence {
                return 412;
            }
            state.fence = token;
        }
        if order.get("precondition").number().is_some_and(|it| it != state.orders) {
            return 409;
        }
        let (group, epoch) = (order.get("group").text(), order.get("epoch").number().unwrap_or(0));
        let is_own = state.membership.as_ref().is_some_and(|it| it.group == group && it.epoch == epoch);
        let status = match operation.as_str() {
            "join" => {
                let members: Vec<String> =
                    order.get("members").list().iter().map(Json::text).collect();
                let is_same = is_own && state.membership.as_ref().unwrap().members == members;
                if epoch < state.epoch || is_own && !is_same {
                    return 412;
                }
                if is_same {
                    return 200;
                }
                state.epoch = epoch;
                state.model = Some(order.get("model").text());
                let ready_at = now() + self.kind.warm_s;
                state.membership = Some(Membership { group, epoch, members, ready_at, open_at: None });
                202
            }
            "open" | "close" | "leave" if !is_own => 409,
            "open" => {
                let membership = state.membership.as_mut().unwrap();
                match (stage(membership), membership.open_at) {
                    ("open", _) | (_, Some(_)) => return 200,
                    ("ready", None) => membership.open_at = Some(now() + FORM_S),
                    _ => return 409,
                }
                202
            }
            "close" => {
                let membership = state.membership.as_mut().unwrap();
                if membership.open_at.take().is_none() {
                    return 200;
                }
                202
            }
            "leave" => {
                state.membership = None;
                202
            }
            "stage" => return 200,
            _ => return 400,
        };
        state.orders += 1;
        let server = Arc::clone(self);
        // It reports a change at once.
        std::thread::spawn(move || {
            for time in [0.05, FORM_S, server.kind.warm_s - FORM_S] {
                base::sleep(time);
                server.publish();
            }
        });
        status
    }

    /// Waits for a slot. Returns false if too many requests wait.
    fn enter(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.running >= self.kind.slots && state.waiting >= self.kind.queue {
            return false;
        }
        state.waiting += 1;
        let limit = Duration::from_secs(8);
        let is_full = |state: &mut State| state.running >= self.kind.slots;
        let (mut state, _) = self.freed.wait_timeout_while(state, limit, is_full).unwrap();
        state.waiting -= 1;
        state.running += 1;
        true
    }

    fn leave(&self) {
        self.state.lock().unwrap().running -= 1;
        self.freed.notify_one();
    }

    /// Serves a request; returns whether the connection stays open.
    fn serve_request(self: &Arc<Self>, wire: &mut Wire, request: &Message) -> bool {
        let attempt = request.field("attempt-id").unwrap_or_default().to_string();
        let mut fields = vec![("Attempt-Id", attempt.clone())];
        let is_closed = self.kind.engine.is_some() && {
            let state = self.state.lock().unwrap();
            !state.membership.as_ref().is_some_and(|it| {
                stage(it) == "open" && it.members.first() == Some(&self.id)
            })
        };
        let is_taken = !is_closed && self.enter();
        let arrival = Arrival { at: request.at, attempt: attempt.clone(), has_run: is_taken };
        self.arrivals.lock().unwrap().push(arrival);
        if !is_taken {
            fields.push(("Not-Executed", "1".into()));
            fields.push(("At-Server", self.id.clone()));
            record(&format!("{} turns {attempt} away", self.id));
            return wire.send(&response(503, &fields, b"")).is_ok();
        }
        record(&format!("{} runs {attempt}", self.id));
        let load = {
            let state = self.state.lock().unwrap();
            format!("{},{},{}", state.running, state.waiting, self.kind.slots)
        };
        fields.push(("Server-Seal", format!("seal-{attempt}")));
        fields.push(("Server-Load", load));
        let goes_on = match self.kind.engine {
            Some(_) => self.serve_stream(wire, request, fields),
            None => {
                base::sleep(self.kind.work_s);
                if (base::random() % 1_000) as f64 / 1e3 < *self.garble_share.lock().unwrap() {
                    record(&format!("{} sends bytes that are no answer in place of {attempt}", self.id));
                    *self.spoilt.lock().unwrap() += 1;
                    let _ = wire.send(&response(200, &[], b"It works!"));
                    self.leave();
                    return true;
                }
                fields.push(("Keep-Alive", "timeout=1".into()));
                wire.send(&response(200, &fields, "x".repeat(800).as_bytes())).is_ok()
            }
        };
        self.leave();
        goes_on
    }

    fn serve_stream(
        self: &Arc<Self>,
        wire: &mut Wire,
        request: &Message,
        fields: Vec<(&str, String)>,
    ) -> bool {
        let (events, first_s) = self.kind.stream;
        base::sleep(first_s);
        self.wait_silence();
        if (base::random() % 1_000) as f64 / 1e3 < *self.error_share.lock().unwrap() {
            record(&format!("{} answers 500", self.id));
            return wire.send(&response(500, &fields, b"failed")).is_ok();
        }
        let prompt = request.field("prompt-prefix").unwrap_or_default();
        let is_deadly = self
            .kind
            .deadly_part
            .is_some_and(|part| prompt.split(',').any(|it| it.split(':').next() == Some(part)));
        if is_deadly {
            self.crash();
            return false;
        }
        let after = request.field("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut text = String::from("HTTP/1.1 200 OK\r\n");
        for (name, value) in fields {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n");
        text.push_str("Transfer-Encoding: chunked\r\n\r\n");
        for id in after + 1..=events {
            let event = format!("id: {id}\ndata: {id}\n\n");
            text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            self.wait_silence();
            if wire.send(text.as_bytes()).is_err() {
                return false;
            }
            text.clear();
            base::sleep(self.kind.work_s);
        }
        wire.send(b"0\r\n\r\n").is_ok()
    }

    /// Whether it is the head of an open group.
    pub fn is_open(&self) -> bool {
        let state = self.state.lock().unwrap();
        !self.has_ended.load(Ordering::SeqCst)
            && state.membership.as_ref().is_some_and(|it| {
                stage(it) == "open" && it.members.first() == Some(&self.id)
            })
    }
}

/// The state of a member in its group.
fn stage(membership: &Membership) -> &'static str {
    match membership.open_at {
        _ if now() < membership.ready_at => "joining",
        Some(at) if now() >= at => "open",
        _ => "ready",
    }
}
