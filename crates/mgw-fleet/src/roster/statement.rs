//! What processes state of themselves in their responses, also while they are not listed.

use std::time::Duration;

use mgw_base::time::Instant;

use crate::notice::{Notice, Process};
use crate::rate::Bucket;
use crate::roster::{Roster, Server};

/// Time for which the statements of a process that is not listed are kept. Servers end some seconds
/// after their removal from the list.
const STATEMENTS_RETENTION: Duration = Duration::from_secs(600);

/// What a process has stated that is not listed.
#[derive(Clone, Debug, Default)]
pub(super) struct Statements {
    pub(super) notice: Notice,
    /// Its limit on the rate of requests.
    pub(super) rate: Bucket,
    /// When it was last listed or stated something.
    at: Instant,
}

impl Roster {
    /// Keeps what a removed server has stated in case that its process is listed again.
    pub(super) fn keep_statements(&mut self, server: &Server, now: Instant) {
        let Server { notice, load, .. } = server;
        if *notice != Notice::default() || load.rate.rate().is_some() {
            let statements = Statements { notice: *notice, rate: load.rate.clone(), at: now };
            self.unlisted_statements.insert(server.process(), statements);
        }
    }

    /// Records at `now` that `process` states that it is leaving. This holds until another process
    /// is listed under its id, even if it is removed from the list and listed again. Returns
    /// whether it is news.
    pub fn record_leaving(&mut self, process: &Process, now: Instant) -> bool {
        let notice = self.notice_mut(process, now);
        let is_news = !std::mem::replace(&mut notice.is_leaving, true);
        self.revision += u64::from(is_news);
        is_news
    }

    /// Records at `now` that `process` takes no requests from this entry for the time `pause`. See
    /// [`Roster::record_leaving`] on how long this holds. Returns whether there was no pause
    /// before.
    pub fn record_pause(&mut self, process: &Process, pause: Duration, now: Instant) -> bool {
        self.notice_mut(process, now).pause(pause, now)
    }

    /// The notice of a process that states something at `now`, whether it is listed or not.
    fn notice_mut(&mut self, process: &Process, now: Instant) -> &mut Notice {
        let known = match self.servers.find(&process.id) {
            Some(key) => self.servers.get_mut(key),
            None => self.unlisted.get_mut(&process.id),
        };
        match known.filter(|it| it.record.started_ms == process.started_ms) {
            Some(server) => &mut server.notice,
            None => {
                let unlisted = &mut self.unlisted_statements;
                let kept = unlisted.get_or_insert_with(process.clone(), Statements::default);
                kept.at = now;
                &mut kept.notice
            }
        }
    }

    /// Forgets the statements of processes that have not been listed for too long.
    pub(super) fn forget_statements(&mut self, now: Instant) {
        self.unlisted_statements.retain(|_, kept| now.since(kept.at) < STATEMENTS_RETENTION);
    }
}
