//! Waiting for the worker's next poll: coroutines that wait for it let the worker poll, and the callbacks run although the
//! worker does not poll.

use may::io::WaitIo;
use may::net::TcpListener;
use server::runtime::clock::{Clock, Timers};
use server::runtime::event_loop::{self, after_next_poll, wait_for_poll};
use server::runtime::tasks::spawn;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::channel;
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

/// The tests share the only worker, so they run one after the other.
static WORKER: Mutex<()> = Mutex::new(());
/// Within this time the worker must poll: a client that has left must be noticed within it.
const POLL_LIMIT: Duration = Duration::from_millis(100);
/// How long a coroutine occupies the worker before it waits for a poll.
const BUSY: Duration = Duration::from_millis(2);

fn start() -> MutexGuard<'static, ()> {
    let worker = WORKER.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
    may::config().set_workers(1).set_stack_size(16 << 10).set_worker_pin(false);
    event_loop::start(Arc::new(Timers::start(Clock::start()))).expect("no event descriptor");
    worker
}

#[test]
fn a_socket_is_served_beside_coroutines_that_are_always_ready() {
    let _worker = start();
    let is_over = Arc::new(AtomicBool::new(false));
    for _ in 0..6 {
        let is_over = is_over.clone();
        spawn(move || {
            while !is_over.load(Ordering::Acquire) {
                let started = Instant::now();
                while started.elapsed() < BUSY {}
                wait_for_poll();
            }
        });
    }
    let listener = TcpListener::bind("127.0.0.1:0").expect("no free port");
    let addr = listener.local_addr().expect("the listener has no address");
    let (accepted, was_accepted) = channel();
    spawn(move || {
        listener.wait_io();
        let _ = accepted.send(());
    });
    let _client = std::net::TcpStream::connect(addr).expect("the connection was refused");
    let result = was_accepted.recv_timeout(POLL_LIMIT);
    is_over.store(true, Ordering::Release);
    assert!(result.is_ok(), "the worker has not polled for {POLL_LIMIT:?}");
}

#[test]
fn a_callback_runs_although_the_worker_is_occupied() {
    let _worker = start();
    let is_over = Arc::new(AtomicBool::new(false));
    let occupies = is_over.clone();
    spawn(move || while !occupies.load(Ordering::Acquire) {});
    thread::sleep(Duration::from_millis(20));
    let (called, was_called) = channel();
    after_next_poll(move || _ = called.send(()));
    let result = was_called.recv_timeout(Duration::from_secs(2));
    is_over.store(true, Ordering::Release);
    assert!(result.is_ok(), "the callback has not run for two seconds");
}
