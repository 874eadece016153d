//! The cache directory through saves cut off at any point, damaged files and unusable directories.

use endpoint_cache::{
    decode, encode, CacheDirectory, CacheError, CachedEndpoint, CachedEndpointList, FileError, FORMAT_VERSION,
};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};

/// A list of so many endpoints.
fn list(endpoints: usize, version: i64) -> CachedEndpointList {
    let endpoint = |nth| CachedEndpoint {
        name: format!("s-{nth}"),
        address: "127.0.0.1:6543".into(),
        group: 3,
        health: "SERVING".into(),
        ..CachedEndpoint::default()
    };
    CachedEndpointList {
        version,
        endpoints: (0..endpoints).map(endpoint).collect(),
        ..CachedEndpointList::default()
    }
}

/// The generation of the list that a start would read.
fn generation(path: &Path) -> Option<u64> {
    CacheDirectory::read(path).list.map(|loaded| loaded.list.generation)
}

/// A directory with two saved generations.
struct SavedTwice {
    folder: tempfile::TempDir,
    /// The file of generation 2.
    second: Vec<u8>,
    /// The bytes of a generation 3 that is not saved yet.
    third: Vec<u8>,
}

impl SavedTwice {
    fn new() -> SavedTwice {
        let folder = tempfile::tempdir().expect("a temporary directory");
        let (mut dir, loaded) = CacheDirectory::open(folder.path()).expect("the directory is free");
        assert!(loaded.list.is_none() && loaded.errors.is_empty());
        dir.save(&mut list(3, 1)).expect("saved");
        let first = read(folder.path(), "list");
        dir.save(&mut list(3, 2)).expect("saved");
        let second = read(folder.path(), "list");
        assert_eq!(read(folder.path(), "list.before"), first);
        let third = encode(&CachedEndpointList { generation: 3, ..list(3, 3) }).expect("a list that fits");
        SavedTwice { folder, second, third }
    }

    fn path(&self) -> &Path {
        self.folder.path()
    }

    fn write(&self, name: &str, bytes: &[u8]) {
        std::fs::write(self.path().join(name), bytes).expect("written");
    }

    fn rename(&self, from: &str, to: &str) {
        std::fs::rename(self.path().join(from), self.path().join(to)).expect("renamed");
    }
}

fn read(path: &Path, name: &str) -> Vec<u8> {
    std::fs::read(path.join(name)).expect("a file")
}

#[test]
fn a_save_killed_at_any_point_leaves_the_generation_before_or_its_own() {
    let saved = SavedTwice::new();
    // Killed while the new file was written, at each byte; the earlier ones are in place.
    for length in 0..saved.third.len() {
        saved.write("list.new", &saved.third[..length]);
        let loaded = CacheDirectory::read(saved.path());
        assert_eq!(loaded.list.map(|newest| newest.list.generation), Some(2), "{length} bytes");
        assert!(loaded.errors.is_empty(), "an incomplete save is no error: {:?}", loaded.errors);
    }
    // Killed after the new file was complete: before, between and after the renames.
    saved.write("list.new", &saved.third);
    assert_eq!(generation(saved.path()), Some(3));
    saved.rename("list", "list.before");
    assert_eq!(generation(saved.path()), Some(3));
    saved.rename("list.new", "list");
    assert_eq!(generation(saved.path()), Some(3));
}

#[test]
fn a_torn_file_is_replaced_by_the_generation_before_and_never_replaces_it() {
    let saved = SavedTwice::new();
    saved.rename("list", "list.before");
    for length in 0..saved.third.len() {
        saved.write("list", &saved.third[..length]);
        assert_eq!(generation(saved.path()), Some(2), "{length} bytes");
    }
    // The next save does not replace the complete file by the torn one.
    let (mut dir, loaded) = CacheDirectory::open(saved.path()).expect("the directory is free");
    assert_eq!(loaded.errors.len(), 1);
    saved.write("list.new", b"gingerwick-l");
    assert_eq!(read(saved.path(), "list.before"), saved.second);
    dir.save(&mut list(3, 4)).expect("saved");
    assert_eq!(generation(saved.path()), Some(3));
    assert_eq!(read(saved.path(), "list.before"), saved.second);
}

#[test]
fn each_flipped_bit_is_detected_and_foreign_and_newer_files_are_reported() {
    let whole = encode(&list(2, 7)).expect("bytes");
    assert_eq!(decode(&whole).expect("whole").version, 7);
    for at in 0..whole.len() {
        for bit in 0..8 {
            let mut bytes = whole.clone();
            bytes[at] ^= 1 << bit;
            if let Ok(list) = decode(&bytes) {
                // A checksum in capital letters is the same one.
                assert_eq!(list, decode(&whole).expect("whole"), "byte {at}, bit {bit}");
            }
        }
    }
    assert_eq!(decode(b"SQLite format 3\0"), Err(FileError::UnknownFileType));
    assert_eq!(decode(b"{}"), Err(FileError::UnknownFileType));
    assert_eq!(decode(b""), Err(FileError::Torn));
    let newer = String::from_utf8(whole.clone()).expect("text").replacen(" 1 ", " 2 ", 1);
    assert_eq!(decode(newer.as_bytes()), Err(FileError::NewerFormat(FORMAT_VERSION + 1)));
    assert!(matches!(decode(&vec![b'g'; 17 << 20]), Err(FileError::TooLarge(_))));
    assert!(matches!(encode(&list(400_000, 1)), Err(FileError::TooLarge(_))));
}

#[test]
fn an_unusable_directory_is_reported_and_can_still_be_read() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let path = folder.path();
    assert!(matches!(CacheDirectory::open(&path.join("missing")), Err(CacheError::Io { .. })));
    let (mut dir, _) = CacheDirectory::open(path).expect("the directory is free");
    dir.save(&mut list(1, 1)).expect("saved");
    assert!(matches!(CacheDirectory::open(path), Err(CacheError::Locked(_))), "a second instance");
    assert_eq!(generation(path), Some(1));
    // No file can be created where there is a directory, whatever the user that runs the tests may do.
    std::fs::create_dir(path.join("list.new")).expect("created");
    assert!(matches!(dir.save(&mut list(1, 2)), Err(CacheError::Io { .. })));
    assert_eq!(generation(path), Some(1));
    std::fs::remove_dir(path.join("list.new")).expect("removed");
    dir.save(&mut list(1, 3)).expect("saved again");
    assert_eq!(generation(path), Some(2));
    // Linux has a device that is always full.
    #[cfg(target_os = "linux")]
    {
        std::fs::write(path.join("list.new"), b"").expect("created");
        std::fs::remove_file(path.join("list.new")).expect("removed");
        std::os::unix::fs::symlink("/dev/full", path.join("list.new")).expect("linked");
        let fault = dir.save(&mut list(1, 4)).expect_err("the device is full");
        assert!(fault.to_string().contains("can't be written"), "{fault}");
        assert_eq!(generation(path), Some(2));
    }
}

/// The environment variable that names the directory to the process which the next test kills.
const DIRECTORY_VARIABLE: &str = "CACHE_TEST_DIR";

/// Not a test of its own: the process that the next one kills. It prints each generation that is saved.
#[test]
#[ignore = "saves until it is killed"]
fn saves_until_it_is_killed() {
    let Ok(path) = std::env::var(DIRECTORY_VARIABLE) else { return };
    let (mut dir, loaded) = CacheDirectory::open(Path::new(&path)).expect("the directory is free");
    assert!(loaded.errors.is_empty(), "{:?}", loaded.errors);
    let mut out = std::io::stderr();
    for version in 0..100_000 {
        let mut list = list(200, version);
        dir.save(&mut list).expect("saved");
        let _ = writeln!(out, "saved {}", list.generation);
    }
}

/// Starts the process that saves to this directory, and kills it after so many lines of output; returns the last
/// generation that it printed, if there was any.
fn kill_after_lines(directory: &Path, count: u64) -> Option<u64> {
    let program = std::env::current_exe().expect("the path of this program");
    let mut child = Command::new(program)
        .args(["--ignored", "--exact", "saves_until_it_is_killed", "--nocapture"])
        .env(DIRECTORY_VARIABLE, directory)
        .stdout(Stdio::null())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the process starts");
    let mut last = None;
    let mut lines = BufReader::new(child.stderr.take().expect("a pipe")).lines().map_while(Result::ok);
    let mut record = |line: String| {
        last = line.strip_prefix("saved ").and_then(|number| number.parse().ok()).or(last);
    };
    (0..count).filter_map(|_| lines.next()).for_each(&mut record);
    child.kill().expect("killed");
    lines.for_each(record);
    child.wait().expect("ended");
    last
}

#[test]
fn a_process_killed_while_saving_leaves_every_generation_that_it_reported() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let mut last = 0;
    for round in 0..25u64 {
        last = kill_after_lines(folder.path(), 1 + round % 7).unwrap_or(last);
        let loaded = CacheDirectory::read(folder.path());
        let list = loaded.list.expect("a complete list").list;
        assert!(loaded.errors.is_empty(), "{:?}", loaded.errors);
        assert!(list.generation >= last && list.generation <= last + 1, "{} of {last}", list.generation);
        assert_eq!(list.endpoints.len(), 200);
    }
}
