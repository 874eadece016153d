//! What becomes of a record, and what is said of a write that is asked about. Two tables.

/// What is known of a write, by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It was about to leave: it may have run.
    Open,
    /// It ran, and was committed there where the store said so (Unix milliseconds).
    Ran(Option<i64>),
    /// It did not run, and from here it never will.
    Never,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// A call-out is about to leave, the first of its RPC.
    Intend,
    /// The same RPC goes out once more, since the call-out before is proved not to have run.
    Again,
    Ran(Option<i64>),
    /// All its call-outs are proved not to have run, and no more will be made.
    ProvedNever,
    /// Somebody was told that it never ran: it must not from now on.
    Bar,
}

/// Whether the call-out may leave, where the input asked for that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Leave {
    Go,
    Refuse,
}

type Row = (fn(Option<State>) -> bool, fn(Input) -> bool, fn(Option<State>, Input) -> Option<State>, Leave);

fn absent(at: Option<State>) -> bool {
    at.is_none()
}

fn open(at: Option<State>) -> bool {
    at == Some(State::Open)
}

fn any(_: Option<State>) -> bool {
    true
}

fn stays(at: Option<State>, _: Input) -> Option<State> {
    at
}

/// The first row that fits counts. What is settled stays settled, and nothing leaves under an id that was settled or is
/// another RPC's.
const TABLE: &[Row] = &[
    (absent, |i| matches!(i, Input::Intend | Input::Again), |_, _| Some(State::Open), Leave::Go),
    (open, |i| i == Input::Again, stays, Leave::Go),
    (open, |i| matches!(i, Input::Ran(_)), ran, Leave::Refuse),
    (open, |i| i == Input::ProvedNever, |_, _| Some(State::Never), Leave::Refuse),
    (absent, |i| i == Input::Bar, |_, _| Some(State::Never), Leave::Refuse),
    (any, |_| true, stays, Leave::Refuse),
];

fn ran(_: Option<State>, input: Input) -> Option<State> {
    match input {
        Input::Ran(commit) => Some(State::Ran(commit)),
        _ => Some(State::Open),
    }
}

pub fn next(at: Option<State>, input: Input) -> (Option<State>, Leave) {
    let row = TABLE.iter().find(|row| row.0(at) && row.1(input));
    row.map_or((at, Leave::Refuse), |row| (row.2(at, input), row.3))
}

/// Where the one that asks sent the write, as it was told at the start of that connection: which journal, and how far
/// that had come by then.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Origin {
    pub journal: String,
    pub serial: u64,
}

impl Origin {
    /// `9f3c01aa52e87d14.4711`
    pub fn parse(word: &str) -> Option<Origin> {
        let (journal, serial) = word.split_once('.')?;
        let plain = |word: &str| !word.is_empty() && word.bytes().all(|byte| byte.is_ascii_alphanumeric());
        let serial = serial.parse().ok().filter(|_| plain(serial))?;
        plain(journal).then(|| Origin { journal: journal.to_string(), serial })
    }
}

impl std::fmt::Display for Origin {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}", self.journal, self.serial)
    }
}

/// What is said of a write that is asked about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    Ran(Option<i64>),
    /// It did not run and never will from here.
    Never,
    /// It is out at a store.
    UnderWay,
    NotKnown,
}

/// What the journal knows, seen from the one who asks.
#[derive(Clone, Copy, Debug)]
pub struct Known {
    pub state: Option<State>,
    /// The write was sent to this journal's front, and no record made since that connection began has been dropped.
    pub covered: bool,
    /// The RPC is still open in this process.
    pub alive: bool,
}

/// The fate, and whether the id must be barred for it to hold.
pub fn fate(known: Known) -> (Fate, bool) {
    match known {
        Known { state: Some(State::Ran(commit)), .. } => (Fate::Ran(commit), false),
        Known { state: Some(State::Never), .. } => (Fate::Never, false),
        Known { alive: true, .. } => (Fate::UnderWay, false),
        Known { state: Some(State::Open), .. } => (Fate::NotKnown, false),
        // Nothing leaves without a record: none was made, so it never left. It may still be on its way to us.
        Known { state: None, covered: true, .. } => (Fate::Never, true),
        Known { state: None, covered: false, .. } => (Fate::NotKnown, false),
    }
}
