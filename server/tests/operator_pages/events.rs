//! Events for the metrics page: at least one of each kind that is counted when it happens.

use admission::concurrency_limiter::{ClientKey, ConcurrencyLimits};
use admission::ClientClass;
use may::io::WaitIo;
use may::net::TcpStream;
use routing::time::{TimeDelta, Timestamp};
use routing::{AttemptOutcome, RequestId};
use server::control::request_queue::{QueuedRequest, RequestQueue};
use server::messages::control::{IncomingRequest, QueueLimits};
use server::messages::request::{ClientRequest, RequestIdentity, RequestSession, RequestText};
use server::messages::response::{ResponseChannel, ResponseTicket};
use server::runtime::metrics::{Metrics, ResponseKind};
use server::runtime::resource_limits::ResourceLimits;
use std::net::TcpListener;
use std::sync::Arc;

/// A method name that must be escaped in a label value, so that it is not taken for another label.
const ODD_METHOD: &str = "odd \"name\", answer=\"";

/// Counts the events. The recorder must be installed before.
pub fn count_events(client: &ClientKey, resources: &Arc<ResourceLimits>) {
    let metrics = Metrics::new(&["view".into(), ODD_METHOD.into()]);
    metrics.request_answered(0, ResponseKind::Rejected, TimeDelta::from_millis(4));
    metrics.request_answered(1, ResponseKind::Value, TimeDelta::from_millis(4));
    metrics.attempt_ended(AttemptOutcome::ConnectionLost, TimeDelta::from_millis(2));
    metrics.attempt_ended(AttemptOutcome::TimedOut, TimeDelta::from_millis(20));
    metrics.health_check_ended(AttemptOutcome::Rejected);
    queue_two_requests(client, resources);
}

/// Queues two requests of a class with a limit of one: the first is admitted at once, the second is shed.
fn queue_two_requests(client: &ClientKey, resources: &Arc<ResourceLimits>) {
    let limits = ConcurrencyLimits {
        max_in_flight: 1,
        max_waiting: 1,
        target_wait: TimeDelta::from_millis(30),
        retry_percent: None,
    };
    let class = ClientClass { max_requests: Some(1), ..ClientClass::named(&client.class) };
    let mut queue = RequestQueue::new(QueueLimits { limits, classes: vec![class] }, None, 1);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let stream = TcpStream::connect(listener.local_addr().expect("its address")).expect("a connection");
    let channel = ResponseChannel::new(stream.waker());
    let mut admitted = Vec::new();
    for number in [1, 2] {
        let incoming = incoming_request(number, client, resources, &channel);
        let queued = QueuedRequest { incoming: Box::new(incoming), received_at: Timestamp(0) };
        queue.arrive(Timestamp(0), queued, &mut admitted);
    }
    assert_eq!(admitted.len(), 1);
    admitted.into_iter().for_each(|queued| queued.incoming.ticket.discard());
}

fn incoming_request(
    request: RequestId,
    client: &ClientKey,
    resources: &Arc<ResourceLimits>,
    channel: &Arc<ResponseChannel>,
) -> IncomingRequest {
    let header = ClientRequest {
        identity: RequestIdentity { id: request.to_string().into(), method: 0, group: 4 },
        session: RequestSession::default(),
        deadline: Timestamp(1_000_000_000),
        client_retry: false,
        client: Some(client.clone()),
    };
    let text = RequestText { body: vec![0], timeout_digits: 0..0, charge: resources.buffer_charge() };
    IncomingRequest { header, text, ticket: ResponseTicket::new(request, channel.clone()) }
}
