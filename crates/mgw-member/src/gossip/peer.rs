//! Selection of the peers that get a frame.

use mgw_base::time::Instant;
use rand::seq::SliceRandom;
use smol_str::SmolStr;

use super::Gossip;
use crate::view::{Status, View};

impl Gossip {
    /// Arranges the entries in a ring by incarnation, and takes those at fixed fractions of the
    /// ring from this entry as its neighbours.
    ///
    /// All entries use the same fractions, so each entry is the neighbour of as many entries as it
    /// has neighbours. With neighbours drawn at random, some entries got half as many frames as
    /// others, and their group summaries were out of date more often.
    pub(super) fn update_neighbours(&mut self, view: &View, now: Instant) {
        let ring: Vec<u64> = view
            .iter(now)
            .filter(|(_, status)| *status != Status::Gone)
            .map(|(entry, _)| entry.heartbeat.incarnation)
            .collect();
        let own_position =
            ring.iter().position(|&entry| entry == view.own_incarnation()).unwrap_or(0);
        let others = ring.len().saturating_sub(1);
        let mut steps: Vec<usize> = Vec::new();
        if others <= self.options.max_neighbours {
            steps.extend(1..=others);
        }
        for number in 0..16 * self.options.max_neighbours as u64 {
            let fraction = u128::from(crate::hash_pair(number, 1));
            let step = 1 + ((fraction * others as u128) >> 64) as usize;
            if steps.len() < self.options.max_neighbours.min(others) && !steps.contains(&step) {
                steps.push(step);
            }
        }
        self.neighbours =
            steps.into_iter().map(|step| ring[(own_position + step) % ring.len()]).collect();
    }

    /// Chooses the addresses that get one frame. Each neighbour is chosen once before any is chosen
    /// again.
    ///
    /// If none of the chosen neighbours is live, fallback addresses are added. Otherwise, every
    /// [`Options::retry_rounds`](super::Options::retry_rounds) rounds, one fallback address
    /// replaces a neighbour.
    pub(super) fn choose_peers(&mut self, view: &View, now: Instant) -> Vec<SmolStr> {
        let mut chosen: Vec<u64> = Vec::new();
        let wanted = self.round_size.fanout.min(self.neighbours.len());
        while chosen.len() < wanted {
            if self.unchosen.is_empty() {
                self.unchosen = self.neighbours.clone();
                self.unchosen.shuffle(&mut self.random);
            }
            match self.unchosen.pop() {
                Some(peer) if chosen.contains(&peer) || !self.neighbours.contains(&peer) => {}
                Some(peer) => chosen.push(peer),
                None => break,
            }
        }
        let any_live = chosen.iter().any(|&peer| view.is_live(peer, now));
        let address = |peer| Some(SmolStr::new(&view.get(peer)?.heartbeat.peer_address));
        let mut peers: Vec<SmolStr> = chosen.into_iter().filter_map(address).collect();
        let fallback = self.fallback_addresses(view, now, &peers);
        if !any_live {
            // None of the chosen neighbours is live, but a fallback address may answer.
            peers.extend(fallback.into_iter().take(self.round_size.fanout));
        } else if let Some(peer) =
            fallback.first().filter(|_| self.rounds.is_multiple_of(self.options.retry_rounds))
        {
            // The two sides of a partition find each other again only if they keep sending frames
            // to entries that are gone.
            peers.pop();
            peers.push(peer.clone());
        }
        peers
    }

    /// Returns addresses that may answer again, in random order: those of entries that are gone but
    /// not replaced, and the seeds that no live or suspect entry has.
    fn fallback_addresses(
        &mut self,
        view: &View,
        now: Instant,
        except: &[SmolStr],
    ) -> Vec<SmolStr> {
        let mut addresses = self.options.seeds.clone();
        for (entry, status) in view.iter(now) {
            let address = entry.heartbeat.peer_address.as_str();
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
