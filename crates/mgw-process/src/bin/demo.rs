//! Runs the whole path once: starts every part, publishes a sheet, makes a model call and a
//! booking, prints the answers and a time line, and stops what it started.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::ensure;
use mgw_process::client::{HttpClient, parse_chat_stream};
use mgw_process::fleet::{Fleet, Options, TEAM_KEY};
use serde_json::{Value, json};

/// Time for the groups to load and serve.
const LOADED: Duration = Duration::from_secs(30);

fn main() -> anyhow::Result<()> {
    let folder = std::env::args_os().nth(1).map_or_else(|| "target/demo".into(), PathBuf::from);
    // The number of an entry to kill during the model call, from 1; none by default.
    let victim = std::env::args().nth(2).and_then(|text| text.parse::<usize>().ok());
    actix_rt::System::new().block_on(run(folder, victim))
}

async fn run(folder: PathBuf, victim: Option<usize>) -> anyhow::Result<()> {
    println!("starting stand-ins and entries");
    let mut fleet = Fleet::start(&folder, Options::default()).await?;
    println!("{}", fleet.publish()?.trim_end());
    fleet.wait_for_groups(2, LOADED).await?;
    let output = fleet.run_tool(&["show", "groups"])?;
    println!("{}", String::from_utf8_lossy(&output.stdout).trim_end());

    let caller = HttpClient::with_key(TEAM_KEY);
    let entries = directory(&caller, &fleet).await?;
    println!("addresses learned from the system: {}", addresses(&entries).join(" "));

    let doomed = victim.filter(|victim| (1..=fleet.entries.len()).contains(victim));
    let chat = call_model(&caller, &entries, &mut fleet, doomed).await?;
    println!("model call: {} chunks: {}", chat.0, chat.1);
    let booking = book(&caller, &entries).await?;
    println!("booking: {booking}");

    let output = fleet.run_tool(&["timeline"])?;
    println!("time line:\n{}", String::from_utf8_lossy(&output.stdout).trim_end());
    ensure!(output.status.success(), "the time line is incomplete");
    println!("ok");
    Ok(())
}

async fn directory(caller: &HttpClient, fleet: &Fleet) -> anyhow::Result<Vec<Value>> {
    let answer = caller.get(&fleet.entries[0].caller_address, "/v1/entries").await?.json()?;
    let entries = answer["entries"].as_array().cloned().unwrap_or_default();
    ensure!(entries.len() == fleet.entries.len(), "the directory names {} entries", entries.len());
    Ok(entries)
}

fn addresses(entries: &[Value]) -> Vec<&str> {
    entries.iter().filter_map(|entry| entry["address"].as_str()).collect()
}

/// Makes a streamed model call, at the next entry if the first one fails.
async fn call_model(
    caller: &HttpClient,
    entries: &[Value],
    fleet: &mut Fleet,
    victim: Option<usize>,
) -> anyhow::Result<(usize, String)> {
    let body = json!({
        "model": "draft",
        "stream": true,
        "messages": [{ "role": "user", "content": "Summarise the visit to the leaking boiler." }],
    });
    let headers = [("x-request-id", "demo-chat")];
    for address in addresses(entries) {
        let send = caller.send("POST", address, "/v1/chat/completions", &headers, Some(&body));
        let cut = async {
            if let Some(victim) = victim {
                actix_rt::time::sleep(Duration::from_millis(150)).await;
                fleet.kill_entry(victim - 1);
                println!("killed entry e{victim}");
            }
        };
        let (answer, ()) = futures_util::future::join(send, cut).await;
        let Ok(answer) = answer else { continue };
        let chat = parse_chat_stream(&answer.text());
        if answer.status == 200 && chat.complete {
            ensure!(chat.chunks > 0, "the answer is empty");
            return Ok((chat.chunks, chat.text));
        }
    }
    anyhow::bail!("no entry answered the model call in full")
}

/// Makes a booking whose key names the first entry, and retries it with the same key elsewhere.
async fn book(caller: &HttpClient, entries: &[Value]) -> anyhow::Result<String> {
    let prefix = entries[0]["key_prefix"].as_str().unwrap_or_default();
    let key = format!("{prefix}demo-booking");
    let headers = [("idempotency-key", key.as_str()), ("x-request-id", "demo-booking")];
    let body = json!({ "visit": "acoustic survey", "street": "Horná 7" });
    let mut last = String::from("no entry answered");
    for address in addresses(entries) {
        let path = "/services/bookings/bookings";
        match caller.send("POST", address, path, &headers, Some(&body)).await {
            Ok(answer) if answer.outcome == "done" => {
                return Ok(format!("{} {}", answer.outcome, answer.text()));
            }
            Ok(answer) => last = format!("{} {}", answer.outcome, answer.text()),
            Err(error) => last = error.to_string(),
        }
    }
    anyhow::bail!("the booking was not done: {last}")
}
