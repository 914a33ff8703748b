//! Changes of the members, the serving entries and the planner, as readers send them to followers.
//!
//! A list of all members grows with their number and goes to a number of followers that grows as well.
//! When hundreds of entries start, each of them changes the list. So a reader sends the changes to
//! followers that announce with [`FIELD`] that they read them, and the list to the others.

use bincode::{Decode, Encode};
use bytes::{Bytes, BytesMut};
use mgw_base::sorted::Map;
use smol_str::SmolStr;

use crate::entry::{Leader, Member};
use crate::feed::{self, Error, Members};

/// Version of a message with [`Changes`].
const CHANGES_VERSION: u8 = 4;

/// Header field of a stream's request by which a follower announces that it reads [`Changes`].
/// Readers of a former build ignore it.
pub const FIELD: &str = "feed-member-changes";

/// The value of [`FIELD`].
pub const FIELD_VALUE: &str = "1";

/// Maximum number of removals that are kept; a follower that lacks more gets the whole list.
const MAX_REMOVALS: usize = 1_024;

/// Members that were added, changed or removed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Changes {
    /// Position up to which the reader has read the entries' topic.
    pub end_offset: u64,
    /// Whether `changed` lists all members, so that the follower drops every other one.
    pub is_whole: bool,
    /// Added and changed members.
    pub changed: Vec<Member>,
    /// Names of the removed members.
    pub gone: Vec<String>,
    /// The newest leader record with its position.
    pub leader: Option<(u64, Leader)>,
}

/// The members that a reader knows, with the revision of each change.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Increases with each change.
    revision: u64,
    /// The members, sorted by name.
    members: Members,
    /// Revision at which each member was last changed. It has the names of `members`.
    changed: Map<SmolStr, u64>,
    /// The newest removals in the order of their revisions.
    removals: Vec<(u64, SmolStr)>,
    /// Revision up to which removals are no longer kept.
    compacted: u64,
}

impl Log {
    /// Increases with each change; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The members.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Replaces the members by `newer`, which are sorted by name. Only entries and the planner
    /// count as changes.
    pub fn update(&mut self, newer: Members) {
        let known = &self.members;
        if (&known.entries, &known.leader) == (&newer.entries, &newer.leader) {
            return;
        }
        self.revision += 1;
        for member in &newer.entries {
            if find(&known.entries, &member.name) != Some(member) {
                self.changed.insert(member.name.as_str().into(), self.revision);
            }
        }
        for member in &known.entries {
            if find(&newer.entries, &member.name).is_none() {
                let name = SmolStr::from(&member.name);
                self.changed.remove(&name);
                self.removals.push((self.revision, name));
            }
        }
        self.members = newer;
        if let Some(excess) = self.removals.len().checked_sub(MAX_REMOVALS) {
            let dropped = self.removals.drain(..excess).next_back();
            self.compacted = dropped.map_or(self.compacted, |(revision, _)| revision);
        }
    }

    /// The changes after `revision`; all members if it is 0 or older than the kept removals.
    pub fn changes(&self, revision: u64) -> Changes {
        let is_whole = revision == 0 || revision < self.compacted;
        let is_news = |name: &str| {
            is_whole || self.changed.get(&name.into()).is_none_or(|changed| *changed > revision)
        };
        let is_gone = |name: &SmolStr| find(&self.members.entries, name).is_none();
        let removals = self.removals.iter().filter(|(at, _)| !is_whole && *at > revision);
        Changes {
            end_offset: self.members.end_offset,
            is_whole,
            changed: self.members.entries.iter().filter(|it| is_news(&it.name)).cloned().collect(),
            gone: removals
                .filter(|(_, name)| is_gone(name))
                .map(|(_, name)| name.to_string())
                .collect(),
            leader: self.members.leader.clone(),
        }
    }
}

/// The member called `name` among `entries`, which are sorted by name.
fn find<'a>(entries: &'a [Member], name: &str) -> Option<&'a Member> {
    let index = entries.binary_search_by(|it| it.name.as_str().cmp(name)).ok()?;
    entries.get(index)
}

/// A reader's members as its follower knows them.
#[derive(Clone, Debug, Default)]
pub struct Mirror {
    /// The members by name.
    entries: Map<String, Member>,
}

impl Mirror {
    /// Applies changes and returns all members.
    pub fn apply(&mut self, changes: Changes) -> Members {
        if changes.is_whole {
            self.entries = Map::default();
        }
        changes.gone.iter().for_each(|name| drop(self.entries.remove(name)));
        for member in changes.changed {
            self.entries.insert(member.name.clone(), member);
        }
        Members {
            end_offset: changes.end_offset,
            entries: self.entries.iter().map(|(_, member)| member.clone()).collect(),
            leader: changes.leader,
        }
    }
}

/// Encodes changes as a message of a stream.
///
/// # Errors
///
/// The message is too large, or the encoder fails.
pub fn encode(changes: &Changes) -> Result<Bytes, Error> {
    feed::encode_version(CHANGES_VERSION, changes)
}

/// Removes the next message from `input` if it has [`Changes`], and decodes it. Returns `None` if the
/// message is another one or incomplete.
///
/// # Errors
///
/// The message is too large or malformed.
pub fn decode(input: &mut BytesMut) -> Result<Option<Changes>, Error> {
    if feed::next_version(input) != Some(CHANGES_VERSION) {
        return Ok(None);
    }
    let Some((_, body)) = feed::take_message(input)? else { return Ok(None) };
    feed::decode_body(&body).map(Some)
}
