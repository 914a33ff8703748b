//! End-to-end demo: starts a deployment, publishes a sheet, makes a model call and a booking, prints
//! the responses and the timeline, and stops the deployment.
//!
//! Arguments, both optional: the folder for log files and the number, from 1, of an entry to kill
//! during the model call.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::ensure;
use mgw_process::client::{HttpClient, parse_chat_stream};
use mgw_process::fleet::{Fleet, Options, TEAM_KEY};
use serde_json::{Value, json};

/// Limit on the time until the groups have loaded their weights and are servable.
const LOAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay between the start of the model call and the kill of an entry.
const KILL_DELAY: Duration = Duration::from_millis(150);

fn main() -> anyhow::Result<()> {
    let folder = std::env::args_os().nth(1).map_or_else(|| "target/demo".into(), PathBuf::from);
    // Number of the entry to kill during the model call, from 1. Without a valid number none is
    // killed.
    let victim = std::env::args().nth(2).and_then(|text| text.parse::<usize>().ok());
    actix_rt::System::new().block_on(run(folder, victim))
}

async fn run(folder: PathBuf, victim: Option<usize>) -> anyhow::Result<()> {
    println!("starting the stand-ins and the entries");
    let mut fleet = Fleet::start(&folder, Options::default()).await?;
    println!("{}", fleet.publish()?.trim_end());
    fleet.wait_for_groups(2, LOAD_TIMEOUT).await?;
    let output = fleet.run_tool(&["show", "groups"])?;
    println!("{}", String::from_utf8_lossy(&output.stdout).trim_end());

    let client = HttpClient::with_key(TEAM_KEY);
    let entries = fetch_directory(&client, &fleet).await?;
    println!("entry addresses from the directory: {}", addresses(&entries).join(" "));

    let entry_to_kill = victim.filter(|victim| (1..=fleet.entries.len()).contains(victim));
    let chat = call_model(&client, &entries, &mut fleet, entry_to_kill).await?;
    println!("model call: {} chunks: {}", chat.0, chat.1);
    let booking = book(&client, &entries).await?;
    println!("booking: {booking}");

    let output = fleet.run_tool(&["timeline"])?;
    println!("timeline:\n{}", String::from_utf8_lossy(&output.stdout).trim_end());
    ensure!(
        output.status.success(),
        "the timeline is incomplete: the tool ended with {}",
        output.status
    );
    println!("ok");
    Ok(())
}

/// Reads the directory of entries from the first entry, and checks that it lists all entries.
async fn fetch_directory(client: &HttpClient, fleet: &Fleet) -> anyhow::Result<Vec<Value>> {
    let response = client.get(&fleet.entries[0].caller_address, "/v1/entries").await?.json()?;
    let entries = response["entries"].as_array().cloned().unwrap_or_default();
    ensure!(
        entries.len() == fleet.entries.len(),
        "the directory lists {} entries, expected {}",
        entries.len(),
        fleet.entries.len()
    );
    Ok(entries)
}

/// Returns the caller addresses of directory entries.
fn addresses(entries: &[Value]) -> Vec<&str> {
    entries.iter().filter_map(|entry| entry["address"].as_str()).collect()
}

/// Makes a streamed model call, and retries it at the next entry until one streams a complete
/// response. With `victim`, kills that entry shortly after each attempt starts. Returns the number of
/// chunks and the text.
async fn call_model(
    client: &HttpClient,
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
        let send = client.send("POST", address, "/v1/chat/completions", &headers, Some(&body));
        let kill = async {
            if let Some(victim) = victim {
                actix_rt::time::sleep(KILL_DELAY).await;
                fleet.kill_entry(victim - 1);
                println!("killed entry e{victim}");
            }
        };
        let (response, ()) = futures_util::future::join(send, kill).await;
        let Ok(response) = response else { continue };
        let chat = parse_chat_stream(&response.text());
        if response.status == 200 && chat.complete {
            ensure!(chat.chunks > 0, "the completion from {address} has no content");
            return Ok((chat.chunks, chat.text));
        }
    }
    anyhow::bail!("no entry streamed a complete response to the model call")
}

/// Makes a booking whose idempotency key has the prefix of the first entry, and retries it with the
/// same key at the other entries until the outcome is `done`.
async fn book(client: &HttpClient, entries: &[Value]) -> anyhow::Result<String> {
    let prefix = entries[0]["key_prefix"].as_str().unwrap_or_default();
    let key = format!("{prefix}demo-booking");
    let headers = [("idempotency-key", key.as_str()), ("x-request-id", "demo-booking")];
    let body = json!({ "visit": "acoustic survey", "street": "Horná 7" });
    let mut last_result = String::from("the directory lists no address");
    for address in addresses(entries) {
        let path = "/services/bookings/bookings";
        match client.send("POST", address, path, &headers, Some(&body)).await {
            Ok(response) if response.outcome == "done" => {
                return Ok(format!("{} {}", response.outcome, response.text()));
            }
            Ok(response) => last_result = format!("{} {}", response.outcome, response.text()),
            Err(error) => last_result = error.to_string(),
        }
    }
    anyhow::bail!("the booking failed at every entry; last result: {last_result}")
}
