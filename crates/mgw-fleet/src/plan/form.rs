//! New groups on free instances, and groups that give way to others.

use std::time::Duration;

use mgw_base::sorted::Map;
use smol_str::{SmolStr, format_smolstr};

use crate::config::{Engine, Model};
use crate::plan::group::Member;
use crate::plan::{Action, Demand, Group, Pending, Phase, Planner, View, command};
use crate::roster::{self, Server, Stage};

/// Time over which starts of loads are counted.
const LOAD_WINDOW: Duration = Duration::from_secs(1);

/// A group gives way to one of another model only if the other model's supply, in relation to the
/// need, is below this part of its own.
const PREEMPT_RATIO: f64 = 0.7;

/// Least time between two groups that give way. A group that changes its model serves nobody for
/// some seconds.
const PREEMPT_PAUSE: Duration = Duration::from_secs(3);

/// Time for groups to close for the sake of another one.
const PENDING: Duration = Duration::from_secs(4);

/// What an instance needs before it can be a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Effort {
    /// The model is in memory.
    None,
    /// The weights are on the host.
    Warm,
    /// The weights have to be loaded.
    Load,
}

pub(super) fn effort(server: &Server, model: &Model) -> Effort {
    let Some(engine) = &server.record.engine else { return Effort::Load };
    match engine.last_model.as_ref() {
        Some(last_model) if *last_model == model.name => Effort::None,
        _ if engine.staged.contains(&model.name) => Effort::Warm,
        _ => Effort::Load,
    }
}

/// A group that could be formed.
struct Site<'a> {
    members: Vec<&'a Server>,
    loads: usize,
    /// The sum of the members' efforts.
    effort: usize,
    /// Groups of the largest model that no longer fit into the domain.
    lost: usize,
    /// Free instances of the domain that remain.
    rest: usize,
}

/// Free instances by domain, in the order of their ids.
pub(super) type Free<'a> = Map<SmolStr, Vec<&'a Server>>;

impl Planner {
    /// Forms groups while free instances and the weight store's limits allow.
    ///
    /// The model that lacks most comes first: from free instances, or by closing groups of a model
    /// with ample supply in one domain. Only instances that do not help it are used for others.
    pub(super) fn fill(&mut self, view: &View<'_>, actions: &mut Vec<Action>) {
        self.loads.retain(|at| view.now.since(*at) < LOAD_WINDOW);
        for (service, settings) in view.config.services.iter() {
            let Some(engine) = &settings.engine else { continue };
            loop {
                let free = self.free(service, view);
                let models = self.by_need(service, engine, view);
                let group = match self.pending(service, engine, &free, view) {
                    Some(group) => Some(group),
                    None => self.next_group(service, engine, &models, free, view),
                };
                let Some(group) = group else { break };
                let servers = group.members.iter().filter_map(|it| view.roster.by_id(&it.id));
                actions.extend(servers.map(|server| command(server, group.join())));
                let names: Vec<&str> = group.members.iter().map(|it| it.id.as_str()).collect();
                let text = format_smolstr!("formed for {} on {}", group.model, names.join(","));
                self.note(&group.name.clone(), text);
                self.groups.push(group);
            }
        }
    }

    /// The group for which others gave way, once their members are free.
    fn pending(
        &mut self,
        service: &SmolStr,
        engine: &Engine,
        free: &Free<'_>,
        view: &View<'_>,
    ) -> Option<Group> {
        self.pending.retain(|it| view.now.since(it.since) < PENDING);
        let found = self.pending.iter().position(|it| {
            let is_free = |domain: &SmolStr| *domain == it.domain;
            let model = engine.model(&it.model);
            let here = free.iter().find(|(domain, _)| is_free(domain));
            model.zip(here).is_some_and(|(model, (_, servers))| {
                let warm = |server: &&&Server| effort(server, model) != Effort::Load;
                it.service == *service && servers.iter().filter(warm).count() >= model.size
            })
        })?;
        let pending = self.pending.remove(found);
        let mut here: Free<'_> = Map::default();
        here.insert(pending.domain.clone(), free.get(&pending.domain)?.clone());
        self.formed(service, engine, engine.model(&pending.model)?, &here, view)
    }

    fn next_group(
        &mut self,
        service: &SmolStr,
        engine: &Engine,
        models: &[&Model],
        free: Free<'_>,
        view: &View<'_>,
    ) -> Option<Group> {
        let scarce = models.first()?;
        let mut free = free;
        free.retain(|domain, _| !self.pending.iter().any(|it| it.domain == *domain));
        if let Some(group) = self.formed(service, engine, scarce, &free, view) {
            return Some(group);
        }
        if self.preempt(service, models, &free, view) {
            free.retain(|domain, _| !self.pending.iter().any(|it| it.domain == *domain));
        }
        models.iter().skip(1).find_map(|other| self.formed(service, engine, other, &free, view))
    }

    /// A new group of `model` on free instances.
    fn formed(
        &mut self,
        service: &SmolStr,
        engine: &Engine,
        model: &Model,
        free: &Free<'_>,
        view: &View<'_>,
    ) -> Option<Group> {
        // Once requests come, instances load in the background and join when they are warm, so
        // that warm ones need not wait for them.
        let room = match view.until_traffic {
            Some(_) => self.load_room(engine, view),
            None => 0,
        };
        let largest = engine.models.iter().map(|model| model.size).max().unwrap_or(1);
        let site = site(free, model, room, largest)?;
        let members = site
            .members
            .iter()
            .map(|server| Member { id: server.id.clone(), started_ms: server.record.started_ms })
            .collect();
        self.loads.extend(std::iter::repeat_n(view.now, site.loads));
        let epoch = self.next_epoch();
        Some(Group::joining(service, epoch, &model.name, members, view.now))
    }

    /// The models, the one with the least supply for its need first.
    pub(super) fn by_need<'a>(
        &self,
        service: &SmolStr,
        engine: &'a Engine,
        view: &View<'_>,
    ) -> Vec<&'a Model> {
        let mut models: Vec<&Model> = engine.models.iter().collect();
        let cover = |model: &Model| self.cover(service, model, view.demand, 0.0);
        models.sort_by(|one, other| cover(one).total_cmp(&cover(other)));
        models
    }

    /// Instances that serve a model, with `more` groups, in relation to the need.
    pub(super) fn cover(
        &self,
        service: &SmolStr,
        model: &Model,
        demand: &Demand,
        more: f64,
    ) -> f64 {
        let groups = self.group_count(service, model) as f64 + more;
        groups * model.size as f64 / need(service, model, demand)
    }

    /// Instances in no group.
    ///
    /// What an instance reports of its group and its count of orders belong together, so a join that
    /// is given under that count is carried out only while the instance is in no group. This holds
    /// whatever else is believed of groups and their heads.
    pub(super) fn free<'a>(&self, service: &SmolStr, view: &View<'a>) -> Free<'a> {
        let mut domains: Free<'a> = Map::default();
        for server in self.usable(view) {
            let record = &server.record;
            let is_free = record.service == *service && record.membership().is_none();
            match &record.engine {
                Some(engine) if is_free && server.order_count.is_some() => {
                    domains.entry(engine.domain.clone(), Vec::new).push(server);
                }
                _ => {}
            }
        }
        domains
    }

    /// Engines that stay, answer and are in no group that the planner follows.
    pub(super) fn usable<'a>(&self, view: &View<'a>) -> Vec<&'a Server> {
        let members = self.groups.iter().flat_map(|group| group.members.iter());
        let mut taken: Vec<(&SmolStr, u64)> = members.map(|it| (&it.id, it.started_ms)).collect();
        taken.sort_unstable();
        let mut followed: Vec<u64> = self.groups.iter().map(|group| group.epoch).collect();
        followed.sort_unstable();
        let is_taken = |server: &Server| {
            let membership = server.record.membership();
            taken.binary_search(&(&server.id, server.record.started_ms)).is_ok()
                || membership
                    .is_some_and(|membership| followed.binary_search(&membership.epoch).is_ok())
        };
        let servers = view.roster.iter().map(|(_, server)| server);
        servers
            .filter(|server| {
                server.record.engine.is_some()
                    && server.record.phase == roster::Phase::Ready
                    && server.missing_since.is_none()
                    && !self.liveness.is_lost(&server.id)
                    && !is_taken(server)
            })
            .collect()
    }

    /// Loads that may start now.
    pub(super) fn load_room(&self, engine: &Engine, view: &View<'_>) -> usize {
        let joining = self.groups.iter().filter(|group| group.phase == Phase::Joining);
        let joins = joining
            .flat_map(|group| group.members.iter().map(move |member| (group, member)))
            .filter(|(group, member)| {
                let Some(server) = view.roster.by_id(&member.id) else { return false };
                let model = engine.model(&group.model);
                let lacks = model.is_some_and(|model| effort(server, model) == Effort::Load);
                let membership =
                    server.record.membership().filter(|membership| membership.group == group.name);
                lacks && membership.is_none_or(|membership| membership.stage == Stage::Joining)
            })
            .count();
        let loading = joins + self.staging.len();
        let free = engine.loads_at_once.saturating_sub(loading);
        match view.until_traffic {
            Some(_) => usize::MAX,
            None => free.min((engine.loads_per_s as usize).saturating_sub(self.loads.len())),
        }
    }

    fn group_count(&self, service: &SmolStr, model: &Model) -> usize {
        let counts = |phase| matches!(phase, Phase::Joining | Phase::Opening | Phase::Open);
        self.groups
            .iter()
            .filter(|it| it.service == *service && it.model == model.name && counts(it.phase))
            .count()
    }

    /// Marks groups of the model with most supply for closing, where their members, with free
    /// instances, can form a group of the model that lacks most. Returns whether it did.
    fn preempt(
        &mut self,
        service: &SmolStr,
        models: &[&Model],
        free: &Free<'_>,
        view: &View<'_>,
    ) -> bool {
        let (Some(scarce), Some(ample)) = (models.first(), models.last()) else { return false };
        let is_settling = self.preempted.is_some_and(|at| view.now.since(at) < PREEMPT_PAUSE);
        if view.until_traffic.is_some()
            || is_settling
            || !self.pending.is_empty()
            || scarce.name == ample.name
        {
            return false;
        }
        let domains = self.domains(service, view).into_iter();
        let best = domains
            .filter_map(|domain| {
                let donors = self.donors(&domain, free, scarce, ample, view)?;
                Some((domain, donors))
            })
            .min_by_key(|(_, donors)| donors.len());
        let Some((domain, donors)) = best else { return false };
        let after = self.cover(service, ample, view.demand, -(donors.len() as f64));
        if self.cover(service, scarce, view.demand, 0.0) >= after * PREEMPT_RATIO {
            return false;
        }
        self.preempted = Some(view.now);
        self.closing.extend(donors);
        self.pending.push(Pending {
            service: service.clone(),
            domain,
            model: scarce.name.clone(),
            since: view.now,
        });
        true
    }

    fn domains(&self, service: &SmolStr, view: &View<'_>) -> Vec<SmolStr> {
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

    /// Epochs of the groups of `ample` in `domain` whose members, with the free instances, suffice
    /// for a group of `scarce` without a load.
    fn donors(
        &self,
        domain: &SmolStr,
        free: &Free<'_>,
        scarce: &Model,
        ample: &Model,
        view: &View<'_>,
    ) -> Option<Vec<u64>> {
        let is_warm = |server: &Server| effort(server, scarce) != Effort::Load;
        let none = Vec::new();
        let mut count = free.get(domain).unwrap_or(&none).iter().filter(|it| is_warm(it)).count();
        let mut donors = Vec::new();
        for group in &self.groups {
            if count >= scarce.size {
                break;
            }
            let is_donor = group.model == ample.name && group.phase == Phase::Open;
            let members: Vec<&Server> =
                group.members.iter().filter_map(|it| view.roster.by_id(&it.id)).collect();
            let is_here = members
                .iter()
                .all(|it| it.record.engine.as_ref().is_some_and(|engine| engine.domain == *domain));
            if is_donor && is_here && members.iter().all(|it| is_warm(it)) {
                count += members.len();
                donors.push(group.epoch);
            }
        }
        (count >= scarce.size && !donors.is_empty()).then_some(donors)
    }
}

/// Relative need of a model: its share of the observed work, or the configured one.
fn need(service: &SmolStr, model: &Model, demand: &Demand) -> f64 {
    demand.get(&(service.clone(), model.name.clone())).copied().unwrap_or(model.share).max(0.02)
}

/// The best place for a group of `model`: the least effort, then the domain that keeps room for the
/// largest groups, then the one that the group fills best.
fn site<'a>(free: &Free<'a>, model: &Model, room: usize, largest: usize) -> Option<Site<'a>> {
    free.iter()
        .filter(|(_, servers)| servers.len() >= model.size)
        .map(|(_, servers)| {
            let mut members = servers.clone();
            members.sort_by_key(|server| effort(server, model));
            members.truncate(model.size);
            let loads =
                members.iter().filter(|server| effort(server, model) == Effort::Load).count();
            let effort = members.iter().map(|server| effort(server, model) as usize).sum();
            let rest = servers.len() - model.size;
            let lost = servers.len() / largest - rest / largest;
            Site { members, loads, effort, lost, rest }
        })
        .filter(|site| site.loads <= room)
        .min_by_key(|site| (site.effort, site.lost, site.rest))
}
