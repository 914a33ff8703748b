//! Parsing and validation of a sheet.
//!
//! The validator collects all faults of a sheet instead of stopping at the first one, so that an
//! operator can fix them in one pass.

use std::fmt;
use std::net::SocketAddr;

use csv::{ReaderBuilder, StringRecord, Trim};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::column::{Column, Kind};
use crate::sheet::{Adapter, Call, Instance, Model, Server, Service, Settings, Sheet, Team};

mod value;

use value::{OVERSIZED_FIELD, column_names, excerpt, parse_per_mille};

/// Maximum size of a sheet in bytes. A sheet of 600 instances has about 60 KB. A sheet is appended
/// to the log as one record, which is limited to 1 MiB including its envelope, and every entry
/// holds it in memory.
pub const MAX_SHEET_BYTES: usize = 1_000_000;
/// Maximum number of rows, including the header row.
pub const MAX_ROWS: usize = 10_000;
/// Maximum size of a field in bytes.
pub const MAX_FIELD_BYTES: usize = 200;
/// Maximum size of a name in bytes. Names are used as metric labels and are part of gossip frames,
/// which are limited to 1,200 bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A validation error of a sheet, with its place in the file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fault {
    /// One-based line of the file, or 0 if the fault concerns the whole file.
    pub row: u64,
    /// Name of the column, or empty if the fault concerns the whole row.
    pub column: SmolStr,
    /// Description of the invalid value and of the allowed ones.
    pub cause: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.row, self.column.as_str()) {
            (0, "") => write!(f, "sheet: {}", self.cause),
            (0, column) => write!(f, "sheet, column {column}: {}", self.cause),
            (row, "") => write!(f, "row {row}: {}", self.cause),
            (row, column) => write!(f, "row {row}, column {column}: {}", self.cause),
        }
    }
}

impl std::error::Error for Fault {}

/// Parses and validates a sheet.
///
/// # Errors
///
/// Returns all faults of the sheet, sorted by row and column. A file that exceeds
/// [`MAX_SHEET_BYTES`] is not read, and reading stops at a header row without a `kind` column, so
/// that faults of the rows are not reported then.
pub fn parse(text: &str) -> Result<Sheet, Vec<Fault>> {
    if text.len() > MAX_SHEET_BYTES {
        let cause = format!("the file has more than {MAX_SHEET_BYTES} bytes");
        return Err(vec![Fault { row: 0, column: SmolStr::default(), cause }]);
    }
    let text = text.strip_prefix('\u{feff}').unwrap_or(text);
    let mut reader = ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(Trim::All)
        .from_reader(text.as_bytes());
    let mut record = StringRecord::new();
    let mut validator = Validator::default();
    let mut rows = 0;
    loop {
        match reader.read_record(&mut record) {
            Ok(true) => {}
            Ok(false) => break,
            Err(error) => {
                validator.report(0, None, format!("the file is not readable as CSV: {error}"));
                break;
            }
        }
        rows += 1;
        if rows > MAX_ROWS {
            validator.report(0, None, format!("the file has more than {MAX_ROWS} rows"));
            break;
        }
        let line = line_of(text, &record);
        if rows > 1 {
            validator.read_row(line, &record);
        } else if !validator.read_header(line, &record) {
            return Err(validator.faults);
        }
    }
    if rows == 0 {
        validator.report(0, None, "the file is empty; the first row names the columns".to_owned());
        return Err(validator.faults);
    }
    validator.finish()
}

/// Returns the line on which a record starts. The position that the CSV reader reports is that of
/// the blank lines that it skips before the record, so these are counted here.
fn line_of(text: &str, record: &StringRecord) -> u64 {
    let Some(position) = record.position() else { return 0 };
    let rest = text.as_bytes().get(position.byte() as usize..).unwrap_or_default();
    let blank = rest.iter().take_while(|byte| matches!(byte, b'\r' | b'\n'));
    position.line() + blank.filter(|byte| **byte == b'\n').count() as u64
}

/// A value and the line that contains it.
type Located<T> = (T, u64);

/// Collects the rows of a sheet and its faults.
#[derive(Default)]
struct Validator {
    /// Column of each field, or `None` if the header names an unknown or duplicate column.
    header: Vec<Option<Column>>,
    /// Columns that a row requires but the header lacks. They are recorded so that each is reported
    /// only once.
    missing_columns: Vec<Column>,
    faults: Vec<Fault>,

    deployment: Option<SmolStr>,
    downtime_weight: Option<u32>,
    weight_loads: Option<u32>,
    instances: Vec<Instance>,
    models: Vec<Model>,
    adapters: Vec<Adapter>,
    teams: Vec<Team>,
    services: Vec<Service>,
    servers: Vec<Server>,
    calls: Vec<Call>,

    // The lists below also include values of rows that have faults, so that one fault does not
    // cause follow-up faults, such as a reference to a row that was rejected.
    /// Names that rows declare, settings included.
    declared_names: Vec<Located<(Kind, SmolStr)>>,
    /// Addresses of instances and servers, which must be unique.
    addresses: Vec<Located<SocketAddr>>,
    /// Fabric domain and zone of each instance.
    domain_zones: Vec<Located<(SmolStr, SmolStr)>>,
    /// Key hashes of teams, which must be unique.
    keys: Vec<Located<SmolStr>>,
    /// Service, method and path of each call, which together must be unique.
    call_ids: Vec<Located<(SmolStr, SmolStr, SmolStr)>>,
    /// Kind and name of each entity that a row refers to, and the column that refers to it.
    references: Vec<Located<(Kind, Column, SmolStr)>>,
}

/// A row that is being validated.
struct Row<'a> {
    /// One-based line of the file.
    line: u64,
    kind: Kind,
    /// Values indexed by the discriminant of the column; empty where the row has none.
    cells: [&'a str; Column::ALL.len()],
}

impl Validator {
    /// Records a fault; `row` is 0 if it concerns the whole file.
    fn report(&mut self, row: u64, column: Option<Column>, cause: String) {
        let column = SmolStr::new_static(column.map_or("", Column::name));
        self.faults.push(Fault { row, column, cause });
    }

    /// Reads the header row. Returns whether it has the `kind` column, without which the other rows
    /// cannot be read.
    fn read_header(&mut self, line: u64, record: &StringRecord) -> bool {
        for name in record {
            let column = Column::from_name(name);
            match column {
                None => {
                    let column = excerpt(name);
                    let cause = match name {
                        "" => "a column has no name".to_owned(),
                        _ => format!("unknown column; known are {}", column_names(&Column::ALL)),
                    };
                    self.faults.push(Fault { row: line, column, cause });
                    self.header.push(None);
                }
                Some(known) if self.header.contains(&column) => {
                    self.report(line, Some(known), "the column occurs twice".to_owned());
                    self.header.push(None);
                }
                Some(_) => self.header.push(column),
            }
        }
        let complete = self.header.contains(&Some(Column::Kind));
        if !complete {
            self.report(line, Some(Column::Kind), "the column is missing".to_owned());
        }
        complete
    }

    /// Reads a row after the header. Rows whose fields are all empty are ignored.
    fn read_row(&mut self, line: u64, record: &StringRecord) {
        if record.iter().all(str::is_empty) {
            return;
        }
        let mut cells = [""; Column::ALL.len()];
        for (index, cell) in record.iter().enumerate() {
            let column = match self.header.get(index) {
                Some(Some(column)) => *column,
                Some(None) => continue,
                None if cell.is_empty() => continue,
                None => {
                    let cause = format!(
                        "the row has {} fields; the first row names {} columns",
                        record.len(),
                        self.header.len()
                    );
                    self.report(line, None, cause);
                    break;
                }
            };
            if cell.len() > MAX_FIELD_BYTES {
                let cause = format!(
                    "the value has {} bytes; at most {MAX_FIELD_BYTES} are allowed",
                    cell.len()
                );
                self.report(line, Some(column), cause);
                // An empty cell would be reported as missing in addition.
                cells[column as usize] = OVERSIZED_FIELD;
            } else {
                cells[column as usize] = cell;
            }
        }
        let name = cells[Column::Kind as usize];
        let Some(kind) = Kind::from_name(name) else {
            let known = Kind::ALL.map(Kind::name).join(", ");
            match name {
                OVERSIZED_FIELD => {}
                "" => {
                    self.report(line, Some(Column::Kind), format!("missing; allowed are {known}"))
                }
                _ => {
                    let cause = format!("unknown kind `{}`; allowed are {known}", excerpt(name));
                    self.report(line, Some(Column::Kind), cause);
                }
            }
            return;
        };
        let row = Row { line, kind, cells };
        for column in Column::ALL {
            let unused = column != Column::Kind && !kind.columns().contains(&column);
            if unused && !row.cells[column as usize].is_empty() {
                self.report(
                    line,
                    Some(column),
                    format!("rows of kind {name} do not use the column"),
                );
            }
        }
        match kind {
            Kind::Setting => self.read_setting(&row),
            Kind::Instance => self.read_instance(&row),
            Kind::Model => self.read_model(&row),
            Kind::Adapter => self.read_adapter(&row),
            Kind::Team => self.read_team(&row),
            Kind::Service => self.read_service(&row),
            Kind::Server => self.read_server(&row),
            Kind::Call => self.read_call(&row),
        }
    }

    fn read_setting(&mut self, row: &Row<'_>) {
        let name = self.required_cell(row, Column::Name);
        let value = self.required_cell(row, Column::Value);
        let Some(name) = name else { return };
        match name {
            "deployment" | "downtime_weight" | "weight_loads" => {
                self.declared_names.push(((Kind::Setting, SmolStr::new(name)), row.line));
            }
            _ => {
                let cause = format!(
                    "unknown setting `{}`; known are deployment, downtime_weight, weight_loads",
                    excerpt(name)
                );
                self.report(row.line, Some(Column::Name), cause);
                return;
            }
        }
        let Some(value) = value else { return };
        match name {
            "deployment" if value.len() > MAX_NAME_BYTES || value.chars().any(char::is_control) => {
                let cause =
                    format!("must have at most {MAX_NAME_BYTES} bytes and no control characters");
                self.report(row.line, Some(Column::Value), cause);
            }
            "deployment" => self.deployment = Some(SmolStr::new(value)),
            "downtime_weight" => match parse_per_mille(value) {
                Some(weight) => self.downtime_weight = Some(weight),
                None => {
                    let cause = format!(
                        "`{}` is not a number from 0 to 1 with at most three decimals",
                        excerpt(value)
                    );
                    self.report(row.line, Some(Column::Value), cause);
                }
            },
            _ => self.weight_loads = self.parse_number(row, Column::Value, 1..=10_000),
        }
    }

    fn read_instance(&mut self, row: &Row<'_>) {
        let name = self.declare_name(row, Kind::Instance);
        let zone = self.parse_identifier(row, Column::Zone);
        let domain = self.parse_identifier(row, Column::Domain);
        let accelerator = self.parse_identifier(row, Column::Accelerator);
        let accelerators = self.parse_number(row, Column::Accelerators, 1..=64);
        let address = self.parse_address(row);
        let fencing = self.parse_flag(row, Column::Fencing);
        if let (Some(zone), Some(domain)) = (&zone, &domain) {
            self.domain_zones.push(((domain.clone(), zone.clone()), row.line));
        }
        let (Some(name), Some(zone), Some(domain), Some(accelerator)) =
            (name, zone, domain, accelerator)
        else {
            return;
        };
        let (Some(accelerators), Some(address), Some(fencing)) = (accelerators, address, fencing)
        else {
            return;
        };
        self.instances.push(Instance {
            name,
            zone,
            domain,
            accelerator,
            accelerators,
            address,
            fencing,
        });
    }

    fn read_model(&mut self, row: &Row<'_>) {
        let name = self.declare_name(row, Kind::Model);
        let version = self.parse_model_name(row, Column::Version);
        let accelerator = self.parse_identifier(row, Column::Accelerator);
        let instances = self.parse_number(row, Column::Instances, 1..=64);
        let replicas = self.parse_number(row, Column::Replicas, 0..=10_000);
        let priority = self.parse_number(row, Column::Priority, 0..=3);
        let (Some(name), Some(version), Some(accelerator)) = (name, version, accelerator) else {
            return;
        };
        let (Some(instances), Some(replicas), Some(priority)) = (instances, replicas, priority)
        else {
            return;
        };
        let priority = priority as u8;
        self.models.push(Model { name, version, accelerator, instances, replicas, priority });
    }

    fn read_adapter(&mut self, row: &Row<'_>) {
        let name = self.declare_name(row, Kind::Adapter);
        let model = self.parse_model_name(row, Column::Model);
        if let Some(model) = &model {
            self.references.push(((Kind::Model, Column::Model, model.clone()), row.line));
        }
        if let (Some(name), Some(model)) = (name, model) {
            self.adapters.push(Adapter { name, model });
        }
    }

    fn read_team(&mut self, row: &Row<'_>) {
        let name = self.declare_name(row, Kind::Team);
        let rate = self.parse_number(row, Column::Rate, 1..=1_000_000);
        let tokens = self.parse_number(row, Column::Tokens, 1..=1_000_000_000);
        let concurrency = self.parse_number(row, Column::Concurrency, 1..=1_000_000);
        let key = self.parse_key_hash(row);
        let (Some(name), Some(rate), Some(tokens), Some(concurrency), Some(key)) =
            (name, rate, tokens, concurrency, key)
        else {
            return;
        };
        self.teams.push(Team { name, rate, tokens, concurrency, key });
    }

    fn read_service(&mut self, row: &Row<'_>) {
        if let Some(name) = self.declare_name(row, Kind::Service) {
            self.services.push(Service { name });
        }
    }

    fn read_server(&mut self, row: &Row<'_>) {
        let name = self.declare_name(row, Kind::Server);
        let service = self.parse_service_reference(row);
        let zone = self.parse_identifier(row, Column::Zone);
        let address = self.parse_address(row);
        let (Some(name), Some(service), Some(zone), Some(address)) = (name, service, zone, address)
        else {
            return;
        };
        self.servers.push(Server { name, service, zone, address });
    }

    fn read_call(&mut self, row: &Row<'_>) {
        let service = self.parse_service_reference(row);
        let method = self.parse_method(row);
        let path = self.parse_path(row);
        let repeatable = self.parse_flag(row, Column::Repeatable);
        let (Some(service), Some(method), Some(path)) = (service, method, path) else { return };
        self.call_ids.push(((service.clone(), method.clone(), path.clone()), row.line));
        if let Some(repeatable) = repeatable {
            self.calls.push(Call { service, method, path, repeatable });
        }
    }

    /// Runs the checks that span several rows and returns the sheet, or all faults.
    fn finish(mut self) -> Result<Sheet, Vec<Fault>> {
        self.check_names();
        self.check_references();
        let addresses = std::mem::take(&mut self.addresses);
        self.check_unique(addresses, Column::Address, |address| format!("address {address}"));
        let keys = std::mem::take(&mut self.keys);
        self.check_unique(keys, Column::Key, |_| "the key".to_owned());
        let call_ids = std::mem::take(&mut self.call_ids);
        self.check_unique(call_ids, Column::Path, |(service, method, path)| {
            format!("call {method} {path} of service {service}")
        });
        self.check_domains();
        for (name, missing) in [
            ("deployment", self.deployment.is_none()),
            ("downtime_weight", self.downtime_weight.is_none()),
            ("weight_loads", self.weight_loads.is_none()),
        ] {
            let declared = self
                .declared_names
                .iter()
                .any(|((kind, known), _)| *kind == Kind::Setting && known == name);
            if missing && !declared {
                self.report(0, Some(Column::Name), format!("the setting {name} is missing"));
            }
        }
        self.faults.sort_by_cached_key(|fault| {
            (fault.row, Column::from_name(&fault.column), fault.cause.clone())
        });
        let (Some(deployment), Some(downtime_weight), Some(weight_loads), true) =
            (self.deployment, self.downtime_weight, self.weight_loads, self.faults.is_empty())
        else {
            return Err(self.faults);
        };
        let mut sheet = Sheet {
            settings: Settings { deployment, downtime_weight, weight_loads },
            instances: self.instances,
            models: self.models,
            adapters: self.adapters,
            teams: self.teams,
            services: self.services,
            servers: self.servers,
            calls: self.calls,
        };
        sheet.instances.sort_by(|a, b| a.name.cmp(&b.name));
        sheet.models.sort_by(|a, b| a.name.cmp(&b.name));
        sheet.adapters.sort_by(|a, b| a.name.cmp(&b.name));
        sheet.teams.sort_by(|a, b| a.name.cmp(&b.name));
        sheet.services.sort_by(|a, b| a.name.cmp(&b.name));
        sheet.servers.sort_by(|a, b| a.name.cmp(&b.name));
        sheet.calls.sort_by(|a, b| {
            (&a.service, &a.method, &a.path).cmp(&(&b.service, &b.method, &b.path))
        });
        Ok(sheet)
    }

    /// Checks that names are unique within their kind. Instances and servers share a namespace, and
    /// so do models and adapters, because requests name a model or an adapter in the same field.
    fn check_names(&mut self) {
        let mut names: Vec<_> = self
            .declared_names
            .iter()
            .map(|((kind, name), line)| {
                let namespace = match kind {
                    Kind::Server => Kind::Instance,
                    Kind::Adapter => Kind::Model,
                    kind => *kind,
                };
                (namespace, name.clone(), *line, *kind)
            })
            .collect();
        names.sort();
        for pair in names.windows(2) {
            let ((namespace, name, first, kind), (other_namespace, other, line, _)) =
                (&pair[0], &pair[1]);
            if namespace == other_namespace && name == other {
                let kind = kind.name();
                let cause = format!("`{name}` is already the name of the {kind} in row {first}");
                self.report(*line, Some(Column::Name), cause);
            }
        }
    }

    /// Checks that the sheet declares every entity that a row refers to.
    fn check_references(&mut self) {
        let mut names: Vec<_> = self.declared_names.iter().map(|(name, _)| name.clone()).collect();
        names.sort();
        for ((kind, column, name), line) in std::mem::take(&mut self.references) {
            let target = (kind, name);
            if names.binary_search(&target).is_err() {
                let cause = format!("the sheet declares no {} `{}`", kind.name(), target.1);
                self.report(line, Some(column), cause);
            }
        }
    }

    /// Reports each value that already occurs in an earlier row.
    fn check_unique<T, F>(&mut self, mut values: Vec<Located<T>>, column: Column, describe: F)
    where
        T: Ord,
        F: Fn(&T) -> String,
    {
        values.sort();
        for pair in values.windows(2) {
            let ((value, first), (other, line)) = (&pair[0], &pair[1]);
            if value == other {
                let cause = format!("{} is already used in row {first}", describe(value));
                self.report(*line, Some(column), cause);
            }
        }
    }

    /// Checks that all instances of a fabric domain are in one zone, which is the zone in the first
    /// row that names the domain.
    fn check_domains(&mut self) {
        let mut domain_zones = std::mem::take(&mut self.domain_zones);
        domain_zones.sort_by(|((a, _), a_line), ((b, _), b_line)| (a, a_line).cmp(&(b, b_line)));
        for chunk in domain_zones.chunk_by(|((a, _), _), ((b, _), _)| a == b) {
            let ((domain, zone), first) = &chunk[0];
            for ((_, other), line) in &chunk[1..] {
                if other != zone {
                    let cause =
                        format!("domain {domain} lies in zone {zone} according to row {first}");
                    self.report(*line, Some(Column::Zone), cause);
                }
            }
        }
    }
}
