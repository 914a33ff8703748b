//! The blames for crashes of servers that the entries exchange in their heartbeats, encoded by
//! [`crate::blame`].

use mgw_base::time::Instant;
use mgw_event::Kind as EventKind;
use mgw_event::event::Body;
use mgw_fleet::entry;
use mgw_route::poison::Part;

use crate::blame::{self, Blame};
use crate::gateway::State;

/// Maximum number of blames of requests in a heartbeat, and of parts of prompts; the newest ones
/// are kept.
const MAX_HEARTBEAT_BLAMES: usize = 32;

impl State {
    /// Adds the crashes that other entries blame on requests, or on parts of prompts, to the
    /// quarantine.
    pub fn merge_blames(&mut self, blames: &[entry::Blame], now: Instant) {
        for blame in blames {
            match blame::decode(blame) {
                Blame::Request(blame) => self.quarantine.merge(blame, now, now),
                Blame::Refuted(blame) => self.quarantine.refute(blame, now),
                Blame::Part { evidence, is_conclusive } => {
                    self.poison.merge(evidence, is_conclusive, now);
                }
            }
        }
        self.record_poison_changes();
    }

    /// Records events about parts of prompts that are quarantined from now on, or no longer.
    /// Returns whether there are any.
    pub fn record_poison_changes(&mut self) -> bool {
        let changes = self.poison.take_changes();
        for change in &changes {
            let kind = match change.is_quarantined {
                true => EventKind::PartQuarantined,
                false => EventKind::PartReleased,
            };
            let parts: Vec<String> = change.parts.iter().map(Part::to_string).collect();
            self.journal.record(Body::new(kind).text(parts.join(" ")));
        }
        !changes.is_empty()
    }

    /// The blames in this entry's heartbeats: of requests, then of parts of prompts.
    pub(super) fn all_blames(&self) -> Vec<entry::Blame> {
        let parts = self.poison.published(MAX_HEARTBEAT_BLAMES);
        let parts = parts
            .into_iter()
            .map(|(evidence, is_conclusive)| Blame::Part { evidence, is_conclusive });
        self.blames.iter().copied().chain(parts).map(blame::encode).collect()
    }

    /// Adds new blames of requests, or their refutations, to this entry's heartbeats, which carry
    /// them to the other entries.
    pub fn publish_blames<I>(&mut self, blames: I)
    where
        I: IntoIterator<Item = Blame>,
    {
        self.blames.extend(blames);
        let excess = self.blames.len().saturating_sub(MAX_HEARTBEAT_BLAMES);
        self.blames.drain(..excess);
    }
}
