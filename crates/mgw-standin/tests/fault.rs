//! Switching of faults.

use std::time::Duration;

use mgw_standin::fault::{Error, Injector};
use serde_json::json;

/// Guards against a limited fault that never ends or ends early.
#[test]
fn a_fault_ends_after_its_uses_or_its_time() {
    let switch = Injector::new(&["slow"]);
    switch.set(&json!({ "fault": "slow", "ms": 7, "count": 2 })).expect("set");
    assert_eq!(switch.get("slow").and_then(|f| f.millis("ms")), Some(Duration::from_millis(7)));
    assert!(switch.take_if("slow", |_| false).is_none());
    assert!(switch.take("slow").is_some());
    assert_eq!(switch.list(), json!({ "faults": [{ "fault": "slow", "ms": 7, "count": 1 }] }));
    assert!(switch.take("slow").is_some());
    assert!(switch.take("slow").is_none());
    switch.set(&json!({ "fault": "slow", "for_ms": 10 })).expect("set");
    assert!(switch.take("slow").is_some());
    std::thread::sleep(Duration::from_millis(15));
    assert!(switch.take("slow").is_none());
}

/// Guards against faults that stay on, and against unknown names that are accepted.
#[test]
fn faults_are_switched_off() {
    let switch = Injector::new(&["slow"]);
    for off in [json!({ "fault": "slow", "off": true }), json!({ "fault": "none" })] {
        switch.set(&json!({ "fault": "slow" })).expect("set");
        switch.set(&json!({ "fault": "slow", "ms": 1 })).expect("set");
        switch.set(&off).expect("set");
        assert!(switch.get("slow").is_none());
    }
    assert_eq!(switch.set(&json!({ "fault": "lost" })), Err(Error::Unknown("lost".into())));
    assert_eq!(switch.set(&json!({ "name": "slow" })), Err(Error::Malformed));
}
