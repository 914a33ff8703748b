//! Admission: decides whether a request is served, and for which service.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mgw_base::time::Instant;
use mgw_fleet::config::{Config, Principal, Route};
use mgw_http::head::Request;
use mgw_route::poison::{self, Part};
use mgw_route::quarantine;
use mgw_route::trial::Seat;
use platform::header;
use smol_str::SmolStr;
use tokio::sync::Notify;

use crate::forward::{NO_TIMEOUT, Persistence};
use crate::gateway::{Gateway, State};
use crate::in_flight::{self, RequestKey, Wait};
use crate::reply::Cause;

/// Time before the caller's deadline at which a request fails, so that the response still reaches
/// the caller in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(15);

/// Timeout of requests that state no deadline; the route's timeout also applies.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// An admitted request; it stays the same up to the end of its response.
pub(super) struct Admitted<'a> {
    pub(super) gateway: &'a Rc<Gateway>,
    pub(super) request: &'a Request,
    pub(super) body: Bytes,
    /// What the caller states about the request in header fields.
    pub(super) metadata: header::RequestMetadata,
    /// The configuration at admission, which applies to the request until its end.
    pub(super) config: Rc<Config>,
    /// Index of the route in `config`.
    route_index: usize,
    pub(super) service: SmolStr,
    /// The team that the key belongs to, if any.
    pub(super) team: Option<SmolStr>,
    /// Priority sent to servers, 0 to 9; 0 is the highest.
    pub(super) priority: u8,
    /// When its head was read.
    pub(super) arrived: Instant,
    pub(super) deadline: Instant,
    pub(super) request_key: RequestKey,
    /// Notified when an alarm is raised.
    pub(super) wake: Rc<Notify>,
    /// Whether this is the last request of the caller's connection.
    is_last: bool,
    /// Fingerprint by which crashes are blamed on it.
    pub(super) fingerprint: u128,
    /// Whether it may crash servers.
    pub(super) caution: Caution,
    /// Parts of its prompt that other requests may share.
    pub(super) shared_parts: Vec<Part>,
}

impl Admitted<'_> {
    /// The route of the request.
    pub(super) fn route(&self) -> &Route {
        &self.config.routes()[self.route_index]
    }

    /// Whether the caller's connection stays open after this request.
    pub(super) fn persistence(&self) -> Persistence {
        match self.is_last || !self.request.is_http_11 {
            true => Persistence::Close,
            false => Persistence::KeepAlive,
        }
    }
}

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
) -> Result<Admitted<'a>, Cause> {
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
    let (service, caution, request_key) = gateway.with(|state| {
        let caution = check_quarantine(gateway, state, &shared_parts, fingerprint, arrived)?;
        let service = route.draw_service(&mut state.rng);
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
            is_suspect: caution.is_suspect,
        });
        Ok::<_, Cause>((service, caution, request_key))
    })?;
    Ok(Admitted {
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
        is_last,
        fingerprint,
        caution,
        shared_parts,
    })
}

/// How far a request is suspected of crashing servers.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Caution {
    /// It has been at the crash of a server, and is kept apart from other suspects.
    pub(super) is_suspect: bool,
    /// It is let through to show whether it, or a part of its prompt, is the cause. It is not sent
    /// again after it has lost its server.
    pub(super) is_at_risk: bool,
}

/// Decides whether a request that may crash servers is sent to one.
fn check_quarantine(
    gateway: &Gateway,
    state: &mut State,
    shared_parts: &[Part],
    fingerprint: u128,
    now: Instant,
) -> Result<Caution, Cause> {
    let State { entries, poison, quarantine, .. } = state;
    let seat = |matter| {
        let names = entries.serving().map(|(name, _)| name.as_str());
        Seat::among(names, &gateway.settings.entry_name, matter)
    };
    let mut caution = Caution::default();
    match poison.admit(shared_parts, now, seat) {
        poison::Verdict::Clear => {}
        poison::Verdict::AtRisk => caution.is_at_risk = true,
        poison::Verdict::Refused { retry_after } => {
            return Err(Cause::Quarantined { left: retry_after });
        }
    }
    match quarantine.admit(fingerprint, now, seat) {
        quarantine::Verdict::Clear => {}
        quarantine::Verdict::Suspect => caution.is_suspect = true,
        quarantine::Verdict::AtRisk => caution = Caution { is_suspect: true, is_at_risk: true },
        quarantine::Verdict::Refused { retry_after } => {
            return Err(Cause::Quarantined { left: retry_after });
        }
    }
    Ok(caution)
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
