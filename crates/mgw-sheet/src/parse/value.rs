//! Parsing and validation of single values.
//!
//! Each method reports a fault and returns `None` if the value is missing or invalid.

use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;

use smol_str::{SmolStr, format_smolstr};

use crate::column::{Column, Kind};
use crate::parse::{MAX_NAME_BYTES, Row, Validator};

/// Maximum number of characters of a rejected value that a fault quotes, so that the size of a
/// fault does not depend on the value.
const MAX_EXCERPT_CHARS: usize = 40;

/// HTTP methods that a call may declare.
const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

impl Validator {
    /// Returns the value of a mandatory cell. A column that the header lacks is reported only once.
    pub(super) fn required_cell<'a>(&mut self, row: &Row<'a>, column: Column) -> Option<&'a str> {
        match row.cells[column as usize] {
            "" if !self.header.contains(&Some(column)) => {
                if !self.missing_columns.contains(&column) {
                    self.missing_columns.push(column);
                    let kind = row.kind.name();
                    let cause =
                        format!("the first row lacks the column, which rows of kind {kind} need");
                    self.report(row.line, Some(column), cause);
                }
                None
            }
            "" => {
                let cause = format!("missing; rows of kind {} need a value", row.kind.name());
                self.report(row.line, Some(column), cause);
                None
            }
            OVERSIZED_FIELD => None,
            value => Some(value),
        }
    }

    /// Parses the name of the entity that a row declares and records it for uniqueness and
    /// reference checks.
    pub(super) fn declare_name(&mut self, row: &Row<'_>, kind: Kind) -> Option<SmolStr> {
        let name = match kind {
            Kind::Model | Kind::Adapter => self.parse_model_name(row, Column::Name),
            _ => self.parse_identifier(row, Column::Name),
        }?;
        self.declared_names.push(((kind, name.clone()), row.line));
        Some(name)
    }

    /// Parses the name of a service and records that the row refers to it.
    pub(super) fn parse_service_reference(&mut self, row: &Row<'_>) -> Option<SmolStr> {
        let service = self.parse_identifier(row, Column::Service)?;
        self.references.push(((Kind::Service, Column::Service, service.clone()), row.line));
        Some(service)
    }

    /// Parses a name that is safe in a URL path and as a metric label.
    pub(super) fn parse_identifier(&mut self, row: &Row<'_>, column: Column) -> Option<SmolStr> {
        self.parse_name(row, column, "-_.")
    }

    /// Parses the name of a model or adapter, or a version. Model registries use additional
    /// punctuation in these.
    pub(super) fn parse_model_name(&mut self, row: &Row<'_>, column: Column) -> Option<SmolStr> {
        self.parse_name(row, column, "-_./:@+")
    }

    /// Parses a name of ASCII letters, digits and the characters in `punctuation`.
    pub(super) fn parse_name(
        &mut self,
        row: &Row<'_>,
        column: Column,
        punctuation: &str,
    ) -> Option<SmolStr> {
        let value = self.required_cell(row, column)?;
        let valid = value.len() <= MAX_NAME_BYTES
            && value.starts_with(|c: char| c.is_ascii_alphanumeric())
            && value.chars().all(|c| c.is_ascii_alphanumeric() || punctuation.contains(c));
        if !valid {
            let cause = format!(
                "`{}` is not a name: 1 to {MAX_NAME_BYTES} of A-Z, a-z, 0-9 and {punctuation}, \
                 starting with a letter or digit",
                excerpt(value)
            );
            self.report(row.line, Some(column), cause);
        }
        valid.then(|| SmolStr::new(value))
    }

    /// Parses a decimal integer within `range`.
    pub(super) fn parse_number(
        &mut self,
        row: &Row<'_>,
        column: Column,
        range: RangeInclusive<u32>,
    ) -> Option<u32> {
        let value = self.required_cell(row, column)?;
        // `u32::from_str` accepts a leading plus sign, which is not part of the canonical form.
        let digits = value.bytes().all(|byte| byte.is_ascii_digit());
        match value.parse::<u32>() {
            Ok(number) if digits && range.contains(&number) => Some(number),
            _ => {
                let (min, max) = (range.start(), range.end());
                let cause = format!("`{}` is not an integer from {min} to {max}", excerpt(value));
                self.report(row.line, Some(column), cause);
                None
            }
        }
    }

    /// Parses `yes` or `no`.
    pub(super) fn parse_flag(&mut self, row: &Row<'_>, column: Column) -> Option<bool> {
        match self.required_cell(row, column)? {
            "yes" => Some(true),
            "no" => Some(false),
            value => {
                let cause = format!("`{}` is neither yes nor no", excerpt(value));
                self.report(row.line, Some(column), cause);
                None
            }
        }
    }

    /// Parses a unicast IP address with a port, normalizes it and records it for the uniqueness
    /// check.
    pub(super) fn parse_address(&mut self, row: &Row<'_>) -> Option<SmolStr> {
        let value = self.required_cell(row, Column::Address)?;
        let cause = match value.parse::<SocketAddr>() {
            Ok(address) if address.port() == 0 => "the port must be from 1 to 65535".to_owned(),
            Ok(address) if !is_unicast_host(address.ip()) => {
                format!("`{}` is not the address of one host", address.ip())
            }
            Ok(address) => {
                self.addresses.push((address, row.line));
                return Some(format_smolstr!("{address}"));
            }
            Err(_) => format!(
                "`{}` is not an IP address with port, such as 10.0.0.1:8000 or [fd00::1]:8000",
                excerpt(value)
            ),
        };
        self.report(row.line, Some(Column::Address), cause);
        None
    }

    /// Parses the hash of a team's bearer key, converts it to lower case and records it for the
    /// uniqueness check.
    pub(super) fn parse_key_hash(&mut self, row: &Row<'_>) -> Option<SmolStr> {
        let value = self.required_cell(row, Column::Key)?;
        if value.len() == 32 && value.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            let key = SmolStr::from(value.to_ascii_lowercase());
            self.keys.push((key.clone(), row.line));
            return Some(key);
        }
        // The fault does not quote the value, because it may be the bearer key itself.
        let cause = "not 32 hexadecimal digits; `marigoldwall hash-key` prints them".to_owned();
        self.report(row.line, Some(Column::Key), cause);
        None
    }

    /// Parses an HTTP method from [`METHODS`].
    pub(super) fn parse_method(&mut self, row: &Row<'_>) -> Option<SmolStr> {
        let value = self.required_cell(row, Column::Method)?;
        let known = METHODS.contains(&value);
        if !known {
            let cause =
                format!("unknown method `{}`; allowed are {}", excerpt(value), METHODS.join(", "));
            self.report(row.line, Some(Column::Method), cause);
        }
        known.then(|| SmolStr::new(value))
    }

    /// Parses an absolute URL path without query, fragment and dot segments.
    pub(super) fn parse_path(&mut self, row: &Row<'_>) -> Option<SmolStr> {
        let value = self.required_cell(row, Column::Path)?;
        let valid = value.starts_with('/')
            && value.bytes().all(|byte| byte.is_ascii_graphic() && !b"?#\"\\".contains(&byte))
            && value.split('/').all(|part| part != "." && part != "..");
        if !valid {
            let cause = format!(
                "`{}` is not a path: it starts with / and has only printable ASCII without ? # \" \
                 \\ and without the segments . and ..",
                excerpt(value)
            );
            self.report(row.line, Some(Column::Path), cause);
        }
        valid.then(|| SmolStr::new(value))
    }
}

/// Placeholder for a value that exceeds [`crate::parse::MAX_FIELD_BYTES`] and is already reported.
/// Fields are trimmed, so no value of a file equals it.
pub(super) const OVERSIZED_FIELD: &str = "\n";

/// Returns the first [`MAX_EXCERPT_CHARS`] characters of a value with control characters replaced
/// by spaces, for use in a fault.
pub(super) fn excerpt(value: &str) -> SmolStr {
    let mut shown: String = value
        .chars()
        .take(MAX_EXCERPT_CHARS)
        .map(|c| if c.is_control() { ' ' } else { c })
        .collect();
    if value.chars().nth(MAX_EXCERPT_CHARS).is_some() {
        shown.push_str("...");
    }
    SmolStr::from(shown)
}

/// Returns the names of columns, separated by commas.
pub(super) fn column_names(columns: &[Column]) -> String {
    let names: Vec<_> = columns.iter().map(|column| column.name()).collect();
    names.join(", ")
}

/// Returns whether the address can belong to a single host.
fn is_unicast_host(ip: IpAddr) -> bool {
    let broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    !ip.is_unspecified() && !ip.is_multicast() && !broadcast
}

/// Parses a decimal number from 0 to 1 with at most three decimals and returns it in thousandths.
pub(super) fn parse_per_mille(value: &str) -> Option<u32> {
    let (whole, decimals) = value.split_once('.').unwrap_or((value, "0"));
    let digits = |text: &str| text.bytes().all(|byte| byte.is_ascii_digit());
    if whole.len() != 1 || !digits(whole) {
        return None;
    }
    if decimals.is_empty() || decimals.len() > 3 || !digits(decimals) {
        return None;
    }
    let thousandths = format!("{whole}{decimals:0<3}").parse().ok()?;
    (thousandths <= 1_000).then_some(thousandths)
}
