//! Detection of server crashes, which are blamed on the requests that the server had.
//!
//! A lost connection does not prove a crash, as responses get lost and connections are reset for
//! other reasons. The server process counts as crashed only if nobody listens at its address right
//! afterwards.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mgw_base::time::Instant;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::roster::ServerKey;
use mgw_route::quarantine::InFlight;

use crate::clock;
use crate::connection::Connection;
use crate::gateway::Gateway;

/// Time from the first lost connection to the check of the server, within which a crash breaks the
/// other connections, too.
const DISCONNECT_WINDOW: Duration = Duration::from_millis(60);

/// Timeout of the connection that checks whether the server still listens.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A request that lost its connection to a server before the response was complete.
#[derive(Clone, Copy, Debug)]
pub struct Disconnect {
    /// The server it was sent to.
    pub server: ServerKey,
    /// Its fingerprint, and whether it was already a suspect.
    pub request: InFlight,
    /// When the connection was lost.
    pub at: Instant,
}

/// Records that a request lost its connection to `server`, and starts a check of the server unless
/// one is under way.
pub fn record_disconnect(
    gateway: &Rc<Gateway>,
    server: ServerKey,
    address: SocketAddr,
    request: InFlight,
) {
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

/// Checks whether `server` still listens. If not, blames the crash on the requests that lost their
/// connections to it.
async fn check_server(gateway: &Gateway, server: ServerKey, address: SocketAddr) {
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
        let requests: Vec<InFlight> = here.iter().map(|it| it.request).collect();
        let blames = state.quarantine.observe_crash(&requests, now);
        let name = state.roster.get(server).map(|it| it.id.clone()).unwrap_or_default();
        let text = format!("{} of {} lost requests blamed", blames.len(), requests.len());
        state.journal.record(Body::new(Kind::CrashBlamed).instance(&name).text(text));
        state.publish_blames(blames);
        true
    });
    if is_blamed {
        // Sends a heartbeat at once, so that the other entries learn of the blames.
        gateway.heartbeat_due.send_replace(());
    }
}
