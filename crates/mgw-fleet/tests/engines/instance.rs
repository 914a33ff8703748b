//! A simulated instance that follows the protocol of the model engines.

use std::collections::VecDeque;

use mgw_fleet::plan::{Command, Order, Reply};
use mgw_fleet::roster::{self, Phase, Record, Stage};
use smol_str::{SmolStr, format_smolstr};

/// Interval of writes to the server list in milliseconds.
const HEARTBEAT_INTERVAL_MS: u64 = 1_200;

/// Time without a write after which a list entry is removed, in milliseconds.
const ENTRY_TTL_MS: u64 = 3_600;

/// Time from an order to open until the head serves, in milliseconds. That a head breaks after the
/// loss of a member is not modelled: it continues to serve.
const OPEN_DELAY_MS: u64 = 300;

/// Time that an instance takes to load weights from the weight store, in milliseconds.
const COLD_LOAD_MS: u64 = 16_000;

/// Age of the state that a report shows, in milliseconds.
const REPORT_LAG_MS: u64 = 200;

/// The weights on the hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Weights {
    /// Each host always has those of all models.
    #[default]
    All,
    /// Each host keeps those of the model that was loaded last, and a new host has none.
    Newest,
}

/// Membership in a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    pub group: SmolStr,
    pub epoch: u64,
    pub members: Vec<SmolStr>,
    rank: usize,
    /// When the model is loaded.
    ready_at: u64,
    /// When the head starts to serve; `None` while it is closed.
    pub opens_at: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProcessState {
    Up,
    /// The process restarts at this time.
    Crashed(u64),
    /// The process no longer replies to anything.
    Hung,
}

/// A simulated instance. All times are in milliseconds of virtual time.
#[derive(Clone, Debug)]
pub struct Instance {
    id: SmolStr,
    /// Number of its fabric domain.
    pub domain: usize,
    pub membership: Option<Membership>,
    /// Until when its writes do not reach the store.
    pub partitioned_until: u64,
    /// Start time of the process.
    started_ms: u64,
    process: ProcessState,
    /// When draining started and when the process terminates.
    draining: Option<(u64, u64)>,
    /// Number of accepted orders.
    orders: u64,
    /// Newest term of an order; orders of earlier terms are fenced.
    newest_term: u64,
    /// Newest epoch of a group that it joined.
    newest_epoch: u64,
    model: Option<SmolStr>,
    weights: Weights,
    /// Models whose weights are on the host.
    pub staged: Vec<SmolStr>,
    /// The model that is being loaded onto the host, and when that is done.
    loading: Option<(SmolStr, u64)>,
    /// Memberships in which it became ready.
    ready_memberships: Vec<Membership>,
    /// Time and content of the newest write to the server list.
    last_write: Option<(u64, Record)>,
    /// Whether the server list may contain an entry of it.
    is_listed: bool,
    /// Recent states with their times and order counts, the oldest first.
    history: VecDeque<(u64, Record, u64)>,
    now: u64,
}

impl Instance {
    pub fn new(id: SmolStr, domain: usize, weights: Weights, now: u64) -> Self {
        let staged = match weights {
            Weights::All => vec!["large".into(), "small".into()],
            Weights::Newest => Vec::new(),
        };
        Self {
            id,
            domain,
            membership: None,
            partitioned_until: 0,
            started_ms: now,
            process: ProcessState::Up,
            draining: None,
            orders: 0,
            newest_term: 0,
            newest_epoch: 0,
            model: None,
            weights,
            staged,
            loading: None,
            ready_memberships: Vec::new(),
            last_write: None,
            is_listed: false,
            history: VecDeque::new(),
            now,
        }
    }

    pub fn is_up(&self) -> bool {
        self.process == ProcessState::Up
    }

    pub fn is_draining(&self) -> bool {
        self.draining.is_some()
    }

    /// Whether it accepts connections. A draining server stops listening after 2 s.
    pub fn listens(&self) -> bool {
        self.is_up() && self.draining.is_none_or(|(since, _)| self.now < since + 2_000)
    }

    /// Whether connections to it are refused instead of getting no reply.
    pub fn refuses(&self) -> bool {
        self.process != ProcessState::Hung && !self.listens()
    }

    /// Whether it is the head of a group that is open or opening.
    pub fn serves(&self) -> bool {
        self.membership.as_ref().is_some_and(|it| it.rank == 0 && it.opens_at.is_some())
    }

    /// Whether it became ready in the group of `membership` with the same members.
    pub fn was_ready(&self, membership: &Membership) -> bool {
        let is_same =
            |it: &Membership| it.epoch == membership.epoch && it.members == membership.members;
        self.ready_memberships.iter().any(is_same)
    }

    /// Crashes the process, which restarts after `span` milliseconds without a membership.
    pub fn crash(&mut self, now: u64, span: u64) {
        self.process = ProcessState::Crashed(now + span);
        self.membership = None;
    }

    /// Hangs the process forever.
    pub fn hang(&mut self) {
        self.process = ProcessState::Hung;
    }

    /// Starts to drain; the process terminates after `span` milliseconds.
    pub fn drain(&mut self, now: u64, span: u64) {
        self.draining = Some((now, now + span));
    }

    /// Whether it has ended for good and no longer affects the simulation.
    pub fn is_removable(&self, now: u64) -> bool {
        let is_terminated = self.draining.is_some_and(|(_, end)| now > end);
        let has_ended = self.process == ProcessState::Hung || is_terminated;
        has_ended
            && !self.is_listed
            && self.last_write.as_ref().is_none_or(|it| now > it.0 + 20_000)
    }

    /// Advances the instance to time `now`.
    pub fn advance(&mut self, now: u64) {
        self.now = now;
        match self.process {
            ProcessState::Crashed(back) if now >= back && self.draining.is_none() => {
                let known = self.last_write.take();
                *self = Self {
                    is_listed: self.is_listed,
                    last_write: known,
                    staged: std::mem::take(&mut self.staged),
                    ..Self::new(self.id.clone(), self.domain, self.weights, now)
                };
            }
            _ => {}
        }
        if self.draining.is_some_and(|(_, end)| now >= end) {
            self.process = ProcessState::Crashed(u64::MAX);
            self.membership = None;
        }
        if let Some((model, _)) = self.loading.take_if(|(_, done)| now >= *done) {
            self.staged = vec![model];
        }
        if let Some(membership) = &self.membership
            && now >= membership.ready_at
            && !self.was_ready(&membership.clone())
        {
            self.ready_memberships.push(membership.clone());
        }
        self.record_history();
    }

    /// Stores the current state and drops the states that no report shows any more.
    fn record_history(&mut self) {
        self.history.push_back((self.now, self.record(), self.orders));
        while self.history.front().is_some_and(|(at, _, _)| at + REPORT_LAG_MS < self.now) {
            self.history.pop_front();
        }
    }

    fn stage(&self, membership: &Membership) -> Stage {
        match membership.opens_at {
            _ if self.now < membership.ready_at => Stage::Joining,
            Some(at) if membership.rank == 0 && self.now >= at => Stage::Open,
            _ => Stage::Ready,
        }
    }

    fn record(&self) -> Record {
        let membership = self.membership.as_ref().map(|membership| roster::Membership {
            group: membership.group.clone(),
            epoch: membership.epoch,
            rank: membership.rank,
            stage: self.stage(membership),
        });
        Record {
            service: "engines".into(),
            address: "10.0.0.1:80".parse().expect("an address"),
            zone: "a".into(),
            phase: if self.is_draining() { Phase::Draining } else { Phase::Ready },
            slots: 17,
            started_ms: self.started_ms,
            engine: Some(roster::Engine {
                model: self.model.clone(),
                last_model: None,
                domain: format_smolstr!("d{}", self.domain),
                staged: self.staged.clone(),
                membership,
            }),
        }
    }

    /// Its reply to a probe: record and order count as of [`REPORT_LAG_MS`] ago.
    pub fn report(&self) -> (Record, u64) {
        let reported = self.history.iter().find(|(at, _, _)| at + REPORT_LAG_MS >= self.now);
        reported.map_or_else(|| (self.record(), self.orders), |(_, it, count)| (it.clone(), *count))
    }

    /// The change of the server list that is due, if any: its entry, or the removal (`Some(None)`).
    pub fn write(&mut self, now: u64) -> Option<Option<Record>> {
        let is_unreachable = !self.is_up() || now < self.partitioned_until;
        if is_unreachable {
            let is_expired = self.last_write.as_ref().is_some_and(|it| now > it.0 + ENTRY_TTL_MS);
            return (std::mem::take(&mut self.is_listed) && is_expired).then_some(None).or_else(
                || {
                    self.is_listed = self.last_write.is_some() && !is_expired;
                    None
                },
            );
        }
        let record = self.record();
        let is_due = self
            .last_write
            .as_ref()
            .is_none_or(|(at, known)| now >= at + HEARTBEAT_INTERVAL_MS || *known != record);
        if !is_due {
            return None;
        }
        self.is_listed = true;
        self.last_write = Some((now, record.clone()));
        Some(Some(record))
    }

    /// Carries out an order unless its term or precondition is outdated.
    pub fn order(&mut self, term: u64, command: &Command, now: u64) -> Reply {
        if term < self.newest_term {
            return Reply::Fenced;
        }
        self.newest_term = term;
        if command.precondition.is_some_and(|accepted| accepted != self.orders) {
            return Reply::Conflict;
        }
        let reply = self.carry_out(&command.order, now);
        if reply == Reply::Begun {
            self.orders += 1;
        }
        reply
    }

    fn carry_out(&mut self, order: &Order, now: u64) -> Reply {
        match order {
            Order::Join { group, epoch, model, members } => {
                let known = self.membership.as_ref().filter(|it| it.epoch == *epoch);
                match known {
                    Some(membership) if membership.members == *members => return Reply::Done,
                    Some(_) => return Reply::Fenced,
                    None if *epoch < self.newest_epoch => return Reply::Fenced,
                    None => {}
                }
                let Some(rank) = members.iter().position(|it| *it == self.id) else {
                    return Reply::Rejected;
                };
                let load_ms = match self.model.as_ref() == Some(model) {
                    true => 200,
                    false if self.staged.contains(model) => 1_500,
                    false => {
                        self.loading = Some((model.clone(), now + COLD_LOAD_MS));
                        COLD_LOAD_MS
                    }
                };
                self.newest_epoch = *epoch;
                self.model = Some(model.clone());
                self.membership = Some(Membership {
                    group: group.clone(),
                    epoch: *epoch,
                    members: members.clone(),
                    rank,
                    ready_at: now + load_ms,
                    opens_at: None,
                });
                Reply::Begun
            }
            Order::Open { epoch, .. } => match self.membership_in(*epoch) {
                Some(membership) if membership.opens_at.is_some() => Reply::Done,
                Some(membership) if membership.rank == 0 && now >= membership.ready_at => {
                    membership.opens_at = Some(now + OPEN_DELAY_MS);
                    Reply::Begun
                }
                _ => Reply::Conflict,
            },
            Order::Close { epoch, .. } => match self.membership_in(*epoch) {
                Some(membership) if membership.opens_at.is_some_and(|at| now >= at) => {
                    membership.opens_at = None;
                    Reply::Begun
                }
                Some(membership) if membership.opens_at.is_none() => Reply::Done,
                _ => Reply::Conflict,
            },
            Order::Leave { epoch, .. } => match self.membership_in(*epoch) {
                Some(_) => {
                    self.membership = None;
                    self.orders += 1;
                    Reply::Done
                }
                None => Reply::Done,
            },
            Order::Stage { model } if self.staged.contains(model) => Reply::Done,
            Order::Stage { .. } if self.loading.is_some() => Reply::Conflict,
            Order::Stage { model } => {
                self.loading = Some((model.clone(), now + COLD_LOAD_MS));
                Reply::Begun
            }
        }
    }

    /// The membership in the group of `epoch`.
    fn membership_in(&mut self, epoch: u64) -> Option<&mut Membership> {
        self.membership.as_mut().filter(|it| it.epoch == epoch)
    }
}
