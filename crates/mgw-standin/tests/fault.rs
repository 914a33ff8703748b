//! Tests of enabling, limiting and disabling faults.

use std::time::Duration;

use mgw_standin::fault::{Error, Injector};
use serde_json::json;

/// Guards against a fault that ends before or outlasts its `count` or `for_ms` limit.
#[test]
fn a_fault_ends_after_its_use_limit_or_time_limit() {
    let injector = Injector::new(&["slow"]);
    injector.set(&json!({ "fault": "slow", "ms": 7, "count": 2 })).expect("set");
    assert_eq!(injector.get("slow").and_then(|f| f.millis("ms")), Some(Duration::from_millis(7)));
    assert!(injector.take_if("slow", |_| false).is_none());
    assert!(injector.take("slow").is_some());
    assert_eq!(injector.list(), json!({ "faults": [{ "fault": "slow", "ms": 7, "count": 1 }] }));
    assert!(injector.take("slow").is_some());
    assert!(injector.take("slow").is_none());
    injector.set(&json!({ "fault": "slow", "for_ms": 10 })).expect("set");
    assert!(injector.take("slow").is_some());
    std::thread::sleep(Duration::from_millis(15));
    assert!(injector.take("slow").is_none());
}

/// Guards against faults that stay enabled after `off` or `none`, and against unknown or missing
/// fault names that are accepted.
#[test]
fn disabled_faults_stay_off_and_unknown_names_are_rejected() {
    let injector = Injector::new(&["slow"]);
    for off in [json!({ "fault": "slow", "off": true }), json!({ "fault": "none" })] {
        injector.set(&json!({ "fault": "slow" })).expect("set");
        injector.set(&json!({ "fault": "slow", "ms": 1 })).expect("set");
        injector.set(&off).expect("set");
        assert!(injector.get("slow").is_none());
    }
    assert_eq!(injector.set(&json!({ "fault": "lost" })), Err(Error::Unknown("lost".into())));
    assert_eq!(injector.set(&json!({ "name": "slow" })), Err(Error::Malformed));
}
