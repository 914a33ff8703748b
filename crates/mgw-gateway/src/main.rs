//! Command line of the gateway daemon.

use std::path::PathBuf;
use std::process::ExitCode;

use anyhow::Context as _;
use platform::settings::{PATH_VARIABLE, Settings};

mod flags {
    #![allow(missing_docs)]

    use std::path::PathBuf;

    xflags::xflags! {
        /// Gateway of marigoldwall for deployments whose platform supplies the store.
        ///
        /// The variable MARIGOLDWALL_SETTINGS holds the path of the settings, a JSON file that the
        /// platform renders from deploy/settings.json.
        ///
        /// Exit codes: 0 stopped after a signal; 2 wrong usage or settings; 1 any other failure.
        cmd marigoldwall-gateway {
            /// Path of the settings, in place of the variable
            optional --settings path: PathBuf
            /// Check the settings and exit
            optional --check
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::MarigoldwallGateway::from_env_or_exit();
    let (path, settings) = match read_settings(&flags) {
        Ok(read) => read,
        Err(error) => {
            eprintln!("marigoldwall-gateway: {error:#}");
            return ExitCode::from(2);
        }
    };
    if flags.check {
        return ExitCode::SUCCESS;
    }
    match actix_rt::System::new().block_on(mgw_gateway::run::run_from(settings, Some(path))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("marigoldwall-gateway: {error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the settings from the file of `--settings`, or else of MARIGOLDWALL_SETTINGS. Returns them
/// with the path of the file.
fn read_settings(flags: &flags::MarigoldwallGateway) -> anyhow::Result<(PathBuf, Settings)> {
    let path: PathBuf = match (&flags.settings, std::env::var_os(PATH_VARIABLE)) {
        (Some(path), _) => path.clone(),
        (None, Some(path)) => path.into(),
        (None, None) => anyhow::bail!("{PATH_VARIABLE} is not set"),
    };
    let text = std::fs::read_to_string(&path)
        .with_context(|| format!("read settings from {}", path.display()))?;
    let settings = Settings::parse(&text)?;
    Ok((path, settings))
}
