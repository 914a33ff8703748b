//! Detection of server crashes, which are blamed on the requests that the server had.
//!
//! A lost connection does not prove a crash, as responses get lost and connections are reset for
//! other reasons. The server process counts as crashed only if nobody listens at its address right
//! afterwards.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mgw_base::hash;
use mgw_base::time::Instant;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::roster::ServerKey;
use mgw_route::poison::{Part, SETTLE_TIME};
use mgw_route::quarantine::InFlight;
use smol_str::SmolStr;

use crate::blame::Blame;
use crate::clock;
use crate::connection::Connection;
use crate::gateway::{Gateway, State};

/// Time from the first lost connection to the check of the server, within which a crash breaks the
/// other connections, too.
const DISCONNECT_WINDOW: Duration = Duration::from_millis(60);

/// Timeout of the connection that checks whether the server still listens.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A request that lost its connection to a server before the response was complete.
#[derive(Clone, Debug)]
pub struct Disconnect {
    /// The server it was sent to.
    pub server: ServerKey,
    /// Its fingerprint, and whether it was already a suspect.
    pub request: InFlight,
    /// Id of the caller's attempt.
    pub attempt_id: SmolStr,
    /// Parts of its prompt that other requests may share.
    pub shared_parts: Vec<Part>,
    /// Time since the server sent the first event; `None` if it had sent none.
    pub writing_for: Option<Duration>,
}

impl Disconnect {
    /// Whether the server may have crashed because it began to answer the request.
    fn is_suspected(&self) -> bool {
        self.writing_for.is_none_or(|time| time < SETTLE_TIME)
    }

    /// Describes the request for the event log.
    fn describe(&self) -> String {
        let progress = match self.writing_for {
            Some(time) => format!("first event {} ms before", time.as_millis()),
            None => "no event yet".into(),
        };
        let parts: Vec<String> = self.shared_parts.iter().map(Part::to_string).collect();
        let parts = parts.join(" ");
        format!("{progress}, suspect: {}, shared parts: {parts}", self.request.suspect)
    }
}

/// Records that a request lost its connection to the server at `address`, and starts a check of the
/// server unless one is under way.
pub fn record_disconnect(gateway: &Rc<Gateway>, address: SocketAddr, disconnect: Disconnect) {
    let server = disconnect.server;
    let is_first = gateway.with(|state| {
        let is_first = !state.disconnects.iter().any(|it| it.server == server);
        state.disconnects.push(disconnect);
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
        for lost in &here {
            let event = Body::new(Kind::CrashBlamed)
                .request(&lost.attempt_id)
                .instance(&name)
                .text(lost.describe());
            state.journal.record(event);
        }
        blame_parts(state, server, &here, now);
        state.publish_blames(blames.into_iter().map(Blame::Request));
        true
    });
    if is_blamed {
        // Sends a heartbeat at once, so that the other entries learn of the blames.
        gateway.heartbeat_due.send_replace(());
    }
}

/// Blames the crash of `server` on the parts of the requests that it had not begun to answer.
fn blame_parts(state: &mut State, server: ServerKey, lost: &[Disconnect], now: Instant) {
    let Some(crashed) = state.roster.get(server) else { return };
    let started = crashed.record.started_ms.to_le_bytes();
    let process = hash::parts(&[crashed.id.as_bytes(), &started]) as u64;
    for request in lost.iter().filter(|it| it.is_suspected()) {
        let fingerprint = request.request.fingerprint as u64;
        state.poison.record_crash(&request.shared_parts, fingerprint, process, now);
    }
    state.record_poison_changes();
}
