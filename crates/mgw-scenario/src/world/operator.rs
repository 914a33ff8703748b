//! Operators: publications and marks.

use mgw_entry::publish::{Error, Status};
use mgw_state::record::Mark;
use smol_str::SmolStr;

use super::entry::Ref;
use super::link::Party;
use super::{MILLISECOND, Micros, World};

/// Time between two questions how a publication stands.
const PERIOD: Micros = 100 * MILLISECOND;

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
        self.note("world", format!("publish {name} through entry {entry}"));
        let place = self.publications.len();
        let at = self.now;
        self.publications.push(Publication {
            name: name.into(),
            sent_at: at,
            base: 0,
            result: None,
        });
        self.try_publish(place, entry, base, sheet);
    }

    /// All publications so far; the first is that of the start.
    pub fn publications(&self) -> &[Publication] {
        &self.publications
    }

    fn try_publish(&mut self, place: usize, entry: usize, base: Base, sheet: String) {
        let Some(who) = self.running(entry) else {
            self.publications[place].result = Some(Result::Refused("unreachable".into()));
            return;
        };
        // The first publication waits for the entry to serve.
        let serves = self
            .process(who)
            .is_some_and(|it| it.node.phase() != mgw_wire::frame::Phase::Starting && !it.paused);
        if !serves {
            self.schedule_after(PERIOD, move |world| world.try_publish(place, entry, base, sheet));
            return;
        }
        let name = self.publications[place].name.clone();
        let result = self.drive(who, |node, _| {
            let base = match base {
                Base::Current => node.state().config().version,
                Base::Version(version) => version,
            };
            (base, node.publish(&name, base, &sheet))
        });
        // Sends the append without waiting for the next tick.
        self.drive(who, |node, now| node.tick(now));
        match result {
            None => {}
            Some((base, Ok(()))) => {
                self.publications[place].base = base;
                self.schedule_after(PERIOD, move |world| {
                    world.ask_publication(who, place, base, sheet)
                });
            }
            Some((base, Err(error))) => {
                self.publications[place].base = base;
                self.publications[place].result = Some(match error {
                    Error::Base { in_force, .. } => Result::Superseded(in_force),
                    Error::Sheet(faults) => Result::Refused(format!("{faults:?}")),
                    Error::Log => Result::Refused("log".into()),
                });
            }
        }
    }

    fn ask_publication(&mut self, who: Ref, place: usize, base: u64, sheet: String) {
        let name = self.publications[place].name.clone();
        let paused = self.process(who).is_some_and(|it| it.paused);
        let standing = match self.process(who) {
            Some(process) if !paused => process.node.publication_status(&name, base, &sheet),
            Some(_) => Status::Pending,
            None => {
                self.publications[place].result = Some(Result::Refused("unreachable".into()));
                return;
            }
        };
        let result = match standing {
            Status::Pending => {
                self.schedule_after(PERIOD, move |world| {
                    world.ask_publication(who, place, base, sheet)
                });
                return;
            }
            Status::InForce(version) => Result::InForce(version),
            Status::Superseded { in_force, .. } => Result::Superseded(in_force),
            Status::Refused => Result::Refused("append".into()),
        };
        self.note("world", format!("publication {name}: {result:?}"));
        self.publications[place].result = Some(result);
    }

    /// Sets a mark through an entry.
    pub fn mark(&mut self, entry: usize, party: Party, mark: Mark) {
        let Some(who) = self.running(entry) else { return };
        let (is_entry, name) = match party {
            Party::Entry(place) => (true, self.entries[place].name.clone()),
            Party::Engine(place) => (false, self.engines[place].name.clone()),
            Party::Server(place) => (false, self.servers[place].name.clone()),
            _ => return,
        };
        self.note("world", format!("mark {name} {mark:?}"));
        self.drive(who, |node, _| node.set_mark(is_entry, &name, mark));
    }

    /// Declares an entry gone through another one.
    pub fn declare_gone(&mut self, entry: usize, gone: usize) {
        let Some(who) = self.running(entry) else { return };
        let name = self.entries[gone].name.clone();
        self.note("world", format!("declare {name} gone"));
        self.drive(who, |node, _| node.declare_gone(&name));
    }
}
