//! Edge cases of the watch on discovery: lists in unusual formats, and watches that never complete or never send an
//! event.

use crate::fixture::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";

/// Starts a discovery service that answers the n-th watch by the n-th script, and later ones by the last script. The
/// receiver gets the time of each watch request.
fn scripted(scripts: Vec<fn(&mut TcpStream, &str)>, list: String) -> (SocketAddr, Receiver<Instant>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let (addr, (request, requests)) = (listener.local_addr().expect("its address"), channel());
    thread::spawn(move || {
        let index = (0..).map(|index: usize| scripts[index.min(scripts.len() - 1)]);
        for (mut stream, script) in listener.incoming().flatten().zip(index) {
            let (request, list) = (request.clone(), list.clone());
            thread::spawn(move || {
                if stream.read(&mut [0; 1024]).is_ok_and(|read| read > 0) {
                    let _ = request.send(Instant::now());
                    script(&mut stream, &list);
                }
            });
        }
    });
    (addr, requests)
}

/// Starts an instance that learns of its endpoints only from a discovery service with these scripts.
fn router(scripts: Vec<fn(&mut TcpStream, &str)>, indented: bool) -> (RouterProcess, Receiver<Instant>) {
    let ((primary, arrivals), (replica, _)) = (StubEndpoint::start(true), StubEndpoint::start(false));
    let hosts = [host(&primary, "p", "SERVING"), host(&replica, "r", "SERVING")].join(",");
    let list = format!(r#"{{"seq":4,"whole":true,"hosts":[{hosts}]}}"#);
    let list = if indented { list.replace(',', ",\n\n  ").replace('{', "{\n\t") } else { list };
    let (discovery, requests) = scripted(scripts, list);
    let config = format!(r#"{{"seed":"8c1f30d27a5be964","settings":{SETTINGS}}}"#);
    let listen = free_address();
    let child = launch(&config, listen, discovery);
    let (lines, positions) = (channel().0, Default::default());
    (RouterProcess { child, listen, lines, primary, replica, arrivals, positions }, requests)
}

/// Sends the complete list and keeps the watch open.
fn sends_list(stream: &mut TcpStream, list: &str) {
    let _ = stream.write_all(format!("{HEAD}{list}").as_bytes());
    thread::sleep(LIMIT);
}

/// Sends the complete list without length or line end and closes the watch.
fn sends_list_and_closes(stream: &mut TcpStream, list: &str) {
    let _ = stream.write_all(format!("{HEAD}{list}").as_bytes());
}

/// Sends the list without its last byte and closes the watch.
fn sends_all_but_the_last_byte(stream: &mut TcpStream, list: &str) {
    let _ = stream.write_all(format!("{HEAD}{}", &list[..list.len() - 1]).as_bytes());
}

/// Sends the head, the first bytes of the list and then spaces, a byte every 50 ms, and never ends the event.
fn drips(stream: &mut TcpStream, list: &str) {
    let mut drips = list.bytes().take(20).chain(std::iter::repeat(b' '));
    let _ = stream.write_all(HEAD.as_bytes());
    while stream.write_all(&[drips.next().unwrap_or_default()]).is_ok() {
        thread::sleep(Duration::from_millis(50));
    }
}

/// Reads the request and never answers.
fn never_answers(_: &mut TcpStream, _: &str) {
    thread::sleep(LIMIT);
}

/// Waits until the instance serves a write, at most `within`.
fn wait_until_served(router: &RouterProcess, within: Duration) {
    let (mut client, until) = (Client::open(router.listen), Instant::now() + within);
    while client.request("order", "good", 1000) != value() {
        assert!(Instant::now() < until, "the list was not accepted");
        thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_list_over_several_lines_with_empty_lines_is_accepted() {
    let (router, _asks) = router(vec![sends_list], true);
    wait_until_served(&router, Duration::from_secs(2));
}

#[test]
fn a_list_without_length_or_line_end_is_accepted_only_if_complete() {
    let scripts = vec![sends_all_but_the_last_byte, sends_list_and_closes, never_answers];
    let (router, requests) = router(scripts, false);
    (0..3).for_each(|_| _ = requests.recv_timeout(LIMIT).expect("the watch is requested again"));
    wait_until_served(&router, Duration::from_secs(2));
}

#[test]
fn a_watch_that_never_completes_an_event_or_never_answers_is_reopened() {
    let (router, requests) = router(vec![drips, never_answers, sends_list], false);
    let request = || requests.recv_timeout(LIMIT).expect("the watch is requested again");
    let (first, second, third) = (request(), request(), request());
    // Both together must leave some of the six seconds within which an instance must have learned of a change.
    assert!(
        second - first < Duration::from_millis(3_500),
        "reopened too late after an incomplete event: {:?}",
        second - first
    );
    assert!(
        third - second < Duration::from_millis(1_500),
        "reopened too late without an answer: {:?}",
        third - second
    );
    wait_until_served(&router, Duration::from_secs(2));
}
