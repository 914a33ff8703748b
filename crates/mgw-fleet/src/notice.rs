//! What server processes state about themselves in their responses.
//!
//! The server list tells of a server what it last wrote to the store, as far as this entry has read
//! it. A response comes from the process itself, so what it states holds whatever the list says.

use smol_str::SmolStr;

/// One run of a server. A server that restarts under the same id is another process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Process {
    /// Id in the server list.
    pub id: SmolStr,
    /// Start time; see [`crate::roster::Record::started_ms`].
    pub started_ms: u64,
}

/// What one process has stated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether it is leaving: it finishes its requests and takes no new ones. A process does not
    /// take that back.
    pub is_leaving: bool,
}
