//! One maintenance window as every proxy stores it, and the merge of two replicas of it.

use super::spec::{check_id, secs, InvalidField, Schedule, Span, Spec, MAX_DURATION_S};
use super::{WallTime, MAX_MERGED_WINDOWS, MAX_WINDOW_BYTES, TOMBSTONE_LIFETIME};
use crate::fleet::lease::Token;
use crate::Micros;
use serde::{Deserialize, Serialize};

/// The maximum length of a reason, in bytes.
const MAX_REASON_BYTES: usize = 160;
/// The maximum time by which a time from another proxy may be in the future. The clocks of proxies differ by less.
const MAX_CLOCK_AHEAD: Micros = Micros(60_000_000);
/// The maximum time by which a token may be in the future, in milliseconds. A token's number is the wall clock in
/// milliseconds, or slightly above the previous token. One that is a year ahead is invalid, and would block the lease
/// for as long if it were accepted.
const MAX_TOKEN_AHEAD_MS: u64 = 365 * 24 * 3600 * 1000;
/// The time for which an occurrence that is over remains the current one, so that the lease holder can still record it
/// as [`Phase::Refused`].
const MISSED_GRACE: Micros = Micros(3600 * 1_000_000);

/// The version of a field that operators change; the later version wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Version {
    /// The time of the operator's call.
    pub called_at: WallTime,
    /// The incarnation of the proxy that received the call.
    pub incarnation: u64,
}

/// A field with its version. Fields are compared by version and then by content, so that all proxies agree on the
/// higher one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Versioned<T> {
    /// The version of the field.
    pub version: Version,
    /// The content of the field.
    pub value: T,
}

/// An operator's change of one occurrence.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct OccurrenceChange {
    /// The occurrence, by its planned begin.
    pub occurrence: WallTime,
    /// For an extension the new end; for an early start the time of the call.
    pub at: WallTime,
}

/// The phase of a window's occurrence. The order of the phases decides which one wins a merge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The occurrence is not due yet, or waits for the budget.
    Planned,
    /// The backends get no new requests, and open ones are completed.
    Draining,
    /// No requests are open on the backends, or the lead is over.
    Drained,
    /// The backends are available for maintenance.
    Open,
    /// The backends get requests again and are in slow start.
    Restoring,
    /// The occurrence is over.
    Done,
    /// The window was cancelled.
    Cancelled,
    /// The occurrence is over, but some backends were not serving again within the window's overrun.
    Overrun,
    /// The occurrence never started, as its end came while it waited.
    Refused,
}

impl Phase {
    /// Whether the window keeps new requests off its backends.
    pub fn is_in_effect(self) -> bool {
        matches!(self, Phase::Draining | Phase::Drained | Phase::Open)
    }

    /// Whether this is the last phase of an occurrence.
    pub fn is_final(self) -> bool {
        self >= Phase::Done
    }

    /// The phase's name in lists and logs.
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

/// The lease holder's decision on one occurrence. Decisions are compared in the order of the fields: the latest
/// occurrence wins, then the highest token, and then the later phase.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Progress {
    /// The occurrence, by its planned begin.
    pub occurrence: WallTime,
    /// The lease holder's token.
    pub token: Token,
    /// The occurrence's phase.
    pub phase: Phase,
    /// The time of the decision.
    pub since: WallTime,
    /// The reason, for operators; while planned, what the occurrence waits for. At most 160 bytes.
    pub reason: String,
}

/// One window. Two replicas are merged by taking the maximum of each field, so that merging is commutative, associative
/// and idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// The window's id.
    pub id: String,
    /// The content that the operator requested.
    pub spec: Versioned<Spec>,
    /// The latest extension of an occurrence.
    pub extension: Option<Versioned<OccurrenceChange>>,
    /// The latest early start of an occurrence.
    pub early_start: Option<Versioned<OccurrenceChange>>,
    /// The cancellation, which is final.
    pub cancelled: Option<Version>,
    /// The lease holder's latest decision.
    pub progress: Option<Progress>,
}

/// The occurrence that is in progress or next, and its phase.
#[derive(Clone, Copy)]
pub(super) struct CurrentOccurrence {
    pub(super) planned: Span,
    pub(super) phase: Phase,
}

/// The reason why a window from another proxy is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WindowError {
    /// The bytes are not an encoded window.
    #[error("malformed window")]
    Malformed,
    /// A field is out of its bounds.
    #[error(transparent)]
    Field(InvalidField),
    /// The calendar is full.
    #[error("calendar is full with {MAX_MERGED_WINDOWS} windows")]
    Full,
}

impl Window {
    /// Encodes the window for other proxies, to at most [`MAX_WINDOW_BYTES`].
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("plain data always encodes")
    }

    /// Decodes a window that was encoded by [`encode`](Window::encode), and checks every field.
    ///
    /// # Errors
    /// If the bytes are not a window, or a field is out of its bounds.
    pub fn decode(bytes: &[u8], now: WallTime) -> Result<Window, WindowError> {
        if bytes.len() > MAX_WINDOW_BYTES {
            return Err(WindowError::Malformed);
        }
        let (window, rest) =
            postcard::take_from_bytes::<Window>(bytes).map_err(|_| WindowError::Malformed)?;
        if !rest.is_empty() {
            return Err(WindowError::Malformed);
        }
        window.check(now).map_err(WindowError::Field)?;
        Ok(window)
    }

    /// Checks that every field is within its bounds.
    ///
    /// # Errors
    /// The first field that is not.
    pub fn check(&self, now: WallTime) -> Result<(), InvalidField> {
        check_id(&self.id)?;
        self.spec.value.check()?;
        check_not_ahead("spec", self.spec.version.called_at, now)?;
        for (field, change) in [("extended", &self.extension), ("begun", &self.early_start)] {
            let Some(change) = change else { continue };
            check_not_ahead(field, change.version.called_at, now)?;
            let OccurrenceChange { occurrence, at } = change.value;
            if occurrence.timestamp().is_none() || at > occurrence + secs(MAX_DURATION_S) {
                return Err(InvalidField::new(
                    field,
                    "time is not valid for this window",
                ));
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

    /// Merges a replica of the same window: takes the higher value of each field. Returns whether anything changed. A
    /// window with another id changes nothing.
    pub fn merge(&mut self, other: &Window) -> bool {
        if self.id != other.id {
            return false;
        }
        // An array is evaluated completely; with `||`, fields after the first change would not be merged.
        let changed = [
            take_higher(&mut self.spec, &other.spec),
            take_higher(&mut self.extension, &other.extension),
            take_higher(&mut self.early_start, &other.early_start),
            take_higher(&mut self.cancelled, &other.cancelled),
            take_higher(&mut self.progress, &other.progress),
        ];
        changed.contains(&true)
    }

    /// Whether the window keeps new requests off its backends, by the lease holder's decision.
    pub(super) fn is_in_effect(&self) -> bool {
        self.progress
            .as_ref()
            .is_some_and(|progress| progress.phase.is_in_effect())
    }

    /// The time at which the window entered its phase, or `now` if there is no decision yet.
    pub(super) fn phase_since(&self, now: WallTime) -> WallTime {
        self.progress
            .as_ref()
            .map_or(now, |progress| progress.since)
    }

    /// The actual begin and end of a planned occurrence. An early start moves the begin to its time plus the lead, if
    /// that is earlier, with the same duration. An extension moves the end.
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

    /// Whether the occurrence has reached its end, or the content no longer contains it.
    pub(super) fn is_over(&self, occurrence: WallTime, now: WallTime) -> bool {
        self.planned_span(occurrence)
            .is_none_or(|planned| now >= self.actual_span(planned).end)
    }

    /// Whether an operator started the occurrence early.
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

    /// The planned span of the occurrence with the planned begin `occurrence`, if the content still contains it.
    pub(super) fn planned_span(&self, occurrence: WallTime) -> Option<Span> {
        self.spec
            .value
            .next_occurrence(occurrence)
            .filter(|span| span.begin == occurrence)
    }

    /// The occurrence in progress, or else the next one; `None` after the last one.
    pub(super) fn current_occurrence(&self, now: WallTime) -> Option<CurrentOccurrence> {
        if let Some(Progress {
            occurrence, phase, ..
        }) = self.unfinished()
        {
            let planned = self.planned_span(*occurrence);
            // If the content was replaced in the meantime, an occurrence in progress ends at once.
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

    /// The planned span of the first occurrence that is not finished and ends later than `after`; for a window that
    /// occurs once, of its occurrence, whenever that ends.
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
        // Occurrences whose end was moved by an extension or an early start are checked separately.
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
        // The first planned ones may still be an occurrence that ends exactly at `after` and one that was started early
        // and is over; hence up to 4 are checked.
        moved.chain(planned.find(ends_later)).min()
    }

    /// Whether the window is over or cancelled, and the lifetime of its tombstone is over as well.
    pub(super) fn has_expired(&self, now: WallTime) -> bool {
        let over_at = match (self.cancelled, &self.spec.value.schedule) {
            (Some(version), _) => version.called_at,
            (None, Schedule::Once(span)) => self.actual_span(*span).end + self.overrun(),
            (None, Schedule::Recurring { .. }) => return false,
        };
        let decided_at = self.phase_since(WallTime(0));
        over_at.max(decided_at) + TOMBSTONE_LIFETIME <= now
    }

    /// The lease holder's decision, if the occurrence has not reached its last phase.
    fn unfinished(&self) -> Option<&Progress> {
        self.progress
            .as_ref()
            .filter(|progress| !progress.phase.is_final())
    }
}

/// Checks that a time from another proxy is not further in the future than clocks differ.
fn check_not_ahead(field: &str, at: WallTime, now: WallTime) -> Result<(), InvalidField> {
    if at > now + MAX_CLOCK_AHEAD {
        return Err(InvalidField::new(field, "is in the future"));
    }
    Ok(())
}

/// Replaces `own` if `other` is higher. Returns whether it did.
fn take_higher<T: Ord + Clone>(own: &mut T, other: &T) -> bool {
    let is_higher = *other > *own;
    if is_higher {
        *own = other.clone();
    }
    is_higher
}

/// The time of a change, if it applies to the given occurrence.
fn change_of(change: &Option<Versioned<OccurrenceChange>>, planned: Span) -> Option<WallTime> {
    change
        .as_ref()
        .filter(|change| change.value.occurrence == planned.begin)
        .map(|change| change.value.at)
}

impl Progress {
    /// Creates a decision. A reason that is too long is truncated.
    pub(super) fn new(
        occurrence: WallTime,
        token: Token,
        phase: Phase,
        since: WallTime,
        reason: &str,
    ) -> Progress {
        let length = (0..=MAX_REASON_BYTES.min(reason.len()))
            .rev()
            .find(|length| reason.is_char_boundary(*length));
        Progress {
            occurrence,
            token,
            phase,
            since,
            reason: reason[..length.unwrap_or(0)].into(),
        }
    }

    /// Checks that every field is within its bounds.
    fn check(&self, now: WallTime) -> Result<(), InvalidField> {
        check_not_ahead("mark", self.since, now)?;
        if self.occurrence.timestamp().is_none() {
            return Err(InvalidField::new(
                "mark",
                "occurrence is after the year 9999",
            ));
        }
        if self.token.number > now.0 / 1000 + MAX_TOKEN_AHEAD_MS {
            return Err(InvalidField::new("mark", "token is too far in the future"));
        }
        if self.reason.len() > MAX_REASON_BYTES {
            return Err(InvalidField::new("mark", "reason is too long"));
        }
        Ok(())
    }
}
