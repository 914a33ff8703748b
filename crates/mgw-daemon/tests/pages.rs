//! Checks that the documentation for operators and callers agrees with the code.

use mgw_daemon::error::Code;
use mgw_daemon::{config, metrics};

/// Guards against a setting that is missing on the page or whose flag, variable, default or range
/// differs from it, and against rows of settings that no longer exist.
#[test]
fn install_page_lists_every_setting() {
    let page = include_str!("../../../docs/operators/install.md");
    let listed: Vec<&str> = page.lines().filter(|line| line.contains("| `MARIGOLDWALL_")).collect();
    assert_eq!(listed, config::rows());
}

/// Guards against a metric that is missing on the page or whose name, unit or tags differ from it, and
/// against rows of metrics that no longer exist.
#[test]
fn measures_page_lists_every_metric() {
    let page = include_str!("../../../docs/operators/reading_the_measures.md");
    let listed: Vec<&str> =
        page.lines().filter(|line| line.starts_with("| `marigoldwall.")).collect();
    assert_eq!(listed, metrics::ALL.map(|metric| metric.row()));
}

/// Guards against an error code that is missing on the page, listed twice, or listed with another
/// status.
#[test]
fn callers_page_lists_every_code() {
    let page = include_str!("../../../docs/operators/callers.md");
    for code in Code::ALL {
        let start = format!("| `{}` | {} |", code.name(), code.status());
        let count = page.lines().filter(|line| line.starts_with(&start)).count();
        assert_eq!(count, 1, "{start}");
    }
}
