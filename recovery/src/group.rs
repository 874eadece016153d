//! What becomes of one group: whom the decision module may take for its primary. One table.

use crate::proof::Verdict;
use routing::iface::{Clearance, StoreIx};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    /// Nobody's claim stands.
    #[default]
    Unknown,
    /// Somebody claims it, who is not proved.
    Named,
    Contested,
    Confirmed(StoreIx),
    /// Discovery stands by the list and nobody else claims it: the module's ordinary rule is back.
    Settled,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    Judged(Verdict),
    /// Proved, discovery stands by the list, and no other member claims it, disproved or not.
    Quiet,
    /// Discovery stands by the list, and stores can't be asked here.
    Mute,
    /// Its members have changed by a list that was not discovery's, or its state is lost.
    Anew,
}

/// What is told to the decision module, if anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Nothing,
    Tell,
}

type Row = (fn(Standing) -> bool, fn(Input) -> bool, fn(Input) -> Standing);

fn is_settled(at: Standing) -> bool {
    at == Standing::Settled
}

fn is_open(at: Standing) -> bool {
    !is_settled(at)
}

fn is_confirmed(at: Standing) -> bool {
    matches!(at, Standing::Confirmed(_))
}

fn is_named(at: Standing) -> bool {
    is_open(at) && !is_confirmed(at)
}

/// The first row that fits counts; the state it leads to may depend on whom the input names. What was
/// confirmed stays so while its own claim stands alone: proofs age, and a follower that lags takes nothing
/// back.
const TABLE: &[Row] = &[
    (is_settled, |i| i == Input::Anew, |_| Standing::Unknown),
    (is_open, |i| matches!(i, Input::Quiet | Input::Mute), |_| Standing::Settled),
    (is_open, |i| matches!(i, Input::Judged(Verdict::Proven(_))), confirmed),
    (is_open, |i| i == Input::Judged(Verdict::NoClaim), |_| Standing::Unknown),
    (is_open, |i| i == Input::Judged(Verdict::Contest), |_| Standing::Contested),
    (is_named, |i| matches!(i, Input::Judged(Verdict::Alone(_))), |_| Standing::Named),
    (is_confirmed, |i| matches!(i, Input::Judged(Verdict::Alone(_))), confirmed),
    (is_open, |i| i == Input::Anew, |_| Standing::Unknown),
];

fn confirmed(input: Input) -> Standing {
    match input {
        Input::Judged(Verdict::Proven(ix) | Verdict::Alone(ix)) => Standing::Confirmed(ix),
        _ => Standing::Named,
    }
}

/// The next state, and whether the module must hear of it. A confirmed store's lone claim leaves it
/// confirmed; the lone claim of any other takes the clearance back until that one is proved.
pub fn next(at: Standing, input: Input) -> (Standing, Effect) {
    let Some(row) = TABLE.iter().find(|row| row.0(at) && row.1(input)) else { return (at, Effect::Nothing) };
    let mut to = row.2(input);
    if let (Standing::Confirmed(_), Input::Judged(Verdict::Alone(_))) = (at, input) {
        if to != at {
            to = Standing::Named;
        }
    }
    (to, if clearance(at) == clearance(to) { Effect::Nothing } else { Effect::Tell })
}

pub fn clearance(at: Standing) -> Clearance {
    match at {
        Standing::Unknown | Standing::Named | Standing::Contested => Clearance::Barred,
        Standing::Confirmed(ix) => Clearance::Only(ix),
        Standing::Settled => Clearance::Free,
    }
}
