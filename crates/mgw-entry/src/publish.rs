//! What operators ask for: publications, marks, entries that are gone.

use std::sync::Arc;

use mgw_sheet::parse::{self, Fault};
use mgw_sheet::sheet::Sheet;
use mgw_sheet::{Change, diff};
use mgw_state::record::{Mark, Offset, Record, Target};
use smol_str::SmolStr;

use crate::node::Node;
use crate::outbox::Purpose;

/// Why a publication is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// The sheet has faults.
    Sheet(Vec<Fault>),
    /// The publication builds on another version than the one in force.
    Base {
        /// The version in force.
        in_force: Offset,
        /// What the version in force has against the refused sheet.
        changed: Vec<Change>,
    },
    /// The log cannot be reached, or too many records wait. Nothing was appended.
    Log,
}

/// How a publication stands.
#[derive(Clone, Debug, PartialEq)]
pub enum Status {
    /// It is in force, or was followed by later ones.
    InForce(Offset),
    /// It waits, or the outcome of its append is not settled.
    Pending,
    /// It had no effect: another publication came first.
    Superseded {
        /// The version in force.
        in_force: Offset,
        /// What the version in force has against the refused sheet.
        changed: Vec<Change>,
    },
    /// Its append was refused; nothing was appended.
    Refused,
}

/// Longest publication id in bytes.
const MAX_PUBLICATION_ID_BYTES: usize = 256;

/// Versions that are remembered.
const MAX_HISTORY: usize = 32;

/// A version that came into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revision {
    /// Its version.
    pub version: Offset,
    /// Log time at which it came into force, in ms.
    pub at_ms: u64,
    /// The sheet as text.
    pub sheet: Arc<str>,
}

impl Node {
    /// Versions that this process saw come into force, ascending; the last one is in force.
    pub fn history(&self) -> &[Revision] {
        &self.history
    }

    /// Whether the history goes back to the first version.
    pub fn is_history_complete(&self) -> bool {
        self.history_complete
    }

    /// The recent publication that made a version.
    pub fn publication_of(&self, version: Offset) -> Option<&SmolStr> {
        self.reader.state().publication_of(version)
    }

    /// Remembers the version in force.
    pub(crate) fn record_revision(&mut self) {
        let (config, at_ms) = (self.reader.state().config(), self.reader.state().log_ms());
        if self.history.last().is_some_and(|revision| revision.version >= config.version) {
            return;
        }
        let revision =
            Revision { version: config.version, at_ms, sheet: config.text.as_str().into() };
        self.history.push(revision);
        let excess = self.history.len().saturating_sub(MAX_HISTORY);
        self.history_complete &= excess == 0;
        self.history.drain(..excess);
    }

    /// Checks a publication and queues it. A repeated publication changes nothing.
    pub fn publish(&mut self, publication: &str, base: Offset, sheet: &str) -> Result<(), Error> {
        let new = parse::parse(sheet).map_err(Error::Sheet)?;
        let state = self.reader.state();
        let purpose = Purpose::Publish(publication.into());
        if state.publication(publication).is_some() || self.outbox.contains(&purpose) {
            return Ok(());
        }
        let config = state.config();
        if config.version != base {
            let changed = changes_from(&new, config.sheet.as_deref());
            return Err(Error::Base { in_force: config.version, changed });
        }
        if self.read_state.is_failing()
            || publication.is_empty()
            || publication.len() > MAX_PUBLICATION_ID_BYTES
        {
            return Err(Error::Log);
        }
        let record =
            Record::Publish { publication: publication.to_owned(), base, sheet: sheet.to_owned() };
        match self.outbox.push(purpose, record) {
            true => Ok(()),
            false => Err(Error::Log),
        }
    }

    /// How a publication that was taken by [`Node::publish`] stands.
    pub fn publication_status(&self, publication: &str, base: Offset, sheet: &str) -> Status {
        let state = self.reader.state();
        let config = state.config();
        match state.publication(publication) {
            Some(version) => Status::InForce(version),
            None if self.outbox.contains(&Purpose::Publish(publication.into())) => Status::Pending,
            None if config.version != base => {
                let new = parse::parse(sheet).ok();
                let changed =
                    new.map(|new| changes_from(&new, config.sheet.as_deref())).unwrap_or_default();
                Status::Superseded { in_force: config.version, changed }
            }
            None => Status::Refused,
        }
    }

    /// Sets or clears an operator's mark. An entry is named by its name. Returns false if the
    /// entry is not known.
    pub fn set_mark(&mut self, entry: bool, name: &str, mark: Mark) -> bool {
        let target = match entry {
            false => Some(Target::Instance(name.to_owned())),
            true => self.entry_address(name).map(|address| Target::Entry(address.to_string())),
        };
        match target {
            Some(target) => self.outbox.push(Purpose::Mark, Record::Mark { target, mark }),
            None => false,
        }
    }

    /// Declares all incarnations of an entry gone, because an operator has made sure that its
    /// instance is terminated. Returns false if no living incarnation is known.
    pub fn declare_gone(&mut self, name: &str) -> bool {
        let live: Vec<u64> = self
            .reader
            .state()
            .entries()
            .filter(|(_, entry)| entry.name == name && entry.dead_ms.is_none())
            .map(|(incarnation, _)| incarnation)
            .collect();
        let known = !live.is_empty();
        for incarnation in live {
            self.outbox.push(Purpose::EntryGone, Record::EntryGone { incarnation });
        }
        known
    }

    fn entry_address(&self, name: &str) -> Option<SmolStr> {
        let state = self.reader.state();
        let found = state.entries().filter(|(_, entry)| entry.name == name);
        found.max_by_key(|(_, entry)| entry.joined).map(|(_, entry)| entry.address.clone())
    }
}

fn changes_from(refused: &Sheet, in_force: Option<&Sheet>) -> Vec<Change> {
    in_force.map(|in_force| diff(refused, in_force)).unwrap_or_default()
}
