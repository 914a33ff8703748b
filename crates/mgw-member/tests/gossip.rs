//! Dissemination under loss, duplication, reordering and partition, within the byte budget.

mod common;

use common::{at, beat, group, instance, view};
use mgw_base::time::Instant;
use mgw_member::gossip::{Gossip, Options, Outgoing};
use mgw_member::store::{self, Store};
use mgw_member::view::{self, View};
use mgw_wire::codec;
use mgw_wire::frame::{Blame, Frame, Group, Heartbeat, Instance, Item, Phase, State};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

struct Node {
    view: View,
    store: Store,
    gossip: Gossip,
}

fn node(incarnation: u64, seeds: &[u64]) -> Node {
    let seeds = seeds.iter().map(|&seed| beat(seed, 1).peers.into()).collect();
    let options = Options { seeds, ..Options::default() };
    Node {
        view: View::new(beat(incarnation, 1), view::Options::default(), at(0)),
        store: Store::new(store::Options::default()),
        gossip: Gossip::new(options, incarnation),
    }
}

impl Node {
    fn receive(&mut self, frame: &Frame, now: Instant) -> Vec<Item> {
        match frame {
            Frame::Gossip { items, .. } => {
                self.gossip.receive(&mut self.view, &mut self.store, items.clone(), now)
            }
            _ => Vec::new(),
        }
    }

    fn round(&mut self, now: Instant) -> Option<Outgoing> {
        self.gossip.round(&mut self.view, &mut self.store, now)
    }

    fn publish(&mut self, item: Item, now: Instant) {
        self.gossip.publish(&self.view, &mut self.store, item, now);
    }

    fn live(&self, now: Instant) -> usize {
        self.view.iter(now).filter(|(_, status)| *status == view::Status::Live).count()
    }
}

/// Rounds of all nodes from `start` to `end`; frames are lost, duplicated and delayed.
fn run<F>(nodes: &mut [Node], start: u64, end: u64, random: &mut SmallRng, connected: F)
where
    F: Fn(usize, usize) -> bool,
{
    let mut flying: Vec<(u64, usize, Frame)> = Vec::new();
    for now in (start..end).step_by(50) {
        for from in 0..nodes.len() {
            let due = (now + from as u64 * 50).is_multiple_of(500);
            let extra = {
                let node = &mut nodes[from];
                node.gossip.urgent_round(&node.view, &node.store, at(now))
            };
            let round = if due { nodes[from].round(at(now)) } else { None };
            for Outgoing { peers, frame } in round.into_iter().chain(extra) {
                assert!(codec::encode(&frame).is_ok_and(|bytes| bytes.len() <= codec::GOSSIP));
                for peer in peers {
                    let to = nodes.iter().position(|node| {
                        peer == beat(node.view.own_incarnation(), 1).peers.as_str()
                    });
                    let Some(to) = to.filter(|&to| connected(from, to)) else { continue };
                    for _ in 0..random.random_range(0..3) {
                        flying.push((now + random.random_range(0..400), to, frame.clone()));
                    }
                }
            }
        }
        for (_, to, frame) in flying.extract_if(.., |(due, _, _)| *due <= now) {
            nodes[to].receive(&frame, at(now));
        }
    }
}

/// Guards against entries that never find each other again after a partition, and against a
/// partition that isn't noticed.
#[test]
fn a_cold_start_a_partition_and_its_end_converge_in_spite_of_loss() {
    let mut random = SmallRng::seed_from_u64(4);
    let mut nodes: Vec<Node> = (1..=10).map(|entry| node(entry, &[1, 2])).collect();
    run(&mut nodes, 0, 20_000, &mut random, |_, _| true);
    assert!(nodes.iter().all(|node| node.live(at(20_000)) == 10));

    let closed = Item::Group(group(0, 0, false, 0));
    nodes[3].publish(Item::Group(group(0, 0, true, 0)), at(20_000));
    run(&mut nodes, 20_000, 24_000, &mut random, |_, _| true);
    let open = |node: &Node| node.store.group(50, 60, at(24_000)).is_some_and(|g| g.servable);
    assert!(nodes.iter().all(open));
    nodes[4].publish(closed, at(24_000));
    run(&mut nodes, 24_000, 25_500, &mut random, |_, _| true);
    let shut = |node: &Node| node.store.group(50, 60, at(25_500)).is_some_and(|g| !g.servable);
    assert!(nodes.iter().all(shut));

    run(&mut nodes, 25_500, 150_000, &mut random, |from, to| (from < 4) == (to < 4));
    let live: Vec<usize> = nodes.iter().map(|node| node.live(at(150_000))).collect();
    assert_eq!(live, [4, 4, 4, 4, 6, 6, 6, 6, 6, 6]);
    run(&mut nodes, 150_000, 175_000, &mut random, |_, _| true);
    assert!(nodes.iter().all(|node| node.live(at(175_000)) == 10));
}

/// An entry of a fleet of 420 that knows all entries, `groups` groups and 600 instances.
fn large_fleet(groups: u64) -> Node {
    let mut node = node(1, &[]);
    let listed: Vec<u64> = (1..=420).collect();
    node.view.set_listed(&listed);
    node.store.set_listed(&(0..groups).map(|group| (group, group)).collect::<Vec<_>>());
    for other in 2..=420 {
        node.view.merge(&beat(other, 1 << 40), at(0));
    }
    for number in 0..groups {
        let observer = u64::MAX - number;
        let known =
            Group { group: number, fence: number, ..group(observer, 1, number % 5 > 0, 90) };
        node.gossip.receive(&mut node.view, &mut node.store, vec![Item::Group(known)], at(0));
    }
    for number in 0..600 {
        let name = format!("server-{number:03}");
        let state = Instance { instance: name, ..instance(number, 1, State::Ready, 90) };
        node.gossip.receive(&mut node.view, &mut node.store, vec![Item::Instance(state)], at(0));
    }
    node
}

/// Guards against frames that the receiver rejects, and against a size that grows with the fleet.
#[test]
fn frames_stay_in_the_budget_with_420_entries_and_600_instances() {
    for (groups, budget, fanout) in [(75, 900, 4), (600, codec::GOSSIP, 3)] {
        let mut node = large_fleet(groups);
        for round in 1..=60 {
            let Outgoing { peers, frame } = node.round(at(round * 100)).unwrap();
            let size = codec::encode(&frame).unwrap().len();
            assert!(size <= budget && size * 6 > budget * 5, "frame of {size} bytes");
            assert_eq!(peers.len(), fanout);
        }
    }
}

/// Guards against dense lists that leave no room for changes: with 150 groups and frames of 900
/// bytes, a draining entry was not announced at all.
#[test]
fn a_change_finds_room_beside_the_dense_lists() {
    for groups in [75, 150, 300, 600] {
        let mut node = large_fleet(groups);
        let draining = Heartbeat { phase: Phase::Draining, ..beat(7, (1 << 40) + 1) };
        let news = vec![Item::Heartbeat(draining)];
        node.gossip.receive(&mut node.view, &mut node.store, news, at(0));
        let Outgoing { frame, .. } = node.round(at(100)).unwrap();
        let Frame::Gossip { items, .. } = frame else { panic!("no gossip") };
        let told = |item: &Item| matches!(item, Item::Heartbeat(it) if it.incarnation == 7);
        assert!(items.iter().any(told), "{groups} groups");
    }
}

/// Guards against a crash or a closed group that waits for the next round, and against a flood.
#[test]
fn urgent_changes_leave_at_once_but_ten_times_a_second_at_most() {
    let mut sender = node(1, &[2]);
    let mut receiver = node(2, &[1]);
    assert_eq!(sender.gossip.urgent_round(&sender.view, &sender.store, at(0)), None);
    let mut frames = Vec::new();
    for now in 0..1_000 {
        let blame = Blame { fingerprint: 5, observer: 0, counter: 0 };
        sender.publish(Item::Blame(blame), at(now));
        frames.extend(sender.gossip.urgent_round(&sender.view, &sender.store, at(now)));
    }
    assert_eq!(frames.len(), 10);
    assert_eq!(frames[0].peers, ["10.0.0.2:8090"], "without a live neighbour, the seeds are used");
    let news = receiver.receive(&frames[0].frame, at(1_000));
    assert!(news.iter().any(|item| matches!(item, Item::Blame(_))));
    assert!(receiver.gossip.urgent_due().is_some(), "the receiver passes it on at once");
    assert!(receiver.receive(&frames[0].frame, at(1_010)).is_empty(), "a duplicate is no news");
}

/// Guards against a report that gets younger while entries pass it on.
#[test]
fn ages_never_decrease_on_the_way() {
    let mut random = SmallRng::seed_from_u64(9);
    let mut chain: Vec<Node> = (1..=5).map(|entry| node(entry, &[entry % 5 + 1])).collect();
    for (listed, index) in [(true, 0), (true, 1), (true, 2), (false, 3), (false, 4)] {
        let groups: &[(u64, u64)] = if listed { &[(50, 60)] } else { &[] };
        chain[index].store.set_listed(groups);
    }
    chain[0].publish(Item::Group(group(0, 0, true, 333)), at(0));
    chain[0].publish(Item::Instance(instance(0, 0, State::Silent, 333)), at(0));
    let mut now = 0;
    for index in 0..4 {
        now += random.random_range(1..300);
        let frame = chain[index].round(at(now)).unwrap().frame;
        // Time on the network is not part of the age.
        chain[index + 1].receive(&frame, at(now));
        let known = chain[index + 1].store.group(50, 60, at(now)).unwrap();
        let state = chain[index + 1].store.instance("server-1", at(now)).unwrap();
        assert!(u64::from(known.age_ms) >= 333 + now && u64::from(state.age_ms) >= 333 + now);
        assert!(u64::from(known.age_ms) <= 333 + now + 40, "rounding: 10 ms per hop");
    }
}

/// Guards against a new entry that needs minutes to know a large fleet, and against requests
/// without end for entries that are listed but dead.
#[test]
fn a_new_entry_learns_a_peers_view_at_once() {
    let (mut old, mut new) = (node(1, &[]), node(500, &[1]));
    let listed: Vec<u64> = (1..=420).chain([500, 501]).collect();
    for other in 2..=420 {
        old.view.merge(&beat(other, 40), at(0));
    }
    old.publish(Item::Instance(instance(0, 0, State::Ready, 0)), at(0));
    old.round(at(100));
    assert_eq!(old.gossip.pull_peer(&old.view, at(100)).map(|peer| peer.is_empty()), Some(false));
    new.view.set_listed(&listed);
    assert_eq!(new.gossip.pull_peer(&new.view, at(0)), None);
    new.round(at(100));
    assert_eq!(new.gossip.pull_peer(&new.view, at(100)).unwrap(), "10.0.0.1:8090");
    let frames = old.gossip.dump(&old.view, &old.store, at(200));
    for frame in &frames {
        assert!(codec::encode(frame).is_ok());
        let Frame::Gossip { items, .. } = frame else { panic!("{frame:?}") };
        new.gossip.receive_pulled(&mut new.view, &mut new.store, items.clone(), at(200));
    }
    assert_eq!(new.live(at(300)), 421);
    assert!(new.store.instance("server-1", at(300)).is_some());
    // Entry 501 is dead; its absence is no reason to ask every round.
    let asked = (1..=240u64).filter(|round| {
        let now = at(300 + round * 500);
        new.view.merge(&beat(1, 100 + round), now);
        new.round(now);
        new.gossip.pull_peer(&new.view, now).is_some()
    });
    assert!((1..=6).contains(&asked.count()));
}

/// Guards against beats that are read with another list than they were written with.
#[test]
fn beats_are_read_with_the_list_of_the_sender() {
    let (mut sender, mut receiver) = (node(1, &[9]), node(9, &[1]));
    for other in 2..=6 {
        sender.view.merge(&beat(other, 40 + other), at(0));
        receiver.view.merge(&beat(other, 30), at(0));
    }
    sender.view.set_listed(&[1, 2, 3, 5, 9]);
    let beats = |send: Option<Outgoing>| match send.unwrap().frame {
        Frame::Gossip { sender, items } => {
            let dense = items.into_iter().filter(|item| matches!(item, Item::Beats { .. }));
            Frame::Gossip { sender, items: dense.collect() }
        }
        frame => frame,
    };
    let frame = beats(sender.round(at(500)));
    receiver.view.set_listed(&[1, 2, 4, 5, 9]);
    receiver.receive(&frame, at(600));
    assert!((2..=6).all(|entry| receiver.view.get(entry).unwrap().counter == 30), "unknown list");
    receiver.view.set_listed(&[1, 2, 3, 5, 9]);
    receiver.view.set_listed(&[1, 2, 3, 5, 6, 9]);
    receiver.receive(&frame, at(700));
    let counters: Vec<u64> =
        (2..=6).map(|entry| receiver.view.get(entry).unwrap().counter).collect();
    assert_eq!(counters, [42, 43, 30, 45, 30]);
}

/// Guards against changes that fill frames for ever, and a phase that isn't passed on.
#[test]
fn a_change_is_carried_by_a_bounded_number_of_frames() {
    let mut node = Node { view: view(2..10), ..node(1, &[]) };
    let leaving = Heartbeat { phase: Phase::Draining, ..beat(4, 11) };
    node.receive(&Frame::Gossip { sender: 4, items: vec![Item::Heartbeat(leaving)] }, at(1_000));
    let carried = |node: &mut Node, now| {
        let Some(Outgoing { frame: Frame::Gossip { items, .. }, .. }) = node.round(at(now)) else {
            return false;
        };
        // The own heartbeat is first; a change precedes round-robin items.
        matches!(&items[1], Item::Heartbeat(beat) if beat.incarnation == 4)
    };
    let count = (1..=4).filter(|round| carried(&mut node, 1_000 + round * 50)).count();
    assert_eq!(count, 4, "log3(9) + 2 frames");
    let later = (5..=40).filter(|round| carried(&mut node, 1_000 + round * 50)).count();
    assert!(later < 15, "{later} of 36 later frames still carry the change first");
}
