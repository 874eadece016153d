//! Checks the layers of the server: a module uses only modules of its own layer and of lower layers.

#[path = "common/source_files.rs"]
mod source_files;

use source_files::source_files;
use std::fs;
use std::path::Path;

/// From the bottom up, as the crate's documentation lists them.
const LAYERS: [&str; 13] = [
    "runtime",
    "protocol",
    "messages",
    "storage",
    "endpoints",
    "discovery",
    "control",
    "clients",
    "admin",
    "config",
    "exit_status",
    "startup",
    "cli",
];

/// The layer of a file: its first directory below the root, or its own name without extension.
fn layer_of(file: &Path, root: &Path) -> String {
    let first = file.strip_prefix(root).expect("below the root").components().next();
    let name = first.expect("a name").as_os_str().to_string_lossy().into_owned();
    name.trim_end_matches(".rs").to_string()
}

/// The position of a layer, counted from the bottom.
fn rank(layer: &str) -> usize {
    LAYERS
        .iter()
        .position(|known| *known == layer)
        .unwrap_or_else(|| panic!("{layer} is not in the list of layers"))
}

#[test]
fn no_layer_uses_one_above_it() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut uses = 0;
    for file in source_files(&root) {
        let layer = layer_of(&file, &root);
        if layer == "lib" || layer == "main" {
            continue;
        }
        let text = fs::read_to_string(&file).expect("text");
        for used in text.split("crate::").skip(1) {
            let name: String =
                used.chars().take_while(|char| char.is_ascii_lowercase() || *char == '_').collect();
            if name == "log" || name.is_empty() {
                continue; // `log` is a macro exported at the root.
            }
            uses += 1;
            assert!(rank(&name) <= rank(&layer), "{} uses {name}", file.display());
        }
    }
    assert!(uses > 100, "{uses} uses were found");
}
