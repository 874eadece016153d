//! The two vocabularies of the pages, metrics and command outputs that operators' programs read. Each of these
//! outputs has two names: under the earlier name it keeps the terms of the first releases, and under the standard
//! name it uses the standard terms of the field.

/// The vocabulary in which a text is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vocabulary {
    /// The terms of the first releases, for existing programs.
    Earlier,
    /// The standard terms of the field.
    Standard,
}

/// A word or phrase in both vocabularies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Term {
    /// The earlier term.
    pub earlier: &'static str,
    /// The standard term.
    pub standard: &'static str,
}

impl Term {
    /// A term that differs between the vocabularies.
    pub const fn new(earlier: &'static str, standard: &'static str) -> Term {
        Term { earlier, standard }
    }

    /// A term that is the same in both vocabularies.
    pub const fn same(term: &'static str) -> Term {
        Term { earlier: term, standard: term }
    }

    /// The term in the vocabulary `vocabulary`.
    pub fn text(self, vocabulary: Vocabulary) -> &'static str {
        match vocabulary {
            Vocabulary::Earlier => self.earlier,
            Vocabulary::Standard => self.standard,
        }
    }
}
