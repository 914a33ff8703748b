//! Keeps reading the topics of the store, while this entry gets their contents from no reader.

mod apply;
mod candidacy;
mod read;

use std::rc::Rc;
use std::time::Duration;

use mgw_base::time::Instant;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::freshness;
use mgw_fleet::position::Position;
use mgw_fleet::source::MAX_FEED_AGE;
use platform::store;

use crate::clock;
use crate::gateway::{Gateway, State};
use crate::store::{Client, Error};

pub use apply::apply_config;
use apply::apply_update;
use candidacy::apply_for_planner_role;
use read::read_next;

/// Maximum time between two proofs that the configuration or the servers are current. The store may hold
/// a read until then if there is no change. It stays well below the bound on the revocation of keys.
const PROOF_INTERVAL: Duration = Duration::from_millis(700);

/// Time from a response with servers to the next read, so that changes share a response.
const SERVERS_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between reads of the entries' topic.
const ENTRIES_POLL_INTERVAL: Duration = Duration::from_millis(900);

/// Interval between the planner's reads of the entries' topic, which tells whether another entry
/// has taken the role.
const PLANNER_ENTRIES_POLL_INTERVAL: Duration = Duration::from_millis(400);

/// Interval between reads during the first start of the whole system: of the entries' topic until
/// there is a planner, and of the servers' topic by the planner.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Delay after the first failed call; it doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Maximum delay after failed calls.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Delay after failed calls while the followed reader responds. That reader also retries the store,
/// so this entry can call it less often.
const FOLLOWER_RETRY_DELAY: Duration = Duration::from_millis(2_500);

/// Interval of the check whether this entry has to read the store itself.
const SOURCE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum age of the configuration's proof at which the store is assumed to be reachable.
const REACHABLE_PROOF_AGE: Duration = Duration::from_secs(2);

/// A topic of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Topic {
    /// The operator's configuration.
    Config,
    /// The records of the servers, by server id.
    Servers,
    /// The heartbeats of the gateway entries, and the record that names the planner.
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

    /// Time after the previous proof until which the store may hold a read. Records of the entries
    /// arrive all the time, so that holding a read of them saves no call.
    fn proof_interval(self) -> Duration {
        match self {
            Topic::Config | Topic::Servers => PROOF_INTERVAL,
            Topic::Entries => Duration::ZERO,
        }
    }

    /// Whether a read is sent again if its response is late, as followers leave a reader with old
    /// knowledge of the topic.
    fn is_repeated(self) -> bool {
        match self {
            Topic::Config | Topic::Servers => true,
            Topic::Entries => false,
        }
    }

    fn poll_interval(self, is_planner: bool, is_starting: bool) -> Duration {
        match self {
            Topic::Config => Duration::ZERO,
            Topic::Entries if is_starting && !is_planner => STARTUP_POLL_INTERVAL,
            Topic::Servers if is_starting && is_planner => STARTUP_POLL_INTERVAL,
            Topic::Servers => SERVERS_POLL_INTERVAL,
            Topic::Entries if is_planner => PLANNER_ENTRIES_POLL_INTERVAL,
            Topic::Entries => ENTRIES_POLL_INTERVAL,
        }
    }
}

/// Reads `topic` for as long as the process runs, except while this entry gets the store's contents
/// from a reader.
pub async fn run(gateway: Rc<Gateway>, topic: Topic) {
    let mut client = Client::new(gateway.settings.store_address);
    let mut next = None;
    let mut proven_at = None;
    let mut failures = 0;
    let mut is_repeated = false;
    // Whether a reader may have informed this entry since the last read.
    let mut was_informed = false;
    tokio::time::sleep(gateway.startup.delay).await;
    loop {
        if !should_read(&gateway, topic) {
            (next, proven_at, failures, was_informed) = (None, None, 0, true);
            let changed = gateway.source_changed.notified();
            tokio::select! {
                () = changed => {}
                () = clock::sleep(SOURCE_CHECK_INTERVAL) => {}
            }
            continue;
        }
        let sent_at = clock::now();
        if was_informed {
            next = gateway.with(|state| known_end(state, topic));
        }
        if topic == Topic::Servers && gateway.with(|state| state.roster.take_reread(sent_at)) {
            next = None;
        }
        // The first read does not wait, and neither does one after a failed one, as the store may have
        // been restored.
        let is_first = std::mem::take(&mut was_informed);
        let wait = match failures {
            0 if !is_repeated && !is_first => {
                freshness::hold_time(topic.proof_interval(), proven_at, sent_at)
            }
            _ => Duration::ZERO,
        };
        let read = read_next(&gateway, &mut client, topic, next, wait, sent_at);
        let is_first_try = failures == 0 && !is_repeated && next.is_some();
        let result = match proven_at.filter(|_| is_first_try && topic.is_repeated()) {
            Some(proven_at) => {
                let delay = freshness::repeat_delay(wait, proven_at, sent_at);
                tokio::time::timeout(delay, read).await.unwrap_or(Err(Error::Overdue))
            }
            None => read.await,
        };
        is_repeated = matches!(result, Err(Error::Overdue));
        match result {
            Ok(update) => {
                if std::mem::take(&mut failures) > 0 {
                    gateway.record(Body::new(Kind::StoreRegained).text(topic.name()));
                }
                proven_at = Some(update.proven_at);
                // After outdated records, a snapshot shows what they are missing.
                let end = update.next;
                next = apply_update(&gateway, topic, update).map(|()| end).ok();
                gateway.state_changed.send_replace(());
                if topic == Topic::Entries {
                    apply_for_planner_role(&gateway, &mut client, next).await;
                }
                wait_for_next_read(&gateway, topic).await;
            }
            // 410 Gone: the records at this offset no longer exist. A snapshot is read, also after a
            // restore of the store, in which the offset may name another record.
            Err(Error::Status(410) | Error::Restored) => next = None,
            // The response may be lost, which says nothing about the store.
            Err(Error::Overdue) => gateway.count("store_overdue", topic.name()),
            Err(error) => {
                gateway.count("store_errors", topic.name());
                if failures == 0 {
                    let text = format!("read topic {}: {error}", topic.name());
                    gateway.record(Body::new(Kind::StoreLost).text(text));
                }
                let pause = match gateway.with(|state| state.has_live_reader(clock::now())) {
                    true => FOLLOWER_RETRY_DELAY,
                    false => (MIN_RETRY_DELAY * 2_u32.pow(failures)).min(MAX_RETRY_DELAY),
                };
                failures = (failures + 1).min(4);
                let changed = gateway.source_changed.notified();
                let _ = tokio::time::timeout(pause, changed).await;
            }
        }
    }
}

/// Whether this entry has to read `topic` itself. An entry whose reader has failed reads only the
/// configuration at first, and the other topics once the store responds. Otherwise all entries
/// would send calls in vain for all topics during an outage of the store.
///
/// While a reader answers, this entry does not read what it knows well enough: a list that is newer
/// than the reader's would keep the reader from sending its own.
fn should_read(gateway: &Gateway, topic: Topic) -> bool {
    let now = clock::now();
    gateway.with(|state| {
        let is_reachable =
            || state.config_proof.age(now).is_some_and(|age| age < REACHABLE_PROOF_AGE);
        match (&state.reader_link, topic) {
            _ if state.is_following(now) => false,
            _ if state.has_live_reader(now) && is_recent(state, topic, now) => false,
            (_, Topic::Config | Topic::Servers) if gateway.waits_for_reader(state, now) => false,
            (None, _) | (Some(_), Topic::Config) => true,
            (Some(_), Topic::Servers | Topic::Entries) => is_reachable(),
        }
    })
}

/// The end of what this entry knows of `topic` from a reader, if it can go on from there. Reading all
/// servers takes a small entry seconds, and when readers fail, many entries read at the same time.
/// Of the other topics, readers tell no position, and the newest records are small.
fn known_end(state: &State, topic: Topic) -> Option<Position> {
    match topic {
        Topic::Servers if state.has_server_list => {
            Some(Position::unpack(state.roster.end_offset()))
        }
        Topic::Servers | Topic::Config | Topic::Entries => None,
    }
}

/// Whether this entry's knowledge of `topic` is recent enough without a further read.
fn is_recent(state: &State, topic: Topic, now: Instant) -> bool {
    let known_as_of = match topic {
        Topic::Config => return state.config_proof.age(now).is_some_and(|it| it < MAX_FEED_AGE),
        Topic::Servers => state.has_server_list.then(|| state.roster.list_read_at()),
        Topic::Entries => state.entries.last_read(),
    };
    known_as_of.is_some_and(|as_of| now.since(as_of) < MAX_FEED_AGE)
}

/// Waits for the poll interval of `topic`, or until an earlier read of it is due.
async fn wait_for_next_read(gateway: &Gateway, topic: Topic) {
    let is_planner = gateway.with(|state| state.is_planner);
    let is_before_traffic = gateway.until_traffic(clock::now()).is_some();
    let has_planner = gateway.with(|state| state.entries.term().is_some());
    let is_starting = is_before_traffic && (is_planner || !has_planner);
    let pause = tokio::time::sleep(topic.poll_interval(is_planner, is_starting));
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
