//! Discovery: the list as it was known at the start, then a watch that is taken up again whenever it ends.

use crate::bell::Bell;
use crate::clock::Alarms;
use crate::hosts::Hosts;
use crate::keeper::Keeper;
use crate::ledger::{Ledger, Share};
use crate::log;
use crate::news::News;
use crate::wire::{Stop, Wire};
use may::sync::mpsc::Sender;
use recovery::lives::{Lives, Offer, Verdict, LONGEST_ANEW};
use recovery::watch::{Watching, OPENS_WITHIN};
use routing::rng::Mwc;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

/// More than any list takes.
const MOST_LIST: usize = 4 << 20;

/// Where discovery is asked. It may be turned elsewhere at any time, whatever the watch waits for just then.
pub struct Whereto(Mutex<(SocketAddr, Arc<Bell>)>);

impl Whereto {
    pub fn new(addr: SocketAddr) -> Whereto {
        Whereto(Mutex::new((addr, Arc::default())))
    }

    fn lock(&self) -> MutexGuard<'_, (SocketAddr, Arc<Bell>)> {
        self.0.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// The address, and the bell that rings once it is another.
    fn now(&self) -> (SocketAddr, Arc<Bell>) {
        self.lock().clone()
    }

    /// False where it is the address already.
    pub fn turn(&self, addr: SocketAddr) -> bool {
        let mut now = self.lock();
        if now.0 == addr {
            return false;
        }
        let (_, bell) = std::mem::replace(&mut *now, (addr, Arc::default()));
        drop(now);
        bell.ring();
        true
    }
}

pub struct Watch {
    pub whereto: Arc<Whereto>,
    pub alarms: Arc<Alarms>,
    pub ledger: Arc<Ledger>,
    pub owner: Sender<News>,
    pub lives: Lives,
    pub watching: Watching,
    /// Nothing that discovery said since this start is known: the whole list is fetched before it is watched.
    pub anew: bool,
    pub keeper: Option<Arc<Keeper>>,
    pub rng: Mwc,
}

impl Watch {
    pub fn run(mut self) {
        loop {
            let before = self.lives.seq();
            let (addr, turned) = self.whereto.now();
            let why = self.watch(addr, &turned).unwrap_or_else(|why| why);
            if before != self.lives.seq() || turned.is_rung() {
                self.watching.anew();
            }
            if turned.is_rung() {
                continue;
            }
            log!(WARN; "the watch on discovery at {addr} ended: {why}");
            let _ = self.owner.send(News::ListFailed);
            let now = self.alarms.now();
            if let Some(again) = self.lives.look_again().filter(|again| *again > now) {
                self.alarms.pause_unless(again - now, &turned);
                continue;
            }
            let (chance, most) = (self.rng.below(32), self.anew.then_some(LONGEST_ANEW));
            self.alarms.pause_unless(self.watching.ended(chance, most), &turned);
        }
    }

    /// One watch from its connection to its end; says why it ended.
    fn watch(&mut self, addr: SocketAddr, turned: &Bell) -> Result<&'static str, &'static str> {
        let entry = self.ledger.enter(Share::Discovery).ok_or("no descriptor is free")?;
        let opens_by = self.alarms.now() + OPENS_WITHIN;
        let mut wire = Wire::connect(&self.alarms, &addr, opens_by, entry).map_err(|_| "no connection")?;
        // A list from before this start may stem from another life of discovery: changes since it prove
        // nothing.
        let what = if self.anew { String::new() } else { format!("?watch=1&after={}", self.lives.seq()) };
        let request = format!(
            "GET /discovery/hosts{what} HTTP/1.1\r\nHost: {addr}\r\nAccept: application/json\r\n\r\n"
        );
        let mut by = self.watching.asked(self.alarms.now());
        wire.listen_to(by, turned);
        wire.write(&[request.as_bytes()], by, turned).map_err(|_| "the request was not taken")?;
        let mut stream = Stream::default();
        loop {
            wire.listen_to(by, turned);
            wire.read(by, turned).map_err(|stop| match stop {
                Stop::Late => "it fell silent",
                Stop::Broken => "it was closed or reset",
                Stop::Rung => "it is looked for elsewhere",
            })?;
            stream.take(&wire.buffer)?;
            wire.buffer.clear();
            if stream.has_begun() {
                by = self.watching.begun();
            }
            while let Some(word) = stream.word()? {
                by = self.watching.heard(self.alarms.now());
                self.word(&word)?;
            }
            if stream.ended {
                return Ok("its answer is complete");
            }
        }
    }

    fn word(&mut self, word: &Word) -> Result<(), &'static str> {
        let Word::List(list) = word else {
            if let Some(keeper) = self.keeper.as_ref().filter(|_| !self.anew) {
                keeper.confirmed();
            }
            return Ok(());
        };
        let before = self.lives.seq();
        let hosts: Hosts = match serde_json::from_slice(list) {
            Ok(hosts) => hosts,
            Err(why) => {
                log!(WARN; "a list of discovery can't be read: {why}");
                return Err("a list could not be read");
            }
        };
        let offer = Offer { seq: hosts.seq, whole: hosts.whole, empty: hosts.hosts.is_empty() };
        match self.lives.offer(self.alarms.now(), offer) {
            Verdict::Take => {}
            Verdict::Pass if offer.whole && offer.empty => return Err("its list is empty, ours stays"),
            Verdict::Pass => return Ok(()),
            Verdict::Suspect => return Err("its list is older than ours"),
        }
        if self.lives.seq() < before {
            let seq = offer.seq;
            log!(INFO; "discovery has begun anew: its list, version {seq}, takes the place of {before}");
        }
        self.anew &= !offer.whole;
        if let Some(keeper) = &self.keeper {
            keeper.list(offer.seq, offer.whole, &hosts.hosts);
        }
        let _ = self.owner.send(News::List { whole: hosts.whole, hosts: hosts.hosts });
        Ok(())
    }
}

/// What a watch has to say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Word {
    /// An empty line: nothing has changed.
    Still,
    /// The text of one object, whatever white space stands in it.
    List(Vec<u8>),
}

/// How far the text has been looked through for the end of the object that has begun.
#[derive(Default)]
struct Scan {
    at: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
    /// An object has ended on this line: the line's end says nothing more.
    behind: bool,
}

/// An HTTP answer taken in pieces split anywhere: its head, its chunks, their words.
#[derive(Default)]
pub struct Stream {
    raw: Vec<u8>,
    text: Vec<u8>,
    /// The words up to here were given out.
    told: usize,
    scan: Scan,
    headed: bool,
    chunked: bool,
    /// What of the present chunk, or of a body of known length, is still to come.
    left: usize,
    /// The line end behind a chunk is still to come.
    tail: bool,
    pub ended: bool,
}

impl Stream {
    pub fn take(&mut self, bytes: &[u8]) -> Result<(), &'static str> {
        self.raw.extend_from_slice(bytes);
        if !self.headed && !self.head()? {
            return Ok(());
        }
        let mut at = 0;
        let parsed = self.chunks(&mut at);
        self.raw.drain(..at);
        parsed?;
        if self.text.len() > MOST_LIST || (self.left == 0 && self.raw.len() > MOST_LIST) {
            return Err("a list has no end");
        }
        Ok(())
    }

    /// Parses from `at` on. What is done with is taken off once, by the caller: taken off chunk by chunk, a
    /// flood of small ones would cost the worker their square.
    fn chunks(&mut self, at: &mut usize) -> Result<(), &'static str> {
        loop {
            if self.left > 0 {
                let part = self.left.min(self.raw.len() - *at);
                self.text.extend_from_slice(&self.raw[*at..*at + part]);
                *at += part;
                self.left -= part;
                if self.left > 0 || !self.chunked {
                    self.ended = self.left == 0;
                    return Ok(());
                }
                self.tail = true;
            }
            if !self.chunked || self.ended {
                return Ok(());
            }
            if self.tail {
                match self.raw[*at..].first_chunk::<2>() {
                    None => return Ok(()),
                    Some(b"\r\n") => (*at, self.tail) = (*at + 2, false),
                    Some(_) => return Err("a chunk has no end"),
                }
            }
            match httparse::parse_chunk_size(&self.raw[*at..]) {
                Ok(httparse::Status::Complete((used, size))) => {
                    *at += used;
                    self.left = usize::try_from(size).unwrap_or(usize::MAX);
                    self.ended = size == 0;
                }
                Ok(httparse::Status::Partial) => return Ok(()),
                Err(_) => return Err("a chunk's size can't be read"),
            }
        }
    }

    fn head(&mut self) -> Result<bool, &'static str> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut response = httparse::Response::new(&mut headers);
        let used = match response.parse(&self.raw) {
            Ok(httparse::Status::Complete(used)) => used,
            Ok(httparse::Status::Partial) if self.raw.len() < 16 << 10 => return Ok(false),
            _ => return Err("the answer's head can't be read"),
        };
        if response.code != Some(200) {
            return Err("the answer is not 200");
        }
        let value = |name: &str| {
            let header = response.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(header.value).ok()
        };
        self.chunked =
            value("transfer-encoding").is_some_and(|way| way.to_ascii_lowercase().contains("chunked"));
        if !self.chunked {
            let length = value("content-length").and_then(|length| length.trim().parse().ok());
            self.left = length.unwrap_or(usize::MAX);
            self.ended = self.left == 0;
        }
        self.headed = true;
        self.raw.drain(..used);
        Ok(true)
    }

    pub fn has_begun(&self) -> bool {
        self.headed
    }

    /// The next whole word.
    pub fn word(&mut self) -> Result<Option<Word>, &'static str> {
        while let Some(&byte) = self.text.get(self.scan.at) {
            self.scan.at += 1;
            match byte {
                _ if self.scan.escaped => self.scan.escaped = false,
                b'\\' if self.scan.quoted => self.scan.escaped = true,
                b'"' if self.scan.depth > 0 => self.scan.quoted = !self.scan.quoted,
                _ if self.scan.quoted => {}
                b'{' | b'[' if self.scan.depth > 0 || byte == b'{' => self.scan.depth += 1,
                b'}' | b']' if self.scan.depth > 1 => self.scan.depth -= 1,
                b'}' | b']' if self.scan.depth == 1 => {
                    (self.scan.depth, self.scan.behind) = (0, true);
                    let object = self.text[self.told..self.scan.at].to_vec();
                    self.told = self.scan.at;
                    return Ok(Some(Word::List(object)));
                }
                _ if self.scan.depth > 0 => {}
                b'\n' => {
                    self.told = self.scan.at;
                    if !std::mem::take(&mut self.scan.behind) {
                        return Ok(Some(Word::Still));
                    }
                }
                b' ' | b'\t' | b'\r' => self.told = self.scan.at,
                _ => return Err("what it says is no list"),
            }
        }
        self.text.drain(..self.told);
        self.scan.at -= std::mem::take(&mut self.told);
        if self.ended && self.scan.depth > 0 {
            return Err("it ended within a list");
        }
        Ok(None)
    }
}
