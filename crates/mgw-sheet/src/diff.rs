//! Comparison of two sheets row by row.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::column::{Column, Kind};
use crate::row::{self, Row};
use crate::sheet::Sheet;

/// The kind of difference in an entity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Action {
    /// The entity exists only in the new sheet.
    Added,
    /// The entity exists only in the old sheet.
    Removed,
    /// The entity exists in both sheets with different values.
    Changed,
}

/// The old and new value of one column of an entity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Field {
    /// Column that holds the value.
    pub column: Column,
    /// Value in the old sheet; `None` for an added entity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub old: Option<SmolStr>,
    /// Value in the new sheet; `None` for a removed entity.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub new: Option<SmolStr>,
}

/// A difference in one entity or setting.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Kind of the row that declares the entity.
    pub kind: Kind,
    /// Name of the entity, or service, method and path of a call separated by spaces.
    pub name: SmolStr,
    /// Whether the entity was added, removed or changed.
    pub action: Action,
    /// All fields of an added or removed entity, or the differing fields of a changed one, in
    /// column order. Columns that make up the name are omitted.
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

/// Returns the changes that turn `old` into `new`, sorted by kind and name. The list is empty if
/// and only if the sheets are equal.
pub fn diff(old: &Sheet, new: &Sheet) -> Vec<Change> {
    let old = row::rows(old);
    let new = row::rows(new);
    let (mut old_rows, mut new_rows) = (old.iter().peekable(), new.iter().peekable());
    let mut changes = Vec::new();
    loop {
        let order = match (old_rows.peek(), new_rows.peek()) {
            (None, None) => return changes,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(old), Some(new)) => (old.kind, &old.name).cmp(&(new.kind, &new.name)),
        };
        let (old, new) = match order {
            Ordering::Less => (old_rows.next(), None),
            Ordering::Greater => (None, new_rows.next()),
            Ordering::Equal => (old_rows.next(), new_rows.next()),
        };
        changes.extend(compare_rows(old, new));
    }
}

/// Formats changes as text with one line each, which starts with `+` (added), `-` (removed) or `~`
/// (changed).
pub fn render(changes: &[Change]) -> String {
    changes.iter().map(|change| format!("{change}\n")).collect()
}

/// Compares two rows of the same kind and name; returns `None` if they are equal.
fn compare_rows(old: Option<&Row>, new: Option<&Row>) -> Option<Change> {
    let (row, action) = match (old, new) {
        (Some(old), Some(new)) if old == new => return None,
        (Some(_), Some(new)) => (new, Action::Changed),
        (Some(old), None) => (old, Action::Removed),
        (None, new) => (new?, Action::Added),
    };
    let value = |row: Option<&Row>, index: usize| row.map(|row| row.cells[index].1.clone());
    let fields = row.cells.iter().enumerate().map(|(index, (column, _))| Field {
        column: *column,
        old: value(old, index),
        new: value(new, index),
    });
    let fields =
        fields.filter(|field| !is_name_column(row.kind, field.column) && field.old != field.new);
    Some(Change { kind: row.kind, name: row.name.clone(), action, fields: fields.collect() })
}

/// Returns whether a column is part of [`Change::name`].
fn is_name_column(kind: Kind, column: Column) -> bool {
    match kind {
        Kind::Call => matches!(column, Column::Service | Column::Method | Column::Path),
        _ => column == Column::Name,
    }
}
