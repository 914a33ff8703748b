//! Fake log service with long-poll reads and a rate limit on appends.

use std::collections::VecDeque;

use mgw_entry::input::{Append, Input, Read, Record};
use mgw_state::codec;

use super::entry::{Breakpoint, ProcessId};
use super::link::Party;
use super::{MILLISECOND, Micros, SECOND, World};

/// Time after which a read is answered even if there is no new record.
const LONG_POLL_TIMEOUT: Micros = 2 * SECOND;

/// Upper bound on the records in the answer to a read.
const MAX_READ_RECORDS: usize = 512;

/// Capacity and timing of the log service.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of records retained; older records are trimmed.
    pub retention: usize,
    /// Rate limit in appends per second; also the burst size. Excess appends are refused.
    pub append_rate: f64,
    /// Processing time of an append.
    pub append_time: Micros,
}

impl Default for Options {
    fn default() -> Self {
        Self { retention: 100_000, append_rate: 400.0, append_time: 5 * MILLISECOND }
    }
}

/// Availability of the log service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Answers every request.
    Up,
    /// Refuses every request.
    Down,
    /// Does not answer any request.
    Silent,
    /// Answers every request with this additional delay.
    Slow(Micros),
}

#[derive(Debug)]
struct Waiter {
    id: u64,
    process_id: ProcessId,
    exchange: u64,
    from: u64,
}

/// State of the fake log service.
#[derive(Debug)]
pub(crate) struct Log {
    options: Options,
    pub(crate) mode: Mode,
    /// Number of further append replies to drop.
    pub(crate) replies_to_drop: u32,
    records: VecDeque<Record>,
    pub(crate) next_offset: u64,
    waiters: Vec<Waiter>,
    rate_tokens: f64,
    refilled_at: Micros,
    /// Number of accepted appends.
    pub(crate) appends: u64,
}

impl Log {
    pub(crate) fn new(options: Options) -> Self {
        Self {
            options,
            mode: Mode::Up,
            replies_to_drop: 0,
            records: VecDeque::new(),
            next_offset: 0,
            waiters: Vec::new(),
            rate_tokens: options.append_rate,
            refilled_at: 0,
            appends: 0,
        }
    }

    fn first_offset(&self) -> u64 {
        self.records.front().map_or(self.next_offset, |it| it.offset)
    }

    fn read(&self, from: u64) -> Read {
        let (first, next) = (self.first_offset(), self.next_offset);
        if from < first {
            return Read::Trimmed { first, next };
        }
        let skip = from.saturating_sub(first) as usize;
        let records = self.records.iter().skip(skip).take(MAX_READ_RECORDS).cloned().collect();
        Read::Batch { first, next, records }
    }

    fn take_rate_token(&mut self, now: Micros) -> bool {
        let gained = (now - self.refilled_at) as f64 / 1e6 * self.options.append_rate;
        self.rate_tokens = (self.rate_tokens + gained).min(self.options.append_rate);
        self.refilled_at = now;
        let admitted = self.rate_tokens >= 1.0;
        if admitted {
            self.rate_tokens -= 1.0;
        }
        admitted
    }
}

impl World {
    /// Sets the availability of the log service.
    pub fn set_log_mode(&mut self, mode: Mode) {
        self.trace_text("world", format!("log {mode:?}"));
        self.log.mode = mode;
    }

    /// Drops the replies to the next `count` appends. The appends themselves take effect.
    pub fn drop_append_replies(&mut self, count: u32) {
        self.trace_text("world", format!("log drops the replies to the next {count} appends"));
        self.log.replies_to_drop = count;
    }

    /// Sets the retention and trims the log to its newest `retain` records.
    pub fn trim_log(&mut self, retain: usize) {
        self.trace_text("world", format!("log retains {retain} records"));
        self.log.options.retention = retain;
        while self.log.records.len() > retain {
            self.log.records.pop_front();
        }
    }

    /// Returns the number of records ever appended and the number of accepted appends.
    pub fn log_size(&self) -> (u64, u64) {
        (self.log.next_offset, self.log.appends)
    }

    pub(crate) fn send_append(
        &mut self,
        process_id: ProcessId,
        sequence: u64,
        records: Vec<Vec<u8>>,
    ) {
        self.trigger_breakpoint(process_id.entry, Breakpoint::Append);
        let unknown = Input::Append { sequence, result: Append::Unknown };
        let exchange = self.begin_exchange(process_id, self.options.entry.log_timeout, unknown);
        let Some(delay) = self.message_delay(Party::Entry(process_id.entry), Party::Log) else {
            return;
        };
        self.schedule_after(delay, move |world| {
            world.arrive_append(process_id, exchange, sequence, records)
        });
    }

    fn arrive_append(
        &mut self,
        process_id: ProcessId,
        exchange: u64,
        sequence: u64,
        records: Vec<Vec<u8>>,
    ) {
        let slow = match self.log.mode {
            Mode::Up => 0,
            Mode::Slow(slow) => slow,
            Mode::Silent => return,
            Mode::Down => {
                let result = Append::Refused;
                self.reply(Party::Log, process_id, exchange, Input::Append { sequence, result });
                return;
            }
        };
        let delay = self.options.log.append_time + slow;
        self.schedule_after(delay, move |world| {
            world.take_append(process_id, exchange, sequence, records)
        });
    }

    fn take_append(
        &mut self,
        process_id: ProcessId,
        exchange: u64,
        sequence: u64,
        records: Vec<Vec<u8>>,
    ) {
        if !self.log.take_rate_token(self.now) {
            let result = Append::Refused;
            self.reply(Party::Log, process_id, exchange, Input::Append { sequence, result });
            return;
        }
        self.log.appends += 1;
        let first = self.log.next_offset;
        let at_ms = self.now / MILLISECOND;
        for bytes in records {
            let record = Record { offset: self.log.next_offset, at_ms, bytes };
            if let Ok(envelope) = codec::decode(&record.bytes) {
                self.check_record(record.offset, at_ms, &envelope);
            }
            self.log.next_offset += 1;
            self.log.records.push_back(record);
            if self.log.records.len() > self.log.options.retention {
                self.log.records.pop_front();
            }
        }
        if self.log.replies_to_drop > 0 {
            self.log.replies_to_drop -= 1;
            self.trace_text("world", "the reply to an append is dropped");
        } else {
            let result = Append::Accepted { first };
            self.reply(Party::Log, process_id, exchange, Input::Append { sequence, result });
        }
        for waiter in std::mem::take(&mut self.log.waiters) {
            let read = self.log.read(waiter.from);
            self.reply(Party::Log, waiter.process_id, waiter.exchange, Input::Read(read));
        }
    }

    pub(crate) fn send_read(&mut self, process_id: ProcessId, from: u64) {
        let timeout = LONG_POLL_TIMEOUT + self.options.entry.log_timeout;
        let exchange = self.begin_exchange(process_id, timeout, Input::Read(Read::Failed));
        let Some(delay) = self.message_delay(Party::Entry(process_id.entry), Party::Log) else {
            return;
        };
        self.schedule_after(delay, move |world| world.arrive_read(process_id, exchange, from));
    }

    fn arrive_read(&mut self, process_id: ProcessId, exchange: u64, from: u64) {
        match self.log.mode {
            Mode::Down => self.reply(Party::Log, process_id, exchange, Input::Read(Read::Failed)),
            Mode::Silent => {}
            Mode::Slow(slow) => {
                self.schedule_after(slow, move |world| world.take_read(process_id, exchange, from));
            }
            Mode::Up => self.take_read(process_id, exchange, from),
        }
    }

    fn take_read(&mut self, process_id: ProcessId, exchange: u64, from: u64) {
        if from < self.log.next_offset {
            let read = self.log.read(from);
            self.reply(Party::Log, process_id, exchange, Input::Read(read));
            return;
        }
        let id = self.next_id();
        self.log.waiters.push(Waiter { id, process_id, exchange, from });
        self.schedule_after(LONG_POLL_TIMEOUT, move |world| {
            let Some(index) = world.log.waiters.iter().position(|it| it.id == id) else {
                return;
            };
            let waiter = world.log.waiters.swap_remove(index);
            let read = world.log.read(waiter.from);
            if !matches!(world.log.mode, Mode::Down | Mode::Silent) {
                world.reply(Party::Log, waiter.process_id, waiter.exchange, Input::Read(read));
            }
        });
    }
}
