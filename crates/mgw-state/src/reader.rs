//! Replay of the `control` stream: where to start, what to read next, and which of the process's
//! own appends took place.

use crate::codec;
use crate::record::{Incarnation, Offset, Record, UniqueId};
use crate::snapshot::{self, Assembler, Part, Snapshot, Tracker};
use crate::state::{self, Outcome, State};

/// A record as the log service returned it.
#[derive(Clone, Copy, Debug)]
pub struct RawRecord<'a> {
    /// Its offset.
    pub offset: Offset,
    /// Log time of the append, in ms.
    pub at_ms: u64,
    /// Its bytes.
    pub bytes: &'a [u8],
}

/// How an append with an unknown result is settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settlement {
    /// The append is in the log; its first record has this offset.
    Found(Offset),
    /// The append is in the log, below a snapshot from which the state was restored.
    InSnapshot,
    /// The append did not take effect and never will.
    Absent,
    /// The part of the log that would tell was passed over by restoring a snapshot, and later
    /// appends of this process are in the log. The caller compares the state with what it wanted.
    Indeterminate,
}

/// What reading led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// A record was decided.
    Applied {
        /// Its offset.
        offset: Offset,
        /// Its log time.
        at_ms: u64,
        /// The append that carried it.
        append_id: UniqueId,
        /// Whether it took effect.
        outcome: Outcome,
    },
    /// A record cannot be decoded and was passed over.
    Skipped {
        /// Its offset.
        offset: Offset,
        /// Why.
        cause: codec::Error,
    },
    /// The state was restored from a snapshot or a peer.
    Restored {
        /// All records below this offset are applied.
        upto: Offset,
    },
    /// A complete snapshot cannot be used.
    SnapshotRejected {
        /// Its offset.
        upto: Offset,
        /// Why.
        cause: snapshot::Error,
    },
    /// The next record is no longer retained; the reader looks for a snapshot.
    Trimmed {
        /// The first offset that is retained.
        first: Offset,
    },
    /// The log holds no snapshot to start from; a peer's state is needed.
    NoSnapshot,
    /// The log service left out records; nothing from there on was applied.
    Gap {
        /// The record that was expected.
        expected: Offset,
        /// The record that came instead.
        found: Offset,
    },
    /// An own append is settled.
    AppendSettled {
        /// Its sequence.
        sequence: u64,
        /// How.
        settlement: Settlement,
    },
}

#[derive(Clone, Debug)]
enum Mode {
    /// Applies every record.
    Follow,
    /// Looks for a snapshot from which the tail of the log is retained.
    Scan {
        /// The next record to look at.
        next: Offset,
        /// End of the log when the scan began.
        until: Offset,
        /// The newest complete snapshot so far.
        best: Option<Snapshot>,
        /// Whether the caller knows that the scan found nothing.
        stranded: bool,
    },
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    sequence: u64,
    /// The append is below this offset if it took place at all.
    barrier: Option<Offset>,
}

/// Replays the log into a state.
#[derive(Clone, Debug)]
pub struct Reader {
    options: state::Options,
    incarnation: Incarnation,
    state: State,
    mode: Mode,
    /// The state is not acted on below this offset; never descends.
    floor: Offset,
    /// First offset that the log retains, as far as known.
    first: Offset,
    /// End of the log, as far as known.
    end: Option<Offset>,
    assembly: Assembler,
    tracker: Tracker,
    /// Own appends that are not settled, ascending by sequence.
    pending: Vec<Pending>,
}

impl Reader {
    /// A reader for the process `incarnation` that has read nothing.
    pub fn new(options: state::Options, incarnation: Incarnation) -> Self {
        Self {
            options,
            incarnation,
            state: State::new(options),
            mode: Mode::Follow,
            floor: 0,
            first: 0,
            end: None,
            assembly: Assembler::default(),
            tracker: Tracker::default(),
            pending: Vec::new(),
        }
    }

    /// The replayed state; act on it only if [`Reader::is_current`].
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The offset to read from next.
    pub fn next_offset(&self) -> Offset {
        match self.mode {
            Mode::Follow => self.state.applied(),
            Mode::Scan { next, .. } => next,
        }
    }

    /// Raises the floor, for example to the applied offset in a peer's heartbeat.
    pub fn raise_floor(&mut self, offset: Offset) {
        self.floor = self.floor.max(offset);
    }

    /// The highest offset that was seen in force.
    pub fn floor(&self) -> Offset {
        self.floor
    }

    /// Whether the state may be acted on: it is not below the floor.
    pub fn is_current(&self) -> bool {
        matches!(self.mode, Mode::Follow) && self.state.applied() >= self.floor
    }

    /// Whether the state holds everything up to the end of the log at the last read.
    pub fn is_caught_up(&self) -> bool {
        self.is_current() && self.end.is_some_and(|end| self.state.applied() >= end)
    }

    /// Whether a planner should write a snapshot now.
    pub fn is_snapshot_due(&self) -> bool {
        self.is_current() && self.tracker.is_due(self.state.applied(), self.first)
    }

    /// Notes an append that is being sent, so that reading settles it.
    pub fn track_append(&mut self, sequence: u64) {
        self.pending.push(Pending { sequence, barrier: None });
    }

    /// Forgets an append whose reply said that it was accepted or refused.
    pub fn forget_append(&mut self, sequence: u64) {
        self.pending.retain(|pending| pending.sequence != sequence);
    }

    /// Notes that the append can only be below `offset`. It is absent once all records below are
    /// read and it was not among them.
    pub fn bound_append(&mut self, sequence: u64, offset: Offset) -> Vec<Step> {
        for pending in self.pending.iter_mut().filter(|pending| pending.sequence == sequence) {
            pending.barrier = Some(offset);
        }
        let mut steps = Vec::new();
        self.pass_barriers(&mut steps);
        steps
    }

    /// Appends that are not settled.
    pub fn unsettled_appends(&self) -> impl Iterator<Item = u64> {
        self.pending.iter().map(|pending| pending.sequence)
    }

    /// Applies the records that a read from [`Reader::next_offset`] returned.
    pub fn apply_batch<'a, I>(&mut self, first: Offset, end: Offset, records: I) -> Vec<Step>
    where
        I: IntoIterator<Item = RawRecord<'a>>,
    {
        self.note_range(first, end);
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
                Mode::Follow => self.follow(raw, &mut steps),
                Mode::Scan { .. } => self.scan(raw),
            }
        }
        self.finish_scan(&mut steps);
        self.pass_barriers(&mut steps);
        steps
    }

    /// Handles the answer that [`Reader::next_offset`] is no longer retained: looks for a snapshot.
    pub fn handle_trimmed(&mut self, first: Offset, end: Offset) -> Vec<Step> {
        self.note_range(first, end);
        if self.next_offset() >= first {
            return Vec::new();
        }
        self.raise_floor(first);
        let mut steps = vec![Step::Trimmed { first }];
        match &mut self.mode {
            Mode::Scan { next, until, .. } => {
                *next = first;
                *until = end;
            }
            Mode::Follow => {
                self.assembly.clear();
                self.mode = Mode::Scan { next: first, until: end, best: None, stranded: false };
            }
        }
        self.finish_scan(&mut steps);
        steps
    }

    /// Restores a peer's state if it is newer than the own one.
    ///
    /// # Errors
    ///
    /// The peer's snapshot cannot be restored; the own state is unchanged.
    pub fn adopt_snapshot(&mut self, whole: &Snapshot) -> Result<Vec<Step>, snapshot::Error> {
        if whole.upto <= self.state.applied() {
            return Ok(Vec::new());
        }
        let state = snapshot::restore(self.options, whole)?;
        let mut steps = Vec::new();
        self.install(state, &mut steps);
        Ok(steps)
    }

    fn note_range(&mut self, first: Offset, end: Offset) {
        self.first = self.first.max(first);
        self.end = self.end.max(Some(end));
    }

    fn follow(&mut self, raw: RawRecord<'_>, steps: &mut Vec<Step>) {
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
                let late = outcome == Outcome::Ignored(state::Cause::StaleSequence);
                steps.push(Step::Applied { offset, at_ms, append_id, outcome });
                if append_id.incarnation == self.incarnation && !late {
                    self.settle_own(append_id.sequence, offset, steps);
                }
            }
        }
        self.raise_floor(self.state.applied());
    }

    /// Settles own appends: the state ignores an append below one that is already in the log, so
    /// the earlier ones are absent for good.
    fn settle_own(&mut self, sequence: u64, offset: Offset, steps: &mut Vec<Step>) {
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

    /// Settles own appends that are not among the records below their barrier.
    fn pass_barriers(&mut self, steps: &mut Vec<Step>) {
        let applied = self.state.applied();
        self.pending.retain(|pending| match pending.barrier {
            Some(barrier) if applied >= barrier => {
                let settlement = Settlement::Absent;
                steps.push(Step::AppendSettled { sequence: pending.sequence, settlement });
                false
            }
            _ => true,
        });
    }

    fn scan(&mut self, raw: RawRecord<'_>) {
        let Mode::Scan { next, best, .. } = &mut self.mode else { return };
        *next = raw.offset.saturating_add(1);
        // Other records are decoded again when they are applied.
        let Ok(envelope) = codec::decode(raw.bytes) else { return };
        let Record::SnapshotPart { id, upto, index, count, bytes } = envelope.record else {
            return;
        };
        let part = Part { upto, index, count, bytes };
        let newest = best.as_ref().map(|whole| whole.upto);
        match self.assembly.add(id, part) {
            Some(whole) if Some(whole.upto) > newest => *best = Some(whole),
            _ => {}
        }
    }

    fn finish_scan(&mut self, steps: &mut Vec<Step>) {
        let Mode::Scan { next, until, best, stranded } = &mut self.mode else { return };
        if *next < *until {
            return;
        }
        let usable = |whole: &Snapshot| whole.upto >= self.first && whole.upto <= *until;
        let found = best.take().filter(usable);
        match found.map(|whole| (whole.upto, snapshot::restore(self.options, &whole))) {
            Some((upto, Ok(state))) => {
                self.tracker.record_complete(upto);
                return self.install(state, steps);
            }
            Some((upto, Err(cause))) => steps.push(Step::SnapshotRejected { upto, cause }),
            None => {}
        }
        if !*stranded {
            *stranded = true;
            steps.push(Step::NoSnapshot);
        }
    }

    fn install(&mut self, state: State, steps: &mut Vec<Step>) {
        let upto = state.applied();
        self.state = state;
        self.mode = Mode::Follow;
        self.assembly.clear();
        self.raise_floor(upto);
        steps.push(Step::Restored { upto });
        let seen = self.state.entry(self.incarnation).map(|entry| entry.sequence);
        self.pending.retain(|pending| {
            let settlement = match seen {
                Some(seen) if pending.sequence == seen => Settlement::InSnapshot,
                Some(seen) if pending.sequence < seen => Settlement::Indeterminate,
                _ => return true,
            };
            steps.push(Step::AppendSettled { sequence: pending.sequence, settlement });
            false
        });
    }
}
