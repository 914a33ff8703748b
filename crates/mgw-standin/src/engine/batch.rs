//! Slots of the batch, and the priority queue of the requests that wait for one.

use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

use crate::server::lock;

/// A request that waits for a slot.
struct Waiter {
    priority: u8,
    /// Order of arrival.
    sequence: u64,
    grant: oneshot::Sender<Slot>,
}

#[derive(Default)]
struct State {
    running: u32,
    last_sequence: u64,
    /// Sorted descending by priority number and sequence, so that the next waiter is the last.
    queue: Vec<Waiter>,
}

/// Limits the number of concurrently running requests.
#[derive(Clone)]
pub(super) struct Batch {
    slots: u32,
    state: Arc<Mutex<State>>,
}

/// An occupied slot of the batch; dropping it passes the slot to the next waiter or frees it.
pub(super) struct Slot(Batch);

impl Batch {
    pub(super) fn new(slots: u32) -> Self {
        Self { slots: slots.max(1), state: Arc::default() }
    }

    /// Returns the numbers of running and of queued requests.
    pub(super) fn load(&self) -> (u32, u32) {
        let mut state = lock(&self.state);
        state.queue.retain(|waiter| !waiter.grant.is_closed());
        (state.running, state.queue.len() as u32)
    }

    /// Waits for a slot. Requests with a lower `priority` number go first, those with the same
    /// number in order of arrival.
    pub(super) async fn acquire(&self, priority: u8) -> Option<Slot> {
        let granted = {
            let mut state = lock(&self.state);
            if state.running < self.slots {
                state.running += 1;
                return Some(Slot(self.clone()));
            }
            let (grant, granted) = oneshot::channel();
            state.last_sequence += 1;
            let sequence = state.last_sequence;
            let index = state.queue.partition_point(|waiter| {
                (waiter.priority, waiter.sequence) > (priority, sequence)
            });
            state.queue.insert(index, Waiter { priority, sequence, grant });
            granted
        };
        granted.await.ok()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let waiter = {
            let mut state = lock(&self.0.state);
            let waiter = loop {
                match state.queue.pop() {
                    Some(waiter) if waiter.grant.is_closed() => {}
                    other => break other,
                }
            };
            if waiter.is_none() {
                state.running -= 1;
            }
            waiter
        };
        // If the waiter was dropped in the meantime, `send` returns the slot, and dropping it
        // passes it to the next waiter.
        if let Some(waiter) = waiter {
            let _ = waiter.grant.send(Slot(self.0.clone()));
        }
    }
}
