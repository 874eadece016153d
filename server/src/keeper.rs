//! The list at hand on its way to disk. Who knows something new leaves it here without waiting; a thread of
//! its own writes it, when [`Pace`] says so, and nobody waits for the disk.

use crate::clock::{duration, Clock};
use crate::hosts::{Health, Host};
use crate::log;
use endpoint_cache::{Dir, Fault, Kept, KeptStore, Said};
use recovery::pace::{is_news, Pace};
use recovery::store::Word;
use routing::time::Span;
use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

struct Row {
    store: Arc<KeptStore>,
    word: Option<Word>,
}

struct State {
    seq: i64,
    confirmed_ms: i64,
    rows: BTreeMap<String, Row>,
    pace: Pace,
    saves: u64,
    over: bool,
}

pub struct Keeper {
    clock: Clock,
    state: Mutex<State>,
    news: Condvar,
    ended: Condvar,
}

fn wall_ms() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as i64
}

impl Keeper {
    /// Begins with what was kept, so that a start without discovery loses nothing of it.
    pub fn start(clock: Clock, dir: Dir, kept: Option<&Kept>, gap: Duration) -> std::io::Result<Arc<Keeper>> {
        let row =
            |store: &KeptStore| (store.host.clone(), Row { store: Arc::new(store.clone()), word: None });
        let state = State {
            seq: kept.map_or(0, |kept| kept.seq),
            confirmed_ms: kept.map_or(0, |kept| kept.confirmed_ms),
            rows: kept.into_iter().flat_map(|kept| kept.stores.iter().map(row)).collect(),
            pace: Pace::new(Span(gap.as_nanos() as i64)),
            saves: 0,
            over: false,
        };
        let keeper =
            Arc::new(Keeper { clock, state: Mutex::new(state), news: Condvar::new(), ended: Condvar::new() });
        let writing = keeper.clone();
        thread::Builder::new().name("keeper".into()).spawn(move || writing.write(dir))?;
        Ok(keeper)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    pub fn set_gap(&self, gap: Duration) {
        self.lock().pace.set_gap(Span(gap.as_nanos() as i64));
    }

    /// Discovery has given a list, or changes to it. An empty one is not kept: it would leave the next start
    /// nothing.
    pub fn list(&self, seq: i64, whole: bool, hosts: &[Host]) {
        if whole && hosts.is_empty() {
            return;
        }
        let mut state = self.lock();
        (state.seq, state.confirmed_ms) = (seq, wall_ms());
        let mut before = if whole { std::mem::take(&mut state.rows) } else { BTreeMap::new() };
        for host in hosts {
            if host.health == Health::Deleted {
                state.rows.remove(&host.host);
                continue;
            }
            let known = before.remove(&host.host).or_else(|| state.rows.remove(&host.host));
            let word = known.as_ref().and_then(|row| row.word);
            // What the store said of itself counts as long as it is the same one at the same address.
            let said = known.filter(|row| row.store.dial == host.dial).and_then(|row| row.store.said);
            let store = Arc::new(KeptStore { said, ..KeptStore::from(host) });
            state.rows.insert(host.host.clone(), Row { store, word });
        }
        state.pace.changed(self.clock.now());
        drop(state);
        self.news.notify_one();
    }

    /// Discovery stands by the list as it is.
    pub fn confirmed(&self) {
        let mut state = self.lock();
        if !state.rows.is_empty() {
            state.confirmed_ms = wall_ms();
            state.pace.confirmed();
            drop(state);
            self.news.notify_one();
        }
    }

    /// What a store has said of itself.
    pub fn heard(&self, host: &str, word: Word) {
        let mut state = self.lock();
        let Some(row) = state.rows.get_mut(host) else { return };
        if !is_news(row.word, word) {
            return;
        }
        row.word = Some(word);
        let said = Said {
            primary: word.role == Some(routing::iface::Role::Primary),
            position_ms: word.position.map(|at| at.0 / 1_000_000),
            timeline: word.timeline,
            at_ms: wall_ms(),
        };
        row.store = Arc::new(KeptStore { said: Some(said), ..KeptStore::clone(&row.store) });
        state.pace.changed(self.clock.now());
        drop(state);
        self.news.notify_one();
    }

    fn write(&self, mut dir: Dir) {
        let mut failing = false;
        let mut state = self.lock();
        loop {
            let now = self.clock.now();
            match state.pace.due() {
                Some(due) if due <= now || state.over => {}
                _ if state.over => return self.ended.notify_all(),
                due => {
                    let wait = due.map_or(Duration::from_secs(3600), |due| duration(due - now));
                    let waited = self.news.wait_timeout(state, wait);
                    state = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
                    continue;
                }
            }
            state.pace.begins(now);
            let (seq, confirmed_ms) = (state.seq, state.confirmed_ms);
            let rows: Vec<Arc<KeptStore>> = state.rows.values().map(|row| row.store.clone()).collect();
            drop(state);
            let stores = rows.iter().map(|row| KeptStore::clone(row)).collect();
            let mut kept = Kept { generation: 0, seq, confirmed_ms, saved_ms: wall_ms(), stores };
            let saved = dir.save(&mut kept);
            say(&saved, &mut failing);
            state = self.lock();
            state.pace.ended(self.clock.now(), saved.is_ok());
            state.saves += 1;
            if state.over {
                return self.ended.notify_all();
            }
        }
    }

    /// Writes what is still to be written, for so long at most: the process is about to end.
    pub fn finish(&self, within: Duration) {
        let mut state = self.lock();
        state.over = true;
        self.news.notify_all();
        if state.pace.due().is_some() {
            drop(self.ended.wait_timeout(state, within));
        }
    }
}

/// One line when saving begins to fail, and one when it works again.
fn say(saved: &Result<usize, Fault>, failing: &mut bool) {
    match saved {
        Err(why) if !*failing => log!(WARN; "the list is not kept: {why}; service goes on"),
        Ok(bytes) if *failing => log!(INFO; "the list is kept again, {bytes} bytes"),
        _ => {}
    }
    *failing = saved.is_err();
}
