//! Whose response it is: what the head of a response must state for it to be passed on to a caller.
//!
//! Servers echo the id of the attempt in all responses, and seal those to requests that they have
//! run. Nothing else shows that a response belongs to a request, in particular not that its
//! connection is new.

use mgw_http::head::Response;
use platform::header::ResponseMetadata;
use smol_str::{SmolStr, format_smolstr};

/// Lowest status of a final response; those below it are interim ones.
pub const LOWEST_FINAL: u16 = 200;

/// Lowest status of a response that can state that the request was not run.
const LOWEST_ERROR: u16 = 400;

/// The request that a response is expected for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options<'a> {
    /// Id of the attempt; empty if the caller states none. Such a request has a connection of its
    /// own, and servers have no id to echo.
    pub attempt_id: &'a str,
    /// Whether the request may be sent again although it may have run.
    pub is_repeatable: bool,
    /// Whether the connection has carried another exchange, whose response may arrive once more.
    pub is_reused: bool,
}

/// The head of a response of the server that ran the request. [`verify`] alone makes it, and
/// nothing else of a server is sent to a caller.
#[derive(Clone, Debug)]
pub struct Verified(Response);

impl Verified {
    /// The head.
    pub fn head(&self) -> &Response {
        &self.0
    }
}

/// What a response is.
#[derive(Debug)]
pub enum Outcome {
    /// The response of the server that ran the request.
    Answer(Verified),
    /// The server states that it has not run the request and never will.
    Refusal(Response),
    /// It belongs to another request, or does not say to which. The one to this request may follow.
    Foreign {
        /// The response.
        response: Response,
        /// Why, for the event log.
        reason: SmolStr,
    },
}

/// Why there is no response to the request. The server may have run it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A refusal that does not say which request it is for.
    UnidentifiedRefusal {
        /// Its status.
        status: u16,
    },
    /// The bytes are not a response of a server: they lack the id of the attempt although no other
    /// response can arrive, or the seal, or contradict themselves.
    NotOfServer {
        /// What is wrong, for the event log.
        reason: SmolStr,
    },
}

/// Decides what a `response` with this `metadata` is to the request that `options` describes.
///
/// # Errors
///
/// The server is at fault, and the exchange cannot go on; see [`Error`].
pub fn verify(
    response: Response,
    metadata: &ResponseMetadata,
    options: &Options<'_>,
) -> Result<Outcome, Error> {
    let status = response.status;
    let not_of_server = |what: &str| {
        let reason = format_smolstr!("{what}, status {status}");
        Err(Error::NotOfServer { reason })
    };
    match &metadata.attempt_id {
        _ if status < LOWEST_FINAL => not_of_server("an interim response instead of a final one"),
        Some(id) if id != options.attempt_id => {
            let reason = format_smolstr!("response to attempt {id}, status {status}");
            Ok(Outcome::Foreign { response, reason })
        }
        None if options.is_reused && metadata.is_not_executed && options.is_repeatable => {
            Err(Error::UnidentifiedRefusal { status })
        }
        None if options.is_reused => {
            let reason = format_smolstr!("response without an attempt id, status {status}");
            Ok(Outcome::Foreign { response, reason })
        }
        None if !options.attempt_id.is_empty() => not_of_server("response without an attempt id"),
        Some(_) | None => match metadata.is_not_executed {
            true if status >= LOWEST_ERROR => Ok(Outcome::Refusal(response)),
            true => not_of_server("a refusal that is no error"),
            false if !metadata.is_sealed => not_of_server("response without a seal"),
            false if metadata.is_encoded => not_of_server("response with an encoded body"),
            false => Ok(Outcome::Answer(Verified(response))),
        },
    }
}
