//! Reads the records of a topic: those from an offset on, or the newest one of each key.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_fleet::position::Position;
use platform::store::{self, Record};
use smol_str::SmolStr;

use crate::clock;
use crate::gateway::Gateway;
use crate::store::{Client, Error};
use crate::topics::Topic;

/// The result of reading a topic once.
pub(super) struct Update {
    pub(super) records: Vec<Record>,
    /// Whether the records are the newest ones of all keys, rather than those from an offset on.
    pub(super) is_snapshot: bool,
    /// Position at which the next read begins.
    pub(super) next: Position,
    /// Whether `next` was the end of the topic when the store responded.
    pub(super) is_at_end: bool,
    /// Number of records that could not be decoded.
    pub(super) unreadable: usize,
    /// The latest time as of which the records are known to be complete.
    pub(super) proven_at: Instant,
}

impl Update {
    /// Position of a record in the topic, packed.
    pub(super) fn position(&self, record: &Record) -> u64 {
        Position { offset: record.offset, ..self.next }.pack()
    }
}

/// Reads the records from position `next` on, or a snapshot if there is none. The store may hold the
/// read for up to `wait` until there is a record.
pub(super) async fn read_next(
    gateway: &Gateway,
    client: &mut Client,
    topic: Topic,
    next: Option<Position>,
    wait: Duration,
    sent_at: Instant,
) -> Result<Update, Error> {
    let Some(next) = next else { return read_snapshot(gateway, client, topic, sent_at).await };
    let response = client.call(&store::read(topic.name(), next.offset, wait), wait).await?;
    check_era(gateway, response.era, Some(next.era))?;
    let batch = store::parse_batch(response.body, next.offset).map_err(decode_error)?;
    // The store sends a response without records only after the whole wait, so it is complete as of
    // then.
    let waited_until = sent_at + wait;
    let is_idle = batch.next_offset == next.offset
        && batch.unreadable_count == 0
        && waited_until <= clock::now();
    Ok(Update {
        proven_at: if is_idle { waited_until } else { sent_at },
        records: batch.records,
        is_snapshot: false,
        next: Position { offset: batch.next_offset, ..next },
        is_at_end: batch.next_offset >= batch.end_offset,
        unreadable: batch.unreadable_count,
    })
}

/// Reads the newest record of each key. The pages are not made at the same time, so the next read
/// begins at the end that the first page states, and may read records again.
async fn read_snapshot(
    gateway: &Gateway,
    client: &mut Client,
    topic: Topic,
    sent_at: Instant,
) -> Result<Update, Error> {
    let (mut records, mut unread) = (Vec::new(), 0);
    let (mut after, mut end): (Option<SmolStr>, Option<Position>) = (None, None);
    loop {
        let call = store::newest(topic.name(), after.as_deref());
        let response = client.call(&call, Duration::ZERO).await?;
        check_era(gateway, response.era, end.map(|end| end.era))?;
        let page = store::parse_page(&response.body).map_err(decode_error)?;
        let next = *end.get_or_insert(Position { era: response.era, offset: page.end_offset });
        unread += page.unreadable_count;
        records.extend(page.records);
        after = page.resume_after;
        if after.is_none() {
            return Ok(Update {
                records,
                is_snapshot: true,
                next,
                is_at_end: true,
                unreadable: unread,
                proven_at: sent_at,
            });
        }
    }
}

/// The error of a response that cannot be decoded.
pub(super) fn decode_error(error: platform::Error) -> Error {
    Error::Failed { step: error.operation, cause: error.cause }
}

/// Checks that a response was made in the newest known era of the store, and in the era `expected`
/// of the offset in its call, if that has one.
pub(super) fn check_era(gateway: &Gateway, era: u64, expected: Option<u64>) -> Result<(), Error> {
    gateway.with(|state| state.record_era(era))?;
    match expected {
        Some(expected) if expected != era => Err(Error::Restored),
        Some(_) | None => Ok(()),
    }
}
