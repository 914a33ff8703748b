//! What all parts of the daemon share: the node, its clock, the clients and the waiting bookings.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_booking::ledger::Waiter;
use mgw_booking::relay::Answer;
use mgw_entry::node::Node;
use mgw_event::clock::Stamp;
use mgw_event::{Event, Recorder};
use mgw_platform::{engine, list, log, service, weights};
use mgw_wire::frame;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;
use tokio::sync::{Notify, oneshot};

use crate::booking::Booking;
use crate::config::Config;
use crate::links::Links;
use crate::metrics::{self, Metrics};

/// The clients of the platform and the backend servers.
#[derive(Clone)]
pub struct Clients {
    /// The log service.
    pub log: log::Client,
    /// The instance list.
    pub list: list::Client,
    /// The weight store.
    pub weights: weights::Client,
    /// The model engines.
    pub engine: engine::Client,
    /// The servers of plain services.
    pub service: service::Client,
}

/// A booking that waits for its outcome.
pub struct PendingBooking {
    /// The booking.
    pub booking: Rc<Booking>,
    /// Takes the outcome.
    pub sender: oneshot::Sender<Answer>,
}

/// What the daemon's tasks share; all run on one thread.
pub struct Shared {
    /// The settings.
    pub config: Config,
    /// The node. It is borrowed for the time of one call only, never over an await.
    pub node: RefCell<Node>,
    /// The clients.
    pub clients: Clients,
    /// The links to other entries.
    pub links: Links,
    /// The metrics.
    pub metrics: Metrics,
    /// The events of this process.
    pub recorder: RefCell<Recorder>,
    /// Wakes the driver when the node's next deadline may have changed.
    pub wake: Notify,
    /// Bookings that wait for their outcome, by waiter.
    pub pending_bookings: RefCell<Map<u64, PendingBooking>>,
    /// Bookings that this process may run, by key hash.
    pub bookings_by_key: RefCell<Map<u128, Rc<Booking>>>,
    epoch: std::time::Instant,
    issued: Cell<u64>,
    random: RefCell<SmallRng>,
}

impl Shared {
    /// What the tasks share, for a node that was made at `epoch`.
    pub fn new(
        config: Config,
        node: Node,
        clients: Clients,
        links: Links,
        metrics: Metrics,
        epoch: std::time::Instant,
    ) -> Self {
        let recorder = Recorder::new(config.name.clone(), mgw_event::recorder::DEFAULT_CAPACITY);
        Self {
            config,
            node: RefCell::new(node),
            clients,
            links,
            metrics,
            recorder: RefCell::new(recorder),
            wake: Notify::new(),
            pending_bookings: RefCell::default(),
            bookings_by_key: RefCell::default(),
            epoch,
            issued: Cell::new(0),
            random: RefCell::new(SmallRng::from_os_rng()),
        }
    }

    /// The present time on the process's monotonic clock.
    pub fn now(&self) -> Instant {
        Instant::from_micros(self.epoch.elapsed().as_micros() as u64)
    }

    /// The time from now until `deadline`.
    pub fn time_left(&self, deadline: Instant) -> Duration {
        deadline.since(self.now())
    }

    /// Calls the node, then carries out what it asks for and wakes the driver.
    pub fn with_node<T, F>(self: &Rc<Self>, act: F) -> T
    where
        F: FnOnce(&mut Node, Instant) -> T,
    {
        let result = self.with_node_without_wake(act);
        self.wake.notify_one();
        result
    }

    /// Calls the node, then carries out what it asks for; for the driver itself, and for inputs
    /// after which the node has nothing to do earlier than before.
    pub fn with_node_without_wake<T, F>(self: &Rc<Self>, act: F) -> T
    where
        F: FnOnce(&mut Node, Instant) -> T,
    {
        let now = self.now();
        let (result, commands, events) = {
            let mut node = self.node.borrow_mut();
            let result = act(&mut node, now);
            (result, node.take_commands(), node.take_events())
        };
        for body in events {
            self.record(body);
        }
        for command in commands {
            crate::driver::execute(self, command);
        }
        result
    }

    /// Records and logs an event.
    pub fn record(&self, body: mgw_event::Body) {
        self.metrics.count(&metrics::EVENTS, body.kind.name());
        let event: Event = self.recorder.borrow_mut().record(wall_ms(), body);
        event.log();
    }

    /// The stamp for a message that is sent now.
    pub fn stamp(&self) -> frame::Stamp {
        let stamp = self.recorder.borrow_mut().stamp(wall_ms());
        frame::Stamp { wall_ms: stamp.wall_ms, logical: stamp.logical }
    }

    /// Adopts the stamp of a message from `peer`.
    pub fn observe(&self, peer: &str, stamp: frame::Stamp) {
        let remote = Stamp { wall_ms: stamp.wall_ms, logical: stamp.logical };
        let event = self.recorder.borrow_mut().observe(wall_ms(), peer, remote);
        if let Some(event) = event {
            event.log();
        }
    }

    /// 128 random bits.
    pub fn random_u128(&self) -> u128 {
        self.random.borrow_mut().random()
    }

    /// A number for a booking that waits.
    pub fn next_waiter(&self) -> Waiter {
        self.issued.set(self.issued.get() + 1);
        Waiter(self.issued.get())
    }

    /// The team of a bearer key.
    pub fn team_of_key(&self, key: &str) -> Option<SmolStr> {
        self.node.borrow().team_by_key(key).cloned()
    }
}

/// Milliseconds since 1970 on the wall clock.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}
