//! One maintenance window as every proxy stores it, and the rule that merges two replicas of it.

use super::spec::{check_id, secs, InvalidField, Schedule, Span, Spec, MAX_DURATION_S};
use super::{WallTime, MAX_WINDOW_BYTES, TOMBSTONE_LIFETIME};
use crate::fleet::lease::Token;
use crate::Micros;
use serde::{Deserialize, Serialize};

/// The longest reason, in bytes.
const MAX_REASON_BYTES: usize = 160;
/// How far in the future a time from another proxy may lie; clocks of proxies differ by less.
const MAX_CLOCK_AHEAD: Micros = Micros(60_000_000);
/// A token's number is the wall clock in milliseconds or a little above the last one: one that lies a year
/// ahead is invalid, and would block the duty for as long.
const MAX_TOKEN_AHEAD_MS: u64 = 365 * 24 * 3600 * 1000;
/// How long an occurrence whose time is over still counts as the current one, so that the holder can say so.
const MISSED_GRACE: Micros = Micros(3600 * 1_000_000);

/// The version of a field that operators write: the later one wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// The time of the call.
    pub called_at: WallTime,
    /// The incarnation of the proxy that took it.
    pub incarnation: u64,
}

/// A field with its version. Two of them compare by version, then by content, so that the higher one is
/// the same one everywhere.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The version.
    pub version: Version,
    /// The content.
    pub value: T,
}

/// What an operator changed in one occurrence.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OccurrenceChange {
    /// The occurrence, by its planned begin.
    pub occurrence: WallTime,
    /// The new end of an extension, the time of the call of an early start.
    pub at: WallTime,
}

/// The phase of a window's occurrence, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Its time has not come, or it waits for the budget.
    Planned,
    /// Its backends get no new requests.
    Draining,
    /// No request is open on them, or the lead is over.
    Drained,
    /// The operators have the backends.
    Open,
    /// Its backends get requests again, in slow start.
    Restoring,
    /// Over.
    Done,
    /// Called off.
    Cancelled,
    /// Over, though its backends were not serving again within the longest overrun.
    Overrun,
    /// Never started, as its time ran out while it waited.
    Refused,
}

impl Phase {
    /// Whether the window keeps new requests off its backends.
    pub fn is_in_effect(self) -> bool {
        matches!(self, Phase::Draining | Phase::Drained | Phase::Open)
    }

    /// Whether no phase follows.
    pub fn is_final(self) -> bool {
        self >= Phase::Done
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

/// The lease holder's decision on one occurrence. They compare in the order of the fields, so the highest token's
/// decision on the latest occurrence wins, and under one token the later phase.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Progress {
    /// The occurrence, by its planned begin.
    pub occurrence: WallTime,
    /// The holder's token.
    pub token: Token,
    /// The occurrence's phase.
    pub phase: Phase,
    /// Since when.
    pub since: WallTime,
    /// Why, for a person; while planned what it waits for. At most 160 bytes.
    pub reason: String,
}

/// One window: fields that merge each by itself, the higher one winning. Merging is the maximum by field,
/// so it is commutative, associative and idempotent by construction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// The window's id.
    pub id: String,
    /// The content.
    pub spec: Versioned<Spec>,
    /// A later end.
    pub extension: Option<Versioned<OccurrenceChange>>,
    /// An earlier begin.
    pub early_start: Option<Versioned<OccurrenceChange>>,
    /// Cancelled, which is final.
    pub cancelled: Option<Version>,
    /// The lease holder's latest decision.
    pub progress: Option<Progress>,
}

/// The occurrence under way or next, and its phase.
#[derive(Clone, Copy)]
pub(super) struct CurrentOccurrence {
    pub(super) planned: Span,
    pub(super) phase: Phase,
}

/// Why a window from another proxy is not accepted.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WindowError {
    /// The bytes are no window.
    #[error("does not decode")]
    Malformed,
    /// A field is out of its bounds.
    #[error(transparent)]
    Field(InvalidField),
    /// The calendar is full.
    #[error("the calendar is full")]
    Full,
}

impl Window {
    /// The bytes of a datagram's body, at most [`MAX_WINDOW_BYTES`].
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data always encodes")
    }

    /// Reads what [`encode`](Window::encode) wrote, and checks every field.
    pub fn decode(bytes: &[u8], now: WallTime) -> Result<Window, WindowError> {
        if bytes.len() > MAX_WINDOW_BYTES {
            return Err(WindowError::Malformed);
        }
        let (entry, rest) =
            postcard::take_from_bytes::<Window>(bytes).map_err(|_| WindowError::Malformed)?;
        if !rest.is_empty() {
            return Err(WindowError::Malformed);
        }
        entry.check(now).map_err(WindowError::Field)?;
        Ok(entry)
    }

    /// Whether every field is within its bounds.
    pub fn check(&self, now: WallTime) -> Result<(), InvalidField> {
        check_id(&self.id)?;
        self.spec.value.check()?;
        check_not_ahead("spec", self.spec.version.called_at, now)?;
        for (field, change) in [("extended", &self.extension), ("begun", &self.early_start)] {
            let Some(change) = change else { continue };
            check_not_ahead(field, change.version.called_at, now)?;
            let OccurrenceChange { occurrence, at } = change.value;
            if occurrence.timestamp().is_none() || at > occurrence + secs(MAX_DURATION_S) {
                return Err(InvalidField::new(field, "no time of this window"));
            }
        }
        if let Some(version) = self.cancelled {
            check_not_ahead("cancelled", version.called_at, now)?;
        }
        match &self.progress {
            Some(progress) => progress.check(now),
            None => Ok(()),
        }
    }

    /// Takes the higher of each field; says whether anything changed. Two different windows do not merge.
    pub fn merge(&mut self, other: &Window) -> bool {
        if self.id != other.id {
            return false;
        }
        // No short cut: every field is merged.
        let changed = [
            take_higher(&mut self.spec, &other.spec),
            take_higher(&mut self.extension, &other.extension),
            take_higher(&mut self.early_start, &other.early_start),
            take_higher(&mut self.cancelled, &other.cancelled),
            take_higher(&mut self.progress, &other.progress),
        ];
        changed.contains(&true)
    }

    /// Whether it keeps new requests off its backends, by the lease holder's decision.
    pub(super) fn is_in_effect(&self) -> bool {
        self.progress
            .as_ref()
            .is_some_and(|progress| progress.phase.is_in_effect())
    }

    /// Since when it is in its phase.
    pub(super) fn phase_since(&self, now: WallTime) -> WallTime {
        self.progress
            .as_ref()
            .map_or(now, |progress| progress.since)
    }

    /// When the planned occurrence really begins and ends: an extension moves the end; an early start moves
    /// the window, its lead first and its duration unchanged, where that makes it earlier.
    pub(super) fn actual_span(&self, planned: Span) -> Span {
        let early_start = change_of(&self.early_start, planned);
        let begin = early_start.map_or(planned.begin, |at| planned.begin.min(at + self.lead()));
        let extension = change_of(&self.extension, planned);
        let end = extension.unwrap_or(begin + (planned.end - planned.begin));
        Span {
            begin,
            end: end.max(begin),
        }
    }

    /// Whether the occurrence has ended by the clock, or the content has it no longer.
    pub(super) fn is_over(&self, occurrence: WallTime, now: WallTime) -> bool {
        self.planned_span(occurrence)
            .is_none_or(|planned| now >= self.actual_span(planned).end)
    }

    /// Whether an operator started that occurrence by hand.
    pub(super) fn is_started_early(&self, occurrence: WallTime) -> bool {
        self.early_start
            .as_ref()
            .is_some_and(|change| change.value.occurrence == occurrence)
    }

    pub(super) fn lead(&self) -> Micros {
        secs(self.spec.value.lead_s)
    }

    pub(super) fn overrun(&self) -> Micros {
        secs(self.spec.value.overrun_s)
    }

    /// The planned span of the occurrence with that begin, if the content still has it.
    pub(super) fn planned_span(&self, occurrence: WallTime) -> Option<Span> {
        self.spec
            .value
            .next_occurrence(occurrence)
            .filter(|span| span.begin == occurrence)
    }

    /// The occurrence to look at: the one under way, else the next one; none after the last.
    pub(super) fn current_occurrence(&self, now: WallTime) -> Option<CurrentOccurrence> {
        if let Some(Progress {
            occurrence, phase, ..
        }) = self.unfinished()
        {
            let planned = self.planned_span(*occurrence);
            // Where the content was replaced meanwhile, what is under way has come to its end.
            let ended = (*phase != Phase::Planned).then_some(Span {
                begin: *occurrence,
                end: *occurrence,
            });
            if let Some(planned) = planned.or(ended) {
                return Some(CurrentOccurrence {
                    planned,
                    phase: *phase,
                });
            }
        }
        let planned = self.next_planned(now - MISSED_GRACE)?;
        Some(CurrentOccurrence {
            planned,
            phase: Phase::Planned,
        })
    }

    /// The first occurrence, as planned, that is not finished and that ends after that time; a window that
    /// comes once whenever it ends.
    pub(super) fn next_planned(&self, after: WallTime) -> Option<Span> {
        let earliest = match (&self.progress, &self.spec.value.schedule) {
            (Some(progress), _) if progress.phase.is_final() => progress.occurrence + Micros(1),
            (Some(progress), _) => progress.occurrence,
            (None, Schedule::Once(_)) => return self.spec.value.next_occurrence(WallTime(0)),
            (None, Schedule::Recurring { .. }) => self.spec.version.called_at,
        };
        if let Schedule::Once(span) = self.spec.value.schedule {
            return (span.begin >= earliest).then_some(span);
        }
        // An extension or an early start may have moved an end away from where the plan has it.
        let ends_later = |planned: &Span| self.actual_span(*planned).end > after;
        let moved = [&self.extension, &self.early_start]
            .into_iter()
            .flatten()
            .map(|change| change.value.occurrence)
            .filter(|occurrence| *occurrence >= earliest)
            .filter_map(|occurrence| self.planned_span(occurrence))
            .filter(ends_later);
        let spec = &self.spec.value;
        let mut planned = std::iter::successors(
            spec.next_occurrence(earliest.max(after - spec.duration())),
            |planned| spec.next_occurrence(planned.begin + Micros(1)),
        )
        .take(4);
        // An occurrence that ends right then and one that was started early and is over may come first.
        moved.chain(planned.find(ends_later)).min()
    }

    /// Whether it is over or cancelled, and its tombstone's lifetime as well.
    pub(super) fn has_expired(&self, now: WallTime) -> bool {
        let over_at = match (self.cancelled, &self.spec.value.schedule) {
            (Some(version), _) => version.called_at,
            (None, Schedule::Once(span)) => self.actual_span(*span).end + self.overrun(),
            (None, Schedule::Recurring { .. }) => return false,
        };
        let decided_at = self.phase_since(WallTime(0));
        over_at.max(decided_at) + TOMBSTONE_LIFETIME <= now
    }

    fn unfinished(&self) -> Option<&Progress> {
        self.progress
            .as_ref()
            .filter(|progress| !progress.phase.is_final())
    }
}

fn check_not_ahead(field: &str, at: WallTime, now: WallTime) -> Result<(), InvalidField> {
    if at > now + MAX_CLOCK_AHEAD {
        return Err(InvalidField::new(field, "from the future"));
    }
    Ok(())
}

fn take_higher<T: Ord + Clone>(mine: &mut T, other: &T) -> bool {
    let is_higher = *other > *mine;
    if is_higher {
        *mine = other.clone();
    }
    is_higher
}

/// The time of a change, where it is one of that occurrence.
fn change_of(change: &Option<Versioned<OccurrenceChange>>, planned: Span) -> Option<WallTime> {
    change
        .as_ref()
        .filter(|change| change.value.occurrence == planned.begin)
        .map(|change| change.value.at)
}

impl Progress {
    /// A decision, its reason cut to its bound.
    pub(super) fn new(
        occurrence: WallTime,
        token: Token,
        phase: Phase,
        since: WallTime,
        reason: &str,
    ) -> Progress {
        let cut = (0..=MAX_REASON_BYTES.min(reason.len()))
            .rev()
            .find(|cut| reason.is_char_boundary(*cut));
        Progress {
            occurrence,
            token,
            phase,
            since,
            reason: reason[..cut.unwrap_or(0)].into(),
        }
    }

    fn check(&self, now: WallTime) -> Result<(), InvalidField> {
        check_not_ahead("mark", self.since, now)?;
        if self.occurrence.timestamp().is_none() {
            return Err(InvalidField::new("mark", "no time that a calendar names"));
        }
        if self.token.number > now.0 / 1000 + MAX_TOKEN_AHEAD_MS {
            return Err(InvalidField::new("mark", "a token that no proxy draws"));
        }
        if self.reason.len() > MAX_REASON_BYTES {
            return Err(InvalidField::new("mark", "too long a reason"));
        }
        Ok(())
    }
}
