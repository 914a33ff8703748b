//! The routing table, the teams and the directory, which are derived from the replicated state and
//! the observations of this entry.

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

/// Time after which a server that is silent, or that refused a connection and has no report, counts
/// as available again.
const SILENT_SERVER_RETRY_INTERVAL: Duration = Duration::from_secs(60);

/// Time after which an entry that has applied less of the log than its peers treats all groups as
/// not servable.
///
/// Gossip of an applied offset can arrive a few ms before the read of the same record. Without this
/// delay, an entry then closed all its groups for 100 ms or more: 53 closings in 300 s with 9
/// entries and one claim per second. A group that changed during the delay is detected by the
/// fencing tokens in the reports.
const STALE_TIMEOUT: Duration = Duration::from_secs(1);

/// The hash of a team's bearer key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Credential {
    /// Hash of the key, from the sheet. The table of credentials is sorted by it.
    pub key_hash: SmolStr,
    /// Name of the team.
    pub team: SmolStr,
}

impl Node {
    /// The team with this bearer key; `None` if no team has it.
    pub fn team_by_key(&self, key: &str) -> Option<&SmolStr> {
        let hash = mgw_sheet::key::hash(key);
        let index = self.credentials.binary_search_by(|it| it.key_hash.cmp(&hash)).ok()?;
        Some(&self.credentials[index].team)
    }

    /// The entries that a caller in `zone` should use, with the key prefixes for bookings there.
    pub fn directory(&mut self, zone: Option<&str>, now: Instant) -> Answer {
        let mut answer = directory::answer(&self.peers, zone, now, &mut self.random);
        let own = self.options.incarnation;
        for line in &mut answer.entries {
            // The incarnation is looked up by the prefix and not by the address. Earlier
            // incarnations may have had the same address, and their keys no longer have an
            // executor.
            let prefix_of = |it: &Entry| directory::key_prefix(it.heartbeat.incarnation);
            let found = self.peers.iter(now).find(|(it, _)| prefix_of(it) == line.key_prefix);
            let Some((entry, _)) = found else { continue };
            let incarnation = entry.heartbeat.incarnation;
            line.key_prefix = match incarnation == own {
                true => self.bookings.prefix(now),
                // The uptime is measured from a later time than the start of the process, so the
                // clock of that process has already passed this issue time.
                false => {
                    let issued = entry.uptime(now).as_millis() as u64;
                    mgw_booking::key::prefix(incarnation, issued)
                }
            };
        }
        answer
    }

    /// The model and, if `name` is that of an adapter, the adapter. Models and adapters share one
    /// namespace. `None` if the sheet declares neither.
    pub fn resolve_model(&self, name: &str) -> Option<(SmolStr, Option<SmolStr>)> {
        let sheet = self.reader.state().sheet()?;
        if let Ok(index) = sheet.models.binary_search_by(|it| it.name.as_str().cmp(name)) {
            return Some((sheet.models[index].name.clone(), None));
        }
        let index = sheet.adapters.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
        let adapter = &sheet.adapters[index];
        Some((adapter.model.clone(), Some(adapter.name.clone())))
    }

    /// Whether calls of a plain service with this method and path may be repeated; `None` if the
    /// service is not declared. The query string of the path is ignored.
    pub fn is_repeatable(&self, service: &str, method: &str, path: &str) -> Option<bool> {
        let sheet = self.reader.state().sheet()?;
        sheet.services.binary_search_by(|it| it.name.as_str().cmp(service)).ok()?;
        let path = path.split_once('?').map_or(path, |(path, _)| path);
        Some(sheet.calls.iter().any(|call| {
            call.repeatable
                && (&*call.service, &*call.method, &*call.path) == (service, method, path)
        }))
    }

    /// Updates the tables that are derived from the replicated state if it has changed.
    pub(crate) fn sync_state(&mut self, now: Instant) {
        let state = self.reader.state();
        if state.planning_revision() == self.synced_offset {
            return;
        }
        self.synced_offset = state.planning_revision();
        let entries: Vec<u64> = state
            .entries()
            .filter(|(_, entry)| entry.dead_ms.is_none())
            .map(|(incarnation, _)| incarnation)
            .collect();
        let groups: Vec<(u64, u64)> = state.groups().map(|(id, group)| (id, group.fence)).collect();
        self.peers.set_listed(&entries);
        self.store.set_listed(&groups);
        let config = state.config();
        if config.version != self.configured_version
            && let Some(sheet) = config.sheet.clone()
        {
            self.configured_version = config.version;
            self.configure(&sheet, now);
        }
        self.sync_targets(now);
    }

    /// Applies a new sheet to admission, retry budgets, credentials and observations.
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
            .map(|team| Credential { key_hash: team.key.clone(), team: team.name.clone() })
            .collect();
        self.credentials.sort_unstable();
        self.observations.instances.retain(|name, _| {
            sheet.instances.binary_search_by(|it| it.name.cmp(name)).is_ok()
                || sheet.servers.binary_search_by(|it| it.name.cmp(name)).is_ok()
        });
    }

    /// Updates the routing table from the replicated state and the observations.
    pub(crate) fn sync_targets(&mut self, now: Instant) {
        let Some(sheet) = self.reader.state().config().sheet.clone() else { return };
        let groups: Vec<u64> = self.reader.state().groups().map(|(id, _)| id).collect();
        for id in &groups {
            self.sync_group(now, *id, &sheet);
        }
        for server in &sheet.servers {
            let destination = Destination::Service(server.service.clone());
            let id = Id::Server(server.name.clone());
            let available = self.is_server_available(&server.name, now);
            let attributes = Attributes {
                destination,
                adapters: Vec::new(),
                zone: server.zone.clone(),
                region: region(&server.zone).into(),
                available,
                leaving: self.is_leaving(&server.name),
            };
            let key = self.targets.upsert(id, attributes);
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
        let removed: Vec<_> = self
            .targets
            .iter()
            .filter(|(_, target)| match target.id() {
                Id::Group(id) => groups.binary_search(id).is_err(),
                Id::Server(name) => sheet.servers.binary_search_by(|it| it.name.cmp(name)).is_err(),
            })
            .map(|(key, _)| key)
            .collect();
        for key in removed {
            self.ejections.remove(key);
            self.targets.remove(key);
        }
    }

    /// Updates the target of one group and emits an event if its availability changed.
    fn sync_group(&mut self, now: Instant, id: u64, sheet: &Sheet) {
        let state = self.reader.state();
        let Some(group) = state.group(id) else { return };
        let (servable, load) = self.check_group(now, id);
        let refused = self.refused_at.get(&Id::Group(id)).copied();
        // A report from before the refused connection does not show that the group is available
        // again.
        let available =
            servable.is_ok() && refused.is_none_or(|at| load.is_some_and(|it| it.measured_at > at));
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
                let index = sheet.instances.binary_search_by(|it| it.name.cmp(&seat.instance));
                index.ok().map(|index| sheet.instances[index].zone.clone())
            })
            .unwrap_or_default();
        let model = group.model.clone();
        let attributes = Attributes {
            destination: Destination::Model(model.clone()),
            adapters,
            region: region(&zone).into(),
            zone,
            available,
            leaving: false,
        };
        let known = self.targets.find(&Id::Group(id));
        let was_available =
            known.and_then(|key| self.targets.get(key)).map(|it| it.attributes().available);
        let key = self.targets.upsert(Id::Group(id), attributes);
        if let Some(load) = load {
            self.targets.report_load(key, load);
        }
        match (was_available.unwrap_or(false), available) {
            (false, true) => {
                self.ejections.add(key, &model);
                self.events.push(Body::new(Kind::GroupServable).group(id));
            }
            (true, false) => {
                self.ejections.remove(key);
                let text = match &servable {
                    Err(cause) => format!("{cause:?}"),
                    Ok(()) => String::from("rank 0 refused a connection"),
                };
                self.events.push(Body::new(Kind::GroupClosed).group(id).text(text));
            }
            _ => {}
        }
    }

    /// Whether the group is servable as far as this entry knows, and its load. An observer of the
    /// group uses the reports of the members, other entries use the observers' summaries.
    pub(crate) fn check_group(
        &self,
        now: Instant,
        id: u64,
    ) -> (Result<(), readiness::Cause>, Option<Load>) {
        let (state, options) = (self.reader.state(), &self.options.readiness);
        if !self.reader.is_current() && self.read_state.time_behind(now) >= STALE_TIMEOUT {
            return (Err(readiness::Cause::Stale), None);
        }
        if self.assignment.contains(&Unit::Group(id)) {
            let check = readiness::check_members(state, &self.observations, id, now, options);
            let load = Load {
                queued: check.queued,
                running: check.running,
                slots: check.slots,
                measured_at: check.at,
            };
            // Right after it became an observer, this entry has no reports of its own and uses
            // those of the other observers.
            if !matches!(check.cause, Some(readiness::Cause::Silent(_))) {
                return (check.cause.map_or(Ok(()), Err), Some(load));
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

    /// Whether a server is available: its newest report does not say that it is silent, and it has
    /// not refused a connection since. After [`SILENT_SERVER_RETRY_INTERVAL`] it is tried again.
    fn is_server_available(&self, name: &str, now: Instant) -> bool {
        let id = Id::Server(name.into());
        let item = self.store.instance(name, now);
        let age = |ms: u32| Duration::from_millis(u64::from(ms));
        let refused = self.refused_at.get(&id).copied();
        match item {
            Some(item) if item.state == State::Silent => {
                age(item.age_ms) >= SILENT_SERVER_RETRY_INTERVAL
            }
            Some(item) => refused.is_none_or(|at| now - age(item.age_ms) > at),
            None => refused.is_none_or(|at| now.since(at) >= SILENT_SERVER_RETRY_INTERVAL),
        }
    }

    /// Whether the instance list says that a server is leaving or no longer contains it.
    fn is_leaving(&self, name: &SmolStr) -> bool {
        match self
            .observations
            .observation(name)
            .map_or(Listing::Unknown, |observation| observation.listed)
        {
            Listing::Leaving => true,
            Listing::Unknown | Listing::Live => false,
            // The list contains all backend servers, so one that it no longer contains is gone.
            Listing::Absent => true,
        }
    }
}
