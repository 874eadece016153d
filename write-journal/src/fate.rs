//! What becomes of a record, and what is said of a write that is asked about. Two tables.

/// What is known of a write, by its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It was about to leave: it may have run.
    Open,
    /// It ran, and was committed there where the store said so (Unix milliseconds).
    Ran(Option<i64>),
    /// All that left of it is proved not to have run, and nobody was told that it never will: its client may send
    /// it again.
    Free,
    /// It did not run, and from here it never will.
    Never,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// A call-out is about to leave, the first of its RPC.
    Intend,
    /// The same RPC goes out once more, since the call-out before is proved not to have run.
    Again,
    /// Another RPC carries the token of one on record, where its repeats are still dropped.
    Rejoin {
        left_ms: i64,
    },
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
    /// It may, for so many milliseconds more, as a repeat of one that may have run.
    Join {
        left_ms: i64,
    },
    Refuse,
}

/// By what repeats of a tokened write are known and dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Token {
    /// The group whose stores drop them; none: all stores do.
    pub scope: Option<i64>,
    /// For how long, in milliseconds, counted from the first sending that may have run.
    pub memory_ms: i64,
}

impl Token {
    /// One whose repeats are dropped for so long, less two ticks: a repeat needs a moment to its store.
    pub fn new(scope: Option<i64>, memory_ms: i64, tick_ms: i64) -> Token {
        Token { scope, memory_ms: memory_ms - 2 * tick_ms }
    }
}

/// How long a machine has been up, by a clock that nobody sets: it alone counts memories.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Uptime {
    /// Which start of the machine it counts from, by a name drawn then.
    pub boot: u64,
    pub ms: i64,
}

/// What `Uptime` may be wrong by: it is read in hundredths of a second.
const GRAIN_MS: i64 = 10;

impl Uptime {
    /// The most that has passed since; none where the machine has been started anew, or time went back.
    pub fn since(self, then: Uptime) -> Option<i64> {
        let passed = self.ms - then.ms;
        (self.boot == then.boot && passed >= 0).then_some(passed + GRAIN_MS)
    }
}

/// How much longer a token's repeats are dropped where it was first sent with `kept`, so long ago at most;
/// none where they are not, or nobody knows.
pub fn still_dropped(kept: Option<Token>, asked: Option<Token>, passed_ms: Option<i64>) -> Option<i64> {
    let (kept, asked, passed) = (kept?, asked?, passed_ms?);
    let left = kept.memory_ms.min(asked.memory_ms) - passed;
    (kept.scope == asked.scope && left > 0).then_some(left)
}

type Row = (
    fn(Option<State>) -> bool,
    fn(Input) -> bool,
    fn(Option<State>, Input) -> Option<State>,
    fn(Input) -> Leave,
);

fn go(_: Input) -> Leave {
    Leave::Go
}

fn join(input: Input) -> Leave {
    match input {
        Input::Rejoin { left_ms } => Leave::Join { left_ms },
        _ => Leave::Refuse,
    }
}

fn refuse(_: Input) -> Leave {
    Leave::Refuse
}

fn free(at: Option<State>) -> bool {
    matches!(at, None | Some(State::Free))
}

fn leaves(input: Input) -> bool {
    matches!(input, Input::Intend | Input::Again | Input::Rejoin { .. })
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

/// The first row that fits counts. What is settled stays settled, and nothing leaves under an id that was
/// settled; nor under another RPC's, but where repeats are dropped.
const TABLE: &[Row] = &[
    (free, leaves, |_, _| Some(State::Open), go),
    (open, |i| i == Input::Again, stays, go),
    (open, |i| matches!(i, Input::Rejoin { .. }), stays, join),
    (open, |i| matches!(i, Input::Ran(_)), ran, refuse),
    (open, |i| i == Input::ProvedNever, |_, _| Some(State::Free), refuse),
    (free, |i| i == Input::Bar, |_, _| Some(State::Never), refuse),
    (any, |_| true, stays, refuse),
];

fn ran(_: Option<State>, input: Input) -> Option<State> {
    match input {
        Input::Ran(commit) => Some(State::Ran(commit)),
        _ => Some(State::Open),
    }
}

pub fn next(at: Option<State>, input: Input) -> (Option<State>, Leave) {
    let row = TABLE.iter().find(|row| row.0(at) && row.1(input));
    row.map_or((at, Leave::Refuse), |row| (row.2(at, input), row.3(input)))
}

/// Where the one that asks sent the write, as it was told at the start of that connection: which journal, and
/// how far that had come by then.
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
    /// The write was sent to this journal's front, and no record made since that connection began has been
    /// dropped.
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
        Known { state: Some(State::Free), .. } => (Fate::Never, true),
        // Nothing leaves without a record: none was made, so it never left. It may still be on its way to us.
        Known { state: None, covered: true, .. } => (Fate::Never, true),
        Known { state: None, covered: false, .. } => (Fate::NotKnown, false),
    }
}
