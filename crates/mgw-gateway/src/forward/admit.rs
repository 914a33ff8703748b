//! Whether a request may be served, from the configuration and what this process knows.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mgw_base::time::Instant;
use mgw_fleet::config::{Config, Principal};
use mgw_http::event::Splitter;
use mgw_http::head::Request;
use mgw_route::quarantine::{self, Status};
use platform::header;
use rand::Rng;
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::forward::{FOREVER, Job};
use crate::gateway::{Gateway, State};
use crate::in_flight::{self, Wait};
use crate::reply::Cause;

/// Time that is left for the answer to reach the caller before it gives up.
const RETURN: Duration = Duration::from_millis(15);

/// Deadline of requests that state none.
const DEADLINE: Duration = Duration::from_secs(30);

/// Decides whether a request may be served, from the configuration alone.
pub(super) fn admit<'a>(
    gateway: &'a Rc<Gateway>,
    request: &'a Request,
    body: Bytes,
    caller: header::RequestMetadata,
    arrived: Instant,
    is_last: bool,
) -> Result<Job<'a>, Cause> {
    let config = gateway.config().ok_or(Cause::NoConfig)?;
    let host = request.fields.text("host").ok_or(Cause::Malformed)?;
    let covers = gateway
        .with(|state| state.covers_keys(gateway.settings.bounds.key_revocation_timeout, arrived));
    let Some(route) = config.route(host, request.path()) else {
        return Err(if covers { Cause::NoRoute } else { Cause::StaleConfig });
    };
    let place = config.routes().iter().position(|it| std::ptr::eq(it, route)).unwrap_or(0);
    if config.needs_key(route) && !covers {
        return Err(Cause::StaleConfig);
    }
    let (team, rank) = match config.authenticate(route, caller.api_key.as_deref()) {
        Principal::Team(team) => (Some(team.name.clone()), team.priority),
        Principal::Anonymous => (None, None),
        Principal::Unauthenticated => return Err(Cause::UnknownKey),
    };
    let priority = rank.unwrap_or(route.priority).min(9);
    let whole = caller.timeout.unwrap_or(DEADLINE).min(route.timeout);
    let deadline = arrived + whole.saturating_sub(RETURN);
    if gateway.shutdown.get().is_some_and(|shutdown| !shutdown.accepts(deadline, arrived)) {
        return Err(Cause::Leaving);
    }
    let who = team.clone().or(caller.api_key.clone()).unwrap_or_default();
    let fingerprint = quarantine::fingerprint(&who, request.target(), &body);
    let wake = Rc::new(Notify::new());
    let (service, suspect, ticket) = gateway.with(|state| {
        let suspect = match state.quarantine.check(fingerprint, arrived) {
            Status::Clear => false,
            Status::Suspect => true,
            Status::Quarantined { .. } => return Err(Cause::Quarantined),
        };
        let service = draw_service(&route.services, state);
        if let Some(work) = instance_seconds(&config, &service, &caller) {
            let key = (service.clone(), caller.model.clone().unwrap_or_default());
            *state.requested_work.entry(key, || 0.0) += work;
        }
        let ticket = state.requests.insert(in_flight::Request {
            deadline,
            target: None,
            wait: Wait::Nothing,
            last_progress: arrived,
            stall_timeout: FOREVER,
            alarm: None,
            wake: Rc::clone(&wake),
            fingerprint,
            is_suspect: suspect,
        });
        Ok((service, suspect, ticket))
    })?;
    Ok(Job {
        gateway,
        request,
        body,
        caller,
        config: Rc::clone(&config),
        route: place,
        service,
        team,
        priority,
        arrived,
        deadline,
        ticket,
        wake,
        tried: Vec::new(),
        attempts: 0,
        connects: 0,
        may_have_run: false,
        is_sent: false,
        is_drawn: false,
        splitter: Splitter::default(),
        is_started: false,
        is_last,
        first_event: None,
        paused: (None, Duration::ZERO),
        fingerprint,
        suspect,
        last_target: SmolStr::default(),
        expected: 0.0,
        spare: None,
    })
}

/// Time that a request takes of the instances of a group.
fn instance_seconds(
    config: &Config,
    service: &str,
    caller: &header::RequestMetadata,
) -> Option<f64> {
    let engine = config.services.get(&SmolStr::new(service))?.engine.as_ref()?;
    let model = engine.model(caller.model.as_deref()?)?;
    let (prompt, answer) = caller.expected_tokens()?;
    Some(engine.group_seconds(model, prompt, answer) * model.group_size as f64)
}

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
