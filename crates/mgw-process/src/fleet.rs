//! A whole deployment as child processes: stand-ins for the platform services, stand-ins for the
//! backend servers, and entries.

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

/// Bearer key that the entries accept on the operator interface.
pub const OPERATOR_KEY: &str = "operator-key-of-the-demo-0123456789";

/// Secret that the entries share for the peer interface.
const PEER_SECRET: &str = "peer-secret-of-the-demo-0123456789";

/// Bearer key of the team `dispatch`; the sheet holds its hash.
pub const TEAM_KEY: &str = "team-key-of-the-demo-0123456789abcdef";

/// Availability zones; instances are assigned to them round-robin.
const ZONES: [&str; 3] = ["za", "zb", "zc"];

/// Interval between checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Size and settings of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of entries.
    pub entries: usize,
    /// Number of model servers, assigned to the zones round-robin; each zone is one fabric domain.
    pub engines: usize,
    /// Number of model servers per serving group.
    pub group_size: usize,
    /// Desired number of replicas (serving groups) of the model `draft`.
    pub replicas: usize,
    /// Number of booking servers.
    pub booking_servers: usize,
    /// Time that a model server takes to load weights, in milliseconds.
    pub weight_load_ms: u64,
    /// Interval between the tokens that a model server generates, in microseconds.
    pub token_interval_us: u64,
    /// Whether the model servers check fencing tokens.
    pub fencing: bool,
    /// Minimum severity that the entries log.
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

/// A backend server: a model server or a booking server.
#[derive(Debug)]
pub struct Server {
    /// Instance name, such as `m1` or `b1`.
    pub name: String,
    /// Listen address, `host:port`.
    pub address: String,
    /// Availability zone.
    pub zone: &'static str,
    /// The child process; `None` once it has been killed.
    pub process: Option<Process>,
}

/// An entry machine.
#[derive(Debug)]
pub struct Entry {
    /// Instance name, such as `e1`.
    pub name: String,
    /// Availability zone.
    pub zone: &'static str,
    /// Listen address for callers, `host:port`.
    pub caller_address: String,
    /// Listen address for operators, `host:port`.
    pub operator_address: String,
    /// Listen address for the other entries, `host:port`.
    pub peer_address: String,
    /// The child process; `None` once it has been killed.
    pub process: Option<Process>,
}

/// A running deployment; its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Options with which the deployment was started.
    pub options: Options,
    /// Folder for log files and published sheets.
    pub folder: PathBuf,
    /// Address of the log service, `host:port`.
    pub log_address: String,
    /// Address of the weight store, `host:port`.
    pub weight_store_address: String,
    /// Address of the instance list, `host:port`.
    pub instance_list_address: String,
    /// Model servers, by number from 0.
    pub engines: Vec<Server>,
    /// Booking servers, by number from 0.
    pub booking_servers: Vec<Server>,
    /// Entries, by number from 0.
    pub entries: Vec<Entry>,
    /// Processes of the log service, the weight store and the instance list.
    platform_services: Vec<Process>,
    network: Network,
}

impl Fleet {
    /// Starts all processes and fills the instance list, but publishes no sheet. The standard error
    /// of each process goes to a file in `folder`.
    pub async fn start(folder: &Path, options: Options) -> anyhow::Result<Fleet> {
        std::fs::create_dir_all(folder).context("create the folder for log files")?;
        let mut fleet = Fleet {
            options,
            folder: folder.to_owned(),
            log_address: String::new(),
            weight_store_address: String::new(),
            instance_list_address: String::new(),
            engines: Vec::new(),
            booking_servers: Vec::new(),
            entries: Vec::new(),
            platform_services: Vec::new(),
            network: Network::reserve()?,
        };
        fleet.log_address = fleet.start_platform_service("log", &[])?;
        fleet.weight_store_address =
            fleet.start_platform_service("weights", &["--limit", "4", "--rate", "1e9"])?;
        fleet.instance_list_address = fleet.start_platform_service("list", &[])?;
        for number in 0..options.engines {
            let engine = fleet.start_engine(number)?;
            fleet.engines.push(engine);
        }
        for number in 0..options.booking_servers {
            let server = fleet.start_booking_server(number)?;
            fleet.booking_servers.push(server);
        }
        fleet.register_instances().await?;
        for number in 0..options.entries {
            let entry = fleet.start_entry(number)?;
            fleet.entries.push(entry);
        }
        Ok(fleet)
    }

    /// Starts the stand-in program with its log file at `{name}.log`.
    fn start_standin(&self, name: &str, arguments: &[String]) -> anyhow::Result<(Process, String)> {
        let log = self.folder.join(format!("{name}.log"));
        Process::start(name, &find_program("marigoldwall-standin")?, arguments, &log)
    }

    /// Starts the stand-in of a platform service and returns its address.
    fn start_platform_service(&mut self, kind: &str, options: &[&str]) -> anyhow::Result<String> {
        let arguments: Vec<String> =
            std::iter::once(kind).chain(options.iter().copied()).map(str::to_owned).collect();
        let (process, address) = self.start_standin(kind, &arguments)?;
        self.platform_services.push(process);
        Ok(address)
    }

    /// Starts model server `number`; its address depends on the number only.
    fn start_engine(&self, number: usize) -> anyhow::Result<Server> {
        let name = format!("m{}", number + 1);
        let address = self.network.address(FIRST_ENGINE_HOST + number, 7001);
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
        let (process, address) = self.start_standin(&name, &arguments)?;
        Ok(Server { name, address, zone: ZONES[number % ZONES.len()], process: Some(process) })
    }

    /// Starts booking server `number`.
    fn start_booking_server(&self, number: usize) -> anyhow::Result<Server> {
        let name = format!("b{}", number + 1);
        let address = self.network.address(FIRST_BOOKING_SERVER_HOST + number, 7001);
        let arguments = ["service", "--address", &address, "--instance", &name].map(str::to_owned);
        let (process, address) = self.start_standin(&name, &arguments)?;
        Ok(Server { name, address, zone: ZONES[number % ZONES.len()], process: Some(process) })
    }

    /// Starts entry `number`, with the peer addresses of all entries in `self.entries` as seeds.
    fn start_entry(&self, number: usize) -> anyhow::Result<Entry> {
        let (name, zone) = (format!("e{}", number + 1), ZONES[number % ZONES.len()]);
        let [caller_address, operator_address, peer_address] =
            [7001, 7002, 7003].map(|port| self.network.address(FIRST_ENTRY_HOST + number, port));
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

    /// Kills the process of entry `number` with SIGKILL.
    pub fn kill_entry(&mut self, number: usize) {
        self.entries[number].process = None;
    }

    /// Starts entry `number` again at the same addresses after it was killed.
    pub fn restart_entry(&mut self, number: usize) -> anyhow::Result<()> {
        self.entries[number] = self.start_entry(number)?;
        Ok(())
    }

    /// Kills the process of model server `number` with SIGKILL.
    pub fn kill_engine(&mut self, number: usize) {
        self.engines[number].process = None;
    }

    /// Starts model server `number` again at the same address after it was killed.
    pub fn restart_engine(&mut self, number: usize) -> anyhow::Result<()> {
        self.engines[number] = self.start_engine(number)?;
        Ok(())
    }

    /// Adds all instances to the instance list. Entries are listed with addresses that they do not
    /// listen on.
    async fn register_instances(&self) -> anyhow::Result<()> {
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

    /// Posts a change to the instance list.
    pub async fn post_instance_list(&self, body: &Value) -> anyhow::Result<()> {
        let client = HttpClient::default();
        let response = client.post(&self.instance_list_address, "/instances", body).await?;
        anyhow::ensure!(
            response.status < 300,
            "the instance list rejected the change with status {}: {}",
            response.status,
            response.text()
        );
        Ok(())
    }

    /// Returns the number of the entry that entry `asked` reports as the planner; `None` if it reports
    /// none.
    pub async fn planner(&self, asked: usize) -> anyhow::Result<Option<usize>> {
        let client = HttpClient::with_key(OPERATOR_KEY);
        let response =
            client.get(&self.entries[asked].operator_address, "/operator/v1/entries").await?;
        let response = response.json()?;
        let entries = response["entries"].as_array().map_or(&[][..], Vec::as_slice);
        let planner = entries.iter().find(|entry| entry["planner"] == true);
        let name = planner.and_then(|entry| entry["entry"].as_str());
        Ok(self.entries.iter().position(|entry| Some(entry.name.as_str()) == name))
    }

    /// Waits up to `timeout` until `/readyz` of entry `number` answers 200.
    pub async fn wait_until_ready(&self, number: usize, timeout: Duration) -> anyhow::Result<()> {
        let client = HttpClient::default();
        let start = Instant::now();
        while start.elapsed() < timeout {
            let response = client.get(&self.entries[number].caller_address, "/readyz").await;
            if response.is_ok_and(|response| response.status == 200) {
                return Ok(());
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
        bail!("{} is not ready after {timeout:?}", self.entries[number].name)
    }

    /// Returns how often each booking key was run, summed over all booking servers that run.
    pub async fn booking_counts(&self) -> anyhow::Result<Vec<(String, u64)>> {
        let mut counts: Vec<(String, u64)> = Vec::new();
        for server in self.booking_servers.iter().filter(|server| server.process.is_some()) {
            let response = HttpClient::default().get(&server.address, "/counts").await?.json()?;
            for (key, count) in response.as_object().into_iter().flatten() {
                let count = count.as_u64().unwrap_or_default();
                match counts.iter_mut().find(|(known, _)| known == key) {
                    Some((_, sum)) => *sum += count,
                    None => counts.push((key.clone(), count)),
                }
            }
        }
        Ok(counts)
    }

    /// Sets or clears a fault at the stand-in with this address.
    pub async fn set_fault(&self, address: &str, body: &Value) -> anyhow::Result<()> {
        let response = HttpClient::default().post(address, "/fault", body).await?;
        anyhow::ensure!(
            response.status < 300,
            "the stand-in at {address} rejected the fault with status {}: {}",
            response.status,
            response.text()
        );
        Ok(())
    }

    /// Returns the configuration sheet of the deployment as CSV.
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
        for server in &self.booking_servers {
            rows.push(row(&[
                ("kind", "server"),
                ("name", &server.name),
                ("service", "bookings"),
                ("zone", server.zone),
                ("address", &server.address),
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

    /// Runs the command-line tool with the operator addresses of all running entries.
    pub fn run_tool(&self, arguments: &[&str]) -> anyhow::Result<Output> {
        let entries = self.entries.iter().filter(|entry| entry.process.is_some());
        let addresses: Vec<&str> = entries.map(|entry| entry.operator_address.as_str()).collect();
        self.run_tool_at(&addresses.join(","), arguments)
    }

    /// Runs the command-line tool with these operator addresses, separated by commas.
    pub fn run_tool_at(&self, addresses: &str, arguments: &[&str]) -> anyhow::Result<Output> {
        let mut command = Command::new(find_program("marigoldwall")?);
        command.args(["--entry", addresses]);
        command.args(["--operator-key", OPERATOR_KEY]).args(arguments);
        command.output().context("run the command-line tool")
    }

    /// Publishes the sheet of the deployment with the command-line tool and returns its standard
    /// output.
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

    /// Waits up to `timeout` until every running entry reports at least `groups` servable groups.
    pub async fn wait_for_groups(&self, groups: usize, timeout: Duration) -> anyhow::Result<()> {
        let client = HttpClient::with_key(OPERATOR_KEY);
        let start = Instant::now();
        loop {
            let mut fewest = usize::MAX;
            for entry in self.entries.iter().filter(|entry| entry.process.is_some()) {
                let serving = client.get(&entry.operator_address, "/operator/v1/groups").await.ok();
                let serving =
                    serving.and_then(|response| response.json().ok()).map_or(0, |response| {
                        let groups = response["groups"].as_array().map_or(&[][..], Vec::as_slice);
                        groups.iter().filter(|group| group["servable"] == true).count()
                    });
                fewest = fewest.min(serving);
            }
            if fewest >= groups && fewest != usize::MAX {
                return Ok(());
            }
            if start.elapsed() >= timeout {
                bail!(
                    "an entry reports {fewest} servable groups after {timeout:?}, expected {groups}"
                );
            }
            actix_rt::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// Host number of the first entry within the network of a fleet.
const FIRST_ENTRY_HOST: usize = 1;

/// Host number of the first model server.
const FIRST_ENGINE_HOST: usize = 32;

/// Host number of the first booking server.
const FIRST_BOOKING_SERVER_HOST: usize = 200;

/// A loopback network of 254 hosts reserved for one fleet, so that a process can be restarted at
/// the same address while other fleets run on the machine.
#[derive(Debug)]
struct Network {
    /// First three octets of the addresses.
    prefix: String,
    /// Listener on port 7000 of host 254. It reserves the network, since another fleet cannot bind the
    /// same address.
    _reservation: TcpListener,
}

impl Network {
    /// Reserves the first free network.
    fn reserve() -> anyhow::Result<Self> {
        // The search starts at a network derived from the process id, so that concurrent fleets
        // rarely try the same one. Only the bind decides whether a network is free.
        let start = std::process::id() as usize * 16;
        for number in (0..NETWORK_COUNT).map(|step| (start + step) % NETWORK_COUNT) {
            let prefix = format!("127.{}.{}", 64 + number / 256, number % 256);
            if let Ok(reservation) = TcpListener::bind(format!("{prefix}.254:7000")) {
                return Ok(Self { prefix, _reservation: reservation });
            }
        }
        bail!("all {NETWORK_COUNT} loopback networks are in use")
    }

    /// Returns the address `prefix.host:port`.
    fn address(&self, host: usize, port: u16) -> String {
        format!("{}.{host}:{port}", self.prefix)
    }
}

/// Number of loopback networks that fleets can use: 127.64.0.0/24 to 127.191.255.0/24.
const NETWORK_COUNT: usize = 128 * 256;

/// Formats a CSV row of the sheet; columns that `values` does not name stay empty.
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
