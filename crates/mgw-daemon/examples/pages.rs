//! Prints the Markdown tables of settings and metrics for the pages under `docs/operators/`.

use std::io::Write as _;

fn main() -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    for row in mgw_daemon::config::rows() {
        writeln!(out, "{row}")?;
    }
    writeln!(out)?;
    for metric in mgw_daemon::metrics::ALL {
        writeln!(out, "{}", metric.row())?;
    }
    Ok(())
}
