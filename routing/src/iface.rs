//! What the decisions are told and what they ask for, as plain types.
//!
//! A host maps its own ids to [`RpcId`], [`StoreIx`] and [`GroupIx`] before it calls, and its own times to
//! [`Moment`] and [`Span`]. No decision stands here.

use crate::time::{Moment, Span};

/// A number the host gives each RPC it takes, in rising order and never twice.
pub type RpcId = u64;
/// The host's dense index of a store; the same store keeps it for the life of an instance.
pub type StoreIx = usize;
/// The host's dense index of a group.
pub type GroupIx = usize;
/// Index into [`Facts::methods`].
pub type MethodIx = usize;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Only the primary takes it.
    Write,
    /// A read that must see all that was committed before it arrived.
    Current,
    /// A read that must see its session's own writes.
    Session,
    /// A read of data no older than this when it is sent.
    Bounded(Span),
    /// A read that any member may answer.
    Any,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Idempotent,
    /// Repeats are dropped for `memory` from the first sending that may have run, by all stores or by the
    /// group alone.
    Tokened {
        everywhere: bool,
        memory: Span,
    },
    NonIdempotent,
}

#[derive(Clone, Debug)]
pub struct Method {
    pub need: Need,
    pub effect: Effect,
    pub soft_deadline: Span,
    pub deadline: Span,
    pub utility: f64,
    /// The part of its utility that an answer after the soft deadline still has.
    pub late_share: f64,
}

/// What a store does with a read for which it lags too far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lagging {
    AnswersAnyway,
    Refuses,
    Holds(Span),
}

/// What an instance is told once, at its start.
#[derive(Clone, Debug)]
pub struct Facts {
    pub methods: Vec<Method>,
    pub instances: u32,
    pub zone: usize,
    pub tick: Span,
    pub lagging: Lagging,
    /// Session reads carry their mark; otherwise the router remembers the writes it saw answered.
    pub marks_carried: bool,
    /// Lists come only when asked for; so long without asking counts as told.
    pub ask_within: Option<Span>,
    pub max_call_outs: u32,
    pub may_withdraw: bool,
    pub may_probe: bool,
    /// The longest wait that a client told to come back later will honour, where one may be told.
    pub max_come_back: Option<Span>,
    pub cold_from: f64,
    pub cold_for: Span,
    pub fall_multiple: f64,
    pub fall_window: Span,
    /// Only a listed drain binds: a store that is merely gone may still be sent to.
    pub gone_stays_open: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    Open,
    Draining,
    Gone,
}

#[derive(Clone, Debug)]
pub struct Entry {
    pub store: StoreIx,
    pub group: GroupIx,
    pub zone: usize,
    pub standing: Standing,
    pub primary: bool,
    /// When its process last started, where that is not long past.
    pub started: Option<Moment>,
    /// `started` is the latest it can be, since nobody could be asked; a later word of the list goes before
    /// it.
    pub presumed: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Primary,
    Replica,
}

/// What an answer or a probe tells of its store. Any part may be missing, old or wrong.
#[derive(Clone, Copy, Debug, Default)]
pub struct Told {
    pub position: Option<Moment>,
    pub role: Option<Role>,
    /// The part of its cores that is busy.
    pub load: Option<f64>,
}

/// Which member of a group the decisions may take for its primary. A host that starts from a list of unknown
/// worth holds it back until one has proved itself; without such a host it is always `Free`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Clearance {
    /// Whoever has the latest claim.
    #[default]
    Free,
    /// Nobody.
    Barred,
    /// This one alone, as long as it claims to be.
    Only(StoreIx),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Ok,
    /// The store answered with an error; it may have run.
    Errored,
    /// Turned away unread: full or draining.
    Full,
    TimedOut,
    Unreachable,
    /// The connection broke while it was out.
    Broken,
    Withdrawn,
    /// Never left.
    Moot,
    /// Turned away untouched: not the primary, or too far behind.
    Lagged,
}

impl Outcome {
    pub fn proves_it_never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Unreachable | Outcome::Moot | Outcome::Lagged)
    }
}

/// An RPC that a client has handed to this instance.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub rpc: RpcId,
    pub method: MethodIx,
    pub group: GroupIx,
    pub session: Option<u64>,
    /// How long before the arrival its session's last write was committed, where that is carried.
    pub last_write: Option<Span>,
    /// What its session has seen: a read must show this much, whatever its method.
    pub seen: Option<Moment>,
    /// When it came to the host: what an answer earns counts from then.
    pub came: Moment,
    /// When the client gives this try up.
    pub deadline: Moment,
    pub repeat: bool,
}

/// How a call-out ended.
#[derive(Clone, Debug)]
pub struct End {
    pub rpc: RpcId,
    pub call_out: u32,
    pub store: StoreIx,
    pub outcome: Outcome,
    pub elapsed: Span,
    /// The RPC needs no answer any more.
    pub closed: bool,
    /// Where it was a write, the session that it was made for.
    pub wrote: Option<u64>,
    /// What the answer itself says.
    pub note: Told,
    /// What a report that came with it says, as old as that is.
    pub report: Told,
}

#[derive(Clone, Debug)]
pub enum Event {
    /// Changes to the list, or all of it.
    List {
        whole: bool,
        entries: Vec<Entry>,
    },
    /// Who may be taken for a group's primary from now on.
    Cleared {
        group: GroupIx,
        clearance: Clearance,
    },
    /// A call to the list failed, or its watch broke off.
    ListFailed,
    Arrived(Arrival),
    /// The answer has begun; from here on it is the client's.
    Streaming {
        rpc: RpcId,
    },
    Ended(End),
    Gone {
        rpc: RpcId,
    },
    Timer {
        tag: u64,
    },
    Probed {
        store: StoreIx,
        outcome: Outcome,
        elapsed: Span,
        report: Told,
    },
    Peer {
        from: u32,
        bytes: Vec<u8>,
    },
}

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    Send { rpc: RpcId, store: StoreIx, time_out: Span },
    PushBack { rpc: RpcId, come_back: Option<Span> },
    Abort { rpc: RpcId },
    Withdraw { rpc: RpcId, call_out: u32 },
    Remind { tag: u64, at: Moment },
    Probe { store: StoreIx },
    Watch,
    FetchList,
    Remark(String),
}
