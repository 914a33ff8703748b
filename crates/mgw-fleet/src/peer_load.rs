//! What entries tell each other of their requests at shared targets.
//!
//! A target is used by all entries, and its own report is as old as its last answer. Each entry
//! therefore sends the others its counts several times a second, as datagrams: the newest one
//! replaces all earlier ones, so a lost one does no harm.

use std::time::Duration;

use bincode::{Decode, Encode};
use mgw_base::hash;
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

/// Version byte of the encoding.
const VERSION: u8 = 2;

/// Largest datagram in bytes.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Time after which an entry's counts no longer count.
const STALE: Duration = Duration::from_millis(800);

/// Silence after which an entry that told its counts each 100 ms counts as lost.
const LOST: Duration = Duration::from_millis(1_000);

/// Rounds in which a planner says that it does not plan before another entry takes the role.
const IDLE_ROUNDS: u32 = 3;

/// Age of counts that show that their sender lives.
const FRESH: Duration = Duration::from_millis(400);

/// Other entries that must be heard before one counts as lost.
const OTHERS: usize = 2;

/// Time after which an entry that ended is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(60);

/// The most entries that a round is sent to; more entries see each other's counts in turn.
pub const FAN_OUT: usize = 24;

/// Hash of a target's id.
pub fn target_hash(id: &str) -> u64 {
    hash::parts(&[id.as_bytes()]) as u64
}

/// The counts of one entry.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Report {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Ascends with each round.
    pub sequence: u64,
    /// Requests in flight by target; targets without any are left out.
    pub in_flight: Vec<(u64, u16)>,
    /// Targets that stand still.
    pub stalled: Vec<u64>,
    /// Set if the sender plans.
    pub planner: Option<PlannerStatus>,
}

/// What a planner tells of itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PlannerStatus {
    /// Its term.
    pub term: u64,
    /// The number of groups that it opened or closed, so that the others read the servers' entries
    /// at once.
    pub group_changes: u64,
    /// Whether it cannot read the store, so that another entry should plan.
    pub has_stale_view: bool,
}

/// The bytes of a datagram.
///
/// # Errors
///
/// The encoder fails.
pub fn encode(share: &Report) -> Result<Vec<u8>, bincode::error::EncodeError> {
    let mut bytes = vec![VERSION];
    bytes.extend(bincode::encode_to_vec(share, bincode::config::standard())?);
    Ok(bytes)
}

/// The counts in a datagram; `None` if it is malformed or of another version.
pub fn decode(bytes: &[u8]) -> Option<Report> {
    let (version, rest) = bytes.split_first()?;
    let config = bincode::config::standard().with_limit::<MAX_DATAGRAM_BYTES>();
    let (share, size) = bincode::decode_from_slice(rest, config).ok()?;
    (*version == VERSION && size == rest.len()).then_some(share)
}

#[derive(Clone, Debug)]
struct Peer {
    share: Report,
    at: Instant,
    /// Rounds since it last said that it plans with a view of the store; 0 if it never did.
    idle_rounds: u32,
}

/// The newest counts of the other entries.
#[derive(Clone, Debug, Default)]
pub struct Table {
    peers: Map<u64, Peer>,
    /// Sums over the peers, sorted by target.
    sums: Vec<(u64, u32)>,
    /// When each entry was last heard, also after its counts were forgotten.
    heard: Map<u64, Instant>,
}

impl Table {
    /// Takes a datagram; an older one than is known changes nothing.
    pub fn apply(&mut self, share: Report, now: Instant) {
        let is_older =
            self.peers.get(&share.sender).is_some_and(|it| it.share.sequence >= share.sequence);
        if !is_older {
            self.heard.insert(share.sender, now);
            let known = self.peers.get(&share.sender);
            let has_planned =
                known.is_some_and(|it| it.share.planner.is_some() || it.idle_rounds > 0);
            let idle_rounds = match share.planner {
                Some(planning) if !planning.has_stale_view => 0,
                None if !has_planned => 0,
                Some(_) | None => known.map_or(0, |it| it.idle_rounds) + 1,
            };
            self.peers.insert(share.sender, Peer { share, at: now, idle_rounds });
            self.sum();
        }
    }

    /// Forgets entries that are silent.
    pub fn expire(&mut self, now: Instant) {
        self.heard.retain(|_, at| now.since(*at) < FORGOTTEN);
        let before = self.peers.len();
        self.peers.retain(|_, peer| now.since(peer.at) < STALE);
        if self.peers.len() != before {
            self.sum();
        }
    }

    /// Whether the planner with this incarnation says that it does not plan or is blind, or is silent while
    /// others go on. Then it is more likely that it has ended than that this process hears nobody.
    pub fn is_planner_lost(&self, sender: u64, now: Instant) -> bool {
        let silence = |peer: &Peer| now.since(peer.at);
        let is_silent = self.heard.get(&sender).is_some_and(|at| now.since(*at) > LOST);
        let is_idle = self.peers.get(&sender).is_some_and(|peer| peer.idle_rounds >= IDLE_ROUNDS);
        let others = self.peers.iter().filter(|(id, peer)| **id != sender && silence(peer) < FRESH);
        is_idle || (is_silent && others.count() >= OTHERS)
    }

    /// The number of entries whose counts are known.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether no entry's counts are known.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Requests of the other entries at a target.
    pub fn requests(&self, target: u64) -> u32 {
        let place = self.sums.binary_search_by_key(&target, |(id, _)| *id);
        place.map_or(0, |place| self.sums[place].1)
    }

    fn sum(&mut self) {
        let mut sums: Map<u64, u32> = Map::default();
        for (_, peer) in self.peers.iter() {
            for (target, count) in &peer.share.in_flight {
                *sums.entry(*target, || 0) += u32::from(*count);
            }
        }
        self.sums = sums.iter().map(|(target, count)| (*target, *count)).collect();
    }
}

/// The address for datagrams of an entry with the given address for callers.
pub fn datagram_address(callers: &str, port: u16) -> Option<SmolStr> {
    let (ip, _) = callers.rsplit_once(':')?;
    Some(SmolStr::from(format!("{ip}:{port}")))
}
