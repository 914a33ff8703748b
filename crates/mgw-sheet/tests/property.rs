//! Property tests of parser and writer on random, truncated and corrupted sheets, with fixed seeds.

use mgw_sheet::column::Column;
use mgw_sheet::parse::MAX_ROWS;
use mgw_sheet::sheet::{Adapter, Call, Instance, Model, Server, Service, Settings, Sheet, Team};
use mgw_sheet::{key, parse, write};
use rand::rngs::SmallRng;
use rand::{Rng, RngCore, SeedableRng};
use smol_str::{SmolStr, format_smolstr};

/// Generates a valid sheet. Indices in the names keep them unique and sorted.
fn random_sheet(random: &mut SmallRng) -> Sheet {
    let deployments = ["Test", "Naidoo \"Brothers\", Durban", "a\\b", "Žilina", "=1+1", "x,y"];
    let deployment = deployments[random.random_range(0..deployments.len())];
    let mut sheet = Sheet::new(Settings {
        deployment: deployment.into(),
        downtime_weight: random.random_range(0..=1_000),
        weight_loads: random.random_range(1..=10_000),
    });
    for index in 0..random.random_range(0..8) {
        let domain = random.random_range(0..3);
        sheet.instances.push(Instance {
            name: format_smolstr!("i{index}"),
            zone: format_smolstr!("z{}", domain % 2),
            domain: format_smolstr!("d{domain}"),
            accelerator: "h-100_a.b".into(),
            accelerators: random.random_range(1..=64),
            address: match random.random() {
                true => format_smolstr!("10.0.0.{}:{}", index + 1, random.random_range(1..=65_535)),
                false => format_smolstr!("[fd00::{}]:8000", index + 1),
            },
            fencing: random.random(),
        });
    }
    for index in 0..random.random_range(0..4) {
        let name = format_smolstr!("org/m{index}@x:1+");
        sheet.models.push(Model {
            name: name.clone(),
            version: format_smolstr!("v{}", random.random::<u32>()),
            accelerator: "h-100_a.b".into(),
            instances: random.random_range(1..=64),
            replicas: random.random_range(0..=10_000),
            priority: random.random_range(0..=3),
        });
        sheet.adapters.push(Adapter { name: format_smolstr!("a{index}"), model: name });
        sheet.teams.push(Team {
            name: format_smolstr!("t{index}"),
            rate: random.random_range(1..=1_000_000),
            tokens: random.random_range(1..=1_000_000_000),
            concurrency: random.random_range(1..=1_000_000),
            key: key::hash(&random.random::<u64>().to_string()),
        });
        let service = format_smolstr!("s{index}");
        sheet.services.push(Service { name: service.clone() });
        sheet.servers.push(Server {
            name: format_smolstr!("b{index}"),
            service: service.clone(),
            zone: "z0".into(),
            address: format_smolstr!("10.0.1.{}:80", index + 1),
        });
        let path = ["/", "/a,b", "/a'b/%20", "/..."][random.random_range(0..4)];
        let (method, repeatable) = (SmolStr::new("POST"), random.random());
        sheet.calls.push(Call { service, method, path: path.into(), repeatable });
    }
    sheet
}

/// Parses a text and checks that its faults have a line of the file and are bounded in number and
/// size.
fn check_faults(text: &str) {
    let Err(faults) = parse(text) else { return };
    let lines = text.lines().count() as u64;
    assert!(!faults.is_empty(), "a rejected sheet has a fault");
    // A row has at most one fault per column and one for the row, and a header field at most two.
    let max_faults = (MAX_ROWS + 2) * (Column::ALL.len() + 1) + 2 * text.len();
    assert!(faults.len() <= max_faults);
    for fault in faults {
        assert!(fault.row <= lines + 1, "{fault}");
        // Quoted values are truncated, so the size of a fault does not depend on the sheet.
        assert!(fault.cause.len() <= 1_000 && !fault.cause.contains('\n'), "{fault}");
    }
}

/// Guards against values that are altered when a sheet is written and parsed again, including
/// values with CSV metacharacters.
#[test]
fn valid_sheets_survive_writing_and_parsing() {
    let mut random = SmallRng::seed_from_u64(14);
    for _ in 0..150 {
        let sheet = random_sheet(&mut random);
        let text = write(&sheet);
        assert_eq!(parse(&text).as_ref(), Ok(&sheet), "{text}");
        assert_eq!(write(&sheet), text);
    }
}

/// Guards against a panic and an unbounded number of faults on a truncated or corrupted sheet.
#[test]
fn cut_and_damaged_sheets_are_read_without_a_panic() {
    let mut random = SmallRng::seed_from_u64(15);
    for _ in 0..60 {
        let text = write(&random_sheet(&mut random));
        for _ in 0..6 {
            let cut = random.random_range(0..text.len());
            check_faults(&String::from_utf8_lossy(&text.as_bytes()[..cut]));
            let mut damaged = text.clone().into_bytes();
            for _ in 0..random.random_range(1..4) {
                let bit = random.random_range(0..8 * damaged.len());
                damaged[bit / 8] ^= 1 << (bit % 8);
            }
            check_faults(&String::from_utf8_lossy(&damaged));
        }
    }
}

/// Guards against a panic on arbitrary bytes, also after a valid header row.
#[test]
fn random_bytes_are_read_without_a_panic() {
    let mut random = SmallRng::seed_from_u64(16);
    let header = Column::ALL.map(Column::name).join(",");
    for _ in 0..1_000 {
        let mut bytes = vec![0; random.random_range(0..400)];
        random.fill_bytes(&mut bytes);
        if random.random() {
            let alphabet = b",,,\"\n\rkindsetting019.-";
            bytes.iter_mut().for_each(|byte| *byte = alphabet[usize::from(*byte) % alphabet.len()]);
        }
        let text = String::from_utf8_lossy(&bytes);
        check_faults(&text);
        check_faults(&format!("{header}\n{text}"));
    }
}
