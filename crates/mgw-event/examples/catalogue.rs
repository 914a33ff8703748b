//! Prints the catalogue of event kinds, the content of `docs/EVENTS.md`.

fn main() {
    print!("{}", mgw_event::kind::catalogue());
}
