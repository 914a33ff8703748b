//! Command line of the entry daemon: reads the settings, sets up logging and runs the daemon.

use std::io::Write as _;
use std::process::ExitCode;

use mgw_daemon::config::{self, Config};
use mgw_daemon::run;

mod flags {
    #![allow(missing_docs)]

    xflags::xflags! {
        /// Entry daemon of marigoldwall.
        ///
        /// Every switch also is a variable of the environment, such as MARIGOLDWALL_NAME for
        /// --name; a switch takes precedence. A variable that starts with MARIGOLDWALL_ and is not
        /// known is an error.
        ///
        /// Exit codes: 0 stopped after a signal; 2 wrong usage or settings; 1 any other failure.
        cmd marigoldwalld {
            /// Name of the entry instance, as in the instance list
            optional --name name: String
            /// Availability zone; the part before a slash, if any, is the region
            optional --zone zone: String
            /// Address for callers
            optional --callers address: String
            /// Address for operators
            optional --operators address: String
            /// Address for other entries
            optional --peers address: String
            /// Peers addresses of entries to begin gossip with, with commas between them
            optional --seeds addresses: String
            /// Address of the log service
            optional --log address: String
            /// Stream of the log service, control by default
            optional --stream name: String
            /// Address of the instance list
            optional --list address: String
            /// Address of the weight store
            optional --weights address: String
            /// Bearer keys of the operators interface, with commas between them
            optional --operator-keys keys: String
            /// Shared secrets of the entries, with commas between them; the first is sent
            optional --peer-secrets secrets: String
            /// plain or json, plain by default
            optional --log-form form: String
            /// error, warn, info or debug, info by default
            optional --log-level level: String
            /// Receiver of metrics (StatsD over UDP)
            optional --statsd address: String
            /// Largest body of a caller's request in bytes, 4194304 by default
            optional --body-limit bytes: String
            /// Deadline of requests without x-deadline-ms in ms, 60000 by default
            optional --deadline-ms ms: String
            /// Longest time that a shutdown waits for requests in ms, 900000 by default
            optional --shutdown-ms ms: String
            /// Check the settings and exit
            optional --check
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Marigoldwalld::from_env_or_exit();
    let check = flags.check;
    let config = match config::read(flag_values(flags), std::env::vars_os()) {
        Ok(config) => config,
        Err(faults) => {
            let mut err = std::io::stderr().lock();
            for fault in faults {
                let _ = writeln!(err, "marigoldwalld: {fault}");
            }
            return ExitCode::from(2);
        }
    };
    if check {
        return ExitCode::SUCCESS;
    }
    let result =
        init_logging(&config).and_then(|()| actix_rt::System::new().block_on(run::run(config)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// The flags that were given, under the names of their settings.
fn flag_values(flags: flags::Marigoldwalld) -> Vec<(&'static str, String)> {
    [
        ("name", flags.name),
        ("zone", flags.zone),
        ("callers", flags.callers),
        ("operators", flags.operators),
        ("peers", flags.peers),
        ("seeds", flags.seeds),
        ("log", flags.log),
        ("stream", flags.stream),
        ("list", flags.list),
        ("weights", flags.weights),
        ("operator-keys", flags.operator_keys),
        ("peer-secrets", flags.peer_secrets),
        ("log-form", flags.log_form),
        ("log-level", flags.log_level),
        ("statsd", flags.statsd),
        ("body-limit", flags.body_limit),
        ("deadline-ms", flags.deadline_ms),
        ("shutdown-ms", flags.shutdown_ms),
    ]
    .into_iter()
    .filter_map(|(name, value)| Some((name, value?)))
    .collect()
}

/// Sets up logging to standard error. Events and records of the target `mgw` are logged at the
/// configured level and above, records of all other targets but `actix_http` at `warn` and
/// above.
fn init_logging(config: &Config) -> anyhow::Result<()> {
    let level = match config.log_level.as_str() {
        "error" => log::LevelFilter::Error,
        "warn" => log::LevelFilter::Warn,
        "debug" => log::LevelFilter::Debug,
        _ => log::LevelFilter::Info,
    };
    let name = config.name.clone();
    let json = config.log_form == "json";
    fern::Dispatch::new()
        .format(move |out, message, record| {
            let (at, severity) = (mgw_daemon::shared::wall_ms(), record.level());
            match json {
                true => out.finish(format_args!(
                    "{}",
                    serde_json::json!({
                        "wall_ms": at,
                        "at": name,
                        "severity": severity.as_str(),
                        "message": message.to_string(),
                    })
                )),
                false => out.finish(format_args!(
                    "{} {name} {severity} {message}",
                    mgw_event::event::Utc(at)
                )),
            }
        })
        .level(log::LevelFilter::Warn)
        // actix_http logs an error for each malformed request, so callers could fill the disk.
        .level_for("actix_http", log::LevelFilter::Off)
        .level_for("mgw", level)
        .level_for(mgw_event::event::TARGET, level)
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}
