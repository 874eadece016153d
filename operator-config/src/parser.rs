//! Parser of a whole file, which collects all errors.

use crate::client_class_line::parse_class;
use crate::error::{ConfigError, Problem};
use crate::keywords::{Keyword, KEYWORDS};
use crate::settings::OperatorSettings;
use crate::tokens::split;

/// Keyword of a client class; may be repeated, once for each class.
const CLASS_KEYWORD: &str = "admit";
/// Maximum edit distance, in letters, of an unknown word to the keyword that is suggested for it.
const MAX_MISSPELT_LETTERS: usize = 3;

/// Parses the text of an operators' file.
///
/// # Errors
/// All errors in the file, in the order of the lines.
pub fn parse(text: &str) -> Result<OperatorSettings, Vec<ConfigError>> {
    let mut parser = Parser::default();
    for (index, line) in text.lines().enumerate() {
        parser.parse_line(index + 1, line);
    }
    parser.finish()
}

#[derive(Default)]
struct Parser {
    settings: OperatorSettings,
    errors: Vec<ConfigError>,
    /// Keywords with one value that were used so far, with their lines.
    seen: Vec<(&'static str, usize)>,
    /// Line of the last client class: errors of the set of classes are reported there.
    last_class_line: usize,
}

impl Parser {
    fn parse_line(&mut self, line: usize, text: &str) {
        let tokens = match split(text) {
            Ok(tokens) => tokens,
            Err(error) => return self.fail(line, "", error.into()),
        };
        let Some((keyword, values)) = tokens.split_first() else { return };
        let result = if keyword == CLASS_KEYWORD {
            self.last_class_line = line;
            self.add_class(values)
        } else {
            self.apply_keyword(line, keyword, values)
        };
        if let Err(problem) = result {
            self.fail(line, keyword, problem);
        }
    }

    fn add_class(&mut self, values: &[String]) -> Result<(), Problem> {
        self.settings.admission.clients.classes.push(parse_class(values)?);
        Ok(())
    }

    fn apply_keyword(&mut self, line: usize, name: &str, values: &[String]) -> Result<(), Problem> {
        let keyword = find_keyword(name)?;
        if let Some((_, before)) = self.seen.iter().find(|(name, _)| *name == keyword.name) {
            return Err(Problem::Repeated(*before));
        }
        self.seen.push((keyword.name, line));
        let [value] = values else { return Err(Problem::ValueCount(values.len())) };
        (keyword.set)(&mut self.settings, value)?;
        Ok(())
    }

    fn fail(&mut self, line: usize, keyword: &str, problem: Problem) {
        self.errors.push(ConfigError { line, keyword: keyword.to_string(), problem });
    }

    fn finish(mut self) -> Result<OperatorSettings, Vec<ConfigError>> {
        // The capacity is only known at the start of the server, which validates the classes against it.
        let classes = &self.settings.admission.clients.classes;
        for error in admission::client_class::validate(classes, usize::MAX) {
            self.fail(self.last_class_line, CLASS_KEYWORD, error.into());
        }
        if self.errors.is_empty() {
            Ok(self.settings)
        } else {
            Err(self.errors)
        }
    }
}

fn find_keyword(name: &str) -> Result<&'static Keyword, Problem> {
    KEYWORDS.iter().find(|keyword| keyword.name == name).ok_or_else(|| unknown_keyword(name))
}

fn unknown_keyword(name: &str) -> Problem {
    let known = KEYWORDS.iter().map(|keyword| keyword.name).chain([CLASS_KEYWORD]);
    let nearest = known.map(|known| (strsim::damerau_levenshtein(known, name), known)).min();
    match nearest {
        Some((letters, known)) if letters <= MAX_MISSPELT_LETTERS => Problem::MisspeltKeyword(known),
        _ => Problem::UnknownKeyword,
    }
}
