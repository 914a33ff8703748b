//! Tests of delayed reports, lost events and dropped records.

use std::time::Duration;

use mgw_standin::server::Handle;
use mgw_standin::{engine, log};
use serde_json::{Value, json};

/// Delay of the load figures and of the cache events.
const LAG: Duration = Duration::from_millis(200);

/// Returns the JSON body of the response to `GET path`.
async fn get(handle: &Handle, path: &str) -> Value {
    let url = format!("http://{}{path}", handle.address);
    let mut answer = awc::Client::default().get(url).send().await.expect("answer");
    serde_json::from_slice(&answer.body().await.expect("body")).expect("JSON")
}

/// Sends `body` to `path` and returns the response's status code.
async fn post(handle: &Handle, path: &str, body: Value) -> u16 {
    let url = format!("http://{}{path}", handle.address);
    let answer = awc::Client::default().post(url).send_json(&body).await.expect("answer");
    answer.status().as_u16()
}

/// Guards against load figures without delay and cache events without delay or losses. Tests
/// against such a stand-in would not exercise how routing handles stale figures and missing events.
#[actix_rt::test]
async fn load_and_cache_events_are_late_and_cache_events_get_lost() {
    let handle = engine::start(engine::Options {
        boot_id: "b1".into(),
        load_time: Duration::ZERO,
        block_prefill_time: Duration::ZERO,
        token_interval: Duration::from_millis(20),
        load_report_max_age: LAG,
        cache_event_delay: LAG,
        cache_event_loss_period: 3,
        ..engine::Options::default()
    })
    .expect("stand-in");
    let order = json!({
        "fence": 1, "group": 1, "order": "load", "model": "m", "version": "1", "adapters": [],
        "members": [handle.address.to_string()], "rank": 0, "boot": "b1",
    });
    assert_eq!(post(&handle, "/orders", order).await, 200);
    let mut status = get(&handle, "/status").await;
    for _ in 0..100 {
        if status["state"] != "ready" {
            actix_rt::time::sleep(Duration::from_millis(5)).await;
            status = get(&handle, "/status").await;
        }
    }
    // Let the cached load figures expire, so that the next status request measures them anew.
    actix_rt::time::sleep(LAG).await;
    assert_eq!(get(&handle, "/status").await["running"], 0);
    let url = format!("http://{}/v1/chat/completions", handle.address);
    let body = json!({
        "model": "m", "stream": true, "messages": [{ "role": "user", "content": "x".repeat(320) }],
    });
    let request = awc::Client::default().post(url).send_json(&body).await.expect("answer");
    let delayed_status = get(&handle, "/status").await;
    let delayed_events = get(&handle, "/cache/events?from=0").await;
    actix_rt::time::sleep(2 * LAG).await;
    assert_eq!(delayed_status["running"], 0);
    assert_eq!(delayed_events["events"], json!([]));
    assert_eq!(get(&handle, "/status").await["running"], 1);
    let events = get(&handle, "/cache/events?from=0").await;
    let numbers: Vec<_> =
        events["events"].as_array().expect("events").iter().map(|event| &event["n"]).collect();
    assert_eq!(numbers, [0, 1, 3, 4]);
    drop(request);
}

/// Guards against a log that retains more than `max_bytes`.
#[actix_rt::test]
async fn the_log_drops_records_beyond_its_byte_limit() {
    let handle =
        log::start(log::Options { max_bytes: 25, ..log::Options::default() }).expect("log");
    let url = format!("http://{}/log/control/records", handle.address);
    let mut record = 10_u32.to_be_bytes().to_vec();
    record.extend_from_slice(b"0123456789");
    let response =
        awc::Client::default().post(&url).send_body(record.repeat(3)).await.expect("answer");
    assert_eq!(response.status(), 200);
    let answer = awc::Client::default().get(url + "?from=0").send().await.expect("answer");
    assert_eq!(answer.status(), 410);
    assert_eq!(answer.headers().get("x-log-first").expect("first"), "1");
    assert_eq!(answer.headers().get("x-log-next").expect("next"), "3");
}
