//! Ceilings on the requests that a cold server gets in any second from all entries together.
//!
//! Reports of what was sent arrive too late to keep such a ceiling. So the requests that a server may
//! get in a [`WINDOW`] are allocated to the entries in advance: each entry computes its own quota from
//! the list of entries, which all of them know, and does not exceed it in any span of that length. The
//! quotas for a server add up to no more than its ceiling, whatever the entries hear of each other.
//!
//! A warm server has no ceiling, but may become cold before an entry learns of it. So there are quotas
//! for it too, and an entry exceeds its own by at most one request, and only while the server has few
//! requests.

use std::collections::VecDeque;
use std::time::Duration;

use mgw_base::time::Instant;

/// Span in which an entry sends no more than its quota: a second, and the resolution of the clocks.
pub const WINDOW: Duration = Duration::from_millis(1_050);

/// Part of a bound that is allocated. The rest is left for entries that do not know yet that another
/// one has come or gone.
const ALLOCATED_PART: f64 = 0.94;

/// Requests at a warm server, as a part of its bound, up to which an entry may exceed its quota.
const SPARE_PART: f64 = 0.5;

/// Requests by which it may then exceed the quota.
const SPARE_REQUESTS: u32 = 1;

/// Time for which an entry tells the others that a server is cold after it has read so in the list.
/// Each of them is told more than once in that time.
const TELL_TIME: Duration = Duration::from_millis(1_300);

/// Weight of an entry's own CPU share in the allocation, relative to the mean share of all entries. An
/// entry with a small share gets more than that, as it needs servers of each model.
const OWN_WEIGHT: f64 = 3.0;

/// Time after which a larger quota takes effect. By then, the entries whose quotas have become smaller
/// know it, and the requests of an entry's predecessor of the same name are over.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// Smallest part of its quota that an entry uses.
const MIN_QUOTA_PART: f64 = 0.001;

/// What a server of a service with a warm-up may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ceiling {
    /// Requests per second that a cold server bears.
    pub cold_rate: f64,
    /// Requests that it must not exceed in any second; at least `cold_rate`.
    pub bound: f64,
    /// Time for which a server is cold after its start.
    pub cold_time: Duration,
}

impl Ceiling {
    /// Number of requests that are allocated to all entries together.
    pub fn allocated(&self, is_cold: bool) -> u32 {
        let allocated = self.bound * ALLOCATED_PART;
        match is_cold {
            true => allocated.min(self.cold_rate).max(1.0) as u32,
            false => allocated.max(1.0) as u32,
        }
    }
}

/// An entry that gets quotas.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Member {
    /// Hash of its name.
    pub name: u64,
    /// CPU share in thousandths of a core.
    pub cores_milli: u32,
}

/// The allocation of the servers' ceilings to the entries.
#[derive(Clone, Debug, Default)]
pub struct Allocation {
    /// In the order of their names.
    members: Vec<Member>,
    /// Mean CPU share, in thousandths of a core.
    mean_cores: f64,
    /// Rises with each change of the members; 0 before the first one.
    revision: u64,
    /// When the members last changed.
    changed_at: Instant,
}

impl Allocation {
    /// Sets the entries that are known at `now`, in the order of their names.
    pub fn update(&mut self, members: Vec<Member>, now: Instant) {
        if self.members == members {
            return;
        }
        let total: f64 = members.iter().map(|it| f64::from(it.cores_milli)).sum();
        self.mean_cores = (total / members.len().max(1) as f64).max(1.0);
        self.members = members;
        self.revision += 1;
        self.changed_at = now;
    }

    /// Number that tells whether the entries have changed; 0 before they are known.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the entries have been the same for long enough that all of them know it.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.revision > 0 && now.since(self.changed_at) >= SETTLE_TIME
    }

    /// The quota of the entry `own` for the server with the hash `target`, of `total` requests.
    ///
    /// Each entry gets the integer part of its share. What remains goes, one request each, to the
    /// entries that come first in a random order, which differs from server to server. An entry with
    /// a larger fractional part is more likely to come first. If an entry comes or goes, few quotas
    /// change.
    pub fn quota(&self, target: u64, own: u64, total: u32) -> u32 {
        let Some(own) = self.members.iter().find(|it| it.name == own) else { return 0 };
        let weights: f64 = self.members.iter().map(|it| self.weight(it)).sum();
        let share = |it: &Member| f64::from(total) * self.weight(it) / weights;
        let whole: f64 = self.members.iter().map(|it| share(it).floor()).sum();
        let remaining = (f64::from(total) - whole).round() as usize;
        let rank = |it: &Member| rank(target, it.name, share(it).fract());
        let own_rank = rank(own);
        let before = self.members.iter().filter(|it| rank(it) < own_rank).count();
        share(own) as u32 + u32::from(before < remaining)
    }

    fn weight(&self, member: &Member) -> f64 {
        f64::from(member.cores_milli) * OWN_WEIGHT + self.mean_cores
    }
}

/// Place of an entry in the random order of a server; low values come first. It is exponentially
/// distributed with the rate `weight`, as in weighted rendezvous hashing.
fn rank(target: u64, name: u64, weight: f64) -> f64 {
    // The finalizer of SplitMix64.
    let mut bits = target ^ name.rotate_left(32);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^= bits >> 31;
    let uniform = ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -uniform.ln() / weight
}

/// A larger quota that does not take effect yet.
#[derive(Clone, Copy, Debug)]
struct PendingQuota {
    quota: u32,
    since: Instant,
}

/// What a quota was computed from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct QuotaBasis {
    /// Revision of the [`Allocation`].
    revision: u64,
    /// Number of requests that are allocated to all entries together.
    total: u32,
}

/// The quota of this entry for one server, and what it has sent of it.
#[derive(Clone, Debug)]
pub struct Window {
    ceiling: Ceiling,
    /// Until when the server is or may be cold.
    cold_until: Instant,
    /// When this entry last read in the list of servers that the server is cold.
    cold_read_at: Option<Instant>,
    /// Whether the server was said to be cold, and not yet found to be warm again.
    is_known_cold: bool,
    /// Requests that may be sent in a [`WINDOW`].
    quota: u32,
    pending: Option<PendingQuota>,
    /// What the newest quota was computed from; `None` before the first one.
    basis: Option<QuotaBasis>,
    /// Part of the quota that this entry uses, above 0 and up to 1.
    quota_part: f64,
    /// When the newest requests were sent, in the order of sending.
    sent: VecDeque<Instant>,
}

impl Window {
    /// The window of a server that is first listed at `now`, and may have just started.
    pub fn new(ceiling: Ceiling, now: Instant) -> Self {
        Self {
            ceiling,
            cold_until: now + ceiling.cold_time,
            cold_read_at: None,
            is_known_cold: false,
            quota: 0,
            pending: None,
            basis: None,
            quota_part: 1.0,
            sent: VecDeque::new(),
        }
    }

    /// Records that the server is cold until `until`, unless it is known to be so for longer.
    pub fn record_cold(&mut self, until: Instant) {
        self.cold_until = self.cold_until.max(until);
        self.is_known_cold = true;
    }

    /// Records that the server is cold until `until`, as this entry itself has read in the list of
    /// servers at `now`.
    pub fn record_cold_entry(&mut self, until: Instant, now: Instant) {
        self.record_cold(until);
        self.cold_read_at = Some(now);
    }

    /// The time for which the server stays cold, if this entry has to tell the others.
    pub fn cold_news(&self, now: Instant) -> Option<Duration> {
        let is_news = self.cold_read_at.is_some_and(|at| now.since(at) < TELL_TIME);
        (is_news && self.is_cold(now)).then(|| self.cold_until.since(now))
    }

    /// Whether the server is or may be cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Whether the server has become warm since the last call, after it was said to be cold. A server
    /// that was only just listed does not count.
    pub fn take_warmed(&mut self, now: Instant) -> bool {
        let is_warmed = self.is_known_cold && !self.is_cold(now);
        self.is_known_cold &= !is_warmed;
        is_warmed
    }

    /// Updates the quota of the entry `own` for the server with the hash `target`.
    pub fn update(
        &mut self,
        ceiling: Ceiling,
        allocation: &Allocation,
        own: u64,
        target: u64,
        now: Instant,
    ) {
        self.ceiling = ceiling;
        let total = ceiling.allocated(self.is_cold(now));
        let basis = QuotaBasis { revision: allocation.revision(), total };
        if self.basis.replace(basis) != Some(basis) {
            let quota = allocation.quota(target, own, total);
            let is_first = self.pending.is_none() && self.quota == 0 && self.sent.is_empty();
            match quota > self.quota {
                true if is_first && allocation.is_settled(now) => self.quota = quota,
                true => self.delay(quota, now),
                false => (self.quota, self.pending) = (quota, None),
            }
        }
        if let Some(pending) = self.pending
            && now.since(pending.since) >= SETTLE_TIME
        {
            (self.quota, self.pending) = (pending.quota, None);
        }
    }

    /// Lets a larger quota take effect after [`SETTLE_TIME`], which starts anew only if the quota
    /// exceeds the pending one.
    fn delay(&mut self, quota: u32, now: Instant) {
        let since = match self.pending {
            Some(pending) if pending.quota >= quota => pending.since,
            Some(_) | None => now,
        };
        self.pending = Some(PendingQuota { quota, since });
    }

    /// Sets the part of its quota that this entry uses, above 0 and up to 1. It is below 1 while the
    /// entry has lost contact to others, to which its quota may have been allocated since.
    pub fn set_quota_part(&mut self, part: f64) {
        self.quota_part = part.clamp(MIN_QUOTA_PART, 1.0);
    }

    /// Whether a request may be sent to the server, which has about `requests` requests of all
    /// entries.
    pub fn admits(&self, requests: f64, now: Instant) -> bool {
        let (quota, length) = self.limit();
        let has_room = !self.is_cold(now) && requests < self.ceiling.bound * SPARE_PART;
        let spare = if has_room { SPARE_REQUESTS } else { 0 };
        let is_recent = |at: &&Instant| now.since(**at) < length;
        let recent = self.sent.iter().rev().take_while(is_recent).count();
        recent < quota.saturating_add(spare) as usize
    }

    /// Number of requests that may be sent in a span, and the length of that span. If the part of the
    /// quota is not a whole number of requests, it is rounded down, but not to 0, and the span is
    /// longer in return.
    fn limit(&self) -> (u32, Duration) {
        let exact = f64::from(self.quota) * self.quota_part;
        let quota = (exact as u32).max(self.quota.min(1));
        let stretch = f64::from(quota) / exact.max(MIN_QUOTA_PART);
        (quota, WINDOW.mul_f64(stretch.max(1.0)))
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self, now: Instant) {
        // Older requests need not be kept: the newest ones fill the quota.
        if self.sent.len() >= self.quota.saturating_add(SPARE_REQUESTS) as usize {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}
