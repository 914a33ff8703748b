//! An HTTP client that buffers whole responses, and a parser for streamed chat completions.

use std::time::Duration;

use anyhow::{Context, anyhow};
use awc::Client;
use bytes::Bytes;
use futures_util::StreamExt;
use serde_json::Value;

/// Time limit of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// Value of the header `x-booking-outcome`; empty if it is absent or not visible ASCII.
    pub outcome: String,
    /// `error.code` of the JSON body; empty if the body is not JSON or has no such field.
    pub code: String,
    /// The body as received.
    pub body: Bytes,
}

impl Response {
    /// The body as text; invalid UTF-8 is replaced by U+FFFD.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// The body parsed as JSON.
    pub fn json(&self) -> anyhow::Result<Value> {
        serde_json::from_slice(&self.body)
            .with_context(|| format!("parse the body {:?} as JSON", self.text()))
    }
}

/// An HTTP client that sends the same bearer key with each request.
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
    /// Returns a client with this bearer key; an empty key sends no `authorization` header.
    pub fn with_key(key: &str) -> Self {
        let client = Client::builder().timeout(REQUEST_TIMEOUT).finish();
        Self { client, key: key.to_owned() }
    }

    /// Sends a GET request to `http://{address}{path}`.
    pub async fn get(&self, address: &str, path: &str) -> anyhow::Result<Response> {
        self.send("GET", address, path, &[], None).await
    }

    /// Sends a POST request with a JSON body to `http://{address}{path}`.
    pub async fn post(&self, address: &str, path: &str, body: &Value) -> anyhow::Result<Response> {
        self.send("POST", address, path, &[], Some(body)).await
    }

    /// Sends a request and reads the response to its end. Returns an error if the connection fails;
    /// an HTTP error status is a response like any other.
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
        let mut response =
            sent.await.map_err(|error| anyhow!("send the request to {address}{path}: {error}"))?;
        let outcome = response.headers().get("x-booking-outcome");
        let outcome = outcome.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned();
        let status = response.status().as_u16();
        let mut body = Vec::new();
        while let Some(chunk) = response.next().await {
            let chunk = chunk
                .map_err(|error| anyhow!("read the response body of {address}{path}: {error}"))?;
            body.extend_from_slice(&chunk);
        }
        let code = serde_json::from_slice::<Value>(&body).ok();
        let code = code.and_then(|body| body["error"]["code"].as_str().map(str::to_owned));
        Ok(Response { status, outcome, code: code.unwrap_or_default(), body: body.into() })
    }
}

/// Content of a streamed chat completion, and how the stream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completion {
    /// Content of all chunks, concatenated.
    pub text: String,
    /// Number of chunks that have a `content` field.
    pub chunks: usize,
    /// Whether the stream contains the end marker `[DONE]`.
    pub complete: bool,
    /// Whether the stream contains an `error` event.
    pub has_error: bool,
}

/// Parses the server-sent events of a streamed chat completion. Data lines that are not JSON are
/// skipped.
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
