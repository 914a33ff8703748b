//! Observation: polls of backend servers, gossip, the instance list, and the view made of them.

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

/// Time after which an unchanged instance state is published again.
///
/// Younger than the bound at which the planner ignores a report.
const REFRESH_MS: u64 = 5_000;

impl Node {
    /// Polls what this entry observes and tells the others what it found.
    pub(crate) fn round(&mut self, now: Instant) {
        self.assign(now);
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
        self.note_peers(now, &before);
        let live: Vec<u64> = self.live_peers(now);
        self.limiter.set_peers(&live, now);
        for peer in live {
            self.limiter.heartbeat(peer, now);
        }
    }

    /// Sends an urgent frame if one is due.
    pub(crate) fn send_urgent(&mut self, now: Instant) {
        if let Some(send) = self.gossip.urgent_round(&self.peers, &self.store, now) {
            self.send(send);
        }
    }

    pub(crate) fn take_gossip(&mut self, now: Instant, items: Vec<Item>) {
        if self.is_resuming(now) {
            return;
        }
        let news = self.gossip.receive(&mut self.peers, &mut self.store, items, now);
        self.take_news(now, news);
    }

    /// Takes all that a peer knows; the others learn it from that peer, so nothing is passed on.
    pub(crate) fn take_view(&mut self, now: Instant, items: Vec<Item>) {
        let news = self.gossip.receive_pulled(&mut self.peers, &mut self.store, items, now);
        self.take_news(now, news);
    }

    /// All that this entry knows of entries, groups and instances, for a peer that asks.
    pub fn dump_view(&self, now: Instant) -> Vec<Frame> {
        self.gossip.dump(&self.peers, &self.store, now)
    }

    fn take_news(&mut self, now: Instant, news: Vec<Item>) {
        let mut groups = false;
        for item in news {
            match item {
                Item::Blame(blame) => {
                    let blame = quarantine::Blame {
                        fingerprint: blame.fingerprint,
                        observer: blame.observer,
                        counter: blame.counter,
                    };
                    self.quarantine.merge(blame, now, now);
                }
                Item::Group(_) => groups = true,
                Item::Heartbeat(heartbeat) => {
                    self.reader.raise_floor(heartbeat.applied);
                }
                Item::Instance(_) | Item::Usage(_) | Item::Beats { .. } | Item::Ages { .. } => {}
            }
        }
        if groups {
            // A closed group takes no new request from here on, without waiting for the tick.
            self.sync_targets(now);
            self.send_urgent(now);
        }
    }

    /// Asks for the instance list, unless an answer is awaited, and for the weight store's load.
    pub(crate) fn ask_platform(&mut self, now: Instant) {
        if self.list_asked.is_none() {
            self.list_asked = Some(now);
            self.commands.push(Command::List);
        }
        self.commands.push(Command::Weight);
    }

    pub(crate) fn take_list(&mut self, now: Instant, list: Option<List>) {
        // The answer may have waited in a queue, so the list is as old as the request.
        let Some(asked) = self.list_asked.take() else { return };
        let Some(list) = list else {
            if !self.list_failed {
                self.list_failed = true;
                self.events.push(Body::new(Kind::ListStale).text("no answer"));
            }
            return;
        };
        if std::mem::take(&mut self.list_failed) {
            self.events.push(Body::new(Kind::ListFresh));
        }
        // A list that was taken no later than the known one says nothing new.
        if self.observations.listed_at.is_some() && list.as_of_ms <= self.list_as_of {
            return;
        }
        self.list_as_of = list.as_of_ms;
        self.observations.listed_at = Some(asked);
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
            self.observations.instances.entry(name, Observation::default).listed = listed;
        }
        self.sync_targets(now);
    }

    /// Brings the view of instances and groups up to date from own polls and gossip.
    pub(crate) fn see_instances(&mut self, now: Instant) {
        self.observations.live_entries = self
            .peers
            .iter(now)
            .filter(|(_, status)| *status == Status::Live)
            .map(|(entry, _)| entry.heartbeat.incarnation)
            .collect();
        self.observations.live_entries.sort_unstable();
        let Some(sheet) = self.reader.state().config().sheet.clone() else { return };
        for declared in &sheet.instances {
            self.see_instance(now, &declared.name);
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

    fn see_instance(&mut self, now: Instant, name: &SmolStr) {
        let own = self.options.incarnation;
        let mut silences = Vec::new();
        let mut newest: Option<(u32, &frame::Instance)> = None;
        for (age_ms, item) in self.store.instance_reports(name, now) {
            let observer = item.observer;
            match item.state {
                _ if self.observations.live_entries.binary_search(&observer).is_err() => {}
                State::Silent => {
                    silences.push(PollFailure { observer, since: now - millis(age_ms) })
                }
                _ if newest.is_none_or(|(known, _)| age_ms < known) => {
                    newest = Some((age_ms, item));
                }
                _ => {}
            }
        }
        if let Some(since) = self.polls.get(name).and_then(|poll| poll.silence(now)) {
            silences.retain(|silence| silence.observer != own);
            silences.push(PollFailure { observer: own, since });
        }
        let observation = self.observations.instances.entry(name.clone(), Observation::default);
        observation.poll_failures = silences;
        let Some((age_ms, item)) = newest else { return };
        let at = now - millis(age_ms);
        if observation.report.as_ref().is_none_or(|known| known.at < at) {
            observation.report = gossiped(item, at);
        }
    }

    /// Works out which units this entry observes.
    fn assign(&mut self, now: Instant) {
        let state = self.reader.state();
        let Some(sheet) = state.sheet() else { return };
        let zone = |name: &str| {
            let place = sheet.instances.binary_search_by(|it| it.name.as_str().cmp(name));
            place.map(|place| sheet.instances[place].zone.clone()).unwrap_or_default()
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
        if self.duty.update(self.options.incarnation, places, candidates) {
            let observed = self.observed();
            self.polls.retain(|name, _| observed.binary_search(name).is_ok());
        }
    }

    fn publish_groups(&mut self, now: Instant) {
        let groups: Vec<u64> = self
            .duty
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

    fn publish_group(&mut self, now: Instant, id: u64) {
        let state = self.reader.state();
        let Some(fence) = state.group(id).map(|group| group.fence) else { return };
        let found =
            readiness::check_members(state, &self.observations, id, now, &self.options.presence);
        // A member that this observer cannot reach may be reached by the other one. If neither
        // reaches it, the last open summary is too old after the presence bound.
        if matches!(found.cause, Some(readiness::Cause::Silent(_))) {
            return;
        }
        let item = Item::Group(frame::Group {
            group: id,
            fence,
            observer: 0,
            counter: 0,
            servable: found.is_servable(),
            queued: found.queued,
            running: found.running,
            slots: found.slots,
            age_ms: age(now, found.at),
        });
        self.gossip.publish(&self.peers, &mut self.store, item, now);
    }

    fn publish_instances(&mut self, now: Instant) {
        let mut items = Vec::new();
        let observed = self.observed();
        for (name, poll) in self.polls.iter_mut() {
            // The planner's further polls are for itself.
            if observed.binary_search(name).is_err() {
                continue;
            }
            let Some(item) = poll.item(name, now) else { continue };
            let due = match &poll.published {
                None => true,
                Some((known, at)) => {
                    now.since(*at).as_millis() as u64 >= REFRESH_MS
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

    /// Tells the others the demand of the teams, and takes in theirs.
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

    fn statuses(&self, now: Instant) -> Vec<(u64, Status)> {
        self.peers.iter(now).map(|(entry, status)| (entry.heartbeat.incarnation, status)).collect()
    }

    fn note_peers(&mut self, now: Instant, before: &[(u64, Status)]) {
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

    fn send(&mut self, send: mgw_member::gossip::Outgoing) {
        for peer in send.peers {
            self.commands.push(Command::Send { peer, frame: send.frame.clone() });
        }
    }
}

/// A report that came by gossip; `None` for a silent instance.
fn gossiped(item: &frame::Instance, at: Instant) -> Option<Report> {
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

pub(crate) fn age(now: Instant, at: Instant) -> u32 {
    u32::try_from(now.since(at).as_micros().div_ceil(1_000)).unwrap_or(u32::MAX)
}

fn millis(ms: u32) -> Duration {
    Duration::from_millis(u64::from(ms))
}

/// Whether a frame is gossip that the node takes.
pub fn items(frame: Frame) -> Option<Vec<Item>> {
    match frame {
        Frame::Gossip { items, .. } => Some(items),
        _ => None,
    }
}
