//! Which instances are alive.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::plan::Action;
use crate::roster::{Roster, Server};

/// Time without a heartbeat after which an instance is probed: a heartbeat's period, its delay and
/// the period of reads.
const OVERDUE: Duration = Duration::from_millis(1_900);

/// Time between two probes of an instance.
const PROBE_GAP: Duration = Duration::from_millis(250);

/// Time between two probes of an instance whose group waits for the effect of an order.
const CHANGE_GAP: Duration = Duration::from_millis(120);

/// Probes without an answer after which an instance counts as lost.
const PROBES: u8 = 2;

/// How long a suspicion lasts without a new cause.
const SUSPICION: Duration = Duration::from_millis(1_200);

/// The result of a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeResult {
    /// The instance answered.
    Alive,
    /// No process listens at its address.
    Refused,
    /// There was no answer in time.
    Silent,
}

#[derive(Clone, Debug, Default)]
struct Instance {
    started_ms: u64,
    failed: u8,
    asked: Option<Instant>,
    suspected: Option<Instant>,
    /// When it last answered a probe.
    answered: Option<Instant>,
}

/// What is known of the instances' liveness.
#[derive(Clone, Debug, Default)]
pub(super) struct Liveness {
    instances: Map<SmolStr, Instance>,
}

impl Liveness {
    pub(super) fn record_probe(&mut self, id: &str, probe: ProbeResult, now: Instant) {
        let Some(instance) = self.instances.get_mut(&SmolStr::new(id)) else { return };
        match probe {
            ProbeResult::Alive => {
                instance.failed = 0;
                instance.answered = Some(now);
            }
            ProbeResult::Refused => instance.failed = PROBES,
            ProbeResult::Silent => instance.failed = instance.failed.saturating_add(1),
        }
    }

    /// Lets the next probe of an instance go at once, as its state is open.
    pub(super) fn probe_soon(&mut self, id: &str) {
        if let Some(instance) = self.instances.get_mut(&SmolStr::new(id)) {
            instance.asked = None;
        }
    }

    pub(super) fn suspect(&mut self, id: &SmolStr, now: Instant) {
        self.instances.entry(id.clone(), Instance::default).suspected = Some(now);
    }

    /// Whether an instance does not answer.
    pub(super) fn is_lost(&self, id: &SmolStr) -> bool {
        self.instances.get(id).is_some_and(|instance| instance.failed >= PROBES)
    }

    /// The probes that are due.
    ///
    /// Instances of `changing` groups are asked each time, so that the next step is not delayed by
    /// the list. A question costs less than a read of the list.
    pub(super) fn tick(
        &mut self,
        roster: &Roster,
        changing: &[SmolStr],
        now: Instant,
    ) -> Vec<Action> {
        self.instances.retain(|id, _| roster.by_id(id).is_some());
        let engines = roster.iter().filter(|(_, server)| server.record.engine.is_some());
        engines
            .filter_map(|(_, server)| {
                let instance = self.instances.entry(server.id.clone(), Instance::default);
                let is_changing = changing.binary_search(&server.id).is_ok();
                is_due(instance, server, is_changing, now).then(|| Action::Probe(server.id.clone()))
            })
            .collect()
    }
}

fn is_due(instance: &mut Instance, server: &Server, is_changing: bool, now: Instant) -> bool {
    if instance.started_ms != server.record.started_ms {
        *instance = Instance { started_ms: server.record.started_ms, ..Instance::default() };
    }
    let is_late = now.since(server.last_seen) > OVERDUE;
    let was_heard = instance.asked.is_some_and(|asked| server.last_seen > asked);
    if !is_late && was_heard {
        instance.failed = 0;
    }
    let is_suspected = instance.suspected.is_some_and(|at| now.since(at) < SUSPICION)
        && instance.answered.is_none_or(|at| now.since(at) > SUSPICION);
    let gap = if is_changing { CHANGE_GAP } else { PROBE_GAP };
    let is_waiting = instance.asked.is_some_and(|asked| now.since(asked) < gap);
    let is_unknown = server.order_count.is_none();
    let has_cause = is_late || is_suspected || is_unknown || is_changing || instance.failed > 0;
    let is_due = has_cause && !is_waiting;
    if is_due {
        instance.asked = Some(now);
    }
    is_due
}
