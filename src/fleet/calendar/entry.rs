//! One window as every proxy keeps it, and the rule that merges two copies.

use super::spec::{check_id, secs, Invalid, Span, Spec, When, MOST_LENGTH_S};
use super::{Wall, MOST_ENTRY, TOMBSTONE};
use crate::fleet::lease::Token;
use crate::Micros;
use serde::{Deserialize, Serialize};

/// The longest reason, in bytes.
const MOST_WHY: usize = 160;
/// How far in the future a stamp from outside may lie; clocks of proxies differ by less.
const AHEAD: Micros = Micros(60_000_000);
/// A token's number is the wall clock in milliseconds or a little above the last one: one that lies a year
/// ahead is none, and would lock the duty for as long.
const AHEAD_TOKEN_MS: u64 = 365 * 24 * 3600 * 1000;
/// How long an occurrence whose time is over still counts as the current one, so that the holder can say so.
const MISSED: Micros = Micros(3600 * 1_000_000);

/// The version of a field that operators write: the later one wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamp {
    /// The wall time of the call, in microseconds.
    pub at: Wall,
    /// The incarnation of the proxy that took it.
    pub by: u64,
}

/// A field with its version. Two of them compare by version, then by content, so that the higher one is
/// the same one everywhere.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Stamped<T> {
    /// The version.
    pub stamp: Stamp,
    /// The content.
    pub value: T,
}

/// What an operator changed in one occurrence.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Change {
    /// The occurrence, by its planned begin.
    pub occurrence: Wall,
    /// The new end of an extension, the time of the call of a begin now.
    pub at: Wall,
}

/// Where a window's occurrence stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Step {
    /// Its time has not come, or it waits for the budget.
    Planned,
    /// Nothing new goes to its backends.
    Draining,
    /// No request is open on them, or the lead is over.
    Drained,
    /// The operators have the backends.
    Open,
    /// Its backends are back, in slow start.
    Restoring,
    /// Over.
    Done,
    /// Called off.
    Cancelled,
    /// Over, though its backends were not back within the longest overrun.
    Overrun,
    /// Never begun, as its time ran out while it waited.
    Refused,
}

impl Step {
    /// Whether the window keeps its backends out.
    pub fn is_out(self) -> bool {
        matches!(self, Step::Draining | Step::Drained | Step::Open)
    }
    /// Whether no step follows.
    pub fn is_final(self) -> bool {
        self >= Step::Done
    }
    /// The name in lists and logs.
    pub fn name(self) -> &'static str {
        [
            "planned",
            "draining",
            "drained",
            "open",
            "restoring",
            "done",
            "cancelled",
            "overrun",
            "refused",
        ][self as usize]
    }
}

/// The holder's word on one occurrence. Marks compare in the order of the fields, so the highest token's
/// word on the latest occurrence wins, and under one token the later step.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Mark {
    /// The occurrence, by its planned begin.
    pub occurrence: Wall,
    /// The holder's.
    pub token: Token,
    /// Where it stands.
    pub step: Step,
    /// Since when.
    pub at: Wall,
    /// Why, for a person; while planned what it waits for. At most 160 bytes.
    pub why: String,
}

/// One window: fields that merge each by itself, the higher one winning. Merging is the maximum by field,
/// so it is commutative, associative and idempotent by construction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The window's id.
    pub id: String,
    /// The content.
    pub spec: Stamped<Spec>,
    /// A later end.
    pub extended: Option<Stamped<Change>>,
    /// An earlier begin.
    pub begun: Option<Stamped<Change>>,
    /// Called off; there is no way back from this.
    pub cancelled: Option<Stamp>,
    /// The holder's word.
    pub mark: Option<Mark>,
}

/// Why an entry from outside is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Garbled {
    /// No entry.
    Bytes,
    /// An entry with a field that makes no sense.
    Field(Invalid),
    /// The table is full.
    Full,
}

impl Entry {
    /// The bytes of a datagram's body, at most [`MOST_ENTRY`].
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data always encodes")
    }

    /// Reads what [`encode`](Entry::encode) wrote, and checks every field.
    pub fn decode(bytes: &[u8], now: Wall) -> Result<Entry, Garbled> {
        if bytes.len() > MOST_ENTRY {
            return Err(Garbled::Bytes);
        }
        let (entry, rest) =
            postcard::take_from_bytes::<Entry>(bytes).map_err(|_| Garbled::Bytes)?;
        if !rest.is_empty() {
            return Err(Garbled::Bytes);
        }
        entry.check(now).map_err(Garbled::Field)?;
        Ok(entry)
    }

    /// Whether every field is within its bounds.
    pub fn check(&self, now: Wall) -> Result<(), Invalid> {
        check_id(&self.id)?;
        self.spec.value.check()?;
        let soon = |field: &str, at: Wall| match at > now + AHEAD {
            true => Err(Invalid::new(field, "from the future")),
            false => Ok(()),
        };
        soon("spec", self.spec.stamp.at)?;
        for (field, change) in [("extended", &self.extended), ("begun", &self.begun)] {
            let Some(change) = change else { continue };
            soon(field, change.stamp.at)?;
            let Change { occurrence, at } = change.value;
            if occurrence.timestamp().is_none() || at > occurrence + secs(MOST_LENGTH_S) {
                return Err(Invalid::new(field, "no time of this window"));
            }
        }
        if let Some(stamp) = self.cancelled {
            soon("cancelled", stamp.at)?;
        }
        let Some(mark) = &self.mark else {
            return Ok(());
        };
        soon("mark", mark.at)?;
        if mark.occurrence.timestamp().is_none() {
            return Err(Invalid::new("mark", "no time that a calendar names"));
        }
        if mark.token.number > now.0 / 1000 + AHEAD_TOKEN_MS {
            return Err(Invalid::new("mark", "a token that no proxy draws"));
        }
        match mark.why.len() > MOST_WHY {
            true => Err(Invalid::new("mark", "too long a reason")),
            false => Ok(()),
        }
    }

    /// Takes the higher of each field; says whether anything changed. Entries of two windows do not merge.
    pub fn merge(&mut self, other: &Entry) -> bool {
        if self.id != other.id {
            return false;
        }
        fn raise<T: Ord + Clone>(mine: &mut T, other: &T) -> bool {
            let higher = *other > *mine;
            if higher {
                *mine = other.clone();
            }
            higher
        }
        // No short cut: every field is raised.
        let changed = [
            raise(&mut self.spec, &other.spec),
            raise(&mut self.extended, &other.extended),
            raise(&mut self.begun, &other.begun),
            raise(&mut self.cancelled, &other.cancelled),
            raise(&mut self.mark, &other.mark),
        ];
        changed.contains(&true)
    }

    /// When the planned occurrence really begins and ends: an extension moves the end; a begin now moves
    /// the window, its lead first and its length kept, where that makes it earlier.
    pub(super) fn span(&self, planned: Span) -> Span {
        let of = |change: &Option<Stamped<Change>>| {
            change
                .as_ref()
                .filter(|c| c.value.occurrence == planned.begin)
                .map(|c| c.value.at)
        };
        let begin = of(&self.begun).map_or(planned.begin, |at| planned.begin.min(at + self.lead()));
        let end = of(&self.extended).unwrap_or(begin + (planned.end - planned.begin));
        Span {
            begin,
            end: end.max(begin),
        }
    }

    /// Whether an operator began that occurrence by hand.
    pub(super) fn begun(&self, occurrence: Wall) -> bool {
        self.begun
            .as_ref()
            .is_some_and(|c| c.value.occurrence == occurrence)
    }

    pub(super) fn lead(&self) -> Micros {
        secs(self.spec.value.lead_s)
    }

    pub(super) fn overrun(&self) -> Micros {
        secs(self.spec.value.overrun_s)
    }

    /// The planned span of the occurrence with that begin, if the content still has it.
    pub(super) fn planned(&self, occurrence: Wall) -> Option<Span> {
        self.spec
            .value
            .occurrence(occurrence)
            .filter(|span| span.begin == occurrence)
    }

    /// The occurrence to look at and its step: the one under way, else the next one; none after the last.
    pub(super) fn current(&self, now: Wall) -> Option<(Span, Step)> {
        let mark = self.mark.as_ref();
        if let Some(mark) = mark.filter(|m| !m.step.is_final()) {
            match self.planned(mark.occurrence) {
                Some(planned) => return Some((planned, mark.step)),
                None if mark.step == Step::Planned => {}
                // The content was replaced meanwhile: what is under way has come to its end.
                None => {
                    return Some((
                        Span {
                            begin: mark.occurrence,
                            end: mark.occurrence,
                        },
                        mark.step,
                    ))
                }
            }
        }
        self.next(now - MISSED).map(|span| (span, Step::Planned))
    }

    /// The first occurrence, as planned, that no mark has finished and that ends after that; a window that
    /// comes once whenever it ends.
    pub(super) fn next(&self, after: Wall) -> Option<Span> {
        let finished = self
            .mark
            .as_ref()
            .filter(|m| m.step.is_final())
            .map(|m| m.occurrence);
        let under_way = self
            .mark
            .as_ref()
            .filter(|m| !m.step.is_final())
            .map(|m| m.occurrence);
        let first = match (finished, under_way, &self.spec.value.when) {
            (Some(over), ..) => over + Micros(1),
            (None, Some(on), _) => on,
            (None, None, When::Once(_)) => return self.spec.value.occurrence(Wall(0)),
            (None, None, When::Recurring { .. }) => self.spec.stamp.at,
        };
        if let When::Once(span) = self.spec.value.when {
            return (span.begin >= first).then_some(span);
        }
        // An extension or a begin now may have moved an end away from where the plan has it.
        let alive = |planned: &Span| self.span(*planned).end > after;
        let moved = [&self.extended, &self.begun]
            .into_iter()
            .flatten()
            .map(|c| c.value.occurrence);
        let moved = moved
            .filter(|o| *o >= first)
            .filter_map(|o| self.planned(o))
            .filter(alive);
        let spec = &self.spec.value;
        let planned = std::iter::successors(
            spec.occurrence(first.max(after - spec.lasts())),
            |planned| spec.occurrence(planned.begin + Micros(1)),
        );
        // One that ends right then and one that was begun early and is over may stand in front.
        moved.chain(planned.take(4).find(alive)).min()
    }

    /// When the tombstone's life is over; none while the window lives.
    pub(super) fn expires(&self) -> Option<Wall> {
        let marked = self.mark.as_ref().map_or(Wall(0), |m| m.at);
        let over = match (self.cancelled, &self.spec.value.when) {
            (Some(stamp), _) => stamp.at,
            (None, When::Once(span)) => self.span(*span).end + self.overrun(),
            (None, When::Recurring { .. }) => return None,
        };
        Some(over.max(marked) + TOMBSTONE)
    }
}

impl Mark {
    /// A word, its reason cut to its bound.
    pub(super) fn new(occurrence: Wall, token: Token, step: Step, at: Wall, why: &str) -> Mark {
        let cut = (0..=MOST_WHY.min(why.len()))
            .rev()
            .find(|cut| why.is_char_boundary(*cut));
        Mark {
            occurrence,
            token,
            step,
            at,
            why: why[..cut.unwrap_or(0)].into(),
        }
    }
}
