//! Parsers for the values of settings, each with the range of values that it allows.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

/// Parses and validates the text of a setting.
pub trait Parser {
    /// The type of the parsed value.
    type Value;

    /// Parses `text`; returns `None` if the value is malformed or not allowed.
    fn parse(&self, text: &str) -> Option<Self::Value>;

    /// Describes the allowed values by a phrase such as "an integer from 1 to 9".
    fn allowed(&self) -> String;
}

/// Parses an integer within a range, written in decimal digits without a sign.
#[derive(Clone, Copy, Debug)]
pub struct Integer {
    /// Smallest allowed value.
    pub min: u64,
    /// Largest allowed value.
    pub max: u64,
}

impl Parser for Integer {
    type Value = u64;

    fn parse(&self, text: &str) -> Option<u64> {
        let is_integer = text.bytes().all(|byte| byte.is_ascii_digit());
        let value = text.parse().ok().filter(|_| is_integer)?;
        (self.min..=self.max).contains(&value).then_some(value)
    }

    fn allowed(&self) -> String {
        format!("an integer from {} to {}", self.min, self.max)
    }
}

/// Parses a duration in whole milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Millis {
    /// Shortest allowed duration in ms.
    pub min: u64,
    /// Longest allowed duration in ms.
    pub max: u64,
}

impl Parser for Millis {
    type Value = Duration;

    fn parse(&self, text: &str) -> Option<Duration> {
        let Millis { min, max } = *self;
        Integer { min, max }.parse(text).map(Duration::from_millis)
    }

    fn allowed(&self) -> String {
        let Millis { min, max } = *self;
        Integer { min, max }.allowed()
    }
}

/// Parses a decimal number within a range; exponents, infinities and NaN are rejected.
#[derive(Clone, Copy, Debug)]
pub struct Decimal {
    /// Smallest allowed value.
    pub min: f64,
    /// Largest allowed value.
    pub max: f64,
}

impl Parser for Decimal {
    type Value = f64;

    fn parse(&self, text: &str) -> Option<f64> {
        let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || b"-.".contains(&byte));
        let value = text.parse().ok().filter(|_| is_decimal)?;
        (self.min..=self.max).contains(&value).then_some(value)
    }

    fn allowed(&self) -> String {
        format!("a number from {} to {}", self.min, self.max)
    }
}

/// Parses an IP address with a port other than 0; host names are rejected, so no name resolution
/// takes place.
#[derive(Clone, Copy, Debug)]
pub struct Address;

impl Parser for Address {
    type Value = SocketAddr;

    fn parse(&self, text: &str) -> Option<SocketAddr> {
        text.parse().ok().filter(|address: &SocketAddr| address.port() != 0)
    }

    fn allowed(&self) -> String {
        "an IP address with port, such as 10.0.0.1:8000 or [fd00::1]:8000".to_owned()
    }
}

/// Parses a comma-separated list of distinct values.
#[derive(Clone, Copy, Debug)]
pub struct List<P> {
    /// Parser of each item.
    pub item: P,
    /// Smallest allowed number of items.
    pub min: usize,
    /// Largest allowed number of items.
    pub max: usize,
}

impl<P> Parser for List<P>
where
    P: Parser,
    P::Value: PartialEq,
{
    type Value = Vec<P::Value>;

    fn parse(&self, text: &str) -> Option<Vec<P::Value>> {
        let mut values = Vec::new();
        for item in text.split(',').filter(|_| !text.is_empty()) {
            let value = self.item.parse(item.trim())?;
            if values.contains(&value) {
                return None;
            }
            values.push(value);
        }
        (self.min..=self.max).contains(&values.len()).then_some(values)
    }

    fn allowed(&self) -> String {
        format!(
            "{} to {} different values with commas between them, each {}",
            self.min,
            self.max,
            self.item.allowed()
        )
    }
}

/// Parses a name that is safe in URLs, in file names and as a metric label.
#[derive(Clone, Copy, Debug)]
pub struct Name;

impl Name {
    /// Largest length of a name in bytes, the same as in sheets.
    pub const MAX: usize = 64;
}

impl Parser for Name {
    type Value = SmolStr;

    fn parse(&self, text: &str) -> Option<SmolStr> {
        let valid = text.len() <= Self::MAX
            && text.starts_with(|c: char| c.is_ascii_alphanumeric())
            && text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
        valid.then(|| SmolStr::new(text))
    }

    fn allowed(&self) -> String {
        let max = Self::MAX;
        format!("1 to {max} of A-Z, a-z, 0-9 and -_., starting with a letter or digit")
    }
}

/// Parses text without control characters, such as a file path.
#[derive(Clone, Copy, Debug)]
pub struct Text {
    /// Smallest allowed length in bytes.
    pub min: usize,
    /// Largest allowed length in bytes.
    pub max: usize,
}

impl Parser for Text {
    type Value = SmolStr;

    fn parse(&self, text: &str) -> Option<SmolStr> {
        let valid =
            (self.min..=self.max).contains(&text.len()) && !text.chars().any(char::is_control);
        valid.then(|| SmolStr::new(text))
    }

    fn allowed(&self) -> String {
        format!("{} to {} bytes without control characters", self.min, self.max)
    }
}

/// Parses a key of visible ASCII characters, which is valid in an HTTP header.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Smallest allowed length in bytes.
    pub min: usize,
    /// Largest allowed length in bytes.
    pub max: usize,
}

impl Parser for Key {
    type Value = SmolStr;

    fn parse(&self, text: &str) -> Option<SmolStr> {
        let valid = (self.min..=self.max).contains(&text.len())
            && text.bytes().all(|byte| byte.is_ascii_graphic());
        valid.then(|| SmolStr::new(text))
    }

    fn allowed(&self) -> String {
        format!("{} to {} visible ASCII characters without spaces", self.min, self.max)
    }
}

/// Accepts one of the given words.
#[derive(Clone, Copy, Debug)]
pub struct Choice(pub &'static [&'static str]);

impl Parser for Choice {
    type Value = &'static str;

    fn parse(&self, text: &str) -> Option<&'static str> {
        self.0.iter().copied().find(|word| *word == text)
    }

    fn allowed(&self) -> String {
        format!("one of {}", self.0.join(", "))
    }
}
