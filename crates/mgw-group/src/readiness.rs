//! The readiness check of groups: a group may serve requests only while all its members are
//! present, run its newest order and are ready.
//!
//! The entries that observe a group check the reports of all its members ([`check_members`]) and
//! publish a [`Summary`]. All other entries rely on the summaries ([`check_summaries`]).

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_report::report::Phase;
use mgw_state::record::{Incarnation, Mark, Offset};
use mgw_state::state::{Group, MemberSlot, State};
use smol_str::SmolStr;

use crate::view::{Listing, Report, View};

/// Parameters of the readiness check.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Member reports and group summaries of this age or older are ignored.
    pub max_age: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self { max_age: Duration::from_secs(2) }
    }
}

/// The result of a readiness check as an observer publishes it to other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Summary {
    /// Incarnation of the observing entry.
    pub observer: Incarnation,
    /// Sequence number of the summary, ascending per observer.
    pub counter: u64,
    /// Fencing token of the group that the members were compared with.
    pub fence: Offset,
    /// Whether all members were present and ready, so that the group may serve.
    pub servable: bool,
    /// If servable, when the oldest of the member reports was made; otherwise when the observer
    /// made the check, so that the missing report of a silent member does not make the result look
    /// old.
    pub at: Instant,
    /// Sum over all members of the requests in their batches.
    pub running: u32,
    /// Sum over all members of the requests that wait for a place in a batch.
    pub queued: u32,
    /// Number of requests that the batch of rank 0 can hold.
    pub slots: u32,
}

/// Why a group is closed to new requests. Where a cause names an instance, it is the first member
/// in rank order that fails the check.
///
/// The text of events contains the names of the variants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The group does not exist in the replayed state.
    Group,
    /// A seat is vacant: its instance restarted and was not replaced yet.
    Vacant(SmolStr),
    /// The instance list shows a member as leaving.
    Leaving(SmolStr),
    /// The instance list does not contain a member.
    Absent(SmolStr),
    /// An operator marked a member to be drained.
    Drained(SmolStr),
    /// The sheet no longer declares a member.
    Removed(SmolStr),
    /// There is no sufficiently recent report of a member.
    Silent(SmolStr),
    /// A member runs under another boot identifier than the one that was assigned.
    Boot(SmolStr),
    /// A member's last accepted order is not the newest order of the group.
    Order(SmolStr),
    /// A member does not check fencing tokens, and the log does not yet show that its order for the
    /// newest member list is done.
    Unsettled(SmolStr),
    /// A member's engine is not in phase [`Phase::Ready`].
    Phase(SmolStr),
    /// The newest summary, by this observer, says that the group is not servable.
    Observer(Incarnation),
    /// There is no sufficiently recent summary for the group's fencing token.
    Stale,
}

/// The result of a readiness check from the reports of all members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Why the group is closed; `None` if it is servable.
    pub cause: Option<Cause>,
    /// If servable, when the oldest of the member reports was made; otherwise the time of the
    /// check.
    pub at: Instant,
    /// Sum over all members of the requests in their batches.
    pub running: u32,
    /// Sum over all members of the requests that wait for a place in a batch.
    pub queued: u32,
    /// Number of requests that the batch of rank 0 can hold.
    pub slots: u32,
}

impl Status {
    /// Whether the group may serve requests.
    pub fn is_servable(&self) -> bool {
        self.cause.is_none()
    }

    /// Converts the result to the summary that is published to other entries.
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

/// Checks the readiness of group `id` from the reports of all members, at an observer of the group.
pub fn check_members(
    state: &State,
    view: &View,
    id: Offset,
    now: Instant,
    options: &Options,
) -> Status {
    let mut status = Status { cause: None, at: now, running: 0, queued: 0, slots: 0 };
    let Some(group) = state.group(id) else {
        status.cause = Some(Cause::Group);
        return status;
    };
    for (rank, seat) in group.members.iter().enumerate() {
        let observation = view.observation(&seat.instance);
        let report =
            observation.and_then(|observation| observation.fresh_report(now, options.max_age));
        // Requests are counted even if the member is not ready: a closed group is observed until
        // it holds no requests.
        if let Some(report) = report {
            status.at = status.at.min(report.at);
            status.running = status.running.saturating_add(report.running);
            status.queued = status.queued.saturating_add(report.queued);
            status.slots = if rank == 0 { report.slots } else { status.slots };
        }
        let checked = check_eligibility(state, view, seat)
            .and_then(|()| check_report(state, id, group, seat, report));
        status.cause = status.cause.or(checked.err());
    }
    if status.cause.is_some() {
        status.at = now;
    }
    status
}

/// Checks the readiness of group `id` from the summaries of its observers, at an entry that does
/// not observe the group.
///
/// The newest summary for the group's fencing token decides. Of equally new ones, one that is not
/// servable takes precedence.
pub fn check_summaries(
    state: &State,
    view: &View,
    id: Offset,
    now: Instant,
    options: &Options,
) -> Result<Summary, Cause> {
    let group = state.group(id).ok_or(Cause::Group)?;
    group.members.iter().try_for_each(|seat| check_eligibility(state, view, seat))?;
    let summaries = view.summaries.get(&id).map_or(&[][..], Vec::as_slice);
    let newest = summaries
        .iter()
        .filter(|summary| summary.fence == group.fence)
        .max_by_key(|summary| (summary.at, !summary.servable));
    match newest {
        Some(summary) if !summary.servable => Err(Cause::Observer(summary.observer)),
        Some(summary) if now.since(summary.at) < options.max_age => Ok(*summary),
        _ => Err(Cause::Stale),
    }
}

/// Checks that a member still belongs to its group by the log, the instance list, the operator's
/// mark and the sheet.
fn check_eligibility(state: &State, view: &View, seat: &MemberSlot) -> Result<(), Cause> {
    let name = || seat.instance.clone();
    if seat.vacant {
        return Err(Cause::Vacant(name()));
    }
    match view
        .observation(&seat.instance)
        .map_or(Listing::Unknown, |observation| observation.listed)
    {
        Listing::Leaving => return Err(Cause::Leaving(name())),
        Listing::Absent => return Err(Cause::Absent(name())),
        Listing::Live | Listing::Unknown => {}
    }
    match state.instance(&seat.instance) {
        Some(instance) if instance.mark == Mark::Drain => Err(Cause::Drained(name())),
        _ if !state.is_in_sheet(&seat.instance) => Err(Cause::Removed(name())),
        _ => Ok(()),
    }
}

/// Checks that a member's report shows the assigned boot, the newest order and a ready engine.
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
    // The report of an engine without fencing does not tell which member list the engine uses. The
    // group id implies only the group's first list; for a later one, the log must show that the
    // order is done.
    let settled = report.fence == group.fence
        || group.fence == id
        || state.instance(&seat.instance).is_some_and(|it| it.settled_fence == group.fence);
    match report {
        report if report.boot != seat.boot => Err(Cause::Boot(name())),
        report if !report.matches_group(id, group, fencing) => Err(Cause::Order(name())),
        _ if !settled => Err(Cause::Unsettled(name())),
        report if report.phase != Phase::Ready => Err(Cause::Phase(name())),
        _ => Ok(()),
    }
}
