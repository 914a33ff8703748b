//! Parsers of single words: names, numbers, times and keywords.

use smol_str::SmolStr;
use winnow::ascii::{float, space0};
use winnow::combinator::{cut_err, opt, preceded};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::token::take_while;

use crate::world::{MILLISECOND, Micros, SECOND};

pub(super) type Parsed<T> = ModalResult<T, ContextError>;

/// Describes the expected input in an error message.
pub(super) fn description(text: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(text))
}

/// Parses one word and the white space around it.
pub(super) fn word<'a>(input: &mut &'a str) -> Parsed<&'a str> {
    let (_, word, _) = (space0, take_while(1.., |letter: char| !letter.is_whitespace()), space0)
        .parse_next(input)?;
    Ok(word)
}

/// Parses this word.
pub(super) fn keyword<'a>(wanted: &'static str) -> impl ModalParser<&'a str, (), ContextError> {
    word.verify(move |found: &str| found == wanted).void()
}

pub(super) fn name(input: &mut &str) -> Parsed<SmolStr> {
    cut_err(word.map(SmolStr::new)).context(description("a name")).parse_next(input)
}

pub(super) fn number<T>(input: &mut &str) -> Parsed<T>
where
    T: std::str::FromStr,
{
    cut_err(word.verify_map(|word| word.parse().ok()))
        .context(description("a number"))
        .parse_next(input)
}

/// Parses a decimal number; a percentage gives a fraction.
pub(super) fn decimal(input: &mut &str) -> Parsed<f64> {
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
pub(super) fn read_time(word: &str) -> Option<Micros> {
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

pub(super) fn time(input: &mut &str) -> Parsed<Micros> {
    cut_err(word.verify_map(read_time))
        .context(description("a time such as 10s or 250ms"))
        .parse_next(input)
}

/// Parses `value` after the word `wanted`, or nothing if the word does not follow.
pub(super) fn optional<'a, T, P>(
    wanted: &'static str,
    value: P,
) -> impl ModalParser<&'a str, Option<T>, ContextError>
where
    P: ModalParser<&'a str, T, ContextError>,
{
    opt(preceded(keyword(wanted), value))
}

/// Parses the word `wanted` and then `value`; fails if the word does not follow.
pub(super) fn required<'a, T, P>(
    wanted: &'static str,
    value: P,
) -> impl ModalParser<&'a str, T, ContextError>
where
    P: ModalParser<&'a str, T, ContextError>,
{
    cut_err(preceded(keyword(wanted), value))
        .context(StrContext::Expected(StrContextValue::StringLiteral(wanted)))
}
