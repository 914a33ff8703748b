//! The layout: the planner's working copy of instances and groups, on which it tries out
//! placements.
//!
//! Methods that change the layout append the corresponding [`Step`]s, which the planner turns into
//! records.

mod extra;
mod place;
mod replace;

use mgw_sheet::sheet::Sheet;
use mgw_state::record::{Member, Offset, Reason};
use smol_str::SmolStr;

use crate::planner::Presence;

/// Stands for the id of a group that the plan forms; the id is known only once the record is
/// applied.
const PLANNED: Offset = Offset::MAX;

/// Largest weight of group downtime. The weight of stranded accelerators is the difference to it.
const MAX_DOWNTIME_WEIGHT: u64 = 1_000;

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
