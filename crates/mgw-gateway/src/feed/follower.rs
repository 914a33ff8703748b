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
use crate::gateway::{Gateway, State};
use crate::topics;

/// Period of the choice of a source while the store is read.
const CHOICE: Duration = Duration::from_millis(300);

/// Pause before another reader is tried.
const RETRY: Duration = Duration::from_millis(20);

/// Follows readers for as long as the process runs, and reads the store where that is better.
pub async fn run(gateway: Rc<Gateway>) {
    let mut chooser = Selector::default();
    loop {
        match choose(&gateway, &mut chooser) {
            Source::Store => {
                if gateway.with(|state| state.reader_link.take()).is_some() {
                    gateway.source_changed.notify_waiters();
                }
                tokio::time::sleep(CHOICE).await;
            }
            Source::Reader(reader) => {
                let Err(error) = follow(&gateway, &mut chooser, &reader).await;
                if !matches!(error, Error::SourceChanged) {
                    chooser.mark_failed(&reader, clock::now());
                }
                let event = Body::new(Kind::SourceChanged).entry(&reader);
                gateway.record(event.text(format!("left it: {error}")));
                tokio::time::sleep(RETRY).await;
            }
        }
    }
}

/// The preferred source. A planner that can read the store does, and an entry with followers does not
/// leave them.
fn choose(gateway: &Gateway, chooser: &mut Selector) -> Source {
    let (now, settings) = (clock::now(), &gateway.settings);
    gateway.with(|state| {
        let is_blind = state.config_proof.age(now).is_none_or(|age| age > MAX_FEED_AGE);
        let may_follow = match state.phase {
            Phase::Serving if state.is_planner => state.is_blind,
            Phase::Serving => is_blind || state.followers.is_empty(),
            Phase::Draining => state.reader_link.is_some(),
            Phase::Starting => state.has_server_list,
        };
        let own = (settings.entry_name.as_str(), settings.zone.as_str());
        match may_follow {
            true => chooser.select(&state.entries, own, is_blind, now),
            false => Source::Store,
        }
    })
}

async fn follow(
    gateway: &Gateway,
    chooser: &mut Selector,
    reader: &SmolStr,
) -> Result<Infallible, Error> {
    let address = gateway.with(|state| {
        let entry = state.entries.get(reader)?;
        entry.heartbeat.feed_address.parse::<SocketAddr>().ok()
    });
    let Some(address) = address else { return Err(Error::StreamClosed) };
    let opened = tokio::time::timeout(CONNECT, open(address)).await;
    let (asks, news) = opened.map_err(|_| Error::Timeout)??;
    gateway.with(|state| {
        state.reader_link = Some(state.reader_link.unwrap_or_default().reconnected())
    });
    let text = "follows it in place of the store";
    gateway.record(Body::new(Kind::SourceChanged).entry(reader).text(text));
    converse(gateway, chooser, reader, asks, news).await
}

async fn open(address: SocketAddr) -> Result<(SendStream<Bytes>, RecvStream), Error> {
    let stream = TcpStream::connect(address).await.map_err(Error::Connect)?;
    connection::set_options(&stream);
    let mut builder = h2::client::Builder::new();
    builder.initial_window_size(WINDOW).initial_connection_window_size(WINDOW);
    let (client, link) = builder.handshake::<_, Bytes>(stream).await.map_err(Error::Transport)?;
    // The link's errors reach its stream.
    actix_rt::spawn(async move {
        let _ = link.await;
    });
    let mut client = client.ready().await.map_err(Error::Transport)?;
    let request = Request::post(PATH).body(()).map_err(|_| Error::StreamClosed)?;
    let (response, asks) = client.send_request(request, false).map_err(Error::Transport)?;
    let news = response.await.map_err(Error::Transport)?.into_body();
    Ok((asks, news))
}

async fn converse(
    gateway: &Gateway,
    chooser: &mut Selector,
    reader: &SmolStr,
    mut asks: SendStream<Bytes>,
    mut news: RecvStream,
) -> Result<Infallible, Error> {
    let since = clock::now();
    let mut input = BytesMut::new();
    let mut told: Option<Heartbeat> = None;
    let mut answered = clock::now();
    let mut changes = gateway.heartbeat_due.subscribe();
    loop {
        ask(gateway, &mut asks, &mut told)?;
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
                    let has_resigned = gateway.with(|state| {
                        take(state, message, now);
                        state.refresh_members();
                        state.resign(now)
                    });
                    if has_resigned {
                        gateway.heartbeat_due.send_replace(());
                    }
                    gateway.state_changed.send_replace(());
                }
                Ok(()) = changes.changed() => break,
                () = &mut due => break,
            }
        }
        let now = clock::now();
        if now.since(answered) > READER_TIMEOUT {
            return Err(Error::Timeout);
        }
        if gateway.with(|state| state.reader_link.is_some_and(|link| link.should_switch(now))) {
            return Err(Error::Stale);
        }
        let has_left = match choose(gateway, chooser) {
            // Others may follow this entry now.
            Source::Store => true,
            Source::Reader(preferred) => preferred != *reader && now.since(since) > MIN_FOLLOW_TIME,
        };
        if has_left {
            return Err(Error::SourceChanged);
        }
    }
}

fn ask(
    gateway: &Gateway,
    asks: &mut SendStream<Bytes>,
    told: &mut Option<Heartbeat>,
) -> Result<(), Error> {
    let heartbeat = gateway.heartbeat();
    let is_new = told.as_ref() != Some(&heartbeat);
    let ask = Poll {
        name: gateway.settings.entry_name.to_string(),
        timestamp: clock::now().as_micros(),
        end_offset: gateway.with(|state| state.servers_end),
        heartbeat: is_new.then(|| heartbeat.clone()),
    };
    *told = Some(heartbeat);
    let bytes = feed::encode(&ask).map_err(Error::Message)?;
    asks.send_data(bytes, false).map_err(Error::Transport)
}

fn take(state: &mut State, news: Update, now: Instant) {
    if let Some(document) = news.config {
        topics::apply_config(state, document);
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
        topics::upsert_server(state, &id, record, now);
        ids.push(id);
    }
    if servers.is_whole {
        ids.sort_unstable();
        state.roster.retain(&ids, now);
    }
    for id in servers.gone {
        topics::remove_server(state, &SmolStr::from(id), now);
    }
    state.servers_end = state.servers_end.max(servers.end_offset);
    state.has_server_list = true;
}

fn take_members(state: &mut State, members: Members, now: Instant) {
    for member in &members.entries {
        state.merge_blames(&member.heartbeat.blames, now);
    }
    if let Some((offset, lead)) = members.leader {
        state.entries.apply_leader(offset, lead);
    }
    state.entries.replace_all(members.entries, members.end_offset, now);
}

fn take_ages(state: &mut State, ages: Ages, now: Instant) {
    let (config, servers) = (ages.as_of(ages.config), ages.as_of(ages.servers));
    state.config_proof.renew(config);
    state.roster.record_read(servers);
    state.entries.confirm(ages.as_of(ages.entries));
    if let Some(link) = &mut state.reader_link {
        link.record_response(config.min(servers), now);
    }
}
