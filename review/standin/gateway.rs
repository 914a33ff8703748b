//! Starts the project's program, with the command of the deploy file, on loopback addresses.

use std::fs::File;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use crate::base::{self, Wire, record};
use crate::store::Store;

pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

/// Gateways that were started; they are killed at the end.
pub struct Fleet {
    pub gateways: Vec<Gateway>,
    folder: PathBuf,
}

const ZONES: [&str; 3] = ["pinetown", "umlazi", "verulam"];

/// The first of the ports that all machines use; all are free at all addresses.
fn free_ports(count: usize) -> u16 {
    loop {
        let first = 20_000 + (base::random() % 11_000) as u16;
        let ports = (first..first + 4).chain(first + 8..first + 10);
        let mut free = ports.flat_map(|port| (0..count).map(move |index| (ip(index), port)));
        if free.all(|(ip, port)| TcpListener::bind(SocketAddr::from((ip, port))).is_ok()) {
            return first;
        }
    }
}

fn ip(index: usize) -> [u8; 4] {
    [127, 0, 10 + (std::process::id() % 200) as u8, 1 + index as u8]
}

impl Fleet {
    /// Starts `count` gateways at once, as at the first start of the whole system.
    pub fn start(store: &Store, count: usize) -> Self {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("create a temporary folder");
        let port = free_ports(count);
        let mut fleet = Fleet { gateways: Vec::new(), folder };
        for index in 0..count {
            let zone = ZONES[index % 3];
            let name = format!("edge-{zone}-{}", index / 3 + 1);
            let ip = std::net::Ipv4Addr::from(ip(index));
            let settings = format!(
                r#"{{"node":"{name}","role":"gateway","machineClass":"edge",
"serves":["edge","directory"],"ip":"{ip}","zone":"{zone}","region":"kzn",
"zones":{{"pinetown":"kzn","umlazi":"kzn","verulam":"kzn"}},
"listen":{{"front":"{ip}:{}","ready":"{ip}:{}","directory":"{ip}:{}"}},
"internalPortRange":[{},{}],"seeds":[],"bootstrap":true,"countsAsLoss":false,
"limits":{{"cpuShare":0.25,"cores":1,"memoryMb":260,"maxFds":4100,"linkMbps":1000.0,"diskMb":0}},
"dataDir":null,"discovery":"platform","entry":"directory","heartbeatMs":1200,
"bounds":{{"seedLagS":3,"reuseAfterS":2,"contactMs":3000,"ackMs":4000,"catchUpS":4,"drainMs":2000,
"graceS":8,"lossSlackMs":200,"configMs":2000,"rollbackSlackMs":250,"outerMs":5000,
"strictRevocation":true,"revokeMs":5000,"retryBudgetRatio":0.2,"budgetWindowS":10,
"extraRetries":109,"recoveryS":12,"passMs":120,"retryAfterS":0,"stallMs":4000,
"requireFencing":true,"ceilingWindowS":5,"ceilingOvershoot":1.1,"ttl_max_s":5}},
"platform":{{"address":"{}","form":"log","writesPerS":400,"readsPerS":2000}}}}"#,
                port,
                port + 1,
                port + 2,
                port + 8,
                port + 15,
                store.address
            );
            let path = fleet.folder.join(format!("{name}.json"));
            std::fs::write(&path, settings).expect("write the settings");
            let log = File::create(fleet.folder.join(format!("{name}.log"))).expect("create a log");
            let child = Command::new("target/release/marigoldwall-gateway")
                .env_clear()
                .env("MARIGOLDWALL_SETTINGS", &path)
                .stdin(Stdio::null())
                .stdout(log.try_clone().expect("the log"))
                .stderr(log)
                .spawn();
            let child = match child {
                Ok(child) => child,
                Err(error) => {
                    eprintln!("cannot start target/release/marigoldwall-gateway: {error}");
                    drop(fleet);
                    std::process::exit(2);
                }
            };
            let address = |port| SocketAddr::from((ip, port));
            record(&format!("gateway {name} started, front {}", address(port)));
            fleet.gateways.push(Gateway {
                name,
                front: address(port),
                ready: address(port + 1),
                child,
            });
        }
        fleet
    }

    /// Waits until all gateways are ready; exits with 2 if they are not in time.
    pub fn wait_ready(&self, limit_s: f64) {
        let end = base::now() + limit_s;
        for gateway in &self.gateways {
            while status(gateway.ready, "/api/readiness") != Some(200) {
                if base::now() > end {
                    record(&format!("{} is not ready", gateway.name));
                    self.give_up();
                }
                base::sleep(0.05);
            }
        }
        record("all gateways are ready");
    }

    /// Whether all processes still run.
    pub fn all_run(&mut self) -> bool {
        self.gateways.iter_mut().all(|it| matches!(it.child.try_wait(), Ok(None)))
    }

    /// Ends all processes, then this one with 2: the case could not run.
    pub fn give_up(&self) -> ! {
        for gateway in &self.gateways {
            let _ = Command::new("kill").args(["-9", &gateway.child.id().to_string()]).status();
        }
        eprintln!("the case could not run; see record.txt");
        std::process::exit(2);
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            let _ = gateway.child.kill();
            let _ = gateway.child.wait();
        }
        match std::env::var_os("KEEP") {
            Some(_) => eprintln!("kept {}", self.folder.display()),
            None => drop(std::fs::remove_dir_all(&self.folder)),
        }
    }
}

fn status(address: SocketAddr, target: &str) -> Option<u16> {
    let mut wire = Wire::connect(address, 1.0).ok()?;
    wire.send(format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n").as_bytes()).ok()?;
    wire.read_message().ok().map(|it| it.status())
}
