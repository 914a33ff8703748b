//! The work left at the servers of a plain service: of this entry's requests by their kinds and by how
//! long they have been there, and of the others' by their reports.

use std::time::Duration;

use bincode::{Decode, Encode};
use mgw_base::time::Instant;

use crate::balance::Candidate;
use crate::codec;
use crate::peer_load::MAX_DATAGRAM_BYTES;
use crate::work::predicted_time;
use crate::work::service_time::{Kind, Table};

/// Version of the encoding, the first byte of each datagram. It differs from those of the other
/// datagrams, and tells them apart. Entries of an earlier build discard these.
const FORMAT_VERSION: u8 = 68;

/// Maximum number of servers in a report. Their size in memory, which the decoder limits to
/// [`MAX_DATAGRAM_BYTES`], is larger than the encoded one.
pub const MAX_ITEMS: usize = 32;

/// Maximum number of kinds in a report.
pub const MAX_KINDS: usize = 16;

/// A request of this entry at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Request {
    kind: Kind,
    sent_at: Instant,
}

/// The requests of this entry at a server.
#[derive(Clone, Debug, Default)]
pub struct Running {
    requests: Vec<Request>,
}

impl Running {
    /// Adds a request.
    pub fn add(&mut self, kind: Kind, sent_at: Instant) {
        self.requests.push(Request { kind, sent_at });
    }

    /// Removes a request that was added with the same arguments.
    pub fn remove(&mut self, kind: Kind, sent_at: Instant) {
        let request = Request { kind, sent_at };
        if let Some(place) = self.requests.iter().position(|it| *it == request) {
            self.requests.swap_remove(place);
        }
    }

    /// Work that is left of the requests at `now`, in seconds at usual speed.
    pub fn left_s(&self, times: &Table, now: Instant) -> f64 {
        let left_s = |it: &Request| times.remaining_s(it.kind, now.since(it.sent_at));
        self.requests.iter().map(left_s).sum()
    }
}

/// What is known of a plain server's work when a request is about to be sent to it. For a group, see
/// [`crate::work::Backlog`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backlog {
    /// Estimated number of requests of all entries at the server.
    pub requests: f64,
    /// Work left of these requests, in seconds at usual speed.
    pub left_s: f64,
    /// Factor on the times of its answers; see [`crate::work::speed`].
    pub slowdown: f64,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
}

impl Backlog {
    /// Expected time until the answer to a request that takes `own_s` seconds at usual speed: the wait
    /// for a slot, and its own time. As the number of requests is an estimate, all slots are taken to
    /// be in use with the chance that each of them is.
    pub fn answer(&self, own_s: f64) -> Duration {
        let slots = self.slots.max(1);
        let used = (self.requests / f64::from(slots)).clamp(0.0, 1.0);
        let wait_s = self.left_s / f64::from(slots) * used.powi(slots.cast_signed());
        predicted_time((wait_s + own_s) * self.slowdown)
    }
}

/// A request to a service whose requests take clearly different times.
#[derive(Clone, Copy, Debug)]
pub struct Demand<'a> {
    /// Kind of the request.
    pub kind: Kind,
    /// Learned times of the service.
    pub times: &'a Table,
    /// Time between two load reports of an entry; see [`crate::fan_out::cycle`].
    pub cycle: Duration,
}

/// Predicts the answer to a request at each of the `candidates`. `reported_s` has the work left there
/// of the other entries' requests, in seconds, as they reported it.
pub fn predict(
    candidates: &mut [Candidate<'_>],
    mut reported_s: Vec<f64>,
    demand: &Demand<'_>,
    now: Instant,
) {
    let Demand { kind, times, cycle } = *demand;
    let own_requests = |it: &Candidate<'_>| f64::from(it.load.in_flight);
    let mut reported: Vec<f64> =
        candidates.iter().map(|it| it.requests - own_requests(it)).collect();
    let mean_s = times.mean_s();
    age_reported(&mut reported, cycle, mean_s, 1.0);
    age_reported(&mut reported_s, cycle, mean_s, mean_s);
    let own_s = times.remaining_s(kind, Duration::ZERO);
    for (candidate, (requests, left_s)) in
        candidates.iter_mut().zip(reported.iter().zip(&reported_s))
    {
        let load = candidate.load;
        candidate.requests = requests + own_requests(candidate);
        let backlog = Backlog {
            requests: candidate.requests,
            left_s: left_s + load.running.left_s(times, now),
            slowdown: load.speed.factor(mean_s, now),
            slots: candidate.slots,
        };
        candidate.first_event = Some(backlog.answer(own_s));
    }
}

/// Replaces the requests of the other entries at each server, or their work, as they reported it, by
/// what is expected when a report has half the age of the `cycle` in which they are sent. The servers'
/// mean remains, while the differences decay, as requests end after a mean time of `mean_s` seconds. A
/// difference of less than half a `unit`, that of one request, is dropped. Otherwise all entries would
/// choose the server that had little work a while ago.
fn age_reported(reported: &mut [f64], cycle: Duration, mean_s: f64, unit: f64) {
    let mean = reported.iter().sum::<f64>() / reported.len().max(1) as f64;
    let weight = (-cycle.as_secs_f64() / 2.0 / mean_s.max(f64::EPSILON)).exp();
    let unit = unit.max(f64::EPSILON);
    for it in reported {
        *it = mean + ((*it - mean) * weight / unit).round() * unit;
    }
}

/// The report of one entry's work, sent right after its load report.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Report {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Sequence number of the load report.
    pub sequence: u64,
    /// Servers with work of the sender; at most [`MAX_ITEMS`].
    pub servers: Vec<Server>,
    /// The learned times of the kinds of requests; at most [`MAX_KINDS`].
    pub kinds: Vec<KindTime>,
}

/// The work of an entry at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Server {
    /// Hash of the server's id; see [`crate::peer_load::target_hash`].
    pub target: u64,
    /// Work left of the entry's requests, in milliseconds at usual speed.
    pub left_ms: u32,
}

/// The learned time of a kind of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct KindTime {
    /// Hash of the name of the service.
    pub service: u64,
    /// Kind of the requests.
    pub kind: Kind,
    /// Mean time of an answer in microseconds.
    pub mean_us: u32,
}

/// Encodes a report.
///
/// # Errors
///
/// The encoder fails.
pub fn encode(report: &Report) -> Result<Vec<u8>, bincode::error::EncodeError> {
    codec::encode(FORMAT_VERSION, report)
}

/// Decodes a report. Returns `None` if the datagram is malformed or of another kind.
pub fn decode(bytes: &[u8]) -> Option<Report> {
    codec::decode::<_, MAX_DATAGRAM_BYTES>(FORMAT_VERSION, bytes)
}
