//! The process, shared by all of its tasks.

mod blames;
mod demand;
mod state;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use mgw_base::time::Instant;
use mgw_event::event::Body;
use mgw_fleet::config::Config;
use mgw_fleet::entry;
use mgw_fleet::shutdown::Shutdown;
use platform::settings::Settings;
use tokio::sync::{Notify, watch};

use crate::clock;
use crate::journal::Journal;
use crate::memory::{Budget, Limits};
use crate::startup;

pub use state::State;
use state::retry_options;

/// Time from the first start of the whole system until requests arrive, less a safety margin.
const TRAFFIC_START_DELAY: Duration = Duration::from_millis(9_700);

/// The process: its settings, its state, and the signals between its tasks.
#[derive(Debug)]
pub struct Gateway {
    /// Settings at the start of the process. For those that may change later, see
    /// [`Gateway::settings`].
    pub settings: Settings,
    /// The settings in use.
    reloaded_settings: RefCell<Rc<Settings>>,
    /// Random id of this run of the process, which tells it from earlier runs of the same entry.
    pub incarnation: u64,
    /// When the process started.
    started: Instant,
    /// Its wait for a reader at the start.
    pub startup: startup::Wait,
    /// Wakes the tasks that send this entry's heartbeat, to the store or to the reader it follows.
    pub heartbeat_due: watch::Sender<()>,
    /// Wakes the sessions that push changes to followers.
    pub state_changed: watch::Sender<()>,
    /// Wakes the tasks that read and write the store, when this entry stops following a reader.
    pub source_changed: Notify,
    /// Set once the process has been told to stop.
    pub shutdown: Cell<Option<Shutdown>>,
    /// Wakes the reader of the entries' topic, as the planner's role is vacant.
    pub entries_read_due: Notify,
    /// Wakes the planner, as an order or a probe has been answered.
    pub plan_due: Notify,
    /// Wakes the reader of the servers' topic, as the planner has opened or closed a group.
    pub servers_read_due: Notify,
    /// Wakes the task that tells the other entries of the groups' work.
    pub work_news_due: Notify,
    /// Number of open connections of callers.
    pub caller_connections: Cell<usize>,
    /// Memory for the request bodies of all requests in flight.
    pub request_bodies: Budget,
    /// Memory for the response bodies and incomplete events larger than
    /// [`Gateway::free_response_bytes`].
    pub response_bodies: Budget,
    /// See [`Limits::free_response`].
    pub free_response_bytes: usize,
    /// Borrowed only by [`Gateway::with`].
    state: RefCell<State>,
}

impl Gateway {
    /// Creates the state of a process that has received nothing from the store yet.
    pub fn new(settings: Settings, incarnation: u64, journal: Journal) -> Self {
        let limits = Limits::new(settings.memory_limit_mb);
        let state = State::new(&settings, incarnation, journal);
        Self {
            reloaded_settings: RefCell::new(Rc::new(settings.clone())),
            startup: startup::Wait::new(&settings, incarnation),
            settings,
            incarnation,
            started: clock::now(),
            heartbeat_due: watch::Sender::default(),
            state_changed: watch::Sender::default(),
            source_changed: Notify::new(),
            shutdown: Cell::new(None),
            entries_read_due: Notify::new(),
            plan_due: Notify::new(),
            servers_read_due: Notify::new(),
            work_news_due: Notify::new(),
            caller_connections: Cell::new(0),
            request_bodies: Budget::new(limits.requests).with_small_share(limits.small_requests),
            response_bodies: Budget::new(limits.responses).with_small_share(limits.small_responses),
            free_response_bytes: limits.free_response,
            state: RefCell::new(state),
        }
    }

    /// The settings in use: the newest ones that were read, but for those that need a restart.
    pub fn settings(&self) -> Rc<Settings> {
        Rc::clone(&self.reloaded_settings.borrow())
    }

    /// Puts `newer` settings in force, but for those that need a restart.
    pub fn apply_settings(&self, newer: &Settings) {
        let reloaded = self.settings().reloaded(newer);
        self.with(|state| state.retry_budgets.set_options(retry_options(&reloaded)));
        self.reloaded_settings.replace(Rc::new(reloaded));
        // The heartbeat tells the other entries the processor share.
        self.heartbeat_due.send_replace(());
    }

    /// Runs `f` on the state.
    ///
    /// # Panics
    ///
    /// `f` must not call `with` again: the state is already borrowed.
    pub fn with<T, F>(&self, f: F) -> T
    where
        F: FnOnce(&mut State) -> T,
    {
        f(&mut self.state.borrow_mut())
    }

    /// Time until requests are expected, during the first start of the whole system; `None` later
    /// and on any other start.
    pub fn until_traffic(&self, now: Instant) -> Option<Duration> {
        let left = TRAFFIC_START_DELAY.saturating_sub(now.since(self.started));
        (self.settings.is_first_start && !left.is_zero()).then_some(left)
    }

    /// Whether this entry waits at its start for what a reader sends it, instead of reading the
    /// configuration and the servers itself. That ends if the entries' records show no reader.
    pub fn waits_for_reader(&self, state: &State, now: Instant) -> bool {
        let may_have_reader =
            state.entries.last_read().is_none() || state.entries.serving().next().is_some();
        self.startup.lasts(now.since(self.started)) && state.config.is_none() && may_have_reader
    }

    /// Records an event in the log.
    pub fn record(&self, body: Body) {
        self.with(|state| state.journal.record(body));
    }

    /// Adds 1 to the counter `name` with `label`.
    pub fn count(&self, name: &'static str, label: &'static str) {
        self.with(|state| state.metrics.count(name, label));
    }

    /// The configuration in force; `None` before the first one is received.
    pub fn config(&self) -> Option<Rc<Config>> {
        self.with(|state| state.config.clone())
    }

    /// This entry's heartbeat, from its settings and present state.
    pub fn heartbeat(&self) -> entry::Heartbeat {
        let (phase, resigned_term, blames) =
            self.with(|state| (state.phase, state.resigned_term, state.all_blames()));
        entry::Heartbeat {
            incarnation: self.incarnation,
            caller_address: self.settings.callers_address.to_string(),
            feed_address: self.settings.feed_address.to_string(),
            cores_milli: self.settings().cpu_millicores,
            zone: self.settings.zone.to_string(),
            region: self.settings.region.to_string(),
            phase,
            resigned_term,
            blames,
        }
    }
}
