//! The timer service: components subscribe to a deadline or a period and are told when it is due.

use std::time::Duration;

use crate::time::Instant;

/// A subscription.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Handle(u64);

#[derive(Clone, Copy, Debug)]
struct Entry<T> {
    due: Instant,
    handle: Handle,
    period: Option<Duration>,
    topic: T,
}

/// Deadlines of one process, with a `topic` that tells a subscriber what is due.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    /// Descending by due time and handle, so that the next one is last.
    entries: Vec<Entry<T>>,
    issued: u64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        Self { entries: Vec::new(), issued: 0 }
    }
}

impl<T> Queue<T>
where
    T: Copy,
{
    /// Subscribes `topic` to one deadline.
    pub fn schedule(&mut self, due: Instant, topic: T) -> Handle {
        self.add(due, None, topic)
    }

    /// Subscribes `topic` to every `period`, first at `due`; a period below 1 ms counts as 1 ms.
    pub fn schedule_periodic(&mut self, due: Instant, period: Duration, topic: T) -> Handle {
        self.add(due, Some(period.max(Duration::from_millis(1))), topic)
    }

    /// Ends a subscription; unknown tickets are ignored.
    pub fn cancel(&mut self, handle: Handle) {
        self.entries.retain(|entry| entry.handle != handle);
    }

    /// The next deadline.
    pub fn next_due(&self) -> Option<Instant> {
        self.entries.last().map(|entry| entry.due)
    }

    /// Removes and returns one topic that is due at `now`.
    ///
    /// A periodic subscription that missed several periods, as after a pause, is due once.
    pub fn pop_due(&mut self, now: Instant) -> Option<T> {
        let entry = *self.entries.last().filter(|entry| entry.due <= now)?;
        self.entries.pop();
        if let Some(period) = entry.period {
            let planned = entry.due + period;
            let due = if planned <= now { now + period } else { planned };
            self.place(Entry { due, ..entry });
        }
        Some(entry.topic)
    }

    fn add(&mut self, due: Instant, period: Option<Duration>, topic: T) -> Handle {
        self.issued += 1;
        let handle = Handle(self.issued);
        self.place(Entry { due, handle, period, topic });
        handle
    }

    fn place(&mut self, entry: Entry<T>) {
        let place = self
            .entries
            .partition_point(|other| (other.due, other.handle) > (entry.due, entry.handle));
        self.entries.insert(place, entry);
    }
}
