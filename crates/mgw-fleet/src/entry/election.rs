//! The election of the planner.
//!
//! The entry named by the leader record with the highest position is the planner, and its term is
//! made from that position; see [`crate::position`].

use std::time::Duration;

use mgw_base::time::Instant;

use crate::entry::{Leader, Table};
use crate::position::Position;

/// Age of the newest read of the records from which on an entry must not become planner, and a
/// planner announces that another entry should take over.
const MAX_VIEW_AGE: Duration = Duration::from_millis(1_300);

/// Delay before an entry becomes a candidate for planner, per rank among the readers. It keeps the
/// readers from applying at the same time.
const CANDIDATE_DELAY_PER_RANK: Duration = Duration::from_millis(300);

/// An entry's part in the election of the planner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The entry is not the planner and should not apply for the role now.
    Standby,
    /// The role is vacant and this entry should apply for it.
    Candidate,
    /// The entry is the planner.
    Leader {
        /// Term of the record that made it planner.
        term: u64,
    },
    /// The entry was the planner in its newest view of the store, but that view is too old to rule
    /// out a successor. It keeps planning if it already does. That is safe because servers reject
    /// orders of an earlier term once they have received one of a later term.
    UnconfirmedLeader {
        /// Term of the record that made it planner.
        term: u64,
    },
}

impl Table {
    /// Applies the leader record at `position`; ignored if a newer one is known.
    pub fn apply_leader(&mut self, position: u64, leader: Leader) {
        let is_newer = self.leader.as_ref().is_none_or(|(known, _)| *known < position);
        if is_newer {
            self.leader = Some((position, leader));
        }
    }

    /// Returns the newest leader record with its position.
    pub fn leader_record(&self) -> Option<&(u64, Leader)> {
        self.leader.as_ref()
    }

    /// Returns the term of the newest planner.
    pub fn term(&self) -> Option<u64> {
        self.leader.as_ref().map(|(position, _)| Position::unpack(*position).term())
    }

    /// Returns the name of the newest planner, which may have ended.
    pub fn leader_name(&self) -> Option<&str> {
        self.leader.as_ref().map(|(_, leader)| leader.entry.as_str())
    }

    /// Returns the incarnation of the newest planner, which may have ended.
    pub fn leader_incarnation(&self) -> Option<u64> {
        self.leader.as_ref().map(|(_, leader)| leader.incarnation)
    }

    /// Returns the role of the entry `name` with `incarnation`.
    ///
    /// `is_planner_lost` says whether the load reports show the planner as lost; see
    /// [`crate::peer_load::Table::is_planner_lost`]. They do so sooner than missing heartbeats. The
    /// planner itself ignores this argument.
    pub fn role(
        &mut self,
        name: &str,
        incarnation: u64,
        is_planner_lost: bool,
        now: Instant,
    ) -> Role {
        let is_fresh = self.last_read.is_some_and(|sent_at| now.since(sent_at) < MAX_VIEW_AGE);
        if !is_fresh {
            self.vacant_since = None;
            let own_record = self
                .leader
                .as_ref()
                .filter(|(_, leader)| leader.entry == name && leader.incarnation == incarnation);
            return own_record.map_or(Role::Standby, |(position, _)| Role::UnconfirmedLeader {
                term: Position::unpack(*position).term(),
            });
        }
        let live_leader = self.recorded_leader().filter(|(term, leader)| {
            (!is_planner_lost || leader.incarnation == incarnation)
                && self.serving().any(|(entry, it)| {
                    leader.entry == entry.as_str()
                        && leader.incarnation == it.heartbeat.incarnation
                        && it.heartbeat.resigned_term != Some(*term)
                })
        });
        match live_leader {
            Some((term, leader)) if leader.entry == name && leader.incarnation == incarnation => {
                self.vacant_since = None;
                Role::Leader { term }
            }
            Some(_) => {
                self.vacant_since = None;
                Role::Standby
            }
            None => self.vacant_role(name, now),
        }
    }

    /// The newest leader record with its term. `None` if the store has lost the record: it is then
    /// written again, as a new process would find no planner.
    fn recorded_leader(&self) -> Option<(u64, &Leader)> {
        let (position, leader) = self.leader.as_ref()?;
        let position = Position::unpack(*position);
        let is_lost = position.era < Position::unpack(self.end_offset).era;
        (!is_lost).then(|| (position.term(), leader))
    }

    /// Returns the role of the entry `name` while there is no planner. Only readers of the store
    /// become candidates, one after the other in the order of their names.
    fn vacant_role(&mut self, name: &str, now: Instant) -> Role {
        let Some(rank) = self.readers().iter().position(|reader| *reader == name) else {
            return Role::Standby;
        };
        let since = *self.vacant_since.get_or_insert(now);
        match now.since(since) >= CANDIDATE_DELAY_PER_RANK * rank as u32 {
            true => Role::Candidate,
            false => Role::Standby,
        }
    }
}
