//! Claims of opaque keys: batching, the append and its outcome.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;

/// Bounds of claim batches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The longest time that a claim waits for others of its batch.
    pub batch_delay: Duration,
    /// The largest number of claims in one append.
    pub max_batch: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self { batch_delay: Duration::from_millis(10), max_batch: 512 }
    }
}

/// Claims to be appended as one record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Ascending; the result of the append names it.
    pub sequence: u64,
    /// Key hashes, ascending.
    pub keys: Vec<u128>,
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Append {
    /// The claims are in the log.
    Accepted,
    /// The log service definitely did not append them.
    Refused,
    /// It is unknown whether the claims are in the log.
    Unknown,
}

/// Who holds the first claim of a key, as far as the log was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// No claim was read.
    Unclaimed,
    /// The first claim names this incarnation.
    Claimed(u64),
    /// No claim was read, and the state has no room for another one.
    Full,
}

/// What a claim that was seen in the log means for a key that waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Executor {
    /// This process is the executor.
    Own,
    /// Another incarnation is the executor.
    Other(u64),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Not appended yet.
    Queued { since: Instant },
    /// The append may have taken effect; only reading the log decides.
    Sent,
    /// The append had no effect.
    Refused { since: Instant },
}

/// The claims that this process waits for.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    incarnation: u64,
    pending: Map<u128, Phase>,
    /// The append without a result; at most one.
    outstanding: Option<Batch>,
    sequence: u64,
}

impl Table {
    /// An empty table of `incarnation`.
    pub fn new(options: Options, incarnation: u64) -> Self {
        Self { options, incarnation, pending: Map::default(), outstanding: None, sequence: 0 }
    }

    /// Queues the claim of `key`. A key that already waits stays as it is.
    pub fn enqueue(&mut self, key: u128, now: Instant) {
        self.pending.entry(key, || Phase::Queued { since: now });
    }

    /// Enters `key` as one whose claim is refused without an append.
    pub fn enqueue_refused(&mut self, key: u128, now: Instant) {
        self.pending.entry(key, || Phase::Refused { since: now });
    }

    /// Notes that another request waits for `key`. If the claim was refused, only a read of the
    /// log that is started from now on shows whether the key was run before that request.
    pub fn join(&mut self, key: u128, now: Instant) {
        if let Some(Phase::Refused { since }) = self.pending.get_mut(&key) {
            *since = now.max(*since);
        }
    }

    /// The next batch, if it is due: the oldest claim has waited for the window, or the batch is
    /// full. Nothing is due while an append has no result.
    pub fn next_batch(&mut self, now: Instant) -> Option<Batch> {
        if self.outstanding.is_some() || self.due()? > now {
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
        self.outstanding = Some(batch.clone());
        Some(batch)
    }

    /// When the next batch is due, if no append is outstanding.
    pub fn next_batch_at(&self) -> Option<Instant> {
        if self.outstanding.is_some() { None } else { self.due() }
    }

    /// Notes the result of an append; a result of another append is ignored.
    pub fn finish_append(&mut self, sequence: u64, result: Append, now: Instant) {
        let Some(batch) = self.outstanding.take_if(|batch| batch.sequence == sequence) else {
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

    /// Notes that the first claim of `key` was read from the log. `None` if nothing waits for it.
    pub fn observe_claim(&mut self, key: u128, executor: u64) -> Option<Executor> {
        self.pending.remove(&key)?;
        Some(if executor == self.incarnation { Executor::Own } else { Executor::Other(executor) })
    }

    /// Notes that a read of the log that was started at `started` reached the log's end, and that
    /// all its claims were passed to [`Table::seen`]. Removes and returns the refused keys that
    /// are thereby known to be unclaimed.
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

    /// The keys that wait, ascending.
    pub fn pending(&self) -> impl Iterator<Item = u128> {
        self.pending.iter().map(|(key, _)| *key)
    }

    fn queued(&self) -> impl Iterator<Item = (Instant, u128)> {
        self.pending.iter().filter_map(|(key, phase)| match phase {
            Phase::Queued { since } => Some((*since, *key)),
            _ => None,
        })
    }

    fn due(&self) -> Option<Instant> {
        let oldest = self.queued().map(|(since, _)| since).min()?;
        let full = self.queued().count() >= self.options.max_batch;
        Some(if full { oldest } else { oldest + self.options.batch_delay })
    }
}
