//! A proxy between a client and a router, whose connections can be ended on both sides.

use crate::router::free_addr;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

#[derive(Clone)]
pub struct Proxy {
    pub addr: SocketAddr,
    streams: Arc<Mutex<Vec<TcpStream>>>,
}

impl Proxy {
    pub fn start(target: SocketAddr) -> Proxy {
        let listener = TcpListener::bind(free_addr()).expect("a free port");
        let addr = listener.local_addr().expect("a listener has an address");
        let proxy = Proxy { addr, streams: Arc::default() };
        let this = proxy.clone();
        std::thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let _ = this.join(client, target);
            }
        });
        proxy
    }

    fn join(&self, client: TcpStream, target: SocketAddr) -> std::io::Result<()> {
        let router = TcpStream::connect(target)?;
        for stream in [&client, &router] {
            stream.set_nodelay(true)?;
            self.streams.lock().expect("streams").push(stream.try_clone()?);
        }
        for (from, to) in [(client.try_clone()?, router.try_clone()?), (router, client)] {
            std::thread::spawn(move || copy(from, to));
        }
        Ok(())
    }

    /// Ends all connections, on both sides.
    pub fn end_connections(&self) {
        for stream in std::mem::take(&mut *self.streams.lock().expect("streams")) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut bytes = [0; 4096];
    while let Ok(count) = from.read(&mut bytes) {
        if count == 0 || to.write_all(&bytes[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}
