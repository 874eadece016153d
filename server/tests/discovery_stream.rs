//! Tests without a socket: parsing of responses from discovery. They cover responses split at any byte, truncated
//! lists, floods of small chunks, and the entries of a list.

use proptest::prelude::*;
use routing::time::Timestamp;
use routing::EndpointStatus;
use server::discovery::stream::{StreamError, WatchEvent, WatchStream};
use server::messages::endpoint_list::{EndpointListUpdate, ListedEndpoint};
use std::time::{Duration, Instant};

const CHUNKED_HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Encodes a complete chunked response with `text` in chunks of the given sizes. The rest of it is one more chunk.
fn chunked_response(text: &[u8], sizes: Vec<usize>) -> Vec<u8> {
    let mut response = CHUNKED_HEAD.to_vec();
    let mut rest = text;
    for size in sizes.into_iter().chain([usize::MAX]) {
        let (chunk, remaining) = rest.split_at(size.min(rest.len()));
        if !chunk.is_empty() {
            response.extend([format!("{:x}\r\n", chunk.len()).as_bytes(), chunk, b"\r\n"].concat());
        }
        rest = remaining;
    }
    response.extend(b"0\r\n\r\n");
    response
}

proptest! {
    #[test]
    fn random_bytes_from_discovery_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..300)) {
        let mut stream = WatchStream::default();
        if stream.feed(&bytes).is_ok() {
            while let Ok(Some(_)) = stream.next_event() {}
        }
    }

    #[test]
    fn events_do_not_depend_on_whitespace_or_on_how_the_response_is_split(
        lines in prop::collection::vec(prop::option::of(("[a-z{}\\[\\] ]{0,30}", "[ \t\r\n]{0,4}")), 1..10),
        sizes in prop::collection::vec(1usize..25, 1..40),
        cuts in prop::collection::vec(1usize..40, 0..60),
    ) {
        let object = |(text, space): &(String, String)| {
            format!("{{{space}\"seq\":{space}4,\"\\\"{text}\\\\\":[{{{space}}},[]{space}]}}")
        };
        let objects: Vec<Option<String>> = lines.iter().map(|line| line.as_ref().map(object)).collect();
        let text: String = objects.iter().map(|object| object.clone().unwrap_or_default() + "\n").collect();
        let response = chunked_response(text.as_bytes(), sizes);
        let mut stream = WatchStream::default();
        let mut events = Vec::new();
        let mut rest = &response[..];
        for cut in cuts.into_iter().chain([usize::MAX]) {
            let (part, remaining) = rest.split_at(cut.min(rest.len()));
            prop_assert_eq!(stream.feed(part), Ok(()));
            while let Some(event) = stream.next_event().expect("a list or an empty line was rejected") {
                events.push(event);
            }
            rest = remaining;
        }
        prop_assert!(stream.is_complete(), "the end of the response was not found");
        let event = |object: Option<String>| {
            object.map_or(WatchEvent::Unchanged, |text| WatchEvent::List(text.into_bytes()))
        };
        let expected: Vec<WatchEvent> = objects.into_iter().map(event).collect();
        prop_assert_eq!(events, expected);
    }
}

#[test]
fn a_list_is_accepted_only_if_complete_with_or_without_a_length() {
    let list = r#"{"seq":4, "hosts":[{"host":"}\"{"}]}"#;
    for end in 1..=list.len() {
        let event_after = |head: String| {
            let mut stream = WatchStream::default();
            stream
                .feed(&[head.as_bytes(), &list.as_bytes()[..end]].concat())
                .expect("a valid response was rejected");
            stream.next_event()
        };
        let complete = Ok(Some(WatchEvent::List(list.as_bytes().to_vec())));
        let is_complete = end == list.len();
        let without_length = event_after("HTTP/1.1 200 OK\r\n\r\n".into());
        assert_eq!(
            without_length,
            if is_complete { complete.clone() } else { Ok(None) },
            "after {end} bytes without a length"
        );
        let with_length = event_after(format!("HTTP/1.1 200 OK\r\nContent-Length: {end}\r\n\r\n"));
        let truncated = Err(StreamError::TruncatedList);
        assert_eq!(
            with_length,
            if is_complete { complete } else { truncated },
            "after {end} bytes with a length"
        );
    }
}

#[test]
fn text_that_is_not_a_json_object_is_rejected_as_a_list() {
    for text in ["[1]", "x", "\"\"", "} {", "4"] {
        let mut stream = WatchStream::default();
        stream
            .feed(format!("HTTP/1.1 200 OK\r\n\r\n{text}").as_bytes())
            .expect("a valid response was rejected");
        assert_eq!(stream.next_event(), Err(StreamError::NotAnObject), "{text}");
    }
}

#[test]
fn parsing_many_small_chunks_takes_linear_time() {
    let flood = [CHUNKED_HEAD.to_vec(), b"1\r\n\n\r\n".repeat(300_000)].concat();
    let (mut stream, started) = (WatchStream::default(), Instant::now());
    stream.feed(&flood).expect("a valid response was rejected");
    let unchanged = std::iter::from_fn(|| stream.next_event().expect("an empty line was rejected"));
    assert_eq!(unchanged.count(), 300_000, "not every empty line was an event");
    // If each chunk moved the remaining bytes, a quarter of a terabyte would be copied, in at least ten seconds.
    assert!(started.elapsed() < Duration::from_secs(4), "parsing took {:?}", started.elapsed());
}

#[test]
fn a_list_entry_may_have_missing_and_unknown_fields() {
    let line = r#"{"seq":43,"hosts":[{"host":"s","dial":"127.0.0.1:1","site":"a","block":3,"health":"SERVING",
        "born_ms":1767225600123,"recovery":"off","new":{}},{"host":"t","health":"PAUSED"}]}"#;
    let list: EndpointListUpdate = serde_json::from_str(line).expect("a valid list was rejected");
    assert_eq!((list.version, list.complete), (43, false));
    let [complete, sparse] = &list.endpoints[..] else { panic!("the list does not have two entries") };
    let fields = |entry: &ListedEndpoint| (entry.status(), entry.is_primary(), entry.started_at());
    let started_at = Some(Timestamp(1_767_225_600_123_000_000));
    assert_eq!(fields(complete), (EndpointStatus::Serving, true, started_at));
    assert_eq!(
        fields(sparse),
        (EndpointStatus::Draining, false, None),
        "an endpoint in an unknown state is not draining, or has fields that it lacks"
    );
    assert!(complete.socket_addr().is_some(), "the address was not parsed");
    assert!(sparse.socket_addr().is_none(), "an entry without an address has one");
}
