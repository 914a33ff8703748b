//! State that the daemon's tasks share: the node, its clock, the clients and the pending bookings.

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

/// Clients of the platform's services and of the backend servers.
#[derive(Clone)]
pub struct Clients {
    /// Client of the log service.
    pub log: log::Client,
    /// Client of the instance list.
    pub list: list::Client,
    /// Client of the weight store.
    pub weights: weights::Client,
    /// Client of the model engines.
    pub engine: engine::Client,
    /// Client of the servers of plain services.
    pub service: service::Client,
}

/// A request for a booking that waits for the outcome.
pub struct PendingBooking {
    /// Content of the booking, which a relay to another entry sends.
    pub booking: Rc<Booking>,
    /// Delivers the outcome to the task that waits in [`crate::booking::submit`].
    pub sender: oneshot::Sender<Answer>,
}

/// State that the daemon's tasks share. All tasks run on one thread.
pub struct Shared {
    /// Settings of the daemon.
    pub config: Config,
    /// The state machine that makes the entry's decisions. It is borrowed for one call only, never
    /// across an await.
    pub node: RefCell<Node>,
    /// Clients of the platform and the backend servers.
    pub clients: Clients,
    /// Links to other entries.
    pub links: Links,
    /// Sender of the metrics.
    pub metrics: Metrics,
    /// Recent events of this process and their hybrid logical clock.
    pub recorder: RefCell<Recorder>,
    /// Wakes the driver when the node's next deadline may have changed.
    pub wake: Notify,
    /// Requests that wait for the outcome of their booking, by the number of the waiter.
    pub pending_bookings: RefCell<Map<u64, PendingBooking>>,
    /// Content of the bookings that this process may run, by key hash.
    pub bookings_by_key: RefCell<Map<u128, Rc<Booking>>>,
    /// Zero of the node's clock.
    epoch: std::time::Instant,
    /// Number of the last [`Waiter`]; ascending from 1.
    last_waiter: Cell<u64>,
    random: RefCell<SmallRng>,
}

impl Shared {
    /// The state for a node whose clock reads zero at `epoch`.
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
            last_waiter: Cell::new(0),
            random: RefCell::new(SmallRng::from_os_rng()),
        }
    }

    /// Current time on the node's monotonic clock.
    pub fn now(&self) -> Instant {
        Instant::from_micros(self.epoch.elapsed().as_micros() as u64)
    }

    /// Time from now until `deadline`; zero if it has passed.
    pub fn time_left(&self, deadline: Instant) -> Duration {
        deadline.since(self.now())
    }

    /// Calls `act` with the node, records the events and executes the commands that result, and
    /// wakes the driver, as the next tick may be due earlier.
    pub fn with_node<T, F>(self: &Rc<Self>, act: F) -> T
    where
        F: FnOnce(&mut Node, Instant) -> T,
    {
        let result = self.with_node_without_wake(act);
        self.wake.notify_one();
        result
    }

    /// Like [`Self::with_node`], but does not wake the driver. For the driver itself, and for
    /// inputs that never make the next tick due earlier.
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

    /// Counts, records and logs an event.
    pub fn record(&self, body: mgw_event::Body) {
        self.metrics.count(&metrics::EVENTS, body.kind.name());
        let event: Event = self.recorder.borrow_mut().record(wall_ms(), body);
        event.log();
    }

    /// Hybrid-logical-clock stamp for a message that is sent now.
    pub fn stamp(&self) -> frame::Stamp {
        let stamp = self.recorder.borrow_mut().stamp(wall_ms());
        frame::Stamp { wall_ms: stamp.wall_ms, logical: stamp.logical }
    }

    /// Advances the hybrid logical clock to the stamp of a message from `peer`. A stamp too far ahead is
    /// ignored, recorded and logged.
    pub fn observe(&self, peer: &str, stamp: frame::Stamp) {
        let remote = Stamp { wall_ms: stamp.wall_ms, logical: stamp.logical };
        let event = self.recorder.borrow_mut().observe(wall_ms(), peer, remote);
        if let Some(event) = event {
            event.log();
        }
    }

    /// 128 random bits, which are not cryptographically secure.
    pub fn random_u128(&self) -> u128 {
        self.random.borrow_mut().random()
    }

    /// An unused number for a request that waits for the outcome of its booking.
    pub fn next_waiter(&self) -> Waiter {
        self.last_waiter.set(self.last_waiter.get() + 1);
        Waiter(self.last_waiter.get())
    }

    /// The team that the configuration gives this bearer key; `None` if it is unknown.
    pub fn team_of_key(&self, key: &str) -> Option<SmolStr> {
        self.node.borrow().team_by_key(key).cloned()
    }
}

/// Wall-clock time in ms since the Unix epoch; 0 if the clock is set before it.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |span| span.as_millis() as u64)
}
