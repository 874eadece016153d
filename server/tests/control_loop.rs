//! The control loop without client sockets: its responses, and recovery from a panic of the routing policy.

use host_support::bootstrap_config::BootstrapConfig;
use host_support::routing_settings::routing_settings;
use may::io::WaitIo;
use may::net::TcpStream;
use may::sync::mpsc::{channel, Sender};
use routing::time::TimeDelta;
use routing::{AttemptId, MethodIndex, RequestId};
use server::control::control_loop::{ControlLoop, ControlSetup, RouterConfig};
use server::endpoints::dispatcher::EndpointDispatcher;
use server::endpoints::pool::ConnectionPool;
use server::messages::control::{AttemptConfirmation, ControlMessage, IncomingRequest};
use server::messages::endpoint_list::{ListedEndpoint, ListedHealth};
use server::messages::request::{ClientRequest, RequestIdentity, RequestSession, RequestText};
use server::messages::response::{RequestResponse, Response, ResponseChannel, ResponseTicket};
use server::protocol::sqlstate::SqlState;
use server::runtime::clock::{Clock, Timers};
use server::runtime::metrics::Metrics;
use server::runtime::resource_limits::ResourceLimits;
use server::runtime::tasks::spawn;
use sessions::positions::GroupNumber;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::{Duration, Instant};

const SETTINGS: &str = r#"{"nInstances":1,"resolutionNs":5000000,"membershipMode":"push","report":{},"rules":{},
    "classes":[{"name":"order","aimNs":40000000,"deadlineNs":3000000000,"effect":"non_idempotent"},
        {"name":"view","aimNs":40000000,"deadlineNs":3000000000,"effect":"read_like"}],
    "familyInfo":{"classRead":["update","latest"],"guards":"off"},
    "allowed":{"maxAttempts":6,"retryAfter":true,"maxRetryAfterNs":2000000000}}"#;
const WRITE: MethodIndex = 0;
const READ: MethodIndex = 1;
/// The group of the primary in every test.
const GROUP: GroupNumber = 3;
const SECOND: TimeDelta = TimeDelta::from_millis(1000);
/// How long a test waits for the control loop before it fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// A running control loop and the channel of its responses.
struct Fixture {
    control: Sender<ControlMessage>,
    timers: Arc<Timers>,
    resources: Arc<ResourceLimits>,
    channel: Arc<ResponseChannel>,
    _stream: TcpStream,
}

/// A listener whose connections are never answered.
fn silent_endpoint() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a free port")
}

/// Starts a control loop that knows one endpoint: a primary that accepts connections and never answers.
fn start_control_loop(silent: &TcpListener, max_open_requests: usize) -> Fixture {
    may::config().set_workers(1).set_stack_size(16 << 10);
    let config: BootstrapConfig = serde_json::from_str(SETTINGS).expect("a bootstrap configuration");
    let settings = routing_settings(&config).expect("valid settings");
    let timers = Arc::new(Timers::start(Clock::start()));
    let resources = ResourceLimits::new(64, 1 << 20, false);
    let pool = Arc::new(ConnectionPool::new(timers.clone(), resources.clone(), SECOND, SECOND * 30));
    let (control, messages) = channel();
    let dispatcher = EndpointDispatcher {
        pool,
        control: control.clone(),
        health_check_timeout: SECOND,
        journal: None,
        metrics: Arc::new(Metrics::new(&[])),
    };
    let setup = ControlSetup {
        config: RouterConfig { settings, seed: 1, zones: Vec::new(), max_open_requests },
        dispatcher,
        messages,
        recovery: None,
    };
    let control_loop = ControlLoop::new(setup);
    spawn(move || control_loop.run());
    let stream = TcpStream::connect(silent.local_addr().expect("its address")).expect("a connection");
    let fixture = Fixture {
        control,
        timers,
        resources,
        channel: ResponseChannel::new(stream.waker()),
        _stream: stream,
    };
    fixture.send(ControlMessage::EndpointList { complete: true, endpoints: vec![primary("s", silent)] });
    fixture
}

fn primary(name: &str, at: &TcpListener) -> ListedEndpoint {
    ListedEndpoint {
        name: name.to_string(),
        address: at.local_addr().expect("its address").to_string(),
        zone: String::new(),
        group: GROUP,
        health: ListedHealth::Serving,
        born_ms: 0.0,
        recovery: "off".to_string(),
    }
}

/// An update of the endpoint list with 2,000 replicas of `group`.
fn replicas(group: GroupNumber, at: &TcpListener) -> ControlMessage {
    let replica = |index: usize| ListedEndpoint {
        group,
        recovery: "on".to_string(),
        ..primary(&format!("r-{index}"), at)
    };
    ControlMessage::EndpointList { complete: false, endpoints: (0..2_000).map(replica).collect() }
}

impl Fixture {
    fn send(&self, message: ControlMessage) {
        self.control.send(message).expect("a control loop");
    }

    /// Sends a write that times out after so many milliseconds.
    fn write(&self, request: RequestId, timeout_ms: i64) {
        self.write_as(request, &request.to_string(), timeout_ms);
    }

    fn write_as(&self, request: RequestId, id: &str, timeout_ms: i64) {
        self.request(WRITE, GROUP, request, id, timeout_ms);
    }

    fn request(
        &self,
        method: MethodIndex,
        group: GroupNumber,
        request: RequestId,
        id: &str,
        timeout_ms: i64,
    ) {
        let header = ClientRequest {
            identity: RequestIdentity { id: id.into(), method, group },
            session: RequestSession::default(),
            deadline: self.timers.now() + TimeDelta::from_millis(timeout_ms),
            client_retry: false,
            client: None,
        };
        let text =
            RequestText { body: vec![0], timeout_digits: 0..0, charge: self.resources.buffer_charge() };
        let ticket = ResponseTicket::new(request, self.channel.clone());
        self.send(ControlMessage::Request(Box::new(IncomingRequest { header, text, ticket })));
    }

    /// Waits for `count` responses and returns them ordered by request.
    fn responses(&self, count: usize) -> Vec<RequestResponse> {
        let give_up_at = Instant::now() + WAIT_TIMEOUT;
        let mut responses = Vec::new();
        while responses.len() < count {
            responses.extend(self.channel.take_responses());
            assert!(Instant::now() < give_up_at, "a request is lost: {responses:?}");
            std::thread::sleep(Duration::from_millis(1));
        }
        responses.sort_by_key(|answered: &RequestResponse| answered.request);
        responses
    }

    /// The response to the only request that is open.
    fn response_to(&self, request: RequestId) -> Response {
        let mut responses = self.responses(1);
        assert_eq!(responses.len(), 1, "a request whose client has disconnected got a response");
        let answered = responses.remove(0);
        assert_eq!(answered.request, request);
        answered.response
    }
}

fn is_id_in_use(response: &Response) -> bool {
    matches!(response, Response::Error(error) if error.code == SqlState::DUPLICATE_OBJECT)
}

#[test]
fn a_panic_of_the_routing_policy_aborts_open_requests_and_a_new_policy_takes_over() {
    let silent = silent_endpoint();
    let fixture = start_control_loop(&silent, 100);
    fixture.write(1, 60_000);
    fixture.write(2, 60_000);
    // The policy panics on an endpoint that it does not know: its table has no such row.
    let attempt = AttemptId { request: 1, number: 0, endpoint: 99 };
    let (reply, _confirmed) = channel();
    fixture.send(ControlMessage::ConfirmAttempt(AttemptConfirmation { attempt, reply }));
    let aborted = [1, 2].map(|request| RequestResponse { request, response: Response::Aborted });
    assert_eq!(fixture.responses(2), aborted);
    fixture.write(3, 200);
    let response = fixture.response_to(3);
    let is_given_up = matches!(response, Response::Rejected { .. } | Response::Aborted);
    assert!(is_given_up, "its endpoint is silent: {response:?}");
    assert!(!fixture.resources.is_memory_short());
}

#[test]
fn requests_above_the_limit_of_open_requests_are_rejected_until_others_end() {
    let silent = silent_endpoint();
    let fixture = start_control_loop(&silent, 2);
    (1..=3).for_each(|request| fixture.write(request, 60_000));
    let rejected = Response::Rejected { retry_after: Some(TimeDelta::from_millis(2000)) };
    assert_eq!(fixture.response_to(3), rejected, "rejected with a Retry-After");
    (1..=2).for_each(|request| fixture.send(ControlMessage::ClientGone { request }));
    // The requests are removed once their attempts have ended, which takes a second with the silent endpoint.
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    for request in 4.. {
        fixture.write(request, 200);
        if fixture.response_to(request) != rejected {
            break;
        }
        assert!(Instant::now() < give_up_at, "requests of disconnected clients are never removed");
    }
}

#[test]
fn a_timer_that_fires_while_a_batch_is_handled_is_not_lost() {
    const OTHER_GROUP: GroupNumber = 4;
    let silent = silent_endpoint();
    let fixture = start_control_loop(&silent, 100);
    // No primary of the group is known, so only a timer can end a read that needs the latest data.
    fixture.send(replicas(OTHER_GROUP, &silent));
    for request in 1..=3 {
        fixture.request(READ, OTHER_GROUP, request, &request.to_string(), 300);
        // Handling this list takes far longer than the interval between timers of this control loop.
        fixture.send(replicas(OTHER_GROUP, &silent));
        let response = fixture.response_to(request);
        assert!(matches!(response, Response::Rejected { .. }), "{response:?}");
    }
}

#[test]
fn an_id_stays_in_use_until_its_last_attempt_has_ended() {
    let silent = silent_endpoint();
    let fixture = start_control_loop(&silent, 100);
    fixture.write_as(1, "same", 60_000);
    fixture.write_as(2, "same", 60_000);
    assert_eq!(SqlState::DUPLICATE_OBJECT.as_str(), "42710");
    let second = fixture.response_to(2);
    assert!(is_id_in_use(&second), "{second:?}");
    fixture.send(ControlMessage::ClientGone { request: 1 });
    // Its attempt waits for the silent endpoint for at most a second. The id is in use until the attempt has ended.
    let give_up_at = Instant::now() + WAIT_TIMEOUT;
    for request in 4.. {
        fixture.write_as(request, "same", 400);
        if !is_id_in_use(&fixture.response_to(request)) {
            break;
        }
        assert!(Instant::now() < give_up_at, "the id is still in use after its attempt has ended");
    }
}
