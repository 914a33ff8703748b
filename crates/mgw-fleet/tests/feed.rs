//! What readers of the store tell their followers, and whom an entry follows.

mod common;

use std::time::Duration;

use bytes::BytesMut;
use common::{at, record};
use mgw_fleet::entry::{Heartbeat, Leader, Member, Phase, Record, Table, heartbeat_key};
use mgw_fleet::feed::{self, Ages, Error, Members, Poll, Servers, Update};
use mgw_fleet::roster::{self, Roster};
use mgw_fleet::source::{Link, MAX_FEED_AGE, READER_TIMEOUT, Selector, Source};

fn heartbeat(zone: &str, cores_milli: u32) -> Heartbeat {
    Heartbeat {
        incarnation: 1,
        caller_address: "10.0.0.1:80".into(),
        feed_address: "10.0.0.1:81".into(),
        cores_milli,
        zone: zone.into(),
        region: "r".into(),
        phase: Phase::Serving,
        resigned_term: None,
        blames: Vec::new(),
    }
}

/// A table of entries `{zone}{number}`, all with the same processor.
fn table(zones: &[(&str, usize)]) -> Table {
    let mut table = Table::default();
    for (zone, count) in zones {
        for number in 0..*count {
            let own = heartbeat(zone, 250);
            let record = Record::Heartbeat { wall_ms: 0, own, followers: Vec::new() };
            table.apply(&heartbeat_key(&format!("{zone}{number}")), 1, record, at(1_000));
        }
    }
    table.record_read(at(1_000));
    table
}

/// Guards against messages that are taken although they are cut, of another version or too large.
#[test]
fn reads_only_whole_messages_of_its_version() {
    let ask =
        Poll { name: "a".into(), timestamp: 7, end_offset: 3, heartbeat: Some(heartbeat("z", 1)) };
    let bytes = feed::encode(&ask).expect("encodes");
    for cut in 0..bytes.len() {
        let mut input = BytesMut::from(&bytes[..cut]);
        assert_eq!(feed::decode::<Poll>(&mut input), Ok(None), "{cut} bytes");
    }
    let mut input = BytesMut::from(&[&bytes[..], &bytes[..]].concat()[..]);
    assert_eq!(feed::decode(&mut input), Ok(Some(ask.clone())));
    assert_eq!(feed::decode(&mut input), Ok(Some(ask)));
    let mut other = BytesMut::from(&bytes[..]);
    other[4] = 99;
    assert_eq!(feed::decode::<Poll>(&mut other), Err(Error::Version));
    let mut large = BytesMut::from(&[255, 255, 255, 255, 1][..]);
    assert_eq!(feed::decode::<Poll>(&mut large), Err(Error::Oversized));
    let mut junk = BytesMut::from(&[0, 0, 0, 3, 1, 255, 255][..]);
    assert_eq!(feed::decode::<Poll>(&mut junk), Err(Error::Malformed));
}

/// Guards against news that lose a part of a server's entry on their way.
#[test]
fn news_arrive_as_they_were_sent() {
    let mut roster = Roster::default();
    roster.upsert("i1", record(0), at(0));
    let news = Update {
        ages: Some(Ages { timestamp: 9, config: 1, servers: 2, entries: 3 }),
        config: Some(feed::Document { offset: 4, bytes: b"{}".to_vec() }),
        servers: Some(Servers::new(roster.changes(0), 12)),
        members: Some(Members {
            end_offset: 5,
            entries: vec![Member { name: "a".into(), heartbeat: heartbeat("z", 1) }],
            leader: Some((3, Leader { entry: "a".into(), incarnation: 1 })),
        }),
    };
    let mut input = BytesMut::from(&feed::encode(&news).expect("encodes")[..]);
    assert_eq!(feed::decode(&mut input), Ok(Some(news)));
}

/// Guards against keys that are trusted too long: knowledge counts from the question, so the time on
/// the way, or in the buffer of a process that stood still, makes it older and never newer.
#[test]
fn knowledge_is_dated_before_its_answer_was_made() {
    let ages = Ages { timestamp: 5_000_000, config: 300_000, servers: u64::MAX, entries: 0 };
    assert_eq!(ages.as_of(ages.config), at(4_700));
    assert_eq!(ages.as_of(ages.servers), at(0), "nothing is known");
    assert_eq!(feed::age_micros(Some(at(100)), at(400)), 300_000);
    assert_eq!(feed::age_micros(None, at(400)), u64::MAX);
}

/// Guards against servers that a follower keeps after they are gone, or never learns of.
#[test]
fn changes_lead_to_the_same_servers() {
    let mut roster = Roster::default();
    roster.upsert("i1", record(0), at(0));
    roster.upsert("i2", record(0), at(0));
    let first = roster.changes(0);
    assert!(first.is_whole && first.changed.len() == 2);
    roster.upsert("i1", record(0), at(100));
    assert_eq!(roster.changes(first.revision).revision, first.revision, "a heartbeat is no news");
    roster.upsert("i2", roster::Record { phase: roster::Phase::Draining, ..record(0) }, at(200));
    roster.remove("i1", at(200));
    let second = roster.changes(first.revision);
    assert!(!second.is_whole);
    assert_eq!(second.changed.len(), 1);
    assert_eq!(second.gone, ["i1"]);
    roster.upsert("i1", record(0), at(300));
    let third = roster.changes(first.revision);
    assert!(third.gone.is_empty(), "it is back: {third:?}");
    for number in 0..2_000 {
        roster.upsert(&format!("x{number}"), record(0), at(400));
        roster.remove(&format!("x{number}"), at(400));
    }
    assert!(roster.changes(first.revision).is_whole, "old removals are not kept for ever");
}

/// Guards against calls of all entries to the store, and against a zone without a reader.
#[test]
fn each_zone_has_a_reader() {
    let table = table(&[("a", 30), ("b", 4), ("c", 1)]);
    let readers = table.readers();
    let count = |zone: &str| readers.iter().filter(|it| it.starts_with(zone)).count();
    assert_eq!((count("a"), count("b"), count("c")), (2, 1, 1), "{readers:?}");
}

/// Guards against a system of one zone whose only reader is lost.
#[test]
fn a_single_zone_has_several_readers() {
    assert_eq!(table(&[("a", 9)]).readers().len(), 3);
    assert_eq!(table(&[("a", 2)]).readers().len(), 2);
}

/// Guards against weak machines that carry the followers while there are strong ones.
#[test]
fn strong_entries_read_for_weak_ones() {
    let mut table = table(&[("a", 6)]);
    let own = heartbeat("a", 500);
    let strong = Record::Heartbeat { wall_ms: 0, own, followers: Vec::new() };
    table.apply(&heartbeat_key("strong"), 9, strong, at(1_000));
    assert!(table.readers().iter().any(|it| *it == "strong"));
}

/// Guards against an entry that stays with a reader which failed, and one that reads the store
/// although another entry does, or follows while it could read for others.
#[test]
fn another_reader_takes_the_place_of_one_that_failed() {
    let table = table(&[("a", 4), ("b", 4), ("c", 4)]);
    let readers: Vec<_> = table.readers().into_iter().cloned().collect();
    let follower = (0..4).map(|it| format!("a{it}")).find(|it| !readers.iter().any(|r| r == it));
    let follower = follower.expect("a follower");
    let mut chooser = Selector::default();
    let choose = |chooser: &mut Selector, name: &str, is_blind| {
        chooser.select(&table, (name, "a"), is_blind, at(1_000))
    };
    let Source::Reader(first) = choose(&mut chooser, &follower, false) else {
        panic!("it follows a reader");
    };
    assert!(first.starts_with('a'), "{first} is near");
    chooser.mark_failed(&first, at(1_000));
    let second = choose(&mut chooser, &follower, false);
    assert!(second != Source::Reader(first.clone()) && second != Source::Store, "{second:?}");
    readers.iter().for_each(|reader| chooser.mark_failed(reader, at(1_000)));
    assert_eq!(choose(&mut chooser, &follower, false), Source::Store);
    assert_eq!(choose(&mut Selector::default(), &first, false), Source::Store);
    let blind = choose(&mut Selector::default(), &first, true);
    assert!(matches!(blind, Source::Reader(other) if other != first), "the store refuses it");
}

/// Guards against an entry that trusts a reader which is silent, or which cannot read the store.
#[test]
fn a_link_is_fresh_only_with_new_answers_of_new_knowledge() {
    let mut link = Link::default();
    assert!(!link.is_fresh(at(0)));
    link.record_response(at(10_000), at(10_200));
    assert!(link.is_fresh(at(10_300)));
    assert!(!link.is_fresh(at(10_200) + READER_TIMEOUT), "the reader is silent");
    link.record_response(at(10_000), at(10_000) + MAX_FEED_AGE + Duration::from_millis(1));
    assert!(!link.is_fresh(at(11_300)), "the reader knows nothing new");
    assert!(!link.should_switch(at(11_300)));
    assert!(link.should_switch(at(12_400)), "another reader may know more");
    assert!(!link.reconnected().should_switch(at(12_400)));
}

/// Guards against followers that are missing in the directory although their reader vouches for
/// them, and followers that stay there after their reader has dropped them.
#[test]
fn a_reader_vouches_for_its_followers() {
    let mut table = table(&[("a", 1)]);
    let follower = Member { name: "f".into(), heartbeat: heartbeat("a", 1) };
    let with = |followers| Record::Heartbeat { wall_ms: 0, own: heartbeat("a", 250), followers };
    table.apply(&heartbeat_key("a0"), 5, with(vec![follower.clone()]), at(1_100));
    let names =
        |table: &Table| table.serving().map(|(name, _)| name.to_string()).collect::<Vec<_>>();
    assert_eq!(names(&table), ["a0", "f"]);
    table.apply(&heartbeat_key("a1"), 7, with(vec![follower]), at(1_200));
    table.apply(&heartbeat_key("a0"), 8, with(Vec::new()), at(1_300));
    assert_eq!(names(&table), ["a0", "a1", "f"], "it follows another reader now");
    table.apply(&heartbeat_key("a1"), 9, with(Vec::new()), at(1_400));
    assert_eq!(names(&table), ["a0", "a1"]);
}
