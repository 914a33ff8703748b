//! Starts the daemon, runs it until a signal arrives, drains and stops it.

use std::io::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use mgw_entry::node::{self, Node};
use mgw_event::{Body, Kind};
use mgw_platform::transport;
use mgw_platform::{engine, list, log, service, weights};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use smol_str::format_smolstr;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;

use crate::config::Config;
use crate::links::{self, Links};
use crate::metrics::{self, Metrics};
use crate::peer::{self, Secret};
use crate::shared::{Clients, Shared};
use crate::{callers, driver, http, operators};

/// How often the gauges are sent.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// How often the daemon checks whether it has drained or its incarnation has ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Delay between closing the listeners and exiting, for the last answers to reach their callers.
const FLUSH_DELAY: Duration = Duration::from_millis(200);

/// Runs the daemon until it has drained after SIGTERM or SIGINT.
///
/// Fails if an address cannot be bound or a setting cannot be used, and after draining if the log
/// has ended this incarnation.
pub async fn run(config: Config) -> anyhow::Result<()> {
    let epoch = Instant::now();
    let bind = |name, address| async move {
        TcpListener::bind(address).await.with_context(|| format!("bind {name} at {address}"))
    };
    let callers_listener = bind("callers", config.callers_address).await?;
    let operators_listener = bind("operators", config.operators_address).await?;
    let peers_listener = bind("peers", config.peers_address).await?;

    let mut random = SmallRng::from_os_rng();
    let incarnation = random.random();
    let mut options = node::Options::new(config.name.clone(), incarnation, config.zone.clone());
    options.callers = format_smolstr!("{}", callers_listener.local_addr()?);
    let peers_address = format_smolstr!("{}", peers_listener.local_addr()?);
    options.peers = peers_address.clone();
    options.gossip.seeds = config.seeds.iter().map(|it| format_smolstr!("{it}")).collect();
    let transport_options = transport::Options::default();
    let clients = Clients {
        log: log::Client::new(config.log_address.to_string(), transport_options),
        list: list::Client::new(config.list_address.to_string(), transport_options),
        weights: weights::Client::new(config.weights_address.to_string(), transport_options),
        engine: engine::Client::new(transport_options),
        service: service::Client::new(transport_options),
    };
    let operators_address = operators_listener.local_addr()?;
    print_addresses(&options, operators_address)?;
    let metrics = Metrics::new(&config.name, config.statsd).context("open the metrics socket")?;
    let node = Node::new(options, random.random(), mgw_base::time::Instant::default());
    let secrets: Option<Vec<Secret>> =
        config.peer_secrets.iter().map(|it| Secret::new(it)).collect();
    let secrets = secrets.context("read the shared secrets")?;
    let peer_options = peer::Options::new(secrets, peers_address);
    let links = Links::new(peer_options.clone());
    let shared = Rc::new(Shared::new(config, node, clients, links, metrics, epoch));

    let (stop, stopped) = watch::channel(false);
    let handler_state = shared.clone();
    actix_rt::spawn(http::serve(
        callers_listener,
        move |request| callers::handle(handler_state.clone(), request),
        stopped.clone(),
    ));
    let handler_state = shared.clone();
    actix_rt::spawn(http::serve(
        operators_listener,
        move |request| operators::handle(handler_state.clone(), request),
        stopped.clone(),
    ));
    actix_rt::spawn(links::serve(shared.clone(), peers_listener, peer_options));
    actix_rt::spawn(driver::run(shared.clone()));
    actix_rt::spawn(report_gauges(shared.clone()));

    let expelled = tokio::select! {
        signal = wait_for_signal() => signal.map(|()| false)?,
        () = wait_for_expulsion(&shared) => true,
    };
    drain(&shared).await;
    let _ = stop.send(true);
    actix_rt::time::sleep(FLUSH_DELAY).await;
    let in_flight = shared.node.borrow().in_flight();
    let text = format_args!("{in_flight} requests in flight were cut off");
    shared.record(Body::new(Kind::EntryStopped).entry(&shared.config.name).text(text));
    anyhow::ensure!(
        !expelled,
        "according to the log this incarnation has ended; the process must be started again"
    );
    Ok(())
}

/// Waits until a record in the log has ended this incarnation; see [`Node::is_expelled`].
async fn wait_for_expulsion(shared: &Rc<Shared>) {
    while !shared.node.borrow().is_expelled() {
        actix_rt::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
}

/// Prints the bound addresses to standard output: with port 0 in the settings, the operating system
/// chooses the port.
fn print_addresses(options: &node::Options, operators: SocketAddr) -> anyhow::Result<()> {
    let mut out = std::io::stdout();
    writeln!(out, "listening {} {operators} {}", options.callers, options.peers)?;
    out.flush().context("write to standard output")
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_signal() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("listen for SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("listen for SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// Removes the entry from the directory and waits until callers no longer use its address and all
/// requests have ended, for the shutdown timeout at most. A second signal ends the wait.
async fn drain(shared: &Rc<Shared>) {
    shared.with_node(|node, now| node.drain(now));
    let deadline = shared.now() + shared.config.shutdown_timeout;
    let second_signal = wait_for_signal();
    tokio::pin!(second_signal);
    while shared.now() < deadline && !shared.node.borrow().is_drained(shared.now()) {
        tokio::select! {
            _ = &mut second_signal => return,
            () = actix_rt::time::sleep(DRAIN_CHECK_INTERVAL) => {}
        }
    }
}

/// Sends the gauges every [`GAUGE_INTERVAL`]. Never returns.
async fn report_gauges(shared: Rc<Shared>) {
    loop {
        actix_rt::time::sleep(GAUGE_INTERVAL).await;
        let node = shared.node.borrow();
        let metrics_client = &shared.metrics;
        metrics_client.gauge(&metrics::IN_FLIGHT, node.in_flight() as u64);
        metrics_client.gauge(&metrics::LOG_APPLIED, node.state().applied());
        let groups = node.groups();
        let closed = groups.iter().filter(|group| !group.servable).count();
        metrics_client.gauge(&metrics::GROUPS_CLOSED, closed as u64);
        metrics_client.gauge(&metrics::GROUPS, groups.len() as u64);
        let stranded: u32 = node
            .instances()
            .iter()
            .filter(|instance| !instance.stranded.is_empty() && instance.status != "absent")
            .map(|instance| instance.accelerators)
            .sum();
        metrics_client.gauge(&metrics::STRANDED, u64::from(stranded));
    }
}
