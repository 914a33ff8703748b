//! The planner's changes to the layout: repairs and rolling updates, and the conversion of steps to
//! records.

use mgw_state::record::{Offset, Reason, Record};

use crate::layout::{Layout, Replica, Step};
use crate::planner::{Cause, Pass};

impl<'a> Pass<'a> {
    /// Dissolves groups of models that the sheet does not declare and repairs the other groups, by
    /// priority, wanted replicas before extra ones.
    ///
    /// Other groups are dissolved to repair one only when the set of usable instances is `stable`.
    pub(super) fn repair_groups(&self, layout: &mut Layout<'a>, stable: bool) {
        let mut order: Vec<_> = layout
            .replicas
            .iter()
            .map(|replica| {
                let priority = replica.model.map(|model| self.sheet.models[model].priority);
                (priority, replica.extra, replica.id)
            })
            .collect();
        order.sort_unstable();
        // Models whose groups without a usable member cannot be placed anew, each with the number
        // of steps that the plan had when this was found.
        let mut unplaceable = Vec::new();
        for (priority, _, id) in order {
            // The repair of another group may have dissolved this one.
            let Some(replica) = layout.replicas.iter().find(|replica| replica.id == id) else {
                continue;
            };
            let (broken, drained, stuck) = (replica.is_broken(), replica.drained, replica.stuck);
            let straggler = replica.members.iter().any(|member| member.straggler);
            if priority.is_none() {
                layout.dissolve(id, Reason::NotWanted);
            } else if broken {
                self.repair_group(layout, id, stable, &mut unplaceable);
            } else if drained {
                let moved = layout.replace_members(id, false, |member| member.leaving)
                    || (stable && layout.replace_members(id, true, |member| member.leaving));
                // The group is dissolved only when the set of usable instances is stable, as other
                // groups are dissolved for it only then. The wait costs less than the dissolution,
                // because the members of a dissolved group lose their weights.
                if !moved && stable {
                    layout.dissolve(id, Reason::Drained);
                }
            } else if stuck {
                layout.form_again(id, Reason::MemberLost);
            } else if straggler {
                layout.replace_members(id, false, |member| member.straggler);
            }
        }
    }

    /// Repairs a group with lost members. If there is no replacement, the group is dissolved only
    /// if that improves the objective. Otherwise the remaining members would only become idle, and
    /// the group would have to be loaded again when the lost member returns.
    ///
    /// A group with a vacant seat is also dissolved if another executor has custody of a member.
    /// That executor sends no orders to a group with a vacant seat, and no other executor can fill
    /// the seat as long as it has custody. The dissolution lets it unload the member and finish its
    /// order.
    pub(super) fn repair_group(
        &self,
        layout: &mut Layout<'a>,
        id: Offset,
        stable: bool,
        unplaceable: &mut Vec<(Option<usize>, usize)>,
    ) {
        let repaired = layout.replace_members(id, false, |member| member.lost)
            || (stable && layout.replace_members(id, true, |member| member.lost))
            || layout.form_again(id, Reason::MemberLost);
        if repaired || !stable {
            return;
        }
        // When a whole domain has failed, many groups have no usable member. Dissolving one of them
        // helps only if its model can be placed anew, so one trial per model suffices as long as no
        // step is added to the plan.
        let unusable = layout.model_if_unusable(id).map(|model| (model, layout.steps.len()));
        if unusable.is_some_and(|unusable| unplaceable.contains(&unusable)) {
            return;
        }
        if unusable.is_none()
            && layout.replicas.iter().any(|replica| replica.id == id && replica.in_grace_period)
        {
            return;
        }
        let helps = layout.is_improved_without(id) || layout.is_deadlocked(id);
        match (helps, unusable) {
            (true, _) => layout.dissolve(id, Reason::MemberLost),
            (false, Some(unusable)) => unplaceable.push(unusable),
            (false, None) => {}
        }
    }

    /// The groups that are broken or stuck and that the plan does not change, and why.
    pub(super) fn unresolved_groups(&self, layout: &Layout<'_>) -> Vec<Cause> {
        let cause = |replica: &Replica| {
            let group = replica.id;
            let blocked =
                replica.members.iter().any(|it| !it.vacant && layout.nodes[it.node].blocked);
            match blocked {
                true => Cause::ForeignCustody { group },
                false => Cause::NoSpare { group },
            }
        };
        let unresolved =
            |replica: &&Replica| !replica.modified && (replica.is_broken() || replica.stuck);
        layout.replicas.iter().filter(unresolved).map(cause).collect()
    }

    /// The models that lack wanted replicas in the layout.
    pub(super) fn missing_replicas(&self, layout: &Layout<'_>) -> Vec<Cause> {
        let cause = |(index, model): (usize, &mgw_sheet::sheet::Model)| {
            let missing = (model.replicas as usize).saturating_sub(layout.replica_count(index));
            (missing > 0).then(|| Cause::NoCapacity { model: model.name.clone(), missing })
        };
        self.sheet.models.iter().enumerate().filter_map(cause).collect()
    }

    /// Starts the rolling update of at most one group of each model to the wanted version. If there
    /// is room, a new group is formed before the outdated one is dissolved. While another group of
    /// the model loads, only a group that is known not to serve is updated.
    pub(super) fn roll_out(&self, layout: &mut Layout<'a>) {
        for model in 0..self.sheet.models.len() {
            let loading = layout
                .replicas_of(model)
                .any(|replica| replica.up_to_date && !replica.ready && !replica.is_broken());
            let not_serving =
                |replica: &Replica| !replica.ready && layout.is_presence_known(replica);
            let outdated = layout
                .replicas_of(model)
                .filter(|replica| {
                    !replica.up_to_date
                        && !replica.modified
                        && (replica.ready || not_serving(replica))
                })
                .filter(|replica| {
                    not_serving(replica) || !(loading || layout.is_last_ready(replica))
                })
                .min_by_key(|replica| (replica.ready, !replica.extra, replica.id))
                .map(|replica| replica.id);
            let Some(outdated) = outdated else { continue };
            let surplus = layout.replica_count(model) > self.sheet.models[model].replicas as usize;
            match layout.fit_domain(model).filter(|_| !surplus) {
                Some(members) => layout.form(model, &members),
                None if surplus => layout.dissolve(outdated, Reason::Version),
                None => {
                    if !layout.form_again(outdated, Reason::Version) {
                        layout.dissolve(outdated, Reason::Version);
                        layout.place_wanted();
                    }
                }
            }
        }
    }

    /// Converts a step of the plan to its record.
    pub(super) fn record(&self, step: Step) -> Record {
        let term = self.state.term().number;
        match step {
            Step::Form { model, members } => {
                let model = &self.sheet.models[model];
                Record::Form {
                    term,
                    base: self.state.config().version,
                    model: model.name.to_string(),
                    version: model.version.to_string(),
                    members,
                    executor: self.own,
                }
            }
            Step::Dissolve { group, reason } => Record::Dissolve { term, group, reason },
            Step::Replace { group, lost, spare } => {
                Record::Replace { term, group, lost: lost.to_string(), spare, executor: self.own }
            }
        }
    }
}
