//! Bounds on what a fleet does whose servers crash, by requests and by themselves.
//!
//! The environment variable `MGW_SEEDS` sets the number of fleets for each cause, and `MGW_TABLE`
//! prints a table by cause.

mod common;
mod crash_fleet;

use std::time::Duration;

use crash_fleet::{CONTACT_MS, Cause, Fleet, Seen};
use mgw_route::poison::Part;

/// Number of fleets for each cause in CI.
const SEEDS: u64 = 12;

/// Fleets that once broke a bound, played in addition to the first [`SEEDS`].
const TWO_PARTS_SEEDS: [u64; 3] = [44, 240, 323];
const REQUEST_SEEDS: [u64; 2] = [98, 334];

/// Crashes by a part of prompts, and by a single request, after which few further requests of that
/// kind may reach servers.
const PART_CRASHES: usize = 5;
const REQUEST_CRASHES: usize = 3;

/// Maximum number of requests that reach servers later than [`CONTACT_MS`] after that.
const MAX_LATE: usize = 3;

/// Minimum part of the sound requests beside deadly ones that is sent to servers after twice the
/// contact time.
const MIN_SERVED: f64 = 0.5;

/// What one play shows.
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    /// Deadly requests of one kind that reached servers after the bound.
    late: usize,
    /// Part of the sound requests beside deadly ones that was sent, after twice the contact time.
    served: f64,
    /// Number of sound requests that were refused at any time.
    refused: usize,
    /// Time from the first to the last of these.
    refused_for: Duration,
    /// See [`Seen::wrong_ms`].
    wrong_ms: u64,
}

/// Number of arrivals of a kind after the bound.
fn late(seen: &Seen, kind: Part) -> usize {
    let crashes = if kind == Part(0) { REQUEST_CRASHES } else { PART_CRASHES };
    let mut of_kind = seen.deadly_crashes.iter().filter(|(other, _)| *other == kind);
    let Some((_, last)) = of_kind.nth(crashes - 1) else { return 0 };
    let arrivals = seen.deadly_arrivals.iter();
    arrivals.filter(|(other, at)| *other == kind && *at > last + CONTACT_MS).count()
}

fn figures(seen: &Seen) -> Figures {
    let crashes = &seen.deadly_crashes;
    let reference = crashes.get(PART_CRASHES - 1).or(crashes.last());
    let after = reference.map_or(0, |(_, at)| at + 2 * CONTACT_MS);
    let mut kinds: Vec<Part> = crashes.iter().map(|(kind, _)| *kind).collect();
    kinds.sort_unstable();
    kinds.dedup();
    let counted: Vec<bool> =
        seen.sound.iter().filter(|(at, _)| *at > after).map(|(_, is_sent)| *is_sent).collect();
    let sent = counted.iter().filter(|it| **it).count();
    let refused: Vec<u64> =
        seen.sound.iter().filter(|(_, is_sent)| !is_sent).map(|(at, _)| *at).collect();
    let span = refused.last().zip(refused.first()).map_or(0, |(last, first)| last - first);
    Figures {
        late: kinds.into_iter().map(|kind| late(seen, kind)).max().unwrap_or(0),
        served: if counted.is_empty() { 1.0 } else { sent as f64 / counted.len() as f64 },
        refused: refused.len(),
        refused_for: Duration::from_millis(span),
        wrong_ms: seen.wrong_ms,
    }
}

/// Plays fleets with this cause, also those of `regressions`, and checks what callers and servers
/// saw in each.
fn check(cause: Cause, regressions: &[u64]) {
    let count = std::env::var("MGW_SEEDS").map_or(SEEDS, |it| it.parse().expect("a number"));
    let further = regressions.iter().copied().filter(|it| *it > count);
    let seeds: Vec<u64> = (1..=count).chain(further).collect();
    let found: Vec<Figures> =
        seeds.iter().map(|seed| figures(&Fleet::new(cause, *seed).play())).collect();
    let is_broken = |it: &Figures| {
        let has_refused = cause == Cause::CrashesAlone && it.refused > 0;
        it.late > MAX_LATE || it.served < MIN_SERVED || has_refused
    };
    let broken: Vec<(u64, &Figures)> =
        seeds.iter().copied().zip(&found).filter(|(_, it)| is_broken(it)).collect();
    if std::env::var("MGW_TABLE").is_ok() {
        let late = found.iter().map(|it| it.late).max().unwrap_or_default();
        let mean = found.iter().map(|it| it.served).sum::<f64>() / found.len() as f64;
        let worst = found.iter().map(|it| it.served).fold(1.0, f64::min);
        let longest = found.iter().map(|it| it.refused_for).max().unwrap_or_default();
        let wrong = found.iter().filter(|it| it.wrong_ms > 0).count();
        let wrong_ms = found.iter().map(|it| it.wrong_ms).max().unwrap_or_default();
        let (longest, broken) = (longest.as_secs_f64(), broken.len());
        println!(
            "| {cause:?} | {late} | {mean:.3} | {worst:.3} | {longest:.1} | {wrong}, {wrong_ms} ms | \
             {broken} of {} |",
            seeds.len()
        );
    }
    assert!(broken.is_empty(), "{cause:?}, by seed: {broken:#?}");
}

/// Guards against a deadly part that is stopped too late, and against the refusal of sound requests
/// that begin like the deadly ones.
#[test]
fn a_deadly_part_beside_known_parts_is_stopped() {
    check(Cause::PartBesideKnown, &[]);
}

/// Guards against the refusal of sound requests whose new part was at the same crashes as the deadly
/// one, before or after it in the prompt.
#[test]
fn a_new_part_beside_a_deadly_one_is_served() {
    check(Cause::PartBesideNew, &[]);
}

/// Guards against a second deadly part whose crashes the first one explains.
#[test]
fn two_deadly_parts_are_stopped() {
    check(Cause::TwoParts, &TWO_PARTS_SEEDS);
}

/// Guards against entries that forget a deadly part at a restart, and ordinary crashes that hide it.
#[test]
fn a_deadly_part_beside_crashes_and_restarts_is_stopped() {
    check(Cause::PartAndCrashes, &[]);
}

/// Guards against a deadly request that is stopped too late.
#[test]
fn a_deadly_request_is_stopped() {
    check(Cause::Request, &REQUEST_SEEDS);
}

/// Guards against verdicts by coincidence: after ordinary crashes alone nothing is refused.
#[test]
fn nothing_is_refused_after_ordinary_crashes() {
    check(Cause::CrashesAlone, &[]);
}
