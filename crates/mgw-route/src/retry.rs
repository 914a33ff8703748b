//! Budgets for retries and hedged requests.

use std::fmt;
use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

/// Slots of time in the window; a count is forgotten with an error of one slot.
const SLOTS: usize = 10;

/// Parameters of the budgets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Share of recent requests that may be retried.
    pub ratio: f64,
    /// Retries within the window that are allowed whatever the number of requests. Without them a
    /// quiet team's request is never retried; one a second per entry cannot amplify an overload.
    pub min_retries: u32,
    /// How long a request counts as recent.
    pub window: Duration,
    /// The largest number of attempts of one request, the first one included.
    pub max_attempts: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { ratio: 0.1, min_retries: 30, window: Duration::from_secs(30), max_attempts: 3 }
    }
}

/// What another attempt is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The last attempt failed.
    Retry,
    /// The last attempt is slow and goes on.
    Hedge,
}

/// What is known of a request that asks for another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// What the attempt is for.
    pub kind: Kind,
    /// Whether the call may be executed twice.
    pub idempotent: bool,
    /// Whether any byte of an earlier attempt was written.
    pub written: bool,
    /// Attempts so far.
    pub attempts: u32,
    /// The request's deadline.
    pub deadline: Instant,
    /// How long another attempt is expected to take.
    pub expected_duration: Duration,
}

/// Why there is no other attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The call may have been executed and must not be executed twice.
    NotRepeatable,
    /// The request has had its attempts.
    TooManyAttempts,
    /// The remaining time does not suffice.
    Deadline,
    /// The team's budget is spent.
    TeamBudget,
    /// The entry's budget is spent.
    EntryBudget,
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Error::NotRepeatable => "the call may have been executed and is not idempotent",
            Error::TooManyAttempts => "the request has used all its attempts",
            Error::Deadline => "the deadline leaves no time for another attempt",
            Error::TeamBudget => "the team's retry budget is spent",
            Error::EntryBudget => "the entry's retry budget is spent",
        })
    }
}

impl std::error::Error for Error {}

/// Requests and retries of the recent past, in time slots.
#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    /// Requests and retries per slot; slot `n` of time lies at `n % SLOTS`.
    slots: [(u32, u32); SLOTS],
    /// The newest slot of time.
    newest: u64,
}

impl Budget {
    fn advance(&mut self, slot: u64) {
        let steps = slot.saturating_sub(self.newest).min(SLOTS as u64);
        for step in 1..=steps {
            self.slots[((self.newest + step) % SLOTS as u64) as usize] = (0, 0);
        }
        self.newest = self.newest.max(slot);
    }

    fn current(&mut self) -> &mut (u32, u32) {
        &mut self.slots[(self.newest % SLOTS as u64) as usize]
    }

    fn allows(&self, share: f64, floor: u32) -> bool {
        let (requests, retries) = self
            .slots
            .iter()
            .fold((0u64, 0u64), |sum, slot| (sum.0 + u64::from(slot.0), sum.1 + u64::from(slot.1)));
        (retries + 1) as f64 <= (requests as f64 * share).max(f64::from(floor))
    }
}

/// The budgets of an entry and of its teams.
///
/// A budget starts empty, so retries never exceed the share or the floor, not even after a start.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    entry: Budget,
    teams: Map<SmolStr, Budget>,
}

impl Table {
    /// Empty budgets.
    pub fn new(options: Options) -> Self {
        Self { options, entry: Budget::default(), teams: Map::default() }
    }

    /// Sets the retries that are allowed whatever the number of requests.
    pub fn set_min_retries(&mut self, floor: u32) {
        self.options.min_retries = floor;
    }

    /// Counts an admitted request; retries and hedges are not counted here.
    pub fn count_request(&mut self, team: &str, now: Instant) {
        let slot = self.slot(now);
        self.entry.advance(slot);
        self.entry.current().0 += 1;
        let budget = self.teams.entry(team.into(), Budget::default);
        budget.advance(slot);
        budget.current().0 += 1;
    }

    /// Allows another attempt and draws it from both budgets, or refuses it and draws nothing.
    ///
    /// # Errors
    ///
    /// As [`Error`] says; [`Error::Team`] also if the team has no counted request.
    pub fn withdraw(&mut self, team: &str, ask: &Request, now: Instant) -> Result<(), Error> {
        let repeatable = match ask.kind {
            Kind::Retry => ask.idempotent || !ask.written,
            Kind::Hedge => ask.idempotent,
        };
        if !repeatable {
            return Err(Error::NotRepeatable);
        }
        if ask.attempts >= self.options.max_attempts {
            return Err(Error::TooManyAttempts);
        }
        if now + ask.expected_duration >= ask.deadline {
            return Err(Error::Deadline);
        }
        let slot = self.slot(now);
        let (share, floor) = (self.options.ratio, self.options.min_retries);
        self.entry.advance(slot);
        let Some(budget) = self.teams.get_mut(&SmolStr::from(team)) else {
            return Err(Error::TeamBudget);
        };
        budget.advance(slot);
        if !budget.allows(share, floor) {
            return Err(Error::TeamBudget);
        }
        if !self.entry.allows(share, floor) {
            return Err(Error::EntryBudget);
        }
        budget.current().1 += 1;
        self.entry.current().1 += 1;
        Ok(())
    }

    /// Keeps only the teams of the configuration.
    pub fn retain<F>(&mut self, mut known: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.teams.retain(|team, _| known(team));
    }

    fn slot(&self, now: Instant) -> u64 {
        let length = (self.options.window.as_micros() as u64 / SLOTS as u64).max(1);
        now.as_micros() / length
    }
}
