//! The fields of each part of a configuration as text, for comparison.

use mgw_fleet::config::{Engine, Limits, Model, Route, Service, Team, WarmUp};
use smol_str::{SmolStr, format_smolstr};

/// Name and value of a field.
pub(crate) type Field = (&'static str, SmolStr);

/// A field whose value is printed as code has it.
fn debug<T>(name: &'static str, value: T) -> Field
where
    T: std::fmt::Debug,
{
    (name, format_smolstr!("{value:?}"))
}

/// A field that need not be set.
fn optional<T>(name: &'static str, value: &Option<T>) -> Field
where
    T: std::fmt::Debug,
{
    (name, value.as_ref().map_or("none".into(), |value| format_smolstr!("{value:?}")))
}

/// Fields of a route but for host and prefix, by which routes are compared.
pub(crate) fn route(route: &Route) -> Vec<Field> {
    let Route {
        name,
        host: _,
        path_prefix: _,
        kind,
        timeout,
        latency_target,
        gap_target,
        max_attempts,
        priority,
        allow_anonymous,
        services,
    } = route;
    let services: Vec<String> =
        services.iter().map(|(service, weight)| format!("{service}:{weight}")).collect();
    vec![
        ("name", name.clone()),
        debug("kind", kind),
        debug("timeout", timeout),
        debug("latency target", latency_target),
        optional("longest pause", gap_target),
        debug("maximum attempts", max_attempts),
        debug("priority", priority),
        debug("allows anonymous", allow_anonymous),
        ("services", services.join(",").into()),
    ]
}

/// Fields of a service and its engine, but for the models.
pub(crate) fn service(service: &Service) -> Vec<Field> {
    let Service { max_connections, engine, warm_up } = service;
    let mut fields = vec![debug("maximum connections", max_connections)];
    if let Some(WarmUp { duration, max_rate }) = warm_up {
        fields.push(debug("time cold", duration));
        fields.push(debug("rate while cold", max_rate));
    }
    let Some(engine) = engine else { return fields };
    let Engine {
        slots,
        models: _,
        max_loads_per_s,
        full_speed_loads,
        open_delay,
        step_time,
        step_time_per_request,
        steps_per_pass,
        prefill_tokens_per_s,
        mean_output_tokens,
    } = engine;
    fields.extend([
        debug("slots", slots),
        debug("weight loads per second", max_loads_per_s),
        debug("concurrent weight loads", full_speed_loads),
        debug("time to open a group", open_delay),
        debug("step time", step_time),
        debug("step time per request", step_time_per_request),
        debug("steps per pass", steps_per_pass),
        debug("prompt tokens per second", prefill_tokens_per_s),
        debug("mean output tokens", mean_output_tokens),
    ]);
    fields
}

/// Fields of a model but for its name.
pub(crate) fn model(model: &Model) -> Vec<Field> {
    let Model { name: _, group_size, initial_share, time_factor, cold_load_time, warm_load_time } =
        model;
    vec![
        debug("instances per replica", group_size),
        debug("share", initial_share),
        debug("time factor", time_factor),
        debug("cold load", cold_load_time),
        debug("warm load", warm_load_time),
    ]
}

/// Fields of the limits on callers.
pub(crate) fn limits(limits: &Limits) -> Vec<Field> {
    let Limits { max_header_bytes, max_body_bytes, header_timeout, idle_timeout } = limits;
    vec![
        debug("maximum bytes of a head", max_header_bytes),
        debug("maximum bytes of a body", max_body_bytes),
        debug("time limit of a head", header_timeout),
        debug("time limit when idle", idle_timeout),
    ]
}

/// Fields of a team but for its name.
pub(crate) fn team(team: &Team) -> Vec<Field> {
    let Team { name: _, priority } = team;
    vec![optional("priority", priority)]
}
