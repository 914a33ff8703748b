//! Parsers of the statements that declare the deployment.

use smol_str::SmolStr;
use winnow::ascii::float;
use winnow::combinator::{alt, cut_err, opt, preceded, repeat};
use winnow::error::ContextError;
use winnow::prelude::*;

use super::token::{
    Parsed, description, keyword, name, number, optional, read_time, required, time, word,
};
use crate::deployment::{Deployment, Domain, Model, SETTINGS, Service, Team};
use crate::world::{Micros, SECOND};

/// A declaration of the deployment.
pub(super) enum Declaration {
    Seed(u64),
    Entries(u32, Vec<SmolStr>),
    Delay(SmolStr, SmolStr, Micros),
    Domain(Domain),
    Model(Model),
    Team(Team),
    Service(Service),
    Set(SmolStr, f64),
    Absent(SmolStr),
}

/// Adds a declaration to the deployment. Entries are spread over the zones in turn.
pub(super) fn declare(deployment: &mut Deployment, declaration: Declaration) -> Result<(), String> {
    match declaration {
        Declaration::Seed(seed) => deployment.seed = seed,
        Declaration::Entries(count, zones) => {
            for index in 0..count as usize {
                deployment.entries.push(zones[index % zones.len()].clone());
            }
        }
        Declaration::Delay(left, right, delay) => deployment.delays.push((left, right, delay)),
        Declaration::Domain(domain) => deployment.domains.push(domain),
        Declaration::Model(model) => deployment.models.push(model),
        Declaration::Team(team) => deployment.teams.push(team),
        Declaration::Service(service) => deployment.services.push(service),
        Declaration::Set(name, value) => {
            if !SETTINGS.contains(&name.as_str()) {
                return Err(format!("unknown setting {name}"));
            }
            deployment.settings.push((name, value));
        }
        Declaration::Absent(name) => deployment.absent.push(name),
    }
    Ok(())
}

pub(super) fn declaration(input: &mut &str) -> Parsed<Declaration> {
    alt((
        preceded(keyword("seed"), number).map(Declaration::Seed),
        preceded(keyword("entries"), entries),
        preceded(keyword("delay"), (name, name, time))
            .map(|(left, right, delay)| Declaration::Delay(left, right, delay)),
        preceded(keyword("domain"), domain).map(Declaration::Domain),
        preceded(keyword("model"), model).map(Declaration::Model),
        preceded(keyword("team"), team).map(Declaration::Team),
        preceded(keyword("service"), service).map(Declaration::Service),
        preceded(keyword("set"), setting),
        preceded(keyword("absent"), name).map(Declaration::Absent),
    ))
    .parse_next(input)
}

/// Parses `NAME VALUE`; a time gives seconds and a percentage a fraction.
fn setting(input: &mut &str) -> Parsed<Declaration> {
    let name = name(input)?;
    let value = cut_err(word.verify_map(|word| {
        let time = || read_time(word).map(|time| time as f64 / SECOND as f64);
        let plain = || float::<_, f64, ContextError>.parse(word).ok();
        let percentage = || {
            let text = word.strip_suffix('%')?;
            float::<_, f64, ContextError>.parse(text).ok().map(|value| value / 100.0)
        };
        plain().or_else(percentage).or_else(time)
    }))
    .context(description("a number or a time"))
    .parse_next(input)?;
    Ok(Declaration::Set(name, value))
}

fn entries(input: &mut &str) -> Parsed<Declaration> {
    let count = number(input)?;
    cut_err(keyword("in")).context(description("`in` and zones")).parse_next(input)?;
    let zones: Vec<SmolStr> = cut_err(repeat(1.., word.map(SmolStr::new)))
        .context(description("zones"))
        .parse_next(input)?;
    Ok(Declaration::Entries(count, zones))
}

fn domain(input: &mut &str) -> Parsed<Domain> {
    let (name, zone, size) =
        (name, required("zone", name), required("size", number)).parse_next(input)?;
    let unfenced = opt(keyword("unfenced")).parse_next(input)?;
    Ok(Domain { name, zone, size, fencing: unfenced.is_none() })
}

fn model(input: &mut &str) -> Parsed<Model> {
    let (name, instances, replicas) =
        (name, required("instances", number), required("replicas", number)).parse_next(input)?;
    let priority = optional("priority", number).parse_next(input)?.unwrap_or(1);
    let version = optional("version", self::name).parse_next(input)?.unwrap_or("1".into());
    Ok(Model { name, version, instances, replicas, priority })
}

fn team(input: &mut &str) -> Parsed<Team> {
    let name = name(input)?;
    let rate = optional("rate", number).parse_next(input)?.unwrap_or(1_000);
    let tokens = optional("tokens", number).parse_next(input)?.unwrap_or(1_000_000);
    let concurrency = optional("concurrency", number).parse_next(input)?.unwrap_or(1_000);
    Ok(Team { name, rate, tokens, concurrency })
}

fn service(input: &mut &str) -> Parsed<Service> {
    let (name, servers) = (name, required("servers", number)).parse_next(input)?;
    Ok(Service { name, servers })
}
