//! HTTP/1.1 heads and body framing without input or output.
//!
//! A gateway has to see bytes that a pooled client hides: what follows an answer, a body that ends
//! early, an answer to another request. The edges read and write the sockets; this crate decides
//! where a message begins and ends.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod body;
pub mod error;
pub mod head;
pub mod sse;
pub mod write;

pub use error::Error;
