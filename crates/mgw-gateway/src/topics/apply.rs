//! Applies the records of the topics to the state.

use std::rc::Rc;
use std::time::Duration;

use mgw_base::time::Instant;
use mgw_event::Kind;
use mgw_event::event::Body;
use mgw_fleet::entry;
use mgw_fleet::evacuation;
use mgw_fleet::feed::Document;
use mgw_fleet::freshness::Shown;
use mgw_fleet::roster::{Outdated, Stamp};
use platform::store::{self, Record};
use smol_str::SmolStr;

use crate::clock;
use crate::gateway::{Gateway, State};
use crate::limit;
use crate::servers::{self, Change, Listing, Origin};
use crate::topics::Topic;
use crate::topics::read::Update;

/// Applies the records that were read, and renews the proof of how current the topic is.
///
/// # Errors
///
/// The records of the servers are older than the known ones.
pub(super) fn apply_update(
    gateway: &Gateway,
    topic: Topic,
    update: Update,
) -> Result<(), Outdated> {
    let now = clock::now();
    if update.unreadable > 0 {
        let text = format!("{} unreadable records in topic {}", update.unreadable, topic.name());
        gateway.record(Body::new(Kind::RecordUnreadable).text(text));
    }
    gateway.with(|state| match topic {
        Topic::Config => {
            apply_operator_records(state, &update, now);
            Ok(())
        }
        Topic::Servers => apply_servers(state, update, now),
        Topic::Entries => {
            state.entries.advance(update.next.pack(), now);
            update.records.iter().for_each(|it| apply_entry(state, it, &update, now));
            if update.is_at_end {
                state.entries.record_read(update.proven_at);
                state.refresh_members();
            }
            Ok(())
        }
    })
}

/// Applies the records of the configuration's topic: evacuated zones and the configuration.
fn apply_operator_records(state: &mut State, update: &Update, now: Instant) {
    apply_evacuations(state, update, now);
    if update.is_snapshot {
        state.shown_config = Shown::Nothing;
    }
    for document in update.records.iter().filter_map(|it| config_document(update, it)) {
        state.shown_config = apply_config(state, document);
    }
    if update.is_at_end && state.shown_config.proves(state.config_version()) {
        state.renew_config_proof(update.proven_at);
    }
}

/// Applies the records that evacuate zones or end that.
fn apply_evacuations(state: &mut State, update: &Update, now: Instant) {
    let end_offset = update.next.pack();
    let records = update.records.iter().filter_map(|record| {
        Some(evacuation::Record {
            zone: record.evacuated_zone()?.into(),
            position: update.position(record),
            is_evacuated: record.value.is_some(),
        })
    });
    match update.is_snapshot {
        true => state.replace_evacuations(evacuation::Snapshot::new(records, end_offset), now),
        false => state.apply_evacuations(records.collect(), end_offset),
    }
}

/// The configuration in a record; `None` if the record has another key or no value.
fn config_document(update: &Update, record: &Record) -> Option<Document> {
    let value = record.value.as_ref().filter(|_| record.key == store::CONFIG_KEY)?;
    Some(Document { offset: update.position(record), bytes: value.to_vec() })
}

/// Puts a configuration in force if it is valid and its version is newer. Returns what the source of
/// the document shows.
pub fn apply_config(state: &mut State, document: Document) -> Shown {
    match platform::config::parse(&document.bytes) {
        Ok(config) if state.config.as_ref().is_none_or(|it| it.version < config.version) => {
            let version = config.version;
            let text = format!("version {version}, {} routes", config.routes().len());
            state.config = Some(Rc::new(config));
            let event = Body::new(Kind::ConfigApplied).offset(document.offset).text(text);
            state.journal.record(event);
            state.config_document = Some(Rc::new(document));
            Shown::Version(version)
        }
        Ok(config) => {
            let known = state.config_version().unwrap_or(config.version);
            if config.version < known {
                let text = format!("version {} after version {known}", config.version);
                let event = Body::new(Kind::ConfigOutdated).offset(document.offset).text(text);
                state.journal.record(event);
            }
            Shown::Version(config.version)
        }
        Err(error) => {
            let event = Body::new(Kind::ConfigRejected).offset(document.offset).text(error);
            state.journal.record(event);
            Shown::Unreadable
        }
    }
}

/// Applies records of the servers' topic.
///
/// # Errors
///
/// The records are older than the known list, which this entry got from a reader in the meantime.
fn apply_servers(state: &mut State, update: Update, now: Instant) -> Result<(), Outdated> {
    let mut changes = Vec::with_capacity(update.records.len());
    let mut cold: Vec<(SmolStr, Duration)> = Vec::new();
    for record in &update.records {
        let parsed =
            record.value.as_deref().map(|value| platform::server::parse_entry(&record.key, value));
        if let Some(Ok(entry)) = &parsed
            && !entry.cold_left.is_zero()
        {
            cold.push((record.key.clone(), entry.cold_left));
        }
        let change = match parsed {
            Some(Ok(entry)) => Change::Listed {
                record: Box::new(entry.record),
                stamp: Some(Stamp {
                    position: update.position(record),
                    heartbeat_count: Some(entry.heartbeat_count),
                }),
            },
            Some(Err(error)) => {
                let event = Body::new(Kind::RecordUnreadable).instance(&record.key).text(error);
                state.journal.record(event);
                Change::Unreadable
            }
            None => Change::Removed,
        };
        changes.push((record.key.clone(), change));
    }
    let listing = Listing {
        end_offset: update.next.pack(),
        read_at: Some(update.proven_at),
        is_whole: update.is_snapshot,
        changes,
    };
    servers::apply(state, listing, Origin::Store, now)?;
    cold.iter().for_each(|(id, left)| limit::record_cold(state, id, *left));
    Ok(())
}

/// Applies a record of the entries' topic. The store keeps the newest record of each key without
/// limit, so a heartbeat in a snapshot may be from an entry that ended long ago: it counts as of
/// the time at which it was written, or not at all.
fn apply_entry(state: &mut State, record: &Record, update: &Update, now: Instant) {
    let Some(value) = &record.value else { return };
    let Some(known) = entry::decode(value) else {
        let event = Body::new(Kind::RecordUnreadable).instance(&record.key);
        state.journal.record(event);
        return;
    };
    let mut heard = now;
    if let entry::Record::Heartbeat { wall_ms, own, followers } = &known {
        state.merge_blames(&own.blames, now);
        followers.iter().for_each(|it| state.merge_blames(&it.heartbeat.blames, now));
        let age = Duration::from_millis(clock::unix_ms().saturating_sub(*wall_ms));
        match update.is_snapshot {
            true if age >= entry::HEARTBEAT_TIMEOUT => return,
            true => heard = now - age,
            false => {}
        }
    }
    state.entries.apply(&record.key, update.position(record), known, heard);
}
