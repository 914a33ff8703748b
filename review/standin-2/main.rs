//! Stand-ins of the platform, servers and clients for the cases of this review, and the cases.
//!
//! Usage: standin CASE RECORD. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could
//! not run. With TROUBLE=0 in the environment, the disruption is left out.

mod cases;
mod client;
mod gateway;
mod http;
mod record;
mod server;
mod store;

use std::panic::{AssertUnwindSafe, catch_unwind, panic_any};
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use record::Record;

/// Time after which a case counts as one that could not run.
const LIMIT: Duration = Duration::from_secs(110);

/// How a case ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    CannotRun,
}

/// Ends the case.
pub fn end(verdict: Verdict) -> ! {
    panic_any(verdict)
}

/// Whether the disruption is to happen.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(1, |it| it.as_millis() as u64)
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: standin CASE RECORD");
        return ExitCode::from(2);
    };
    std::panic::set_hook(Box::new(|info| {
        if !info.payload().is::<Verdict>() {
            eprintln!("{info}");
        }
    }));
    let record = Record::create(path);
    // The gateways end with this process.
    thread::spawn(|| {
        thread::sleep(LIMIT);
        std::process::exit(2);
    });
    let verdict = catch_unwind(AssertUnwindSafe(|| cases::run(case, &record)));
    let verdict = verdict.unwrap_or_else(|cause| match cause.downcast::<Verdict>() {
        Ok(verdict) => *verdict,
        Err(_) => Verdict::CannotRun,
    });
    record.note(&format!("{verdict:?}"));
    println!("{verdict:?}");
    ExitCode::from(match verdict {
        Verdict::Held => 0,
        Verdict::Broken => 1,
        Verdict::CannotRun => 2,
    })
}
