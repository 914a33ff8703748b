//! The declaration of a setting.

use crate::parser::Parser;

/// What every variable of the environment that holds a setting starts with.
pub const PREFIX: &str = "MARIGOLDWALL_";

/// A setting of a program.
#[derive(Clone, Copy, Debug)]
pub struct Setting<F> {
    /// Name in lowercase with dashes; `timeout-ms` has the flag `--timeout-ms` and the variable
    /// `MARIGOLDWALL_TIMEOUT_MS`.
    pub name: &'static str,
    /// How the value is read and what is allowed.
    pub parser: F,
    /// The value if none is given.
    pub default: Option<&'static str>,
    /// Unit of the value; empty if it has none.
    pub unit: &'static str,
    /// Whether the value must not appear in output, such as a key.
    pub secret: bool,
    /// What the setting does, as a phrase.
    pub description: &'static str,
}

impl<F> Setting<F>
where
    F: Parser,
{
    /// The flag.
    pub fn flag(&self) -> String {
        format!("--{}", self.name)
    }

    /// The variable of the environment.
    pub fn variable(&self) -> String {
        variable(self.name)
    }

    /// What is allowed, with the unit.
    pub fn allowed(&self) -> String {
        match self.unit {
            "" => self.parser.allowed(),
            unit => format!("{} ({unit})", self.parser.allowed()),
        }
    }

    /// The setting as a row of a table in Markdown: flag, variable, default, range and purpose.
    pub fn markdown_row(&self) -> String {
        let default = match self.default {
            None => "none".to_owned(),
            Some("") => "empty".to_owned(),
            Some(text) => format!("`{text}`"),
        };
        let (flag, variable, range) = (self.flag(), self.variable(), self.allowed());
        format!("| `{flag}` | `{variable}` | {default} | {range} | {} |", self.description)
    }
}

/// The variable of the environment for the setting `name`.
pub fn variable(name: &str) -> String {
    format!("{PREFIX}{}", name.to_ascii_uppercase().replace('-', "_"))
}
