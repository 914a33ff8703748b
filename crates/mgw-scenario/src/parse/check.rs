//! Checks that every name in a parsed script is declared.

use smol_str::SmolStr;

use crate::deployment::Edit;
use crate::script::{Action, Base, Key, Metric, Script, Target};

/// Checks the names in the steps and expectations.
///
/// Returns the line and the cause of the first undeclared name. A booking or publication that
/// another step refers to must come before it in the file.
pub(super) fn check(script: &Script) -> Result<(), (usize, String)> {
    let deployment = &script.deployment;
    let nodes: Vec<SmolStr> = [
        deployment.entry_names(),
        deployment.instance_names(),
        deployment.server_names(),
        vec!["log".into(), "list".into(), "weights".into()],
    ]
    .concat();
    let zones = deployment.zones();
    let target_known = |target: &Target| match target {
        Target::Node(name) => nodes.contains(name),
        Target::Planner | Target::LastPlanner | Target::TrappedEntry => true,
        Target::Domain(name) => deployment.domains.iter().any(|it| it.name == *name),
        Target::Zone(name) => zones.contains(name),
    };
    let model_known = |name: &SmolStr| deployment.models.iter().any(|it| it.name == *name);
    let team_known = |name: &SmolStr| deployment.teams.iter().any(|it| it.name == *name);
    let service_known = |name: &SmolStr| deployment.services.iter().any(|it| it.name == *name);
    let mut calls: Vec<SmolStr> = Vec::new();
    let mut publications: Vec<SmolStr> = vec!["initial".into()];
    for step in &script.steps {
        let unknown = |what: &str, name: &dyn std::fmt::Debug| {
            Err((step.line, format!("unknown {what} {name:?}")))
        };
        for target in targets(&step.action) {
            if !target_known(target) {
                return unknown("target", target);
            }
        }
        match &step.action {
            Action::Call { ask, zone, .. } => {
                calls.push(ask.name.clone());
                if !model_known(&ask.model) {
                    return unknown("model", &ask.model);
                }
                if !team_known(&ask.team) {
                    return unknown("team", &ask.team);
                }
                if let Some(zone) = zone.as_ref().filter(|it| !zones.contains(it)) {
                    return unknown("zone", zone);
                }
            }
            Action::Book { ask, zone, key, .. } => {
                if let Key::SameAs(name) = key
                    && !calls.contains(name)
                {
                    return unknown("booking", name);
                }
                calls.push(ask.name.clone());
                if !service_known(&ask.model) {
                    return unknown("service", &ask.model);
                }
                if !team_known(&ask.team) {
                    return unknown("team", &ask.team);
                }
                if let Some(zone) = zone.as_ref().filter(|it| !zones.contains(it)) {
                    return unknown("zone", zone);
                }
            }
            Action::Publish { name, base, edits, .. } => {
                if let Base::Publication(base) = base
                    && !publications.contains(base)
                {
                    return unknown("publication", base);
                }
                publications.push(name.clone());
                for edit in edits {
                    match edit {
                        Edit::Replicas(name, _) | Edit::Version(name, _) if !model_known(name) => {
                            return unknown("model", name);
                        }
                        Edit::Rate(name, _) if !team_known(name) => return unknown("team", name),
                        _ => {}
                    }
                }
            }
            _ => {}
        }
    }
    let instances = deployment.instance_names();
    for expectation in &script.expectations {
        let instance_known = |name: &SmolStr| instances.contains(name);
        let publication_known = |name: &SmolStr| publications.contains(name);
        let call_known = |name: &SmolStr| calls.contains(name);
        let unknown = match &expectation.condition.metric {
            Metric::Serving(name) | Metric::Groups(name, _) => {
                (!model_known(name)).then_some(("model", name))
            }
            Metric::Serves(name) | Metric::Grouped(name) => {
                (!instance_known(name)).then_some(("instance", name))
            }
            Metric::Published(names) | Metric::Superseded(names) | Metric::Refused(names) => {
                names.iter().find(|name| !publication_known(name)).map(|name| ("publication", name))
            }
            Metric::Calls(name)
            | Metric::Count(name, _)
            | Metric::Open(name)
            | Metric::Share(name, _)
            | Metric::Runs(name)
            | Metric::Ran(name)
            | Metric::First(name)
            | Metric::Slowest(name)
            | Metric::Within(name, _)
            | Metric::Gap(name)
            | Metric::Attempts(name) => (!call_known(name)).then_some(("call", name)),
            Metric::Events(name) => {
                let known = mgw_event::Kind::ALL.iter().any(|kind| kind.name() == name);
                (!known).then_some(("event", name))
            }
            Metric::Entries
            | Metric::Behind
            | Metric::Term
            | Metric::Crashes
            | Metric::Downtime
            | Metric::Stranded
            | Metric::Records => None,
        };
        if let Some((what, name)) = unknown {
            return Err((expectation.line, format!("unknown {what} {name}")));
        }
    }
    Ok(())
}

/// Returns all targets of an action.
fn targets(action: &Action) -> Vec<&Target> {
    match action {
        Action::Fail(target)
        | Action::Restart(target)
        | Action::Pause(target)
        | Action::Resume(target)
        | Action::Slow(target, _)
        | Action::Leave(target)
        | Action::Arrive(target)
        | Action::Vanish(target)
        | Action::Dark(target)
        | Action::Mute(target, _)
        | Action::Refuse(target, _)
        | Action::Replace(target, _)
        | Action::Drain(target)
        | Action::Mark(target, _)
        | Action::Gone(target)
        | Action::Flaw(target, _)
        | Action::Publish { via: target, .. } => vec![target],
        Action::Cut(left, right) | Action::Silent(left, right) => vec![left, right],
        Action::Heal(left, right) => left.iter().chain(right).collect(),
        Action::Call { via, .. } | Action::Book { via, .. } => via.iter().collect(),
        Action::Trap(..)
        | Action::LogDown
        | Action::LogUp
        | Action::LogSilent
        | Action::LogSlow(_)
        | Action::LogLose(_)
        | Action::LogRetain(_)
        | Action::ListStale(_)
        | Action::ListDown(_)
        | Action::Weights { .. } => Vec::new(),
    }
}
