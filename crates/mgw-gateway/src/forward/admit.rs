//! Admission: decides whether a request is served, and for which service.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mgw_base::time::Instant;
use mgw_fleet::config::{Config, Principal};
use mgw_http::head::Request;
use mgw_http::sse::Splitter;
use mgw_route::poison::Part;
use mgw_route::quarantine::{self, Status};
use platform::header;
use rand::Rng;
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::forward::exchange::Progress;
use crate::forward::{ActiveRequest, NO_TIMEOUT};
use crate::gateway::{Gateway, State};
use crate::in_flight::{self, Wait};
use crate::reply::Cause;

/// Time before the caller's deadline at which a request fails, so that the response still reaches
/// the caller in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// Timeout of requests that state no deadline; the route's timeout also applies.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Decides whether a request may be served, from the configuration, the age of its proof, the
/// shutdown and the quarantine. An admitted request is added to the table of requests in flight;
/// the caller of this function removes it.
///
/// # Errors
///
/// The cause of the local reply to a request that is refused.
pub(super) fn admit<'a>(
    gateway: &'a Rc<Gateway>,
    request: &'a Request,
    body: Bytes,
    metadata: header::RequestMetadata,
    arrived: Instant,
    is_last: bool,
) -> Result<ActiveRequest<'a>, Cause> {
    let config = gateway.config().ok_or(Cause::NoConfig)?;
    let host = request.fields.get_str("host").ok_or(Cause::Malformed)?;
    let revocation_timeout = gateway.settings().bounds.key_revocation_timeout;
    let trusts_keys = gateway.with(|state| state.trusts_keys(revocation_timeout, arrived));
    let Some(route) = config.route(host, request.path()) else {
        return Err(if trusts_keys { Cause::NoRoute } else { Cause::StaleConfig });
    };
    let route_index = config.routes().iter().position(|it| std::ptr::eq(it, route)).unwrap_or(0);
    if config.needs_key(route) && !trusts_keys {
        return Err(Cause::StaleConfig);
    }
    let (team, team_priority) = match config.authenticate(route, metadata.api_key.as_deref()) {
        Principal::Team(team) => (Some(team.name.clone()), team.priority),
        Principal::Anonymous => (None, None),
        Principal::Unauthenticated => return Err(Cause::UnknownKey),
    };
    let priority = team_priority.unwrap_or(route.priority).min(9);
    let time_limit = metadata.timeout.unwrap_or(DEFAULT_TIMEOUT).min(route.timeout);
    let deadline = arrived + time_limit.saturating_sub(RESPONSE_MARGIN);
    if gateway.shutdown.get().is_some_and(|shutdown| !shutdown.accepts(deadline, arrived)) {
        return Err(Cause::Leaving);
    }
    let caller_id = team.clone().or(metadata.api_key.clone()).unwrap_or_default();
    let fingerprint = quarantine::fingerprint(&caller_id, request.target(), &body);
    let shared_parts: Vec<Part> =
        metadata.shared_parts.iter().map(|id| Part::from_id(id)).collect();
    let wake = Rc::new(Notify::new());
    let (service, suspect, request_key) = gateway.with(|state| {
        if state.poison.is_quarantined(&shared_parts) {
            return Err(Cause::Quarantined);
        }
        let suspect = match state.quarantine.check(fingerprint, arrived) {
            Status::Clear => false,
            Status::Suspect => true,
            Status::Quarantined { .. } => return Err(Cause::Quarantined),
        };
        let service = draw_service(&route.services, state);
        if let Some(work) = instance_seconds(&config, &service, &metadata) {
            let key = (service.clone(), metadata.model.clone().unwrap_or_default());
            *state.requested_work.get_or_insert_with(key, || 0.0) += work;
        }
        let request_key = state.requests.insert(in_flight::Request {
            deadline,
            target: None,
            wait: Wait::Nothing,
            last_progress: arrived,
            stall_timeout: NO_TIMEOUT,
            alarm: None,
            wake: Rc::clone(&wake),
            fingerprint,
            is_suspect: suspect,
        });
        Ok((service, suspect, request_key))
    })?;
    Ok(ActiveRequest {
        gateway,
        request,
        body,
        metadata,
        config: Rc::clone(&config),
        route_index,
        service,
        team,
        priority,
        arrived,
        deadline,
        request_key,
        wake,
        tried: Vec::new(),
        attempts: 0,
        refusals: 0,
        failed_connects: 0,
        may_have_run: false,
        has_begun_sending: false,
        has_retry_permit: false,
        splitter: Splitter::default(),
        is_started: false,
        media_type: SmolStr::default(),
        is_last,
        first_event: None,
        progress: Progress::default(),
        suspended: Vec::new(),
        going_on: None,
        given_up_at: None,
        event_gap: (None, Duration::ZERO),
        fingerprint,
        suspect,
        shared_parts,
        target: None,
        fallback: None,
    })
}

/// Estimated instance seconds of a request at a group; `None` if the service has no engine, or the
/// request states no known model or no token counts.
fn instance_seconds(
    config: &Config,
    service: &str,
    metadata: &header::RequestMetadata,
) -> Option<f64> {
    let engine = config.services.get(&SmolStr::new(service))?.engine.as_ref()?;
    let model = engine.model(metadata.model.as_deref()?)?;
    let (prompt_tokens, output_tokens) = metadata.expected_tokens()?;
    Some(engine.group_seconds(model, prompt_tokens, output_tokens) * model.group_size as f64)
}

/// Draws one of a route's services at random, by their weights.
fn draw_service(services: &[(SmolStr, u32)], state: &mut State) -> SmolStr {
    let total: u32 = services.iter().map(|(_, weight)| weight).sum();
    let mut point = if total > 0 { state.rng.random_range(0..total) } else { 0 };
    for (service, weight) in services {
        match point.checked_sub(*weight) {
            Some(rest) => point = rest,
            None => return service.clone(),
        }
    }
    services.first().map(|(service, _)| service.clone()).unwrap_or_default()
}
