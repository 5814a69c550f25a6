//! The operators' calls to any proxy: they add, cancel, extend and start windows, and list them.

use super::spec::{check_id, secs, InvalidField, Schedule, Span, Spec, Targets, MAX_DURATION_S};
use super::window::{CurrentOccurrence, OccurrenceChange, Phase, Version, Versioned, Window};
use super::{Calendar, WallTime, MAX_WINDOWS};
use crate::fleet::lease::Token;
use crate::Micros;
use serde::Serialize;

/// Whether an operator's call changed anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The call changed the calendar.
    Changed,
    /// The calendar was in the requested state already.
    Unchanged,
}

/// The reason why an operator's call is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// A field is invalid: status 422.
    #[error("invalid: {0}")]
    Invalid(#[source] InvalidField),
    /// The call conflicts with the state of the window: status 409.
    #[error("conflict: {0}")]
    Conflict(#[source] InvalidField),
    /// There is no window with the id: status 404.
    #[error("no such window")]
    NotFound,
    /// The calendar holds [`MAX_WINDOWS`] windows: status 507.
    #[error("calendar is full with {MAX_WINDOWS} windows")]
    Full,
}

impl CallError {
    /// The HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self {
            CallError::Invalid(_) => 422,
            CallError::Conflict(_) => 409,
            CallError::NotFound => 404,
            CallError::Full => 507,
        }
    }

    /// The rejected field and the reason, which form the body of the response.
    pub fn invalid_field(&self) -> InvalidField {
        match self {
            CallError::Invalid(field) | CallError::Conflict(field) => field.clone(),
            CallError::NotFound => InvalidField::new("id", "no such window"),
            CallError::Full => InvalidField::new(
                "id",
                format!("{MAX_WINDOWS} windows are kept, ended ones for an hour"),
            ),
        }
    }
}

impl From<InvalidField> for CallError {
    fn from(field: InvalidField) -> CallError {
        CallError::Invalid(field)
    }
}

/// One window in the list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct WindowView {
    /// The window's id.
    pub id: String,
    /// The targeted backends, as an object with the kind of selection as its key: `{"zone": "a"}`.
    pub targets: Targets,
    /// The person or system that requested the window.
    #[serde(rename = "by")]
    pub requested_by: String,
    /// The phase of the occurrence shown.
    pub phase: Phase,
    /// The begin of the occurrence shown: the one in progress, or else the next, or else the last one; RFC 3339 in UTC.
    pub begin: Option<String>,
    /// The end of the occurrence shown; RFC 3339 in UTC.
    pub end: Option<String>,
    /// While planned, the reason why the window has to wait.
    pub waiting: Option<String>,
    /// In any other phase, the reason why the window entered it.
    pub reason: Option<String>,
    /// The time of the lease holder's decision; RFC 3339 in UTC.
    pub since: Option<String>,
    /// The token of the lease holder that made the decision.
    pub token: Option<Token>,
}

impl Calendar {
    /// Adds a window. A repeated call with the same id and content is accepted, even when the window is over.
    ///
    /// # Errors
    /// If a field is invalid, the id belongs to a cancelled window or to one with other content, or the calendar is
    /// full.
    pub fn put(
        &mut self,
        id: &str,
        spec: Spec,
        version: Version,
        now: WallTime,
    ) -> Result<CallOutcome, CallError> {
        check_id(id)?;
        spec.check()?;
        self.remove_expired(now);
        if let Some(window) = self.windows.get(id) {
            if window.cancelled.is_some() {
                return Err(conflict(
                    "id",
                    "belongs to a cancelled window, and is free again an hour after that ended",
                ));
            }
            return match window.spec.value.first_difference(&spec) {
                None => Ok(CallOutcome::Unchanged),
                Some(field) => Err(conflict(
                    field,
                    "the id is taken by a window that differs in this",
                )),
            };
        }
        check_feasible(&spec, now)?;
        if self.windows.len() >= MAX_WINDOWS {
            return Err(CallError::Full);
        }
        let window = Window {
            id: id.into(),
            spec: Versioned {
                version,
                value: spec,
            },
            extension: None,
            early_start: None,
            cancelled: None,
            progress: None,
        };
        self.windows.insert(id.into(), window);
        self.changed.insert(id.into());
        Ok(CallOutcome::Changed)
    }

    /// Cancels a window with all its occurrences. This is final; a new window needs another id.
    ///
    /// # Errors
    /// If there is no such window, or it is over.
    pub fn cancel(
        &mut self,
        id: &str,
        version: Version,
        now: WallTime,
    ) -> Result<CallOutcome, CallError> {
        let window = self.windows.get_mut(id).ok_or(CallError::NotFound)?;
        if window.cancelled.is_some() {
            return Ok(CallOutcome::Unchanged);
        }
        if window.current_occurrence(now).is_none() {
            return Err(conflict("id", "the window is over"));
        }
        window.cancelled = Some(version);
        self.changed.insert(id.into());
        Ok(CallOutcome::Changed)
    }

    /// Moves the end of the occurrence that is in progress or next to the later time `until`.
    ///
    /// # Errors
    /// If there is no such window, it is cancelled, over or being restored, or the new end is not later or too late.
    pub fn extend(
        &mut self,
        id: &str,
        until: WallTime,
        version: Version,
        now: WallTime,
    ) -> Result<CallOutcome, CallError> {
        let window = self.windows.get_mut(id).ok_or(CallError::NotFound)?;
        let planned = changeable_occurrence(window, now)?.planned;
        if until == window.actual_span(planned).end {
            return Ok(CallOutcome::Unchanged);
        }
        check_extension(window, planned, until, now)?;
        let value = OccurrenceChange {
            occurrence: planned.begin,
            at: until,
        };
        window.extension = Some(supersede(&window.extension, version, value));
        self.changed.insert(id.into());
        Ok(CallOutcome::Changed)
    }

    /// Starts the next occurrence now: it drains at once if the budget allows it, and opens when it is drained. Its
    /// duration does not change, and neither does its end if that was extended.
    ///
    /// # Errors
    /// If there is no such window, or it is cancelled, over or being restored.
    pub fn start_now(
        &mut self,
        id: &str,
        version: Version,
        now: WallTime,
    ) -> Result<CallOutcome, CallError> {
        let window = self.windows.get_mut(id).ok_or(CallError::NotFound)?;
        let current = changeable_occurrence(window, now)?;
        let occurrence = current.planned.begin;
        if current.phase == Phase::Open || window.is_started_early(occurrence) {
            return Ok(CallOutcome::Unchanged);
        }
        let value = OccurrenceChange {
            occurrence,
            at: now,
        };
        window.early_start = Some(supersede(&window.early_start, version, value));
        self.changed.insert(id.into());
        Ok(CallOutcome::Changed)
    }

    /// All windows, sorted by id, without expired tombstones.
    pub fn list(&self, now: WallTime) -> Vec<WindowView> {
        self.windows
            .values()
            .filter(|window| !window.has_expired(now))
            .map(|window| view(window, now))
            .collect()
    }
}

/// The occurrence that an operator's change applies to: the one in progress, or else the next one.
///
/// # Errors
/// If it can no longer be changed.
fn changeable_occurrence(window: &Window, now: WallTime) -> Result<CurrentOccurrence, CallError> {
    if window.cancelled.is_some() {
        return Err(conflict("id", "the window is cancelled"));
    }
    let in_progress = window
        .current_occurrence(now)
        .filter(|current| current.phase != Phase::Planned);
    let next = || {
        Some(CurrentOccurrence {
            planned: window.next_planned(now)?,
            phase: Phase::Planned,
        })
    };
    let is_live = |current: &CurrentOccurrence| {
        current.phase.is_in_effect() || window.actual_span(current.planned).end > now
    };
    match in_progress.or_else(next) {
        Some(current) if current.phase == Phase::Restoring => {
            Err(conflict("id", "the window is being restored"))
        }
        Some(current) if is_live(&current) => Ok(current),
        _ => Err(conflict("id", "the window is over")),
    }
}

/// Checks whether the end of an occurrence may move to `until`.
fn check_extension(
    window: &Window,
    planned: Span,
    until: WallTime,
    now: WallTime,
) -> Result<(), InvalidField> {
    let invalid = |reason: String| Err(InvalidField::new("until", reason));
    let span = window.actual_span(planned);
    if until < span.end || until <= now {
        return invalid(format!("not after the end, {}", span.end.max(now)));
    }
    let max_duration = secs(MAX_DURATION_S);
    if until - span.begin > max_duration || until - planned.begin > max_duration {
        return invalid(format!("more than 7 days after begin, {}", span.begin));
    }
    if let Schedule::Recurring { .. } = window.spec.value.schedule {
        let next = window.spec.value.next_occurrence(planned.begin + Micros(1));
        let drains_at = next.map(|next| next.begin - window.lead());
        if let Some(drains_at) = drains_at.filter(|at| until + window.overrun() >= *at) {
            return invalid(format!(
                "overlaps the next occurrence, which drains from {drains_at}"
            ));
        }
    }
    Ok(())
}

/// A change with a version above the previous change's, so that of two calls to one proxy the later one wins even if
/// the clock was set back in between.
fn supersede(
    previous: &Option<Versioned<OccurrenceChange>>,
    version: Version,
    value: OccurrenceChange,
) -> Versioned<OccurrenceChange> {
    let lowest = previous.as_ref().map_or(WallTime(0), |previous| {
        previous.version.called_at + Micros(1)
    });
    Versioned {
        version: Version {
            called_at: version.called_at.max(lowest),
            ..version
        },
        value,
    }
}

/// Checks whether a new window still has an occurrence that can start.
fn check_feasible(spec: &Spec, now: WallTime) -> Result<(), InvalidField> {
    match &spec.schedule {
        Schedule::Once(span) if span.end <= now => Err(InvalidField::new("end", "is in the past")),
        Schedule::Once(span) if now + secs(spec.lead_s) >= span.end => Err(InvalidField::new(
            "lead_s",
            "does not fit between now and the end",
        )),
        Schedule::Recurring { .. } if spec.next_occurrence(now).is_none() => {
            Err(InvalidField::new("recurring", "has no occurrence"))
        }
        _ => Ok(()),
    }
}

/// The error for a call that conflicts with the state of the window.
fn conflict(field: &str, reason: &str) -> CallError {
    CallError::Conflict(InvalidField::new(field, reason))
}

/// The list's entry for a window.
fn view(window: &Window, now: WallTime) -> WindowView {
    let current = shown_occurrence(window, now);
    let phase = match (window.cancelled, current) {
        (Some(_), None) => Phase::Cancelled,
        (_, current) => current.map_or(Phase::Done, |current| current.phase),
    };
    let planned = current
        .or_else(|| decided_occurrence(window))
        .map(|current| current.planned)
        .or_else(|| window.next_planned(now));
    let progress = window.progress.as_ref().filter(|progress| {
        let is_shown = planned.is_none_or(|planned| planned.begin == progress.occurrence);
        progress.phase == phase && is_shown
    });
    let span = planned.map(|planned| window.actual_span(planned));
    let reason = progress
        .map(|progress| progress.reason.clone())
        .filter(|reason| !reason.is_empty());
    let is_planned = phase == Phase::Planned;
    WindowView {
        id: window.id.clone(),
        targets: window.spec.value.targets.clone(),
        requested_by: window.spec.value.requested_by.clone(),
        phase,
        begin: span.map(|span| span.begin.to_string()),
        end: span.map(|span| span.end.to_string()),
        waiting: reason.clone().filter(|_| is_planned),
        reason: reason.filter(|_| !is_planned),
        since: progress.map(|progress| progress.since.to_string()),
        token: progress.map(|progress| progress.token),
    }
}

/// The occurrence that the list shows, with its phase. A cancelled window has one only while its backends are in
/// maintenance or being restored.
fn shown_occurrence(window: &Window, now: WallTime) -> Option<CurrentOccurrence> {
    if window.cancelled.is_none() {
        return window
            .current_occurrence(now)
            .or_else(|| decided_occurrence(window));
    }
    // A cancelled window that was in effect still has to be restored.
    decided_occurrence(window)
        .filter(|decided| !decided.phase.is_final() && decided.phase != Phase::Planned)
}

/// The occurrence that the lease holder decided on last, if the window's content still contains it.
fn decided_occurrence(window: &Window) -> Option<CurrentOccurrence> {
    let progress = window.progress.as_ref()?;
    Some(CurrentOccurrence {
        planned: window.planned_span(progress.occurrence)?,
        phase: progress.phase,
    })
}
