//! Startup, background tasks and graceful shutdown of the process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use anyhow::Context as _;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::entry::Phase;
use mgw_fleet::shutdown::Shutdown;
use platform::settings::Settings;
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};

use crate::admin::{self, Endpoint};
use crate::callers;
use crate::clock;
use crate::control;
use crate::feed;
use crate::gateway::Gateway;
use crate::gossip;
use crate::journal::Journal;
use crate::reload;
use crate::tick;
use crate::topics::{self, Topic};

/// Backlog of each TCP listener: connections that may wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Interval of the check whether a draining process may exit.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Runs the gateway until SIGTERM, then drains it. The settings are not reloaded.
///
/// # Errors
///
/// An address cannot be bound, the log thread cannot be started, or a signal handler cannot be
/// installed.
pub async fn run(settings: Settings) -> anyhow::Result<()> {
    run_from(settings, None).await
}

/// Runs the gateway until SIGTERM, then drains it. The `settings` are reloaded from the file
/// `source`, if there is one, when it changes and after SIGHUP.
///
/// # Errors
///
/// As for [`run`].
pub async fn run_from(settings: Settings, source: Option<PathBuf>) -> anyhow::Result<()> {
    let incarnation = SmallRng::from_os_rng().random();
    let journal = Journal::start(settings.entry_name.clone()).context("start the log")?;
    let gateway = Rc::new(Gateway::new(settings, incarnation, journal));
    let settings = &gateway.settings;
    let mut stop = signal(SignalKind::terminate()).context("handle SIGTERM")?;
    let hangup = signal(SignalKind::hangup()).context("handle SIGHUP")?;
    let callers = listen(settings.callers_address)?;
    let readiness = listen(settings.readiness_address)?;
    let directory = listen(settings.directory_address)?;
    let metrics = listen(settings.metrics_address)?;
    let feed_listener = listen(settings.feed_address)?;
    let gossip_socket = UdpSocket::bind(settings.metrics_address).await;
    let gossip_socket =
        Rc::new(gossip_socket.with_context(|| format!("bind {}", settings.metrics_address))?);
    let text =
        format!("incarnation {incarnation:016x}, accepts callers at {}", settings.callers_address);
    gateway.record(Body::new(Kind::GatewayStarted).entry(&settings.entry_name).text(text));
    for topic in [Topic::Config, Topic::Servers, Topic::Entries] {
        actix_rt::spawn(topics::run(Rc::clone(&gateway), topic));
    }
    actix_rt::spawn(feed::follower::run(Rc::clone(&gateway)));
    actix_rt::spawn(feed::reader::run(Rc::clone(&gateway), feed_listener));
    actix_rt::spawn(control::run_heartbeats(Rc::clone(&gateway)));
    actix_rt::spawn(control::run_planner(Rc::clone(&gateway)));
    actix_rt::spawn(gossip::receive(Rc::clone(&gateway), Rc::clone(&gossip_socket)));
    let announced = gossip::announce_work(Rc::clone(&gateway), Rc::clone(&gossip_socket));
    actix_rt::spawn(announced);
    actix_rt::spawn(tick::run(Rc::clone(&gateway), gossip_socket));
    actix_rt::spawn(callers::run(Rc::clone(&gateway), callers));
    actix_rt::spawn(admin::run(Rc::clone(&gateway), readiness, Endpoint::Readiness));
    actix_rt::spawn(admin::run(Rc::clone(&gateway), directory, Endpoint::Directory));
    actix_rt::spawn(admin::run(Rc::clone(&gateway), metrics, Endpoint::Metrics));
    if let Some(path) = source {
        let options = reload::Options { path, hangup };
        actix_rt::spawn(reload::run(Rc::clone(&gateway), options));
    }
    stop.recv().await;
    drain(&gateway).await;
    Ok(())
}

fn listen(address: SocketAddr) -> anyhow::Result<TcpListener> {
    let bound = TcpSocket::new_v4().and_then(|socket| {
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    });
    bound.with_context(|| format!("listen at {address}"))
}

/// Drains the process. The entry leaves the directory but goes on serving, as callers may have
/// cached an older directory response. Returns when the directory responses have expired and no
/// request is in flight, or when the grace period ends.
async fn drain(gateway: &Gateway) {
    let entry = &gateway.settings.entry_name;
    let shutdown = Shutdown::new(clock::now(), gateway.settings().bounds.termination_grace_period);
    gateway.shutdown.set(Some(shutdown));
    gateway.with(|state| {
        state.phase = Phase::Draining;
        let text = format!("draining with {} requests in flight", state.requests.len());
        state.journal.record(Body::new(Kind::GatewayDraining).entry(entry).text(text));
    });
    gateway.heartbeat_due.send_replace(());
    loop {
        let now = clock::now();
        if shutdown.should_exit(gateway.with(|state| state.requests.is_empty()), now) {
            break;
        }
        if now >= shutdown.answer_deadline() {
            gateway.with(|state| state.requests.expire_unanswered(now));
        }
        tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
    }
    gateway.shutdown.set(Some(shutdown.closed()));
    gateway.with(|state| {
        let text = format!("stopped with {} requests unfinished", state.requests.len());
        state.journal.record(Body::new(Kind::GatewayStopped).entry(entry).text(text));
        state.journal.flush();
    });
    // Gives the log thread time to write the last lines.
    tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
}
