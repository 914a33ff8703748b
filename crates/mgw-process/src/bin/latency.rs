//! Measures latency, throughput, processor time and memory of one entry against direct calls to
//! the stand-ins, all in the same run. Writes the figures to `target/latency.json`.
//!
//! All loops are bounded by the counts below; a run takes about a minute.

use std::path::Path;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use mgw_process::client::{HttpClient, parse_chat_stream};
use mgw_process::fleet::{Fleet, Options, TEAM_KEY};
use serde_json::{Value, json};

/// Repetitions of every measurement.
const REPETITIONS: usize = 5;

/// Sequential calls per repetition and path.
const CALLS: usize = 400;

/// Calls before the first repetition, so that connections and caches are warm.
const WARM_UP: usize = 50;

/// Connections of the throughput measurements.
const CONNECTIONS: usize = 16;

/// Calls per connection and repetition.
const BURST: usize = 500;

/// Streams per connection and repetition.
const STREAMS: usize = 40;

/// Time over which the idle entry is observed, per repetition.
const IDLE: Duration = Duration::from_secs(2);

/// Clock ticks per second in `/proc/PID/stat`, which Linux fixes for user space.
const TICKS: f64 = 100.0;

/// Time for the groups to load and serve.
const LOADED: Duration = Duration::from_secs(30);

/// Path of the idempotent call below the service.
const STOCK: &str = "/stock?item=4711";

/// Figures of one name over the repetitions.
struct Figure {
    name: &'static str,
    unit: &'static str,
    values: Vec<f64>,
}

/// All figures, in the order in which they were first noted.
#[derive(Default)]
struct Table {
    figures: Vec<Figure>,
}

impl Table {
    fn note(&mut self, name: &'static str, unit: &'static str, value: f64) {
        match self.figures.iter_mut().find(|figure| figure.name == name) {
            Some(figure) => figure.values.push(value),
            None => self.figures.push(Figure { name, unit, values: vec![value] }),
        }
    }

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
    fleet.wait_for_groups(3, LOADED).await?;
    let process = fleet.entries[0].process.as_ref().context("the entry does not run")?.id();
    let (entry, service) = (&fleet.entries[0].caller_address, &fleet.booking_servers[0].address);
    let engine = first_member(&fleet).await?;
    let caller = HttpClient::with_key(TEAM_KEY);
    let path = format!("/services/bookings{STOCK}");
    let chat = json!({
        "model": "draft",
        "max_tokens": 4,
        "messages": [{ "role": "user", "content": "Summarise the visit to the cellar." }],
    });
    let completions = "/v1/chat/completions";
    let mut table = Table::default();

    for _ in 0..REPETITIONS {
        let before = processor(process)?;
        actix_rt::time::sleep(IDLE).await;
        let used = processor(process)? - before;
        table.note("idle: processor time", "% of a core", 100.0 * used / IDLE.as_secs_f64());
        table.note("idle: resident memory", "MB", resident(process)?);
    }

    for repetition in 0..=REPETITIONS {
        let warm = repetition == 0;
        let calls = if warm { WARM_UP } else { CALLS };
        let (mut direct, mut through) = (Vec::new(), Vec::new());
        let (mut chat_direct, mut chat_through) = (Vec::new(), Vec::new());
        // Direct calls and calls through the entry alternate, so that both meet the same machine.
        for _ in 0..calls {
            direct.push(time(&caller, "GET", service, STOCK, None).await?);
            through.push(time(&caller, "GET", entry, &path, None).await?);
        }
        for _ in 0..calls / 2 {
            chat_direct.push(time(&caller, "POST", &engine, completions, Some(&chat)).await?);
            chat_through.push(time(&caller, "POST", entry, completions, Some(&chat)).await?);
        }
        if warm {
            continue;
        }
        for (name, values) in [
            (["service call, direct: p50", "service call, direct: p99"], &mut direct),
            (["service call, entry: p50", "service call, entry: p99"], &mut through),
            (["model call, direct: p50", "model call, direct: p99"], &mut chat_direct),
            (["model call, entry: p50", "model call, entry: p99"], &mut chat_through),
        ] {
            values.sort_by(f64::total_cmp);
            table.note(name[0], "ms", values[values.len() / 2]);
            table.note(name[1], "ms", values[values.len() * 99 / 100]);
        }
    }

    for _ in 0..REPETITIONS {
        let (before, start) = (processor(process)?, Instant::now());
        let tasks = (0..CONNECTIONS).map(|_| {
            let (entry, path) = (entry.clone(), path.clone());
            actix_rt::spawn(async move {
                let caller = HttpClient::with_key(TEAM_KEY);
                for _ in 0..BURST {
                    time(&caller, "GET", &entry, &path, None).await?;
                }
                anyhow::Ok(())
            })
        });
        for task in tasks.collect::<Vec<_>>() {
            task.await??;
        }
        let (used, span) = (processor(process)? - before, start.elapsed().as_secs_f64());
        let count = (CONNECTIONS * BURST) as f64;
        table.note("service calls per second of processor time", "1/s", count / used);
        table.note("service calls per second", "1/s", count / span);
        table.note("service calls: resident memory", "MB", resident(process)?);
    }

    for repetition in 0..REPETITIONS {
        let (before, start) = (processor(process)?, Instant::now());
        let tasks = (0..CONNECTIONS).map(|connection| {
            let entry = entry.clone();
            actix_rt::spawn(async move {
                let caller = HttpClient::with_key(TEAM_KEY);
                let mut tokens = 0;
                for number in 0..STREAMS {
                    let content = format!("Visit {repetition} {connection} {number}.");
                    let body = json!({
                        "model": "draft",
                        "stream": true,
                        "messages": [{ "role": "user", "content": content }],
                    });
                    let answer = caller.post(&entry, completions, &body).await?;
                    let chat = parse_chat_stream(&answer.text());
                    ensure!(chat.complete, "a stream was not whole: {}", answer.text());
                    tokens += chat.chunks;
                }
                Ok(tokens)
            })
        });
        let mut tokens = 0;
        for task in tasks.collect::<Vec<_>>() {
            tokens += task.await??;
        }
        let (used, span) = (processor(process)? - before, start.elapsed().as_secs_f64());
        table.note("tokens per second of processor time", "1/s", tokens as f64 / used);
        table.note("tokens per second", "1/s", tokens as f64 / span);
        table.note("streams: resident memory", "MB", resident(process)?);
    }

    let figures = table.print();
    std::fs::write("target/latency.json", format!("{figures:#}\n")).context("write the figures")?;
    Ok(())
}

/// Address of rank 0 of a serving group.
async fn first_member(fleet: &Fleet) -> anyhow::Result<String> {
    for engine in &fleet.engines {
        let status = HttpClient::default().get(&engine.address, "/status").await?.json()?;
        if status["state"] == "ready" && status["rank"] == 0 {
            return Ok(engine.address.clone());
        }
    }
    anyhow::bail!("no engine is rank 0 of a group")
}

/// Duration of one call in ms.
async fn time(
    caller: &HttpClient,
    method: &str,
    address: &str,
    path: &str,
    body: Option<&Value>,
) -> anyhow::Result<f64> {
    let start = Instant::now();
    let answer = caller.send(method, address, path, &[("x-request-id", "timed")], body).await?;
    ensure!(answer.status == 200, "{path}: {} {}", answer.status, answer.text());
    Ok(start.elapsed().as_secs_f64() * 1_000.0)
}

/// Processor time of a process so far, in seconds.
fn processor(process: u32) -> anyhow::Result<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).context("read stat")?;
    // The name in parentheses may contain spaces.
    let rest = stat.rsplit_once(')').map(|(_, rest)| rest).context("read the name")?;
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let ticks: f64 =
        [11, 12].iter().filter_map(|place| fields.get(*place)?.parse::<f64>().ok()).sum();
    Ok(ticks / TICKS)
}

/// Resident memory of a process in MB.
fn resident(process: u32) -> anyhow::Result<f64> {
    let status =
        std::fs::read_to_string(format!("/proc/{process}/status")).context("read status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).context("find VmRSS")?;
    let kilobytes: f64 = line.trim().trim_end_matches(" kB").parse().context("parse VmRSS")?;
    Ok(kilobytes / 1_000.0)
}
