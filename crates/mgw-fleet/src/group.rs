//! Model groups as targets for requests, derived from what their members report.

use smol_str::SmolStr;

use crate::config::Config;
use crate::roster::{Membership, Phase, Roster, Server, ServerKey, Stage};

/// A group whose head is listed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Name of the service that the members belong to.
    pub service: SmolStr,
    /// Name of the group as the head reports it.
    pub name: SmolStr,
    /// Epoch of the group as the head reports it.
    pub epoch: u64,
    /// Index of the model in [`Engine::models`](crate::config::Engine::models) of the service.
    pub model: usize,
    /// The instance that accepts the requests for the group.
    pub head: ServerKey,
    /// Whether the group can serve requests: the head is open, all members are known and none is
    /// draining or leaving. Members other than the head need not be listed, as the store drops the
    /// entries of sound instances that cannot reach it.
    pub is_servable: bool,
}

/// All groups whose heads are listed, in the order of the heads' ids.
pub fn list(roster: &Roster, config: &Config) -> Vec<Group> {
    let memberships: Vec<(&Server, &Membership)> = roster
        .instances()
        .filter_map(|server| Some((server, server.record.membership()?)))
        .collect();
    let heads = roster
        .iter()
        .filter_map(|(id, server)| Some((id, server, server.record.head_membership()?)));
    heads
        .filter_map(|(id, server, membership)| {
            from_head(id, server, membership, &memberships, config)
        })
        .collect()
}

/// The group with the given head; `None` if its service or model is not configured.
fn from_head(
    head: ServerKey,
    server: &Server,
    membership: &Membership,
    memberships: &[(&Server, &Membership)],
    config: &Config,
) -> Option<Group> {
    let service = &server.record.service;
    let engine = config.services.get(service)?.engine.as_ref()?;
    let name = server.record.engine.as_ref()?.model.as_ref()?;
    let model = engine.models.iter().position(|model| model.name == *name)?;
    let mut members: Vec<(usize, &Server)> = memberships
        .iter()
        .filter(|(other, other_membership)| {
            other_membership.group == membership.group
                && other_membership.epoch == membership.epoch
                && other.record.service == *service
        })
        .map(|(other, other_membership)| (other_membership.rank, *other))
        .collect();
    members.sort_by_key(|(rank, _)| *rank);
    let is_whole = members.len() == engine.models[model].group_size
        && members.iter().enumerate().all(|(place, (rank, _))| place == *rank);
    let none_drains = members.iter().all(|(_, member)| member.phase() == Phase::Ready);
    Some(Group {
        service: service.clone(),
        name: membership.group.clone(),
        epoch: membership.epoch,
        model,
        head,
        is_servable: is_whole && none_drains && membership.stage == Stage::Open,
    })
}
