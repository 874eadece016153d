//! Sessions that their clients carry, over two fronts, lag, restarts and a switch that loses the tail of a
//! log.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};
use test_servers::client::{Answer, Client, Kind, Record};
use test_servers::daemon::{Daemon, Start};
use test_servers::discovery::{host, Discovery, Mode};
use test_servers::starts::settings;
use test_servers::store::{free_address, serve, Served};
use test_servers::world::{Branch, Cold, Machine, Reach, World};

const KEYS: [&str; 2] = [
    "1 000102030405060708090a0b0c0d0e0f\n",
    "1 000102030405060708090a0b0c0d0e0f\n2 ffeeddccbbaa99887766554433221100\n",
];

/// One group of three, its two replicas at different lags, and two fronts on it.
struct Place {
    folder: tempfile::TempDir,
    listen: [SocketAddr; 2],
    discovery: Discovery,
    world: Arc<World>,
    served: Vec<Served>,
}

impl Place {
    fn new(lags: [i64; 2]) -> Place {
        let cold = Cold { from: 1.0, for_ms: 1, overload_multiple: 9.0, window_ms: 500, work_ms: 1 };
        let world = Arc::new(World::new(cold, 250));
        let machine = |nth: usize| {
            let lag_ms = if nth == 0 { 0 } else { lags[nth - 1] };
            Machine::of(format!("s-{nth}"), 1, (nth > 0).then_some(0), lag_ms)
        };
        world.lock().branches.insert(1, vec![Branch { forked_ms: 0, truth: true }]);
        world.lock().machines = (0..3).map(machine).collect();
        let served: Vec<Served> = (0..3).map(|ix| serve(&world, ix)).collect();
        let folder = tempfile::tempdir().expect("a folder");
        std::fs::write(folder.path().join("keys"), KEYS[0]).expect("written");
        let discovery = Discovery::start(Mode::Up, 1, Vec::new());
        let place = Place { folder, listen: [free_address(), free_address()], discovery, world, served };
        place.list(2, 0);
        place
    }

    fn list(&self, seq: i64, primary: usize) {
        let entry =
            |nth: usize| host(&format!("s-{nth}"), &self.served[nth].addr, 1, nth == primary, "SERVING", 0);
        self.discovery.tell(seq, (0..3).map(entry).collect());
    }

    fn start(&self, nth: usize) -> Daemon {
        let folder = self.folder.path().join(format!("front-{nth}"));
        std::fs::create_dir_all(&folder).expect("made");
        let facts = format!(r#"{{"seed":"{nth}","settings":{}}}"#, settings());
        let conf = format!("session-keys {}\nsession-lasts 10s\n", self.folder.path().join("keys").display());
        let start = Start {
            program: Path::new(env!("CARGO_BIN_EXE_query-router")),
            facts: &facts,
            conf: Some(&conf),
            folder: &folder,
            listen: self.listen[nth],
            discovery: self.discovery.addr,
        };
        let daemon = Daemon::start(&start).expect("it starts");
        self.client(nth, None);
        daemon
    }

    /// A client of a front, as soon as that takes it.
    fn client(&self, nth: usize, session: Option<&str>) -> Client {
        self.client_of(nth, "backend", session)
    }

    fn client_of(&self, nth: usize, user: &str, session: Option<&str>) -> Client {
        let began = Instant::now();
        loop {
            match Client::with_session(&self.listen[nth], user, session) {
                Ok(client) => return client,
                Err(why) => assert!(began.elapsed() < Duration::from_secs(10), "{why}"),
            }
            thread::sleep(Duration::from_millis(5));
        }
    }
}

/// Up to when an answer's data is true, in Unix milliseconds.
fn shown(record: &Record) -> Option<i64> {
    match &record.answer {
        Answer::Value(value) => value.split(' ').nth(1).and_then(|word| word.parse().ok()),
        _ => None,
    }
}

/// Asks until it is told something else than to come back.
fn answered(client: &mut Client, kind: Kind, name: &str) -> Record {
    for nth in 0..200 {
        let record = client.ask(&format!("{name}-{nth}"), 1, kind, 800);
        if !matches!(record.answer, Answer::PushedBack(_)) {
            return record;
        }
        thread::sleep(Duration::from_millis(10));
    }
    panic!("{name} is only pushed back");
}

/// Asks until it is served.
fn served(client: &mut Client, kind: Kind, name: &str) -> Record {
    for nth in 0..200 {
        let record = answered(client, kind, &format!("{name}-{nth}"));
        if matches!(record.answer, Answer::Value(_)) {
            return record;
        }
    }
    panic!("{name} is not served");
}

#[test]
fn a_session_that_moves_between_fronts_and_restarts_never_sees_less_than_it_has_seen() {
    let place = Place::new([15, 700]);
    let mut daemons = [place.start(0), place.start(1)].map(Some);
    let mut token = place.client(0, Some("new")).token.expect("a token is given");
    let (mut saw, mut without, mut less_without) = (0, 0, 0);
    for round in 0..60 {
        let nth = round % 2;
        if round % 20 == 19 {
            daemons[nth].take().map(Daemon::kill);
            daemons[nth] = Some(place.start(nth));
        }
        let mut client = place.client(nth, Some(&token));
        assert_eq!(client.refused, None);
        let kind = if round % 5 == 0 { Kind::Write } else { Kind::Read };
        let record = served(&mut client, kind, &format!("r{round}"));
        if kind == Kind::Read {
            let shows = shown(&record).expect("a value");
            assert!(shows >= saw, "round {round}: shown up to {shows}, had seen {saw}");
            saw = shows;
        } else {
            saw = saw.max(record.sent_ms);
        }
        token = client.token.clone().expect("a token goes with each answer");
        // The same without a session, to see that it is the session which holds.
        let mut plain = place.client(nth, None);
        assert_eq!(plain.token, None);
        let shows = shown(&served(&mut plain, Kind::Read, &format!("p{round}"))).expect("a value");
        less_without += usize::from(shows < without);
        without = shows;
    }
    assert!(less_without > 0, "nothing here would have gone back: the test shows nothing");
    println!("{less_without} of 60 reads without a session showed less than the one before");
}

#[test]
fn a_switch_that_loses_what_a_session_saw_is_told_once_and_clearly() {
    let place = Place::new([400, 400]);
    let mut daemons = [place.start(0), place.start(1)].map(Some);
    // Sessions that both fronts remember.
    let [token, read, write] = ["a", "b", "c"].map(|name| {
        let mut token = "new".to_string();
        for nth in 0..2 {
            let mut client = place.client(nth, Some(&token));
            served(&mut client, Kind::Write, &format!("{name}{nth}"));
            token = client.token.expect("a token");
        }
        token
    });
    // The heir lacks the last 400 ms, the session's write among them; the former primary is gone.
    {
        let mut truth = place.world.lock();
        let now = test_servers::world::unix_ms();
        let fork = truth.position(1, now);
        truth.promote(1, false, fork);
        truth.machines[0].reach = Reach::Silent;
    }
    place.list(3, 1);
    // A front that has just started has heard nothing of epochs, and the first that it gets is a write.
    daemons[0].take().map(Daemon::kill);
    daemons[0] = Some(place.start(0));
    let told = answered(&mut place.client(0, Some(&token)), Kind::Write, "first");
    assert_eq!(told.answer, Answer::Error("ZG001".into()));
    assert!(!place.world.lock().runs.contains_key(&told.id), "told of a loss, and it ran");
    // Both fronts hear of the new epoch by other clients.
    for nth in 0..2 {
        let mut other = place.client(nth, None);
        served(&mut other, Kind::Write, &format!("o{nth}"));
    }
    for (kind, token) in [(Kind::Read, read), (Kind::Write, write)] {
        let mut moved = place.client(0, Some(&token));
        let told = moved.ask(&format!("t-{kind:?}"), 1, kind, 800);
        assert_eq!(told.answer, Answer::Error("ZG001".into()), "{kind:?}");
        let next = moved.token.clone().expect("a token without what was lost");
        // Told once: the front that remembers what was lost does not bring it back.
        for nth in 0..2 {
            let mut again = place.client(nth, Some(&next));
            let record = answered(&mut again, Kind::Read, &format!("a-{kind:?}-{nth}"));
            assert!(matches!(record.answer, Answer::Value(_)), "{record:?}");
        }
    }
    // A session that saw nothing of it is not troubled.
    let mut fresh = place.client(1, Some("new"));
    served(&mut fresh, Kind::Read, "f");
    drop(daemons);
}

#[test]
fn a_token_counts_for_its_client_in_its_time_under_keys_that_may_change() {
    let place = Place::new([15, 15]);
    let daemons = [place.start(0), place.start(1)];
    let mut client = place.client(0, Some("new"));
    served(&mut client, Kind::Write, "w");
    let token = client.token.clone().expect("a token");
    println!("{} characters: {token}", token.len());
    for (user, word, code) in [
        ("backend", "forged", "ZG002"),
        ("backend", &token[..token.len() - 2], "ZG002"),
        ("another", token.as_str(), "ZG002"),
        ("backend", &token.replace(&token[40..41], if &token[40..41] == "A" { "B" } else { "A" }), "ZG002"),
    ] {
        let refused = place.client_of(1, user, Some(word));
        assert_eq!(refused.refused.as_deref(), Some(code), "{word}");
    }
    // The keys change while the fronts run: what was sealed before still counts, also at the other one.
    std::fs::write(place.folder.path().join("keys"), KEYS[1]).expect("written");
    daemons.iter().for_each(|daemon| daemon.signal("HUP"));
    thread::sleep(Duration::from_millis(200));
    let mut later = place.client(1, Some(&token));
    assert_eq!(later.refused, None);
    served(&mut later, Kind::Read, "r");
    let newer = later.token.clone().expect("sealed with the new key");
    // A bad file changes nothing.
    std::fs::write(place.folder.path().join("keys"), "1 00\n").expect("written");
    daemons[0].signal("HUP");
    thread::sleep(Duration::from_millis(200));
    assert_eq!(place.client(0, Some(&newer)).refused, None);
    thread::sleep(Duration::from_millis(10_500));
    assert_eq!(place.client(0, Some(&token)).refused.as_deref(), Some("ZG003"));
    drop(daemons);
}
