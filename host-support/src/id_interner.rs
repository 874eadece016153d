//! Mapping of identifiers to dense indices and back.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

/// Assigns dense indices to identifiers, in the order of their first use. The index of an identifier never changes.
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
    /// Returns the index of an identifier. If it has none, the next index is assigned to it.
    pub fn intern(&mut self, id: K) -> usize {
        if let Some(&index) = self.indices.get(&id) {
            return index;
        }
        let index = self.ids.len();
        self.ids.push(id.clone());
        self.indices.insert(id, index);
        index
    }

    /// The index of an identifier, if one is assigned.
    pub fn get<Q: Hash + Eq + ?Sized>(&self, id: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        self.indices.get(id).copied()
    }

    /// Whether no index is assigned yet.
    pub fn is_empty(&self) -> bool {
        self.ids.is_empty()
    }

    /// Number of assigned indices.
    pub fn len(&self) -> usize {
        self.ids.len()
    }

    /// The identifier with this index.
    ///
    /// # Panics
    /// If the index is not assigned.
    pub fn id(&self, index: usize) -> &K {
        &self.ids[index]
    }
}
