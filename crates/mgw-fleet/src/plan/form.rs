//! Formation of groups on free instances, and preemption of groups whose model has more instances
//! than its demand needs.

use std::time::Duration;

use mgw_base::sorted::Map;
use smol_str::{SmolStr, format_smolstr};

use crate::config::{Engine, Model};
use crate::plan::group::Member;
use crate::plan::{Action, Demand, Group, Phase, Planner, Preemption, View, command};
use crate::roster::{Server, Stage};

/// Window over which load starts are counted for the limit on loads per second.
const LOAD_WINDOW: Duration = Duration::from_secs(1);

/// Groups are preempted only if the coverage of the model that gains instances is below this
/// fraction of the coverage that remains for the model that loses them.
const PREEMPTION_RATIO: f64 = 0.7;

/// Minimum time between two preemptions, but for those that complete what is left of a lost group.
/// Instances that change their model serve no requests for some seconds.
const PREEMPTION_INTERVAL: Duration = Duration::from_secs(3);

/// Time within which preempted groups must close; after that their instances are free for groups of
/// any model.
const PREEMPTION_TIMEOUT: Duration = Duration::from_secs(4);

/// Lower bound on a model's demand share, so that the coverage of a model without demand stays
/// finite.
pub(super) const MIN_DEMAND: f64 = 0.02;

/// The nearest place from which an instance can get the weights of a model, fastest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum WeightLocation {
    /// The engine still holds the model in memory.
    Memory,
    /// The weights are on the host.
    Host,
    /// The weights must be loaded from the weight store.
    Store,
}

/// Where `server` finds the weights of `model`.
pub(super) fn weight_location(server: &Server, model: &Model) -> WeightLocation {
    let Some(engine) = &server.record.engine else { return WeightLocation::Store };
    match engine.last_model.as_ref() {
        Some(last_model) if *last_model == model.name => WeightLocation::Memory,
        _ if engine.staged.contains(&model.name) => WeightLocation::Host,
        _ => WeightLocation::Store,
    }
}

/// A candidate set of members for a new group.
struct Placement<'a> {
    /// Instances of one domain, the ones closest to the weights first.
    members: Vec<&'a Server>,
    /// Number of members that must load the weights from the weight store.
    loads: usize,
    /// Sum of the members' [`WeightLocation`]s as numbers.
    load_cost: usize,
    /// Number of groups of the largest size that no longer fit into the free instances of the
    /// domain.
    lost_large_groups: usize,
    /// Number of instances of the domain that stay free.
    remaining: usize,
}

/// Free instances by domain, in the order of their ids within a domain.
pub(super) type FreeServers<'a> = Map<SmolStr, Vec<&'a Server>>;

impl Planner {
    /// Forms groups as long as there are free instances and the limits of the weight store allow
    /// it.
    ///
    /// The model with the lowest coverage comes first. Its group is formed of free instances, or of
    /// those that become free when groups of the model with the highest coverage are closed in one
    /// domain. Groups of other models use only instances that cannot serve this purpose.
    pub(super) fn form_groups(&mut self, view: &View<'_>, actions: &mut Vec<Action>) {
        self.recent_loads.retain(|at| view.now.since(*at) < LOAD_WINDOW);
        for (service, settings) in view.config.services.iter() {
            let Some(engine) = &settings.engine else { continue };
            loop {
                let free = self.free_servers(service, view);
                let models = self.models_by_coverage(service, engine, view);
                let group = match self.complete_preemption(service, engine, &free, view) {
                    Some(group) => Some(group),
                    None => self.next_group(service, engine, &models, free, view),
                };
                let Some(group) = group else { break };
                let servers = group.members.iter().filter_map(|it| view.roster.instance(&it.id));
                actions.extend(servers.map(|server| command(server, group.join())));
                let names: Vec<&str> = group.members.iter().map(|it| it.id.as_str()).collect();
                let text = format_smolstr!("formed for {} on {}", group.model, names.join(","));
                self.note(&group.name.clone(), text);
                self.groups.push(group);
            }
        }
    }

    /// Forms the group for which others were preempted, once enough instances of the domain are
    /// free.
    fn complete_preemption(
        &mut self,
        service: &SmolStr,
        engine: &Engine,
        free: &FreeServers<'_>,
        view: &View<'_>,
    ) -> Option<Group> {
        self.preemptions.retain(|it| view.now.since(it.since) < PREEMPTION_TIMEOUT);
        let found = self.preemptions.iter().position(|it| {
            let is_target = |domain: &SmolStr| *domain == it.domain;
            let model = engine.model(&it.model);
            let in_domain = free.iter().find(|(domain, _)| is_target(domain));
            model.zip(in_domain).is_some_and(|(model, (_, servers))| {
                let has_weights =
                    |server: &&&Server| weight_location(server, model) != WeightLocation::Store;
                it.service == *service
                    && servers.iter().filter(has_weights).count() >= model.group_size
            })
        })?;
        let preemption = self.preemptions.remove(found);
        let mut in_domain: FreeServers<'_> = Map::default();
        in_domain.insert(preemption.domain.clone(), free.get(&preemption.domain)?.clone());
        self.form_group(service, engine, engine.model(&preemption.model)?, &in_domain, view)
    }

    /// The next group on free instances. Starts a preemption if the model with the lowest coverage
    /// finds no placement.
    fn next_group(
        &mut self,
        service: &SmolStr,
        engine: &Engine,
        models: &[&Model],
        free: FreeServers<'_>,
        view: &View<'_>,
    ) -> Option<Group> {
        let undersupplied = models.first()?;
        let mut free = free;
        free.retain(|domain, _| !self.preemptions.iter().any(|it| it.domain == *domain));
        if let Some(group) = self.form_group(service, engine, undersupplied, &free, view) {
            return Some(group);
        }
        while self.preempt(service, models, &free, view) {
            free.retain(|domain, _| !self.preemptions.iter().any(|it| it.domain == *domain));
        }
        self.reserve(service, engine, undersupplied, &mut free, view);
        models.iter().skip(1).find_map(|other| self.form_group(service, engine, other, &free, view))
    }

    /// Forms a group of `model` on free instances, if there is a placement.
    fn form_group(
        &mut self,
        service: &SmolStr,
        engine: &Engine,
        model: &Model,
        free: &FreeServers<'_>,
        view: &View<'_>,
    ) -> Option<Group> {
        // Once traffic has started, only instances that already have the weights join a group. The
        // others are staged in the background first, so that no member waits for another's load.
        let load_budget = match view.until_traffic {
            Some(_) => self.load_budget(engine, view),
            None => 0,
        };
        let largest = engine.models.iter().map(|model| model.group_size).max().unwrap_or(1);
        let placement = best_placement(free, model, load_budget, largest)?;
        let members = placement.members.iter().enumerate();
        let members = members.map(|(rank, server)| Member::new(server, rank)).collect();
        self.recent_loads.extend(std::iter::repeat_n(view.now, placement.loads));
        let epoch = self.next_epoch();
        Some(Group::joining(service, epoch, &model.name, members, view.now))
    }

    /// The models in the order of their coverage, the lowest first.
    pub(super) fn models_by_coverage<'a>(
        &self,
        service: &SmolStr,
        engine: &'a Engine,
        view: &View<'_>,
    ) -> Vec<&'a Model> {
        let mut models: Vec<&Model> = engine.models.iter().collect();
        let coverage = |model: &Model| self.coverage(service, model, view, 0.0);
        models.sort_by(|one, other| coverage(one).total_cmp(&coverage(other)));
        models
    }

    /// Number of instances in groups of `model`, counting `extra_groups` further groups, relative
    /// to the demand for the model.
    pub(super) fn coverage(
        &self,
        service: &SmolStr,
        model: &Model,
        view: &View<'_>,
        extra_groups: f64,
    ) -> f64 {
        let groups = self.group_count(service, model, view) as f64 + extra_groups;
        groups * model.group_size as f64 / relative_demand(service, model, view.demand)
    }

    /// Available instances that report no group and whose order count is known.
    ///
    /// An instance reports its group together with its order count. A join that has this count as
    /// its precondition is therefore carried out only while the instance is in no group, even if
    /// the planner's view of the groups and their heads is wrong.
    pub(super) fn free_servers<'a>(&self, service: &SmolStr, view: &View<'a>) -> FreeServers<'a> {
        let mut domains: FreeServers<'a> = Map::default();
        for server in self.available(view) {
            let record = &server.record;
            let is_free = record.service == *service && record.membership().is_none();
            match &record.engine {
                Some(engine) if is_free && server.order_count.is_some() => {
                    domains.get_or_insert_with(engine.domain.clone(), Vec::new).push(server);
                }
                _ => {}
            }
        }
        domains
    }

    /// Engines that are ready and reachable and that belong to no group managed by this planner.
    /// They are listed, or have replied to a probe since they were.
    pub(super) fn unassigned<'a>(&self, view: &View<'a>) -> Vec<&'a Server> {
        let members = self.groups.iter().flat_map(|group| group.members.iter());
        let mut taken: Vec<(&SmolStr, u64)> = members.map(|it| (&it.id, it.started_ms)).collect();
        taken.sort_unstable();
        let mut managed_epochs: Vec<u64> = self.groups.iter().map(|group| group.epoch).collect();
        managed_epochs.sort_unstable();
        let is_taken = |server: &Server| {
            let membership = server.record.membership();
            taken.binary_search(&(&server.id, server.record.started_ms)).is_ok()
                || membership.is_some_and(|membership| {
                    managed_epochs.binary_search(&membership.epoch).is_ok()
                })
        };
        view.roster
            .instances()
            .filter(|server| {
                server.record.engine.is_some()
                    && server.may_join()
                    && !self.liveness.is_lost(&server.id)
                    && !is_taken(server)
            })
            .collect()
    }

    /// The unassigned engines whose zones are not evacuated.
    pub(super) fn available<'a>(&self, view: &View<'a>) -> Vec<&'a Server> {
        let mut servers = self.unassigned(view);
        servers.retain(|server| !view.is_evacuated(server));
        servers
    }

    /// Number of loads from the weight store that may start now.
    pub(super) fn load_budget(&self, engine: &Engine, view: &View<'_>) -> usize {
        let joining = self.groups.iter().filter(|group| group.phase == Phase::Joining);
        let joins = joining
            .flat_map(|group| group.members.iter().map(move |member| (group, member)))
            .filter(|(group, member)| {
                let Some(server) = view.roster.instance(&member.id) else { return false };
                let model = engine.model(&group.model);
                let needs_load = model
                    .is_some_and(|model| weight_location(server, model) == WeightLocation::Store);
                let membership =
                    server.record.membership().filter(|membership| membership.group == group.name);
                needs_load && membership.is_none_or(|membership| membership.stage == Stage::Joining)
            })
            .count();
        let loading = joins + self.staging.len();
        let free_slots = engine.full_speed_loads.saturating_sub(loading);
        match view.until_traffic {
            Some(_) => usize::MAX,
            None => free_slots
                .min((engine.max_loads_per_s as usize).saturating_sub(self.recent_loads.len())),
        }
    }

    /// Number of groups of `model` that serve or are being formed, outside evacuated zones.
    pub(super) fn group_count(&self, service: &SmolStr, model: &Model, view: &View<'_>) -> usize {
        let counts = |phase| matches!(phase, Phase::Joining | Phase::Opening | Phase::Open);
        self.groups
            .iter()
            .filter(|it| it.service == *service && it.model == model.name && counts(it.phase))
            .filter(|it| !view.has_evacuated_head(it))
            .count()
    }

    /// Marks groups of the model with the highest coverage for closing if their members, together
    /// with free instances of the domain, can form a group of the model with the lowest coverage.
    /// Chooses the domain where the fewest groups close. Returns whether groups were marked.
    ///
    /// Domains where free instances make up half of the group or more, as after the loss of a member,
    /// do not wait for each other: several groups may be lost at the same time, and what is left of
    /// them would go to other models.
    fn preempt(
        &mut self,
        service: &SmolStr,
        models: &[&Model],
        free: &FreeServers<'_>,
        view: &View<'_>,
    ) -> bool {
        let (Some(undersupplied), Some(oversupplied)) = (models.first(), models.last()) else {
            return false;
        };
        if view.until_traffic.is_some() || undersupplied.name == oversupplied.name {
            return false;
        }
        let is_too_soon =
            self.last_preemption.is_some_and(|at| view.now.since(at) < PREEMPTION_INTERVAL);
        let is_limited = is_too_soon || !self.preemptions.is_empty();
        let domains = self.service_domains(service, view).into_iter();
        let best = domains
            .filter(|domain| !self.preemptions.iter().any(|it| it.domain == *domain))
            .filter(|domain| !is_limited || has_half_of_group(free, domain, undersupplied))
            .filter_map(|domain| {
                let donors = self.donors(&domain, free, undersupplied, oversupplied, view)?;
                Some((domain, donors))
            })
            .min_by_key(|(_, donors)| donors.len());
        let Some((domain, donors)) = best else { return false };
        let preempted = self.preemptions.iter().filter(|it| it.model == undersupplied.name).count();
        let expected = preempted + self.pending_groups(service, undersupplied, view);
        let before = self.coverage(service, undersupplied, view, expected as f64);
        let after = self.coverage(service, oversupplied, view, -(donors.len() as f64));
        if before >= after * PREEMPTION_RATIO {
            return false;
        }
        self.last_preemption = Some(view.now);
        self.preempted_epochs.extend(donors);
        self.preemptions.push(Preemption {
            service: service.clone(),
            domain,
            model: undersupplied.name.clone(),
            since: view.now,
        });
        true
    }

    /// The fabric domains of the service's engines, sorted.
    fn service_domains(&self, service: &SmolStr, view: &View<'_>) -> Vec<SmolStr> {
        let mut domains: Vec<SmolStr> = view
            .roster
            .iter()
            .filter(|(_, server)| server.record.service == *service)
            .filter_map(|(_, server)| Some(server.record.engine.as_ref()?.domain.clone()))
            .collect();
        domains.sort_unstable();
        domains.dedup();
        domains
    }

    /// Epochs of groups of `oversupplied` in `domain` whose members, together with the free
    /// instances, suffice for a group of `undersupplied` without a load from the weight store.
    /// `None` if there are too few such instances, or if the free ones suffice.
    fn donors(
        &self,
        domain: &SmolStr,
        free: &FreeServers<'_>,
        undersupplied: &Model,
        oversupplied: &Model,
        view: &View<'_>,
    ) -> Option<Vec<u64>> {
        let has_weights =
            |server: &Server| weight_location(server, undersupplied) != WeightLocation::Store;
        let none = Vec::new();
        let mut count =
            free.get(domain).unwrap_or(&none).iter().filter(|it| has_weights(it)).count();
        let mut donors = Vec::new();
        for group in &self.groups {
            if count >= undersupplied.group_size {
                break;
            }
            let is_donor = group.model == oversupplied.name
                && group.phase == Phase::Open
                && !view.has_evacuated_head(group);
            let members: Vec<&Server> =
                group.members.iter().filter_map(|it| view.roster.instance(&it.id)).collect();
            let is_in_domain = members
                .iter()
                .all(|it| it.record.engine.as_ref().is_some_and(|engine| engine.domain == *domain));
            if is_donor && is_in_domain && members.iter().all(|it| has_weights(it)) {
                count += members.len();
                donors.push(group.epoch);
            }
        }
        (count >= undersupplied.group_size && !donors.is_empty()).then_some(donors)
    }
}

/// Whether at least half of the instances of a group of `model` are free in `domain` and still hold the
/// model in memory: they are what is left of a lost group.
fn has_half_of_group(free: &FreeServers<'_>, domain: &SmolStr, model: &Model) -> bool {
    let holds_model = |it: &&&Server| weight_location(it, model) == WeightLocation::Memory;
    let count = free.get(domain).map_or(0, |servers| servers.iter().filter(holds_model).count());
    count * 2 >= model.group_size
}

/// Share of the service's instances that `model` needs: the observed one, or the configured one as
/// long as there is none.
pub(super) fn relative_demand(service: &SmolStr, model: &Model, demand: &Demand) -> f64 {
    demand
        .get(&(service.clone(), model.name.clone()))
        .copied()
        .unwrap_or(model.initial_share)
        .max(MIN_DEMAND)
}

/// The best placement of a group of `model` within `load_budget`: the one with the lowest load
/// cost, then in the domain that keeps the most room for groups of size `largest`, then in the one
/// with the fewest instances left over.
fn best_placement<'a>(
    free: &FreeServers<'a>,
    model: &Model,
    load_budget: usize,
    largest: usize,
) -> Option<Placement<'a>> {
    free.iter()
        .filter(|(_, servers)| servers.len() >= model.group_size)
        .map(|(_, servers)| {
            let mut members = servers.clone();
            let is_unlisted = |server: &&Server| server.unlisted_since.is_some();
            members.sort_by_key(|server| (weight_location(server, model), is_unlisted(server)));
            members.truncate(model.group_size);
            // Requests are sent to the head, which has to be listed for that.
            members.sort_by_key(is_unlisted);
            let loads = members
                .iter()
                .filter(|server| weight_location(server, model) == WeightLocation::Store)
                .count();
            let load_cost =
                members.iter().map(|server| weight_location(server, model) as usize).sum();
            let remaining = servers.len() - model.group_size;
            let lost_large_groups = servers.len() / largest - remaining / largest;
            Placement { members, loads, load_cost, lost_large_groups, remaining }
        })
        .filter(|placement| placement.loads <= load_budget)
        .filter(|it| it.members.first().is_some_and(|head| head.unlisted_since.is_none()))
        .min_by_key(|placement| {
            (placement.load_cost, placement.lost_large_groups, placement.remaining)
        })
}
