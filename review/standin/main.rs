//! Runs one case of the review: `standin CASE FOLDER`. See the run.sh of the cases.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0,
//! the case runs without its disruption.

#![allow(dead_code)]

mod base;
mod client;
mod crashes;
mod deadly;
mod gateway;
mod mixed;
mod odd;
mod server;
mod store;
mod unsealed;

/// Whether the disruption takes place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    base::open_record(&format!("{folder}/record.txt"));
    base::record(&format!("case {case}, disruption: {}", has_trouble()));
    let is_kept = match case.as_str() {
        "deadly-part" => deadly::run(),
        "crashes" => crashes::run(),
        "odd-entry" => odd::run(),
        "unsealed" => unsealed::run(),
        "second-answer" => mixed::run(),
        _ => {
            eprintln!("no case is called {case}");
            std::process::exit(2);
        }
    };
    base::record(&format!("the rule {}", if is_kept { "held" } else { "was broken" }));
    std::process::exit(if is_kept { 0 } else { 1 });
}
