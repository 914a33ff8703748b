//! Fleets and callers for the process tests.

#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{bail, ensure};
use mgw_process::client::{Completion, HttpClient, Response, parse_chat_stream};
use mgw_process::fleet::{Fleet, OPERATOR_KEY, Options, TEAM_KEY};
use serde_json::{Value, json};

/// Bound of one test, beyond the bounds of its own waits.
const BOUND: Duration = Duration::from_secs(90);

/// Time for the groups to load and serve.
pub const LOADED: Duration = Duration::from_secs(30);

/// The folder for the logs of the test `name`.
pub fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join("process").join(name)
}

/// Runs one test on a runtime of its own.
pub fn run<F>(test: F) -> anyhow::Result<()>
where
    F: Future<Output = anyhow::Result<()>>,
{
    actix_rt::System::new().block_on(async {
        match actix_rt::time::timeout(BOUND, test).await {
            Ok(result) => result,
            Err(_) => bail!("the test did not end within {BOUND:?}"),
        }
    })
}

/// Starts a fleet, publishes its sheet and waits until `groups` groups serve.
pub async fn serving(name: &str, options: Options, groups: usize) -> anyhow::Result<Fleet> {
    let folder = folder(name);
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    let fleet = Fleet::start(&folder, options).await?;
    fleet.publish()?;
    fleet.wait_for_groups(groups, LOADED).await?;
    Ok(fleet)
}

/// Waits for `span`.
pub async fn sleep(span: Duration) {
    actix_rt::time::sleep(span).await;
}

/// The callers' addresses of all entries.
pub fn addresses(fleet: &Fleet) -> Vec<String> {
    fleet.entries.iter().map(|entry| entry.caller_address.clone()).collect()
}

/// The `key_prefix` of entry `number`, from its own directory.
pub async fn key_prefix(fleet: &Fleet, number: usize) -> anyhow::Result<String> {
    let address = &fleet.entries[number].caller_address;
    let answer = HttpClient::default().get(address, "/v1/entries").await?.json()?;
    let lines = answer["entries"].as_array().cloned().unwrap_or_default();
    let own = lines.iter().find(|line| line["address"] == address.as_str());
    match own.and_then(|line| line["key_prefix"].as_str()) {
        Some(prefix) => Ok(prefix.to_owned()),
        None => bail!("the directory does not name {address}"),
    }
}

/// The body of a streamed model call.
pub fn chat_body(prompt: &str) -> Value {
    json!({
        "model": "draft",
        "stream": true,
        "messages": [{ "role": "user", "content": prompt }],
    })
}

/// One streamed model call at one entry; an error if the connection fails.
pub async fn chat(
    caller: &HttpClient,
    address: &str,
    id: &str,
    prompt: &str,
    deadline_ms: u64,
) -> anyhow::Result<(Response, Completion)> {
    let deadline = deadline_ms.to_string();
    let headers = [("x-request-id", id), ("x-deadline-ms", deadline.as_str())];
    let body = chat_body(prompt);
    let answer =
        caller.send("POST", address, "/v1/chat/completions", &headers, Some(&body)).await?;
    let chat = parse_chat_stream(&answer.text());
    for line in answer.text().lines().filter_map(|line| line.strip_prefix("data: {")) {
        let event: Value = serde_json::from_str(&format!("{{{line}"))?;
        ensure!(
            event["error"].is_object() || event["id"] == id,
            "the answer to {id} names {event}"
        );
    }
    Ok((answer, chat))
}

/// A streamed model call at the first address that gives a whole answer. Returns its text and the
/// number of attempts.
pub async fn whole_chat(
    caller: &HttpClient,
    addresses: &[String],
    first: usize,
    id: &str,
    prompt: &str,
) -> anyhow::Result<(String, usize)> {
    let mut seen = Vec::new();
    // Two rounds, as an entry may be restarting while the first one is made.
    for attempt in 0..2 * addresses.len() {
        let address = &addresses[(first + attempt) % addresses.len()];
        match chat(caller, address, id, prompt, 20_000).await {
            Ok((answer, chat)) if answer.status == 200 && chat.complete => {
                ensure!(!chat.has_error, "{id} is whole and broken: {}", answer.text());
                return Ok((chat.text, attempt + 1));
            }
            Ok((answer, _)) => seen.push(format!("{} {}", answer.status, answer.text())),
            Err(error) => seen.push(error.to_string()),
        }
        sleep(Duration::from_millis(100)).await;
    }
    bail!("{id} got no whole answer: {seen:?}")
}

/// The outcome of a booking as its caller knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Booked {
    /// Run, with an answer.
    Done,
    /// Not run.
    NotRun,
    /// Not known.
    Unknown,
}

/// Makes a booking, with the same key at the next address after a lost connection or a refusal
/// that says nothing of the booking.
pub async fn book(
    caller: &HttpClient,
    addresses: &[String],
    first: usize,
    key: &str,
    deadline_ms: u64,
) -> anyhow::Result<Booked> {
    let deadline = deadline_ms.to_string();
    let headers = [("idempotency-key", key), ("x-deadline-ms", deadline.as_str())];
    let body = json!({ "visit": key });
    let mut seen = Vec::new();
    for attempt in 0..2 * addresses.len() {
        let address = &addresses[(first + attempt) % addresses.len()];
        let path = "/services/bookings/bookings";
        match caller.send("POST", address, path, &headers, Some(&body)).await {
            Ok(answer) => match (answer.outcome.as_str(), answer.code.as_str()) {
                ("done", "") => {
                    ensure!(answer.status == 200, "{key}: {} {}", answer.status, answer.text());
                    let content = answer.json()?;
                    ensure!(content["booked"]["visit"] == key, "{key} got {content}");
                    return Ok(Booked::Done);
                }
                ("not_run", "booking_not_run") => return Ok(Booked::NotRun),
                ("outcome_unknown", "booking_unknown") => return Ok(Booked::Unknown),
                // A starting or leaving entry refuses without a statement on the booking.
                ("", "draining") => seen.push("draining".to_owned()),
                _ => bail!("{key}: no outcome in {} {}", answer.status, answer.text()),
            },
            Err(error) => seen.push(error.to_string()),
        }
        sleep(Duration::from_millis(100)).await;
    }
    bail!("{key} got no outcome: {seen:?}")
}

/// Checks the outcomes of bookings against the runs that the booking servers counted.
pub async fn check_runs(fleet: &Fleet, outcomes: &[(String, Booked)]) -> anyhow::Result<()> {
    // A call that was written before a caller gave up may still arrive.
    sleep(Duration::from_millis(300)).await;
    let counts = fleet.booking_counts().await?;
    if let Some((key, count)) = counts.iter().find(|(_, count)| *count > 1) {
        bail!("{key} ran {count} times");
    }
    for (key, outcome) in outcomes {
        let count = counts.iter().find(|(known, _)| known == key).map_or(0, |(_, count)| *count);
        match outcome {
            Booked::Done => ensure!(count == 1, "{key} is done and ran {count} times"),
            Booked::NotRun => ensure!(count == 0, "{key} is not run and ran {count} times"),
            Booked::Unknown => {}
        }
    }
    Ok(())
}

/// Callers that make model calls and bookings until they are told to stop.
pub struct Load {
    stop: Rc<Cell<bool>>,
    /// Answered model calls.
    pub chats: Rc<Cell<usize>>,
    outcomes: Rc<RefCell<Vec<(String, Booked)>>>,
    faults: Rc<RefCell<Vec<String>>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

/// What a load does.
#[derive(Clone, Copy)]
pub struct Mix {
    /// Callers that make model calls.
    pub chats: usize,
    /// Callers that make bookings with keys that name an entry.
    pub named: usize,
    /// Callers that make bookings with opaque keys.
    pub opaque: usize,
}

impl Load {
    /// Starts callers; the texts of whole answers are compared with those of undisturbed ones.
    pub async fn start(fleet: &Fleet, mix: Mix) -> anyhow::Result<Self> {
        let load = Self {
            stop: Rc::default(),
            chats: Rc::default(),
            outcomes: Rc::default(),
            faults: Rc::default(),
            tasks: Vec::new(),
        };
        let addresses = Rc::new(addresses(fleet));
        let mut load = load;
        for worker in 0..mix.chats {
            let prompt = format!("Summarise visit {worker}.");
            let caller = HttpClient::with_key(TEAM_KEY);
            let (text, _) =
                whole_chat(&caller, &addresses, worker, &format!("first-{worker}"), &prompt)
                    .await?;
            let (stop, chats, faults) =
                (load.stop.clone(), load.chats.clone(), load.faults.clone());
            let addresses = addresses.clone();
            load.tasks.push(actix_rt::spawn(async move {
                for number in 0.. {
                    if stop.get() {
                        return;
                    }
                    let id = format!("chat-{worker}-{number}");
                    match whole_chat(&caller, &addresses, worker + number, &id, &prompt).await {
                        Ok((answer, _)) if answer == text => chats.set(chats.get() + 1),
                        Ok((answer, _)) => {
                            faults.borrow_mut().push(format!("{id}: {answer} is not {text}"));
                        }
                        Err(error) => faults.borrow_mut().push(format!("{error:#}")),
                    }
                }
            }));
        }
        for worker in 0..mix.named + mix.opaque {
            let named = worker < mix.named;
            let (stop, outcomes, faults) =
                (load.stop.clone(), load.outcomes.clone(), load.faults.clone());
            let addresses = addresses.clone();
            let caller = HttpClient::with_key(TEAM_KEY);
            load.tasks.push(actix_rt::spawn(async move {
                for number in 0.. {
                    if stop.get() {
                        return;
                    }
                    let first = worker + number;
                    let address = &addresses[first % addresses.len()];
                    let prefix = match named {
                        true => match prefix_from(&caller, address).await {
                            Some(prefix) => prefix,
                            // The entry is down; the next one is asked.
                            None => {
                                sleep(Duration::from_millis(50)).await;
                                continue;
                            }
                        },
                        false => "opaque-".to_owned(),
                    };
                    let key = format!("{prefix}{worker}x{number}");
                    match book(&caller, &addresses, first, &key, 10_000).await {
                        Ok(outcome) => outcomes.borrow_mut().push((key, outcome)),
                        Err(error) => faults.borrow_mut().push(format!("{error:#}")),
                    }
                    sleep(Duration::from_millis(20)).await;
                }
            }));
        }
        Ok(load)
    }

    /// The outcomes of the bookings so far.
    pub fn outcomes(&self) -> usize {
        self.outcomes.borrow().len()
    }

    /// Stops the callers, waits for their last answers and returns the outcomes of bookings.
    pub async fn finish(self) -> anyhow::Result<Vec<(String, Booked)>> {
        self.stop.set(true);
        for task in self.tasks {
            task.await?;
        }
        let faults = self.faults.borrow();
        ensure!(
            faults.is_empty(),
            "{} faults: {:#?}",
            faults.len(),
            &faults[..faults.len().min(5)]
        );
        Ok(self.outcomes.borrow().clone())
    }
}

async fn prefix_from(caller: &HttpClient, address: &str) -> Option<String> {
    let answer = caller.get(address, "/v1/entries").await.ok()?.json().ok()?;
    let lines = answer["entries"].as_array()?;
    let own = lines.iter().find(|line| line["address"] == address)?;
    own["key_prefix"].as_str().map(str::to_owned)
}

/// An answer of the operators interface of entry `number`.
pub async fn operator(fleet: &Fleet, number: usize, path: &str) -> anyhow::Result<Value> {
    let address = &fleet.entries[number].operator_address;
    HttpClient::with_key(OPERATOR_KEY).get(address, &format!("/operator/v1/{path}")).await?.json()
}

/// The events of entry `number`, oldest first.
pub async fn events(fleet: &Fleet, number: usize) -> anyhow::Result<Vec<Value>> {
    let address = &fleet.entries[number].operator_address;
    let mut events = Vec::new();
    let mut after = 0;
    loop {
        let path = format!("/operator/v1/events?after={after}");
        let text = HttpClient::with_key(OPERATOR_KEY).get(address, &path).await?.text();
        let batch: Vec<Value> = text.lines().map(serde_json::from_str).collect::<Result<_, _>>()?;
        match batch.last().and_then(|event| event["seq"].as_u64()) {
            Some(last) if last > after => after = last,
            _ => return Ok(events),
        }
        events.extend(batch);
    }
}

/// The version in force at entry `number`.
pub async fn version(fleet: &Fleet, number: usize) -> anyhow::Result<u64> {
    let config = operator(fleet, number, "config").await?;
    Ok(config["version"].as_u64().unwrap_or_default())
}

/// Waits until `version` is in force at every entry that runs.
pub async fn wait_for_version(fleet: &Fleet, wanted: u64, bound: Duration) -> anyhow::Result<()> {
    let start = Instant::now();
    loop {
        let mut seen = Vec::new();
        for number in 0..fleet.entries.len() {
            if fleet.entries[number].process.is_some() {
                seen.push(version(fleet, number).await.unwrap_or_default());
            }
        }
        if seen.iter().all(|version| *version == wanted) {
            return Ok(());
        }
        ensure!(start.elapsed() < bound, "after {bound:?} versions {seen:?} are in force");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Publishes `sheet` with the tool; returns its exit code and its output.
pub fn publish(
    fleet: &Fleet,
    name: &str,
    sheet: &str,
    more: &[&str],
) -> anyhow::Result<(i32, String)> {
    let file = fleet.folder.join(format!("{name}.csv"));
    std::fs::write(&file, sheet)?;
    let file = file.to_string_lossy().into_owned();
    let output = fleet.run_tool(&[&["publish", file.as_str()], more].concat())?;
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text).into_owned();
    Ok((output.status.code().unwrap_or(-1), text))
}

/// Publishes `sheet` and returns its version.
pub fn published(fleet: &Fleet, name: &str, sheet: &str) -> anyhow::Result<u64> {
    let (code, text) = publish(fleet, name, sheet, &["--json"])?;
    ensure!(code == 0, "publish exits with {code}: {text}");
    let answer: Value = serde_json::from_str(text.lines().next().unwrap_or_default())?;
    answer["version"].as_u64().ok_or_else(|| anyhow::anyhow!("no version in {text}"))
}
