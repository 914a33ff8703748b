//! Request routing: target selection, admission control, retry budgets, outlier ejection and the
//! quarantine of requests that crash servers.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

pub mod eject;
pub mod limit;
pub mod poison;
pub mod prefix;
pub mod quarantine;
pub mod retry;
pub mod select;
pub mod stream;
pub mod trial;
