//! Serialization of a sheet to its canonical CSV text.

use crate::column::Column;
use crate::row;
use crate::sheet::Sheet;

/// Returns a sheet as CSV with all columns in canonical order and its rows sorted by kind and name.
///
/// Parsing the text yields the same sheet, and equal sheets yield equal texts.
pub fn write(sheet: &Sheet) -> String {
    let mut text = Column::ALL.map(Column::name).join(",");
    text.push('\n');
    for row in row::rows(sheet) {
        for column in Column::ALL {
            if column == Column::Kind {
                text.push_str(row.kind.name());
                continue;
            }
            text.push(',');
            if let Some((_, value)) = row.cells.iter().find(|(known, _)| *known == column) {
                push_field(&mut text, value);
            }
        }
        text.push('\n');
    }
    text
}

/// Appends a CSV field, quoted if it contains a comma, a quotation mark or a line break.
fn push_field(text: &mut String, value: &str) {
    if value.contains([',', '"', '\r', '\n']) {
        text.push('"');
        text.push_str(&value.replace('"', "\"\""));
        text.push('"');
    } else {
        text.push_str(value);
    }
}
