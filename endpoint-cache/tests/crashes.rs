//! A save that ends at any point, files that were never whole, directories that can't be used.

use endpoint_cache::{
    decode, encode, CacheDirectory, CacheError, CachedEndpoint, CachedEndpointList, FileError, FORMAT,
};
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Command, Stdio};

fn list(endpoints: usize, version: i64) -> CachedEndpointList {
    let store = |nth| CachedEndpoint {
        host: format!("s-{nth}"),
        dial: "127.0.0.1:6543".into(),
        block: 3,
        health: "SERVING".into(),
        ..CachedEndpoint::default()
    };
    CachedEndpointList {
        version,
        endpoints: (0..endpoints).map(store).collect(),
        ..CachedEndpointList::default()
    }
}

fn generation(path: &Path) -> Option<u64> {
    CacheDirectory::read(path).list.map(|(list, _)| list.generation)
}

#[test]
fn every_prefix_of_a_save_leaves_the_generation_before() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path();
    let (mut dir, loaded) = CacheDirectory::open(path).expect("it opens");
    assert!(loaded.list.is_none() && loaded.errors.is_empty());
    dir.save(&mut list(3, 1)).expect("saved");
    let first = std::fs::read(path.join("list")).expect("there");
    dir.save(&mut list(3, 2)).expect("saved");
    let second = std::fs::read(path.join("list")).expect("there");
    assert_eq!(std::fs::read(path.join("list.before")).expect("there"), first);
    drop(dir);

    // Killed while the new file was written, at each byte; the earlier ones are in place.
    let third = encode(&CachedEndpointList { generation: 3, ..list(3, 3) }).expect("bytes");
    for many in 0..third.len() {
        std::fs::write(path.join("list.new"), &third[..many]).expect("written");
        let loaded = CacheDirectory::read(path);
        assert_eq!(loaded.list.map(|(list, _)| list.generation), Some(2), "{many} bytes");
        assert!(loaded.errors.is_empty(), "a save cut off is no fault: {:?}", loaded.errors);
    }
    // Written whole, and killed before, between and after the renames.
    std::fs::write(path.join("list.new"), &third).expect("written");
    assert_eq!(generation(path), Some(3));
    std::fs::rename(path.join("list"), path.join("list.before")).expect("renamed");
    assert_eq!(generation(path), Some(3));
    std::fs::rename(path.join("list.new"), path.join("list")).expect("renamed");
    assert_eq!(generation(path), Some(3));

    // The disk tore the file in place itself: the one before counts, at every length.
    for many in 0..third.len() {
        std::fs::write(path.join("list"), &third[..many]).expect("written");
        assert_eq!(generation(path), Some(2), "{many} bytes");
    }
    // What is torn does not push the whole one out with the next save.
    let (mut dir, loaded) = CacheDirectory::open(path).expect("it opens");
    assert_eq!(loaded.errors.len(), 1);
    std::fs::write(path.join("list.new"), b"gingerwick-l").expect("written");
    assert_eq!(std::fs::read(path.join("list.before")).expect("there"), second);
    dir.save(&mut list(3, 4)).expect("saved");
    assert_eq!(generation(path), Some(3));
    assert_eq!(std::fs::read(path.join("list.before")).expect("there"), second);
}

#[test]
fn each_flipped_bit_is_seen_and_foreign_and_newer_files_are_named() {
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
    assert_eq!(decode(b"SQLite format 3\0"), Err(FileError::Foreign));
    assert_eq!(decode(b"{}"), Err(FileError::Foreign));
    assert_eq!(decode(b""), Err(FileError::Torn));
    let newer = String::from_utf8(whole.clone()).expect("text").replacen(" 1 ", " 2 ", 1);
    assert_eq!(decode(newer.as_bytes()), Err(FileError::Newer(FORMAT + 1)));
    assert!(matches!(decode(&vec![b'g'; 17 << 20]), Err(FileError::TooLarge(_))));
    assert!(matches!(encode(&list(400_000, 1)), Err(FileError::TooLarge(_))));
}

#[test]
fn a_directory_that_cannot_be_used_says_so_and_can_still_be_read() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path();
    assert!(matches!(CacheDirectory::open(&path.join("missing")), Err(CacheError::Io { .. })));
    let (mut dir, _) = CacheDirectory::open(path).expect("it opens");
    dir.save(&mut list(1, 1)).expect("saved");
    assert!(matches!(CacheDirectory::open(path), Err(CacheError::Locked(_))), "a second front");
    assert_eq!(generation(path), Some(1));
    // The way is barred: whoever the tests run as, no file can be made where a folder stands.
    std::fs::create_dir(path.join("list.new")).expect("made");
    assert!(matches!(dir.save(&mut list(1, 2)), Err(CacheError::Io { .. })));
    assert_eq!(generation(path), Some(1));
    std::fs::remove_dir(path.join("list.new")).expect("gone");
    dir.save(&mut list(1, 3)).expect("saved again");
    assert_eq!(generation(path), Some(2));
    // A device that is full is every Linux machine's own.
    #[cfg(target_os = "linux")]
    {
        std::fs::write(path.join("list.new"), b"").expect("made");
        std::fs::remove_file(path.join("list.new")).expect("gone");
        std::os::unix::fs::symlink("/dev/full", path.join("list.new")).expect("linked");
        let fault = dir.save(&mut list(1, 4)).expect_err("no room");
        assert!(fault.to_string().contains("can't be written"), "{fault}");
        assert_eq!(generation(path), Some(2));
    }
}

/// Not a test of its own: the process that the next one kills.
#[test]
#[ignore = "saves until it is killed"]
fn saves_until_it_is_killed() {
    let Ok(path) = std::env::var("KEEP_TEST_DIR") else { return };
    let (mut dir, loaded) = CacheDirectory::open(Path::new(&path)).expect("it opens");
    assert!(loaded.errors.is_empty(), "{:?}", loaded.errors);
    let mut out = std::io::stderr();
    for version in 0..100_000 {
        let mut list = list(200, version);
        dir.save(&mut list).expect("saved");
        let _ = writeln!(out, "saved {}", list.generation);
    }
}

#[test]
fn killed_in_the_middle_of_saves_it_keeps_all_that_it_said_it_had() {
    let folder = tempfile::tempdir().expect("a folder");
    let program = std::env::current_exe().expect("its path");
    let mut last = 0;
    for round in 0..25u64 {
        let mut child = Command::new(&program)
            .args(["--ignored", "--exact", "saves_until_it_is_killed", "--nocapture"])
            .env("KEEP_TEST_DIR", folder.path())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .expect("it starts");
        let mut lines = BufReader::new(child.stderr.take().expect("its words")).lines();
        // Its last word before it is killed, after more and more of them.
        let mut byte = |lines: &mut dyn Iterator<Item = std::io::Result<String>>| {
            let report = lines.next()?.ok()?;
            last = report.strip_prefix("saved ").and_then(|number| number.parse().ok()).unwrap_or(last);
            Some(())
        };
        for _ in 0..=round % 7 {
            byte(&mut lines);
        }
        child.kill().expect("killed");
        while byte(&mut lines).is_some() {}
        child.wait().expect("ended");
        let loaded = CacheDirectory::read(folder.path());
        let (list, _) = loaded.list.expect("a whole one");
        assert!(loaded.errors.is_empty(), "{:?}", loaded.errors);
        assert!(list.generation >= last && list.generation <= last + 1, "{} of {last}", list.generation);
        assert_eq!(list.endpoints.len(), 200);
    }
}
