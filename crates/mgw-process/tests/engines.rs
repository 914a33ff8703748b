//! Model servers and booking servers that crash, stop responding or send invalid answers.

mod common;

use std::time::{Duration, Instant};

use anyhow::ensure;
use common::{BookingOutcome, sleep};
use mgw_process::client::HttpClient;
use mgw_process::fleet::{Fleet, Options, TEAM_KEY};
use serde_json::{Value, json};

/// Returns the groups known to entry `number`: id, whether the group is servable, and the names of
/// its members by rank.
async fn groups(fleet: &Fleet, number: usize) -> anyhow::Result<Vec<(u64, bool, Vec<String>)>> {
    let answer = common::operator_get(fleet, number, "groups").await?;
    let groups = answer["groups"].as_array().cloned().unwrap_or_default();
    Ok(groups
        .iter()
        .map(|group| {
            let members = group["members"].as_array().cloned().unwrap_or_default();
            let members =
                members.iter().filter_map(|it| it["instance"].as_str().map(str::to_owned));
            let id = group["group"].as_u64().unwrap_or_default();
            (id, group["servable"] == true, members.collect())
        })
        .collect())
}

/// Returns the index of the model server `name` in the fleet, or `usize::MAX` if there is none.
fn engine_index(fleet: &Fleet, name: &str) -> usize {
    fleet.engines.iter().position(|engine| engine.name == name).unwrap_or(usize::MAX)
}

/// Kills the member with `rank` of the first group while 12 streams are running.
///
/// Checks that each stream is complete or ends with an error, that the group is repaired within
/// 20 s, and that no entry admits a request to the group while it is closed.
async fn kill_member_during_streams(name: &str, rank: usize) -> anyhow::Result<()> {
    let options = Options { engines: 9, token_interval_us: 25_000, ..Options::default() };
    let mut fleet = common::start_serving_fleet(name, options, 3).await?;
    let addresses = common::addresses(&fleet);
    let caller = HttpClient::with_key(TEAM_KEY);
    let mut texts = Vec::new();
    for number in 0..12 {
        let (id, prompt) = (format!("before-{number}"), format!("Visit {number}."));
        let caller = caller.clone();
        let addresses = addresses.clone();
        texts.push(actix_rt::spawn(async move {
            common::complete_chat(&caller, &addresses, number, &id, &prompt).await
        }));
    }
    let mut expected = Vec::new();
    for text in texts {
        expected.push(text.await??.0);
    }
    let streams: Vec<_> = (0..12)
        .map(|number| {
            let address = addresses[number % addresses.len()].clone();
            actix_rt::spawn(async move {
                let caller = HttpClient::with_key(TEAM_KEY);
                let (id, prompt) = (format!("during-{number}"), format!("Visit {number}."));
                common::chat(&caller, &address, &id, &prompt, 20_000).await
            })
        })
        .collect();
    sleep(Duration::from_millis(200)).await;
    let (group, _, members) = groups(&fleet, 0).await?[0].clone();
    let victim = engine_index(&fleet, &members[rank]);
    fleet.kill_engine(victim);
    let killed = Instant::now();
    let mut complete = 0;
    for (number, stream) in streams.into_iter().enumerate() {
        let (answer, chat) = stream.await??;
        match chat.complete {
            true => {
                complete += 1;
                ensure!(chat.text == expected[number], "{number}: {}", answer.text());
            }
            false => {
                ensure!(answer.status != 200 || chat.has_error, "{number}: {}", answer.text());
                ensure!(expected[number].starts_with(&chat.text), "{number}: {}", answer.text());
            }
        }
    }
    println!("{complete} of 12 streams were complete");
    ensure!(complete >= 8, "only {complete} of 12 streams were complete");
    // Makes model calls until a spare has replaced the lost member.
    let mut number = 0;
    loop {
        let (id, place) = (format!("after-{number}"), number % 12);
        let prompt = format!("Visit {place}.");
        let (text, _) = common::complete_chat(&caller, &addresses, number, &id, &prompt).await?;
        ensure!(text == expected[place], "{id}: {text}");
        number += 1;
        let now = groups(&fleet, 0).await?;
        let lost = &members[rank];
        if now.iter().filter(|(_, servable, members)| *servable && !members.contains(lost)).count()
            >= 3
        {
            break;
        }
        ensure!(
            killed.elapsed() < Duration::from_secs(20),
            "the group was not repaired within 20 s: {now:?}"
        );
    }
    println!("the group was repaired after {:?}", killed.elapsed());
    for entry in 0..fleet.entries.len() {
        let mut open = true;
        for event in common::events(&fleet, entry).await? {
            if event["group"] != group {
                continue;
            }
            match event["event"].as_str().unwrap_or_default() {
                "group_closed" => open = false,
                "group_servable" => open = true,
                "request_admitted" => ensure!(open, "a closed group was sent a request: {event}"),
                _ => {}
            }
        }
    }
    Ok(())
}

/// Guards against an answer that ends early with `[DONE]`, a text mixed from two answers, requests
/// to a closed group, and a spare that is not used, when the member that sends the stream dies.
#[test]
fn first_member_dies_in_mid_stream() -> anyhow::Result<()> {
    common::run_test(kill_member_during_streams("first-member", 0))
}

/// Guards against the same failures when a member dies that does not send the stream.
#[test]
fn second_member_dies_in_mid_stream() -> anyhow::Result<()> {
    common::run_test(kill_member_during_streams("second-member", 1))
}

/// Guards against a truncated answer that ends with `[DONE]` or without an error when no other
/// group can continue it, and against callers that are not told that no group is complete.
#[test]
fn only_group_dies_in_mid_stream() -> anyhow::Result<()> {
    common::run_test(async {
        let options = Options {
            engines: 1,
            group_size: 1,
            replicas: 1,
            token_interval_us: 25_000,
            ..Options::default()
        };
        let mut fleet = common::start_serving_fleet("only-group", options, 1).await?;
        let addresses = common::addresses(&fleet);
        let caller = HttpClient::with_key(TEAM_KEY);
        let prompt = "Summarise the visit.";
        let (text, _) = common::complete_chat(&caller, &addresses, 0, "before", prompt).await?;
        let streams: Vec<_> = (0..6)
            .map(|number| {
                let address = addresses[number % addresses.len()].clone();
                actix_rt::spawn(async move {
                    let caller = HttpClient::with_key(TEAM_KEY);
                    let id = format!("during-{number}");
                    common::chat(&caller, &address, &id, prompt, 5_000).await
                })
            })
            .collect();
        sleep(Duration::from_millis(250)).await;
        fleet.kill_engine(0);
        let killed = Instant::now();
        sleep(Duration::from_secs(2)).await;
        let closed = common::operator_get(&fleet, 0, "groups").await?;
        let reason = closed["groups"][0]["reason"].as_str().unwrap_or_default();
        ensure!(!reason.is_empty(), "the closed group has no reason: {closed}");
        for stream in streams {
            let (answer, chat) = stream.await??;
            ensure!(!chat.complete, "a truncated answer was marked as complete: {}", answer.text());
            ensure!(
                answer.status != 200 || chat.has_error,
                "a truncated stream has no error event: {}",
                answer.text()
            );
            ensure!(chat.text.len() < text.len() && text.starts_with(&chat.text), "{}", chat.text);
        }
        ensure!(
            killed.elapsed() < Duration::from_secs(6),
            "the streams ended later than 6 s after the kill"
        );
        let start = Instant::now();
        loop {
            let (answer, _) = common::chat(&caller, &addresses[0], "none", prompt, 5_000).await?;
            if answer.code == "no_complete_group" {
                break;
            }
            ensure!(start.elapsed() < Duration::from_secs(5), "{}", answer.text());
            sleep(Duration::from_millis(50)).await;
        }
        fleet.restart_engine(0)?;
        fleet.wait_for_groups(1, Duration::from_secs(15)).await?;
        let (after, _) = common::complete_chat(&caller, &addresses, 0, "after", prompt).await?;
        ensure!(after == text, "after the restart got {after}, expected {text}");
        Ok(())
    })
}

/// Guards against unbounded waits for servers that accept a request and never answer.
#[test]
fn silent_servers_delay_within_the_deadline() -> anyhow::Result<()> {
    common::run_test(async {
        let fleet = common::start_serving_fleet("silent", Options::default(), 2).await?;
        let caller = HttpClient::with_key(TEAM_KEY);
        let addresses = common::addresses(&fleet);
        let deadline = Duration::from_millis(3_000);
        let slack = Duration::from_millis(700);
        let first: Vec<usize> = groups(&fleet, 0)
            .await?
            .iter()
            .map(|(_, _, members)| engine_index(&fleet, &members[0]))
            .collect();
        fleet.set_fault(&fleet.engines[first[0]].address, &json!({ "fault": "silent" })).await?;
        for service in &fleet.booking_servers {
            fleet.set_fault(&service.address, &json!({ "fault": "silent" })).await?;
        }
        let mut calls = Vec::new();
        for number in 0..9 {
            let (caller, addresses) = (caller.clone(), addresses.clone());
            calls.push(actix_rt::spawn(async move {
                let address = &addresses[number % addresses.len()];
                let start = Instant::now();
                let reply = match number % 3 {
                    0 => {
                        let id = format!("silent-{number}");
                        let (answer, chat) =
                            common::chat(&caller, address, &id, "Summarise.", 3_000).await?;
                        ensure!(
                            chat.complete || !answer.code.is_empty() || chat.has_error,
                            "{}",
                            answer.text()
                        );
                        answer.code
                    }
                    1 => {
                        let key = format!("silent-{number}");
                        let outcome =
                            common::book(&caller, &addresses, number, &key, 3_000).await?;
                        // The call was sent and not answered, so the booking cannot be done.
                        ensure!(outcome != BookingOutcome::Done, "a silent server answered");
                        format!("{outcome:?}")
                    }
                    _ => {
                        let headers = [("x-deadline-ms", "3000")];
                        let path = "/services/bookings/stock?item=a";
                        let answer = caller.send("GET", address, path, &headers, None).await?;
                        answer.code
                    }
                };
                Ok((start.elapsed(), reply))
            }));
        }
        for call in calls {
            let (elapsed, reply) = call.await??;
            ensure!(
                elapsed < deadline + slack,
                "{reply} after {elapsed:?}, limit {deadline:?} + {slack:?}"
            );
        }
        Ok(())
    })
}

/// Guards against an answer that contains the text of another request, a duplicate chunk or a gap.
#[test]
fn garbled_answers_are_not_passed_on() -> anyhow::Result<()> {
    common::run_test(async {
        let fleet = common::start_serving_fleet("garbled", Options::default(), 2).await?;
        let caller = HttpClient::with_key(TEAM_KEY);
        let addresses = common::addresses(&fleet);
        let prompt = "Summarise the visit to the cellar.";
        let (text, _) = common::complete_chat(&caller, &addresses, 0, "plain", prompt).await?;
        let faults = [
            json!({ "fault": "other_id", "id": "somebody-else", "count": 1 }),
            json!({ "fault": "duplicate" }),
            json!({ "fault": "duplicate", "at": 3 }),
            json!({ "fault": "cut", "after": 5, "count": 1 }),
            json!({ "fault": "cut", "after": 0, "count": 1 }),
        ];
        for (number, fault) in faults.iter().enumerate() {
            for engine in &fleet.engines {
                fleet.set_fault(&engine.address, fault).await?;
            }
            let id = format!("garbled-{number}");
            let (answer, chat) =
                common::chat(&caller, &addresses[number % 3], &id, prompt, 10_000).await?;
            match chat.complete {
                true => ensure!(chat.text == text, "{fault}: {}", answer.text()),
                false => {
                    ensure!(answer.status != 200 || chat.has_error, "{fault}: {}", answer.text());
                    ensure!(text.starts_with(&chat.text), "{fault}: {}", answer.text());
                }
            }
            println!("{fault}: complete {}", chat.complete);
            if fault["fault"] == "other_id" {
                let mut discarded = 0;
                for entry in 0..fleet.entries.len() {
                    let events = common::events(&fleet, entry).await?;
                    let of_call = events.iter().filter(|event| event["request"] == id.as_str());
                    discarded +=
                        of_call.filter(|event| event["event"] == "answer_discarded").count();
                }
                ensure!(
                    discarded > 0,
                    "no event shows that the answer to another request was discarded"
                );
            }
            // A duplicate chunk is dropped, and a stream that is cut once is resumed at the same
            // model server, so both must give a complete answer.
            let must_complete = fault["fault"] != "other_id";
            ensure!(
                chat.complete || !must_complete,
                "{fault}: {} {}",
                answer.status,
                answer.text()
            );
            for engine in &fleet.engines {
                fleet.set_fault(&engine.address, &json!({ "fault": "none" })).await?;
            }
            // A team with little traffic may switch to another group at most once per second.
            sleep(Duration::from_millis(1_100)).await;
            let id = format!("healthy-{number}");
            let (answer, _) =
                common::complete_chat(&caller, &addresses, number, &id, prompt).await?;
            ensure!(answer == text, "after {fault}: {answer}");
        }
        Ok(())
    })
}

/// Guards against a request that crashes one group after another, whether it is sent to one entry
/// or to several, and against a quarantine that also blocks other requests.
#[test]
fn crashing_request_is_quarantined() -> anyhow::Result<()> {
    common::run_test(async {
        let options = Options { engines: 9, replicas: 3, ..Options::default() };
        let mut fleet = common::start_serving_fleet("crashing-request", options, 3).await?;
        let caller = HttpClient::with_key(TEAM_KEY);
        let addresses = common::addresses(&fleet);
        for engine in &fleet.engines {
            let fault = json!({ "fault": "crash_on", "text": "POISON" });
            fleet.set_fault(&engine.address, &fault).await?;
        }
        let mut quarantined = 0;
        let start = Instant::now();
        for number in 0.. {
            ensure!(
                start.elapsed() < Duration::from_secs(40),
                "the request was not quarantined within 40 s"
            );
            let id = format!("poison-{number}");
            let address = &addresses[number % addresses.len()];
            let (answer, chat) = common::chat(&caller, address, &id, "POISON", 10_000).await?;
            ensure!(!chat.complete, "the crashing request was answered: {}", answer.text());
            let other = format!("other-{number}");
            let prompt = format!("Summarise visit {number}.");
            let deadline = Instant::now() + Duration::from_secs(15);
            while common::complete_chat(&caller, &addresses, number, &other, &prompt).await.is_err()
            {
                ensure!(Instant::now() < deadline, "other requests of the team are not answered");
            }
            match answer.code.as_str() {
                "request_quarantined" => quarantined += 1,
                _ => quarantined = 0,
            }
            // Stops once every entry in turn has refused the request as quarantined.
            if quarantined >= addresses.len() {
                break;
            }
            sleep(Duration::from_millis(100)).await;
        }
        let crashed = fleet
            .engines
            .iter_mut()
            .filter_map(|engine| engine.process.as_mut())
            .filter_map(|part| (!part.is_running()).then_some(()))
            .count();
        println!("{crashed} engines crashed");
        ensure!((1..=3).contains(&crashed), "{crashed} engines crashed, expected 1 to 3");
        // A crash that is not attributed to the request would have to be repeated before the
        // request is quarantined.
        let mut blamed = 0;
        for entry in 0..fleet.entries.len() {
            let events = common::events(&fleet, entry).await?;
            blamed += events.iter().filter(|event| event["event"] == "crash_blamed").count();
        }
        ensure!(blamed >= crashed, "{blamed} of {crashed} crashes were attributed to the request");
        let body: Value = common::chat_body("POISON");
        let answer = caller.post(&addresses[0], "/v1/chat/completions", &body).await?;
        ensure!(answer.status == 422, "{} {}", answer.status, answer.text());
        Ok(())
    })
}
