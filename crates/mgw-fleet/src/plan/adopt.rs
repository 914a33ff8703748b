//! The adoption of groups that instances report and that this planner has not formed.

use mgw_base::time::Instant;
use smol_str::{SmolStr, format_smolstr};

use crate::plan::group::Member;
use crate::plan::{Group, Phase, Planner, View};
use crate::roster::{Membership, Server, Stage};

impl Planner {
    /// Starts to manage groups that instances report and that this planner does not manage yet.
    pub(super) fn adopt(&mut self, view: &View<'_>) {
        self.complete_adopted(view);
        let mut seen: Vec<(SmolStr, u64)> = Vec::new();
        for server in view.roster.instances() {
            let Some(membership) = server.record.membership() else { continue };
            let key = (membership.group.clone(), membership.epoch);
            let is_known =
                seen.contains(&key) || self.groups.iter().any(|group| group.contains(membership));
            if is_known {
                continue;
            }
            seen.push(key);
            let Some(group) = group_from_reports(view, server, membership) else { continue };
            let was_released = self.released_epochs.binary_search(&group.epoch).is_ok();
            // Members of a released group are free unless its head still serves. An entry that
            // shows a serving head counts only if the head answers probes; otherwise it is
            // outdated.
            let serves = matches!(group.phase, Phase::Open | Phase::Closing)
                && self.dissolved_epochs.binary_search(&group.epoch).is_err()
                && group.head().is_some_and(|head| !self.liveness.is_lost(&head.id));
            if !was_released || serves {
                self.note(&group.name.clone(), format_smolstr!("adopted as {:?}", group.phase));
                self.groups.push(group);
            }
        }
    }

    /// Adds members that were not listed when their group was adopted and are now.
    fn complete_adopted(&mut self, view: &View<'_>) {
        for server in view.roster.instances() {
            let Some(membership) = server.record.membership() else { continue };
            let Some(group) = self.groups.iter_mut().find(|group| group.contains(membership))
            else {
                continue;
            };
            let service = view.config.services.get(&group.service);
            let engine = service.and_then(|service| service.engine.as_ref());
            let size = engine.and_then(|it| it.model(&group.model)).map_or(0, |it| it.group_size);
            let place = group.members.binary_search_by_key(&membership.rank, |it| it.rank);
            match place {
                // A group without its head is adopted anew once that is listed.
                Err(place) if group.has_head && membership.rank < size => {
                    group.members.insert(place, Member::new(server, membership.rank));
                }
                Ok(_) | Err(_) => {}
            }
        }
    }
}

/// Reconstructs the group of which `server` reports `membership` from the reports of all members.
///
/// `None` if its service or model is not configured, or if the head does not serve it and it cannot
/// be completed: then its members are free for other groups.
fn group_from_reports(view: &View<'_>, server: &Server, membership: &Membership) -> Option<Group> {
    let (roster, now) = (view.roster, view.now);
    let service = &server.record.service;
    let engine = view.config.services.get(service)?.engine.as_ref()?;
    let mut members: Vec<(usize, &Server)> = roster
        .instances()
        .filter_map(|other| {
            let theirs = other.record.membership()?;
            (theirs.group == membership.group && theirs.epoch == membership.epoch)
                .then_some((theirs.rank, other))
        })
        .collect();
    members.sort_by_key(|(rank, _)| *rank);
    // Another writer may leave an entry that claims the place of another member.
    members.dedup_by_key(|(rank, _)| *rank);
    let model = members.iter().find_map(|(_, it)| it.record.engine.as_ref()?.model.clone())?;
    let size = engine.model(&model)?.group_size;
    let is_whole = members.len() == size;
    let head = members.first().filter(|(rank, _)| *rank == 0);
    let stage =
        head.and_then(|(_, head)| head.record.membership()).map(|membership| membership.stage);
    let phase = match stage {
        Some(Stage::Open) => Phase::Open,
        Some(Stage::Closing) => Phase::Closing,
        Some(Stage::Joining | Stage::Ready) if is_whole => Phase::Joining,
        Some(Stage::Joining | Stage::Ready | Stage::Broken) => return None,
        None => Phase::Headless,
    };
    let has_head = head.is_some();
    // A group that serves does not depend on members whose place does not exist. For one that is joining,
    // such a place tells that the model is not yet that of the group.
    if matches!(phase, Phase::Open | Phase::Closing) {
        members.retain(|(rank, _)| *rank < size);
    }
    Some(Group {
        service: service.clone(),
        name: membership.group.clone(),
        epoch: membership.epoch,
        model,
        members: members.iter().map(|(rank, server)| Member::new(server, *rank)).collect(),
        has_head,
        phase,
        phase_since: now,
        // Makes the first order due immediately.
        last_order: Instant::default(),
    })
}
