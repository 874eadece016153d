//! Checks that no package of the workspace has an import cycle between its files, so that each file can be read after
//! the files that it imports. An import through a re-export counts as an import of the file that re-exports the item.

#[path = "common/source_files.rs"]
mod source_files;
#[path = "common/use_tree.rs"]
mod use_tree;

use source_files::source_files;
use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::path::{Path, PathBuf};
use use_tree::{imported_paths, ItemPath};

/// The text of each module, by its path from the package root. The path of `lib.rs` or `main.rs` is empty.
type Modules = BTreeMap<ItemPath, String>;
/// The modules that each module imports.
type Imports = BTreeMap<ItemPath, BTreeSet<ItemPath>>;

/// The directories of the workspace's packages.
fn package_directories() -> Vec<PathBuf> {
    let workspace =
        Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the workspace directory cannot be read");
    let entries = fs::read_dir(workspace).expect("the workspace directory cannot be read").flatten();
    let directories = entries.map(|entry| entry.path());
    directories.filter(|path| path.join("Cargo.toml").is_file() && path.join("src").is_dir()).collect()
}

/// The path of the module in a file: `control` for `control/mod.rs`, `control::actions` for `control/actions.rs`.
fn module_path(file: &Path) -> ItemPath {
    let without_extension = file.with_extension("");
    let names = without_extension.iter().map(|name| name.to_string_lossy().into_owned());
    let mut path: ItemPath = names.collect();
    if path.last().is_some_and(|name| ["lib", "main", "mod"].contains(&name.as_str())) {
        path.pop();
    }
    path
}

/// Reads the modules below a package's `src`. If it has `lib.rs`, then `lib.rs` is the root and `main.rs` is left out,
/// because that is a crate of its own.
fn read_modules(src: &Path) -> Modules {
    let files = source_files(src);
    let has_library = files.contains(&src.join("lib.rs"));
    let files = files.iter().filter(|file| !has_library || **file != src.join("main.rs"));
    let modules = files.map(|file| {
        let path = module_path(file.strip_prefix(src).expect("the file is outside src"));
        (path, fs::read_to_string(file).expect("the file cannot be read as text"))
    });
    modules.collect()
}

/// Returns an import as a path from the package root, or `None` if it is from another package.
fn absolute_path(modules: &Modules, importer: &[String], import: &[String]) -> Option<ItemPath> {
    let first = import.first()?;
    let parent = || importer.split_last().map_or(&[][..], |(_, parent)| parent);
    match first.as_str() {
        "crate" => Some(import[1..].to_vec()),
        "self" => Some([importer, &import[1..]].concat()),
        // The first of several `super` in a row is resolved here, the others by recursion.
        "super" if import.get(1).is_some_and(|next| next == "super") => {
            absolute_path(modules, parent(), &import[1..])
        }
        "super" => Some([parent(), &import[1..]].concat()),
        child => {
            let child_module = [importer, &[child.to_string()]].concat();
            modules.contains_key(&child_module).then(|| [importer, import].concat())
        }
    }
}

/// The module that contains an item: the longest prefix of the item's path that is a module.
fn containing_module(modules: &Modules, item: &[String]) -> ItemPath {
    let lengths = (0..=item.len()).rev();
    let mut candidates = lengths.map(|length| item[..length].to_vec());
    candidates.find(|path| modules.contains_key(path)).unwrap_or_default()
}

/// Finds the imports of all modules.
fn find_imports(modules: &Modules) -> Imports {
    let imports_of = |importer: &ItemPath, text: &str| {
        let paths = imported_paths(text);
        let items = paths.iter().filter_map(|path| absolute_path(modules, importer, path));
        let imported = items.map(|item| containing_module(modules, &item));
        imported.filter(|module| module != importer).collect()
    };
    modules.iter().map(|(importer, text)| (importer.clone(), imports_of(importer, text))).collect()
}

/// Searches depth-first from the last module of `path` and returns the first cycle that it finds. `finished` has the
/// modules that lead to no cycle.
fn find_cycle_from(
    imports: &Imports,
    path: &mut Vec<ItemPath>,
    finished: &mut BTreeSet<ItemPath>,
) -> Option<Vec<ItemPath>> {
    let module = path.last()?.clone();
    for imported in imports.get(&module).into_iter().flatten() {
        if let Some(start) = path.iter().position(|earlier| earlier == imported) {
            return Some(path[start..].to_vec());
        }
        if finished.contains(imported) {
            continue;
        }
        path.push(imported.clone());
        let cycle = find_cycle_from(imports, path, finished);
        if cycle.is_some() {
            return cycle;
        }
        path.pop();
    }
    finished.insert(module);
    None
}

/// Returns the modules of a cycle, or `None` if there is no cycle. Each module imports the next one, and the last
/// imports the first.
fn find_cycle(imports: &Imports) -> Option<Vec<ItemPath>> {
    let mut finished = BTreeSet::new();
    imports.keys().find_map(|module| find_cycle_from(imports, &mut vec![module.clone()], &mut finished))
}

/// Formats a cycle as `crate::a -> crate::b -> crate::a`.
fn format_cycle(cycle: &[ItemPath]) -> String {
    let names = cycle.iter().chain(cycle.first());
    let names: Vec<String> = names
        .map(|path| {
            ["crate"].into_iter().chain(path.iter().map(String::as_str)).collect::<Vec<_>>().join("::")
        })
        .collect();
    names.join(" -> ")
}

/// The modules of a package with these files. Each file is given by its path below `src` and its text.
fn modules_from(texts: &[(&str, &str)]) -> Modules {
    let modules = texts.iter().map(|(file, text)| (module_path(Path::new(file)), text.to_string()));
    modules.collect()
}

/// Finds a cycle in a package with these files, see [`modules_from`], and formats it.
fn cycle_in(texts: &[(&str, &str)]) -> Option<String> {
    find_cycle(&find_imports(&modules_from(texts))).map(|cycle| format_cycle(&cycle))
}

#[test]
fn no_package_has_an_import_cycle() {
    let mut import_count = 0;
    let mut cycles = Vec::new();
    for directory in package_directories() {
        let imports = find_imports(&read_modules(&directory.join("src")));
        import_count += imports.values().map(BTreeSet::len).sum::<usize>();
        let cycle = find_cycle(&imports);
        cycles.extend(cycle.map(|cycle| format!("{}: {}", directory.display(), format_cycle(&cycle))));
    }
    assert!(cycles.is_empty(), "some files import each other:\n{}", cycles.join("\n"));
    assert!(import_count > 300, "only {import_count} imports were found");
}

#[test]
fn a_cycle_is_found_for_every_form_of_import() {
    let crate_paths =
        [("a.rs", "use crate::b::B;"), ("b.rs", "use crate::a::A;"), ("c.rs", "use crate::a::A;")];
    assert_eq!(cycle_in(&crate_paths).as_deref(), Some("crate::a -> crate::b -> crate::a"));
    let super_paths =
        [("a/b.rs", "use super::c::{C, D};"), ("a/c.rs", "fn f() { super::super::a::b::g(); }")];
    assert_eq!(cycle_in(&super_paths).as_deref(), Some("crate::a::b -> crate::a::c -> crate::a::b"));
    let re_export = [("lib.rs", "mod a;\npub use a::A;"), ("a.rs", "use crate::A;")];
    assert_eq!(cycle_in(&re_export).as_deref(), Some("crate -> crate::a -> crate"));
    let grouped =
        [("a.rs", "use crate::{\n    b::{self, B as Other},\n    c,\n};"), ("c.rs", "use crate::a::*;")];
    assert_eq!(cycle_in(&grouped).as_deref(), Some("crate::a -> crate::c -> crate::a"));
}

#[test]
fn one_way_imports_and_comments_are_not_cycles() {
    let one_way =
        [("a.rs", "use crate::b::B;\nuse crate::c::C;"), ("b.rs", "use crate::c::C;"), ("c.rs", "")];
    assert_eq!(cycle_in(&one_way), None);
    let comments = [("a.rs", "use crate::b::B;"), ("b.rs", "/// [`A`](crate::a::A)\nuse other::a::A;")];
    assert_eq!(cycle_in(&comments), None);
}
