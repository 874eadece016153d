//! An admin socket with a control loop that always returns the same snapshot.

use crate::events::count_events;
use admission::concurrency_limiter::{
    ClassRequests, ClientKey, ClientRequests, ConcurrencyLimits, RequestCounts, ShedCount, ShedReason,
};
use admission::{AddressPrefixes, ClassSettings, ClientAddress, ClientClass};
use may::sync::mpsc::{channel, Sender};
use routing::time::{TimeDelta, Timestamp};
use routing::{CapacitySnapshot, EndpointSnapshot, ReportSnapshot};
use server::admin::socket::{request_page, serve};
use server::admin::view::AdminView;
use server::clients::admission_control::{AdmissionControl, ConnectionPermit};
use server::clients::graceful_shutdown::GracefulShutdown;
use server::messages::control::ControlMessage;
use server::messages::request::RequestIdentity;
use server::messages::snapshot::{
    AttemptSnapshot, ListedEndpointSnapshot, QueueSnapshot, RequestSnapshot, ServerSnapshot, WaitingRequest,
};
use server::runtime::clock::{Clock, Timers};
use server::runtime::metrics::install_recorder;
use server::runtime::resource_limits::ResourceLimits;
use std::net::IpAddr;
use std::path::PathBuf;
use std::sync::{Arc, OnceLock};
use std::thread;

/// Descriptors of the instance.
const DESCRIPTORS: usize = 64;
/// Memory of the instance, in bytes.
const MEMORY: usize = 1 << 20;
/// The time of every snapshot.
const NOW: Timestamp = Timestamp(10_000_000_000);
/// The address of the only client that is connected.
const CLIENT: [u8; 4] = [10, 20, 0, 1];

/// An instance's admin socket.
pub struct Fixture {
    folder: tempfile::TempDir,
    _permit: ConnectionPermit,
}

impl Fixture {
    /// The fixture of this process. There is only one, because a process has one recorder.
    pub fn shared() -> &'static Fixture {
        static FIXTURE: OnceLock<Fixture> = OnceLock::new();
        FIXTURE.get_or_init(Fixture::start)
    }

    /// Starts serving the pages. One of two client connections was rejected.
    fn start() -> Fixture {
        may::config().set_workers(1);
        let recorder = install_recorder().expect("the only one");
        let resources = ResourceLimits::new(DESCRIPTORS, MEMORY, true);
        let admission = admission_control(&resources);
        let permit = admission.admit_or_enqueue(IpAddr::from(CLIENT)).expect("admitted");
        assert!(admission.admit_or_enqueue(IpAddr::from(CLIENT)).is_err(), "its class is full");
        count_events(&permit.client().expect("it is known by its address"), &resources);
        let view = AdminView {
            name: "front-7".into(),
            control: control_loop(),
            resources,
            admission: Some(admission),
            shutdown: GracefulShutdown::new(|| ()),
            methods: vec!["view".into()],
        };
        let fixture = Fixture { folder: tempfile::tempdir().expect("a folder"), _permit: permit };
        serve(&fixture.socket(), recorder, view).expect("it serves");
        fixture
    }

    fn socket(&self) -> PathBuf {
        self.folder.path().join("admin.socket")
    }

    /// A page by its name.
    pub fn page(&self, name: &str) -> String {
        request_page(&self.socket(), name).expect("a page")
    }

    /// The error message for a page that does not exist.
    pub fn page_error(&self, name: &str) -> String {
        request_page(&self.socket(), name).expect_err("no page").to_string()
    }
}

fn admission_control(resources: &Arc<ResourceLimits>) -> Arc<AdmissionControl> {
    let desk = ClientClass {
        networks: vec!["10.20.0.0/16".parse().expect("a network")],
        reserved: 1,
        max_connections: Some(1),
        ..ClientClass::named("desk")
    };
    let settings = ClassSettings { classes: vec![desk], prefixes: AddressPrefixes::default() };
    let timers = Arc::new(Timers::start(Clock::start()));
    AdmissionControl::new(settings, TimeDelta::ZERO, 1, timers, resources.clone()).expect("valid classes")
}

/// Starts a control loop that answers every snapshot request with the same snapshot.
fn control_loop() -> Sender<ControlMessage> {
    let (control, messages) = channel();
    thread::spawn(move || {
        while let Ok(message) = messages.recv() {
            if let ControlMessage::Snapshot { reply } = message {
                reply.send(server_snapshot()).expect("the requester waits for the snapshot");
            }
        }
    });
    control
}

fn server_snapshot() -> ServerSnapshot {
    ServerSnapshot {
        now: NOW,
        open_requests: 3,
        requests: request_snapshots(),
        endpoints: endpoint_rows(),
        groups: 1,
        queue: Some(queue_snapshot()),
    }
}

fn request_snapshots() -> Vec<RequestSnapshot> {
    let attempt = || AttemptSnapshot { endpoint: "s-0".into(), started_at: Timestamp(NOW.0 - 3_000_000) };
    let request = |id: &str, in_flight, is_closed| RequestSnapshot {
        identity: RequestIdentity { id: id.into(), method: 0, group: 4 },
        received_at: Timestamp(NOW.0 - 5_000_000),
        attempts: 2,
        in_flight,
        is_closed,
    };
    vec![
        request("a1", Some(attempt()), false),
        request("a2", None, false),
        request("a3", Some(attempt()), true),
    ]
}

fn endpoint_rows() -> Vec<ListedEndpointSnapshot> {
    let endpoint = EndpointSnapshot {
        serving: true,
        primary: true,
        ejected_for: None,
        capacity: CapacitySnapshot { in_flight: 2, concurrency_limit: 3.5, slow_start_fraction: None },
        report: ReportSnapshot { lag: None, age: Some(TimeDelta::from_millis(40)), load: Some(0.25) },
    };
    let cold = EndpointSnapshot {
        primary: false,
        ejected_for: Some(TimeDelta::from_millis(500)),
        capacity: CapacitySnapshot { slow_start_fraction: Some(0.4), ..endpoint.capacity },
        report: ReportSnapshot { lag: Some(TimeDelta::from_millis(20)), ..endpoint.report },
        ..endpoint
    };
    let closed = EndpointSnapshot { serving: false, ..cold };
    let rows = [("s-0", Some(endpoint)), ("s-1", Some(cold)), ("s-2", Some(closed)), ("s-3", None)];
    let row = |(name, state): (&str, _)| ListedEndpointSnapshot {
        name: name.into(),
        addr: Some(([127, 0, 0, 1], 5432).into()),
        state,
    };
    rows.map(row).into()
}

fn queue_snapshot() -> QueueSnapshot {
    let requests = RequestCounts { in_flight: 2, waiting: 1 };
    let address = ClientAddress::new(IpAddr::from(CLIENT), AddressPrefixes::default());
    let client = ClientKey { class: "desk".into(), address };
    QueueSnapshot {
        limits: ConcurrencyLimits {
            max_in_flight: 8,
            max_waiting: 16,
            target_wait: TimeDelta::from_millis(30),
            retry_percent: Some(10),
        },
        classes: vec![ClassRequests { class: "desk".into(), requests }],
        shed: ShedReason::ALL
            .iter()
            .zip(1..)
            .map(|(reason, count)| ShedCount { class: "desk".into(), reason: *reason, count })
            .collect(),
        top_clients: vec![ClientRequests { client, requests }],
        waiting: vec![WaitingRequest { id: "b1".into(), received_at: Timestamp(NOW.0 - 7_000_000) }],
    }
}
