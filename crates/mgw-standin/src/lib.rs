//! Stand-ins for the platform's services, used by demos, tests and measurements.
//!
//! Each stand-in has a module with `Options` and a `start` function that serves it from a thread
//! of the calling process. The program `marigoldwall-standin` serves one of them per process.
//!
//! `POST /fault` with `{"fault":NAME, ...}` switches a fault on. `"off":true` switches it off,
//! `"count":N` limits it to N uses and `"for_ms":T` to a time; the fault `none` switches all faults
//! off. `GET /fault` lists the faults that are on. Every stand-in has `silent` (accept, but never
//! answer), `down` (answer 503), `pause` (hold everything for `ms`) and `crash`; its module lists
//! the others.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod engine;
pub mod fault;
pub mod list;
pub mod log;
pub mod server;
pub mod service;
pub mod weights;
