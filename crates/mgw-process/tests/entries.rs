//! Entries that are killed, paused, stopped or restarted under load.

mod common;

use std::time::{Duration, Instant};

use anyhow::ensure;
use common::{Load, LoadMix, sleep};
use mgw_process::client::HttpClient;
use mgw_process::fleet::{Fleet, Options, TEAM_KEY};
use serde_json::{Value, json};

/// Guards against answers that are truncated without an error, bookings that run twice because of
/// a retry, and outcomes that contradict the counts of the booking servers, while each entry is
/// killed and replaced once.
#[test]
fn every_entry_is_killed_in_turn() -> anyhow::Result<()> {
    common::run_test(async {
        let mut fleet =
            common::start_serving_fleet("killed-entries", Options::default(), 2).await?;
        let load = Load::start(&fleet, LoadMix { chats: 4, entry_keys: 3, opaque_keys: 3 }).await?;
        for number in 0..fleet.entries.len() {
            sleep(Duration::from_millis(700)).await;
            fleet.kill_entry(number);
            sleep(Duration::from_millis(700)).await;
            fleet.restart_entry(number)?;
            fleet.wait_until_ready(number, Duration::from_secs(10)).await?;
        }
        sleep(Duration::from_millis(500)).await;
        ensure!(
            load.chats.get() > 20,
            "only {} model calls were answered during the kills",
            load.chats.get()
        );
        let outcomes = load.finish().await?;
        ensure!(outcomes.len() > 50, "only {} bookings have an outcome", outcomes.len());
        common::check_run_counts(&fleet, &outcomes).await
    })
}

/// Checks at each entry outside `skip` that no instance is in two groups and that the configuration
/// version is not older than the one in `versions`, which is then updated.
async fn check_groups_and_versions(
    fleet: &Fleet,
    versions: &mut [u64],
    skip: &[usize],
) -> anyhow::Result<()> {
    for number in (0..fleet.entries.len()).filter(|number| !skip.contains(number)) {
        let groups = common::operator_get(fleet, number, "groups").await?;
        let mut seen = Vec::new();
        for group in groups["groups"].as_array().into_iter().flatten() {
            for member in group["members"].as_array().into_iter().flatten() {
                let name = member["instance"].as_str().unwrap_or_default().to_owned();
                ensure!(!seen.contains(&name), "{name} is in two groups: {groups}");
                seen.push(name);
            }
        }
        let version = common::config_version(fleet, number).await?;
        ensure!(
            version >= versions[number],
            "version {version} replaced the newer version {}",
            versions[number]
        );
        versions[number] = version;
    }
    Ok(())
}

/// Checks that each model server in a servable group is ready and loaded for exactly that group.
async fn check_engine_groups(fleet: &Fleet) -> anyhow::Result<()> {
    let groups = common::operator_get(fleet, 0, "groups").await?;
    for group in groups["groups"].as_array().into_iter().flatten() {
        if group["servable"] != true {
            continue;
        }
        for member in group["members"].as_array().into_iter().flatten() {
            let engine = fleet.engines.iter().find(|it| member["instance"] == it.name.as_str());
            let Some(engine) = engine else { continue };
            let status = HttpClient::default().get(&engine.address, "/status").await?.json()?;
            ensure!(status["state"] == "ready", "a member of {group} reports {status}");
            ensure!(status["group"] == group["group"], "a member of {group} reports {status}");
        }
    }
    Ok(())
}

/// Pauses the planner while its orders are outstanding, lets another entry take over and make
/// changes, and resumes the first planner.
///
/// `fencing` tells whether the model servers reject outdated orders.
async fn pause_and_resume_planner(name: &str, fencing: bool) -> anyhow::Result<()> {
    // Each domain has three instances: one group of two and a spare.
    let options = Options { engines: 9, fencing, weight_load_ms: 800, ..Options::default() };
    let mut fleet = common::start_serving_fleet(name, options, 3).await?;
    let load = Load::start(&fleet, LoadMix { chats: 3, entry_keys: 2, opaque_keys: 1 }).await?;
    let mut versions = vec![0; fleet.entries.len()];
    check_groups_and_versions(&fleet, &mut versions, &[]).await?;

    let planner = fleet.planner(0).await?;
    let planner = planner.ok_or_else(|| anyhow::anyhow!("no entry is the planner"))?;
    // A lost member makes the planner send orders to a spare. It is paused while these orders are
    // outstanding.
    fleet.kill_engine(0);
    sleep(Duration::from_millis(3_800)).await;
    let paused_pid =
        fleet.entries[planner].process.as_ref().map(|part| part.id()).unwrap_or_default();
    ensure!(paused_pid != 0, "the planner process is not running");
    signal(&fleet, planner, "STOP")?;
    let observer = (planner + 1) % fleet.entries.len();
    let start = Instant::now();
    loop {
        check_groups_and_versions(&fleet, &mut versions, &[planner]).await?;
        match fleet.planner(observer).await? {
            Some(next) if next != planner => break,
            _ => ensure!(
                start.elapsed() < Duration::from_secs(15),
                "no other entry became the planner within 15 s"
            ),
        }
        sleep(Duration::from_millis(100)).await;
    }
    // The new planner replaces a member and publishes a sheet before the paused one resumes.
    fleet.kill_engine(1);
    let sheet = fleet.sheet().replace("100000000", "90000000");
    let file = fleet.folder.join("next.csv");
    std::fs::write(&file, &sheet)?;
    let operators = fleet.entries[observer].operator_address.clone();
    let output = fleet.run_tool_at(&operators, &["publish", &file.to_string_lossy()])?;
    ensure!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(4) {
        check_groups_and_versions(&fleet, &mut versions, &[planner]).await?;
        sleep(Duration::from_millis(100)).await;
    }
    signal(&fleet, planner, "CONT")?;
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(3) {
        check_groups_and_versions(&fleet, &mut versions, &[]).await?;
        sleep(Duration::from_millis(100)).await;
    }
    fleet.wait_for_groups(3, Duration::from_secs(20)).await?;
    check_groups_and_versions(&fleet, &mut versions, &[]).await?;
    check_engine_groups(&fleet).await?;
    ensure!(
        versions.iter().all(|version| *version == versions[0]),
        "the entries disagree on the version: {versions:?}"
    );
    let outcomes = load.finish().await?;
    common::check_run_counts(&fleet, &outcomes).await
}

/// Sends `signal`, such as `STOP`, to the process of entry `number`.
fn signal(fleet: &Fleet, number: usize, signal: &str) -> anyhow::Result<()> {
    match &fleet.entries[number].process {
        Some(part) => part.signal(signal),
        None => {
            anyhow::bail!("cannot send {signal}: {} is not running", fleet.entries[number].name)
        }
    }
}

/// Guards against a paused planner that no entry replaces, and against effects of its return: an
/// instance in two groups, a configuration that reverts, or a group that is not restored.
///
/// The test does not make the returning planner write a record of its old term; `mgw-state` tests
/// that such records are ignored.
#[test]
fn paused_planner_returns_with_fencing() -> anyhow::Result<()> {
    common::run_test(pause_and_resume_planner("paused-planner-fencing", true))
}

/// Guards against the same failures with model servers that carry out every order. Only custody
/// protects against outdated orders there.
#[test]
fn paused_planner_returns_without_fencing() -> anyhow::Result<()> {
    common::run_test(pause_and_resume_planner("paused-planner-custody", false))
}

/// Guards against a shutdown that truncates streams, drops requests of callers with an outdated
/// directory instead of refusing them, or never completes.
#[test]
fn stopped_entry_cuts_no_request() -> anyhow::Result<()> {
    common::run_test(async {
        let options = Options { token_interval_us: 60_000, ..Options::default() };
        let mut fleet = common::start_serving_fleet("stopped-entry", options, 2).await?;
        let address = fleet.entries[1].caller_address.clone();
        let prefix = common::key_prefix(&fleet, 1).await?;
        let streams: Vec<_> = (0..6)
            .map(|number| {
                let address = address.clone();
                actix_rt::spawn(async move {
                    let caller = HttpClient::with_key(TEAM_KEY);
                    let (id, prompt) = (format!("long-{number}"), format!("Visit {number}."));
                    common::chat(&caller, &address, &id, &prompt, 30_000).await
                })
            })
            .collect();
        sleep(Duration::from_millis(300)).await;
        signal(&fleet, 1, "TERM")?;
        let stopped = Instant::now();
        sleep(Duration::from_millis(1_500)).await;
        for number in [0, 2] {
            let caller = HttpClient::default();
            let answer =
                caller.get(&fleet.entries[number].caller_address, "/v1/entries").await?.json()?;
            let lines = answer["entries"].as_array().cloned().unwrap_or_default();
            let addresses: Vec<&Value> = lines.iter().map(|line| &line["address"]).collect();
            ensure!(!addresses.is_empty(), "the directory is empty");
            ensure!(
                !addresses.iter().any(|it| **it == address.as_str()),
                "the stopping entry is still listed in {addresses:?}"
            );
        }
        let bookings = {
            let (address, path) = (address.clone(), "/services/bookings/bookings");
            actix_rt::spawn(async move {
                let caller = HttpClient::with_key(TEAM_KEY);
                let mut done = Vec::new();
                for number in 0.. {
                    let key = format!("{prefix}late{number}");
                    let headers = [("idempotency-key", key.as_str())];
                    let body = json!({ "visit": key });
                    match caller.send("POST", &address, path, &headers, Some(&body)).await {
                        Ok(answer) if answer.outcome == "done" => done.push(key),
                        Ok(answer) if answer.code == "draining" => break,
                        Ok(answer) => anyhow::bail!("{} {}", answer.status, answer.text()),
                        Err(error) if format!("{error:#}").contains("onnect") => break,
                        Err(error) => return Err(error),
                    }
                    sleep(Duration::from_millis(5)).await;
                }
                Ok(done)
            })
        };
        // The calls of three workers overlap, so the entry is never idle until it refuses requests.
        let overlapping: Vec<_> = (0..3)
            .map(|worker| {
                let address = address.clone();
                actix_rt::spawn(async move {
                    let caller = HttpClient::with_key(TEAM_KEY);
                    sleep(Duration::from_millis(worker * 400)).await;
                    for number in 0.. {
                        let id = format!("overlapping-{worker}-{number}");
                        match common::chat(&caller, &address, &id, "Overlap.", 10_000).await {
                            Ok((_, chat)) if chat.complete => {}
                            Ok((answer, _)) if answer.code == "draining" => break,
                            Ok((answer, _)) => {
                                anyhow::bail!("{id}: {} {}", answer.status, answer.text())
                            }
                            Err(error) if format!("{error:#}").contains("onnect") => break,
                            Err(error) => return Err(error),
                        }
                    }
                    Ok(())
                })
            })
            .collect();
        // This caller never refreshes its directory and keeps its connection open.
        let caller = HttpClient::with_key(TEAM_KEY);
        let (mut answered, mut refused) = (0, 0);
        for number in 0.. {
            ensure!(
                stopped.elapsed() < Duration::from_secs(30),
                "the entry did not exit within 30 s"
            );
            let id = format!("late-{number}");
            match common::chat(&caller, &address, &id, "A late call.", 10_000).await {
                Ok((_, chat)) if chat.complete => answered += 1,
                Ok((answer, _)) => {
                    ensure!(answer.code == "draining", "{} {}", answer.status, answer.text());
                    refused += 1;
                    sleep(Duration::from_millis(10)).await;
                }
                Err(error) => {
                    let running =
                        fleet.entries[1].process.as_mut().is_some_and(|it| it.is_running());
                    let text = format!("{error:#}");
                    // A request may fail without an answer only if the connection cannot be opened or the
                    // process has exited.
                    ensure!(text.contains("onnect") || !running, "{id}: {text}");
                    break;
                }
            }
        }
        for calls in overlapping {
            calls.await??;
        }
        // The booking caller also ends with a `draining` refusal or a failed connection.
        let Ok(bookings) = bookings.await else { anyhow::bail!("the booking caller panicked") };
        let bookings = bookings?;
        ensure!(
            bookings.len() > 50,
            "the draining entry accepted only {} bookings",
            bookings.len()
        );
        ensure!(answered > 0, "the draining entry answered no caller with an outdated directory");
        println!("late calls: {answered} answered, {refused} refused");
        for stream in streams {
            let (answer, chat) = stream.await??;
            ensure!(chat.complete, "a stream was truncated: {} {}", answer.status, answer.text());
        }
        let Some(part) = fleet.entries[1].process.as_mut() else {
            anyhow::bail!("entry 1 has no process")
        };
        let status = part.wait(Duration::from_secs(5))?;
        ensure!(status.code() == Some(0), "the entry exited with {status}, not code 0");
        ensure!(
            stopped.elapsed() >= Duration::from_secs(10),
            "the entry exited before the directory's TTL of 10 s"
        );
        Ok(())
    })
}

/// Guards against an entry that answers before it has a configuration. An `unauthorized` answer
/// would keep the caller from trying the next address, and a booking must not be accepted.
#[test]
fn starting_entry_refuses_with_draining() -> anyhow::Result<()> {
    common::run_test(async {
        let options = Options { entries: 1, ..Options::default() };
        let mut fleet = common::start_serving_fleet("starting-entry", options, 2).await?;
        fleet.kill_entry(0);
        fleet.set_fault(&fleet.log_address, &json!({ "fault": "down" })).await?;
        fleet.restart_entry(0)?;
        let (caller, address) =
            (HttpClient::with_key(TEAM_KEY), fleet.entries[0].caller_address.clone());
        let body = common::chat_body("Summarise.");
        for path in ["/v1/chat/completions", "/services/bookings/bookings"] {
            let answer = caller.post(&address, path, &body).await?;
            ensure!(answer.status == 503, "{path}: {} {}", answer.status, answer.text());
            ensure!(answer.code == "draining", "{path}: {}", answer.text());
            ensure!(answer.outcome.is_empty(), "{path}: {}", answer.outcome);
        }
        let ready = caller.get(&address, "/readyz").await?;
        ensure!(ready.status == 503, "{} {}", ready.status, ready.text());
        fleet.set_fault(&fleet.log_address, &json!({ "fault": "none" })).await?;
        fleet.wait_until_ready(0, Duration::from_secs(10)).await?;
        fleet.wait_for_groups(2, Duration::from_secs(10)).await?;
        common::complete_chat(&caller, &[address], 0, "after", "Summarise.").await.map(|_| ())
    })
}
