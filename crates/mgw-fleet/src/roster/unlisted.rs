//! Instances whose list entries were removed although their processes may go on.
//!
//! The store drops the entry of an instance that cannot reach it, and other servers may still reach
//! that instance. It gets no requests, but goes on as a member of its group: only the head of a
//! group takes requests, and the other members need no entry for that.

use std::time::Duration;

use mgw_base::time::Instant;

use crate::roster::changes::Mark;
use crate::roster::{Roster, Server};

/// Time for which an instance is known after its removal from the list. Longer than most partitions;
/// after that, it is a new one when it is listed again.
const RETENTION: Duration = Duration::from_secs(120);

/// Maximum number of instances that are kept.
const MAX_UNLISTED: usize = 1_024;

impl Roster {
    /// The listed servers, then the instances that are no longer listed, each in the order of their
    /// ids. Only the listed ones may get requests.
    pub fn instances(&self) -> impl Iterator<Item = &Server> {
        let listed = self.servers.iter().map(|(_, server)| server);
        listed.chain(self.unlisted.iter().map(|(_, server)| server))
    }

    /// The server with the given id, whether it is still listed or not.
    pub fn instance(&self, id: &str) -> Option<&Server> {
        self.servers.by_name(id).or_else(|| self.unlisted.get(&id.into()))
    }

    /// Mutable access to the server that [`Roster::instance`] returns.
    pub(super) fn instance_mut(&mut self, id: &str) -> Option<&mut Server> {
        match self.servers.find(id) {
            Some(key) => self.servers.get_mut(key),
            None => self.unlisted.get_mut(&id.into()),
        }
    }

    /// Keeps an instance that was removed from the list at `now`. Other servers have no part in
    /// groups and are forgotten.
    pub(super) fn keep_unlisted(&mut self, server: Server, now: Instant) {
        if server.record.engine.is_none() || self.unlisted.len() >= MAX_UNLISTED {
            return self.keep_statements(&server, now);
        }
        let unlisted = Server { missing_since: None, unlisted_since: Some(now), ..server };
        self.unlisted.insert(unlisted.id.clone(), unlisted);
    }

    /// Moves the instance `id` back to the listed servers, as its entry was read at `now`. If that
    /// is of another process, only what the former process stated is kept.
    pub(super) fn relist(&mut self, id: &str, started_ms: u64, now: Instant) {
        let Some(server) = self.unlisted.remove(&id.into()) else { return };
        if server.record.started_ms != started_ms {
            return self.keep_statements(&server, now);
        }
        self.revision += 1;
        let changed = Mark { revision: self.revision, position: self.end_offset };
        let listed = Server { unlisted_since: None, changed, ..server };
        self.servers.insert(listed.id.clone(), listed);
    }

    /// Forgets the instances that have not been listed for too long.
    pub(super) fn forget_unlisted(&mut self, now: Instant) {
        let is_due = |server: &Server| {
            server.unlisted_since.is_some_and(|since| now.since(since) >= RETENTION)
        };
        let due: Vec<Server> =
            self.unlisted.iter().map(|(_, it)| it).filter(|it| is_due(it)).cloned().collect();
        for server in due {
            self.unlisted.remove(&server.id);
            self.keep_statements(&server, now);
        }
    }
}
