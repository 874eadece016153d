//! Sessions whose tokens are held by their clients. Clients move between two instances that are restarted, replicas
//! lag, and a failover loses the end of a log.

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

/// Contents of the session key file: at first one key, later the same key and a newer one.
const KEY_FILES: [&str; 2] = [
    "1 000102030405060708090a0b0c0d0e0f\n",
    "1 000102030405060708090a0b0c0d0e0f\n2 ffeeddccbbaa99887766554433221100\n",
];

/// SQLSTATE of a request whose session has observed data that a failover lost.
const SESSION_LOST: &str = "ZG001";
/// SQLSTATE of a connection whose session token is invalid, or was issued to another user.
const TOKEN_REJECTED: &str = "ZG002";
/// SQLSTATE of a connection whose session token has expired.
const TOKEN_EXPIRED: &str = "ZG003";

/// One group of a primary and two replicas, and two instances.
struct Fixture {
    folder: tempfile::TempDir,
    listen: [SocketAddr; 2],
    discovery: Discovery,
    cluster: Arc<Cluster>,
    served: Vec<ServedEndpoint>,
}

impl Fixture {
    /// Starts the group without its instances. `lags_ms` has the replication lag of each replica in milliseconds.
    fn new(lags_ms: [i64; 2]) -> Fixture {
        let (cluster, served) = start_endpoint_group(&[0, lags_ms[0], lags_ms[1]]);
        let folder = tempfile::tempdir().expect("failed to create a temporary directory");
        std::fs::write(folder.path().join("keys"), KEY_FILES[0]).expect("failed to write the key file");
        let discovery = Discovery::start(DiscoveryMode::Up, 1, Vec::new());
        let fixture =
            Fixture { folder, listen: [free_address(), free_address()], discovery, cluster, served };
        fixture.publish_list(2, 0);
        fixture
    }

    /// Publishes an endpoint list in which `s-{primary}` is the primary.
    fn publish_list(&self, version: i64, primary: usize) {
        let entry = |index: usize| group_entry(&self.served, index, primary);
        self.discovery.set_list(version, (0..3).map(entry).collect());
    }

    /// Starts an instance and waits until it accepts a connection.
    fn start(&self, index: usize) -> Daemon {
        let folder = self.folder.path().join(format!("instance-{index}"));
        std::fs::create_dir_all(&folder).expect("failed to create the instance's directory");
        let operator_file =
            format!("session-keys {}\nsession-lasts 10s\n", self.folder.path().join("keys").display());
        let daemon = start_router(index, &operator_file, &folder, self.listen[index], self.discovery.addr);
        self.client(index, None);
        daemon
    }

    /// Creates a session and sends a write of it to each instance, so that both have the session in their cache.
    /// Returns the session's token.
    fn create_session_on_both(&self, name: &str) -> String {
        let mut token = "new".to_string();
        for index in 0..2 {
            let mut client = self.client(index, Some(&token));
            request_until_served(&mut client, Kind::Write, &format!("{name}{index}"));
            token = client.token.expect("the instance sent no session token");
        }
        token
    }

    /// Promotes the replica `s-1`. The end of the log that it has not replicated is lost, including the sessions'
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

    /// Ends the primary `s-0` and promotes the replica `s-1`, as in [`Fixture::fail_over_to_replica_1`]. Discovery does
    /// not list the new primary, so an instance finds it by health checks.
    fn replace_primary_unlisted(&mut self) {
        drop(self.served.remove(0));
        let mut state = self.cluster.lock();
        let forked_ms = state.position(1, unix_ms());
        state.promote(1, OldPrimary::Follows, forked_ms);
    }

    /// Connects a client to an instance. `session` is a session token, or `Some("new")` to request a new session.
    fn client(&self, index: usize, session: Option<&str>) -> Client {
        self.client_of_user(index, "backend", session)
    }

    /// Connects a client of the user `user`, otherwise as [`Fixture::client`].
    fn client_of_user(&self, index: usize, user: &str, session: Option<&str>) -> Client {
        connect(&self.listen[index], user, session)
    }
}

/// The position in Unix milliseconds up to which the data of an answer is that of the log's live branch; `None` if the
/// answer has no value.
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
    panic!("request {name} was rejected 200 times");
}

/// Sends requests until one is served, and returns its record.
fn request_until_served(client: &mut Client, kind: Kind, name: &str) -> RequestRecord {
    for index in 0..200 {
        let record = request_until_not_rejected(client, kind, &format!("{name}-{index}"));
        if matches!(record.answer, Answer::Value(_)) {
            return record;
        }
    }
    panic!("request {name} was not served in 200 attempts");
}

#[test]
fn a_session_keeps_monotonic_reads_across_instances_and_restarts() {
    let fixture = Fixture::new([15, 700]);
    let mut daemons = [fixture.start(0), fixture.start(1)].map(Some);
    let mut token = fixture.client(0, Some("new")).token.expect("the instance sent no session token");
    let (mut observed_ms, mut observed_without_session_ms, mut older_reads) = (0, 0, 0);
    for round in 0..60 {
        let index = round % 2;
        if round % 20 == 19 {
            daemons[index].take().map(Daemon::kill);
            daemons[index] = Some(fixture.start(index));
        }
        let mut client = fixture.client(index, Some(&token));
        assert_eq!(client.rejected_with, None, "a valid session token was rejected");
        let kind = if round % 5 == 0 { Kind::Write } else { Kind::Read };
        let record = request_until_served(&mut client, kind, &format!("r{round}"));
        if kind == Kind::Read {
            let read_ms = consistent_until_ms(&record).expect("the read returned no position");
            assert!(
                read_ms >= observed_ms,
                "round {round}: the session read data up to {read_ms} after data up to {observed_ms}"
            );
            observed_ms = read_ms;
        } else {
            observed_ms = observed_ms.max(record.sent_ms);
        }
        token = client.token.clone().expect("the instance sent no session token");
        // For comparison, a client without a session reads at the same instance.
        let mut plain = fixture.client(index, None);
        assert_eq!(plain.token, None, "a token was sent to a client without a session");
        let record = request_until_served(&mut plain, Kind::Read, &format!("p{round}"));
        let read_ms = consistent_until_ms(&record).expect("the read returned no position");
        older_reads += usize::from(read_ms < observed_without_session_ms);
        observed_without_session_ms = read_ms;
    }
    assert!(older_reads > 0, "no read without a session returned older data, so the test proves nothing");
    println!("{older_reads} of 60 reads without a session returned older data than the one before");
}

/// Sends a request of kind `kind` with `token`, whose session has observed data that a failover lost. Checks that the
/// loss is reported, and that both instances then serve reads with the session's next token.
fn assert_loss_is_reported_once(fixture: &Fixture, kind: Kind, token: &str) {
    let mut moved = fixture.client(0, Some(token));
    let record = moved.request(&format!("t-{kind:?}"), 1, kind, 800);
    assert_eq!(record.answer, Answer::Error(SESSION_LOST.into()), "the loss was not reported to a {kind:?}");
    let next_token = moved.token.clone().expect("the instance sent no token after the loss");
    // The next token no longer contains the lost positions. An instance whose cache still has them must not report
    // the loss a second time.
    for index in 0..2 {
        let mut later = fixture.client(index, Some(&next_token));
        let record = request_until_not_rejected(&mut later, Kind::Read, &format!("a-{kind:?}-{index}"));
        assert!(
            matches!(record.answer, Answer::Value(_)),
            "the loss was reported again, or the read failed: {record:?}"
        );
    }
}

#[test]
fn a_failover_that_loses_data_seen_by_a_session_is_reported_to_it_once() {
    let fixture = Fixture::new([400, 400]);
    let mut daemons = [fixture.start(0), fixture.start(1)].map(Some);
    let [first_token, read_token, write_token] =
        ["a", "b", "c"].map(|name| fixture.create_session_on_both(name));
    fixture.fail_over_to_replica_1();
    // An instance that has just started does not know the new epoch. Its first request is a write.
    daemons[0].take().map(Daemon::kill);
    daemons[0] = Some(fixture.start(0));
    let write_record =
        request_until_not_rejected(&mut fixture.client(0, Some(&first_token)), Kind::Write, "first");
    assert_eq!(write_record.answer, Answer::Error(SESSION_LOST.into()));
    assert!(
        !fixture.cluster.lock().executions.contains_key(&write_record.id),
        "the write was executed although the loss was reported"
    );
    // Both instances learn the new epoch by the requests of other clients.
    for index in 0..2 {
        let mut other = fixture.client(index, None);
        request_until_served(&mut other, Kind::Write, &format!("o{index}"));
    }
    for (kind, token) in [(Kind::Read, read_token), (Kind::Write, write_token)] {
        assert_loss_is_reported_once(&fixture, kind, &token);
    }
    // A session that has observed none of the lost data gets no error.
    let mut unaffected = fixture.client(1, Some("new"));
    request_until_served(&mut unaffected, Kind::Read, "f");
    drop(daemons);
}

/// Sends writes until one is neither rejected nor aborted, and returns its record.
fn write_until_final(client: &mut Client, name: &str) -> RequestRecord {
    for index in 0..200 {
        let record = request_until_not_rejected(client, Kind::Write, &format!("{name}-{index}"));
        if record.answer != Answer::Aborted {
            return record;
        }
    }
    panic!("the write {name} was aborted 200 times");
}

/// Guards against a session's write that is executed on a log without what the session has seen: the connection on which
/// it was sent had reported the new epoch in the answer to a health check only.
#[test]
fn a_loss_is_reported_to_a_write_if_only_a_health_check_has_seen_the_new_epoch() {
    let mut fixture = Fixture::new([400, 400]);
    let _daemon = fixture.start(0);
    let mut client = fixture.client(0, Some("new"));
    request_until_served(&mut client, Kind::Write, "seen");
    fixture.replace_primary_unlisted();
    let record = write_until_final(&mut client, "after");
    assert_eq!(record.answer, Answer::Error(SESSION_LOST.into()), "the loss was not reported");
    assert!(
        !fixture.cluster.lock().executions.contains_key(&record.id),
        "the write was executed although the loss was reported"
    );
}

/// Checks that the valid token `token` is rejected if it is truncated, altered or sent by another user, and that a
/// forged token is rejected.
fn assert_invalid_tokens_are_rejected(fixture: &Fixture, token: &str) {
    for (user, token, code) in [
        ("backend", "forged", TOKEN_REJECTED),
        ("backend", &token[..token.len() - 2], TOKEN_REJECTED),
        ("another", token, TOKEN_REJECTED),
        (
            "backend",
            &token.replace(&token[40..41], if &token[40..41] == "A" { "B" } else { "A" }),
            TOKEN_REJECTED,
        ),
    ] {
        let client = fixture.client_of_user(1, user, Some(token));
        assert_eq!(client.rejected_with.as_deref(), Some(code), "user {user}, token {token}");
    }
}

#[test]
fn a_token_stays_valid_for_its_user_across_key_changes_until_it_expires() {
    let fixture = Fixture::new([15, 15]);
    let daemons = [fixture.start(0), fixture.start(1)];
    let mut client = fixture.client(0, Some("new"));
    request_until_served(&mut client, Kind::Write, "w");
    let token = client.token.clone().expect("the instance sent no session token");
    println!("token of {} characters: {token}", token.len());
    assert_invalid_tokens_are_rejected(&fixture, &token);
    // A token issued with the old key stays valid after a newer key was added to the running instances.
    std::fs::write(fixture.folder.path().join("keys"), KEY_FILES[1]).expect("failed to write the key file");
    daemons.iter().for_each(|daemon| daemon.signal("HUP"));
    thread::sleep(Duration::from_millis(200));
    let mut later = fixture.client(1, Some(&token));
    assert_eq!(later.rejected_with, None, "a token issued with the old key was rejected");
    request_until_served(&mut later, Kind::Read, "r");
    let newer_token = later.token.clone().expect("the instance sent no session token");
    // An invalid key file does not change the keys in use.
    std::fs::write(fixture.folder.path().join("keys"), "1 00\n").expect("failed to write the key file");
    daemons[0].signal("HUP");
    thread::sleep(Duration::from_millis(200));
    assert_eq!(
        fixture.client(0, Some(&newer_token)).rejected_with,
        None,
        "a token was rejected after a reload of an invalid key file"
    );
    thread::sleep(Duration::from_millis(10_500));
    assert_eq!(fixture.client(0, Some(&token)).rejected_with.as_deref(), Some(TOKEN_EXPIRED));
    drop(daemons);
}
