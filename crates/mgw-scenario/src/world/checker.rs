//! Invariant checker: compares the entries' actions with the true state of the fakes.

use mgw_base::sorted::Map;
use mgw_booking::outcome::Cause;
use mgw_report::report::{Action, Order};
use mgw_state::record::Envelope;
use mgw_state::state::{self, Change, Outcome, State};
use smol_str::SmolStr;

use super::entry::ProcessId;
use super::link::Party;
use super::log::Mode;
use super::server::Relayed;
use super::{MILLISECOND, Micros, SECOND, World};

mod group;
mod measure;
mod summary;

pub use measure::Measure;

/// Upper bound on the violations kept; later ones are only traced and counted.
const MAX_VIOLATIONS: usize = 200;

/// Interval and bounds of the checks.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Interval of the configuration checks and the measurements.
    pub interval: Micros,
    /// Time after which no request may be sent to a group with an absent member: the presence
    /// bound of 2 s plus the transit time of the last report.
    pub presence_bound: Micros,
    /// Time after which a server listed as leaving must not get new work.
    pub leaving_bound: Micros,
    /// Time within which a new configuration must be in force at every entry that reaches the log.
    pub config_bound: Micros,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            interval: 250 * MILLISECOND,
            presence_bound: 2_600 * MILLISECOND,
            leaving_bound: 5 * SECOND,
            config_bound: 10 * SECOND,
        }
    }
}

/// A violation of an invariant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Virtual time of the violation.
    pub at: Micros,
    /// Identifier of the invariant, `I1` to `I8`.
    pub invariant: &'static str,
    /// Description of the violation.
    pub text: String,
}

/// Runs and reports of one booking key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BookingRecord {
    /// Number of runs, summed over all servers.
    pub runs: u32,
    /// Time at which a caller was last told that the booking was not run.
    reported_not_run_at: Option<Micros>,
    /// Time at which a caller last sent the booking.
    last_sent_at: Micros,
}

/// State of the invariant checker.
#[derive(Debug)]
pub(crate) struct Checker {
    options: Options,
    /// Replicated state, replayed from the records as the log service accepts them.
    pub(crate) state: State,
    violations: Vec<Violation>,
    count: usize,
    pub(crate) relays: Vec<Relayed>,
    bookings: Map<u128, BookingRecord>,
    /// Configuration versions with the time at which each was appended.
    published_versions: Vec<(u64, Micros)>,
    /// Highest configuration version in force at each entry, over all its processes.
    highest_versions: Vec<u64>,
    measure: Measure,
}

impl Checker {
    pub(crate) fn new(options: Options) -> Self {
        let parse = |text: &str| mgw_sheet::parse::parse(text).ok();
        Self {
            options,
            state: State::new(state::Options::new(parse)),
            violations: Vec::new(),
            count: 0,
            relays: Vec::new(),
            bookings: Map::default(),
            published_versions: Vec::new(),
            highest_versions: Vec::new(),
            measure: Measure::default(),
        }
    }
}

impl World {
    /// Returns the violations found so far; the first 200 are kept.
    pub fn violations(&self) -> &[Violation] {
        &self.checker.violations
    }

    /// Returns the record of a booking, by the hash of its team, service and key.
    pub fn booking_record(&self, hash: u128) -> BookingRecord {
        self.checker.bookings.get(&hash).copied().unwrap_or_default()
    }

    /// Returns the replicated state as replayed from the log.
    pub fn state(&self) -> &State {
        &self.checker.state
    }

    /// Returns the configuration version in force according to the log.
    pub fn config_version(&self) -> u64 {
        self.checker.state.config().version
    }

    /// Returns the highest number of runs of any booking key.
    pub fn max_booking_runs(&self) -> u32 {
        self.checker.bookings.iter().map(|(_, record)| record.runs).max().unwrap_or(0)
    }

    pub(crate) fn report_violation<T>(&mut self, invariant: &'static str, text: T)
    where
        T: Into<String>,
    {
        let text = text.into();
        self.trace_text("judge", format!("{invariant}: {text}"));
        self.checker.count += 1;
        if self.checker.violations.len() < MAX_VIOLATIONS {
            let at = self.now;
            self.checker.violations.push(Violation { at, invariant, text });
        }
    }

    pub(crate) fn check_record(&mut self, offset: u64, at_ms: u64, envelope: &Envelope) {
        let outcome = self.checker.state.apply(offset, at_ms, envelope);
        if let Outcome::Applied(Change::ConfigPublished { version }) = outcome {
            let now = self.now;
            self.checker.published_versions.push((version, now));
        }
        self.check_memberships(offset);
    }

    /// Checks that no instance is a member of two groups.
    fn check_memberships(&mut self, offset: u64) {
        let mut memberships: Vec<(&SmolStr, u64)> = self
            .checker
            .state
            .groups()
            .flat_map(|(id, group)| {
                let members = group.members.iter().filter(|member| !member.vacant);
                members.map(move |member| (&member.instance, id))
            })
            .collect();
        memberships.sort_unstable();
        let duplicate = memberships.windows(2).find(|pair| pair[0].0 == pair[1].0);
        let found = duplicate.map(|pair| {
            let (left, right) = (pair[0].1, pair[1].1);
            format!("{} is a member of groups {left} and {right} at log offset {offset}", pair[0].0)
        });
        if let Some(text) = found {
            self.report_violation("I2", text);
        }
    }

    /// Checks an order that an engine is about to accept: a serving engine must not return to an
    /// older group, and a healthy group must not lose an engine with requests in flight.
    pub(crate) fn check_order(&mut self, index: usize, order: &Order) {
        let engine = &self.engines[index];
        let (name, assignment) = (engine.name.clone(), engine.assignment.clone());
        let newer = assignment.group > order.group && assignment.fence > order.fence;
        let is_member = self.checker.state.group(assignment.group).is_some_and(|group| {
            group.members.iter().any(|member| member.instance == name && !member.vacant)
        });
        if order.order == Action::Load && newer && is_member && assignment.ready {
            let text = format!(
                "{name} serves group {} and accepts an order for the older group {}",
                assignment.group, order.group
            );
            self.report_violation("I2", text);
        }
        let jobs = self.engines[index].jobs.len();
        let leaves = assignment.group != order.group || order.order == Action::Unload;
        let healthy = assignment.members.iter().all(|member| {
            let other = &self.engines[*member];
            other.absent_since.is_none()
                && other.assignment.group == assignment.group
                && self.now.saturating_sub(other.absent_until) > 15 * SECOND
        });
        if leaves && jobs > 0 && healthy && self.link.is_intact() {
            let text = format!(
                "{name} is ordered out of group {} with {jobs} requests in flight",
                assignment.group
            );
            self.report_violation("I7", text);
        }
    }

    /// Checks the members of a group to which an entry sends a request.
    pub(crate) fn check_route(
        &mut self,
        process_id: ProcessId,
        group: u64,
        call: usize,
        is_first_attempt: bool,
    ) {
        let Some(group_state) = self.checker.state.group(group) else { return };
        let (presence, leaving) =
            (self.checker.options.presence_bound, self.checker.options.leaving_bound);
        let mut found = Vec::new();
        for member in &group_state.members {
            let Some(engine) = self.engines.iter().find(|it| it.name == member.instance) else {
                continue;
            };
            let elapsed_since = |since: Micros| self.now.saturating_sub(since);
            let entry = &self.entries[process_id.entry].name;
            if let Some(since) = engine.absent_since
                && elapsed_since(since) > presence
            {
                let text = format!(
                    "{entry} sends call {call} to group {group}, whose member {} has been absent for {} ms",
                    member.instance,
                    elapsed_since(since) / MILLISECOND
                );
                found.push(("I1", text));
            }
            let lag = self.options.engine.report_lag;
            if engine.absent_since.is_none()
                && (engine.assignment.group != group || !engine.assignment.ready)
                && elapsed_since(engine.assigned_since) > presence + lag
            {
                let text = format!(
                    "{entry} sends call {call} to group {group}, whose member {} is not ready in it but holds group {}",
                    member.instance, engine.assignment.group
                );
                found.push(("I1", text));
            }
            if let Some(since) = engine.leaving_since
                && is_first_attempt
                && elapsed_since(since) > leaving
            {
                let text = format!(
                    "{entry} sends call {call} to group {group}, whose member {} has been listed as \
                     leaving for {} ms",
                    member.instance,
                    elapsed_since(since) / MILLISECOND
                );
                found.push(("I6", text));
            }
        }
        for (invariant, text) in found {
            self.report_violation(invariant, text);
        }
    }

    /// Checks that a server to which an entry writes a booking has not been leaving for too long.
    pub(crate) fn check_server(&mut self, index: usize) {
        let server = &self.servers[index];
        let leaving = self.checker.options.leaving_bound;
        if let Some(since) = server.leaving_since
            && self.now.saturating_sub(since) > leaving
        {
            let text = format!("{} is listed as leaving and still gets a booking", server.name);
            self.report_violation("I6", text);
        }
    }

    /// Records that a caller sends a booking.
    pub(crate) fn check_attempt(&mut self, hash: u128) {
        let now = self.now;
        self.checker.bookings.get_or_insert_with(hash, BookingRecord::default).last_sent_at = now;
    }

    /// Checks a run of a booking at a server.
    pub(crate) fn check_run(&mut self, hash: u128) {
        let record = self.checker.bookings.get_or_insert_with(hash, BookingRecord::default);
        record.runs += 1;
        let record: BookingRecord = *record;
        if record.runs > 1 {
            self.report_violation("I5", format!("booking {hash:032x} ran {} times", record.runs));
        }
        // A caller that sends the key again after the report requests a new run, which is allowed.
        if record.reported_not_run_at.is_some_and(|at| record.last_sent_at <= at) {
            self.report_violation(
                "I4",
                format!("booking {hash:032x} runs after it was reported as not run"),
            );
        }
    }

    pub(crate) fn check_not_run(&mut self, hash: u128, call: usize, cause: Cause) {
        let now = self.now;
        let record = self.checker.bookings.get_or_insert_with(hash, BookingRecord::default);
        record.reported_not_run_at = Some(now);
        if record.runs > 0 {
            let text = format!(
                "booking {hash:032x} ran, but call {call} was told that it was not run: {cause:?}"
            );
            self.report_violation("I4", text);
        }
    }

    pub(crate) fn check_done(&mut self, hash: u128, call: usize) {
        if self.booking_record(hash).runs == 0 {
            self.report_violation(
                "I3",
                format!("booking {hash:032x} of call {call} was reported done without a run"),
            );
        }
    }

    /// Checks that a drained entry ends without calls or bookings in flight.
    pub(crate) fn check_drained(&mut self, process_id: ProcessId) {
        let Some(process) = self.process(process_id) else { return };
        let (calls, waiting) = (process.proxied_calls.len(), process.waiters.len());
        if calls + waiting > 0 {
            let name = &self.entries[process_id.entry].name;
            let text = format!("{name} ends with {calls} calls and {waiting} bookings in flight");
            self.report_violation("I7", text);
        }
    }

    pub(crate) fn check_tick(&mut self) {
        let period = self.checker.options.interval;
        self.check_versions();
        self.update_measure(period as f64 / 1e6);
        self.schedule_after(period, World::check_tick);
    }

    fn check_versions(&mut self) {
        let now = self.now;
        self.checker.highest_versions.resize(self.entries.len(), 0);
        let mut found = Vec::new();
        for entry in 0..self.entries.len() {
            let party = Party::Entry(entry);
            let up = matches!(self.log.mode, Mode::Up | Mode::Slow(_))
                && !self.is_cut(party, Party::Log);
            let bound = self.checker.options.config_bound;
            let Some(process) = &mut self.entries[entry].process else { continue };
            process.log_reachable_since = match up && !process.paused {
                true => process.log_reachable_since.or(Some(now)),
                false => None,
            };
            let version = process.node.state().config().version;
            let serves = process.node.phase() != mgw_wire::frame::Phase::Starting;
            if version < process.config_version {
                found.push(format!(
                    "entry {entry} went back from configuration version {} to {version}",
                    process.config_version
                ));
            }
            process.config_version = version;
            let highest = &mut self.checker.highest_versions[entry];
            if serves && version < *highest {
                found.push(format!(
                    "entry {entry} serves with configuration version {version} after {highest}"
                ));
            }
            *highest = version.max(*highest);
            let Some(since) = process.log_reachable_since else { continue };
            let late = self.checker.published_versions.iter().rev().find(|(wanted, at)| {
                *wanted > version && now.saturating_sub(since.max(*at)) > bound
            });
            if let Some((wanted, at)) = late {
                found.push(format!(
                    "entry {entry} has configuration version {version}, not {wanted}, {} ms after the append",
                    (now - at) / MILLISECOND
                ));
            }
        }
        for text in found {
            self.report_violation("I8", text);
        }
    }
}
