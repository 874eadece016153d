//! The book of open RPCs: each stays known until it is answered and its last call-out has ended.

use routing::iface::RpcId;
use std::collections::HashMap;

struct Page<T> {
    what: T,
    call_outs: u32,
    out: u32,
    closed: bool,
}

/// What a host keeps of each RPC, given back exactly once, when nothing more can come of it.
pub struct Book<T> {
    pages: HashMap<RpcId, Page<T>>,
}

impl<T> Default for Book<T> {
    fn default() -> Self {
        Book { pages: HashMap::new() }
    }
}

impl<T> Book<T> {
    pub fn enter(&mut self, rpc: RpcId, what: T) {
        self.pages.insert(rpc, Page { what, call_outs: 0, out: 0, closed: false });
    }

    pub fn get(&self, rpc: RpcId) -> Option<&T> {
        self.pages.get(&rpc).map(|page| &page.what)
    }

    pub fn get_mut(&mut self, rpc: RpcId) -> Option<&mut T> {
        self.pages.get_mut(&rpc).map(|page| &mut page.what)
    }

    /// All that are open, or whose last call-out has not ended, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (RpcId, &T)> {
        self.pages.iter().map(|(rpc, page)| (*rpc, &page.what))
    }

    /// Whether it still owes its client an answer.
    pub fn is_open(&self, rpc: RpcId) -> bool {
        self.pages.get(&rpc).is_some_and(|page| !page.closed)
    }

    /// Books a call-out and numbers it, from 0.
    pub fn sent(&mut self, rpc: RpcId) -> u32 {
        let Some(page) = self.pages.get_mut(&rpc) else { return 0 };
        (page.out, page.call_outs) = (page.out + 1, page.call_outs + 1);
        page.call_outs - 1
    }

    /// A call-out has ended; `closed` where nothing is owed any more.
    pub fn returned(&mut self, rpc: RpcId, closed: bool) -> Option<T> {
        let page = self.pages.get_mut(&rpc)?;
        page.out = page.out.saturating_sub(1);
        page.closed |= closed;
        self.forget(rpc)
    }

    /// Answered, or its client is gone.
    pub fn close(&mut self, rpc: RpcId) -> Option<T> {
        self.pages.get_mut(&rpc)?.closed = true;
        self.forget(rpc)
    }

    fn forget(&mut self, rpc: RpcId) -> Option<T> {
        let page = self.pages.get(&rpc)?;
        if !page.closed || page.out > 0 {
            return None;
        }
        self.pages.remove(&rpc).map(|page| page.what)
    }

    pub fn len(&self) -> usize {
        self.pages.len()
    }

    pub fn is_empty(&self) -> bool {
        self.pages.is_empty()
    }
}
