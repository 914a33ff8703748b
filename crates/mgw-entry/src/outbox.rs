//! The own appends to the log: what waits, what is on its way and what is not settled.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_state::codec;
use mgw_state::reader::Settlement;
use mgw_state::record::{Envelope, Incarnation, Nonce, Offset, Record};
use smol_str::SmolStr;

use crate::input::Append;

/// Records of one append at most.
const MAX_BATCH_RECORDS: usize = 128;

/// Bytes of one append at most, apart from a single larger record.
const MAX_BATCH_BYTES: usize = 512 << 10;

/// Records that wait at most; further ones are refused.
const MAX_QUEUED_RECORDS: usize = 4_096;

/// Pause after the first refused or lost append; doubles up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// The longest pause between two failing appends.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Time after which an append without a settled outcome is followed by an empty one.
const BARRIER_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a record is appended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The process joins.
    Join,
    /// The process wants the planner's term.
    Lead,
    /// A plan.
    Plan,
    /// An order to an instance is settled.
    OrderDone(SmolStr),
    /// A batch of claims of opaque booking keys.
    Claims(u64),
    /// An operator's publication.
    Publish(SmolStr),
    /// An operator's mark.
    Mark,
    /// An entry is gone.
    EntryGone,
    /// A request crashed a server.
    Crash,
    /// A part of a snapshot.
    Snapshot,
    /// Settles an earlier append whose reply was lost.
    Barrier,
}

impl Purpose {
    /// Whether the record is appended again after the log service refused it. The others are
    /// decided anew from the state at that time.
    fn is_requeued(&self) -> bool {
        match self {
            Purpose::Join
            | Purpose::OrderDone(_)
            | Purpose::Mark
            | Purpose::EntryGone
            | Purpose::Crash => true,
            Purpose::Lead
            | Purpose::Plan
            | Purpose::Claims(_)
            | Purpose::Publish(_)
            | Purpose::Snapshot
            | Purpose::Barrier => false,
        }
    }
}

/// An append to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Its sequence, which is the nonce of its records.
    pub sequence: u64,
    /// The encoded records.
    pub records: Vec<Vec<u8>>,
}

/// An append that ended without effect, or whose effect cannot be told yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// What its records were for.
    pub purposes: Vec<Purpose>,
    /// How it ended.
    pub result: Append,
}

#[derive(Clone, Debug)]
struct Sent {
    sequence: u64,
    items: Vec<(Purpose, Record)>,
    /// All its records are below this offset, if it was accepted.
    end: Option<Offset>,
    /// What reading told before the append ended.
    settlement: Option<Settlement>,
    unsettled_since: Instant,
}

/// The own appends.
#[derive(Clone, Debug)]
pub struct Outbox {
    incarnation: Incarnation,
    sequence: u64,
    queue: Vec<(Purpose, Record)>,
    /// The append without a reply; at most one, so that a lost reply leaves one append open.
    in_flight: Option<Sent>,
    /// Appends that were accepted and not read yet, or whose reply was lost.
    unsettled: Vec<Sent>,
    backoff: Duration,
    retry_at: Instant,
}

impl Outbox {
    /// An empty outbox.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            sequence: 0,
            queue: Vec::new(),
            in_flight: None,
            unsettled: Vec::new(),
            backoff: MIN_BACKOFF,
            retry_at: Instant::default(),
        }
    }

    /// Queues a record. Returns false if too many records wait.
    pub fn push(&mut self, purpose: Purpose, record: Record) -> bool {
        let fits = self.queue.len() < MAX_QUEUED_RECORDS;
        if fits {
            self.queue.push((purpose, record));
        }
        fits
    }

    /// Whether a record of this purpose waits, is on its way, is not settled or not read yet.
    pub fn contains(&self, purpose: &Purpose) -> bool {
        let sent = self.in_flight.iter().chain(&self.unsettled).flat_map(|sent| &sent.items);
        self.queue.iter().chain(sent).any(|(held, _)| held == purpose)
    }

    /// The number of records that wait.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// The next append, if one is due.
    pub fn next_batch(&mut self, now: Instant) -> Option<Batch> {
        if self.in_flight.is_some() || now < self.retry_at {
            return None;
        }
        let overdue = self
            .unsettled
            .iter()
            .any(|sent| sent.end.is_none() && now.since(sent.unsettled_since) >= BARRIER_TIMEOUT);
        if self.queue.is_empty() && overdue {
            // Changes nothing; its place in the log shows whether the lost append is there.
            let record = Record::OrderDone { instance: String::new(), fence: 0 };
            self.queue.push((Purpose::Barrier, record));
        }
        if self.queue.is_empty() {
            return None;
        }
        self.sequence += 1;
        let nonce = Nonce { incarnation: self.incarnation, sequence: self.sequence };
        let (mut records, mut items, mut bytes) = (Vec::new(), Vec::new(), 0);
        let mut rest = std::mem::take(&mut self.queue).into_iter();
        for (purpose, record) in rest.by_ref() {
            let envelope = Envelope { nonce, record };
            // A record beyond the limit can never be appended; sheets are checked on arrival.
            let Ok(encoded) = codec::encode(&envelope) else { continue };
            bytes += encoded.len();
            records.push(encoded);
            items.push((purpose, envelope.record));
            if records.len() >= MAX_BATCH_RECORDS || bytes >= MAX_BATCH_BYTES {
                break;
            }
        }
        self.queue = rest.collect();
        if records.is_empty() {
            return None;
        }
        self.in_flight = Some(Sent {
            sequence: self.sequence,
            items,
            end: None,
            settlement: None,
            unsettled_since: now,
        });
        Some(Batch { sequence: self.sequence, records })
    }

    /// Notes the result of an append; `None` for another append than the one on its way.
    pub fn record_result(
        &mut self,
        sequence: u64,
        result: Append,
        now: Instant,
    ) -> Option<Completion> {
        let mut sent = self.in_flight.take_if(|sent| sent.sequence == sequence)?;
        let purposes = sent.items.iter().map(|(purpose, _)| purpose.clone()).collect();
        match result {
            Append::Accepted { first } => {
                sent.end = Some(first + sent.items.len() as Offset);
                self.unsettled.push(sent);
                self.backoff = MIN_BACKOFF;
            }
            Append::Unknown => {
                match sent.settlement {
                    Some(Settlement::Absent) => self.requeue(sent.items),
                    Some(_) => {}
                    None => {
                        sent.unsettled_since = now;
                        self.unsettled.push(sent);
                    }
                }
                self.back_off(now);
            }
            Append::Refused => {
                self.requeue(sent.items);
                self.back_off(now);
            }
        }
        Some(Completion { purposes, result })
    }

    /// Notes that all records below `applied` were read.
    pub fn record_applied(&mut self, applied: Offset) {
        self.unsettled.retain(|sent| sent.end.is_none_or(|end| end > applied));
    }

    /// Notes how reading settled an append whose reply was lost. Records of an absent append that
    /// are still wanted are queued again. Returns what the append was for.
    pub fn settle(&mut self, sequence: u64, settlement: Settlement) -> Vec<Purpose> {
        // A read is often faster than the timeout that tells that the reply is lost.
        if let Some(sent) = self.in_flight.as_mut().filter(|sent| sent.sequence == sequence) {
            sent.settlement = Some(settlement);
            return Vec::new();
        }
        let Some(place) = self.unsettled.iter().position(|sent| sent.sequence == sequence) else {
            return Vec::new();
        };
        let sent = self.unsettled.remove(place);
        let purposes = sent.items.iter().map(|(purpose, _)| purpose.clone()).collect();
        if settlement == Settlement::Absent {
            self.requeue(sent.items);
        }
        purposes
    }

    fn back_off(&mut self, now: Instant) {
        self.retry_at = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    fn requeue(&mut self, items: Vec<(Purpose, Record)>) {
        let requeued = items.into_iter().filter(|(purpose, _)| purpose.is_requeued());
        self.queue.splice(0..0, requeued);
    }
}
