//! HTTP/1.1 heads, body framing and server-sent events, without I/O.
//!
//! The caller reads and writes the sockets; this crate finds where a message begins and ends. A
//! pooling HTTP client isn't used because it hides what a gateway has to see: bytes after a
//! response, a body that ends early, and a response to another request.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod body;
pub mod error;
pub mod head;
pub mod sse;
pub mod write;

pub use error::Error;
