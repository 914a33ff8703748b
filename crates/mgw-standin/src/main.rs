//! Runs one stand-in for a platform service on a loopback address.
//!
//! Prints `listening ADDRESS` to the standard output when it accepts connections, and runs until it
//! crashes.

use std::io::Write;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use mgw_report::report::{Instance, List};
use mgw_standin::server::{Bind, Handle};
use mgw_standin::{engine, list, log, service, weights};
use smol_str::SmolStr;

mod flags {
    #![allow(missing_docs)]
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// Stand-ins for the platform's services and the backend servers.
        cmd marigoldwall-standin {
            /// The log service.
            cmd log {
                /// Loopback address to listen on; port 0 picks a free port.
                optional --address address: SocketAddr
                /// Maximum number of records retained per stream.
                optional --records records: usize
                /// Maximum number of bytes retained per stream.
                optional --bytes bytes: usize
                /// Maximum number of appends per second; 0 for no limit.
                optional --rate rate: f64
                /// Duration of an append, in ms.
                optional --latency-ms latency_ms: u64
            }
            /// The weight store.
            cmd weights {
                /// Loopback address to listen on; port 0 picks a free port.
                optional --address address: SocketAddr
                /// Maximum number of concurrent loads.
                optional --limit limit: u32
                /// Transfer rate of each load, in bytes per second.
                optional --rate rate: f64
            }
            /// The instance list.
            cmd list {
                /// Loopback address to listen on; port 0 picks a free port.
                optional --address address: SocketAddr
                /// Delay until a change becomes visible in the list, in ms.
                optional --lag-ms lag_ms: u64
                /// JSON file with the initial list, in the form of the list's response.
                optional --file file: PathBuf
                /// An instance as JSON, in the form of an entry of the list.
                repeated --instance instance: String
            }
            /// A model engine.
            cmd engine {
                /// Loopback address to listen on; port 0 picks a free port.
                optional --address address: SocketAddr
                /// Name of the instance.
                optional --instance instance: String
                /// Boot id; generated if absent.
                optional --boot boot: String
                /// Ignore fencing tokens.
                optional --no-fencing
                /// Address of the weight store.
                optional --weights weights: String
                /// Size of the weights, in bytes.
                optional --weight-bytes weight_bytes: u64
                /// Duration of a load without a weight store, in ms.
                optional --load-ms load_ms: u64
                /// Maximum number of concurrently running requests.
                optional --slots slots: u32
                /// Prefill time per uncached block of the prompt, in microseconds.
                optional --prefill-us prefill_us: u64
                /// Interval between tokens, in microseconds.
                optional --token-us token_us: u64
                /// Capacity of the prefix cache, in blocks.
                optional --cache-blocks cache_blocks: usize
                /// Delay of cache events, in ms.
                optional --cache-lag-ms cache_lag_ms: u64
                /// Loses every n-th cache event; 0 for no losses.
                optional --cache-loss cache_loss: u64
                /// Maximum age of reported load figures, in ms.
                optional --report-lag-ms report_lag_ms: u64
                /// Interval of rank 0's checks of the other members, in ms.
                optional --check-ms check_ms: u64
            }
            /// A plain service's server.
            cmd service {
                /// Loopback address to listen on; port 0 picks a free port.
                optional --address address: SocketAddr
                /// Name of the instance.
                optional --instance instance: String
                /// Boot id; generated if absent.
                optional --boot boot: String
                /// Duration of a call, in ms.
                optional --work-ms work_ms: u64
            }
        }
    }
}

use flags::MarigoldwallStandinCmd as Command;

fn main() -> anyhow::Result<()> {
    fern::Dispatch::new()
        .format(|out, message, record| out.finish(format_args!("{} {message}", record.level())))
        .level(::log::LevelFilter::Info)
        .chain(std::io::stderr())
        .apply()?;
    let handle = start(flags::MarigoldwallStandin::from_env_or_exit().subcommand)?;
    let mut stdout = std::io::stdout();
    writeln!(stdout, "listening {}", handle.address)?;
    stdout.flush()?;
    handle.wait();
    Ok(())
}

fn start(command: Command) -> anyhow::Result<Handle> {
    let handle = match command {
        Command::Log(flags) => {
            let defaults = log::Options::default();
            log::start(log::Options {
                bind: loopback_bind(flags.address)?,
                max_records: flags.records.unwrap_or(defaults.max_records),
                max_bytes: flags.bytes.unwrap_or(defaults.max_bytes),
                appends_per_second: flags.rate.unwrap_or(defaults.appends_per_second),
                append_latency: duration_or(flags.latency_ms, defaults.append_latency),
            })
        }
        Command::Weights(flags) => {
            let defaults = weights::Options::default();
            weights::start(weights::Options {
                bind: loopback_bind(flags.address)?,
                max_loads: flags.limit.unwrap_or(defaults.max_loads),
                bytes_per_second: flags.rate.unwrap_or(defaults.bytes_per_second),
            })
        }
        Command::List(flags) => {
            let defaults = list::Options::default();
            list::start(list::Options {
                bind: loopback_bind(flags.address)?,
                lag: duration_or(flags.lag_ms, defaults.lag),
                instances: load_instances(flags.file, &flags.instance)?,
            })
        }
        Command::Engine(flags) => {
            let defaults = engine::Options::default();
            engine::start(engine::Options {
                bind: loopback_bind(flags.address)?,
                instance: flags.instance.map_or(defaults.instance, SmolStr::from),
                boot_id: flags.boot.map_or(defaults.boot_id, SmolStr::from),
                fencing: !flags.no_fencing,
                weight_store: flags.weights.map(SmolStr::from),
                weight_bytes: flags.weight_bytes.unwrap_or(defaults.weight_bytes),
                load_time: duration_or(flags.load_ms, defaults.load_time),
                slots: flags.slots.unwrap_or(defaults.slots),
                block_prefill_time: flags
                    .prefill_us
                    .map_or(defaults.block_prefill_time, Duration::from_micros),
                token_interval: flags
                    .token_us
                    .map_or(defaults.token_interval, Duration::from_micros),
                cache_blocks: flags.cache_blocks.unwrap_or(defaults.cache_blocks),
                cache_event_delay: duration_or(flags.cache_lag_ms, defaults.cache_event_delay),
                cache_event_loss_period: flags
                    .cache_loss
                    .unwrap_or(defaults.cache_event_loss_period),
                load_report_max_age: duration_or(flags.report_lag_ms, defaults.load_report_max_age),
                member_check_interval: duration_or(flags.check_ms, defaults.member_check_interval),
            })
        }
        Command::Service(flags) => {
            let defaults = service::Options::default();
            service::start(service::Options {
                bind: loopback_bind(flags.address)?,
                instance: flags.instance.map_or(defaults.instance, SmolStr::from),
                boot_id: flags.boot.map_or(defaults.boot_id, SmolStr::from),
                work_time: duration_or(flags.work_ms, defaults.work_time),
            })
        }
    };
    handle.context("cannot start the stand-in")
}

/// Returns the listen configuration; rejects addresses that other machines could reach.
fn loopback_bind(address: Option<SocketAddr>) -> anyhow::Result<Bind> {
    let address = address.unwrap_or(Bind::default().address);
    anyhow::ensure!(address.ip().is_loopback(), "{address} is not a loopback address");
    Ok(Bind { address, exit_on_crash: true })
}

/// Converts a flag in milliseconds to a duration; returns `default` if the flag is absent.
fn duration_or(flag_ms: Option<u64>, default: Duration) -> Duration {
    flag_ms.map_or(default, Duration::from_millis)
}

/// Returns the instances from the list in `file`, followed by those given as JSON in `flags`.
fn load_instances(file: Option<PathBuf>, flags: &[String]) -> anyhow::Result<Vec<Instance>> {
    let mut instances = match file {
        Some(path) => {
            let text = std::fs::read(&path)
                .with_context(|| format!("cannot read the instance file {}", path.display()))?;
            let list: List = serde_json::from_slice(&text)
                .with_context(|| format!("cannot parse the instance file {}", path.display()))?;
            list.instances
        }
        None => Vec::new(),
    };
    for text in flags {
        let instance: Instance = serde_json::from_str(text)
            .with_context(|| format!("cannot parse the instance {text}"))?;
        instances.push(instance);
    }
    Ok(instances)
}
