//! Defines the deployments that are measured.

use mgw_scenario::deployment::{Deployment, Domain, Model, Service, Team};
use mgw_scenario::world::{MILLISECOND, Micros};
use smol_str::{SmolStr, format_smolstr};

/// Accelerators per instance in all setups.
pub const ACCELERATORS_PER_INSTANCE: u32 = 8;

/// A deployment to measure and its weight of group downtime.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Name in the output and on the command line.
    pub name: &'static str,
    /// Weight of group downtime in the combined cost, 0 to 1; stranded accelerators have the rest.
    pub weight: f64,
    /// The deployment. Instances in `absent` arrive during the run.
    pub deployment: Deployment,
}

/// Time to load a model from the weight store, in seconds.
pub const LOAD_SECONDS: f64 = 8.0;

/// The values in which the two customer deployments differ.
struct Template {
    name: &'static str,
    weight: f64,
    weight_loads: f64,
    zones: [&'static str; 3],
    delays: [Micros; 3],
    racks: [u32; 3],
    /// Name, instances per replica, replicas and priority of each model. A parsed sheet orders its
    /// models by name, so the names have to be in ascending order here.
    models: [(&'static str, u32, u32, u8); 3],
}

fn build(template: &Template) -> Setup {
    let zones: Vec<SmolStr> = template.zones.into_iter().map(SmolStr::new).collect();
    let mut domains = Vec::new();
    for zone in &zones {
        for (rack, size) in template.racks.iter().enumerate() {
            domains.push(Domain {
                name: format_smolstr!("{zone}-r{}", rack + 1),
                zone: zone.clone(),
                size: *size,
                // The engines in the second rack of each zone ignore fencing tokens.
                fencing: rack != 1,
            });
        }
    }
    let models = template.models.iter().map(|(name, instances, replicas, priority)| Model {
        name: (*name).into(),
        version: "v1".into(),
        instances: *instances,
        replicas: *replicas,
        priority: *priority,
    });
    let team = |index: u32| Team {
        name: format_smolstr!("team-{index}"),
        rate: if index < 3 { 60 } else { 10 },
        tokens: if index < 3 { 400_000 } else { 60_000 },
        concurrency: if index < 3 { 400 } else { 60 },
    };
    let pairs = [(0, 1), (1, 2), (0, 2)].into_iter().zip(template.delays);
    let mut deployment = Deployment {
        seed: 0,
        entries: (0..9).map(|index| zones[index % 3].clone()).collect(),
        domains,
        models: models.collect(),
        teams: (0..10).map(team).collect(),
        services: vec![Service { name: "booking".into(), servers: 3 }],
        delays: pairs
            .map(|((left, right), delay)| (zones[left].clone(), zones[right].clone(), delay))
            .collect(),
        settings: vec![
            ("downtime_weight".into(), template.weight),
            ("weight_loads".into(), template.weight_loads),
            ("load".into(), LOAD_SECONDS),
        ],
        absent: Vec::new(),
    };
    // The last third of the instances of each rack arrives during the run.
    for domain in &deployment.domains {
        for number in domain.size * 2 / 3 + 1..=domain.size {
            deployment.absent.push(format_smolstr!("{}-{number}", domain.name));
        }
    }
    Setup { name: template.name, weight: template.weight, deployment }
}

/// Tesnota's deployment: group downtime weighs more (0.8), and zones are 2 to 3 ms apart.
pub fn tesnota() -> Setup {
    build(&Template {
        name: "tesnota",
        weight: 0.8,
        weight_loads: 8.0,
        zones: ["za-1", "za-2", "za-3"],
        delays: [2 * MILLISECOND, 2_500, 3 * MILLISECOND],
        racks: [8, 8, 4],
        models: [("draft-large", 8, 2, 0), ("draft-medium", 4, 6, 1), ("draft-small", 2, 6, 2)],
    })
}

/// Naidoo's deployment: stranded accelerators weigh more (0.7), and zones are 4 to 6 ms apart.
pub fn naidoo() -> Setup {
    build(&Template {
        name: "naidoo",
        weight: 0.3,
        weight_loads: 12.0,
        zones: ["dbn-a", "dbn-b", "dbn-c"],
        delays: [4 * MILLISECOND, 5 * MILLISECOND, 6 * MILLISECOND],
        racks: [10, 6, 4],
        models: [("plan-large", 8, 2, 0), ("plan-medium", 4, 5, 1), ("plan-small", 2, 8, 2)],
    })
}

/// The deployments at their current size.
pub fn all() -> [Setup; 2] {
    [tesnota(), naidoo()]
}

/// A deployment of 600 servers in 15 fabric domains and 5 zones, with replicas of 32 and 8
/// instances, for the scaling measurement with `entries` entries.
pub fn large(entries: usize) -> Setup {
    let zones: Vec<SmolStr> = (1..=5).map(|it| format_smolstr!("z{it}")).collect();
    let mut domains = Vec::new();
    for zone in &zones {
        for rack in 1..=3 {
            domains.push(Domain {
                name: format_smolstr!("{zone}-r{rack}"),
                zone: zone.clone(),
                size: 40,
                fencing: rack != 1,
            });
        }
    }
    let model = |name: &str, instances, priority| Model {
        name: name.into(),
        version: "v1".into(),
        instances,
        replicas: 15,
        priority,
    };
    let team = |index: u32| Team {
        name: format_smolstr!("team-{index}"),
        rate: 1_000,
        tokens: 4_000_000,
        concurrency: 10_000,
    };
    let deployment = Deployment {
        seed: 0,
        entries: (0..entries).map(|index| zones[index % 5].clone()).collect(),
        domains,
        models: vec![model("a-large", 32, 0), model("b-small", 8, 1)],
        teams: (0..10).map(team).collect(),
        services: vec![Service { name: "booking".into(), servers: 3 }],
        delays: Vec::new(),
        settings: vec![
            ("downtime_weight".into(), 0.5),
            ("weight_loads".into(), 600.0),
            ("load".into(), LOAD_SECONDS),
        ],
        absent: Vec::new(),
    };
    Setup { name: "fleet", weight: 0.5, deployment }
}
