//! Reading the log and appending to it.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_booking::claim;
use mgw_event::{Body, Kind};
use mgw_member::view::Status;
use mgw_state::claim::Decision;
use mgw_state::reader::{RawRecord, Settlement, Step};
use mgw_state::record::{Mark, Record};
use mgw_state::snapshot::Snapshot;
use mgw_state::state::{Cause, Change, Outcome};
use mgw_wire::frame::Phase;

use crate::command::Command;
use crate::input::{Append, Read};
use crate::node::{Node, Topic};
use crate::outbox::Origin;

/// Pause after a failed read.
const READ_PAUSE: Duration = Duration::from_millis(200);

/// Time without a successful read after which a peer's state is asked for.
const PEER_STATE: Duration = Duration::from_secs(1);

/// What the node knows of its reads.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reading {
    /// When the outstanding read was sent.
    sent: Option<Instant>,
    /// Since when reads fail.
    failing: Option<Instant>,
    /// When a peer's state was last asked for.
    asked: Option<Instant>,
    /// Whether the log was read to its end once, or a peer's state was taken.
    caught_up: bool,
    /// When the state was last not below what peers have in force.
    current: Instant,
}

/// A crash record that was read and not yet taken into account.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    fingerprint: u128,
    group: u64,
    at_ms: u64,
}

impl Reading {
    /// Whether the last read failed.
    pub fn is_failing(&self) -> bool {
        self.failing.is_some()
    }

    /// Whether the log was read to its end once, or a peer's state was taken.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Time for which the state has been below what peers have in force.
    pub fn behind(&self, now: Instant) -> Duration {
        now.since(self.current)
    }
}

impl Node {
    /// Sends a read, unless one is outstanding.
    pub(crate) fn read(&mut self, now: Instant) {
        if self.reading.sent.is_none() {
            self.reading.sent = Some(now);
            self.commands.push(Command::Read { from: self.reader.next_offset() });
        }
    }

    pub(crate) fn take_read(&mut self, now: Instant, read: Read) {
        let Some(sent) = self.reading.sent.take() else { return };
        let steps = match read {
            Read::Failed => {
                self.note_failure(now, "a read failed");
                self.timers.at(now + READ_PAUSE, Topic::Read);
                return;
            }
            Read::Trimmed { first, next } => self.reader.handle_trimmed(first, next),
            Read::Batch { first, next, records } => {
                let raw = records.iter().map(|record| RawRecord {
                    offset: record.offset,
                    at_ms: record.at_ms,
                    bytes: &record.bytes,
                });
                self.reader.apply_batch(first, next, raw)
            }
        };
        if self.reading.failing.take().is_some() {
            let offset = self.reader.state().applied();
            self.events.push(Body::new(Kind::LogReachable).offset(offset));
        }
        self.take_steps(now, steps);
        self.note_current(now);
        self.outbox.applied(self.reader.state().applied());
        if self.reader.is_caught_up() {
            self.reading.caught_up = true;
            self.take_crashes(now);
            let effects = self.bookings.caught_up(sent);
            self.take_effects(now, effects);
        }
        self.sync_state(now);
        self.read(now);
    }

    pub(crate) fn take_append(&mut self, now: Instant, sequence: u64, result: Append) {
        let Some(ended) = self.outbox.result(sequence, result, now) else { return };
        let booked = match result {
            Append::Accepted { .. } => claim::Append::Accepted,
            Append::Refused => claim::Append::Refused,
            Append::Unknown => claim::Append::Unknown,
        };
        for origin in &ended.origins {
            if let Origin::Claims(batch) = origin {
                self.bookings.finish_append(*batch, booked, now);
            }
        }
        match result {
            Append::Accepted { .. } => self.reader.forget_append(sequence),
            Append::Refused => {
                self.reader.forget_append(sequence);
                self.note_failure(now, "an append was refused");
            }
            Append::Unknown => {
                let text = format_args!("sequence {sequence}");
                self.events.push(Body::new(Kind::AppendUnsettled).text(text));
            }
        }
    }

    /// Takes a peer's state.
    pub(crate) fn take_state(&mut self, now: Instant, whole: Option<Snapshot>) {
        let Some(whole) = whole else { return };
        match self.reader.adopt_snapshot(&whole) {
            Ok(steps) => {
                self.reading.caught_up |= self.reader.is_current();
                self.take_steps(now, steps);
            }
            Err(cause) => {
                let text = format_args!("a peer's state cannot be used: {cause}");
                self.events.push(Body::new(Kind::RecordSkipped).offset(whole.upto).text(text));
            }
        }
        self.sync_state(now);
    }

    /// Serving starts once the state is that of the log's end, or of a peer while the log is down.
    pub(crate) fn update_phase(&mut self, now: Instant) {
        self.reader.raise_floor(self.peers.highest_applied());
        self.note_current(now);
        let applied = self.reader.state().applied();
        let marked = self.reader.state().entry_mark(&self.options.peers) != Mark::Clear;
        let stopping = self.draining_since.is_some();
        match self.phase {
            Phase::Starting if self.reading.caught_up && self.reader.is_current() => {
                self.set_phase(Phase::Serving, now);
            }
            // A marked entry leaves the directory and goes on serving those who still come.
            Phase::Serving if marked => self.set_phase(Phase::Draining, now),
            Phase::Draining if !marked && !stopping => self.set_phase(Phase::Serving, now),
            Phase::Starting | Phase::Serving | Phase::Draining => {
                self.peers.set_own_state(self.phase, applied, now);
            }
        }
        let waits = !self.reading.caught_up || !self.reader.is_current();
        let failing = self.reading.failing.is_some_and(|since| now.since(since) >= PEER_STATE);
        let asked = self.reading.asked.is_some_and(|at| now.since(at) < PEER_STATE);
        if waits && failing && !asked {
            self.ask_state(now);
        }
    }

    fn note_current(&mut self, now: Instant) {
        if self.reader.is_current() {
            self.reading.current = now;
        }
    }

    /// Asks a live peer with the highest applied offset for its state.
    fn ask_state(&mut self, now: Instant) {
        self.reading.asked = Some(now);
        let own = self.options.incarnation;
        let peer = self
            .peers
            .iter(now)
            .filter(|(entry, status)| *status == Status::Live && entry.heartbeat.incarnation != own)
            .max_by_key(|(entry, _)| entry.heartbeat.applied)
            .map(|(entry, _)| entry.heartbeat.peers.as_str().into());
        if let Some(peer) = peer {
            self.commands.push(Command::FetchState { peer });
        }
    }

    fn note_failure(&mut self, now: Instant, text: &str) {
        if self.reading.failing.is_none() {
            self.reading.failing = Some(now);
            self.events.push(Body::new(Kind::LogUnreachable).text(text));
        }
    }

    fn take_steps(&mut self, now: Instant, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Applied { offset, outcome: Outcome::Applied(change), .. } => {
                    self.take_change(now, offset, change);
                }
                Step::Applied { offset, append_id, outcome: Outcome::Ignored(cause), .. } => {
                    // Retried and competing records are ignored all the time; only the writer
                    // needs to know.
                    if append_id.incarnation == self.options.incarnation
                        && !matches!(cause, Cause::NoSuchOrder | Cause::Unchanged)
                    {
                        let text = format_args!("{cause:?}");
                        self.events.push(Body::new(Kind::RecordIgnored).offset(offset).text(text));
                    }
                }
                Step::Skipped { offset, cause } => {
                    self.events.push(Body::new(Kind::RecordSkipped).offset(offset).text(cause));
                }
                Step::Restored { upto } => {
                    self.history_whole = false;
                    self.events.push(Body::new(Kind::SnapshotLoaded).offset(upto));
                    self.resync_claims(now);
                }
                Step::SnapshotRejected { upto, cause } => {
                    let text = format_args!("a snapshot cannot be used: {cause}");
                    self.events.push(Body::new(Kind::RecordSkipped).offset(upto).text(text));
                }
                Step::Trimmed { first } => {
                    self.events.push(Body::new(Kind::LogTrimmed).offset(first));
                }
                Step::NoSnapshot => self.ask_state(now),
                Step::Gap { expected, found } => {
                    let text = format_args!("the log returned {found} instead");
                    self.events.push(Body::new(Kind::RecordSkipped).offset(expected).text(text));
                }
                Step::AppendSettled { sequence, settlement } => {
                    self.take_settlement(sequence, settlement)
                }
            }
        }
    }

    fn take_settlement(&mut self, sequence: u64, settlement: Settlement) {
        let origins = self.outbox.settle(sequence, settlement);
        if !origins.is_empty() {
            let text = format_args!("sequence {sequence}: {settlement:?}");
            let offset = self.reader.state().applied();
            self.events.push(Body::new(Kind::AppendSettled).offset(offset).text(text));
        }
    }

    fn take_change(&mut self, now: Instant, offset: u64, change: Change) {
        match change {
            Change::ConfigPublished { version } => {
                self.events.push(Body::new(Kind::ConfigurationInForce).offset(version));
                self.remember();
            }
            Change::EntryJoined { incarnation, dead } => {
                let name = self.entry_name(incarnation);
                self.events.push(Body::new(Kind::EntryJoined).entry(name).offset(offset));
                for gone in dead {
                    self.peers.mark_replaced(gone);
                    self.end_relays(gone);
                }
            }
            Change::EntryGone { incarnation } => {
                let name = self.entry_name(incarnation);
                self.events.push(Body::new(Kind::EntryGone).entry(name).offset(offset));
                self.peers.mark_replaced(incarnation);
                self.end_relays(incarnation);
            }
            Change::PlannerElected { planner, term } => {
                let name = self.entry_name(planner);
                let text = format_args!("term {term}");
                let body = Body::new(Kind::PlannerElected).entry(name).offset(offset);
                self.events.push(body.text(text));
            }
            Change::GroupFormed { group } => {
                let text = self.describe(group);
                let body = Body::new(Kind::GroupFormed).group(group).offset(offset);
                self.events.push(body.text(text));
            }
            Change::GroupDissolved { group } => {
                self.events.push(Body::new(Kind::GroupDissolved).group(group).offset(offset));
            }
            Change::MemberReplaced { group, .. } => {
                let text = self.describe(group);
                let body = Body::new(Kind::MemberReplaced).group(group).offset(offset);
                self.events.push(body.text(text));
            }
            Change::OrderSettled { instance } => {
                let body = Body::new(Kind::CustodyEnded).instance(instance).offset(offset);
                self.events.push(body);
            }
            Change::InstanceRestarted { instance, .. } => {
                let body = Body::new(Kind::InstanceRestarted).instance(instance).offset(offset);
                self.events.push(body);
            }
            Change::ClaimsDecided(claims) => self.take_claims(now, offset, claims),
            Change::CrashCounted { fingerprint, group, at_ms, .. } => {
                self.replayed.push(Crash { fingerprint, group, at_ms });
            }
            Change::MarkSet => {
                self.events.push(Body::new(Kind::MarkSet).offset(offset));
            }
            Change::SnapshotPart => {}
        }
    }

    fn take_claims(&mut self, now: Instant, offset: u64, claims: Vec<Decision>) {
        for claim in claims {
            let Some(executor) = claim.executor() else { continue };
            if executor == self.options.incarnation {
                let text = format_args!("{:032x}", claim.key);
                self.events.push(Body::new(Kind::BookingClaimed).offset(offset).text(text));
            }
            let effects = self.bookings.observe_claim(claim.key, executor);
            self.take_effects(now, effects);
        }
    }

    /// Crash records are dated by the log's time, which is only known at its end.
    fn take_crashes(&mut self, now: Instant) {
        let log_ms = self.reader.state().log_ms();
        for crash in std::mem::take(&mut self.replayed) {
            let at = now - Duration::from_millis(log_ms.saturating_sub(crash.at_ms));
            self.quarantine.merge_log_record(crash.fingerprint, crash.group, at, now);
        }
    }

    fn describe(&self, group: u64) -> String {
        self.reader.state().group(group).map_or(String::new(), |it| {
            let members: Vec<&str> = it.members.iter().map(|seat| seat.instance.as_str()).collect();
            format!("{} {} on {}", it.model, it.version, members.join(" "))
        })
    }

    /// The name of an entry incarnation, or the incarnation itself if it never joined.
    pub(crate) fn entry_name(&self, incarnation: u64) -> String {
        match self.reader.state().entry(incarnation) {
            Some(entry) if !entry.name.is_empty() => entry.name.to_string(),
            _ => format!("{incarnation:016x}"),
        }
    }

    /// Queues a record unless one of the same origin waits already.
    pub(crate) fn append_once(&mut self, origin: Origin, record: Record) {
        if !self.outbox.holds(&origin) {
            self.outbox.push(origin, record);
        }
    }
}
