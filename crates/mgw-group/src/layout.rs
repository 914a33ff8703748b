//! The layout: the planner's working copy of instances and groups, on which it tries out
//! placements.
//!
//! Methods that change the layout append the corresponding [`Step`]s, which the planner turns into
//! records.

use mgw_sheet::sheet::Sheet;
use mgw_state::record::{Member, Offset, Reason};
use smol_str::SmolStr;

use crate::planner::Presence;

/// Stands for the id of a group that the plan forms; the id is known only once the record is
/// applied.
const PLANNED: Offset = Offset::MAX;

/// Largest weight of group downtime. The weight of stranded accelerators is the difference to it.
const MAX_DOWNTIME_WEIGHT: u64 = 1_000;

/// Downtime weight from which no extra groups are formed across domains.
const DOMAIN_SPARES_DOWNTIME_WEIGHT: u64 = 500;

/// Hours in the period to which the failure rate of instances refers.
const HOURS_PER_1000_DAYS: u64 = 24_000;

/// An instance in the layout.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) name: SmolStr,
    pub(crate) presence: Presence,
    /// Index of the availability zone in the sorted zones of the sheet; `usize::MAX` if the sheet
    /// does not declare the instance.
    pub(crate) zone: usize,
    /// Index of the fabric domain, likewise.
    pub(crate) domain: usize,
    /// Index of the kind of accelerator, likewise.
    pub(crate) accelerator: usize,
    /// Boot identifier to name in an assignment; empty if there is no recent report.
    pub(crate) boot: SmolStr,
    /// Id of the group that the instance belongs to.
    pub(crate) group: Option<Offset>,
    /// Whether the instance may be assigned to a group when it is free.
    pub(crate) usable: bool,
    /// Whether an order of another executor may still reach the instance.
    pub(crate) blocked: bool,
    /// Index in the sheet of the model that the instance reports in its wanted version.
    pub(crate) loaded_model: Option<usize>,
}

/// The condition of one member of a group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MemberState {
    /// Index of the instance in [`Layout::nodes`].
    pub(crate) node: usize,
    /// The seat is vacant: the instance restarted or no longer belongs to the group.
    pub(crate) vacant: bool,
    /// The member must be replaced now.
    pub(crate) lost: bool,
    /// The member is to be replaced once the group holds no requests.
    pub(crate) leaving: bool,
    /// The member has slowed its group down for long enough to be replaced.
    pub(crate) straggler: bool,
}

/// A group in the layout.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    /// Id of the group; [`PLANNED`] if the plan forms it.
    pub(crate) id: Offset,
    /// Index of the model in the sheet; `None` if the sheet does not declare the model.
    pub(crate) model: Option<usize>,
    /// Whether the version, the size and the accelerators are those that the sheet wants.
    pub(crate) up_to_date: bool,
    /// Members in rank order.
    pub(crate) members: Vec<MemberState>,
    /// Whether the group passes the readiness check.
    pub(crate) ready: bool,
    /// Whether the group was closed for a planned replacement and holds no requests any more, or
    /// has delayed the replacement for as long as allowed.
    pub(crate) drained: bool,
    /// Whether a member was lost so recently that the group is kept in case the member returns.
    pub(crate) in_grace_period: bool,
    /// Whether a member lacks the group's newest order although it should have it by now.
    pub(crate) stuck: bool,
    /// Whether the group exceeds the wanted number of replicas of its model.
    pub(crate) extra: bool,
    /// Whether the plan has formed the group or replaced a member of it.
    pub(crate) modified: bool,
}

impl Replica {
    /// Whether a member is lost.
    pub(crate) fn is_broken(&self) -> bool {
        self.members.iter().any(|member| member.lost)
    }
}

/// A change of the layout that becomes a record of the plan.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Forms a group of the model with this index in the sheet; members in rank order.
    Form { model: usize, members: Vec<Member> },
    /// Dissolves a group.
    Dissolve { group: Offset, reason: Reason },
    /// Replaces a member of a group.
    Replace { group: Offset, lost: SmolStr, spare: Member },
}

/// Parameters of the trade-off between spares and the accelerators that they leave idle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SparePolicy {
    /// Weight of group downtime, 0 to [`MAX_DOWNTIME_WEIGHT`].
    pub(crate) downtime_weight: u64,
    /// Expected failures of an instance per 1,000 days.
    pub(crate) failures_per_1000_days: u64,
    /// Expected hours until a failed instance is back.
    pub(crate) repair_hours: u64,
}

/// Which groups may be dissolved to make room for another group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Victims {
    /// Only extra replicas.
    Extra,
    /// Extra replicas and groups of models with a lower priority.
    LowerPriority,
}

/// The planner's working copy of instances and groups.
#[derive(Clone, Debug)]
pub(crate) struct Layout<'a> {
    pub(crate) sheet: &'a Sheet,
    /// Index of the kind of accelerator that each model of the sheet needs; `usize::MAX` if no
    /// instance has it.
    pub(crate) accelerators: Vec<usize>,
    /// Number of fabric domains in the sheet.
    pub(crate) domains: usize,
    /// Number of availability zones in the sheet.
    pub(crate) zones: usize,
    /// The instances of the sheet by name, then members of groups that the sheet does not declare.
    pub(crate) nodes: Vec<Node>,
    /// The existing groups by id, then those that the plan forms.
    pub(crate) replicas: Vec<Replica>,
    /// The changes so far, in order.
    pub(crate) steps: Vec<Step>,
    pub(crate) spare_policy: SparePolicy,
}

impl Layout<'_> {
    /// Number of instances that a group of the model needs.
    fn group_size(&self, model: usize) -> usize {
        self.sheet.models[model].instances as usize
    }

    /// The groups of a model in the layout.
    pub(crate) fn replicas_of(&self, model: usize) -> impl Iterator<Item = &Replica> {
        self.replicas.iter().filter(move |replica| replica.model == Some(model))
    }

    /// Marks the groups beyond the wanted number of replicas of their model as extra: groups with a
    /// lost member first, then the newest ones.
    pub(crate) fn mark_extra(&mut self) {
        for model in 0..self.sheet.models.len() {
            let wanted = self.sheet.models[model].replicas as usize;
            let mut order: Vec<usize> = (0..self.replicas.len())
                .filter(|replica| self.replicas[*replica].model == Some(model))
                .collect();
            order.sort_by_key(|replica| {
                let replica = &self.replicas[*replica];
                (replica.is_broken(), replica.id)
            });
            for (index, replica) in order.into_iter().enumerate() {
                self.replicas[replica].extra = index >= wanted;
            }
        }
    }

    /// Dissolves an existing group; its instances become free.
    pub(crate) fn dissolve(&mut self, group: Offset, reason: Reason) {
        let Some(index) = self.replicas.iter().position(|it| it.id == group && group != PLANNED)
        else {
            return;
        };
        let replica = self.replicas.remove(index);
        for member in replica.members.iter().filter(|member| !member.vacant) {
            self.nodes[member.node].group = None;
        }
        self.steps.push(Step::Dissolve { group, reason });
    }

    /// Forms a group of `model` on `members` in rank order.
    pub(crate) fn form(&mut self, model: usize, members: &[usize]) {
        let member = |node: usize| MemberState {
            node,
            vacant: false,
            lost: false,
            leaving: false,
            straggler: false,
        };
        let to_member = |node: &usize| {
            let node = &self.nodes[*node];
            Member { instance: node.name.to_string(), boot: node.boot.to_string() }
        };
        let named = members.iter().map(to_member).collect();
        for node in members {
            self.nodes[*node].group = Some(PLANNED);
        }
        self.replicas.push(Replica {
            id: PLANNED,
            model: Some(model),
            up_to_date: true,
            members: members.iter().copied().map(member).collect(),
            ready: false,
            drained: false,
            stuck: false,
            in_grace_period: false,
            extra: false,
            modified: true,
        });
        self.steps.push(Step::Form { model, members: named });
    }

    /// Dissolves a group and forms it again on the same members. Returns false, without a change,
    /// if not all of them can be assigned or the members no longer fit the model.
    pub(crate) fn form_again(&mut self, group: Offset, reason: Reason) -> bool {
        let Some(replica) = self.replicas.iter().find(|replica| replica.id == group) else {
            return false;
        };
        let fits = replica.members.iter().all(|member| {
            self.nodes[member.node].usable && self.nodes[member.node].group == Some(group)
        });
        let members: Vec<usize> = replica.members.iter().map(|member| member.node).collect();
        let suits = |model: &usize| {
            let kind = |node: &usize| self.nodes[*node].accelerator == self.accelerators[*model];
            fits && members.len() == self.group_size(*model) && members.iter().all(kind)
        };
        match replica.model.filter(suits) {
            Some(model) => {
                self.dissolve(group, reason);
                self.form(model, &members);
                true
            }
            None => false,
        }
    }

    /// The usable instances with a kind of accelerator that belong to no group.
    fn free_nodes<'b>(&'b self, accelerator: usize) -> impl Iterator<Item = usize> + 'b {
        (0..self.nodes.len()).filter(move |node| {
            let node = &self.nodes[*node];
            node.accelerator == accelerator && node.usable && node.group.is_none()
        })
    }

    /// For each number of instances up to `max`, the largest number of them that whole groups of
    /// the models with this kind of accelerator can use.
    fn packing(&self, accelerator: usize, max: usize) -> Vec<usize> {
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
    fn pick_members(&self, model: usize, mut free: Vec<usize>) -> Vec<usize> {
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
    fn fit_zone(&self, model: usize) -> Option<Vec<usize>> {
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
    fn find_victims(
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

    /// Whether it is known of every member of a group whether it is present. Otherwise the group
    /// may be serving although no report shows it.
    pub(crate) fn is_presence_known(&self, replica: &Replica) -> bool {
        replica
            .members
            .iter()
            .all(|it| it.vacant || self.nodes[it.node].presence != Presence::Unknown)
    }

    /// Whether, of the other groups in the domain of the group's rank 0, at least one is loading
    /// and none is ready. Reloading this group too would reload the whole domain at once.
    pub(crate) fn is_last_ready(&self, replica: &Replica) -> bool {
        let domain =
            |replica: &Replica| replica.members.first().map(|it| self.nodes[it.node].domain);
        let others = || {
            let here =
                |other: &&Replica| other.id != replica.id && domain(other) == domain(replica);
            self.replicas.iter().filter(here)
        };
        others().any(|other| other.up_to_date && !other.ready && !other.is_broken())
            && !others().any(|other| other.ready)
    }

    /// Number of groups of a model in the layout.
    pub(crate) fn replica_count(&self, model: usize) -> usize {
        self.replicas_of(model).count()
    }

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

    /// Replaces the members of a group for which `needs` is true, in the same domain or, if the
    /// other members are spread over domains, in the same zone. With `preempt`, other groups in the
    /// domain may be dissolved for it. Returns false if the replacement is not possible.
    pub(crate) fn replace_members(
        &mut self,
        group: Offset,
        preempt: bool,
        needs: fn(&MemberState) -> bool,
    ) -> bool {
        let Some(index) = self.replicas.iter().position(|replica| replica.id == group) else {
            return false;
        };
        let replica = &self.replicas[index];
        let Some(model) = replica.model else { return false };
        let extra = replica.extra;
        let (mut replaced, kept): (Vec<MemberState>, Vec<MemberState>) =
            replica.members.iter().copied().partition(needs);
        let Some(first) = kept.first() else { return false };
        // A record that replaces a member is valid only if no order of another executor may still
        // reach the remaining members. One replaced member may be under such an order if it is
        // replaced first.
        let blocked = |member: &MemberState| !member.vacant && self.nodes[member.node].blocked;
        if kept.iter().any(blocked) || replaced.iter().filter(|member| blocked(member)).count() > 1
        {
            return false;
        }
        replaced.sort_by_key(|member| !blocked(member));
        let (zone, domain) = (self.nodes[first.node].zone, self.nodes[first.node].domain);
        let in_one_domain = kept.iter().all(|member| self.nodes[member.node].domain == domain);
        let accelerator = self.accelerators[model];
        if kept.iter().any(|member| self.nodes[member.node].accelerator != accelerator) {
            return false;
        }
        if preempt && !extra && in_one_domain {
            let victims = self.find_victims(
                model,
                domain,
                replaced.len(),
                Some(group),
                Victims::LowerPriority,
            );
            let Some((_, groups)) = victims else { return false };
            groups.into_iter().for_each(|group| self.dissolve(group, Reason::Preempted));
        }
        let eligible = |node: &usize| match in_one_domain {
            true => self.nodes[*node].domain == domain,
            false => self.nodes[*node].zone == zone,
        };
        let mut spares: Vec<usize> = self.free_nodes(accelerator).filter(eligible).collect();
        if spares.len() < replaced.len() {
            return false;
        }
        let mut replacements = Vec::new();
        for member in replaced {
            let key = |node: &usize| {
                (*node != member.node, self.nodes[*node].loaded_model != Some(model), *node)
            };
            let Some(spare) = spares.iter().copied().min_by_key(key) else { return false };
            spares.retain(|node| *node != spare);
            replacements.push((member, spare));
        }
        for (member, spare) in replacements {
            self.substitute(group, member, spare);
        }
        true
    }

    /// Replaces one member of a group by the free instance `spare`.
    fn substitute(&mut self, group: Offset, lost: MemberState, spare: usize) {
        if !lost.vacant {
            self.nodes[lost.node].group = None;
        }
        let node = &mut self.nodes[spare];
        node.group = Some(group);
        let spare_member = Member { instance: node.name.to_string(), boot: node.boot.to_string() };
        let lost_name = self.nodes[lost.node].name.clone();
        self.steps.push(Step::Replace { group, lost: lost_name, spare: spare_member });
        let Some(replica) = self.replicas.iter_mut().find(|replica| replica.id == group) else {
            return;
        };
        replica.modified = true;
        replica.ready = false;
        let members = replica.members.iter_mut();
        for member in members.filter(|it| it.node == lost.node && it.vacant == lost.vacant) {
            *member = MemberState {
                node: spare,
                vacant: false,
                lost: false,
                leaving: false,
                straggler: false,
            };
        }
    }

    /// `Some` if no member of the group is usable. The value is the model that could be placed anew
    /// if the group were dissolved; `None` for an extra group, which is not placed anew.
    pub(crate) fn model_if_unusable(&self, group: Offset) -> Option<Option<usize>> {
        let replica = self.replicas.iter().find(|replica| replica.id == group)?;
        let usable = replica.members.iter().any(|it| !it.vacant && self.nodes[it.node].usable);
        (!usable).then_some(replica.model.filter(|_| !replica.extra))
    }

    /// Whether the objective reaches a higher value if the group is dissolved.
    pub(crate) fn is_improved_without(&self, group: Offset) -> bool {
        let best = |mut layout: Layout<'_>| {
            layout.steps.clear();
            layout.mark_extra();
            layout.place_wanted();
            layout.place_extra();
            layout.objective()
        };
        let mut without = self.clone();
        without.dissolve(group, Reason::MemberLost);
        best(without) > best(self.clone())
    }

    /// The objective that plans maximize: the instances in wanted replicas, weighted by group
    /// downtime, plus the instances in all groups, weighted by stranded accelerators. Broken groups
    /// do not count.
    fn objective(&self) -> u64 {
        let whole =
            |model: usize| self.replicas_of(model).filter(|replica| !replica.is_broken()).count();
        let wanted = |model: usize| whole(model).min(self.sheet.models[model].replicas as usize);
        let wanted: usize =
            (0..self.sheet.models.len()).map(|model| wanted(model) * self.group_size(model)).sum();
        let downtime_weight = self.spare_policy.downtime_weight.min(MAX_DOWNTIME_WEIGHT);
        downtime_weight * wanted as u64
            + (MAX_DOWNTIME_WEIGHT - downtime_weight) * self.placed_instances() as u64
    }

    /// Whether a group has a vacant seat that this planner cannot fill because another executor has
    /// custody of one of the other members.
    pub(crate) fn is_deadlocked(&self, group: Offset) -> bool {
        let Some(replica) = self.replicas.iter().find(|replica| replica.id == group) else {
            return false;
        };
        let vacant = replica.members.iter().any(|member| member.vacant);
        let blocked =
            replica.members.iter().any(|member| !member.vacant && self.nodes[member.node].blocked);
        vacant && blocked
    }

    /// Number of instances in groups that are not broken.
    fn placed_instances(&self) -> usize {
        let whole = self.replicas.iter().filter(|replica| !replica.is_broken());
        whole.map(|replica| replica.members.len()).sum()
    }
}
