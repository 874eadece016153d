//! The lobby: connections that have not said yet who they are, where that decides who is let in. It is small,
//! nobody is kept out of it, and who is in it too long makes way: a client that says its name at once is
//! through before a flood of those who never do can push it out.

use crate::source::Source;
use std::collections::{BTreeSet, HashMap};

/// A place in the lobby.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Place(u64);

/// What becomes of a connection that has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Entrance {
    Free(Place),
    /// For it another makes way: of the source that has most in the lobby, who came first.
    For(Place, Place),
    /// So many are on their way out already that there is no descriptor for another.
    Full,
}

pub struct Lobby {
    most: usize,
    next: u64,
    places: HashMap<Place, Source>,
    by_source: HashMap<Source, BTreeSet<Place>>,
    /// Sources by how many they have here, those with most behind.
    fullest: BTreeSet<(usize, Source)>,
    /// Those that were asked to make way and have not gone yet.
    leaving: BTreeSet<Place>,
}

impl Lobby {
    /// For so many at a time; as many again may be on their way out.
    pub fn new(most: usize) -> Lobby {
        let (next, places, by_source, fullest, leaving) = Default::default();
        Lobby { most: most.max(1), next, places, by_source, fullest, leaving }
    }

    /// For a front with room for so many connections: one in sixteen of them, with those on their way out.
    pub fn for_room(room: usize) -> Lobby {
        Lobby::new((room / 32).max(2))
    }

    /// Whether it is in the lobby and was not asked to make way.
    pub fn holds(&self, place: Place) -> bool {
        self.places.contains_key(&place)
    }

    /// In the lobby and not on their way out.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Descriptors that it may take at the most.
    pub fn most(&self) -> usize {
        self.most * 2
    }

    pub fn enter(&mut self, source: Source) -> Entrance {
        let makes_way = match self.places.len() < self.most {
            true => None,
            false if self.leaving.len() >= self.most => return Entrance::Full,
            false => self.fullest.last().and_then(|(_, source)| self.by_source[source].first().copied()),
        };
        if let Some(place) = makes_way {
            self.strike(place);
            self.leaving.insert(place);
        }
        self.next += 1;
        let place = Place(self.next);
        self.places.insert(place, source);
        self.change(source, |places| {
            places.insert(place);
        });
        makes_way.map_or(Entrance::Free(place), |other| Entrance::For(place, other))
    }

    /// It has said who it is, or is gone. False where it was asked to make way before that.
    pub fn leave(&mut self, place: Place) -> bool {
        self.strike(place) || !self.leaving.remove(&place)
    }

    fn strike(&mut self, place: Place) -> bool {
        let Some(source) = self.places.remove(&place) else { return false };
        self.change(source, |places| {
            places.remove(&place);
        });
        true
    }

    fn change(&mut self, source: Source, how: impl FnOnce(&mut BTreeSet<Place>)) {
        let places = self.by_source.entry(source).or_default();
        self.fullest.remove(&(places.len(), source));
        how(places);
        if places.is_empty() {
            self.by_source.remove(&source);
        } else {
            self.fullest.insert((places.len(), source));
        }
    }
}
