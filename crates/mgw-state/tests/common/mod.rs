//! Shared test helpers: a compact notation for sheets, and a log that applies what is appended.
#![allow(dead_code)]

use mgw_sheet::sheet::{Instance, Model, Settings, Sheet};
use mgw_state::record::{Envelope, Member, Record, UniqueId};
use mgw_state::state::{Options, Outcome, State};

/// Parses a sheet in a compact notation of `w DOWNTIME LOADS`, `i NAME ZONE DOMAIN ACCELERATOR
/// FENCING` and `m NAME VERSION ACCELERATOR INSTANCES REPLICAS PRIORITY` lines.
pub fn parse(text: &str) -> Option<Sheet> {
    let settings = Settings { deployment: "test".into(), downtime_weight: 0, weight_loads: 8 };
    let mut sheet = Sheet::new(settings);
    for line in text.lines() {
        match line.split_whitespace().collect::<Vec<_>>()[..] {
            ["w", downtime, loads] => {
                sheet.settings.downtime_weight = downtime.parse().ok()?;
                sheet.settings.weight_loads = loads.parse().ok()?;
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

/// An in-memory log whose records are applied to a state as they are appended.
#[derive(Clone, Debug)]
pub struct Log {
    pub state: State,
    /// Offset of the next record.
    pub next: u64,
    /// Log time of the next record, in milliseconds.
    pub at_ms: u64,
    /// Sequence of the next append; all writers share the counter.
    pub sequence: u64,
}

impl Log {
    /// Creates a log whose first record was skipped, because several records are invalid at offset
    /// 0.
    pub fn new() -> Self {
        Self::with(Options::new(parse))
    }

    pub fn with(options: Options) -> Self {
        let mut state = State::new(options);
        state.skip(0);
        Self { state, next: 1, at_ms: 1_000, sequence: 1 }
    }

    /// Appends a record of `writer` and returns its offset and the outcome.
    pub fn append(&mut self, writer: u64, record: Record) -> (u64, Outcome) {
        let append_id = UniqueId { incarnation: writer, sequence: self.sequence };
        self.sequence += 1;
        let offset = self.next;
        self.next += 1;
        let outcome = self.state.apply(offset, self.at_ms, &Envelope { append_id, record });
        (offset, outcome)
    }

    /// Appends a record that must take effect and returns its offset.
    pub fn accept(&mut self, writer: u64, record: Record) -> u64 {
        let text = format!("{record:?}");
        let (offset, outcome) = self.append(writer, record);
        assert!(matches!(outcome, Outcome::Applied(_)), "{text}: {outcome:?}");
        offset
    }

    /// Publishes a sheet based on the version in force.
    pub fn publish(&mut self, sheet: &str) -> u64 {
        let base = self.state.config().version;
        let publication = format!("publication {}", self.next);
        self.accept(9, Record::Publish { publication, base, sheet: sheet.into() })
    }

    /// Adds an entry incarnation at an address.
    pub fn join(&mut self, incarnation: u64, address: &str) -> u64 {
        let entry = format!("entry-{incarnation}");
        let (address, zone) = (address.into(), "z1".into());
        self.accept(incarnation, Record::Join { entry, incarnation, address, zone })
    }

    /// Makes an incarnation the planner of the next term.
    pub fn lead(&mut self, incarnation: u64) -> u64 {
        let term = self.state.term().number + 1;
        self.accept(incarnation, Record::Lead { term, incarnation })
    }

    /// Returns a `Form` record of model `m` under the current term and version.
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

/// Returns a member with the boot identifier `b1`, which the tests use as the first boot.
pub fn member(name: &str) -> Member {
    Member { instance: name.into(), boot: "b1".into() }
}

/// Checks that the assignments of instances match the slots of groups, so that no instance belongs
/// to two groups.
pub fn check(state: &State) {
    let mut members = Vec::new();
    for (id, group) in state.groups() {
        for (rank, slot) in group.members.iter().enumerate().filter(|(_, slot)| !slot.vacant) {
            members.push(slot.instance.clone());
            let instance = state.instance(&slot.instance).expect("a member is known");
            let assignment = instance.assignment.expect("a member is assigned");
            assert_eq!((assignment.group, assignment.rank as usize), (id, rank));
            assert_eq!(instance.boot, slot.boot);
        }
    }
    members.sort();
    let assigned: Vec<_> = state
        .instances()
        .filter(|(_, instance)| instance.assignment.is_some())
        .map(|(name, _)| name.clone())
        .collect();
    assert_eq!(members, assigned);
}
