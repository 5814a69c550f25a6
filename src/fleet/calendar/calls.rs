//! What operators call, at any proxy, and the list they see.

use super::entry::{Change, Entry, Stamp, Stamped, Step};
use super::spec::{check_id, secs, Invalid, Span, Spec, Targets, When, MOST_LENGTH_S};
use super::{Calendar, Wall, MOST_WINDOWS};
use crate::fleet::lease::Token;
use crate::Micros;
use serde::Serialize;

/// What a call of an operator changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Put {
    /// It is taken.
    New,
    /// It was so already.
    Same,
}

/// Why a call of an operator is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejected {
    /// A field makes no sense: status 422.
    Invalid(Invalid),
    /// It contradicts what is there: status 409.
    Conflict(Invalid),
    /// No window has that id: status 404.
    Unknown,
    /// There are [`MOST_WINDOWS`]: status 507.
    Full,
}

impl Rejected {
    /// The HTTP status that says so.
    pub fn status(&self) -> u16 {
        match self {
            Rejected::Invalid(_) => 422,
            Rejected::Conflict(_) => 409,
            Rejected::Unknown => 404,
            Rejected::Full => 507,
        }
    }

    /// The field at fault and what is wrong with it.
    pub fn why(&self) -> Invalid {
        match self {
            Rejected::Invalid(why) | Rejected::Conflict(why) => why.clone(),
            Rejected::Unknown => Invalid::new("id", "no such window"),
            Rejected::Full => Invalid::new(
                "id",
                format!("{MOST_WINDOWS} windows are kept, ended ones for an hour"),
            ),
        }
    }
}

impl From<Invalid> for Rejected {
    fn from(why: Invalid) -> Rejected {
        Rejected::Invalid(why)
    }
}

/// One window in the list.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct View {
    /// The window's id.
    pub id: String,
    /// What it takes out, under the name of its kind: `{"zone": "a"}`.
    pub targets: Targets,
    /// Who asked.
    pub by: String,
    /// Where it stands.
    pub phase: Step,
    /// The begin of the occurrence under way, else of the next, else of the last one; RFC 3339 in UTC.
    pub begin: Option<String>,
    /// Its end.
    pub end: Option<String>,
    /// What it waits for.
    pub waiting: Option<String>,
    /// Why it stands where it does.
    pub reason: Option<String>,
    /// Since when.
    pub since: Option<String>,
    /// The holder's that said so.
    pub token: Option<Token>,
}

impl Calendar {
    /// Takes a window. The same id with the same content is a yes, also when its time is over.
    ///
    /// # Errors
    /// An impossible field; other content under the id, or an id that was cancelled; a full table.
    pub fn put(&mut self, id: &str, spec: Spec, stamp: Stamp, now: Wall) -> Result<Put, Rejected> {
        check_id(id)?;
        spec.check()?;
        self.purge(now);
        if let Some(entry) = self.entries.get(id) {
            if entry.cancelled.is_some() {
                return Err(conflict(
                    "id",
                    "was cancelled, and is free again an hour later",
                ));
            }
            return match entry.spec.value.differs(&spec) {
                None => Ok(Put::Same),
                Some(field) => Err(conflict(
                    field,
                    "the id is taken by a window that differs in this",
                )),
            };
        }
        possible(&spec, now)?;
        if self.entries.len() >= MOST_WINDOWS {
            return Err(Rejected::Full);
        }
        let spec = Stamped { stamp, value: spec };
        let entry = Entry {
            id: id.into(),
            spec,
            extended: None,
            begun: None,
            cancelled: None,
            mark: None,
        };
        self.entries.insert(id.into(), entry);
        self.changed.insert(id.into());
        Ok(Put::New)
    }

    /// Calls a window off, with all its occurrences. There is no way back; another window takes another id.
    ///
    /// # Errors
    /// No such window, or it is over.
    pub fn cancel(&mut self, id: &str, stamp: Stamp, now: Wall) -> Result<Put, Rejected> {
        let entry = self.entries.get_mut(id).ok_or(Rejected::Unknown)?;
        if entry.cancelled.is_some() {
            return Ok(Put::Same);
        }
        if entry.current(now).is_none() {
            return Err(conflict("id", "the window is over"));
        }
        entry.cancelled = Some(stamp);
        self.changed.insert(id.into());
        Ok(Put::New)
    }

    /// Moves the end of the occurrence under way or next to a later time.
    ///
    /// # Errors
    /// No such window, it is over or about to be restored; an end that is not later or too late.
    pub fn extend(
        &mut self,
        id: &str,
        until: Wall,
        stamp: Stamp,
        now: Wall,
    ) -> Result<Put, Rejected> {
        let entry = self.entries.get_mut(id).ok_or(Rejected::Unknown)?;
        let (planned, _) = live(entry, now)?;
        let span = entry.span(planned);
        if until == span.end {
            return Ok(Put::Same);
        }
        let invalid = |why: String| Err(Rejected::Invalid(Invalid::new("until", why)));
        if until < span.end || until <= now {
            return invalid(format!("not after the end, {}", span.end.max(now)));
        }
        if until - span.begin > secs(MOST_LENGTH_S) || until - planned.begin > secs(MOST_LENGTH_S) {
            return invalid(format!("more than 7 days after the begin, {}", span.begin));
        }
        if let When::Recurring { .. } = entry.spec.value.when {
            let next = entry.spec.value.occurrence(planned.begin + Micros(1));
            let drains = next.map(|next| next.begin - entry.lead());
            if let Some(drains) = drains.filter(|at| until + entry.overrun() >= *at) {
                return invalid(format!("the next occurrence drains at {drains}"));
            }
        }
        let value = Change {
            occurrence: planned.begin,
            at: until,
        };
        entry.extended = Some(later(&entry.extended, stamp, value));
        self.changed.insert(id.into());
        Ok(Put::New)
    }

    /// Begins the next occurrence now: it drains at once, as far as the budget allows, and opens when it is
    /// drained. Its length stays; an extension of it stands.
    ///
    /// # Errors
    /// No such window, it is over or about to be restored.
    pub fn begin_now(&mut self, id: &str, stamp: Stamp, now: Wall) -> Result<Put, Rejected> {
        let entry = self.entries.get_mut(id).ok_or(Rejected::Unknown)?;
        let (planned, step) = live(entry, now)?;
        if step == Step::Open || entry.begun(planned.begin) {
            return Ok(Put::Same);
        }
        let value = Change {
            occurrence: planned.begin,
            at: now,
        };
        entry.begun = Some(later(&entry.begun, stamp, value));
        self.changed.insert(id.into());
        Ok(Put::New)
    }

    /// Every window, by id.
    pub fn list(&self, now: Wall) -> Vec<View> {
        let kept = self
            .entries
            .values()
            .filter(|e| e.expires().is_none_or(|at| at > now));
        kept.map(|entry| view(entry, now)).collect()
    }
}

/// The occurrence that an operator means, as planned, and its step.
fn live(entry: &Entry, now: Wall) -> Result<(Span, Step), Rejected> {
    if entry.cancelled.is_some() {
        return Err(conflict("id", "the window is cancelled"));
    }
    let under_way = entry
        .current(now)
        .filter(|(_, step)| *step != Step::Planned);
    match under_way.or_else(|| Some((entry.next(now)?, Step::Planned))) {
        Some((_, Step::Restoring)) => Err(conflict("id", "the window is being restored")),
        Some((planned, step)) if step.is_out() || entry.span(planned).end > now => {
            Ok((planned, step))
        }
        _ => Err(conflict("id", "the window is over")),
    }
}

/// A change with a version above the one that is there, so that the later call at one proxy wins even where
/// its clock was set back.
fn later(was: &Option<Stamped<Change>>, stamp: Stamp, value: Change) -> Stamped<Change> {
    let least = was.as_ref().map_or(Wall(0), |was| was.stamp.at + Micros(1));
    Stamped {
        stamp: Stamp {
            at: stamp.at.max(least),
            ..stamp
        },
        value,
    }
}

/// Whether a new window can still be carried out.
fn possible(spec: &Spec, now: Wall) -> Result<(), Invalid> {
    match &spec.when {
        When::Once(span) if span.end <= now => Err(Invalid::new("end", "is over already")),
        When::Once(span) if now + secs(spec.lead_s) >= span.end => Err(Invalid::new(
            "lead_s",
            "the end comes before the lead is over",
        )),
        When::Recurring { .. } if spec.occurrence(now).is_none() => {
            Err(Invalid::new("recurring", "never comes"))
        }
        _ => Ok(()),
    }
}

fn conflict(field: &str, why: &str) -> Rejected {
    Rejected::Conflict(Invalid::new(field, why))
}

fn view(entry: &Entry, now: Wall) -> View {
    let mark = entry.mark.as_ref();
    let last = || mark.and_then(|m| Some((entry.planned(m.occurrence)?, m.step)));
    let current = match entry.cancelled {
        // The holder restores first what it had taken out.
        Some(_) => mark
            .filter(|m| !m.step.is_final() && m.step != Step::Planned)
            .and_then(|_| last()),
        None => entry.current(now).or_else(last),
    };
    let phase = match (entry.cancelled, current) {
        (Some(_), None) => Step::Cancelled,
        (_, current) => current.map_or(Step::Done, |(_, step)| step),
    };
    let shown = current
        .or_else(last)
        .map(|(planned, _)| planned)
        .or_else(|| entry.next(now));
    let mark = mark.filter(|m| m.step == phase && shown.is_none_or(|s| s.begin == m.occurrence));
    let span = shown.map(|planned| entry.span(planned));
    let why = mark.map(|m| m.why.clone()).filter(|why| !why.is_empty());
    let (waiting, reason) = if phase == Step::Planned {
        (why, None)
    } else {
        (None, why)
    };
    View {
        id: entry.id.clone(),
        targets: entry.spec.value.targets.clone(),
        by: entry.spec.value.by.clone(),
        phase,
        begin: span.map(|s| s.begin.to_string()),
        end: span.map(|s| s.end.to_string()),
        waiting,
        reason,
        since: mark.map(|m| m.at.to_string()),
        token: mark.map(|m| m.token),
    }
}
