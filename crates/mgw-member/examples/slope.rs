//! Measures convergence, bytes and processor time of gossip at several fleet sizes.
//!
//! Time is virtual: each entry runs its own rounds every 500 ms at a random offset, frames take 1 to
//! 10 ms, and 1% of frames are lost. The seed is fixed. Processor times are of this machine.

use std::collections::BinaryHeap;
use std::time::Duration;

use mgw_base::time::Instant;
use mgw_member::gossip::{self, Gossip, Outgoing};
use mgw_member::observe::{self, Candidate, Placement, Unit};
use mgw_member::store::{self, Store};
use mgw_member::view::{self, Status, View};
use mgw_wire::codec;
use mgw_wire::frame::{Frame, Group, Heartbeat, Instance, Item, Phase, State, Usage};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use smol_str::SmolStr;

const ROUND: u64 = 500_000;
const INSTANCES: u64 = 600;
const TEAMS: usize = 10;

struct Node {
    view: View,
    store: Store,
    gossip: Gossip,
    groups: Vec<u64>,
    instances: Vec<u64>,
    next_urgent: u64,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Step {
    Round(usize),
    Urgent(usize),
    Poll(usize),
    Arrive(usize, Vec<u8>),
    /// A request of the first entry for the whole view of the second.
    Pull(usize, usize),
}

struct Fleet {
    nodes: Vec<Node>,
    queue: BinaryHeap<std::cmp::Reverse<(u64, u64, Step)>>,
    sequence: u64,
    random: SmallRng,
    sent: Vec<u64>,
    received: Vec<u64>,
    largest: usize,
    rounds: u64,
    busy: Duration,
    closed: Vec<u64>,
    now: u64,
}

impl Fleet {
    fn new(
        entries: usize,
        groups: u64,
        (fanout, max_frame_bytes): (usize, usize),
        warm: bool,
    ) -> Self {
        let mut random = SmallRng::seed_from_u64(20_260_000 + entries as u64);
        let zone = |index: usize| SmolStr::new(format!("zone-{}", index % 3));
        let mut incarnations: Vec<u64> = (0..entries).map(|_| random.random()).collect();
        incarnations.sort_unstable();
        let beats: Vec<Heartbeat> = (0..entries)
            .map(|index| Heartbeat {
                incarnation: incarnations[index],
                counter: 1,
                entry: format!("entry-{index:03}"),
                callers: format!("10.1.{}.{}:8080", index / 250, index % 250),
                peers: format!("10.1.{}.{}:8090", index / 250, index % 250),
                zone: zone(index).into(),
                phase: Phase::Serving,
                applied: 100_000,
                uptime_ms: 3_600_000,
            })
            .collect();
        let seeds: Vec<SmolStr> =
            beats.iter().take(3).map(|beat| SmolStr::new(&beat.peers)).collect();
        let candidates: Vec<Candidate> = (0..entries)
            .map(|index| Candidate { incarnation: incarnations[index], zone: zone(index) })
            .collect();
        let listed: Vec<(u64, u64)> =
            (0..groups).map(|group| (90_000 + group, 90_000 + group)).collect();
        let mut nodes: Vec<Node> = (0..entries)
            .map(|index| {
                let now = Instant::default();
                let mut view = View::new(beats[index].clone(), view::Options::default(), now);
                for beat in beats.iter().filter(|_| warm) {
                    view.merge(beat, now);
                }
                view.set_listed(&incarnations);
                let mut store = Store::new(store::Options::default());
                store.set_listed(&listed);
                let gossip = Gossip::new(
                    gossip::Options {
                        usual_size: gossip::RoundSize { fanout, max_frame_bytes },
                        seeds: seeds.clone(),
                        ..Default::default()
                    },
                    index as u64,
                );
                let (groups, instances) = (Vec::new(), Vec::new());
                Node { view, store, gossip, groups, instances, next_urgent: 0 }
            })
            .collect();
        let mut assign = |unit: Unit, zone: SmolStr, number: u64| {
            for observer in observe::observers(&Placement { unit: unit.clone(), zone }, &candidates)
            {
                let index = incarnations.binary_search(&observer).unwrap_or_default();
                match unit {
                    Unit::Group(_) => nodes[index].groups.push(number),
                    _ => nodes[index].instances.push(number),
                }
            }
        };
        for group in 0..groups {
            assign(Unit::Group(90_000 + group), zone(group as usize), group);
        }
        for instance in 0..INSTANCES {
            let name = SmolStr::new(format!("server-{instance:03}"));
            assign(Unit::Instance(name), zone(instance as usize), instance);
        }
        let mut fleet = Self {
            nodes,
            queue: BinaryHeap::new(),
            sequence: 0,
            random,
            sent: vec![0; entries],
            received: vec![0; entries],
            largest: 0,
            rounds: 0,
            busy: Duration::ZERO,
            closed: Vec::new(),
            now: 0,
        };
        for index in 0..entries {
            let (round, poll) =
                (fleet.random.random_range(0..ROUND), fleet.random.random_range(0..ROUND));
            fleet.push(round, Step::Round(index));
            fleet.push(poll, Step::Poll(index));
        }
        fleet
    }

    fn push(&mut self, at: u64, step: Step) {
        self.sequence += 1;
        self.queue.push(std::cmp::Reverse((at, self.sequence, step)));
    }

    fn run_until(&mut self, end: u64, mut seen: impl FnMut(usize, u64, &[Item])) {
        while self.queue.peek().is_some_and(|next| next.0.0 <= end) {
            let Some(std::cmp::Reverse((at, _, step))) = self.queue.pop() else { break };
            self.now = at;
            let now = Instant::from_micros(at);
            let started = std::time::Instant::now();
            let (index, send) = match step {
                Step::Pull(index, peer) => {
                    let node = &self.nodes[peer];
                    let frames = node.gossip.dump(&node.view, &node.store, now);
                    for bytes in frames.iter().flat_map(codec::encode) {
                        self.sent[peer] += bytes.len() as u64;
                        self.received[index] += bytes.len() as u64;
                        let node = &mut self.nodes[index];
                        if let Ok(Frame::Gossip { items, .. }) = codec::decode(&bytes) {
                            node.gossip.receive_pulled(&mut node.view, &mut node.store, items, now);
                        }
                    }
                    (index, None)
                }
                Step::Round(index) => {
                    self.rounds += 1;
                    let node = &mut self.nodes[index];
                    let send = node.gossip.round(&mut node.view, &mut node.store, now);
                    if let Some(peer) = node.gossip.pull_peer(&node.view, now) {
                        self.push(at + 10_000, Step::Pull(index, place(&peer)));
                    }
                    self.push(at + ROUND, Step::Round(index));
                    (index, send)
                }
                Step::Urgent(index) => {
                    let node = &mut self.nodes[index];
                    (index, node.gossip.urgent_round(&node.view, &node.store, now))
                }
                Step::Poll(index) => {
                    self.poll(index, now);
                    self.push(at + ROUND, Step::Poll(index));
                    (index, None)
                }
                Step::Arrive(index, bytes) => {
                    self.received[index] += bytes.len() as u64;
                    let node = &mut self.nodes[index];
                    if let Ok(Frame::Gossip { items, .. }) = codec::decode(&bytes) {
                        let news = node.gossip.receive(&mut node.view, &mut node.store, items, now);
                        self.busy += started.elapsed();
                        seen(index, at, &news);
                    }
                    self.schedule_urgent(index, at);
                    continue;
                }
            };
            let parts = send.map(|Outgoing { peers, frame }| (peers, codec::encode(&frame)));
            self.busy += started.elapsed();
            if let Some((peers, Ok(bytes))) = parts {
                self.largest = self.largest.max(bytes.len());
                for peer in peers {
                    self.deliver(index, &peer, at, &bytes);
                }
            }
            self.schedule_urgent(index, at);
        }
        self.now = end;
    }

    fn schedule_urgent(&mut self, index: usize, at: u64) {
        let node = &mut self.nodes[index];
        if let Some(due) = node.gossip.urgent_due() {
            let due = due.as_micros().max(at);
            if node.next_urgent <= at {
                node.next_urgent = due + 1;
                self.push(due, Step::Urgent(index));
            }
        }
    }

    fn deliver(&mut self, from: usize, peer: &str, at: u64, bytes: &[u8]) {
        self.sent[from] += bytes.len() as u64;
        let to = place(peer);
        if self.random.random_range(0..100) > 0 {
            let delay = self.random.random_range(1_000..10_000);
            self.push(at + delay, Step::Arrive(to, bytes.to_vec()));
        }
    }

    fn poll(&mut self, index: usize, now: Instant) {
        let closed = &self.closed;
        let random = &mut self.random;
        let node = &mut self.nodes[index];
        for &group in &node.groups {
            let servable = !closed.contains(&group);
            let (id, load) = (90_000 + group, random.random_range(0..30));
            let item = Item::Group(Group {
                group: id,
                fence: id,
                observer: 0,
                counter: 0,
                servable,
                queued: load,
                running: 32,
                slots: 64,
                age_ms: if servable { random.random_range(0..60) } else { 0 },
            });
            node.gossip.publish(&node.view, &mut node.store, item, now);
        }
        for &instance in &node.instances {
            let item = Item::Instance(Instance {
                instance: format!("server-{instance:03}"),
                boot: format!("b{instance:07}"),
                observer: 0,
                counter: 0,
                fence: 90_000,
                group: 90_000,
                state: State::Ready,
                load: 3,
                age_ms: random.random_range(0..60),
            });
            node.gossip.publish(&node.view, &mut node.store, item, now);
        }
        for team in 0..TEAMS {
            let item = Item::Usage(Usage {
                incarnation: 0,
                counter: 0,
                team: format!("team-{team}"),
                requests: random.random_range(0..30),
                tokens: random.random_range(0..5_000),
                in_flight: 9,
            });
            node.gossip.publish(&node.view, &mut node.store, item, now);
        }
    }

    /// Rounds until each entry knows a change, ascending: in units of the round period.
    fn spread(
        &mut self,
        group_only: bool,
        change: impl Fn(&mut Fleet, usize),
        matches: impl Fn(u64, &Item) -> bool,
    ) -> Vec<f64> {
        let mut times = Vec::new();
        for repetition in 0..3 {
            let start = self.now;
            let origin = self.random.random_range(0..self.nodes.len());
            change(self, origin);
            self.schedule_urgent(origin, start);
            let mut known = vec![None; self.nodes.len()];
            self.run_until(start + 8_000_000, |index, at, news| {
                if news.iter().any(|item| matches(repetition, item)) {
                    known[index].get_or_insert(at - start);
                }
            });
            // The observers of the closed group find out by themselves.
            let observes =
                |index: usize, group: u64| group_only && self.nodes[index].groups.contains(&group);
            let late = 8_000_000;
            times.extend(
                known
                    .iter()
                    .enumerate()
                    .filter(|(index, _)| *index != origin && !observes(*index, repetition))
                    .map(|(_, time)| time.unwrap_or(late) as f64 / ROUND as f64),
            );
        }
        times.sort_by(f64::total_cmp);
        times
    }
}

/// Seconds until each entry of a fleet that starts with three seeds knows all others, ascending.
fn cold(entries: usize, groups: u64, frames: (usize, usize)) -> Vec<f64> {
    let mut fleet = Fleet::new(entries, groups, frames, false);
    let mut known = vec![None; entries];
    for second in 1..=LONGEST {
        fleet.run_until(second * 1_000_000, |_, _, _| {});
        let now = Instant::from_micros(fleet.now);
        for (node, known) in fleet.nodes.iter().zip(&mut known) {
            let live = node.view.iter(now).filter(|(_, status)| *status == Status::Live).count();
            if live == entries {
                known.get_or_insert(second);
            }
        }
        if known.iter().all(Option::is_some) {
            break;
        }
    }
    let mut times: Vec<f64> =
        known.into_iter().map(|time| time.unwrap_or(LONGEST) as f64).collect();
    times.sort_by(f64::total_cmp);
    times
}

/// Seconds after which a cold start is no longer followed.
const LONGEST: u64 = 60;

/// The number of the entry with an address.
fn place(address: &str) -> usize {
    let parts: Vec<usize> =
        address.split(['.', ':']).filter_map(|part| part.parse().ok()).collect();
    parts[2] * 250 + parts[3]
}

fn quantile(sorted: &[f64], part: f64) -> f64 {
    sorted.get(((sorted.len().max(1) - 1) as f64 * part) as usize).copied().unwrap_or(0.0)
}

fn main() {
    println!(
        "entries groups frames  | phase change    | closed group    | bytes/s per node      | frame | CPU per   | oldest entry  | group age ms      | groups    | cold start"
    );
    println!(
        "                       | p50 worst rounds| p50  worst ms   | sent   recv  recv max | max   | round, us | s    suspect  | p50   p99  worst  | over 2 s  | p50  worst s"
    );
    let design = (4, 900);
    let rows = [
        vec![(9, 75, design), (50, 75, design), (100, 75, design), (200, 75, design)],
        vec![(420, 75, design)],
        vec![(420, 150, design), (420, 300, design)],
        vec![(420, 75, (3, 1_200)), (420, 600, design)],
    ];
    let tables: Vec<Vec<String>> = std::thread::scope(|scope| {
        let workers: Vec<_> = rows
            .iter()
            .map(|rows| {
                scope.spawn(move || {
                    rows.iter()
                        .map(|&(entries, groups, frames)| measure(entries, groups, frames))
                        .collect()
                })
            })
            .collect();
        workers.into_iter().filter_map(|worker| worker.join().ok()).collect()
    });
    for line in tables.into_iter().flatten() {
        println!("{line}");
    }
}

/// One line of the table.
fn measure(entries: usize, groups: u64, (fanout, max_frame_bytes): (usize, usize)) -> String {
    let mut fleet = Fleet::new(entries, groups, (fanout, max_frame_bytes), true);
    fleet.run_until(20_000_000, |_, _, _| {});
    let clear = |fleet: &mut Fleet| {
        fleet.sent.fill(0);
        fleet.received.fill(0);
        fleet.busy = Duration::ZERO;
        fleet.rounds = 0;
    };
    clear(&mut fleet);
    let (mut ages, mut silent, mut suspects, mut pairs) = (Vec::new(), 0.0f64, 0u64, 0u64);
    for sample in 1..=40u64 {
        fleet.run_until(20_000_000 + sample * 330_000, |_, _, _| {});
        let now = Instant::from_micros(fleet.now);
        for node in &fleet.nodes {
            for group in 0..groups {
                let age = node
                    .store
                    .group(90_000 + group, 90_000 + group, now)
                    .map_or(1e9, |known| f64::from(known.age_ms));
                ages.push(age);
            }
            for (entry, status) in node.view.iter(now) {
                if entry.heartbeat.incarnation != node.view.own_incarnation() {
                    silent = silent.max(now.since(entry.last_heard).as_secs_f64());
                    pairs += 1;
                    suspects += u64::from(status != Status::Live);
                }
            }
        }
    }
    ages.sort_by(f64::total_cmp);
    let seconds = 40.0 * 0.33;
    let mean = |bytes: &[u64]| bytes.iter().sum::<u64>() as f64 / bytes.len() as f64 / seconds;
    let (sent, received) = (mean(&fleet.sent), mean(&fleet.received));
    let most = fleet.received.iter().max().copied().unwrap_or(0) as f64 / seconds;
    let cpu = fleet.busy.as_secs_f64() * 1e6 / fleet.rounds.max(1) as f64;
    let over =
        ages.iter().filter(|age| **age >= 2_000.0).count() as f64 * 100.0 / ages.len() as f64;
    let phase = fleet.spread(
        false,
        |fleet, origin| {
            let now = Instant::from_micros(fleet.now);
            let node = &mut fleet.nodes[origin];
            let phase =
                match node.view.get(node.view.own_incarnation()).map(|entry| entry.heartbeat.phase)
                {
                    Some(Phase::Serving) => Phase::Draining,
                    _ => Phase::Serving,
                };
            node.view.set_own_state(phase, 0, now);
            node.gossip.announce(&node.view);
        },
        |_, item| matches!(item, Item::Heartbeat(_)),
    );
    let closed = fleet.spread(
        true,
            |fleet, _| {
                let next = fleet.closed.len() as u64;
                fleet.closed.push(next);
                let now = Instant::from_micros(fleet.now);
                if let Some(index) = fleet.nodes.iter().position(|node| node.groups.contains(&next))
                {
                    fleet.poll(index, now);
                    fleet.schedule_urgent(index, fleet.now);
                }
            },
            |next, item| matches!(item, Item::Group(group) if !group.servable && group.group == 90_000 + next),
        );
    let cold = cold(entries, groups, (fanout, max_frame_bytes));
    format!(
        "{entries:7} {groups:6} {fanout:2}x{max_frame_bytes:<4} | {:5.1} {:5.1}     | {:5.0} {:5.0}     | {sent:6.0} {received:6.0} {most:6.0} | {:5} | {cpu:9.0} | {silent:4.1} {:7.4}% | {:5.0} {:5.0} {:5.0} | {over:8.3}% | {:5.0} {:5.0}",
        quantile(&phase, 0.5),
        quantile(&phase, 1.0),
        quantile(&closed, 0.5) * 500.0,
        quantile(&closed, 1.0) * 500.0,
        fleet.largest,
        suspects as f64 * 100.0 / pairs as f64,
        quantile(&ages, 0.5),
        quantile(&ages, 0.99),
        quantile(&ages, 1.0),
        quantile(&cold, 0.5),
        quantile(&cold, 1.0),
    )
}
