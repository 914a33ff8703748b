//! The errors that callers see.

use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use mgw_entry::call;
use serde::Serialize;
use serde_json::json;

use crate::http;

/// A stable error code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The request is malformed.
    BadRequest,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// No such path, service, model or adapter.
    UnknownModel,
    /// The body exceeds the limit.
    TooLarge,
    /// The request crashed servers.
    RequestQuarantined,
    /// The team is over its capacity.
    TeamOverCapacity,
    /// The entry sheds requests of this priority.
    Overloaded,
    /// No complete group of the model, or no server of the service.
    NoCompleteGroup,
    /// The entry does not serve yet, or no longer.
    Draining,
    /// The deadline has passed or cannot be met.
    DeadlineExceeded,
    /// A stream ended before the answer was whole.
    StreamBroken,
    /// The backend server failed and nothing else can answer.
    UpstreamFailed,
    /// The booking was not run.
    BookingNotRun,
    /// It cannot be told whether the booking ran.
    BookingUnknown,
    /// The idempotency key was used with other content.
    KeyConflict,
}

impl Code {
    /// All codes, in the order of their status.
    pub const ALL: [Code; 15] = [
        Code::BadRequest,
        Code::Unauthorized,
        Code::UnknownModel,
        Code::KeyConflict,
        Code::TooLarge,
        Code::RequestQuarantined,
        Code::TeamOverCapacity,
        Code::UpstreamFailed,
        Code::StreamBroken,
        Code::Overloaded,
        Code::NoCompleteGroup,
        Code::Draining,
        Code::BookingNotRun,
        Code::DeadlineExceeded,
        Code::BookingUnknown,
    ];

    /// The code's name.
    pub fn name(self) -> &'static str {
        match self {
            Code::BadRequest => "bad_request",
            Code::Unauthorized => "unauthorized",
            Code::UnknownModel => "unknown_model",
            Code::TooLarge => "too_large",
            Code::RequestQuarantined => "request_quarantined",
            Code::TeamOverCapacity => "team_over_capacity",
            Code::Overloaded => "overloaded",
            Code::NoCompleteGroup => "no_complete_group",
            Code::Draining => "draining",
            Code::DeadlineExceeded => "deadline_exceeded",
            Code::StreamBroken => "stream_broken",
            Code::UpstreamFailed => "upstream_failed",
            Code::BookingNotRun => "booking_not_run",
            Code::BookingUnknown => "booking_unknown",
            Code::KeyConflict => "key_conflict",
        }
    }

    /// The HTTP status.
    pub fn status(self) -> u16 {
        match self {
            Code::BadRequest => 400,
            Code::Unauthorized => 401,
            Code::UnknownModel => 404,
            Code::KeyConflict => 409,
            Code::TooLarge => 413,
            Code::RequestQuarantined => 422,
            Code::TeamOverCapacity => 429,
            Code::StreamBroken | Code::UpstreamFailed => 502,
            Code::Overloaded | Code::NoCompleteGroup | Code::Draining | Code::BookingNotRun => 503,
            Code::DeadlineExceeded | Code::BookingUnknown => 504,
        }
    }
}

/// An error for a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The code.
    pub code: Code,
    /// What went wrong.
    pub message: String,
    /// When another attempt may succeed; `None` if it would not.
    pub retry_after: Option<Duration>,
}

impl Error {
    /// An error without a retry hint.
    pub fn new<M>(code: Code, message: M) -> Self
    where
        M: Into<String>,
    {
        Self { code, message: message.into(), retry_after: None }
    }

    /// The JSON form.
    pub fn json(&self) -> impl Serialize + use<> {
        json!({ "error": {
            "code": self.code.name(),
            "message": self.message,
            "retry_after_ms": self.retry_after.map(|span| span.as_millis() as u64),
        }})
    }

    /// The HTTP answer.
    pub fn response(&self) -> Response<BoxBody> {
        let mut response = http::json_response(self.code.status(), &self.json());
        if let Some(span) = self.retry_after {
            let seconds = span.as_millis().div_ceil(1_000).max(1).to_string();
            http::set_header(&mut response, "retry-after", &seconds);
        }
        match self.code {
            Code::BookingNotRun => {
                http::set_header(&mut response, "x-booking-outcome", "not_run");
            }
            Code::BookingUnknown => {
                http::set_header(&mut response, "x-booking-outcome", "outcome_unknown");
            }
            _ => {}
        }
        response
    }
}

impl From<call::Error> for Error {
    fn from(error: call::Error) -> Self {
        let (code, message, retry_after) = match error {
            call::Error::NotServing => {
                (Code::Draining, "the entry does not serve now".to_owned(), Some(Duration::ZERO))
            }
            call::Error::UnknownTeam => {
                (Code::Unauthorized, "the team is not configured".to_owned(), None)
            }
            call::Error::UnknownDestination => {
                let message = "the configuration declares no such model, adapter or service";
                (Code::UnknownModel, message.to_owned(), None)
            }
            call::Error::NoTargetAvailable { retry_after } => {
                let message = "no complete group or no server is available";
                (Code::NoCompleteGroup, message.to_owned(), Some(retry_after))
            }
            call::Error::Quarantined { retry_after } => {
                let message = "the request crashed servers and is not run again";
                (Code::RequestQuarantined, message.to_owned(), Some(retry_after))
            }
            call::Error::TeamCapacity { retry_after } => {
                let message = "the team is over its capacity";
                (Code::TeamOverCapacity, message.to_owned(), Some(retry_after))
            }
            call::Error::Overloaded { retry_after } => {
                let message = "requests of this priority are refused under overload";
                (Code::Overloaded, message.to_owned(), Some(retry_after))
            }
            call::Error::DeadlineExceeded => {
                let message = "the deadline has passed or cannot be met";
                (Code::DeadlineExceeded, message.to_owned(), None)
            }
            call::Error::Upstream(cause) => {
                (Code::UpstreamFailed, cause.to_string(), Some(Duration::ZERO))
            }
        };
        Self { code, message, retry_after }
    }
}
