//! The planner's working copy of instances and groups, and placement on it.

use mgw_sheet::sheet::Sheet;
use mgw_state::record::{Member, Offset, Reason};
use smol_str::SmolStr;

use crate::planner::Class;

/// Stands for a group that the plan forms; its id is not known yet.
const PLANNED: Offset = Offset::MAX;

/// An instance in the working copy.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) name: SmolStr,
    pub(crate) class: Class,
    /// Index into the layout's names; `usize::MAX` if the sheet does not declare the instance.
    pub(crate) zone: usize,
    pub(crate) domain: usize,
    pub(crate) accelerator: usize,
    /// Boot to name in an assignment.
    pub(crate) boot: SmolStr,
    /// The group that the instance belongs to.
    pub(crate) group: Option<Offset>,
    /// Whether the instance may be assigned when it is free.
    pub(crate) usable: bool,
    /// Whether another executor's order may still reach it.
    pub(crate) blocked: bool,
    /// The model that is already loaded in the wanted version.
    pub(crate) warm: Option<usize>,
}

/// A member's place in a group.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Place {
    pub(crate) node: usize,
    pub(crate) vacant: bool,
    /// The member must be replaced now.
    pub(crate) lost: bool,
    /// The member is to be moved out once the group holds no requests.
    pub(crate) going: bool,
    /// The member holds its group back for long enough to be replaced.
    pub(crate) slow: bool,
}

/// A group in the working copy.
#[derive(Clone, Debug)]
pub(crate) struct Replica {
    pub(crate) id: Offset,
    /// Index of the model in the sheet; `None` if the sheet does not want such a group.
    pub(crate) model: Option<usize>,
    /// Whether the version is the wanted one.
    pub(crate) current: bool,
    pub(crate) places: Vec<Place>,
    pub(crate) ready: bool,
    /// Whether the group is closed and holds no requests any more.
    pub(crate) drained: bool,
    /// Whether a lost member may still return before the others are used elsewhere.
    pub(crate) held: bool,
    /// Whether its orders will not be sent or have no lasting effect.
    pub(crate) stuck: bool,
    /// Whether it exceeds the wanted replicas of its model.
    pub(crate) extra: bool,
    /// Whether it was dissolved or formed by the plan.
    pub(crate) touched: bool,
}

impl Replica {
    pub(crate) fn is_broken(&self) -> bool {
        self.places.iter().any(|place| place.lost)
    }
}

/// A step of the plan.
#[derive(Clone, Debug)]
pub(crate) enum Move {
    Form { model: usize, members: Vec<Member> },
    Dissolve { group: Offset, reason: Reason },
    Replace { group: Offset, lost: SmolStr, spare: Member },
}

/// How spares are weighed against accelerators that they leave idle.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weighing {
    /// Weight of group downtime, 0 to 1,000.
    pub(crate) downtime: u64,
    /// Failures of an instance per 1,000 days.
    pub(crate) failures: u64,
    /// Hours until a failed instance is back.
    pub(crate) repair_hours: u64,
}

/// Which groups a placement may dissolve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Donor {
    /// Extra replicas only.
    Extra,
    /// Extra replicas and groups of models with lower priority.
    Lower,
}

/// The working copy.
#[derive(Clone, Debug)]
pub(crate) struct Layout<'a> {
    pub(crate) sheet: &'a Sheet,
    /// Index of the kind of accelerator of each model of the sheet; `usize::MAX` if no instance
    /// has it.
    pub(crate) accelerators: Vec<usize>,
    pub(crate) domains: usize,
    pub(crate) zones: usize,
    /// Instances of the sheet in name order, then other members of groups.
    pub(crate) nodes: Vec<Node>,
    /// Groups by id, then those that the plan forms.
    pub(crate) replicas: Vec<Replica>,
    pub(crate) moves: Vec<Move>,
    pub(crate) weighing: Weighing,
}

impl Layout<'_> {
    fn size(&self, model: usize) -> usize {
        self.sheet.models[model].instances as usize
    }

    /// Groups of a model that exist in the working copy.
    pub(crate) fn of_model(&self, model: usize) -> impl Iterator<Item = &Replica> {
        self.replicas.iter().filter(move |replica| replica.model == Some(model))
    }

    /// Marks the groups beyond the wanted replicas; those with a lost member come last.
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
            for (place, replica) in order.into_iter().enumerate() {
                self.replicas[replica].extra = place >= wanted;
            }
        }
    }

    pub(crate) fn dissolve(&mut self, group: Offset, reason: Reason) {
        let Some(place) = self.replicas.iter().position(|it| it.id == group && group != PLANNED)
        else {
            return;
        };
        let replica = self.replicas.remove(place);
        for place in replica.places.iter().filter(|place| !place.vacant) {
            self.nodes[place.node].group = None;
        }
        self.moves.push(Move::Dissolve { group, reason });
    }

    /// Forms a group of `model` on `members` in rank order.
    pub(crate) fn form(&mut self, model: usize, members: &[usize]) {
        let place =
            |node: usize| Place { node, vacant: false, lost: false, going: false, slow: false };
        let named = |node: &usize| {
            let node = &self.nodes[*node];
            Member { instance: node.name.to_string(), boot: node.boot.to_string() }
        };
        let named = members.iter().map(named).collect();
        for node in members {
            self.nodes[*node].group = Some(PLANNED);
        }
        self.replicas.push(Replica {
            id: PLANNED,
            model: Some(model),
            current: true,
            places: members.iter().copied().map(place).collect(),
            ready: false,
            drained: false,
            stuck: false,
            held: false,
            extra: false,
            touched: true,
        });
        self.moves.push(Move::Form { model, members: named });
    }

    /// Dissolves a group and forms it again on the same members; `false` if they cannot all be
    /// assigned.
    pub(crate) fn form_again(&mut self, group: Offset, reason: Reason) -> bool {
        let Some(replica) = self.replicas.iter().find(|replica| replica.id == group) else {
            return false;
        };
        let fits = replica.places.iter().all(|place| {
            self.nodes[place.node].usable && self.nodes[place.node].group == Some(group)
        });
        let members: Vec<usize> = replica.places.iter().map(|place| place.node).collect();
        let suits = |model: &usize| {
            let kind = |node: &usize| self.nodes[*node].accelerator == self.accelerators[*model];
            fits && members.len() == self.size(*model) && members.iter().all(kind)
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

    fn free<'b>(&'b self, accelerator: usize) -> impl Iterator<Item = usize> + 'b {
        (0..self.nodes.len()).filter(move |node| {
            let node = &self.nodes[*node];
            node.accelerator == accelerator && node.usable && node.group.is_none()
        })
    }

    /// For each number of instances up to `most`, how many of them whole groups can take.
    fn packing(&self, accelerator: usize, most: usize) -> Vec<usize> {
        let mut packing = vec![0; most + 1];
        for total in 1..=most {
            packing[total] = (0..self.sheet.models.len())
                .filter(|model| self.accelerators[*model] == accelerator)
                .map(|model| self.size(model))
                .filter(|size| *size > 0 && *size <= total)
                .map(|size| size + packing[total - size])
                .max()
                .unwrap_or(0);
        }
        packing
    }

    /// Picks `model`'s members from `free`: those that hold its weights first, ranked by name.
    fn pick(&self, model: usize, mut free: Vec<usize>) -> Vec<usize> {
        free.sort_by_key(|node| (self.nodes[*node].warm != Some(model), *node));
        free.truncate(self.size(model));
        free.sort_unstable();
        free
    }

    fn in_zone(&self, model: usize, zone: usize) -> usize {
        let here = |replica: &&Replica| {
            replica.places.first().is_some_and(|place| self.nodes[place.node].zone == zone)
        };
        self.of_model(model).filter(here).count()
    }

    /// The free instances of the domain that fits the model best: the one whose remainder whole
    /// groups can use best, then the zone with the fewest groups of the model, then the smallest
    /// remainder.
    pub(crate) fn fit(&self, model: usize) -> Option<Vec<usize>> {
        let accelerator = self.accelerators[model];
        let mut free: Vec<Vec<usize>> = vec![Vec::new(); self.domains];
        self.free(accelerator).for_each(|node| free[self.nodes[node].domain].push(node));
        let packing = self.packing(accelerator, free.iter().map(Vec::len).max().unwrap_or(0));
        let size = self.size(model);
        let best =
            (0..self.domains).filter(|domain| free[*domain].len() >= size).min_by_key(|it| {
                let rest = free[*it].len() - size;
                let zone = self.nodes[free[*it][0]].zone;
                (rest - packing[rest], self.in_zone(model, zone), rest)
            })?;
        Some(self.pick(model, std::mem::take(&mut free[best])))
    }

    /// Free instances across the domains of one zone, from as few domains as possible.
    fn fit_zone(&self, model: usize) -> Option<Vec<usize>> {
        let size = self.size(model);
        let mut zones: Vec<Vec<usize>> = vec![Vec::new(); self.zones];
        self.free(self.accelerators[model]).for_each(|it| zones[self.nodes[it].zone].push(it));
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

    /// Whether `replica` may be dissolved for a group of `model`.
    fn gives(&self, replica: &Replica, model: usize, donor: Donor) -> bool {
        let Some(own) = replica.model.filter(|_| !replica.touched) else { return false };
        let lower = self.sheet.models[own].priority > self.sheet.models[model].priority;
        let allowed = match donor {
            Donor::Extra => replica.extra,
            Donor::Lower => replica.extra || lower,
        };
        allowed && self.accelerators[own] == self.accelerators[model]
    }

    /// The groups to dissolve so that `needed` instances of a domain are free for `model`, and the
    /// instances of wanted groups among them. The objective weighs groups by their accelerators,
    /// so for a group that is repaired no more wanted instances are given up than it has, and for
    /// one that is placed anew, where all members have to load, fewer.
    fn donors(
        &self,
        model: usize,
        domain: usize,
        needed: usize,
        spared: Option<Offset>,
        donor: Donor,
    ) -> Option<(usize, Vec<Offset>)> {
        let here = |node: usize| {
            let node = &self.nodes[node];
            node.domain == domain && node.accelerator == self.accelerators[model] && node.usable
        };
        let mut count =
            (0..self.nodes.len()).filter(|it| self.nodes[*it].group.is_none() && here(*it)).count();
        let usable = |replica: &Replica| replica.places.iter().filter(|it| here(it.node)).count();
        let mut givers: Vec<&Replica> = self
            .replicas
            .iter()
            .filter(|replica| Some(replica.id) != spared && self.gives(replica, model, donor))
            .filter(|replica| usable(replica) > 0)
            .collect();
        givers.sort_by_key(|replica| {
            let priority = replica.model.map_or(0, |model| self.sheet.models[model].priority);
            let cost = (!replica.extra, replica.ready, std::cmp::Reverse(priority));
            (cost, replica.places.len(), std::cmp::Reverse(replica.id))
        });
        let (mut chosen, mut wanted) = (Vec::new(), 0);
        for replica in givers {
            if count >= needed {
                break;
            }
            count += replica.places.iter().filter(|it| !it.vacant && here(it.node)).count();
            wanted += if replica.extra { 0 } else { replica.places.len() };
            chosen.push(replica.id);
        }
        let most = self.size(model) - usize::from(spared.is_none());
        (count >= needed && wanted <= most).then_some((wanted, chosen))
    }

    /// Makes room for a group of `model` by dissolving others in the domain where that costs least.
    fn preempt(&mut self, model: usize, donor: Donor) -> Option<Vec<usize>> {
        let size = self.size(model);
        let (_, groups) = (0..self.domains)
            .filter_map(|domain| self.donors(model, domain, size, None, donor))
            .min_by_key(|(wanted, groups)| (*wanted, groups.len()))?;
        groups.into_iter().for_each(|group| self.dissolve(group, Reason::Preempted));
        self.fit(model)
    }

    /// Forms the wanted replicas that do not exist.
    pub(crate) fn fill_wanted(&mut self) {
        let models = &self.sheet.models;
        let mut unmet: Vec<usize> = (0..models.len())
            .map(|model| (models[model].replicas as usize).saturating_sub(self.count(model)))
            .collect();
        loop {
            let first = (0..models.len())
                .filter(|model| unmet[*model] > 0 && self.size(*model) > 0)
                .min_by_key(|it| (models[*it].priority, std::cmp::Reverse(unmet[*it])));
            let Some(model) = first else { return };
            let members = self
                .fit(model)
                .or_else(|| self.preempt(model, Donor::Extra))
                .or_else(|| self.fit_zone(model))
                .or_else(|| self.preempt(model, Donor::Lower));
            match members {
                Some(members) => {
                    self.form(model, &members);
                    unmet[model] -= 1;
                }
                None => unmet[model] = 0,
            }
        }
    }

    /// Whether it is known of every member of a group whether it is there; otherwise the group may
    /// be serving although no report says so.
    pub(crate) fn is_known(&self, replica: &Replica) -> bool {
        replica.places.iter().all(|it| it.vacant || self.nodes[it.node].class != Class::Unknown)
    }

    /// Whether another group in the domain of a group's first member is loading and none is ready:
    /// reloading this one as well would reload the whole domain at once.
    pub(crate) fn is_last_ready(&self, replica: &Replica) -> bool {
        let domain =
            |replica: &Replica| replica.places.first().map(|it| self.nodes[it.node].domain);
        let others = || {
            let here =
                |other: &&Replica| other.id != replica.id && domain(other) == domain(replica);
            self.replicas.iter().filter(here)
        };
        others().any(|other| other.current && !other.ready && !other.is_broken())
            && !others().any(|other| other.ready)
    }

    pub(crate) fn count(&self, model: usize) -> usize {
        self.of_model(model).count()
    }

    /// Forms further replicas from instances that would stay idle; returns the instances placed.
    pub(crate) fn fill_extra(&mut self) -> usize {
        let mut placed = 0;
        let mut kinds: Vec<usize> = self.accelerators.clone();
        kinds.sort_unstable();
        kinds.dedup();
        for accelerator in kinds {
            for domain in 0..self.domains {
                placed += self.fill_domain(accelerator, domain);
            }
            placed += self.fill_zones(accelerator);
        }
        placed
    }

    fn fill_domain(&mut self, accelerator: usize, domain: usize) -> usize {
        let mut placed = 0;
        loop {
            let free: Vec<usize> =
                self.free(accelerator).filter(|it| self.nodes[*it].domain == domain).collect();
            let packing = self.packing(accelerator, free.len());
            let spare = self.spares(accelerator, domain, free.len(), &packing);
            let free = &free[..free.len() - spare];
            let full = packing[free.len()];
            let best = (0..self.sheet.models.len())
                .filter(|model| self.accelerators[*model] == accelerator)
                .filter(|model| (1..=free.len()).contains(&self.size(*model)))
                .filter(|it| self.size(*it) + packing[free.len() - self.size(*it)] == full)
                .min_by_key(|it| (self.sheet.models[*it].priority, self.count(*it)));
            let Some(model) = best else { return placed };
            let members = self.pick(model, free.to_vec());
            placed += members.len();
            self.form(model, &members);
        }
    }

    fn fill_zones(&mut self, accelerator: usize) -> usize {
        let mut placed = 0;
        if self.weighing.downtime >= 500 {
            // What is left in the domains may be their spares.
            return placed;
        }
        loop {
            let best = (0..self.sheet.models.len())
                .filter(|it| self.accelerators[*it] == accelerator && self.size(*it) > 0)
                .filter_map(|model| Some((model, self.fit_zone(model)?)))
                .min_by_key(|(it, _)| (self.sheet.models[*it].priority, self.count(*it)));
            let Some((model, members)) = best else { return placed };
            placed += members.len();
            self.form(model, &members);
        }
    }

    /// Instances to keep as spares in a domain: at most one, if the group downtime that it is
    /// expected to save outweighs the accelerators that it leaves idle.
    fn spares(&self, accelerator: usize, domain: usize, free: usize, packing: &[usize]) -> usize {
        if free == 0 {
            return 0;
        }
        let idle = (packing[free] - packing[free - 1]) as u64;
        let here = |place: &Place| {
            let node = &self.nodes[place.node];
            node.domain == domain && node.accelerator == accelerator
        };
        // Each failure of a member takes its whole group out of service.
        let exposed: u64 = self
            .replicas
            .iter()
            .filter(|replica| replica.places.first().is_some_and(here))
            .map(|replica| replica.places.len() as u64)
            .map(|members| members * members)
            .sum();
        let Weighing { downtime, failures, repair_hours } = self.weighing;
        // Per 1,000 days and in instance-hours on both sides.
        let saved = downtime * exposed * failures * repair_hours;
        let cost = (1_000 - downtime.min(1_000)) * idle * 24_000;
        usize::from(exposed > 0 && saved > cost)
    }

    /// Replaces the members of a group that `needs` replacement; `false` if that is not possible.
    pub(crate) fn replace(
        &mut self,
        group: Offset,
        preempt: bool,
        needs: fn(&Place) -> bool,
    ) -> bool {
        let Some(index) = self.replicas.iter().position(|replica| replica.id == group) else {
            return false;
        };
        let replica = &self.replicas[index];
        let Some(model) = replica.model else { return false };
        let extra = replica.extra;
        let (mut needed, stay): (Vec<Place>, Vec<Place>) =
            replica.places.iter().copied().partition(needs);
        let Some(first) = stay.first() else { return false };
        // The record is valid only if no other executor's order may reach the members that stay;
        // the one that leaves first may be under such an order.
        let blocked = |place: &Place| !place.vacant && self.nodes[place.node].blocked;
        if stay.iter().any(blocked) || needed.iter().filter(|place| blocked(place)).count() > 1 {
            return false;
        }
        needed.sort_by_key(|place| !blocked(place));
        let (zone, domain) = (self.nodes[first.node].zone, self.nodes[first.node].domain);
        let whole = stay.iter().all(|place| self.nodes[place.node].domain == domain);
        let accelerator = self.accelerators[model];
        if stay.iter().any(|place| self.nodes[place.node].accelerator != accelerator) {
            return false;
        }
        if preempt && !extra && whole {
            let room = self.donors(model, domain, needed.len(), Some(group), Donor::Lower);
            let Some((_, groups)) = room else { return false };
            groups.into_iter().for_each(|group| self.dissolve(group, Reason::Preempted));
        }
        let near = |node: &usize| match whole {
            true => self.nodes[*node].domain == domain,
            false => self.nodes[*node].zone == zone,
        };
        let mut spares: Vec<usize> = self.free(accelerator).filter(near).collect();
        if spares.len() < needed.len() {
            return false;
        }
        let mut moves = Vec::new();
        for place in needed {
            let key =
                |node: &usize| (*node != place.node, self.nodes[*node].warm != Some(model), *node);
            let Some(spare) = spares.iter().copied().min_by_key(key) else { return false };
            spares.retain(|node| *node != spare);
            moves.push((place, spare));
        }
        for (place, spare) in moves {
            self.swap(group, place, spare);
        }
        true
    }

    fn swap(&mut self, group: Offset, lost: Place, spare: usize) {
        if !lost.vacant {
            self.nodes[lost.node].group = None;
        }
        let node = &mut self.nodes[spare];
        node.group = Some(group);
        let spared = Member { instance: node.name.to_string(), boot: node.boot.to_string() };
        let name = self.nodes[lost.node].name.clone();
        self.moves.push(Move::Replace { group, lost: name, spare: spared });
        let Some(replica) = self.replicas.iter_mut().find(|replica| replica.id == group) else {
            return;
        };
        replica.touched = true;
        replica.ready = false;
        let places = replica.places.iter_mut();
        for place in places.filter(|it| it.node == lost.node && it.vacant == lost.vacant) {
            *place = Place { node: spare, vacant: false, lost: false, going: false, slow: false };
        }
    }

    /// The model of a group that has no usable member; for an extra group, which is not placed
    /// anew, `None` in its place.
    pub(crate) fn dark(&self, group: Offset) -> Option<Option<usize>> {
        let replica = self.replicas.iter().find(|replica| replica.id == group)?;
        let usable = replica.places.iter().any(|it| !it.vacant && self.nodes[it.node].usable);
        (!usable).then_some(replica.model.filter(|_| !replica.extra))
    }

    /// Whether dissolving a group lets a plan of a higher value be made.
    pub(crate) fn gains(&self, group: Offset) -> bool {
        let value = |mut layout: Layout<'_>| {
            layout.moves.clear();
            layout.mark_extra();
            layout.fill_wanted();
            layout.fill_extra();
            layout.value()
        };
        let mut without = self.clone();
        without.dissolve(group, Reason::MemberLost);
        value(without) > value(self.clone())
    }

    /// Weighted instances of wanted groups and of all groups that are not broken: what the
    /// objective gains over a fleet without groups.
    fn value(&self) -> u64 {
        let whole =
            |model: usize| self.of_model(model).filter(|replica| !replica.is_broken()).count();
        let wanted = |model: usize| whole(model).min(self.sheet.models[model].replicas as usize);
        let wanted: usize =
            (0..self.sheet.models.len()).map(|model| wanted(model) * self.size(model)).sum();
        let downtime = self.weighing.downtime.min(1_000);
        downtime * wanted as u64 + (1_000 - downtime) * self.placed() as u64
    }

    /// Whether a group has a vacant seat that this planner cannot fill, because another executor
    /// has custody of a member.
    pub(crate) fn is_deadlocked(&self, group: Offset) -> bool {
        let Some(replica) = self.replicas.iter().find(|replica| replica.id == group) else {
            return false;
        };
        let vacant = replica.places.iter().any(|place| place.vacant);
        let blocked =
            replica.places.iter().any(|place| !place.vacant && self.nodes[place.node].blocked);
        vacant && blocked
    }

    /// Instances in groups that are not broken.
    fn placed(&self) -> usize {
        let whole = self.replicas.iter().filter(|replica| !replica.is_broken());
        whole.map(|replica| replica.places.len()).sum()
    }
}
