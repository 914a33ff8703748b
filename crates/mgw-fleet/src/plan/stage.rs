//! Staging: loads weights onto hosts in the background, so that instances can later join a group or
//! change their model without a load from the weight store.

use std::time::Duration;

use mgw_base::sorted::Map;
use smol_str::SmolStr;

use crate::config::{Engine, Model};
use crate::plan::form::{WeightLocation, weight_location};
use crate::plan::{self, Action, Order, Planner, Staging, View, command};
use crate::roster::{Phase, Server};

/// Time before the first expected requests from which weights are staged on instances that are in
/// no group. Before that, groups are still being formed of them.
pub(super) const IDLE_STAGING_CUTOFF: Duration = Duration::from_secs(4);

/// Lower bound on the coverage of a model when loads are ranked; avoids a division by zero for
/// models without a group.
const MIN_COVERAGE: f64 = 0.05;

/// Multiple of the model's load time after which a background load counts as failed.
const LOAD_TIMEOUT_FACTOR: u32 = 3;

/// Fraction of the concurrent loads that may go to hosts in use. Their loads only prepare later
/// model changes, while a load in progress can delay the load of an idle host for its whole
/// duration.
const MAX_BUSY_SHARE: f64 = 0.15;

impl Planner {
    /// Orders loads within the limits of the weight store: first onto idle hosts, so that they can
    /// complete groups, then onto hosts in use, so that they can change their model later.
    pub(super) fn stage_weights(&mut self, view: &View<'_>, actions: &mut Vec<Action>) {
        self.expire_staging(view);
        for (service, settings) in view.config.services.iter() {
            let Some(engine) = &settings.engine else { continue };
            let idle = self.idle_loads(service, engine, view);
            let budget = self.load_budget(engine, view);
            let remaining = budget.saturating_sub(idle.len());
            self.order_loads(idle.into_iter().take(budget), view, actions);
            let busy_budget = match view.until_traffic {
                Some(_) => remaining,
                None => remaining.min(self.busy_load_budget(engine)),
            };
            let busy = self.busy_loads(service, engine, view);
            self.order_loads(busy.into_iter().take(busy_budget), view, actions);
        }
    }

    /// Orders the given loads and records them as in progress.
    fn order_loads<'a, I>(&mut self, loads: I, view: &View<'_>, actions: &mut Vec<Action>)
    where
        I: Iterator<Item = (&'a Server, &'a Model)>,
    {
        for (server, model) in loads {
            self.recent_loads.push(view.now);
            let staging = Staging { model: model.name.clone(), started: view.now };
            self.staging.insert(server.id.clone(), staging);
            let order = Order::Stage { model: model.name.clone() };
            actions.push(command(server, order));
        }
    }

    /// Number of loads that may start on hosts in use.
    fn busy_load_budget(&self, engine: &Engine) -> usize {
        let limit = (engine.full_speed_loads as f64 * MAX_BUSY_SHARE).ceil() as usize;
        let is_busy = |id: &SmolStr| {
            let mut members = self.groups.iter().flat_map(|group| group.members.iter());
            members.any(|member| member.id == *id)
        };
        limit.saturating_sub(self.staging.iter().filter(|(id, _)| is_busy(id)).count())
    }

    /// Loads onto idle hosts, in the order of their use: for one group after another, the next
    /// being the one with the most instances per load, divided by the coverage of its model. Hosts
    /// that complete no group come last, as spares.
    fn idle_loads<'a>(
        &self,
        service: &SmolStr,
        engine: &'a Engine,
        view: &View<'a>,
    ) -> Vec<(&'a Server, &'a Model)> {
        if view.until_traffic.is_some_and(|left| left > IDLE_STAGING_CUTOFF) {
            return Vec::new();
        }
        let mut domains: Map<SmolStr, Vec<Idle<'a>>> = Map::default();
        for server in self.available(view) {
            let Some(held) = &server.record.engine else { continue };
            let is_idle = server.record.membership().is_none() && server.unlisted_since.is_none();
            if server.record.service == *service && is_idle {
                let loading = self.staging.get(&server.id).map(|staging| staging.model.clone());
                let idle = Idle { server, loading };
                domains.get_or_insert_with(held.domain.clone(), Vec::new).push(idle);
            }
        }
        // What forms a group without a load does so as soon as its order counts are known.
        for model in self.models_by_coverage(service, engine, view) {
            domains.iter_mut().for_each(|(_, idle)| remove_whole_groups(idle, model));
        }
        let coverage = |model: &Model| self.coverage(service, model, view, 0.0).max(MIN_COVERAGE);
        let mut loads = Vec::new();
        loop {
            let candidates = domains.iter().flat_map(|(domain, idle)| {
                let candidate = |model: &'a Model| {
                    let missing = missing_loads(idle, model)?;
                    let value = model.group_size as f64 / missing as f64 / coverage(model);
                    Some((value, domain.clone(), model))
                };
                engine.models.iter().filter_map(candidate).collect::<Vec<_>>()
            });
            let best = candidates.max_by(|one, other| one.0.total_cmp(&other.0));
            let Some((_, domain, model)) = best else { break };
            let Some(idle) = domains.get_mut(&domain) else { break };
            loads.extend(take_group(idle, model));
        }
        for (domain, idle) in domains.iter() {
            let spare_model = self.spare_model(service, engine, domain, view);
            loads.extend(idle.iter().filter_map(|idle| idle.spare_load(engine, spare_model)));
        }
        loads
    }

    /// The model that idle hosts of a domain should hold, so that they can replace a lost member at
    /// once: the one with the largest groups in the domain. `None` if the domain has no group.
    pub(super) fn spare_model<'a>(
        &self,
        service: &SmolStr,
        engine: &'a Engine,
        domain: &SmolStr,
        view: &View<'_>,
    ) -> Option<&'a Model> {
        let is_in_domain = |group: &&plan::Group| {
            let head = group.head().and_then(|head| view.roster.instance(&head.id));
            let engine = head.and_then(|head| head.record.engine.as_ref());
            group.service == *service && engine.is_some_and(|engine| engine.domain == *domain)
        };
        let groups = self.groups.iter().filter(is_in_domain);
        let models = groups.filter_map(|group| engine.model(&group.model));
        models.max_by_key(|model| model.group_size)
    }

    /// Whether an instance is carrying out orders, or is about to during system startup. A load
    /// onto its host would delay a join and change the order count that other orders have as their
    /// precondition.
    fn is_transitioning(&self, server: &Server, view: &View<'_>) -> bool {
        let has_server = |group: &&plan::Group| group.members.iter().any(|it| it.id == server.id);
        match self.groups.iter().find(has_server) {
            Some(group) => group.phase != plan::Phase::Open,
            None => view.until_traffic.is_some_and(|left| left > IDLE_STAGING_CUTOFF),
        }
    }

    /// Removes background loads that have completed, have taken too long or lost their instance.
    fn expire_staging(&mut self, view: &View<'_>) {
        self.staging.retain(|id, staging| {
            let Some(server) = view.roster.instance(id) else { return false };
            let service = view.config.services.get(&server.record.service);
            let engine = service.and_then(|it| it.engine.as_ref());
            let load =
                engine.and_then(|it| it.model(&staging.model)).map(|model| model.cold_load_time);
            let is_staged = server
                .record
                .engine
                .as_ref()
                .is_some_and(|engine| engine.staged.contains(&staging.model));
            let is_overdue = load
                .is_none_or(|load| view.now.since(staging.started) > load * LOAD_TIMEOUT_FACTOR);
            !is_staged && !is_overdue
        });
    }

    /// Loads onto hosts in use, each of the model with the lowest coverage among those that the
    /// host lacks. Hosts that serve the model with the highest coverage come first, as they are the
    /// ones that are preempted.
    fn busy_loads<'a>(
        &self,
        service: &SmolStr,
        engine: &'a Engine,
        view: &View<'a>,
    ) -> Vec<(&'a Server, &'a Model)> {
        let models = self.models_by_coverage(service, engine, view);
        let oversupplied = models.last().map(|model| model.name.clone());
        let servers = view.roster.iter().map(|(_, server)| server).filter(|server| {
            server.record.service == *service
                && server.phase() == Phase::Ready
                && server.record.membership().is_some()
                && server.missing_since.is_none()
                && !self.liveness.is_lost(&server.id)
                && !self.is_transitioning(server, view)
                && !view.is_evacuated(server)
                && self.staging.get(&server.id).is_none()
        });
        let mut busy: Vec<(bool, &Server, &Model)> = servers
            .filter_map(|server| {
                let held = server.record.engine.as_ref()?.model.as_ref();
                let needs_load =
                    |model: &&&Model| weight_location(server, model) == WeightLocation::Store;
                let model = *models.iter().find(needs_load)?;
                Some((held != oversupplied.as_ref(), server, model))
            })
            .collect();
        busy.sort_by_key(|(holds_other_model, _, _)| *holds_other_model);
        busy.into_iter().map(|(_, server, model)| (server, model)).collect()
    }
}

/// An instance in no group, with its background load.
#[derive(Clone, Debug)]
struct Idle<'a> {
    server: &'a Server,
    /// The model that is being loaded onto its host.
    loading: Option<SmolStr>,
}

impl<'a> Idle<'a> {
    /// Whether the instance can join a group of `model` without a further load.
    fn can_join(&self, model: &Model) -> bool {
        self.loading.as_ref() == Some(&model.name)
            || weight_location(self.server, model) != WeightLocation::Store
    }

    /// Whether a load of `model` may start on the host.
    fn may_load(&self, model: &Model) -> bool {
        self.loading.is_none() && !self.can_join(model)
    }

    /// A load of `spare_model`, or of the smallest model without one, if the host has no weights at all:
    /// instances that are listed later can complete a group with it.
    fn spare_load(
        &self,
        engine: &'a Engine,
        spare_model: Option<&'a Model>,
    ) -> Option<(&'a Server, &'a Model)> {
        let is_empty = engine.models.iter().all(|model| self.may_load(model));
        let smallest = engine.models.iter().min_by_key(|model| model.group_size);
        let model = spare_model.or(smallest)?;
        is_empty.then_some((self.server, model))
    }
}

/// Number of loads that the idle hosts of a domain need for one more group of `model`. `None` if
/// there are too few hosts, or enough that need no load.
fn missing_loads(idle: &[Idle<'_>], model: &Model) -> Option<usize> {
    let ready = idle.iter().filter(|idle| idle.can_join(model)).count();
    let missing = model.group_size.checked_sub(ready).filter(|missing| *missing > 0)?;
    let loadable = idle.iter().filter(|idle| idle.may_load(model)).count();
    (loadable >= missing).then_some(missing)
}

/// Removes the hosts that form whole groups of `model` without a load.
fn remove_whole_groups(idle: &mut Vec<Idle<'_>>, model: &Model) {
    let is_ready = |idle: &Idle<'_>| idle.loading.is_none() && idle.can_join(model);
    let ready = idle.iter().filter(|idle| is_ready(idle)).count();
    let mut surplus = ready - ready % model.group_size;
    idle.retain(|idle| {
        let is_taken = surplus > 0 && is_ready(idle);
        surplus -= usize::from(is_taken);
        !is_taken
    });
}

/// Removes the hosts of one group of `model` from `idle` and returns the loads that the group
/// needs. Of the hosts that need a load, those without any weights are chosen first.
fn take_group<'a>(idle: &mut Vec<Idle<'a>>, model: &'a Model) -> Vec<(&'a Server, &'a Model)> {
    let load_order = |idle: &Idle<'_>| {
        let holds_any = idle
            .server
            .record
            .engine
            .as_ref()
            .is_some_and(|engine| engine.last_model.is_some() || !engine.staged.is_empty());
        (!idle.can_join(model), !idle.may_load(model), holds_any)
    };
    idle.sort_by_key(load_order);
    let group: Vec<Idle<'a>> = idle.drain(..model.group_size).collect();
    let loads = group.into_iter().filter(|idle| idle.may_load(model));
    loads.map(|idle| (idle.server, model)).collect()
}
