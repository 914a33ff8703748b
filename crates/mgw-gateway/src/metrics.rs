//! Counters and latency histograms, with a text format for scraping.

use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use mgw_base::sorted::Map;

/// Maximum recorded latency in milliseconds; longer ones are recorded as this value.
const MAX_LATENCY_MS: u64 = 120_000;

/// Counters by name and label, and latency histograms by name.
#[derive(Debug, Default)]
pub struct Metrics {
    counters: Map<(&'static str, &'static str), u64>,
    histograms: Map<&'static str, Latency>,
}

/// A latency histogram in milliseconds with the sum of its values.
#[derive(Debug)]
struct Latency {
    /// `None` if the histogram could not be created; then only the sum is kept.
    histogram: Option<Histogram<u32>>,
    sum_ms: u64,
}

impl Metrics {
    /// Adds 1 to the counter `name` with `label`.
    pub fn count(&mut self, name: &'static str, label: &'static str) {
        *self.counters.entry((name, label), || 0) += 1;
    }

    /// Adds a latency to the histogram `name`.
    pub fn latency(&mut self, name: &'static str, span: Duration) {
        let ms = (span.as_millis() as u64).min(MAX_LATENCY_MS);
        let new_latency =
            || Latency { histogram: Histogram::new_with_max(MAX_LATENCY_MS, 2).ok(), sum_ms: 0 };
        let latency = self.histograms.entry(name, new_latency);
        latency.sum_ms += ms;
        if let Some(histogram) = &mut latency.histogram {
            histogram.saturating_record(ms);
        }
    }

    /// All metrics as text, one value per line; `gauges` are written first.
    pub fn text(&self, gauges: &[(&str, u64)]) -> String {
        let mut text = String::new();
        // Writing to a `String` cannot fail.
        for (name, value) in gauges {
            let _ = writeln!(text, "marigoldwall_{name} {value}");
        }
        for ((name, label), value) in self.counters.iter() {
            let _ = writeln!(text, "marigoldwall_{name}_total{{cause=\"{label}\"}} {value}");
        }
        for (name, latency) in self.histograms.iter() {
            let Some(histogram) = &latency.histogram else { continue };
            for quantile in [0.5, 0.9, 0.99, 1.0] {
                let value = histogram.value_at_quantile(quantile);
                let _ = writeln!(text, "marigoldwall_{name}_ms{{quantile=\"{quantile}\"}} {value}");
            }
            let _ = writeln!(text, "marigoldwall_{name}_ms_sum {}", latency.sum_ms);
            let _ = writeln!(text, "marigoldwall_{name}_ms_count {}", histogram.len());
        }
        text
    }
}
