//! Weights that are loaded onto hosts in the background, so that instances can change their model
//! or join a group without a load.

use std::time::Duration;

use mgw_base::sorted::Map;
use smol_str::SmolStr;

use crate::config::{Engine, Model};
use crate::plan::form::{Effort, effort};
use crate::plan::{self, Action, Order, Planner, Staging, View, command};
use crate::roster::{Phase, Server};

/// Time before the first requests from which on instances that found no group count as spare.
const SPARE: Duration = Duration::from_secs(4);

/// Least supply of a model in relation to its need that loads are weighed with.
const LEAST_SUPPLY: f64 = 0.05;

/// Multiple of the expected time after which a load is taken to be lost.
const PATIENCE: u32 = 3;

/// Part of the loads at once that hosts in use may take. Their loads only serve later changes, and one
/// that has begun holds up an idle host for as long as a load takes.
const BUSY_PART: f64 = 0.15;

impl Planner {
    /// Orders loads onto hosts within the weight store's limits: first onto idle hosts, so that they
    /// complete groups, then onto hosts in use, which can change their model later.
    pub(super) fn stage(&mut self, view: &View<'_>, actions: &mut Vec<Action>) {
        self.forget_staged(view);
        for (service, settings) in view.config.services.iter() {
            let Some(engine) = &settings.engine else { continue };
            let idle = self.idle_loads(service, engine, view);
            let room = self.load_room(engine, view);
            let rest = room.saturating_sub(idle.len());
            self.load(idle.into_iter().take(room), view, actions);
            let busy = match view.until_traffic {
                Some(_) => rest,
                None => rest.min(self.busy_room(engine)),
            };
            let wanted = self.busy_loads(service, engine, view);
            self.load(wanted.into_iter().take(busy), view, actions);
        }
    }

    fn load<'a, I>(&mut self, loads: I, view: &View<'_>, actions: &mut Vec<Action>)
    where
        I: Iterator<Item = (&'a Server, &'a Model)>,
    {
        for (server, model) in loads {
            self.loads.push(view.now);
            let staging = Staging { model: model.name.clone(), since: view.now };
            self.staging.insert(server.id.clone(), staging);
            let order = Order::Stage { model: model.name.clone() };
            actions.push(command(server, order));
        }
    }

    /// Loads that hosts in use may begin.
    fn busy_room(&self, engine: &Engine) -> usize {
        let most = (engine.loads_at_once as f64 * BUSY_PART).ceil() as usize;
        let is_busy = |id: &SmolStr| {
            let mut members = self.groups.iter().flat_map(|group| group.members.iter());
            members.any(|member| member.id == *id)
        };
        most.saturating_sub(self.staging.iter().filter(|(id, _)| is_busy(id)).count())
    }

    /// Loads onto idle hosts: for one group after the other, the one that puts most instances to use
    /// for a load, in relation to the supply of its model.
    fn idle_loads<'a>(
        &self,
        service: &SmolStr,
        engine: &'a Engine,
        view: &View<'a>,
    ) -> Vec<(&'a Server, &'a Model)> {
        if view.until_traffic.is_some_and(|left| left > SPARE) {
            return Vec::new();
        }
        let mut domains: Map<SmolStr, Vec<Idle<'a>>> = Map::default();
        for server in self.usable(view) {
            let Some(held) = &server.record.engine else { continue };
            if server.record.service == *service && server.record.membership().is_none() {
                let loading = self.staging.get(&server.id).map(|staging| staging.model.clone());
                let idle = Idle { server, loading };
                domains.entry(held.domain.clone(), Vec::new).push(idle);
            }
        }
        let supply = |model: &Model| self.cover(service, model, view.demand, 0.0).max(LEAST_SUPPLY);
        let mut loads = Vec::new();
        loop {
            let sites = domains.iter().flat_map(|(domain, idle)| {
                let site = |model: &'a Model| {
                    let missing = missing(idle, model)?;
                    let value = model.size as f64 / missing as f64 / supply(model);
                    Some((value, domain.clone(), model))
                };
                engine.models.iter().filter_map(site).collect::<Vec<_>>()
            });
            let best = sites.max_by(|one, other| one.0.total_cmp(&other.0));
            let Some((_, domain, model)) = best else { break };
            let Some(idle) = domains.get_mut(&domain) else { break };
            loads.extend(take_group(idle, model));
        }
        for (_, idle) in domains.iter() {
            loads.extend(idle.iter().filter_map(|idle| idle.first_load(engine)));
        }
        loads
    }

    /// Whether an instance carries out other orders, or will before the first requests. A load onto
    /// its host would delay a join, and change the count of orders that others are given under.
    fn is_changing(&self, server: &Server, view: &View<'_>) -> bool {
        let has_server = |group: &&plan::Group| group.members.iter().any(|it| it.id == server.id);
        match self.groups.iter().find(has_server) {
            Some(group) => group.phase != plan::Phase::Open,
            None => view.until_traffic.is_some_and(|left| left > SPARE),
        }
    }

    fn forget_staged(&mut self, view: &View<'_>) {
        self.staging.retain(|id, staging| {
            let Some(server) = view.roster.by_id(id) else { return false };
            let service = view.config.services.get(&server.record.service);
            let engine = service.and_then(|it| it.engine.as_ref());
            let load = engine.and_then(|it| it.model(&staging.model)).map(|model| model.load);
            let is_there = server
                .record
                .engine
                .as_ref()
                .is_some_and(|engine| engine.staged.contains(&staging.model));
            let is_late = load.is_none_or(|load| view.now.since(staging.since) > load * PATIENCE);
            !is_there && !is_late
        });
    }

    /// Hosts in use with a model that they lack, those of the model with most supply first.
    fn busy_loads<'a>(
        &self,
        service: &SmolStr,
        engine: &'a Engine,
        view: &View<'a>,
    ) -> Vec<(&'a Server, &'a Model)> {
        let models = self.by_need(service, engine, view);
        let ample = models.last().map(|model| model.name.clone());
        let servers = view.roster.iter().map(|(_, server)| server).filter(|server| {
            server.record.service == *service
                && server.record.phase == Phase::Ready
                && server.record.membership().is_some()
                && server.missing_since.is_none()
                && !self.liveness.is_lost(&server.id)
                && !self.is_changing(server, view)
                && self.staging.get(&server.id).is_none()
        });
        let mut wanted: Vec<(bool, &Server, &Model)> = servers
            .filter_map(|server| {
                let held = server.record.engine.as_ref()?.model.as_ref();
                let lacks = |model: &&&Model| effort(server, model) == Effort::Load;
                let model = *models.iter().find(lacks)?;
                Some((held != ample.as_ref(), server, model))
            })
            .collect();
        wanted.sort_by_key(|(is_scarce, _, _)| *is_scarce);
        wanted.into_iter().map(|(_, server, model)| (server, model)).collect()
    }
}

/// A host in no group.
#[derive(Clone, Debug)]
struct Idle<'a> {
    server: &'a Server,
    /// The model that is on its way.
    loading: Option<SmolStr>,
}

impl<'a> Idle<'a> {
    /// Whether it can join a group of `model` without a further load.
    fn has(&self, model: &Model) -> bool {
        self.loading.as_ref() == Some(&model.name) || effort(self.server, model) != Effort::Load
    }

    /// Whether a load of `model` onto it may begin.
    fn may_load(&self, model: &Model) -> bool {
        self.loading.is_none() && !self.has(model)
    }

    /// The load of the smallest model if it holds nothing, as others may come to join it.
    fn first_load(&self, engine: &'a Engine) -> Option<(&'a Server, &'a Model)> {
        let is_empty = engine.models.iter().all(|model| self.may_load(model));
        let smallest = engine.models.iter().min_by_key(|model| model.size)?;
        is_empty.then_some((self.server, smallest))
    }
}

/// Loads that idle hosts of a domain need for one more group of `model`; `None` if there are too few
/// hosts, or enough without a load.
fn missing(idle: &[Idle<'_>], model: &Model) -> Option<usize> {
    let ready = idle.iter().filter(|idle| idle.has(model)).count();
    let missing = model.size.checked_sub(ready).filter(|missing| *missing > 0)?;
    let loadable = idle.iter().filter(|idle| idle.may_load(model)).count();
    (loadable >= missing).then_some(missing)
}

/// Takes the hosts of one group of `model` out of `idle`, and returns the loads that it needs; hosts
/// that hold nothing are loaded first.
fn take_group<'a>(idle: &mut Vec<Idle<'a>>, model: &'a Model) -> Vec<(&'a Server, &'a Model)> {
    let rank = |idle: &Idle<'_>| {
        let holds_any = idle
            .server
            .record
            .engine
            .as_ref()
            .is_some_and(|engine| engine.last_model.is_some() || !engine.staged.is_empty());
        (!idle.has(model), !idle.may_load(model), holds_any)
    };
    idle.sort_by_key(rank);
    let group: Vec<Idle<'a>> = idle.drain(..model.size).collect();
    let loads = group.into_iter().filter(|idle| idle.may_load(model));
    loads.map(|idle| (idle.server, model)).collect()
}
