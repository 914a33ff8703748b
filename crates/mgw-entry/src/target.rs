//! The targets of routing, the teams and the directory, as derived from state and observation.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_event::{Body, Kind};
use mgw_group::readiness;
use mgw_group::view::Listing;
use mgw_member::directory::{self, Answer};
use mgw_member::observe::Unit;
use mgw_member::view::Entry;
use mgw_route::limit::Capacity;
use mgw_route::select::{Attributes, Destination, Id, Load};
use mgw_sheet::sheet::Sheet;
use mgw_wire::frame::State;
use smol_str::SmolStr;

use crate::node::{Node, region};

/// A server whose newest report says silence is used again after this time.
const SERVER_SILENCE: Duration = Duration::from_secs(60);

/// Time below what peers have in force after which no group is sent requests.
///
/// Gossip is at times a few ms faster than the read of the same record. Without this time an entry
/// then closed all its groups for 100 ms or more: 53 closings in 300 s at 9 entries with one claim
/// per second. A group that changed in the meantime is told by the fencing tokens in the reports.
const BEHIND: Duration = Duration::from_secs(1);

/// A team's bearer key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Credential {
    /// Hash of the key; the table is sorted by it.
    pub key: SmolStr,
    /// The team.
    pub team: SmolStr,
}

impl Node {
    /// The team whose bearer key this is.
    pub fn team(&self, key: &str) -> Option<&SmolStr> {
        let hash = mgw_sheet::key::hash(key);
        let place = self.credentials.binary_search_by(|it| it.key.cmp(&hash)).ok()?;
        Some(&self.credentials[place].team)
    }

    /// The addresses that a caller in `zone` should use.
    pub fn directory(&mut self, zone: Option<&str>, now: Instant) -> Answer {
        let mut answer = directory::answer(&self.peers, zone, now, &mut self.random);
        let own = self.options.incarnation;
        for line in &mut answer.entries {
            // The answer's prefix names the incarnation. The address may also be that of earlier
            // incarnations, whose keys nobody runs any more.
            let named = |it: &Entry| directory::key_prefix(it.heartbeat.incarnation);
            let found = self.peers.iter(now).find(|(it, _)| named(it) == line.key_prefix);
            let Some((entry, _)) = found else { continue };
            let incarnation = entry.heartbeat.incarnation;
            line.key_prefix = match incarnation == own {
                true => self.bookings.prefix(now),
                // The uptime counts from a later moment than the process's start, so the named
                // process has reached this issue time.
                false => {
                    let issued = entry.uptime(now).as_millis() as u64;
                    mgw_booking::key::prefix(incarnation, issued)
                }
            };
        }
        answer
    }

    /// The model and adapter that a request names: adapters share the name space of models.
    pub fn resolve(&self, name: &str) -> Option<(SmolStr, Option<SmolStr>)> {
        let sheet = self.reader.state().sheet()?;
        if let Ok(place) = sheet.models.binary_search_by(|it| it.name.as_str().cmp(name)) {
            return Some((sheet.models[place].name.clone(), None));
        }
        let place = sheet.adapters.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
        let adapter = &sheet.adapters[place];
        Some((adapter.model.clone(), Some(adapter.name.clone())))
    }

    /// Whether calls of a plain service with this method and path are idempotent; `None` if the
    /// service is not declared.
    pub fn is_repeatable(&self, service: &str, method: &str, path: &str) -> Option<bool> {
        let sheet = self.reader.state().sheet()?;
        sheet.services.binary_search_by(|it| it.name.as_str().cmp(service)).ok()?;
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        Some(sheet.calls.iter().any(|call| {
            call.repeatable
                && (&*call.service, &*call.method, &*call.path) == (service, method, path)
        }))
    }

    /// Takes over what changed in the replicated state.
    pub(crate) fn sync_state(&mut self, now: Instant) {
        let state = self.reader.state();
        if state.planning_revision() == self.synced {
            return;
        }
        self.synced = state.planning_revision();
        let entries: Vec<u64> = state
            .entries()
            .filter(|(_, entry)| entry.dead_ms.is_none())
            .map(|(incarnation, _)| incarnation)
            .collect();
        let groups: Vec<(u64, u64)> = state.groups().map(|(id, group)| (id, group.fence)).collect();
        self.peers.set_listed(&entries);
        self.store.set_listed(&groups);
        let config = state.config();
        if config.version != self.configured
            && let Some(sheet) = config.sheet.clone()
        {
            self.configured = config.version;
            self.configure(&sheet, now);
        }
        self.sync_targets(now);
    }

    fn configure(&mut self, sheet: &Sheet, now: Instant) {
        let teams: Vec<(SmolStr, Capacity)> = sheet
            .teams
            .iter()
            .map(|team| {
                let capacity = Capacity {
                    rate: f64::from(team.rate),
                    tokens: f64::from(team.tokens),
                    concurrency: team.concurrency,
                };
                (team.name.clone(), capacity)
            })
            .collect();
        self.limiter.configure(&teams, now);
        self.retries.retain(|team| teams.iter().any(|(name, _)| name == team));
        self.credentials = sheet
            .teams
            .iter()
            .map(|team| Credential { key: team.key.clone(), team: team.name.clone() })
            .collect();
        self.credentials.sort_unstable();
        self.observations.instances.retain(|name, _| {
            sheet.instances.binary_search_by(|it| it.name.cmp(name)).is_ok()
                || sheet.servers.binary_search_by(|it| it.name.cmp(name)).is_ok()
        });
    }

    /// Brings the routing table up to date.
    pub(crate) fn sync_targets(&mut self, now: Instant) {
        let Some(sheet) = self.reader.state().config().sheet.clone() else { return };
        let groups: Vec<u64> = self.reader.state().groups().map(|(id, _)| id).collect();
        for id in &groups {
            self.sync_group(now, *id, &sheet);
        }
        for server in &sheet.servers {
            let destination = Destination::Service(server.service.clone());
            let id = Id::Server(server.name.clone());
            let available = self.is_server_open(&server.name, now);
            let facts = Attributes {
                destination,
                adapters: Vec::new(),
                zone: server.zone.clone(),
                region: region(&server.zone).into(),
                available,
                leaving: self.is_leaving(&server.name),
            };
            let key = self.targets.upsert(id, facts);
            let load = self.store.instance(&server.name, now).map(|item| Load {
                queued: 0,
                running: item.load,
                slots: u32::MAX,
                measured_at: now - Duration::from_millis(u64::from(item.age_ms)),
            });
            if let Some(load) = load {
                self.targets.report_load(key, load);
            }
        }
        let gone: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, target)| match target.id() {
                Id::Group(id) => groups.binary_search(id).is_err(),
                Id::Server(name) => sheet.servers.binary_search_by(|it| it.name.cmp(name)).is_err(),
            })
            .map(|(key, _)| key)
            .collect();
        for key in gone {
            self.ejections.remove(key);
            self.targets.remove(key);
        }
    }

    fn sync_group(&mut self, now: Instant, id: u64, sheet: &Sheet) {
        let state = self.reader.state();
        let Some(group) = state.group(id) else { return };
        let (found, load) = self.judge(now, id);
        let refused = self.refusals.get(&Id::Group(id)).copied();
        // A report from before the refused connection does not show what the connection showed.
        let available =
            found.is_ok() && refused.is_none_or(|at| load.is_some_and(|it| it.measured_at > at));
        let adapters = sheet
            .adapters
            .iter()
            .filter(|adapter| adapter.model == group.model)
            .map(|adapter| adapter.name.clone())
            .collect();
        let zone = group
            .members
            .first()
            .and_then(|seat| {
                let place = sheet.instances.binary_search_by(|it| it.name.cmp(&seat.instance));
                place.ok().map(|place| sheet.instances[place].zone.clone())
            })
            .unwrap_or_default();
        let model = group.model.clone();
        let facts = Attributes {
            destination: Destination::Model(model.clone()),
            adapters,
            region: region(&zone).into(),
            zone,
            available,
            leaving: false,
        };
        let known = self.targets.find(&Id::Group(id));
        let was = known.and_then(|key| self.targets.get(key)).map(|it| it.attributes().available);
        let key = self.targets.upsert(Id::Group(id), facts);
        if let Some(load) = load {
            self.targets.report_load(key, load);
        }
        match (was.unwrap_or(false), available) {
            (false, true) => {
                self.ejections.add(key, &model);
                self.events.push(Body::new(Kind::GroupServable).group(id));
            }
            (true, false) => {
                self.ejections.remove(key);
                let text = match &found {
                    Err(cause) => format!("{cause:?}"),
                    Ok(()) => String::from("rank 0 refused a connection"),
                };
                self.events.push(Body::new(Kind::GroupClosed).group(id).text(text));
            }
            _ => {}
        }
    }

    /// Whether the group is servable as far as this entry knows, and its load.
    pub(crate) fn judge(
        &self,
        now: Instant,
        id: u64,
    ) -> (Result<(), readiness::Cause>, Option<Load>) {
        let (state, options) = (self.reader.state(), &self.options.presence);
        if !self.reader.is_current() && self.reading.behind(now) >= BEHIND {
            return (Err(readiness::Cause::Stale), None);
        }
        if self.duty.contains(&Unit::Group(id)) {
            let found = readiness::check_members(state, &self.observations, id, now, options);
            let load = Load {
                queued: found.queued,
                running: found.running,
                slots: found.slots,
                measured_at: found.at,
            };
            // Right after this entry became an observer it has no reports of its own.
            if !matches!(found.cause, Some(readiness::Cause::Silent(_))) {
                return (found.cause.map_or(Ok(()), Err), Some(load));
            }
        }
        match readiness::check_summaries(state, &self.observations, id, now, options) {
            Ok(summary) => {
                let load = Load {
                    queued: summary.queued,
                    running: summary.running,
                    slots: summary.slots,
                    measured_at: summary.at,
                };
                (Ok(()), Some(load))
            }
            Err(cause) => (Err(cause), None),
        }
    }

    /// A server counts as up unless its newest report says that it is silent.
    fn is_server_open(&self, name: &str, now: Instant) -> bool {
        let id = Id::Server(name.into());
        let item = self.store.instance(name, now);
        let age = |ms: u32| Duration::from_millis(u64::from(ms));
        let refused = self.refusals.get(&id).copied();
        match item {
            Some(item) if item.state == State::Silent => age(item.age_ms) >= SERVER_SILENCE,
            Some(item) => refused.is_none_or(|at| now - age(item.age_ms) > at),
            None => refused.is_none_or(|at| now.since(at) >= SERVER_SILENCE),
        }
    }

    fn is_leaving(&self, name: &SmolStr) -> bool {
        match self
            .observations
            .observation(name)
            .map_or(Listing::Unknown, |observation| observation.listed)
        {
            Listing::Leaving => true,
            Listing::Unknown | Listing::Live => false,
            // The list names the backend servers; one that it has dropped is gone.
            Listing::Absent => true,
        }
    }
}
