//! Polls of backend servers and what they show.

use std::time::Duration;

use mgw_base::time::Instant;
use mgw_group::view::{Observation, Report};
use mgw_member::observe::Unit;
use mgw_report::report::{Engine, Phase, Server};
use mgw_wire::frame::{self, State};
use smol_str::SmolStr;

use crate::command::Command;
use crate::node::Node;
use crate::observe::age;

/// Instances that the planner polls per round besides those that it observes.
///
/// At today's size all of them take two or three rounds. At about 400 bytes per poll, a storm costs
/// the planner up to 16 KB/s; see docs/CAPACITY.md.
const PLANNER_POLLS: usize = 20;

/// An instance that was not polled for this long is no longer polled by this entry.
const POLLED: Duration = Duration::from_secs(10);

/// What polling an instance showed.
#[derive(Clone, Debug, Default)]
pub struct Poll {
    /// When the last poll that it answered was sent; `None` if it never answered.
    ///
    /// An answer may lie in the process's queue during a pause, so the time of its receipt says
    /// nothing about the age of what it reports.
    pub answered: Option<Instant>,
    /// When the newest poll was sent.
    polled: Option<Instant>,
    /// Since when it does not answer; `None` while it does.
    pub silent: Option<Instant>,
    /// Its newest report as an instance state.
    state: Option<frame::Instance>,
    /// The state that was published last, and when.
    pub(crate) published: Option<(frame::Instance, Instant)>,
}

impl Node {
    pub(crate) fn take_engine(&mut self, name: SmolStr, answer: Option<Engine>) {
        let round = self.options.round_interval;
        let Some(asked) = self.asked.remove(&name) else { return };
        let poll = self.polls.get_or_insert_with(name.clone(), Poll::default);
        match answer {
            None => poll.fall_silent(asked, round),
            Some(engine) => {
                poll.answered = Some(asked);
                poll.silent = None;
                poll.state = Some(engine_state(&name, &engine));
                let report = Report::new(&engine, asked);
                self.observations.instances.get_or_insert_with(name, Observation::default).report =
                    Some(report);
            }
        }
    }

    pub(crate) fn take_server(&mut self, name: SmolStr, answer: Option<Server>) {
        let round = self.options.round_interval;
        let Some(asked) = self.asked.remove(&name) else { return };
        let poll = self.polls.get_or_insert_with(name.clone(), Poll::default);
        match answer {
            None => poll.fall_silent(asked, round),
            Some(server) => {
                poll.answered = Some(asked);
                poll.silent = None;
                poll.state = Some(frame::Instance {
                    instance: name.to_string(),
                    boot: server.boot.to_string(),
                    observer: 0,
                    counter: 0,
                    fence: 0,
                    group: 0,
                    state: State::Ready,
                    load: server.running,
                    age_ms: 0,
                });
            }
        }
    }

    /// Names of all instances and servers that this entry polls, sorted.
    pub(crate) fn observed(&self) -> Vec<SmolStr> {
        let state = self.reader.state();
        let mut names = Vec::new();
        for unit in self.assignment.units() {
            match unit {
                Unit::Instance(name) | Unit::Server(name) => names.push(name.clone()),
                Unit::Group(id) => {
                    let seats = state.group(*id).map_or(&[][..], |group| &group.members);
                    names.extend(seats.iter().map(|seat| seat.instance.clone()));
                }
            }
        }
        names.sort_unstable();
        names.dedup();
        names
    }

    pub(crate) fn poll(&mut self, now: Instant) {
        let state = self.reader.state();
        let Some(sheet) = state.sheet() else { return };
        let mut polled = self.observed();
        polled.extend(self.unsettled(&polled));
        for instance in polled {
            // One poll at a time, so that it is known when the answered one was sent.
            if self.asked.get(&instance).is_some() {
                continue;
            }
            let engine = sheet.instances.binary_search_by(|it| it.name.cmp(&instance));
            let server = sheet.servers.binary_search_by(|it| it.name.cmp(&instance));
            let asked = instance.clone();
            let command = match (engine, server) {
                (Ok(place), _) => {
                    let address = sheet.instances[place].address.clone();
                    Command::PollEngine { instance, address }
                }
                (_, Ok(place)) => {
                    let address = sheet.servers[place].address.clone();
                    Command::PollServer { instance, address }
                }
                _ => continue,
            };
            self.polls.get_or_insert_with(asked.clone(), Poll::default).polled = Some(now);
            self.asked.insert(asked, now);
            self.commands.push(command);
        }
    }

    /// Instances outside of serving groups that the planner polls itself, in turns.
    ///
    /// By gossip alone, the states of free instances reached the planner seconds late: they come
    /// last in a frame.
    fn unsettled(&self, observed: &[SmolStr]) -> Vec<SmolStr> {
        let state = self.reader.state();
        let own = self.options.incarnation;
        let Some(sheet) = state.sheet().filter(|_| state.term().planner == Some(own)) else {
            return Vec::new();
        };
        let settled = |name: &SmolStr| {
            let assignment = state.instance(name).and_then(|known| known.assignment);
            assignment.is_some_and(|it| self.is_servable(it.group))
        };
        let mut names: Vec<SmolStr> = sheet
            .instances
            .iter()
            .map(|it| it.name.clone())
            .filter(|name| observed.binary_search(name).is_err() && !settled(name))
            .collect();
        // Those that were polled longest ago come first.
        names.sort_by_key(|name| self.polls.get(name).and_then(|poll| poll.polled));
        names.truncate(PLANNER_POLLS);
        names
    }
}

impl Poll {
    /// Since when the instance does not answer, if it is still polled.
    pub(crate) fn silence(&self, now: Instant) -> Option<Instant> {
        self.silent.filter(|_| self.polled.is_some_and(|at| now.since(at) < POLLED))
    }

    /// Notes a poll without an answer that was sent at `asked`. The silence began with the last
    /// answer, unless this process was paused in between and did not poll.
    fn fall_silent(&mut self, asked: Instant, round: Duration) {
        let answered = self.answered.filter(|at| asked.since(*at) <= round * 2);
        self.silent = self.silent.or(answered).or(Some(asked));
    }

    /// What to tell the others; `None` before the first answer or silence.
    pub(crate) fn item(&self, name: &SmolStr, now: Instant) -> Option<frame::Instance> {
        let known = self.state.clone();
        match (self.silent, known) {
            (Some(since), known) => {
                let blank = frame::Instance {
                    instance: name.to_string(),
                    boot: String::new(),
                    observer: 0,
                    counter: 0,
                    fence: 0,
                    group: 0,
                    state: State::Silent,
                    load: 0,
                    age_ms: 0,
                };
                let known = known.unwrap_or(blank);
                Some(frame::Instance { state: State::Silent, age_ms: age(now, since), ..known })
            }
            (None, Some(known)) => {
                let at = self.answered.unwrap_or(now);
                Some(frame::Instance { age_ms: age(now, at), ..known })
            }
            (None, None) => None,
        }
    }
}

fn engine_state(name: &SmolStr, engine: &Engine) -> frame::Instance {
    let state = match engine.state {
        Phase::Idle => State::Idle,
        Phase::Loading => State::Loading,
        Phase::Ready => State::Ready,
        Phase::Failed => State::Failed,
    };
    frame::Instance {
        instance: name.to_string(),
        boot: engine.boot.to_string(),
        observer: 0,
        counter: 0,
        fence: engine.fence,
        group: engine.group,
        state,
        load: engine.running.saturating_add(engine.queued),
        age_ms: 0,
    }
}
