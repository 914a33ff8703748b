//! The cases.

mod late_heartbeat;
mod late_version;
mod pausing_reader;
mod revoked_anonymous;

use crate::Verdict;
use crate::record::Record;

pub fn run(name: &str, record: &Record) -> Verdict {
    match name {
        "late_heartbeat" => late_heartbeat::run(record),
        "pausing_reader" => pausing_reader::run(record),
        "revoked_anonymous" => revoked_anonymous::run(record),
        "late_version" => late_version::run(record),
        _ => Verdict::CannotRun,
    }
}

/// A configuration with one service, `booking`: non-idempotent requests under `/book/`, idempotent ones
/// under `/look/`, and idempotent ones that need no key under `/open/`. `tenants` is a JSON list.
fn config(version: u64, tenants: &str) -> String {
    let route = |path: &str, kind: &str, is_open: bool| {
        format!(
            r#"{{"name":"r-{path}","host":"ficu95.example","pathPrefix":"/{path}/","kind":"{kind}",
"timeoutMs":8000,"targetLatencyMs":400,"priority":2,"service":"booking","maxAttempts":2,
"allowAnonymous":{is_open}}}"#
        )
    };
    let routes = [
        route("book", "non_idempotent", false),
        route("look", "idempotent", false),
        route("open", "idempotent", true),
    ];
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"booking","healthPath":"/health",
"maxConnections":110,"protocol":"h1","tls":false}}],"limits":{{"maxHeaderBytes":16384,
"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":{tenants}}}"#,
        routes.join(",")
    )
}
