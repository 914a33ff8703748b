//! Extra replicas on instances that would stay idle, and the spares to keep.

use super::{Layout, MAX_DOWNTIME_WEIGHT, MemberState, SparePolicy};

/// Downtime weight from which no extra groups are formed across domains.
const DOMAIN_SPARES_DOWNTIME_WEIGHT: u64 = 500;

/// Hours in the period to which the failure rate of instances refers.
const HOURS_PER_1000_DAYS: u64 = 24_000;

impl Layout<'_> {
    /// Forms extra replicas from instances that would stay idle. Returns the number of instances
    /// that were placed.
    pub(crate) fn place_extra(&mut self) -> usize {
        let mut placed = 0;
        let mut kinds: Vec<usize> = self.accelerators.clone();
        kinds.sort_unstable();
        kinds.dedup();
        for accelerator in kinds {
            for domain in 0..self.domains {
                placed += self.place_extra_in_domain(accelerator, domain);
            }
            placed += self.place_extra_in_zones(accelerator);
        }
        placed
    }

    /// Forms extra replicas within a domain from its free instances without the spares to keep. Of
    /// the models that allow the most instances to be used, the one with the highest priority and
    /// then the one with the fewest groups is chosen. Returns the number of instances that were
    /// placed.
    fn place_extra_in_domain(&mut self, accelerator: usize, domain: usize) -> usize {
        let mut placed = 0;
        loop {
            let free: Vec<usize> = self
                .free_nodes(accelerator)
                .filter(|it| self.nodes[*it].domain == domain)
                .collect();
            let packing = self.packing(accelerator, free.len());
            let spare = self.spares_to_keep(accelerator, domain, free.len(), &packing);
            let free = &free[..free.len() - spare];
            let most_used = packing[free.len()];
            let best = (0..self.sheet.models.len())
                .filter(|model| self.accelerators[*model] == accelerator)
                .filter(|model| (1..=free.len()).contains(&self.group_size(*model)))
                .filter(|it| {
                    self.group_size(*it) + packing[free.len() - self.group_size(*it)] == most_used
                })
                .min_by_key(|it| (self.sheet.models[*it].priority, self.replica_count(*it)));
            let Some(model) = best else { return placed };
            let members = self.pick_members(model, free.to_vec());
            placed += members.len();
            self.form(model, &members);
        }
    }

    /// Forms extra replicas across the domains of a zone. Returns the number of instances that were
    /// placed.
    fn place_extra_in_zones(&mut self, accelerator: usize) -> usize {
        let mut placed = 0;
        if self.spare_policy.downtime_weight >= DOMAIN_SPARES_DOWNTIME_WEIGHT {
            // The instances that are left in the domains may be spares.
            return placed;
        }
        loop {
            let best = (0..self.sheet.models.len())
                .filter(|it| self.accelerators[*it] == accelerator && self.group_size(*it) > 0)
                .filter_map(|model| Some((model, self.fit_zone(model)?)))
                .min_by_key(|(it, _)| (self.sheet.models[*it].priority, self.replica_count(*it)));
            let Some((model, members)) = best else { return placed };
            placed += members.len();
            self.form(model, &members);
        }
    }

    /// Number of instances to keep as spares in a domain: one if the group downtime that it is
    /// expected to save outweighs the accelerators that it leaves idle, otherwise none.
    fn spares_to_keep(
        &self,
        accelerator: usize,
        domain: usize,
        free: usize,
        packing: &[usize],
    ) -> usize {
        if free == 0 {
            return 0;
        }
        let idle = (packing[free] - packing[free - 1]) as u64;
        let here = |member: &MemberState| {
            let node = &self.nodes[member.node];
            node.domain == domain && node.accelerator == accelerator
        };
        // A failure of any member takes all members of its group out of service, so the expected
        // downtime grows with the square of the group size.
        let exposed: u64 = self
            .replicas
            .iter()
            .filter(|replica| replica.members.first().is_some_and(here))
            .map(|replica| replica.members.len() as u64)
            .map(|members| members * members)
            .sum();
        let SparePolicy { downtime_weight, failures_per_1000_days, repair_hours } =
            self.spare_policy;
        // Both sides are weighted instance-hours per 1,000 days.
        let saved = downtime_weight * exposed * failures_per_1000_days * repair_hours;
        let cost = (MAX_DOWNTIME_WEIGHT - downtime_weight.min(MAX_DOWNTIME_WEIGHT))
            * idle
            * HOURS_PER_1000_DAYS;
        usize::from(exposed > 0 && saved > cost)
    }
}
