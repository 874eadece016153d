//! Taking in: a client's bytes, split anywhere, become whole messages in their order. No socket stands here.

use crate::pg::{self, Bad, Hello, Opening};

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// SSLRequest or GSSENCRequest.
    Encrypt,
    Greet {
        minor: u16,
        hello: Hello,
    },
    Cancel,
    /// A simple query's body.
    Query(Vec<u8>),
    Sync,
    /// Of the extended protocol; one that stands `alone` has no Sync behind it.
    Unsupported {
        alone: bool,
    },
    Terminate,
    /// Nothing is taken in behind it.
    Unfit {
        code: &'static str,
        why: &'static str,
    },
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Phase {
    #[default]
    Opening,
    Serving,
    /// After a message of the extended protocol: all up to a Sync is passed over.
    Skipping,
    Over,
}

#[derive(Default)]
pub struct TakeIn {
    bytes: Vec<u8>,
    at: usize,
    phase: Phase,
}

impl TakeIn {
    pub fn feed(&mut self, bytes: &[u8]) {
        if self.phase != Phase::Over {
            self.bytes.extend_from_slice(bytes);
        }
    }

    /// The next whole message.
    pub fn next_item(&mut self) -> Option<Item> {
        let step = match self.phase {
            Phase::Over => Ok(None),
            Phase::Opening => self.opening(),
            Phase::Serving | Phase::Skipping => self.message(),
        };
        let item = step.unwrap_or_else(|bad| {
            let (code, why) = match bad {
                Bad::TooLong => ("54000", "message too long"),
                Bad::Malformed => ("08P01", "malformed message"),
            };
            Some(Item::Unfit { code, why })
        });
        if matches!(item, Some(Item::Cancel | Item::Terminate | Item::Unfit { .. })) {
            (self.phase, self.at) = (Phase::Over, self.bytes.len());
        }
        if item.is_none() {
            self.bytes.drain(..self.at);
            self.at = 0;
            // Small buffers are kept between the queries of a busy client, large ones are not.
            self.bytes.shrink_to(self.bytes.len().max(1 << 12));
        }
        item
    }

    fn opening(&mut self) -> Result<Option<Item>, Bad> {
        let Some((opening, used)) = pg::opening(&self.bytes[self.at..])? else { return Ok(None) };
        self.at += used;
        Ok(Some(match opening {
            Opening::Encrypt => Item::Encrypt,
            Opening::Cancel => Item::Cancel,
            Opening::OtherVersion => {
                Item::Unfit { code: "0A000", why: "only version 3 of the protocol is spoken" }
            }
            Opening::Start { minor } => {
                self.phase = Phase::Serving;
                Item::Greet { minor, hello: pg::hello(&self.bytes[self.at - used + 8..self.at]) }
            }
        }))
    }

    fn message(&mut self) -> Result<Option<Item>, Bad> {
        while let Some(frame) = pg::frame(&self.bytes, self.at, pg::MOST_QUERY)? {
            self.at = frame.body.end;
            let skipping = self.phase == Phase::Skipping;
            let item = match frame.tag {
                b'X' => Item::Terminate,
                b'S' => {
                    self.phase = Phase::Serving;
                    Item::Sync
                }
                b'Q' if !skipping => Item::Query(self.bytes[frame.body].to_vec()),
                b'F' if !skipping => Item::Unsupported { alone: true },
                b'P' | b'B' | b'D' | b'E' | b'C' | b'H' if !skipping => {
                    self.phase = Phase::Skipping;
                    Item::Unsupported { alone: false }
                }
                // Passed over: what is skipped, and a copy's data where none was asked for.
                b'Q' | b'F' | b'P' | b'B' | b'D' | b'E' | b'C' | b'H' | b'd' | b'c' | b'f' => continue,
                _ => return Err(Bad::Malformed),
            };
            return Ok(Some(item));
        }
        Ok(None)
    }

    /// How many bytes at the least the message lacks that has begun; none where none has.
    pub fn lacks(&self) -> usize {
        let rest = &self.bytes[self.at..];
        let head = if self.phase == Phase::Opening { 4 } else { 5 };
        if rest.is_empty() || self.phase == Phase::Over {
            return 0;
        }
        let length = rest.get(head - 4..head).and_then(|word| word.try_into().ok()).map(u32::from_be_bytes);
        let whole = length.map_or(head, |length| head - 4 + length as usize);
        whole.saturating_sub(rest.len()).max(1)
    }

    /// Whether nothing is half taken in.
    pub fn is_empty(&self) -> bool {
        self.bytes.len() == self.at
    }

    pub fn weight(&self) -> usize {
        self.bytes.capacity()
    }

    /// Gives the buffer back while there is nothing in it.
    pub fn rest(&mut self) {
        if self.is_empty() {
            (self.bytes, self.at) = (Vec::new(), 0);
        }
    }

    pub fn has_begun(&self) -> bool {
        self.phase != Phase::Opening
    }
}
