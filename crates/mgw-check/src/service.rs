//! Checks of services and of the models of their engines.

use mgw_fleet::config::{Engine, Model, Parts, Service, WarmUp};
use smol_str::SmolStr;

use crate::finding::{Finding, Kind};
use crate::place::Place;

/// Lowest limit of weight loads per second at which any load starts: the planner counts whole loads.
const MIN_LOADS_PER_S: f64 = 1.0;

/// Amount by which the shares of the models may exceed 1 by rounding.
const SHARE_TOLERANCE: f64 = 1e-6;

/// Returns the findings of all services.
pub(crate) fn check(parts: &Parts) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, (name, service)) in parts.services.iter().enumerate() {
        let mut report = |kind| findings.push(Finding::new(Place::Service(name.clone()), kind));
        if parts.services[..index].iter().any(|(earlier, _)| earlier == name) {
            report(Kind::Repeated);
        }
        let leads_here = |(service, _): &(SmolStr, u32)| service == name;
        if !parts.routes.iter().any(|route| route.services.iter().any(leads_here)) {
            report(Kind::Unused);
        }
        if service.max_connections == 0 {
            report(Kind::ZeroLimit("the maximum number of connections of a server"));
        }
        if let Some(engine) = &service.engine {
            check_engine(engine).into_iter().for_each(report);
            findings.extend(check_models(name, service, engine));
        }
    }
    findings
}

/// Limits of an engine that exclude all use, and shares that do not add up.
fn check_engine(engine: &Engine) -> Vec<Kind> {
    let limits = [
        ("the number of slots", engine.slots == 0),
        (
            "the number of weight loads per second, rounded down",
            engine.max_loads_per_s < MIN_LOADS_PER_S,
        ),
        ("the number of concurrent weight loads", engine.full_speed_loads == 0),
    ];
    let zero = limits.into_iter().filter(|(_, is_zero)| *is_zero);
    let mut kinds: Vec<Kind> = zero.map(|(name, _)| Kind::ZeroLimit(name)).collect();
    let sum: f64 = engine.models.iter().map(|model| model.initial_share).sum();
    match engine.models.is_empty() {
        true => kinds.push(Kind::NoModels),
        false if sum > 1.0 + SHARE_TOLERANCE => kinds.push(Kind::SharesAboveOne(sum)),
        false => {}
    }
    kinds
}

/// Findings of the models of an engine.
fn check_models(service_name: &SmolStr, service: &Service, engine: &Engine) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (index, model) in engine.models.iter().enumerate() {
        let place = Place::Model { service: service_name.clone(), name: model.name.clone() };
        if engine.models[..index].iter().any(|earlier| earlier.name == model.name) {
            findings.push(Finding::new(place.clone(), Kind::Repeated));
        }
        let warm_up = service.warm_up.filter(|_| engine.slots > 0);
        if let Some(kind) = warm_up.and_then(|it| check_warm_up(it, engine, model)) {
            findings.push(Finding::new(place, kind));
        }
    }
    findings
}

/// Compares the rate of a cold server with the highest that a group reaches, which is that of
/// requests without a prompt.
fn check_warm_up(warm_up: WarmUp, engine: &Engine, model: &Model) -> Option<Kind> {
    let seconds = engine.group_seconds(model, 0, engine.mean_output_tokens as u32);
    let (rate, capacity) = (warm_up.max_rate, 1.0 / seconds);
    (seconds > 0.0 && rate > capacity).then_some(Kind::ColdRateAboveCapacity { rate, capacity })
}
