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
    /// All listed members in the order of their ranks, the head first.
    pub members: Vec<ServerKey>,
    /// Whether the group can serve requests: the head is open, all members are listed and none is
    /// draining or leaving.
    pub is_servable: bool,
}

/// All groups whose heads are listed, in the order of the heads' ids.
pub fn list(roster: &Roster, config: &Config) -> Vec<Group> {
    let memberships: Vec<(ServerKey, &Server, &Membership)> = roster
        .iter()
        .filter_map(|(id, server)| Some((id, server, server.record.membership()?)))
        .collect();
    let heads = memberships.iter().filter(|(_, _, membership)| membership.rank == 0);
    heads
        .filter_map(|(id, server, membership)| {
            from_head(*id, server, membership, &memberships, config)
        })
        .collect()
}

/// The group with the given head; `None` if its service or model is not configured.
fn from_head(
    head: ServerKey,
    server: &Server,
    membership: &Membership,
    memberships: &[(ServerKey, &Server, &Membership)],
    config: &Config,
) -> Option<Group> {
    let service = &server.record.service;
    let engine = config.services.get(service)?.engine.as_ref()?;
    let name = server.record.engine.as_ref()?.model.as_ref()?;
    let model = engine.models.iter().position(|model| model.name == *name)?;
    let mut members: Vec<(usize, ServerKey, &Server)> = memberships
        .iter()
        .filter(|(_, other, other_membership)| {
            other_membership.group == membership.group
                && other_membership.epoch == membership.epoch
                && other.record.service == *service
        })
        .map(|(id, other, other_membership)| (other_membership.rank, *id, *other))
        .collect();
    members.sort_by_key(|(rank, _, _)| *rank);
    let is_whole = members.len() == engine.models[model].group_size
        && members.iter().enumerate().all(|(place, (rank, _, _))| place == *rank);
    let none_drains = members.iter().all(|(_, _, member)| member.phase() == Phase::Ready);
    Some(Group {
        service: service.clone(),
        name: membership.group.clone(),
        epoch: membership.epoch,
        model,
        head,
        members: members.into_iter().map(|(_, id, _)| id).collect(),
        is_servable: is_whole && none_drains && membership.stage == Stage::Open,
    })
}
