//! Blames in heartbeats: which requests, and which parts of prompts, may have crashed a server.
//!
//! Both have the same form in a heartbeat, so that entries of a former build can read it. Those
//! take a blame of a part for one of a request that never comes.

use mgw_fleet::entry;
use mgw_route::poison::{Evidence, Part};
use mgw_route::quarantine;

/// Bit of the counter that marks the blame of a part. Counters of crashes do not reach it.
const PART_BIT: u64 = 1 << 63;

/// Bit of the counter that marks a blame of a request which an answer has refuted. A former build
/// takes it for a blame at whose crash the request was among others.
const REFUTED_BIT: u64 = 1 << 62;

/// Bit of the counter that a refuted blame carries in its place, as the lowest one would quarantine
/// the request at a former build.
const REFUTED_SUSPECT_BIT: u64 = 1 << 61;

/// Bit of the counter of a part's blame that states that the sender has quarantined the part. The
/// lowest bit stays 0, which means that no request ran as a suspect.
const CONCLUSIVE_BIT: u64 = 1 << 1;

/// Lowest bit of the part's position in the counter of its blame.
const POSITION_SHIFT: u32 = 2;

/// A blame in a heartbeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Blame {
    /// A request is blamed for a crash.
    Request(quarantine::Blame),
    /// An answer has refuted the blame of a request.
    Refuted(quarantine::Blame),
    /// A part of a prompt is blamed for a crash.
    Part {
        /// The crash.
        evidence: Evidence,
        /// Whether the sender has quarantined the part.
        is_conclusive: bool,
    },
}

/// The blame as a heartbeat carries it.
pub fn encode(blame: Blame) -> entry::Blame {
    match blame {
        Blame::Request(blame) => entry::Blame {
            fingerprint: blame.fingerprint,
            observer: blame.observer,
            counter: blame.counter,
        },
        Blame::Refuted(blame) => {
            let suspect = if blame.ran_as_suspect() { REFUTED_SUSPECT_BIT } else { 0 };
            entry::Blame {
                fingerprint: blame.fingerprint,
                observer: blame.observer,
                counter: REFUTED_BIT | suspect | blame.counter & !1,
            }
        }
        Blame::Part { evidence, is_conclusive } => {
            let conclusive = if is_conclusive { CONCLUSIVE_BIT } else { 0 };
            let position = u64::from(evidence.position) << POSITION_SHIFT;
            entry::Blame {
                fingerprint: u128::from(evidence.request) << 64 | u128::from(evidence.part.0),
                observer: evidence.server,
                counter: PART_BIT | position | conclusive,
            }
        }
    }
}

/// Reads a blame from a heartbeat.
pub fn decode(blame: &entry::Blame) -> Blame {
    let entry::Blame { fingerprint, observer, counter } = *blame;
    if counter & PART_BIT == 0 && counter & REFUTED_BIT != 0 {
        let suspect = u64::from(counter & REFUTED_SUSPECT_BIT != 0);
        let counter = counter & !(REFUTED_BIT | REFUTED_SUSPECT_BIT) | suspect;
        return Blame::Refuted(quarantine::Blame { fingerprint, observer, counter });
    }
    if counter & PART_BIT == 0 {
        return Blame::Request(quarantine::Blame { fingerprint, observer, counter });
    }
    let evidence = Evidence {
        part: Part(fingerprint as u64),
        request: (fingerprint >> 64) as u64,
        server: observer,
        position: (counter >> POSITION_SHIFT) as u8,
    };
    Blame::Part { evidence, is_conclusive: counter & CONCLUSIVE_BIT != 0 }
}
