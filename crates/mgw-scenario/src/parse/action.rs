//! Parsers of the actions of the timeline.

use winnow::combinator::{alt, cut_err, fail, opt, preceded, repeat};
use winnow::prelude::*;

use super::token::{
    Parsed, decimal, description, keyword, name, number, optional, required, time, word,
};
use crate::deployment::Edit;
use crate::script::{Action, Base, Key, Mark, Target};
use crate::world::SECOND;
use crate::world::call::{KeyKind, Request};
use crate::world::engine::Flaw;
use crate::world::entry::Breakpoint;

pub(super) fn action(input: &mut &str) -> Parsed<Action> {
    let node_actions = alt((
        preceded(keyword("fail"), target).map(Action::Fail),
        preceded(keyword("kill"), target).map(Action::Fail),
        preceded(keyword("restart"), target).map(Action::Restart),
        preceded(keyword("pause"), target).map(Action::Pause),
        preceded(keyword("resume"), target).map(Action::Resume),
        preceded(keyword("slow"), (target, decimal))
            .map(|(target, factor)| Action::Slow(target, factor)),
        preceded(keyword("leave"), target).map(Action::Leave),
        preceded(keyword("arrive"), target).map(Action::Arrive),
        preceded(keyword("vanish"), target).map(Action::Vanish),
        preceded(keyword("dark"), target).map(Action::Dark),
    ));
    let platform_actions = alt((
        preceded(keyword("cut"), (target, target)).map(|(left, right)| Action::Cut(left, right)),
        preceded(keyword("heal"), heal),
        preceded(keyword("log"), log),
        preceded(keyword("list"), list),
        preceded(keyword("weights"), weights),
        preceded(keyword("silent"), (target, target))
            .map(|(left, right)| Action::Silent(left, right)),
        preceded(keyword("mute"), target).map(|target| Action::Mute(target, true)),
        preceded(keyword("unmute"), target).map(|target| Action::Mute(target, false)),
        preceded(keyword("refuse"), target).map(|target| Action::Refuse(target, true)),
        preceded(keyword("accept"), target).map(|target| Action::Refuse(target, false)),
    ));
    let operator_actions = alt((
        preceded(keyword("replace"), (target, optional("after", time)))
            .map(|(target, after)| Action::Replace(target, after.unwrap_or(2 * SECOND))),
        preceded(keyword("drain"), target).map(Action::Drain),
        preceded(keyword("trap"), trap),
        preceded(keyword("mark"), (target, mark)).map(|(target, mark)| Action::Mark(target, mark)),
        preceded(keyword("gone"), target).map(Action::Gone),
        preceded(keyword("flaw"), (target, flaw)).map(|(target, flaw)| Action::Flaw(target, flaw)),
        preceded(keyword("publish"), publish),
        preceded(keyword("call"), call),
        preceded(keyword("book"), book),
        cut_err(fail).context(description("an action")),
    ));
    alt((node_actions, platform_actions, operator_actions)).parse_next(input)
}

fn target(input: &mut &str) -> Parsed<Target> {
    let found = name(input)?;
    Ok(match found.as_str() {
        "domain" => Target::Domain(name(input)?),
        "zone" => Target::Zone(name(input)?),
        "planner" => Target::Planner,
        "last" => Target::LastPlanner,
        "trapped" => Target::TrappedEntry,
        _ => Target::Node(found),
    })
}

fn heal(input: &mut &str) -> Parsed<Action> {
    let all = opt(keyword("all")).parse_next(input)?;
    if all.is_some() {
        return Ok(Action::Heal(None, None));
    }
    let left = target(input)?;
    let right = if input.trim().is_empty() { None } else { Some(target(input)?) };
    Ok(Action::Heal(Some(left), right))
}

fn log(input: &mut &str) -> Parsed<Action> {
    alt((
        keyword("down").value(Action::LogDown),
        keyword("up").value(Action::LogUp),
        keyword("silent").value(Action::LogSilent),
        preceded(keyword("slow"), time).map(Action::LogSlow),
        preceded(keyword("lose"), number).map(Action::LogLose),
        preceded(keyword("retain"), number).map(Action::LogRetain),
        cut_err(fail).context(description("`down`, `up`, `silent`, `slow`, `lose` or `retain`")),
    ))
    .parse_next(input)
}

fn list(input: &mut &str) -> Parsed<Action> {
    alt((
        keyword("stale").value(Action::ListStale(true)),
        keyword("fresh").value(Action::ListStale(false)),
        keyword("down").value(Action::ListDown(true)),
        keyword("up").value(Action::ListDown(false)),
        cut_err(fail).context(description("`stale`, `fresh`, `down` or `up`")),
    ))
    .parse_next(input)
}

fn weights(input: &mut &str) -> Parsed<Action> {
    alt((
        keyword("down").value(Action::Weights { down: true, slowdown: 1 }),
        keyword("up").value(Action::Weights { down: false, slowdown: 1 }),
        preceded(keyword("slow"), number).map(|slowdown| Action::Weights { down: false, slowdown }),
        cut_err(fail).context(description("`down`, `up` or `slow`")),
    ))
    .parse_next(input)
}

fn mark(input: &mut &str) -> Parsed<Mark> {
    alt((
        keyword("clear").value(Mark::Clear),
        keyword("cordon").value(Mark::Cordon),
        keyword("drain").value(Mark::Drain),
        cut_err(fail).context(description("`clear`, `cordon` or `drain`")),
    ))
    .parse_next(input)
}

fn flaw(input: &mut &str) -> Parsed<Flaw> {
    alt((
        keyword("none").value(Flaw::None),
        keyword("crossed").value(Flaw::Crossed),
        keyword("duplicate").value(Flaw::Duplicate),
        keyword("late").value(Flaw::Late),
        keyword("truncated").value(Flaw::Truncated),
        keyword("broken").value(Flaw::Broken),
        cut_err(fail).context(description(
            "`none`, `crossed`, `duplicate`, `late`, `truncated` or `broken`",
        )),
    ))
    .parse_next(input)
}

fn trap(input: &mut &str) -> Parsed<Action> {
    let point = alt((
        keyword("order").value(Breakpoint::Order),
        keyword("append").value(Breakpoint::Append),
        keyword("dispatch").value(Breakpoint::Dispatch),
        cut_err(fail).context(description("`order`, `append` or `dispatch`")),
    ));
    let kill = alt((
        keyword("pause").value(false),
        keyword("kill").value(true),
        cut_err(fail).context(description("`pause` or `kill`")),
    ));
    (point, kill).map(|(point, kill)| Action::Trap(point, kill)).parse_next(input)
}

fn publish(input: &mut &str) -> Parsed<Action> {
    let name = name(input)?;
    // The operator's name is parsed but unused: the identity of the operator has no effect.
    optional("by", word).parse_next(input)?;
    let via = required("via", target).parse_next(input)?;
    let base = required(
        "base",
        alt((keyword("current").value(Base::Current), word.map(|it| Base::Publication(it.into())))),
    )
    .parse_next(input)?;
    let edits = repeat(0.., edit).parse_next(input)?;
    Ok(Action::Publish { name, via, base, edits })
}

fn edit(input: &mut &str) -> Parsed<Edit> {
    alt((
        preceded(keyword("replicas"), (name, number))
            .map(|(name, replicas)| Edit::Replicas(name, replicas)),
        preceded(keyword("version"), (name, name))
            .map(|(name, version)| Edit::Version(name, version)),
        preceded(keyword("rate"), (name, number)).map(|(name, rate)| Edit::Rate(name, rate)),
        keyword("broken").value(Edit::Malformed),
    ))
    .parse_next(input)
}

fn call(input: &mut &str) -> Parsed<Action> {
    let (name, team, model) =
        (name, required("team", name), required("model", name)).parse_next(input)?;
    let mut ask = Request::model(&name, &team, &model);
    let (mut zone, mut via) = (None, None);
    while !input.trim().is_empty() {
        let option = word(input)?;
        match option {
            "tokens" => ask.tokens = number(input)?,
            "prompt" => ask.prompt = number(input)?,
            "prefix" => ask.prefix = number(input)?,
            "priority" => ask.priority = number(input)?,
            "deadline" => ask.deadline = time(input)?,
            "body" => ask.body = number(input)?,
            "poison" => ask.poison = true,
            "zone" => zone = Some(self::name(input)?),
            "via" => via = Some(target(input)?),
            _ => {
                return cut_err(fail).context(description("an option of `call`")).parse_next(input);
            }
        }
    }
    Ok(Action::Call { ask, zone, via })
}

fn book(input: &mut &str) -> Parsed<Action> {
    let (name, team, service) =
        (name, required("team", name), required("service", name)).parse_next(input)?;
    let mut ask = Request::booking(&name, &team, &service, KeyKind::Executor);
    let (mut zone, mut via, mut key) = (None, None, Key::Executor);
    while !input.trim().is_empty() {
        let option = word(input)?;
        match option {
            "deadline" => ask.deadline = time(input)?,
            "zone" => zone = Some(self::name(input)?),
            "via" => via = Some(target(input)?),
            "key" => {
                let text = self::name(input)?;
                key = match text.as_str() {
                    "executor" => Key::Executor,
                    "each" => Key::Unique,
                    "as" => Key::SameAs(self::name(input)?),
                    _ => Key::Opaque(text),
                };
            }
            _ => {
                return cut_err(fail).context(description("an option of `book`")).parse_next(input);
            }
        }
    }
    Ok(Action::Book { ask, key, zone, via })
}
