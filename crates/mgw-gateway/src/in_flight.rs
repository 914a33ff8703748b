//! The table of requests in flight. The periodic tick checks their deadlines and their progress, in
//! place of a timer for each request.

use std::rc::Rc;
use std::time::Duration;

use mgw_base::arena::{Arena, Key};
use mgw_base::time::Instant;
use mgw_fleet::roster::ServerKey;
use tokio::sync::Notify;

/// Why a request is woken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Alarm {
    /// Its deadline has passed.
    Deadline,
    /// Its target has stalled.
    Stalled,
}

/// What a request waits for at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Nothing; the request is not at a server.
    Nothing,
    /// The head of the response, or the first event of a stream.
    Response,
    /// The next event of a stream that has begun.
    Event,
}

/// A request in flight.
#[derive(Debug)]
pub struct Request {
    /// When it fails unless its response is complete.
    pub deadline: Instant,
    /// The server it was sent to, if any.
    pub target: Option<ServerKey>,
    /// What it waits for at its target.
    pub wait: Wait,
    /// When the target last sent a part of its response, or when it was sent to the target. Also
    /// set when an alarm is taken and after a pause of this process.
    pub last_progress: Instant,
    /// Time without progress after which it is woken with [`Alarm::Stalled`] even if other requests
    /// at its target make progress.
    pub stall_timeout: Duration,
    /// An alarm that has been raised and not been taken yet. A stall may be followed by the
    /// deadline, and ends with the next progress.
    pub alarm: Option<Alarm>,
    /// Notified when an alarm is raised.
    pub wake: Rc<Notify>,
    /// Fingerprint by which crashes are blamed on it, equal for its retries.
    pub fingerprint: u128,
    /// Whether it is suspected of having crashed a server.
    pub is_suspect: bool,
}

impl Request {
    /// Records at `now` that the request waits for `wait` at `target` from now on, for at most
    /// `stall_timeout`. A stall before that is over.
    pub fn set_wait(
        &mut self,
        target: Option<ServerKey>,
        wait: Wait,
        stall_timeout: Duration,
        now: Instant,
    ) {
        self.target = target;
        self.wait = wait;
        self.stall_timeout = stall_timeout;
        self.last_progress = now;
        self.alarm = self.alarm.filter(|alarm| *alarm == Alarm::Deadline);
    }
}

/// Key of a request in the table.
pub type RequestKey = Key<Request>;

/// Time without progress of any stream at a target after which the target counts as stalled. The
/// planner then probes the members of its group.
pub const STALL_TIMEOUT: Duration = Duration::from_millis(330);

/// Time between two ticks above which this process is taken to have been paused. It could not read
/// what its servers sent meanwhile, so a lack of progress does not show a stall.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(350);

/// The requests in flight.
#[derive(Debug, Default)]
pub struct Table {
    requests: Arena<Request>,
    last_tick: Option<Instant>,
}

impl Table {
    /// Adds a request and returns its key.
    pub fn insert(&mut self, request: Request) -> RequestKey {
        self.requests.insert(request)
    }

    /// The request with `key`, for modification; `None` if it was removed.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.requests.get_mut(key)
    }

    /// Removes the request with `key`.
    pub fn remove(&mut self, key: RequestKey) {
        self.requests.remove(key);
    }

    /// The number of requests in flight.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request is in flight.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Ends the wait of all requests without a response at `now`, as after their deadlines. Streams
    /// that have begun go on.
    pub fn expire_unanswered(&mut self, now: Instant) {
        let keys: Vec<RequestKey> = self.requests.iter().map(|(key, _)| key).collect();
        for key in keys {
            if let Some(request) = self.requests.get_mut(key)
                && request.wait != Wait::Event
            {
                request.deadline = request.deadline.min(now);
            }
        }
    }

    /// The requests that were sent to `target` and wait there.
    pub fn at_target(&self, target: ServerKey) -> impl Iterator<Item = &Request> {
        self.requests.iter().map(|(_, it)| it).filter(move |it| it.target == Some(target))
    }

    /// Wakes requests that are past their deadline or stalled. Returns the stalled targets, sorted,
    /// and the time since the last tick if this process was paused.
    pub fn tick(&mut self, now: Instant) -> (Vec<ServerKey>, Option<Duration>) {
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
            let is_new = match (request.alarm, alarm) {
                (None, _) | (Some(Alarm::Stalled), Alarm::Deadline) => true,
                (Some(_), _) => false,
            };
            if is_new {
                request.alarm = Some(alarm);
                request.wake.notify_one();
            }
        }
        (stalled, pause)
    }

    /// The targets that have streams but none with progress within [`STALL_TIMEOUT`], sorted.
    fn stalled(&self, now: Instant) -> Vec<ServerKey> {
        let mut newest: Vec<(ServerKey, Instant)> = Vec::new();
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
