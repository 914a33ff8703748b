//! Replication: reads of the log, application of its records to the state, and results of appends.

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
use crate::node::{Node, Timer};
use crate::outbox::Purpose;

/// Time to the next read after a failed one.
const READ_RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time without a successful read after which a peer's state is requested, and minimum time between
/// two such requests.
const PEER_STATE_INTERVAL: Duration = Duration::from_secs(1);

/// State of the reads of the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReadState {
    /// When the outstanding read was sent; `None` if there is none.
    sent_at: Option<Instant>,
    /// When the log was first found to be unreachable; `None` after a successful read.
    failing_since: Option<Instant>,
    /// When a peer's state was last requested.
    state_requested_at: Option<Instant>,
    /// Whether the log was read to its end once, or the state of a peer was adopted.
    caught_up: bool,
    /// When the state last included every offset that peers were known to have applied.
    current_at: Instant,
}

/// A crash record that was read and not yet passed to the quarantine table.
#[derive(Clone, Copy, Debug)]
pub struct Crash {
    /// Fingerprint of the request.
    fingerprint: u128,
    /// Id of the group that crashed; 0 for a server of a plain service.
    group: u64,
    /// Time of the append in ms, by the clock of the log service.
    at_ms: u64,
}

impl ReadState {
    /// Whether the log counts as unreachable: a read failed or an append was refused, and no read
    /// has succeeded since.
    pub fn is_failing(&self) -> bool {
        self.failing_since.is_some()
    }

    /// Whether the log was read to its end once, or the state of a peer was adopted.
    pub fn is_caught_up(&self) -> bool {
        self.caught_up
    }

    /// Time for which peers have been known to have applied more of the log than this entry.
    pub fn time_behind(&self, now: Instant) -> Duration {
        now.since(self.current_at)
    }
}

impl Node {
    /// Sends a read, unless one is outstanding.
    pub(crate) fn read(&mut self, now: Instant) {
        if self.read_state.sent_at.is_none() {
            self.read_state.sent_at = Some(now);
            self.commands.push(Command::Read { from: self.reader.next_offset() });
        }
    }

    /// Applies the records of a read and starts the next one.
    pub(crate) fn handle_read(&mut self, now: Instant, read: Read) {
        let Some(sent_at) = self.read_state.sent_at.take() else { return };
        let steps = match read {
            Read::Failed => {
                self.report_log_failure(now, "a read failed");
                self.timers.schedule(now + READ_RETRY_DELAY, Timer::Read);
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
        if self.read_state.failing_since.take().is_some() {
            let offset = self.reader.state().applied();
            self.events.push(Body::new(Kind::LogReachable).offset(offset));
        }
        self.handle_steps(now, steps);
        self.update_current(now);
        self.outbox.record_applied(self.reader.state().applied());
        if self.reader.is_caught_up() {
            self.read_state.caught_up = true;
            self.apply_crashes(now);
            let effects = self.bookings.caught_up(sent_at);
            self.handle_effects(now, effects);
        }
        self.sync_state(now);
        self.read(now);
    }

    /// Passes the result of an append to the outbox, the reader and the bookings.
    pub(crate) fn handle_append(&mut self, now: Instant, sequence: u64, result: Append) {
        let Some(completion) = self.outbox.record_result(sequence, result, now) else { return };
        let claimed = match result {
            Append::Accepted { .. } => claim::Append::Accepted,
            Append::Refused => claim::Append::Refused,
            Append::Unknown => claim::Append::Unknown,
        };
        for purpose in &completion.purposes {
            if let Purpose::Claims(batch) = purpose {
                self.bookings.finish_append(*batch, claimed, now);
            }
        }
        match result {
            Append::Accepted { .. } => self.reader.forget_append(sequence),
            Append::Refused => {
                self.reader.forget_append(sequence);
                self.report_log_failure(now, "an append was refused");
            }
            Append::Unknown => {
                let text = format_args!("sequence {sequence}");
                self.events.push(Body::new(Kind::AppendUnsettled).text(text));
            }
        }
    }

    /// Adopts the state of a peer.
    pub(crate) fn handle_state(&mut self, now: Instant, whole: Option<Snapshot>) {
        let Some(whole) = whole else { return };
        match self.reader.adopt_snapshot(&whole) {
            Ok(steps) => {
                self.read_state.caught_up |= self.reader.is_current();
                self.handle_steps(now, steps);
            }
            Err(cause) => {
                let text = format_args!("the state of a peer cannot be adopted: {cause}");
                self.events.push(Body::new(Kind::RecordSkipped).offset(whole.upto).text(text));
            }
        }
        self.sync_state(now);
    }

    /// Updates the phase. Serving starts once the log was read to its end or, while the log is
    /// down, once the state of a peer was adopted.
    pub(crate) fn update_phase(&mut self, now: Instant) {
        self.reader.raise_floor(self.peers.highest_applied());
        self.update_current(now);
        let applied = self.reader.state().applied();
        let marked = self.reader.state().entry_mark(&self.options.peers) != Mark::Clear;
        let stopping = self.draining_since.is_some();
        match self.phase {
            Phase::Starting if self.read_state.caught_up && self.reader.is_current() => {
                self.set_phase(Phase::Serving, now);
            }
            // An entry with a mark leaves the directory and still serves the requests that reach
            // it.
            Phase::Serving if marked => self.set_phase(Phase::Draining, now),
            Phase::Draining if !marked && !stopping => self.set_phase(Phase::Serving, now),
            Phase::Starting | Phase::Serving | Phase::Draining => {
                self.peers.set_own_state(self.phase, applied, now);
            }
        }
        let behind = !self.read_state.caught_up || !self.reader.is_current();
        let failing = self
            .read_state
            .failing_since
            .is_some_and(|since| now.since(since) >= PEER_STATE_INTERVAL);
        let requested = self
            .read_state
            .state_requested_at
            .is_some_and(|at| now.since(at) < PEER_STATE_INTERVAL);
        if behind && failing && !requested {
            self.request_peer_state(now);
        }
    }

    /// Updates the time at which the state was last current.
    fn update_current(&mut self, now: Instant) {
        if self.reader.is_current() {
            self.read_state.current_at = now;
        }
    }

    /// Requests the state of the live peer with the highest applied offset.
    fn request_peer_state(&mut self, now: Instant) {
        self.read_state.state_requested_at = Some(now);
        let own = self.options.incarnation;
        let peer = self
            .peers
            .iter(now)
            .filter(|(entry, status)| *status == Status::Live && entry.heartbeat.incarnation != own)
            .max_by_key(|(entry, _)| entry.heartbeat.applied_offset)
            .map(|(entry, _)| entry.heartbeat.peer_address.as_str().into());
        if let Some(peer) = peer {
            self.commands.push(Command::FetchState { peer });
        }
    }

    /// Emits an event at the first failure after a successful read.
    fn report_log_failure(&mut self, now: Instant, text: &str) {
        if self.read_state.failing_since.is_none() {
            self.read_state.failing_since = Some(now);
            self.events.push(Body::new(Kind::LogUnreachable).text(text));
        }
    }

    /// Handles what the reader did with the records of a read or the state of a peer.
    fn handle_steps(&mut self, now: Instant, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Applied { offset, outcome: Outcome::Applied(change), .. } => {
                    self.handle_change(now, offset, change);
                }
                Step::Applied { offset, append_id, outcome: Outcome::Ignored(cause), .. } => {
                    // Repeated and competing records are ignored regularly, so only the entry that
                    // wrote the record reports it.
                    if append_id.incarnation == self.options.incarnation
                        && !matches!(cause, Cause::Settled | Cause::Unchanged)
                    {
                        let text = format_args!("{cause:?}");
                        self.events.push(Body::new(Kind::RecordIgnored).offset(offset).text(text));
                    }
                }
                Step::Skipped { offset, cause } => {
                    self.events.push(Body::new(Kind::RecordSkipped).offset(offset).text(cause));
                }
                Step::Restored { upto } => {
                    self.history_complete = false;
                    self.events.push(Body::new(Kind::SnapshotLoaded).offset(upto));
                    self.resync_claims(now);
                }
                Step::SnapshotRejected { upto, cause } => {
                    let text =
                        format_args!("the snapshot up to this offset cannot be restored: {cause}");
                    self.events.push(Body::new(Kind::RecordSkipped).offset(upto).text(text));
                }
                Step::Trimmed { first } => {
                    self.events.push(Body::new(Kind::LogTrimmed).offset(first));
                }
                Step::NoSnapshot => self.request_peer_state(now),
                Step::Gap { expected, found } => {
                    let text = format_args!("the log returned offset {found} instead");
                    self.events.push(Body::new(Kind::RecordSkipped).offset(expected).text(text));
                }
                Step::AppendSettled { sequence, settlement } => {
                    self.handle_settlement(sequence, settlement)
                }
            }
        }
    }

    /// Settles an append whose reply was lost.
    fn handle_settlement(&mut self, sequence: u64, settlement: Settlement) {
        let purposes = self.outbox.settle(sequence, settlement);
        if !purposes.is_empty() {
            let text = format_args!("sequence {sequence}: {settlement:?}");
            let offset = self.reader.state().applied();
            self.events.push(Body::new(Kind::AppendSettled).offset(offset).text(text));
        }
    }

    /// Emits the event of an applied record and updates what is derived from it.
    fn handle_change(&mut self, now: Instant, offset: u64, change: Change) {
        match change {
            Change::ConfigPublished { version } => {
                self.events.push(Body::new(Kind::ConfigurationInForce).offset(version));
                self.record_revision();
            }
            Change::EntryJoined { incarnation, dead } => {
                let name = self.entry_name(incarnation);
                self.events.push(Body::new(Kind::EntryJoined).entry(name).offset(offset));
                for ended in dead {
                    self.peers.mark_replaced(ended);
                    self.end_relays(ended);
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
                let text = self.describe_group(group);
                let body = Body::new(Kind::GroupFormed).group(group).offset(offset);
                self.events.push(body.text(text));
            }
            Change::GroupDissolved { group } => {
                self.events.push(Body::new(Kind::GroupDissolved).group(group).offset(offset));
            }
            Change::MemberReplaced { group, .. } => {
                let text = self.describe_group(group);
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
            Change::ClaimsDecided(claims) => self.handle_claims(now, offset, claims),
            Change::CrashCounted { fingerprint, group, at_ms, .. } => {
                self.pending_crashes.push(Crash { fingerprint, group, at_ms });
            }
            Change::MarkSet => {
                self.events.push(Body::new(Kind::MarkSet).offset(offset));
            }
            Change::SnapshotPart => {}
        }
    }

    /// Passes the executors of booking keys to the bookings that wait for them.
    fn handle_claims(&mut self, now: Instant, offset: u64, claims: Vec<Decision>) {
        for claim in claims {
            let Some(executor) = claim.executor() else { continue };
            if executor == self.options.incarnation {
                let text = format_args!("{:032x}", claim.key);
                self.events.push(Body::new(Kind::BookingClaimed).offset(offset).text(text));
            }
            let effects = self.bookings.observe_claim(claim.key, executor);
            self.handle_effects(now, effects);
        }
    }

    /// Passes the crash records that were read to the quarantine table. Their age is measured
    /// against the log time of the newest record, which is known only when the end of the log was
    /// reached.
    fn apply_crashes(&mut self, now: Instant) {
        let log_ms = self.reader.state().log_ms();
        for crash in std::mem::take(&mut self.pending_crashes) {
            let at = now - Duration::from_millis(log_ms.saturating_sub(crash.at_ms));
            self.quarantine.merge_log_record(crash.fingerprint, crash.group, at, now);
        }
    }

    /// Model, version and members of a group, for the text of an event.
    fn describe_group(&self, group: u64) -> String {
        self.reader.state().group(group).map_or(String::new(), |it| {
            let members: Vec<&str> = it.members.iter().map(|seat| seat.instance.as_str()).collect();
            format!("{} {} on {}", it.model, it.version, members.join(" "))
        })
    }

    /// The name of the entry with this incarnation, or the incarnation in hexadecimal if no entry
    /// joined with it.
    pub(crate) fn entry_name(&self, incarnation: u64) -> String {
        match self.reader.state().entry(incarnation) {
            Some(entry) if !entry.name.is_empty() => entry.name.to_string(),
            _ => format!("{incarnation:016x}"),
        }
    }

    /// Queues a record unless the outbox holds one of the same purpose.
    pub(crate) fn append_once(&mut self, purpose: Purpose, record: Record) {
        if !self.outbox.contains(&purpose) {
            self.outbox.push(purpose, record);
        }
    }
}
