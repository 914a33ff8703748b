//! The declaration of a setting, with its flag and environment variable.

use crate::parser::Parser;

/// Prefix of every environment variable that holds a setting.
pub const PREFIX: &str = "MARIGOLDWALL_";

/// The declaration of one setting of a program.
#[derive(Clone, Copy, Debug)]
pub struct Setting<P> {
    /// Name in lowercase with dashes. For example, `timeout-ms` has the flag `--timeout-ms` and the
    /// variable `MARIGOLDWALL_TIMEOUT_MS`.
    pub name: &'static str,
    /// Parses the value and defines which values are allowed.
    pub parser: P,
    /// Default value as text; `None` if the setting has no default.
    pub default: Option<&'static str>,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
    /// True for a value that must not appear in output, such as a key.
    pub secret: bool,
    /// What the setting controls, as a phrase.
    pub description: &'static str,
}

impl<P> Setting<P>
where
    P: Parser,
{
    /// Returns the command-line flag, such as `--timeout-ms`.
    pub fn flag(&self) -> String {
        format!("--{}", self.name)
    }

    /// Returns the name of the environment variable, such as `MARIGOLDWALL_TIMEOUT_MS`.
    pub fn variable(&self) -> String {
        variable(self.name)
    }

    /// Describes the allowed values with their unit.
    pub fn allowed(&self) -> String {
        match self.unit {
            "" => self.parser.allowed(),
            unit => format!("{} ({unit})", self.parser.allowed()),
        }
    }

    /// Returns the setting as a row of a Markdown table: flag, variable, default value, allowed
    /// values and description.
    pub fn markdown_row(&self) -> String {
        let default = match self.default {
            None => "none".to_owned(),
            Some("") => "empty".to_owned(),
            Some(text) => format!("`{text}`"),
        };
        let (flag, variable, allowed) = (self.flag(), self.variable(), self.allowed());
        format!("| `{flag}` | `{variable}` | {default} | {allowed} | {} |", self.description)
    }
}

/// Returns the name of the environment variable for the setting `name`.
pub fn variable(name: &str) -> String {
    format!("{PREFIX}{}", name.to_ascii_uppercase().replace('-', "_"))
}
