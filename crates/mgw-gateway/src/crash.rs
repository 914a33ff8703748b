//! Crashes of servers, blamed on the requests that were there.
//!
//! A connection that breaks proves no crash: answers are lost and links reset. Only if nobody listens
//! at the server's address right afterwards has its process ended.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mgw_base::time::Instant;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::roster::Id;
use mgw_route::quarantine::Flight;

use crate::clock;
use crate::connection::Connection;
use crate::gateway::Gateway;

/// Time in which the other connections to a server that crashed break, too.
const DISCONNECT_WINDOW: Duration = Duration::from_millis(60);

/// Time for a connection to a server that may have crashed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A request whose connection broke without an answer.
#[derive(Clone, Copy, Debug)]
pub struct Disconnect {
    /// Where it was.
    pub server: Id,
    /// The request.
    pub request: Flight,
    /// When its connection broke.
    pub at: Instant,
}

/// Takes note of a request whose connection to `server` broke; the first one starts the check.
pub fn record_disconnect(gateway: &Rc<Gateway>, server: Id, address: SocketAddr, request: Flight) {
    let now = clock::now();
    let is_first = gateway.with(|state| {
        let is_first = !state.disconnects.iter().any(|it| it.server == server);
        state.disconnects.push(Disconnect { server, request, at: now });
        is_first
    });
    if is_first {
        let gateway = Rc::clone(gateway);
        actix_rt::spawn(async move { check_server(&gateway, server, address).await });
    }
}

async fn check_server(gateway: &Gateway, server: Id, address: SocketAddr) {
    tokio::time::sleep(DISCONNECT_WINDOW).await;
    let connected = Connection::connect(address, CONNECT_TIMEOUT).await;
    let has_ended =
        matches!(&connected, Err(error) if error.kind() == io::ErrorKind::ConnectionRefused);
    let now = clock::now();
    let is_blamed = gateway.with(|state| {
        let (here, others): (Vec<Disconnect>, Vec<Disconnect>) =
            std::mem::take(&mut state.disconnects).into_iter().partition(|it| it.server == server);
        state.disconnects = others;
        if !has_ended {
            return false;
        }
        let requests: Vec<Flight> = here.iter().map(|it| it.request).collect();
        let blames = state.quarantine.crash(&requests, now);
        let name = state.roster.get(server).map(|it| it.id.clone()).unwrap_or_default();
        let text = format!("{} of {} requests blamed", blames.len(), requests.len());
        state.journal.record(Body::new(Kind::CrashBlamed).instance(&name).text(text));
        state.publish_blames(blames);
        true
    });
    if is_blamed {
        // The other entries learn of it with the next heartbeat, which is sent now.
        gateway.heartbeat_due.send_replace(());
    }
}
