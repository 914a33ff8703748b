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
const MAX_PLANNER_POLLS: usize = 20;

/// An instance that was not polled for this long is no longer polled by this entry.
const POLLED_TIMEOUT: Duration = Duration::from_secs(10);

/// What polling an instance showed.
#[derive(Clone, Debug, Default)]
pub struct Poll {
    /// When the last poll that it answered was sent; `None` if it never answered.
    ///
    /// An answer may lie in the process's queue during a pause, so the time of its receipt says
    /// nothing about the age of what it reports.
    pub last_answered: Option<Instant>,
    /// When the newest poll was sent.
    last_polled: Option<Instant>,
    /// Since when it does not answer; `None` while it does.
    pub silent_since: Option<Instant>,
    /// Its newest report as an instance state.
    state: Option<frame::Instance>,
    /// The state that was published last, and when.
    pub(crate) published: Option<(frame::Instance, Instant)>,
}

impl Node {
    pub(crate) fn handle_engine(&mut self, name: SmolStr, answer: Option<Engine>) {
        let round = self.options.round_interval;
        let Some(sent_at) = self.polls_in_flight.remove(&name) else { return };
        let poll = self.polls.entry(name.clone(), Poll::default);
        match answer {
            None => poll.record_failure(sent_at, round),
            Some(engine) => {
                poll.last_answered = Some(sent_at);
                poll.silent_since = None;
                poll.state = Some(engine_state(&name, &engine));
                let report = Report::new(&engine, sent_at);
                self.observations.instances.entry(name, Observation::default).report = Some(report);
            }
        }
    }

    pub(crate) fn handle_server(&mut self, name: SmolStr, answer: Option<Server>) {
        let round = self.options.round_interval;
        let Some(sent_at) = self.polls_in_flight.remove(&name) else { return };
        let poll = self.polls.entry(name.clone(), Poll::default);
        match answer {
            None => poll.record_failure(sent_at, round),
            Some(server) => {
                poll.last_answered = Some(sent_at);
                poll.silent_since = None;
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
        let mut instances = self.observed();
        instances.extend(self.non_serving_instances(&instances));
        for instance in instances {
            // One poll at a time, so that it is known when the answered one was sent.
            if self.polls_in_flight.get(&instance).is_some() {
                continue;
            }
            let engine = sheet.instances.binary_search_by(|it| it.name.cmp(&instance));
            let server = sheet.servers.binary_search_by(|it| it.name.cmp(&instance));
            let name = instance.clone();
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
            self.polls.entry(name.clone(), Poll::default).last_polled = Some(now);
            self.polls_in_flight.insert(name, now);
            self.commands.push(command);
        }
    }

    /// Instances outside of serving groups that the planner polls itself, in turns.
    ///
    /// By gossip alone, the states of free instances reached the planner seconds late: they come
    /// last in a frame.
    fn non_serving_instances(&self, observed: &[SmolStr]) -> Vec<SmolStr> {
        let state = self.reader.state();
        let own = self.options.incarnation;
        let Some(sheet) = state.sheet().filter(|_| state.term().planner == Some(own)) else {
            return Vec::new();
        };
        let is_serving = |name: &SmolStr| {
            let assignment = state.instance(name).and_then(|known| known.assignment);
            assignment.is_some_and(|it| self.is_servable(it.group))
        };
        let mut names: Vec<SmolStr> = sheet
            .instances
            .iter()
            .map(|it| it.name.clone())
            .filter(|name| observed.binary_search(name).is_err() && !is_serving(name))
            .collect();
        // Those that were polled longest ago come first.
        names.sort_by_key(|name| self.polls.get(name).and_then(|poll| poll.last_polled));
        names.truncate(MAX_PLANNER_POLLS);
        names
    }
}

impl Poll {
    /// Since when the instance does not answer, if it is still polled.
    pub(crate) fn current_silence(&self, now: Instant) -> Option<Instant> {
        self.silent_since
            .filter(|_| self.last_polled.is_some_and(|at| now.since(at) < POLLED_TIMEOUT))
    }

    /// Notes a poll without an answer that was sent at `asked`. The silence began with the last
    /// answer, unless this process was paused in between and did not poll.
    fn record_failure(&mut self, sent_at: Instant, round: Duration) {
        let answered = self.last_answered.filter(|at| sent_at.since(*at) <= round * 2);
        self.silent_since = self.silent_since.or(answered).or(Some(sent_at));
    }

    /// What to tell the others; `None` before the first answer or silence.
    pub(crate) fn gossip_item(&self, name: &SmolStr, now: Instant) -> Option<frame::Instance> {
        let known = self.state.clone();
        match (self.silent_since, known) {
            (Some(since), known) => {
                let unknown = frame::Instance {
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
                let known = known.unwrap_or(unknown);
                Some(frame::Instance { state: State::Silent, age_ms: age(now, since), ..known })
            }
            (None, Some(known)) => {
                let at = self.last_answered.unwrap_or(now);
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
