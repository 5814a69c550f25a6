//! The operators' calls, at any proxy, and the list of windows that they see.

use super::spec::{check_id, secs, InvalidField, Schedule, Span, Spec, Targets, MAX_DURATION_S};
use super::window::{CurrentOccurrence, OccurrenceChange, Phase, Version, Versioned, Window};
use super::{Calendar, WallTime, MAX_WINDOWS};
use crate::fleet::lease::Token;
use crate::Micros;
use serde::Serialize;

/// What a call of an operator changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// It was carried out.
    Changed,
    /// It was so already.
    Unchanged,
}

/// Why a call of an operator is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// A field is invalid: status 422.
    #[error("invalid: {0}")]
    Invalid(#[source] InvalidField),
    /// It contradicts what is there: status 409.
    #[error("conflict: {0}")]
    Conflict(#[source] InvalidField),
    /// No window has that id: status 404.
    #[error("no such window")]
    Unknown,
    /// There are [`MAX_WINDOWS`]: status 507.
    #[error("{MAX_WINDOWS} windows are kept already")]
    Full,
}

impl CallError {
    /// The HTTP status of the answer.
    pub fn status(&self) -> u16 {
        match self {
            CallError::Invalid(_) => 422,
            CallError::Conflict(_) => 409,
            CallError::Unknown => 404,
            CallError::Full => 507,
        }
    }

    /// The field at fault and what is wrong with it: the body of the answer.
    pub fn invalid_field(&self) -> InvalidField {
        match self {
            CallError::Invalid(field) | CallError::Conflict(field) => field.clone(),
            CallError::Unknown => InvalidField::new("id", "no such window"),
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
    /// The backends that it targets, under the name of their choice: `{"zone": "a"}`.
    pub targets: Targets,
    /// Who requested it.
    #[serde(rename = "by")]
    pub requested_by: String,
    /// The phase of the occurrence shown.
    pub phase: Phase,
    /// The begin of the occurrence under way, else of the next, else of the last one; RFC 3339 in UTC.
    pub begin: Option<String>,
    /// Its end.
    pub end: Option<String>,
    /// What it waits for.
    pub waiting: Option<String>,
    /// Why it is in its phase.
    pub reason: Option<String>,
    /// Since when.
    pub since: Option<String>,
    /// The token of the lease holder that decided so.
    pub token: Option<Token>,
}

impl Calendar {
    /// Adds a window. The same id with the same content is accepted, also when its time is over.
    ///
    /// # Errors
    /// An impossible field; other content under the id, or an id that was cancelled; a full table.
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
                    "was cancelled, and is free again an hour later",
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

    /// Cancels a window with all its occurrences, which is final; another window takes another id.
    ///
    /// # Errors
    /// No such window, or it is over.
    pub fn cancel(
        &mut self,
        id: &str,
        version: Version,
        now: WallTime,
    ) -> Result<CallOutcome, CallError> {
        let window = self.windows.get_mut(id).ok_or(CallError::Unknown)?;
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

    /// Moves the end of the occurrence under way or next to a later time.
    ///
    /// # Errors
    /// No such window, it is over or about to be restored; an end that is not later or too late.
    pub fn extend(
        &mut self,
        id: &str,
        until: WallTime,
        version: Version,
        now: WallTime,
    ) -> Result<CallOutcome, CallError> {
        let window = self.windows.get_mut(id).ok_or(CallError::Unknown)?;
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

    /// Starts the next occurrence now: it drains at once, as far as the budget allows, and opens when it is
    /// drained. Its duration and an extension of it stay.
    ///
    /// # Errors
    /// No such window, it is over or about to be restored.
    pub fn start_now(
        &mut self,
        id: &str,
        version: Version,
        now: WallTime,
    ) -> Result<CallOutcome, CallError> {
        let window = self.windows.get_mut(id).ok_or(CallError::Unknown)?;
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

    /// Every window, by id.
    pub fn list(&self, now: WallTime) -> Vec<WindowView> {
        self.windows
            .values()
            .filter(|window| !window.has_expired(now))
            .map(|window| view(window, now))
            .collect()
    }
}

/// The occurrence that an operator means, where it can still be changed.
fn changeable_occurrence(window: &Window, now: WallTime) -> Result<CurrentOccurrence, CallError> {
    if window.cancelled.is_some() {
        return Err(conflict("id", "the window is cancelled"));
    }
    let under_way = window
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
    match under_way.or_else(next) {
        Some(current) if current.phase == Phase::Restoring => {
            Err(conflict("id", "the window is being restored"))
        }
        Some(current) if is_live(&current) => Ok(current),
        _ => Err(conflict("id", "the window is over")),
    }
}

/// Whether an occurrence's end may move to that time.
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
        return invalid(format!("more than 7 days after the begin, {}", span.begin));
    }
    if let Schedule::Recurring { .. } = window.spec.value.schedule {
        let next = window.spec.value.next_occurrence(planned.begin + Micros(1));
        let drains_at = next.map(|next| next.begin - window.lead());
        if let Some(drains_at) = drains_at.filter(|at| until + window.overrun() >= *at) {
            return invalid(format!("the next occurrence drains at {drains_at}"));
        }
    }
    Ok(())
}

/// A change with a version above the one that is there, so that the later call at one proxy wins even where
/// its clock was set back.
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

/// Whether a new window can still be carried out.
fn check_feasible(spec: &Spec, now: WallTime) -> Result<(), InvalidField> {
    match &spec.schedule {
        Schedule::Once(span) if span.end <= now => Err(InvalidField::new("end", "is over already")),
        Schedule::Once(span) if now + secs(spec.lead_s) >= span.end => Err(InvalidField::new(
            "lead_s",
            "the end comes before the lead is over",
        )),
        Schedule::Recurring { .. } if spec.next_occurrence(now).is_none() => {
            Err(InvalidField::new("recurring", "never comes"))
        }
        _ => Ok(()),
    }
}

fn conflict(field: &str, reason: &str) -> CallError {
    CallError::Conflict(InvalidField::new(field, reason))
}

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

/// The occurrence that the list shows with its phase.
fn shown_occurrence(window: &Window, now: WallTime) -> Option<CurrentOccurrence> {
    if window.cancelled.is_none() {
        return window
            .current_occurrence(now)
            .or_else(|| decided_occurrence(window));
    }
    // A cancelled window that is in effect is restored first.
    decided_occurrence(window)
        .filter(|decided| !decided.phase.is_final() && decided.phase != Phase::Planned)
}

/// The occurrence that the lease holder decided on last, where the content still has it.
fn decided_occurrence(window: &Window) -> Option<CurrentOccurrence> {
    let progress = window.progress.as_ref()?;
    Some(CurrentOccurrence {
        planned: window.planned_span(progress.occurrence)?,
        phase: progress.phase,
    })
}
