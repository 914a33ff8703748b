//! Parties of a run and the simulated network between them.

use smol_str::SmolStr;

use super::{MILLISECOND, Micros};

/// A sender or receiver of messages. The index refers to the matching list of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// An entry, by index.
    Entry(usize),
    /// A model engine, by index.
    Engine(usize),
    /// A booking server, by index.
    Server(usize),
    /// All callers in a zone, by zone index.
    Caller(usize),
    /// The log service.
    Log,
    /// The instance list.
    List,
    /// The weight store.
    Store,
}

/// One side of a network partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// A single party.
    One(Party),
    /// All parties in a zone, by zone index.
    Zone(usize),
    /// The model engines in a fabric domain, by domain index.
    Domain(usize),
}

/// Delays and losses of the network.
#[derive(Clone, Debug)]
pub struct Options {
    /// One-way delay within a zone.
    pub same_zone_delay: Micros,
    /// One-way delay between two zones that are not in `zone_pair_delays`.
    pub cross_zone_delay: Micros,
    /// One-way delay between two specific zones, for both directions.
    pub zone_pair_delays: Vec<(SmolStr, SmolStr, Micros)>,
    /// One-way delay to the log service, the instance list and the weight store.
    pub platform_delay: Micros,
    /// Upper bound of the uniformly distributed extra delay of each message.
    pub max_jitter: Micros,
    /// Probability that the transport loses a message and retransmits it.
    pub loss_probability: f64,
    /// Extra delay of a retransmitted message.
    pub resend_delay: Micros,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            same_zone_delay: 250,
            cross_zone_delay: 3 * MILLISECOND,
            zone_pair_delays: Vec::new(),
            platform_delay: 2 * MILLISECOND,
            max_jitter: MILLISECOND,
            loss_probability: 0.001,
            resend_delay: 200 * MILLISECOND,
        }
    }
}

impl Options {
    pub(crate) fn zone_pair_delay(&self, left: &SmolStr, right: &SmolStr) -> Micros {
        let found = self.zone_pair_delays.iter().find(|(one, other, _)| {
            (one == left && other == right) || (one == right && other == left)
        });
        found.map_or(self.cross_zone_delay, |(_, _, delay)| *delay)
    }
}

/// Network partitions in effect.
#[derive(Clone, Debug, Default)]
pub(crate) struct Link {
    pub(crate) partitions: Vec<(Side, Side)>,
    pub(crate) isolated: Vec<Side>,
}

impl Link {
    pub(crate) fn is_intact(&self) -> bool {
        self.partitions.is_empty() && self.isolated.is_empty()
    }
}
