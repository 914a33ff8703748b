//! HTTP endpoints for the directory, the readiness check and the metrics.

use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mgw_fleet::entry::Phase;
use mgw_fleet::plan::Planner;
use mgw_fleet::roster::Server;
use mgw_http::{head, write};
use platform::directory;
use tokio::net::TcpListener;

use crate::clock;
use crate::connection::Connection;
use crate::gateway::Gateway;
use crate::limit;
use crate::plain_work;
use crate::work;

/// Time to live of directory responses in seconds. Some callers keep them three times as long.
const DIRECTORY_TTL_S: u64 = 2;

/// Maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 8 << 10;

/// Time without input after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What a listener serves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// The addresses of the entries that callers may connect to.
    Directory,
    /// Whether this entry serves requests.
    Readiness,
    /// Metrics and the most recent events.
    Metrics,
}

/// Accepts connections for `endpoint` for as long as the process runs.
pub async fn run(gateway: Rc<Gateway>, listener: TcpListener, endpoint: Endpoint) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let gateway = Rc::clone(&gateway);
                actix_rt::spawn(
                    async move { serve(&gateway, Connection::new(stream), endpoint).await },
                );
            }
            Err(_) => {
                gateway.count("refused", "accept_error");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests of one connection, one after the other. A malformed request closes it.
async fn serve(gateway: &Gateway, mut connection: Connection, endpoint: Endpoint) {
    loop {
        let request = match head::parse_request(&mut connection.input, MAX_HEAD_BYTES) {
            Ok(Some(request)) => request,
            Ok(None) => match tokio::time::timeout(IDLE_TIMEOUT, connection.read()).await {
                Ok(Ok(size)) if size > 0 => continue,
                _ => return,
            },
            Err(_) => return,
        };
        let (status, kind, body) = respond(gateway, endpoint, request.target(), request.path());
        let mut output = BytesMut::with_capacity(256 + body.len());
        write::status_line(&mut output, status);
        write::field(&mut output, b"Content-Type", kind.as_bytes());
        write::number_field(&mut output, "Content-Length", body.len() as u64);
        let is_last = !request.keeps_alive();
        if is_last {
            write::field(&mut output, b"Connection", b"close");
        }
        output.extend_from_slice(b"\r\n");
        output.extend_from_slice(body.as_bytes());
        if connection.write(&output).await.is_err() || is_last {
            return;
        }
    }
}

/// Content type of all bodies but the directory's.
const TEXT: &str = "text/plain";

/// Content type of directory responses.
const JSON: &str = "application/json";

/// The status, content type and body of the response to a request.
fn respond(
    gateway: &Gateway,
    endpoint: Endpoint,
    target: &str,
    path: &str,
) -> (u16, &'static str, String) {
    match (endpoint, path) {
        (Endpoint::Directory, directory::RESOLVE_PATH) => resolve(gateway, target),
        (Endpoint::Readiness, directory::READINESS_PATH) => {
            let is_ready = gateway.with(|state| state.phase == Phase::Serving);
            (if is_ready { 200 } else { 503 }, TEXT, String::new())
        }
        (Endpoint::Metrics, "/metrics") => (200, TEXT, metrics(gateway)),
        (Endpoint::Metrics, "/events") => {
            (200, TEXT, gateway.with(|state| state.journal.recent_events()))
        }
        _ => (404, TEXT, String::new()),
    }
}

/// The directory response: the addresses of the serving entries. Those in the region of the request
/// come first, and within a region those in its zone.
fn resolve(gateway: &Gateway, target: &str) -> (u16, &'static str, String) {
    let location = directory::parse_locality(target);
    gateway.with(|state| {
        state.metrics.count("resolved", "answered");
        let mut entries: Vec<(bool, bool, &str)> = state
            .entries
            .serving()
            .map(|(_, entry)| {
                let heartbeat = &entry.heartbeat;
                (
                    heartbeat.zone != location.zone,
                    heartbeat.region != location.region,
                    heartbeat.caller_address.as_str(),
                )
            })
            .collect();
        entries.sort_by_key(|(zone, region, _)| (*region, *zone));
        let addresses: Vec<&str> =
            entries.iter().take(directory::MAX_ADDRESSES).map(|(_, _, it)| *it).collect();
        match addresses.is_empty() {
            true => (503, TEXT, String::new()),
            false => (200, JSON, directory::response_body(&addresses, DIRECTORY_TTL_S)),
        }
    })
}

/// The text of the metrics endpoint.
fn metrics(gateway: &Gateway) -> String {
    let callers = gateway.caller_connections.get() as u64;
    let request_bytes = gateway.request_bodies.used() as u64;
    let response_bytes = gateway.response_bodies.used() as u64;
    gateway.with(|state| {
        let now = clock::now();
        let groups = state.groups();
        let servable = groups.iter().filter(|group| group.is_servable).count() as u64;
        let limited = |(_, server): &(_, &Server)| server.load.rate.rate().is_some();
        let limited = state.roster.iter().filter(limited).count() as u64;
        let cold = |(_, server): &(_, &Server)| limit::is_cold(server, now);
        let cold = state.roster.iter().filter(cold).count() as u64;
        let leaving = |(_, server): &(_, &Server)| server.notice.is_leaving;
        let leaving = state.roster.iter().filter(leaving).count() as u64;
        let paused = |(_, server): &(_, &Server)| !server.notice.pause_left(now).is_zero();
        let paused = state.roster.iter().filter(paused).count() as u64;
        let totals = state.planner.as_ref().map(Planner::totals).unwrap_or_default();
        let proof = state.config_proof.age(now).map_or(u64::MAX, |age| age.as_millis() as u64);
        state.metrics.text(&[
            ("caller_connections", callers),
            ("body_bytes_held", request_bytes),
            ("response_bytes_held", response_bytes),
            ("requests_in_flight", state.requests.len() as u64),
            ("requests_waiting", state.admission.queue.len() as u64),
            ("servers_listed", state.roster.len() as u64),
            ("servers_limited", limited),
            ("servers_cold", cold),
            ("servers_leaving", leaving),
            ("servers_paused", paused),
            ("store_era", state.store_era.unwrap_or_default()),
            ("groups_known", groups.len() as u64),
            ("groups_servable", servable),
            ("parts_quarantined", state.poison.quarantined_count() as u64),
            ("entries_serving", state.entries.serving().count() as u64),
            ("is_planner", u64::from(state.is_planner)),
            ("group_downtime_ms", totals.group_downtime.as_millis() as u64),
            ("stranded_instance_ms", totals.stranded.as_millis() as u64),
            ("is_following", u64::from(state.is_following(now))),
            ("followers", state.followers.len() as u64),
            ("config_version", state.config.as_ref().map_or(0, |config| config.version)),
            ("config_proof_age_ms", proof),
            ("zones_evacuated", state.evacuations.evacuated_count() as u64),
            ("predicted_reading_ms", work::total_reading(state).as_millis() as u64),
            ("uneven_services", plain_work::uneven_services(state) as u64),
            ("log_bytes", state.journal.bytes_written()),
        ])
    })
}
