//! Text tables with aligned columns.

use serde_json::Value;

/// Formats a table with a header row. Lines have no trailing spaces.
pub(crate) fn format(columns: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<_> = columns.iter().map(|column| column.len()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = String::new();
    let header = columns.iter().map(|column| (*column).to_owned()).collect();
    for row in std::iter::once(&header).chain(rows) {
        let cells: Vec<_> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}

/// Formats a JSON value as the text of a cell, which is `-` if the value is null or empty.
pub(crate) fn format_cell(value: &Value) -> String {
    let text = match value {
        Value::Null => String::new(),
        Value::Bool(true) => "yes".to_owned(),
        Value::Bool(false) => "no".to_owned(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(format_cell).collect::<Vec<_>>().join(","),
        Value::Object(fields) => {
            let parts: Vec<_> = fields.values().map(format_cell).collect();
            parts.join(":")
        }
        Value::Number(number) => number.to_string(),
    };
    match text.is_empty() {
        true => "-".to_owned(),
        // Values come from other machines, and control characters could manipulate the terminal.
        false => text.replace(char::is_control, " "),
    }
}
