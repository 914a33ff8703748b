//! The crashes that are evidence against one part.

use mgw_base::time::Instant;

use super::Evidence;

/// Maximum number of crashes that are stored per part.
pub(super) const MAX_EVIDENCE: usize = 16;

/// A crash that is evidence against a part.
#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub(super) evidence: Evidence,
    /// When it became known to this entry.
    pub(super) at: Instant,
    pub(super) is_own: bool,
    /// Whether a request with the part was answered later. A cleared crash is kept so that a late
    /// copy of it is recognized.
    pub(super) is_cleared: bool,
}

/// What is known of one part.
#[derive(Clone, Debug, Default)]
pub(super) struct Record {
    /// At most [`MAX_EVIDENCE`], each with a different pair of request and server.
    pub(super) crashes: Vec<Crash>,
    /// Whether a peer has told that the part is quarantined.
    pub(super) is_told: bool,
    /// Until when the newest answer is told to the peers.
    pub(super) announced_until: Option<Instant>,
}

impl Record {
    pub(super) fn uncleared(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.iter().filter(|crash| !crash.is_cleared)
    }

    pub(super) fn last_crash(&self) -> Instant {
        self.crashes.iter().map(|crash| crash.at).max().unwrap_or_default()
    }

    /// Whether this crash is known and not cleared.
    pub(super) fn holds(&self, evidence: &Evidence) -> bool {
        self.uncleared().any(|crash| crash.evidence == *evidence)
    }
}
