//! Parsers of the expectations: when they hold, and the metric that they compare.

use smol_str::SmolStr;
use winnow::combinator::{alt, cut_err, fail, preceded, repeat};
use winnow::prelude::*;

use super::Statement;
use super::token::{Parsed, decimal, description, keyword, name, optional, time, word};
use crate::script::{Condition, Metric, Relation, When};
use crate::world::Micros;

pub(super) fn expect(input: &mut &str) -> Parsed<Statement> {
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

/// Parses `from TIME to TIME`; each part may be missing.
fn time_range(input: &mut &str) -> Parsed<(Micros, Micros)> {
    let from = optional("from", time).parse_next(input)?.unwrap_or(0);
    let to = optional("to", time).parse_next(input)?.unwrap_or(Micros::MAX);
    Ok((from, to))
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
