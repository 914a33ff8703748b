//! A timer queue for one-shot and periodic timers. The owner asks it for the topics that are due;
//! it reads no clock and starts no thread.

use std::time::Duration;

use crate::time::Instant;

/// Identifies a scheduled timer, to cancel it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Handle(u64);

#[derive(Clone, Copy, Debug)]
struct Entry<T> {
    due: Instant,
    handle: Handle,
    period: Option<Duration>,
    topic: T,
}

/// Scheduled timers, each with a `topic` that tells the owner what is due.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    /// Descending by due time and handle, so the next timer is last and is removed in constant
    /// time.
    entries: Vec<Entry<T>>,
    last_handle: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { entries: Vec::new(), last_handle: 0 }
    }
}

impl<T> Queue<T>
where
    T: Copy,
{
    /// Schedules `topic` once, at `due`.
    pub fn schedule(&mut self, due: Instant, topic: T) -> Handle {
        self.add(due, None, topic)
    }

    /// Schedules `topic` at `due` and then every `period`; a period below 1 ms counts as 1 ms.
    pub fn schedule_periodic(&mut self, due: Instant, period: Duration, topic: T) -> Handle {
        self.add(due, Some(period.max(Duration::from_millis(1))), topic)
    }

    /// Cancels a timer; the handle of one that no longer exists is ignored.
    pub fn cancel(&mut self, handle: Handle) {
        self.entries.retain(|entry| entry.handle != handle);
    }

    /// Returns when the next timer is due, or `None` if no timer is scheduled.
    pub fn next_due(&self) -> Option<Instant> {
        self.entries.last().map(|entry| entry.due)
    }

    /// Returns the topic of the earliest timer that is due at `now` and removes the timer, or
    /// schedules it again if it is periodic.
    ///
    /// A periodic timer that missed several periods, such as while the process was paused, is due
    /// only once.
    pub fn pop_due(&mut self, now: Instant) -> Option<T> {
        let entry = *self.entries.last().filter(|entry| entry.due <= now)?;
        self.entries.pop();
        if let Some(period) = entry.period {
            let next = entry.due + period;
            let due = if next <= now { now + period } else { next };
            self.enqueue(Entry { due, ..entry });
        }
        Some(entry.topic)
    }

    fn add(&mut self, due: Instant, period: Option<Duration>, topic: T) -> Handle {
        self.last_handle += 1;
        let handle = Handle(self.last_handle);
        self.enqueue(Entry { due, handle, period, topic });
        handle
    }

    fn enqueue(&mut self, entry: Entry<T>) {
        let index = self
            .entries
            .partition_point(|other| (other.due, other.handle) > (entry.due, entry.handle));
        self.entries.insert(index, entry);
    }
}
