//! What the planner concludes from observations: which instances and entries are present, which
//! groups serve, and whether anything has changed since the last pass.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use mgw_base::time::Instant;
use mgw_state::record::{Incarnation, Offset, Record};
use mgw_state::state::{Group, Instance};
use smol_str::SmolStr;

use crate::layout::Layout;
use crate::planner::{Pass, Presence, Tracker};
use crate::readiness;
use crate::view::{Listing, Observation, PollFailure, Report};

impl<'a> Pass<'a> {
    /// Whether `span` has passed since `since`. If not, the next full pass takes place at the
    /// latest when it has.
    pub(super) fn has_elapsed(&mut self, since: Instant, span: Duration) -> bool {
        let due = since + span;
        if due > self.now {
            self.wake_at = Some(self.wake_at.map_or(due, |wake| wake.min(due)));
        }
        due <= self.now
    }

    /// Whether enough observers agree that the instance has not answered for
    /// [`Options::silence_timeout`](crate::planner::Options::silence_timeout).
    pub(super) fn is_silent(&self, observation: &Observation) -> bool {
        let needed = self.options.min_observers.min(self.view.live_entries.len()).max(1);
        let timed_out =
            |failure: &&PollFailure| self.now.since(failure.since) >= self.options.silence_timeout;
        observation.poll_failures.iter().filter(timed_out).count() >= needed
    }

    /// Classifies an instance by the instance list, its newest report and the failed polls.
    ///
    /// It is lost if a recent list does not contain it, or if enough observers get no answer and no
    /// recent report contradicts them.
    pub(super) fn presence(&self, observation: &Observation) -> Presence {
        let list_is_fresh = self.view.is_list_fresh(self.now, self.options.list_max_age);
        let silent = self.is_silent(observation);
        let answered = observation.fresh_report(self.now, self.options.silence_timeout).is_some();
        let fresh = observation.fresh_report(self.now, self.options.report_max_age).is_some();
        match observation.listed {
            Listing::Absent if list_is_fresh => Presence::Lost,
            _ if silent && !answered => Presence::Lost,
            Listing::Leaving => Presence::Leaving,
            Listing::Absent => Presence::Unknown,
            _ if answered || (fresh && !silent) => Presence::Present,
            _ => Presence::Unknown,
        }
    }

    /// The instance's report, if it is recent enough for planning.
    pub(super) fn report(&self, name: &SmolStr) -> Option<&'a Report> {
        self.view.observation(name)?.fresh_report(self.now, self.options.report_max_age)
    }

    /// Records of the instances that report a boot newer than the one in the log.
    pub(super) fn restart_records(&self) -> Vec<Record> {
        let restarted = |(name, instance): (&SmolStr, &Instance)| {
            let boot = &self.report(name)?.boot;
            let newer = is_newer(instance, boot);
            newer.then(|| Record::Restarted {
                term: self.state.term().number,
                instance: name.to_string(),
                boot: boot.to_string(),
            })
        };
        self.state.instances().filter_map(restarted).collect()
    }

    /// Entry incarnations that have been missing both from the instance list and from gossip for
    /// long enough to be declared gone.
    pub(super) fn gone_entries(&mut self, tracker: &mut Tracker) -> Vec<Incarnation> {
        let fresh = self.view.is_list_fresh(self.now, self.options.list_max_age);
        let view = self.view;
        let is_missing = |incarnation: &Incarnation| {
            let entry = self.state.entry(*incarnation);
            let entry = entry.filter(|entry| entry.dead_ms.is_none() && !entry.name.is_empty());
            let is_listed = |name| view.listed_entries.binary_search(name).is_ok();
            fresh
                && entry.is_some_and(|entry| !is_listed(&entry.name))
                && view.live_entries.binary_search(incarnation).is_err()
        };
        let missing: Vec<Incarnation> =
            self.state.entries().map(|(it, _)| it).filter(is_missing).collect();
        tracker.missing_since.retain(|incarnation, _| missing.binary_search(incarnation).is_ok());
        let now = self.now;
        let timeout = self.options.entry_gone_timeout;
        let is_gone = |incarnation: &Incarnation| {
            let since = *tracker.missing_since.entry(*incarnation, || now);
            self.has_elapsed(since, timeout)
        };
        missing.into_iter().filter(is_gone).collect()
    }

    /// Whether the newest summary of a closed group shows no requests or, without a summary since
    /// `after`, the report of rank 0 does. False if neither was made since `after`.
    pub(super) fn holds_no_requests(&self, id: Offset, group: &Group, after: Instant) -> bool {
        let summaries = self.view.summaries.get(&id).map_or(&[][..], Vec::as_slice);
        let newest = summaries.iter().max_by_key(|summary| summary.at);
        let by_summary = newest.filter(|it| it.at >= after).map(|it| it.running + it.queued == 0);
        let first = group.members.first().and_then(|seat| self.report(&seat.instance));
        let by_report = first.filter(|it| it.at >= after).map(|report| report.request_count() == 0);
        by_summary.or(by_report).unwrap_or(false)
    }

    /// Whether the group passes the readiness check by the summaries or by the members' reports,
    /// with the planner's bound on their age.
    pub(super) fn is_ready(&self, id: Offset) -> bool {
        let options = readiness::Options { max_age: self.options.report_max_age };
        readiness::check_summaries(self.state, self.view, id, self.now, &options).is_ok()
            || readiness::check_members(self.state, self.view, id, self.now, &options).is_servable()
    }

    /// Whether the set of usable instances is stable: it has not grown for the stabilization
    /// window, no instance's presence is unknown, or it has been unstable for as long as allowed.
    pub(super) fn is_stable(&mut self, layout: &Layout<'_>, tracker: &mut Tracker) -> bool {
        let declared = &layout.nodes[..self.sheet.instances.len()];
        let usable: Vec<SmolStr> =
            declared.iter().filter(|node| node.usable).map(|node| node.name.clone()).collect();
        let grown = usable.iter().any(|name| tracker.usable.binary_search(name).is_err());
        tracker.usable = usable;
        if grown {
            tracker.grown_at = Some(self.now);
        }
        let settled = tracker
            .grown_at
            .is_none_or(|grown| self.has_elapsed(grown, self.options.stabilization_window));
        let complete = declared.iter().all(|node| node.presence != Presence::Unknown);
        let since = *tracker.unstable_since.get_or_insert(self.now);
        let stable = settled || complete || self.has_elapsed(since, self.options.max_stabilization);
        if stable {
            tracker.unstable_since = None;
        }
        stable
    }

    /// Digest of all inputs of a pass but the delays, which [`Tracker::wake_at`] covers. It
    /// iterates over the observations and looks nothing up, so that a pass without changes is
    /// cheap.
    pub(super) fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        let list_is_fresh = self.view.is_list_fresh(self.now, self.options.list_max_age);
        (self.state.planning_revision(), list_is_fresh, &self.view.live_entries).hash(&mut hasher);
        self.view.listed_entries.hash(&mut hasher);
        for (name, observation) in self.view.instances.iter() {
            (name, observation.listed, self.is_silent(observation), observation.slow_since)
                .hash(&mut hasher);
            let fresh = observation.fresh_report(self.now, self.options.report_max_age);
            let answered =
                observation.fresh_report(self.now, self.options.silence_timeout).is_some();
            let known = fresh.map(|it| (&it.boot, it.fence, it.group, &it.model, it.phase as u8));
            (known, answered).hash(&mut hasher);
        }
        for (id, summaries) in self.view.summaries.iter() {
            id.hash(&mut hasher);
            for it in summaries {
                let fresh = self.now.since(it.at) < self.options.report_max_age;
                (it.observer, it.fence, it.servable, fresh).hash(&mut hasher);
            }
        }
        hasher.finish()
    }
}

/// Whether a reported boot identifier is none of those that the log knows of the instance, so that
/// the instance has restarted. False if the log knows none.
pub(super) fn is_newer(known: &Instance, boot: &SmolStr) -> bool {
    !boot.is_empty()
        && !known.boot.is_empty()
        && known.boot != *boot
        && !known.past_boots.contains(boot)
}
