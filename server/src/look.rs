//! What the owner shows of itself to whoever looks after the front: open RPCs and stores, as they stand.

use crate::turns::TurnsLook;
use routing::choice::StoreLook;
use routing::iface::MethodIx;
use routing::time::Moment;
use std::net::SocketAddr;
use std::sync::Arc;

/// At the most so many RPCs are shown, the oldest.
pub const MOST_RPCS: usize = 200;
/// And so many of the clients with most.
pub const MOST_CLIENTS: usize = 20;

#[derive(Debug)]
pub struct RpcRow {
    pub id: Arc<str>,
    pub method: MethodIx,
    pub group: i64,
    pub came: Moment,
    pub call_outs: u32,
    /// The store that has it, and since when; none: it is held.
    pub out: Option<(String, Moment)>,
    /// Its client has its answer, or is gone, and its last call-out has not ended.
    pub closed: bool,
}

#[derive(Debug)]
pub struct StoreRow {
    pub name: String,
    pub addr: Option<SocketAddr>,
    pub look: Option<StoreLook>,
}

#[derive(Debug)]
pub struct Look {
    pub now: Moment,
    pub open: usize,
    /// The oldest of them.
    pub rpcs: Vec<RpcRow>,
    pub stores: Vec<StoreRow>,
    pub groups: usize,
    pub turns: Option<TurnsLook>,
}
