//! Parsing and checking of a sheet.

use std::fmt;
use std::net::SocketAddr;

use csv::{ReaderBuilder, StringRecord, Trim};
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::column::{Column, Kind};
use crate::sheet::{Adapter, Call, Instance, Model, Server, Service, Settings, Sheet, Team};

mod value;

use value::{OVERSIZE, list, per_mille, shorten};

/// Largest sheet in bytes. A sheet of 600 instances has about 60 KB; a sheet travels in one log
/// record, whose limit is 1 MiB with its envelope, and is held in memory by every entry.
pub const MAX_SHEET_BYTES: usize = 1_000_000;
/// Largest number of rows, the first row included.
pub const MAX_ROWS: usize = 10_000;
/// Longest field in bytes.
pub const MAX_FIELD_BYTES: usize = 200;
/// Longest name in bytes. Names are labels of metrics and parts of gossip frames of 1,200 bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// A fault of a sheet.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fault {
    /// Line of the file, from 1; 0 if the fault concerns the file as a whole.
    pub row: u64,
    /// Name of the column; empty if the fault concerns the whole row.
    pub column: SmolStr,
    /// What is wrong and what is allowed.
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

/// Parses and checks a sheet.
///
/// # Errors
///
/// All faults of the sheet, sorted by row and column. A file above [`MAX_SHEET_BYTES`] or without a
/// `kind` column is not read further, so only that fault is returned.
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
    let mut checker = Checker::default();
    let mut rows = 0;
    loop {
        match reader.read_record(&mut record) {
            Ok(true) => {}
            Ok(false) => break,
            Err(error) => {
                checker.fault(0, None, format!("the file is not readable as CSV: {error}"));
                break;
            }
        }
        rows += 1;
        if rows > MAX_ROWS {
            checker.fault(0, None, format!("the file has more than {MAX_ROWS} rows"));
            break;
        }
        let line = line_of(text, &record);
        if rows > 1 {
            checker.row(line, &record);
        } else if !checker.header(line, &record) {
            return Err(checker.faults);
        }
    }
    if rows == 0 {
        checker.fault(0, None, "the file is empty; the first row names the columns".to_owned());
        return Err(checker.faults);
    }
    checker.finish()
}

/// The line on which a record starts; the reader's own position precedes skipped blank lines.
fn line_of(text: &str, record: &StringRecord) -> u64 {
    let Some(position) = record.position() else { return 0 };
    let rest = text.as_bytes().get(position.byte() as usize..).unwrap_or_default();
    let blank = rest.iter().take_while(|byte| matches!(byte, b'\r' | b'\n'));
    position.line() + blank.filter(|byte| **byte == b'\n').count() as u64
}

/// A value with the line that declares it.
type Placed<T> = (T, u64);

#[derive(Default)]
struct Checker {
    /// Column of each field, `None` for an unknown or repeated column.
    header: Vec<Option<Column>>,
    /// Columns that a row needs and the header lacks; each is reported once.
    absent: Vec<Column>,
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

    // Names and references are kept for faulty rows too, so that one fault does not cause others.
    names: Vec<Placed<(Kind, SmolStr)>>,
    addresses: Vec<Placed<SocketAddr>>,
    domains: Vec<Placed<(SmolStr, SmolStr)>>,
    keys: Vec<Placed<SmolStr>>,
    paths: Vec<Placed<(SmolStr, SmolStr, SmolStr)>>,
    references: Vec<Placed<(Kind, Column, SmolStr)>>,
}

/// A row under examination.
struct Row<'a> {
    line: u64,
    kind: Kind,
    cells: [&'a str; Column::ALL.len()],
}

impl Checker {
    fn fault(&mut self, row: u64, column: Option<Column>, cause: String) {
        let column = SmolStr::new_static(column.map_or("", Column::name));
        self.faults.push(Fault { row, column, cause });
    }

    /// Reads the first row; returns whether further rows can be read.
    fn header(&mut self, line: u64, record: &StringRecord) -> bool {
        for name in record {
            let column = Column::from_name(name);
            match column {
                None => {
                    let column = shorten(name);
                    let cause = match name {
                        "" => "a column has no name".to_owned(),
                        _ => format!("unknown column; known are {}", list(&Column::ALL)),
                    };
                    self.faults.push(Fault { row: line, column, cause });
                    self.header.push(None);
                }
                Some(known) if self.header.contains(&column) => {
                    self.fault(line, Some(known), "the column occurs twice".to_owned());
                    self.header.push(None);
                }
                Some(_) => self.header.push(column),
            }
        }
        let complete = self.header.contains(&Some(Column::Kind));
        if !complete {
            self.fault(line, Some(Column::Kind), "the column is missing".to_owned());
        }
        complete
    }

    fn row(&mut self, line: u64, record: &StringRecord) {
        if record.iter().all(str::is_empty) {
            return;
        }
        let mut cells = [""; Column::ALL.len()];
        for (place, cell) in record.iter().enumerate() {
            let column = match self.header.get(place) {
                Some(Some(column)) => *column,
                Some(None) => continue,
                None if cell.is_empty() => continue,
                None => {
                    let cause = format!(
                        "the row has {} fields; the first row names {} columns",
                        record.len(),
                        self.header.len()
                    );
                    self.fault(line, None, cause);
                    break;
                }
            };
            if cell.len() > MAX_FIELD_BYTES {
                let cause = format!(
                    "the value has {} bytes; at most {MAX_FIELD_BYTES} are allowed",
                    cell.len()
                );
                self.fault(line, Some(column), cause);
                // The placeholder keeps a second fault, "missing", from being reported.
                cells[column as usize] = OVERSIZE;
            } else {
                cells[column as usize] = cell;
            }
        }
        let name = cells[Column::Kind as usize];
        let Some(kind) = Kind::from_name(name) else {
            let known = Kind::ALL.map(Kind::name).join(", ");
            match name {
                OVERSIZE => {}
                "" => self.fault(line, Some(Column::Kind), format!("missing; allowed are {known}")),
                _ => {
                    let cause = format!("unknown kind `{}`; allowed are {known}", shorten(name));
                    self.fault(line, Some(Column::Kind), cause);
                }
            }
            return;
        };
        let row = Row { line, kind, cells };
        for column in Column::ALL {
            let unused = column != Column::Kind && !kind.columns().contains(&column);
            if unused && !row.cells[column as usize].is_empty() {
                self.fault(
                    line,
                    Some(column),
                    format!("rows of kind {name} do not use the column"),
                );
            }
        }
        match kind {
            Kind::Setting => self.setting(&row),
            Kind::Instance => self.instance(&row),
            Kind::Model => self.model(&row),
            Kind::Adapter => self.adapter(&row),
            Kind::Team => self.team(&row),
            Kind::Service => self.service(&row),
            Kind::Server => self.server(&row),
            Kind::Call => self.call(&row),
        }
    }

    fn setting(&mut self, row: &Row<'_>) {
        let name = self.cell(row, Column::Name);
        let value = self.cell(row, Column::Value);
        let Some(name) = name else { return };
        match name {
            "deployment" | "downtime_weight" | "weight_loads" => {
                self.names.push(((Kind::Setting, SmolStr::new(name)), row.line));
            }
            _ => {
                let cause = format!(
                    "unknown setting `{}`; known are deployment, downtime_weight, weight_loads",
                    shorten(name)
                );
                self.fault(row.line, Some(Column::Name), cause);
                return;
            }
        }
        let Some(value) = value else { return };
        match name {
            "deployment" if value.len() > MAX_NAME_BYTES || value.chars().any(char::is_control) => {
                let cause =
                    format!("must have at most {MAX_NAME_BYTES} bytes and no control characters");
                self.fault(row.line, Some(Column::Value), cause);
            }
            "deployment" => self.deployment = Some(SmolStr::new(value)),
            "downtime_weight" => match per_mille(value) {
                Some(weight) => self.downtime_weight = Some(weight),
                None => {
                    let cause = format!(
                        "`{}` is not a number from 0 to 1 with at most three decimals",
                        shorten(value)
                    );
                    self.fault(row.line, Some(Column::Value), cause);
                }
            },
            _ => self.weight_loads = self.number(row, Column::Value, 1..=10_000),
        }
    }

    fn instance(&mut self, row: &Row<'_>) {
        let name = self.declare(row, Kind::Instance);
        let zone = self.label(row, Column::Zone);
        let domain = self.label(row, Column::Domain);
        let accelerator = self.label(row, Column::Accelerator);
        let accelerators = self.number(row, Column::Accelerators, 1..=64);
        let address = self.address(row);
        let fencing = self.flag(row, Column::Fencing);
        if let (Some(zone), Some(domain)) = (&zone, &domain) {
            self.domains.push(((domain.clone(), zone.clone()), row.line));
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

    fn model(&mut self, row: &Row<'_>) {
        let name = self.declare(row, Kind::Model);
        let version = self.model_name(row, Column::Version);
        let accelerator = self.label(row, Column::Accelerator);
        let instances = self.number(row, Column::Instances, 1..=64);
        let replicas = self.number(row, Column::Replicas, 0..=10_000);
        let priority = self.number(row, Column::Priority, 0..=3);
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

    fn adapter(&mut self, row: &Row<'_>) {
        let name = self.declare(row, Kind::Adapter);
        let model = self.model_name(row, Column::Model);
        if let Some(model) = &model {
            self.references.push(((Kind::Model, Column::Model, model.clone()), row.line));
        }
        if let (Some(name), Some(model)) = (name, model) {
            self.adapters.push(Adapter { name, model });
        }
    }

    fn team(&mut self, row: &Row<'_>) {
        let name = self.declare(row, Kind::Team);
        let rate = self.number(row, Column::Rate, 1..=1_000_000);
        let tokens = self.number(row, Column::Tokens, 1..=1_000_000_000);
        let concurrency = self.number(row, Column::Concurrency, 1..=1_000_000);
        let key = self.hash(row);
        let (Some(name), Some(rate), Some(tokens), Some(concurrency), Some(key)) =
            (name, rate, tokens, concurrency, key)
        else {
            return;
        };
        self.teams.push(Team { name, rate, tokens, concurrency, key });
    }

    fn service(&mut self, row: &Row<'_>) {
        if let Some(name) = self.declare(row, Kind::Service) {
            self.services.push(Service { name });
        }
    }

    fn server(&mut self, row: &Row<'_>) {
        let name = self.declare(row, Kind::Server);
        let service = self.service_reference(row);
        let zone = self.label(row, Column::Zone);
        let address = self.address(row);
        let (Some(name), Some(service), Some(zone), Some(address)) = (name, service, zone, address)
        else {
            return;
        };
        self.servers.push(Server { name, service, zone, address });
    }

    fn call(&mut self, row: &Row<'_>) {
        let service = self.service_reference(row);
        let method = self.method(row);
        let path = self.path(row);
        let repeatable = self.flag(row, Column::Repeatable);
        let (Some(service), Some(method), Some(path)) = (service, method, path) else { return };
        self.paths.push(((service.clone(), method.clone(), path.clone()), row.line));
        if let Some(repeatable) = repeatable {
            self.calls.push(Call { service, method, path, repeatable });
        }
    }

    fn finish(mut self) -> Result<Sheet, Vec<Fault>> {
        self.check_names();
        self.check_references();
        let addresses = std::mem::take(&mut self.addresses);
        self.check_unique(addresses, Column::Address, |address| format!("address {address}"));
        let keys = std::mem::take(&mut self.keys);
        self.check_unique(keys, Column::Key, |_| "the key".to_owned());
        let paths = std::mem::take(&mut self.paths);
        self.check_unique(paths, Column::Path, |(service, method, path)| {
            format!("call {method} {path} of service {service}")
        });
        self.check_domains();
        for (name, absent) in [
            ("deployment", self.deployment.is_none()),
            ("downtime_weight", self.downtime_weight.is_none()),
            ("weight_loads", self.weight_loads.is_none()),
        ] {
            let declared =
                self.names.iter().any(|((kind, known), _)| *kind == Kind::Setting && known == name);
            if absent && !declared {
                self.fault(0, Some(Column::Name), format!("the setting {name} is missing"));
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

    /// Names are unique per kind; instances and servers share one name space, and so do models
    /// and adapters, because a request names either in the same field.
    fn check_names(&mut self) {
        let mut names: Vec<_> = self
            .names
            .iter()
            .map(|((kind, name), line)| {
                let space = match kind {
                    Kind::Server => Kind::Instance,
                    Kind::Adapter => Kind::Model,
                    kind => *kind,
                };
                (space, name.clone(), *line, *kind)
            })
            .collect();
        names.sort();
        for pair in names.windows(2) {
            let ((space, name, first, kind), (other_space, other, line, _)) = (&pair[0], &pair[1]);
            if space == other_space && name == other {
                let kind = kind.name();
                let cause = format!("`{name}` is already the name of the {kind} in row {first}");
                self.fault(*line, Some(Column::Name), cause);
            }
        }
    }

    fn check_references(&mut self) {
        let mut names: Vec<_> = self.names.iter().map(|(name, _)| name.clone()).collect();
        names.sort();
        for ((kind, column, name), line) in std::mem::take(&mut self.references) {
            let target = (kind, name);
            if names.binary_search(&target).is_err() {
                let cause = format!("the sheet declares no {} `{}`", kind.name(), target.1);
                self.fault(line, Some(column), cause);
            }
        }
    }

    fn check_unique<T, F>(&mut self, mut values: Vec<Placed<T>>, column: Column, describe: F)
    where
        T: Ord,
        F: Fn(&T) -> String,
    {
        values.sort();
        for pair in values.windows(2) {
            let ((value, first), (other, line)) = (&pair[0], &pair[1]);
            if value == other {
                let cause = format!("{} is already used in row {first}", describe(value));
                self.fault(*line, Some(column), cause);
            }
        }
    }

    /// A fabric domain lies in one zone; the first row that names the domain decides.
    fn check_domains(&mut self) {
        let mut domains = std::mem::take(&mut self.domains);
        domains.sort_by(|((a, _), a_line), ((b, _), b_line)| (a, a_line).cmp(&(b, b_line)));
        for chunk in domains.chunk_by(|((a, _), _), ((b, _), _)| a == b) {
            let ((domain, zone), first) = &chunk[0];
            for ((_, other), line) in &chunk[1..] {
                if other != zone {
                    let cause =
                        format!("domain {domain} lies in zone {zone} according to row {first}");
                    self.fault(*line, Some(Column::Zone), cause);
                }
            }
        }
    }
}
