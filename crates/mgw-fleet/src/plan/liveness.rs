//! Failure detection: decides which instances to probe and which of them count as lost.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::plan::Action;
use crate::roster::{Roster, Server};

/// Time without a heartbeat or report after which an instance is probed. Covers a heartbeat
/// interval, the delay of the heartbeat and the interval at which the server list is read.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Minimum time between two probes of an instance.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time between two probes of an instance whose group waits for the effect of an order.
const TRANSITION_PROBE_INTERVAL: Duration = Duration::from_millis(120);

/// Time from the first failed probe of several without a reply after which an instance counts as
/// lost. A sound instance may be silent for a second or so.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);

/// Time after which a suspicion expires. An instance that replied to a probe within this time is
/// not probed for a suspicion.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The instance replied.
    Alive,
    /// No process listens at the address of the instance, or it is another one. The instance counts
    /// as lost at once.
    Refused,
    /// No reply arrived in time.
    Silent,
}

/// Probe state of an instance.
#[derive(Clone, Debug, Default)]
struct Instance {
    /// Start time of the process that the other fields refer to.
    started_ms: u64,
    /// When the first of the consecutive probes without a reply failed; `None` if the newest
    /// probe was answered.
    unanswered_since: Option<Instant>,
    /// Whether it counts as lost: it has been silent for too long, or its address refused a probe.
    is_lost: bool,
    /// When the newest probe was requested; cleared by an order so that the next one is due at
    /// once.
    last_probe: Option<Instant>,
    /// When the requests of its group were last found to make no progress.
    suspected_at: Option<Instant>,
    /// When it last replied to a probe.
    last_answer: Option<Instant>,
}

impl Instance {
    /// Whether the newest probe was refused or not answered.
    fn has_failed(&self) -> bool {
        self.is_lost || self.unanswered_since.is_some()
    }

    /// Records a sign of life.
    fn clear(&mut self) {
        self.unanswered_since = None;
        self.is_lost = false;
    }
}

/// Probe state of all engines, by instance id.
#[derive(Clone, Debug, Default)]
pub(super) struct Liveness {
    instances: Map<SmolStr, Instance>,
}

impl Liveness {
    /// Records the result of a probe of instance `id`.
    pub(super) fn record_probe(&mut self, id: &str, probe: ProbeResult, now: Instant) {
        let Some(instance) = self.instances.get_mut(&SmolStr::new(id)) else { return };
        match probe {
            ProbeResult::Alive => {
                instance.clear();
                instance.last_answer = Some(now);
            }
            ProbeResult::Refused => instance.is_lost = true,
            ProbeResult::Silent => {
                let since = *instance.unanswered_since.get_or_insert(now);
                instance.is_lost |= now.since(since) >= SILENCE_TIMEOUT;
            }
        }
    }

    /// Makes the next probe of an instance due immediately, because its state is uncertain.
    pub(super) fn probe_soon(&mut self, id: &str) {
        if let Some(instance) = self.instances.get_mut(&SmolStr::new(id)) {
            instance.last_probe = None;
        }
    }

    /// Requests a probe of an instance whose group makes no progress.
    pub(super) fn suspect(&mut self, id: &SmolStr, now: Instant) {
        self.instances.get_or_insert_with(id.clone(), Instance::default).suspected_at = Some(now);
    }

    /// Whether an instance has replied to no probe for [`SILENCE_TIMEOUT`], or its address refused
    /// one.
    pub(super) fn is_lost(&self, id: &SmolStr) -> bool {
        self.instances.get(id).is_some_and(|instance| instance.is_lost)
    }

    /// Returns the probes that are due and records them as sent.
    ///
    /// Instances in `transitioning`, which is sorted, are probed at the shorter interval even
    /// without a suspicion, so that the next order does not have to wait for the server list. A
    /// probe costs less than a read of the list.
    pub(super) fn due_probes(
        &mut self,
        roster: &Roster,
        transitioning: &[SmolStr],
        now: Instant,
    ) -> Vec<Action> {
        self.instances.retain(|id, _| roster.instance(id).is_some());
        let engines = roster.instances().filter(|server| server.record.engine.is_some());
        engines
            .filter_map(|server| {
                let instance =
                    self.instances.get_or_insert_with(server.id.clone(), Instance::default);
                let is_transitioning = transitioning.binary_search(&server.id).is_ok();
                probe_is_due(instance, server, is_transitioning, now)
                    .then(|| Action::Probe(server.id.clone()))
            })
            .collect()
    }
}

/// Whether a probe of `server` is due; if so, it is recorded as sent at `now`.
fn probe_is_due(
    instance: &mut Instance,
    server: &Server,
    is_transitioning: bool,
    now: Instant,
) -> bool {
    if instance.started_ms != server.record.started_ms {
        *instance = Instance { started_ms: server.record.started_ms, ..Instance::default() };
    }
    let is_late = now.since(server.last_seen) > HEARTBEAT_TIMEOUT;
    let was_seen = instance.last_probe.is_some_and(|last_probe| server.last_seen > last_probe);
    if !is_late && was_seen {
        instance.clear();
    }
    let is_suspected = instance.suspected_at.is_some_and(|at| now.since(at) < SUSPICION_TIMEOUT)
        && instance.last_answer.is_none_or(|at| now.since(at) > SUSPICION_TIMEOUT);
    let interval = if is_transitioning { TRANSITION_PROBE_INTERVAL } else { PROBE_INTERVAL };
    let was_just_probed =
        instance.last_probe.is_some_and(|last_probe| now.since(last_probe) < interval);
    let is_unknown = server.order_count.is_none();
    let is_unconfirmed = server.unlisted_since.is_some_and(|since| server.last_seen <= since);
    let is_uncertain = is_unknown || is_unconfirmed || is_transitioning;
    let has_cause = is_late || is_suspected || is_uncertain || instance.has_failed();
    // An instance that is neither listed nor reachable returns through the list.
    let is_gone = instance.is_lost && server.unlisted_since.is_some();
    let is_due = has_cause && !was_just_probed && !is_gone;
    if is_due {
        instance.last_probe = Some(now);
    }
    is_due
}
