//! Decides what follows from each read of the settings file.
//!
//! A writer may truncate the file before it writes, so that a read in between finds it empty or
//! incomplete. Content that is not valid is therefore reported only if it stays the same for a
//! moment. Valid content is complete, as the end of a JSON object is its last byte, and is applied at
//! once.

use std::time::Duration;

use mgw_base::time::Instant;
use platform::settings::Settings;

use super::Error;

/// Interval at which the file is read without a signal.
pub const CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which invalid content must stay the same before it is reported.
pub const SETTLE_TIME: Duration = Duration::from_millis(200);

/// What to do after a read.
#[derive(Debug)]
pub enum Step {
    /// Read the file again after this time, or after a signal.
    Wait(Duration),
    /// Apply settings that are new and valid.
    Apply(Box<Settings>),
    /// Report an error. The settings in use stay in force.
    Report(Error),
}

/// The newest content of the settings file.
#[derive(Debug, Default)]
pub struct Watch {
    /// The text, or the message of the error that prevented reading it; `None` before the first
    /// read.
    content: Option<Result<String, String>>,
    /// Why `content` is not valid and when it was first read, until it is reported.
    unsettled: Option<(Error, Instant)>,
    /// Message of the newest report, until valid content is read.
    reported: Option<String>,
}

impl Watch {
    /// Takes the result of a read. After a step other than [`Step::Wait`], the file is next read
    /// after [`CHECK_INTERVAL`] or a signal.
    pub fn observe(&mut self, read: Result<String, Error>, now: Instant) -> Step {
        let content = read.as_ref().map(String::clone).map_err(Error::to_string);
        if self.content.as_ref() != Some(&content) {
            self.content = Some(content);
            match read.and_then(|text| Settings::parse(&text).map_err(Error::Invalid)) {
                Ok(settings) => {
                    (self.unsettled, self.reported) = (None, None);
                    return Step::Apply(Box::new(settings));
                }
                Err(error) => self.unsettled = Some((error, now)),
            }
        }
        let Some((error, since)) = self.unsettled.take() else { return Step::Wait(CHECK_INTERVAL) };
        let age = now.since(since);
        if age < SETTLE_TIME {
            self.unsettled = Some((error, since));
            return Step::Wait(SETTLE_TIME - age);
        }
        let message = error.to_string();
        if self.reported.as_ref() == Some(&message) {
            return Step::Wait(CHECK_INTERVAL);
        }
        self.reported = Some(message);
        Step::Report(error)
    }
}
