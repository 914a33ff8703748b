//! A whole deployment of processes: platform stand-ins, backend servers and entries.

use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use mgw_report::report::{Instance, Kind, Status};
use serde_json::{Value, json};
use smol_str::format_smolstr;

use crate::client::HttpClient;
use crate::process::{Process, find_program};

/// Bearer key of the operators.
pub const OPERATOR_KEY: &str = "operator-key-of-the-demo-0123456789";

/// Shared secret of the entries.
const PEER_SECRET: &str = "peer-secret-of-the-demo-0123456789";

/// Bearer key of the team `dispatch`.
pub const TEAM_KEY: &str = "team-key-of-the-demo-0123456789abcdef";

/// Availability zones.
const ZONES: [&str; 3] = ["za", "zb", "zc"];

/// The size of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Entries.
    pub entries: usize,
    /// Model servers, over the zones in turn; each zone is one fabric domain.
    pub engines: usize,
    /// Model servers per group.
    pub group_size: usize,
    /// Replicas wanted.
    pub replicas: usize,
    /// Booking servers.
    pub booking_servers: usize,
    /// Time of a load of weights in ms.
    pub weight_load_ms: u64,
    /// Time between tokens in microseconds.
    pub token_interval_us: u64,
    /// Whether the engines check fencing tokens.
    pub fencing: bool,
    /// Least severity that the entries log.
    pub log_level: &'static str,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            entries: 3,
            engines: 6,
            group_size: 2,
            replicas: 2,
            booking_servers: 2,
            weight_load_ms: 500,
            token_interval_us: 5_000,
            fencing: true,
            log_level: "debug",
        }
    }
}

/// A backend server.
#[derive(Debug)]
pub struct Server {
    /// Its name.
    pub name: String,
    /// Its address.
    pub address: String,
    /// Its zone.
    pub zone: &'static str,
    /// The process; `None` after it was killed.
    pub process: Option<Process>,
}

/// An entry.
#[derive(Debug)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: &'static str,
    /// Address for callers.
    pub caller_address: String,
    /// Address for operators.
    pub operator_address: String,
    /// Address for peers.
    pub peer_address: String,
    /// The process; `None` after it was killed.
    pub process: Option<Process>,
}

/// A running deployment; all its processes end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The size.
    pub options: Options,
    /// Folder for logs and sheets.
    pub folder: PathBuf,
    /// Address of the log service.
    pub log_address: String,
    /// Address of the weight store.
    pub weight_store_address: String,
    /// Address of the instance list.
    pub instance_list_address: String,
    /// Model servers.
    pub engines: Vec<Server>,
    /// Booking servers.
    pub booking_servers: Vec<Server>,
    /// Entries.
    pub entries: Vec<Entry>,
    platform: Vec<Process>,
    network: Network,
}

impl Fleet {
    /// Starts all processes; nothing is published yet. Logs go to `folder`.
    pub async fn start(folder: &Path, options: Options) -> anyhow::Result<Fleet> {
        std::fs::create_dir_all(folder).context("make the folder of the logs")?;
        let mut fleet = Fleet {
            options,
            folder: folder.to_owned(),
            log_address: String::new(),
            weight_store_address: String::new(),
            instance_list_address: String::new(),
            engines: Vec::new(),
            booking_servers: Vec::new(),
            entries: Vec::new(),
            platform: Vec::new(),
            network: Network::reserve()?,
        };
        fleet.log_address = fleet.platform("log", &[])?;
        fleet.weight_store_address =
            fleet.platform("weights", &["--limit", "4", "--rate", "1e9"])?;
        fleet.instance_list_address = fleet.platform("list", &[])?;
        for number in 0..options.engines {
            let engine = fleet.engine(number)?;
            fleet.engines.push(engine);
        }
        for number in 0..options.booking_servers {
            let service = fleet.service(number)?;
            fleet.booking_servers.push(service);
        }
        fleet.list_all().await?;
        for number in 0..options.entries {
            let entry = fleet.entry(number)?;
            fleet.entries.push(entry);
        }
        Ok(fleet)
    }

    fn standin(&self, name: &str, arguments: &[String]) -> anyhow::Result<(Process, String)> {
        let log = self.folder.join(format!("{name}.log"));
        Process::start(name, &find_program("marigoldwall-standin")?, arguments, &log)
    }

    fn platform(&mut self, kind: &str, rest: &[&str]) -> anyhow::Result<String> {
        let arguments: Vec<String> =
            std::iter::once(kind).chain(rest.iter().copied()).map(str::to_owned).collect();
        let (process, address) = self.standin(kind, &arguments)?;
        self.platform.push(process);
        Ok(address)
    }

    fn engine(&self, number: usize) -> anyhow::Result<Server> {
        let name = format!("m{}", number + 1);
        let address = self.network.address(ENGINE_HOSTS + number, 7001);
        let mut arguments: Vec<String> = [
            "engine",
            "--address",
            &address,
            "--instance",
            &name,
            "--load-ms",
            &self.options.weight_load_ms.to_string(),
            "--token-us",
            &self.options.token_interval_us.to_string(),
        ]
        .map(str::to_owned)
        .to_vec();
        if !self.options.fencing {
            arguments.push("--no-fencing".to_owned());
        }
        let (process, address) = self.standin(&name, &arguments)?;
        Ok(Server { name, address, zone: ZONES[number % ZONES.len()], process: Some(process) })
    }

    fn service(&self, number: usize) -> anyhow::Result<Server> {
        let name = format!("b{}", number + 1);
        let address = self.network.address(SERVICE_HOSTS + number, 7001);
        let arguments = ["service", "--address", &address, "--instance", &name].map(str::to_owned);
        let (process, address) = self.standin(&name, &arguments)?;
        Ok(Server { name, address, zone: ZONES[number % ZONES.len()], process: Some(process) })
    }

    fn entry(&self, number: usize) -> anyhow::Result<Entry> {
        let (name, zone) = (format!("e{}", number + 1), ZONES[number % ZONES.len()]);
        let [caller_address, operator_address, peer_address] =
            [7001, 7002, 7003].map(|port| self.network.address(ENTRY_HOSTS + number, port));
        let seeds: Vec<&str> =
            self.entries.iter().map(|entry| entry.peer_address.as_str()).collect();
        let arguments = [
            "--name",
            &name,
            "--zone",
            zone,
            "--callers",
            &caller_address,
            "--operators",
            &operator_address,
            "--peers",
            &peer_address,
            "--seeds",
            &seeds.join(","),
            "--log",
            &self.log_address,
            "--list",
            &self.instance_list_address,
            "--weights",
            &self.weight_store_address,
            "--operator-keys",
            OPERATOR_KEY,
            "--peer-secrets",
            PEER_SECRET,
            "--log-level",
            self.options.log_level,
        ]
        .map(str::to_owned);
        let log = self.folder.join(format!("{name}.log"));
        let (process, _) =
            Process::start(&name, &find_program("marigoldwalld")?, &arguments, &log)?;
        Ok(Entry {
            name,
            zone,
            caller_address,
            operator_address,
            peer_address,
            process: Some(process),
        })
    }

    /// Kills an entry.
    pub fn kill_entry(&mut self, number: usize) {
        self.entries[number].process = None;
    }

    /// Starts a killed entry again at its old addresses.
    pub fn restart_entry(&mut self, number: usize) -> anyhow::Result<()> {
        self.entries[number] = self.entry(number)?;
        Ok(())
    }

    /// Kills a model server.
    pub fn kill_engine(&mut self, number: usize) {
        self.engines[number].process = None;
    }

    /// Starts a killed model server again at its old address.
    pub fn restart_engine(&mut self, number: usize) -> anyhow::Result<()> {
        self.engines[number] = self.engine(number)?;
        Ok(())
    }

    /// Puts all instances into the instance list.
    async fn list_all(&self) -> anyhow::Result<()> {
        let servers = self.engines.iter().chain(&self.booking_servers).map(|server| Instance {
            name: server.name.as_str().into(),
            kind: Kind::Server,
            address: server.address.as_str().into(),
            zone: server.zone.into(),
            domain: format_smolstr!("{}-d", server.zone),
            status: Status::Live,
            boot: "0".into(),
        });
        let entries = (0..self.options.entries).map(|number| Instance {
            name: format_smolstr!("e{}", number + 1),
            kind: Kind::Entry,
            address: format_smolstr!("127.0.0.1:{}", number + 1),
            zone: ZONES[number % ZONES.len()].into(),
            domain: "".into(),
            status: Status::Live,
            boot: "0".into(),
        });
        let all: Vec<Instance> = servers.chain(entries).collect();
        self.post_instance_list(&json!({ "instances": all })).await
    }

    /// Changes the instance list.
    pub async fn post_instance_list(&self, body: &Value) -> anyhow::Result<()> {
        let caller = HttpClient::default();
        let answer = caller.post(&self.instance_list_address, "/instances", body).await?;
        anyhow::ensure!(answer.status < 300, "the list answered {}", answer.text());
        Ok(())
    }

    /// Number of the entry that the other entries hold for the planner, by entry `asked`.
    pub async fn planner(&self, asked: usize) -> anyhow::Result<Option<usize>> {
        let caller = HttpClient::with_key(OPERATOR_KEY);
        let answer =
            caller.get(&self.entries[asked].operator_address, "/operator/v1/entries").await?;
        let answer = answer.json()?;
        let lines = answer["entries"].as_array().map_or(&[][..], Vec::as_slice);
        let planner = lines.iter().find(|line| line["planner"] == true);
        let name = planner.and_then(|line| line["entry"].as_str());
        Ok(self.entries.iter().position(|entry| Some(entry.name.as_str()) == name))
    }

    /// Waits until entry `number` reports that it serves.
    pub async fn wait_until_ready(&self, number: usize, bound: Duration) -> anyhow::Result<()> {
        let caller = HttpClient::default();
        let start = Instant::now();
        while start.elapsed() < bound {
            let answer = caller.get(&self.entries[number].caller_address, "/readyz").await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                return Ok(());
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
        bail!("{} does not serve after {bound:?}", self.entries[number].name)
    }

    /// The number of runs per booking key, over all booking servers.
    pub async fn booking_counts(&self) -> anyhow::Result<Vec<(String, u64)>> {
        let mut counts: Vec<(String, u64)> = Vec::new();
        for service in self.booking_servers.iter().filter(|service| service.process.is_some()) {
            let answer = HttpClient::default().get(&service.address, "/counts").await?.json()?;
            for (key, count) in answer.as_object().into_iter().flatten() {
                let count = count.as_u64().unwrap_or_default();
                match counts.iter_mut().find(|(known, _)| known == key) {
                    Some((_, sum)) => *sum += count,
                    None => counts.push((key.clone(), count)),
                }
            }
        }
        Ok(counts)
    }

    /// Switches a fault of a stand-in.
    pub async fn set_fault(&self, address: &str, body: &Value) -> anyhow::Result<()> {
        let answer = HttpClient::default().post(address, "/fault", body).await?;
        anyhow::ensure!(answer.status < 300, "the stand-in answered {}", answer.text());
        Ok(())
    }

    /// The sheet of the deployment.
    pub fn sheet(&self) -> String {
        let columns = "kind,name,zone,domain,accelerator,accelerators,address,fencing,model,version,\
                       instances,replicas,priority,rate,tokens,concurrency,key,service,method,path,\
                       repeatable,value";
        let mut rows = vec![
            columns.to_owned(),
            row(&[("kind", "setting"), ("name", "deployment"), ("value", "demo")]),
            row(&[("kind", "setting"), ("name", "downtime_weight"), ("value", "0.8")]),
            row(&[("kind", "setting"), ("name", "weight_loads"), ("value", "4")]),
        ];
        for engine in &self.engines {
            rows.push(row(&[
                ("kind", "instance"),
                ("name", &engine.name),
                ("zone", engine.zone),
                ("domain", &format!("{}-d", engine.zone)),
                ("accelerator", "h100"),
                ("accelerators", "8"),
                ("address", &engine.address),
                ("fencing", if self.options.fencing { "yes" } else { "no" }),
            ]));
        }
        rows.push(row(&[
            ("kind", "model"),
            ("name", "draft"),
            ("version", "1"),
            ("accelerator", "h100"),
            ("instances", &self.options.group_size.to_string()),
            ("replicas", &self.options.replicas.to_string()),
            ("priority", "0"),
        ]));
        rows.push(row(&[
            ("kind", "team"),
            ("name", "dispatch"),
            ("rate", "100000"),
            ("tokens", "100000000"),
            ("concurrency", "10000"),
            ("key", &mgw_sheet::key::hash(TEAM_KEY)),
        ]));
        rows.push(row(&[("kind", "service"), ("name", "bookings")]));
        for service in &self.booking_servers {
            rows.push(row(&[
                ("kind", "server"),
                ("name", &service.name),
                ("service", "bookings"),
                ("zone", service.zone),
                ("address", &service.address),
            ]));
        }
        for (method, path, repeatable) in [("POST", "/bookings", "no"), ("GET", "/stock", "yes")] {
            rows.push(row(&[
                ("kind", "call"),
                ("service", "bookings"),
                ("method", method),
                ("path", path),
                ("repeatable", repeatable),
            ]));
        }
        rows.join("\n") + "\n"
    }

    /// Runs the command-line tool against the entries that run.
    pub fn run_tool(&self, arguments: &[&str]) -> anyhow::Result<Output> {
        let entries = self.entries.iter().filter(|entry| entry.process.is_some());
        let addresses: Vec<&str> = entries.map(|entry| entry.operator_address.as_str()).collect();
        self.run_tool_at(&addresses.join(","), arguments)
    }

    /// Runs the command-line tool against the entries with these operators addresses, with commas
    /// between them.
    pub fn run_tool_at(&self, addresses: &str, arguments: &[&str]) -> anyhow::Result<Output> {
        let mut command = Command::new(find_program("marigoldwall")?);
        command.args(["--entry", addresses]);
        command.args(["--operator-key", OPERATOR_KEY]).args(arguments);
        command.output().context("run the tool")
    }

    /// Publishes the sheet of the deployment with the tool.
    pub fn publish(&self) -> anyhow::Result<String> {
        let file = self.folder.join("sheet.csv");
        std::fs::write(&file, self.sheet()).context("write the sheet")?;
        let output = self.run_tool(&["publish", &file.to_string_lossy()])?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if !output.status.success() {
            bail!("publish failed: {text}{}", String::from_utf8_lossy(&output.stderr));
        }
        Ok(text)
    }

    /// Waits until `groups` groups serve at every entry that runs.
    pub async fn wait_for_groups(&self, groups: usize, bound: Duration) -> anyhow::Result<()> {
        let caller = HttpClient::with_key(OPERATOR_KEY);
        let start = Instant::now();
        loop {
            let mut fewest = usize::MAX;
            for entry in self.entries.iter().filter(|entry| entry.process.is_some()) {
                let serving = caller.get(&entry.operator_address, "/operator/v1/groups").await.ok();
                let serving = serving.and_then(|answer| answer.json().ok()).map_or(0, |answer| {
                    let groups = answer["groups"].as_array().map_or(&[][..], Vec::as_slice);
                    groups.iter().filter(|group| group["servable"] == true).count()
                });
                fewest = fewest.min(serving);
            }
            if fewest >= groups && fewest != usize::MAX {
                return Ok(());
            }
            if start.elapsed() >= bound {
                bail!("only {fewest} of {groups} groups serve after {bound:?}");
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

/// First host of the entries within the network of a fleet.
const ENTRY_HOSTS: usize = 1;

/// First host of the model servers.
const ENGINE_HOSTS: usize = 32;

/// First host of the booking servers.
const SERVICE_HOSTS: usize = 200;

/// A loopback network of 254 hosts that belongs to one fleet, so that a part can be started again
/// at its old address while other fleets run.
#[derive(Debug)]
struct Network {
    prefix: String,
    /// Holds the reservation; a second fleet cannot bind the same address.
    _reservation: TcpListener,
}

impl Network {
    fn reserve() -> anyhow::Result<Self> {
        // The process id spreads the first choice; the bound address decides.
        let start = std::process::id() as usize * 16;
        for number in (0..NETWORKS).map(|step| (start + step) % NETWORKS) {
            let prefix = format!("127.{}.{}", 64 + number / 256, number % 256);
            if let Ok(reservation) = TcpListener::bind(format!("{prefix}.254:7000")) {
                return Ok(Self { prefix, _reservation: reservation });
            }
        }
        bail!("no loopback network is free")
    }

    fn address(&self, host: usize, port: u16) -> String {
        format!("{}.{host}:{port}", self.prefix)
    }
}

/// Loopback networks that fleets can use: 127.64.0 to 127.191.255.
const NETWORKS: usize = 128 * 256;

/// A row of a sheet.
fn row(values: &[(&str, &str)]) -> String {
    const COLUMNS: [&str; 22] = [
        "kind",
        "name",
        "zone",
        "domain",
        "accelerator",
        "accelerators",
        "address",
        "fencing",
        "model",
        "version",
        "instances",
        "replicas",
        "priority",
        "rate",
        "tokens",
        "concurrency",
        "key",
        "service",
        "method",
        "path",
        "repeatable",
        "value",
    ];
    let value = |column: &str| {
        values.iter().find(|(name, _)| *name == column).map_or("", |(_, value)| *value)
    };
    COLUMNS.map(value).join(",")
}
