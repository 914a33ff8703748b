//! Random, cut and damaged sheets, with fixed seeds.

use mgw_sheet::column::Column;
use mgw_sheet::parse::MAX_ROWS;
use mgw_sheet::sheet::{Adapter, Call, Instance, Model, Server, Service, Settings, Sheet, Team};
use mgw_sheet::{key, parse, write};
use rand::rngs::SmallRng;
use rand::{Rng, RngCore, SeedableRng};
use smol_str::{SmolStr, format_smolstr};

/// A valid sheet; numbers in the names keep them unique and in order.
fn sheet(random: &mut SmallRng) -> Sheet {
    let deployments = ["Test", "Naidoo \"Brothers\", Durban", "a\\b", "Žilina", "=1+1", "x,y"];
    let deployment = deployments[random.random_range(0..deployments.len())];
    let mut sheet = Sheet::new(Settings {
        deployment: deployment.into(),
        downtime_weight: random.random_range(0..=1_000),
        weight_loads: random.random_range(1..=10_000),
    });
    for place in 0..random.random_range(0..8) {
        let domain = random.random_range(0..3);
        sheet.instances.push(Instance {
            name: format_smolstr!("i{place}"),
            zone: format_smolstr!("z{}", domain % 2),
            domain: format_smolstr!("d{domain}"),
            accelerator: "h-100_a.b".into(),
            accelerators: random.random_range(1..=64),
            address: match random.random() {
                true => format_smolstr!("10.0.0.{}:{}", place + 1, random.random_range(1..=65_535)),
                false => format_smolstr!("[fd00::{}]:8000", place + 1),
            },
            fencing: random.random(),
        });
    }
    for place in 0..random.random_range(0..4) {
        let name = format_smolstr!("org/m{place}@x:1+");
        sheet.models.push(Model {
            name: name.clone(),
            version: format_smolstr!("v{}", random.random::<u32>()),
            accelerator: "h-100_a.b".into(),
            instances: random.random_range(1..=64),
            replicas: random.random_range(0..=10_000),
            priority: random.random_range(0..=3),
        });
        sheet.adapters.push(Adapter { name: format_smolstr!("a{place}"), model: name });
        sheet.teams.push(Team {
            name: format_smolstr!("t{place}"),
            rate: random.random_range(1..=1_000_000),
            tokens: random.random_range(1..=1_000_000_000),
            concurrency: random.random_range(1..=1_000_000),
            key: key::hash(&random.random::<u64>().to_string()),
        });
        let service = format_smolstr!("s{place}");
        sheet.services.push(Service { name: service.clone() });
        sheet.servers.push(Server {
            name: format_smolstr!("b{place}"),
            service: service.clone(),
            zone: "z0".into(),
            address: format_smolstr!("10.0.1.{}:80", place + 1),
        });
        let path = ["/", "/a,b", "/a'b/%20", "/..."][random.random_range(0..4)];
        let (method, repeatable) = (SmolStr::new("POST"), random.random());
        sheet.calls.push(Call { service, method, path: path.into(), repeatable });
    }
    sheet
}

/// Faults of a text; checks that they are sorted, lie in the file and are bounded.
fn check(text: &str) {
    let Err(faults) = parse(text) else { return };
    let lines = text.lines().count() as u64;
    assert!(!faults.is_empty(), "a rejected sheet has a fault");
    // Per row at most one fault for each column and each field, and two per header field.
    let most = (MAX_ROWS + 2) * (Column::ALL.len() + 1) + 2 * text.len();
    assert!(faults.len() <= most);
    for fault in faults {
        assert!(fault.row <= lines + 1, "{fault}");
        // A repeated value is cut, so no fault grows with the sheet.
        assert!(fault.cause.len() <= 1_000 && !fault.cause.contains('\n'), "{fault}");
    }
}

/// Guards against values that change when a sheet is published and read again, in characters that
/// have a meaning in CSV too.
#[test]
fn valid_sheets_survive_writing_and_parsing() {
    let mut random = SmallRng::seed_from_u64(14);
    for _ in 0..150 {
        let sheet = sheet(&mut random);
        let text = write(&sheet);
        assert_eq!(parse(&text).as_ref(), Ok(&sheet), "{text}");
        assert_eq!(write(&sheet), text);
    }
}

/// Guards against a panic, and against faults without bound, on a sheet that was cut or damaged.
#[test]
fn cut_and_damaged_sheets_are_read_without_a_panic() {
    let mut random = SmallRng::seed_from_u64(15);
    for _ in 0..60 {
        let text = write(&sheet(&mut random));
        for _ in 0..6 {
            let cut = random.random_range(0..text.len());
            check(&String::from_utf8_lossy(&text.as_bytes()[..cut]));
            let mut damaged = text.clone().into_bytes();
            for _ in 0..random.random_range(1..4) {
                let bit = random.random_range(0..8 * damaged.len());
                damaged[bit / 8] ^= 1 << (bit % 8);
            }
            check(&String::from_utf8_lossy(&damaged));
        }
    }
}

/// Guards against a panic on bytes that are no sheet at all, behind a valid first row too.
#[test]
fn random_bytes_are_read_without_a_panic() {
    let mut random = SmallRng::seed_from_u64(16);
    let head = Column::ALL.map(Column::name).join(",");
    for _ in 0..1_000 {
        let mut bytes = vec![0; random.random_range(0..400)];
        random.fill_bytes(&mut bytes);
        if random.random() {
            let marks = b",,,\"\n\rkindsetting019.-";
            bytes.iter_mut().for_each(|byte| *byte = marks[usize::from(*byte) % marks.len()]);
        }
        let text = String::from_utf8_lossy(&bytes);
        check(&text);
        check(&format!("{head}\n{text}"));
    }
}
