//! The own appends to the log: what waits, what is on its way and what is not settled.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_state::codec;
use mgw_state::reader::Settlement;
use mgw_state::record::{Envelope, Incarnation, Offset, Record, UniqueId};
use smol_str::SmolStr;

use crate::input::Append;

/// Records of one append at most.
const RECORDS: usize = 128;

/// Bytes of one append at most, apart from a single larger record.
const BYTES: usize = 512 << 10;

/// Records that wait at most; further ones are refused.
const QUEUE: usize = 4_096;

/// Pause after the first refused or lost append; doubles up to [`LONGEST_PAUSE`].
const PAUSE: Duration = Duration::from_millis(100);

/// The longest pause between two failing appends.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// Time after which an append without a settled outcome is followed by an empty one.
const BARRIER: Duration = Duration::from_secs(1);

/// Why a record is appended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The process joins.
    Join,
    /// The process wants the planner's term.
    Lead,
    /// A plan.
    Plan,
    /// An order to an instance is settled.
    Done(SmolStr),
    /// A batch of claims of opaque booking keys.
    Claims(u64),
    /// An operator's publication.
    Publish(SmolStr),
    /// An operator's mark.
    Mark,
    /// An entry is gone.
    Gone,
    /// A request crashed a server.
    Crash,
    /// A part of a snapshot.
    Snapshot,
    /// Settles an earlier append whose reply was lost.
    Barrier,
}

impl Origin {
    /// Whether the record is appended again after the log service refused it. The others are
    /// decided anew from the state at that time.
    fn is_repeated(&self) -> bool {
        match self {
            Origin::Join | Origin::Done(_) | Origin::Mark | Origin::Gone | Origin::Crash => true,
            Origin::Lead
            | Origin::Plan
            | Origin::Claims(_)
            | Origin::Publish(_)
            | Origin::Snapshot
            | Origin::Barrier => false,
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
pub struct Ended {
    /// What its records were for.
    pub origins: Vec<Origin>,
    /// How it ended.
    pub result: Append,
}

#[derive(Clone, Debug)]
struct Sent {
    sequence: u64,
    items: Vec<(Origin, Record)>,
    /// All its records are below this offset, if it was accepted.
    end: Option<Offset>,
    /// What reading told before the append ended.
    settled: Option<Settlement>,
    at: Instant,
}

/// The own appends.
#[derive(Clone, Debug)]
pub struct Outbox {
    incarnation: Incarnation,
    sequence: u64,
    queue: Vec<(Origin, Record)>,
    /// The append without a reply; at most one, so that a lost reply leaves one append open.
    flying: Option<Sent>,
    /// Appends that were accepted and not read yet, or whose reply was lost.
    open: Vec<Sent>,
    pause: Duration,
    until: Instant,
}

impl Outbox {
    /// An empty outbox.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            sequence: 0,
            queue: Vec::new(),
            flying: None,
            open: Vec::new(),
            pause: PAUSE,
            until: Instant::default(),
        }
    }

    /// Queues a record. Returns false if too many records wait.
    pub fn push(&mut self, origin: Origin, record: Record) -> bool {
        let fits = self.queue.len() < QUEUE;
        if fits {
            self.queue.push((origin, record));
        }
        fits
    }

    /// Whether a record of this origin waits, is on its way, is not settled or not read yet.
    pub fn holds(&self, origin: &Origin) -> bool {
        let sent = self.flying.iter().chain(&self.open).flat_map(|sent| &sent.items);
        self.queue.iter().chain(sent).any(|(held, _)| held == origin)
    }

    /// The number of records that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// The next append, if one is due.
    pub fn next(&mut self, now: Instant) -> Option<Batch> {
        if self.flying.is_some() || now < self.until {
            return None;
        }
        let lost = self.open.iter().any(|sent| sent.end.is_none() && now.since(sent.at) >= BARRIER);
        if self.queue.is_empty() && lost {
            // Changes nothing; its place in the log shows whether the lost append is there.
            let record = Record::OrderDone { instance: String::new(), fence: 0 };
            self.queue.push((Origin::Barrier, record));
        }
        if self.queue.is_empty() {
            return None;
        }
        self.sequence += 1;
        let append_id = UniqueId { incarnation: self.incarnation, sequence: self.sequence };
        let (mut records, mut items, mut bytes) = (Vec::new(), Vec::new(), 0);
        let mut rest = std::mem::take(&mut self.queue).into_iter();
        for (origin, record) in rest.by_ref() {
            let envelope = Envelope { append_id, record };
            // A record beyond the limit can never be appended; sheets are checked on arrival.
            let Ok(encoded) = codec::encode(&envelope) else { continue };
            bytes += encoded.len();
            records.push(encoded);
            items.push((origin, envelope.record));
            if records.len() >= RECORDS || bytes >= BYTES {
                break;
            }
        }
        self.queue = rest.collect();
        if records.is_empty() {
            return None;
        }
        self.flying =
            Some(Sent { sequence: self.sequence, items, end: None, settled: None, at: now });
        Some(Batch { sequence: self.sequence, records })
    }

    /// Notes the result of an append; `None` for another append than the one on its way.
    pub fn result(&mut self, sequence: u64, result: Append, now: Instant) -> Option<Ended> {
        let mut sent = self.flying.take_if(|sent| sent.sequence == sequence)?;
        let origins = sent.items.iter().map(|(origin, _)| origin.clone()).collect();
        match result {
            Append::Accepted { first } => {
                sent.end = Some(first + sent.items.len() as Offset);
                self.open.push(sent);
                self.pause = PAUSE;
            }
            Append::Unknown => {
                match sent.settled {
                    Some(Settlement::Absent) => self.repeat(sent.items),
                    Some(_) => {}
                    None => {
                        sent.at = now;
                        self.open.push(sent);
                    }
                }
                self.back_off(now);
            }
            Append::Refused => {
                self.repeat(sent.items);
                self.back_off(now);
            }
        }
        Some(Ended { origins, result })
    }

    /// Notes that all records below `applied` were read.
    pub fn applied(&mut self, applied: Offset) {
        self.open.retain(|sent| sent.end.is_none_or(|end| end > applied));
    }

    /// Notes how reading settled an append whose reply was lost. Records of an absent append that
    /// are still wanted are queued again. Returns what the append was for.
    pub fn settle(&mut self, sequence: u64, settlement: Settlement) -> Vec<Origin> {
        // A read is often faster than the timeout that tells that the reply is lost.
        if let Some(sent) = self.flying.as_mut().filter(|sent| sent.sequence == sequence) {
            sent.settled = Some(settlement);
            return Vec::new();
        }
        let Some(place) = self.open.iter().position(|sent| sent.sequence == sequence) else {
            return Vec::new();
        };
        let sent = self.open.remove(place);
        let origins = sent.items.iter().map(|(origin, _)| origin.clone()).collect();
        if settlement == Settlement::Absent {
            self.repeat(sent.items);
        }
        origins
    }

    fn back_off(&mut self, now: Instant) {
        self.until = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
    }

    fn repeat(&mut self, items: Vec<(Origin, Record)>) {
        let repeated = items.into_iter().filter(|(origin, _)| origin.is_repeated());
        self.queue.splice(0..0, repeated);
    }
}
