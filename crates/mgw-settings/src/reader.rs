//! Reading of settings from flags and environment, with all faults at once.

use std::ffi::OsString;
use std::fmt;

use smol_str::SmolStr;

use crate::parser::Parser;
use crate::setting::{PREFIX, Setting, variable};

/// Characters of a rejected value that a fault repeats.
const SHOWN: usize = 60;

/// A fault of the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The flag or variable that holds the value; both if the value is missing.
    pub name: SmolStr,
    /// The value; `None` if it is missing or secret.
    pub value: Option<SmolStr>,
    /// What is wrong and what is allowed.
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

/// Reads settings; a flag takes precedence over the variable, and the variable over the default.
#[derive(Clone, Debug)]
pub struct Reader {
    flags: Vec<(&'static str, String)>,
    /// The variables with the common prefix.
    variables: Vec<(String, Option<String>)>,
    /// Variables of settings that were read or allowed.
    known: Vec<String>,
    errors: Vec<Error>,
}

impl Reader {
    /// A reader over the flags that were given, by the names of their settings, and the variables
    /// of the environment, usually [`std::env::vars_os`].
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

    /// Accepts the variables of settings that belong to other programs in the same environment.
    pub fn allow_unused(&mut self, names: &[&str]) {
        self.known.extend(names.iter().map(|name| variable(name)));
    }

    /// Reads a setting that must have a value.
    ///
    /// `None` only if there is a fault, which [`Reader::finish`] reports.
    pub fn required<F>(&mut self, setting: &Setting<F>) -> Option<F::Value>
    where
        F: Parser,
    {
        let errors = self.errors.len();
        let value = self.optional(setting);
        if value.is_none() && self.errors.len() == errors {
            self.missing(setting);
        }
        value
    }

    /// Reads a setting that may be absent; `None` also if there is a fault.
    pub fn optional<F>(&mut self, setting: &Setting<F>) -> Option<F::Value>
    where
        F: Parser,
    {
        let variable = setting.variable();
        let flag = self.flags.iter().find(|(name, _)| *name == setting.name);
        let held = self.variables.iter().find(|(name, _)| *name == variable);
        let (name, text) = match (flag, held, setting.default) {
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

    /// Adds a fault that concerns several settings together.
    pub fn add_error(&mut self, error: Error) {
        self.errors.push(error);
    }

    /// Ends reading.
    ///
    /// # Errors
    ///
    /// All faults: values that are missing or not allowed, in the order of reading, then variables
    /// with the common prefix that no setting has.
    pub fn finish(mut self) -> Result<(), Vec<Error>> {
        for (name, _) in &self.variables {
            if !self.known.contains(name) {
                let known = self.known.join(", ");
                let cause = format!("no setting has this variable; known are {known}");
                // The value is not repeated: a misspelt name may hold a key.
                self.errors.push(Error { name: name.into(), value: None, cause });
            }
        }
        match self.errors.is_empty() {
            true => Ok(()),
            false => Err(self.errors),
        }
    }

    fn missing<F>(&mut self, setting: &Setting<F>)
    where
        F: Parser,
    {
        let name = format!("{} or {}", setting.flag(), setting.variable());
        let cause = format!("missing; allowed is {}", setting.allowed());
        self.errors.push(Error { name: name.into(), value: None, cause });
    }
}

fn shorten(value: &str) -> SmolStr {
    let mut shown: String =
        value.chars().take(SHOWN).map(|c| if c.is_control() { ' ' } else { c }).collect();
    if value.chars().nth(SHOWN).is_some() {
        shown.push_str("...");
    }
    SmolStr::from(shown)
}
