//! The decisions on connections. A table of reasons to turn one away, tried from above, and what is held by
//! whom.

use crate::class::{check, of, Class, Fault, OTHERS};
use crate::source::{Prefixes, Source, Sources};
use crate::spread::Spread;
use crate::turnstile::Client;
use routing::time::{Moment, Span};
use std::collections::BTreeMap;
use std::net::IpAddr;
use std::sync::Arc;

/// Why a connection is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// Its source comes faster than it may.
    Rate,
    /// Its source holds as many as it may.
    Each,
    /// Its class holds as many as it may.
    Most,
    /// What is free is kept for others.
    Room,
    /// Too many have not said yet who they are.
    Lobby,
}

impl Why {
    pub fn words(self) -> &'static str {
        match self {
            Why::Rate => "connections come too fast from this address",
            Why::Each => "this address holds as many connections as it may",
            Why::Most => "clients of this class hold as many connections as they may",
            Why::Room => "the connections that are free are kept for others",
            Why::Lobby => "too many connections have not said yet who they are",
        }
    }

    pub fn word(self) -> &'static str {
        match self {
            Why::Rate => "rate",
            Why::Each => "each",
            Why::Most => "most",
            Why::Room => "room",
            Why::Lobby => "lobby",
        }
    }

    /// Whether a connection of the class that has nothing to do had better make way.
    pub fn makes_way(self) -> bool {
        matches!(self, Why::Most | Why::Room)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    pub why: Why,
    pub class: Arc<str>,
    /// When to come back; those who are turned away at one time are told times that lie apart.
    pub come_back: Span,
}

/// A connection that was let in. It goes back by [`Admission::leave`], once.
#[derive(Debug, PartialEq, Eq)]
pub struct Pass {
    pub class: Arc<str>,
    source: Source,
}

impl Pass {
    /// Whom its RPCs count for.
    pub fn client(&self) -> Client {
        Client { class: self.class.clone(), source: self.source }
    }
}

/// What one decision is made from.
struct Case<'a> {
    class: &'a Class,
    held: usize,
    by_source: usize,
    /// Until its source may come by its rate.
    wait: Span,
    /// All connections that are held, and those that are kept for other classes and not held by them.
    all: usize,
    kept: usize,
    room: usize,
}

type Row = (Why, fn(&Case) -> bool);

/// The first row that fits turns the connection away; none lets it in.
const TABLE: &[Row] = &[
    (Why::Rate, |case| case.wait > Span::ZERO),
    (Why::Each, |case| case.class.each.is_some_and(|each| case.by_source >= each)),
    (Why::Most, |case| case.class.most.is_some_and(|most| case.held >= most)),
    // What is kept for a class it may have as long as there is any.
    (Why::Room, |case| case.held < case.class.keep && case.all >= case.room),
    (Why::Room, |case| case.held >= case.class.keep && case.all + case.kept >= case.room),
];

pub struct Admission {
    classes: Vec<Class>,
    prefixes: Prefixes,
    room: usize,
    held: BTreeMap<Arc<str>, usize>,
    all: usize,
    sources: Sources,
    /// By class and reason, since the start.
    refused: BTreeMap<(Arc<str>, Why), u64>,
    spread: Spread,
}

impl Admission {
    /// For a front with room for so many connections, which may tell clients to stay away for `longest` at most.
    ///
    /// # Errors
    /// All that is wrong with the classes among themselves.
    pub fn new(
        classes: Vec<Class>,
        prefixes: Prefixes,
        (room, longest): (usize, Span),
        seed: u64,
    ) -> Result<Admission, Vec<Fault>> {
        let classes = whole(classes, room)?;
        let (held, sources, refused) = Default::default();
        let spread = Spread::new(room, longest, seed);
        Ok(Admission { classes, prefixes, room, held, all: 0, sources, refused, spread })
    }

    /// Takes other classes, and room for so many connections. Who holds a connection keeps it, and goes on counting for the class of that name;
    /// what is lowered below what is held only lets nobody new in.
    ///
    /// # Errors
    /// As [`Admission::new`]; all goes on as before then.
    pub fn set(&mut self, classes: Vec<Class>, prefixes: Prefixes, room: usize) -> Result<(), Vec<Fault>> {
        self.classes = whole(classes, room)?;
        self.room = room;
        if self.prefixes != prefixes {
            // Sources are others now: what they hold is counted anew from here on.
            (self.prefixes, self.sources) = (prefixes, Sources::default());
        }
        Ok(())
    }

    /// Whether who a client says that it is can matter: else it is let in by its address alone.
    pub fn asks_users(&self) -> bool {
        self.classes.iter().any(|class| !class.users.is_empty())
    }

    /// One address of a source as this one counts them.
    pub fn source(&self, from: IpAddr) -> Source {
        Source::of(from, self.prefixes)
    }

    /// A connection has come, of a client that says to be `user`, where it was asked.
    ///
    /// # Errors
    /// It is turned away.
    pub fn arrive(&mut self, now: Moment, from: IpAddr, user: Option<&str>) -> Result<Pass, Refusal> {
        self.sources.forget(now);
        let class = &self.classes[of(&self.classes, from.to_canonical(), user)];
        let source = Source::of(from, self.prefixes);
        let held = |class: &Class| self.held.get(&class.name).copied().unwrap_or(0);
        let others = self.classes.iter().filter(|other| other.name != class.name);
        let case = Case {
            class,
            held: held(class),
            by_source: self.sources.held(source),
            wait: class.rate.map_or(Span::ZERO, |rate| self.sources.wait(now, source, rate)),
            all: self.all,
            kept: others.map(|other| other.keep.saturating_sub(held(other))).sum(),
            room: self.room,
        };
        let (name, rate, wait) = (class.name.clone(), class.rate, case.wait);
        if let Some((why, _)) = TABLE.iter().find(|row| row.1(&case)) {
            return Err(self.refuse(now, *why, name, wait));
        }
        self.sources.enter(now, source, rate);
        *self.held.entry(name.clone()).or_default() += 1;
        self.all += 1;
        Ok(Pass { class: name, source })
    }

    /// A connection that has not said yet who it is must make way, or finds no place to say it.
    pub fn crowded(&mut self, now: Moment) -> Refusal {
        self.refuse(now, Why::Lobby, OTHERS.into(), Span::ZERO)
    }

    fn refuse(&mut self, now: Moment, why: Why, class: Arc<str>, wait: Span) -> Refusal {
        *self.refused.entry((class.clone(), why)).or_default() += 1;
        Refusal { why, class, come_back: self.spread.next(now, wait) }
    }

    /// A connection has ended.
    pub fn leave(&mut self, now: Moment, pass: Pass) {
        if let Some(held) = self.held.get_mut(&pass.class) {
            *held = held.saturating_sub(1);
        }
        self.all = self.all.saturating_sub(1);
        self.sources.leave(now, pass.source);
        // A class that is set no more is forgotten with its last connection.
        let (classes, class) = (&self.classes, &pass.class);
        self.held
            .retain(|name, held| *held > 0 || name != class || classes.iter().any(|set| set.name == *name));
    }

    /// The classes, with that of all others.
    pub fn classes(&self) -> &[Class] {
        &self.classes
    }

    /// Sources with most connections, at the most so many, and how many those are.
    pub fn top(&self, most: usize) -> Vec<(Source, usize)> {
        self.sources.top(most)
    }

    /// Connections held, by class.
    pub fn held(&self) -> impl Iterator<Item = (&str, usize)> {
        self.held.iter().map(|(name, held)| (&**name, *held))
    }

    /// Turned away since the start, by class and reason.
    pub fn refused(&self) -> impl Iterator<Item = (&str, Why, u64)> {
        self.refused.iter().map(|((name, why), many)| (&**name, *why, *many))
    }

    /// Sources of which anything is remembered.
    pub fn remembered(&self) -> usize {
        self.sources.len()
    }
}

/// The classes with that of all others, which has no limits where none is set.
fn whole(mut classes: Vec<Class>, room: usize) -> Result<Vec<Class>, Vec<Fault>> {
    let faults = check(&classes, room);
    if !faults.is_empty() {
        return Err(faults);
    }
    if classes.iter().all(|class| &*class.name != OTHERS) {
        classes.push(Class::named(OTHERS));
    }
    Ok(classes)
}
