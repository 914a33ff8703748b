//! Runs the deployment of `examples/tesnota.csv` for a virtual hour and prints the number of steps,
//! the real time and the results.
//!
//! The first argument is the number of virtual seconds (default 3600). Any second argument prints
//! the trace.
use mgw_scenario::world::call::{KeyKind, Request};
use mgw_scenario::world::{EntrySpec, Options, SECOND, World};

fn main() {
    let sheet = std::fs::read_to_string("examples/tesnota.csv")
        .expect("examples/tesnota.csv must be readable: run from the workspace root");
    let entries = (0..9)
        .map(|index| EntrySpec {
            name: format!("e{index}").into(),
            zone: ["za-1", "za-2", "za-3"][index % 3].into(),
        })
        .collect();
    let mut world = World::new(Options::new(1, entries, sheet)).expect("the sheet is valid");
    let started = std::time::Instant::now();
    let seconds: u64 = std::env::args().nth(1).and_then(|it| it.parse().ok()).unwrap_or(3600);
    for second in 0..seconds {
        world.run_until(second * SECOND);
        if second > 60 {
            world.call(Request::model("draft", "dispatch", "visit-summary-large"));
            world.call(Request::model("reply", "customer-replies", "reply-medium"));
            world.call(Request::booking(
                "book",
                "dispatch",
                "booking",
                KeyKind::Opaque(format!("k{second}").into()),
            ));
        }
        if second % 60 == 59 && second < 200 {
            println!(
                "{second}: groups {} {} planner {:?} log {:?} version {}",
                world.serving_group_count("visit-summary-large"),
                world.serving_group_count("reply-medium"),
                world.planner(),
                world.log_size(),
                world.config_version()
            );
        }
    }
    println!("{} steps in {:?}", world.steps(), started.elapsed());
    println!("{:?}", world.measure());
    let done = world.calls().iter().filter(|it| it.outcome.is_some_and(|it| it.name() == "done"));
    println!("calls {} done {} open {}", world.calls().len(), done.count(), world.open_calls());
    for violation in world.violations().iter().take(10) {
        println!("{violation:?}");
    }
    if std::env::args().nth(2).is_some() {
        for line in world.trace() {
            println!("{line}");
        }
    }
}
