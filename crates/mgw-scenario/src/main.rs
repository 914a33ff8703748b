//! Runs scenario scripts: `mgw-scenario [--all-events] [--seeds=N] FILE...`.
//!
//! With `--seeds=N`, each scenario is run N times: with its own seed and the N - 1 seeds after it.
//! With `--all-events`, a failure report contains all events of the trace instead of the last ones.
//!
//! Prints one line per run and, after a failure, the last events before it. Exits with 0 if all
//! runs pass, 1 if a run fails or a script cannot be read, and 2 if no file is given.

use std::path::Path;
use std::process::ExitCode;

use mgw_scenario::{parse, run};

fn main() -> ExitCode {
    let mut files: Vec<String> = std::env::args().skip(1).collect();
    let argument_count = files.len();
    files.retain(|it| it != "--all-events");
    let all_events = files.len() < argument_count;
    let seeds = files.iter().find_map(|it| it.strip_prefix("--seeds=")?.parse().ok()).unwrap_or(1);
    files.retain(|it| !it.starts_with("--seeds="));
    let options = match all_events {
        true => run::Options { event_window: u64::MAX, max_events: usize::MAX },
        false => run::Options::default(),
    };
    if files.is_empty() {
        eprintln!("usage: mgw-scenario [--all-events] [--seeds=N] FILE...");
        return ExitCode::from(2);
    }
    let mut all_passed = true;
    for file in &files {
        all_passed &= run_file(file, seeds, options);
    }
    if all_passed { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Runs one scenario with `seeds` consecutive seeds and reports whether all runs passed.
fn run_file(file: &str, seeds: u64, options: run::Options) -> bool {
    let name = Path::new(file).file_stem().map(|it| it.to_string_lossy()).unwrap_or_default();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(error) => {
            println!("FAIL {name}: a readable file, {file}, {error}");
            return false;
        }
    };
    let mut script = match parse::parse(file, &name, &text) {
        Ok(script) => script,
        Err(error) => {
            println!("FAIL {name}: a valid script, {}:{}, {}", error.file, error.line, error.cause);
            return false;
        }
    };
    let (seed, name) = (script.deployment.seed, script.name.clone());
    let mut all_passed = true;
    for offset in 0..seeds {
        script.deployment.seed = seed + offset;
        let label = if offset == 0 { name.to_string() } else { format!("{name}+{offset}") };
        match run::run(&script, options) {
            Ok(_) => println!("ok {label}"),
            Err(failure) => {
                all_passed = false;
                println!("FAIL {label}: {failure}");
                for event in &failure.events {
                    println!("    {event}");
                }
            }
        }
    }
    all_passed
}
