//! One instance, by the rules of the engines.

use std::collections::VecDeque;

use mgw_fleet::plan::{Command, Order, Reply};
use mgw_fleet::roster::{self, Phase, Record, Stage};
use smol_str::{SmolStr, format_smolstr};

/// Period of writes to the list in ms.
const PERIOD: u64 = 1_200;

/// Time without a write after which an entry is removed, in ms.
const EXPIRY: u64 = 3_600;

/// Time in which a head breaks after the loss of a member is not modelled: it serves on.
const FORM: u64 = 300;

/// Age of what a report shows, in ms.
const REPORT_LAG: u64 = 200;

/// A place in a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    pub group: SmolStr,
    pub epoch: u64,
    pub members: Vec<SmolStr>,
    rank: usize,
    /// When the weights are there.
    ready_at: u64,
    /// When the head serves; `None` while it is closed.
    pub opens_at: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Life {
    Up,
    /// Its process starts again at this time.
    Crashed(u64),
    /// It answers nothing any more.
    Silent,
}

#[derive(Clone, Debug)]
pub struct Instance {
    id: SmolStr,
    pub domain: usize,
    pub membership: Option<Membership>,
    pub cut_until: u64,
    started_ms: u64,
    life: Life,
    /// Since when it leaves, and when it ends.
    leaving: Option<(u64, u64)>,
    orders: u64,
    fence: u64,
    epoch: u64,
    model: Option<SmolStr>,
    /// Groups in which it was ready.
    was_ready: Vec<Membership>,
    /// The newest write: when, and what.
    written: Option<(u64, Record)>,
    is_listed: bool,
    /// Its state at the newest times, the oldest first.
    history: VecDeque<(u64, Record, u64)>,
    now: u64,
}

impl Instance {
    pub fn new(id: SmolStr, domain: usize, now: u64) -> Self {
        Self {
            id,
            domain,
            membership: None,
            cut_until: 0,
            started_ms: now,
            life: Life::Up,
            leaving: None,
            orders: 0,
            fence: 0,
            epoch: 0,
            model: None,
            was_ready: Vec::new(),
            written: None,
            is_listed: false,
            history: VecDeque::new(),
            now,
        }
    }

    pub fn is_up(&self) -> bool {
        self.life == Life::Up
    }

    pub fn is_leaving(&self) -> bool {
        self.leaving.is_some()
    }

    /// Whether it takes orders: a server that leaves stops to listen after a while.
    pub fn listens(&self) -> bool {
        self.is_up() && self.leaving.is_none_or(|(since, _)| self.now < since + 2_000)
    }

    pub fn refuses(&self) -> bool {
        self.life != Life::Silent && !self.listens()
    }

    /// Whether it is the head of a group that is open, is opening or finishes.
    pub fn serves(&self) -> bool {
        self.membership.as_ref().is_some_and(|it| it.rank == 0 && it.opens_at.is_some())
    }

    pub fn was_ready(&self, membership: &Membership) -> bool {
        let is_same =
            |it: &Membership| it.epoch == membership.epoch && it.members == membership.members;
        self.was_ready.iter().any(is_same)
    }

    pub fn crash(&mut self, now: u64, span: u64) {
        self.life = Life::Crashed(now + span);
        self.membership = None;
    }

    pub fn silence(&mut self) {
        self.life = Life::Silent;
    }

    pub fn leave(&mut self, now: u64, span: u64) {
        self.leaving = Some((now, now + span));
    }

    pub fn is_forgotten(&self, now: u64) -> bool {
        let has_left = self.leaving.is_some_and(|(_, end)| now > end);
        let is_gone = self.life == Life::Silent || has_left;
        is_gone && !self.is_listed && self.written.as_ref().is_none_or(|it| now > it.0 + 20_000)
    }

    pub fn pass(&mut self, now: u64) {
        self.now = now;
        match self.life {
            Life::Crashed(back) if now >= back && self.leaving.is_none() => {
                let known = self.written.take();
                *self = Self {
                    is_listed: self.is_listed,
                    written: known,
                    ..Self::new(self.id.clone(), self.domain, now)
                };
            }
            _ => {}
        }
        if self.leaving.is_some_and(|(_, end)| now >= end) {
            self.life = Life::Crashed(u64::MAX);
            self.membership = None;
        }
        if let Some(membership) = &self.membership
            && now >= membership.ready_at
            && !self.was_ready(&membership.clone())
        {
            self.was_ready.push(membership.clone());
        }
        self.remember();
    }

    fn remember(&mut self) {
        self.history.push_back((self.now, self.record(), self.orders));
        while self.history.front().is_some_and(|(at, _, _)| at + REPORT_LAG < self.now) {
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
            phase: if self.is_leaving() { Phase::Draining } else { Phase::Ready },
            slots: 17,
            started_ms: self.started_ms,
            engine: Some(roster::Engine {
                model: self.model.clone(),
                last_model: None,
                domain: format_smolstr!("d{}", self.domain),
                staged: vec!["large".into(), "small".into()],
                membership,
            }),
        }
    }

    /// What it says of itself when asked, and the number of its orders; as of a while ago.
    pub fn report(&self) -> (Record, u64) {
        let shown = self.history.iter().find(|(at, _, _)| at + REPORT_LAG >= self.now);
        shown.map_or_else(|| (self.record(), self.orders), |(_, it, count)| (it.clone(), *count))
    }

    /// What it writes to the list, if anything is due: its entry, or the removal.
    pub fn write(&mut self, now: u64) -> Option<Option<Record>> {
        let is_silent = !self.is_up() || now < self.cut_until;
        if is_silent {
            let is_expired = self.written.as_ref().is_some_and(|it| now > it.0 + EXPIRY);
            return (std::mem::take(&mut self.is_listed) && is_expired).then_some(None).or_else(
                || {
                    self.is_listed = self.written.is_some() && !is_expired;
                    None
                },
            );
        }
        let record = self.record();
        let is_due =
            self.written.as_ref().is_none_or(|(at, known)| now >= at + PERIOD || *known != record);
        if !is_due {
            return None;
        }
        self.is_listed = true;
        self.written = Some((now, record.clone()));
        Some(Some(record))
    }

    /// Carries out an order.
    pub fn order(&mut self, term: u64, command: &Command, now: u64) -> Reply {
        if term < self.fence {
            return Reply::Fenced;
        }
        self.fence = term;
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
                    None if *epoch < self.epoch => return Reply::Fenced,
                    None => {}
                }
                let Some(rank) = members.iter().position(|it| *it == self.id) else {
                    return Reply::Rejected;
                };
                let span = if self.model.as_ref() == Some(model) { 200 } else { 1_500 };
                self.epoch = *epoch;
                self.model = Some(model.clone());
                self.membership = Some(Membership {
                    group: group.clone(),
                    epoch: *epoch,
                    members: members.clone(),
                    rank,
                    ready_at: now + span,
                    opens_at: None,
                });
                Reply::Begun
            }
            Order::Open { epoch, .. } => match self.own(*epoch) {
                Some(membership) if membership.opens_at.is_some() => Reply::Done,
                Some(membership) if membership.rank == 0 && now >= membership.ready_at => {
                    membership.opens_at = Some(now + FORM);
                    Reply::Begun
                }
                _ => Reply::Conflict,
            },
            Order::Close { epoch, .. } => match self.own(*epoch) {
                Some(membership) if membership.opens_at.is_some_and(|at| now >= at) => {
                    membership.opens_at = None;
                    Reply::Begun
                }
                Some(membership) if membership.opens_at.is_none() => Reply::Done,
                _ => Reply::Conflict,
            },
            Order::Leave { epoch, .. } => match self.own(*epoch) {
                Some(_) => {
                    self.membership = None;
                    self.orders += 1;
                    Reply::Done
                }
                None => Reply::Done,
            },
            Order::Stage { .. } => Reply::Done,
        }
    }

    fn own(&mut self, epoch: u64) -> Option<&mut Membership> {
        self.membership.as_mut().filter(|it| it.epoch == epoch)
    }
}
