//! Tests of the node: pauses of the process and marks of operators.

mod common;

use common::{at, node, read};
use mgw_entry::command::Command;
use mgw_entry::input::{Append, Input};
use mgw_entry::node::Node;
use mgw_report::report::{Engine, Phase};
use mgw_state::record::{Mark, Record, Target};
use mgw_wire::frame::{Heartbeat, Item, Phase as Stage};

fn ready(name: &str) -> Engine {
    Engine {
        instance: name.into(),
        boot: "b".into(),
        fence: 3,
        group: 3,
        rank: u32::from(name == "m2"),
        model: "draft".into(),
        version: "1".into(),
        adapters: Vec::new(),
        state: Phase::Ready,
        running: 0,
        queued: 0,
        slots: 8,
        as_of_ms: 0,
    }
}

/// Ticks until `until` and answers polls as they are sent if `answer` is set. Returns the polls
/// that were not answered.
fn run(node: &mut Node, from: u64, until: u64, answer: bool) -> Vec<Command> {
    let mut open = Vec::new();
    for now in (from..until).step_by(50) {
        node.tick(at(now));
        for command in node.take_commands() {
            match command {
                Command::PollEngine { instance, .. } if answer => {
                    let report = Some(ready(&instance));
                    node.handle_input(at(now + 1), Input::EngineReport { instance, report });
                }
                Command::Append { sequence, .. } => {
                    let result = Append::Refused;
                    node.handle_input(at(now + 1), Input::Append { sequence, result });
                }
                command => open.push(command),
            }
        }
    }
    open
}

/// Guards against a group that is opened by an answer that waited in a queue during a pause: one
/// of its members may have been lost in the meantime.
#[test]
fn an_answer_from_before_a_pause_opens_no_group() {
    let mut node = node();
    run(&mut node, 50, 2_000, true);
    assert!(node.is_servable(3), "{:?}", node.groups());
    let waiting = run(&mut node, 2_000, 2_600, false);
    let now = at(40_000);
    for command in waiting {
        if let Command::PollEngine { instance, .. } = command {
            let report = Some(ready(&instance));
            node.handle_input(now, Input::EngineReport { instance, report });
        }
    }
    node.tick(now);
    assert!(!node.is_servable(3));
    run(&mut node, 40_050, 42_000, true);
    assert!(node.is_servable(3), "fresh answers open it again");
}

/// Guards against gossip that waited in a queue during a pause and tells the past as the present.
#[test]
fn gossip_from_before_a_pause_is_ignored() {
    let mut node = node();
    run(&mut node, 50, 2_000, true);
    let heartbeat = Heartbeat {
        incarnation: 9,
        counter: 1,
        entry: "e2".into(),
        caller_address: "127.0.0.1:1".into(),
        peer_address: "127.0.0.1:2".into(),
        zone: "b".into(),
        phase: Stage::Serving,
        applied_offset: 4,
        uptime_ms: 1_000,
    };
    let gossip = || Input::Gossip { items: vec![Item::Heartbeat(heartbeat.clone())] };
    node.handle_input(at(40_000), gossip());
    assert_eq!(node.entries(at(40_000)).len(), 1);
    run(&mut node, 40_050, 41_500, true);
    node.handle_input(at(41_500), gossip());
    assert_eq!(node.entries(at(41_500)).len(), 2);
}

/// Guards against an operator's mark on an entry that has no effect, and against one that cannot be
/// taken back.
#[test]
fn a_marked_entry_leaves_the_directory_until_the_mark_is_cleared() {
    let mut node = node();
    run(&mut node, 50, 1_000, true);
    assert_eq!(node.phase(), Stage::Serving);
    let target = || Target::Entry(common::ADDRESS.into());
    read(&mut node, 1_000, 4, [Record::Mark { target: target(), mark: Mark::Drain }]);
    run(&mut node, 1_050, 2_000, true);
    assert_eq!(node.phase(), Stage::Draining);
    assert!(node.directory(None, at(2_000)).entries.is_empty());
    assert!(!node.is_drained(at(60_000)), "a marked entry does not end");
    read(&mut node, 2_000, 5, [Record::Mark { target: target(), mark: Mark::Clear }]);
    run(&mut node, 2_050, 3_000, true);
    assert_eq!(node.phase(), Stage::Serving);
    assert_eq!(node.directory(None, at(3_000)).entries.len(), 1);
}
