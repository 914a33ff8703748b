//! Tests that writing and parsing a sheet preserves it, and that a comparison lists exactly the
//! actual changes.

use mgw_sheet::{Change, Sheet, diff, key, parse, write};

const TESNOTA: &str = include_str!("../../../examples/tesnota.csv");
const NAIDOO: &str = include_str!("../../../examples/naidoo.csv");

fn parse_valid(text: &str) -> Sheet {
    parse(text).unwrap_or_else(|faults| panic!("{faults:#?}"))
}

/// Guards against example sheets that no longer have the size of the deployments that they
/// represent: 60 instances in 3 zones, 3 servers and 10 teams.
#[test]
fn examples_have_the_sizes_of_the_deployments() {
    for text in [TESNOTA, NAIDOO] {
        let sheet = parse_valid(text);
        let mut zones: Vec<_> = sheet.instances.iter().map(|instance| &instance.zone).collect();
        zones.sort();
        zones.dedup();
        assert_eq!(
            (zones.len(), sheet.instances.len(), sheet.servers.len(), sheet.teams.len()),
            (3, 60, 3, 10)
        );
        assert!(sheet.instances.iter().any(|instance| !instance.fencing));
        assert!(sheet.instances.iter().all(|instance| instance.address.starts_with("127.")));
    }
}

/// Guards against a value that is altered when a sheet is written and parsed again.
#[test]
fn canonical_form_round_trips() {
    for text in [TESNOTA, NAIDOO] {
        let first = parse_valid(text);
        let canonical = write(&first);
        assert_eq!(parse_valid(&canonical), first);
        assert_eq!(write(&parse_valid(&canonical)), canonical);
    }
    let mut quoted = parse_valid(NAIDOO);
    quoted.settings.deployment = "Naidoo \"Brothers\", Durban".into();
    quoted.settings.downtime_weight = 5;
    assert_eq!(parse_valid(&write(&quoted)), quoted);
}

/// Guards against differences that omit a change or list one that did not happen.
#[test]
fn difference_lists_exactly_what_changed() {
    let old = parse_valid(TESNOTA);
    assert_eq!(diff(&old, &old), []);
    let mut new = old.clone();
    new.settings.downtime_weight = 750;
    new.models[0].replicas += 1;
    new.models[0].version = "2026-11".into();
    new.instances.remove(0);
    new.teams.remove(9);
    new.teams[0].name = "archives".into();
    new.calls[0].repeatable = false;
    let changes = diff(&old, &new);
    insta::assert_snapshot!(diff::render(&changes), @r#"
    ~ setting downtime_weight value=0.8->0.75
    - instance za1-rack1-01 zone=za-1 domain=za1-rack1 accelerator=h100 accelerators=8 address=127.0.10.1:19100 fencing=yes
    ~ model archive-batch version=2026-06->2026-11 replicas=2->3
    - team archive rate=5 tokens=6000 concurrency=40 key=42a9cf2826c3f7494ec907d721bfb72f
    + team archives rate=5 tokens=6000 concurrency=40 key=42a9cf2826c3f7494ec907d721bfb72f
    - team trial rate=2 tokens=300 concurrency=8 key=9e03cc88b9f061803393819307f38030
    ~ call booking GET /slots repeatable=yes->no
    "#);
    let json = serde_json::to_string(&changes).expect("changes have a JSON form");
    let parsed: Vec<Change> = serde_json::from_str(&json).expect("the JSON form can be read");
    assert_eq!(parsed, changes);
    let names = |changes: &[Change]| changes.iter().map(|c| c.name.clone()).collect::<Vec<_>>();
    assert_eq!(names(&diff(&new, &old)), names(&changes), "the reverse difference differs");
}

/// Guards against a change of the hash function, which would invalidate the keys of every team in
/// existing sheets.
#[test]
fn key_hash_is_xxh3_128_in_lowercase_hexadecimal() {
    // Published test vector of 128-bit XXH3 for the empty input.
    assert_eq!(key::hash(""), "99aa06d3014798d86001c324468d497f");
    assert_eq!(key::hash("tesnota-dispatch-demo-key").len(), 32);
    assert!(TESNOTA.contains(key::hash("tesnota-dispatch-demo-key").as_str()));
}
