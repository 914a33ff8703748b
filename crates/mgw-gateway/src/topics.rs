//! Following the topics of the store.

use std::rc::Rc;
use std::time::Duration;

use mgw_base::time::Instant;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::entry::{self, Role};
use mgw_fleet::feed::Document;
use mgw_fleet::roster::{self, Phase};
use platform::store::{self, Record};
use smol_str::SmolStr;

use crate::clock;
use crate::gateway::{Gateway, State};
use crate::store::{Client, Error};

/// How long a read of the configuration waits for a change. Its answers prove that the
/// configuration is current, so it stays well below the bound on revocation.
const CONFIG_WAIT: Duration = Duration::from_millis(700);

/// Pause between two reads of the servers' entries.
const SERVERS_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two reads of the entries' records.
const ENTRIES_PAUSE: Duration = Duration::from_millis(900);

/// The planner's pause between two reads of the entries' records, which say whether it was replaced.
const PLANNER_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two reads while the system starts for the first time: of the entries' records
/// until there is a planner, and then of the servers' entries by the planner.
const START_PAUSE: Duration = Duration::from_millis(200);

/// Pause after a first failed call; it doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Pause after failed calls while a reader, which tries as well, answers this entry.
const FOLLOWER_PAUSE: Duration = Duration::from_millis(2_500);

/// Period of the check whether this entry has to read the store.
const SOURCE_CHECK: Duration = Duration::from_millis(100);

/// Age of the configuration's proof up to which the store can probably be reached.
const REACHABLE: Duration = Duration::from_secs(2);

/// A topic that is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The operator's configuration.
    Config,
    /// The servers' entries.
    Servers,
    /// The records of the gateway's own entries.
    Entries,
}

impl Topic {
    fn name(self) -> &'static str {
        match self {
            Topic::Config => store::CONFIG_TOPIC,
            Topic::Servers => store::SERVERS_TOPIC,
            Topic::Entries => store::ENTRIES_TOPIC,
        }
    }

    fn wait(self) -> Duration {
        match self {
            Topic::Config => CONFIG_WAIT,
            Topic::Servers | Topic::Entries => Duration::ZERO,
        }
    }

    fn pause(self, is_planner: bool, is_starting: bool) -> Duration {
        match self {
            Topic::Config => Duration::ZERO,
            Topic::Entries if is_starting && !is_planner => START_PAUSE,
            Topic::Servers if is_starting && is_planner => START_PAUSE,
            Topic::Servers => SERVERS_PAUSE,
            Topic::Entries if is_planner => PLANNER_PAUSE,
            Topic::Entries => ENTRIES_PAUSE,
        }
    }
}

/// Records of a topic.
struct Update {
    records: Vec<Record>,
    /// Whether they are all records of the topic.
    is_whole: bool,
    /// Where the next read begins.
    next: u64,
    /// Whether the topic ended there when the store answered.
    is_end: bool,
    unreadable: usize,
    /// Until when the records are known to be all there were.
    proven: Instant,
}

/// Reads `topic` for as long as the process runs, while no other entry reads it for this one.
pub async fn run(gateway: Rc<Gateway>, topic: Topic) {
    let mut client = Client::new(gateway.settings.store_address);
    let mut next = None;
    let mut failures = 0;
    loop {
        if !is_wanted(&gateway, topic) {
            // What was read before is old by the time of the next read.
            (next, failures) = (None, 0);
            let changed = gateway.source_changed.notified();
            let _ = tokio::time::timeout(SOURCE_CHECK, changed).await;
            continue;
        }
        let asked = clock::now();
        match fetch(&mut client, topic, next, asked).await {
            Ok(update) => {
                if std::mem::take(&mut failures) > 0 {
                    gateway.record(Body::new(Kind::StoreRegained).text(topic.name()));
                }
                next = Some(update.next);
                apply(&gateway, topic, update);
                gateway.state_changed.send_replace(());
                if topic == Topic::Entries {
                    apply_for_lead(&gateway, &mut client, next).await;
                }
                pause(&gateway, topic).await;
            }
            Err(Error::Status(410)) => next = None,
            Err(error) => {
                gateway.count("store_errors", topic.name());
                if failures == 0 {
                    let text = format!("{}: {error}", topic.name());
                    gateway.record(Body::new(Kind::StoreLost).text(text));
                }
                gateway.with(|state| state.roster.record_outage(clock::now()));
                let pause = match gateway.with(|state| state.has_live_reader(clock::now())) {
                    true => FOLLOWER_PAUSE,
                    false => (RETRY_PAUSE * 2_u32.pow(failures)).min(LONGEST_PAUSE),
                };
                failures = (failures + 1).min(4);
                let changed = gateway.source_changed.notified();
                let _ = tokio::time::timeout(pause, changed).await;
            }
        }
    }
}

/// Whether this entry has to read `topic` itself. One whose reader has failed reads the
/// configuration first, and the rest once the store answers: if it does not, all entries ask it in
/// vain.
fn is_wanted(gateway: &Gateway, topic: Topic) -> bool {
    let now = clock::now();
    gateway.with(|state| {
        let is_reachable = || state.config_proof.age(now).is_some_and(|age| age < REACHABLE);
        match (&state.reader_link, topic) {
            _ if state.is_following(now) => false,
            (None, _) | (Some(_), Topic::Config) => true,
            (Some(_), Topic::Servers | Topic::Entries) => is_reachable(),
        }
    })
}

async fn pause(gateway: &Gateway, topic: Topic) {
    let is_planner = gateway.with(|state| state.is_planner);
    let is_quiet = gateway.startup_quiet_time(clock::now()).is_some();
    let has_planner = gateway.with(|state| state.entries.term().is_some());
    let is_starting = is_quiet && (is_planner || !has_planner);
    let pause = tokio::time::sleep(topic.pause(is_planner, is_starting));
    match topic {
        Topic::Servers => tokio::select! {
            () = pause => {}
            () = gateway.servers_read_due.notified() => {}
        },
        Topic::Entries => tokio::select! {
            () = pause => {}
            () = gateway.entries_read_due.notified() => {}
        },
        Topic::Config => pause.await,
    }
}

async fn fetch(
    client: &mut Client,
    topic: Topic,
    next: Option<u64>,
    asked: Instant,
) -> Result<Update, Error> {
    let Some(next) = next else { return fetch_newest(client, topic, asked).await };
    let wait = topic.wait();
    let body = client.call(&store::read(topic.name(), next, wait), wait).await?;
    let batch = store::parse_batch(body, next).map_err(unreadable)?;
    // An answer without records was made when the wait was over.
    let waited = asked + wait;
    let is_idle =
        batch.next_offset == next && batch.unreadable_count == 0 && waited <= clock::now();
    Ok(Update {
        proven: if is_idle { waited } else { asked },
        records: batch.records,
        is_whole: false,
        next: batch.next_offset,
        is_end: batch.next_offset >= batch.end_offset,
        unreadable: batch.unreadable_count,
    })
}

/// Reads the newest record of each key. Pages are made one after the other, so the records from the
/// end of the first one on are read again.
async fn fetch_newest(client: &mut Client, topic: Topic, asked: Instant) -> Result<Update, Error> {
    let (mut records, mut unread) = (Vec::new(), 0);
    let (mut after, mut end): (Option<SmolStr>, Option<u64>) = (None, None);
    loop {
        let call = store::newest(topic.name(), after.as_deref());
        let body = client.call(&call, Duration::ZERO).await?;
        let page = store::parse_page(&body).map_err(unreadable)?;
        end = end.or(Some(page.end_offset));
        unread += page.unreadable_count;
        records.extend(page.records);
        after = page.resume_after;
        if after.is_none() {
            let next = end.unwrap_or_default();
            return Ok(Update {
                records,
                is_whole: true,
                next,
                is_end: true,
                unreadable: unread,
                proven: asked,
            });
        }
    }
}

fn unreadable(error: platform::Error) -> Error {
    Error::Failed { step: error.operation, cause: error.cause }
}

fn apply(gateway: &Gateway, topic: Topic, update: Update) {
    let now = clock::now();
    if update.unreadable > 0 {
        let text = format!("{} records of {}", update.unreadable, topic.name());
        gateway.record(Body::new(Kind::RecordUnreadable).text(text));
    }
    gateway.with(|state| {
        match topic {
            Topic::Config => update.records.iter().filter_map(document).for_each(|document| {
                apply_config(state, document);
            }),
            Topic::Servers => {
                state.roster.record_read(update.proven);
                apply_servers(state, &update, now);
                state.servers_end = state.servers_end.max(update.next);
            }
            Topic::Entries => {
                update.records.iter().for_each(|it| apply_entry(state, it, update.is_whole, now));
                state.entries_end = state.entries_end.max(update.next);
            }
        }
        match topic {
            Topic::Config if update.is_end => state.config_proof.renew(update.proven),
            Topic::Entries if update.is_end => {
                state.entries.record_read(update.proven);
                state.refresh_members();
            }
            _ => {}
        }
    });
}

/// The configuration in a record.
fn document(record: &Record) -> Option<Document> {
    let value = record.value.as_ref().filter(|_| record.key == store::CONFIG_KEY)?;
    Some(Document { offset: record.offset, bytes: value.to_vec() })
}

/// Puts a configuration in force if it is newer.
pub fn apply_config(state: &mut State, document: Document) {
    match platform::config::parse(&document.bytes) {
        Ok(config) if state.config.as_ref().is_none_or(|it| it.version < config.version) => {
            let text = format!("version {}, {} routes", config.version, config.routes().len());
            state.config = Some(Rc::new(config));
            let event = Body::new(Kind::ConfigApplied).offset(document.offset).text(text);
            state.journal.record(event);
            state.config_document = Some(Rc::new(document));
        }
        Ok(_) => {}
        Err(error) => {
            let event = Body::new(Kind::ConfigRejected).offset(document.offset).text(error);
            state.journal.record(event);
        }
    }
}

fn apply_servers(state: &mut State, update: &Update, now: Instant) {
    for record in &update.records {
        match &record.value {
            Some(value) => apply_server(state, &record.key, value, now),
            None => remove_server(state, &record.key, now),
        }
    }
    if update.is_whole {
        let mut ids: Vec<SmolStr> = update
            .records
            .iter()
            .filter(|record| record.value.is_some())
            .map(|record| record.key.clone())
            .collect();
        ids.sort_unstable();
        state.roster.retain(&ids, now);
    }
    state.has_server_list = true;
}

fn apply_server(state: &mut State, id: &SmolStr, value: &[u8], now: Instant) {
    match platform::server::parse_entry(value) {
        Ok(entry) => upsert_server(state, id, entry, now),
        Err(error) => {
            let event = Body::new(Kind::RecordUnreadable).instance(id).text(error);
            state.journal.record(event);
        }
    }
}

/// Takes the newest entry of a server.
pub fn upsert_server(state: &mut State, id: &SmolStr, entry: roster::Record, now: Instant) {
    let known =
        state.roster.by_id(id).map(|server| (server.record.phase, server.record.started_ms));
    let (phase, born) = (entry.phase, entry.started_ms);
    if known != Some((phase, born)) {
        let text = format!("{phase:?} for {} at {}, born {born}", entry.service, entry.address);
        state.journal.record(Body::new(Kind::ServerListed).instance(id).text(text));
    }
    let key = state.roster.find(id);
    let is_reborn = state.roster.upsert(id, entry, now);
    match key {
        Some(key) if is_reborn => state.pool.close_idle(key),
        _ => {}
    }
    if phase == Phase::Draining
        && let Some(key) = state.roster.find(id)
    {
        state.pool.close_idle(key);
    }
}

/// Takes the removal of a server's entry.
pub fn remove_server(state: &mut State, id: &SmolStr, now: Instant) {
    if state.roster.find(id).is_some() {
        let event = Body::new(Kind::ServerUnlisted).instance(id);
        state.journal.record(event);
    }
    state.roster.remove(id, now);
}

/// Takes the record of an entry. One that `is_kept` may be of an entry that ended long ago.
fn apply_entry(state: &mut State, record: &Record, is_kept: bool, now: Instant) {
    let Some(value) = &record.value else { return };
    let Some(known) = entry::decode(value) else {
        let event = Body::new(Kind::RecordUnreadable).instance(&record.key);
        state.journal.record(event);
        return;
    };
    let mut heard = now;
    if let entry::Record::Heartbeat { wall_ms, own, followers } = &known {
        state.merge_blames(&own.blames, now);
        followers.iter().for_each(|it| state.merge_blames(&it.heartbeat.blames, now));
        let age = Duration::from_millis(clock::unix_ms().saturating_sub(*wall_ms));
        match is_kept {
            true if age >= entry::HEARTBEAT_TIMEOUT => return,
            true => heard = now - age,
            false => {}
        }
    }
    state.entries.apply(&record.key, record.offset, known, heard);
}

/// Applies for the planner's role if it is vacant. The append counts only if the topic still ends
/// where this entry has read, so of several candidates one succeeds.
async fn apply_for_lead(gateway: &Gateway, client: &mut Client, end: Option<u64>) {
    let now = clock::now();
    let name = &gateway.settings.entry_name;
    let duty = gateway.with(|state| state.duty(name, gateway.incarnation, now));
    if duty != Role::Candidate {
        return;
    }
    let lead = entry::Leader { entry: name.to_string(), incarnation: gateway.incarnation };
    let value = match entry::encode(&entry::Record::Leader(lead.clone())) {
        Ok(value) => value,
        Err(error) => {
            gateway.record(Body::new(Kind::LeadLost).entry(name).text(error));
            return;
        }
    };
    let call = store::append(store::ENTRIES_TOPIC, entry::LEADER_KEY, &value, end);
    match client.call(&call, Duration::ZERO).await.map(|body| store::parse_appended(&body)) {
        Ok(Ok(offset)) => gateway.with(|state| state.entries.apply_leader(offset, lead)),
        // The next read shows whether the record is there, whatever the answer was.
        Ok(Err(error)) => {
            gateway.record(
                Body::new(Kind::LeadLost).entry(name).text(format!("application: {error}")),
            );
        }
        Err(error) => {
            gateway.record(
                Body::new(Kind::LeadLost).entry(name).text(format!("application: {error}")),
            );
        }
    }
}
