//! Shared by the tests: a short form of sheets, and envelopes.
#![allow(dead_code)]

use mgw_sheet::sheet::{Instance, Model, Setting, Sheet};
use mgw_state::record::{Envelope, Member, Record, UniqueId};
use mgw_state::state::{Options, Outcome, State};

/// Parses `w DOWNTIME LOADS`, `i NAME ZONE DOMAIN ACCELERATOR FENCING` and
/// `m NAME VERSION ACCELERATOR INSTANCES REPLICAS PRIORITY` lines.
pub fn parse(text: &str) -> Option<Sheet> {
    let setting = Setting { deployment: "test".into(), downtime_weight: 0, weight_loads: 8 };
    let mut sheet = Sheet::new(setting);
    for line in text.lines() {
        match line.split_whitespace().collect::<Vec<_>>()[..] {
            ["w", downtime, loads] => {
                sheet.setting.downtime_weight = downtime.parse().ok()?;
                sheet.setting.weight_loads = loads.parse().ok()?;
            }
            ["i", name, zone, domain, accelerator, fencing] => sheet.instances.push(Instance {
                name: name.into(),
                zone: zone.into(),
                domain: domain.into(),
                accelerator: accelerator.into(),
                accelerators: 8,
                address: format!("{name}:1").into(),
                fencing: fencing == "yes",
            }),
            ["m", name, version, accelerator, instances, replicas, priority] => {
                sheet.models.push(Model {
                    name: name.into(),
                    version: version.into(),
                    accelerator: accelerator.into(),
                    instances: instances.parse().ok()?,
                    replicas: replicas.parse().ok()?,
                    priority: priority.parse().ok()?,
                });
            }
            _ => return None,
        }
    }
    sheet.instances.sort_by(|left, right| left.name.cmp(&right.name));
    sheet.models.sort_by(|left, right| left.name.cmp(&right.name));
    Some(sheet)
}

/// A state together with the end of its log.
#[derive(Clone, Debug)]
pub struct Log {
    pub state: State,
    pub next: u64,
    pub at_ms: u64,
    /// Sequence of the next append, common to all writers.
    pub sequence: u64,
}

impl Log {
    /// A log whose first record took no effect, so that no test depends on offset 0.
    pub fn new() -> Self {
        Self::with(Options::new(parse))
    }

    pub fn with(options: Options) -> Self {
        let mut state = State::new(options);
        state.skip(0);
        Self { state, next: 1, at_ms: 1_000, sequence: 1 }
    }

    /// Appends a record of `writer`; returns its offset and what became of it.
    pub fn append(&mut self, writer: u64, record: Record) -> (u64, Outcome) {
        let append_id = UniqueId { incarnation: writer, sequence: self.sequence };
        self.sequence += 1;
        let offset = self.next;
        self.next += 1;
        let outcome = self.state.apply(offset, self.at_ms, &Envelope { append_id, record });
        (offset, outcome)
    }

    /// Appends a record that must take effect; returns its offset.
    pub fn accept(&mut self, writer: u64, record: Record) -> u64 {
        let text = format!("{record:?}");
        let (offset, outcome) = self.append(writer, record);
        assert!(matches!(outcome, Outcome::Applied(_)), "{text}: {outcome:?}");
        offset
    }

    pub fn publish(&mut self, sheet: &str) -> u64 {
        let base = self.state.config().version;
        let publication = format!("publication {}", self.next);
        self.accept(9, Record::Publish { publication, base, sheet: sheet.into() })
    }

    pub fn join(&mut self, incarnation: u64, address: &str) -> u64 {
        let entry = format!("entry-{incarnation}");
        let (address, zone) = (address.into(), "z1".into());
        self.accept(incarnation, Record::Join { entry, incarnation, address, zone })
    }

    pub fn lead(&mut self, incarnation: u64) -> u64 {
        let term = self.state.term().number + 1;
        self.accept(incarnation, Record::Lead { term, incarnation })
    }

    /// A `Form` of model `m` under the current term and version.
    pub fn form(&self, members: &[&str], executor: u64) -> Record {
        Record::Form {
            term: self.state.term().number,
            base: self.state.config().version,
            model: "m".into(),
            version: "1".into(),
            members: members.iter().map(|name| member(name)).collect(),
            executor,
        }
    }
}

/// A member under its first boot.
pub fn member(name: &str) -> Member {
    Member { instance: name.into(), boot: "b1".into() }
}

/// Checks that assignments and seats agree: no instance belongs to two groups.
pub fn check(state: &State) {
    let mut seated = Vec::new();
    for (id, group) in state.groups() {
        for (rank, seat) in group.members.iter().enumerate().filter(|(_, seat)| !seat.vacant) {
            seated.push(seat.instance.clone());
            let instance = state.instance(&seat.instance).expect("a member is known");
            let assignment = instance.assignment.expect("a member is assigned");
            assert_eq!((assignment.group, assignment.rank as usize), (id, rank));
            assert_eq!(instance.boot, seat.boot);
        }
    }
    seated.sort();
    let assigned: Vec<_> = state
        .instances()
        .filter(|(_, instance)| instance.assignment.is_some())
        .map(|(name, _)| name.clone())
        .collect();
    assert_eq!(seated, assigned);
}
