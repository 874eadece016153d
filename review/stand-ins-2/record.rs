//! The record of a case: one line for each thing that was sent, answered or run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Mutex, OnceLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

pub fn open(path: &Path) {
    let file = File::create(path).expect("record.txt cannot be written");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

pub fn line(text: &str) {
    if let Some((file, start)) = RECORD.get() {
        let mut file = file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{:9.3} s  {text}", start.elapsed().as_secs_f64());
    }
}

/// The time now, in Unix milliseconds.
pub fn unix_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as i64)
}

pub fn pause(millis: u64) {
    std::thread::sleep(Duration::from_millis(millis));
}
