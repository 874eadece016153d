//! Cache directory: the files of the generations, their atomic replacement, and a lock against use by a second
//! process.

use crate::cached_list::CachedEndpointList;
use crate::encoding::{decode, encode, FileError, MAX_FILE_BYTES};
use std::fs::{File, OpenOptions, TryLockError};
use std::io::{ErrorKind, Read, Write};
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Maximum number of file descriptors that a cache directory uses: the lock, the file being written, and the
/// directory itself.
pub const MAX_DESCRIPTORS: usize = 3;

/// Name of the file with the current generation.
const CURRENT_FILE: &str = "list";
/// Name of the file with the generation before the current one.
const PREVIOUS_FILE: &str = "list.before";
/// Name of the file of a generation that is being written.
const NEXT_FILE: &str = "list.new";
/// Name of the file whose lock a process holds while it uses the directory.
const LOCK_FILE: &str = "lock";

/// Why a cache directory or a file in it cannot be used.
#[derive(Debug, Error)]
pub enum CacheError {
    /// An I/O operation failed.
    #[error("{}: {failure}: {error}", path.display())]
    Io {
        /// What failed, such as `cannot be opened`.
        failure: &'static str,
        /// The file or directory.
        path: PathBuf,
        /// The error of the operating system.
        error: std::io::Error,
    },
    /// Another process holds the lock of the directory.
    #[error("{}: another process uses this directory", .0.display())]
    Locked(PathBuf),
    /// A file is invalid.
    #[error("{}: {error}", path.display())]
    InvalidFile {
        /// The file.
        path: PathBuf,
        /// Why it is invalid.
        error: FileError,
    },
}

fn io_error<'a>(failure: &'static str, path: &'a Path) -> impl FnOnce(std::io::Error) -> CacheError + 'a {
    move |error| CacheError::Io { failure, path: path.to_path_buf(), error }
}

/// A valid generation of the cached list.
#[derive(Debug)]
pub struct LoadedList {
    /// The list.
    pub list: CachedEndpointList,
    /// The file from which the list was read.
    pub file: PathBuf,
}

/// Result of reading a directory.
#[derive(Debug, Default)]
pub struct LoadedCache {
    /// The newest valid generation, if there is one.
    pub list: Option<LoadedList>,
    /// Errors of the files that could not be read or are invalid.
    pub errors: Vec<CacheError>,
}

/// A cache directory locked by this process. The lock is released on drop.
#[derive(Debug)]
pub struct CacheDirectory {
    path: PathBuf,
    _lock: File,
    /// Number of the last generation that was read or saved.
    generation: u64,
    /// Whether the current file is valid: only then may it replace the previous one.
    current_is_valid: bool,
}

impl CacheDirectory {
    /// Locks an existing, writable directory and reads the cache.
    ///
    /// # Errors
    /// The directory cannot be locked.
    pub fn open(path: &Path) -> Result<(CacheDirectory, LoadedCache), CacheError> {
        let lock = lock(path)?;
        let loaded = CacheDirectory::read(path);
        let (generation, current_is_valid) = match &loaded.list {
            Some(newest) => (newest.list.generation, newest.file == path.join(CURRENT_FILE)),
            None => (0, false),
        };
        let path = path.to_path_buf();
        Ok((CacheDirectory { path, _lock: lock, generation, current_is_valid }, loaded))
    }

    /// Reads the cache without locking the directory.
    pub fn read(path: &Path) -> LoadedCache {
        let mut loaded = LoadedCache::default();
        // A complete file that has not been renamed yet is as valid as a renamed one.
        for name in [CURRENT_FILE, NEXT_FILE, PREVIOUS_FILE] {
            let file = path.join(name);
            match CacheDirectory::read_file(&file) {
                Ok(None) => {}
                Ok(Some(list)) => {
                    let newest = loaded.list.as_ref().map(|newest| newest.list.generation);
                    if newest.is_none_or(|newest| list.generation > newest) {
                        loaded.list = Some(LoadedList { list, file });
                    }
                }
                // An incomplete new file is expected if the process ended during a save.
                Err(CacheError::InvalidFile { error: FileError::Damaged, .. }) if name == NEXT_FILE => {}
                Err(error) => loaded.errors.push(error),
            }
        }
        loaded
    }

    /// Reads one file. Returns `None` if the file does not exist.
    ///
    /// # Errors
    /// The file cannot be read, or it is invalid.
    pub fn read_file(path: &Path) -> Result<Option<CachedEndpointList>, CacheError> {
        let file = match File::open(path) {
            Ok(file) => file,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(io_error("cannot be opened", path)(error)),
        };
        let mut bytes = Vec::new();
        let limit = MAX_FILE_BYTES as u64 + 1;
        file.take(limit).read_to_end(&mut bytes).map_err(io_error("cannot be read", path))?;
        let list = decode(&bytes);
        list.map(Some).map_err(|error| CacheError::InvalidFile { path: path.to_path_buf(), error })
    }

    /// Saves a list as the next generation, and returns the size of the file in bytes. After a crash at any point,
    /// the newest valid file has either this generation or the previous one.
    ///
    /// # Errors
    /// The list was not saved, because it is too large or an I/O operation failed.
    pub fn save(&mut self, list: &mut CachedEndpointList) -> Result<usize, CacheError> {
        list.generation = self.generation + 1;
        let [current, previous, next] =
            [CURRENT_FILE, PREVIOUS_FILE, NEXT_FILE].map(|name| self.path.join(name));
        let bytes = encode(list).map_err(|error| CacheError::InvalidFile { path: next.clone(), error })?;
        let mut file = File::create(&next).map_err(io_error("cannot be created", &next))?;
        file.write_all(&bytes).map_err(io_error("cannot be written", &next))?;
        file.sync_all().map_err(io_error("cannot be synced", &next))?;
        drop(file);
        if self.current_is_valid {
            std::fs::rename(&current, &previous).map_err(io_error("cannot be renamed", &current))?;
            // There is no current file until the next rename.
            self.current_is_valid = false;
        }
        std::fs::rename(&next, &current).map_err(io_error("cannot be renamed", &next))?;
        let directory = File::open(&self.path).map_err(io_error("cannot be opened", &self.path))?;
        directory.sync_all().map_err(io_error("cannot be synced", &self.path))?;
        self.generation = list.generation;
        self.current_is_valid = true;
        Ok(bytes.len())
    }
}

fn lock(directory: &Path) -> Result<File, CacheError> {
    let path = directory.join(LOCK_FILE);
    let lock = OpenOptions::new().create(true).truncate(false).write(true).open(&path);
    let lock = lock.map_err(io_error("cannot be opened", &path))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => Err(CacheError::Locked(directory.to_path_buf())),
        Err(TryLockError::Error(error)) => Err(io_error("cannot be locked", &path)(error)),
    }
}
