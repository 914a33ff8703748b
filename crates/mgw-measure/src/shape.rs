//! The deployments that are measured.

use mgw_scenario::deployment::{Deployment, Domain, Model, Service, Team};
use mgw_scenario::world::{MILLISECOND, Micros};
use smol_str::{SmolStr, format_smolstr};

/// Accelerators of each instance.
pub const ACCELERATORS: u32 = 8;

/// A deployment with its name.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Its name.
    pub name: &'static str,
    /// Weight of group downtime, 0 to 1.
    pub weight: f64,
    /// What is deployed. Instances in `absent` arrive during the run.
    pub deployment: Deployment,
}

/// Time to load a model from the weight store, in seconds.
pub const LOAD: f64 = 8.0;

struct Plan {
    name: &'static str,
    weight: f64,
    loads: f64,
    zones: [&'static str; 3],
    delays: [Micros; 3],
    racks: [u32; 3],
    /// Name, instances per replica, replicas, priority. The names sort in the order of the rows,
    /// because a parsed sheet has its models by name.
    models: [(&'static str, u32, u32, u8); 3],
}

fn shape(plan: &Plan) -> Shape {
    let zones: Vec<SmolStr> = plan.zones.into_iter().map(SmolStr::new).collect();
    let mut domains = Vec::new();
    for zone in &zones {
        for (rack, size) in plan.racks.iter().enumerate() {
            domains.push(Domain {
                name: format_smolstr!("{zone}-r{}", rack + 1),
                zone: zone.clone(),
                size: *size,
                // The second rack of each zone has engines that ignore fencing tokens.
                fencing: rack != 1,
            });
        }
    }
    let models = plan.models.iter().map(|(name, instances, replicas, priority)| Model {
        name: (*name).into(),
        version: "v1".into(),
        instances: *instances,
        replicas: *replicas,
        priority: *priority,
    });
    let team = |place: u32| Team {
        name: format_smolstr!("team-{place}"),
        rate: if place < 3 { 60 } else { 10 },
        tokens: if place < 3 { 400_000 } else { 60_000 },
        concurrency: if place < 3 { 400 } else { 60 },
    };
    let pairs = [(0, 1), (1, 2), (0, 2)].into_iter().zip(plan.delays);
    let mut deployment = Deployment {
        seed: 0,
        entries: (0..9).map(|place| zones[place % 3].clone()).collect(),
        domains,
        models: models.collect(),
        teams: (0..10).map(team).collect(),
        services: vec![Service { name: "booking".into(), servers: 3 }],
        delays: pairs
            .map(|((left, right), delay)| (zones[left].clone(), zones[right].clone(), delay))
            .collect(),
        settings: vec![
            ("downtime_weight".into(), plan.weight),
            ("weight_loads".into(), plan.loads),
            ("load".into(), LOAD),
        ],
        absent: Vec::new(),
    };
    // A third of each rack arrives during the run.
    for domain in &deployment.domains {
        for number in domain.size * 2 / 3 + 1..=domain.size {
            deployment.absent.push(format_smolstr!("{}-{number}", domain.name));
        }
    }
    Shape { name: plan.name, weight: plan.weight, deployment }
}

/// Tesnota's deployment: downtime weighs more, zones are 2 to 3 ms apart.
pub fn tesnota() -> Shape {
    shape(&Plan {
        name: "tesnota",
        weight: 0.8,
        loads: 8.0,
        zones: ["za-1", "za-2", "za-3"],
        delays: [2 * MILLISECOND, 2_500, 3 * MILLISECOND],
        racks: [8, 8, 4],
        models: [("draft-large", 8, 2, 0), ("draft-medium", 4, 6, 1), ("draft-small", 2, 6, 2)],
    })
}

/// Naidoo's deployment: stranded accelerators weigh more, zones are 4 to 6 ms apart.
pub fn naidoo() -> Shape {
    shape(&Plan {
        name: "naidoo",
        weight: 0.3,
        loads: 12.0,
        zones: ["dbn-a", "dbn-b", "dbn-c"],
        delays: [4 * MILLISECOND, 5 * MILLISECOND, 6 * MILLISECOND],
        racks: [10, 6, 4],
        models: [("plan-large", 8, 2, 0), ("plan-medium", 4, 5, 1), ("plan-small", 2, 8, 2)],
    })
}

/// The deployments of today's size.
pub fn all() -> [Shape; 2] {
    [tesnota(), naidoo()]
}

/// A fleet of 600 servers in 15 fabric domains of 5 zones, with replicas of 32 and 8 instances, and
/// `entries` entries.
pub fn fleet(entries: usize) -> Shape {
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
    let team = |place: u32| Team {
        name: format_smolstr!("team-{place}"),
        rate: 1_000,
        tokens: 4_000_000,
        concurrency: 10_000,
    };
    let deployment = Deployment {
        seed: 0,
        entries: (0..entries).map(|place| zones[place % 5].clone()).collect(),
        domains,
        models: vec![model("a-large", 32, 0), model("b-small", 8, 1)],
        teams: (0..10).map(team).collect(),
        services: vec![Service { name: "booking".into(), servers: 3 }],
        delays: Vec::new(),
        settings: vec![
            ("downtime_weight".into(), 0.5),
            ("weight_loads".into(), 600.0),
            ("load".into(), LOAD),
        ],
        absent: Vec::new(),
    };
    Shape { name: "fleet", weight: 0.5, deployment }
}
