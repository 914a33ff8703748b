//! Requests in flight, watched by the tick in place of a timer for each.

use std::rc::Rc;
use std::time::Duration;

use mgw_base::arena::{Arena, Key};
use mgw_base::time::Instant;
use mgw_fleet::roster::Id;
use tokio::sync::Notify;

/// Why a request is woken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Alarm {
    /// Its time is over.
    Deadline,
    /// Its target stands still.
    Stalled,
}

/// What a request waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Nothing at a server.
    Nothing,
    /// The head of the answer, or the first event.
    Response,
    /// The next event.
    Event,
}

/// A request in flight.
#[derive(Debug)]
pub struct Request {
    /// When its time is over.
    pub deadline: Instant,
    /// Where it is.
    pub target: Option<Id>,
    /// What it waits for there.
    pub wait: Wait,
    /// When the target last sent something of it, or it was sent.
    pub last_progress: Instant,
    /// Time without progress after which it is woken with [`Alarm::Stalled`] whatever the target's
    /// other requests do.
    pub stall_timeout: Duration,
    /// The alarm that it has not taken yet.
    pub alarm: Option<Alarm>,
    /// Wakes the request.
    pub wake: Rc<Notify>,
    /// Hash for blame.
    pub fingerprint: u128,
    /// Whether it was sent as a suspect.
    pub is_suspect: bool,
}

/// Key of a flight.
pub type RequestKey = Key<Request>;

/// Time without progress of any stream of a group after which its members are probed.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(330);

/// A longer time between two ticks means that the process did not run, so that silence proves
/// nothing.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(350);

/// The requests in flight.
#[derive(Debug, Default)]
pub struct Table {
    requests: Arena<Request>,
    last_tick: Option<Instant>,
}

impl Table {
    /// Adds a request.
    pub fn insert(&mut self, request: Request) -> RequestKey {
        self.requests.insert(request)
    }

    /// The request of `key`, for a change.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.requests.get_mut(key)
    }

    /// Removes a request.
    pub fn remove(&mut self, key: RequestKey) {
        self.requests.remove(key);
    }

    /// The number of requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether there is no request.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The requests at `target`.
    pub fn at_target(&self, target: Id) -> impl Iterator<Item = &Request> {
        self.requests.iter().map(|(_, it)| it).filter(move |it| it.target == Some(target))
    }

    /// Wakes requests whose time is over or that stand still. Returns the targets none of whose
    /// streams has made progress, and the length of a pause of the process, if there was one.
    pub fn tick(&mut self, now: Instant) -> (Vec<Id>, Option<Duration>) {
        let pause =
            self.last_tick.map(|last| now.since(last)).filter(|span| *span > PAUSE_THRESHOLD);
        self.last_tick = Some(now);
        let keys: Vec<RequestKey> = self.requests.iter().map(|(key, _)| key).collect();
        if pause.is_some() {
            let all = keys.iter();
            all.for_each(|key| {
                if let Some(request) = self.requests.get_mut(*key) {
                    request.last_progress = now;
                }
            });
        }
        let stalled = self.stalled(now);
        for key in keys {
            let Some(request) = self.requests.get_mut(key) else { continue };
            let silence = now.since(request.last_progress);
            let is_stalled = request.target.is_some_and(|it| stalled.binary_search(&it).is_ok());
            let alarm = match request.wait {
                _ if now >= request.deadline => Alarm::Deadline,
                Wait::Response | Wait::Event if silence > request.stall_timeout => Alarm::Stalled,
                Wait::Response | Wait::Event if is_stalled && silence > STALL_TIMEOUT => {
                    Alarm::Stalled
                }
                _ => continue,
            };
            if request.alarm.is_none() {
                request.alarm = Some(alarm);
                request.wake.notify_one();
            }
        }
        (stalled, pause)
    }

    /// Targets with begun streams none of which has made progress lately, sorted.
    fn stalled(&self, now: Instant) -> Vec<Id> {
        let mut newest: Vec<(Id, Instant)> = Vec::new();
        for (_, request) in self.requests.iter() {
            let (Some(target), Wait::Event) = (request.target, request.wait) else { continue };
            match newest.binary_search_by_key(&target, |(id, _)| *id) {
                Ok(index) => newest[index].1 = newest[index].1.max(request.last_progress),
                Err(index) => newest.insert(index, (target, request.last_progress)),
            }
        }
        newest.retain(|(_, last_progress)| now.since(*last_progress) > STALL_TIMEOUT);
        newest.into_iter().map(|(id, _)| id).collect()
    }
}
