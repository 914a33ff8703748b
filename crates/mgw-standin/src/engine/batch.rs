//! The slots of the batch and the queue for them, ordered by priority.

use std::sync::{Arc, Mutex};

use tokio::sync::oneshot;

use crate::server::lock;

struct Waiter {
    priority: u8,
    sequence: u64,
    grant: oneshot::Sender<Slot>,
}

#[derive(Default)]
struct State {
    running: u32,
    issued: u64,
    /// Descending by priority and sequence, so that the next one is last.
    queue: Vec<Waiter>,
}

#[derive(Clone)]
pub(super) struct Batch {
    slots: u32,
    state: Arc<Mutex<State>>,
}

/// A slot of the batch, given back when dropped.
pub(super) struct Slot(Batch);

impl Batch {
    pub(super) fn new(slots: u32) -> Self {
        Self { slots: slots.max(1), state: Arc::default() }
    }

    /// The numbers of running and of queued requests.
    pub(super) fn load(&self) -> (u32, u32) {
        let mut state = lock(&self.state);
        state.queue.retain(|waiter| !waiter.grant.is_closed());
        (state.running, state.queue.len() as u32)
    }

    /// Waits for a slot; lower numbers of `priority` go first, and equal ones in order of arrival.
    pub(super) async fn enter(&self, priority: u8) -> Option<Slot> {
        let granted = {
            let mut state = lock(&self.state);
            if state.running < self.slots {
                state.running += 1;
                return Some(Slot(self.clone()));
            }
            let (grant, granted) = oneshot::channel();
            state.issued += 1;
            let sequence = state.issued;
            let place = state.queue.partition_point(|waiter| {
                (waiter.priority, waiter.sequence) > (priority, sequence)
            });
            state.queue.insert(place, Waiter { priority, sequence, grant });
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
        // A waiter that gave up meanwhile returns the slot, whose drop passes it on.
        if let Some(waiter) = waiter {
            let _ = waiter.grant.send(Slot(self.0.clone()));
        }
    }
}
