//! Declares the metrics and sends them to a StatsD receiver through `cadence`.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, NopMetricSink, QueuingMetricSink, StatsdClient};

/// Prefix of all metric names; `cadence` adds the dot after it.
const PREFIX: &str = "marigoldwall";

/// StatsD type of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Number of occurrences (StatsD `c`).
    Counter,
    /// Current value, sent once a second (StatsD `g`).
    Gauge,
    /// Duration in ms (StatsD `ms`).
    Timer,
}

/// Declaration of a metric.
#[derive(Clone, Copy, Debug)]
pub struct Metric {
    /// Name without the common prefix `marigoldwall`.
    pub name: &'static str,
    /// StatsD type.
    pub kind: Kind,
    /// Unit of the value, as the documentation states it.
    pub unit: &'static str,
    /// Names of the tags besides `entry`, separated by commas; empty if there are none.
    pub tags: &'static str,
    /// What the metric measures, as a phrase for the documentation.
    pub about: &'static str,
}

impl Metric {
    /// The metric as a row of the Markdown table in the operators' documentation: name, type, unit,
    /// tags and meaning.
    pub fn row(&self) -> String {
        let Metric { name, unit, tags, about, .. } = self;
        let kind = match self.kind {
            Kind::Counter => "counter",
            Kind::Gauge => "gauge",
            Kind::Timer => "timer",
        };
        let tags = if tags.is_empty() { "none" } else { tags };
        format!("| `{PREFIX}.{name}` | {kind} | {unit} | {tags} | {about} |")
    }
}

/// Declares a gauge without tags.
const fn gauge(name: &'static str, unit: &'static str, about: &'static str) -> Metric {
    Metric { name, kind: Kind::Gauge, unit, tags: "", about }
}

/// Counts recorded events by kind.
pub const EVENTS: Metric = Metric {
    name: "events",
    kind: Kind::Counter,
    unit: "events",
    tags: "kind",
    about: "events of each kind, with the names of `docs/EVENTS.md`",
};

/// Counts requests of callers that end with an error before any part of an answer, by error code.
pub const REFUSED: Metric = Metric {
    name: "refused",
    kind: Kind::Counter,
    unit: "requests",
    tags: "code",
    about: "requests of callers that got an error before any part of an answer, by error code",
};

/// Time from the complete request to the first token of the answer.
pub const FIRST_TOKEN: Metric = Metric {
    name: "first_token",
    kind: Kind::Timer,
    unit: "ms",
    tags: "team, scope",
    about: "time from the whole request to the first token; scope is the model",
};

/// Time from the complete request to the outcome of a booking.
pub const BOOKING: Metric = Metric {
    name: "booking",
    kind: Kind::Timer,
    unit: "ms",
    tags: "team, scope",
    about: "time from the whole request to the outcome of a booking; scope is the service",
};

/// Number of requests in flight at this entry.
pub const IN_FLIGHT: Metric =
    gauge("in_flight", "requests", "model calls, service calls and bookings in flight here");

/// Offset below which all log records are applied.
pub const LOG_APPLIED: Metric =
    gauge("log_applied", "offset", "all records of the log below this offset are applied here");

/// Number of groups in the replicated state.
pub const GROUPS: Metric = gauge("groups", "groups", "groups in the log's state");

/// Number of groups that this entry sends no requests to.
pub const GROUPS_CLOSED: Metric =
    gauge("groups_closed", "groups", "groups that this entry sends no requests to");

/// Number of accelerators on listed instances that belong to no serving group.
pub const STRANDED: Metric = gauge(
    "accelerators_stranded",
    "accelerators",
    "accelerators of listed instances that belong to no serving group",
);

/// All metrics, in the order of the operators' documentation.
pub const ALL: [Metric; 9] = [
    EVENTS,
    REFUSED,
    FIRST_TOKEN,
    BOOKING,
    IN_FLIGHT,
    LOG_APPLIED,
    GROUPS,
    GROUPS_CLOSED,
    STRANDED,
];

/// Sends the metrics of one entry. Names and units are listed in
/// `docs/operators/reading_the_measures.md`.
#[derive(Debug)]
pub struct Metrics {
    client: StatsdClient,
}

impl Metrics {
    /// A sender to a StatsD receiver over non-blocking UDP. Without a receiver, metrics are dropped.
    ///
    /// # Errors
    ///
    /// Fails if the UDP socket cannot be opened.
    pub fn new(entry: &str, receiver: Option<SocketAddr>) -> std::io::Result<Self> {
        let builder = match receiver {
            None => StatsdClient::builder(PREFIX, NopMetricSink),
            Some(address) => {
                let local: SocketAddr = match address {
                    SocketAddr::V4(_) => ([127, 0, 0, 1], 0).into(),
                    SocketAddr::V6(_) => ([0u16, 0, 0, 0, 0, 0, 0, 1], 0).into(),
                };
                let bind: SocketAddr = match address.ip().is_loopback() {
                    true => local,
                    false => (std::net::Ipv4Addr::UNSPECIFIED, 0).into(),
                };
                let socket = UdpSocket::bind(bind)?;
                socket.set_nonblocking(true)?;
                let sink =
                    BufferedUdpMetricSink::from(address, socket).map_err(std::io::Error::other)?;
                StatsdClient::builder(PREFIX, QueuingMetricSink::from(sink))
            }
        };
        Ok(Self { client: builder.with_tag("entry", entry).build() })
    }

    /// Adds 1 to a counter with exactly one tag, whose value is `tag`.
    pub fn count(&self, metric: &Metric, tag: &str) {
        self.client.count_with_tags(metric.name, 1).with_tag(metric.tags, tag).send();
    }

    /// Sends the current value of a gauge.
    pub fn gauge(&self, metric: &Metric, value: u64) {
        self.client.gauge_with_tags(metric.name, value).send();
    }

    /// Sends a duration with its team and its scope, which is the model or the service.
    pub fn time(&self, metric: &Metric, duration: Duration, team: &str, scope: &str) {
        self.client
            .time_with_tags(metric.name, duration.as_millis() as u64)
            .with_tag("team", team)
            .with_tag("scope", scope)
            .send();
    }
}
