//! The operators' tool against real entries.

mod common;

use std::time::Duration;

use anyhow::{bail, ensure};
use mgw_process::caller::Caller;
use mgw_process::fleet::{Fleet, Options};

/// Time within which a mark shows in the directory.
const MARKED: Duration = Duration::from_secs(5);

fn run(fleet: &Fleet, arguments: &[&str]) -> anyhow::Result<String> {
    let output = fleet.tool(arguments)?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr);
    ensure!(output.status.success(), "{arguments:?}: {text}{errors}");
    Ok(text)
}

/// Waits until the directory names `count` entries.
async fn wait_for_entries(fleet: &Fleet, count: usize) -> anyhow::Result<()> {
    let caller = Caller::default();
    let start = std::time::Instant::now();
    loop {
        let answer = caller.get(&fleet.entries[1].callers, "/v1/entries").await?.json()?;
        let named = answer["entries"].as_array().map_or(0, Vec::len);
        match named {
            _ if named == count => return Ok(()),
            _ if start.elapsed() >= MARKED => bail!("{named} of {count} entries after {MARKED:?}"),
            _ => common::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Guards against a preview that shows nothing or changes something, an explanation without the
/// offset that led there, and marks that have no effect.
#[test]
fn changes_are_previewed_explained_and_marked() -> anyhow::Result<()> {
    common::run_test(async {
        let options = Options { engines: 4, replicas: 1, ..Options::default() };
        let fleet = common::start_serving_fleet("tool", options, 1).await?;
        let before = run(&fleet, &["show", "groups"])?;
        let sheet = fleet.sheet().replace(",draft,,,h100,", ",other,,,h100,");
        ensure!(sheet != fleet.sheet(), "the sheet's form has changed");
        let file = common::folder("tool").join("next.csv");
        std::fs::write(&file, sheet)?;
        let preview = run(&fleet, &["preview", &file.to_string_lossy()])?;
        ensure!(preview.contains("- model draft"), "{preview}");
        ensure!(preview.contains("forms: other 1 on "), "{preview}");
        ensure!(preview.contains("nothing was changed"), "{preview}");
        ensure!(run(&fleet, &["show", "groups"])? == before, "the preview changed groups");

        let why = run(&fleet, &["why", "instance", "m1"])?;
        ensure!(why.contains("E401 order_sent") && why.contains("offset="), "{why}");
        ensure!(!fleet.tool(&["why", "instance", "m9"])?.status.success());

        wait_for_entries(&fleet, 3).await?;
        run(&fleet, &["mark", "drain", "entry", "e1"])?;
        wait_for_entries(&fleet, 2).await?;
        run(&fleet, &["mark", "clear", "entry", "e1"])?;
        wait_for_entries(&fleet, 3).await
    })
}
