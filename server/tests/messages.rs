//! The message code, the outcome table, the ledger and discovery's stream, without a socket.

use host_support::book::Book;
use proptest::prelude::*;
use routing::iface::{Outcome, Role, Standing};
use routing::time::Moment;
use server::clock::{from_unix_ms, from_unix_s};
use server::discovery::{Stream, Word};
use server::hosts::{Host, Hosts};
use server::ledger::{Ledger, Share};
use server::pg::{self, Hello, Statement};
use server::relay::{report, Reply};
use server::take_in::{Item, TakeIn};
use std::collections::BTreeMap;

const GET: &str = "/* id=9b1f03aa5c7e2d41,c=basket,d=480,cluster=2,after=1767225600123,r=1 */ \
                   SELECT content FROM kv WHERE name = '7f3a9c21e0b4d655'";

fn message(tag: u8, body: &[u8]) -> Vec<u8> {
    let length = (body.len() as u32 + 4).to_be_bytes();
    [&[tag], &length[..], body].concat()
}

/// A good answer with this value: what is passed on of it, and all of it.
fn answer_of(value: &[u8]) -> (Vec<u8>, Vec<u8>) {
    let row = [&[0, 1], &(value.len() as u32).to_be_bytes()[..], value].concat();
    let passed = [message(b'T', HEADS), message(b'D', &row), message(b'C', b"SELECT 1\0")].concat();
    let rest =
        [message(b'S', b"recovery\0on\0"), message(b'S', b"lsn_ms\x001767225600123\0"), message(b'Z', b"I")];
    let bytes = [&passed[..], &rest.concat()].concat();
    (passed, bytes)
}

const HEADS: &[u8] = b"\0\x01content\0\0\0\0\0\0\0\0\0\0\x11\xff\xff\xff\xff\xff\xff\0\x01";

/// The tags of whole messages and nothing else.
fn tags(bytes: &[u8]) -> String {
    let (mut tags, mut at) = (String::new(), 0);
    while let Ok(Some(frame)) = pg::frame(bytes, at, pg::MOST_VALUE) {
        tags.push(frame.tag as char);
        at = frame.body.end;
    }
    tags + if at == bytes.len() { "" } else { "?" }
}

fn all(parts: &[&[u8]]) -> Vec<Item> {
    let mut inbox = TakeIn::default();
    let mut items = Vec::new();
    for part in parts {
        inbox.feed(part);
        items.extend(std::iter::from_fn(|| inbox.next_item()));
    }
    items
}

/// One message or another, most of them whole.
fn some_message() -> impl Strategy<Value = Vec<u8>> {
    let tag = prop::sample::select(b"QQQQSPBDEHCFdcfX?".to_vec());
    let body = prop_oneof![
        Just(GET.as_bytes().to_vec()),
        Just(Vec::new()),
        prop::collection::vec(any::<u8>(), 0..40),
        prop::collection::vec(prop::sample::select(b"/* c=d,=9;'".to_vec()), 0..40),
    ];
    prop_oneof![
        8 => (tag, body, any::<bool>()).prop_map(|(tag, mut body, zero)| {
            body.extend(zero.then_some(0));
            message(tag, &body)
        }),
        1 => prop::collection::vec(any::<u8>(), 0..12),
    ]
}

proptest! {
    #[test]
    fn a_client_s_bytes_mean_the_same_however_they_are_split(
        messages in prop::collection::vec(some_message(), 0..12),
        cuts in prop::collection::vec(1usize..30, 0..80),
        encrypted in any::<bool>(),
    ) {
        let mut bytes = if encrypted { vec![0, 0, 0, 8, 4, 210, 22, 47] } else { Vec::new() };
        bytes.extend(pg::start_up());
        bytes.extend(messages.concat());
        let (mut parts, mut rest) = (Vec::new(), &bytes[..]);
        for cut in cuts {
            let (part, behind) = rest.split_at(cut.min(rest.len()));
            parts.push(part);
            rest = behind;
        }
        parts.push(rest);
        let items = all(&[&bytes]);
        prop_assert_eq!(&items, &all(&parts));
        for item in &items {
            if let Item::Query(body) = item {
                pg::statement(body);
            }
        }
        let last = |item: &Item| matches!(item, Item::Unfit { .. } | Item::Terminate | Item::Cancel);
        prop_assert!(items.iter().rev().skip(1).all(|item| !last(item)), "nothing comes behind an end");
    }

    #[test]
    fn random_bytes_end_in_no_panic_anywhere(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        all(&[&bytes]);
        pg::statement(&bytes);
        Reply::default().read(&bytes);
        report(&String::from_utf8_lossy(&bytes));
        let mut stream = Stream::default();
        if stream.take(&bytes).is_ok() {
            while let Ok(Some(_)) = stream.word() {}
        }
    }

    #[test]
    fn a_store_s_answer_means_the_same_however_it_is_split(
        value in prop::collection::vec(any::<u8>(), 0..5000),
        cuts in prop::collection::vec(1usize..400, 0..30),
        surplus in prop::collection::vec(any::<u8>(), 0..9),
    ) {
        let (passed, bytes) = answer_of(&value);
        let (mut reply, mut end, mut known) = (Reply::default(), 0, false);
        for cut in cuts.into_iter().chain([usize::MAX]) {
            end = cut.saturating_add(end).min(bytes.len());
            let outcome = reply.read(&bytes[..end]);
            known = outcome.is_some();
            prop_assert_eq!(known, end == bytes.len());
            if known {
                prop_assert_eq!(outcome, Some(Outcome::Ok));
                break;
            }
        }
        prop_assert!(known && reply.frees(&bytes));
        prop_assert_eq!(reply.frees(&[&bytes[..], &surplus].concat()), surplus.is_empty());
        prop_assert_eq!(&reply.value(bytes.clone()), &passed, "passed on unchanged");
        prop_assert_eq!(pg::only_row(&passed), Some(&value[..]));
        let (note, _) = reply.told();
        prop_assert_eq!(note.role, Some(Role::Replica));
        prop_assert_eq!(note.position, Some(Moment(1_767_225_600_123_000_000)));
    }

    #[test]
    fn a_spoilt_answer_is_never_taken_for_a_value(
        value in prop::collection::vec(any::<u8>(), 0..300),
        spoils in prop::collection::vec((0usize..400, 0usize..4, any::<u8>()), 1..4),
        cuts in prop::collection::vec(1usize..40, 0..30),
    ) {
        let (_, mut bytes) = answer_of(&value);
        for (at, how, byte) in spoils {
            let at = at % (bytes.len() + 1);
            match how {
                0 => bytes.truncate(at),
                1 => bytes.insert(at, byte),
                2 if at < bytes.len() => bytes[at] = byte,
                _ => drop(bytes.drain(at..(at + usize::from(byte)).min(bytes.len()))),
            }
        }
        let (mut reply, mut end, mut outcome) = (Reply::default(), 0, None);
        for cut in cuts.into_iter().chain([usize::MAX]) {
            end = cut.saturating_add(end).min(bytes.len());
            outcome = reply.read(&bytes[..end]);
            if outcome.is_some() {
                break;
            }
        }
        let mut whole = Reply::default();
        prop_assert_eq!(whole.read(&bytes[..end]), outcome, "however it is split");
        if reply.outcome(Outcome::Broken) == Outcome::Ok {
            let passed = reply.value(bytes.clone());
            prop_assert!(pg::only_row(&passed).is_some() && tags(&passed) == "TDC", "one row of one column, whole");
        }
        if outcome == Some(Outcome::Errored) && !reply.frees(&bytes) {
            prop_assert!(reply.told().0.position.is_none(), "a spoilt answer has told nothing");
        }
    }

    #[test]
    fn each_descriptor_and_each_byte_is_given_back_once(steps in prop::collection::vec((0usize..6, any::<u16>()), 1..200), turns_away: bool) {
        let ledger = Ledger::new(64, 3 << 10, turns_away);
        let clients = ledger.most(Share::Clients);
        let (mut entries, mut weights) = (Vec::new(), Vec::new());
        let shares = [Share::Clients, Share::Stores, Share::Discovery, Share::TurnedAway];
        for (step, how) in steps {
            let addr = std::net::SocketAddr::from(([127, 0, 0, 1], how % 3));
            match step {
                0 => entries.extend(ledger.enter_store(addr).map(|entry| (1, entry))),
                1 => entries.extend(ledger.enter_client(Moment(0)).map(|(entry, _)| (0, entry))),
                2 => entries.extend(ledger.enter(Share::Discovery).map(|entry| (2, entry))),
                5 => entries.extend(ledger.enter(Share::TurnedAway).map(|entry| (3, entry))),
                3 if !entries.is_empty() => {
                    let (_, entry) = entries.swap_remove(usize::from(how) % entries.len());
                    drop(entry);
                }
                _ if how % 2 == 0 => {
                    let mut weight = ledger.weight();
                    weight.set(usize::from(how));
                    weights.push((usize::from(how), weight));
                }
                _ => {
                    weights.pop();
                }
            }
            let mut counts = [0; 4];
            entries.iter().for_each(|(share, _)| counts[*share] += 1);
            prop_assert_eq!(shares.map(|share| ledger.taken(share)), counts);
            prop_assert!(counts.iter().sum::<usize>() < 64, "some stay spare");
            prop_assert!(turns_away || counts[3] == 0, "set aside for nobody");
            if step == 1 && counts[0] <= clients {
                let came = entries.last().is_some_and(|(share, _)| *share == 0);
                prop_assert!(came, "those turned away stand in nobody's way");
            }
            let held: usize = weights.iter().map(|(bytes, _)| bytes).sum();
            prop_assert_eq!(ledger.is_heavy(), held > 1 << 10);
        }
        drop((entries, weights));
        prop_assert_eq!(shares.map(|share| ledger.taken(share)), [0; 4]);
        prop_assert!(!ledger.is_heavy());
    }

    #[test]
    fn each_rpc_s_page_is_given_back_once_and_only_when_nothing_more_can_come(
        steps in prop::collection::vec((0u64..8, 0usize..4, any::<bool>()), 1..200),
    ) {
        let mut book = Book::default();
        // Of each RPC: whether its page was given back, its call-outs out, whether it was closed.
        let mut model: BTreeMap<u64, (bool, u32, bool)> = BTreeMap::new();
        let ends = (0..8).flat_map(|rpc| [(rpc, 3, true)].into_iter().chain([(rpc, 2, true); 200]));
        for (rpc, step, closes) in steps.into_iter().chain(ends) {
            let entry = model.get(&rpc).copied();
            let given = match (entry, step) {
                (None, 0) => {
                    book.enter(rpc, rpc);
                    model.insert(rpc, (false, 0, false));
                    None
                }
                (Some((false, out, false)), 1) => {
                    book.sent(rpc);
                    model.insert(rpc, (false, out + 1, false));
                    None
                }
                (Some((given, out, closed)), 2) if out > 0 => {
                    model.insert(rpc, (given, out - 1, closed || closes));
                    book.returned(rpc, closes)
                }
                (Some((given, out, _)), 3) => {
                    model.insert(rpc, (given, out, true));
                    book.close(rpc)
                }
                _ => continue,
            };
            let page = model.get_mut(&rpc).expect("entered");
            let over = !page.0 && page.1 == 0 && page.2;
            prop_assert_eq!(given, over.then_some(rpc));
            page.0 |= over;
            prop_assert_eq!(book.get(rpc).is_some(), !page.0);
            prop_assert_eq!(book.is_open(rpc), !page.2);
            prop_assert_eq!(book.len(), model.values().filter(|page| !page.0).count());
        }
        prop_assert!(book.is_empty());
    }

    #[test]
    fn discovery_s_words_are_the_same_however_they_are_indented_and_the_answer_is_split(
        words in prop::collection::vec(prop::option::of(("[a-z{}\\[\\] ]{0,30}", "[ \t\r\n]{0,4}")), 1..10),
        sizes in prop::collection::vec(1usize..25, 1..40),
        cuts in prop::collection::vec(1usize..40, 0..60),
    ) {
        let objects = words.iter().map(|word| word.as_ref().map(|(text, space)| {
            format!("{{{space}\"seq\":{space}4,\"\\\"{text}\\\\\":[{{{space}}},[]{space}]}}")
        }));
        let objects: Vec<Option<String>> = objects.collect();
        let lines = objects.iter().map(|object| object.clone().unwrap_or_default() + "\n");
        let text = lines.collect::<String>();
        let mut answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        let mut rest = text.as_bytes();
        for size in sizes.into_iter().chain([usize::MAX]) {
            let (part, behind) = rest.split_at(size.min(rest.len()));
            if !part.is_empty() {
                answer.extend([format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat());
            }
            rest = behind;
        }
        answer.extend(b"0\r\n\r\n");
        let mut stream = Stream::default();
        let mut rest = &answer[..];
        let mut seen = Vec::new();
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (part, behind) = rest.split_at(cut.min(rest.len()));
            prop_assert_eq!(stream.take(part), Ok(()));
            while let Some(word) = stream.word().expect("only lists and empty lines") {
                seen.push(word);
            }
            rest = behind;
        }
        prop_assert!(stream.ended);
        let word = |object: Option<String>| object.map_or(Word::Still, |text| Word::List(text.into_bytes()));
        let all: Vec<Word> = objects.into_iter().map(word).collect();
        prop_assert_eq!(seen, all);
    }
}

#[test]
fn a_list_that_is_cut_is_none_and_a_whole_one_needs_neither_length_nor_line_end() {
    let list = r#"{"seq":4, "hosts":[{"host":"}\"{"}]}"#;
    for end in 1..=list.len() {
        let said = |head: String| {
            let mut stream = Stream::default();
            stream.take(&[head.as_bytes(), &list.as_bytes()[..end]].concat()).expect("in order");
            stream.word()
        };
        let whole = Ok(Some(Word::List(list.as_bytes().to_vec())));
        let (length, none) = (format!("HTTP/1.1 200 OK\r\nContent-Length: {end}\r\n\r\n"), Ok(None));
        let is_whole = end == list.len();
        assert_eq!(said("HTTP/1.1 200 OK\r\n\r\n".into()), if is_whole { whole.clone() } else { none });
        let cut = Err("it ended within a list");
        assert_eq!(said(length), if is_whole { whole } else { cut }, "{end} bytes");
    }
    for text in ["[1]", "x", "\"\"", "} {", "4"] {
        let mut stream = Stream::default();
        stream.take(format!("HTTP/1.1 200 OK\r\n\r\n{text}").as_bytes()).expect("in order");
        assert!(stream.word().is_err(), "{text} is no list");
    }
}

#[test]
fn the_head_is_read_and_says_where_its_patience_stands() {
    let body = [GET.as_bytes(), b"\0"].concat();
    let Statement::Kv(head) = pg::statement(&body) else { panic!("a statement of the page's form") };
    assert_eq!((head.id, head.class, head.cluster), ("9b1f03aa5c7e2d41", "basket", 2));
    assert_eq!((head.patience_ms, head.repeat), (480, true));
    assert_eq!((head.after_ms, head.key), (Some(1_767_225_600_123), Some("7f3a9c21e0b4d655")));
    assert_eq!(&body[head.patience], b"480");
}

#[test]
fn what_cannot_be_taken_is_refused_by_a_fitting_code() {
    for (text, code) in [
        ("SELECT 1", "42601"),
        ("/* id=1,c=a,d=1 SELECT", "42601"),
        ("/* id=1,c=a,cluster=2 */ SELECT", "42601"),
        ("/* id=1,c=a,d=0,cluster=2 */ SELECT", "42601"),
        ("/* id=1,c=a,d=x,cluster=2 */ SELECT", "42601"),
        ("/* nonsense */ SELECT", "42601"),
        ("/* c=a,d=1,cluster=2 */ SELECT", "42601"),
        ("/* id=,c=a,d=1,cluster=2 */ SELECT", "42601"),
        ("/* id=1,id=2,c=a,d=1,cluster=2 */ SELECT", "42601"),
        ("/* id=1,c=a,d=+1,cluster=2 */ SELECT", "42601"),
        ("/* id=1,c=a,d=99999999999999999999,cluster=2 */ SELECT", "42601"),
        ("/* id=1,c=a,d=1,cluster=2,after=-1 */ SELECT", "42601"),
        ("/* id=1,c=a,d=1,cluster=2,r=2 */ SELECT", "42601"),
        ("a\0b", "08P01"),
    ] {
        let body = [text.as_bytes(), b"\0"].concat();
        assert!(matches!(pg::statement(&body), Statement::Refused(c, _) if c == code), "{text}");
    }
    assert!(matches!(pg::statement(b"\xff\0"), Statement::Refused("22021", _)));
    assert_eq!(pg::statement(b" ; \0"), Statement::Empty);
    assert_eq!(pg::statement(b"reset all\0"), Statement::Vain("RESET"));
    let long = [pg::start_up(), message(b'Q', &vec![b'a'; pg::MOST_QUERY])].concat();
    let too_long = Item::Unfit { code: "54000", why: "message too long" };
    assert_eq!(all(&[&long[..200]]), [greeted(), too_long], "told by its head alone");
    let opened = b"\0\0\0\x3c\0\x03\0\0user\0ann\0gingerwick.session\0new\0database\0x\0odd\0yes\0\0";
    let hello = Hello { audience: "3:ann/x".into(), user: "ann".into(), session: Some("new".into()) };
    assert_eq!(all(&[opened]), [Item::Greet { minor: 0, hello }]);
    let version_2 = [0, 0, 0, 8, 0, 2, 0, 0];
    assert!(matches!(all(&[&version_2])[..], [Item::Unfit { code: "0A000", .. }]));
    assert_eq!(all(&[&[0, 0, 0, 16, 4, 210, 22, 46, 0, 0, 0, 1, 0, 0, 0, 0]]), [Item::Cancel]);
    let extended =
        [pg::start_up(), message(b'P', b"\0\0\0\0"), message(b'E', b"\0\0\0\0\0"), message(b'S', b"")];
    let unsupported = Item::Unsupported { alone: false };
    assert_eq!(all(&[&extended.concat()]), [greeted(), unsupported, Item::Sync]);
}

#[test]
fn each_row_of_the_outcome_table_is_one_outcome() {
    let answer = |messages: &[Vec<u8>]| {
        let (mut reply, bytes) = (Reply::default(), messages.concat());
        let outcome = reply.read(&bytes);
        (outcome.unwrap_or_else(|| reply.outcome(Outcome::Broken)), reply.frees(&bytes))
    };
    let error = |code: &str| {
        let mut out = Vec::new();
        pg::error(&mut out, "ERROR", code, "words", None);
        out
    };
    let ready = message(b'Z', b"I");
    let (row, complete) = (message(b'D', &[0, 1, 0, 0, 0, 1, 7]), message(b'C', b"SELECT 1\0"));
    let heads = message(b'T', HEADS);
    let note = message(b'S', b"recovery\0on\0");
    for (messages, outcome, frees, why) in [
        (vec![&heads, &row, &complete, &ready], Outcome::Ok, true, "a value"),
        (vec![&note, &heads, &row, &note, &complete, &ready], Outcome::Ok, true, "parameters beside it"),
        (vec![&heads, &row, &complete], Outcome::Ok, false, "whole, though its connection broke behind it"),
        (vec![&heads, &row, &complete, &ready, &ready], Outcome::Ok, false, "more than belongs to it"),
        (vec![&heads, &row], Outcome::Broken, false, "not whole"),
        (vec![], Outcome::Broken, false, "nothing"),
        (vec![&heads, &complete, &ready], Outcome::Errored, false, "no row"),
        (vec![&heads, &row, &row, &complete, &ready], Outcome::Errored, false, "two rows"),
        (vec![&row, &complete, &ready], Outcome::Errored, false, "a row without its description"),
        (vec![&heads, &row, &complete, &row], Outcome::Errored, false, "a row behind the end"),
        (vec![&heads, &row, &error("53300"), &ready], Outcome::Errored, true, "turned away behind a row"),
        (vec![&message(b'T', &HEADS[..9]), &row], Outcome::Errored, false, "half a description"),
        (vec![&heads, &message(b'D', &[0, 1, 0, 0, 0, 2, 7])], Outcome::Errored, false, "a column cut short"),
        (
            vec![&heads, &message(b'D', &[0, 2, 0, 0, 0, 1, 7])],
            Outcome::Errored,
            false,
            "two columns told of",
        ),
        (vec![&heads, &message(b'D', &[0, 1, 255, 255, 255, 255])], Outcome::Errored, false, "no value"),
        (
            vec![&heads, &message(b'D', &vec![7; pg::MOST_VALUE])],
            Outcome::Errored,
            false,
            "too long, told by its head",
        ),
        (vec![&message(b'A', b"x\0")], Outcome::Errored, false, "a tag that stands nowhere"),
        (vec![&message(b'E', b"SERROR\0C53300\0")], Outcome::Errored, false, "an error without its end"),
        (vec![&message(b'E', b"SERROR\0\0")], Outcome::Errored, false, "an error without a code"),
        (vec![&message(b'S', &vec![b'x'; 9000])], Outcome::Errored, false, "parameters without end"),
        (vec![&ready], Outcome::Errored, false, "an end with nothing before it"),
    ] {
        let messages: Vec<Vec<u8>> = messages.into_iter().cloned().collect();
        assert_eq!(answer(&messages), (outcome, frees), "{why}");
    }
    for (code, outcome) in [
        ("25006", Outcome::Lagged),
        ("72000", Outcome::Lagged),
        ("XX000", Outcome::Errored),
        ("57P03", Outcome::Errored),
        ("53300", Outcome::Full),
    ] {
        assert_eq!(answer(&[error(code), ready.clone()]), (outcome, true), "{code}");
        assert_eq!(answer(&[error(code)]), (outcome, false), "{code}, fatal");
        assert_eq!(outcome.proves_it_never_ran(), outcome != Outcome::Errored);
    }
}

#[test]
fn positions_keep_their_units() {
    let at = Some(Moment(1_767_225_600_123_000_000));
    assert_eq!(from_unix_ms(1_767_225_600_123.0), at);
    assert_eq!(from_unix_s(1_767_225_600.123), at);
    assert_eq!(report("x0=1767225600.123,x1=1,load_share=0.25").position, at);
    for none in [f64::NAN, f64::INFINITY, -1.0, 0.0, 1e300] {
        assert_eq!((from_unix_ms(none), from_unix_s(none)), (None, None));
    }
    let told = report("x1=0,util=0.61,new=7");
    assert_eq!((told.role, told.load, told.position), (Some(Role::Replica), Some(0.61), None));
    for unread in
        ["x1=0,util=0.61,broken", "x1=2", "x0=nan,x1=1", "x0=-5", "util=inf", "x0=1e9,x1=1", "x1=+1", ""]
    {
        let told = report(unread);
        assert!((told.position, told.role, told.load) == (None, None, None), "{unread} is no report at all");
    }
}

#[test]
fn a_listed_host_is_read_with_all_that_may_be_missing_or_new() {
    let line = r#"{"seq":43,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"a","block":3,"health":"SERVING",
        "born_ms":1767225600123,"recovery":"off","new":{}},{"host":"t","health":"PAUSED"}]}"#;
    let hosts: Hosts = serde_json::from_str(line).expect("a line of the page's form");
    let [s, t] = &hosts.hosts[..] else { panic!("two hosts") };
    let told = |host: &Host| (host.standing(), host.is_primary(), host.started());
    assert_eq!(told(s), (Standing::Open, true, Some(Moment(1_767_225_600_123_000_000))));
    assert_eq!(told(t), (Standing::Draining, false, None), "a word not known gets nothing new");
    assert!((hosts.seq, hosts.whole) == (43, false) && s.dial().is_some() && t.dial().is_none());
}

/// What the start-up message of `pg::start_up` is taken in as.
fn greeted() -> Item {
    Item::Greet {
        minor: 0,
        hello: Hello { audience: "7:backend/store".into(), user: "backend".into(), session: None },
    }
}

#[test]
fn a_flood_of_small_chunks_costs_time_by_its_bytes_and_not_by_their_square() {
    let flood =
        [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(), b"1\r\n\n\r\n".repeat(300_000)]
            .concat();
    let (mut stream, began) = (Stream::default(), std::time::Instant::now());
    stream.take(&flood).expect("all of it is in order");
    let still = std::iter::from_fn(|| stream.word().expect("empty lines"));
    assert_eq!(still.count(), 300_000);
    // Moving what is left for each chunk is a quarter of a terabyte, some ten seconds at the least.
    assert!(began.elapsed() < std::time::Duration::from_secs(4), "{:?}", began.elapsed());
}
