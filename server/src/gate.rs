//! The gate: the admission of connections at work, where operators set classes. Whoever is let in holds a
//! [`Passage`], whose drop gives the place back.

use crate::clock::Alarms;
use crate::ledger::{Ledger, Share};
use crate::mailbox::Mailbox;
use admission::class::OTHERS;
use admission::lobby::{Entrance, Lobby, Place};
use admission::turnstile::Client;
use admission::{Admission, Class, Fault, Pass, Prefixes, Refusal};
use routing::time::Span;
use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};

struct State {
    admission: Admission,
    lobby: Lobby,
    /// How to reach those in the lobby.
    waiting: HashMap<Place, Arc<Mailbox>>,
}

pub struct Gate {
    state: Mutex<State>,
    alarms: Arc<Alarms>,
    ledger: Arc<Ledger>,
}

enum Stand {
    /// It has not said yet who it is.
    Lobby(Place),
    In(Pass),
    Out,
}

/// A connection's place in the lobby, or in its class.
pub struct Passage {
    gate: Arc<Gate>,
    from: IpAddr,
    stand: Stand,
}

impl Passage {
    pub fn class(&self) -> Option<Arc<str>> {
        self.client().map(|client| client.class)
    }

    /// Whom its RPCs count for.
    pub fn client(&self) -> Option<Client> {
        match &self.stand {
            Stand::In(pass) => Some(pass.client()),
            _ => None,
        }
    }

    pub fn is_in_lobby(&self) -> bool {
        matches!(self.stand, Stand::Lobby(_))
    }

    /// How to reach it while it is in the lobby. False where it has been asked to make way already.
    pub fn waits_at(&self, mailbox: &Arc<Mailbox>) -> bool {
        let Stand::Lobby(place) = self.stand else { return true };
        let mut state = self.gate.lock();
        let stays = state.lobby.holds(place);
        if stays {
            state.waiting.insert(place, mailbox.clone());
        }
        stays
    }

    /// It has said who it is. Whoever was let in by its address alone stays.
    ///
    /// # Errors
    /// It is turned away.
    pub fn introduce(&mut self, user: &str) -> Result<(), Refusal> {
        let Stand::Lobby(place) = self.stand else { return Ok(()) };
        self.stand = Stand::Out;
        let stayed = self.gate.lock().leave(place);
        if !stayed {
            return Err(self.gate.crowded());
        }
        self.stand = Stand::In(self.gate.admit(self.from, Some(user))?);
        Ok(())
    }

    /// It was asked to make way before it had said who it is.
    pub fn refusal(&self) -> Refusal {
        self.gate.crowded()
    }
}

impl Drop for Passage {
    fn drop(&mut self) {
        let (mut state, now) = (self.gate.lock(), self.gate.alarms.now());
        match std::mem::replace(&mut self.stand, Stand::Out) {
            Stand::Lobby(place) => _ = state.leave(place),
            Stand::In(pass) => state.admission.leave(now, pass),
            Stand::Out => {}
        }
    }
}

impl State {
    fn leave(&mut self, place: Place) -> bool {
        self.waiting.remove(&place);
        self.lobby.leave(place)
    }
}

/// Who stands where, for whoever looks after the front.
pub struct GateLook {
    pub classes: Vec<Class>,
    /// Connections held, by class.
    pub held: Vec<(String, usize)>,
    /// Turned away since the start: class, why, how many.
    pub refused: Vec<(String, &'static str, u64)>,
    /// Who holds most.
    pub top: Vec<(IpAddr, usize)>,
    pub lobby: usize,
    pub remembered: usize,
}

impl Gate {
    /// For a front that may tell clients to stay away for `longest` at most.
    ///
    /// # Errors
    /// All that is wrong with the classes.
    pub fn new(
        classes: Vec<Class>,
        prefixes: Prefixes,
        longest: Span,
        seed: u64,
        alarms: Arc<Alarms>,
        ledger: Arc<Ledger>,
    ) -> Result<Arc<Gate>, Vec<Fault>> {
        let all = ledger.most(Share::Clients);
        let (lobby, room) = (Lobby::for_room(all), room(&classes, all));
        let admission = Admission::new(classes, prefixes, (room, longest), seed)?;
        let state = Mutex::new(State { admission, lobby, waiting: HashMap::new() });
        Ok(Arc::new(Gate { state, alarms, ledger }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// # Errors
    /// As [`Gate::new`]; all goes on as before then.
    pub fn set(&self, classes: Vec<Class>, prefixes: Prefixes) -> Result<(), Vec<Fault>> {
        let room = room(&classes, self.ledger.most(Share::Clients));
        self.lock().admission.set(classes, prefixes, room)
    }

    /// A connection has come. Where it matters who a client says that it is, it waits in the lobby until it
    /// has.
    ///
    /// # Errors
    /// It is turned away.
    pub fn arrive(self: &Arc<Gate>, from: IpAddr) -> Result<Passage, Refusal> {
        let passage = |stand| Passage { gate: self.clone(), from, stand };
        let mut state = self.lock();
        if !state.admission.asks_users() {
            drop(state);
            return self.admit(from, None).map(|pass| passage(Stand::In(pass)));
        }
        let source = state.admission.source(from);
        match state.lobby.enter(source) {
            Entrance::Free(place) => Ok(passage(Stand::Lobby(place))),
            Entrance::For(place, other) => {
                if let Some(mailbox) = state.waiting.remove(&other) {
                    mailbox.ask_to_close();
                }
                Ok(passage(Stand::Lobby(place)))
            }
            Entrance::Full => {
                drop(state);
                Err(self.crowded())
            }
        }
    }

    /// Where its class is full, one of that class that has nothing to do is asked to make way for the next.
    fn admit(&self, from: IpAddr, user: Option<&str>) -> Result<Pass, Refusal> {
        let now = self.alarms.now();
        let verdict = self.lock().admission.arrive(now, from, user);
        if let Some(refusal) = verdict.as_ref().err() {
            metrics::counter!(
                "gingerwick_connections_refused_total",
                "class" => refusal.class.to_string(), "why" => refusal.why.word()
            )
            .increment(1);
            if refusal.why.makes_way() {
                self.ledger.ask_one_of(now, &refusal.class);
            }
        }
        verdict
    }

    fn crowded(&self) -> Refusal {
        let refusal = self.lock().admission.crowded(self.alarms.now());
        metrics::counter!(
            "gingerwick_connections_refused_total", "class" => OTHERS, "why" => refusal.why.word()
        )
        .increment(1);
        refusal
    }

    /// One line on who holds what and who was turned away.
    pub fn words(&self) -> String {
        let look = self.look(0);
        let held = look.held.iter().map(|(class, many)| format!("{class} {many}"));
        let refused = look.refused.iter().map(|(class, why, many)| format!("{class} {many} ({why})"));
        let [held, refused] = [held.collect::<Vec<_>>(), refused.collect()].map(|all| all.join(", "));
        format!("connections held: {held}; turned away since the start: {refused}")
    }

    /// With so many of those who hold most.
    pub fn look(&self, top: usize) -> GateLook {
        let state = self.lock();
        let admission = &state.admission;
        GateLook {
            classes: admission.classes().to_vec(),
            held: admission.held().map(|(class, many)| (class.to_string(), many)).collect(),
            refused: admission
                .refused()
                .map(|(class, why, many)| (class.to_string(), why.words(), many))
                .collect(),
            top: admission.top(top).into_iter().map(|(source, many)| (source.into(), many)).collect(),
            lobby: state.lobby.len(),
            remembered: admission.remembered(),
        }
    }
}

/// Connections that classes share: where the lobby is needed, its places are not theirs.
fn room(classes: &[Class], all: usize) -> usize {
    let asks = classes.iter().any(|class| !class.users.is_empty());
    if asks {
        all.saturating_sub(Lobby::for_room(all).most())
    } else {
        all
    }
}
