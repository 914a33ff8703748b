//! Tests the clients of the instance list and the weight store against the stand-ins, and the
//! fault switch of the stand-ins.

use std::time::Duration;

use mgw_platform::list::{self, Service as _};
use mgw_platform::report::{Instance, Kind, Status, WeightStore};
use mgw_platform::transport::{Cause, Options};
use mgw_platform::weights::{self, Service as _};
use serde_json::json;

/// Delay after which the stand-in's list shows a change.
const LAG: Duration = Duration::from_millis(60);

fn instance(name: &str) -> Instance {
    Instance {
        name: name.into(),
        kind: Kind::Server,
        address: "127.0.0.1:1".into(),
        zone: "z1".into(),
        domain: "d1".into(),
        status: Status::Live,
        boot: "b1".into(),
    }
}

async fn post(url: String, body: serde_json::Value) -> u16 {
    awc::Client::default().post(url).send_json(&body).await.expect("answer").status().as_u16()
}

/// Guards against a stand-in whose list shows changes without its lag, or whose `stale` fault does
/// not freeze the list and its time.
#[actix_rt::test]
async fn the_list_lags_and_can_be_stale() {
    let options = mgw_standin::list::Options {
        lag: LAG,
        instances: vec![instance("b"), instance("a")],
        ..Default::default()
    };
    let handle = mgw_standin::list::start(options).expect("stand-in");
    let client = list::Client::new(handle.address.to_string(), Options::default());
    let list_names = async || {
        let list = client.instances().await.expect("list");
        let names = list.instances.iter().map(|instance| instance.name.to_string());
        (names.collect::<Vec<_>>().join(","), list.as_of_ms)
    };
    assert_eq!(list_names().await.0, "a,b");
    let change = json!({ "instances": [instance("c")], "remove": ["a"] });
    assert_eq!(post(format!("http://{}/instances", handle.address), change).await, 200);
    assert_eq!(list_names().await.0, "a,b");
    actix_rt::time::sleep(2 * LAG).await;
    assert_eq!(list_names().await.0, "b,c");
    handle.fault(&json!({ "fault": "stale" })).expect("fault");
    let (_, before) = list_names().await;
    let change = json!({ "remove": ["b"] });
    assert_eq!(post(format!("http://{}/instances", handle.address), change).await, 200);
    actix_rt::time::sleep(2 * LAG).await;
    let (shown, after) = list_names().await;
    assert_eq!(shown, "b,c");
    assert!(after.abs_diff(before) <= 2, "{before} {after}");
    handle.fault(&json!({ "fault": "stale", "off": true })).expect("fault");
    assert_eq!(list_names().await.0, "c");
    handle.fault(&json!({ "fault": "down", "count": 1 })).expect("fault");
    let error = client.instances().await.expect_err("down");
    assert!(matches!(error.cause, Cause::Status { status: 503, .. }), "{error}");
}

/// Guards against more simultaneous loads than the limit allows, and against loads that exceed the
/// configured rate.
#[actix_rt::test]
async fn the_weight_store_limits_loads() {
    let options = mgw_standin::weights::Options { limit: 2, rate: 1_000.0, ..Default::default() };
    let handle = mgw_standin::weights::start(options).expect("stand-in");
    let client = weights::Client::new(handle.address.to_string(), Options::default());
    let url = format!("http://{}/weights/fetch", handle.address);
    let start = std::time::Instant::now();
    let loads: Vec<_> =
        (0..3).map(|_| actix_rt::spawn(post(url.clone(), json!({ "bytes": 100 })))).collect();
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let status = client.status().await.expect("status");
    assert_eq!(status, WeightStore { limit: 2, active: 2, queued: 1 });
    for load in loads {
        assert_eq!(load.await.expect("task"), 200);
    }
    assert!(start.elapsed() >= Duration::from_millis(190), "{:?}", start.elapsed());
    assert_eq!(
        client.status().await.expect("status"),
        WeightStore { limit: 2, active: 0, queued: 0 }
    );
}

/// Guards against an engine that reports ready before the weight store has delivered its weights.
#[actix_rt::test]
async fn an_engine_loads_through_the_weight_store() {
    use mgw_platform::engine::{self, Service as _};
    use mgw_platform::report::{Action, Order, Phase};
    let options = mgw_standin::weights::Options { rate: 1_000.0, ..Default::default() };
    let store = mgw_standin::weights::start(options).expect("stand-in");
    let options = mgw_standin::engine::Options {
        boot: "b1".into(),
        weights: Some(store.address.to_string().into()),
        weight_bytes: 100,
        ..Default::default()
    };
    let handle = mgw_standin::engine::start(options).expect("stand-in");
    let peer = handle.address.to_string();
    let client = engine::Client::new(Options::default());
    let order = Order {
        fence: 1,
        group: 1,
        order: Action::Load,
        model: "m".into(),
        version: "1".into(),
        adapters: Vec::new(),
        members: vec![peer.clone().into()],
        rank: 0,
        boot: "b1".into(),
    };
    assert_eq!(client.order(&peer, &order).await, engine::Reply::Accepted);
    actix_rt::time::sleep(Duration::from_millis(30)).await;
    assert_eq!(client.status(&peer).await.expect("status").state, Phase::Loading);
    let weight_client = weights::Client::new(store.address.to_string(), Options::default());
    assert_eq!(weight_client.status().await.expect("status").active, 1);
    actix_rt::time::sleep(Duration::from_millis(150)).await;
    assert_eq!(client.status(&peer).await.expect("status").state, Phase::Ready);
}

/// Guards against accepting an unknown fault, and against injected faults that are not listed or do
/// not take effect.
#[actix_rt::test]
async fn faults_are_switched_over_http() {
    // Uses its own IP address, because another test may get the port that the crash frees.
    let bind = mgw_standin::serve::Bind { address: ([127, 0, 0, 3], 0).into(), exit: false };
    let options = mgw_standin::service::Options { bind, ..Default::default() };
    let handle = mgw_standin::service::start(options).expect("stand-in");
    let url = format!("http://{}/fault", handle.address);
    assert_eq!(post(url.clone(), json!({ "fault": "unheard" })).await, 400);
    assert_eq!(post(url.clone(), json!({ "fault": "slow", "ms": 5 })).await, 200);
    let mut answer = awc::Client::default().get(&url).send().await.expect("answer");
    let body = answer.body().await.expect("body");
    assert_eq!(body, r#"{"faults":[{"fault":"slow","ms":5}]}"#);
    assert_eq!(post(url, json!({ "fault": "crash" })).await, 200);
    let address = handle.address;
    handle.wait();
    assert!(std::net::TcpStream::connect(address).is_err());
}
