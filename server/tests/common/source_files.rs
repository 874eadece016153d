//! Finds the source files below a directory.

use std::fs;
use std::path::{Path, PathBuf};

/// Returns all Rust files below a directory, sorted by path.
pub fn source_files(directory: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    collect_source_files(directory, &mut files);
    files.sort();
    files
}

fn collect_source_files(directory: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(directory).expect("the directory cannot be read").flatten() {
        let path = entry.path();
        if path.is_dir() {
            collect_source_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}
