//! The fake log service.

use std::collections::VecDeque;

use mgw_entry::input::{Append, Input, Read, Record};
use mgw_state::codec;

use super::entry::{Breakpoint, Ref};
use super::link::Party;
use super::{MILLISECOND, Micros, SECOND, World};

/// Time after which a read without new records is answered.
const WAIT: Micros = 2 * SECOND;

/// Records per read at most.
const BATCH: usize = 512;

/// Parameters of the log service.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Records that are retained.
    pub retention: usize,
    /// Appends per second.
    pub append_rate: f64,
    /// Processing time of an append.
    pub append_time: Micros,
}

impl Default for Options {
    fn default() -> Self {
        Self { retention: 100_000, append_rate: 400.0, append_time: 5 * MILLISECOND }
    }
}

/// How the log service answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// It answers.
    Up,
    /// It refuses every request.
    Down,
    /// It does not answer at all.
    Silent,
    /// It takes this much longer.
    Slow(Micros),
}

#[derive(Debug)]
struct Waiter {
    number: u64,
    who: Ref,
    exchange: u64,
    from: u64,
}

/// The log service.
#[derive(Debug)]
pub(crate) struct Log {
    options: Options,
    pub(crate) mode: Mode,
    /// Replies to appends that are still to be lost.
    pub(crate) lose: u32,
    records: VecDeque<Record>,
    pub(crate) next: u64,
    waiters: Vec<Waiter>,
    tokens: f64,
    filled: Micros,
    /// Appends that were accepted.
    pub(crate) appends: u64,
}

impl Log {
    pub(crate) fn new(options: Options) -> Self {
        Self {
            options,
            mode: Mode::Up,
            lose: 0,
            records: VecDeque::new(),
            next: 0,
            waiters: Vec::new(),
            tokens: options.append_rate,
            filled: 0,
            appends: 0,
        }
    }

    fn first(&self) -> u64 {
        self.records.front().map_or(self.next, |it| it.offset)
    }

    fn read(&self, from: u64) -> Read {
        let (first, next) = (self.first(), self.next);
        if from < first {
            return Read::Trimmed { first, next };
        }
        let skip = from.saturating_sub(first) as usize;
        let records = self.records.iter().skip(skip).take(BATCH).cloned().collect();
        Read::Batch { first, next, records }
    }

    fn admit(&mut self, now: Micros) -> bool {
        let gained = (now - self.filled) as f64 / 1e6 * self.options.append_rate;
        self.tokens = (self.tokens + gained).min(self.options.append_rate);
        self.filled = now;
        let admitted = self.tokens >= 1.0;
        if admitted {
            self.tokens -= 1.0;
        }
        admitted
    }
}

impl World {
    /// Changes how the log service answers.
    pub fn set_log_mode(&mut self, mode: Mode) {
        self.note("world", format!("log {mode:?}"));
        self.log.mode = mode;
    }

    /// Loses the replies to the next appends, which take effect.
    pub fn drop_append_replies(&mut self, count: u32) {
        self.note("world", format!("log loses {count} replies"));
        self.log.lose = count;
    }

    /// Keeps only the newest records.
    pub fn trim_log(&mut self, retain: usize) {
        self.note("world", format!("log retains {retain} records"));
        self.log.options.retention = retain;
        while self.log.records.len() > retain {
            self.log.records.pop_front();
        }
    }

    /// The number of records that the log holds or held, and of appends.
    pub fn log_size(&self) -> (u64, u64) {
        (self.log.next, self.log.appends)
    }

    pub(crate) fn send_append(&mut self, who: Ref, sequence: u64, records: Vec<Vec<u8>>) {
        self.spring(who.entry, Breakpoint::Append);
        let unknown = Input::Append { sequence, result: Append::Unknown };
        let exchange = self.exchange_input(who, self.options.entry.log_timeout, unknown);
        let Some(delay) = self.delay(Party::Entry(who.entry), Party::Log) else { return };
        self.schedule_after(delay, move |world| {
            world.arrive_append(who, exchange, sequence, records)
        });
    }

    fn arrive_append(&mut self, who: Ref, exchange: u64, sequence: u64, records: Vec<Vec<u8>>) {
        let slow = match self.log.mode {
            Mode::Up => 0,
            Mode::Slow(slow) => slow,
            Mode::Silent => return,
            Mode::Down => {
                let result = Append::Refused;
                self.reply(Party::Log, who, exchange, Input::Append { sequence, result });
                return;
            }
        };
        let delay = self.options.log.append_time + slow;
        self.schedule_after(delay, move |world| {
            world.take_append(who, exchange, sequence, records)
        });
    }

    fn take_append(&mut self, who: Ref, exchange: u64, sequence: u64, records: Vec<Vec<u8>>) {
        if !self.log.admit(self.now) {
            let result = Append::Refused;
            self.reply(Party::Log, who, exchange, Input::Append { sequence, result });
            return;
        }
        self.log.appends += 1;
        let first = self.log.next;
        let at_ms = self.now / MILLISECOND;
        for bytes in records {
            let record = Record { offset: self.log.next, at_ms, bytes };
            if let Ok(envelope) = codec::decode(&record.bytes) {
                self.check_record(record.offset, at_ms, &envelope);
            }
            self.log.next += 1;
            self.log.records.push_back(record);
            if self.log.records.len() > self.log.options.retention {
                self.log.records.pop_front();
            }
        }
        if self.log.lose > 0 {
            self.log.lose -= 1;
            self.note("world", "the reply to an append is lost");
        } else {
            let result = Append::Accepted { first };
            self.reply(Party::Log, who, exchange, Input::Append { sequence, result });
        }
        for waiter in std::mem::take(&mut self.log.waiters) {
            let read = self.log.read(waiter.from);
            self.reply(Party::Log, waiter.who, waiter.exchange, Input::Read(read));
        }
    }

    pub(crate) fn send_read(&mut self, who: Ref, from: u64) {
        let patience = WAIT + self.options.entry.log_timeout;
        let exchange = self.exchange_input(who, patience, Input::Read(Read::Failed));
        let Some(delay) = self.delay(Party::Entry(who.entry), Party::Log) else { return };
        self.schedule_after(delay, move |world| world.arrive_read(who, exchange, from));
    }

    fn arrive_read(&mut self, who: Ref, exchange: u64, from: u64) {
        match self.log.mode {
            Mode::Down => self.reply(Party::Log, who, exchange, Input::Read(Read::Failed)),
            Mode::Silent => {}
            Mode::Slow(slow) => {
                self.schedule_after(slow, move |world| world.take_read(who, exchange, from));
            }
            Mode::Up => self.take_read(who, exchange, from),
        }
    }

    fn take_read(&mut self, who: Ref, exchange: u64, from: u64) {
        if from < self.log.next {
            let read = self.log.read(from);
            self.reply(Party::Log, who, exchange, Input::Read(read));
            return;
        }
        let number = self.number();
        self.log.waiters.push(Waiter { number, who, exchange, from });
        self.schedule_after(WAIT, move |world| {
            let Some(place) = world.log.waiters.iter().position(|it| it.number == number) else {
                return;
            };
            let waiter = world.log.waiters.swap_remove(place);
            let read = world.log.read(waiter.from);
            if !matches!(world.log.mode, Mode::Down | Mode::Silent) {
                world.reply(Party::Log, waiter.who, waiter.exchange, Input::Read(read));
            }
        });
    }
}
