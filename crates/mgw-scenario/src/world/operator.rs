//! Operator actions: publishing sheets, setting marks and declaring entries gone.

use mgw_entry::publish::{Error, Status};
use mgw_state::record::Mark;
use smol_str::SmolStr;

use super::entry::ProcessId;
use super::link::Party;
use super::{MILLISECOND, Micros, World};

/// Interval between two status queries for a publication, and between attempts to send it to an
/// entry that is starting or paused.
const POLL_INTERVAL: Micros = 100 * MILLISECOND;

/// Base version of a publication.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// The version in force at the entry that receives the publication.
    Current,
    /// A fixed version.
    Version(u64),
}

/// Result of a publication as its operator sees it.
#[derive(Clone, Debug, PartialEq)]
pub enum Result {
    /// The sheet is in force under this version.
    InForce(u64),
    /// Another publication came first; the value is the version in force.
    Superseded(u64),
    /// The publication was refused, for this reason.
    Refused(String),
}

/// A publication of a sheet.
#[derive(Clone, Debug)]
pub struct Publication {
    /// Identifier that the operator chose.
    pub name: SmolStr,
    /// Time at which the operator sent it.
    pub sent_at: Micros,
    /// Base version that was sent to the entry; 0 until then.
    pub base: u64,
    /// Result; `None` while the publication is pending.
    pub result: Option<Result>,
}

impl World {
    /// Publishes a sheet through an entry and polls that entry until the result is known.
    pub fn publish(&mut self, name: &str, entry: usize, base: Base, sheet: String) {
        self.trace_text("world", format!("publish {name} through entry {entry}"));
        let index = self.publications.len();
        let at = self.now;
        self.publications.push(Publication {
            name: name.into(),
            sent_at: at,
            base: 0,
            result: None,
        });
        self.try_publish(index, entry, base, sheet);
    }

    /// Returns all publications in the order of sending; the first is the initial sheet.
    pub fn publications(&self) -> &[Publication] {
        &self.publications
    }

    fn try_publish(&mut self, index: usize, entry: usize, base: Base, sheet: String) {
        let Some(process_id) = self.current_process(entry) else {
            self.publications[index].result = Some(Result::Refused("unreachable".into()));
            return;
        };
        // An entry that starts or is paused cannot take the publication yet; try again later.
        let serves = self
            .process(process_id)
            .is_some_and(|it| it.node.phase() != mgw_wire::frame::Phase::Starting && !it.paused);
        if !serves {
            self.schedule_after(POLL_INTERVAL, move |world| {
                world.try_publish(index, entry, base, sheet)
            });
            return;
        }
        let name = self.publications[index].name.clone();
        let result = self.with_node(process_id, |node, _| {
            let base = match base {
                Base::Current => node.state().config().version,
                Base::Version(version) => version,
            };
            (base, node.publish(&name, base, &sheet))
        });
        // Ticks the node so that it sends the append now instead of at its next tick.
        self.with_node(process_id, |node, now| node.tick(now));
        match result {
            None => {}
            Some((base, Ok(()))) => {
                self.publications[index].base = base;
                self.schedule_after(POLL_INTERVAL, move |world| {
                    world.poll_publication(process_id, index, base, sheet)
                });
            }
            Some((base, Err(error))) => {
                self.publications[index].base = base;
                self.publications[index].result = Some(match error {
                    Error::Base { in_force, .. } => Result::Superseded(in_force),
                    Error::Sheet(faults) => Result::Refused(format!("{faults:?}")),
                    Error::Log => Result::Refused("log".into()),
                });
            }
        }
    }

    fn poll_publication(&mut self, process_id: ProcessId, index: usize, base: u64, sheet: String) {
        let name = self.publications[index].name.clone();
        let paused = self.process(process_id).is_some_and(|it| it.paused);
        let status = match self.process(process_id) {
            Some(process) if !paused => process.node.publication_status(&name, base, &sheet),
            Some(_) => Status::Pending,
            None => {
                self.publications[index].result = Some(Result::Refused("unreachable".into()));
                return;
            }
        };
        let result = match status {
            Status::Pending => {
                self.schedule_after(POLL_INTERVAL, move |world| {
                    world.poll_publication(process_id, index, base, sheet)
                });
                return;
            }
            Status::InForce(version) => Result::InForce(version),
            Status::Superseded { in_force, .. } => Result::Superseded(in_force),
            Status::Refused => Result::Refused("append".into()),
        };
        self.trace_text("world", format!("publication {name}: {result:?}"));
        self.publications[index].result = Some(result);
    }

    /// Sets the mark of an engine, a booking server or an entry through an entry.
    pub fn mark(&mut self, entry: usize, party: Party, mark: Mark) {
        let Some(process_id) = self.current_process(entry) else { return };
        let (is_entry, name) = match party {
            Party::Entry(index) => (true, self.entries[index].name.clone()),
            Party::Engine(index) => (false, self.engines[index].name.clone()),
            Party::Server(index) => (false, self.servers[index].name.clone()),
            _ => return,
        };
        self.trace_text("world", format!("set mark of {name} to {mark:?}"));
        self.with_node(process_id, |node, _| node.set_mark(is_entry, &name, mark));
    }

    /// Declares the entry `gone` as gone, through another entry.
    pub fn declare_gone(&mut self, entry: usize, gone: usize) {
        let Some(process_id) = self.current_process(entry) else { return };
        let name = self.entries[gone].name.clone();
        self.trace_text("world", format!("declare {name} gone"));
        self.with_node(process_id, |node, _| node.declare_gone(&name));
    }
}
