//! Changes of the server list, for the entries that follow this one.
//!
//! A change is identified in two ways: by the revision of this roster, for a follower that got all
//! earlier changes from it, and by the position in the servers' topic, for a follower that knows the
//! list from elsewhere.

use smol_str::SmolStr;

use crate::position::Position;
use crate::roster::{Record, Roster, Server};

/// Maximum number of removals that are kept for the entries that receive changes from this one.
const MAX_REMOVALS: usize = 512;

/// When something changed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Mark {
    /// Revision of the roster after the change.
    pub(super) revision: u64,
    /// Position in the servers' topic by which the list shows the change; `u64::MAX` if it may not
    /// show it yet.
    pub(super) position: u64,
}

impl Mark {
    /// A change that the list may not show yet, such as one that a server reported itself.
    pub(super) fn unlisted(revision: u64) -> Self {
        Self { revision, position: u64::MAX }
    }

    /// Whether an entry that knows `base` lacks the change.
    fn is_news(self, base: Base) -> bool {
        match base {
            Base::Nothing => true,
            Base::Revision(revision) => self.revision > revision,
            // What was known before a restore of the store may differ from entry to entry.
            Base::Position(known) => {
                self.position > known
                    || Position::unpack(self.position).era != Position::unpack(known).era
            }
        }
    }
}

/// A removal of a server from the roster.
#[derive(Clone, Debug)]
pub(super) struct Removal {
    /// When it happened.
    pub(super) mark: Mark,
    /// Id of the server.
    pub(super) id: SmolStr,
    /// Start time of the process, as in [`Record::started_ms`].
    pub(super) started_ms: u64,
    /// As in [`Server::heartbeat_count`].
    pub(super) heartbeat_count: Option<u64>,
}

/// What the receiver of changes knows already.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// Nothing.
    Nothing,
    /// All changes of this roster up to a revision.
    Revision(u64),
    /// The list up to a position in the servers' topic, from any source.
    Position(u64),
}

/// Changes that the receiver lacks.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Revision of the roster after these changes.
    pub revision: u64,
    /// Whether `changed` holds all servers, so that the receiver removes all others.
    pub is_whole: bool,
    /// Records of new and changed servers by id.
    pub changed: Vec<(SmolStr, Record)>,
    /// Ids of removed servers; empty if `is_whole`.
    pub gone: Vec<SmolStr>,
}

impl Roster {
    /// Changes since `revision`; all servers if that is 0 or older than the kept removals.
    pub fn changes(&self, revision: u64) -> Changes {
        self.changes_since(Base::Revision(revision))
    }

    /// Changes that a receiver which knows `base` lacks; all servers if that cannot be told. Missing
    /// servers count as removed: a receiver that has had contact to the store all the time knows that
    /// they are gone, and any other one keeps them on its own account.
    pub fn changes_since(&self, base: Base) -> Changes {
        let base = match self.covers(base) {
            true => base,
            false => Base::Nothing,
        };
        let is_whole = base == Base::Nothing;
        let is_listed = |server: &&Server| server.missing_since.is_none();
        let record = |server: &Server| (server.id.clone(), server.record.clone());
        let listed = self.iter().map(|(_, it)| it).filter(is_listed);
        let removals = self.removals.iter().filter(|it| !is_whole && it.mark.is_news(base));
        let is_gone =
            |id: &SmolStr| self.servers.by_name(id).is_none_or(|it| it.missing_since.is_some());
        Changes {
            revision: self.revision,
            is_whole,
            changed: listed.filter(|it| it.changed.is_news(base)).map(record).collect(),
            gone: removals.map(|it| it.id.clone()).filter(is_gone).collect(),
        }
    }

    /// Records that the list up to its present end was received as a whole or from a reader, and not
    /// change by change. A record may then be the same as before and have been another one in
    /// between, which entries with a position in between have seen.
    pub fn restart_history(&mut self) {
        self.history_start = self.end_offset;
    }

    /// Whether each change since `base` is known.
    pub fn covers(&self, base: Base) -> bool {
        let era = |position| Position::unpack(position).era;
        match base {
            Base::Nothing | Base::Revision(0) | Base::Position(0) => false,
            Base::Revision(revision) => revision >= self.compacted.revision,
            Base::Position(known) => {
                self.restore.is_none()
                    && era(known) == era(self.end_offset)
                    && known >= self.history_start
                    && known >= self.compacted.position
            }
        }
    }

    /// Records a removal for [`Roster::changes_since`].
    pub(super) fn record_removal(&mut self, server: &Server) {
        self.revision += 1;
        self.removals.push(Removal {
            mark: Mark { revision: self.revision, position: self.end_offset },
            id: server.id.clone(),
            started_ms: server.record.started_ms,
            heartbeat_count: server.heartbeat_count,
        });
        if self.removals.len() > MAX_REMOVALS {
            let dropped = self.removals.drain(..MAX_REMOVALS / 2).next_back();
            self.compacted = dropped.map_or(self.compacted, |removal| removal.mark);
        }
    }
}
