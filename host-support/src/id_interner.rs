//! Identifiers to dense indices and back.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

/// Dense indices of identifiers, in the order in which they were first seen. An identifier keeps its index for good.
pub struct IdInterner<K> {
    indices: HashMap<K, usize>,
    ids: Vec<K>,
}

impl<K> Default for IdInterner<K> {
    fn default() -> Self {
        IdInterner { indices: HashMap::new(), ids: Vec::new() }
    }
}

impl<K: Hash + Eq + Clone> IdInterner<K> {
    /// The index of an identifier; a new one if it was not seen before.
    pub fn intern(&mut self, id: K) -> usize {
        if let Some(&index) = self.indices.get(&id) {
            return index;
        }
        let index = self.ids.len();
        self.ids.push(id.clone());
        self.indices.insert(id, index);
        index
    }

    /// The index of an identifier that was seen before.
    pub fn get<Q: Hash + Eq + ?Sized>(&self, id: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        self.indices.get(id).copied()
    }

    /// Whether no identifier was seen.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Identifiers seen.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// The identifier of an index.
    ///
    /// # Panics
    /// No identifier has that index.
    pub fn id(&self, index: usize) -> &K {
        &self.ids[index]
    }
}
