//! The directory: which file is which generation, the lock that keeps a second front out, and the order of
//! writes.

use crate::file::{decode, encode, Unfit, MOST_BYTES};
use crate::Kept;
use std::fmt;
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};

const NOW: &str = "list";
const BEFORE: &str = "list.before";
const NEXT: &str = "list.new";
const LOCK: &str = "lock";

/// Why a directory can't be used, or a file in it.
#[derive(Debug)]
pub enum Fault {
    Io(&'static str, PathBuf, std::io::Error),
    /// Another front holds the directory.
    Taken(PathBuf),
    Unfit(PathBuf, Unfit),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Io(what, path, why) => write!(f, "{}: {what}: {why}", path.display()),
            Fault::Taken(path) => write!(f, "{}: another front uses it", path.display()),
            Fault::Unfit(path, why) => write!(f, "{}: {why}", path.display()),
        }
    }
}

fn io<'a>(what: &'static str, path: &'a Path) -> impl FnOnce(std::io::Error) -> Fault + 'a {
    move |why| Fault::Io(what, path.to_path_buf(), why)
}

/// What was found: the newest generation that is whole, and what was wrong with any other.
#[derive(Debug, Default)]
pub struct Loaded {
    pub kept: Option<(Kept, PathBuf)>,
    pub faults: Vec<Fault>,
}

/// A directory that this process alone writes to. The lock goes with it.
#[derive(Debug)]
pub struct Dir {
    path: PathBuf,
    _lock: File,
    generation: u64,
    /// Whether the file in place is whole: only then does it become the one before.
    sound: bool,
}

impl Dir {
    /// Takes the directory for this process; it must exist and be writable.
    pub fn open(path: &Path) -> Result<(Dir, Loaded), Fault> {
        let at = path.join(LOCK);
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&at);
        let lock = lock.map_err(io("can't be opened", &at))?;
        match lock.try_lock() {
            Ok(()) => {}
            Err(TryLockError::WouldBlock) => return Err(Fault::Taken(path.to_path_buf())),
            Err(TryLockError::Error(why)) => return Err(io("can't be locked", &at)(why)),
        }
        let loaded = Dir::read(path);
        let generation = loaded.kept.as_ref().map_or(0, |(kept, _)| kept.generation);
        let sound = loaded.kept.as_ref().is_some_and(|(_, from)| *from == path.join(NOW));
        Ok((Dir { path: path.to_path_buf(), _lock: lock, generation, sound }, loaded))
    }

    /// Reads without taking the directory.
    pub fn read(path: &Path) -> Loaded {
        let mut loaded = Loaded::default();
        // A file that was synced whole and not renamed yet is as good as one in place.
        for name in [NOW, NEXT, BEFORE] {
            let file = path.join(name);
            match Dir::read_file(&file) {
                Ok(None) => {}
                Ok(Some(kept)) => {
                    let newest = loaded.kept.as_ref().map(|(kept, _)| kept.generation);
                    if newest.is_none_or(|newest| kept.generation > newest) {
                        loaded.kept = Some((kept, file));
                    }
                }
                // A save that was cut off is an ordinary end of a process.
                Err(Fault::Unfit(_, Unfit::Torn)) if name == NEXT => {}
                Err(why) => loaded.faults.push(why),
            }
        }
        loaded
    }

    /// One file; none where it does not exist.
    pub fn read_file(path: &Path) -> Result<Option<Kept>, Fault> {
        let file = match File::open(path) {
            Ok(file) => file,
            Err(why) if why.kind() == ErrorKind::NotFound => return Ok(None),
            Err(why) => return Err(io("can't be opened", path)(why)),
        };
        let mut bytes = Vec::new();
        file.take(MOST_BYTES as u64 + 1).read_to_end(&mut bytes).map_err(io("can't be read", path))?;
        decode(&bytes).map(Some).map_err(|why| Fault::Unfit(path.to_path_buf(), why))
    }

    /// Writes the next generation; says how many bytes it took. At any point of it the newest whole file on
    /// disk is either this one or the one before.
    pub fn save(&mut self, kept: &mut Kept) -> Result<usize, Fault> {
        kept.generation = self.generation + 1;
        let [now, before, next] = [NOW, BEFORE, NEXT].map(|name| self.path.join(name));
        let bytes = encode(kept).map_err(|why| Fault::Unfit(next.clone(), why))?;
        let mut file = File::create(&next).map_err(io("can't be made", &next))?;
        file.write_all(&bytes).map_err(io("can't be written", &next))?;
        file.sync_all().map_err(io("can't be synced", &next))?;
        drop(file);
        if self.sound {
            std::fs::rename(&now, &before).map_err(io("can't be renamed", &now))?;
            self.sound = false;
        }
        std::fs::rename(&next, &now).map_err(io("can't be renamed", &next))?;
        let dir = File::open(&self.path).map_err(io("can't be opened", &self.path))?;
        dir.sync_all().map_err(io("can't be synced", &self.path))?;
        (self.generation, self.sound) = (kept.generation, true);
        Ok(bytes.len())
    }
}
