//! Columns of a sheet and kinds of its rows.

use serde::{Deserialize, Serialize};

/// A column of the sheet. [`Kind::columns`] lists the columns of each kind of row; the fields of
/// the types in [`crate::sheet`] describe their values.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum Column {
    Kind,
    Name,
    Zone,
    Domain,
    Accelerator,
    Accelerators,
    Address,
    Fencing,
    Model,
    Version,
    Instances,
    Replicas,
    Priority,
    Rate,
    Tokens,
    Concurrency,
    Key,
    Service,
    Method,
    Path,
    Repeatable,
    Value,
}

impl Column {
    /// All columns in canonical order. The index of a column equals its discriminant, which also
    /// indexes the cells of a parsed row.
    pub const ALL: [Column; 22] = [
        Column::Kind,
        Column::Name,
        Column::Zone,
        Column::Domain,
        Column::Accelerator,
        Column::Accelerators,
        Column::Address,
        Column::Fencing,
        Column::Model,
        Column::Version,
        Column::Instances,
        Column::Replicas,
        Column::Priority,
        Column::Rate,
        Column::Tokens,
        Column::Concurrency,
        Column::Key,
        Column::Service,
        Column::Method,
        Column::Path,
        Column::Repeatable,
        Column::Value,
    ];

    /// Returns the name of the column in the header row of the file.
    pub const fn name(self) -> &'static str {
        match self {
            Column::Kind => "kind",
            Column::Name => "name",
            Column::Zone => "zone",
            Column::Domain => "domain",
            Column::Accelerator => "accelerator",
            Column::Accelerators => "accelerators",
            Column::Address => "address",
            Column::Fencing => "fencing",
            Column::Model => "model",
            Column::Version => "version",
            Column::Instances => "instances",
            Column::Replicas => "replicas",
            Column::Priority => "priority",
            Column::Rate => "rate",
            Column::Tokens => "tokens",
            Column::Concurrency => "concurrency",
            Column::Key => "key",
            Column::Service => "service",
            Column::Method => "method",
            Column::Path => "path",
            Column::Repeatable => "repeatable",
            Column::Value => "value",
        }
    }

    /// Returns the column with the given header name.
    pub fn from_name(name: &str) -> Option<Column> {
        Column::ALL.into_iter().find(|column| column.name() == name)
    }
}

/// The kind of a row. Each kind other than `setting` corresponds to a type in [`crate::sheet`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)]
pub enum Kind {
    Setting,
    Instance,
    Model,
    Adapter,
    Team,
    Service,
    Server,
    Call,
}

impl Kind {
    /// All kinds in canonical order, by which rows of the canonical form are sorted.
    pub const ALL: [Kind; 8] = [
        Kind::Setting,
        Kind::Instance,
        Kind::Model,
        Kind::Adapter,
        Kind::Team,
        Kind::Service,
        Kind::Server,
        Kind::Call,
    ];

    /// Returns the value of column `kind` in rows of this kind.
    pub const fn name(self) -> &'static str {
        match self {
            Kind::Setting => "setting",
            Kind::Instance => "instance",
            Kind::Model => "model",
            Kind::Adapter => "adapter",
            Kind::Team => "team",
            Kind::Service => "service",
            Kind::Server => "server",
            Kind::Call => "call",
        }
    }

    /// Returns the kind with the given value of column `kind`.
    pub fn from_name(name: &str) -> Option<Kind> {
        Kind::ALL.into_iter().find(|kind| kind.name() == name)
    }

    /// Returns the columns that rows of this kind use besides `kind`. All of them are mandatory.
    pub const fn columns(self) -> &'static [Column] {
        match self {
            Kind::Setting => &[Column::Name, Column::Value],
            Kind::Instance => &[
                Column::Name,
                Column::Zone,
                Column::Domain,
                Column::Accelerator,
                Column::Accelerators,
                Column::Address,
                Column::Fencing,
            ],
            Kind::Model => &[
                Column::Name,
                Column::Version,
                Column::Accelerator,
                Column::Instances,
                Column::Replicas,
                Column::Priority,
            ],
            Kind::Adapter => &[Column::Name, Column::Model],
            Kind::Team => {
                &[Column::Name, Column::Rate, Column::Tokens, Column::Concurrency, Column::Key]
            }
            Kind::Service => &[Column::Name],
            Kind::Server => &[Column::Name, Column::Service, Column::Zone, Column::Address],
            Kind::Call => &[Column::Service, Column::Method, Column::Path, Column::Repeatable],
        }
    }
}
