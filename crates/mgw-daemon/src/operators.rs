//! The HTTP interface for operators, under `/operator/v1/`.

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response};
use mgw_entry::preview::Step;
use mgw_entry::publish::{self, Revision, Status};
use mgw_state::record::Mark;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::http;
use crate::shared::Shared;

/// Maximum body size of a request in bytes. A sheet has at most 1 MB, and JSON escapes enlarge it.
const MAX_BODY_BYTES: usize = 4 << 20;

/// How long a request to publish waits for the outcome of the publication.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(5);

/// How often the state of a publication is checked while a request waits for its outcome.
const PUBLISH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of events in one response.
const MAX_EVENTS: usize = 10_000;

/// Body of `POST sheets`: publishes a sheet that was derived from configuration version `base`.
#[derive(Deserialize)]
struct Publication {
    publication: String,
    base: u64,
    sheet: String,
}

/// Body of `POST preview`: requests what publishing a sheet would change.
#[derive(Deserialize)]
struct Draft {
    sheet: String,
}

/// Body of `POST marks`: sets the mark of an instance or an entry.
#[derive(Deserialize)]
struct Marking {
    target: String,
    name: String,
    mark: String,
}

/// Body of `POST gone`: declares that an entry's instance is terminated.
#[derive(Deserialize)]
struct Gone {
    entry: String,
}

/// Answers a request of an operator. Each request needs one of the configured bearer keys.
pub async fn handle(shared: Rc<Shared>, mut request: Request) -> Response<BoxBody> {
    let key = http::bearer_key(&request);
    if !shared.config.operator_keys.iter().any(|known| known == key) {
        shared.record(
            mgw_event::Body::new(mgw_event::Kind::Unauthorized)
                .text("operator key is missing or unknown"),
        );
        return error_response(401, "the operator key is missing or unknown");
    }
    let path = request.path().to_owned();
    let Some(path) = path.strip_prefix("/operator/v1/") else {
        return error_response(404, "no such path");
    };
    match (request.method().clone(), path) {
        (Method::GET, "config") => config(&shared, None),
        (Method::GET, "groups") => groups(&shared),
        (Method::GET, "instances") => instances(&shared),
        (Method::GET, "entries") => entries(&shared),
        (Method::GET, "events") => events(&shared, &request),
        (Method::GET, path) => match path.strip_prefix("config/").map(str::parse) {
            Some(Ok(version)) => config(&shared, Some(version)),
            _ => error_response(404, "no such path"),
        },
        (Method::POST, "sheets") => match read_json(&mut request).await {
            Ok(body) => publish(&shared, body).await,
            Err(response) => response,
        },
        (Method::POST, "preview") => match read_json(&mut request).await {
            Ok(body) => preview(&shared, &body),
            Err(response) => response,
        },
        (Method::POST, "marks") => match read_json(&mut request).await {
            Ok(body) => set_mark(&shared, &body),
            Err(response) => response,
        },
        (Method::POST, "gone") => match read_json::<Gone>(&mut request).await {
            Ok(body) => match shared.with_node(|node, _| node.declare_gone(&body.entry)) {
                true => http::json_response(202, &json!({ "accepted": true })),
                false => error_response(404, "no living incarnation of this entry is known"),
            },
            Err(response) => response,
        },
        _ => error_response(404, "no such path"),
    }
}

/// A response with a JSON object `error` that holds a message.
fn error_response(status: u16, message: &str) -> Response<BoxBody> {
    http::json_response(status, &json!({ "error": { "message": message } }))
}

/// Reads a JSON body; the error is the response to send.
async fn read_json<T>(request: &mut Request) -> Result<T, Response<BoxBody>>
where
    T: serde::de::DeserializeOwned,
{
    let body = http::read_body(request, MAX_BODY_BYTES).await;
    let body = body.map_err(|_| error_response(413, "the body is too large or incomplete"))?;
    serde_json::from_slice(&body)
        .map_err(|cause| error_response(400, &format!("malformed body: {cause}")))
}

/// Publishes a sheet and waits until it is in force, superseded or refused, for
/// [`PUBLISH_TIMEOUT`] at most.
async fn publish(shared: &Rc<Shared>, body: Publication) -> Response<BoxBody> {
    let Publication { publication, base, sheet } = body;
    match shared.with_node(|node, _| node.publish(&publication, base, &sheet)) {
        Ok(()) => {}
        Err(publish::Error::Sheet(faults)) => {
            return http::json_response(422, &json!({ "faults": faults }));
        }
        Err(publish::Error::Base { in_force, changed }) => {
            return http::json_response(409, &json!({ "in_force": in_force, "changed": changed }));
        }
        Err(publish::Error::Log) => return error_response(503, "the log service is unreachable"),
    }
    let deadline = shared.now() + PUBLISH_TIMEOUT;
    loop {
        let publication_state = shared.node.borrow().publication_status(&publication, base, &sheet);
        match publication_state {
            Status::InForce(version) => {
                return http::json_response(200, &json!({ "version": version }));
            }
            Status::Superseded { in_force, changed } => {
                return http::json_response(
                    409,
                    &json!({ "in_force": in_force, "changed": changed }),
                );
            }
            Status::Refused => {
                return error_response(503, "the log service refused the publication");
            }
            Status::Pending if shared.now() >= deadline => {
                return error_response(504, "the outcome of the publication is not known yet");
            }
            Status::Pending => actix_rt::time::sleep(PUBLISH_POLL_INTERVAL).await,
        }
    }
}

/// Responds with the groups that would be formed, dissolved or changed if a sheet were published now.
fn preview(shared: &Rc<Shared>, body: &Draft) -> Response<BoxBody> {
    let preview = match shared.node.borrow().preview(shared.now(), &body.sheet) {
        Ok(preview) => preview,
        Err(publish::Error::Sheet(faults)) => {
            return http::json_response(422, &json!({ "faults": faults }));
        }
        Err(_) => return error_response(503, "the sheet cannot be previewed now"),
    };
    let steps: Vec<Value> = preview
        .steps
        .iter()
        .map(|step| match step {
            Step::Form { model, version, members } => {
                json!({ "step": "form", "model": model, "version": version, "members": members })
            }
            Step::Dissolve { group, model, reason } => {
                json!({ "step": "dissolve", "group": group, "model": model, "reason": reason })
            }
            Step::Replace { group, lost, spare } => {
                json!({ "step": "replace", "group": group, "lost": lost, "spare": spare })
            }
        })
        .collect();
    let stranded: Vec<Value> = preview
        .stranded
        .iter()
        .map(|it| {
            json!({
                "instance": it.instance,
                "accelerators": it.accelerators,
                "because": it.cause,
            })
        })
        .collect();
    http::json_response(
        200,
        &json!({
            "base": preview.base,
            "changes": preview.changes,
            "steps": steps,
            "loads": preview.loads,
            "weight_loads": preview.weight_loads,
            "stranded": stranded,
        }),
    )
}

/// Marks an instance or an entry as cordoned or drained, or clears its mark.
fn set_mark(shared: &Rc<Shared>, body: &Marking) -> Response<BoxBody> {
    let mark = match body.mark.as_str() {
        "clear" => Mark::Clear,
        "cordon" => Mark::Cordon,
        "drain" => Mark::Drain,
        _ => return error_response(400, "mark is none of clear, cordon, drain"),
    };
    let entry = match body.target.as_str() {
        "instance" => false,
        "entry" => true,
        _ => return error_response(400, "target is none of instance, entry"),
    };
    match shared.with_node(|node, _| node.set_mark(entry, &body.name, mark)) {
        true => http::json_response(202, &json!({ "accepted": true })),
        false => error_response(404, "no such entry, or too many records wait"),
    }
}

/// JSON form of a configuration version in the history.
fn version_json(revision: &Revision, publication: &str) -> Value {
    json!({ "version": revision.version, "publication": publication, "at_ms": revision.at_ms })
}

/// Responds with the sheet of a configuration version, or of the version in force, and the history.
fn config(shared: &Rc<Shared>, version: Option<u64>) -> Response<BoxBody> {
    let node = shared.node.borrow();
    let wanted = version.unwrap_or(node.state().config().version);
    let found = node.history().iter().find(|revision| revision.version == wanted);
    let sheet = match found {
        Some(revision) => revision.sheet.to_string(),
        None if wanted == 0 => String::new(),
        None => return error_response(404, "this entry does not know this version"),
    };
    let name =
        |version: u64| node.publication_of(version).map(|it| it.to_string()).unwrap_or_default();
    // Version 0 stands for the empty configuration before the first version. It is listed only if the
    // known history reaches back to the first version.
    let origin = json!({ "version": 0, "publication": "", "at_ms": 0 });
    let known: Vec<Value> =
        node.history().iter().map(|it| version_json(it, &name(it.version))).collect();
    let history: Vec<Value> = match node.is_history_complete() {
        true => std::iter::once(origin).chain(known).collect(),
        false => known,
    };
    http::json_response(
        200,
        &json!({
            "version": wanted,
            "publication": name(wanted),
            "sheet": sheet,
            "history": history,
        }),
    )
}

/// Responds with all groups, their members and, for a group that gets no requests from this entry,
/// the reason.
fn groups(shared: &Rc<Shared>) -> Response<BoxBody> {
    let (node, now) = (shared.node.borrow(), shared.now());
    let groups: Vec<Value> = node
        .groups()
        .iter()
        .map(|group| {
            let members: Vec<Value> = group
                .members
                .iter()
                .map(|it| json!({ "instance": it.instance, "boot": it.boot, "state": it.state }))
                .collect();
            let phase = match group.members.iter().any(|it| it.state == "loading") {
                _ if group.servable => "serving",
                true => "loading",
                false => "closed",
            };
            json!({
                "group": group.group,
                "model": group.model,
                "version": group.version,
                "fence": group.fence,
                "zone": group.zone,
                "domain": group.domain,
                "servable": group.servable,
                "phase": phase,
                "reason": node.unavailable_reason(now, group.group),
                "members": members,
            })
        })
        .collect();
    http::json_response(200, &json!({ "groups": groups }))
}

/// Responds with all instances, their group, their mark and the reason if they are stranded.
fn instances(shared: &Rc<Shared>) -> Response<BoxBody> {
    let instances: Vec<Value> = shared
        .node
        .borrow()
        .instances()
        .iter()
        .map(|it| {
            json!({
                "instance": it.instance,
                "zone": it.zone,
                "domain": it.domain,
                "accelerator": it.accelerator,
                "accelerators": it.accelerators,
                "status": it.status,
                "group": it.group,
                "custody": it.custody,
                "mark": it.mark,
                "stranded_because": it.stranded,
            })
        })
        .collect();
    http::json_response(200, &json!({ "instances": instances }))
}

/// Responds with all entries that this entry knows.
fn entries(shared: &Rc<Shared>) -> Response<BoxBody> {
    let entries: Vec<Value> = shared
        .node
        .borrow()
        .entries(shared.now())
        .iter()
        .map(|it| {
            json!({
                "entry": it.entry,
                "incarnation": format!("{:016x}", it.incarnation),
                "callers": it.callers,
                "peers": it.peers,
                "zone": it.zone,
                "phase": it.phase,
                "applied": it.applied,
                "planner": it.planner,
            })
        })
        .collect();
    http::json_response(200, &json!({ "entries": entries }))
}

/// Responds with the buffered events whose sequence number is above the query parameter `after`, one
/// JSON object per line and at most [`MAX_EVENTS`].
fn events(shared: &Rc<Shared>, request: &Request) -> Response<BoxBody> {
    let after =
        http::query_parameter(request, "after").and_then(|text| text.parse().ok()).unwrap_or(0);
    let recorder = shared.recorder.borrow();
    let mut lines = String::new();
    for event in recorder.ring().after(after, MAX_EVENTS) {
        lines.push_str(&event.json());
        lines.push('\n');
    }
    http::response(200, "application/x-ndjson", lines.into())
}
