//! The program under test, as a process of its own, with the command of the deploy file.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::os::unix::process::CommandExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;

/// The command of the deploy file.
const PROGRAM: &str = "target/release/marigoldwall-gateway";

/// Ports of a machine, the same on all machines of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    front: u16,
    ready: u16,
    directory: u16,
    inner: u16,
}

impl Ports {
    /// Free ports, at all of the `machines`.
    pub fn find(machines: &[Ipv4Addr]) -> Self {
        let is_free = |port: u16| {
            machines.iter().all(|ip| {
                TcpListener::bind((*ip, port)).is_ok() && UdpSocket::bind((*ip, port)).is_ok()
            })
        };
        let seed = std::process::id() as u16 % 2_000;
        let bases = (0..400).map(|step| 12_000 + (seed * 8 + step * 8) % 16_000);
        let mut bases = bases.filter(|base| (*base..*base + 6).all(is_free));
        let base = bases.next().expect("free ports");
        Self { front: base, ready: base + 1, directory: base + 2, inner: base + 4 }
    }
}

/// What the settings of a gateway say.
#[derive(Clone, Debug)]
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub ports: Ports,
    pub store: SocketAddr,
    pub zone: String,
}

impl Machine {
    /// The settings, with the bounds of the site tesnota-route.
    fn settings(&self) -> String {
        let Self { name, ip, ports, store, zone } = self;
        let Ports { front, ready, directory, inner } = ports;
        let last = inner + 1;
        format!(
            r#"{{"node":"{name}","role":"gateway","machineClass":"edge",
"serves":["edge","directory"],"ip":"{ip}","zone":"{zone}","region":"sk-central",
"zones":{{"zilina-a":"sk-central","zilina-b":"sk-central","martin-c":"sk-central"}},
"listen":{{"front":"{ip}:{front}","ready":"{ip}:{ready}","directory":"{ip}:{directory}"}},
"internalPortRange":[{inner},{last}],"seeds":[],"bootstrap":false,"countsAsLoss":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"directory","heartbeatMs":1200,
"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants",
"platform","gangs"],"faultTolerance":{{"machines":2,"zones":0,"regions":0}},
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,
"drainMs":2000,"graceS":8,"lossSlackMs":200,"configMs":2000,"rollbackSlackMs":250,
"outerMs":5000,"strictRevocation":true,"revokeMs":5000,"retryBudgetRatio":0.2,
"budgetWindowS":10,"extraRetries":107,"recoveryS":12,"passMs":120,"retryAfterS":0,
"stallMs":4000,"requireFencing":true,"ceilingWindowS":5,"ceilingOvershoot":1.1,"ttl_max_s":5}},
"platform":{{"address":"{store}","form":"log","writesPerS":400,"readsPerS":2000,"parts":12,
"appendMs":2.0,"writeMbS":20.0,"readMbS":80.0,"recordBytes":262144,"callBytes":2097152,
"keep_s":300,"partMb":200,"minTtlMs":1000}}}}"#
        )
    }

    /// Where clients connect.
    pub fn front(&self) -> SocketAddr {
        self.front_v4().into()
    }

    /// The same as an IPv4 address.
    pub fn front_v4(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, self.ports.front)
    }

    /// Whether the readiness check is answered with 200.
    pub fn is_ready(&self) -> bool {
        let get = || -> std::io::Result<u16> {
            let address = (self.ip, self.ports.ready).into();
            let stream = TcpStream::connect_timeout(&address, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            let mut connection = Connection::new(stream);
            connection.write(b"GET /api/readiness HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            Ok(connection.read_message()?.status())
        };
        get().is_ok_and(|status| status == 200)
    }
}

/// A running gateway, which ends with this value.
pub struct Gateway {
    pub machine: Machine,
    child: Child,
    folder: PathBuf,
    record: Record,
}

impl Gateway {
    /// Starts the program.
    pub fn start(machine: Machine, record: &Record) -> Self {
        let folder = format!("mgw-review-{}-{}", std::process::id(), machine.name);
        let folder = std::env::temp_dir().join(folder);
        fs::create_dir_all(&folder).expect("create a folder for the settings");
        let path = folder.join("settings.json");
        fs::write(&path, machine.settings()).expect("write the settings");
        let child = spawn(&folder);
        record.note(&format!("{} starts, process {}", machine.name, child.id()));
        Self { machine, child, folder, record: record.clone() }
    }

    /// Starts the program and waits until it is ready.
    pub fn start_ready(machine: Machine, record: &Record) -> Self {
        let gateway = Self::start(machine, record);
        gateway.wait_until_ready();
        gateway
    }

    pub fn wait_until_ready(&self) {
        let due = Instant::now() + Duration::from_secs(15);
        while !self.machine.is_ready() {
            if Instant::now() > due {
                self.record.note(&format!("{} is not ready after 15 s", self.machine.name));
                crate::end(crate::Verdict::CannotRun);
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.record.note(&format!("{} is ready", self.machine.name));
    }

    /// Sends a signal, named without `SIG`.
    pub fn signal(&self, name: &str) {
        self.record.note(&format!("SIG{name} to {}", self.machine.name));
        let id = self.child.id().to_string();
        let _ = Command::new("kill").args(["-s", name, &id]).status();
    }

    /// Kills the process, and starts it again `pause` later.
    pub fn restart(&mut self, pause: Duration) {
        self.kill();
        thread::sleep(pause);
        self.child = spawn(&self.folder);
        self.record.note(&format!("{} starts, process {}", self.machine.name, self.child.id()));
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        self.record.note(&format!("SIGKILL to {}", self.machine.name));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|it| it.is_some())
    }
}

/// Starts the program with the settings in `folder`.
fn spawn(folder: &Path) -> Child {
    let log = fs::File::options().create(true).append(true).open(folder.join("log"));
    Command::new(PROGRAM)
        .env("MARIGOLDWALL_SETTINGS", folder.join("settings.json"))
        .stdin(Stdio::null())
        .stdout(log.expect("open the log"))
        .end_with_parent()
        .spawn()
        .expect("start the gateway")
}

trait EndWithParent {
    /// Has the kernel kill the process when the thread that starts it ends.
    fn end_with_parent(&mut self) -> &mut Self;
}

impl EndWithParent for Command {
    fn end_with_parent(&mut self) -> &mut Self {
        // PR_SET_PDEATHSIG and SIGKILL of Linux.
        const PARENT_DEATH_SIGNAL: i32 = 1;
        const KILL: u64 = 9;
        // SAFETY: the closure makes one system call, which allocates nothing and takes no lock.
        unsafe {
            self.pre_exec(|| match prctl(PARENT_DEATH_SIGNAL, KILL) {
                0 => Ok(()),
                _ => Err(std::io::Error::last_os_error()),
            })
        }
    }
}

unsafe extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}
