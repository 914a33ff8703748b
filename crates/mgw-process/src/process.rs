//! Child processes: start, signal, wait and kill.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use anyhow::{Context, anyhow, bail};

/// Limit on the time from the start of a process to its `listening` line.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between checks whether a process has exited.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running child process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Name of the process in error messages.
    pub name: String,
    child: Child,
}

/// Returns the path of the program `name`. It is looked up in the folder of the running executable
/// and then in the parent folder, since Cargo puts test executables into `deps`.
pub fn find_program(name: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe().context("find the path of the running executable")?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(name)).find(|path| path.is_file());
    found.ok_or_else(|| anyhow!("program {name} is not built; run `cargo build --workspace`"))
}

impl Process {
    /// Starts a program and waits until it prints a line that starts with `listening `. Returns the
    /// process and the rest of that line. Standard error is appended to the file `log`.
    ///
    /// A program that prints no such line within `START_TIMEOUT` is killed, and an error returned.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        log: &Path,
    ) -> anyhow::Result<(Process, String)> {
        let stderr = std::fs::OpenOptions::new().create(true).append(true).open(log);
        let stderr = stderr.with_context(|| format!("open {}", log.display()))?;
        // Variables with this prefix are settings of the programs; those of the calling
        // environment must not reach the child process.
        let inherited = std::env::vars_os().map(|(key, _)| key);
        let mut command = Command::new(program);
        for key in inherited.filter(|key| key.to_string_lossy().starts_with("MARIGOLDWALL_")) {
            command.env_remove(key);
        }
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(stderr);
        let mut child = command.spawn().with_context(|| format!("start {name}"))?;
        let stdout = child.stdout.take().context("take the standard output")?;
        let mut process = Process { name: name.to_owned(), child };
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stdout).lines().map_while(Result::ok) {
                if let Some(rest) = line.strip_prefix("listening ") {
                    // The receiver is dropped when `start` returns, so sending fails for a later line.
                    let _ = sender.send(rest.to_owned());
                }
            }
        });
        match receiver.recv_timeout(START_TIMEOUT) {
            Ok(line) => Ok((process, line)),
            Err(_) => {
                process.kill();
                bail!(
                    "{name} printed no `listening` line within {START_TIMEOUT:?}; see {}",
                    log.display()
                )
            }
        }
    }

    /// Process id assigned by the operating system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns whether the process has not exited yet.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal, named without its `SIG` prefix, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) -> anyhow::Result<()> {
        let id = self.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &id]).status();
        match status.context("run `kill`")?.success() {
            true => Ok(()),
            false => bail!("`kill` failed to send SIG{signal} to {}", self.name),
        }
    }

    /// Waits up to `timeout` for the process to exit by itself.
    pub fn wait(&mut self, timeout: Duration) -> anyhow::Result<ExitStatus> {
        let start = Instant::now();
        loop {
            match self.child.try_wait().context("poll the exit status of a process")? {
                Some(status) => return Ok(status),
                None if start.elapsed() >= timeout => {
                    bail!("{} has not exited after {timeout:?}", self.name)
                }
                None => std::thread::sleep(EXIT_POLL_INTERVAL),
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
