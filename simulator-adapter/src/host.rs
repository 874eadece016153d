//! Hosts many instances of the routing policy: handles the simulator's messages, one batch at a time, and collects the
//! replies.

use crate::error::HostError;
use crate::instance::Instance;
use crate::messages::{
    append, AttemptEnded, InputMessage, ListKind, ListRecord, OutputMessage, RequestArrived, RequestRef,
};
use routing::time::Timestamp;
use routing::{Event, RequestId};
use std::collections::{BTreeMap, HashMap};
use std::io::Write;

/// All instances and the current batch.
#[derive(Default)]
pub struct Host {
    /// Time of the current batch.
    now: Timestamp,
    batch_serial: u64,
    batch_open: bool,
    /// Defined endpoint lists by their number.
    lists: HashMap<usize, Vec<ListRecord>>,
    instances: BTreeMap<u32, Instance>,
    /// Replies to the current batch, as lines.
    replies: Vec<u8>,
}

impl Host {
    /// Handles one line. Returns true if it ended a batch, whose replies have then been written to `output`.
    ///
    /// # Errors
    /// The line is not a valid message, or the replies cannot be written.
    pub fn handle_line(&mut self, line: &[u8], output: &mut impl Write) -> Result<bool, HostError> {
        let message: InputMessage = serde_json::from_slice(line).map_err(|error| malformed(line, &error))?;
        match message {
            InputMessage::BeginBatch { now_ns, serial } => self.begin_batch(now_ns, serial)?,
            _ if !self.batch_open => return Err(HostError::NoOpenBatch),
            InputMessage::EndBatch {} => {
                self.end_batch(output)?;
                return Ok(true);
            }
            message => self.handle_message(message)?,
        }
        Ok(false)
    }

    fn begin_batch(&mut self, now_ns: i64, serial: u64) -> Result<(), HostError> {
        if self.batch_open {
            return Err(HostError::BatchOpen);
        }
        self.now = Timestamp(now_ns);
        self.batch_serial = serial;
        self.batch_open = true;
        Ok(())
    }

    fn end_batch(&mut self, output: &mut impl Write) -> Result<(), HostError> {
        self.batch_open = false;
        append(&mut self.replies, &OutputMessage::EndReplies { serial: self.batch_serial });
        output.write_all(&self.replies)?;
        self.replies.clear();
        Ok(())
    }

    /// Handles a message inside a batch. Messages for unknown instances or requests are ignored.
    fn handle_message(&mut self, message: InputMessage) -> Result<(), HostError> {
        match message {
            InputMessage::BeginBatch { .. } | InputMessage::EndBatch {} => {}
            InputMessage::DefineList { list, records } => {
                self.lists.insert(list, records);
            }
            InputMessage::Start { instance, seed, config } => {
                self.instances.insert(instance, Instance::start(instance, seed, &config, self.now)?);
                self.write_actions(instance);
            }
            InputMessage::Remove { instance } => {
                self.instances.remove(&instance);
            }
            InputMessage::EndpointList { instance, kind, list } => {
                self.report_endpoint_list(instance, kind, list)?;
            }
            InputMessage::RequestArrived(arrived) => self.report_request(arrived)?,
            InputMessage::ResponseStarted(request) => self.report_response_start(&request),
            InputMessage::AttemptEnded(ended) => self.report_attempt_end(&ended),
            InputMessage::ClientGone(request) => self.report_client_gone(&request),
            InputMessage::TimerFired { instance, tag } => self.report(instance, Event::TimerFired { tag }),
            InputMessage::HealthCheckEnded { instance, endpoint, status, elapsed_ns, report } => {
                let event = self.instances.get(&instance).and_then(|found| {
                    found.health_check_ended(&endpoint, status, elapsed_ns, report.as_deref())
                });
                if let Some(event) = event {
                    self.report(instance, event);
                }
            }
            InputMessage::PeerMessage { instance, from, bytes } => {
                let bytes = decode_hex(&bytes).ok_or(HostError::InvalidPeerMessage)?;
                self.report(instance, Event::PeerMessage { from, bytes });
            }
        }
        Ok(())
    }

    fn report_endpoint_list(&mut self, number: u32, kind: ListKind, list: usize) -> Result<(), HostError> {
        if kind == ListKind::Error {
            self.report(number, Event::EndpointListFailed);
            return Ok(());
        }
        let records = self.lists.get(&list).ok_or(HostError::UnknownList(list))?;
        let Some(instance) = self.instances.get_mut(&number) else { return Ok(()) };
        let records = instance.endpoint_records(records);
        self.report(number, Event::EndpointList { complete: kind != ListKind::Partial, records });
        Ok(())
    }

    fn report_request(&mut self, arrived: RequestArrived) -> Result<(), HostError> {
        let number = arrived.instance;
        let Some(instance) = self.instances.get_mut(&number) else { return Ok(()) };
        let arrival = instance.request_arrived(arrived, self.now)?;
        self.report(number, Event::RequestArrived(arrival));
        Ok(())
    }

    fn report_response_start(&mut self, request: &RequestRef) {
        if let Some(id) = self.request_id(request) {
            self.report(request.instance, Event::ResponseStarted { request: id });
        }
    }

    fn report_client_gone(&mut self, request: &RequestRef) {
        let Some(id) = self.request_id(request) else { return };
        self.report(request.instance, Event::ClientGone { request: id });
        if let Some(instance) = self.instances.get_mut(&request.instance) {
            instance.close_request(id);
        }
    }

    fn report_attempt_end(&mut self, message: &AttemptEnded) {
        let instance = self.instances.get(&message.instance);
        let Some(end) = instance.and_then(|instance| instance.attempt_ended(message)) else { return };
        let request = end.attempt.request;
        self.report(message.instance, Event::AttemptEnded(end));
        if let Some(instance) = self.instances.get_mut(&message.instance) {
            instance.end_attempt(request, message.request_closed);
        }
    }

    /// The policy's id of an open request.
    fn request_id(&self, request: &RequestRef) -> Option<RequestId> {
        self.instances.get(&request.instance)?.request_id(&request.request_id)
    }

    /// Reports an event to the policy of an instance, and adds the resulting actions to the replies.
    fn report(&mut self, number: u32, event: Event) {
        if let Some(instance) = self.instances.get_mut(&number) {
            instance.on_event(self.now, event);
            self.write_actions(number);
        }
    }

    fn write_actions(&mut self, number: u32) {
        if let Some(instance) = self.instances.get_mut(&number) {
            instance.write_actions(&mut self.replies);
        }
    }
}

/// Parses an invalid line again, to find the path of the invalid field for the error.
fn malformed(line: &[u8], error: &serde_json::Error) -> HostError {
    let mut deserializer = serde_json::Deserializer::from_slice(line);
    let with_path = serde_path_to_error::deserialize::<_, InputMessage>(&mut deserializer).err();
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
