//! Checks the layers of the server: a module may use only modules of its own layer and of lower layers.

#[path = "common/source_files.rs"]
mod source_files;

use source_files::source_files;
use std::fs;
use std::path::Path;

/// The layers from the bottom up, as the crate's documentation lists them.
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

/// The layer of a file: its first directory below the root, or the file's name without extension if it is in the root.
fn layer_of(file: &Path, root: &Path) -> String {
    let first_component = file.strip_prefix(root).expect("the file is outside the root").components().next();
    let name = first_component.expect("the path has no name").as_os_str().to_string_lossy().into_owned();
    name.trim_end_matches(".rs").to_string()
}

/// The position of a layer in [`LAYERS`], 0 for the bottom.
fn layer_position(layer: &str) -> usize {
    LAYERS
        .iter()
        .position(|listed| *listed == layer)
        .unwrap_or_else(|| panic!("the layer {layer} is not in LAYERS"))
}

#[test]
fn no_layer_uses_a_layer_above_it() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut use_count = 0;
    for file in source_files(&root) {
        let layer = layer_of(&file, &root);
        if layer == "lib" || layer == "main" {
            continue;
        }
        let text = fs::read_to_string(&file).expect("the file cannot be read as text");
        for used in text.split("crate::").skip(1) {
            let name: String =
                used.chars().take_while(|char| char.is_ascii_lowercase() || *char == '_').collect();
            if name == "log" || name.is_empty() {
                continue; // `log` is a macro that is exported at the crate root.
            }
            use_count += 1;
            assert!(
                layer_position(&name) <= layer_position(&layer),
                "{} uses the layer {name}, which is above its layer {layer}",
                file.display()
            );
        }
    }
    assert!(use_count > 100, "only {use_count} uses were found");
}
