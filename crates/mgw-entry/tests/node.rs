//! Tests of the node: pauses of the process and operators' marks.

mod common;

use common::{at, node, read};
use mgw_entry::command::Command;
use mgw_entry::input::{Append, Input};
use mgw_entry::node::Node;
use mgw_report::report::{Engine, Phase};
use mgw_state::record::{Mark, Record, Target};
use mgw_wire::frame::{Heartbeat, Item, Phase as EntryPhase};

/// Report of a ready member of group 3.
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

/// Ticks every 50 ms until `until`, refuses all appends and answers polls 1 ms after they are sent
/// if `answer` is set. Returns the commands that were not answered.
fn run(node: &mut Node, from: u64, until: u64, answer: bool) -> Vec<Command> {
    let mut unanswered = Vec::new();
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
                command => unanswered.push(command),
            }
        }
    }
    unanswered
}

/// Guards against a group that becomes servable by an answer to a poll that waited in a queue while
/// the process was paused: a member may have failed in the meantime.
#[test]
fn poll_answer_from_before_a_pause_does_not_make_group_servable() {
    let mut node = node();
    run(&mut node, 50, 2_000, true);
    assert!(node.is_servable(3), "{:?}", node.groups());
    let unanswered = run(&mut node, 2_000, 2_600, false);
    let now = at(40_000);
    for command in unanswered {
        if let Command::PollEngine { instance, .. } = command {
            let report = Some(ready(&instance));
            node.handle_input(now, Input::EngineReport { instance, report });
        }
    }
    node.tick(now);
    assert!(!node.is_servable(3));
    run(&mut node, 40_050, 42_000, true);
    assert!(node.is_servable(3), "new answers make it servable again");
}

/// Guards against gossip that waited in a queue while the process was paused and is taken as new,
/// because its ages do not include the time in the queue.
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
        phase: EntryPhase::Serving,
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
/// cleared.
#[test]
fn a_marked_entry_leaves_the_directory_until_the_mark_is_cleared() {
    let mut node = node();
    run(&mut node, 50, 1_000, true);
    assert_eq!(node.phase(), EntryPhase::Serving);
    let target = || Target::Entry(common::ADDRESS.into());
    read(&mut node, 1_000, 4, [Record::Mark { target: target(), mark: Mark::Drain }]);
    run(&mut node, 1_050, 2_000, true);
    assert_eq!(node.phase(), EntryPhase::Draining);
    assert!(node.directory(None, at(2_000)).entries.is_empty());
    assert!(!node.is_drained(at(60_000)), "a mark does not let the process stop");
    read(&mut node, 2_000, 5, [Record::Mark { target: target(), mark: Mark::Clear }]);
    run(&mut node, 2_050, 3_000, true);
    assert_eq!(node.phase(), EntryPhase::Serving);
    assert_eq!(node.directory(None, at(3_000)).entries.len(), 1);
}
