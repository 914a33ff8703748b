//! Selection of the model group, or of the server of a plain service, that a request is sent to.

use mgw_base::arena::{Arena, Key};
use mgw_base::sorted::Map;
use mgw_base::time::Instant;
use smol_str::SmolStr;

use crate::prefix;

mod choose;
mod options;
mod target;
mod wait;

pub use choose::{Criteria, Error, Selection};
pub use options::{Options, Policy};
use target::InFlight;
pub use target::{Attributes, Destination, Health, Id, Load, Target};

/// The targets known to an entry.
#[derive(Clone, Debug)]
pub struct Table {
    options: Options,
    zone: SmolStr,
    region: SmolStr,
    targets: Arena<Target>,
    ids: Map<Id, Key<Target>>,
    /// Targets by the destination that they serve.
    by_destination: Map<Destination, Vec<Key<Target>>>,
    prefixes: prefix::Table,
}

impl Table {
    /// Creates an empty table for an entry in `zone` of `region`.
    pub fn new(options: Options, zone: SmolStr, region: SmolStr) -> Self {
        Self {
            options,
            zone,
            region,
            targets: Arena::default(),
            ids: Map::default(),
            by_destination: Map::default(),
            prefixes: prefix::Table::new(options.prefix),
        }
    }

    /// Adds a target or updates its properties. Its load and its requests in flight are kept.
    pub fn upsert(&mut self, id: Id, attributes: Attributes) -> Key<Target> {
        if let Some(key) = self.ids.get(&id).copied()
            && let Some(target) = self.targets.get_mut(key)
        {
            if target.attributes.destination != attributes.destination {
                let old = std::mem::replace(
                    &mut target.attributes.destination,
                    attributes.destination.clone(),
                );
                self.remove_from_destination(&old, key);
                self.by_destination
                    .get_or_insert_with(attributes.destination.clone(), Vec::new)
                    .push(key);
            }
            if let Some(target) = self.targets.get_mut(key) {
                target.attributes = attributes;
            }
            return key;
        }
        let destination = attributes.destination.clone();
        let key = self.targets.insert(Target {
            id: id.clone(),
            attributes,
            load: None,
            health: Health::Healthy,
            requests: Vec::new(),
            mean_duration: None,
        });
        self.ids.insert(id, key);
        self.by_destination.get_or_insert_with(destination, Vec::new).push(key);
        key
    }

    /// Removes a target.
    pub fn remove(&mut self, key: Key<Target>) {
        if let Some(target) = self.targets.remove(key) {
            self.ids.remove(&target.id);
            self.remove_from_destination(&target.attributes.destination, key);
        }
    }

    /// Returns the key of the target with this identifier.
    pub fn find(&self, id: &Id) -> Option<Key<Target>> {
        self.ids.get(id).copied()
    }

    /// Returns a target.
    pub fn get(&self, key: Key<Target>) -> Option<&Target> {
        self.targets.get(key)
    }

    /// Returns all targets.
    pub fn iter(&self) -> impl Iterator<Item = (Key<Target>, &Target)> {
        self.targets.iter()
    }

    /// Stores a load report unless a newer one is known.
    pub fn report_load(&mut self, key: Key<Target>, load: Load) {
        if let Some(target) = self.targets.get_mut(key)
            && target.load.is_none_or(|known| known.measured_at <= load.measured_at)
        {
            target.load = Some(load);
        }
    }

    /// Sets the health that outlier ejection decided.
    pub fn set_health(&mut self, key: Key<Target>, health: Health) {
        if let Some(target) = self.targets.get_mut(key) {
            target.health = health;
        }
    }

    /// Applies a cache event of the target; `at` is the time of the cache state that it describes.
    pub fn apply_cache_event(&mut self, key: Key<Target>, event: prefix::Event, at: Instant) {
        self.prefixes.apply(key, event, at);
    }

    /// Discards what is known of the target's cache up to `at`, as cache events are missing.
    pub fn forget_cache(&mut self, key: Key<Target>, at: Instant) {
        self.prefixes.forget(key, at);
    }

    /// Records that a request was sent to a target. `prefixes` are the hashes of the prompt
    /// prefixes that the target's cache holds from then on.
    pub fn start_request(
        &mut self,
        key: Key<Target>,
        request: u64,
        suspect: bool,
        prefixes: &[u64],
        now: Instant,
    ) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let place = target.requests.partition_point(|in_flight| in_flight.sent_at <= now);
        target.requests.insert(place, InFlight { sent_at: now, request, suspect });
        if target.health == Health::Probe {
            // Only one probe is sent; its result decides the next health.
            target.health = Health::Ejected;
        }
        for hash in prefixes {
            self.prefixes.store(*hash, key, now);
        }
    }

    /// Records that a request to a target ended. If it was answered in full (`served`), its
    /// duration is included in the target's mean.
    pub fn finish_request(&mut self, key: Key<Target>, request: u64, served: bool, now: Instant) {
        let Some(target) = self.targets.get_mut(key) else { return };
        let Some(place) = target.requests.iter().position(|in_flight| in_flight.request == request)
        else {
            return;
        };
        let in_flight = target.requests.remove(place);
        if served {
            let seconds = now.since(in_flight.sent_at).as_secs_f64();
            target.mean_duration =
                Some(target.mean_duration.map_or(seconds, |mean| mean * 0.9 + seconds * 0.1));
        }
    }

    /// Returns whether a suspect of this entry is in flight at the target.
    pub fn runs_suspect(&self, key: Key<Target>) -> bool {
        self.targets
            .get(key)
            .is_some_and(|target| target.requests.iter().any(|in_flight| in_flight.suspect))
    }

    fn remove_from_destination(&mut self, destination: &Destination, key: Key<Target>) {
        let Some(keys) = self.by_destination.get_mut(destination) else { return };
        keys.retain(|other| *other != key);
        if keys.is_empty() {
            self.by_destination.remove(destination);
        }
    }
}
