//! What the decisions believe of a store, for whoever looks after the front. Nothing is decided here.

use super::Router;
use crate::iface::StoreIx;
use crate::time::{Moment, Span};

/// One store as the decisions see it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StoreLook {
    /// It may be sent to.
    pub open: bool,
    /// Its group takes it for the primary.
    pub primary: bool,
    /// Our call-outs there.
    pub in_flight: u32,
    /// How many of ours it may hold; under one a part of the time.
    pub room: f64,
    /// How long it still rests after what it failed in.
    pub rests: Option<Span>,
    /// How far it was behind when it last told.
    pub behind: Option<Span>,
    /// How long ago it last told of its position, and answered.
    pub told: Option<Span>,
    pub answered: Option<Span>,
    /// The part of its cores that it last said is busy.
    pub load: Option<f64>,
    /// It has started lately and can do this part of its work.
    pub warmth: Option<f64>,
}

impl Router {
    /// Sessions whose marks are kept.
    pub fn remembered(&self) -> usize {
        self.sessions.len()
    }

    /// None where no list has named it.
    pub fn look(&self, now: Moment, ix: StoreIx) -> Option<StoreLook> {
        let store = self.stores.get(ix)?;
        let ago = |at: Moment| (at > Moment::DAWN).then(|| now - at);
        Some(StoreLook {
            open: store.open,
            primary: self.groups.get(store.group).is_some_and(|group| group.primary == Some(ix)),
            in_flight: store.in_flight,
            room: store.room,
            rests: (store.rest_until > now).then(|| store.rest_until - now),
            behind: store.position.map(|at| store.told - at),
            told: ago(store.told),
            answered: ago(store.answered),
            load: store.load.map(|(load, _)| load),
            warmth: self.warmth(store),
        })
    }
}
