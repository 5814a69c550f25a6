//! The steps of the holder.

use super::budget::{Fleet, Tally};
use super::entry::{Entry, Mark, Step};
use super::spec::Span;
use super::{Calendar, Wall};
use crate::fleet::lease::Token;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Within this a live proxy has acted on the holder's word (the stated staleness): what it reports from then
/// on counts requests that nothing new joins.
pub const TOLD: Micros = Micros(2_000_000);
/// A new holder signs what drains within this: more than clocks of two proxies differ.
pub(super) const SOON: Micros = Micros(5_000_000);
/// How often the figures are told again of a window that waits.
const RETELL: Micros = Micros(5_000_000);

/// What a live proxy said of the requests it has open.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// How long ago it said so.
    pub age: Micros,
    /// Open requests by backend; a backend that is not named has none.
    pub open: BTreeMap<String, u32>,
}

/// The last report of each live proxy, by any key of the host's; the holder's own is among them.
pub type Reports = BTreeMap<u64, Report>;

/// One step of one window, for the log and the effects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The window.
    pub window: String,
    /// Where it stood.
    pub from: Step,
    /// Where it stands.
    pub to: Step,
    /// Since when.
    pub at: Wall,
    /// Why.
    pub reason: String,
    /// The holder's.
    pub token: Token,
}

impl Calendar {
    /// Takes each step whose time has come. Only for the proxy that holds the duty now, a few times a
    /// second, by a clock that is not set back while it holds; with a token below one that a window bears nothing happens. What changed, also without a
    /// transition, is in [`changed`](Calendar::changed) afterwards.
    pub fn step(
        &mut self,
        now: Wall,
        token: Token,
        fleet: &Fleet,
        reports: &Reports,
    ) -> Vec<Transition> {
        if token < self.highest() {
            return Vec::new();
        }
        let mut steps = Vec::new();
        self.take_over(now, token, &mut steps);
        let ramp = self.rules.ramp;
        for (id, entry) in &mut self.entries {
            while let Some((planned, from, to, reason)) = advance(entry, now, ramp, fleet, reports)
            {
                entry.mark = Some(Mark::new(planned.begin, token, to, now, &reason));
                self.changed.insert(id.clone());
                steps.push(Transition {
                    window: id.clone(),
                    from,
                    to,
                    at: now,
                    reason,
                    token,
                });
            }
        }
        self.begin_due(now, token, fleet, &mut steps);
        self.sign(now, token);
        self.purge(now);
        steps
    }

    /// What this proxy drained by itself, before it came to hold the duty, goes on under its token until its end,
    /// however little time is left and whatever the budget says now: it is out already, and so it is
    /// at every other proxy that heard of no holder.
    fn take_over(&mut self, now: Wall, token: Token, steps: &mut Vec<Transition>) {
        for (id, occurrence) in self.out_alone(now) {
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            let reason = "drained while nobody held the duty";
            entry.mark = Some(Mark::new(occurrence, token, Step::Draining, now, reason));
            self.changed.insert(id.clone());
            let (from, to, at) = (Step::Planned, Step::Draining, now);
            steps.push(Transition {
                window: id,
                from,
                to,
                at,
                reason: reason.into(),
                token,
            });
        }
    }

    /// Lets the windows drain whose time has come and that fit, in the order of begin and id.
    fn begin_due(&mut self, now: Wall, token: Token, fleet: &Fleet, steps: &mut Vec<Transition>) {
        let mut due: Vec<(Wall, Wall, &Entry)> = Vec::new();
        for entry in self.entries.values().filter(|e| e.cancelled.is_none()) {
            let Some((planned, Step::Planned)) = entry.current(now) else {
                continue;
            };
            let span = entry.span(planned);
            if span.begin - entry.lead() <= now {
                due.push((span.begin, planned.begin, entry));
            }
        }
        if due.is_empty() {
            return; // to count the whole fleet is not free
        }
        due.sort_by_key(|(begin, _, entry)| (*begin, entry.id.as_str()));
        let held = self
            .entries
            .values()
            .filter(|e| holds(e, now, self.rules.ramp));
        let held = held
            .flat_map(|e| e.spec.value.targets.names(fleet))
            .collect();
        let mut tally = Tally::new(fleet, self.rules.budget, held);
        let mut marks = Vec::new();
        for (_, occurrence, entry) in due {
            let (step, why) = match tally.take(&entry.id, entry.spec.value.targets.names(fleet)) {
                Ok(()) => (
                    Step::Draining,
                    "its lead begins and the budget allows".into(),
                ),
                Err(why) => (Step::Planned, why),
            };
            if step == Step::Draining || retell(entry, occurrence, token, &why, now) {
                marks.push((
                    entry.id.clone(),
                    Mark::new(occurrence, token, step, now, &why),
                ));
            }
        }
        for (id, mark) in marks {
            let Some(entry) = self.entries.get_mut(&id) else {
                continue;
            };
            let (to, reason) = (mark.step, mark.why.clone());
            entry.mark = Some(mark);
            self.changed.insert(id.clone());
            if to != Step::Planned {
                steps.push(Transition {
                    window: id,
                    from: Step::Planned,
                    to,
                    at: now,
                    reason,
                    token,
                });
            }
        }
    }

    /// A new holder puts its token under all that is under way or due, as it stands. So what an older
    /// holder decided and nobody heard of in time loses against it wherever the two meet.
    fn sign(&mut self, now: Wall, token: Token) {
        for (id, entry) in &mut self.entries {
            let Some((planned, step)) = entry.current(now) else {
                continue;
            };
            let due =
                step != Step::Planned || entry.span(planned).begin - entry.lead() <= now + SOON;
            let signed = |m: &Mark| m.token == token && m.occurrence == planned.begin;
            if !due
                || entry.cancelled.is_some() && step == Step::Planned
                || entry.mark.as_ref().is_some_and(signed)
            {
                continue;
            }
            let mark = match entry.mark.take().filter(|m| m.occurrence == planned.begin) {
                Some(mark) => Mark { token, ..mark },
                None => Mark::new(planned.begin, token, Step::Planned, now, ""),
            };
            entry.mark = Some(mark);
            self.changed.insert(id.clone());
        }
    }
}

/// Whether a window's backends count as missing: it has them, or they are just back and cold, whatever a
/// roster that is some moments old says.
fn holds(entry: &Entry, now: Wall, ramp: Micros) -> bool {
    entry.mark.as_ref().is_some_and(|m| match m.step {
        Step::Restoring => true,
        Step::Overrun => now < m.at + ramp,
        step => step.is_out(),
    })
}

/// Whether what a window waits for has to be told (again).
fn retell(entry: &Entry, occurrence: Wall, token: Token, why: &str, now: Wall) -> bool {
    let told = entry
        .mark
        .as_ref()
        .filter(|m| m.occurrence == occurrence && m.token == token);
    told.is_none_or(|m| m.why != why && (m.why.is_empty() || now >= m.at + RETELL))
}

/// The next step of a window that has one: its occurrence, from where, to where and why.
fn advance(
    entry: &Entry,
    now: Wall,
    ramp: Micros,
    fleet: &Fleet,
    reports: &Reports,
) -> Option<(Span, Step, Step, String)> {
    let (planned, step) = entry.current(now)?;
    let span = entry.span(planned);
    let called_off = entry.cancelled.is_some();
    let since = entry.mark.as_ref().map_or(now, |m| m.at);
    let (to, why) = match step {
        Step::Planned if called_off => {
            let known = entry
                .mark
                .as_ref()
                .is_some_and(|m| m.step == Step::Cancelled);
            (!known).then(|| (Step::Cancelled, "called off".into()))?
        }
        Step::Planned if now + entry.lead() >= span.end => {
            let waited = entry
                .mark
                .as_ref()
                .filter(|m| m.step == Step::Planned && !m.why.is_empty());
            let waited = waited.map_or("nobody held the duty".into(), |m| m.why.clone());
            (Step::Refused, format!("its time ran out: {waited}"))
        }
        Step::Planned => return None,
        step if step.is_out() && called_off => (Step::Restoring, "called off".into()),
        step if step.is_out() && entry.planned(planned.begin).is_none() => {
            (Step::Restoring, "its content was replaced".into())
        }
        Step::Draining | Step::Drained if now >= span.end => {
            (Step::Restoring, "its end came before it was open".into())
        }
        Step::Draining => drained(entry, since, now, fleet, reports)?,
        Step::Drained if entry.begun(planned.begin) => (Step::Open, "begun by hand".into()),
        Step::Drained if now >= span.begin => (Step::Open, "its begin".into()),
        Step::Open if now >= span.end => closed(entry, span, now, fleet)?,
        Step::Restoring if now >= since + ramp && called_off => {
            (Step::Cancelled, "called off".into())
        }
        Step::Restoring if now >= since + ramp => (Step::Done, "the slow start is over".into()),
        _ => return None,
    };
    Some((planned, step, to, why))
}

fn drained(
    entry: &Entry,
    since: Wall,
    now: Wall,
    fleet: &Fleet,
    reports: &Reports,
) -> Option<(Step, String)> {
    let names = entry.spec.value.targets.names(fleet);
    let counts = reports
        .values()
        .flat_map(|r| names.iter().filter_map(|n| r.open.get(*n)));
    let open: u64 = counts.map(|n| u64::from(*n)).sum();
    // An older report may come from before its proxy was told, with a request still to follow.
    let told = reports
        .values()
        .all(|report| now - report.age >= since + TOLD);
    if open == 0 && told && !reports.is_empty() {
        return Some((
            Step::Drained,
            format!("no request open at {} proxies", reports.len()),
        ));
    }
    let over = now >= since + entry.lead();
    over.then(|| {
        (
            Step::Drained,
            format!("the lead is over, {open} requests open"),
        )
    })
}

/// A window closes when its backends are listed as serving again. Whether they are ready cannot be asked:
/// nothing is sent to them while they are out, so one that was ejected before would never be.
fn closed(entry: &Entry, span: Span, now: Wall, fleet: &Fleet) -> Option<(Step, String)> {
    let names = entry.spec.value.targets.names(fleet);
    let away: BTreeSet<&str> = names
        .into_iter()
        .filter(|n| fleet.get(*n).is_none_or(|b| !b.serving))
        .collect();
    let Some(first) = away.first() else {
        return Some((Step::Restoring, "its end".into()));
    };
    let over = now >= span.end + entry.overrun();
    over.then(|| {
        (
            Step::Overrun,
            format!("restored with {} not back, {first} first", away.len()),
        )
    })
}
