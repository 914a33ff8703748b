//! Requests of operators: publications of sheets, marks, and entries that are gone.

use std::sync::Arc;

use mgw_sheet::parse::{self, Fault};
use mgw_sheet::sheet::Sheet;
use mgw_sheet::{Change, diff};
use mgw_state::record::{Mark, Offset, Record, Target};
use smol_str::SmolStr;

use crate::node::Node;
use crate::outbox::Purpose;

/// The reason for which a publication is refused.
#[derive(Clone, Debug, PartialEq)]
pub enum Error {
    /// The sheet is not valid.
    Sheet(Vec<Fault>),
    /// The publication is based on another version than the one in force.
    Base {
        /// The version in force.
        in_force: Offset,
        /// Differences from the refused sheet to the version in force.
        changed: Vec<Change>,
    },
    /// The log cannot be reached, the queue of records is full, or the publication id is empty or
    /// too long. Nothing was appended.
    Log,
}

/// The status of a publication.
#[derive(Clone, Debug, PartialEq)]
pub enum Status {
    /// It came into force as this version. Later publications may have replaced it.
    InForce(Offset),
    /// Its record is queued, or the outcome of the append is not settled.
    Pending,
    /// It had no effect, because another publication on the same base came first.
    Superseded {
        /// The version in force.
        in_force: Offset,
        /// Differences from the refused sheet to the version in force.
        changed: Vec<Change>,
    },
    /// The log service refused the append, so nothing was appended.
    Refused,
}

/// Maximum length of a publication id in bytes.
const MAX_PUBLICATION_ID_BYTES: usize = 256;

/// Maximum number of revisions in the history.
const MAX_HISTORY: usize = 32;

/// A version of the configuration that came into force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Revision {
    /// Version number, which is the log offset of the publication.
    pub version: Offset,
    /// Time at which it came into force in ms, by the clock of the log service.
    pub at_ms: u64,
    /// The published sheet as text.
    pub sheet: Arc<str>,
}

impl Node {
    /// The newest revisions that came into force while this process read the log, ascending by
    /// version. The last one is in force.
    pub fn history(&self) -> &[Revision] {
        &self.history
    }

    /// Whether the history goes back to the first version. It does not after a snapshot was
    /// restored or old revisions were dropped.
    pub fn is_history_complete(&self) -> bool {
        self.history_complete
    }

    /// The id of the publication that created a version; `None` if it is no longer known.
    pub fn publication_of(&self, version: Offset) -> Option<&SmolStr> {
        self.reader.state().publication_id(version)
    }

    /// Adds the version in force to the history.
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

    /// Validates a publication and queues it. Has no effect if a publication with the same id is
    /// queued or in force.
    pub fn publish(&mut self, publication: &str, base: Offset, sheet: &str) -> Result<(), Error> {
        let new = parse::parse(sheet).map_err(Error::Sheet)?;
        let state = self.reader.state();
        let purpose = Purpose::Publish(publication.into());
        if state.published_version(publication).is_some() || self.outbox.contains(&purpose) {
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

    /// The status of a publication that [`Node::publish`] accepted.
    pub fn publication_status(&self, publication: &str, base: Offset, sheet: &str) -> Status {
        let state = self.reader.state();
        let config = state.config();
        match state.published_version(publication) {
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

    /// Sets or clears an operator's mark on an instance or, if `entry` is true, on an entry.
    /// Returns false if no entry of that name is known or the queue of records is full.
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

    /// Declares all incarnations of an entry gone. The operator must have made sure that its
    /// instance is terminated. Returns false if no incarnation is known that has not ended.
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

    /// The peers address of the incarnation of this name that joined last.
    fn entry_address(&self, name: &str) -> Option<SmolStr> {
        let state = self.reader.state();
        let found = state.entries().filter(|(_, entry)| entry.name == name);
        found.max_by_key(|(_, entry)| entry.joined).map(|(_, entry)| entry.address.clone())
    }
}

/// Differences from a refused sheet to the one in force.
fn changes_from(refused: &Sheet, in_force: Option<&Sheet>) -> Vec<Change> {
    in_force.map(|in_force| diff(refused, in_force)).unwrap_or_default()
}
