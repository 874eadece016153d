//! The source files below a directory.

use std::fs;
use std::path::{Path, PathBuf};

/// All Rust files below a directory, in the order of their paths.
pub fn source_files(directory: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    collect(directory, &mut files);
    files.sort();
    files
}

fn collect(directory: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).expect("a directory").flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}
