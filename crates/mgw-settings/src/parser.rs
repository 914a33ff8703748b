//! The forms of values: how they are read and what is allowed.

use std::net::SocketAddr;
use std::time::Duration;

use smol_str::SmolStr;

/// How the value of a setting is read from text.
pub trait Parser {
    /// The type of the value.
    type Value;

    /// Reads a value; `None` if it is not allowed.
    fn parse(&self, text: &str) -> Option<Self::Value>;

    /// What is allowed, as a phrase such as "an integer from 1 to 9".
    fn allowed(&self) -> String;
}

/// An integer in a range, in decimal digits.
#[derive(Clone, Copy, Debug)]
pub struct Integer {
    /// Least value.
    pub min: u64,
    /// Greatest value.
    pub max: u64,
}

impl Parser for Integer {
    type Value = u64;

    fn parse(&self, text: &str) -> Option<u64> {
        let digits = text.bytes().all(|byte| byte.is_ascii_digit());
        let value = text.parse().ok().filter(|_| digits)?;
        (self.min..=self.max).contains(&value).then_some(value)
    }

    fn allowed(&self) -> String {
        format!("an integer from {} to {}", self.min, self.max)
    }
}

/// A time span in whole milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Millis {
    /// Least value in ms.
    pub min: u64,
    /// Greatest value in ms.
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

/// A number from 0 to 1 or another range, with decimals.
#[derive(Clone, Copy, Debug)]
pub struct Decimal {
    /// Least value.
    pub min: f64,
    /// Greatest value.
    pub max: f64,
}

impl Parser for Decimal {
    type Value = f64;

    fn parse(&self, text: &str) -> Option<f64> {
        let plain = text.bytes().all(|byte| byte.is_ascii_digit() || b"-.".contains(&byte));
        let value = text.parse().ok().filter(|_| plain)?;
        (self.min..=self.max).contains(&value).then_some(value)
    }

    fn allowed(&self) -> String {
        format!("a number from {} to {}", self.min, self.max)
    }
}

/// An IP address with port; there is no name resolution.
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

/// A list of values with commas between them and without repetition.
#[derive(Clone, Copy, Debug)]
pub struct List<F> {
    /// Parser of each item.
    pub item: F,
    /// Least number of items.
    pub min: usize,
    /// Greatest number of items.
    pub max: usize,
}

impl<F> Parser for List<F>
where
    F: Parser,
    F::Value: PartialEq,
{
    type Value = Vec<F::Value>;

    fn parse(&self, text: &str) -> Option<Vec<F::Value>> {
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

/// A name that is safe in URLs, file names and as a label of a metric.
#[derive(Clone, Copy, Debug)]
pub struct Name;

impl Name {
    /// Longest name in bytes, as in sheets.
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

/// Text without control characters, such as the path of a file.
#[derive(Clone, Copy, Debug)]
pub struct Text {
    /// Least length in bytes.
    pub min: usize,
    /// Greatest length in bytes.
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

/// A key that travels in an HTTP header: visible ASCII characters.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Least length.
    pub min: usize,
    /// Greatest length.
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

/// One of several words.
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
