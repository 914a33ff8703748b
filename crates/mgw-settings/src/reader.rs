//! Reading of settings from flags and environment variables; the errors of all settings are
//! reported together.

use std::ffi::OsString;
use std::fmt;

use smol_str::SmolStr;

use crate::parser::Parser;
use crate::setting::{PREFIX, Setting, variable};

/// Number of characters of a rejected value that an error message repeats.
const MAX_SHOWN_CHARS: usize = 60;

/// A setting that is missing, not allowed or unknown.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The flag or variable that the value came from; both if the value is missing.
    pub name: SmolStr,
    /// The rejected value, shortened; `None` if it is missing, unreadable or must not be shown.
    pub value: Option<SmolStr>,
    /// What is wrong and which values are allowed.
    pub cause: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.value {
            Some(value) => write!(f, "{} = `{value}`: {}", self.name, self.cause),
            None => write!(f, "{}: {}", self.name, self.cause),
        }
    }
}

impl std::error::Error for Error {}

/// Reads settings; a flag takes precedence over the variable, and the variable over the default
/// value.
#[derive(Clone, Debug)]
pub struct Reader {
    /// Values of the given flags, by the names of their settings.
    flags: Vec<(&'static str, String)>,
    /// The environment variables that start with [`PREFIX`]; a value is `None` if it is not UTF-8.
    variables: Vec<(String, Option<String>)>,
    /// Variables of the settings that were read, or allowed without being read.
    known: Vec<String>,
    errors: Vec<Error>,
}

impl Reader {
    /// Creates a reader from the given flags, by the names of their settings, and the environment
    /// variables, usually [`std::env::vars_os`].
    pub fn new<E>(flags: Vec<(&'static str, String)>, environment: E) -> Self
    where
        E: IntoIterator<Item = (OsString, OsString)>,
    {
        let variables = environment.into_iter().filter_map(|(name, value)| {
            let name = name.to_string_lossy().into_owned();
            name.starts_with(PREFIX).then(|| (name, value.into_string().ok()))
        });
        let mut variables: Vec<_> = variables.collect();
        variables.sort();
        Self { flags, variables, known: Vec::new(), errors: Vec::new() }
    }

    /// Allows the variables of settings that only other programs in the same environment read.
    pub fn allow_unused(&mut self, names: &[&str]) {
        self.known.extend(names.iter().map(|name| variable(name)));
    }

    /// Reads a setting that must have a value.
    ///
    /// Returns `None` only after an error, which [`Reader::finish`] reports.
    pub fn required<P>(&mut self, setting: &Setting<P>) -> Option<P::Value>
    where
        P: Parser,
    {
        let errors = self.errors.len();
        let value = self.optional(setting);
        if value.is_none() && self.errors.len() == errors {
            self.add_missing(setting);
        }
        value
    }

    /// Reads a setting that may be absent.
    ///
    /// Returns `None` if it is absent, or after an error, which [`Reader::finish`] reports.
    pub fn optional<P>(&mut self, setting: &Setting<P>) -> Option<P::Value>
    where
        P: Parser,
    {
        let variable = setting.variable();
        let flag = self.flags.iter().find(|(name, _)| *name == setting.name);
        let in_environment = self.variables.iter().find(|(name, _)| *name == variable);
        let (name, text) = match (flag, in_environment, setting.default) {
            (Some((_, text)), _, _) => (setting.flag(), Some(text.clone())),
            (None, Some((name, text)), _) => (name.clone(), text.clone()),
            (None, None, Some(text)) => (setting.flag(), Some(text.to_owned())),
            (None, None, None) => {
                self.known.push(variable);
                return None;
            }
        };
        self.known.push(variable);
        let Some(text) = text else {
            let cause = "the value is not valid UTF-8".to_owned();
            self.errors.push(Error { name: name.into(), value: None, cause });
            return None;
        };
        let value = setting.parser.parse(&text);
        if value.is_none() {
            let cause = format!("not allowed; allowed is {}", setting.allowed());
            let value = (!setting.secret).then(|| shorten(&text));
            self.errors.push(Error { name: name.into(), value, cause });
        }
        value
    }

    /// Adds an error that concerns several settings together.
    pub fn add_error(&mut self, error: Error) {
        self.errors.push(error);
    }

    /// Ends reading and returns the errors of all settings.
    ///
    /// # Errors
    ///
    /// Values that are missing or not allowed, in the order of reading, then variables that start
    /// with [`PREFIX`] but belong to no setting.
    pub fn finish(mut self) -> Result<(), Vec<Error>> {
        for (name, _) in &self.variables {
            if !self.known.contains(name) {
                let known = self.known.join(", ");
                let cause = format!("no setting has this variable; known are {known}");
                // The value is not shown, because a variable with a misspelt name may hold a key.
                self.errors.push(Error { name: name.into(), value: None, cause });
            }
        }
        match self.errors.is_empty() {
            true => Ok(()),
            false => Err(self.errors),
        }
    }

    fn add_missing<P>(&mut self, setting: &Setting<P>)
    where
        P: Parser,
    {
        let name = format!("{} or {}", setting.flag(), setting.variable());
        let cause = format!("missing; allowed is {}", setting.allowed());
        self.errors.push(Error { name: name.into(), value: None, cause });
    }
}

/// Cuts a rejected value to [`MAX_SHOWN_CHARS`] and replaces control characters by spaces.
fn shorten(value: &str) -> SmolStr {
    let mut shown: String =
        value.chars().take(MAX_SHOWN_CHARS).map(|c| if c.is_control() { ' ' } else { c }).collect();
    if value.chars().nth(MAX_SHOWN_CHARS).is_some() {
        shown.push_str("...");
    }
    SmolStr::from(shown)
}
