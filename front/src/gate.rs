//! The gate: the admission of connections at work, where operators set classes. Whoever is let in holds a
//! [`Passage`], whose drop gives the place back.

use crate::clock::Alarms;
use crate::ledger::Ledger;
use admission::{Admission, Class, Fault, Pass, Prefixes, Refusal};
use gingerwick::time::Span;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};

pub struct Gate {
    admission: Mutex<Admission>,
    alarms: Arc<Alarms>,
}

/// A connection's place in its class.
pub struct Passage {
    gate: Arc<Gate>,
    pass: Option<Pass>,
}

impl Passage {
    pub fn class(&self) -> Option<Arc<str>> {
        self.pass.as_ref().map(|pass| pass.class.clone())
    }
}

impl Drop for Passage {
    fn drop(&mut self) {
        if let Some(pass) = self.pass.take() {
            self.gate.lock().leave(self.gate.alarms.now(), pass);
        }
    }
}

impl Gate {
    /// For a front with room for so many clients, which may tell them to stay away for so long at most.
    ///
    /// # Errors
    /// All that is wrong with the classes.
    pub fn new(
        classes: Vec<Class>,
        prefixes: Prefixes,
        bounds: (usize, Span),
        seed: u64,
        alarms: Arc<Alarms>,
    ) -> Result<Arc<Gate>, Vec<Fault>> {
        let admission = Mutex::new(Admission::new(classes, prefixes, bounds, seed)?);
        Ok(Arc::new(Gate { admission, alarms }))
    }

    fn lock(&self) -> MutexGuard<'_, Admission> {
        self.admission.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// # Errors
    /// As [`Gate::new`]; all goes on as before then.
    pub fn set(&self, classes: Vec<Class>, prefixes: Prefixes) -> Result<(), Vec<Fault>> {
        self.lock().set(classes, prefixes)
    }

    /// A connection has come. Where its class is full, one of that class that has nothing to do is asked to
    /// make way for the next.
    ///
    /// # Errors
    /// It is turned away.
    pub fn arrive(self: &Arc<Gate>, ledger: &Ledger, from: IpAddr) -> Result<Passage, Refusal> {
        let now = self.alarms.now();
        let verdict = self.lock().arrive(now, from);
        if let Some(refusal) = verdict.as_ref().err().filter(|refusal| refusal.why.makes_way()) {
            ledger.ask_one_of(now, &refusal.class);
        }
        Ok(Passage { gate: self.clone(), pass: Some(verdict?) })
    }

    /// One line on who holds what and who was turned away.
    pub fn words(&self) -> String {
        let admission = self.lock();
        let held = admission.held().map(|(class, many)| format!("{class} {many}"));
        let refused =
            admission.refused().map(|(class, why, many)| format!("{class} {many} ({})", why.words()));
        let [held, refused] = [held.collect::<Vec<_>>(), refused.collect()].map(|all| all.join(", "));
        format!("connections held: {held}; turned away since the start: {refused}")
    }
}
