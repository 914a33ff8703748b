//! The values of a row.

use std::net::{IpAddr, SocketAddr};
use std::ops::RangeInclusive;

use smol_str::{SmolStr, format_smolstr};

use crate::column::{Column, Kind};
use crate::parse::{Checker, MAX_NAME_BYTES, Row};

/// Characters of a rejected value that a fault repeats.
const SHOWN: usize = 40;

const METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

impl Checker {
    /// The value of a mandatory cell.
    pub(super) fn cell<'a>(&mut self, row: &Row<'a>, column: Column) -> Option<&'a str> {
        match row.cells[column as usize] {
            "" if !self.header.contains(&Some(column)) => {
                if !self.absent.contains(&column) {
                    self.absent.push(column);
                    let kind = row.kind.name();
                    let cause =
                        format!("the first row lacks the column, which rows of kind {kind} need");
                    self.fault(row.line, Some(column), cause);
                }
                None
            }
            "" => {
                let cause = format!("missing; rows of kind {} need a value", row.kind.name());
                self.fault(row.line, Some(column), cause);
                None
            }
            OVERSIZE => None,
            value => Some(value),
        }
    }

    /// The name of the entity that a row declares.
    pub(super) fn declare(&mut self, row: &Row<'_>, kind: Kind) -> Option<SmolStr> {
        let name = match kind {
            Kind::Model | Kind::Adapter => self.model_name(row, Column::Name),
            _ => self.label(row, Column::Name),
        }?;
        self.names.push(((kind, name.clone()), row.line));
        Some(name)
    }

    pub(super) fn service_reference(&mut self, row: &Row<'_>) -> Option<SmolStr> {
        let service = self.label(row, Column::Service)?;
        self.references.push(((Kind::Service, Column::Service, service.clone()), row.line));
        Some(service)
    }

    /// A name that is safe in a URL path and as a label of a metric.
    pub(super) fn label(&mut self, row: &Row<'_>, column: Column) -> Option<SmolStr> {
        self.name(row, column, "-_.")
    }

    /// The name of a model, a version or an adapter, in which registries use further characters.
    pub(super) fn model_name(&mut self, row: &Row<'_>, column: Column) -> Option<SmolStr> {
        self.name(row, column, "-_./:@+")
    }

    pub(super) fn name(&mut self, row: &Row<'_>, column: Column, marks: &str) -> Option<SmolStr> {
        let value = self.cell(row, column)?;
        let valid = value.len() <= MAX_NAME_BYTES
            && value.starts_with(|c: char| c.is_ascii_alphanumeric())
            && value.chars().all(|c| c.is_ascii_alphanumeric() || marks.contains(c));
        if !valid {
            let cause = format!(
                "`{}` is not a name: 1 to {MAX_NAME_BYTES} of A-Z, a-z, 0-9 and {marks}, starting with a \
                 letter or digit",
                shorten(value)
            );
            self.fault(row.line, Some(column), cause);
        }
        valid.then(|| SmolStr::new(value))
    }

    pub(super) fn number(
        &mut self,
        row: &Row<'_>,
        column: Column,
        range: RangeInclusive<u32>,
    ) -> Option<u32> {
        let value = self.cell(row, column)?;
        // `u32::from_str` accepts a leading plus sign, which the canonical form does not have.
        let digits = value.bytes().all(|byte| byte.is_ascii_digit());
        match value.parse::<u32>() {
            Ok(number) if digits && range.contains(&number) => Some(number),
            _ => {
                let (min, max) = (range.start(), range.end());
                let cause = format!("`{}` is not an integer from {min} to {max}", shorten(value));
                self.fault(row.line, Some(column), cause);
                None
            }
        }
    }

    pub(super) fn flag(&mut self, row: &Row<'_>, column: Column) -> Option<bool> {
        match self.cell(row, column)? {
            "yes" => Some(true),
            "no" => Some(false),
            value => {
                let cause = format!("`{}` is neither yes nor no", shorten(value));
                self.fault(row.line, Some(column), cause);
                None
            }
        }
    }

    pub(super) fn address(&mut self, row: &Row<'_>) -> Option<SmolStr> {
        let value = self.cell(row, Column::Address)?;
        let cause = match value.parse::<SocketAddr>() {
            Ok(address) if address.port() == 0 => "the port must be from 1 to 65535".to_owned(),
            Ok(address) if !is_host(address.ip()) => {
                format!("`{}` is not the address of one host", address.ip())
            }
            Ok(address) => {
                self.addresses.push((address, row.line));
                return Some(format_smolstr!("{address}"));
            }
            Err(_) => format!(
                "`{}` is not an IP address with port, such as 10.0.0.1:8000 or [fd00::1]:8000",
                shorten(value)
            ),
        };
        self.fault(row.line, Some(Column::Address), cause);
        None
    }

    pub(super) fn hash(&mut self, row: &Row<'_>) -> Option<SmolStr> {
        let value = self.cell(row, Column::Key)?;
        if value.len() == 32 && value.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            let key = SmolStr::from(value.to_ascii_lowercase());
            self.keys.push((key.clone(), row.line));
            return Some(key);
        }
        // The value is not repeated: it may be the bearer key itself.
        let cause = "not 32 hexadecimal digits; `marigoldwall hash-key` prints them".to_owned();
        self.fault(row.line, Some(Column::Key), cause);
        None
    }

    pub(super) fn method(&mut self, row: &Row<'_>) -> Option<SmolStr> {
        let value = self.cell(row, Column::Method)?;
        let known = METHODS.contains(&value);
        if !known {
            let cause =
                format!("unknown method `{}`; allowed are {}", shorten(value), METHODS.join(", "));
            self.fault(row.line, Some(Column::Method), cause);
        }
        known.then(|| SmolStr::new(value))
    }

    pub(super) fn path(&mut self, row: &Row<'_>) -> Option<SmolStr> {
        let value = self.cell(row, Column::Path)?;
        let valid = value.starts_with('/')
            && value.bytes().all(|byte| byte.is_ascii_graphic() && !b"?#\"\\".contains(&byte))
            && value.split('/').all(|part| part != "." && part != "..");
        if !valid {
            let cause = format!(
                "`{}` is not a path: it starts with / and has only printable ASCII without ? # \" \
                 \\ and without the segments . and ..",
                shorten(value)
            );
            self.fault(row.line, Some(Column::Path), cause);
        }
        valid.then(|| SmolStr::new(value))
    }
}

/// Stands for a value above [`crate::parse::MAX_FIELD_BYTES`]; fields are trimmed, so no value equals it.
pub(super) const OVERSIZE: &str = "\n";

pub(super) fn shorten(value: &str) -> SmolStr {
    let mut shown: String =
        value.chars().take(SHOWN).map(|c| if c.is_control() { ' ' } else { c }).collect();
    if value.chars().nth(SHOWN).is_some() {
        shown.push_str("...");
    }
    SmolStr::from(shown)
}

pub(super) fn list(columns: &[Column]) -> String {
    let names: Vec<_> = columns.iter().map(|column| column.name()).collect();
    names.join(", ")
}

fn is_host(ip: IpAddr) -> bool {
    let broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    !ip.is_unspecified() && !ip.is_multicast() && !broadcast
}

/// Reads a decimal number from 0 to 1 with at most three decimals as a count of thousandths.
pub(super) fn per_mille(value: &str) -> Option<u32> {
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
