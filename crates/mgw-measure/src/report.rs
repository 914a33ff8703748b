//! Runs the measurements over all seeds, prints tables and provides the types of the JSON output.

use serde::Serialize;

use crate::cost::Cause;
use crate::fault::{Mix, Window};
use crate::load::{self, Routing};
use crate::parallel;
use crate::policy::Policy;
use crate::scaling;
use crate::setup::Setup;
use crate::trial::{self, Calls, Outcome};

/// Target: the product's combined cost is at most this share of the better baseline's.
pub const MAX_BASELINE_RATIO: f64 = 1.0 / 3.0;

/// Target: the product's combined cost is at most this multiple of the lower bound.
pub const MAX_BOUND_RATIO: f64 = 1.5;

/// Median and largest value over some runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Median; the mean of the two middle values if their number is even.
    pub median: f64,
    /// Largest value; 0 without values.
    pub worst: f64,
}

impl Spread {
    /// Computes the median and the largest of `values`.
    pub fn new<I>(values: I) -> Self
    where
        I: IntoIterator<Item = f64>,
    {
        let mut values: Vec<f64> = values.into_iter().collect();
        values.sort_by(f64::total_cmp);
        let middle = values.len() / 2;
        let median = match values.len() {
            0 => 0.0,
            count if count.is_multiple_of(2) => (values[middle - 1] + values[middle]) / 2.0,
            _ => values[middle],
        };
        Self { median, worst: values.last().copied().unwrap_or(0.0) }
    }
}

/// Results of all runs of a deployment, fault mix and policy. The field names are the keys in the
/// JSON output.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Name of the fault mix.
    pub mix: &'static str,
    /// Name of the policy.
    pub policy: &'static str,
    /// Combined cost in accelerator-seconds.
    pub combined: Spread,
    /// Lower bound of the combined cost in accelerator-seconds.
    pub least: Spread,
    /// Ratio of the combined cost to the lower bound of the same seed.
    pub of_least: Spread,
    /// Group downtime in seconds.
    pub down_seconds: Spread,
    /// Group downtime in accelerator-seconds.
    pub down: Spread,
    /// Stranded accelerator-seconds.
    pub stranded: Spread,
    /// Median seconds of group downtime by cause.
    pub down_by_cause: Vec<(Cause, f64)>,
    /// Median stranded accelerator-seconds by cause.
    pub stranded_by_cause: Vec<(Cause, f64)>,
    /// Number of calls by outcome, summed over all seeds.
    pub calls: Calls,
    /// Log appends per second.
    pub appends: Spread,
    /// Samples of all runs whose cost was below the lower bound. Any other value than 0 means that
    /// the bound is wrong.
    pub below: u32,
    /// Invariant violations, each with its seed.
    pub violations: Vec<String>,
    /// The single runs, ordered by seed.
    pub runs: Vec<Outcome>,
}

/// Comparison of the product with the better baseline and the lower bound.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Name of the fault mix.
    pub mix: &'static str,
    /// Name of the baseline with the lowest median of the combined cost.
    pub baseline: &'static str,
    /// Ratio of the product's combined cost to that baseline's with the same seed.
    pub of_baseline: Spread,
    /// Ratio of the product's combined cost to the lower bound of the same seed.
    pub of_least: Spread,
    /// Ratio of the product's cost in excess of the lower bound to that baseline's excess.
    pub excess: Spread,
}

impl Comparison {
    /// Whether the medians meet both targets, [`MAX_BASELINE_RATIO`] and [`MAX_BOUND_RATIO`].
    pub fn meets_targets(&self) -> bool {
        self.of_baseline.median <= MAX_BASELINE_RATIO && self.of_least.median <= MAX_BOUND_RATIO
    }
}

/// Results for group downtime and stranded accelerators.
#[derive(Clone, Debug, Serialize)]
pub struct Measures {
    /// Seeds per row.
    pub seeds: u64,
    /// One row per deployment, mix and policy.
    pub rows: Vec<Row>,
    /// One comparison per deployment and mix; empty without baselines.
    pub verdicts: Vec<Comparison>,
}

/// Measures all setups, mixes and policies with the seeds 1 to `seeds`. The first of `policies` has
/// to be the product; the others are its baselines.
pub fn measure(setups: &[Setup], policies: &[Policy], seeds: u64, window: Window) -> Measures {
    let mut jobs = Vec::new();
    for setup in setups {
        for mix in Mix::ALL {
            for policy in policies.iter().copied() {
                jobs.extend((1..=seeds).map(|seed| (setup, mix, policy, seed)));
            }
        }
    }
    let outcomes = parallel::map(&jobs, |(setup, mix, policy, seed)| {
        trial::run(setup, *mix, *policy, *seed, window)
    });
    let mut outcomes = outcomes.into_iter();
    let (mut rows, mut verdicts) = (Vec::new(), Vec::new());
    for setup in setups {
        for mix in Mix::ALL {
            let first = rows.len();
            for policy in policies.iter().copied() {
                let runs: Vec<Outcome> = outcomes.by_ref().take(seeds as usize).collect();
                rows.push(row(setup, mix, policy, runs));
            }
            if policies.len() > 1 {
                verdicts.push(compare(setup, mix, &rows[first..]));
            }
        }
    }
    Measures { seeds, rows, verdicts }
}

fn row(setup: &Setup, mix: Mix, policy: Policy, runs: Vec<Outcome>) -> Row {
    let weight = setup.weight;
    let spread = |value: &dyn Fn(&Outcome) -> f64| Spread::new(runs.iter().map(value));
    let by_cause = |value: &dyn Fn(&Outcome, usize) -> f64| {
        let median = |cause: Cause| spread(&|it| value(it, cause as usize)).median;
        Cause::ALL.into_iter().map(|cause| (cause, median(cause))).collect()
    };
    let mut calls = Calls::default();
    runs.iter().for_each(|it| calls.merge(&it.calls));
    let violations = runs.iter().zip(1..).flat_map(|(it, seed)| {
        it.violations.iter().map(move |text| format!("seed {seed}: {text}"))
    });
    Row {
        deployment: setup.name,
        mix: mix.name(),
        policy: policy.name(),
        combined: spread(&|it| it.account.combined_cost(weight)),
        least: spread(&|it| it.account.lower_bound(weight)),
        of_least: spread(&|it| it.account.combined_cost(weight) / it.account.lower_bound(weight)),
        down_seconds: spread(&|it| it.account.total_downtime()),
        down: spread(&|it| it.account.down),
        stranded: spread(&|it| it.account.total_stranded()),
        down_by_cause: by_cause(&|it, cause| it.account.downtime[cause]),
        stranded_by_cause: by_cause(&|it, cause| it.account.stranded[cause]),
        calls,
        appends: spread(&|it| it.appends),
        below: runs.iter().map(|it| it.account.below).sum(),
        violations: violations.collect(),
        runs,
    }
}

fn compare(setup: &Setup, mix: Mix, rows: &[Row]) -> Comparison {
    let cost = |it: &Outcome| it.account.combined_cost(setup.weight);
    let least = |it: &Outcome| it.account.lower_bound(setup.weight);
    let (product, baselines) = (&rows[0], &rows[1..]);
    let best_baseline = baselines
        .iter()
        .min_by(|left, right| left.combined.median.total_cmp(&right.combined.median))
        .unwrap_or(product);
    let pairs = || product.runs.iter().zip(&best_baseline.runs);
    Comparison {
        deployment: setup.name,
        mix: mix.name(),
        baseline: best_baseline.policy,
        of_baseline: Spread::new(pairs().map(|(own, other)| cost(own) / cost(other))),
        of_least: product.of_least,
        excess: Spread::new(
            pairs().map(|(own, other)| (cost(own) - least(own)) / (cost(other) - least(other))),
        ),
    }
}

/// Lists the causes whose sum is at least 0.5.
fn format_causes(list: &[(Cause, f64)]) -> String {
    let shown = list.iter().filter(|it| it.1 >= 0.5);
    let text: Vec<String> = shown.map(|(it, sum)| format!("{} {sum:.0}", it.name())).collect();
    text.join(", ")
}

impl Measures {
    /// Prints the results as tables.
    pub fn print(&self) {
        println!(
            "Group downtime and stranded accelerators: median (worst) of {} seeds; combined cost \
             and lower bound in accelerator-seconds",
            self.seeds
        );
        println!(
            "{:<8} {:<6} {:<11} {:>17} {:>15} {:>13} {:>13} {:>17}  causes (medians)",
            "users",
            "faults",
            "policy",
            "combined",
            "bound",
            "over bound",
            "downtime s",
            "stranded acc s"
        );
        for row in &self.rows {
            let pair = |it: &Spread| format!("{:.0} ({:.0})", it.median, it.worst);
            println!(
                "{:<8} {:<6} {:<11} {:>17} {:>15} {:>13} {:>13} {:>17}  down: {}; stranded: {}",
                row.deployment,
                row.mix,
                row.policy,
                pair(&row.combined),
                pair(&row.least),
                format!("{:.2} ({:.2})", row.of_least.median, row.of_least.worst),
                pair(&row.down_seconds),
                pair(&row.stranded),
                format_causes(&row.down_by_cause),
                format_causes(&row.stranded_by_cause),
            );
        }
        println!();
        if self.verdicts.is_empty() {
            return;
        }
        println!(
            "Targets: at most {MAX_BASELINE_RATIO:.2} of the better baseline and {MAX_BOUND_RATIO} of \
             the bound"
        );
        for it in &self.verdicts {
            println!(
                "{:<8} {:<6} {:.2} ({:.2}) of {}, {:.2} ({:.2}) of the bound, excess over the \
                 bound {:.2} ({:.2}) of the baseline's: {}",
                it.deployment,
                it.mix,
                it.of_baseline.median,
                it.of_baseline.worst,
                it.baseline,
                it.of_least.median,
                it.of_least.worst,
                it.excess.median,
                it.excess.worst,
                if it.meets_targets() { "met" } else { "not met" },
            );
        }
        println!();
        println!("Calls during these runs (sums over the seeds) and log appends");
        for row in self.rows.iter().filter(|it| it.policy == "product") {
            let it = &row.calls;
            println!(
                "{:<8} {:<6} made {} done {} refused {} broken {} unknown {} retried {} doubled {}, \
                 {:.1} ({:.1}) appends/s",
                row.deployment,
                row.mix,
                it.made,
                it.done,
                it.refused,
                it.broken,
                it.unknown,
                it.retried,
                it.doubled,
                row.appends.median,
                row.appends.worst
            );
        }
        println!();
        let below: u32 = self.rows.iter().map(|it| it.below).sum();
        println!("samples below the lower bound: {below}");
        for row in self.rows.iter().filter(|it| !it.violations.is_empty()) {
            println!(
                "{} {} {}: {} broken invariants, the first {}",
                row.deployment,
                row.mix,
                row.policy,
                row.violations.len(),
                row.violations[0]
            );
        }
        println!();
    }
}

/// Results under a steady load for a deployment and a routing policy. The field names are the keys
/// in the JSON output.
#[derive(Clone, Debug, Serialize)]
pub struct LoadRow {
    /// Name of the deployment.
    pub deployment: &'static str,
    /// Name of the routing policy.
    pub routing: &'static str,
    /// p50, p95 and p99 of the time to the first token over all seeds, in milliseconds.
    pub first_ms: [f64; 3],
    /// The single runs, ordered by seed.
    pub runs: Vec<load::Outcome>,
}

/// Runs all setups and routing policies under a steady load of `seconds`, with the seeds 1 to
/// `seeds`.
pub fn measure_load(setups: &[Setup], seeds: u64, seconds: u64) -> Vec<LoadRow> {
    let mut jobs = Vec::new();
    for setup in setups {
        for routing in Routing::ALL {
            jobs.extend((1..=seeds).map(|seed| (setup, routing, seed)));
        }
    }
    let outcomes =
        parallel::map(&jobs, |(setup, routing, seed)| load::run(setup, *routing, *seed, seconds));
    let mut outcomes = outcomes.into_iter();
    let mut rows = Vec::new();
    for setup in setups {
        for routing in Routing::ALL {
            let runs: Vec<load::Outcome> = outcomes.by_ref().take(seeds as usize).collect();
            let mut first: Vec<f64> = runs.iter().flat_map(|it| it.first_ms.clone()).collect();
            first.sort_by(f64::total_cmp);
            let quantile = |share: f64| {
                let index = (first.len() as f64 * share).ceil() as usize;
                first.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
            };
            rows.push(LoadRow {
                deployment: setup.name,
                routing: routing.name(),
                first_ms: [quantile(0.5), quantile(0.95), quantile(0.99)],
                runs,
            });
        }
    }
    rows
}

/// Prints the results under a steady load.
pub fn print_load(rows: &[LoadRow]) {
    println!("Supporting figures under a steady load without faults: median (worst) over seeds");
    for row in rows {
        let spread = |value: &dyn Fn(&load::Outcome) -> f64| {
            let it = Spread::new(row.runs.iter().map(value));
            format!("{:.1} ({:.1})", it.median, it.worst)
        };
        let mut calls = Calls::default();
        row.runs.iter().for_each(|it| calls.merge(&it.calls));
        println!(
            "{:<8} {:<17} first token p50/p95/p99 {:.0}/{:.0}/{:.0} ms, prefix hits {} %, made {} \
             refused {} broken {} unknown {} retried {} doubled {}",
            row.deployment,
            row.routing,
            row.first_ms[0],
            row.first_ms[1],
            row.first_ms[2],
            spread(&|it| it.hit_rate * 100.0),
            calls.made,
            calls.refused,
            calls.broken,
            calls.unknown,
            calls.retried,
            calls.doubled,
        );
        if row.routing == Routing::Product.name() {
            println!(
                "         per entry and second: gossip sent {} B, processor {} us; largest frame \
                 {} B; appends {} /s; largest planning pass {} us; broken invariants {}",
                spread(&|it| it.gossip),
                spread(&|it| it.cost.busy_us),
                spread(&|it| it.frame as f64),
                spread(&|it| it.appends),
                spread(&|it| it.cost.pass_us),
                row.runs.iter().map(|it| it.violations).sum::<usize>(),
            );
        }
    }
}

/// Prints the scaling results, one line per number of entries.
pub fn print_scaling(runs: &[scaling::Outcome]) {
    println!("Slopes with 600 servers, every entry and engine simulated in full: median (worst)");
    println!(
        "{:>7} {:>4} {:>6} {:>14} {:>15} {:>17} {:>19} {:>17} {:>17} {:>6}",
        "entries",
        "runs",
        "groups",
        "snapshot B",
        "memory KB",
        "gossip B/s",
        "processor us/s",
        "largest pass us",
        "in force ms",
        "broken"
    );
    for size in scaling::ENTRY_COUNTS {
        let of_size: Vec<&scaling::Outcome> = runs.iter().filter(|it| it.entries == size).collect();
        if of_size.is_empty() {
            continue;
        }
        let spread = |value: &dyn Fn(&scaling::Outcome) -> f64| {
            let it = Spread::new(of_size.iter().map(|it| value(it)));
            format!("{:.0} ({:.0})", it.median, it.worst)
        };
        println!(
            "{:>7} {:>4} {:>6} {:>14} {:>15} {:>17} {:>19} {:>17} {:>17} {:>6}",
            size,
            of_size.len(),
            of_size.iter().map(|it| it.groups).min().unwrap_or(0),
            spread(&|it| it.snapshot as f64),
            spread(&|it| it.resident as f64 / 1024.0),
            spread(&|it| it.gossip),
            spread(&|it| it.busy_us),
            spread(&|it| it.pass_us),
            spread(&|it| it.force_ms.map_or(f64::INFINITY, |it| it as f64)),
            of_size.iter().map(|it| it.violations).sum::<usize>(),
        );
    }
}
