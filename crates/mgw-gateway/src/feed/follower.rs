//! The follower's side of the replication: chooses a reader and gets the store's contents from it.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use http::Request;
use mgw_base::time::Instant;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::entry::{Heartbeat, Leader, Member, Phase};
use mgw_fleet::feed::{self, Ages, Evacuations, Format, Members, Message, Overdue, Poll, Servers};
use mgw_fleet::freshness::Shown;
use mgw_fleet::members;
use mgw_fleet::source::{
    MAX_FEED_AGE, MAX_READER_AGE, MIN_FOLLOW_TIME, POLL_INTERVAL, READER_TIMEOUT, Selector, Source,
};
use smol_str::SmolStr;
use tokio::net::TcpStream;

use crate::clock;
use crate::connection;
use crate::feed::{CONNECT_TIMEOUT, Error, STREAM_URI, WINDOW_BYTES, read_message};
use crate::gateway::{Gateway, State};
use crate::servers::{self, Change, Listing, Origin};
use crate::topics;

/// Interval of the choice of a source while this entry reads the store itself.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Interval of that choice while this entry waits at its start for a reader.
const STARTING_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Range in milliseconds over which followers spread their changes to a reader that all of them begin
/// to prefer at the same time.
const CHANGE_SPREAD_MS: u64 = 3_000;

/// Time for which a message may take to arrive, as long as a part of it does.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay before the next choice of a source after a stream to a reader has ended. It doubles with each
/// further stream that ends before [`USEFUL_TIME`].
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Number of times that the delay doubles at most.
const MAX_DOUBLINGS: u32 = 5;

/// Time after which a stream is taken to have informed this entry.
const USEFUL_TIME: Duration = Duration::from_secs(1);

/// Share of the delay by which entries spread their retries, as many lose the same reader.
const RETRY_SPREAD: f64 = 0.5;

/// Chooses between the store and the readers, and follows the chosen reader, for as long as the
/// process runs.
pub async fn run(gateway: Rc<Gateway>) {
    let (mut selector, mut failures) = (Selector::default(), 0);
    loop {
        match choose_source(&gateway, &mut selector) {
            Source::Store => {
                if gateway.with(|state| state.reader_link.take()).is_some() {
                    gateway.source_changed.notify_waiters();
                }
                clock::sleep(source_check_interval(&gateway)).await;
            }
            Source::Reader(reader) => {
                let (begun, mut reader) = (clock::now(), reader);
                let Err(error) = follow_reader(&gateway, &mut selector, &mut reader).await;
                if !matches!(error, Error::ReaderChanged) {
                    selector.mark_failed(&reader, clock::now());
                }
                let event = Body::new(Kind::SourceChanged).entry(&reader);
                gateway.record(event.text(format!("stopped following this reader: {error}")));
                failures = match clock::now().since(begun) < USEFUL_TIME {
                    true => (failures + 1).min(MAX_DOUBLINGS),
                    false => 0,
                };
                tokio::time::sleep(retry_delay(failures, gateway.incarnation)).await;
            }
        }
    }
}

/// The time until the next choice of a source after `failures` streams that ended early. The numbers
/// in `incarnation` are spread evenly over the entries.
fn retry_delay(failures: u32, incarnation: u64) -> Duration {
    let delay = RETRY_DELAY * 2_u32.pow(failures.saturating_sub(1));
    let part = (incarnation.rotate_right(failures) % 1_000) as f64 / 1_000.0;
    delay.mul_f64(1.0 + RETRY_SPREAD * part)
}

/// The time until the next choice of a source, as no reader can be followed now.
fn source_check_interval(gateway: &Gateway) -> Duration {
    let now = clock::now();
    let (is_waiting, knows_entries) = gateway
        .with(|state| (gateway.waits_for_reader(state, now), state.entries.last_read().is_some()));
    if is_waiting && knows_entries {
        gateway.startup.give_up();
        gateway.source_changed.notify_waiters();
    }
    match is_waiting {
        true => STARTING_CHECK_INTERVAL,
        false => SOURCE_CHECK_INTERVAL,
    }
}

/// Whether this entry serves, is one of the readers, and reads the store. One that is starting may be
/// listed as the process that ran before it.
fn is_reader(gateway: &Gateway, state: &State) -> bool {
    let name = gateway.settings.entry_name.as_str();
    state.phase == Phase::Serving
        && state.reader_link.is_none()
        && state.entries.readers().iter().any(|it| *it == name)
}

/// Whether this entry's knowledge of the configuration is too old.
fn has_stale_config(gateway: &Gateway, state: &State, now: Instant) -> bool {
    let max_age = match is_reader(gateway, state) {
        true => MAX_READER_AGE,
        false => MAX_FEED_AGE,
    };
    state.config_proof.age(now).is_none_or(|age| age > max_age)
}

/// The preferred source. The planner reads the store itself if it can. So does a serving entry with
/// followers while its configuration is current, one that is about to be listed as a reader, an entry
/// without a list of servers at its start unless it waits for a reader, and a draining entry that
/// follows no reader.
fn choose_source(gateway: &Gateway, selector: &mut Selector) -> Source {
    let (now, settings) = (clock::now(), &gateway.settings);
    gateway.with(|state| {
        let has_stale_config = has_stale_config(gateway, state, now);
        let will_read = state.reader_link.is_none()
            && state.entries.is_future_reader(
                &settings.entry_name,
                &settings.zone,
                settings.cpu_millicores,
            );
        let may_follow = match state.phase {
            Phase::Serving if state.is_planner => state.has_stale_view,
            Phase::Serving if will_read => has_stale_config,
            Phase::Serving => has_stale_config || state.followers.is_empty(),
            Phase::Draining => state.reader_link.is_some(),
            Phase::Starting => {
                state.has_server_list && !will_read || gateway.waits_for_reader(state, now)
            }
        };
        let own = (settings.entry_name.as_str(), settings.zone.as_str());
        match may_follow {
            true => selector.select(&state.entries, own, has_stale_config, now),
            false => Source::Store,
        }
    })
}

/// What this entry needs of the first reader that it follows. One of the readers goes on reading the
/// store if no other entry knows more.
fn first_need(gateway: &Gateway) -> Need {
    match gateway.with(|state| is_reader(gateway, state)) {
        true => Need::Recent,
        false => Need::Any,
    }
}

/// Connects to `reader` and follows it, and then each reader that this entry changes to, until that
/// fails or the store is preferred. `reader` is the one that was followed last.
async fn follow_reader(
    gateway: &Gateway,
    selector: &mut Selector,
    reader: &mut SmolStr,
) -> Result<Infallible, Error> {
    let mut stream = connect(gateway, reader, first_need(gateway)).await?;
    loop {
        gateway.with(|state| {
            state.reader_link = Some(state.reader_link.unwrap_or_default().reconnected())
        });
        let text = "following this reader instead of reading the store";
        gateway.record(Body::new(Kind::SourceChanged).entry(&*reader).text(text));
        let (next, opened) = exchange_messages(gateway, selector, reader, stream).await?;
        (*reader, stream) = (next, opened);
    }
}

/// What an entry needs of a reader that it connects to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Need {
    /// Any answers.
    Any,
    /// Recent knowledge, as the entry follows another reader meanwhile.
    Recent,
}

/// A stream to a reader.
struct Stream {
    /// The sending half.
    polls: SendStream<Bytes>,
    /// The receiving half.
    updates: RecvStream,
    /// Position of the configuration that the reader has in force like this entry, if it said so.
    config: Option<u64>,
}

/// Opens a stream to `reader`.
async fn connect(gateway: &Gateway, reader: &SmolStr, need: Need) -> Result<Stream, Error> {
    let (address, config) = gateway.with(|state| {
        let entry = state.entries.get(reader);
        let address = entry.and_then(|it| it.heartbeat.feed_address.parse::<SocketAddr>().ok());
        (address, state.config_document.as_ref().map(|it| it.offset))
    });
    let Some(address) = address else { return Err(Error::StreamClosed) };
    let opened = tokio::time::timeout(CONNECT_TIMEOUT, open_stream(address, need, config)).await;
    opened.map_err(|_| Error::Timeout)?
}

/// Opens the stream to the reader at `address`. `config` is the position of the configuration that
/// this entry has in force.
async fn open_stream(
    address: SocketAddr,
    need: Need,
    config: Option<u64>,
) -> Result<Stream, Error> {
    let stream = TcpStream::connect(address).await.map_err(Error::Connect)?;
    connection::set_options(&stream);
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(WINDOW_BYTES).initial_connection_window_size(WINDOW_BYTES);
    let (client, link) = builder.handshake::<_, Bytes>(stream).await.map_err(Error::Transport)?;
    // Errors of the connection are also reported on its stream.
    actix_rt::spawn(async move {
        let _ = link.await;
    });
    let mut client = client.ready().await.map_err(Error::Transport)?;
    let mut request = Request::post(STREAM_URI)
        .header(feed::FORMAT_FIELD, Format::OVERDUE_VALUE)
        .header(feed::FORMAT_FIELD, Format::EVACUATIONS_VALUE)
        .header(members::FIELD, members::FIELD_VALUE);
    if need == Need::Recent {
        request = request.header(feed::RECENT_FIELD, feed::RECENT_VALUE);
    }
    if let Some(position) = config {
        request = request.header(feed::CONFIG_FIELD, position);
    }
    let request = request.body(()).map_err(|_| Error::StreamClosed)?;
    let (response, polls) = client.send_request(request, false).map_err(Error::Transport)?;
    let response = response.await.map_err(Error::Transport)?;
    let confirmed = response.headers().get(feed::CONFIG_FIELD);
    let confirmed = confirmed.and_then(|it| it.to_str().ok()?.parse::<u64>().ok());
    Ok(Stream { polls, updates: response.into_body(), config: confirmed })
}

/// A connection to another reader that is being opened while this entry follows the present one.
type Handover<'a> = (SmolStr, Pin<Box<dyn Future<Output = Result<Stream, Error>> + 'a>>);

/// Begins to connect to `reader`.
fn begin_handover(gateway: &Gateway, reader: SmolStr) -> Handover<'_> {
    let name = reader.clone();
    (reader, Box::pin(async move { connect(gateway, &name, Need::Recent).await }))
}

/// Waits until the connection is open or has failed; forever if there is none.
async fn finish_handover(handover: &mut Option<Handover<'_>>) -> Result<Stream, Error> {
    match handover {
        Some((_, opening)) => opening.await,
        None => std::future::pending().await,
    }
}

/// Begins to connect to another reader if the one called `reader` has late knowledge. `selector` knows
/// which others have refused that.
fn leave_late_reader<'a>(
    gateway: &'a Gateway,
    selector: &mut Selector,
    reader: &SmolStr,
) -> Option<Handover<'a>> {
    let settings = &gateway.settings;
    let own = (settings.entry_name.as_str(), settings.zone.as_str());
    let other = gateway.with(|state| {
        let _late = state.reader_link.filter(|link| link.is_late())?;
        selector.select_other(&state.entries, own, reader, clock::now())
    })?;
    Some(begin_handover(gateway, other))
}

/// What a reader has sent on one stream.
#[derive(Debug, Default)]
pub struct Knowledge {
    /// The newest configuration.
    config: Shown,
    /// The reader's members, if it sends changes of them.
    members: members::Mirror,
    /// A list of entries that is older than the known entries.
    held_members: Option<Members>,
}

impl Knowledge {
    /// What a new stream shows, if the reader has the configuration at position `config` in force like
    /// this entry: it is not sent then.
    pub fn of_stream(state: &State, config: Option<u64>) -> Self {
        let own = state.config_document.as_ref().map(|it| it.offset);
        let shown = state.config_version().filter(|_| config.is_some() && own == config);
        Self { config: shown.map_or(Shown::Nothing, Shown::Version), ..Self::default() }
    }
}

/// Polls the reader at an interval and applies what it sends, until the reader fails or the store is
/// preferred, or until a stream to another reader is open, which is returned with that reader. A stream
/// to another one is opened while this one's knowledge is late, or another one is preferred. A changed
/// heartbeat of this entry is sent at once with an extra poll. A list
/// of entries that is older than the known entries is held until the reader's knowledge is newer.
async fn exchange_messages(
    gateway: &Gateway,
    selector: &mut Selector,
    reader: &SmolStr,
    stream: Stream,
) -> Result<(SmolStr, Stream), Error> {
    let Stream { mut polls, mut updates, config } = stream;
    let followed_since = clock::now();
    // The store does not respond to this entry, so it is tried again only after a while.
    let is_substitute = gateway.with(|state| has_stale_config(gateway, state, followed_since));
    let mut input = BytesMut::new();
    let mut sent_heartbeat: Option<Heartbeat> = None;
    let mut knowledge = gateway.with(|state| Knowledge::of_stream(state, config));
    let mut handover: Option<Handover<'_>> = None;
    let mut others = Selector::default();
    let mut last_response = clock::now();
    let change_after =
        MIN_FOLLOW_TIME + Duration::from_millis(gateway.incarnation % CHANGE_SPREAD_MS);
    let (mut received_bytes, mut last_part) = (0, last_response);
    let mut heartbeats = gateway.heartbeat_due.subscribe();
    loop {
        send_poll(gateway, &mut polls, &mut sent_heartbeat)?;
        let now = clock::now();
        let link = gateway.with(|state| state.reader_link);
        let due = tokio::time::sleep(link.map_or(POLL_INTERVAL, |link| link.poll_delay(now)));
        tokio::pin!(due);
        loop {
            tokio::select! {
                message = read_message(&mut updates, &mut input, decode) => {
                    let now = clock::now();
                    let received = message?;
                    if received.is_response() {
                        last_response = now;
                    }
                    let has_resigned = gateway.with(|state| {
                        apply(state, reader, received, &mut knowledge, now);
                        state.refresh_members();
                        state.resign(now)
                    });
                    if has_resigned {
                        gateway.heartbeat_due.send_replace(());
                    }
                    gateway.state_changed.send_replace(());
                    if handover.is_none() {
                        handover = leave_late_reader(gateway, &mut others, reader);
                    }
                }
                opened = finish_handover(&mut handover) => {
                    let (now, Some((other, _))) = (clock::now(), handover.take()) else { continue };
                    let is_late =
                        gateway.with(|state| state.reader_link.is_some_and(|link| link.is_late()));
                    let is_wanted =
                        is_late || choose_source(gateway, selector) == Source::Reader(other.clone());
                    match opened {
                        Ok(stream) if is_wanted => {
                            let cause = if is_late { "late" } else { "preferred" };
                            gateway.count("reader_changes", cause);
                            if is_late {
                                selector.mark_failed(reader, now);
                            }
                            return Ok((other, stream));
                        }
                        // This reader has recent knowledge again.
                        Ok(_) => {}
                        Err(_) => {
                            others.mark_failed(&other, now);
                            if !is_late {
                                selector.mark_failed(&other, now);
                            }
                            handover = leave_late_reader(gateway, &mut others, reader);
                        }
                    }
                }
                Ok(()) = heartbeats.changed() => break,
                () = &mut due => break,
            }
        }
        let now = clock::now();
        // Many followers may get a list of all servers at the same time.
        if input.len() != received_bytes {
            (received_bytes, last_part) = (input.len(), now);
        }
        let is_silent = now.since(last_response.max(last_part)) > READER_TIMEOUT;
        if is_silent || now.since(last_response) > TRANSFER_TIMEOUT {
            return Err(Error::Timeout);
        }
        if gateway.with(|state| state.reader_link.is_some_and(|link| link.should_switch(now))) {
            return Err(Error::Stale);
        }
        let followed_for = now.since(followed_since);
        let may_leave = followed_for > MIN_FOLLOW_TIME;
        match choose_source(gateway, selector) {
            // This entry may be one of the readers now, which other entries follow.
            Source::Store if may_leave || !is_substitute => return Err(Error::ReaderChanged),
            Source::Reader(preferred)
                if handover.is_none() && followed_for > change_after && preferred != *reader =>
            {
                handover = Some(begin_handover(gateway, preferred));
            }
            Source::Store | Source::Reader(_) => {}
        }
    }
}

/// Sends a poll with a timestamp of this entry's clock. It contains the heartbeat only if it
/// has changed since the last poll on this stream.
fn send_poll(
    gateway: &Gateway,
    polls: &mut SendStream<Bytes>,
    sent_heartbeat: &mut Option<Heartbeat>,
) -> Result<(), Error> {
    let heartbeat = gateway.heartbeat();
    let is_new = sent_heartbeat.as_ref() != Some(&heartbeat);
    let poll = Poll {
        name: gateway.settings.entry_name.to_string(),
        timestamp: clock::now().as_micros(),
        end_offset: gateway.with(|state| state.roster.end_offset()),
        heartbeat: is_new.then(|| heartbeat.clone()),
    };
    *sent_heartbeat = Some(heartbeat);
    let bytes = feed::encode(&poll).map_err(Error::Message)?;
    polls.send_data(bytes, false).map_err(Error::Transport)
}

/// What a reader has sent.
#[derive(Debug)]
enum Received {
    /// A message with an update.
    Message(Message),
    /// Changes of the members.
    Members(members::Changes),
}

impl Received {
    /// Whether the message responds to a poll.
    fn is_response(&self) -> bool {
        matches!(self, Received::Message(message) if message.update.ages.is_some())
    }
}

/// Removes the next message from `input` and decodes it.
fn decode(input: &mut BytesMut) -> Result<Option<Received>, feed::Error> {
    if let Some(changes) = members::decode(input)? {
        return Ok(Some(Received::Members(changes)));
    }
    Ok(feed::decode_update(input)?.map(Received::Message))
}

/// Applies what the reader has sent.
fn apply(
    state: &mut State,
    reader: &SmolStr,
    received: Received,
    knowledge: &mut Knowledge,
    now: Instant,
) {
    match received {
        Received::Message(message) => apply_message(state, reader, message, knowledge, now),
        Received::Members(changes) => {
            apply_leader(state, &changes.changed, changes.leader.as_ref(), now);
            knowledge.held_members = Some(knowledge.members.apply(changes));
            release_members(state, knowledge, None, now);
        }
    }
}

/// Replaces the known entries by the held ones, unless these are older. The held ones are current as
/// of `as_of`, if that is known.
fn release_members(
    state: &mut State,
    knowledge: &mut Knowledge,
    as_of: Option<Instant>,
    now: Instant,
) {
    let is_newer = |it: &mut Members| state.entries.is_superseded_by(it.end_offset, as_of);
    if let Some(members) = knowledge.held_members.take_if(is_newer) {
        state.entries.replace_all(members.entries, members.end_offset, now);
    }
}

/// Applies a message of the reader. The evacuated zones come before the servers that they hold for,
/// and the ages last, as they hold for the data with the changes.
///
/// A reader of a former build does not know the evacuated zones. It does not prove that what is
/// known of the configuration's topic is current, so this entry reads that topic itself, and takes
/// the first configuration from there.
pub fn apply_message(
    state: &mut State,
    reader: &str,
    message: Message,
    knowledge: &mut Knowledge,
    now: Instant,
) {
    let Message { update, overdue, evacuations } = message;
    let tells_evacuations = evacuations != Evacuations::Untold;
    if let Evacuations::Replaced(snapshot) = evacuations {
        state.replace_evacuations(snapshot, now);
    }
    let origin = match update.ages {
        Some(_) => Origin::Response(reader),
        None => Origin::Push(reader),
    };
    if let Some(document) = update.config.filter(|_| state.evacuations.is_known()) {
        knowledge.config = topics::apply_config(state, document);
    }
    if let Some(servers) = update.servers {
        apply_servers(state, servers, origin, now);
    }
    if let Some(members) = update.members {
        apply_leader(state, &members.entries, members.leader.as_ref(), now);
        knowledge.held_members = Some(members);
    }
    let as_of = update.ages.map(|ages| ages.as_of(ages.entries));
    release_members(state, knowledge, as_of, now);
    if let Some(ages) = update.ages {
        let config = match tells_evacuations && knowledge.config.proves(state.config_version()) {
            true => ages.as_of(ages.config),
            false => Instant::default(),
        };
        apply_ages(state, ages, config, now);
        if knowledge.held_members.is_none() {
            let last_seen = |it: &Overdue| (SmolStr::from(&it.name), ages.as_of(it.age));
            let overdue: Vec<(SmolStr, Instant)> = overdue.iter().map(last_seen).collect();
            state.entries.confirm(ages.as_of(ages.entries), &overdue);
        }
    }
}

/// Applies changes of the servers. A list that is older than the known one is discarded; the reader
/// sends another one once it has caught up.
fn apply_servers(state: &mut State, servers: Servers, origin: Origin<'_>, now: Instant) {
    let listed = servers.changed.into_iter().map(|(id, record)| {
        let change = Change::Listed { record: Box::new(record), stamp: None };
        (SmolStr::from(id), change)
    });
    let removed = servers.gone.into_iter().map(|id| (SmolStr::from(id), Change::Removed));
    let listing = Listing {
        end_offset: servers.end_offset,
        read_at: None,
        is_whole: servers.is_whole,
        changes: listed.chain(removed).collect(),
    };
    // An event was recorded, and nothing else has to be done about it.
    let _ = servers::apply(state, listing, origin, now);
}

/// Applies the holder of the planner's role and the blames, which are ordered by themselves.
fn apply_leader(
    state: &mut State,
    members: &[Member],
    leader: Option<&(u64, Leader)>,
    now: Instant,
) {
    for member in members {
        state.merge_blames(&member.heartbeat.blames, now);
    }
    if let Some((offset, leader)) = leader {
        state.entries.apply_leader(*offset, leader.clone());
    }
}

/// Records how current the reader's data is, as times on this entry's clock. `config` is the time as
/// of which the reader proves that the configuration in force is current, or the default time if it
/// does not prove it.
fn apply_ages(state: &mut State, ages: Ages, config: Instant, now: Instant) {
    let servers = ages.as_of(ages.servers);
    state.renew_config_proof(config);
    state.roster.record_read(servers, now);
    if let Some(link) = &mut state.reader_link {
        link.record_response(config.min(servers), now);
    }
}
