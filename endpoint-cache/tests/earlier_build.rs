//! A state directory that an earlier build wrote remains readable. The build of commit 0eda158, not the code under
//! test, wrote `tests/data/state`.

use endpoint_cache::{CacheDirectory, CachedReport, LoadedList};
use std::path::Path;

#[test]
fn state_directory_of_an_earlier_build_is_readable() {
    let earlier = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/state");
    let folder = tempfile::tempdir().expect("a temporary directory");
    for name in ["list", "list.before", "lock"] {
        std::fs::copy(earlier.join(name), folder.path().join(name)).expect("copied");
    }
    let (mut dir, loaded) = CacheDirectory::open(folder.path()).expect("the directory is free");
    assert!(loaded.errors.is_empty(), "{:?}", loaded.errors);
    let LoadedList { mut list, file } = loaded.list.expect("a list");
    assert_eq!(file, folder.path().join("list"));
    assert_eq!((list.generation, list.version), (2, 42));
    assert_eq!((list.confirmed_ms, list.saved_ms), (1_790_000_100_000, 1_790_000_100_500));
    let [primary, replica] = &list.endpoints[..] else { panic!("{:?}", list.endpoints) };
    assert_eq!((primary.name.as_str(), primary.address.as_str()), ("p-1", "127.0.0.1:6001"));
    assert_eq!((primary.zone.as_str(), primary.group, primary.started_ms), ("a", 3, 1_790_000_000_000.0));
    assert_eq!((primary.health.as_str(), primary.recovery.as_str()), ("SERVING", "off"));
    let report = CachedReport {
        primary: true,
        position_ms: Some(1_790_000_099_000),
        timeline: Some(2),
        received_ms: 1_790_000_100_100,
    };
    assert_eq!(primary.report, Some(report));
    let report =
        CachedReport { primary: false, position_ms: None, timeline: None, received_ms: 1_790_000_100_200 };
    assert_eq!((replica.health.as_str(), replica.report), ("DRAINING", Some(report)));

    // A saved copy is identical byte for byte, except for the number of the generation.
    dir.save(&mut list).expect("saved");
    assert_eq!(list.generation, 3);
    let body = |path: &Path| {
        let text = std::fs::read_to_string(path).expect("a file");
        let (_, body) = text.split_once('\n').expect("a header line");
        body.replace("\"generation\":3", "\"generation\":2")
    };
    assert_eq!(body(&folder.path().join("list")), body(&earlier.join("list")));
}
