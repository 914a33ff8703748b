//! Measures latency, throughput, CPU time and memory of one entry, and the latency of direct calls
//! to the stand-ins in the same run for comparison. Writes the figures to `target/latency.json`.
//!
//! The constants below bound all loops; a run takes about a minute.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use mgw_process::client::{HttpClient, parse_chat_stream};
use mgw_process::fleet::{Fleet, Options, TEAM_KEY};
use serde_json::{Value, json};

/// Number of repetitions of each measurement.
const REPETITIONS: usize = 5;

/// Sequential service calls per repetition, direct and through the entry each; model calls are half
/// as many.
const CALLS_PER_REPETITION: usize = 400;

/// Calls before the first repetition that are not recorded; they open connections and fill caches.
const WARM_UP_CALLS: usize = 50;

/// Concurrent clients in the throughput measurements.
const CLIENTS: usize = 16;

/// Service calls per client and repetition in the throughput measurement.
const CALLS_PER_CLIENT: usize = 500;

/// Streamed model calls per client and repetition.
const STREAMS_PER_CLIENT: usize = 40;

/// Duration of one repetition of the idle measurement.
const IDLE_DURATION: Duration = Duration::from_secs(2);

/// Clock ticks per second in `/proc/PID/stat`; Linux fixes the value for user space.
const TICKS_PER_SECOND: f64 = 100.0;

/// Limit on the time until the groups have loaded their weights and are servable.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Path of the repeatable service call, below the prefix of the service.
const STOCK_PATH: &str = "/stock?item=4711";

/// One measured quantity, with a value per repetition.
struct Figure {
    name: &'static str,
    unit: &'static str,
    values: Vec<f64>,
}

/// All figures, in the order in which they were first recorded.
#[derive(Default)]
struct Table {
    figures: Vec<Figure>,
}

impl Table {
    /// Appends a value to the figure `name`, which is added if it is new.
    fn record(&mut self, name: &'static str, unit: &'static str, value: f64) {
        match self.figures.iter_mut().find(|figure| figure.name == name) {
            Some(figure) => figure.values.push(value),
            None => self.figures.push(Figure { name, unit, values: vec![value] }),
        }
    }

    /// Prints median, minimum and maximum of each figure, and returns them as JSON.
    fn print(&mut self) -> Value {
        println!("{:<44} {:>10} {:>10} {:>10}  unit", "figure", "median", "least", "most");
        let mut all = Vec::new();
        for figure in &mut self.figures {
            figure.values.sort_by(f64::total_cmp);
            let (least, most) = (figure.values[0], figure.values[figure.values.len() - 1]);
            let median = figure.values[figure.values.len() / 2];
            let (name, unit) = (figure.name, figure.unit);
            println!("{name:<44} {median:>10.2} {least:>10.2} {most:>10.2}  {unit}");
            all.push(json!({
                "name": name,
                "unit": unit,
                "median": median,
                "least": least,
                "most": most,
                "repetitions": figure.values.len(),
            }));
        }
        json!({ "figures": all })
    }
}

fn main() -> anyhow::Result<()> {
    actix_rt::System::new().block_on(run())
}

async fn run() -> anyhow::Result<()> {
    let options = Options { token_interval_us: 1_000, log_level: "info", ..Options::default() };
    let fleet = Fleet::start(Path::new("target/latency"), options).await?;
    fleet.publish()?;
    fleet.wait_for_groups(3, LOAD_TIMEOUT).await?;
    let pid = fleet.entries[0].process.as_ref().context("entry e1 has no process")?.id();
    let (entry, service) = (&fleet.entries[0].caller_address, &fleet.booking_servers[0].address);
    let engine = rank_zero_address(&fleet).await?;
    let client = HttpClient::with_key(TEAM_KEY);
    let path = format!("/services/bookings{STOCK_PATH}");
    let chat = json!({
        "model": "draft",
        "max_tokens": 4,
        "messages": [{ "role": "user", "content": "Summarise the visit to the cellar." }],
    });
    let completions_path = "/v1/chat/completions";
    let mut table = Table::default();

    for _ in 0..REPETITIONS {
        let before = cpu_seconds(pid)?;
        actix_rt::time::sleep(IDLE_DURATION).await;
        let cpu_time = cpu_seconds(pid)? - before;
        table.record(
            "idle: processor time",
            "% of a core",
            100.0 * cpu_time / IDLE_DURATION.as_secs_f64(),
        );
        table.record("idle: resident memory", "MB", resident_mb(pid)?);
    }

    for repetition in 0..=REPETITIONS {
        let warm_up = repetition == 0;
        let calls = if warm_up { WARM_UP_CALLS } else { CALLS_PER_REPETITION };
        let (mut direct, mut proxied) = (Vec::new(), Vec::new());
        let (mut chat_direct, mut chat_proxied) = (Vec::new(), Vec::new());
        // Direct calls and calls through the entry alternate, so that a change in the load of the
        // machine affects both alike.
        for _ in 0..calls {
            direct.push(time_call(&client, "GET", service, STOCK_PATH, None).await?);
            proxied.push(time_call(&client, "GET", entry, &path, None).await?);
        }
        for _ in 0..calls / 2 {
            chat_direct
                .push(time_call(&client, "POST", &engine, completions_path, Some(&chat)).await?);
            chat_proxied
                .push(time_call(&client, "POST", entry, completions_path, Some(&chat)).await?);
        }
        if warm_up {
            continue;
        }
        for (name, values) in [
            (["service call, direct: p50", "service call, direct: p99"], &mut direct),
            (["service call, entry: p50", "service call, entry: p99"], &mut proxied),
            (["model call, direct: p50", "model call, direct: p99"], &mut chat_direct),
            (["model call, entry: p50", "model call, entry: p99"], &mut chat_proxied),
        ] {
            values.sort_by(f64::total_cmp);
            table.record(name[0], "ms", values[values.len() / 2]);
            table.record(name[1], "ms", values[values.len() * 99 / 100]);
        }
    }

    for _ in 0..REPETITIONS {
        let (before, start) = (cpu_seconds(pid)?, Instant::now());
        let tasks = (0..CLIENTS).map(|_| {
            let (entry, path) = (entry.clone(), path.clone());
            actix_rt::spawn(async move {
                let client = HttpClient::with_key(TEAM_KEY);
                for _ in 0..CALLS_PER_CLIENT {
                    time_call(&client, "GET", &entry, &path, None).await?;
                }
                anyhow::Ok(())
            })
        });
        for task in tasks.collect::<Vec<_>>() {
            task.await??;
        }
        let (cpu_time, elapsed) = (cpu_seconds(pid)? - before, start.elapsed().as_secs_f64());
        let count = (CLIENTS * CALLS_PER_CLIENT) as f64;
        table.record("service calls per second of processor time", "1/s", count / cpu_time);
        table.record("service calls per second", "1/s", count / elapsed);
        table.record("service calls: resident memory", "MB", resident_mb(pid)?);
    }

    for repetition in 0..REPETITIONS {
        let (before, start) = (cpu_seconds(pid)?, Instant::now());
        let tasks = (0..CLIENTS).map(|client_number| {
            let entry = entry.clone();
            actix_rt::spawn(async move {
                let client = HttpClient::with_key(TEAM_KEY);
                let mut tokens = 0;
                for number in 0..STREAMS_PER_CLIENT {
                    let content = format!("Visit {repetition} {client_number} {number}.");
                    let body = json!({
                        "model": "draft",
                        "stream": true,
                        "messages": [{ "role": "user", "content": content }],
                    });
                    let response = client.post(&entry, completions_path, &body).await?;
                    let chat = parse_chat_stream(&response.text());
                    ensure!(chat.complete, "a stream is incomplete: {}", response.text());
                    tokens += chat.chunks;
                }
                Ok(tokens)
            })
        });
        let mut tokens = 0;
        for task in tasks.collect::<Vec<_>>() {
            tokens += task.await??;
        }
        let (cpu_time, elapsed) = (cpu_seconds(pid)? - before, start.elapsed().as_secs_f64());
        table.record("tokens per second of processor time", "1/s", tokens as f64 / cpu_time);
        table.record("tokens per second", "1/s", tokens as f64 / elapsed);
        table.record("streams: resident memory", "MB", resident_mb(pid)?);
    }

    let figures = table.print();
    std::fs::write("target/latency.json", format!("{figures:#}\n"))
        .context("write target/latency.json")?;
    Ok(())
}

/// Returns the address of a ready model server that is rank 0 of its group.
async fn rank_zero_address(fleet: &Fleet) -> anyhow::Result<String> {
    for engine in &fleet.engines {
        let status = HttpClient::default().get(&engine.address, "/status").await?.json()?;
        if status["state"] == "ready" && status["rank"] == 0 {
            return Ok(engine.address.clone());
        }
    }
    anyhow::bail!("no model server is ready with rank 0")
}

/// Makes one call and returns its duration in milliseconds. A status other than 200 is an error.
async fn time_call(
    client: &HttpClient,
    method: &str,
    address: &str,
    path: &str,
    body: Option<&Value>,
) -> anyhow::Result<f64> {
    let start = Instant::now();
    let response = client.send(method, address, path, &[("x-request-id", "timed")], body).await?;
    ensure!(response.status == 200, "{path}: {} {}", response.status, response.text());
    Ok(start.elapsed().as_secs_f64() * 1_000.0)
}

/// Returns the CPU time of a process since its start, user and system, in seconds.
fn cpu_seconds(pid: u32) -> anyhow::Result<f64> {
    let stat =
        std::fs::read_to_string(format!("/proc/{pid}/stat")).context("read /proc/PID/stat")?;
    // The program name, in parentheses, may contain spaces; the fields after it are counted.
    let rest = stat
        .rsplit_once(')')
        .map(|(_, rest)| rest)
        .context("find the end of the program name in /proc/PID/stat")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks: f64 =
        [11, 12].iter().filter_map(|index| fields.get(*index)?.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS_PER_SECOND)
}

/// Returns the resident memory of a process in MB (`VmRSS` divided by 1000).
fn resident_mb(pid: u32) -> anyhow::Result<f64> {
    let status =
        std::fs::read_to_string(format!("/proc/{pid}/status")).context("read /proc/PID/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).context("find VmRSS")?;
    let kilobytes: f64 = line.trim().trim_end_matches(" kB").parse().context("parse VmRSS")?;
    Ok(kilobytes / 1_000.0)
}
