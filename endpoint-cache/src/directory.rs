//! The directory: which file is which generation, the lock that keeps a second instance out, and the order of writes.

use crate::cached_list::CachedEndpointList;
use crate::encoding::{decode, encode, FileError, MAX_FILE_BYTES};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Descriptors that a directory needs at most: its lock, the file that is written, the directory itself.
pub const DESCRIPTORS: usize = 3;
const CURRENT: &str = "list";
const PREVIOUS: &str = "list.before";
const NEXT: &str = "list.new";
const LOCK: &str = "lock";

/// Why a directory, or a file in it, cannot be used.
#[derive(Debug, Error)]
pub enum CacheError {
    /// The operating system failed.
    #[error("{}: {operation}: {error}", path.display())]
    Io {
        /// What failed.
        operation: &'static str,
        /// With this file or directory.
        path: PathBuf,
        /// Why.
        error: std::io::Error,
    },
    /// Another instance holds the directory.
    #[error("{}: another process uses it", .0.display())]
    Locked(PathBuf),
    /// A file does not count.
    #[error("{}: {error}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// Why not.
        error: FileError,
    },
}

fn io_error<'a>(operation: &'static str, path: &'a Path) -> impl FnOnce(std::io::Error) -> CacheError + 'a {
    move |error| CacheError::Io { operation, path: path.to_path_buf(), error }
}

/// What was found: the newest generation that counts, and what is wrong with any other.
#[derive(Debug, Default)]
pub struct LoadedCache {
    /// The list and its file.
    pub list: Option<(CachedEndpointList, PathBuf)>,
    /// Why other files do not count.
    pub errors: Vec<CacheError>,
}

/// A directory that only this process writes to. The lock is released with it.
#[derive(Debug)]
pub struct CacheDirectory {
    path: PathBuf,
    _lock: File,
    generation: u64,
    /// The current file counts: only then does it become the previous one.
    current_is_valid: bool,
}

impl CacheDirectory {
    /// Locks the directory for this process; it must exist and be writable.
    ///
    /// # Errors
    /// It cannot be used.
    pub fn open(path: &Path) -> Result<(CacheDirectory, LoadedCache), CacheError> {
        let lock = lock(path)?;
        let loaded = CacheDirectory::read(path);
        let (generation, current_is_valid) = match &loaded.list {
            Some((list, from)) => (list.generation, *from == path.join(CURRENT)),
            None => (0, false),
        };
        let path = path.to_path_buf();
        Ok((CacheDirectory { path, _lock: lock, generation, current_is_valid }, loaded))
    }

    /// Reads without locking the directory.
    pub fn read(path: &Path) -> LoadedCache {
        let mut loaded = LoadedCache::default();
        // A file that was synced and not renamed yet is as good as one in place.
        for name in [CURRENT, NEXT, PREVIOUS] {
            let file = path.join(name);
            match CacheDirectory::read_file(&file) {
                Ok(None) => {}
                Ok(Some(list)) => {
                    let newest = loaded.list.as_ref().map(|(list, _)| list.generation);
                    if newest.is_none_or(|newest| list.generation > newest) {
                        loaded.list = Some((list, file));
                    }
                }
                // A save that was cut off is an ordinary end of a process.
                Err(CacheError::File { error: FileError::Torn, .. }) if name == NEXT => {}
                Err(error) => loaded.errors.push(error),
            }
        }
        loaded
    }

    /// Reads one file; none if it does not exist.
    ///
    /// # Errors
    /// It does not count.
    pub fn read_file(path: &Path) -> Result<Option<CachedEndpointList>, CacheError> {
        let file = match File::open(path) {
            Ok(file) => file,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(io_error("can't be opened", path)(error)),
        };
        let mut bytes = Vec::new();
        let limit = MAX_FILE_BYTES as u64 + 1;
        file.take(limit).read_to_end(&mut bytes).map_err(io_error("can't be read", path))?;
        let list = decode(&bytes);
        list.map(Some).map_err(|error| CacheError::File { path: path.to_path_buf(), error })
    }

    /// Writes the next generation; the bytes that it took. At any point of it the newest file on disk that counts is either
    /// this one or the one before.
    ///
    /// # Errors
    /// It was not written.
    pub fn save(&mut self, list: &mut CachedEndpointList) -> Result<usize, CacheError> {
        list.generation = self.generation + 1;
        let [current, previous, next] = [CURRENT, PREVIOUS, NEXT].map(|name| self.path.join(name));
        let bytes = encode(list).map_err(|error| CacheError::File { path: next.clone(), error })?;
        let mut file = File::create(&next).map_err(io_error("can't be made", &next))?;
        file.write_all(&bytes).map_err(io_error("can't be written", &next))?;
        file.sync_all().map_err(io_error("can't be synced", &next))?;
        drop(file);
        if self.current_is_valid {
            std::fs::rename(&current, &previous).map_err(io_error("can't be renamed", &current))?;
            self.current_is_valid = false;
        }
        std::fs::rename(&next, &current).map_err(io_error("can't be renamed", &next))?;
        let directory = File::open(&self.path).map_err(io_error("can't be opened", &self.path))?;
        directory.sync_all().map_err(io_error("can't be synced", &self.path))?;
        self.generation = list.generation;
        self.current_is_valid = true;
        Ok(bytes.len())
    }
}

fn lock(directory: &Path) -> Result<File, CacheError> {
    let path = directory.join(LOCK);
    let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    let lock = lock.map_err(io_error("can't be opened", &path))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(CacheError::Locked(directory.to_path_buf())),
        Err(TryLockError::Error(error)) => Err(io_error("can't be locked", &path)(error)),
    }
}
