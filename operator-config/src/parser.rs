//! Reads a whole file, and collects everything that is wrong with it.

use crate::client_class_line::parse_class;
use crate::error::{ConfigError, Problem};
use crate::keywords::{Keyword, KEYWORDS};
use crate::settings::OperatorSettings;
use crate::tokens::split;

/// May stand on many lines, one for each class.
const CLASS_KEYWORD: &str = "admit";
/// A word that differs from a keyword in no more letters is taken to be misspelt.
const MAX_MISSPELT_LETTERS: usize = 3;

/// Reads the text of a file.
///
/// # Errors
/// Everything that is wrong with it.
pub fn parse(text: &str) -> Result<OperatorSettings, Vec<ConfigError>> {
    let mut parser = Parser::default();
    for (index, line) in text.lines().enumerate() {
        parser.take_line(index + 1, line);
    }
    parser.finish()
}

#[derive(Default)]
struct Parser {
    settings: OperatorSettings,
    errors: Vec<ConfigError>,
    /// Keywords with one value, and where each stands.
    seen: Vec<(&'static str, usize)>,
    last_class_line: usize,
}

impl Parser {
    fn take_line(&mut self, line: usize, text: &str) {
        let tokens = match split(text) {
            Ok(tokens) => tokens,
            Err(error) => return self.fail(line, "", error.into()),
        };
        let Some((keyword, values)) = tokens.split_first() else { return };
        let taken = if keyword == CLASS_KEYWORD {
            self.last_class_line = line;
            self.take_class(values)
        } else {
            self.apply_keyword(line, keyword, values)
        };
        if let Err(problem) = taken {
            self.fail(line, keyword, problem);
        }
    }

    fn take_class(&mut self, values: &[String]) -> Result<(), Problem> {
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
        // How much capacity there is only a start knows; what classes contradict each other in shows here.
        let classes = admission::client_class::validate(&self.settings.admission.clients.classes, usize::MAX);
        for error in classes {
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
