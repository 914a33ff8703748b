//! At-most-once execution of bookings: idempotency keys, claims of keys in the log, and the ledger
//! of their outcomes.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod claim;
pub mod coordinator;
pub mod key;
pub mod ledger;
pub mod outcome;
pub mod relay;
