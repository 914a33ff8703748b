//! The models' shares of each service's work, by which the planner assigns instances.

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_fleet::peer_load;
use mgw_fleet::plan::Demand;
use smol_str::SmolStr;

use crate::gateway::State;

impl State {
    /// Adds a sample of the requests in flight at each model's groups to `observed_work`.
    pub fn sample_load(&mut self, now: Instant) {
        /// Weight of the earlier samples in the moving average.
        const RETAINED: f64 = 0.8;
        let Some(config) = self.config.clone() else { return };
        let groups = self.groups();
        self.observed_work.iter_mut().for_each(|(_, weight)| *weight *= RETAINED);
        for group in groups.iter() {
            let engine = config.services.get(&group.service).and_then(|it| it.engine.as_ref());
            let model = engine.and_then(|engine| engine.models.get(group.model));
            let (Some(model), Some(head)) = (model, self.roster.get(group.head)) else { continue };
            let peer_requests = self.peer_loads.requests(peer_load::target_hash(&head.id));
            let weight =
                head.load.estimated_requests(Some(peer_requests), now) * model.group_size as f64;
            let key = (group.service.clone(), model.name.clone());
            *self.observed_work.get_or_insert_with(key, || 0.0) += weight * (1.0 - RETAINED);
        }
    }

    /// The models' shares of each service's work: the mean of the share estimated from the admitted
    /// requests and of the share of the requests in flight, which reflects how long requests really
    /// take. Services with too little work are left out, and the planner uses their configured
    /// shares.
    pub fn demand(&self) -> Demand {
        /// Minimum work of a service, in instance seconds if estimated, below which its configured
        /// shares are used.
        const MIN_WORK: f64 = 8.0;
        let (requested_work, observed_work) =
            (normalized(&self.requested_work, MIN_WORK), normalized(&self.observed_work, MIN_WORK));
        requested_work
            .iter()
            .map(|(key, share)| {
                let other = observed_work.get(key).copied().unwrap_or(*share);
                (key.clone(), (share + other) / 2.0)
            })
            .collect()
    }
}

/// Each weight as a share of the sum over its service. Services with a sum below `min_total` are
/// left out.
fn normalized(weights: &Demand, min_total: f64) -> Demand {
    let mut totals: Map<SmolStr, f64> = Map::default();
    for ((service, _), weight) in weights.iter() {
        *totals.get_or_insert_with(service.clone(), || 0.0) += weight;
    }
    weights
        .iter()
        .filter_map(|((service, model), weight)| {
            let total = totals.get(service).copied().filter(|total| *total >= min_total)?;
            Some(((service.clone(), model.clone()), weight / total))
        })
        .collect()
}
