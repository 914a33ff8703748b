//! Comparison of two sheets.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::column::{Column, Kind};
use crate::row::{self, Row};
use crate::sheet::Sheet;

/// What happened to an entity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// Only the new sheet has the entity.
    Added,
    /// Only the old sheet has the entity.
    Removed,
    /// Both sheets have the entity, with different values.
    Changed,
}

/// A field of a changed entity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// The column.
    pub column: Column,
    /// The value in the old sheet; absent for an added entity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub old: Option<SmolStr>,
    /// The value in the new sheet; absent for a removed entity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub new: Option<SmolStr>,
}

/// The difference in one entity or setting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Kind of the entity.
    pub kind: Kind,
    /// Name of the entity; service, method and path of a call.
    pub name: SmolStr,
    /// What happened to it.
    pub action: Action,
    /// All fields of an added or removed entity besides those that form its name; the differing
    /// fields of a changed one. In the order of the columns.
    pub fields: Vec<Field>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.action {
            Action::Added => '+',
            Action::Removed => '-',
            Action::Changed => '~',
        };
        write!(f, "{sign} {} {}", self.kind.name(), self.name)?;
        for field in &self.fields {
            let column = field.column.name();
            match (&field.old, &field.new) {
                (Some(old), Some(new)) => write!(f, " {column}={old}->{new}")?,
                (Some(value), None) | (None, Some(value)) => write!(f, " {column}={value}")?,
                (None, None) => {}
            }
        }
        Ok(())
    }
}

/// The exact difference from `old` to `new`, ascending by kind and name; empty if the sheets are
/// equal.
pub fn diff(old: &Sheet, new: &Sheet) -> Vec<Change> {
    let old = row::rows(old);
    let new = row::rows(new);
    let (mut left, mut right) = (old.iter().peekable(), new.iter().peekable());
    let mut changes = Vec::new();
    loop {
        let order = match (left.peek(), right.peek()) {
            (None, None) => return changes,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(old), Some(new)) => (old.kind, &old.name).cmp(&(new.kind, &new.name)),
        };
        let (old, new) = match order {
            Ordering::Less => (left.next(), None),
            Ordering::Greater => (None, right.next()),
            Ordering::Equal => (left.next(), right.next()),
        };
        changes.extend(change(old, new));
    }
}

/// The text form of a difference: one line per change, with `+`, `-` or `~` in front.
pub fn render(changes: &[Change]) -> String {
    changes.iter().map(|change| format!("{change}\n")).collect()
}

fn change(old: Option<&Row>, new: Option<&Row>) -> Option<Change> {
    let (row, action) = match (old, new) {
        (Some(old), Some(new)) if old == new => return None,
        (Some(_), Some(new)) => (new, Action::Changed),
        (Some(old), None) => (old, Action::Removed),
        (None, new) => (new?, Action::Added),
    };
    let value = |row: Option<&Row>, place: usize| row.map(|row| row.cells[place].1.clone());
    let fields = row.cells.iter().enumerate().map(|(place, (column, _))| Field {
        column: *column,
        old: value(old, place),
        new: value(new, place),
    });
    let fields = fields.filter(|field| !is_name(row.kind, field.column) && field.old != field.new);
    Some(Change { kind: row.kind, name: row.name.clone(), action, fields: fields.collect() })
}

fn is_name(kind: Kind, column: Column) -> bool {
    match kind {
        Kind::Call => matches!(column, Column::Service | Column::Method | Column::Path),
        _ => column == Column::Name,
    }
}
