//! The reader's side of the replication: serves the store's contents to followers.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{RecvStream, SendStream};
use http::{HeaderMap, HeaderValue, Request, Response};
use mgw_base::time::Instant;
use mgw_fleet::entry::{Entry, Heartbeat, Member};
use mgw_fleet::feed::{
    self, Ages, Evacuations, Format, Members, Message, Overdue, Poll, Progress, Servers, Update,
};
use mgw_fleet::members;
use mgw_fleet::roster::{Base, Roster};
use mgw_fleet::source::LATE_FEED_AGE;
use smol_str::SmolStr;
use tokio::net::{TcpListener, TcpStream};

use crate::clock;
use crate::connection;
use crate::feed::{CONNECT_TIMEOUT, Error, WINDOW_BYTES, read_message};
use crate::gateway::{Gateway, State};

/// Time without a poll after which a follower counts as disconnected.
const FOLLOWER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Time for which a disconnected follower's heartbeats are still written, as it may be connecting
/// to another reader.
const FOLLOWER_RETENTION: Duration = Duration::from_millis(700);

/// Minimum time between two pushes, which are messages that respond to no poll.
const MIN_PUSH_INTERVAL: Duration = Duration::from_millis(30);

/// Maximum pushes between two polls of a follower, so that a follower that has stopped reading
/// does not fill the send buffer.
const MAX_PUSHES_PER_POLL: u32 = 8;

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// An entry that follows this one.
#[derive(Clone, Debug)]
pub struct Follower {
    /// Its newest heartbeat.
    pub heartbeat: Heartbeat,
    /// When its stream ended; `None` while it is connected.
    disconnected_at: Option<Instant>,
}

/// Accepts followers for as long as the process runs.
pub async fn run(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let gateway = Rc::clone(&gateway);
                actix_rt::spawn(async move { serve(&gateway, stream).await });
            }
            Err(_) => {
                gateway.count("refused", "accept_error");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the streams of one connection.
async fn serve(gateway: &Rc<Gateway>, stream: TcpStream) {
    connection::set_options(&stream);
    let mut builder = h2::server::Builder::new();
    builder.initial_window_size(WINDOW_BYTES).initial_connection_window_size(WINDOW_BYTES);
    let handshake =
        tokio::time::timeout(CONNECT_TIMEOUT, builder.handshake::<_, Bytes>(stream)).await;
    let Ok(Ok(mut link)) = handshake else { return gateway.count("feed", "handshake_failed") };
    while let Some(accepted) = link.accept().await {
        let Ok((request, respond)) = accepted else { return gateway.count("feed", "broken") };
        let gateway = Rc::clone(gateway);
        actix_rt::spawn(async move {
            if session(&gateway, request, respond).await.is_err() {
                gateway.count("feed", "session_ended");
            }
        });
    }
}

/// The newest list of all servers as it was sent. Followers that get the same one share the bytes while
/// they wait for being sent.
#[derive(Clone, Debug, Default)]
pub struct EncodedList {
    /// Revision of the roster and position of the list.
    version: (u64, u64),
    /// The message; empty before the first one.
    message: Bytes,
}

impl EncodedList {
    /// The message with all servers of `roster`.
    fn message(&mut self, roster: &Roster) -> Result<Bytes, Error> {
        let version = (roster.revision(), roster.end_offset());
        if self.message.is_empty() || self.version != version {
            let changes = roster.changes_since(Base::Nothing);
            let servers = Some(Servers::new(changes, roster.end_offset()));
            let update = Update { servers, ..Update::default() };
            self.message = feed::encode(&update).map_err(Error::Message)?;
            self.version = version;
        }
        Ok(self.message.clone())
    }
}

/// What has been sent to a follower on its stream.
#[derive(Debug, Default)]
struct Cursor {
    /// Name of the follower; empty before its first poll.
    name: SmolStr,
    /// Format of the updates.
    format: Format,
    /// Position of the newest configuration sent.
    config: Option<u64>,
    /// What was sent of the server list.
    servers: Progress,
    /// A message with all servers that is to be sent before the next update.
    whole_list: Option<Bytes>,
    /// Revision of the members that were sent.
    members: u64,
    /// Revision of the evacuated zones that were sent; 0 if none were.
    evacuations: u64,
    /// Whether the follower reads changes of the members, and not only lists of all.
    reads_member_changes: bool,
}

/// Serves one stream, and marks its follower as disconnected when the stream ends.
async fn session(
    gateway: &Gateway,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> Result<(), Error> {
    check_knowledge(gateway)?;
    if request.headers().contains_key(feed::RECENT_FIELD) {
        check_age(gateway)?;
    }
    let announced = request.headers().get_all(feed::FORMAT_FIELD).iter();
    let format = Format::announced(announced.map(|value| value.as_bytes()));
    let reads_member_changes = request.headers().contains_key(members::FIELD);
    let config = shared_config(gateway, request.headers());
    let mut polls = request.into_body();
    let mut response = Response::new(());
    if let Some(position) = config {
        response.headers_mut().insert(feed::CONFIG_FIELD, HeaderValue::from(position));
    }
    let mut updates = respond.send_response(response, false).map_err(Error::Transport)?;
    let mut changes = gateway.state_changed.subscribe();
    let mut input = BytesMut::new();
    let mut cursor = Cursor { format, config, reads_member_changes, ..Cursor::default() };
    let result =
        exchange_messages(gateway, &mut polls, &mut updates, &mut changes, &mut input, &mut cursor)
            .await;
    gateway.with(|state| {
        if let Some(follower) = state.followers.get_mut(&cursor.name) {
            follower.disconnected_at = Some(clock::now());
        }
    });
    result
}

/// Checks that this entry has something to tell to a follower: that it neither waits for a reader nor
/// follows one itself. A follower would otherwise wait until it takes this entry for silent, and read
/// the store itself meanwhile; now it chooses another reader at once.
fn check_knowledge(gateway: &Gateway) -> Result<(), Error> {
    let is_uninformed = gateway
        .with(|state| state.reader_link.is_some() || gateway.waits_for_reader(state, clock::now()));
    match is_uninformed {
        true => Err(Error::StreamClosed),
        false => Ok(()),
    }
}

/// Checks that this entry's knowledge is recent enough for a follower that has another reader.
fn check_age(gateway: &Gateway) -> Result<(), Error> {
    let now = clock::now();
    let is_recent = gateway.with(|state| {
        let config = state.config_proof.age(now);
        let servers = state.has_server_list.then(|| now.since(state.roster.list_read_at()));
        [config, servers].into_iter().all(|age| age.is_some_and(|age| age <= LATE_FEED_AGE))
    });
    match is_recent {
        true => Ok(()),
        false => Err(Error::Stale),
    }
}

/// The position of the configuration that a follower states, if this entry has the same one in force.
fn shared_config(gateway: &Gateway, headers: &HeaderMap) -> Option<u64> {
    let position = headers.get(feed::CONFIG_FIELD)?.to_str().ok()?.parse::<u64>().ok()?;
    let own = gateway.with(|state| state.config_document.as_ref().map(|it| it.offset));
    (own == Some(position)).then_some(position)
}

/// Responds to the follower's polls and pushes changes until the stream ends or a poll is overdue.
async fn exchange_messages(
    gateway: &Gateway,
    polls: &mut RecvStream,
    updates: &mut SendStream<Bytes>,
    changes: &mut tokio::sync::watch::Receiver<()>,
    input: &mut BytesMut,
    cursor: &mut Cursor,
) -> Result<(), Error> {
    let mut pushes = MAX_PUSHES_PER_POLL;
    loop {
        let next_poll = read_message(polls, input, feed::decode::<Poll>);
        tokio::pin!(next_poll);
        let poll = tokio::select! {
            biased;
            poll = tokio::time::timeout(FOLLOWER_TIMEOUT, &mut next_poll) => {
                Some(poll.map_err(|_| Error::Timeout)??)
            }
            Ok(()) = changes.changed(), if pushes < MAX_PUSHES_PER_POLL => None,
        };
        let message = match poll {
            Some(poll) => {
                check_knowledge(gateway)?;
                pushes = 0;
                apply_heartbeat(gateway, &poll);
                gateway.with(|state| {
                    let update = respond_to_poll(state, poll, cursor);
                    to_message(state, update, cursor)
                })
            }
            None => {
                pushes += 1;
                gateway.with(|state| {
                    let update = pending_changes(state, cursor);
                    to_message(state, update, cursor)
                })
            }
        };
        if let Some(bytes) = cursor.whole_list.take() {
            gateway.count("feed_servers", "whole_list");
            updates.send_data(bytes, false).map_err(Error::Transport)?;
        }
        if let Some(changes) = gateway.with(|state| member_changes(state, cursor)) {
            let bytes = members::encode(&changes).map_err(Error::Message)?;
            updates.send_data(bytes, false).map_err(Error::Transport)?;
        }
        let has_changes = |it: &Servers| !it.changed.is_empty() || !it.gone.is_empty();
        if message.update.servers.as_ref().is_some_and(has_changes) {
            gateway.count("feed_servers", "changes");
        }
        if !message.is_empty() {
            let bytes = feed::encode_update(&message, cursor.format).map_err(Error::Message)?;
            updates.send_data(bytes, false).map_err(Error::Transport)?;
        }
        if message.update.ages.is_none() {
            tokio::time::sleep(MIN_PUSH_INTERVAL).await;
        }
    }
}

/// Applies the heartbeat of a follower. It is written to the store together with this entry's own
/// one.
fn apply_heartbeat(gateway: &Gateway, poll: &Poll) {
    let Some(heartbeat) = &poll.heartbeat else { return };
    let (name, now) = (SmolStr::from(&poll.name), clock::now());
    let is_new = gateway.with(|state| {
        state.merge_blames(&heartbeat.blames, now);
        state.entries.update_heartbeat(&name, heartbeat, now);
        state.refresh_members();
        let follower = Follower { heartbeat: heartbeat.clone(), disconnected_at: None };
        let known = state.followers.insert(name, follower);
        known.is_none_or(|known| known.disconnected_at.is_some() || known.heartbeat != *heartbeat)
    });
    if is_new {
        gateway.heartbeat_due.send_replace(());
        gateway.state_changed.send_replace(());
    }
}

/// The response to a poll: the changes not sent yet, and how old this entry's data is.
fn respond_to_poll(state: &mut State, poll: Poll, cursor: &mut Cursor) -> Update {
    cursor.name = poll.name.into();
    cursor.servers.record_poll(poll.end_offset);
    let ages = state.ages(poll.timestamp, clock::now());
    // A follower that has read the list further waits until this entry has read as far.
    if cursor.servers.is_behind(&state.roster) {
        let ages = ages.map(Ages::without_lists);
        return Update { ages, ..Update::default() };
    }
    let mut update = Update { ages, ..pending_changes(state, cursor) };
    if update.servers.is_none() && state.has_server_list {
        update.servers = cursor.servers.next_end(&state.roster);
    }
    update
}

/// The changes that have not been sent to the follower yet; advances the cursor past them.
fn pending_changes(state: &mut State, cursor: &mut Cursor) -> Update {
    let mut update = Update::default();
    if let Some(document) = &state.config_document
        && cursor.config != Some(document.offset)
    {
        cursor.config = Some(document.offset);
        update.config = Some(document.as_ref().clone());
    }
    if state.has_server_list {
        add_servers(state, cursor, &mut update);
    }
    if !cursor.reads_member_changes && cursor.members != state.members.revision() {
        cursor.members = state.members.revision();
        update.members = Some(state.members.members().clone());
    }
    update
}

/// Adds the changes of the servers to `update`, or has the list of all servers sent before it.
fn add_servers(state: &mut State, cursor: &mut Cursor, update: &mut Update) {
    if cursor.servers.needs_whole_list(&state.roster)
        && let Ok(message) = state.encoded_list.message(&state.roster)
    {
        cursor.whole_list = Some(message);
        cursor.servers.record_whole_list(&state.roster);
    }
    update.servers = cursor.servers.next_changes(&state.roster);
}

/// The message with `update`, in the format of the stream; advances the cursor past the evacuated
/// zones.
fn to_message(state: &State, update: Update, cursor: &mut Cursor) -> Message {
    let overdue = match update.ages {
        Some(_) => state.overdue_entries(clock::now()),
        None => Vec::new(),
    };
    let revision = state.evacuations.revision();
    let evacuations = match cursor.format {
        Format::Plain | Format::Overdue => Evacuations::Untold,
        Format::Evacuations if cursor.evacuations == revision => Evacuations::Unchanged,
        Format::Evacuations => {
            cursor.evacuations = revision;
            Evacuations::Replaced(state.evacuations.snapshot())
        }
    };
    Message { update, overdue, evacuations }
}

/// The changes of the members that have not been sent to the follower yet, if it reads them. They are
/// sent before the response to a poll, whose ages hold for them too.
fn member_changes(state: &State, cursor: &mut Cursor) -> Option<members::Changes> {
    let (known, newest) = (cursor.members, state.members.revision());
    if !cursor.reads_member_changes || cursor.name.is_empty() || known == newest {
        return None;
    }
    cursor.members = newest;
    Some(state.members.changes(known))
}

impl State {
    /// The ages of this entry's data as of `now`, in response to a poll with `timestamp`. `None` if
    /// this entry follows another one itself, as entries that follow each other would learn nothing
    /// new, or before the first configuration is proven current.
    fn ages(&self, timestamp: u64, now: Instant) -> Option<Ages> {
        if self.reader_link.is_some() {
            return None;
        }
        let config = self.config_proof.age(now)?.as_micros() as u64;
        let servers =
            feed::age_micros(self.has_server_list.then(|| self.roster.list_read_at()), now);
        let entries = feed::age_micros(self.entries.last_read(), now);
        Some(Ages { timestamp, config, servers, entries })
    }

    /// The entries that followers must not take for current.
    fn overdue_entries(&self, now: Instant) -> Vec<Overdue> {
        let overdue = self.entries.overdue(feed::MAX_OVERDUE, now).into_iter();
        overdue
            .map(|(name, last_seen)| Overdue {
                name: name.to_string(),
                age: now.since(last_seen).as_micros() as u64,
            })
            .collect()
    }

    /// Updates the members that followers get.
    pub fn refresh_members(&mut self) {
        let member = |(name, entry): (&SmolStr, &Entry)| Member {
            name: name.to_string(),
            heartbeat: entry.heartbeat.clone(),
        };
        let members = Members {
            end_offset: self.entries.end_offset(),
            entries: self.entries.serving().map(member).collect(),
            leader: self.entries.leader_record().cloned(),
        };
        self.members.update(members);
    }

    /// Removes followers that have been disconnected for too long. Returns whether there were any.
    pub fn remove_expired_followers(&mut self, now: Instant) -> bool {
        let before = self.followers.len();
        let stays = |it: &Follower| {
            it.disconnected_at
                .is_none_or(|disconnected_at| now.since(disconnected_at) < FOLLOWER_RETENTION)
        };
        self.followers.retain(|_, follower| stays(follower));
        self.followers.len() != before
    }
}
