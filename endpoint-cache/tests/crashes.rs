//! The cache directory after saves interrupted at any point, and with damaged files or unusable directories.

use endpoint_cache::{
    decode, encode, CacheDirectory, CacheError, CachedEndpoint, CachedEndpointList, FileError, FORMAT_VERSION,
};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};

/// Creates a list of `count` endpoints.
fn list(count: usize, version: i64) -> CachedEndpointList {
    let endpoint = |index| CachedEndpoint {
        name: format!("s-{index}"),
        address: "127.0.0.1:6543".into(),
        group: 3,
        health: "SERVING".into(),
        ..CachedEndpoint::default()
    };
    CachedEndpointList {
        version,
        endpoints: (0..count).map(endpoint).collect(),
        ..CachedEndpointList::default()
    }
}

/// The generation of the list that the next start would load.
fn generation(path: &Path) -> Option<u64> {
    CacheDirectory::read(path).list.map(|loaded| loaded.list.generation)
}

/// A directory with two saved generations.
struct TwoGenerations {
    folder: tempfile::TempDir,
    /// Content of the file of generation 2.
    second: Vec<u8>,
    /// Content of a file of generation 3, which is not saved yet.
    third: Vec<u8>,
}

impl TwoGenerations {
    fn new() -> TwoGenerations {
        let folder = tempfile::tempdir().expect("a temporary directory");
        let (mut dir, loaded) = CacheDirectory::open(folder.path()).expect("the directory is free");
        assert!(loaded.list.is_none() && loaded.errors.is_empty());
        dir.save(&mut list(3, 1)).expect("saved");
        let first = read(folder.path(), "list");
        dir.save(&mut list(3, 2)).expect("saved");
        let second = read(folder.path(), "list");
        assert_eq!(read(folder.path(), "list.before"), first);
        let third = encode(&CachedEndpointList { generation: 3, ..list(3, 3) }).expect("a list that fits");
        TwoGenerations { folder, second, third }
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
fn interrupted_save_leaves_the_previous_or_the_new_generation() {
    let saved = TwoGenerations::new();
    // The save was interrupted after each byte of the new file. The earlier files are in place.
    for length in 0..saved.third.len() {
        saved.write("list.new", &saved.third[..length]);
        let loaded = CacheDirectory::read(saved.path());
        assert_eq!(loaded.list.map(|newest| newest.list.generation), Some(2), "{length} bytes");
        assert!(loaded.errors.is_empty(), "an incomplete save was reported as an error: {:?}", loaded.errors);
    }
    // The save was interrupted after the new file was complete: before, between and after the renames.
    saved.write("list.new", &saved.third);
    assert_eq!(generation(saved.path()), Some(3));
    saved.rename("list", "list.before");
    assert_eq!(generation(saved.path()), Some(3));
    saved.rename("list.new", "list");
    assert_eq!(generation(saved.path()), Some(3));
}

#[test]
fn incomplete_file_does_not_replace_the_previous_generation() {
    let saved = TwoGenerations::new();
    saved.rename("list", "list.before");
    for length in 0..saved.third.len() {
        saved.write("list", &saved.third[..length]);
        assert_eq!(generation(saved.path()), Some(2), "{length} bytes");
    }
    // The next save does not replace the complete file with the incomplete one.
    let (mut dir, loaded) = CacheDirectory::open(saved.path()).expect("the directory is free");
    assert_eq!(loaded.errors.len(), 1);
    saved.write("list.new", b"gingerwick-l");
    assert_eq!(read(saved.path(), "list.before"), saved.second);
    dir.save(&mut list(3, 4)).expect("saved");
    assert_eq!(generation(saved.path()), Some(3));
    assert_eq!(read(saved.path(), "list.before"), saved.second);
}

#[test]
fn flipped_bits_unknown_file_types_and_newer_formats_are_rejected() {
    let valid = encode(&list(2, 7)).expect("a list that fits");
    assert_eq!(decode(&valid).expect("valid").version, 7);
    for at in 0..valid.len() {
        for bit in 0..8 {
            let mut bytes = valid.clone();
            bytes[at] ^= 1 << bit;
            if let Ok(list) = decode(&bytes) {
                // A flipped bit may turn a letter of the checksum into upper case, which does not change the
                // checksum.
                assert_eq!(list, decode(&valid).expect("valid"), "byte {at}, bit {bit}");
            }
        }
    }
    assert_eq!(decode(b"SQLite format 3\0"), Err(FileError::UnknownFileType));
    assert_eq!(decode(b"{}"), Err(FileError::UnknownFileType));
    assert_eq!(decode(b""), Err(FileError::Damaged));
    let newer = String::from_utf8(valid.clone()).expect("text").replacen(" 1 ", " 2 ", 1);
    assert_eq!(decode(newer.as_bytes()), Err(FileError::NewerFormat(FORMAT_VERSION + 1)));
    assert!(matches!(decode(&vec![b'g'; 17 << 20]), Err(FileError::TooLarge(_))));
    assert!(matches!(encode(&list(400_000, 1)), Err(FileError::TooLarge(_))));
}

#[test]
fn unusable_directory_is_reported_and_remains_readable() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let path = folder.path();
    assert!(matches!(CacheDirectory::open(&path.join("missing")), Err(CacheError::Io { .. })));
    let (mut dir, _) = CacheDirectory::open(path).expect("the directory is free");
    dir.save(&mut list(1, 1)).expect("saved");
    assert!(matches!(CacheDirectory::open(path), Err(CacheError::Locked(_))), "a second instance");
    assert_eq!(generation(path), Some(1));
    // No file can be created in place of a directory, even with the permissions of the superuser.
    std::fs::create_dir(path.join("list.new")).expect("created");
    assert!(matches!(dir.save(&mut list(1, 2)), Err(CacheError::Io { .. })));
    assert_eq!(generation(path), Some(1));
    std::fs::remove_dir(path.join("list.new")).expect("removed");
    dir.save(&mut list(1, 3)).expect("saved again");
    assert_eq!(generation(path), Some(2));
    // On Linux, `/dev/full` is a device without free space.
    #[cfg(target_os = "linux")]
    {
        std::fs::write(path.join("list.new"), b"").expect("created");
        std::fs::remove_file(path.join("list.new")).expect("removed");
        std::os::unix::fs::symlink("/dev/full", path.join("list.new")).expect("linked");
        let error = dir.save(&mut list(1, 4)).expect_err("the device is full");
        assert!(error.to_string().contains("cannot be written"), "{error}");
        assert_eq!(generation(path), Some(2));
    }
}

/// Environment variable with the cache directory, for the process that is killed.
const DIRECTORY_VARIABLE: &str = "CACHE_TEST_DIR";

/// Not a test by itself: the process that the next test kills. It prints the number of each saved generation.
#[test]
#[ignore = "saves until the process is killed"]
fn child_process_saves_until_killed() {
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

/// Starts the process that saves to `directory`, and kills it after `count` lines of output. Returns the last
/// generation that the process printed, if any.
fn kill_after_lines(directory: &Path, count: u64) -> Option<u64> {
    let program = std::env::current_exe().expect("the path of this program");
    let mut child = Command::new(program)
        .args(["--ignored", "--exact", "child_process_saves_until_killed", "--nocapture"])
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
fn reported_generations_survive_a_killed_process() {
    let folder = tempfile::tempdir().expect("a temporary directory");
    let mut last = 0;
    for round in 0..25u64 {
        last = kill_after_lines(folder.path(), 1 + round % 7).unwrap_or(last);
        let loaded = CacheDirectory::read(folder.path());
        let list = loaded.list.expect("a complete list").list;
        assert!(loaded.errors.is_empty(), "{:?}", loaded.errors);
        assert!(
            list.generation >= last && list.generation <= last + 1,
            "generation {} after {last} was reported",
            list.generation
        );
        assert_eq!(list.endpoints.len(), 200);
    }
}
