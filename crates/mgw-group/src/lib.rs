//! Group formation, member replacement, order custody and member presence.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod order;
pub mod planner;
pub mod readiness;
pub mod view;

mod layout;
