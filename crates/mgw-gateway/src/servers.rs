//! Applies server lists and their changes to the state, whether read from the store or sent by a
//! reader.

use mgw_base::time::Instant;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::roster::{Outdated, Phase, Record, Stamp};
use smol_str::SmolStr;

use crate::gateway::State;

/// How this entry received a list of servers or changes to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin<'a> {
    /// A response of the store to this entry's own read.
    Store,
    /// A reader's response to a poll of this entry.
    Response(&'a str),
    /// A message that a reader sent without being polled.
    Push(&'a str),
}

impl<'a> Origin<'a> {
    /// Name of the reader; empty if this entry read the store itself.
    fn reader(self) -> &'a str {
        match self {
            Origin::Store => "",
            Origin::Response(reader) | Origin::Push(reader) => reader,
        }
    }

    /// Description for the event log.
    fn description(self) -> &'static str {
        match self {
            Origin::Store => "read from the store",
            Origin::Response(_) => "response to a poll",
            Origin::Push(_) => "pushed",
        }
    }
}

/// What a list says of one server.
#[derive(Clone, Debug)]
pub enum Change {
    /// The server is listed with this record.
    Listed {
        /// The record.
        record: Box<Record>,
        /// How new it is; `None` if a reader sent it.
        stamp: Option<Stamp>,
    },
    /// The server is listed, but its record cannot be decoded. What was known of it holds on.
    Unreadable,
    /// The server's record was removed.
    Removed,
}

/// A list of servers, or changes to it.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Position in the servers' topic up to which its source has read.
    pub end_offset: u64,
    /// When this entry sent the read that returned the list; `None` if a reader sent it.
    pub read_at: Option<Instant>,
    /// Whether `changes` has all listed servers, so that every other one is removed.
    pub is_whole: bool,
    /// Changes by id of the server, in the order in which they were made.
    pub changes: Vec<(SmolStr, Change)>,
}

/// Applies a list or changes received at `now`.
///
/// # Errors
///
/// The list is older than the known one; nothing was applied, and an event is recorded.
pub fn apply(
    state: &mut State,
    listing: Listing,
    origin: Origin<'_>,
    now: Instant,
) -> Result<(), Outdated> {
    let Listing { end_offset, read_at, is_whole, changes } = listing;
    if let Err(outdated) = state.roster.advance(end_offset, now) {
        let event = Body::new(Kind::ListDiscarded).entry(origin.reader()).offset(end_offset);
        state.journal.record(event.text(format!("{outdated}, {}", origin.description())));
        return Err(outdated);
    }
    if is_whole || read_at.is_none() {
        state.roster.restart_history();
    }
    if let Some(read_at) = read_at {
        state.roster.record_read(read_at, now);
    }
    let mut ids: Vec<SmolStr> = Vec::new();
    for (id, change) in changes {
        match change {
            Change::Listed { record, stamp } => {
                let is_outdated = match stamp {
                    Some(stamp) => state.roster.is_superseded(&id, &record, stamp),
                    None => state.roster.is_undone_by(&id, &record),
                };
                if !is_outdated {
                    let started_ms = record.started_ms;
                    upsert(state, &id, *record, origin, now);
                    let count = stamp.and_then(|stamp| stamp.heartbeat_count);
                    state.roster.record_heartbeats(&id, started_ms, count);
                }
                ids.push(id);
            }
            Change::Unreadable => ids.push(id),
            Change::Removed => remove(state, &id, origin, now),
        }
    }
    if is_whole {
        ids.sort_unstable();
        for id in state.roster.unlisted(&ids) {
            remove(state, &id, origin, now);
        }
    }
    state.has_server_list = true;
    Ok(())
}

/// Adds a server to the roster or updates it. Idle connections to it are closed if it is draining
/// or has been restarted.
fn upsert(state: &mut State, id: &SmolStr, record: Record, origin: Origin<'_>, now: Instant) {
    let known =
        state.roster.by_id(id).map(|server| (server.record.phase, server.record.started_ms));
    let (phase, started_ms) = (record.phase, record.started_ms);
    if known != Some((phase, started_ms)) {
        let text = format!(
            "{phase:?}, service {}, address {}, started_ms {started_ms}, {}",
            record.service,
            record.address,
            origin.description()
        );
        record_event(state, Body::new(Kind::ServerListed).text(text), id, origin);
    }
    let key = state.roster.find(id);
    let is_restarted = state.roster.upsert(id, record, now);
    match key {
        Some(key) if is_restarted => state.pool.close_idle(key),
        _ => {}
    }
    if phase == Phase::Draining
        && let Some(key) = state.roster.find(id)
    {
        state.pool.close_idle(key);
    }
}

/// Applies the removal of a server's record. The roster may keep the server for a while.
fn remove(state: &mut State, id: &SmolStr, origin: Origin<'_>, now: Instant) {
    if state.roster.by_id(id).is_some_and(|server| server.missing_since.is_none()) {
        record_event(state, Body::new(Kind::ServerUnlisted).text(origin.description()), id, origin);
    }
    state.roster.remove(id, now);
}

/// Records `event` about the server `id` with the source and the end of the list.
fn record_event(state: &mut State, event: Body, id: &SmolStr, origin: Origin<'_>) {
    let end_offset = state.roster.end_offset();
    state.journal.record(event.instance(id).entry(origin.reader()).offset(end_offset));
}
