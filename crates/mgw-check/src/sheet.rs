//! Checks of a valid sheet: what its rows cannot give together.

use mgw_sheet::Sheet;
use mgw_sheet::column::Kind as Row;
use mgw_sheet::sheet::{Instance, Model, Server, Service, Team};
use smol_str::SmolStr;

use crate::finding::{Finding, Kind};
use crate::place::Place;

/// Returns what contradicts itself in a sheet that the parser accepts, by kind of row.
pub fn check(sheet: &Sheet) -> Vec<Finding> {
    let place = |kind, name: &SmolStr| Place::Row { kind, name: name.clone() };
    let models = sheet.models.iter().filter_map(|model| {
        Some(Finding::new(place(Row::Model, &model.name), check_model(model, &sheet.instances)?))
    });
    let teams = sheet
        .teams
        .iter()
        .filter_map(|team| Some(Finding::new(place(Row::Team, &team.name), check_team(team)?)));
    let is_served =
        |service: &&Service| sheet.servers.iter().any(|it: &Server| it.service == service.name);
    let services = sheet.services.iter().filter(|service| !is_served(service));
    let services =
        services.map(|service| Finding::new(place(Row::Service, &service.name), Kind::NoServers));
    check_accelerators(sheet).into_iter().chain(models).chain(teams).chain(services).collect()
}

/// Number of instances with an accelerator.
fn available(instances: &[Instance], accelerator: &SmolStr) -> usize {
    instances.iter().filter(|instance| instance.accelerator == *accelerator).count()
}

/// Compares what all models want of each accelerator with the instances that have it.
fn check_accelerators(sheet: &Sheet) -> Vec<Finding> {
    let of_models = sheet.models.iter().map(|model| &model.accelerator);
    let of_instances = sheet.instances.iter().map(|instance| &instance.accelerator);
    let mut accelerators: Vec<&SmolStr> = of_models.chain(of_instances).collect();
    accelerators.sort();
    accelerators.dedup();
    let check = |accelerator: &SmolStr| {
        let models = || sheet.models.iter().filter(|model| model.accelerator == *accelerator);
        let wanted: u64 =
            models().map(|model| u64::from(model.replicas) * u64::from(model.instances)).sum();
        let available = available(&sheet.instances, accelerator);
        let accelerator = accelerator.clone();
        match models().count() {
            0 => Some(Kind::UnusedAccelerator(accelerator)),
            _ if wanted > available as u64 => {
                Some(Kind::ReplicasAboveInstances { wanted, available, accelerator })
            }
            _ => None,
        }
    };
    let kinds = accelerators.into_iter().filter_map(check);
    kinds.map(|kind| Finding::new(Place::Configuration, kind)).collect()
}

/// A model of which not even one replica can be formed.
fn check_model(model: &Model, instances: &[Instance]) -> Option<Kind> {
    let (needed, available) = (model.instances, available(instances, &model.accelerator));
    (needed as usize > available).then_some(Kind::ReplicaAboveInstances { needed, available })
}

/// A team whose limits cannot be reached together.
fn check_team(team: &Team) -> Option<Kind> {
    let Team { rate, tokens, .. } = *team;
    (tokens < rate).then_some(Kind::TokensBelowRate { tokens, rate })
}
