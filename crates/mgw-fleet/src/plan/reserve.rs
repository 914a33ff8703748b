//! Reservation of instances for the model that lacks groups.
//!
//! The members of a group become free one after the other, and a lost one has to be replaced first.
//! A model with smaller groups could take the first of them at once, and the hosts would then lose
//! the weights of the model with larger groups. So other models only get what is left over. Instances
//! do not wait for a load that takes longer than [`MAX_LOAD_WAIT`].

use std::time::Duration;

use smol_str::SmolStr;

use crate::config::{Engine, Model};
use crate::plan::form::{
    FreeServers, MIN_DEMAND, WeightLocation, relative_demand, weight_location,
};
use crate::plan::{Demand, Planner, View};
use crate::roster::Server;

/// Longest remaining time of a load that instances are kept free for.
const MAX_LOAD_WAIT: Duration = Duration::from_secs(4);

impl Planner {
    /// Removes from `free` the instances that are needed for groups of `model`, up to the number of
    /// groups that it lacks.
    pub(super) fn reserve(
        &self,
        service: &SmolStr,
        engine: &Engine,
        model: &Model,
        free: &mut FreeServers<'_>,
        view: &View<'_>,
    ) {
        let mut missing = self.missing_groups(service, engine, model, view);
        for (domain, servers) in self.unassigned_by_domain(service, view).iter() {
            let mut reserved: Vec<&Server> = servers
                .iter()
                .copied()
                .filter(|it| self.has_weights_soon(it, model, view))
                .collect();
            let groups = (reserved.len() / model.group_size).min(missing);
            missing -= groups;
            reserved.sort_by_key(|server| weight_location(server, model));
            reserved.truncate(groups * model.group_size);
            if let Some(rest) = free.get_mut(domain) {
                rest.retain(|server| !reserved.iter().any(|it| it.id == server.id));
            }
        }
    }

    /// Whether an instance has the weights of `model` on its host, or will have them within
    /// [`MAX_LOAD_WAIT`].
    fn has_weights_soon(&self, server: &Server, model: &Model, view: &View<'_>) -> bool {
        let loading = self.staging.get(&server.id).filter(|staging| staging.model == model.name);
        let ends_soon = loading.is_some_and(|staging| {
            view.now.since(staging.started) + MAX_LOAD_WAIT >= model.cold_load_time
        });
        ends_soon || weight_location(server, model) != WeightLocation::Store
    }

    /// Available instances that belong to no group of this planner, by domain. Some of them may still
    /// have to leave a group that is over.
    pub(super) fn unassigned_by_domain<'a>(
        &self,
        service: &SmolStr,
        view: &View<'a>,
    ) -> FreeServers<'a> {
        let mut domains = FreeServers::default();
        for server in self.available(view) {
            let Some(engine) = &server.record.engine else { continue };
            if server.record.service == *service {
                domains.get_or_insert_with(engine.domain.clone(), Vec::new).push(server);
            }
        }
        domains
    }

    /// Number of groups of `model` that unassigned instances with its weights can form as soon as they
    /// have left their former groups. No other group has to close for these.
    pub(super) fn pending_groups(
        &self,
        service: &SmolStr,
        model: &Model,
        view: &View<'_>,
    ) -> usize {
        let has_weights =
            |server: &&&Server| weight_location(server, model) != WeightLocation::Store;
        let unassigned = self.unassigned_by_domain(service, view);
        let groups = unassigned
            .iter()
            .filter(|(domain, _)| !self.preemptions.iter().any(|it| it.domain == **domain))
            .map(|(_, servers)| servers.iter().filter(has_weights).count() / model.group_size);
        groups.sum()
    }

    /// Number of groups that `model` lacks to have its share of the available instances.
    fn missing_groups(
        &self,
        service: &SmolStr,
        engine: &Engine,
        model: &Model,
        view: &View<'_>,
    ) -> usize {
        let available = view.roster.instances().filter(|server| {
            server.record.service == *service
                && server.record.engine.is_some()
                && server.may_join()
                && !view.is_evacuated(server)
                && !self.liveness.is_lost(&server.id)
        });
        let share = normalized_demand(service, engine, model, view.demand);
        let wanted = (available.count() as f64 * share / model.group_size as f64).round();
        (wanted as usize).saturating_sub(self.group_count(service, model, view))
    }
}

/// The share of the service's instances that `model` needs; the shares of all models add up to 1.
fn normalized_demand(service: &SmolStr, engine: &Engine, model: &Model, demand: &Demand) -> f64 {
    let share = |model: &Model| relative_demand(service, model, demand);
    let total: f64 = engine.models.iter().map(share).sum();
    share(model) / total.max(MIN_DEMAND)
}
