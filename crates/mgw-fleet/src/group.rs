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
    let mut members: Vec<(&Membership, &Server)> = roster
        .instances()
        .filter_map(|server| Some((server.record.membership()?, server)))
        .collect();
    members.sort_by_key(|(membership, _)| key(membership));
    let heads =
        roster.iter().filter_map(|(id, head)| Some((id, head, head.record.head_membership()?)));
    heads
        .filter_map(|(id, head, membership)| from_head(id, head, membership, &members, config))
        .collect()
}

/// What tells a group from others.
fn key(membership: &Membership) -> (&SmolStr, u64) {
    (&membership.group, membership.epoch)
}

/// The group with the given head; `None` if its service or model is not configured. `members` holds
/// the members of all groups, sorted by [`key`].
fn from_head(
    id: ServerKey,
    head: &Server,
    membership: &Membership,
    members: &[(&Membership, &Server)],
    config: &Config,
) -> Option<Group> {
    let service = &head.record.service;
    let engine = config.services.get(service)?.engine.as_ref()?;
    let name = head.record.engine.as_ref()?.model.as_ref()?;
    let model = engine.models.iter().position(|model| model.name == *name)?;
    let first = members.partition_point(|(it, _)| key(it) < key(membership));
    let own = members[first..].iter().take_while(|(it, _)| key(it) == key(membership));
    // Another writer may leave an entry that claims a place in a group which another member has.
    let is_filled = |rank: usize| {
        own.clone().any(|(it, server)| {
            it.rank == rank && server.record.service == *service && server.phase() == Phase::Ready
        })
    };
    let is_whole = (0..engine.models[model].group_size).all(is_filled);
    Some(Group {
        service: service.clone(),
        name: membership.group.clone(),
        epoch: membership.epoch,
        model,
        head: id,
        is_servable: is_whole && membership.stage == Stage::Open,
    })
}
