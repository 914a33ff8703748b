//! Runs scripted scenarios: `mgw-scenario [--all-events] [--seeds=N] FILE...`.
//!
//! With `--seeds=N`, each scenario runs with N seeds: its own and those that follow.
//!
//! Prints one line for each scenario, and the events around a failure. Exits with 0 only if all
//! hold.

use std::path::Path;
use std::process::ExitCode;

use mgw_scenario::{parse, run};

fn main() -> ExitCode {
    let mut files: Vec<String> = std::env::args().skip(1).collect();
    let before = files.len();
    files.retain(|it| it != "--all-events");
    let all_events = files.len() < before;
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
    let mut good = true;
    for file in &files {
        good &= play(file, seeds, options);
    }
    if good { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

fn play(file: &str, seeds: u64, options: run::Options) -> bool {
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
    let mut good = true;
    for number in 0..seeds {
        script.deployment.seed = seed + number;
        let label = if number == 0 { name.to_string() } else { format!("{name}+{number}") };
        match run::run(&script, options) {
            Ok(_) => println!("ok {label}"),
            Err(failure) => {
                good = false;
                println!("FAIL {label}: {failure}");
                for event in &failure.events {
                    println!("    {event}");
                }
            }
        }
    }
    good
}
