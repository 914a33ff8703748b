//! Observation of instances, groups and peers by polls, gossip and the instance list.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_event::{Body, Kind};
use mgw_group::readiness;
use mgw_group::view::{Listing, Observation, PollFailure, Report};
use mgw_member::observe::{self, Placement, Unit};
use mgw_member::view::Status;
use mgw_report::report::{self, List, Phase};
use mgw_route::limit::Demand;
use mgw_route::quarantine;
use mgw_wire::frame::{self, Frame, Item, State};
use smol_str::SmolStr;

use crate::command::Command;
use crate::node::Node;

/// Time after which an unchanged instance state is published again, in ms.
///
/// It is shorter than the age at which the planner ignores a report.
const REPUBLISH_INTERVAL_MS: u64 = 5_000;

impl Node {
    /// Polls the instances that this entry observes, publishes their states and runs a gossip
    /// round.
    pub(crate) fn round(&mut self, now: Instant) {
        self.update_assignment(now);
        self.poll(now);
        self.publish_groups(now);
        self.publish_instances(now);
        let before: Vec<(u64, Status)> = self.statuses(now);
        if let Some(send) = self.gossip.round(&mut self.peers, &mut self.store, now) {
            self.send(send);
        }
        if let Some(peer) = self.gossip.pull_peer(&self.peers, now) {
            self.commands.push(Command::FetchView { peer });
        }
        self.report_peer_changes(now, &before);
        let live: Vec<u64> = self.live_peers(now);
        self.limiter.set_peers(&live, now);
        for peer in live {
            self.limiter.heartbeat(peer, now);
        }
    }

    /// Sends the extra gossip frame for urgent changes if one is due.
    pub(crate) fn send_urgent(&mut self, now: Instant) {
        if let Some(send) = self.gossip.urgent_round(&self.peers, &self.store, now) {
            self.send(send);
        }
    }

    /// Merges a gossip frame. Ignored right after a pause of this process.
    pub(crate) fn handle_gossip(&mut self, now: Instant, items: Vec<Item>) {
        if self.is_resuming(now) {
            return;
        }
        let changes = self.gossip.receive(&mut self.peers, &mut self.store, items, now);
        self.handle_changes(now, changes);
    }

    /// Merges everything a peer knows. It is not passed on, because the others learn it from that
    /// peer.
    pub(crate) fn handle_view(&mut self, now: Instant, items: Vec<Item>) {
        let changes = self.gossip.receive_pulled(&mut self.peers, &mut self.store, items, now);
        self.handle_changes(now, changes);
    }

    /// Everything this entry knows of entries, groups and instances, as the answer to a peer's
    /// request.
    pub fn dump_view(&self, now: Instant) -> Vec<Frame> {
        self.gossip.dump(&self.peers, &self.store, now)
    }

    /// Handles the gossip items that changed more than a load or an age.
    fn handle_changes(&mut self, now: Instant, changes: Vec<Item>) {
        let mut groups_changed = false;
        for item in changes {
            match item {
                Item::Blame(blame) => {
                    let blame = quarantine::Blame {
                        fingerprint: blame.fingerprint,
                        observer: blame.observer,
                        counter: blame.counter,
                    };
                    self.quarantine.merge(blame, now, now);
                }
                Item::Group(_) => groups_changed = true,
                Item::Heartbeat(heartbeat) => {
                    self.reader.raise_floor(heartbeat.applied_offset);
                }
                Item::Instance(_)
                | Item::Usage(_)
                | Item::HeartbeatCounters { .. }
                | Item::GroupAges { .. } => {}
            }
        }
        if groups_changed {
            // A group that closed must get no new request from here on, so this does not wait for
            // the control loop.
            self.sync_targets(now);
            self.send_urgent(now);
        }
    }

    /// Requests the instance list, unless a request is outstanding, and the load of the weight
    /// store.
    pub(crate) fn fetch_platform_state(&mut self, now: Instant) {
        if self.list_requested_at.is_none() {
            self.list_requested_at = Some(now);
            self.commands.push(Command::FetchInstanceList);
        }
        self.commands.push(Command::FetchWeightLoad);
    }

    /// Applies a new instance list to the observations.
    pub(crate) fn handle_list(&mut self, now: Instant, list: Option<List>) {
        // The answer may have waited in a queue, so the list counts as being as old as the request.
        let Some(requested_at) = self.list_requested_at.take() else { return };
        let Some(list) = list else {
            if !self.list_failed {
                self.list_failed = true;
                self.events.push(
                    Body::new(Kind::ListStale).text("the request for the instance list failed"),
                );
            }
            return;
        };
        if std::mem::take(&mut self.list_failed) {
            self.events.push(Body::new(Kind::ListFresh));
        }
        // A list that is not newer than the known one is ignored.
        if self.observations.listed_at.is_some() && list.as_of_ms <= self.list_as_of {
            return;
        }
        self.list_as_of = list.as_of_ms;
        self.observations.listed_at = Some(requested_at);
        let mut entries: Vec<SmolStr> = Vec::new();
        let mut servers: Vec<(SmolStr, Listing)> = Vec::new();
        for instance in list.instances {
            match instance.kind {
                report::Kind::Entry => entries.push(instance.name),
                report::Kind::Server => {
                    let listed = match instance.status {
                        report::Status::Live => Listing::Live,
                        report::Status::Leaving => Listing::Leaving,
                    };
                    servers.push((instance.name, listed));
                }
            }
        }
        entries.sort_unstable();
        self.observations.listed_entries = entries;
        for (_, observation) in self.observations.instances.iter_mut() {
            observation.listed = Listing::Absent;
        }
        for (name, listed) in servers {
            self.observations.instances.get_or_insert_with(name, Observation::default).listed =
                listed;
        }
        self.sync_targets(now);
    }

    /// Updates the observations of instances and groups from own polls and gossip.
    pub(crate) fn update_observations(&mut self, now: Instant) {
        self.observations.live_entries = self
            .peers
            .iter(now)
            .filter(|(_, status)| *status == Status::Live)
            .map(|(entry, _)| entry.heartbeat.incarnation)
            .collect();
        self.observations.live_entries.sort_unstable();
        let Some(sheet) = self.reader.state().config().sheet.clone() else { return };
        for declared in &sheet.instances {
            self.update_observation(now, &declared.name);
        }
        let groups: Vec<(u64, u64)> =
            self.reader.state().groups().map(|(id, group)| (id, group.fence)).collect();
        self.observations
            .summaries
            .retain(|id, _| groups.binary_search_by_key(id, |it| it.0).is_ok());
        for (id, fence) in groups {
            let Some(group) = self.store.group(id, fence, now) else { continue };
            let summary = readiness::Summary {
                observer: group.observer,
                counter: group.counter,
                fence,
                servable: group.servable,
                at: now - millis(group.age_ms),
                running: group.running,
                queued: group.queued,
                slots: group.slots,
            };
            self.observations.summaries.insert(id, vec![summary]);
        }
    }

    /// Updates the report and the poll failures of one instance. Gossip of observers that are not
    /// live is ignored.
    fn update_observation(&mut self, now: Instant, name: &SmolStr) {
        let own = self.options.incarnation;
        let mut poll_failures = Vec::new();
        let mut newest: Option<(u32, &frame::Instance)> = None;
        for (age_ms, item) in self.store.instance_reports(name, now) {
            let observer = item.observer;
            match item.state {
                _ if self.observations.live_entries.binary_search(&observer).is_err() => {}
                State::Silent => {
                    poll_failures.push(PollFailure { observer, since: now - millis(age_ms) })
                }
                _ if newest.is_none_or(|(known, _)| age_ms < known) => {
                    newest = Some((age_ms, item));
                }
                _ => {}
            }
        }
        if let Some(since) = self.polls.get(name).and_then(|poll| poll.current_silence(now)) {
            poll_failures.retain(|failure| failure.observer != own);
            poll_failures.push(PollFailure { observer: own, since });
        }
        let observation =
            self.observations.instances.get_or_insert_with(name.clone(), Observation::default);
        observation.poll_failures = poll_failures;
        let Some((age_ms, item)) = newest else { return };
        let at = now - millis(age_ms);
        if observation.report.as_ref().is_none_or(|known| known.at < at) {
            observation.report = report_from_gossip(item, at);
        }
    }

    /// Updates the units that this entry observes, and forgets polls of all other instances.
    fn update_assignment(&mut self, now: Instant) {
        let state = self.reader.state();
        let Some(sheet) = state.sheet() else { return };
        let zone = |name: &str| {
            let index = sheet.instances.binary_search_by(|it| it.name.as_str().cmp(name));
            index.map(|index| sheet.instances[index].zone.clone()).unwrap_or_default()
        };
        let mut places = Vec::new();
        for (id, group) in state.groups() {
            let zone = group.members.first().map(|seat| zone(&seat.instance)).unwrap_or_default();
            places.push(Placement { unit: Unit::Group(id), zone });
        }
        for instance in &sheet.instances {
            if state.instance(&instance.name).is_none_or(|known| known.assignment.is_none()) {
                let unit = Unit::Instance(instance.name.clone());
                places.push(Placement { unit, zone: instance.zone.clone() });
            }
        }
        for server in &sheet.servers {
            let unit = Unit::Server(server.name.clone());
            places.push(Placement { unit, zone: server.zone.clone() });
        }
        let candidates = observe::candidates(&self.peers, now);
        if self.assignment.update(self.options.incarnation, places, candidates) {
            let observed = self.observed();
            self.polls.retain(|name, _| observed.binary_search(name).is_ok());
        }
    }

    /// Publishes a summary of each group that this entry observes.
    fn publish_groups(&mut self, now: Instant) {
        let groups: Vec<u64> = self
            .assignment
            .units()
            .iter()
            .filter_map(|unit| match unit {
                Unit::Group(id) => Some(*id),
                Unit::Instance(_) | Unit::Server(_) => None,
            })
            .collect();
        for id in groups {
            self.publish_group(now, id);
        }
    }

    /// Publishes the summary of one group.
    fn publish_group(&mut self, now: Instant, id: u64) {
        let state = self.reader.state();
        let Some(fence) = state.group(id).map(|group| group.fence) else { return };
        let check =
            readiness::check_members(state, &self.observations, id, now, &self.options.readiness);
        // A member that this observer cannot reach may be reachable for the other one. If it is
        // not, the last servable summary exceeds `readiness::Options::max_age` and is ignored.
        if matches!(check.cause, Some(readiness::Cause::Silent(_))) {
            return;
        }
        let item = Item::Group(frame::Group {
            group: id,
            fence,
            observer: 0,
            counter: 0,
            servable: check.is_servable(),
            queued: check.queued,
            running: check.running,
            slots: check.slots,
            age_ms: age(now, check.at),
        });
        self.gossip.publish(&self.peers, &mut self.store, item, now);
    }

    /// Publishes the states of the observed instances that changed or are due for a repetition.
    fn publish_instances(&mut self, now: Instant) {
        let mut items = Vec::new();
        let observed = self.observed();
        for (name, poll) in self.polls.iter_mut() {
            // Additional polls of the planner are only for its own use.
            if observed.binary_search(name).is_err() {
                continue;
            }
            let Some(item) = poll.gossip_item(name, now) else { continue };
            let due = match &poll.published {
                None => true,
                Some((known, at)) => {
                    now.since(*at).as_millis() as u64 >= REPUBLISH_INTERVAL_MS
                        || (&known.boot, known.fence, known.group, known.state)
                            != (&item.boot, item.fence, item.group, item.state)
                }
            };
            if due {
                poll.published = Some((item.clone(), now));
                items.push(item);
            }
        }
        for item in items {
            self.gossip.publish(&self.peers, &mut self.store, Item::Instance(item), now);
        }
    }

    /// Merges the peers' demand of the teams into admission and publishes the demand at this
    /// entry.
    pub(crate) fn measure_demand(&mut self, now: Instant) {
        self.limiter.tick(now);
        let Some(sheet) = self.reader.state().config().sheet.clone() else { return };
        for team in &sheet.teams {
            let others: Vec<frame::Usage> = self.store.usage_of(&team.name, now).cloned().collect();
            for usage in others.into_iter().filter(|it| it.incarnation != self.options.incarnation)
            {
                let demand = Demand {
                    requests: f64::from(usage.requests),
                    tokens: f64::from(usage.tokens),
                    in_flight: f64::from(usage.in_flight),
                };
                self.limiter.report_demand(
                    usage.incarnation,
                    usage.counter,
                    &team.name,
                    demand,
                    now,
                );
            }
            let Some(demand) = self.limiter.demand(&team.name) else { continue };
            let item = Item::Usage(frame::Usage {
                incarnation: 0,
                counter: 0,
                team: team.name.to_string(),
                requests: demand.requests.ceil() as u32,
                tokens: demand.tokens.ceil() as u32,
                in_flight: demand.in_flight.ceil() as u32,
            });
            self.gossip.publish(&self.peers, &mut self.store, item, now);
        }
    }

    /// Incarnations of the other entries that are live and serving.
    fn live_peers(&self, now: Instant) -> Vec<u64> {
        let own = self.options.incarnation;
        self.peers
            .iter(now)
            .filter(|(entry, status)| {
                *status == Status::Live
                    && entry.heartbeat.phase == frame::Phase::Serving
                    && entry.heartbeat.incarnation != own
            })
            .map(|(entry, _)| entry.heartbeat.incarnation)
            .collect()
    }

    /// The status of each known entry, by incarnation.
    fn statuses(&self, now: Instant) -> Vec<(u64, Status)> {
        self.peers.iter(now).map(|(entry, status)| (entry.heartbeat.incarnation, status)).collect()
    }

    /// Emits an event for each entry whose status differs from `before`.
    fn report_peer_changes(&mut self, now: Instant, before: &[(u64, Status)]) {
        for (incarnation, old) in before {
            let new = self.peers.status(*incarnation, now);
            let kind = match (old, new) {
                (Status::Live, Status::Suspect) => Kind::PeerSuspect,
                (Status::Live | Status::Suspect, Status::Gone) => Kind::PeerRemoved,
                (Status::Suspect | Status::Gone, Status::Live) => Kind::PeerReturned,
                _ => continue,
            };
            let name = self.entry_name(*incarnation);
            self.events.push(Body::new(kind).entry(name));
        }
    }

    /// Emits the commands that send a gossip frame to its peers.
    fn send(&mut self, send: mgw_member::gossip::Outgoing) {
        for peer in send.peers {
            self.commands.push(Command::SendFrame { peer, frame: send.frame.clone() });
        }
    }
}

/// Converts a gossiped instance state to a report; `None` for a silent instance. Gossip carries
/// neither the model nor the slots.
fn report_from_gossip(item: &frame::Instance, at: Instant) -> Option<Report> {
    let phase = match item.state {
        State::Silent => return None,
        State::Idle => Phase::Idle,
        State::Loading => Phase::Loading,
        State::Ready => Phase::Ready,
        State::Failed => Phase::Failed,
    };
    Some(Report {
        boot: SmolStr::new(&item.boot),
        fence: item.fence,
        group: item.group,
        model: None,
        phase,
        running: item.load,
        queued: 0,
        slots: 0,
        at,
    })
}

/// Time from `at` to `now` in ms, rounded up.
pub(crate) fn age(now: Instant, at: Instant) -> u32 {
    u32::try_from(now.since(at).as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

/// The items of a gossip frame for [`Input::Gossip`] or [`Input::View`]; `None` for any other
/// frame.
///
/// [`Input::Gossip`]: crate::input::Input::Gossip
/// [`Input::View`]: crate::input::Input::View
pub fn gossip_items(frame: Frame) -> Option<Vec<Item>> {
    match frame {
        Frame::Gossip { items, .. } => Some(items),
        _ => None,
    }
}
