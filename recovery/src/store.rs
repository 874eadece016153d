//! What becomes of one listed store: the table, and what is known of it since this start.

use routing::iface::{GroupIx, Role, Told};
use routing::time::Moment;

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// Nothing has been heard of it since this start.
    #[default]
    Unheard,
    /// It has answered, and is the store that the list names as far as that can be known.
    Heard,
    /// It has answered and can't say who it is, and the list is too old to be taken at its word.
    Nameless,
    /// Another store answers at its address.
    Foreign,
    /// No word came: a machine that is down, or a cut.
    Silent,
    /// Its machine says that nothing listens there.
    Refused,
    /// Discovery leaves it out.
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// It answered, and is who it should be.
    Answered,
    /// It answered and says that it is another.
    Another,
    /// It answered and says nothing of who it is.
    Anyone,
    NoWord,
    Refusal,
    /// Discovery lists it.
    Listed,
    /// Discovery leaves it out.
    Left,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    /// It may be used.
    Admit,
    /// Nothing new may go there.
    Shut,
}

pub type Row = (fn(Standing) -> bool, Input, Standing, Effect);

fn any(_: Standing) -> bool {
    true
}

fn heard(at: Standing) -> bool {
    at == Standing::Heard
}

fn gone(at: Standing) -> bool {
    at == Standing::Gone
}

fn open(at: Standing) -> bool {
    !gone(at) && !heard(at)
}

/// The first row that fits counts. A store that was heard and then falls silent is left to the decision
/// module, which rests it; only one that turns out to be another, or that the list leaves out, is shut.
pub const TABLE: &[Row] = &[
    (gone, Input::Listed, Standing::Unheard, Effect::Nothing),
    (gone, Input::Left, Standing::Gone, Effect::Nothing),
    (any, Input::Left, Standing::Gone, Effect::Shut),
    (heard, Input::Another, Standing::Foreign, Effect::Shut),
    (open, Input::Answered, Standing::Heard, Effect::Admit),
    (heard, Input::Answered, Standing::Heard, Effect::Nothing),
    (open, Input::Another, Standing::Foreign, Effect::Nothing),
    (open, Input::Anyone, Standing::Nameless, Effect::Nothing),
    (heard, Input::Anyone, Standing::Heard, Effect::Nothing),
    (|at| open(at) || heard(at), Input::NoWord, Standing::Silent, Effect::Nothing),
    (|at| open(at) || heard(at), Input::Refusal, Standing::Refused, Effect::Nothing),
];

pub fn next(at: Standing, input: Input) -> Option<(Standing, Effect)> {
    TABLE.iter().find(|row| row.0(at) && row.1 == input).map(|row| (row.2, row.3))
}

/// What one answer said of its store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Word {
    pub role: Option<Role>,
    pub position: Option<Moment>,
    /// How often its log has been taken over by a new primary: PostgreSQL's timeline.
    pub timeline: Option<u32>,
}

impl Word {
    pub fn of(told: Told, timeline: Option<u32>) -> Word {
        Word { role: told.role, position: told.position, timeline }
    }
}

/// What is known of one store since this start.
#[derive(Clone, Debug, Default)]
pub struct Store {
    pub group: GroupIx,
    pub standing: Standing,
    pub word: Word,
    /// The first position that it told as a primary on the present timeline: who has passed it got it from
    /// there.
    pub first: Option<Moment>,
    /// Answers in a row in which it said that it is primary.
    pub claims: u32,
    /// When the question was put whose answer is `word`, and when that came.
    pub asked: Moment,
    pub told: Moment,
    /// One question at least has come to its end, the last one then.
    pub tried: bool,
    pub ended: Moment,
    pub out: bool,
    /// Questions in a row that failed.
    pub failures: u32,
    /// When it is to be asked next; none while it isn't.
    pub due: Option<Moment>,
    /// Was told to the decision module as open.
    pub admitted: bool,
}

impl Store {
    /// Takes in what it said in answer to a question put at `asked`.
    pub fn hear(&mut self, word: Word, asked: Moment, now: Moment) {
        let turned = word.timeline != self.word.timeline;
        if word.role == Some(Role::Primary) {
            self.claims = if turned { 1 } else { self.claims.saturating_add(1) };
            self.first = if turned { word.position } else { self.first.or(word.position) };
        } else if word.role.is_some() {
            (self.claims, self.first) = (0, None);
        }
        let role = word.role.or(self.word.role);
        (self.word, self.asked, self.told) = (Word { role, ..word }, asked, now);
    }

    pub fn is_heard(&self) -> bool {
        self.standing == Standing::Heard
    }

    pub fn claims_it(&self) -> bool {
        self.is_heard() && self.word.role == Some(Role::Primary)
    }
}
