//! Fake platform services: the instance list and the weight store.

use std::collections::VecDeque;

use mgw_entry::input::Input;
use mgw_report::report::{self, Kind, Status, WeightStore};

use super::entry::ProcessId;
use super::link::Party;
use super::{MILLISECOND, Micros, SECOND, World};

/// Timing of the platform services.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Time until a change of an instance is visible in the list.
    pub list_lag: Micros,
    /// Time to load a model's weights from the weight store.
    pub load_time: Micros,
}

impl Default for Options {
    fn default() -> Self {
        Self { list_lag: 2 * SECOND, load_time: 20 * SECOND }
    }
}

/// Status of an instance in the instance list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listed {
    /// The instance is not in the list.
    Absent,
    /// The instance is listed as live.
    Live,
    /// The instance is listed as leaving.
    Leaving,
}

/// State of the fake instance list.
#[derive(Debug)]
pub(crate) struct List {
    options: Options,
    /// Changes that are not visible yet, each with the time at which it becomes visible.
    pending: VecDeque<(Micros, Vec<report::Instance>)>,
    shown: Vec<report::Instance>,
    /// Time at which the list was frozen; `None` while it follows changes.
    frozen_since: Option<Micros>,
    down: bool,
}

impl List {
    pub(crate) fn new(options: Options) -> Self {
        Self {
            options,
            pending: VecDeque::new(),
            shown: Vec::new(),
            frozen_since: None,
            down: false,
        }
    }

    /// Makes the changes due at `now` visible. At time zero, all pending changes become visible.
    pub(crate) fn apply_changes(&mut self, now: Micros) {
        if self.frozen_since.is_some() {
            return;
        }
        while let Some((at, _)) = self.pending.front()
            && (*at <= now || now == 0)
        {
            if let Some((_, instances)) = self.pending.pop_front() {
                self.shown = instances;
            }
        }
    }
}

/// State of the fake weight store.
#[derive(Debug)]
pub(crate) struct Store {
    pub(crate) limit: u32,
    pub(crate) active: u32,
    pub(crate) queue: VecDeque<(usize, u64)>,
    pub(crate) down: bool,
    /// Factor by which loads take longer.
    pub(crate) slowdown: u64,
}

impl Store {
    pub(crate) fn new(limit: u32) -> Self {
        Self { limit, active: 0, queue: VecDeque::new(), down: false, slowdown: 1 }
    }
}

impl World {
    /// Freezes the instance list at its visible state, or lets it follow changes again.
    pub fn set_list_frozen(&mut self, stale: bool) {
        self.trace_text("world", format!("instance list frozen: {stale}"));
        self.list.frozen_since = stale.then_some(self.now);
        self.apply_list_changes();
    }

    /// Makes the instance list fail every request, or answer again.
    pub fn set_list_down(&mut self, down: bool) {
        self.trace_text("world", format!("instance list down: {down}"));
        self.list.down = down;
    }

    /// Takes the weight store down or up. Loads that start from now on take `slow` times as long.
    pub fn set_store(&mut self, down: bool, slow: u64) {
        self.trace_text("world", format!("weight store down: {down}, load time factor: {slow}"));
        self.store.down = down;
        self.store.slowdown = slow.max(1);
        self.load_next();
    }

    /// Schedules the current status of all instances to become visible in the list.
    pub(crate) fn update_list(&mut self) {
        let mut instances = Vec::new();
        for engine in &self.engines {
            if let Some(status) = status(engine.listed) {
                instances.push(report::Instance {
                    name: engine.name.clone(),
                    kind: Kind::Server,
                    address: engine.address.clone(),
                    zone: self.zones[engine.zone].clone(),
                    domain: self.domains[engine.domain].clone(),
                    status,
                    boot: engine.boot.clone(),
                });
            }
        }
        for server in &self.servers {
            if let Some(status) = status(server.listed) {
                instances.push(report::Instance {
                    name: server.name.clone(),
                    kind: Kind::Server,
                    address: server.address.clone(),
                    zone: self.zones[server.zone].clone(),
                    domain: "".into(),
                    status,
                    boot: server.boot.clone(),
                });
            }
        }
        for entry in &self.entries {
            if let Some(status) = status(entry.listed) {
                instances.push(report::Instance {
                    name: entry.name.clone(),
                    kind: Kind::Entry,
                    address: entry.peer_address.clone(),
                    zone: self.zones[entry.zone].clone(),
                    domain: "".into(),
                    status,
                    boot: "".into(),
                });
            }
        }
        let lag = self.list.options.list_lag;
        self.list.pending.push_back((self.now + lag, instances));
        self.schedule_after(lag, World::apply_list_changes);
    }

    fn apply_list_changes(&mut self) {
        self.list.apply_changes(self.now);
        let now = self.now;
        let is_leaving = |name: &str| {
            let found = self.list.shown.iter().find(|it| it.name == name);
            found.is_some_and(|it| it.status == Status::Leaving)
        };
        for engine in &mut self.engines {
            engine.leaving_since = match is_leaving(&engine.name) {
                true => engine.leaving_since.or(Some(now)),
                false => None,
            };
        }
        for server in &mut self.servers {
            server.leaving_since = match is_leaving(&server.name) {
                true => server.leaving_since.or(Some(now)),
                false => None,
            };
        }
    }

    pub(crate) fn send_list(&mut self, process_id: ProcessId) {
        let exchange = self.begin_exchange(process_id, SECOND, Input::InstanceList(None));
        let Some(delay) = self.message_delay(Party::Entry(process_id.entry), Party::List) else {
            return;
        };
        self.schedule_after(delay, move |world| {
            let list = (!world.list.down).then(|| {
                let at = world.list.frozen_since.unwrap_or(world.now);
                let as_of_ms = at.saturating_sub(world.list.options.list_lag) / MILLISECOND;
                report::List { as_of_ms, instances: world.list.shown.clone() }
            });
            world.reply(Party::List, process_id, exchange, Input::InstanceList(list));
        });
    }

    pub(crate) fn send_weight(&mut self, process_id: ProcessId) {
        let exchange = self.begin_exchange(process_id, SECOND, Input::WeightLoad(None));
        let Some(delay) = self.message_delay(Party::Entry(process_id.entry), Party::Store) else {
            return;
        };
        self.schedule_after(delay, move |world| {
            let (limit, active) = (world.store.limit, world.store.active);
            let queued = world.store.queue.len() as u32;
            let weight = (!world.store.down).then_some(WeightStore { limit, active, queued });
            world.reply(Party::Store, process_id, exchange, Input::WeightLoad(weight));
        });
    }

    /// Starts queued loads, up to the limit of concurrent loads. Skips loads that a newer order
    /// replaced.
    pub(crate) fn load_next(&mut self) {
        while !self.store.down && self.store.active < self.store.limit {
            let Some((engine, load)) = self.store.queue.pop_front() else { return };
            if self.engines[engine].current_load != Some(load) {
                continue;
            }
            self.store.active += 1;
            let time = self.options.platform.load_time * self.store.slowdown;
            self.schedule_after(time, move |world| {
                world.store.active -= 1;
                world.finish_load(engine, load);
                world.load_next();
            });
        }
    }
}

fn status(listed: Listed) -> Option<Status> {
    match listed {
        Listed::Absent => None,
        Listed::Live => Some(Status::Live),
        Listed::Leaving => Some(Status::Leaving),
    }
}
