//! A bounded buffer of the events of one process.

use std::collections::VecDeque;

use crate::event::Event;
use crate::kind::Severity;

/// Holds the newest events of a process: at most `capacity` of severity `debug` and at most
/// `capacity` of higher severities.
///
/// Events of severity `debug` have a separate buffer because a busy entry records several of them
/// per request; in a shared buffer they would displace the history of groups within minutes.
#[derive(Clone, Debug)]
pub struct Ring {
    /// Capacity of each buffer in events, at least 1.
    capacity: usize,
    /// Events of severity `debug`, ascending by `seq`.
    debug_events: VecDeque<Event>,
    /// Events of higher severities, ascending by `seq`.
    other_events: VecDeque<Event>,
    /// Number of events that were removed because a buffer was full.
    dropped: u64,
}

impl Ring {
    /// Creates an empty ring; a capacity of 0 counts as 1.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity: capacity.max(1),
            debug_events: VecDeque::new(),
            other_events: VecDeque::new(),
            dropped: 0,
        }
    }

    /// Adds an event, whose `seq` must be greater than that of all before, and drops the oldest
    /// event of its buffer if that is full.
    pub fn push(&mut self, event: Event) {
        let events = match event.body.kind.severity() {
            Severity::Debug => &mut self.debug_events,
            Severity::Info | Severity::Warn | Severity::Error => &mut self.other_events,
        };
        if events.len() == self.capacity {
            events.pop_front();
            self.dropped += 1;
        }
        events.push_back(event);
    }

    /// Returns at most `limit` buffered events with a `seq` above `after`, in ascending order.
    pub fn after(&self, after: u64, limit: usize) -> Vec<Event> {
        let first_newer =
            |events: &VecDeque<Event>| events.partition_point(|event| event.seq <= after);
        let mut debug_events =
            self.debug_events.range(first_newer(&self.debug_events)..).peekable();
        let mut other_events =
            self.other_events.range(first_newer(&self.other_events)..).peekable();
        let mut events = Vec::new();
        while events.len() < limit {
            let next = match (debug_events.peek(), other_events.peek()) {
                (Some(a), Some(b)) if a.seq < b.seq => debug_events.next(),
                (_, Some(_)) => other_events.next(),
                (Some(_), None) => debug_events.next(),
                (None, None) => break,
            };
            events.extend(next.cloned());
        }
        events
    }

    /// Returns the number of buffered events.
    pub fn len(&self) -> usize {
        self.debug_events.len() + self.other_events.len()
    }

    /// Returns true if no event is buffered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of events that were dropped because a buffer was full.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
