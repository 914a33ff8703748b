//! Stand-ins (fake implementations) for the platform's services, used by demos, tests and
//! benchmarks.
//!
//! Each stand-in has a module with `Options` and a `start` function, which runs its HTTP server on
//! a thread of the calling process. The program `marigoldwall-standin` runs one stand-in per
//! process.
//!
//! `POST /fault` with `{"fault":NAME, ...}` enables a fault. `"off":true` disables it, `"count":N`
//! limits it to N uses, and `"for_ms":T` limits it to T milliseconds; the fault `none` disables all
//! faults. `GET /fault` lists the enabled faults. Every stand-in supports `silent` (accepts
//! requests without responding), `down` (responds with 503), `pause` (holds all requests for `ms`)
//! and `crash`; the stand-in's module lists its further faults.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod engine;
pub mod fault;
pub mod list;
pub mod log;
pub mod server;
pub mod service;
pub mod weights;
