//! Invalid and oversized input on the three interfaces of an entry: callers, operators and peers.

mod common;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Duration;

use anyhow::{Context, ensure};
use mgw_process::client::HttpClient;
use mgw_process::fleet::{OPERATOR_KEY, Options, TEAM_KEY};
use serde_json::json;

/// An executor key that ends after its prefix and lacks the random part.
const KEY_WITHOUT_RANDOM_PART: &str = "mgw1.0123456789abcdef.7.";

/// A request and its expected answer: method, path, headers, body, HTTP status, error code.
type Case<'a> = (
    &'static str,
    &'static str,
    Vec<(&'static str, &'static str)>,
    Option<&'a serde_json::Value>,
    u16,
    &'static str,
);

/// Sends `bytes` over a new TCP connection and returns the reply.
///
/// Reads until the peer closes the connection, a read takes 2 s, or the reply exceeds 64 KiB.
fn send_raw(address: &str, bytes: &[u8]) -> anyhow::Result<String> {
    let mut stream = TcpStream::connect(address).context("connect")?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    // The peer may close the connection before all bytes are written, so a write error is ignored.
    let _ = stream.write_all(bytes);
    let mut answer = Vec::new();
    let mut buffer = [0; 4_096];
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            break;
        }
        answer.extend_from_slice(&buffer[..count]);
        if answer.len() > 1 << 16 {
            break;
        }
    }
    Ok(String::from_utf8_lossy(&answer).into_owned())
}

/// Guards against input that crashes an entry, errors whose status or code differs from the
/// documentation of the callers interface, and sheets or frames of unlimited size.
#[test]
fn bad_input_is_refused_with_its_code() -> anyhow::Result<()> {
    common::run_test(async {
        let options = Options { entries: 2, ..Options::default() };
        let mut fleet = common::start_serving_fleet("bad-input", options, 2).await?;
        let address = fleet.entries[0].caller_address.clone();
        let team = HttpClient::with_key(TEAM_KEY);
        let chat = "/v1/chat/completions";
        let booking = "/services/bookings/bookings";
        let plain = common::chat_body("Summarise.");
        let huge = common::chat_body(&"x".repeat(5 << 20));
        let cases: Vec<Case<'_>> = vec![
            ("POST", chat, vec![], Some(&huge), 413, "too_large"),
            ("POST", booking, vec![], Some(&huge), 413, "too_large"),
            ("POST", chat, vec![("x-deadline-ms", "soon")], Some(&plain), 400, "bad_request"),
            ("POST", chat, vec![("x-priority", "4")], Some(&plain), 400, "bad_request"),
            ("POST", "/v1/none", vec![], Some(&plain), 404, "unknown_model"),
            ("GET", "/services/none/a", vec![], None, 404, "unknown_model"),
            ("POST", booking, vec![("idempotency-key", "a b")], Some(&plain), 400, "bad_request"),
            // An executor key without its random part.
            (
                "POST",
                booking,
                vec![("idempotency-key", KEY_WITHOUT_RANDOM_PART)],
                Some(&plain),
                400,
                "bad_request",
            ),
        ];
        for (method, path, headers, body, status, code) in &cases {
            let answer = team.send(method, &address, path, headers, *body).await;
            let answer = answer.with_context(|| format!("{method} {path} {headers:?}"))?;
            ensure!(
                answer.status == *status && answer.code == *code,
                "{method} {path} {headers:?}: {} {}",
                answer.status,
                answer.text()
            );
        }
        let long_key = "k".repeat(1_000);
        let long_id = "i".repeat(200);
        for headers in [[("idempotency-key", long_key.as_str())], [("x-request-id", &long_id)]] {
            let answer = team.send("POST", &address, booking, &headers, Some(&plain)).await?;
            ensure!(answer.code == "bad_request", "{} {}", answer.status, answer.text());
        }
        let bodies = [
            (json!([1]), 400, "bad_request"),
            (json!({ "model": "draft" }), 400, "bad_request"),
            (json!({ "model": "draft", "messages": [] }), 400, "bad_request"),
            (json!({ "model": "none", "messages": [{ "content": "a" }] }), 404, "unknown_model"),
        ];
        for (body, status, code) in &bodies {
            let answer = team.post(&address, chat, body).await?;
            ensure!(
                answer.status == *status && answer.code == *code,
                "{body}: {} {}",
                answer.status,
                answer.text()
            );
        }
        for caller in [HttpClient::default(), HttpClient::with_key("not-a-team-key-0123456789")] {
            let answer = caller.post(&address, chat, &plain).await?;
            ensure!(answer.status == 401 && answer.code == "unauthorized", "{}", answer.text());
        }
        // A reused idempotency key with a different body is a conflict.
        let headers = [("idempotency-key", "conflict-1")];
        let first =
            team.send("POST", &address, booking, &headers, Some(&json!({ "a": 1 }))).await?;
        ensure!(first.outcome == "done", "{} {}", first.status, first.text());
        let second =
            team.send("POST", &address, booking, &headers, Some(&json!({ "a": 2 }))).await?;
        ensure!(second.status == 409 && second.code == "key_conflict", "{}", second.text());

        // The operators interface checks the key, the path, the body and the size of a sheet.
        let operators = fleet.entries[0].operator_address.clone();
        let operator = HttpClient::with_key(OPERATOR_KEY);
        let answer = team.get(&operators, "/operator/v1/groups").await?;
        ensure!(answer.status == 401, "{} {}", answer.status, answer.text());
        let answer = operator.get(&operators, "/operator/v1/none").await?;
        ensure!(answer.status == 404, "{} {}", answer.status, answer.text());
        let answer =
            operator.post(&operators, "/operator/v1/sheets", &json!({ "base": 1 })).await?;
        ensure!(answer.status == 400, "{} {}", answer.status, answer.text());
        let base = common::config_version(&fleet, 0).await?;
        let faulty = json!({ "publication": "p", "base": base, "sheet": "kind,name\nnone,a\n" });
        let answer = operator.post(&operators, "/operator/v1/sheets", &faulty).await?;
        ensure!(answer.status == 422, "{} {}", answer.status, answer.text());
        let faults = answer.json()?["faults"].as_array().map_or(0, Vec::len);
        ensure!(faults > 0, "the refusal of an invalid sheet lists no faults");
        let sheet = format!("{}\n{}", fleet.sheet(), "x".repeat(2 << 20));
        let oversized = json!({ "publication": "p", "base": base, "sheet": sheet });
        let answer = operator.post(&operators, "/operator/v1/sheets", &oversized).await?;
        ensure!(answer.status == 422, "{} {}", answer.status, answer.text());
        let oversized = json!({ "publication": "p", "base": base, "sheet": "x".repeat(5 << 20) });
        let answer = operator.post(&operators, "/operator/v1/sheets", &oversized).await?;
        ensure!(answer.status == 413, "{} {}", answer.status, answer.text());
        ensure!(
            common::config_version(&fleet, 0).await? == base,
            "a refused sheet changed the configuration version"
        );

        // Bytes that are neither valid HTTP nor valid frames, or frames without the shared secret.
        let peers = fleet.entries[0].peer_address.clone();
        let invalid_bytes: Vec<u8> =
            (0..100_000_u32).map(|number| (number * 31 % 251) as u8).collect();
        let preface = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
        let settings = [0, 0, 0, 4, 0, 0, 0, 0, 0].to_vec();
        let oversized = [0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1].to_vec();
        for target in [&address, &operators, &peers] {
            for bytes in [
                invalid_bytes.clone(),
                b"GET".to_vec(),
                [preface.clone(), invalid_bytes.clone()].concat(),
                [preface.clone(), settings.clone(), oversized.clone()].concat(),
                b"POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\ncontent-length: x\r\n\r\n"
                    .to_vec(),
            ] {
                let target = target.clone();
                actix_rt::task::spawn_blocking(move || send_raw(&target, &bytes)).await??;
            }
        }
        for entry in &mut fleet.entries {
            let running = entry.process.as_mut().is_some_and(|part| part.is_running());
            ensure!(running, "{} exited after invalid input", entry.name);
        }
        let (text, attempts) =
            common::complete_chat(&team, std::slice::from_ref(&address), 0, "after", "Summarise.")
                .await?;
        ensure!(
            attempts == 1 && !text.is_empty(),
            "the call after the invalid input took {attempts} attempts"
        );
        // A known planner shows that the peers still exchange frames.
        let planner = fleet.planner(1).await?;
        ensure!(planner.is_some(), "entry 1 knows no planner after the invalid input");
        Ok(())
    })
}
