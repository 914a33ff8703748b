//! This process's appends to the log: queued records, the append in flight and the appends whose
//! outcome is not settled.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_state::codec;
use mgw_state::reader::Settlement;
use mgw_state::record::{Envelope, Incarnation, Offset, Record, UniqueId};
use smol_str::SmolStr;

use crate::input::Append;

/// Maximum number of records in one append.
const MAX_BATCH_RECORDS: usize = 128;

/// Maximum size of one append, in bytes. The record that reaches it is the last one of the append,
/// so an append may be larger by a part of one record.
const MAX_BATCH_BYTES: usize = 512 << 10;

/// Maximum number of queued records; further ones are refused.
const MAX_QUEUED_RECORDS: usize = 4_096;

/// Time to the next append after the first refused or lost one. Doubles with each further failure,
/// up to [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);

/// Maximum time between two failing appends.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Time after which an append whose reply was lost is followed by a barrier record if nothing else
/// is queued. Reading up to the barrier settles the earlier append.
const BARRIER_TIMEOUT: Duration = Duration::from_secs(1);

/// The reason for which a record is appended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The process joins the cluster.
    Join,
    /// The process asks for the next term as the planner.
    Lead,
    /// A change of groups that the planner decided on.
    Plan,
    /// An order to the instance of this name is done.
    OrderDone(SmolStr),
    /// A batch of claims of opaque booking keys, by its sequence number.
    Claims(u64),
    /// An operator's publication, by its id.
    Publish(SmolStr),
    /// An operator's mark on an instance or entry.
    Mark,
    /// An operator declared an entry gone.
    EntryGone,
    /// A server crashed with a request in flight.
    Crash,
    /// A part of a snapshot.
    Snapshot,
    /// A record without effect that settles an earlier append whose reply was lost.
    Barrier,
}

impl Purpose {
    /// Whether the record is queued again if it was not appended. The others are decided anew from
    /// the state at that time.
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

/// An append to send to the log service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Sequence number of the append, which is also that of the nonce of its records.
    pub sequence: u64,
    /// The encoded records.
    pub records: Vec<Vec<u8>>,
}

/// The result of an append.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Purposes of its records, in their order.
    pub purposes: Vec<Purpose>,
    /// Result reported by the log service.
    pub result: Append,
}

/// An append that was sent.
#[derive(Clone, Debug)]
struct Sent {
    sequence: u64,
    items: Vec<(Purpose, Record)>,
    /// Offset after the last record; `None` unless the append was accepted.
    end: Option<Offset>,
    /// Settlement by a read that came before the result of the append.
    settlement: Option<Settlement>,
    /// When the append was sent or, later, when its reply was found to be lost.
    unsettled_since: Instant,
}

/// The appends of this process.
#[derive(Clone, Debug)]
pub struct Outbox {
    incarnation: Incarnation,
    sequence: u64,
    queue: Vec<(Purpose, Record)>,
    /// The append that waits for its result. There is at most one, so that a lost reply leaves the
    /// outcome of only one append unknown.
    in_flight: Option<Sent>,
    /// Appends that were accepted and not read yet, or whose reply was lost and that no read has
    /// settled.
    unsettled: Vec<Sent>,
    /// Time to wait after the next failure.
    backoff: Duration,
    /// No append is sent before this time.
    retry_at: Instant,
}

impl Outbox {
    /// Creates an empty outbox.
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

    /// Queues a record. Returns false if the queue is full.
    pub fn push(&mut self, purpose: Purpose, record: Record) -> bool {
        let fits = self.queue.len() < MAX_QUEUED_RECORDS;
        if fits {
            self.queue.push((purpose, record));
        }
        fits
    }

    /// Whether a record of this purpose is queued, in flight, not settled or not read yet.
    pub fn contains(&self, purpose: &Purpose) -> bool {
        let sent = self.in_flight.iter().chain(&self.unsettled).flat_map(|sent| &sent.items);
        self.queue.iter().chain(sent).any(|(known, _)| known == purpose)
    }

    /// Number of queued records.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    /// Returns the next append. `None` while one is in flight, during a backoff, or if nothing is
    /// queued.
    pub fn next_batch(&mut self, now: Instant) -> Option<Batch> {
        if self.in_flight.is_some() || now < self.retry_at {
            return None;
        }
        let overdue = self
            .unsettled
            .iter()
            .any(|sent| sent.end.is_none() && now.since(sent.unsettled_since) >= BARRIER_TIMEOUT);
        if self.queue.is_empty() && overdue {
            // The record has no effect on the state. Once it is read, the lost append was either
            // read before it or is not in the log.
            let record = Record::OrderDone { instance: String::new(), fence: 0 };
            self.queue.push((Purpose::Barrier, record));
        }
        if self.queue.is_empty() {
            return None;
        }
        self.sequence += 1;
        let append_id = UniqueId { incarnation: self.incarnation, sequence: self.sequence };
        let (mut records, mut items, mut bytes) = (Vec::new(), Vec::new(), 0);
        let mut rest = std::mem::take(&mut self.queue).into_iter();
        for (purpose, record) in rest.by_ref() {
            let envelope = Envelope { append_id, record };
            // A record above the size limit can never be appended, so it is dropped. Sheets are
            // checked when they arrive.
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

    /// Records the result of the append in flight. `None` if `sequence` is that of another append.
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

    /// Records that all records below `applied` were read, which ends the accepted appends among
    /// them.
    pub fn record_applied(&mut self, applied: Offset) {
        self.unsettled.retain(|sent| sent.end.is_none_or(|end| end > applied));
    }

    /// Records how a read settled an append. Records of an absent append are queued again unless
    /// they are decided anew. Returns the purposes of an append whose reply was lost.
    pub fn settle(&mut self, sequence: u64, settlement: Settlement) -> Vec<Purpose> {
        // A read often settles the append before the timeout of its reply.
        if let Some(sent) = self.in_flight.as_mut().filter(|sent| sent.sequence == sequence) {
            sent.settlement = Some(settlement);
            return Vec::new();
        }
        let Some(index) = self.unsettled.iter().position(|sent| sent.sequence == sequence) else {
            return Vec::new();
        };
        let sent = self.unsettled.remove(index);
        let purposes = sent.items.iter().map(|(purpose, _)| purpose.clone()).collect();
        if settlement == Settlement::Absent {
            self.requeue(sent.items);
        }
        purposes
    }

    /// Delays the next append after a failure.
    fn back_off(&mut self, now: Instant) {
        self.retry_at = now + self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
    }

    /// Queues those records again, ahead of all others, that are not decided anew.
    fn requeue(&mut self, items: Vec<(Purpose, Record)>) {
        let requeued = items.into_iter().filter(|(purpose, _)| purpose.is_requeued());
        self.queue.splice(0..0, requeued);
    }
}
