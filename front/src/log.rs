//! The log: lines on standard error, each place's held to a few a second.

use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Lines a second from one place; more would cost the worker time when everything fails alike.
const LINES: u32 = 5;

pub struct Limit(Mutex<Option<(Instant, u32)>>);

impl Limit {
    pub const fn new() -> Limit {
        Limit(Mutex::new(None))
    }

    /// How many lines were left out before this one, where this one may be written.
    pub fn pass(&self) -> Option<u32> {
        let mut state = self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        match &mut *state {
            Some((since, written)) if since.elapsed() < Duration::from_secs(1) => {
                *written += 1;
                (*written <= LINES).then_some(0)
            }
            state => {
                let left_out = state.map_or(0, |(_, written)| written.saturating_sub(LINES));
                *state = Some((Instant::now(), 1));
                Some(left_out)
            }
        }
    }
}

impl Default for Limit {
    fn default() -> Limit {
        Limit::new()
    }
}

#[macro_export]
macro_rules! log {
    ($($words:tt)*) => {{
        static LIMIT: $crate::log::Limit = $crate::log::Limit::new();
        match LIMIT.pass() {
            Some(0) => eprintln!("gingerwick: {}", format_args!($($words)*)),
            Some(more) => eprintln!("gingerwick: {} ({more} like this left out)", format_args!($($words)*)),
            None => {}
        }
    }};
}
