//! The two vocabularies of the texts that operators' programs read. Those texts keep the terms that they had at first under
//! their first names, and have the standard terms of the field under second names.

/// Which terms a text is written in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vocabulary {
    /// Those of the first releases, for programs that know no others.
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
    /// With different terms.
    pub const fn new(earlier: &'static str, standard: &'static str) -> Term {
        Term { earlier, standard }
    }

    /// With one term in both vocabularies.
    pub const fn same(term: &'static str) -> Term {
        Term { earlier: term, standard: term }
    }

    /// The term of a vocabulary.
    pub fn word(self, vocabulary: Vocabulary) -> &'static str {
        match vocabulary {
            Vocabulary::Earlier => self.earlier,
            Vocabulary::Standard => self.standard,
        }
    }
}
