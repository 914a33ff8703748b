//! Helpers shared by the process tests: fleet startup, client load and consistency checks.

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

/// Timeout of one whole test, in addition to the timeouts of its individual waits.
const TEST_TIMEOUT: Duration = Duration::from_secs(90);

/// Timeout for the groups of a new fleet to load their model and become servable.
pub const GROUPS_SERVABLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns the directory that holds the logs of the test `name`.
pub fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join("process").join(name)
}

/// Runs a test on a new Actix runtime and fails it after [`TEST_TIMEOUT`].
pub fn run_test<F>(test: F) -> anyhow::Result<()>
where
    F: Future<Output = anyhow::Result<()>>,
{
    actix_rt::System::new().block_on(async {
        match actix_rt::time::timeout(TEST_TIMEOUT, test).await {
            Ok(result) => result,
            Err(_) => bail!("the test did not end within {TEST_TIMEOUT:?}"),
        }
    })
}

/// Starts a fleet, publishes its sheet and waits until `groups` groups are servable.
///
/// Deletes the logs of an earlier run of the same test first.
pub async fn start_serving_fleet(
    name: &str,
    options: Options,
    groups: usize,
) -> anyhow::Result<Fleet> {
    let folder = folder(name);
    if folder.exists() {
        std::fs::remove_dir_all(&folder)?;
    }
    let fleet = Fleet::start(&folder, options).await?;
    fleet.publish()?;
    fleet.wait_for_groups(groups, GROUPS_SERVABLE_TIMEOUT).await?;
    Ok(fleet)
}

/// Suspends the calling task for `duration` without blocking the runtime.
pub async fn sleep(duration: Duration) {
    actix_rt::time::sleep(duration).await;
}

/// Returns the address of the callers interface of each entry, in fleet order.
pub fn addresses(fleet: &Fleet) -> Vec<String> {
    fleet.entries.iter().map(|entry| entry.caller_address.clone()).collect()
}

/// Returns the `key_prefix` of entry `number` from the directory that the entry itself serves.
pub async fn key_prefix(fleet: &Fleet, number: usize) -> anyhow::Result<String> {
    let address = &fleet.entries[number].caller_address;
    let answer = HttpClient::default().get(address, "/v1/entries").await?.json()?;
    let lines = answer["entries"].as_array().cloned().unwrap_or_default();
    let own = lines.iter().find(|line| line["address"] == address.as_str());
    match own.and_then(|line| line["key_prefix"].as_str()) {
        Some(prefix) => Ok(prefix.to_owned()),
        None => bail!("the directory of {address} has no key_prefix for that address"),
    }
}

/// Returns the request body of a streamed model call with one user message.
pub fn chat_body(prompt: &str) -> Value {
    json!({
        "model": "draft",
        "stream": true,
        "messages": [{ "role": "user", "content": prompt }],
    })
}

/// Sends one streamed model call to one entry.
///
/// Fails if the connection fails or if an event of the stream carries a request id other than
/// `id`.
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
            "the answer to {id} contains an event of another request: {event}"
        );
    }
    Ok((answer, chat))
}

/// Sends a streamed model call to one address after the other, beginning at index `first`, until
/// one gives a complete answer. Returns the text of the answer and the number of attempts.
pub async fn complete_chat(
    caller: &HttpClient,
    addresses: &[String],
    first: usize,
    id: &str,
    prompt: &str,
) -> anyhow::Result<(String, usize)> {
    let mut seen = Vec::new();
    // Each address is tried twice, since an entry may be restarting during the first round.
    for attempt in 0..2 * addresses.len() {
        let address = &addresses[(first + attempt) % addresses.len()];
        match chat(caller, address, id, prompt, 20_000).await {
            Ok((answer, chat)) if answer.status == 200 && chat.complete => {
                ensure!(!chat.has_error, "{id} is both complete and broken: {}", answer.text());
                return Ok((chat.text, attempt + 1));
            }
            Ok((answer, _)) => seen.push(format!("{} {}", answer.status, answer.text())),
            Err(error) => seen.push(error.to_string()),
        }
        sleep(Duration::from_millis(100)).await;
    }
    bail!("{id} got no complete answer from any entry, failed attempts: {seen:?}")
}

/// Outcome of a booking as reported to its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BookingOutcome {
    /// The booking ran and its answer was returned.
    Done,
    /// The booking did not run.
    NotRun,
    /// The entry cannot tell whether the booking ran.
    Unknown,
}

/// Makes a booking, beginning at address index `first`.
///
/// Retries with the same key at the next address after a lost connection or a `draining` refusal,
/// which states no outcome. Each address is tried at most twice.
pub async fn book(
    caller: &HttpClient,
    addresses: &[String],
    first: usize,
    key: &str,
    deadline_ms: u64,
) -> anyhow::Result<BookingOutcome> {
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
                    return Ok(BookingOutcome::Done);
                }
                ("not_run", "booking_not_run") => return Ok(BookingOutcome::NotRun),
                ("outcome_unknown", "booking_unknown") => return Ok(BookingOutcome::Unknown),
                // An entry that is starting or draining refuses without stating an outcome.
                ("", "draining") => seen.push("draining".to_owned()),
                _ => bail!(
                    "{key}: unexpected outcome or code in {} {}",
                    answer.status,
                    answer.text()
                ),
            },
            Err(error) => seen.push(error.to_string()),
        }
        sleep(Duration::from_millis(100)).await;
    }
    bail!("{key} got no outcome from any entry, failed attempts: {seen:?}")
}

/// Checks the reported outcomes of bookings against the run counts of the booking servers.
///
/// No booking may run more than once, even if its outcome is unknown.
pub async fn check_run_counts(
    fleet: &Fleet,
    outcomes: &[(String, BookingOutcome)],
) -> anyhow::Result<()> {
    // A call that was sent before its caller gave up may still reach a booking server.
    sleep(Duration::from_millis(300)).await;
    let counts = fleet.booking_counts().await?;
    if let Some((key, count)) = counts.iter().find(|(_, count)| *count > 1) {
        bail!("booking {key} ran {count} times");
    }
    for (key, outcome) in outcomes {
        let count = counts.iter().find(|(known, _)| known == key).map_or(0, |(_, count)| *count);
        match outcome {
            BookingOutcome::Done => {
                ensure!(count == 1, "booking {key} was reported as done but ran {count} times")
            }
            BookingOutcome::NotRun => {
                ensure!(count == 0, "booking {key} was reported as not run but ran {count} times")
            }
            BookingOutcome::Unknown => {}
        }
    }
    Ok(())
}

/// Background callers that make model calls and bookings until [`Load::finish`] is called.
pub struct Load {
    stop: Rc<Cell<bool>>,
    /// Number of model calls with a complete and correct answer.
    pub chats: Rc<Cell<usize>>,
    outcomes: Rc<RefCell<Vec<(String, BookingOutcome)>>>,
    faults: Rc<RefCell<Vec<String>>>,
    tasks: Vec<actix_rt::task::JoinHandle<()>>,
}

/// Number of callers of each kind in a [`Load`].
#[derive(Clone, Copy)]
pub struct LoadMix {
    /// Number of callers that make model calls.
    pub chats: usize,
    /// Number of callers that make bookings with keys that begin with the `key_prefix` of an entry.
    pub entry_keys: usize,
    /// Number of callers that make bookings with opaque keys, which name no entry.
    pub opaque_keys: usize,
}

impl Load {
    /// Starts the callers.
    ///
    /// Each model caller first makes one call without faults; the text of every later answer must
    /// equal the text of that first one.
    pub async fn start(fleet: &Fleet, mix: LoadMix) -> anyhow::Result<Self> {
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
                complete_chat(&caller, &addresses, worker, &format!("first-{worker}"), &prompt)
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
                    match complete_chat(&caller, &addresses, worker + number, &id, &prompt).await {
                        Ok((answer, _)) if answer == text => chats.set(chats.get() + 1),
                        Ok((answer, _)) => {
                            faults
                                .borrow_mut()
                                .push(format!("{id}: got {answer}, expected {text}"));
                        }
                        Err(error) => faults.borrow_mut().push(format!("{error:#}")),
                    }
                }
            }));
        }
        for worker in 0..mix.entry_keys + mix.opaque_keys {
            let entry_key = worker < mix.entry_keys;
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
                    let prefix = match entry_key {
                        true => match fetch_key_prefix(&caller, address).await {
                            Some(prefix) => prefix,
                            // The entry is down; continue with the next one.
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

    /// Returns the number of bookings with an outcome so far.
    pub fn outcomes(&self) -> usize {
        self.outcomes.borrow().len()
    }

    /// Stops the callers, waits for their last answers and returns the key and outcome of each
    /// booking. Fails if any caller recorded a fault.
    pub async fn finish(self) -> anyhow::Result<Vec<(String, BookingOutcome)>> {
        self.stop.set(true);
        for task in self.tasks {
            task.await?;
        }
        let faults = self.faults.borrow();
        ensure!(
            faults.is_empty(),
            "the load recorded {} faults, the first ones are {:#?}",
            faults.len(),
            &faults[..faults.len().min(5)]
        );
        Ok(self.outcomes.borrow().clone())
    }
}

/// Reads the `key_prefix` of the entry at `address`; `None` if the entry does not answer.
async fn fetch_key_prefix(caller: &HttpClient, address: &str) -> Option<String> {
    let answer = caller.get(address, "/v1/entries").await.ok()?.json().ok()?;
    let lines = answer["entries"].as_array()?;
    let own = lines.iter().find(|line| line["address"] == address)?;
    own["key_prefix"].as_str().map(str::to_owned)
}

/// Sends a GET request for `/operator/v1/{path}` to the operators interface of entry `number` and
/// returns the JSON body.
pub async fn operator_get(fleet: &Fleet, number: usize, path: &str) -> anyhow::Result<Value> {
    let address = &fleet.entries[number].operator_address;
    HttpClient::with_key(OPERATOR_KEY).get(address, &format!("/operator/v1/{path}")).await?.json()
}

/// Reads all events of entry `number` batch by batch, oldest first.
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

/// Returns the configuration version in force at entry `number`.
pub async fn config_version(fleet: &Fleet, number: usize) -> anyhow::Result<u64> {
    let config = operator_get(fleet, number, "config").await?;
    Ok(config["version"].as_u64().unwrap_or_default())
}

/// Waits until configuration version `wanted` is in force at every running entry.
pub async fn wait_for_version(fleet: &Fleet, wanted: u64, timeout: Duration) -> anyhow::Result<()> {
    let start = Instant::now();
    loop {
        let mut seen = Vec::new();
        for number in 0..fleet.entries.len() {
            if fleet.entries[number].process.is_some() {
                seen.push(config_version(fleet, number).await.unwrap_or_default());
            }
        }
        if seen.iter().all(|version| *version == wanted) {
            return Ok(());
        }
        ensure!(
            start.elapsed() < timeout,
            "after {timeout:?} versions {seen:?} are in force, not {wanted}"
        );
        sleep(Duration::from_millis(50)).await;
    }
}

/// Publishes `sheet` with the operators' tool and the additional arguments `extra_args`.
///
/// Returns the exit code of the tool, or -1 if a signal ended it, and its combined output.
pub fn publish(
    fleet: &Fleet,
    name: &str,
    sheet: &str,
    extra_args: &[&str],
) -> anyhow::Result<(i32, String)> {
    let file = fleet.folder.join(format!("{name}.csv"));
    std::fs::write(&file, sheet)?;
    let file = file.to_string_lossy().into_owned();
    let output = fleet.run_tool(&[&["publish", file.as_str()], extra_args].concat())?;
    let text = [output.stdout, output.stderr].concat();
    let text = String::from_utf8_lossy(&text).into_owned();
    Ok((output.status.code().unwrap_or(-1), text))
}

/// Publishes `sheet` with the operators' tool and returns the new configuration version.
pub fn publish_version(fleet: &Fleet, name: &str, sheet: &str) -> anyhow::Result<u64> {
    let (code, text) = publish(fleet, name, sheet, &["--json"])?;
    ensure!(code == 0, "publish exited with code {code}: {text}");
    let answer: Value = serde_json::from_str(text.lines().next().unwrap_or_default())?;
    answer["version"]
        .as_u64()
        .ok_or_else(|| anyhow::anyhow!("the output of publish contains no version: {text}"))
}
