//! The turnstile at work, where operators limit what the front works on at once: RPCs that wait their turn
//! are parked here with all that they came with.

use crate::admit::{Admission, Query};
use crate::mailbox::{Answer, Ticket};
use admission::turnstile::{Ask, RpcId, Turn, Turns, Turnstile, Why};
use admission::Class;
use routing::time::{Moment, Span};
use std::collections::HashMap;

/// An RPC on its way to the decisions.
pub struct Coming {
    pub admission: Admission,
    pub query: Query,
    pub ticket: Ticket,
    pub came: Moment,
}

/// How operators have set it.
#[derive(Clone)]
pub struct Set {
    pub turns: Turns,
    pub classes: Vec<Class>,
}

pub struct Turning {
    turnstile: Turnstile,
    parked: HashMap<RpcId, Coming>,
    may_tell: bool,
    done: Vec<Turn>,
}

impl Turning {
    /// `longest`: clients may be told to stay away for so long at most, where they may be told at all.
    pub fn new(set: Set, longest: Option<Span>, seed: u64) -> Turning {
        let turnstile = Turnstile::new(set.turns, set.classes, longest.unwrap_or(Span::ZERO), seed);
        Turning { turnstile, parked: HashMap::new(), may_tell: longest.is_some(), done: Vec::new() }
    }

    /// No more limits: all that wait are let through.
    pub fn end(self) -> Vec<Coming> {
        let mut all: Vec<Coming> = self.parked.into_values().collect();
        all.sort_by_key(|coming| coming.ticket.rpc);
        all
    }

    pub fn set(&mut self, now: Moment, set: Set, through: &mut Vec<Coming>) {
        self.turnstile.set(now, set.turns, set.classes, &mut self.done);
        self.settle(through);
    }

    /// An RPC has come; those that may be worked on from now on are let through.
    pub fn arrive(&mut self, now: Moment, coming: Coming, through: &mut Vec<Coming>) {
        let Admission { client, repeat, deadline, .. } = &coming.admission;
        // Whoever is not told apart from others is let through as before.
        let Some(client) = client.clone() else { return through.push(coming) };
        let rpc = coming.ticket.rpc;
        let ask = Ask { rpc, client, repeat: *repeat, deadline: *deadline };
        self.parked.insert(rpc, coming);
        self.turnstile.arrive(now, ask, &mut self.done);
        self.settle(through);
    }

    /// Nothing more can come of an RPC.
    pub fn leave(&mut self, now: Moment, rpc: RpcId, through: &mut Vec<Coming>) {
        self.turnstile.leave(now, rpc, &mut self.done);
        self.settle(through);
    }

    /// The client of one that waits is gone; false where it does not wait here.
    pub fn gone(&mut self, now: Moment, rpc: RpcId, through: &mut Vec<Coming>) -> bool {
        let Some(coming) = self.parked.remove(&rpc) else { return false };
        coming.ticket.void();
        self.leave(now, rpc, through);
        true
    }

    pub fn tick(&mut self, now: Moment, through: &mut Vec<Coming>) {
        self.turnstile.tick(now, &mut self.done);
        self.settle(through);
    }

    pub fn due(&self) -> Option<Moment> {
        self.turnstile.due()
    }

    fn settle(&mut self, through: &mut Vec<Coming>) {
        for turn in std::mem::take(&mut self.done) {
            match turn {
                Turn::Pass(rpc, waited) => {
                    metrics::histogram!("gingerwick_turn_seconds").record(waited.secs());
                    through.extend(self.parked.remove(&rpc));
                }
                Turn::Shed(shed) => {
                    let (class, why) = (shed.class.to_string(), shed.why.word());
                    metrics::counter!("gingerwick_rpcs_shed_total", "class" => class, "why" => why)
                        .increment(1);
                    let come_back = self.may_tell.then_some(shed.come_back);
                    if let Some(coming) = self.parked.remove(&shed.rpc) {
                        coming.ticket.answer(Answer::PushBack(come_back));
                    }
                }
            }
        }
        if self.parked.capacity() > 1_024 && self.parked.len() < self.parked.capacity() / 4 {
            self.parked.shrink_to(self.parked.len() * 2);
        }
    }

    pub fn look(&self, top: usize) -> TurnsLook {
        let turnstile = &self.turnstile;
        let shed = turnstile.shed().map(|(class, why, many)| (class.to_string(), why, many));
        let clients = turnstile.top(top).into_iter().map(|(client, under_way, waiting)| {
            let from = std::net::IpAddr::from(client.source);
            (client.class.to_string(), from, under_way, waiting)
        });
        TurnsLook {
            turns: turnstile.turns(),
            classes: turnstile.classes().map(|(name, here, wait)| (name.to_string(), here, wait)).collect(),
            shed: shed.collect(),
            top: clients.collect(),
            parked: self
                .parked
                .values()
                .map(|coming| (coming.admission.id.to_string(), coming.came))
                .collect(),
        }
    }
}

/// What waits and what was turned away, for whoever looks after the front.
#[derive(Debug)]
pub struct TurnsLook {
    pub turns: Turns,
    /// Class, RPCs worked on, RPCs that wait.
    pub classes: Vec<(String, usize, usize)>,
    pub shed: Vec<(String, Why, u64)>,
    /// Class, address, RPCs worked on, RPCs that wait.
    pub top: Vec<(String, std::net::IpAddr, usize, usize)>,
    /// Those that wait, by id, and when they came.
    pub parked: Vec<(String, Moment)>,
}
