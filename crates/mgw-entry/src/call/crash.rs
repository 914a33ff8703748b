//! Crashes of targets: their detection, and the blame and quarantine of the calls in flight.

use std::time::Duration;

use mgw_base::arena::Key;
use mgw_base::time::Instant;
use mgw_event::{Body, Kind};
use mgw_route::quarantine::{InFlight, Status};
use mgw_route::select::{Id, Target};
use mgw_state::record::Record;
use mgw_wire::frame::{Blame, Item};

use super::{Error, Request};
use crate::node::Node;
use crate::outbox::Purpose;

/// Time after a crash of a target within which further refused connections do not count as another
/// crash.
const CRASH_WINDOW: Duration = Duration::from_secs(5);

impl Node {
    /// Whether a request is suspected of crashing servers; an error if it is quarantined.
    pub(super) fn check_quarantine(&self, now: Instant, request: &Request) -> Result<bool, Error> {
        match self.quarantine.check(request.fingerprint, now) {
            Status::Clear => Ok(false),
            Status::Suspect => Ok(true),
            Status::Quarantined { until } => {
                Err(Error::Quarantined { retry_after: until.since(now) })
            }
        }
    }

    /// Records that a target refused a connection or said that it does not serve.
    ///
    /// If an earlier connection closed after the request was written (`disconnected`), this means
    /// that the target crashed. A refusal alone does not, because the target may have been stopped.
    pub(super) fn handle_refusal(&mut self, now: Instant, target: Key<Target>, disconnected: bool) {
        let Some(id) = self.targets.get(target).map(|target| target.id().clone()) else { return };
        let last_refusal = self.refused_at.get(&id).copied();
        let last_crash = self.crashed_at.get(&id).copied();
        self.refused_at.insert(id.clone(), last_refusal.map_or(now, |at| at.max(now)));
        if disconnected && last_crash.is_none_or(|at| now.since(at) >= CRASH_WINDOW) {
            self.crashed_at.insert(id.clone(), now);
            self.record_crash(now, target, &id);
        }
        self.sync_targets(now);
    }

    /// Blames the calls in flight at a crashed target: passes the blame to the quarantine table, to
    /// the peers and to the log.
    fn record_crash(&mut self, now: Instant, target: Key<Target>, id: &Id) {
        let in_flight: Vec<InFlight> = self
            .calls
            .iter()
            .filter(|(_, call)| call.target == target)
            .map(|(_, call)| InFlight {
                fingerprint: call.request.fingerprint,
                suspect: call.suspect,
            })
            .collect();
        let group = match id {
            Id::Group(group) => *group,
            Id::Server(_) => 0,
        };
        for blame in self.quarantine.observe_crash(&in_flight, now) {
            let text = format_args!("{:032x}", blame.fingerprint);
            self.events.push(Body::new(Kind::CrashBlamed).group(group).text(text));
            let item = Item::Blame(Blame {
                fingerprint: blame.fingerprint,
                observer: blame.observer,
                counter: blame.counter,
            });
            self.gossip.receive(&mut self.peers, &mut self.store, vec![item], now);
            let record = Record::Crash { fingerprint: blame.fingerprint, group };
            self.outbox.push(Purpose::Crash, record);
        }
        self.send_urgent(now);
    }
}
