//! Links between the parties.

use smol_str::SmolStr;

use super::{MILLISECOND, Micros};

/// Somebody who sends or receives messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Party {
    /// An entry by its place.
    Entry(usize),
    /// A model engine by its place.
    Engine(usize),
    /// A booking server by its place.
    Server(usize),
    /// The callers of a zone.
    Caller(usize),
    /// The log service.
    Log,
    /// The instance list.
    List,
    /// The weight store.
    Store,
}

/// One side of a cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// One party.
    One(Party),
    /// Everything in a zone.
    Zone(usize),
    /// The model servers of a fabric domain.
    Domain(usize),
}

/// Delays and losses.
#[derive(Clone, Debug)]
pub struct Options {
    /// One-way delay within a zone.
    pub same_zone_delay: Micros,
    /// One-way delay between zones without an entry in `pairs`.
    pub cross_zone_delay: Micros,
    /// One-way delay between two zones.
    pub zone_pair_delays: Vec<(SmolStr, SmolStr, Micros)>,
    /// One-way delay to the log service, the instance list and the weight store.
    pub platform_delay: Micros,
    /// Uniform additional delay of up to this time.
    pub max_jitter: Micros,
    /// Probability that a message is lost and sent again by the transport.
    pub loss_probability: f64,
    /// Delay of a message that is sent again.
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

/// What is cut.
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
