//! Retry budgets, which bound the retries and hedged requests of an entry and of each team.

use std::fmt;
use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

/// Number of time slots into which the window is divided. Counts expire with the accuracy of one
/// slot.
const WINDOW_SLOTS: usize = 10;

/// Parameters of the retry budgets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Allowed retries as a fraction of the requests within the window.
    pub ratio: f64,
    /// Retries that are allowed within the window regardless of the number of requests.
    ///
    /// Without this minimum, a request of a team with little traffic would never be retried. The
    /// default, one retry per second and entry, is too low to amplify an overload.
    pub min_retries: u32,
    /// Time for which requests and retries are counted.
    pub window: Duration,
    /// Maximum number of attempts per request, including the first one.
    pub max_attempts: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self { ratio: 0.1, min_retries: 30, window: Duration::from_secs(30), max_attempts: 3 }
    }
}

/// The reason for another attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The previous attempt failed.
    Retry,
    /// The previous attempt is slow and still runs.
    Hedge,
}

/// A request for another attempt of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Reason for the attempt.
    pub kind: Kind,
    /// Whether the call is idempotent, so that it may be executed twice.
    pub idempotent: bool,
    /// Whether any byte of an earlier attempt was written.
    pub written: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Deadline of the call.
    pub deadline: Instant,
    /// Expected duration of the attempt.
    pub expected_duration: Duration,
}

/// The reason for which another attempt is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The call may have been executed and must not be executed twice.
    NotRepeatable,
    /// The call has reached [`Options::max_attempts`].
    TooManyAttempts,
    /// The attempt is not expected to end before the deadline.
    Deadline,
    /// The team's retry budget is spent.
    TeamBudget,
    /// The entry's retry budget is spent.
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

/// Counts of requests and retries in a sliding window.
#[derive(Clone, Copy, Debug, Default)]
struct Budget {
    /// Requests and retries per time slot. Time slot `n` is stored at `n % WINDOW_SLOTS`.
    slots: [(u32, u32); WINDOW_SLOTS],
    /// Number of the newest time slot.
    newest_slot: u64,
}

impl Budget {
    fn advance(&mut self, slot: u64) {
        let elapsed = slot.saturating_sub(self.newest_slot).min(WINDOW_SLOTS as u64);
        for step in 1..=elapsed {
            self.slots[((self.newest_slot + step) % WINDOW_SLOTS as u64) as usize] = (0, 0);
        }
        self.newest_slot = self.newest_slot.max(slot);
    }

    fn current(&mut self) -> &mut (u32, u32) {
        &mut self.slots[(self.newest_slot % WINDOW_SLOTS as u64) as usize]
    }

    fn allows(&self, ratio: f64, min_retries: u32) -> bool {
        let (requests, retries) = self
            .slots
            .iter()
            .fold((0u64, 0u64), |sum, slot| (sum.0 + u64::from(slot.0), sum.1 + u64::from(slot.1)));
        (retries + 1) as f64 <= (requests as f64 * ratio).max(f64::from(min_retries))
    }
}

/// The retry budgets of an entry and of its teams.
///
/// Budgets start empty, so retries stay within [`Options::ratio`] and [`Options::min_retries`] also
/// right after a start.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    entry: Budget,
    teams: Map<SmolStr, Budget>,
}

impl Table {
    /// Creates empty budgets.
    pub fn new(options: Options) -> Self {
        Self { options, entry: Budget::default(), teams: Map::default() }
    }

    /// Replaces the options but [`Options::min_retries`]. The budgets start empty again if the window
    /// changes.
    pub fn set_options(&mut self, options: Options) {
        let min_retries = self.options.min_retries;
        if self.options.window != options.window {
            (self.entry, self.teams) = (Budget::default(), Map::default());
        }
        self.options = Options { min_retries, ..options };
    }

    /// Sets [`Options::min_retries`].
    pub fn set_min_retries(&mut self, min_retries: u32) {
        self.options.min_retries = min_retries;
    }

    /// Counts an admitted request of `team`. Must not be called for retries and hedges.
    pub fn count_request(&mut self, team: &str, now: Instant) {
        let slot = self.slot_number(now);
        self.entry.advance(slot);
        self.entry.current().0 += 1;
        let budget = self.teams.get_or_insert_with(team.into(), Budget::default);
        budget.advance(slot);
        budget.current().0 += 1;
    }

    /// Withdraws one attempt from the budgets of the team and the entry. A refusal withdraws
    /// nothing.
    ///
    /// # Errors
    ///
    /// See [`Error`]. [`Error::TeamBudget`] is also returned if no request of the team was counted.
    pub fn withdraw(&mut self, team: &str, request: &Request, now: Instant) -> Result<(), Error> {
        let repeatable = match request.kind {
            Kind::Retry => request.idempotent || !request.written,
            Kind::Hedge => request.idempotent,
        };
        if !repeatable {
            return Err(Error::NotRepeatable);
        }
        if request.attempts >= self.options.max_attempts {
            return Err(Error::TooManyAttempts);
        }
        if now + request.expected_duration >= request.deadline {
            return Err(Error::Deadline);
        }
        let slot = self.slot_number(now);
        let (ratio, min_retries) = (self.options.ratio, self.options.min_retries);
        self.entry.advance(slot);
        let Some(budget) = self.teams.get_mut(&SmolStr::from(team)) else {
            return Err(Error::TeamBudget);
        };
        budget.advance(slot);
        if !budget.allows(ratio, min_retries) {
            return Err(Error::TeamBudget);
        }
        if !self.entry.allows(ratio, min_retries) {
            return Err(Error::EntryBudget);
        }
        budget.current().1 += 1;
        self.entry.current().1 += 1;
        Ok(())
    }

    /// Removes the budgets of all teams for which `known` returns false.
    pub fn retain<F>(&mut self, mut known: F)
    where
        F: FnMut(&str) -> bool,
    {
        self.teams.retain(|team, _| known(team));
    }

    fn slot_number(&self, now: Instant) -> u64 {
        let length = (self.options.window.as_micros() as u64 / WINDOW_SLOTS as u64).max(1);
        now.as_micros() / length
    }
}
