//! What the process knows and has in flight.

use std::rc::Rc;
use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_event::Kind as EventKind;
use mgw_event::event::Body;
use mgw_fleet::ceiling;
use mgw_fleet::config::Config;
use mgw_fleet::entry::{self, Phase};
use mgw_fleet::evacuation;
use mgw_fleet::feed::Document;
use mgw_fleet::freshness::{Proof, Shown};
use mgw_fleet::group::{self, Group};
use mgw_fleet::members;
use mgw_fleet::peer_load;
use mgw_fleet::plan::{Demand, Planner};
use mgw_fleet::roster::Roster;
use mgw_fleet::source::Link;
use mgw_fleet::work::{report, service_time};
use mgw_route::{poison, quarantine, retry};
use platform::settings::Settings;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smol_str::SmolStr;

use crate::admission;
use crate::blame::Blame;
use crate::crash::Disconnect;
use crate::feed::reader::{EncodedList, Follower};
use crate::in_flight;
use crate::journal::Journal;
use crate::metrics::Metrics;
use crate::pool::Pool;
use crate::store;

/// Fraction of the deployment's retry budget that the entries use. The rest is a reserve, because
/// entries learn of each other with a delay.
const RETRY_BUDGET_FRACTION: f64 = 0.8;

/// The mutable state of the process.
#[derive(Debug)]
pub struct State {
    /// The configuration in force: the newest valid version that was read.
    pub config: Option<Rc<Config>>,
    /// The published bytes of `config`, sent to followers.
    pub config_document: Option<Rc<Document>>,
    /// The configuration that the store showed to this entry's newest read of it.
    pub shown_config: Shown,
    /// Proof of when the configuration was last known to be current.
    pub config_proof: Proof,
    /// The zones that the operator has evacuated.
    pub evacuations: evacuation::Table,
    /// The newest era of the store that its responses have stated; `None` before the first one.
    pub store_era: Option<u64>,
    /// The servers in the platform's list, and their load.
    pub roster: Roster,
    /// Whether the list of servers has been received at least once.
    pub has_server_list: bool,
    /// State of the link to the reader that this entry follows; `None` if it follows none.
    pub reader_link: Option<Link>,
    /// The entries that follow this one, by name.
    pub followers: Map<SmolStr, Follower>,
    /// The list of all servers as sent to followers.
    pub encoded_list: EncodedList,
    /// The serving entries and the planner as sent to followers.
    pub members: members::Log,
    /// The model groups, computed for `groups_version`.
    groups: Rc<Vec<Group>>,
    /// Revision of the roster and version of the configuration that `groups` were computed from.
    groups_version: Option<(u64, u64)>,
    /// The allocation of the servers' ceilings to the entries.
    pub allocation: ceiling::Allocation,
    /// Requests that the other entries have in flight at each target.
    pub peer_loads: peer_load::Table,
    /// The learned times of requests by plain service.
    pub service_times: Map<SmolStr, service_time::Table>,
    /// What the other entries are about to be told of the groups' work.
    pub work_news: report::Report,
    /// The planner's term and its count of opened and closed groups, as it last announced them.
    pub planner_group_changes: Option<(u64, u64)>,
    /// Hashes of the stalled targets, announced to the other entries.
    pub stalled_targets: Vec<u64>,
    /// The known entries and the holder of the planner's role.
    pub entries: entry::Table,
    /// The planner of the newest term in which this entry held the role; kept after the role is
    /// lost.
    pub planner: Option<Planner>,
    /// Whether this entry holds the planner's role.
    pub is_planner: bool,
    /// Whether this entry's latest read of the store is too old to tell who holds the planner's
    /// role. A planner in this state goes on planning under its term.
    pub has_stale_view: bool,
    /// The newest term in which this entry gave up the planner's role.
    pub resigned_term: Option<u64>,
    /// The requests in flight through this entry.
    pub requests: in_flight::Table,
    /// Idle connections to servers.
    pub pool: Pool,
    /// Admission under overload.
    pub admission: admission::Table,
    /// Retry budgets by service.
    pub retry_budgets: retry::Table,
    /// Requests suspected of crashing servers, and quarantined ones.
    pub quarantine: quarantine::Table,
    /// Parts of prompts that may crash servers, and quarantined ones.
    pub poison: poison::Table,
    /// Requests that lost their connections, until the check whether their server crashed is done.
    pub disconnects: Vec<Disconnect>,
    /// This entry's newest blames, carried by its heartbeats.
    pub blames: Vec<Blame>,
    /// Estimated instance seconds of the admitted requests by service and model, with exponential
    /// decay.
    pub requested_work: Demand,
    /// Requests of all entries at each model's groups, times the instances of a group;
    /// exponentially smoothed.
    pub observed_work: Demand,
    /// Whether this entry is starting, serving or draining.
    pub phase: Phase,
    /// The event log.
    pub journal: Journal,
    /// Counters and latency histograms.
    pub metrics: Metrics,
    /// Random number generator, seeded with the incarnation.
    pub rng: SmallRng,
}

/// The retry budgets of a process with these settings.
pub(super) fn retry_options(settings: &Settings) -> retry::Options {
    retry::Options {
        ratio: settings.bounds.retry_ratio * RETRY_BUDGET_FRACTION,
        min_retries: 1,
        window: settings.bounds.retry_window,
        max_attempts: u32::MAX,
    }
}

impl State {
    /// The state of a process that has received nothing from the store yet.
    pub(super) fn new(settings: &Settings, incarnation: u64, journal: Journal) -> Self {
        let retry_budgets = retry::Table::new(retry_options(settings));
        let quarantine = quarantine::Table::new(quarantine::Options::default(), incarnation);
        Self {
            config: None,
            config_document: None,
            shown_config: Shown::default(),
            config_proof: Proof::default(),
            evacuations: evacuation::Table::default(),
            store_era: None,
            roster: Roster::default(),
            has_server_list: false,
            reader_link: None,
            followers: Map::default(),
            encoded_list: EncodedList::default(),
            members: members::Log::default(),
            groups: Rc::default(),
            groups_version: None,
            allocation: ceiling::Allocation::default(),
            peer_loads: peer_load::Table::default(),
            service_times: Map::default(),
            work_news: report::Report::default(),
            planner_group_changes: None,
            stalled_targets: Vec::new(),
            entries: entry::Table::default(),
            planner: None,
            is_planner: false,
            has_stale_view: false,
            resigned_term: None,
            requests: in_flight::Table::default(),
            pool: Pool::default(),
            admission: admission::Table::default(),
            retry_budgets,
            quarantine,
            poison: poison::Table::new(poison::Options::default()),
            disconnects: Vec::new(),
            blames: Vec::new(),
            requested_work: Map::default(),
            observed_work: Map::default(),
            phase: Phase::Starting,
            journal,
            metrics: Metrics::default(),
            rng: SmallRng::seed_from_u64(incarnation),
        }
    }

    /// The model groups as the known server records show them. Recomputed only if the roster or the
    /// configuration has changed.
    pub fn groups(&mut self) -> Rc<Vec<Group>> {
        let Some(config) = &self.config else { return Rc::default() };
        let version = Some((self.roster.revision(), config.version));
        if self.groups_version != version {
            self.groups = Rc::new(group::list(&self.roster, config));
            self.groups_version = version;
        }
        Rc::clone(&self.groups)
    }

    /// Records the era that a response of the store states, and an event if the store has come back
    /// from an older copy.
    ///
    /// # Errors
    ///
    /// A response of a later era is known, so this one tells nothing.
    pub fn record_era(&mut self, era: u64) -> Result<(), store::Error> {
        match self.store_era {
            Some(known) if era < known => return Err(store::Error::Outdated { era, known }),
            Some(known) if era > known => {
                let event = Body::new(EventKind::StoreEra);
                self.journal.record(event.text(format!("era {era} after era {known}")));
            }
            Some(_) | None => {}
        }
        self.store_era = Some(era);
        Ok(())
    }

    /// Version of the configuration in force.
    pub fn config_version(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.version)
    }

    /// The part that this entry, called `name` with `incarnation`, has in the election of the
    /// planner.
    pub fn role(&mut self, name: &str, incarnation: u64, now: Instant) -> entry::Role {
        let leader = self.entries.leader_incarnation();
        let is_lost = leader.is_some_and(|leader| self.peer_loads.is_planner_lost(leader, now));
        self.entries.role(name, incarnation, is_lost, now)
    }

    /// The newest term in which this entry held the planner's role.
    pub fn planner_term(&self) -> Option<u64> {
        self.planner.as_ref().map(Planner::term)
    }

    /// The planner, while this entry holds the role.
    pub fn active_planner(&mut self) -> Option<&mut Planner> {
        self.planner.as_mut().filter(|_| self.is_planner)
    }

    /// Whether this entry follows a reader whose data is current, so that it need not read the
    /// store itself. False for the planner.
    pub fn is_following(&self, now: Instant) -> bool {
        !self.is_planner && self.reader_link.is_some_and(|link| link.is_fresh(now))
    }

    /// Whether the reader that this entry follows responds, even if its data is outdated. False for
    /// the planner.
    pub fn has_live_reader(&self, now: Instant) -> bool {
        !self.is_planner && self.reader_link.is_some_and(|link| link.is_alive(now))
    }

    /// Gives up the planner's role if this entry cannot read the store but follows a reader that
    /// can. Returns whether it did.
    pub fn resign(&mut self, now: Instant) -> bool {
        let is_due = self.is_planner
            && self.has_stale_view
            && self.reader_link.is_some_and(|link| link.is_fresh(now));
        if is_due {
            self.is_planner = false;
            self.resigned_term = self.planner_term();
            let text = format!(
                "resigned from term {}: only another entry can read the store",
                self.planner_term().unwrap_or_default()
            );
            self.journal.record(Body::new(EventKind::LeadLost).text(text));
        }
        is_due
    }

    /// Whether the configuration is recent enough to accept requests with keys: a key revoked
    /// longer than `bound` ago would be known. Always true if no bound is required.
    pub fn trusts_keys(&self, bound: Option<Duration>, now: Instant) -> bool {
        bound.is_none_or(|bound| self.config_proof.trusts_keys(bound, now))
    }

    /// Sets this entry's equal part of `extra`, the retries that the deployment allows whatever the
    /// number of requests.
    pub fn update_retry_floor(&mut self, extra: u32) {
        let entries = self.entries.serving().count().max(1) as f64;
        self.retry_budgets
            .set_min_retries((f64::from(extra) * RETRY_BUDGET_FRACTION / entries) as u32);
    }
}
