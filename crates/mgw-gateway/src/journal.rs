//! The event log: one JSON line per event on standard output. A separate thread writes it, so that
//! a consumer that stops reading the output never blocks a request.

use std::io::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};

use mgw_event::event::Body;
use mgw_event::{Kind, Recorder};
use smol_str::SmolStr;

use crate::clock;

/// Size in bytes at which buffered lines are handed to the writer thread.
const BATCH_BYTES: usize = 16 << 10;

/// Batches that may wait for the writer thread; further ones are dropped.
const MAX_QUEUED_BATCHES: usize = 32;

/// Capacity of the buffer of recent events, which the metrics endpoint serves.
const RECENT_EVENTS: usize = 256;

/// Log volume in bytes per second above which events about single requests are not written.
const MAX_REQUEST_BYTES_PER_S: usize = 64 << 10;

/// Assigns sequence numbers and timestamps to events and writes them.
#[derive(Debug)]
pub struct Journal {
    recorder: Recorder,
    batch: Vec<u8>,
    writer: SyncSender<Vec<u8>>,
    /// The current second of the wall clock, and the bytes logged in it.
    written: (u64, usize),
    /// Lines not written since the last report of them.
    suppressed: u64,
    /// Bytes that the writer thread has written since the start.
    bytes_written: Arc<AtomicU64>,
}

impl Journal {
    /// Creates the journal of the entry called `at` and starts its writer thread.
    ///
    /// # Errors
    ///
    /// The thread cannot be started.
    pub fn start(at: SmolStr) -> std::io::Result<Self> {
        let (writer, lines) = sync_channel::<Vec<u8>>(MAX_QUEUED_BATCHES);
        let bytes_written = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&bytes_written);
        std::thread::Builder::new().name("journal".into()).spawn(move || {
            let mut output = std::io::stdout();
            for batch in lines {
                if output.write_all(&batch).and_then(|()| output.flush()).is_err() {
                    // Standard output is closed. The metric `log_bytes` stops rising.
                    return;
                }
                count.fetch_add(batch.len() as u64, Ordering::Relaxed);
            }
        })?;
        let recorder = Recorder::new(at, RECENT_EVENTS);
        Ok(Self {
            recorder,
            batch: Vec::new(),
            writer,
            written: (0, 0),
            suppressed: 0,
            bytes_written,
        })
    }

    /// Records an event and buffers its line, unless it is about a single request and the rate
    /// limit is exceeded.
    pub fn record(&mut self, body: Body) {
        let unix_ms = clock::unix_ms();
        let is_about_request = !body.request.is_empty();
        let event = self.recorder.record(unix_ms, body);
        if self.written.0 != unix_ms / 1_000 {
            self.written = (unix_ms / 1_000, 0);
        }
        if is_about_request && self.written.1 > MAX_REQUEST_BYTES_PER_S {
            self.suppressed += 1;
            return;
        }
        let line = event.json();
        self.written.1 += line.len() + 1;
        self.batch.extend_from_slice(line.as_bytes());
        self.batch.push(b'\n');
        if self.batch.len() >= BATCH_BYTES {
            self.flush();
        }
    }

    /// Hands the buffered lines to the writer thread, or drops them if its queue is full.
    pub fn flush(&mut self) {
        if self.batch.is_empty() {
            return;
        }
        let batch = std::mem::take(&mut self.batch);
        let lines = batch.iter().filter(|byte| **byte == b'\n').count() as u64;
        match self.writer.try_send(batch) {
            Ok(()) => self.report_suppressed(),
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => self.suppressed += lines,
        }
    }

    /// Records how many lines were not written since the last report, if any.
    fn report_suppressed(&mut self) {
        if self.suppressed > 0 {
            let text = format!("{} log lines not written", std::mem::take(&mut self.suppressed));
            self.record(Body::new(Kind::LinesSuppressed).text(text));
        }
    }

    /// Bytes that the writer thread has written since the start.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.load(Ordering::Relaxed)
    }

    /// The most recent events in ascending order, one JSON line each.
    pub fn recent_events(&self) -> String {
        let events = self.recorder.ring().after(0, RECENT_EVENTS * 2);
        events.iter().map(|event| event.json() + "\n").collect()
    }
}
