//! Clients: each request on a new connection.

use std::net::SocketAddr;

use crate::base::{Wire, now, record};

/// The result of a request at a gateway.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub attempt: String,
    pub sent_at: f64,
    pub ended_at: f64,
    /// `None` if the connection ended without a complete answer.
    pub status: Option<u16>,
    /// The local cause of a refusal, else the size of the body.
    pub text: String,
    /// Whether the answer bears the seal of a server.
    pub is_sealed: bool,
}

pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub attempt: String,
    pub key: &'static str,
    pub deadline_ms: u64,
    /// Further header lines, each with its end.
    pub fields: String,
    pub body: &'static str,
}

/// Sends a request to the gateway called `name` and waits for its answer.
pub fn send(name: &str, front: SocketAddr, request: &Request) -> Outcome {
    let Request { method, path, attempt, key, deadline_ms, fields, body } = request;
    let length = match body.len() {
        0 => String::new(),
        size => format!("Content-Length: {size}\r\n"),
    };
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nAttempt-Id: {attempt}\r\n\
         Credential: {key}\r\nDeadline-Ms: {deadline_ms}\r\n{fields}{length}\r\n{body}"
    );
    let sent_at = now();
    let limit = *deadline_ms as f64 / 1e3;
    let answer = Wire::connect(front, 1.0).and_then(|mut wire| {
        wire.stream.set_read_timeout(Some(std::time::Duration::from_secs_f64(limit)))?;
        wire.send(text.as_bytes())?;
        wire.read_message()
    });
    let ended_at = now();
    let mut outcome = Outcome {
        attempt: attempt.clone(),
        sent_at,
        ended_at,
        status: None,
        text: String::new(),
        is_sealed: false,
    };
    match answer {
        Ok(answer) => {
            outcome.status = Some(answer.status());
            outcome.is_sealed = answer.field("server-seal").is_some();
            outcome.text = match answer.status() {
                200 => format!("{} bytes", answer.body.len()),
                _ => String::from_utf8_lossy(&answer.body).into_owned(),
            };
        }
        Err(error) => outcome.text = error.to_string(),
    }
    record(&format!(
        "client: {attempt} at {name} sent {sent_at:.3}: {:?} {}",
        outcome.status, outcome.text
    ));
    outcome
}

/// Sends one request in a thread of its own.
pub fn spawn(
    name: &str,
    front: SocketAddr,
    request: Request,
) -> std::thread::JoinHandle<Outcome> {
    let name = name.to_string();
    std::thread::spawn(move || send(&name, front, &request))
}
