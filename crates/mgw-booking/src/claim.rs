//! Claims of opaque keys in the log: batching, appending and waiting for the first claim.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;

/// Limits of claim batches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Maximum time that a claim waits for others to fill its batch.
    pub batch_delay: Duration,
    /// Maximum number of claims in one append.
    pub max_batch: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { batch_delay: Duration::from_millis(10), max_batch: 512 }
    }
}

/// Claims that are appended to the log as one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Number of the batch, ascending. The result of the append must be reported with it.
    pub sequence: u64,
    /// Hashes of the claimed keys, ascending.
    pub keys: Vec<u128>,
}

/// The result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Append {
    /// The claims were appended.
    Accepted,
    /// The claims were definitely not appended.
    Refused,
    /// It is unknown whether the claims were appended.
    Unknown,
}

/// The holder of the first claim of a key in the part of the log that was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// The key was not claimed.
    Unclaimed,
    /// The first claim is by the process with this incarnation.
    Claimed(u64),
    /// The key was not claimed, and the state has no room for another claim.
    Full,
}

/// The process that won the claim of a key and executes its booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Executor {
    /// This process.
    Own,
    /// The process with this incarnation.
    Other(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for the next batch.
    Queued { since: Instant },
    /// The append was sent and may have taken effect. Only reading the log shows whether it did.
    Sent,
    /// The claim was definitely not appended.
    Refused { since: Instant },
}

/// The keys whose first claim this process waits for.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    incarnation: u64,
    pending: Map<u128, Phase>,
    /// The batch whose append has no result yet.
    in_flight: Option<Batch>,
    sequence: u64,
}

impl Table {
    /// Creates an empty table for the process with this incarnation.
    pub fn new(options: Options, incarnation: u64) -> Self {
        Self { options, incarnation, pending: Map::default(), in_flight: None, sequence: 0 }
    }

    /// Queues the claim of `key` for the next batch. Does nothing if the key already waits.
    pub fn enqueue(&mut self, key: u128, now: Instant) {
        self.pending.get_or_insert_with(key, || Phase::Queued { since: now });
    }

    /// Adds `key` as one whose claim is refused without an append. Does nothing if the key already
    /// waits.
    pub fn enqueue_refused(&mut self, key: u128, now: Instant) {
        self.pending.get_or_insert_with(key, || Phase::Refused { since: now });
    }

    /// Records that another request waits for `key`. If the claim was refused, only a read of the
    /// log that starts at `now` or later shows whether the booking was run before that request.
    pub fn join(&mut self, key: u128, now: Instant) {
        if let Some(Phase::Refused { since }) = self.pending.get_mut(&key) {
            *since = now.max(*since);
        }
    }

    /// Returns the next batch if it is full or its oldest claim has waited for
    /// [`Options::batch_delay`]. Returns `None` while an append has no result.
    pub fn next_batch(&mut self, now: Instant) -> Option<Batch> {
        if self.in_flight.is_some() || self.due_at()? > now {
            return None;
        }
        let mut keys: Vec<(Instant, u128)> = self.queued().collect();
        keys.sort_unstable();
        keys.truncate(self.options.max_batch.max(1));
        let mut keys: Vec<u128> = keys.into_iter().map(|(_, key)| key).collect();
        keys.sort_unstable();
        for key in &keys {
            self.pending.insert(*key, Phase::Sent);
        }
        self.sequence += 1;
        let batch = Batch { sequence: self.sequence, keys };
        self.in_flight = Some(batch.clone());
        Some(batch)
    }

    /// Returns the time at which the next batch is due. Returns `None` if no claim is queued, or
    /// while an append has no result.
    pub fn next_batch_at(&self) -> Option<Instant> {
        if self.in_flight.is_some() { None } else { self.due_at() }
    }

    /// Records the result of an append. A result with the sequence of another batch is ignored.
    pub fn finish_append(&mut self, sequence: u64, result: Append, now: Instant) {
        let Some(batch) = self.in_flight.take_if(|batch| batch.sequence == sequence) else {
            return;
        };
        if result != Append::Refused {
            return;
        }
        for key in batch.keys {
            if let Some(phase) = self.pending.get_mut(&key)
                && *phase == Phase::Sent
            {
                *phase = Phase::Refused { since: now };
            }
        }
    }

    /// Records that the first claim of `key` was read from the log, and returns its executor.
    /// Returns `None` if the key does not wait for its claim.
    pub fn observe_claim(&mut self, key: u128, executor: u64) -> Option<Executor> {
        self.pending.remove(&key)?;
        Some(if executor == self.incarnation { Executor::Own } else { Executor::Other(executor) })
    }

    /// Records that a read of the log that was started at `started` reached the log's end, and that
    /// all first claims up to there were passed to [`Table::observe_claim`]. Removes and returns
    /// the refused keys that are thereby known to be unclaimed.
    pub fn caught_up(&mut self, started: Instant) -> Vec<u128> {
        let unclaimed: Vec<u128> = self
            .pending
            .iter()
            .filter(|(_, phase)| matches!(phase, Phase::Refused { since } if *since <= started))
            .map(|(key, _)| *key)
            .collect();
        for key in &unclaimed {
            self.pending.remove(key);
        }
        unclaimed
    }

    /// Stops waiting for the claim of `key`.
    pub fn forget(&mut self, key: u128) {
        self.pending.remove(&key);
    }

    /// Returns the keys that wait for their claim, ascending.
    pub fn pending(&self) -> impl Iterator<Item = u128> {
        self.pending.iter().map(|(key, _)| *key)
    }

    fn queued(&self) -> impl Iterator<Item = (Instant, u128)> {
        self.pending.iter().filter_map(|(key, phase)| match phase {
            Phase::Queued { since } => Some((*since, *key)),
            _ => None,
        })
    }

    fn due_at(&self) -> Option<Instant> {
        let oldest = self.queued().map(|(since, _)| since).min()?;
        let is_full = self.queued().count() >= self.options.max_batch;
        Some(if is_full { oldest } else { oldest + self.options.batch_delay })
    }
}
