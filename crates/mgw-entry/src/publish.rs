//! What operators ask for: publications, marks, entries that are gone.

use std::sync::Arc;

use mgw_sheet::parse::{self, Fault};
use mgw_sheet::sheet::Sheet;
use mgw_sheet::{Change, diff};
use mgw_state::record::{Mark, Offset, Record, Target};
use smol_str::SmolStr;

use crate::node::Node;
use crate::outbox::Origin;

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
pub enum Standing {
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
const IDENTIFIER: usize = 256;

/// Versions that are remembered.
const HISTORY: usize = 32;

/// A version that came into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Past {
    /// Its version.
    pub version: Offset,
    /// Log time at which it came into force, in ms.
    pub at_ms: u64,
    /// The sheet as text.
    pub sheet: Arc<str>,
}

impl Node {
    /// Versions that this process saw come into force, ascending; the last one is in force.
    pub fn history(&self) -> &[Past] {
        &self.history
    }

    /// Whether the history goes back to the first version.
    pub fn is_history_whole(&self) -> bool {
        self.history_whole
    }

    /// The recent publication that made a version.
    pub fn publication_of(&self, version: Offset) -> Option<&SmolStr> {
        self.reader.state().publication_id(version)
    }

    /// Remembers the version in force.
    pub(crate) fn remember(&mut self) {
        let (config, at_ms) = (self.reader.state().config(), self.reader.state().log_ms());
        if self.history.last().is_some_and(|past| past.version >= config.version) {
            return;
        }
        let past = Past { version: config.version, at_ms, sheet: config.text.as_str().into() };
        self.history.push(past);
        let excess = self.history.len().saturating_sub(HISTORY);
        self.history_whole &= excess == 0;
        self.history.drain(..excess);
    }

    /// Checks a publication and queues it. A repeated publication changes nothing.
    pub fn publish(&mut self, publication: &str, base: Offset, sheet: &str) -> Result<(), Error> {
        let new = parse::parse(sheet).map_err(Error::Sheet)?;
        let state = self.reader.state();
        let origin = Origin::Publish(publication.into());
        if state.published_version(publication).is_some() || self.outbox.holds(&origin) {
            return Ok(());
        }
        let config = state.config();
        if config.version != base {
            let changed = changes(&new, config.sheet.as_deref());
            return Err(Error::Base { in_force: config.version, changed });
        }
        if self.reading.is_failing() || publication.is_empty() || publication.len() > IDENTIFIER {
            return Err(Error::Log);
        }
        let record =
            Record::Publish { publication: publication.to_owned(), base, sheet: sheet.to_owned() };
        match self.outbox.push(origin, record) {
            true => Ok(()),
            false => Err(Error::Log),
        }
    }

    /// How a publication that was taken by [`Node::publish`] stands.
    pub fn publication(&self, publication: &str, base: Offset, sheet: &str) -> Standing {
        let state = self.reader.state();
        let config = state.config();
        match state.published_version(publication) {
            Some(version) => Standing::InForce(version),
            None if self.outbox.holds(&Origin::Publish(publication.into())) => Standing::Pending,
            None if config.version != base => {
                let new = parse::parse(sheet).ok();
                let changed =
                    new.map(|new| changes(&new, config.sheet.as_deref())).unwrap_or_default();
                Standing::Superseded { in_force: config.version, changed }
            }
            None => Standing::Refused,
        }
    }

    /// Sets or clears an operator's mark. An entry is named by its name. Returns false if the
    /// entry is not known.
    pub fn mark(&mut self, entry: bool, name: &str, mark: Mark) -> bool {
        let target = match entry {
            false => Some(Target::Instance(name.to_owned())),
            true => self.entry_address(name).map(|address| Target::Entry(address.to_string())),
        };
        match target {
            Some(target) => self.outbox.push(Origin::Mark, Record::Mark { target, mark }),
            None => false,
        }
    }

    /// Declares all incarnations of an entry gone, because an operator has made sure that its
    /// instance is terminated. Returns false if no living incarnation is known.
    pub fn gone(&mut self, name: &str) -> bool {
        let living: Vec<u64> = self
            .reader
            .state()
            .entries()
            .filter(|(_, entry)| entry.name == name && entry.dead_ms.is_none())
            .map(|(incarnation, _)| incarnation)
            .collect();
        let known = !living.is_empty();
        for incarnation in living {
            self.outbox.push(Origin::Gone, Record::EntryGone { incarnation });
        }
        known
    }

    fn entry_address(&self, name: &str) -> Option<SmolStr> {
        let state = self.reader.state();
        let found = state.entries().filter(|(_, entry)| entry.name == name);
        found.max_by_key(|(_, entry)| entry.joined).map(|(_, entry)| entry.address.clone())
    }
}

fn changes(refused: &Sheet, in_force: Option<&Sheet>) -> Vec<Change> {
    in_force.map(|in_force| diff(refused, in_force)).unwrap_or_default()
}
