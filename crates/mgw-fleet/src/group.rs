//! Model groups, as the reports of their members show them.

use smol_str::SmolStr;

use crate::config::Config;
use crate::roster::{Membership, Phase, Roster, Server, ServerKey, Stage};

/// A group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Group {
    /// Service of its members.
    pub service: SmolStr,
    /// Name.
    pub name: SmolStr,
    /// Epoch.
    pub epoch: u64,
    /// Index of the model in the service's engine.
    pub model: usize,
    /// The instance that takes the requests.
    pub head: ServerKey,
    /// All members in the order of their ranks, the head first.
    pub members: Vec<ServerKey>,
    /// Whether the head takes requests, all members are there and none leaves.
    pub is_servable: bool,
}

/// The groups whose heads are listed, in the order of the heads' ids.
pub fn list(roster: &Roster, config: &Config) -> Vec<Group> {
    let seated: Vec<(ServerKey, &Server, &Membership)> = roster
        .iter()
        .filter_map(|(id, server)| Some((id, server, server.record.membership()?)))
        .collect();
    let heads = seated.iter().filter(|(_, _, membership)| membership.rank == 0);
    heads
        .filter_map(|(id, server, membership)| group(*id, server, membership, &seated, config))
        .collect()
}

fn group(
    head: ServerKey,
    server: &Server,
    membership: &Membership,
    seated: &[(ServerKey, &Server, &Membership)],
    config: &Config,
) -> Option<Group> {
    let service = &server.record.service;
    let engine = config.services.get(service)?.engine.as_ref()?;
    let name = server.record.engine.as_ref()?.model.as_ref()?;
    let model = engine.models.iter().position(|model| model.name == *name)?;
    let mut members: Vec<(usize, ServerKey, &Server)> = seated
        .iter()
        .filter(|(_, other, theirs)| {
            theirs.group == membership.group
                && theirs.epoch == membership.epoch
                && other.record.service == *service
        })
        .map(|(id, other, theirs)| (theirs.rank, *id, *other))
        .collect();
    members.sort_by_key(|(rank, _, _)| *rank);
    let is_whole = members.len() == engine.models[model].size
        && members.iter().enumerate().all(|(place, (rank, _, _))| place == *rank);
    let stays = members.iter().all(|(_, _, member)| member.record.phase == Phase::Ready);
    Some(Group {
        service: service.clone(),
        name: membership.group.clone(),
        epoch: membership.epoch,
        model,
        head,
        members: members.into_iter().map(|(_, id, _)| id).collect(),
        is_servable: is_whole && stays && membership.stage == Stage::Open,
    })
}
