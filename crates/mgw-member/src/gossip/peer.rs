//! Choice of the peers that get a frame.

use mgw_base::time::Instant;
use rand::seq::SliceRandom;
use smol_str::SmolStr;

use super::Gossip;
use crate::view::{Status, View};

impl Gossip {
    /// Places the entries on a ring, and takes those at fixed fractions of the ring as neighbours.
    ///
    /// All entries use the same fractions, so each is the neighbour of as many as it has. With
    /// neighbours drawn at random, some entries got half as many frames as others, and their
    /// knowledge of groups was out of date more often.
    pub(super) fn renew(&mut self, view: &View, now: Instant) {
        let ring: Vec<u64> = view
            .iter(now)
            .filter(|(_, status)| *status != Status::Gone)
            .map(|(entry, _)| entry.heartbeat.incarnation)
            .collect();
        let own = ring.iter().position(|&entry| entry == view.own_incarnation()).unwrap_or(0);
        let others = ring.len().saturating_sub(1);
        let mut steps: Vec<usize> = Vec::new();
        if others <= self.options.max_neighbours {
            steps.extend(1..=others);
        }
        for number in 0..16 * self.options.max_neighbours as u64 {
            let fraction = u128::from(crate::mix(number, 1));
            let step = 1 + ((fraction * others as u128) >> 64) as usize;
            if steps.len() < self.options.max_neighbours.min(others) && !steps.contains(&step) {
                steps.push(step);
            }
        }
        self.neighbours = steps.into_iter().map(|step| ring[(own + step) % ring.len()]).collect();
    }

    /// Chooses the peers of one frame: each neighbour once before any is chosen again.
    pub(super) fn choose(&mut self, view: &View, now: Instant) -> Vec<SmolStr> {
        let mut chosen: Vec<u64> = Vec::new();
        let wanted = self.shape.fanout.min(self.neighbours.len());
        while chosen.len() < wanted {
            if self.pass.is_empty() {
                self.pass = self.neighbours.clone();
                self.pass.shuffle(&mut self.random);
            }
            match self.pass.pop() {
                Some(peer) if chosen.contains(&peer) || !self.neighbours.contains(&peer) => {}
                Some(peer) => chosen.push(peer),
                None => break,
            }
        }
        let live = chosen.iter().any(|&peer| view.is_live(peer, now));
        let address = |peer| Some(SmolStr::new(&view.get(peer)?.heartbeat.peers));
        let mut peers: Vec<SmolStr> = chosen.into_iter().filter_map(address).collect();
        let fallback = self.fallback(view, now, &peers);
        if !live {
            // No neighbour answers: the seeds may.
            peers.extend(fallback.into_iter().take(self.shape.fanout));
        } else if let Some(peer) =
            fallback.first().filter(|_| self.rounds.is_multiple_of(self.options.retry_rounds))
        {
            // Two sides of a partition find each other again only if they keep trying.
            peers.pop();
            peers.push(peer.clone());
        }
        peers
    }

    /// Addresses that may answer again: of entries that are gone but not replaced, and seeds that no live entry has, in
    /// random order.
    fn fallback(&mut self, view: &View, now: Instant, except: &[SmolStr]) -> Vec<SmolStr> {
        let mut addresses = self.options.seeds.clone();
        for (entry, status) in view.iter(now) {
            let address = entry.heartbeat.peers.as_str();
            match status {
                Status::Gone if !entry.replaced => addresses.push(SmolStr::new(address)),
                Status::Gone => {}
                Status::Live | Status::Suspect => addresses.retain(|seed| seed != address),
            }
        }
        addresses.retain(|address| !except.contains(address));
        addresses.sort_unstable();
        addresses.dedup();
        addresses.shuffle(&mut self.random);
        addresses
    }
}
