//! A small HTTP caller.

use std::time::Duration;

use anyhow::{Context, anyhow};
use awc::Client;
use bytes::Bytes;
use futures_util::StreamExt;
use serde_json::Value;

/// Bound of one request.
const BOUND: Duration = Duration::from_secs(30);

/// An answer with its whole body.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// The value of `x-booking-outcome`, empty if absent.
    pub outcome: String,
    /// The error code of the JSON body, empty if there is none.
    pub code: String,
    /// The body.
    pub body: Bytes,
}

impl Response {
    /// The body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body as JSON.
    pub fn json(&self) -> anyhow::Result<Value> {
        serde_json::from_slice(&self.body).with_context(|| format!("read {:?}", self.text()))
    }
}

/// A caller with a bearer key.
#[derive(Clone)]
pub struct HttpClient {
    client: Client,
    key: String,
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::with_key("")
    }
}

impl HttpClient {
    /// A caller with this bearer key.
    pub fn with_key(key: &str) -> Self {
        let client = Client::builder().timeout(BOUND).finish();
        Self { client, key: key.to_owned() }
    }

    /// Sends a GET request.
    pub async fn get(&self, address: &str, path: &str) -> anyhow::Result<Response> {
        self.send("GET", address, path, &[], None).await
    }

    /// Sends a POST request with a JSON body.
    pub async fn post(&self, address: &str, path: &str, body: &Value) -> anyhow::Result<Response> {
        self.send("POST", address, path, &[], Some(body)).await
    }

    /// Sends a request and waits for the whole answer.
    pub async fn send(
        &self,
        method: &str,
        address: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Option<&Value>,
    ) -> anyhow::Result<Response> {
        let method = method.parse().context("parse the method")?;
        let mut request = self.client.request(method, format!("http://{address}{path}"));
        if !self.key.is_empty() {
            request = request.bearer_auth(&self.key);
        }
        for (name, value) in headers {
            request = request.insert_header((*name, *value));
        }
        let sent = match body {
            Some(body) => request
                .insert_header(("content-type", "application/json"))
                .send_body(body.to_string()),
            None => request.send(),
        };
        let mut response = sent.await.map_err(|error| anyhow!("call {address}{path}: {error}"))?;
        let outcome = response.headers().get("x-booking-outcome");
        let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
        let status = response.status().as_u16();
        let mut body = Vec::new();
        while let Some(chunk) = response.next().await {
            let chunk = chunk.map_err(|error| anyhow!("read {address}{path}: {error}"))?;
            body.extend_from_slice(&chunk);
        }
        let code = serde_json::from_slice::<Value>(&body).ok();
        let code = code.and_then(|body| body["error"]["code"].as_str().map(str::to_owned));
        Ok(Response { status, outcome, code: code.unwrap_or_default(), body: body.into() })
    }
}

/// The text and completeness of a streamed chat completion.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// The text of all chunks.
    pub text: String,
    /// The number of chunks with text.
    pub chunks: usize,
    /// Whether the final marker came.
    pub complete: bool,
    /// Whether an error event came.
    pub has_error: bool,
}

/// Reads the events of a streamed chat completion.
pub fn parse_chat_stream(body: &str) -> Completion {
    let mut chat = Completion { text: String::new(), chunks: 0, complete: false, has_error: false };
    chat.has_error = body.lines().any(|line| line == "event: error");
    for line in body.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if line == "[DONE]" {
            chat.complete = true;
            continue;
        }
        let Ok(event) = serde_json::from_str::<Value>(line) else { continue };
        if let Some(text) = event["choices"][0]["delta"]["content"].as_str() {
            chat.text.push_str(text);
            chat.chunks += 1;
        }
    }
    chat
}
