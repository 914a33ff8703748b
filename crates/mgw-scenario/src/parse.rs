//! Parser of the scenario language.
//!
//! A script has one statement per line, and words are separated by white space. `#` starts a
//! comment that reaches to the end of the line.

use smol_str::SmolStr;
use winnow::ascii::{float, space0};
use winnow::combinator::{alt, cut_err, fail, opt, preceded, repeat};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

use crate::deployment::{Deployment, Domain, Edit, Model, SETTINGS, Service, Team};
use crate::script::{
    Action, Base, Condition, Error, Expectation, Key, Mark, Metric, Relation, Script, Step, Target,
    When,
};
use crate::world::call::{KeyKind, Request};
use crate::world::engine::Flaw;
use crate::world::entry::Breakpoint;
use crate::world::{MILLISECOND, Micros, SECOND};

mod check;

use check::check;

type Parsed<T> = ModalResult<T, ContextError>;

/// Time between the last time in a script and the end of the run if there is no `end` statement.
const END_MARGIN: Micros = 5 * SECOND;

/// Parses the text of a script and checks that every name it uses is declared.
///
/// `file` is the path for error messages. `name` is the name of the script if the text has no
/// `name` statement.
///
/// # Errors
///
/// Returns the first syntax error or undeclared name, or a fault of the script as a whole.
pub fn parse(file: &str, name: &str, text: &str) -> Result<Script, Error> {
    let mut script = Script { name: name.into(), ..Script::default() };
    let error = |line, cause: String| Error { file: file.to_owned(), line, cause };
    let mut last_time = 0;
    for (index, line) in text.lines().enumerate() {
        let number = index + 1;
        let line = line.split_once('#').map_or(line, |(line, _)| line).trim();
        if line.is_empty() {
            continue;
        }
        let statement = statement.parse(line).map_err(|failure| {
            let rest = line.get(failure.offset()..).unwrap_or_default().trim();
            let found = rest.split_whitespace().next().unwrap_or("the end of the line");
            let wanted = failure.inner().to_string().replace('\n', ", ");
            let wanted = if wanted.is_empty() { "invalid statement".into() } else { wanted };
            error(number, format!("{wanted}, found {found}"))
        })?;
        match statement {
            Statement::Step { from, to, interval, action } => {
                last_time = last_time.max(to);
                let step = Step { from, to, interval, action, line: number, text: line.into() };
                script.steps.push(step);
            }
            Statement::Expect { when, condition } => {
                last_time = last_time.max(match when {
                    When::At(at) => at,
                    When::By(_, to) | When::Always(_, to) | When::Never(_, to) => {
                        if to == Micros::MAX { 0 } else { to }
                    }
                    When::End => 0,
                });
                let text = line.into();
                script.expectations.push(Expectation { when, condition, line: number, text });
            }
            Statement::End(end) => script.end = end,
            Statement::Name(name) => script.name = name,
            Statement::Declaration(declaration) => declare(&mut script.deployment, declaration)
                .map_err(|cause| error(number, cause))?,
        }
    }
    if script.end == 0 {
        script.end = last_time + END_MARGIN;
    }
    let lines = text.lines().count();
    if last_time > script.end {
        return Err(error(lines, "the timeline goes beyond the end".into()));
    }
    if script.deployment.entries.is_empty() {
        return Err(error(lines, "no entries are declared".into()));
    }
    if script.expectations.is_empty() {
        return Err(error(lines, "the script has no expectations".into()));
    }
    check(&script).map_err(|(line, cause)| error(line, cause))?;
    mgw_sheet::parse(&script.deployment.sheet(&[])).map_err(|faults| {
        error(lines, format!("the deployment does not give a valid sheet: {faults:?}"))
    })?;
    Ok(script)
}

/// A declaration of the deployment.
enum Declaration {
    Seed(u64),
    Entries(u32, Vec<SmolStr>),
    Delay(SmolStr, SmolStr, Micros),
    Domain(Domain),
    Model(Model),
    Team(Team),
    Service(Service),
    Set(SmolStr, f64),
    Absent(SmolStr),
}

/// A line of a script.
enum Statement {
    Name(SmolStr),
    Declaration(Declaration),
    End(Micros),
    Step { from: Micros, to: Micros, interval: Micros, action: Action },
    Expect { when: When, condition: Condition },
}

/// Adds a declaration to the deployment. Entries are spread over the zones in turn.
fn declare(deployment: &mut Deployment, declaration: Declaration) -> Result<(), String> {
    match declaration {
        Declaration::Seed(seed) => deployment.seed = seed,
        Declaration::Entries(count, zones) => {
            for index in 0..count as usize {
                deployment.entries.push(zones[index % zones.len()].clone());
            }
        }
        Declaration::Delay(left, right, delay) => deployment.delays.push((left, right, delay)),
        Declaration::Domain(domain) => deployment.domains.push(domain),
        Declaration::Model(model) => deployment.models.push(model),
        Declaration::Team(team) => deployment.teams.push(team),
        Declaration::Service(service) => deployment.services.push(service),
        Declaration::Set(name, value) => {
            if !SETTINGS.contains(&name.as_str()) {
                return Err(format!("unknown setting {name}"));
            }
            deployment.settings.push((name, value));
        }
        Declaration::Absent(name) => deployment.absent.push(name),
    }
    Ok(())
}

/// Describes the expected input in an error message.
fn description(text: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(text))
}

/// Parses one word and the white space around it.
fn word<'a>(input: &mut &'a str) -> Parsed<&'a str> {
    let (_, word, _) = (space0, take_while(1.., |letter: char| !letter.is_whitespace()), space0)
        .parse_next(input)?;
    Ok(word)
}

/// Parses this word.
fn keyword<'a>(wanted: &'static str) -> impl ModalParser<&'a str, (), ContextError> {
    word.verify(move |found: &str| found == wanted).void()
}

fn name(input: &mut &str) -> Parsed<SmolStr> {
    cut_err(word.map(SmolStr::new)).context(description("a name")).parse_next(input)
}

fn number<T>(input: &mut &str) -> Parsed<T>
where
    T: std::str::FromStr,
{
    cut_err(word.verify_map(|word| word.parse().ok()))
        .context(description("a number"))
        .parse_next(input)
}

/// Parses a decimal number; a percentage gives a fraction.
fn decimal(input: &mut &str) -> Parsed<f64> {
    let number_or_percentage = |word: &str| {
        let (text, factor) = match word.strip_suffix('%') {
            Some(text) => (text, 0.01),
            None => (word, 1.0),
        };
        float::<_, f64, ContextError>.parse(text).ok().map(|value| value * factor)
    };
    cut_err(word.verify_map(number_or_percentage))
        .context(description("a number"))
        .parse_next(input)
}

/// Converts a word such as `10s`, `250ms` or `2min` to a time.
fn read_time(word: &str) -> Option<Micros> {
    let unit = word.find(|letter: char| letter.is_ascii_alphabetic())?;
    let factor = match &word[unit..] {
        "ms" => MILLISECOND,
        "s" => SECOND,
        "min" => 60 * SECOND,
        _ => return None,
    };
    let value = float::<_, f64, ContextError>.parse(&word[..unit]).ok()?;
    (value >= 0.0).then_some((value * factor as f64) as Micros)
}

fn time(input: &mut &str) -> Parsed<Micros> {
    cut_err(word.verify_map(read_time))
        .context(description("a time such as 10s or 250ms"))
        .parse_next(input)
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

fn statement(input: &mut &str) -> Parsed<Statement> {
    alt((
        preceded(keyword("name"), name).map(Statement::Name),
        preceded(keyword("end"), time).map(Statement::End),
        preceded(keyword("at"), at),
        preceded(keyword("every"), every),
        preceded(keyword("expect"), expect),
        declaration.map(Statement::Declaration),
        fail.context(description("a declaration, `at`, `every`, `expect`, `name` or `end`")),
    ))
    .parse_next(input)
}

fn declaration(input: &mut &str) -> Parsed<Declaration> {
    alt((
        preceded(keyword("seed"), number).map(Declaration::Seed),
        preceded(keyword("entries"), entries),
        preceded(keyword("delay"), (name, name, time))
            .map(|(left, right, delay)| Declaration::Delay(left, right, delay)),
        preceded(keyword("domain"), domain).map(Declaration::Domain),
        preceded(keyword("model"), model).map(Declaration::Model),
        preceded(keyword("team"), team).map(Declaration::Team),
        preceded(keyword("service"), service).map(Declaration::Service),
        preceded(keyword("set"), setting),
        preceded(keyword("absent"), name).map(Declaration::Absent),
    ))
    .parse_next(input)
}

/// Parses `NAME VALUE`; a time gives seconds and a percentage a fraction.
fn setting(input: &mut &str) -> Parsed<Declaration> {
    let name = name(input)?;
    let value = cut_err(word.verify_map(|word| {
        let time = || read_time(word).map(|time| time as f64 / SECOND as f64);
        let plain = || float::<_, f64, ContextError>.parse(word).ok();
        let percentage = || {
            let text = word.strip_suffix('%')?;
            float::<_, f64, ContextError>.parse(text).ok().map(|value| value / 100.0)
        };
        plain().or_else(percentage).or_else(time)
    }))
    .context(description("a number or a time"))
    .parse_next(input)?;
    Ok(Declaration::Set(name, value))
}

fn entries(input: &mut &str) -> Parsed<Declaration> {
    let count = number(input)?;
    cut_err(keyword("in")).context(description("`in` and zones")).parse_next(input)?;
    let zones: Vec<SmolStr> = cut_err(repeat(1.., word.map(SmolStr::new)))
        .context(description("zones"))
        .parse_next(input)?;
    Ok(Declaration::Entries(count, zones))
}

/// Parses `value` after the word `wanted`, or nothing if the word does not follow.
fn optional<'a, T, P>(
    wanted: &'static str,
    value: P,
) -> impl ModalParser<&'a str, Option<T>, ContextError>
where
    P: ModalParser<&'a str, T, ContextError>,
{
    opt(preceded(keyword(wanted), value))
}

/// Parses the word `wanted` and then `value`; fails if the word does not follow.
fn required<'a, T, P>(wanted: &'static str, value: P) -> impl ModalParser<&'a str, T, ContextError>
where
    P: ModalParser<&'a str, T, ContextError>,
{
    cut_err(preceded(keyword(wanted), value))
        .context(StrContext::Expected(StrContextValue::StringLiteral(wanted)))
}

fn domain(input: &mut &str) -> Parsed<Domain> {
    let (name, zone, size) =
        (name, required("zone", name), required("size", number)).parse_next(input)?;
    let unfenced = opt(keyword("unfenced")).parse_next(input)?;
    Ok(Domain { name, zone, size, fencing: unfenced.is_none() })
}

fn model(input: &mut &str) -> Parsed<Model> {
    let (name, instances, replicas) =
        (name, required("instances", number), required("replicas", number)).parse_next(input)?;
    let priority = optional("priority", number).parse_next(input)?.unwrap_or(1);
    let version = optional("version", self::name).parse_next(input)?.unwrap_or("1".into());
    Ok(Model { name, version, instances, replicas, priority })
}

fn team(input: &mut &str) -> Parsed<Team> {
    let name = name(input)?;
    let rate = optional("rate", number).parse_next(input)?.unwrap_or(1_000);
    let tokens = optional("tokens", number).parse_next(input)?.unwrap_or(1_000_000);
    let concurrency = optional("concurrency", number).parse_next(input)?.unwrap_or(1_000);
    Ok(Team { name, rate, tokens, concurrency })
}

fn service(input: &mut &str) -> Parsed<Service> {
    let (name, servers) = (name, required("servers", number)).parse_next(input)?;
    Ok(Service { name, servers })
}

fn at(input: &mut &str) -> Parsed<Statement> {
    let from = time(input)?;
    let action = action(input)?;
    Ok(Statement::Step { from, to: from, interval: 0, action })
}

fn every(input: &mut &str) -> Parsed<Statement> {
    let (interval, from, to) =
        (time, required("from", time), required("to", time)).parse_next(input)?;
    let action = action(input)?;
    if interval == 0 || to < from {
        return cut_err(fail)
            .context(description("a period above 0 and an end after the start"))
            .parse_next(input);
    }
    Ok(Statement::Step { from, to, interval, action })
}

fn action(input: &mut &str) -> Parsed<Action> {
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

/// Parses `from TIME to TIME`; each part may be missing.
fn time_range(input: &mut &str) -> Parsed<(Micros, Micros)> {
    let from = optional("from", time).parse_next(input)?.unwrap_or(0);
    let to = optional("to", time).parse_next(input)?.unwrap_or(Micros::MAX);
    Ok((from, to))
}

fn expect(input: &mut &str) -> Parsed<Statement> {
    let when = alt((
        preceded(keyword("at"), time).map(When::At),
        preceded(keyword("by"), (time, optional("from", time)))
            .map(|(to, from)| When::By(from.unwrap_or(0), to)),
        preceded(keyword("always"), time_range).map(|(from, to)| When::Always(from, to)),
        preceded(keyword("never"), time_range).map(|(from, to)| When::Never(from, to)),
        keyword("end").value(When::End),
        // `expect count` is short for `expect end count`, so the word is left for the condition.
        winnow::combinator::peek(keyword("count")).value(When::End),
        cut_err(fail).context(description("`at`, `by`, `always`, `never`, `end` or `count`")),
    ))
    .parse_next(input)?;
    let condition = condition(input)?;
    Ok(Statement::Expect { when, condition })
}

fn relation(input: &mut &str) -> Parsed<Relation> {
    alt((
        keyword("=").value(Relation::Equal),
        keyword("!=").value(Relation::NotEqual),
        keyword("<").value(Relation::Less),
        keyword("<=").value(Relation::AtMost),
        keyword(">").value(Relation::Greater),
        keyword(">=").value(Relation::AtLeast),
    ))
    .parse_next(input)
}

/// Parses the names up to the comparison operator.
fn names(input: &mut &str) -> Parsed<Vec<SmolStr>> {
    let not_relation = |word: &&str| !word.starts_with(['=', '!', '<', '>']);
    cut_err(repeat(1.., word.verify(move |word: &str| not_relation(&word)).map(SmolStr::new)))
        .context(description("names"))
        .parse_next(input)
}

fn condition(input: &mut &str) -> Parsed<Condition> {
    let metric = metric(input)?;
    let relation = cut_err(relation)
        .context(description("`=`, `!=`, `<`, `<=`, `>` or `>=`"))
        .parse_next(input)?;
    let value = decimal(input)?;
    Ok(Condition { metric, relation, value })
}

fn metric(input: &mut &str) -> Parsed<Metric> {
    let found = name(input)?;
    Ok(match found.as_str() {
        "serving" => Metric::Serving(name(input)?),
        "groups" => {
            let model = name(input)?;
            Metric::Groups(model, optional("version", name).parse_next(input)?)
        }
        "entries" => Metric::Entries,
        "behind" => Metric::Behind,
        "term" => Metric::Term,
        "serves" => Metric::Serves(name(input)?),
        "grouped" => Metric::Grouped(name(input)?),
        "published" => Metric::Published(names(input)?),
        "superseded" => Metric::Superseded(names(input)?),
        "refused" => Metric::Refused(names(input)?),
        "crashes" => Metric::Crashes,
        "calls" => Metric::Calls(name(input)?),
        "count" => Metric::Count(name(input)?, name(input)?),
        "open" => Metric::Open(name(input)?),
        "share" => Metric::Share(name(input)?, name(input)?),
        "runs" => Metric::Runs(name(input)?),
        "ran" => Metric::Ran(name(input)?),
        "first" => Metric::First(name(input)?),
        "slowest" => Metric::Slowest(name(input)?),
        "within" => Metric::Within(name(input)?, time(input)?),
        "gap" => Metric::Gap(name(input)?),
        "attempts" => Metric::Attempts(name(input)?),
        "downtime" => Metric::Downtime,
        "stranded" => Metric::Stranded,
        "records" => Metric::Records,
        "events" => Metric::Events(name(input)?),
        _ => {
            return cut_err(fail).context(description("a metric")).parse_next(input);
        }
    })
}
