//! The task that writes heartbeats, and the planner's control loop with its orders and probes.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use mgw_base::time::Instant;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::entry::{self, Heartbeat, Phase, Role};
use mgw_fleet::plan::{self, Action, Command, Note, Planner, ProbeResult, Reply, View};
use mgw_http::head::Response;
use platform::header;
use platform::order;
use platform::server::Report;
use platform::store;
use smol_str::SmolStr;
use tokio::sync::watch;

use crate::clock;
use crate::connection::Connection;
use crate::feed::reader::Follower;
use crate::gateway::Gateway;
use crate::notice;
use crate::pool;
use crate::store::Client;

/// Maximum time between two steps of the planner.
const MAX_STEP_INTERVAL: Duration = Duration::from_millis(150);

/// Minimum time between two steps, so that responses that arrive together are handled in one step.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(15);

/// Timeout for an instance's response to a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Timeout for an instance's response to an order. Some responses are lost; the effect of the order
/// is then seen in the instance's record.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Maximum responses to requests of callers that are skipped before the response to an order or a
/// probe.
const MAX_FOREIGN_RESPONSES: usize = 2;

/// Maximum size of an instance's response body in bytes.
const MAX_BODY_BYTES: usize = 256 << 10;

/// Interval of the check whether a reader still writes this entry's heartbeats.
const HEARTBEAT_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Delay after the first heartbeat that could not be written; it doubles with each further one, up
/// to four times this.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Writes the heartbeats of this entry and its followers to the store for as long as the process
/// runs. While this entry follows a reader that responds, that reader writes them instead.
pub async fn run_heartbeats(gateway: Rc<Gateway>) {
    let mut client = Client::new(gateway.settings.store_address);
    let mut due = gateway.heartbeat_due.subscribe();
    let mut failures = 0;
    // The other entries have no use for the heartbeat of an entry that has not served yet.
    while gateway.with(|state| state.phase == Phase::Starting) {
        let _ = due.changed().await;
    }
    loop {
        due.mark_unchanged();
        let (written, written_at) = (gateway.heartbeat(), clock::now());
        let pause = match gateway.with(|state| state.has_live_reader(clock::now())) {
            true => HEARTBEAT_CHECK_INTERVAL,
            false => match write_heartbeat(&gateway, &mut client).await {
                Ok(()) => {
                    failures = 0;
                    entry::HEARTBEAT_INTERVAL
                }
                Err(()) => {
                    gateway.count("store_errors", "heartbeat");
                    failures = (failures + 1).min(3);
                    RETRY_DELAY * 2_u32.pow(failures - 1)
                }
            },
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            // A change does not wait for the next regular heartbeat.
            Ok(()) = due.changed() => {
                wait_for_announcement(&gateway, &mut due, &written, written_at).await;
            }
            () = gateway.source_changed.notified() => {}
        }
    }
}

/// Waits until a change is to be announced that has just been seen. The last heartbeat, `written`, is
/// of `written_at`.
async fn wait_for_announcement(
    gateway: &Gateway,
    due: &mut watch::Receiver<()>,
    written: &Heartbeat,
    written_at: Instant,
) {
    let mut time: Option<Instant> = None;
    loop {
        let (now, is_urgent) = (clock::now(), gateway.heartbeat().is_urgent_after(written));
        let newest = entry::announcement_time(now, written_at, is_urgent);
        let earliest = time.map_or(newest, |time| time.min(newest));
        time = Some(earliest);
        tokio::select! {
            () = tokio::time::sleep(earliest.since(now)) => return,
            Ok(()) = due.changed() => {}
        }
    }
}

/// Appends one record with the heartbeats of this entry and its followers to the entries' topic.
async fn write_heartbeat(gateway: &Gateway, client: &mut Client) -> Result<(), ()> {
    let key = entry::heartbeat_key(&gateway.settings.entry_name);
    let own = gateway.heartbeat();
    let followers = gateway.with(|state| {
        let member = |(name, follower): (&SmolStr, &Follower)| entry::Member {
            name: name.to_string(),
            heartbeat: follower.heartbeat.clone(),
        };
        state.followers.iter().map(member).collect()
    });
    let record = entry::Record::heartbeat(clock::unix_ms(), own, followers);
    let value = match entry::encode(&record) {
        Ok(value) => value,
        Err(error) => {
            gateway.record(Body::new(Kind::StoreLost).text(format!("encode heartbeat: {error}")));
            return Err(());
        }
    };
    let call = store::append(store::ENTRIES_TOPIC, &key, &value, None);
    // The tasks that read the topics log an outage of the store.
    client.call(&call, Duration::ZERO).await.map(|_| ()).map_err(|_| ())
}

/// The planner's control loop. Runs for as long as the process does, and takes steps while this
/// entry holds the planner's role.
pub async fn run_planner(gateway: Rc<Gateway>) {
    loop {
        tokio::time::sleep(MIN_STEP_INTERVAL).await;
        // The response to an order or a probe triggers the next step at once.
        let _ = tokio::time::timeout(
            MAX_STEP_INTERVAL - MIN_STEP_INTERVAL,
            gateway.plan_due.notified(),
        )
        .await;
        let term = update_role(&gateway);
        if let Some(term) = term {
            run_step(&gateway, term);
        }
    }
}

/// Takes, keeps or gives up the planner's role, as the entries' records demand. Returns the term if
/// this entry is the planner now.
fn update_role(gateway: &Gateway) -> Option<u64> {
    let now = clock::now();
    let name = &gateway.settings.entry_name;
    gateway.with(|state| {
        let role = match state.phase {
            Phase::Serving => state.role(name, gateway.incarnation, now),
            Phase::Starting if state.is_planner => state.role(name, gateway.incarnation, now),
            Phase::Starting | Phase::Draining => Role::Standby,
        };
        state.has_stale_view = matches!(role, Role::UnconfirmedLeader { .. });
        let held = state.planner_term().filter(|_| state.is_planner);
        match role {
            Role::Leader { term } | Role::UnconfirmedLeader { term } if held == Some(term) => {
                Some(term)
            }
            Role::Leader { term } if state.resigned_term == Some(term) => None,
            Role::Leader { term } => {
                let planner = match &state.planner {
                    Some(known) if known.term() == term => known.restarted(now),
                    Some(_) | None => Planner::new(term, now),
                };
                state.planner = Some(planner);
                state.is_planner = true;
                state.journal.record(Body::new(Kind::LeadTaken).entry(name).offset(term));
                Some(term)
            }
            Role::Standby | Role::Candidate | Role::UnconfirmedLeader { .. } => {
                if role == Role::Candidate {
                    gateway.entries_read_due.notify_one();
                }
                if std::mem::take(&mut state.is_planner) {
                    let text = format!("lost term {}", state.planner_term().unwrap_or_default());
                    state.journal.record(Body::new(Kind::LeadLost).entry(name).text(text));
                }
                None
            }
        }
    })
}

/// Runs one step of the planner under `term`, records its notes, and starts its orders and probes.
fn run_step(gateway: &Rc<Gateway>, term: u64) {
    let now = clock::now();
    let until_traffic = gateway.until_traffic(now);
    let actions = gateway.with(|state| {
        let Some(config) = state.config.clone() else { return Vec::new() };
        let demand = state.demand();
        let Some(planner) = &mut state.planner else { return Vec::new() };
        if !state.has_server_list {
            return Vec::new();
        }
        let view = View {
            roster: &state.roster,
            config: &config,
            demand: &demand,
            evacuations: &state.evacuations,
            until_traffic,
            now,
        };
        let actions = planner.tick(&view);
        for note in planner.take_notes() {
            state.journal.record(match note {
                Note::Group { name, text } => {
                    Body::new(Kind::GroupMoved).text(format!("{name}: {text}"))
                }
                Note::Usage(text) => Body::new(Kind::GroupsCounted).text(text),
            });
        }
        actions
    });
    for action in actions {
        let gateway = Rc::clone(gateway);
        match action {
            Action::Order(command) => {
                actix_rt::spawn(async move { send_order(&gateway, command, term).await });
            }
            Action::Probe(instance) => {
                actix_rt::spawn(async move { probe(&gateway, instance).await });
            }
        }
    }
}

/// Sends an order under `term` and gives the response to the planner. A lost response is logged but
/// not retried here, as the effect of the order is read from the instance's record.
async fn send_order(gateway: &Gateway, command: Command, term: u64) {
    let body = order::encode(&command, term);
    let response =
        call_instance(gateway, &command.instance, order::ORDER_PATH, &body, ORDER_TIMEOUT).await;
    let outcome = match response {
        Ok((status, _)) => format!("{status} {:?}", order::reply_from_status(status)),
        Err(ref error) => format!("no response: {error}"),
    };
    gateway.count("orders", if response.is_ok() { "answered" } else { "lost" });
    let text = format!(
        "{outcome} to {:?}, accepted orders before {:?}",
        command.order, command.precondition
    );
    gateway.record(Body::new(Kind::OrderAnswered).instance(&command.instance).text(text));
    let reply = response.as_ref().ok().map(|(status, _)| order::reply_from_status(*status));
    gateway.with(|state| {
        plan::apply_reply(&mut state.roster, &command, reply, clock::now());
        state
            .active_planner()
            .into_iter()
            .for_each(|planner| planner.probe_soon(&command.instance));
        match reply {
            Some(Reply::Conflict | Reply::Rejected) => {
                state
                    .active_planner()
                    .into_iter()
                    .for_each(|planner| planner.order_refused(&command));
            }
            Some(Reply::Fenced) => {
                state
                    .active_planner()
                    .into_iter()
                    .for_each(|planner| planner.order_refused(&command));
                // The instance has had an order of a newer term, so another entry has been the
                // planner since. The role is kept only if the store, as far as it is known, still
                // gives it to this entry under this term.
                state.is_planner &= state.entries.term() == Some(term) && !state.has_stale_view;
            }
            Some(Reply::Begun | Reply::Done) | None => {}
        }
    });
    gateway.plan_due.notify_one();
}

/// Asks an instance for its state and gives the result to the roster and the planner.
async fn probe(gateway: &Gateway, instance: SmolStr) {
    gateway.count("probes", "sent");
    let response = call_instance(gateway, &instance, order::REPORT_PATH, b"", PROBE_TIMEOUT).await;
    let now = clock::now();
    let probe = match &response {
        Ok((200, body)) => match platform::server::parse_report(body) {
            Ok(report) => apply_report(gateway, &instance, report, now),
            Err(error) => {
                gateway.record(Body::new(Kind::RecordUnreadable).instance(&instance).text(error));
                ProbeResult::Alive
            }
        },
        // Another process uses this address.
        Ok((notice::MISDIRECTED, _)) => ProbeResult::Refused,
        Ok(_) => ProbeResult::Alive,
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => ProbeResult::Refused,
        Err(_) => ProbeResult::Silent,
    };
    gateway.with(|state| {
        if probe != ProbeResult::Alive {
            let text = format!("probe: {probe:?}");
            state.journal.record(Body::new(Kind::OrderAnswered).instance(&instance).text(text));
        }
        if let Some(planner) = state.active_planner() {
            planner.record_probe(&instance, probe, now);
        }
    });
    gateway.plan_due.notify_one();
}

/// Applies a report that `instance` sent in reply to a probe.
fn apply_report(gateway: &Gateway, instance: &str, report: Report, now: Instant) -> ProbeResult {
    gateway.with(|state| {
        let known = state.roster.instance(instance).map(|server| server.record.started_ms);
        if known != Some(report.started_ms) {
            // The instance has restarted under the same id, so the probed process has ended.
            return ProbeResult::Refused;
        }
        let Report { started_ms, order_count, engine } = report;
        state.roster.apply_report(instance, started_ms, engine, order_count, now);
        ProbeResult::Alive
    })
}

/// Sends a request to `instance`: an order if there is a body, else a query. Returns the status and
/// the body of the response.
///
/// # Errors
///
/// [`io::ErrorKind::NotFound`] if the instance is not known, [`io::ErrorKind::TimedOut`] after
/// `limit`, or the error of the connection.
async fn call_instance(
    gateway: &Gateway,
    instance: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<(u16, BytesMut)> {
    let now = clock::now();
    let found = gateway.with(|state| {
        let server = state.roster.instance(instance)?;
        let (process, address) = (server.process(), server.record.address);
        // Connections to instances that are not listed are not kept.
        let key = state.roster.find(instance);
        let pooled = key.and_then(|key| state.pool.take(key, now));
        Some((key, process, address, pooled))
    });
    let Some((key, process, address, pooled)) = found else {
        return Err(io::ErrorKind::NotFound.into());
    };
    let exchange = async {
        let mut connection = match pooled {
            Some(connection) => connection,
            None => Connection::connect(address, limit).await?,
        };
        let mut output = BytesMut::with_capacity(256 + body.len());
        order::write_head(&mut output, path, instance, body.len());
        output.extend_from_slice(body);
        connection.write(&output).await?;
        let (head, response_body) = read_control_response(&mut connection).await?;
        // A refusal states no id, so a request would take it for its own if it arrived once more.
        let is_reusable = head.is_success() && head.keeps_alive() && connection.input.is_empty();
        Ok::<_, io::Error>((head, response_body, is_reusable.then_some(connection)))
    };
    let result = tokio::time::timeout(limit, exchange).await;
    let (head, response_body, connection) =
        result.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    let metadata = header::parse_response_metadata(&head);
    gateway.with(|state| notice::record(state, &process, &head, &metadata));
    if let (Some(connection), Some(key)) = (connection, key) {
        let timeout = pool::keep_alive_timeout(&head);
        gateway.with(|state| state.pool.put(key, connection, timeout, clock::now()));
    }
    Ok((head.status, response_body))
}

/// Reads the response to an order or a probe. Orders and probes have no attempt id, so a response
/// that states one repeats that to an earlier request on the connection, and is skipped.
async fn read_control_response(connection: &mut Connection) -> io::Result<(Response, BytesMut)> {
    for _ in 0..=MAX_FOREIGN_RESPONSES {
        let (head, body) = connection.read_response(MAX_HEAD_BYTES, MAX_BODY_BYTES).await?;
        if header::parse_response_metadata(&head).attempt_id.is_none() {
            return Ok((head, body));
        }
    }
    Err(io::ErrorKind::InvalidData.into())
}
