//! Hosts many instances of the routing policy behind the simulator's wire: reads its messages, one batch at a time, and
//! collects the replies.

use crate::error::HostError;
use crate::instance::Instance;
use crate::messages::{append, AttemptEnd, How, In, Inbound, Out, Record, RequestRef};
use routing::time::Timestamp;
use routing::Event;
use std::collections::{BTreeMap, HashMap};
use std::io::Write;

/// All instances, and the open batch.
#[derive(Default)]
pub struct Host {
    now: Timestamp,
    serial: u64,
    in_frame: bool,
    lists: HashMap<usize, Vec<Record>>,
    instances: BTreeMap<u32, Instance>,
    replies: Vec<u8>,
}

impl Host {
    /// Handles one line. Returns true if it closed a batch, whose replies were written to `output`.
    ///
    /// # Errors
    /// The line is not a valid message, or the replies cannot be written.
    pub fn take(&mut self, line: &[u8], output: &mut impl Write) -> Result<bool, HostError> {
        let message: In = serde_json::from_slice(line).map_err(|error| malformed(line, &error))?;
        match message {
            In::Frame { now_ns, serial } => self.begin_frame(now_ns, serial)?,
            _ if !self.in_frame => return Err(HostError::OutsideFrame),
            In::Go {} => {
                self.end_frame(output)?;
                return Ok(true);
            }
            message => self.handle_frame(message)?,
        }
        Ok(false)
    }

    fn begin_frame(&mut self, now_ns: i64, serial: u64) -> Result<(), HostError> {
        if self.in_frame {
            return Err(HostError::NestedFrame);
        }
        self.now = Timestamp(now_ns);
        self.serial = serial;
        self.in_frame = true;
        Ok(())
    }

    fn end_frame(&mut self, output: &mut impl Write) -> Result<(), HostError> {
        self.in_frame = false;
        append(&mut self.replies, &Out::Yield { serial: self.serial });
        output.write_all(&self.replies)?;
        self.replies.clear();
        Ok(())
    }

    fn handle_frame(&mut self, message: In) -> Result<(), HostError> {
        match message {
            In::Frame { .. } | In::Go {} => {}
            In::DefineList { page, records } => {
                self.lists.insert(page, records);
            }
            In::Start { front, rng_seed, boot_info } => {
                let instance = Instance::start(front, rng_seed, &boot_info, self.now)?;
                self.instances.insert(front, instance);
                self.perform_actions(front);
            }
            In::Detach { front } => {
                self.instances.remove(&front);
            }
            In::Discovery { front, how, page } => self.take_list(front, how, page)?,
            In::Inbound(inbound) => self.take_request(inbound)?,
            In::Flowing(RequestRef { front, request_id }) => {
                if let Some(request) = self.instances.get(&front).and_then(|it| it.request(&request_id)) {
                    self.report(front, Event::ResponseStarted { request });
                }
            }
            In::AttemptEnd(end) => self.end_attempt(&end),
            In::Gone(RequestRef { front, request_id }) => {
                if let Some(request) = self.instances.get(&front).and_then(|it| it.request(&request_id)) {
                    self.report(front, Event::ClientGone { request });
                    if let Some(instance) = self.instances.get_mut(&front) {
                        instance.close(request);
                    }
                }
            }
            In::Fired { front, nonce } => self.report(front, Event::TimerFired { tag: nonce }),
            In::ProbeResult { front, store, status, wait_time_ns, pressure } => {
                let instance = self.instances.get(&front);
                let event = instance
                    .and_then(|it| it.health_check_ended(&store, status, wait_time_ns, pressure.as_deref()));
                if let Some(event) = event {
                    self.report(front, event);
                }
            }
            In::Inbox { front, src, bytes } => {
                let bytes = decode_hex(&bytes).ok_or(HostError::BadBytes)?;
                self.report(front, Event::PeerMessage { from: src, bytes });
            }
        }
        Ok(())
    }

    fn take_list(&mut self, front: u32, how: How, page: usize) -> Result<(), HostError> {
        if how == How::Error {
            self.report(front, Event::EndpointListFailed);
            return Ok(());
        }
        let records = self.lists.get(&page).ok_or(HostError::UnknownList(page))?;
        let Some(instance) = self.instances.get_mut(&front) else { return Ok(()) };
        let records = instance.endpoint_records(records);
        self.report(front, Event::EndpointList { complete: how != How::Partial, records });
        Ok(())
    }

    fn take_request(&mut self, inbound: Inbound) -> Result<(), HostError> {
        let front = inbound.front;
        let Some(instance) = self.instances.get_mut(&front) else { return Ok(()) };
        let arrival = instance.request_arrived(inbound, self.now)?;
        self.report(front, Event::RequestArrived(arrival));
        Ok(())
    }

    fn end_attempt(&mut self, end: &AttemptEnd) {
        let instance = self.instances.get(&end.front);
        let Some(ended) = instance.and_then(|instance| instance.attempt_ended(end)) else { return };
        let request = ended.attempt.request;
        self.report(end.front, Event::AttemptEnded(ended));
        if let Some(instance) = self.instances.get_mut(&end.front) {
            instance.end_attempt(request, end.done_flag);
        }
    }

    /// Reports an event to the policy of an instance and writes the actions that it requests.
    fn report(&mut self, front: u32, event: Event) {
        if let Some(instance) = self.instances.get_mut(&front) {
            instance.on_event(self.now, event);
            self.perform_actions(front);
        }
    }

    fn perform_actions(&mut self, front: u32) {
        if let Some(instance) = self.instances.get_mut(&front) {
            instance.write_actions(&mut self.replies);
        }
    }
}

/// Parses an invalid line again to find the path of the invalid field.
fn malformed(line: &[u8], error: &serde_json::Error) -> HostError {
    let mut deserializer = serde_json::Deserializer::from_slice(line);
    let with_path = serde_path_to_error::deserialize::<_, In>(&mut deserializer).err();
    HostError::Malformed(with_path.map_or_else(|| error.to_string(), |error| error.to_string()))
}

fn decode_hex(digits: &str) -> Option<Vec<u8>> {
    let digits = digits.as_bytes();
    if !digits.len().is_multiple_of(2) {
        return None;
    }
    let byte = |pair: &[u8]| u8::from_str_radix(std::str::from_utf8(pair).ok()?, 16).ok();
    digits.chunks(2).map(byte).collect()
}
