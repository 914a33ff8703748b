//! Outages of the log service and concurrent publications of configuration versions.

mod common;

use std::time::{Duration, Instant};

use anyhow::ensure;
use common::{BookingOutcome, Load, LoadMix, sleep};
use mgw_process::client::HttpClient;
use mgw_process::fleet::{Options, TEAM_KEY};
use serde_json::json;

/// Guards against model calls and bookings with entry keys that depend on the log service, entries
/// that cannot restart without it, and a publication that takes effect later than 10 s after the
/// outage.
#[test]
fn log_service_is_down() -> anyhow::Result<()> {
    common::run_test(async {
        let mut fleet = common::start_serving_fleet("log-down", Options::default(), 2).await?;
        let load = Load::start(&fleet, LoadMix { chats: 4, entry_keys: 3, opaque_keys: 0 }).await?;
        fleet.set_fault(&fleet.log_address, &json!({ "fault": "down" })).await?;
        sleep(Duration::from_secs(1)).await;
        let (chats, bookings) = (load.chats.get(), load.outcomes());
        fleet.kill_entry(2);
        fleet.restart_entry(2)?;
        fleet.wait_until_ready(2, Duration::from_secs(10)).await?;
        let caller = HttpClient::with_key(TEAM_KEY);
        let address = fleet.entries[2].caller_address.clone();
        let start = Instant::now();
        loop {
            let (answer, chat) =
                common::chat(&caller, &address, "at-restarted", "Summarise.", 5_000).await?;
            if chat.complete {
                break;
            }
            let text = answer.text();
            ensure!(start.elapsed() < Duration::from_secs(5), "{} {text}", answer.status);
            sleep(Duration::from_millis(100)).await;
        }
        sleep(Duration::from_secs(2)).await;
        ensure!(load.chats.get() > chats + 10, "model calls stopped during the outage");
        ensure!(load.outcomes() > bookings + 10, "bookings stopped during the outage");
        // An opaque key cannot be claimed during the outage, so a booking under it must not run.
        let addresses = common::addresses(&fleet);
        let opaque = common::book(&caller, &addresses[..1], 0, "opaque-in-outage", 1_500).await?;
        ensure!(opaque != BookingOutcome::Done, "a booking with an opaque key ran without a claim");
        fleet.set_fault(&fleet.log_address, &json!({ "fault": "none" })).await?;
        let restored = Instant::now();
        let sheet = fleet.sheet().replace("100000000", "90000000");
        let version = loop {
            match common::publish_version(&fleet, "after", &sheet) {
                Ok(version) => break version,
                Err(error) => ensure!(restored.elapsed() < Duration::from_secs(10), "{error:#}"),
            }
            sleep(Duration::from_millis(200)).await;
        };
        let remaining = Duration::from_secs(10).saturating_sub(restored.elapsed());
        common::wait_for_version(&fleet, version, remaining).await?;
        let mut outcomes = load.finish().await?;
        // Checks that the booking servers counted no run for the opaque key.
        outcomes.push(("opaque-in-outage".to_owned(), BookingOutcome::NotRun));
        common::check_run_counts(&fleet, &outcomes).await
    })
}

/// Guards against a lost append reply that is treated as a refusal or leads to a second append: a
/// publication reported as failed or applied twice, and a booking dispatched twice or answered as
/// unknown.
#[test]
fn append_replies_are_lost() -> anyhow::Result<()> {
    common::run_test(async {
        let fleet = common::start_serving_fleet("append-lost", Options::default(), 2).await?;
        let load = Load::start(&fleet, LoadMix { chats: 1, entry_keys: 0, opaque_keys: 6 }).await?;
        let mut last = 0;
        for number in 0..4 {
            fleet.set_fault(&fleet.log_address, &json!({ "fault": "lost", "count": 5 })).await?;
            let sheet = fleet.sheet().replace("100000000", &format!("9000000{number}"));
            let version = common::publish_version(&fleet, &format!("lost-{number}"), &sheet)?;
            ensure!(version > last, "version {version} is not newer than version {last}");
            last = version;
            common::wait_for_version(&fleet, version, Duration::from_secs(10)).await?;
            sleep(Duration::from_millis(300)).await;
        }
        let outcomes = load.finish().await?;
        ensure!(outcomes.len() > 20, "only {} bookings have an outcome", outcomes.len());
        let not_done =
            outcomes.iter().filter(|(_, outcome)| *outcome != BookingOutcome::Done).count();
        ensure!(not_done == 0, "{not_done} of {} bookings are not done", outcomes.len());
        let config = common::operator_get(&fleet, 0, "config").await?;
        let history = config["history"].as_array().cloned().unwrap_or_default();
        // The empty initial configuration, the sheet of the fleet, and four publications.
        ensure!(history.len() == 6, "expected 6 versions, one per publication: {history:?}");
        common::check_run_counts(&fleet, &outcomes).await
    })
}

/// Guards against a publication that overwrites a concurrent one with the same base version, and
/// against a rejected publication whose operator is not told the reason.
#[test]
fn two_operators_publish_at_once() -> anyhow::Result<()> {
    common::run_test(async {
        let fleet = common::start_serving_fleet("operators-race", Options::default(), 2).await?;
        for round in 0..3 {
            let base = common::config_version(&fleet, 0).await?.to_string();
            let fleet = &fleet;
            let results = std::thread::scope(|scope| {
                let handles: Vec<_> = (0..2)
                    .map(|operator| {
                        let base = base.clone();
                        scope.spawn(move || {
                            let rate = format!("9{round}{operator}000000");
                            let sheet = fleet.sheet().replace("100000000", &rate);
                            let name = format!("race-{round}-{operator}");
                            common::publish(fleet, &name, &sheet, &["--base", &base])
                        })
                    })
                    .collect();
                handles.into_iter().map(|it| it.join()).collect::<Vec<_>>()
            });
            let mut codes = Vec::new();
            for result in results {
                let Ok(result) = result else { anyhow::bail!("a thread panicked") };
                let (code, text) = result?;
                if code == 3 {
                    let explained = text.contains("base is outdated") && text.contains("dispatch");
                    ensure!(explained, "the rejected publication gives no reason: {text}");
                }
                codes.push(code);
            }
            codes.sort_unstable();
            ensure!(codes == [0, 3], "the two publications exited with {codes:?}, not [0, 3]");
        }
        Ok(())
    })
}
