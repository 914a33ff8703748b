//! Placement of groups: the choice of free instances, and of groups to dissolve for them.

use mgw_state::record::{Offset, Reason};

use super::{Layout, Replica, Victims};

impl Layout<'_> {
    /// The usable instances with a kind of accelerator that belong to no group.
    pub(super) fn free_nodes<'b>(&'b self, accelerator: usize) -> impl Iterator<Item = usize> + 'b {
        (0..self.nodes.len()).filter(move |node| {
            let node = &self.nodes[*node];
            node.accelerator == accelerator && node.usable && node.group.is_none()
        })
    }

    /// For each number of instances up to `max`, the largest number of them that whole groups of
    /// the models with this kind of accelerator can use.
    pub(super) fn packing(&self, accelerator: usize, max: usize) -> Vec<usize> {
        let mut packing = vec![0; max + 1];
        for total in 1..=max {
            packing[total] = (0..self.sheet.models.len())
                .filter(|model| self.accelerators[*model] == accelerator)
                .map(|model| self.group_size(model))
                .filter(|size| *size > 0 && *size <= total)
                .map(|size| size + packing[total - size])
                .max()
                .unwrap_or(0);
        }
        packing
    }

    /// Picks the members of a group of `model` from `free`, in rank order by name. Instances that
    /// have already loaded its weights are preferred.
    pub(super) fn pick_members(&self, model: usize, mut free: Vec<usize>) -> Vec<usize> {
        free.sort_by_key(|node| (self.nodes[*node].loaded_model != Some(model), *node));
        free.truncate(self.group_size(model));
        free.sort_unstable();
        free
    }

    /// Number of groups of the model whose rank 0 is in the zone.
    fn replicas_in_zone(&self, model: usize, zone: usize) -> usize {
        let here = |replica: &&Replica| {
            replica.members.first().is_some_and(|member| self.nodes[member.node].zone == zone)
        };
        self.replicas_of(model).filter(here).count()
    }

    /// Picks members for a group of `model` from the free instances of one domain.
    ///
    /// Preferred is the domain that is left with the fewest instances that no whole group can use,
    /// then the domain in the zone with the fewest groups of the model, then the one with the
    /// fewest free instances left.
    pub(crate) fn fit_domain(&self, model: usize) -> Option<Vec<usize>> {
        let accelerator = self.accelerators[model];
        let mut free: Vec<Vec<usize>> = vec![Vec::new(); self.domains];
        self.free_nodes(accelerator).for_each(|node| free[self.nodes[node].domain].push(node));
        let packing = self.packing(accelerator, free.iter().map(Vec::len).max().unwrap_or(0));
        let size = self.group_size(model);
        let best =
            (0..self.domains).filter(|domain| free[*domain].len() >= size).min_by_key(|it| {
                let remaining = free[*it].len() - size;
                let zone = self.nodes[free[*it][0]].zone;
                (remaining - packing[remaining], self.replicas_in_zone(model, zone), remaining)
            })?;
        Some(self.pick_members(model, std::mem::take(&mut free[best])))
    }

    /// Picks members for a group of `model` across the domains of one zone: of the zones with
    /// enough free instances, the one with the fewest, and as few of its domains as possible.
    pub(super) fn fit_zone(&self, model: usize) -> Option<Vec<usize>> {
        let size = self.group_size(model);
        let mut zones: Vec<Vec<usize>> = vec![Vec::new(); self.zones];
        self.free_nodes(self.accelerators[model])
            .for_each(|it| zones[self.nodes[it].zone].push(it));
        let mut free = zones.into_iter().filter(|zone| zone.len() >= size).min_by_key(Vec::len)?;
        let mut counts = vec![0_usize; self.domains];
        free.iter().for_each(|node| counts[self.nodes[*node].domain] += 1);
        free.sort_by_key(|it| {
            let domain = self.nodes[*it].domain;
            (std::cmp::Reverse(counts[domain]), domain, *it)
        });
        free.truncate(size);
        Some(free)
    }

    /// Whether `replica` may be dissolved to make room for a group of `model`.
    fn is_preemptible(&self, replica: &Replica, model: usize, victims: Victims) -> bool {
        let Some(replica_model) = replica.model.filter(|_| !replica.modified) else { return false };
        let lower = self.sheet.models[replica_model].priority > self.sheet.models[model].priority;
        let allowed = match victims {
            Victims::Extra => replica.extra,
            Victims::LowerPriority => replica.extra || lower,
        };
        allowed && self.accelerators[replica_model] == self.accelerators[model]
    }

    /// Finds the groups to dissolve so that `needed` instances of a domain are free for `model`.
    /// Returns their ids and the number of instances in those of them that are wanted replicas.
    ///
    /// The objective weighs groups by their accelerators. To repair a group (`repaired`), at most
    /// as many instances of wanted replicas are given up as it has; to place a new group, all
    /// members of which have to load, fewer than that.
    pub(super) fn find_victims(
        &self,
        model: usize,
        domain: usize,
        needed: usize,
        repaired: Option<Offset>,
        victims: Victims,
    ) -> Option<(usize, Vec<Offset>)> {
        let in_domain = |node: usize| {
            let node = &self.nodes[node];
            node.domain == domain && node.accelerator == self.accelerators[model] && node.usable
        };
        let mut available = (0..self.nodes.len())
            .filter(|it| self.nodes[*it].group.is_none() && in_domain(*it))
            .count();
        let usable =
            |replica: &Replica| replica.members.iter().filter(|it| in_domain(it.node)).count();
        let mut candidates: Vec<&Replica> = self
            .replicas
            .iter()
            .filter(|replica| {
                Some(replica.id) != repaired && self.is_preemptible(replica, model, victims)
            })
            .filter(|replica| usable(replica) > 0)
            .collect();
        candidates.sort_by_key(|replica| {
            let priority = replica.model.map_or(0, |model| self.sheet.models[model].priority);
            let cost = (!replica.extra, replica.ready, std::cmp::Reverse(priority));
            (cost, replica.members.len(), std::cmp::Reverse(replica.id))
        });
        let (mut chosen, mut wanted) = (Vec::new(), 0);
        for replica in candidates {
            if available >= needed {
                break;
            }
            available +=
                replica.members.iter().filter(|it| !it.vacant && in_domain(it.node)).count();
            wanted += if replica.extra { 0 } else { replica.members.len() };
            chosen.push(replica.id);
        }
        let max_wanted = self.group_size(model) - usize::from(repaired.is_none());
        (available >= needed && wanted <= max_wanted).then_some((wanted, chosen))
    }

    /// Picks members for a group of `model` after dissolving other groups, in the domain where the
    /// fewest instances of wanted replicas are given up.
    fn preempt(&mut self, model: usize, victims: Victims) -> Option<Vec<usize>> {
        let size = self.group_size(model);
        let (_, groups) = (0..self.domains)
            .filter_map(|domain| self.find_victims(model, domain, size, None, victims))
            .min_by_key(|(wanted, groups)| (*wanted, groups.len()))?;
        groups.into_iter().for_each(|group| self.dissolve(group, Reason::Preempted));
        self.fit_domain(model)
    }

    /// Forms the wanted replicas that are missing, by priority of the models and then by the number
    /// of replicas that they lack. A model for which there is no room is skipped.
    pub(crate) fn place_wanted(&mut self) {
        let models = &self.sheet.models;
        let mut unmet: Vec<usize> = (0..models.len())
            .map(|model| {
                (models[model].replicas as usize).saturating_sub(self.replica_count(model))
            })
            .collect();
        loop {
            let first = (0..models.len())
                .filter(|model| unmet[*model] > 0 && self.group_size(*model) > 0)
                .min_by_key(|it| (models[*it].priority, std::cmp::Reverse(unmet[*it])));
            let Some(model) = first else { return };
            let members = self
                .fit_domain(model)
                .or_else(|| self.preempt(model, Victims::Extra))
                .or_else(|| self.fit_zone(model))
                .or_else(|| self.preempt(model, Victims::LowerPriority));
            match members {
                Some(members) => {
                    self.form(model, &members);
                    unmet[model] -= 1;
                }
                None => unmet[model] = 0,
            }
        }
    }
}
