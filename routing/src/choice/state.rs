//! What is remembered of RPCs, of their call-outs, of stores and of groups. Nothing is decided here.

use super::State;
use crate::iface::{Clearance, GroupIx, MethodIx, RpcId, StoreIx};
use crate::time::{Moment, Span};
use std::collections::BTreeSet;

#[derive(Default)]
pub struct Rpc {
    pub state: State,
    pub method: MethodIx,
    pub group: GroupIx,
    pub arrived: Moment,
    /// After this an answer earns nothing.
    pub worth_by: Moment,
    pub answer_by: Moment,
    /// The position that a read asks for whatever the time: its arrival, what its session wrote or saw.
    pub mark: Option<Moment>,
    /// The session that its write binds, where those are remembered here.
    pub writes: Option<u64>,
    /// Its session has seen something: no store checks that by itself.
    pub carries: bool,
    pub call_outs: u32,
    /// One of them has reached a store, run or not.
    pub reached: bool,
    pub out: Option<CallOut>,
    /// It may have run, and until then may be repeated.
    pub repeat_by: Option<Moment>,
    pub refusals: u32,
    /// Its client had a try before this one, most likely until nothing could be earned any more.
    pub repeat: bool,
    pub shunned: Option<StoreIx>,
}

pub struct CallOut {
    pub number: u32,
    pub sent: Moment,
    pub work: f64,
    /// An answer that takes longer than this is a sign of a queue.
    pub timely: Span,
    /// At least half of the store's room was in use.
    pub pressed: bool,
}

#[derive(Default)]
pub struct Store {
    pub group: GroupIx,
    pub zone: usize,
    pub open: bool,
    pub started: Option<Moment>,
    pub presumed: bool,
    pub position: Option<Moment>,
    /// When its position was last told, whatever it said.
    pub told: Moment,
    /// How busy it last said it was, and when.
    pub load: Option<(f64, Moment)>,
    pub claims: Option<Moment>,
    pub denied: Moment,
    pub in_flight: u32,
    pub answered: Moment,
    pub failures: u32,
    pub rest_until: Moment,
    pub failed: Moment,
    pub probe_out: bool,
    pub probed: Moment,
    /// Our call-outs that it may hold; under one a part of the time: many fronts with one each bury it.
    pub room: f64,
    pub room_cut: Moment,
    /// Our work at it when the last call-out was sent, in seconds.
    pub owing: f64,
    pub sent: Moment,
    pub done: f64,
    pub done_at: Moment,
}

#[derive(Default)]
pub struct Group {
    pub members: Vec<StoreIx>,
    pub held: Vec<BTreeSet<RpcId>>,
    pub primary: Option<StoreIx>,
    pub clearance: Clearance,
    /// Probes that its own RPCs have paid for.
    pub credit: f64,
}
