//! Recovery of a call whose connection failed: it is resumed, repeated or ended.

use std::time::Duration;

use mgw_base::arena::Key;
use mgw_base::time::Instant;
use mgw_event::{Body, Kind};
use mgw_route::retry;
use mgw_route::stream::{self, Alternatives, Recovery};

use super::{Action, Call, Error, Loss};
use crate::node::Node;

/// Time after which a request that is suspected of crashing servers is tried again, if every target
/// is running another suspect.
const SUSPECT_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Assumed duration of another attempt, which must fit before the deadline.
const EXPECTED_DURATION: Duration = Duration::from_millis(50);

impl Node {
    /// Resumes or repeats a call after its connection failed, or ends it.
    ///
    /// A copy of the call's stream shows which alternative would be used, so that another target is
    /// selected and the retry budget is charged only if needed.
    pub(super) fn recover(
        &mut self,
        now: Instant,
        call: Key<Call>,
        connection: u32,
        loss: Loss,
    ) -> Action {
        let Some(active) = self.calls.get(call) else { return Action::Ignore };
        let (request, mut tried) = (active.request.clone(), active.tried.clone());
        let (attempts, was_suspect) = (active.attempts, active.suspect);
        let reachable =
            matches!(loss, Loss::Disconnected | Loss::IdleTimeout | Loss::InvalidAnswer);
        let available = self.targets.get(active.target).is_some_and(|it| it.attributes().available);
        let mut alternatives = Alternatives {
            same_target: reachable && available,
            other_target: None,
            retry_budget: true,
        };
        let mut simulated = active.stream.clone();
        let suspect = match self.check_quarantine(now, &request) {
            Ok(suspect) => suspect || was_suspect,
            Err(error) => return Action::Fail(error),
        };
        if !alternatives.same_target
            || matches!(
                simulated.clone().connection_lost(connection, &alternatives, now),
                Recovery::Broken(_)
            )
        {
            tried.dedup();
            match self.choose(now, &request, &tried, suspect) {
                Ok(selection) => alternatives.other_target = Some(selection.target),
                Err(Error::Overloaded { .. }) if now + SUSPECT_RETRY_DELAY < request.deadline => {
                    return Action::RetryAfter(SUSPECT_RETRY_DELAY);
                }
                Err(_) => {}
            }
        }
        if matches!(
            simulated.connection_lost(connection, &alternatives, now),
            Recovery::Continue { .. }
        ) {
            let retry = retry::Request {
                kind: retry::Kind::Retry,
                idempotent: true,
                written: true,
                attempts,
                deadline: request.deadline,
                expected_duration: EXPECTED_DURATION,
            };
            alternatives.retry_budget = self.retries.withdraw(&request.team, &retry, now).is_ok();
            if !alternatives.retry_budget {
                let body = Body::new(Kind::RetryBudgetSpent).request(&request.id);
                self.events.push(body.team(&request.team));
            }
        }
        let Some(active) = self.calls.get_mut(call) else { return Action::Ignore };
        active.suspect = suspect;
        match active.stream.connection_lost(connection, &alternatives, now) {
            Recovery::Ignored => Action::Ignore,
            Recovery::Broken(stream::Error::Deadline) => Action::Fail(Error::Deadline),
            Recovery::Broken(error) => Action::Fail(Error::Upstream(error)),
            Recovery::Resume { attempt, offset } => {
                let kind = Kind::RequestResumed;
                self.reroute(call, kind, attempt.connection, offset)
            }
            Recovery::Continue { attempt, offset } => {
                active.attempts += 1;
                let (old, number) = (active.target, active.number);
                self.targets.finish_request(old, number, false, now);
                self.start_attempt(now, call, attempt.target);
                let kind = if offset > 0 { Kind::RequestResumed } else { Kind::RequestRetried };
                self.reroute(call, kind, attempt.connection, offset)
            }
        }
    }

    /// Emits the event of a resumed or repeated call and returns its new connection.
    fn reroute(
        &mut self,
        call: Key<Call>,
        kind: Kind,
        connection: u32,
        resume_from: u64,
    ) -> Action {
        let Some(active) = self.calls.get(call) else { return Action::Ignore };
        let body = Body::new(kind).request(&active.request.id).team(&active.request.team);
        self.events.push(body.text(format_args!("{resume_from} tokens received")));
        match self.route(call, connection, resume_from) {
            Some(route) => Action::Connect(route),
            None => Action::Fail(Error::Upstream(stream::Error::NoTarget)),
        }
    }
}
