//! Finds the paths that a source file imports by a `use` declaration or names directly in an expression or a type.

use std::iter::Peekable;
use std::str::Chars;

/// The segments of a path in order, such as `crate`, `a` and `B` for `crate::a::B`.
pub type ItemPath = Vec<String>;

/// What may stand before `use`.
const VISIBILITIES: [&str; 4] = ["pub ", "pub(crate) ", "pub(super) ", ""];

/// Returns the paths in all `use` declarations, and those that begin with `crate::` or `super::` elsewhere. It ignores
/// comments.
pub fn imported_paths(text: &str) -> Vec<ItemPath> {
    let code = without_comments(text);
    let mut paths = Vec::new();
    for start in use_starts(&code).into_iter().chain(path_starts(&code)) {
        read_tree(&[], &mut code[start..].chars().peekable(), &mut paths);
    }
    paths
}

fn without_comments(text: &str) -> String {
    let lines = text.lines().map(|line| line.split("//").next().unwrap_or_default());
    lines.collect::<Vec<_>>().join("\n")
}

/// The offsets at which the trees of `use` declarations begin.
fn use_starts(code: &str) -> Vec<usize> {
    let mut starts = Vec::new();
    let mut line_start = 0;
    for line in code.split_inclusive('\n') {
        let declaration = line.trim_start();
        let keywords = VISIBILITIES.map(|visibility| format!("{visibility}use "));
        if let Some(tree) = keywords.iter().find_map(|keyword| declaration.strip_prefix(keyword)) {
            starts.push(line_start + line.len() - tree.len());
        }
        line_start += line.len();
    }
    starts
}

/// The offsets at which paths from the crate root or from the parent module begin.
fn path_starts(code: &str) -> Vec<usize> {
    let matches = ["crate::", "super::"].into_iter().flat_map(|prefix| code.match_indices(prefix));
    let is_path_start = |at: usize| {
        let before = code[..at].chars().next_back();
        !before.is_some_and(|char| is_name_char(char) || char == ':')
    };
    matches.map(|(at, _)| at).filter(|at| is_path_start(*at)).collect()
}

/// Reads one tree below `prefix` and adds its paths. The tree `a::{b, c::d}` has the paths `a::b` and `a::c::d`.
fn read_tree(prefix: &[String], chars: &mut Peekable<Chars>, paths: &mut Vec<ItemPath>) {
    let mut path = prefix.to_vec();
    loop {
        skip_while(chars, char::is_whitespace);
        if chars.next_if_eq(&'{').is_some() {
            return read_group(&path, chars, paths);
        }
        let name = read_name(chars);
        // The path of `a::{self}` is `a`.
        if !name.is_empty() && (path.is_empty() || name != "self") {
            path.push(name);
        }
        if chars.next_if_eq(&':').is_none() || chars.next_if_eq(&':').is_none() {
            break;
        }
    }
    paths.push(path);
}

/// Reads the trees of a group, whose opening brace has been read already.
fn read_group(prefix: &[String], chars: &mut Peekable<Chars>, paths: &mut Vec<ItemPath>) {
    loop {
        skip_while(chars, |char| char.is_whitespace() || char == ',');
        if chars.peek().is_none() || chars.next_if_eq(&'}').is_some() {
            return;
        }
        read_tree(prefix, chars, paths);
        // Skips a glob, or the new name after `as`.
        skip_while(chars, |char| char != ',' && char != '}');
    }
}

fn read_name(chars: &mut Peekable<Chars>) -> String {
    let mut name = String::new();
    while let Some(char) = chars.next_if(|char| is_name_char(*char)) {
        name.push(char);
    }
    name
}

fn skip_while(chars: &mut Peekable<Chars>, is_skipped: impl Fn(char) -> bool) {
    while chars.next_if(|char| is_skipped(*char)).is_some() {}
}

fn is_name_char(char: char) -> bool {
    char.is_alphanumeric() || char == '_'
}
