//! What comes to the router's owner, and the call-outs it has made: the words that all coroutines share.

use crate::admit::{Admission, Query};
use crate::bell::Bell;
use crate::hosts::Host;
use crate::look::Look;
use crate::mailbox::Ticket;
use crate::pool::NoWire;
use crate::turns::Set;
use crate::writes::{Filed, Filing};
use endpoint_cache::Kept;
use may::sync::mpsc::Sender;
use routing::iface::{Outcome, RpcId, StoreIx, Told};
use routing::time::{Moment, Span};
use sessions::epochs::Epoch;
use std::net::SocketAddr;
use std::sync::{mpsc, Arc};
use write_journal::fate::Origin;

pub enum News {
    Arrived(Admission, Query, Ticket),
    Gone {
        rpc: RpcId,
    },
    /// Asked right before a call-out is written.
    Confirm {
        rpc: RpcId,
        call_out: u32,
        store: StoreIx,
        reply: Sender<bool>,
    },
    /// A store has told of its epoch, before the RPC's call-out leaves.
    Epoch {
        rpc: RpcId,
        epoch: Epoch,
    },
    Ended(End),
    Probed {
        store: StoreIx,
        outcome: Outcome,
        elapsed: Span,
        report: Told,
    },
    List {
        whole: bool,
        hosts: Vec<Host>,
    },
    ListFailed,
    /// A client asks what became of a write.
    Fate {
        id: String,
        origin: Option<Origin>,
        ticket: Ticket,
    },
    /// A list kept from before this start, with the version that discovery gave it.
    Kept(Kept),
    /// Answer to a question of recovery's.
    Asked {
        store: StoreIx,
        asked: Moment,
        answer: Result<Heard, NoWire>,
    },
    /// Other limits on what is worked on at once; none: there are none any more.
    Turns(Option<Set>),
    /// Somebody looks after the front.
    Look {
        reply: mpsc::Sender<Look>,
    },
    /// The alarm set for then has rung.
    Tick {
        at: Moment,
    },
}

/// What a store said when it was asked.
#[derive(Clone, Debug)]
pub struct Heard {
    pub outcome: Outcome,
    pub told: Told,
    /// Its name and timeline as it worded them, where it was asked for them.
    pub name: Option<String>,
}

pub struct CallOut {
    pub rpc: RpcId,
    pub number: u32,
    pub store: StoreIx,
    pub addr: SocketAddr,
    pub sent: Moment,
    /// The front waits for its outcome until then.
    pub by: Moment,
    pub query: Arc<Query>,
    pub bell: Arc<Bell>,
    /// What must be on record before it leaves.
    pub entry: Option<Filing>,
    /// It must stand on a log that has what its session saw: the store tells of its epoch first.
    pub follows: bool,
}

/// What became of a call-out.
pub struct End {
    pub rpc: RpcId,
    pub number: u32,
    pub store: StoreIx,
    pub sent: Moment,
    pub outcome: Outcome,
    pub note: Told,
    pub report: Told,
    pub epoch: Option<Epoch>,
    pub value: Vec<u8>,
    /// What the journal said, where it was asked, whether or not the call-out left then.
    pub word: Option<Filed>,
}

impl End {
    /// A call-out that never left.
    pub fn moot(rpc: RpcId, number: u32, store: StoreIx, sent: Moment) -> End {
        let (note, report) = (Told::default(), Told::default());
        let (epoch, value, word) = Default::default();
        let outcome = Outcome::Moot;
        End { rpc, number, store, sent, outcome, note, report, epoch, value, word }
    }
}
