//! The smallest place for a front: one group of one primary, discovery that lists it, and a folder.

use crate::daemon::{Daemon, Start};
use crate::discovery::{host, Discovery, Mode};
use crate::starts::settings;
use crate::store::{serve, Served};
use crate::world::{Branch, Cold, Machine, World};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

pub struct Lone {
    pub folder: tempfile::TempDir,
    pub world: Arc<World>,
    discovery: Discovery,
    _served: Served,
}

impl Lone {
    /// Its store takes so long for a statement.
    pub fn new(work_ms: i64) -> Lone {
        let cold = Cold { from: 1.0, for_ms: 1, overload_multiple: 9.0, window_ms: 500, work_ms };
        let world = Arc::new(World::new(cold, 250));
        world.lock().branches.insert(1, vec![Branch { forked_ms: 0, truth: true }]);
        world.lock().machines = vec![Machine::of("s-0".into(), 1, None, 0)];
        let served = serve(&world, 0);
        let discovery = Discovery::start(Mode::Up, 1, vec![host("s-0", &served.addr, 1, true, "SERVING", 0)]);
        let folder = tempfile::tempdir().expect("a folder");
        Lone { folder, world, discovery, _served: served }
    }

    /// Starts a front in a folder of its own, `state` in it, with so many descriptors.
    pub fn start(
        &self,
        program: &Path,
        folder: &Path,
        listen: SocketAddr,
        sockets: usize,
        conf: &str,
    ) -> Daemon {
        std::fs::create_dir_all(folder.join("state")).expect("made");
        let limits = format!(r#"{{"sockets":{sockets},"memory_mb":256}}"#);
        let facts = format!(r#"{{"seed":"1","limits":{limits},"settings":{}}}"#, settings());
        let discovery = self.discovery.addr;
        let start = Start { program, facts: &facts, conf: Some(conf), folder, listen, discovery };
        Daemon::start(&start).expect("it starts")
    }
}
