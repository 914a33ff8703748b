//! Error responses to callers: codes, HTTP statuses and the JSON body.

use std::time::Duration;

use actix_http::Response;
use actix_http::body::BoxBody;
use mgw_entry::call;
use serde::Serialize;
use serde_json::json;

use crate::http;

/// An error code, whose name and HTTP status are stable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// The request is malformed, or the model engine rejected it.
    BadRequest,
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// The path, service, model or adapter does not exist.
    UnknownModel,
    /// The body exceeds the configured limit.
    TooLarge,
    /// The request crashed servers before and is not run again.
    RequestQuarantined,
    /// The team exceeds its capacity.
    TeamOverCapacity,
    /// The entry sheds requests of this priority under overload.
    Overloaded,
    /// No complete group of the model or no server of the service is available.
    NoCompleteGroup,
    /// The entry does not serve yet or no longer serves.
    Draining,
    /// The deadline has passed or cannot be met.
    DeadlineExceeded,
    /// A streamed answer ended before it was complete.
    StreamBroken,
    /// The backend server failed and no other attempt is possible.
    UpstreamFailed,
    /// The booking was not run.
    BookingNotRun,
    /// It is unknown whether the booking was run.
    BookingUnknown,
    /// The idempotency key was already used with other content.
    KeyConflict,
}

impl Code {
    /// All codes, ordered by HTTP status.
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

    /// Name of the code in JSON and in the metric of refused requests.
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

    /// HTTP status of a response with this code.
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

/// An error that is sent to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// Determines the HTTP status and the `code` field.
    pub code: Code,
    /// Description for the caller.
    pub message: String,
    /// Time after which another attempt may succeed; `None` if none would or the time is unknown.
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

    /// The JSON body: an object `error` with `code`, `message` and `retry_after_ms`.
    pub fn json(&self) -> impl Serialize + use<> {
        json!({ "error": {
            "code": self.code.name(),
            "message": self.message,
            "retry_after_ms": self.retry_after.map(|delay| delay.as_millis() as u64),
        }})
    }

    /// The HTTP response. `retry-after` is in whole seconds, rounded up and at least 1.
    pub fn response(&self) -> Response<BoxBody> {
        let mut response = http::json_response(self.code.status(), &self.json());
        if let Some(delay) = self.retry_after {
            let seconds = delay.as_millis().div_ceil(1_000).max(1).to_string();
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
            call::Error::Phase => {
                (Code::Draining, "the entry does not serve now".to_owned(), Some(Duration::ZERO))
            }
            call::Error::Team => {
                (Code::Unauthorized, "the team is not configured".to_owned(), None)
            }
            call::Error::Unknown => {
                let message = "the configuration declares no such model, adapter or service";
                (Code::UnknownModel, message.to_owned(), None)
            }
            call::Error::Closed { retry_after } => {
                let message = "no complete group or no server is available";
                (Code::NoCompleteGroup, message.to_owned(), Some(retry_after))
            }
            call::Error::Quarantined { retry_after } => {
                let message = "the request crashed servers and is not run again";
                (Code::RequestQuarantined, message.to_owned(), Some(retry_after))
            }
            call::Error::Capacity { retry_after } => {
                let message = "the team is over its capacity";
                (Code::TeamOverCapacity, message.to_owned(), Some(retry_after))
            }
            call::Error::Overloaded { retry_after } => {
                let message = "requests of this priority are refused under overload";
                (Code::Overloaded, message.to_owned(), Some(retry_after))
            }
            call::Error::Deadline => {
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
