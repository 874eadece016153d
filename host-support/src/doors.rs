//! Ids to small indices at the door, and back.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::hash::Hash;

/// Dense numbers for ids, in the order in which they were first seen.
pub struct Doors<K> {
    index: HashMap<K, usize>,
    names: Vec<K>,
}

impl<K> Default for Doors<K> {
    fn default() -> Self {
        Doors { index: HashMap::new(), names: Vec::new() }
    }
}

impl<K: Hash + Eq + Clone> Doors<K> {
    pub fn enter(&mut self, id: K) -> usize {
        if let Some(&ix) = self.index.get(&id) {
            return ix;
        }
        self.names.push(id.clone());
        self.index.insert(id, self.names.len() - 1);
        self.names.len() - 1
    }

    pub fn find<Q: Hash + Eq + ?Sized>(&self, id: &Q) -> Option<usize>
    where
        K: Borrow<Q>,
    {
        self.index.get(id).copied()
    }

    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    pub fn len(&self) -> usize {
        self.names.len()
    }

    pub fn name(&self, ix: usize) -> &K {
        &self.names[ix]
    }
}
