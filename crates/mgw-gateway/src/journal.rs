//! The log: one JSON line per event on standard output, written by a thread of its own so that a
//! reader who stops reading never blocks a request.

use std::io::Write as _;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};

use mgw_event::event::Body;
use mgw_event::{Kind, Recorder};
use smol_str::SmolStr;

use crate::clock;

/// Lines that are gathered before they are handed to the writer, in bytes.
const BATCH_BYTES: usize = 16 << 10;

/// Batches that may wait for the writer.
const MAX_QUEUED_BATCHES: usize = 32;

/// Events that are kept for the time line.
const RECENT_EVENTS: usize = 256;

/// Bytes of lines per second beyond which lines about single requests are left out.
const MAX_REQUEST_BYTES_PER_S: usize = 64 << 10;

/// Numbers, stamps and writes events.
#[derive(Debug)]
pub struct Journal {
    recorder: Recorder,
    batch: Vec<u8>,
    writer: SyncSender<Vec<u8>>,
    /// Bytes written in the current second of the wall clock.
    written: (u64, usize),
    suppressed: u64,
    bytes_written: Arc<AtomicU64>,
}

impl Journal {
    /// A journal of the entry `at` with its writer.
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
                    // Nobody reads the log any more; the counter shows it in the metrics.
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

    /// Records an event.
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

    /// Hands the gathered lines to the writer, or drops them if it is busy.
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

    fn report_suppressed(&mut self) {
        if self.suppressed > 0 {
            let text = format!("{} lines", std::mem::take(&mut self.suppressed));
            self.record(Body::new(Kind::LinesSuppressed).text(text));
        }
    }

    /// Bytes written since the start.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.load(Ordering::Relaxed)
    }

    /// The newest events, one JSON line each.
    pub fn recent_events(&self) -> String {
        let events = self.recorder.ring().after(0, RECENT_EVENTS * 2);
        events.iter().map(|event| event.json() + "\n").collect()
    }
}
