//! Parser of the scenario language.
//!
//! A script has one statement per line, and words are separated by white space. `#` starts a
//! comment that reaches to the end of the line.

use smol_str::SmolStr;
use winnow::combinator::{alt, cut_err, fail, preceded};
use winnow::prelude::*;

use crate::script::{Action, Condition, Error, Expectation, Script, Step, When};
use crate::world::{Micros, SECOND};

mod action;
mod check;
mod declaration;
mod expectation;
mod token;

use action::action;
use check::check;
use declaration::{Declaration, declaration, declare};
use expectation::expect;
use token::{Parsed, description, keyword, name, required, time};

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

/// A line of a script.
enum Statement {
    Name(SmolStr),
    Declaration(Declaration),
    End(Micros),
    Step { from: Micros, to: Micros, interval: Micros, action: Action },
    Expect { when: When, condition: Condition },
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
