//! Parser of the whole file. It continues after an invalid line, so that all errors are reported at once.

use crate::client_class_line::parse_class;
use crate::error::{ConfigError, ConfigErrorKind};
use crate::keywords::{Keyword, KEYWORDS};
use crate::settings::OperatorSettings;
use crate::tokens::tokenize;

/// Keyword of a line that defines a client class. Unlike other keywords, it may be used on several lines.
const CLASS_KEYWORD: &str = "admit";
/// Maximum edit distance between an unknown keyword and the known one that is suggested for it.
const MAX_SUGGESTION_DISTANCE: usize = 3;

/// Parses the text of an operators' file.
///
/// # Errors
/// All errors in the file: those of single lines in the order of the lines, then those between client classes.
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
    /// Keywords used so far, except [`CLASS_KEYWORD`], with the number of their line.
    used_keywords: Vec<(&'static str, usize)>,
    /// Number of the last line that defines a client class. Inconsistencies between classes are reported there.
    last_class_line: usize,
}

impl Parser {
    fn parse_line(&mut self, line: usize, text: &str) {
        let tokens = match tokenize(text) {
            Ok(tokens) => tokens,
            Err(error) => return self.add_error(line, "", error.into()),
        };
        let Some((keyword, values)) = tokens.split_first() else { return };
        let result = if keyword == CLASS_KEYWORD {
            self.last_class_line = line;
            self.add_class(values)
        } else {
            self.apply_keyword(line, keyword, values)
        };
        if let Err(kind) = result {
            self.add_error(line, keyword, kind);
        }
    }

    fn add_class(&mut self, values: &[String]) -> Result<(), ConfigErrorKind> {
        self.settings.admission.clients.classes.push(parse_class(values)?);
        Ok(())
    }

    fn apply_keyword(&mut self, line: usize, name: &str, values: &[String]) -> Result<(), ConfigErrorKind> {
        let keyword = find_keyword(name)?;
        if let Some((_, first_line)) = self.used_keywords.iter().find(|(name, _)| *name == keyword.name) {
            return Err(ConfigErrorKind::RepeatedKeyword(*first_line));
        }
        self.used_keywords.push((keyword.name, line));
        let [value] = values else { return Err(ConfigErrorKind::ValueCount(values.len())) };
        (keyword.set)(&mut self.settings, value)?;
        Ok(())
    }

    fn add_error(&mut self, line: usize, keyword: &str, kind: ConfigErrorKind) {
        self.errors.push(ConfigError { line, keyword: keyword.to_string(), kind });
    }

    fn finish(mut self) -> Result<OperatorSettings, Vec<ConfigError>> {
        // The capacity is not known here: the server validates the classes against it when it starts.
        let classes = &self.settings.admission.clients.classes;
        for error in admission::client_class::validate(classes, usize::MAX) {
            self.add_error(self.last_class_line, CLASS_KEYWORD, error.into());
        }
        if self.errors.is_empty() {
            Ok(self.settings)
        } else {
            Err(self.errors)
        }
    }
}

fn find_keyword(name: &str) -> Result<&'static Keyword, ConfigErrorKind> {
    KEYWORDS.iter().find(|keyword| keyword.name == name).ok_or_else(|| unknown_keyword(name))
}

fn unknown_keyword(name: &str) -> ConfigErrorKind {
    let known = KEYWORDS.iter().map(|keyword| keyword.name).chain([CLASS_KEYWORD]);
    let nearest = known.map(|known| (strsim::damerau_levenshtein(known, name), known)).min();
    match nearest {
        Some((distance, known)) if distance <= MAX_SUGGESTION_DISTANCE => {
            ConfigErrorKind::MisspeltKeyword(known)
        }
        _ => ConfigErrorKind::UnknownKeyword,
    }
}
