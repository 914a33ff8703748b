//! Runs the measurements, prints the results and writes them to DIRECTORY as JSON:
//! `mgw-measure DIRECTORY [quick | product | slope ENTRIES SEED | slopes | events DEPLOYMENT MIX POLICY SEED]`.

use std::path::Path;
use std::process::ExitCode;

use mgw_measure::fault::{self, Mix, Window};
use mgw_measure::policy::Policy;
use mgw_measure::{report, scaling, setup, trial};
use mgw_scenario::world::SECOND;
use serde::Serialize;

const USAGE: &str = "usage: mgw-measure DIRECTORY [quick | product | slope ENTRIES SEED | slopes | \
                     events DEPLOYMENT MIX POLICY SEED]";

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let result = match arguments.as_slice() {
        [directory] => run_all(Path::new(directory), 20, trial::WINDOW, 4, 60),
        [directory, "quick"] => {
            let window = Window { end: 180 * SECOND, ..trial::WINDOW };
            run_all(Path::new(directory), 3, window, 1, 20)
        }
        // Without baselines, to compare two builds of the product.
        [_, "product"] => {
            report::measure(&setup::all(), &[Policy::Product], 10, trial::WINDOW).print();
            Ok(())
        }
        [directory, "slope", entries, seed] => run_scaling(Path::new(directory), entries, seed),
        [directory, "slopes"] => summarize_scaling(Path::new(directory)),
        [_, "events", deployment, mix, policy, seed] => print_events(deployment, mix, policy, seed),
        _ => Err(USAGE.to_owned()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(cause) => {
            eprintln!("{cause}");
            ExitCode::FAILURE
        }
    }
}

/// Content of `measure.json`.
#[derive(Serialize)]
struct Output<'a> {
    measures: &'a report::Measures,
    support: &'a [report::LoadRow],
}

/// Runs the cost measurement with `seeds` seeds, and the load measurement with `load_seeds` seeds
/// for `load_seconds` each.
fn run_all(
    directory: &Path,
    seeds: u64,
    window: Window,
    load_seeds: u64,
    load_seconds: u64,
) -> Result<(), String> {
    let setups = setup::all();
    let measures = report::measure(&setups, &Policy::ALL, seeds, window);
    measures.print();
    let support = report::measure_load(&setups, load_seeds, load_seconds);
    report::print_load(&support);
    write(directory, "measure.json", &Output { measures: &measures, support: &support })
}

fn write<T>(directory: &Path, name: &str, value: &T) -> Result<(), String>
where
    T: Serialize,
{
    let path = directory.join(name);
    let text = serde_json::to_string_pretty(value).map_err(|error| error.to_string())?;
    std::fs::create_dir_all(directory)
        .and_then(|()| std::fs::write(&path, text))
        .map_err(|error| format!("cannot write {}: {error}", path.display()))
}

/// Runs one number of entries and writes the result to a file of its own.
fn run_scaling(directory: &Path, entries: &str, seed: &str) -> Result<(), String> {
    let parse = |text: &str| text.parse::<u64>().map_err(|_| USAGE.to_owned());
    let outcome = scaling::run(parse(entries)? as usize, parse(seed)?);
    write(directory, &format!("slope-{entries}-{seed}.json"), &outcome)
}

/// Prints a summary of the results that earlier `slope` runs wrote to `directory`.
fn summarize_scaling(directory: &Path) -> Result<(), String> {
    let mut runs: Vec<scaling::Outcome> = Vec::new();
    let files = std::fs::read_dir(directory).map_err(|error| error.to_string())?;
    for file in files.flatten() {
        let name = file.file_name().to_string_lossy().into_owned();
        if name.starts_with("slope-") && name.ends_with(".json") {
            let text = std::fs::read_to_string(file.path()).map_err(|error| error.to_string())?;
            runs.push(serde_json::from_str(&text).map_err(|error| format!("{name}: {error}"))?);
        }
    }
    runs.sort_by_key(|it| (it.entries, it.seed));
    report::print_scaling(&runs);
    write(directory, "slopes.json", &runs)
}

/// Prints the last recorded events and the result of one run.
fn print_events(deployment: &str, mix: &str, policy: &str, seed: &str) -> Result<(), String> {
    let setups = setup::all();
    let setup = setups.iter().find(|it| it.name == deployment).ok_or(USAGE)?;
    let mix = Mix::ALL.into_iter().find(|it| it.name() == mix).ok_or(USAGE)?;
    let policy = Policy::ALL.into_iter().find(|it| it.name() == policy).ok_or(USAGE)?;
    let seed = seed.parse().map_err(|_| USAGE)?;
    let steps = fault::schedule(&setup.deployment, mix, trial::WINDOW, seed);
    let show = |trace: &mgw_scenario::world::Trace| println!("{trace}");
    let outcome = trial::run_steps(setup, &steps, policy, seed, trial::WINDOW, show);
    println!("{outcome:#?}");
    Ok(())
}
