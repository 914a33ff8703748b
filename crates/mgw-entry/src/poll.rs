//! Polls of backend servers and the reports that they return.

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

/// Maximum number of instances that the planner polls per round in addition to those that it
/// observes.
///
/// At the current deployment size, polling all instances outside of serving groups takes two or
/// three rounds. At about 400 bytes per poll, this costs the planner up to 16 KB/s while many
/// instances are without a serving group; see docs/CAPACITY.md.
const MAX_PLANNER_POLLS: usize = 20;

/// Time since the newest poll after which an instance no longer counts as polled by this entry, so
/// that its silence is ignored.
const POLLED_TIMEOUT: Duration = Duration::from_secs(10);

/// The results of the polls of one instance.
#[derive(Clone, Debug, Default)]
pub struct Poll {
    /// When the newest poll that was answered was sent; `None` if none was answered.
    ///
    /// An answer may wait in a queue while the process is paused, so the time of its receipt does
    /// not bound the age of the report.
    pub last_answered: Option<Instant>,
    /// When the newest poll was sent; `None` before the first one.
    last_polled: Option<Instant>,
    /// Start of the time without an answer; `None` if the newest poll was answered.
    pub silent_since: Option<Instant>,
    /// The newest report in the form that gossip sends.
    state: Option<frame::Instance>,
    /// The item that was published last, and when.
    pub(crate) published: Option<(frame::Instance, Instant)>,
}

impl Node {
    /// Records the result of a poll of a model engine.
    pub(crate) fn handle_engine(&mut self, name: SmolStr, answer: Option<Engine>) {
        let round = self.options.round_interval;
        let Some(sent_at) = self.polls_in_flight.remove(&name) else { return };
        let poll = self.polls.get_or_insert_with(name.clone(), Poll::default);
        match answer {
            None => poll.record_failure(sent_at, round),
            Some(engine) => {
                poll.last_answered = Some(sent_at);
                poll.silent_since = None;
                poll.state = Some(engine_state(&name, &engine));
                let report = Report::new(&engine, sent_at);
                self.observations.instances.get_or_insert_with(name, Observation::default).report =
                    Some(report);
            }
        }
    }

    /// Records the result of a poll of a plain service's server.
    pub(crate) fn handle_server(&mut self, name: SmolStr, answer: Option<Server>) {
        let round = self.options.round_interval;
        let Some(sent_at) = self.polls_in_flight.remove(&name) else { return };
        let poll = self.polls.get_or_insert_with(name.clone(), Poll::default);
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

    /// Sorted names of all instances and servers that this entry observes.
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

    /// Polls the observed instances and, on the planner, some of the others.
    pub(crate) fn poll(&mut self, now: Instant) {
        let state = self.reader.state();
        let Some(sheet) = state.sheet() else { return };
        let mut instances = self.observed();
        instances.extend(self.non_serving_instances(&instances));
        for instance in instances {
            // At most one poll is in flight per instance, so that it is known which one an answer
            // belongs to and when that was sent.
            if self.polls_in_flight.get(&instance).is_some() {
                continue;
            }
            let engine = sheet.instances.binary_search_by(|it| it.name.cmp(&instance));
            let server = sheet.servers.binary_search_by(|it| it.name.cmp(&instance));
            let name = instance.clone();
            let command = match (engine, server) {
                (Ok(index), _) => {
                    let address = sheet.instances[index].address.clone();
                    Command::PollEngine { instance, address }
                }
                (_, Ok(index)) => {
                    let address = sheet.servers[index].address.clone();
                    Command::PollServer { instance, address }
                }
                _ => continue,
            };
            self.polls.get_or_insert_with(name.clone(), Poll::default).last_polled = Some(now);
            self.polls_in_flight.insert(name, now);
            self.commands.push(command);
        }
    }

    /// Instances outside of serving groups that the planner polls itself, least recently polled
    /// first. Empty on other entries.
    ///
    /// Gossip places the states of free instances last in a frame. Without these polls they reached
    /// the planner seconds late.
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
        names.sort_by_key(|name| self.polls.get(name).and_then(|poll| poll.last_polled));
        names.truncate(MAX_PLANNER_POLLS);
        names
    }
}

impl Poll {
    /// Start of the time without an answer; `None` if the instance answers or is no longer polled.
    pub(crate) fn current_silence(&self, now: Instant) -> Option<Instant> {
        self.silent_since
            .filter(|_| self.last_polled.is_some_and(|at| now.since(at) < POLLED_TIMEOUT))
    }

    /// Records that the poll sent at `sent_at` was not answered. The silence starts at the last
    /// answered poll. If that is more than two rounds older, this process was paused in between and
    /// did not poll, so the silence starts at `sent_at`.
    fn record_failure(&mut self, sent_at: Instant, round: Duration) {
        let answered = self.last_answered.filter(|at| sent_at.since(*at) <= round * 2);
        self.silent_since = self.silent_since.or(answered).or(Some(sent_at));
    }

    /// The state to publish by gossip; `None` before the first poll has a result.
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

/// An engine's report in the form that gossip sends. Gossip fills in observer and counter.
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
