//! Fault injection: faults that are enabled and disabled while a stand-in runs.
//!
//! A stand-in looks its faults up by name at the points of its request handling that they affect.

use std::fmt;
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use serde_json::{Map, Value, json};

/// Faults that every stand-in supports; the shared HTTP server implements them.
const COMMON_FAULTS: &[&str] = &["crash", "down", "pause", "silent"];

/// Reason why [`Injector::set`] rejected a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The body is not a JSON object with a string field `fault`.
    Malformed,
    /// The stand-in does not support the fault of this name.
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

/// An enabled fault with its arguments and limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Fault {
    name: String,
    arguments: Map<String, Value>,
    /// Number of further uses after which the fault is disabled; `None` for no limit.
    remaining_uses: Option<u64>,
    enabled_at: Instant,
    expires_at: Option<Instant>,
}

impl Fault {
    /// Returns the numeric argument `name`, if it is present.
    pub fn number(&self, name: &str) -> Option<f64> {
        self.arguments.get(name).and_then(Value::as_f64)
    }

    /// Returns the numeric argument `name`, given in milliseconds, as a duration; negative values
    /// count as zero.
    pub fn millis(&self, name: &str) -> Option<Duration> {
        self.number(name).map(|millis| Duration::from_secs_f64(millis.max(0.0) / 1_000.0))
    }

    /// Returns the string argument `name`, if it is present.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.arguments.get(name).and_then(Value::as_str)
    }

    /// Time at which the fault was enabled.
    pub fn enabled_at(&self) -> Instant {
        self.enabled_at
    }
}

/// Holds the enabled faults of one stand-in.
#[derive(Debug)]
pub struct Injector {
    names: &'static [&'static str],
    faults: Mutex<Vec<Fault>>,
}

impl Injector {
    /// Creates an injector that accepts the faults in `names` and those that every stand-in
    /// supports. No fault is enabled.
    pub fn new(names: &'static [&'static str]) -> Self {
        Self { names, faults: Mutex::new(Vec::new()) }
    }

    /// Enables or disables a fault according to `body`, the body of `POST /fault`.
    ///
    /// `"off": true` disables the fault, `count` limits the number of its uses, and `for_ms` limits
    /// the time for which it stays enabled. The name `none` disables all faults. All other fields
    /// are arguments of the fault. Enabling a fault again replaces its arguments and limits.
    ///
    /// # Errors
    ///
    /// Fails if the body is malformed or names an unknown fault; no fault changes in that case.
    pub fn set(&self, body: &Value) -> Result<(), Error> {
        let mut arguments = body.as_object().ok_or(Error::Malformed)?.clone();
        let name = match arguments.remove("fault") {
            Some(Value::String(name)) => name,
            _ => return Err(Error::Malformed),
        };
        let known = self.names.contains(&name.as_str()) || COMMON_FAULTS.contains(&name.as_str());
        let off = arguments.remove("off").and_then(|off| off.as_bool()).unwrap_or(false);
        let mut faults = self.active_faults();
        match name.as_str() {
            "none" => faults.clear(),
            _ if !known => return Err(Error::Unknown(name)),
            _ => {
                faults.retain(|fault| fault.name != name);
                if !off {
                    let enabled_at = Instant::now();
                    let remaining_uses = arguments.remove("count").and_then(|count| count.as_u64());
                    let expires_at = arguments
                        .remove("for_ms")
                        .and_then(|millis| millis.as_u64())
                        .and_then(|millis| enabled_at.checked_add(Duration::from_millis(millis)));
                    faults.push(Fault { name, arguments, remaining_uses, enabled_at, expires_at });
                }
            }
        }
        Ok(())
    }

    /// Returns the fault `name` if it is enabled. Does not count as a use.
    pub fn get(&self, name: &str) -> Option<Fault> {
        self.active_faults().iter().find(|fault| fault.name == name).cloned()
    }

    /// Returns the fault `name` if it is enabled and `applies` returns true for it. Counts as a
    /// use, and disables the fault if this was the last one.
    pub fn take_if<F>(&self, name: &str, applies: F) -> Option<Fault>
    where
        F: Fn(&Fault) -> bool,
    {
        let mut faults = self.active_faults();
        let index = faults.iter().position(|fault| fault.name == name && applies(fault))?;
        let fault = faults[index].clone();
        match faults[index].remaining_uses.as_mut() {
            Some(remaining_uses) if *remaining_uses <= 1 => {
                faults.remove(index);
            }
            Some(remaining_uses) => *remaining_uses -= 1,
            None => {}
        }
        Some(fault)
    }

    /// Returns the fault `name` if it is enabled. Counts as a use.
    pub fn take(&self, name: &str) -> Option<Fault> {
        self.take_if(name, |_| true)
    }

    /// Returns the enabled faults in the form of the response to `GET /fault`.
    pub fn list(&self) -> Value {
        let faults: Vec<Value> = self
            .active_faults()
            .iter()
            .map(|fault| {
                let mut entry = fault.arguments.clone();
                entry.insert("fault".into(), json!(fault.name));
                if let Some(remaining_uses) = fault.remaining_uses {
                    entry.insert("count".into(), json!(remaining_uses));
                }
                Value::Object(entry)
            })
            .collect();
        json!({ "faults": faults })
    }

    /// Locks the fault list and removes the faults whose time limit has passed.
    fn active_faults(&self) -> MutexGuard<'_, Vec<Fault>> {
        let mut faults = crate::server::lock(&self.faults);
        let now = Instant::now();
        faults.retain(|fault| fault.expires_at.is_none_or(|expires_at| now < expires_at));
        faults
    }
}
