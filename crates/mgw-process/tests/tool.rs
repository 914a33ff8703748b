//! The operators' command-line tool against running entries.

mod common;

use std::time::Duration;

use anyhow::{bail, ensure};
use mgw_process::client::HttpClient;
use mgw_process::fleet::{Fleet, Options};

/// Timeout for a mark to take effect in the directory.
const MARK_TIMEOUT: Duration = Duration::from_secs(5);

/// Runs the tool and returns its standard output; fails unless the tool exits with code 0.
fn run_tool(fleet: &Fleet, arguments: &[&str]) -> anyhow::Result<String> {
    let output = fleet.run_tool(arguments)?;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let errors = String::from_utf8_lossy(&output.stderr);
    ensure!(output.status.success(), "{arguments:?} failed: {text}{errors}");
    Ok(text)
}

/// Waits until the directory of entry 1 lists `count` entries.
async fn wait_for_entries(fleet: &Fleet, count: usize) -> anyhow::Result<()> {
    let caller = HttpClient::default();
    let start = std::time::Instant::now();
    loop {
        let answer = caller.get(&fleet.entries[1].caller_address, "/v1/entries").await?.json()?;
        let listed = answer["entries"].as_array().map_or(0, Vec::len);
        match listed {
            _ if listed == count => return Ok(()),
            _ if start.elapsed() >= MARK_TIMEOUT => bail!(
                "the directory lists {listed} entries after {MARK_TIMEOUT:?}, expected {count}"
            ),
            _ => common::sleep(Duration::from_millis(50)).await,
        }
    }
}

/// Guards against a preview that shows no changes or applies them, an explanation of a state that
/// lacks the log offset of its cause, and marks without effect on the directory.
#[test]
fn changes_are_previewed_explained_and_marked() -> anyhow::Result<()> {
    common::run_test(async {
        let options = Options { engines: 4, replicas: 1, ..Options::default() };
        let fleet = common::start_serving_fleet("tool", options, 1).await?;
        let before = run_tool(&fleet, &["show", "groups"])?;
        let sheet = fleet.sheet().replace(",draft,,,h100,", ",other,,,h100,");
        ensure!(sheet != fleet.sheet(), "the text to replace is missing from the fleet's sheet");
        let file = common::folder("tool").join("next.csv");
        std::fs::write(&file, sheet)?;
        let preview = run_tool(&fleet, &["preview", &file.to_string_lossy()])?;
        ensure!(preview.contains("- model draft"), "{preview}");
        ensure!(preview.contains("forms: other 1 on "), "{preview}");
        ensure!(preview.contains("nothing was changed"), "{preview}");
        ensure!(run_tool(&fleet, &["show", "groups"])? == before, "the preview changed groups");

        let why = run_tool(&fleet, &["why", "instance", "m1"])?;
        ensure!(why.contains("E401 order_sent") && why.contains("offset="), "{why}");
        ensure!(!fleet.run_tool(&["why", "instance", "m9"])?.status.success());

        wait_for_entries(&fleet, 3).await?;
        run_tool(&fleet, &["mark", "drain", "entry", "e1"])?;
        wait_for_entries(&fleet, 2).await?;
        run_tool(&fleet, &["mark", "clear", "entry", "e1"])?;
        wait_for_entries(&fleet, 3).await
    })
}
