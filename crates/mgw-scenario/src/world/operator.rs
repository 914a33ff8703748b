//! Operators: publications and marks.

use mgw_entry::publish::{Error, Status};
use mgw_state::record::Mark;
use smol_str::SmolStr;

use super::entry::ProcessId;
use super::link::Party;
use super::{MILLISECOND, Micros, World};

/// Time between two questions how a publication stands.
const POLL_INTERVAL: Micros = 100 * MILLISECOND;

/// The version that a publication builds on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Base {
    /// The version in force at the entry that is asked.
    Current,
    /// This version.
    Version(u64),
}

/// How a publication ended for its operator.
#[derive(Clone, Debug, PartialEq)]
pub enum Result {
    /// It is in force as this version.
    InForce(u64),
    /// Another version came first.
    Superseded(u64),
    /// It was refused.
    Refused(String),
}

/// A publication.
#[derive(Clone, Debug)]
pub struct Publication {
    /// Its identifier.
    pub name: SmolStr,
    /// When the operator sent it.
    pub sent_at: Micros,
    /// The base that was sent.
    pub base: u64,
    /// How it ended; `None` while that is open.
    pub result: Option<Result>,
}

impl World {
    /// Publishes a sheet through an entry.
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

    /// All publications so far; the first is that of the start.
    pub fn publications(&self) -> &[Publication] {
        &self.publications
    }

    fn try_publish(&mut self, index: usize, entry: usize, base: Base, sheet: String) {
        let Some(process_id) = self.current_process(entry) else {
            self.publications[index].result = Some(Result::Refused("unreachable".into()));
            return;
        };
        // The first publication waits for the entry to serve.
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
        // Sends the append without waiting for the next tick.
        self.with_node(process_id, |node, now| node.tick(now));
        match result {
            None => {}
            Some((base, Ok(()))) => {
                self.publications[index].base = base;
                self.schedule_after(POLL_INTERVAL, move |world| {
                    world.ask_publication(process_id, index, base, sheet)
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

    fn ask_publication(&mut self, process_id: ProcessId, index: usize, base: u64, sheet: String) {
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
                    world.ask_publication(process_id, index, base, sheet)
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

    /// Sets a mark through an entry.
    pub fn mark(&mut self, entry: usize, party: Party, mark: Mark) {
        let Some(process_id) = self.current_process(entry) else { return };
        let (is_entry, name) = match party {
            Party::Entry(index) => (true, self.entries[index].name.clone()),
            Party::Engine(index) => (false, self.engines[index].name.clone()),
            Party::Server(index) => (false, self.servers[index].name.clone()),
            _ => return,
        };
        self.trace_text("world", format!("mark {name} {mark:?}"));
        self.with_node(process_id, |node, _| node.set_mark(is_entry, &name, mark));
    }

    /// Declares an entry gone through another one.
    pub fn declare_gone(&mut self, entry: usize, gone: usize) {
        let Some(process_id) = self.current_process(entry) else { return };
        let name = self.entries[gone].name.clone();
        self.trace_text("world", format!("declare {name} gone"));
        self.with_node(process_id, |node, _| node.declare_gone(&name));
    }
}
