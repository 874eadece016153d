//! The responses of one connection in the order of its queries, whatever order they come in.

use routing::RequestId;
use sessions::positions::GroupNumber;
use std::collections::VecDeque;

/// A request whose response has not come.
#[derive(Clone, Copy)]
pub struct PendingRequest {
    pub request: RequestId,
    pub group: GroupNumber,
}

enum Slot {
    Pending(PendingRequest),
    Ready(Vec<u8>),
}

/// The responses.
#[derive(Default)]
pub struct ResponseQueue {
    slots: VecDeque<Slot>,
}

impl ResponseQueue {
    /// A request was taken whose response will come.
    pub fn push_pending(&mut self, request: RequestId, group: GroupNumber) {
        self.slots.push_back(Slot::Pending(PendingRequest { request, group }));
    }

    /// A message was answered at once.
    pub fn push_ready(&mut self, response: Vec<u8>) {
        self.slots.push_back(Slot::Ready(response));
    }

    /// Responses that were not sent yet.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.slots.is_empty()
    }

    /// Requests whose responses have not come.
    pub fn pending(&self) -> impl Iterator<Item = PendingRequest> + '_ {
        self.slots.iter().filter_map(|slot| match slot {
            Slot::Pending(pending) => Some(*pending),
            Slot::Ready(_) => None,
        })
    }

    /// The response of a request has come: `encode` makes it, given the group. False if it is not pending here.
    pub fn complete(&mut self, request: RequestId, encode: impl FnOnce(GroupNumber) -> Vec<u8>) -> bool {
        for slot in &mut self.slots {
            if let Slot::Pending(pending) = slot {
                if pending.request == request {
                    *slot = Slot::Ready(encode(pending.group));
                    return true;
                }
            }
        }
        false
    }

    /// Gives all pending requests the same response; those requests.
    pub fn complete_all(&mut self, response: &[u8]) -> Vec<PendingRequest> {
        let pending: Vec<PendingRequest> = self.pending().collect();
        for slot in &mut self.slots {
            if matches!(slot, Slot::Pending(_)) {
                *slot = Slot::Ready(response.to_vec());
            }
        }
        pending
    }

    /// The next response whose turn it is.
    pub fn pop_ready(&mut self) -> Option<Vec<u8>> {
        match self.slots.pop_front()? {
            Slot::Ready(response) => Some(response),
            pending @ Slot::Pending(_) => {
                self.slots.push_front(pending);
                None
            }
        }
    }

    /// Bytes of responses that have come and wait for their turn.
    pub fn ready_bytes(&self) -> usize {
        let bytes = |slot: &Slot| match slot {
            Slot::Ready(response) => response.len(),
            Slot::Pending(_) => 0,
        };
        self.slots.iter().map(bytes).sum()
    }
}
