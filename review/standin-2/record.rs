//! The record of a run: what was sent, answered and run, with seconds since the start.

use std::fs::File;
use std::io::Write as _;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    pub fn create(path: &str) -> Self {
        let file = File::create(path).expect("create the record");
        Self { file: Arc::new(Mutex::new(file)), start: Instant::now() }
    }

    pub fn note(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        writeln!(file, "{at:8.3}  {text}").expect("write the record");
    }
}
