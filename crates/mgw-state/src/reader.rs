//! Replay of the `control` stream: tracks which offset to read next, restores the state from a
//! snapshot when the log is trimmed, and finds out which of the process's own appends took effect.

use crate::codec;
use crate::record::{Incarnation, Offset, Record, UniqueId};
use crate::snapshot::{self, Assembler, Part, Snapshot, Tracker};
use crate::state::{self, Outcome, State};

/// An encoded record as returned by the log service.
#[derive(Clone, Copy, Debug)]
pub struct RawRecord<'a> {
    /// Offset of the record.
    pub offset: Offset,
    /// Log time of the append, in milliseconds.
    pub at_ms: u64,
    /// The encoded record.
    pub bytes: &'a [u8],
}

/// What became of an append whose reply was lost.
///
/// The names of the variants appear in the text of the event `append_settled` and are therefore
/// kept stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The append is in the log, and its first record has this offset.
    Found(Offset),
    /// The append is in the log, below the offset of a snapshot from which the state was restored.
    Included,
    /// The append did not take effect and never will, even if it still reaches the log.
    Absent,
    /// Unknown: restoring a snapshot skipped the part of the log in question, and later appends of
    /// this process are in the log. The caller must compare the state with what it wanted to
    /// change.
    Unclear,
}

/// Something that happened while records were read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A record was applied to the state.
    Applied {
        /// Offset of the record.
        offset: Offset,
        /// Log time of the record, in milliseconds.
        at_ms: u64,
        /// The append that carried the record.
        append_id: UniqueId,
        /// Whether the record took effect.
        outcome: Outcome,
    },
    /// A record cannot be decoded and was skipped.
    Skipped {
        /// Offset of the record.
        offset: Offset,
        /// Why the record cannot be decoded.
        cause: codec::Error,
    },
    /// The state was restored from a snapshot in the log or from a peer.
    Restored {
        /// The state includes all records below this offset.
        upto: Offset,
    },
    /// A snapshot in the log is complete but cannot be restored.
    SnapshotRejected {
        /// The snapshot includes all records below this offset.
        upto: Offset,
        /// Why the snapshot cannot be restored.
        cause: snapshot::Error,
    },
    /// The log no longer retains the next record; the reader searches the log for a snapshot.
    Trimmed {
        /// First offset that the log retains.
        first: Offset,
    },
    /// The search reached the end of the log without finding a usable snapshot. A peer's state is
    /// needed.
    NoSnapshot,
    /// The log service omitted records. The rest of the batch was not applied.
    Gap {
        /// Offset of the record that was expected.
        expected: Offset,
        /// Offset of the record that was returned instead.
        found: Offset,
    },
    /// The result of one of the process's own appends is known.
    AppendSettled {
        /// Sequence of the append.
        sequence: u64,
        /// What became of the append.
        settlement: Settlement,
    },
}

/// How the reader treats the records it reads.
#[derive(Clone, Debug)]
enum Mode {
    /// Applies each record to the state.
    Replay,
    /// Searches the log for a snapshot behind which all records are retained.
    FindSnapshot {
        /// Offset of the next record to examine.
        next: Offset,
        /// End of the log when the search began.
        until: Offset,
        /// The newest complete snapshot found so far.
        best: Option<Snapshot>,
        /// Whether [`Step::NoSnapshot`] was returned already; it is returned once per search.
        reported: bool,
    },
}

/// An own append whose result is unknown.
#[derive(Clone, Copy, Debug)]
struct Pending {
    sequence: u64,
    /// If the append is in the log at all, it is below this offset.
    upper_bound: Option<Offset>,
}

/// Replays the log into a [`State`].
#[derive(Clone, Debug)]
pub struct Reader {
    options: state::Options,
    incarnation: Incarnation,
    state: State,
    mode: Mode,
    /// Offset that the state must have reached before it may be acted on. Never decreases.
    floor: Offset,
    /// First offset that the log retains, as far as known.
    first_retained: Offset,
    /// Offset after the last record of the log, as far as known; `None` before the first read.
    log_end: Option<Offset>,
    assembler: Assembler,
    tracker: Tracker,
    /// Own appends whose result is unknown, in ascending order of sequence.
    pending: Vec<Pending>,
}

impl Reader {
    /// Creates a reader for the process `incarnation`, which starts at offset 0.
    pub fn new(options: state::Options, incarnation: Incarnation) -> Self {
        Self {
            options,
            incarnation,
            state: State::new(options),
            mode: Mode::Replay,
            floor: 0,
            first_retained: 0,
            log_end: None,
            assembler: Assembler::default(),
            tracker: Tracker::default(),
            pending: Vec::new(),
        }
    }

    /// Returns the replayed state. Callers may act on it only while [`Reader::is_current`] holds.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// Returns the offset to read from next.
    pub fn next_offset(&self) -> Offset {
        match self.mode {
            Mode::Replay => self.state.applied(),
            Mode::FindSnapshot { next, .. } => next,
        }
    }

    /// Raises the floor to an offset that some process has applied, such as the one in a peer's
    /// heartbeat.
    pub fn raise_floor(&mut self, offset: Offset) {
        self.floor = self.floor.max(offset);
    }

    /// Returns the offset that the state must have reached before it may be acted on.
    pub fn floor(&self) -> Offset {
        self.floor
    }

    /// Whether the state may be acted on: it is complete up to the floor at least.
    pub fn is_current(&self) -> bool {
        matches!(self.mode, Mode::Replay) && self.state.applied() >= self.floor
    }

    /// Whether the state is current and includes all records up to the end of the log at the last
    /// read.
    pub fn is_caught_up(&self) -> bool {
        self.is_current() && self.log_end.is_some_and(|end| self.state.applied() >= end)
    }

    /// Whether the planner should write a snapshot now.
    pub fn is_snapshot_due(&self) -> bool {
        self.is_current() && self.tracker.is_due(self.state.applied(), self.first_retained)
    }

    /// Tracks an append that is being sent, so that its result is learned by reading the log if the
    /// reply is lost. Sequences must be passed in ascending order.
    pub fn track_append(&mut self, sequence: u64) {
        self.pending.push(Pending { sequence, upper_bound: None });
    }

    /// Stops tracking an append whose reply said that it was accepted or refused.
    pub fn forget_append(&mut self, sequence: u64) {
        self.pending.retain(|pending| pending.sequence != sequence);
    }

    /// States that the append is below `offset` if it is in the log at all. It is settled as absent
    /// once all records below `offset` are applied and the append was not among them.
    pub fn bound_append(&mut self, sequence: u64, offset: Offset) -> Vec<Step> {
        for pending in self.pending.iter_mut().filter(|pending| pending.sequence == sequence) {
            pending.upper_bound = Some(offset);
        }
        let mut steps = Vec::new();
        self.settle_bounded_appends(&mut steps);
        steps
    }

    /// Iterates over the sequences of the appends whose result is unknown.
    pub fn unsettled_appends(&self) -> impl Iterator<Item = u64> {
        self.pending.iter().map(|pending| pending.sequence)
    }

    /// Processes the result of a read from [`Reader::next_offset`]: the first offset that the log
    /// retains, the offset after its last record, and the records.
    pub fn apply_batch<'a, I>(&mut self, first: Offset, end: Offset, records: I) -> Vec<Step>
    where
        I: IntoIterator<Item = RawRecord<'a>>,
    {
        self.update_range(first, end);
        if self.next_offset() < first {
            return self.handle_trimmed(first, end);
        }
        let mut steps = Vec::new();
        for raw in records {
            let expected = self.next_offset();
            if raw.offset > expected {
                steps.push(Step::Gap { expected, found: raw.offset });
                break;
            }
            match self.mode {
                _ if raw.offset < expected => {}
                Mode::Replay => self.replay_record(raw, &mut steps),
                Mode::FindSnapshot { .. } => self.scan_record(raw),
            }
        }
        self.finish_search(&mut steps);
        self.settle_bounded_appends(&mut steps);
        steps
    }

    /// Handles the reply that [`Reader::next_offset`] is no longer retained: starts the search for a
    /// snapshot at `first`, or continues it from there.
    pub fn handle_trimmed(&mut self, first: Offset, end: Offset) -> Vec<Step> {
        self.update_range(first, end);
        if self.next_offset() >= first {
            return Vec::new();
        }
        self.raise_floor(first);
        let mut steps = vec![Step::Trimmed { first }];
        match &mut self.mode {
            Mode::FindSnapshot { next, until, .. } => {
                *next = first;
                *until = end;
            }
            Mode::Replay => {
                self.assembler.clear();
                self.mode =
                    Mode::FindSnapshot { next: first, until: end, best: None, reported: false };
            }
        }
        self.finish_search(&mut steps);
        steps
    }

    /// Restores the state from a peer's snapshot if that is newer than the own state.
    ///
    /// # Errors
    ///
    /// Returns an error if the snapshot cannot be restored; the own state is then unchanged.
    pub fn adopt_snapshot(&mut self, snapshot: &Snapshot) -> Result<Vec<Step>, snapshot::Error> {
        if snapshot.upto <= self.state.applied() {
            return Ok(Vec::new());
        }
        let state = snapshot::restore(self.options, snapshot)?;
        let mut steps = Vec::new();
        self.install_state(state, &mut steps);
        Ok(steps)
    }

    fn update_range(&mut self, first: Offset, end: Offset) {
        self.first_retained = self.first_retained.max(first);
        self.log_end = self.log_end.max(Some(end));
    }

    /// Applies one record, or skips it if it cannot be decoded.
    fn replay_record(&mut self, raw: RawRecord<'_>, steps: &mut Vec<Step>) {
        match codec::decode(raw.bytes) {
            Err(cause) => {
                self.state.skip(raw.offset);
                steps.push(Step::Skipped { offset: raw.offset, cause });
            }
            Ok(envelope) => {
                if let Record::SnapshotPart { id, upto, index, count, .. } = &envelope.record {
                    self.tracker.record_part(*id, *upto, *index, *count);
                }
                let (offset, at_ms, append_id) = (raw.offset, raw.at_ms, envelope.append_id);
                let outcome = self.state.apply(offset, at_ms, &envelope);
                let late = outcome == Outcome::Ignored(state::Cause::Late);
                steps.push(Step::Applied { offset, at_ms, append_id, outcome });
                if append_id.incarnation == self.incarnation && !late {
                    self.settle_own_appends(append_id.sequence, offset, steps);
                }
            }
        }
        self.raise_floor(self.state.applied());
    }

    /// Settles own appends up to the one that was just read. The state ignores an append that
    /// follows a later one of its writer in the log, so earlier appends that were not read are
    /// absent.
    fn settle_own_appends(&mut self, sequence: u64, offset: Offset, steps: &mut Vec<Step>) {
        self.pending.retain(|pending| {
            let settlement = match pending.sequence {
                own if own == sequence => Settlement::Found(offset),
                own if own < sequence => Settlement::Absent,
                _ => return true,
            };
            steps.push(Step::AppendSettled { sequence: pending.sequence, settlement });
            false
        });
    }

    /// Settles as absent the appends that were not among the records below their upper bound.
    fn settle_bounded_appends(&mut self, steps: &mut Vec<Step>) {
        let applied = self.state.applied();
        self.pending.retain(|pending| match pending.upper_bound {
            Some(upper_bound) if applied >= upper_bound => {
                let settlement = Settlement::Absent;
                steps.push(Step::AppendSettled { sequence: pending.sequence, settlement });
                false
            }
            _ => true,
        });
    }

    /// Adds the record to the assembler if it is a part of a snapshot.
    fn scan_record(&mut self, raw: RawRecord<'_>) {
        let Mode::FindSnapshot { next, best, .. } = &mut self.mode else { return };
        *next = raw.offset.saturating_add(1);
        // Records other than snapshot parts are ignored here; they are decoded again when they are
        // applied after the snapshot.
        let Ok(envelope) = codec::decode(raw.bytes) else { return };
        let Record::SnapshotPart { id, upto, index, count, bytes } = envelope.record else {
            return;
        };
        let part = Part { upto, index, count, bytes };
        let newest = best.as_ref().map(|candidate| candidate.upto);
        match self.assembler.add(id, part) {
            Some(candidate) if Some(candidate.upto) > newest => *best = Some(candidate),
            _ => {}
        }
    }

    /// When the search has reached its end, restores the newest snapshot that was found, provided
    /// that all records behind it are retained and that it is not ahead of the log's end when the
    /// search began. Otherwise the search continues with the records that were appended since.
    fn finish_search(&mut self, steps: &mut Vec<Step>) {
        let Mode::FindSnapshot { next, until, best, reported } = &mut self.mode else { return };
        if *next < *until {
            return;
        }
        let usable = |candidate: &Snapshot| {
            candidate.upto >= self.first_retained && candidate.upto <= *until
        };
        let found = best.take().filter(usable);
        match found.map(|candidate| (candidate.upto, snapshot::restore(self.options, &candidate))) {
            Some((upto, Ok(state))) => {
                self.tracker.record_complete(upto);
                return self.install_state(state, steps);
            }
            Some((upto, Err(cause))) => steps.push(Step::SnapshotRejected { upto, cause }),
            None => {}
        }
        if !*reported {
            *reported = true;
            steps.push(Step::NoSnapshot);
        }
    }

    /// Replaces the state by a restored one and settles the appends that it includes.
    fn install_state(&mut self, state: State, steps: &mut Vec<Step>) {
        let upto = state.applied();
        self.state = state;
        self.mode = Mode::Replay;
        self.assembler.clear();
        self.raise_floor(upto);
        steps.push(Step::Restored { upto });
        let seen = self.state.entry(self.incarnation).map(|entry| entry.sequence);
        self.pending.retain(|pending| {
            let settlement = match seen {
                Some(seen) if pending.sequence == seen => Settlement::Included,
                Some(seen) if pending.sequence < seen => Settlement::Unclear,
                _ => return true,
            };
            steps.push(Step::AppendSettled { sequence: pending.sequence, settlement });
            false
        });
    }
}
