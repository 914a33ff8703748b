//! One child process.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use anyhow::{Context, anyhow, bail};

/// Time for a process to say that it listens.
const START: Duration = Duration::from_secs(20);

/// A running child process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    /// Its name in messages.
    pub name: String,
    child: Child,
}

/// The program `name` beside the running executable, or above its `deps` folder in tests.
pub fn find_program(name: &str) -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe().context("find the own executable")?;
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join(name)).find(|path| path.is_file());
    found.ok_or_else(|| anyhow!("program {name} is not built; run `cargo build --workspace`"))
}

impl Process {
    /// Starts a program and returns it with the rest of the line of its standard output that
    /// starts with `listening `. Standard error goes to `log`.
    pub fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        log: &Path,
    ) -> anyhow::Result<(Process, String)> {
        let errors = std::fs::OpenOptions::new().create(true).append(true).open(log);
        let errors = errors.with_context(|| format!("open {}", log.display()))?;
        // The environment of the caller must not change the settings of the parts.
        let inherited = std::env::vars_os().map(|(key, _)| key);
        let mut command = Command::new(program);
        for key in inherited.filter(|key| key.to_string_lossy().starts_with("MARIGOLDWALL_")) {
            command.env_remove(key);
        }
        command.args(arguments).stdin(Stdio::null()).stdout(Stdio::piped()).stderr(errors);
        let mut child = command.spawn().with_context(|| format!("start {name}"))?;
        let output = child.stdout.take().context("take the standard output")?;
        let mut part = Process { name: name.to_owned(), child };
        let (sender, receiver) = mpsc::channel();
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Some(rest) = line.strip_prefix("listening ") {
                    // The receiver is gone once the start has timed out.
                    let _ = sender.send(rest.to_owned());
                }
            }
        });
        match receiver.recv_timeout(START) {
            Ok(line) => Ok((part, line)),
            Err(_) => {
                part.kill();
                bail!("{name} did not start; see {}", log.display())
            }
        }
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has not ended yet.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Sends a signal by name, such as `TERM`, `STOP` or `CONT`.
    pub fn signal(&self, signal: &str) -> anyhow::Result<()> {
        let id = self.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &id]).status();
        match status.context("run kill")?.success() {
            true => Ok(()),
            false => bail!("cannot send SIG{signal} to {}", self.name),
        }
    }

    /// Waits for the process to end by itself.
    pub fn wait(&mut self, bound: Duration) -> anyhow::Result<ExitStatus> {
        let start = Instant::now();
        loop {
            match self.child.try_wait().context("wait for a process")? {
                Some(status) => return Ok(status),
                None if start.elapsed() >= bound => bail!("{} does not end", self.name),
                None => std::thread::sleep(Duration::from_millis(20)),
            }
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
