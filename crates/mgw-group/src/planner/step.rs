//! The planner's steps: repairs, rolling changes, and their records.

use mgw_state::record::{Offset, Reason, Record};

use crate::layout::{Layout, Move, Replica};
use crate::planner::{Cause, Pass};

impl<'a> Pass<'a> {
    /// Dissolves groups that are not wanted, and repairs groups, the most important first.
    pub(super) fn repair(&self, layout: &mut Layout<'a>, calm: bool) {
        let mut order: Vec<_> = layout
            .replicas
            .iter()
            .map(|replica| {
                let priority = replica.model.map(|model| self.sheet.models[model].priority);
                (priority, replica.extra, replica.id)
            })
            .collect();
        order.sort_unstable();
        // Models whose groups without any usable member cannot be placed anew at present.
        let mut hopeless = Vec::new();
        for (priority, _, id) in order {
            // An earlier repair may have dissolved the group.
            let Some(replica) = layout.replicas.iter().find(|replica| replica.id == id) else {
                continue;
            };
            let (broken, drained, stuck) = (replica.is_broken(), replica.drained, replica.stuck);
            let slow = replica.places.iter().any(|place| place.slow);
            if priority.is_none() {
                layout.dissolve(id, Reason::NotWanted);
            } else if broken {
                self.mend(layout, id, calm, &mut hopeless);
            } else if drained {
                let moved = layout.replace(id, false, |place| place.going)
                    || (calm && layout.replace(id, true, |place| place.going));
                // Other groups give members only when the fleet is calm, which is worth the wait:
                // the members of a dissolved group lose their weights.
                if !moved && calm {
                    layout.dissolve(id, Reason::Drained);
                }
            } else if stuck {
                layout.form_again(id, Reason::MemberLost);
            } else if slow {
                layout.replace(id, false, |place| place.slow);
            }
        }
    }

    /// Repairs a group with lost members. If there is no replacement, the group is dissolved only
    /// if that lets more be placed: otherwise the members that are left would stay idle, and the
    /// group would have to be loaded again when the lost member returns.
    ///
    /// A group with a vacant seat is also dissolved if another executor has custody of a member:
    /// that executor does not order a group with a vacant seat, and as long as it has custody, no
    /// other executor can fill the seat. The dissolution lets it unload the member and settle.
    pub(super) fn mend(
        &self,
        layout: &mut Layout<'a>,
        id: Offset,
        calm: bool,
        hopeless: &mut Vec<(Option<usize>, usize)>,
    ) {
        let mended = layout.replace(id, false, |place| place.lost)
            || (calm && layout.replace(id, true, |place| place.lost))
            || layout.form_again(id, Reason::MemberLost);
        if mended || !calm {
            return;
        }
        // In a dark domain many groups have no usable member. Dissolving one of them helps only if
        // its model can be placed anew, so one trial per model suffices while the plan is the same.
        let dark = layout.dark(id).map(|model| (model, layout.moves.len()));
        if dark.is_some_and(|dark| hopeless.contains(&dark)) {
            return;
        }
        if dark.is_none() && layout.replicas.iter().any(|replica| replica.id == id && replica.held)
        {
            return;
        }
        let helps = layout.gains(id) || layout.is_deadlocked(id);
        match (helps, dark) {
            (true, _) => layout.dissolve(id, Reason::MemberLost),
            (false, Some(dark)) => hopeless.push(dark),
            (false, None) => {}
        }
    }

    pub(super) fn undone(&self, layout: &Layout<'_>) -> Vec<Cause> {
        let cause = |replica: &Replica| {
            let group = replica.id;
            let blocked =
                replica.places.iter().any(|it| !it.vacant && layout.nodes[it.node].blocked);
            match blocked {
                true => Cause::ForeignCustody { group },
                false => Cause::NoSpare { group },
            }
        };
        let open = |replica: &&Replica| !replica.touched && (replica.is_broken() || replica.stuck);
        layout.replicas.iter().filter(open).map(cause).collect()
    }

    pub(super) fn missing(&self, layout: &Layout<'_>) -> Vec<Cause> {
        let cause = |(place, model): (usize, &mgw_sheet::sheet::Model)| {
            let missing = (model.replicas as usize).saturating_sub(layout.count(place));
            (missing > 0).then(|| Cause::NoCapacity { model: model.name.clone(), missing })
        };
        self.sheet.models.iter().enumerate().filter_map(cause).collect()
    }

    /// Moves one group of each model to the wanted version: a new group first if there is room,
    /// then the old one goes. A group that is known not to serve may go while another one loads.
    pub(super) fn roll(&self, layout: &mut Layout<'a>) {
        for model in 0..self.sheet.models.len() {
            let waits = layout
                .of_model(model)
                .any(|replica| replica.current && !replica.ready && !replica.is_broken());
            let idle = |replica: &Replica| !replica.ready && layout.is_known(replica);
            let old = layout
                .of_model(model)
                .filter(|replica| {
                    !replica.current && !replica.touched && (replica.ready || idle(replica))
                })
                .filter(|replica| idle(replica) || !(waits || layout.is_last_ready(replica)))
                .min_by_key(|replica| (replica.ready, !replica.extra, replica.id))
                .map(|replica| replica.id);
            let Some(old) = old else { continue };
            let surplus = layout.count(model) > self.sheet.models[model].replicas as usize;
            match layout.fit(model).filter(|_| !surplus) {
                Some(members) => layout.form(model, &members),
                None if surplus => layout.dissolve(old, Reason::Version),
                None => {
                    if !layout.form_again(old, Reason::Version) {
                        layout.dissolve(old, Reason::Version);
                        layout.fill_wanted();
                    }
                }
            }
        }
    }

    pub(super) fn record(&self, step: Move) -> Record {
        let term = self.state.term().number;
        match step {
            Move::Form { model, members } => {
                let model = &self.sheet.models[model];
                Record::Form {
                    term,
                    base: self.state.config().version,
                    model: model.name.to_string(),
                    version: model.version.to_string(),
                    members,
                    executor: self.me,
                }
            }
            Move::Dissolve { group, reason } => Record::Dissolve { term, group, reason },
            Move::Replace { group, lost, spare } => {
                Record::Replace { term, group, lost: lost.to_string(), spare, executor: self.me }
            }
        }
    }
}
