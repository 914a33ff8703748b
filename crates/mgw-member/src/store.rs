//! What is known of groups, instances, team usage and crashes, each with its age.

use std::time::Duration;

use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use mgw_wire::frame::{Blame, Group, Instance, State, Usage};
use smol_str::SmolStr;

use crate::list::History;
use crate::view::View;

/// Time and size bounds of the store.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// A group summary is dropped at this age.
    ///
    /// The group is closed long before. Full summaries are refreshed in round-robin order, which
    /// takes up to half a minute at 420 entries; until then their age and load are renewed alone.
    pub group_retention: Duration,
    /// An instance state is dropped at this age.
    ///
    /// Unchanged states are refreshed in round-robin order, which takes about a minute at 600
    /// instances.
    pub instance_retention: Duration,
    /// A team's usage at an entry counts as unknown after this time without a newer one.
    pub usage_timeout: Duration,
    /// A crash is remembered for this time.
    pub blame_retention: Duration,
    /// A crash is relayed for this time.
    ///
    /// Shorter than `blame`, so that peers stop relaying a crash before anyone forgets it.
    pub blame_relay_window: Duration,
    /// How long two observers must have found an instance silent for it to be lost.
    pub loss_timeout: Duration,
    /// The most rows per table; further ones are ignored.
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

/// A value with the time at which it arrived; its age is counted from there.
#[derive(Clone, Debug)]
struct Received<T> {
    value: T,
    /// When the value arrived.
    received: Instant,
}

/// What is known of a group under one fencing token.
#[derive(Clone, Debug, Default)]
struct Summaries {
    /// The newest summary of each observer; at most `OBSERVERS`.
    rows: Vec<Received<Group>>,
    /// The youngest age that a peer knew of a servable summary.
    renewed: Option<Renewed>,
}

/// The part of a summary that `Ages` carries.
#[derive(Clone, Copy, Debug)]
struct Renewed {
    age_ms: u32,
    load: u8,
    /// When it arrived.
    received: Instant,
}

impl Renewed {
    fn age_ms(self, now: Instant) -> u32 {
        aged(self.age_ms, self.received, now)
    }
}

/// Batch size that is assumed until a group's summary arrives in full.
const SLOTS: u32 = 64;

/// The load of a group in 64ths of its batch size.
pub fn scaled_load(group: &Group) -> u8 {
    let total = (u64::from(group.queued) + u64::from(group.running)) * 64;
    u8::try_from(total.div_ceil(u64::from(group.slots.max(1)))).unwrap_or(u8::MAX)
}

/// `group` with the load that [`scaled_load`] gave: a full batch before anything waits.
fn with_load(group: Group, load: u8) -> Group {
    let total = u32::try_from(u64::from(load) * u64::from(group.slots) / 64).unwrap_or(u32::MAX);
    let running = total.min(group.slots);
    Group { running, queued: total - running, ..group }
}

impl Summaries {
    /// The newest summary with its present age; of equally old ones, the closed one.
    fn newest(&self, group: u64, fence: u64, now: Instant) -> Option<Group> {
        let newest = self.rows.iter().min_by_key(|row| row.order(now));
        let age_ms = newest.map_or(u32::MAX, |row| row.age_ms(now));
        match (self.renewed.filter(|renewed| renewed.age_ms(now) < age_ms), newest) {
            (Some(renewed), _) => {
                let open = self.rows.iter().filter(|row| row.value.servable);
                let base = open.min_by_key(|row| row.order(now)).map(|row| row.value);
                // No summary has arrived in full yet, so the batch size is assumed.
                let unknown = Group {
                    group,
                    fence,
                    observer: 0,
                    counter: 0,
                    servable: true,
                    queued: 0,
                    running: 0,
                    slots: SLOTS,
                    age_ms: 0,
                };
                let group = with_load(base.unwrap_or(unknown), renewed.load);
                Some(Group { age_ms: renewed.age_ms(now), ..group })
            }
            (None, Some(newest)) => Some(Group { age_ms, ..newest.value }),
            (None, None) => None,
        }
    }
}

impl Received<Group> {
    fn age_ms(&self, now: Instant) -> u32 {
        aged(self.value.age_ms, self.received, now)
    }

    /// Newest first; of equally old ones, closed first.
    fn order(&self, now: Instant) -> (u32, bool, u64) {
        (self.age_ms(now), self.value.servable, self.value.observer)
    }
}

impl Received<Instance> {
    /// Newest first; of equally old ones, silent first.
    fn order(&self, now: Instant) -> (u32, bool, u64) {
        (self.age_ms(now), self.value.state != State::Silent, self.value.observer)
    }

    fn age_ms(&self, now: Instant) -> u32 {
        aged(self.value.age_ms, self.received, now)
    }
}

/// The most observers whose reports of one unit are kept; two are assigned, and a few more report
/// while the assignment changes.
const OBSERVERS: usize = 8;

/// What an item changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A group that was servable isn't any more.
    Closed,
    /// New, or different in more than load and age.
    Updated,
    /// A newer report of the same.
    Refreshed,
    /// Nothing: older than what is known, too old, or beyond the limit.
    Ignored,
}

/// The tables.
#[derive(Clone, Debug, Default)]
pub struct Store {
    options: Options,
    /// By group and fencing token.
    groups: Map<(u64, u64), Summaries>,
    /// By name; the newest state by each observer.
    instances: Map<SmolStr, Vec<Received<Instance>>>,
    /// By team and entry incarnation.
    usages: Map<(SmolStr, u64), Received<Usage>>,
    blames: Map<Blame, Instant>,
    /// The groups that the log lists, with their fencing tokens.
    listed: History,
}

impl Store {
    /// Empty tables.
    pub fn new(options: Options) -> Self {
        Self { options, ..Self::default() }
    }

    /// Sets the groups and fencing tokens that the log lists.
    pub fn set_listed(&mut self, groups: &[(u64, u64)]) {
        self.listed.set_current(groups.to_vec());
    }

    /// The groups from the log, with earlier lists.
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
        // Compared before the new summary is stored: only a change of the outcome is news.
        let before = self.group(group.group, group.fence, now).map(|known| known.servable);
        let rows = &mut self.groups.entry(key, Summaries::default).rows;
        let report = Received { value: *group, received: now };
        match rows.iter_mut().find(|row| row.value.observer == group.observer) {
            Some(row) if row.value.counter >= group.counter => return Change::Ignored,
            Some(row) => *row = report,
            None => add_row(rows, report, |row| row.age_ms(now)),
        }
        let after = self.group(group.group, group.fence, now).map(|known| known.servable);
        let unlisted = !self.listed.contains((group.group, group.fence));
        match (before, after) {
            (Some(true), Some(false)) => Change::Closed,
            _ if before != after || unlisted => Change::Updated,
            _ => Change::Refreshed,
        }
    }

    /// Merges age and load of the newest summary that a peer knows of a servable group; tells
    /// whether it is younger than what is known here.
    ///
    /// It never opens a group that is known to be closed: ages don't count the time on the network,
    /// so an older summary may look younger than it is. A summary in full opens the group.
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
        let known = self.groups.entry((group, fence), Summaries::default);
        let newest = known.newest(group, fence, now);
        let younger = newest.is_none_or(|newest| newest.servable && age_ms < newest.age_ms);
        if younger {
            let load = load.or(newest.as_ref().map(self::scaled_load)).unwrap_or_default();
            known.renewed = Some(Renewed { age_ms, load, received: now });
        }
        younger
    }

    /// The newest summary of a group under a fencing token, with its present age.
    ///
    /// If an open and a closed summary are equally old, the closed one wins.
    pub fn group(&self, group: u64, fence: u64, now: Instant) -> Option<Group> {
        self.groups.get(&(group, fence))?.newest(group, fence, now)
    }

    /// Merges an instance's state.
    pub fn merge_instance(&mut self, instance: &Instance, now: Instant) -> Change {
        let key = SmolStr::new(&instance.instance);
        let fits =
            self.instances.len() < self.options.max_rows || self.instances.get(&key).is_some();
        if !fits || millis(instance.age_ms) >= self.options.instance_retention {
            return Change::Ignored;
        }
        let rows = self.instances.entry(key, Vec::new);
        let report = Received { value: instance.clone(), received: now };
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
                add_row(rows, report, |row| row.age_ms(now));
                Change::Updated
            }
        }
    }

    /// The newest state of an instance, with its present age; of equally old ones, silence wins.
    pub fn instance(&self, name: &str, now: Instant) -> Option<Instance> {
        let rows = self.instances.get(&SmolStr::new(name))?;
        let row = rows.iter().min_by_key(|row| row.order(now))?;
        Some(Instance { age_ms: row.age_ms(now), ..row.value.clone() })
    }

    /// Whether two live observers agree that an instance has been silent for the bound, and no
    /// live observer has heard it since.
    pub fn is_lost(&self, name: &str, view: &View, now: Instant) -> bool {
        let bound = self.options.loss_timeout;
        let (mut agreeing, mut heard) = (0, false);
        let rows = self.instances.get(&SmolStr::new(name)).map_or(&[][..], Vec::as_slice);
        for row in rows.iter().filter(|row| view.is_live(row.value.observer, now)) {
            match millis(row.age_ms(now)) >= bound {
                true if row.value.state == State::Silent => agreeing += 1,
                true => {}
                false => heard = true,
            }
        }
        agreeing >= 2 && !heard
    }

    /// Merges a team's usage at an entry.
    pub fn merge_usage(&mut self, usage: &Usage, now: Instant) -> Change {
        let key = (SmolStr::new(&usage.team), usage.incarnation);
        let fits = self.usages.len() < self.options.max_rows;
        let report = || Received { value: usage.clone(), received: now };
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

    /// A team's usage at the entries where it is known.
    pub fn usage_of<'store>(
        &'store self,
        team: &'store str,
        now: Instant,
    ) -> impl Iterator<Item = &'store Usage> {
        let bound = self.options.usage_timeout;
        self.usages
            .iter()
            .filter(move |((name, _), row)| name == team && now.since(row.received) < bound)
            .map(|(_, row)| &row.value)
    }

    /// Adds a crash; `Change::News` the first time.
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

    /// The number of crashes known of a request fingerprint.
    pub fn crash_count(&self, fingerprint: u128) -> usize {
        self.blames.iter().filter(|(blame, _)| blame.fingerprint == fingerprint).count()
    }

    /// Drops what is older than its bound.
    pub fn expire(&mut self, now: Instant) {
        let options = self.options;
        self.groups.retain(|_, known| {
            known.rows.retain(|row| millis(row.age_ms(now)) < options.group_retention);
            let renewed = known.renewed.map(|renewed| millis(renewed.age_ms(now)));
            !known.rows.is_empty() || renewed.is_some_and(|age| age < options.group_retention)
        });
        self.instances.retain(|_, rows| {
            rows.retain(|row| millis(row.age_ms(now)) < options.instance_retention);
            !rows.is_empty()
        });
        // Kept past the bound, so that a late copy of an expired usage is recognised as old.
        self.usages.retain(|_, row| now.since(row.received) < options.usage_timeout * 6);
        self.blames.retain(|_, first| now.since(*first) < options.blame_retention);
    }

    /// Drops the states of instances that `keep` doesn't name.
    pub fn retain_instances<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.instances.retain(|name, _| keep(name));
    }

    /// The keys of all group summaries: group and fencing token, ascending.
    pub fn group_keys(&self) -> impl Iterator<Item = (u64, u64)> {
        self.groups.iter().map(|(key, _)| *key)
    }

    /// The state of an instance by one observer, with its present age.
    pub fn instance_from(&self, name: &SmolStr, observer: u64, now: Instant) -> Option<Instance> {
        let row = self.instances.get(name)?.iter().find(|row| row.value.observer == observer)?;
        Some(Instance { age_ms: row.age_ms(now), ..row.value.clone() })
    }

    /// The states of an instance by all its observers, each with its present age in ms.
    pub fn instance_reports(
        &self,
        name: &SmolStr,
        now: Instant,
    ) -> impl Iterator<Item = (u32, &Instance)> + use<'_> {
        let rows = self.instances.get(name).map_or(&[][..], Vec::as_slice);
        rows.iter().map(move |row| (row.age_ms(now), &row.value))
    }

    /// A team's usage at one entry, if it may still be relayed.
    pub fn relayable_usage(
        &self,
        team: &SmolStr,
        incarnation: u64,
        now: Instant,
    ) -> Option<&Usage> {
        let row = self.usages.get(&(team.clone(), incarnation))?;
        (now.since(row.received) < self.options.usage_timeout / 2).then_some(&row.value)
    }

    /// Whether a crash may still be relayed.
    pub fn is_blame_relayable(&self, blame: Blame, now: Instant) -> bool {
        self.blames
            .get(&blame)
            .is_some_and(|first| now.since(*first) < self.options.blame_relay_window)
    }

    /// The keys of all instance states: name and observer, ascending.
    pub fn instance_keys(&self) -> impl Iterator<Item = (&SmolStr, u64)> {
        self.instances
            .iter()
            .flat_map(|(name, rows)| rows.iter().map(move |row| (name, row.value.observer)))
    }

    /// The keys of all usages: team and entry incarnation, ascending.
    pub fn usage_keys(&self) -> impl Iterator<Item = (&SmolStr, u64)> {
        self.usages.iter().map(|((team, incarnation), _)| (team, *incarnation))
    }

    /// All crashes known.
    pub fn blames(&self) -> impl Iterator<Item = Blame> {
        self.blames.iter().map(|(blame, _)| *blame)
    }
}

/// The present age of what arrived at `received` with an age of `age_ms`.
fn aged(age_ms: u32, received: Instant, now: Instant) -> u32 {
    age_ms.saturating_add(crate::ceil_ms(now.since(received)))
}

/// Adds the report of a further observer; beyond [`OBSERVERS`], it replaces the oldest report.
fn add_row<T, F>(rows: &mut Vec<Received<T>>, row: Received<T>, age_ms: F)
where
    F: Fn(&Received<T>) -> u32,
{
    let oldest = (0..rows.len()).max_by_key(|&place| age_ms(&rows[place]));
    match oldest {
        Some(place) if rows.len() >= OBSERVERS => rows[place] = row,
        _ => rows.push(row),
    }
}

fn millis(value: u32) -> Duration {
    Duration::from_millis(u64::from(value))
}
