//! Whether all members of a group are present, so that the group may serve.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_report::report::Phase;
use mgw_state::record::{Incarnation, Mark, Offset};
use mgw_state::state::{Group, MemberSlot, State};
use smol_str::SmolStr;

use crate::view::{Listed, Report, View};

/// Bounds of the presence check.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// A member report or group summary of this age or older does not count.
    pub bound: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { bound: Duration::from_secs(2) }
    }
}

/// What an observer found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// The observer.
    pub observer: Incarnation,
    /// Ascending per observer.
    pub counter: u64,
    /// Fencing token that the members were compared with.
    pub fence: Offset,
    /// Whether all members were present and ready.
    pub servable: bool,
    /// When the oldest member report was made if servable, else when the observer found it not to
    /// be. A silent member must not make the finding look old.
    pub at: Instant,
    /// Requests in the batch.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Size of the batch.
    pub slots: u32,
}

/// Why a group is closed to new requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The group does not exist.
    Group,
    /// A member restarted and was not replaced yet.
    Vacant(SmolStr),
    /// The instance list shows a member as leaving.
    Leaving(SmolStr),
    /// The instance list does not contain a member.
    Absent(SmolStr),
    /// An operator drains a member.
    Drained(SmolStr),
    /// The sheet no longer names a member.
    Removed(SmolStr),
    /// A member has no report that is young enough.
    Silent(SmolStr),
    /// A member runs under another boot than the one assigned.
    Boot(SmolStr),
    /// A member's last order was another one.
    Order(SmolStr),
    /// A member does not check fencing tokens, and the order for the newest member list is not
    /// settled.
    Unsettled(SmolStr),
    /// A member is not ready.
    Phase(SmolStr),
    /// An observer found the group not to be servable.
    Observer(Incarnation),
    /// No observer's summary is young enough.
    Stale,
}

/// What an observer finds of a group from its own polls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Why the group is closed; `None` if it is servable.
    pub cause: Option<Cause>,
    /// When the oldest member report was made if servable, else now.
    pub at: Instant,
    /// Requests in the batch at all members.
    pub running: u32,
    /// Requests that wait at all members.
    pub queued: u32,
    /// Size of the batch at rank 0.
    pub slots: u32,
}

impl Outcome {
    /// Whether the group is servable.
    pub fn is_servable(&self) -> bool {
        self.cause.is_none()
    }

    /// The summary to tell to other entries.
    pub fn summary(&self, observer: Incarnation, counter: u64, fence: Offset) -> Summary {
        Summary {
            observer,
            counter,
            fence,
            servable: self.is_servable(),
            at: self.at,
            running: self.running,
            queued: self.queued,
            slots: self.slots,
        }
    }
}

/// Evaluates a group at one of its observers, from the reports of all members.
pub fn observe(state: &State, view: &View, id: Offset, now: Instant, options: &Options) -> Outcome {
    let mut outcome = Outcome { cause: None, at: now, running: 0, queued: 0, slots: 0 };
    let Some(group) = state.group(id) else {
        outcome.cause = Some(Cause::Group);
        return outcome;
    };
    for (rank, seat) in group.members.iter().enumerate() {
        let observation = view.observation(&seat.instance);
        let report = observation.and_then(|observation| observation.fresh(now, options.bound));
        // The load counts whether or not the member is fit: a closed group is watched until it
        // holds no requests.
        if let Some(report) = report {
            outcome.at = outcome.at.min(report.at);
            outcome.running = outcome.running.saturating_add(report.running);
            outcome.queued = outcome.queued.saturating_add(report.queued);
            outcome.slots = if rank == 0 { report.slots } else { outcome.slots };
        }
        let checked = check_list(state, view, seat)
            .and_then(|()| check_report(state, id, group, seat, report));
        outcome.cause = outcome.cause.or(checked.err());
    }
    if outcome.cause.is_some() {
        outcome.at = now;
    }
    outcome
}

/// Evaluates a group at an entry that does not observe it, from the summaries in the view.
///
/// The newest summary for the group's fencing token decides; of equally new ones, one that is not
/// servable takes precedence.
pub fn judge(
    state: &State,
    view: &View,
    id: Offset,
    now: Instant,
    options: &Options,
) -> Result<Summary, Cause> {
    let group = state.group(id).ok_or(Cause::Group)?;
    group.members.iter().try_for_each(|seat| check_list(state, view, seat))?;
    let known = view.groups.get(&id).map_or(&[][..], Vec::as_slice);
    let newest = known
        .iter()
        .filter(|summary| summary.fence == group.fence)
        .max_by_key(|summary| (summary.at, !summary.servable));
    match newest {
        Some(summary) if !summary.servable => Err(Cause::Observer(summary.observer)),
        Some(summary) if now.since(summary.at) < options.bound => Ok(*summary),
        _ => Err(Cause::Stale),
    }
}

fn check_list(state: &State, view: &View, seat: &MemberSlot) -> Result<(), Cause> {
    let name = || seat.instance.clone();
    if seat.vacant {
        return Err(Cause::Vacant(name()));
    }
    match view.observation(&seat.instance).map_or(Listed::Unknown, |observation| observation.listed)
    {
        Listed::Leaving => return Err(Cause::Leaving(name())),
        Listed::Absent => return Err(Cause::Absent(name())),
        Listed::Live | Listed::Unknown => {}
    }
    match state.instance(&seat.instance) {
        Some(instance) if instance.mark == Mark::Drain => Err(Cause::Drained(name())),
        _ if !state.is_in_sheet(&seat.instance) => Err(Cause::Removed(name())),
        _ => Ok(()),
    }
}

fn check_report(
    state: &State,
    id: Offset,
    group: &Group,
    seat: &MemberSlot,
    report: Option<&Report>,
) -> Result<(), Cause> {
    let name = || seat.instance.clone();
    let report = report.ok_or_else(|| Cause::Silent(name()))?;
    let fencing = state.checks_fencing(&seat.instance);
    // A report of an engine without fencing does not tell which member list the engine has. Only
    // the first list of a group is implied by the group's id; a later one must be settled.
    let settled = report.fence == group.fence
        || group.fence == id
        || state.instance(&seat.instance).is_some_and(|it| it.settled_fence == group.fence);
    match report {
        report if report.boot != seat.boot => Err(Cause::Boot(name())),
        report if !report.holds(id, group, fencing) => Err(Cause::Order(name())),
        _ if !settled => Err(Cause::Unsettled(name())),
        report if report.phase != Phase::Ready => Err(Cause::Phase(name())),
        _ => Ok(()),
    }
}
