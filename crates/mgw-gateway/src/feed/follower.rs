//! The side that follows a reader of the store.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::{RecvStream, SendStream};
use http::Request;
use mgw_base::time::Instant;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::entry::{Heartbeat, Phase};
use mgw_fleet::feed::{self, Ages, Members, Poll, Servers, Update};
use mgw_fleet::source::{
    MAX_FEED_AGE, MIN_FOLLOW_TIME, POLL_INTERVAL, READER_TIMEOUT, Selector, Source,
};
use smol_str::SmolStr;
use tokio::net::TcpStream;

use crate::clock;
use crate::connection;
use crate::feed::{CONNECT, Error, PATH, WINDOW, next};
use crate::follow;
use crate::gateway::{Gateway, State};

/// Period of the choice of a source while the store is read.
const CHOICE: Duration = Duration::from_millis(300);

/// Pause before another reader is tried.
const RETRY: Duration = Duration::from_millis(20);

/// Follows readers for as long as the process runs, and reads the store where that is better.
pub async fn run(gate: Rc<Gateway>) {
    let mut chooser = Selector::default();
    loop {
        match choose(&gate, &mut chooser) {
            Source::Store => {
                if gate.with(|state| state.link.take()).is_some() {
                    gate.source_changed.notify_waiters();
                }
                tokio::time::sleep(CHOICE).await;
            }
            Source::Reader(reader) => {
                let Err(error) = follow(&gate, &mut chooser, &reader).await;
                if !matches!(error, Error::Left) {
                    chooser.mark_failed(&reader, clock::now());
                }
                let event = Body::new(Kind::SourceChanged).entry(&reader);
                gate.record(event.text(format!("left it: {error}")));
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

/// The preferred source. A planner that can read the store does, and an entry with followers does not
/// leave them.
fn choose(gate: &Gateway, chooser: &mut Selector) -> Source {
    let (now, settings) = (clock::now(), &gate.settings);
    gate.with(|state| {
        let is_blind = state.proof.age(now).is_none_or(|age| age > MAX_FEED_AGE);
        let may_follow = match state.phase {
            Phase::Serving if state.is_leading => state.is_blind,
            Phase::Serving => is_blind || state.followers.is_empty(),
            Phase::Draining => state.link.is_some(),
            Phase::Starting => state.is_listed,
        };
        let own = (settings.entry.as_str(), settings.zone.as_str());
        match may_follow {
            true => chooser.select(&state.entries, own, is_blind, now),
            false => Source::Store,
        }
    })
}

async fn follow(
    gate: &Gateway,
    chooser: &mut Selector,
    reader: &SmolStr,
) -> Result<Infallible, Error> {
    let address = gate.with(|state| {
        let entry = state.entries.get(reader)?;
        entry.heartbeat.feed_address.parse::<SocketAddr>().ok()
    });
    let Some(address) = address else { return Err(Error::Ended) };
    let opened = tokio::time::timeout(CONNECT, open(address)).await;
    let (asks, news) = opened.map_err(|_| Error::Silent)??;
    gate.with(|state| state.link = Some(state.link.unwrap_or_default().reconnected()));
    let text = "follows it in place of the store";
    gate.record(Body::new(Kind::SourceChanged).entry(reader).text(text));
    converse(gate, chooser, reader, asks, news).await
}

async fn open(address: SocketAddr) -> Result<(SendStream<Bytes>, RecvStream), Error> {
    let stream = TcpStream::connect(address).await.map_err(Error::Connect)?;
    connection::tune(&stream);
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(WINDOW).initial_connection_window_size(WINDOW);
    let (client, link) = builder.handshake::<_, Bytes>(stream).await.map_err(Error::Broken)?;
    // The link's errors reach its stream.
    actix_rt::spawn(async move {
        let _ = link.await;
    });
    let mut client = client.ready().await.map_err(Error::Broken)?;
    let request = Request::post(PATH).body(()).map_err(|_| Error::Ended)?;
    let (response, asks) = client.send_request(request, false).map_err(Error::Broken)?;
    let news = response.await.map_err(Error::Broken)?.into_body();
    Ok((asks, news))
}

async fn converse(
    gate: &Gateway,
    chooser: &mut Selector,
    reader: &SmolStr,
    mut asks: SendStream<Bytes>,
    mut news: RecvStream,
) -> Result<Infallible, Error> {
    let since = clock::now();
    let mut input = BytesMut::new();
    let mut told: Option<Heartbeat> = None;
    let mut answered = clock::now();
    let mut changes = gate.heartbeat_due.subscribe();
    loop {
        ask(gate, &mut asks, &mut told)?;
        let due = tokio::time::sleep(POLL_INTERVAL);
        tokio::pin!(due);
        loop {
            tokio::select! {
                message = next::<Update>(&mut news, &mut input) => {
                    let now = clock::now();
                    let message = message?;
                    if message.ages.is_some() {
                        answered = now;
                    }
                    let has_resigned = gate.with(|state| {
                        take(state, message, now);
                        state.refresh_members();
                        state.resign(now)
                    });
                    if has_resigned {
                        gate.heartbeat_due.send_replace(());
                    }
                    gate.changed.send_replace(());
                }
                Ok(()) = changes.changed() => break,
                () = &mut due => break,
            }
        }
        let now = clock::now();
        if now.since(answered) > READER_TIMEOUT {
            return Err(Error::Silent);
        }
        if gate.with(|state| state.link.is_some_and(|link| link.should_switch(now))) {
            return Err(Error::Stale);
        }
        let has_left = match choose(gate, chooser) {
            // Others may follow this entry now.
            Source::Store => true,
            Source::Reader(preferred) => preferred != *reader && now.since(since) > MIN_FOLLOW_TIME,
        };
        if has_left {
            return Err(Error::Left);
        }
    }
}

fn ask(
    gate: &Gateway,
    asks: &mut SendStream<Bytes>,
    told: &mut Option<Heartbeat>,
) -> Result<(), Error> {
    let heartbeat = gate.heartbeat();
    let is_new = told.as_ref() != Some(&heartbeat);
    let ask = Poll {
        name: gate.settings.entry.to_string(),
        timestamp: clock::now().as_micros(),
        end_offset: gate.with(|state| state.listed),
        heartbeat: is_new.then(|| heartbeat.clone()),
    };
    *told = Some(heartbeat);
    let bytes = feed::encode(&ask).map_err(Error::Message)?;
    asks.send_data(bytes, false).map_err(Error::Broken)
}

fn take(state: &mut State, news: Update, now: Instant) {
    if let Some(document) = news.config {
        follow::apply_config(state, document);
    }
    if let Some(servers) = news.servers {
        take_servers(state, servers, now);
    }
    if let Some(members) = news.members {
        take_members(state, members, now);
    }
    if let Some(ages) = news.ages {
        take_ages(state, ages, now);
    }
}

fn take_servers(state: &mut State, servers: Servers, now: Instant) {
    let mut ids: Vec<SmolStr> = Vec::new();
    for (id, record) in servers.changed {
        let id = SmolStr::from(id);
        follow::take_server(state, &id, record, now);
        ids.push(id);
    }
    if servers.is_whole {
        ids.sort_unstable();
        state.roster.retain(&ids, now);
    }
    for id in servers.gone {
        follow::remove_server(state, &SmolStr::from(id), now);
    }
    state.listed = state.listed.max(servers.end_offset);
    state.is_listed = true;
}

fn take_members(state: &mut State, members: Members, now: Instant) {
    for member in &members.entries {
        state.blame_all(&member.heartbeat.blames, now);
    }
    if let Some((offset, lead)) = members.leader {
        state.entries.apply_leader(offset, lead);
    }
    state.entries.replace_all(members.entries, members.end_offset, now);
}

fn take_ages(state: &mut State, ages: Ages, now: Instant) {
    let (config, servers) = (ages.as_of(ages.config), ages.as_of(ages.servers));
    state.proof.renew(config);
    state.roster.note_read(servers);
    state.entries.confirm(ages.as_of(ages.entries));
    if let Some(link) = &mut state.link {
        link.record_response(config.min(servers), now);
    }
}
