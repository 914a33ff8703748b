//! Faults that are switched on and off while a stand-in runs.

use std::fmt;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Map, Value, json};

/// Faults that every stand-in has.
const COMMON: &[&str] = &["crash", "down", "pause", "silent"];

/// Why a fault was not switched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The body is not a JSON object with the string `fault`.
    Malformed,
    /// The stand-in has no such fault.
    Unknown(String),
}

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => write!(formatter, "expected an object with the string `fault`"),
            Self::Unknown(name) => write!(formatter, "unknown fault `{name}`"),
        }
    }
}

impl std::error::Error for Error {}

/// The arguments of a fault that is on.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    name: String,
    arguments: Map<String, Value>,
    /// Uses that are left; `None` for no limit.
    left: Option<u64>,
    enabled_at: Instant,
    until: Option<Instant>,
}

impl Fault {
    /// The numeric argument `name`.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.arguments.get(name).and_then(Value::as_f64)
    }

    /// The numeric argument `name` as a number of milliseconds.
    pub fn millis(&self, name: &str) -> Option<Duration> {
        self.number(name).map(|millis| Duration::from_secs_f64(millis.max(0.0) / 1_000.0))
    }

    /// The textual argument `name`.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.arguments.get(name).and_then(Value::as_str)
    }

    /// When the fault was switched on.
    pub fn enabled_at(&self) -> Instant {
        self.enabled_at
    }
}

/// The faults of one stand-in.
#[derive(Debug)]
pub struct Injector {
    names: &'static [&'static str],
    faults: Mutex<Vec<Fault>>,
}

impl Injector {
    /// A switch for the faults in `names` and those that every stand-in has.
    pub fn new(names: &'static [&'static str]) -> Self {
        Self { names, faults: Mutex::new(Vec::new()) }
    }

    /// Switches a fault as the body of `POST /fault` says.
    ///
    /// `off` switches the fault off, `count` limits its uses, `for_ms` its time; the fault `none`
    /// switches every fault off. All other fields are arguments of the fault.
    ///
    /// # Errors
    ///
    /// The body is malformed or names an unknown fault; nothing is switched.
    pub fn set(&self, body: &Value) -> Result<(), Error> {
        let mut arguments = body.as_object().ok_or(Error::Malformed)?.clone();
        let name = match arguments.remove("fault") {
            Some(Value::String(name)) => name,
            _ => return Err(Error::Malformed),
        };
        let known = self.names.contains(&name.as_str()) || COMMON.contains(&name.as_str());
        let off = arguments.remove("off").and_then(|off| off.as_bool()).unwrap_or(false);
        let mut faults = self.faults();
        match name.as_str() {
            "none" => faults.clear(),
            _ if !known => return Err(Error::Unknown(name)),
            _ => {
                faults.retain(|fault| fault.name != name);
                if !off {
                    let enabled_at = Instant::now();
                    let left = arguments.remove("count").and_then(|count| count.as_u64());
                    let until = arguments
                        .remove("for_ms")
                        .and_then(|millis| millis.as_u64())
                        .and_then(|millis| enabled_at.checked_add(Duration::from_millis(millis)));
                    faults.push(Fault { name, arguments, left, enabled_at, until });
                }
            }
        }
        Ok(())
    }

    /// The fault called `name` if it is on; this does not count as a use.
    pub fn get(&self, name: &str) -> Option<Fault> {
        self.faults().iter().find(|fault| fault.name == name).cloned()
    }

    /// The fault called `name` if it is on and `applies`; this counts as a use.
    pub fn take_if<F>(&self, name: &str, applies: F) -> Option<Fault>
    where
        F: Fn(&Fault) -> bool,
    {
        let mut faults = self.faults();
        let place = faults.iter().position(|fault| fault.name == name && applies(fault))?;
        let fault = faults[place].clone();
        match faults[place].left.as_mut() {
            Some(left) if *left <= 1 => {
                faults.remove(place);
            }
            Some(left) => *left -= 1,
            None => {}
        }
        Some(fault)
    }

    /// The fault called `name` if it is on; this counts as a use.
    pub fn take(&self, name: &str) -> Option<Fault> {
        self.take_if(name, |_| true)
    }

    /// The faults that are on, as in the answer to `GET /fault`.
    pub fn list(&self) -> Value {
        let faults: Vec<Value> = self
            .faults()
            .iter()
            .map(|fault| {
                let mut entry = fault.arguments.clone();
                entry.insert("fault".into(), json!(fault.name));
                if let Some(left) = fault.left {
                    entry.insert("count".into(), json!(left));
                }
                Value::Object(entry)
            })
            .collect();
        json!({ "faults": faults })
    }

    /// Locks the faults and drops those whose time is over.
    fn faults(&self) -> MutexGuard<'_, Vec<Fault>> {
        let mut faults = crate::server::lock(&self.faults);
        let now = Instant::now();
        faults.retain(|fault| fault.until.is_none_or(|until| now < until));
        faults
    }
}
