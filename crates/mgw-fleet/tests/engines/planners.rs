//! An entry's view of the list and its planner.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_fleet::config::Config;
use mgw_fleet::plan::{self, Action, Command, Planner, ProbeResult, Reply, View};
use mgw_fleet::roster::{Record, Roster};
use smol_str::SmolStr;

use super::Written;

#[path = "../common/mod.rs"]
mod common;

/// Period of the planner in ms.
const TICK: u64 = 150;

/// Period of reads of the list in ms.
const READ: u64 = 400;

/// An entry.
pub struct Entry {
    pub lead_until: u64,
    roster: Roster,
    planner: Option<Planner>,
    config: Config,
    next: usize,
    read_at: u64,
    ticked_at: u64,
}

impl Default for Entry {
    fn default() -> Self {
        Self {
            lead_until: 0,
            roster: Roster::default(),
            planner: None,
            config: common::config(),
            next: 0,
            read_at: 0,
            ticked_at: 0,
        }
    }
}

impl Entry {
    pub fn lead(&mut self, term: u64, now: Instant) {
        self.planner = Some(Planner::new(term, now));
        self.lead_until = u64::MAX;
    }

    /// Reads the list and plans; returns orders with their term, and questions.
    pub fn step(&mut self, list: &[Written], now: u64) -> (Vec<(u64, Command)>, Vec<SmolStr>) {
        let at = Instant::from_millis(now);
        if now >= self.read_at + READ {
            self.read_at = now;
            self.roster.record_read(at);
            for written in &list[self.next.min(list.len())..] {
                match &written.record {
                    Some(record) => {
                        self.roster.upsert(&written.id, record.clone(), at);
                    }
                    None => self.roster.remove(&written.id, at),
                }
            }
            self.next = self.next.max(list.len());
            self.roster.tick(at);
        }
        if now >= self.lead_until {
            self.planner = None;
        }
        let Some(planner) = self.planner.as_mut().filter(|_| now >= self.ticked_at + TICK) else {
            return (Vec::new(), Vec::new());
        };
        self.ticked_at = now;
        let demand = Map::default();
        let view = View {
            roster: &self.roster,
            config: &self.config,
            demand: &demand,
            until_traffic: None::<Duration>,
            now: at,
        };
        let (mut orders, mut probes) = (Vec::new(), Vec::new());
        for action in planner.tick(&view) {
            match action {
                Action::Order(command) => orders.push((planner.term(), command)),
                Action::Probe(id) => probes.push(id),
            }
        }
        (orders, probes)
    }

    /// Takes an answer as the gateway does.
    pub fn answered(&mut self, term: u64, command: &Command, reply: Option<Reply>, now: Instant) {
        let planner = self.planner.as_mut().filter(|it| it.term() == term);
        let is_refused = matches!(reply, Some(Reply::Conflict | Reply::Fenced | Reply::Rejected));
        if let Some(planner) = planner.filter(|_| is_refused) {
            planner.order_refused(command);
        }
        plan::apply_reply(&mut self.roster, command, reply, now);
        if let Some(planner) = &mut self.planner {
            planner.probe_soon(&command.instance);
        }
    }

    pub fn probed(
        &mut self,
        id: &str,
        probe: ProbeResult,
        record: Option<(Record, u64)>,
        now: Instant,
    ) {
        if let Some((record, orders)) = record
            && let Some(engine) = record.engine
        {
            self.roster.apply_report(id, record.started_ms, engine, orders, now);
        }
        if let Some(planner) = &mut self.planner {
            planner.record_probe(id, probe, now);
        }
    }
}
