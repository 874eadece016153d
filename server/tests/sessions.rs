//! Sessions with client-held tokens: two instances, replication lag, restarts, and a failover that loses the end of a
//! log.

mod common {
    pub mod connect;
    pub mod endpoint_group;
    pub mod router_program;
    pub mod start_router;
}

use common::connect::connect;
use common::endpoint_group::{group_entry, start_endpoint_group};
use common::start_router::start_router;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use test_servers::client::{Answer, Client, Kind, RequestRecord};
use test_servers::cluster::{unix_ms, Cluster, OldPrimary, Reachability};
use test_servers::daemon::Daemon;
use test_servers::discovery::{Discovery, DiscoveryMode};
use test_servers::endpoint::{free_address, ServedEndpoint};

/// Contents of the session key file: the first key, and the first key with a newer one.
const KEYS: [&str; 2] = [
    "1 000102030405060708090a0b0c0d0e0f\n",
    "1 000102030405060708090a0b0c0d0e0f\n2 ffeeddccbbaa99887766554433221100\n",
];

/// One group of a primary and two replicas, and two instances.
struct Fixture {
    folder: tempfile::TempDir,
    listen: [SocketAddr; 2],
    discovery: Discovery,
    cluster: Arc<Cluster>,
    served: Vec<ServedEndpoint>,
}

impl Fixture {
    /// Starts the group. `lags` has the replication lag of each replica in milliseconds.
    fn new(lags: [i64; 2]) -> Fixture {
        let (cluster, served) = start_endpoint_group(&[0, lags[0], lags[1]]);
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("keys"), KEYS[0]).expect("written");
        let discovery = Discovery::start(DiscoveryMode::Up, 1, Vec::new());
        let fixture =
            Fixture { folder, listen: [free_address(), free_address()], discovery, cluster, served };
        fixture.publish_list(2, 0);
        fixture
    }

    /// Publishes a list in which `s-{primary}` is the primary.
    fn publish_list(&self, version: i64, primary: usize) {
        let entry = |index: usize| group_entry(&self.served, index, primary);
        self.discovery.set_list(version, (0..3).map(entry).collect());
    }

    /// Starts an instance and waits until it accepts a client.
    fn start(&self, index: usize) -> Daemon {
        let folder = self.folder.path().join(format!("instance-{index}"));
        std::fs::create_dir_all(&folder).expect("made");
        let operator_file =
            format!("session-keys {}\nsession-lasts 10s\n", self.folder.path().join("keys").display());
        let daemon = start_router(index, &operator_file, &folder, self.listen[index], self.discovery.addr);
        self.client(index, None);
        daemon
    }

    /// Creates a session that both instances have in their cache, by a write served by each of them. Returns its token.
    fn session_on_both(&self, name: &str) -> String {
        let mut token = "new".to_string();
        for index in 0..2 {
            let mut client = self.client(index, Some(&token));
            request_until_served(&mut client, Kind::Write, &format!("{name}{index}"));
            token = client.token.expect("a token");
        }
        token
    }

    /// Promotes replica `s-1`, which loses the end of the log that it had not replicated, including the sessions'
    /// writes. The old primary stops answering, and discovery lists the new one.
    fn fail_over_to_replica_1(&self) {
        {
            let mut state = self.cluster.lock();
            let forked_ms = state.position(1, unix_ms());
            state.promote(1, OldPrimary::Follows, forked_ms);
            state.endpoints[0].process.reachability = Reachability::Silent;
        }
        self.publish_list(3, 1);
    }

    /// Connects a client to an instance.
    fn client(&self, index: usize, session: Option<&str>) -> Client {
        self.client_of(index, "backend", session)
    }

    fn client_of(&self, index: usize, user: &str, session: Option<&str>) -> Client {
        connect(&self.listen[index], user, session)
    }
}

/// The position up to which the data of an answer is that of the live log, in Unix milliseconds.
fn consistent_until_ms(record: &RequestRecord) -> Option<i64> {
    match &record.answer {
        Answer::Value(value) => value.split(' ').nth(1).and_then(|field| field.parse().ok()),
        _ => None,
    }
}

/// Sends requests until one is not rejected, and returns its record.
fn request_until_not_rejected(client: &mut Client, kind: Kind, name: &str) -> RequestRecord {
    for index in 0..200 {
        let record = client.request(&format!("{name}-{index}"), 1, kind, 800);
        if !matches!(record.answer, Answer::Rejected(_)) {
            return record;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("{name} was rejected 200 times");
}

/// Sends requests until one is served, and returns its record.
fn request_until_served(client: &mut Client, kind: Kind, name: &str) -> RequestRecord {
    for index in 0..200 {
        let record = request_until_not_rejected(client, kind, &format!("{name}-{index}"));
        if matches!(record.answer, Answer::Value(_)) {
            return record;
        }
    }
    panic!("{name} is not served");
}

#[test]
fn a_session_keeps_monotonic_reads_across_instances_and_restarts() {
    let fixture = Fixture::new([15, 700]);
    let mut daemons = [fixture.start(0), fixture.start(1)].map(Some);
    let mut token = fixture.client(0, Some("new")).token.expect("a token is given");
    let (mut seen, mut seen_without_session, mut steps_back) = (0, 0, 0);
    for round in 0..60 {
        let index = round % 2;
        if round % 20 == 19 {
            daemons[index].take().map(Daemon::kill);
            daemons[index] = Some(fixture.start(index));
        }
        let mut client = fixture.client(index, Some(&token));
        assert_eq!(client.rejected_with, None);
        let kind = if round % 5 == 0 { Kind::Write } else { Kind::Read };
        let record = request_until_served(&mut client, kind, &format!("r{round}"));
        if kind == Kind::Read {
            let shows = consistent_until_ms(&record).expect("a value");
            assert!(shows >= seen, "round {round}: read data up to {shows} after data up to {seen}");
            seen = shows;
        } else {
            seen = seen.max(record.sent_ms);
        }
        token = client.token.clone().expect("each answer comes with a token");
        // Reads without a session must go back in time at least once, or the test proves nothing about sessions.
        let mut plain = fixture.client(index, None);
        assert_eq!(plain.token, None);
        let shows = consistent_until_ms(&request_until_served(&mut plain, Kind::Read, &format!("p{round}")))
            .expect("a value");
        steps_back += usize::from(shows < seen_without_session);
        seen_without_session = shows;
    }
    assert!(steps_back > 0, "no read without a session went back in time, so the test proves nothing");
    println!("{steps_back} of 60 reads without a session showed less than the one before");
}

#[test]
fn a_failover_that_loses_data_seen_by_a_session_is_reported_to_it_once() {
    let fixture = Fixture::new([400, 400]);
    let mut daemons = [fixture.start(0), fixture.start(1)].map(Some);
    let [token, read, write] = ["a", "b", "c"].map(|name| fixture.session_on_both(name));
    fixture.fail_over_to_replica_1();
    // An instance that has just started knows no epoch, and its first request is a write.
    daemons[0].take().map(Daemon::kill);
    daemons[0] = Some(fixture.start(0));
    let reported = request_until_not_rejected(&mut fixture.client(0, Some(&token)), Kind::Write, "first");
    assert_eq!(reported.answer, Answer::Error("ZG001".into()));
    assert!(
        !fixture.cluster.lock().executions.contains_key(&reported.id),
        "the write ran although the loss was reported"
    );
    // Both instances learn of the new epoch by the requests of other clients.
    for index in 0..2 {
        let mut other = fixture.client(index, None);
        request_until_served(&mut other, Kind::Write, &format!("o{index}"));
    }
    for (kind, token) in [(Kind::Read, read), (Kind::Write, write)] {
        let mut moved = fixture.client(0, Some(&token));
        let reported = moved.request(&format!("t-{kind:?}"), 1, kind, 800);
        assert_eq!(reported.answer, Answer::Error("ZG001".into()), "{kind:?}");
        let next = moved.token.clone().expect("a token without the lost positions");
        // Reported once: the instance that has the lost positions in its cache does not report the loss again.
        for index in 0..2 {
            let mut again = fixture.client(index, Some(&next));
            let record = request_until_not_rejected(&mut again, Kind::Read, &format!("a-{kind:?}-{index}"));
            assert!(matches!(record.answer, Answer::Value(_)), "{record:?}");
        }
    }
    // A session that saw none of the lost data gets no error.
    let mut fresh = fixture.client(1, Some("new"));
    request_until_served(&mut fresh, Kind::Read, "f");
    drop(daemons);
}

#[test]
fn a_session_token_is_valid_for_its_user_until_it_expires_even_if_keys_change() {
    let fixture = Fixture::new([15, 15]);
    let daemons = [fixture.start(0), fixture.start(1)];
    let mut client = fixture.client(0, Some("new"));
    request_until_served(&mut client, Kind::Write, "w");
    let token = client.token.clone().expect("a token");
    println!("{} characters: {token}", token.len());
    for (user, token, code) in [
        ("backend", "forged", "ZG002"),
        ("backend", &token[..token.len() - 2], "ZG002"),
        ("another", token.as_str(), "ZG002"),
        ("backend", &token.replace(&token[40..41], if &token[40..41] == "A" { "B" } else { "A" }), "ZG002"),
    ] {
        let client = fixture.client_of(1, user, Some(token));
        assert_eq!(client.rejected_with.as_deref(), Some(code), "{token}");
    }
    // After a key was added to the running instances, tokens sealed with the old key are still valid at both.
    std::fs::write(fixture.folder.path().join("keys"), KEYS[1]).expect("written");
    daemons.iter().for_each(|daemon| daemon.signal("HUP"));
    thread::sleep(Duration::from_millis(200));
    let mut later = fixture.client(1, Some(&token));
    assert_eq!(later.rejected_with, None);
    request_until_served(&mut later, Kind::Read, "r");
    let newer = later.token.clone().expect("sealed with the new key");
    // An invalid key file changes nothing.
    std::fs::write(fixture.folder.path().join("keys"), "1 00\n").expect("written");
    daemons[0].signal("HUP");
    thread::sleep(Duration::from_millis(200));
    assert_eq!(fixture.client(0, Some(&newer)).rejected_with, None);
    thread::sleep(Duration::from_millis(10_500));
    assert_eq!(fixture.client(0, Some(&token)).rejected_with.as_deref(), Some("ZG003"));
    drop(daemons);
}
