//! Weights that are loaded onto hosts in the background, so that instances can change their model
//! or join a group without a load.

use std::time::Duration;

use smol_str::SmolStr;

use crate::config::{Engine, Model};
use crate::plan::form::{Effort, effort};
use crate::plan::{self, Action, Order, Planner, Staging, View, command};
use crate::roster::{Phase, Server};

/// Time before the first requests from which on instances that found no group count as spare.
const SPARE: Duration = Duration::from_secs(4);

/// Multiple of the expected time after which a load is taken to be lost.
const PATIENCE: u32 = 3;

/// How urgently a host needs weights; free instances come first, as they serve nobody meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Urgency {
    /// It is free and lacks the model.
    Free,
    /// It serves a model that has ample supply.
    Ample,
    /// It serves.
    Busy,
}

impl Planner {
    /// Orders loads onto hosts within the weight store's limits.
    pub(super) fn stage(&mut self, view: &View<'_>, actions: &mut Vec<Action>) {
        self.forget_staged(view);
        for (service, settings) in view.config.services.iter() {
            let Some(engine) = &settings.engine else { continue };
            let wanted = self.wanted(service, engine, view);
            let room = self.load_room(engine, view);
            for (_, server, model) in wanted.into_iter().take(room) {
                self.loads.push(view.now);
                let staging = Staging { model: model.name.clone(), since: view.now };
                self.staging.insert(server.id.clone(), staging);
                let order = Order::Stage { model: model.name.clone() };
                actions.push(command(server, order));
            }
        }
    }

    /// Whether an instance carries out other orders, or will before the first requests. A load onto
    /// its host would delay a join, and change the count of orders that others are given under.
    fn is_changing(&self, server: &Server, view: &View<'_>) -> bool {
        let has_server =
            |intent: &&plan::Intent| intent.members.iter().any(|it| it.id == server.id);
        match self.intents.iter().find(has_server) {
            Some(intent) => intent.phase != plan::Phase::Open,
            None => view.quiet.is_some_and(|left| left > SPARE),
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

    /// Hosts with the model that they lack, the most urgent first.
    fn wanted<'a>(
        &self,
        service: &SmolStr,
        engine: &'a Engine,
        view: &View<'a>,
    ) -> Vec<(Urgency, &'a Server, &'a Model)> {
        let models = self.by_need(service, engine, view);
        let ample = models.last().map(|model| model.name.clone());
        let free = self.free(service, view);
        let servers = view.roster.iter().map(|(_, server)| server).filter(|server| {
            server.record.service == *service
                && server.record.phase == Phase::Ready
                && server.missing.is_none()
                && !self.watch.is_lost(&server.id)
                && !self.is_changing(server, view)
                && self.staging.get(&server.id).is_none()
        });
        let mut wanted: Vec<(Urgency, &Server, &Model)> = servers
            .filter_map(|server| {
                let held = server.record.engine.as_ref()?.model.as_ref();
                let staged = &server.record.engine.as_ref()?.staged;
                let is_free = free.iter().any(|(_, it)| it.iter().any(|it| it.id == server.id));
                let lacks = |model: &&&Model| effort(server, model) == Effort::Load;
                let model = *models.iter().find(lacks)?;
                // A free host that could serve nothing yet needs weights; one that holds the
                // other model already can be used.
                let urgency = match is_free {
                    true if held.is_none() && staged.is_empty() => Urgency::Free,
                    _ if held == ample.as_ref() => Urgency::Ample,
                    _ => Urgency::Busy,
                };
                Some((urgency, server, model))
            })
            .collect();
        wanted.sort_by_key(|(urgency, _, _)| *urgency);
        wanted
    }
}
