//! The groups that the planner manages, from the first join order to the release of the members.

use mgw_base::time::Instant;
use smol_str::{SmolStr, format_smolstr};

use crate::plan::Order;
use crate::roster::{Membership, Server, Stage};

/// A member of a group: one process of an instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Id of the instance.
    pub id: SmolStr,
    /// Start time of the process that joined, see [`crate::roster::Record::started_ms`]. After a restart
    /// the instance is no longer this member.
    pub started_ms: u64,
    /// Position among the members; 0 for the head.
    pub rank: usize,
}

impl Member {
    /// The process that the newest entry or report of `server` is from, as the member with `rank`.
    pub(super) fn new(server: &Server, rank: usize) -> Self {
        Self { id: server.id.clone(), started_ms: server.record.started_ms, rank }
    }
}

/// Lifecycle phase of a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The members were ordered to join and are loading the model.
    Joining,
    /// All members are ready, and the head was ordered to open.
    Opening,
    /// The head accepts requests.
    Open,
    /// The head was ordered to close and finishes its running requests.
    Closing,
    /// Some members report the group, but its head is not listed. This happens for a while after an
    /// outage of the store.
    Headless,
}

/// A group that the planner manages.
#[derive(Clone, Debug)]
pub struct Group {
    /// Name of the service that the members belong to.
    pub service: SmolStr,
    /// Name, unique because it contains the epoch.
    pub name: SmolStr,
    /// Epoch, unique among the groups of all planners.
    pub epoch: u64,
    /// Name of the model that the group serves.
    pub model: SmolStr,
    /// Members in the order of their ranks. Fewer than the model's size if some were lost before
    /// this planner took over.
    pub members: Vec<Member>,
    /// Whether the first member is the head. False if the head was not listed at the adoption.
    pub(super) has_head: bool,
    /// Current lifecycle phase.
    pub phase: Phase,
    /// When the group entered its phase.
    pub(super) phase_since: Instant,
    /// When an order was last sent to its members.
    pub(super) last_order: Instant,
}

impl Group {
    /// A new group whose members are ordered to join at `now`.
    pub(super) fn joining(
        service: &SmolStr,
        epoch: u64,
        model: &SmolStr,
        members: Vec<Member>,
        now: Instant,
    ) -> Self {
        Self {
            service: service.clone(),
            name: format_smolstr!("g{epoch}"),
            epoch,
            model: model.clone(),
            members,
            has_head: true,
            phase: Phase::Joining,
            phase_since: now,
            last_order: now,
        }
    }

    /// The head, unless it was not listed when the group was adopted.
    pub(super) fn head(&self) -> Option<&Member> {
        self.members.first().filter(|_| self.has_head)
    }

    /// The order for an instance to join this group.
    pub(super) fn join(&self) -> Order {
        Order::Join {
            group: self.name.clone(),
            epoch: self.epoch,
            model: self.model.clone(),
            members: self.members.iter().map(|member| member.id.clone()).collect(),
        }
    }

    pub(super) fn open(&self) -> Order {
        Order::Open { group: self.name.clone(), epoch: self.epoch }
    }

    pub(super) fn close(&self) -> Order {
        Order::Close { group: self.name.clone(), epoch: self.epoch }
    }

    /// Whether `membership` belongs to this group.
    pub(super) fn contains(&self, membership: &Membership) -> bool {
        membership.group == self.name && membership.epoch == self.epoch
    }

    /// The stage that `server` reports for this group; `None` if it reports another group or none.
    pub(super) fn member_stage(&self, server: &Server) -> Option<Stage> {
        server
            .record
            .membership()
            .filter(|membership| self.contains(membership))
            .map(|membership| membership.stage)
    }
}
