//! Idempotency keys, claims and the ledger of non-repeatable calls.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod claim;
pub mod coordinator;
pub mod key;
pub mod ledger;
pub mod outcome;
pub mod relay;
