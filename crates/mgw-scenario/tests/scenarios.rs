//! Runs all scenario scripts in the workspace's `scenarios/` folder.

use std::path::{Path, PathBuf};
use std::sync::Mutex;

use mgw_scenario::{parse, run};

/// Number of scenarios that run in parallel.
const THREADS: usize = 4;

/// Runs a script with its own seed; the error has the form of the runner's output.
fn run_file(path: &Path) -> Result<(), String> {
    let name = path.file_stem().expect("a file name").to_string_lossy();
    let text = std::fs::read_to_string(path).map_err(|error| error.to_string())?;
    let file = format!("scenarios/{name}.mgw");
    let script = parse::parse(&file, &name, &text).map_err(|error| error.to_string())?;
    let failure = match run::run(&script, run::Options::default()) {
        Ok(_) => return Ok(()),
        Err(failure) => failure,
    };
    Err(format!("FAIL {name}: {failure}\n{}", failure.events.join("\n")))
}

/// Guards against the failures that the scenario files name in their first comment.
#[test]
fn all_scenarios_hold() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios");
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(root).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.retain(|path| path.extension().is_some_and(|it| it == "mgw"));
    files.sort();
    assert!(files.len() >= 24, "expected at least two scenarios for each of the twelve points");
    let (queue, failures) = (Mutex::new(files), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let Some(path) = queue.lock().unwrap().pop() else { return };
                    if let Err(text) = run_file(&path) {
                        failures.lock().unwrap().push(text);
                    }
                }
            });
        }
    });
    let failures = failures.into_inner().unwrap();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}
