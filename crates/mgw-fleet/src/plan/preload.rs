//! Preloading: spare instances load a model into memory before they are needed.
//!
//! A group that loses a member waits for the instance that takes the place. It joins in a fraction of
//! a second if its engine holds the model in memory, but takes seconds to read the weights from its
//! host. An engine keeps the model of its last group. So an instance that no group can use joins a
//! group of its own, which never opens, and leaves it as soon as the model is loaded.

use std::time::Duration;

use mgw_base::time::Instant;
use smol_str::{SmolStr, format_smolstr};

use crate::config::{Engine, Model};
use crate::plan::form::{WeightLocation, weight_location};
use crate::plan::stage::IDLE_STAGING_CUTOFF;
use crate::plan::{Action, Order, Planner, View, command};
use crate::roster::{Membership, Server, Stage};

/// Multiple of the model's load time after which an instance is no longer waited for.
const LOAD_TIMEOUT_FACTOR: u32 = 3;

/// Time after which an instance that has not loaded the model is ordered to again.
const RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// The load of a model into the memory of a spare instance.
#[derive(Clone, Debug)]
pub(super) struct Preload {
    /// Epoch of the group that the instance joins for this.
    epoch: u64,
    /// When the instance was ordered to join.
    since: Instant,
    /// Until when the load is waited for; after that, the instance is ordered to leave.
    until: Instant,
}

impl Planner {
    /// Orders spare instances to load the model that their domain needs spares for.
    pub(super) fn preload_spares(&mut self, view: &View<'_>, actions: &mut Vec<Action>) {
        self.preloads.retain(|_, preload| view.now.since(preload.since) < RETRY_INTERVAL);
        if view.until_traffic.is_some_and(|left| left > IDLE_STAGING_CUTOFF) {
            return;
        }
        for (service, settings) in view.config.services.iter() {
            let Some(engine) = &settings.engine else { continue };
            for (server, model) in self.spares_to_preload(service, engine, view) {
                let epoch = self.next_epoch();
                let until = view.now + model.warm_load_time * LOAD_TIMEOUT_FACTOR;
                let preload = Preload { epoch, since: view.now, until };
                self.preloads.insert(server.id.clone(), preload);
                let order = Order::Join {
                    group: format_smolstr!("g{epoch}"),
                    epoch,
                    model: model.name.clone(),
                    members: vec![server.id.clone()],
                };
                actions.push(command(server, order));
            }
        }
    }

    /// Whether `server` is still loading the model of the group that it joined only for that.
    pub(super) fn is_preloading(
        &self,
        server: &Server,
        membership: &Membership,
        view: &View<'_>,
    ) -> bool {
        let is_loading = membership.stage == Stage::Joining;
        let preload = self.preloads.get(&server.id);
        is_loading && preload.is_some_and(|it| it.epoch == membership.epoch && view.now < it.until)
    }

    /// The free instances that are too few for a group in their domain, have the model that it needs
    /// spares for on their hosts, and no model in memory. A model that is there is kept: instances
    /// that change between models would never be ready for either.
    fn spares_to_preload<'a>(
        &self,
        service: &SmolStr,
        engine: &'a Engine,
        view: &View<'a>,
    ) -> Vec<(&'a Server, &'a Model)> {
        let smallest = engine.models.iter().map(|model| model.group_size).min().unwrap_or(1);
        let unassigned = self.unassigned_by_domain(service, view);
        let free = self.free_servers(service, view);
        let spares = free.iter().filter(|(domain, _)| {
            let count = unassigned.get(domain).map_or(0, Vec::len);
            count < smallest && !self.preemptions.iter().any(|it| it.domain == **domain)
        });
        spares
            .filter_map(|(domain, servers)| {
                Some((servers, self.spare_model(service, engine, domain, view)?))
            })
            .flat_map(|(servers, model)| servers.iter().map(move |server| (*server, model)))
            .filter(|(server, model)| {
                let engine = server.record.engine.as_ref();
                engine.is_some_and(|engine| engine.last_model.is_none())
                    && weight_location(server, model) == WeightLocation::Host
                    && server.unlisted_since.is_none()
                    && self.staging.get(&server.id).is_none()
                    && self.preloads.get(&server.id).is_none()
            })
            .collect()
    }
}
