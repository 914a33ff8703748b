//! What this entry knows of groups, instances, team usage and server crashes, with the age of each
//! report.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_wire::frame::{Blame, Group, Instance, State, Usage};
use smol_str::SmolStr;

use crate::list::History;
use crate::view::View;

/// Retention times and limits of the store.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Age at which a group summary is dropped.
    ///
    /// The group is closed long before that. Full summaries are sent again in round-robin order,
    /// which takes up to half a minute at 420 entries; until then only their age and load are
    /// renewed.
    pub group_retention: Duration,
    /// Age at which an instance state is dropped.
    ///
    /// Unchanged states are sent again in round-robin order, which takes about a minute at 600
    /// instances.
    pub instance_retention: Duration,
    /// Time without a newer report after which a team's usage at an entry counts as unknown.
    pub usage_timeout: Duration,
    /// Time after which a server crash is forgotten.
    pub blame_retention: Duration,
    /// Time for which a server crash is relayed to peers.
    ///
    /// Must be shorter than `blame_retention`, so that all peers stop relaying a crash before any
    /// of them forgets it.
    pub blame_relay_window: Duration,
    /// Time for which two observers must have found an instance silent before it counts as lost.
    pub loss_timeout: Duration,
    /// Maximum number of rows per table; further ones are ignored.
    pub max_rows: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            group_retention: Duration::from_secs(60),
            instance_retention: Duration::from_secs(600),
            usage_timeout: Duration::from_secs(10),
            blame_retention: Duration::from_secs(600),
            blame_relay_window: Duration::from_secs(60),
            loss_timeout: Duration::from_secs(3),
            max_rows: 16_384,
        }
    }
}

/// A report and the time at which it arrived, from which its age is counted.
#[derive(Clone, Debug)]
struct Received<T> {
    value: T,
    /// When `value` arrived.
    received_at: Instant,
}

/// What this entry knows of a group under one fencing token.
#[derive(Clone, Debug, Default)]
struct Summaries {
    /// The newest summary by each observer; at most [`MAX_REPORTS_PER_UNIT`].
    rows: Vec<Received<Group>>,
    /// The youngest age received in `Item::GroupAges`.
    age_update: Option<AgeUpdate>,
}

/// The part of a group summary that `Item::GroupAges` carries.
#[derive(Clone, Copy, Debug)]
struct AgeUpdate {
    /// Age on arrival, in ms.
    age_ms: u32,
    /// Load as [`scaled_load`] encodes it.
    load: u8,
    /// When the age and the load arrived.
    received_at: Instant,
}

impl AgeUpdate {
    fn age_ms(self, now: Instant) -> u32 {
        current_age_ms(self.age_ms, self.received_at, now)
    }
}

/// Batch size that is assumed of a group until a full summary of it arrives.
const ASSUMED_SLOTS: u32 = 64;

/// Returns the requests running and waiting at a group in 64ths of its batch size, at most 255.
pub fn scaled_load(group: &Group) -> u8 {
    let total = (u64::from(group.queued) + u64::from(group.running)) * 64;
    u8::try_from(total.div_ceil(u64::from(group.slots.max(1)))).unwrap_or(u8::MAX)
}

/// Returns `group` with the requests that `load`, a result of [`scaled_load`], stands for: they
/// fill the batch before any of them counts as queued.
fn with_scaled_load(group: Group, load: u8) -> Group {
    let total = u32::try_from(u64::from(load) * u64::from(group.slots) / 64).unwrap_or(u32::MAX);
    let running = total.min(group.slots);
    Group { running, queued: total - running, ..group }
}

impl Summaries {
    /// Returns the newest summary with its present age; of equally old ones, the closed one.
    fn newest(&self, group: u64, fence: u64, now: Instant) -> Option<Group> {
        let newest = self.rows.iter().min_by_key(|row| row.sort_key(now));
        let age_ms = newest.map_or(u32::MAX, |row| row.age_ms(now));
        match (self.age_update.filter(|renewed| renewed.age_ms(now) < age_ms), newest) {
            (Some(renewed), _) => {
                let open = self.rows.iter().filter(|row| row.value.servable);
                let base = open.min_by_key(|row| row.sort_key(now)).map(|row| row.value);
                // Used if no open summary has arrived in full.
                let unknown = Group {
                    group,
                    fence,
                    observer: 0,
                    counter: 0,
                    servable: true,
                    queued: 0,
                    running: 0,
                    slots: ASSUMED_SLOTS,
                    age_ms: 0,
                };
                let group = with_scaled_load(base.unwrap_or(unknown), renewed.load);
                Some(Group { age_ms: renewed.age_ms(now), ..group })
            }
            (None, Some(newest)) => Some(Group { age_ms, ..newest.value }),
            (None, None) => None,
        }
    }
}

impl Received<Group> {
    fn age_ms(&self, now: Instant) -> u32 {
        current_age_ms(self.value.age_ms, self.received_at, now)
    }

    /// Orders the newest summary first, and of equally old ones the closed one.
    fn sort_key(&self, now: Instant) -> (u32, bool, u64) {
        (self.age_ms(now), self.value.servable, self.value.observer)
    }
}

impl Received<Instance> {
    /// Orders the newest state first, and of equally old ones the silent one.
    fn sort_key(&self, now: Instant) -> (u32, bool, u64) {
        (self.age_ms(now), self.value.state != State::Silent, self.value.observer)
    }

    fn age_ms(&self, now: Instant) -> u32 {
        current_age_ms(self.value.age_ms, self.received_at, now)
    }
}

/// Maximum number of observers whose reports of one unit are kept.
///
/// Two observers are assigned to a unit, and a few more report while the assignment changes.
const MAX_REPORTS_PER_UNIT: usize = 8;

/// Result of merging a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A group that was servable is no longer so.
    Closed,
    /// The report is new, or differs from the last one in more than load and age.
    Updated,
    /// The report is newer than the last one, with the same content except for load and age.
    Refreshed,
    /// Nothing changed: the report is not newer than what is known, too old, or the table is full.
    Ignored,
}

/// Tables of the newest reports on groups, instances, team usage and crashes.
#[derive(Clone, Debug, Default)]
pub struct Store {
    options: Options,
    /// By group and fencing token.
    groups: Map<(u64, u64), Summaries>,
    /// By instance name: the newest state by each observer.
    instances: Map<SmolStr, Vec<Received<Instance>>>,
    /// By team and entry incarnation.
    usages: Map<(SmolStr, u64), Received<Usage>>,
    /// The time at which each crash became known.
    blames: Map<Blame, Instant>,
    /// The groups that the log lists, with their fencing tokens.
    listed: History,
}

impl Store {
    /// Creates a store with empty tables.
    pub fn new(options: Options) -> Self {
        Self { options, ..Self::default() }
    }

    /// Sets the list of groups, each with its fencing token, as the log has them.
    pub fn set_listed(&mut self, groups: &[(u64, u64)]) {
        self.listed.set_current(groups.to_vec());
    }

    /// Returns the list of groups from the log, with its earlier versions.
    pub fn listed(&self) -> &History {
        &self.listed
    }

    /// Merges a group summary.
    pub fn merge_group(&mut self, group: &Group, now: Instant) -> Change {
        let key = (group.group, group.fence);
        let fits = self.groups.len() < self.options.max_rows || self.groups.get(&key).is_some();
        if !fits || millis(group.age_ms) >= self.options.group_retention {
            return Change::Ignored;
        }
        // Compared with the result after the merge: a summary counts as updated only if it changes
        // whether the group is servable.
        let before = self.group(group.group, group.fence, now).map(|known| known.servable);
        let rows = &mut self.groups.get_or_insert_with(key, Summaries::default).rows;
        let report = Received { value: *group, received_at: now };
        match rows.iter_mut().find(|row| row.value.observer == group.observer) {
            Some(row) if row.value.counter >= group.counter => return Change::Ignored,
            Some(row) => *row = report,
            None => insert_report(rows, report, |row| row.age_ms(now)),
        }
        let after = self.group(group.group, group.fence, now).map(|known| known.servable);
        let unlisted = !self.listed.contains((group.group, group.fence));
        match (before, after) {
            (Some(true), Some(false)) => Change::Closed,
            _ if before != after || unlisted => Change::Updated,
            _ => Change::Refreshed,
        }
    }

    /// Merges the age and load of the newest summary that a peer has of a servable group; returns
    /// whether that summary is younger than the one known here.
    ///
    /// Groups that the log doesn't list are ignored. A group that is known to be closed stays
    /// closed until a full summary opens it: ages don't include the time on the network, so an
    /// older summary may look younger than it is.
    pub fn merge_group_age(
        &mut self,
        (group, fence): (u64, u64),
        age_ms: u32,
        load: Option<u8>,
        now: Instant,
    ) -> bool {
        if !self.listed.contains((group, fence)) {
            return false;
        }
        let known = self.groups.get_or_insert_with((group, fence), Summaries::default);
        let newest = known.newest(group, fence, now);
        let younger = newest.is_none_or(|newest| newest.servable && age_ms < newest.age_ms);
        if younger {
            let load = load.or(newest.as_ref().map(self::scaled_load)).unwrap_or_default();
            known.age_update = Some(AgeUpdate { age_ms, load, received_at: now });
        }
        younger
    }

    /// Returns the newest summary of a group under a fencing token, with its present age.
    ///
    /// If an open and a closed summary are equally old, the closed one is returned.
    pub fn group(&self, group: u64, fence: u64, now: Instant) -> Option<Group> {
        self.groups.get(&(group, fence))?.newest(group, fence, now)
    }

    /// Merges an observer's report of an instance's state.
    pub fn merge_instance(&mut self, instance: &Instance, now: Instant) -> Change {
        let key = SmolStr::new(&instance.instance);
        let fits =
            self.instances.len() < self.options.max_rows || self.instances.get(&key).is_some();
        if !fits || millis(instance.age_ms) >= self.options.instance_retention {
            return Change::Ignored;
        }
        let rows = self.instances.get_or_insert_with(key, Vec::new);
        let report = Received { value: instance.clone(), received_at: now };
        let content = |state: &Instance| (state.fence, state.group, state.state);
        match rows.iter_mut().find(|row| row.value.observer == instance.observer) {
            Some(row) if row.value.counter >= instance.counter => Change::Ignored,
            Some(row) => {
                let same =
                    content(&row.value) == content(instance) && row.value.boot == instance.boot;
                *row = report;
                if same { Change::Refreshed } else { Change::Updated }
            }
            None => {
                insert_report(rows, report, |row| row.age_ms(now));
                Change::Updated
            }
        }
    }

    /// Returns the newest state of an instance, with its present age; of equally old ones, the
    /// silent one.
    pub fn instance(&self, name: &str, now: Instant) -> Option<Instance> {
        let rows = self.instances.get(&SmolStr::new(name))?;
        let row = rows.iter().min_by_key(|row| row.sort_key(now))?;
        Some(Instance { age_ms: row.age_ms(now), ..row.value.clone() })
    }

    /// Returns whether two live observers have found an instance silent for
    /// [`Options::loss_timeout`], and no live observer has heard from it within that time.
    pub fn is_lost(&self, name: &str, view: &View, now: Instant) -> bool {
        let timeout = self.options.loss_timeout;
        let (mut agreeing, mut heard) = (0, false);
        let rows = self.instances.get(&SmolStr::new(name)).map_or(&[][..], Vec::as_slice);
        for row in rows.iter().filter(|row| view.is_live(row.value.observer, now)) {
            match millis(row.age_ms(now)) >= timeout {
                true if row.value.state == State::Silent => agreeing += 1,
                true => {}
                false => heard = true,
            }
        }
        agreeing >= 2 && !heard
    }

    /// Merges an entry's report of a team's usage.
    ///
    /// Never returns [`Change::Updated`], so usage is not queued as a change, and spreads in
    /// round-robin order only.
    pub fn merge_usage(&mut self, usage: &Usage, now: Instant) -> Change {
        let key = (SmolStr::new(&usage.team), usage.incarnation);
        let fits = self.usages.len() < self.options.max_rows;
        let report = || Received { value: usage.clone(), received_at: now };
        match self.usages.get_mut(&key) {
            Some(row) if row.value.counter >= usage.counter => Change::Ignored,
            Some(row) => {
                *row = report();
                Change::Refreshed
            }
            None if fits => {
                self.usages.insert(key, report());
                Change::Refreshed
            }
            None => Change::Ignored,
        }
    }

    /// Iterates over a team's usage at all entries whose reports have not timed out.
    pub fn usage_of<'store>(
        &'store self,
        team: &'store str,
        now: Instant,
    ) -> impl Iterator<Item = &'store Usage> {
        let timeout = self.options.usage_timeout;
        self.usages
            .iter()
            .filter(move |((name, _), row)| name == team && now.since(row.received_at) < timeout)
            .map(|(_, row)| &row.value)
    }

    /// Adds a server crash; returns [`Change::Updated`] the first time.
    pub fn merge_blame(&mut self, blame: Blame, now: Instant) -> Change {
        match self.blames.get(&blame) {
            Some(_) => Change::Ignored,
            None if self.blames.len() >= self.options.max_rows => Change::Ignored,
            None => {
                self.blames.insert(blame, now);
                Change::Updated
            }
        }
    }

    /// Returns the number of known crashes blamed on the request with a fingerprint.
    pub fn crash_count(&self, fingerprint: u128) -> usize {
        self.blames.iter().filter(|(blame, _)| blame.fingerprint == fingerprint).count()
    }

    /// Drops all rows that are older than their retention time.
    pub fn expire(&mut self, now: Instant) {
        let options = self.options;
        self.groups.retain(|_, known| {
            known.rows.retain(|row| millis(row.age_ms(now)) < options.group_retention);
            let renewed = known.age_update.map(|renewed| millis(renewed.age_ms(now)));
            !known.rows.is_empty() || renewed.is_some_and(|age| age < options.group_retention)
        });
        self.instances.retain(|_, rows| {
            rows.retain(|row| millis(row.age_ms(now)) < options.instance_retention);
            !rows.is_empty()
        });
        // Kept past the timeout, so that a late copy of a report that timed out is recognised as
        // old.
        self.usages.retain(|_, row| now.since(row.received_at) < options.usage_timeout * 6);
        self.blames.retain(|_, first| now.since(*first) < options.blame_retention);
    }

    /// Drops the states of all instances for whose name `keep` returns false.
    pub fn retain_instances<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.instances.retain(|name, _| keep(name));
    }

    /// Iterates over the keys of all group summaries in ascending order: group and fencing token.
    pub fn group_keys(&self) -> impl Iterator<Item = (u64, u64)> {
        self.groups.iter().map(|(key, _)| *key)
    }

    /// Returns the state of an instance as one observer reported it, with its present age.
    pub fn instance_from(&self, name: &SmolStr, observer: u64, now: Instant) -> Option<Instance> {
        let row = self.instances.get(name)?.iter().find(|row| row.value.observer == observer)?;
        Some(Instance { age_ms: row.age_ms(now), ..row.value.clone() })
    }

    /// Iterates over the states of an instance as all its observers reported them, each with its
    /// present age in ms.
    pub fn instance_reports(
        &self,
        name: &SmolStr,
        now: Instant,
    ) -> impl Iterator<Item = (u32, &Instance)> + use<'_> {
        let rows = self.instances.get(name).map_or(&[][..], Vec::as_slice);
        rows.iter().map(move |row| (row.age_ms(now), &row.value))
    }

    /// Returns a team's usage at one entry, if it may still be relayed.
    ///
    /// It is relayed for half of [`Options::usage_timeout`].
    pub fn relayable_usage(
        &self,
        team: &SmolStr,
        incarnation: u64,
        now: Instant,
    ) -> Option<&Usage> {
        let row = self.usages.get(&(team.clone(), incarnation))?;
        (now.since(row.received_at) < self.options.usage_timeout / 2).then_some(&row.value)
    }

    /// Returns whether a crash may still be relayed.
    pub fn is_blame_relayable(&self, blame: Blame, now: Instant) -> bool {
        self.blames
            .get(&blame)
            .is_some_and(|first| now.since(*first) < self.options.blame_relay_window)
    }

    /// Iterates over the keys of all instance states: name, in ascending order, and observer.
    pub fn instance_keys(&self) -> impl Iterator<Item = (&SmolStr, u64)> {
        self.instances
            .iter()
            .flat_map(|(name, rows)| rows.iter().map(move |row| (name, row.value.observer)))
    }

    /// Iterates over the keys of all usage reports in ascending order: team and entry incarnation.
    pub fn usage_keys(&self) -> impl Iterator<Item = (&SmolStr, u64)> {
        self.usages.iter().map(|((team, incarnation), _)| (team, *incarnation))
    }

    /// Iterates over all known crashes.
    pub fn blames(&self) -> impl Iterator<Item = Blame> {
        self.blames.iter().map(|(blame, _)| *blame)
    }
}

/// Returns the present age, in ms, of a report that arrived at `received_at` with an age of
/// `age_ms`.
fn current_age_ms(age_ms: u32, received_at: Instant, now: Instant) -> u32 {
    age_ms.saturating_add(crate::ceil_ms(now.since(received_at)))
}

/// Adds the report of a further observer; beyond [`MAX_REPORTS_PER_UNIT`], it replaces the oldest
/// report.
fn insert_report<T, F>(rows: &mut Vec<Received<T>>, row: Received<T>, age_ms: F)
where
    F: Fn(&Received<T>) -> u32,
{
    let oldest = (0..rows.len()).max_by_key(|&index| age_ms(&rows[index]));
    match oldest {
        Some(index) if rows.len() >= MAX_REPORTS_PER_UNIT => rows[index] = row,
        _ => rows.push(row),
    }
}

fn millis(age_ms: u32) -> Duration {
    Duration::from_millis(u64::from(age_ms))
}
