//! The lease holder's transitions: how windows go through their phases.

use super::disruption_budget::{ListedBackends, RemainingCapacity};
use super::due_window::DueWindow;
use super::isolation::IsolatedWindow;
use super::spec::Span;
use super::window::{CurrentOccurrence, Phase, Progress, Window};
use super::{Calendar, WallTime};
use crate::fleet::lease::Token;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Within this time a live proxy has acted on the holder's decision: what it reports from then
/// on counts requests that no new ones join.
pub const MAX_NOTIFICATION_DELAY: Micros = Micros(2_000_000);
/// A new holder claims what drains within this time: more than clocks of two proxies differ.
pub(super) const CLAIM_LOOKAHEAD: Micros = Micros(5_000_000);
/// How often the shown figures of a waiting window are refreshed.
const REASON_REFRESH: Micros = Micros(5_000_000);

/// What a live proxy reported of the requests that it has open.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenRequestReport {
    /// How long ago it reported.
    pub age: Micros,
    /// Open requests by backend; a backend that is not named has none. The host names unreported backends with 1.
    pub open: BTreeMap<String, u32>,
}

/// The last report of each live proxy, by any key of the host's; the holder's own is among them.
pub type OpenRequestReports = BTreeMap<u64, OpenRequestReport>;

/// One phase change of one window, for the log and the effects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The window.
    pub window: String,
    /// The phase that it left.
    pub from: Phase,
    /// The phase that it entered.
    pub to: Phase,
    /// When.
    pub at: WallTime,
    /// Why.
    pub reason: String,
    /// The holder's token.
    pub token: Token,
}

/// The phase that a window enters next, and why.
struct NextPhase {
    phase: Phase,
    reason: String,
}

impl NextPhase {
    fn new(phase: Phase, reason: impl Into<String>) -> NextPhase {
        NextPhase {
            phase,
            reason: reason.into(),
        }
    }
}

/// What transitions are decided on.
struct Observations<'a> {
    now: WallTime,
    slow_start: Micros,
    fleet: &'a ListedBackends,
    reports: &'a OpenRequestReports,
}

impl Calendar {
    /// Carries out each transition whose time has come. Only for the proxy that holds the lease now, a few times a
    /// second, by a clock that is not set back meanwhile; with a token below one that a window has nothing happens. What
    /// changed, also without a transition, is in [`take_changed`](Calendar::take_changed) afterwards.
    pub fn advance(
        &mut self,
        now: WallTime,
        token: Token,
        fleet: &ListedBackends,
        reports: &OpenRequestReports,
    ) -> Vec<Transition> {
        if token < self.highest_token() {
            return Vec::new();
        }
        let observations = Observations {
            now,
            slow_start: self.rules.slow_start,
            fleet,
            reports,
        };
        let mut transitions = Vec::new();
        self.adopt_isolated_decisions(now, token, &mut transitions);
        self.continue_windows(token, &observations, &mut transitions);
        self.start_due_windows(token, &observations, &mut transitions);
        self.claim_windows(now, token);
        self.remove_expired(now);
        transitions
    }

    /// What this proxy drained by itself before it came to hold the lease goes on under its token until its end, however
    /// little time is left and whatever the budget says now: it is in effect already, and so it is at every other proxy
    /// that heard of no holder.
    fn adopt_isolated_decisions(
        &mut self,
        now: WallTime,
        token: Token,
        transitions: &mut Vec<Transition>,
    ) {
        const REASON: &str = "drained while nobody held the duty";
        for IsolatedWindow { id, occurrence } in self.in_effect_by_isolation(now) {
            let Some(window) = self.windows.get_mut(&id) else {
                continue;
            };
            window.progress = Some(Progress::new(
                occurrence,
                token,
                Phase::Draining,
                now,
                REASON,
            ));
            self.changed.insert(id.clone());
            transitions.push(Transition {
                window: id,
                from: Phase::Planned,
                to: Phase::Draining,
                at: now,
                reason: REASON.into(),
                token,
            });
        }
    }

    /// Takes windows on by all phases that do not depend on the budget.
    fn continue_windows(
        &mut self,
        token: Token,
        observations: &Observations,
        transitions: &mut Vec<Transition>,
    ) {
        let now = observations.now;
        for (id, window) in &mut self.windows {
            while let Some(current) = window.current_occurrence(now) {
                let Some(next) = next_phase(window, current, observations) else {
                    break;
                };
                window.progress = Some(Progress::new(
                    current.planned.begin,
                    token,
                    next.phase,
                    now,
                    &next.reason,
                ));
                self.changed.insert(id.clone());
                transitions.push(Transition {
                    window: id.clone(),
                    from: current.phase,
                    to: next.phase,
                    at: now,
                    reason: next.reason,
                    token,
                });
            }
        }
    }

    /// Lets the windows drain whose time has come and that fit the budget.
    fn start_due_windows(
        &mut self,
        token: Token,
        observations: &Observations,
        transitions: &mut Vec<Transition>,
    ) {
        let now = observations.now;
        for (id, progress) in self.decide_due_windows(token, observations) {
            let Some(window) = self.windows.get_mut(&id) else {
                continue;
            };
            let phase = progress.phase;
            let reason = progress.reason.clone();
            window.progress = Some(progress);
            self.changed.insert(id.clone());
            if phase != Phase::Planned {
                transitions.push(Transition {
                    window: id,
                    from: Phase::Planned,
                    to: phase,
                    at: now,
                    reason,
                    token,
                });
            }
        }
    }

    /// The new progress of windows that are due, by id: they drain, or wait for another reason than before.
    fn decide_due_windows(
        &self,
        token: Token,
        observations: &Observations,
    ) -> Vec<(String, Progress)> {
        let now = observations.now;
        let fleet = observations.fleet;
        let due = self.due_windows(now);
        if due.is_empty() {
            return Vec::new(); // summing up the capacity of the whole fleet is not free
        }
        let in_maintenance = self
            .windows
            .values()
            .filter(|window| occupies_backends(window, now, observations.slow_start))
            .flat_map(|window| window.targeted_backends(fleet))
            .collect();
        let mut remaining = RemainingCapacity::new(fleet, self.rules.budget, in_maintenance);
        let mut decisions = Vec::new();
        for due in due {
            let window = due.window;
            let next = match remaining.take(&window.id, window.targeted_backends(fleet)) {
                Ok(()) => NextPhase::new(Phase::Draining, "its lead begins and the budget allows"),
                Err(exceeded) => NextPhase::new(Phase::Planned, exceeded.to_string()),
            };
            let progress = Progress::new(due.occurrence, token, next.phase, now, &next.reason);
            if next.phase == Phase::Draining || shows_new_reason(&due, token, &next.reason, now) {
                decisions.push((window.id.clone(), progress));
            }
        }
        decisions
    }

    /// The windows whose time to drain has come, in the order in which they take from the budget.
    fn due_windows(&self, now: WallTime) -> Vec<DueWindow<'_>> {
        let mut due = Vec::new();
        for window in self.windows.values() {
            if window.cancelled.is_some() {
                continue;
            }
            let Some(current) = window.current_occurrence(now) else {
                continue;
            };
            let begin = window.actual_span(current.planned).begin;
            if current.phase == Phase::Planned && begin - window.lead() <= now {
                due.push(DueWindow {
                    begin,
                    occurrence: current.planned.begin,
                    window,
                });
            }
        }
        due.sort_by_key(DueWindow::order);
        due
    }

    /// A new holder puts its token under all that is under way or due, as it stands. So what an earlier holder decided
    /// and nobody heard of in time loses against it wherever the two meet.
    fn claim_windows(&mut self, now: WallTime, token: Token) {
        for (id, window) in &mut self.windows {
            let Some(current) = window.current_occurrence(now) else {
                continue;
            };
            if !needs_claim(window, current, token, now) {
                continue;
            }
            let occurrence = current.planned.begin;
            let known = window.progress.take();
            window.progress = Some(match known {
                Some(progress) if progress.occurrence == occurrence => {
                    Progress { token, ..progress }
                }
                _ => Progress::new(occurrence, token, Phase::Planned, now, ""),
            });
            self.changed.insert(id.clone());
        }
    }
}

/// Whether an occurrence is under way or due, and does not have the holder's token yet.
fn needs_claim(window: &Window, current: CurrentOccurrence, token: Token, now: WallTime) -> bool {
    let drains_at = window.actual_span(current.planned).begin - window.lead();
    let is_due = window.cancelled.is_none() && drains_at <= now + CLAIM_LOOKAHEAD;
    let is_claimed = window.progress.as_ref().is_some_and(|progress| {
        progress.token == token && progress.occurrence == current.planned.begin
    });
    (current.phase != Phase::Planned || is_due) && !is_claimed
}

/// Whether a window's backends count as missing: it is in effect, or they have just returned and are in slow start,
/// whatever a list of backends that is some moments old says.
fn occupies_backends(window: &Window, now: WallTime, slow_start: Micros) -> bool {
    window
        .progress
        .as_ref()
        .is_some_and(|progress| match progress.phase {
            Phase::Restoring => true,
            Phase::Overrun => now < progress.since + slow_start,
            phase => phase.is_in_effect(),
        })
}

/// Whether the reason why a window waits has to be shown, or refreshed.
fn shows_new_reason(due: &DueWindow, token: Token, reason: &str, now: WallTime) -> bool {
    let shown = due
        .window
        .progress
        .as_ref()
        .filter(|progress| progress.occurrence == due.occurrence && progress.token == token);
    shown.is_none_or(|progress| {
        let is_stale = progress.reason.is_empty() || now >= progress.since + REASON_REFRESH;
        progress.reason != reason && is_stale
    })
}

/// The next phase of a window, if its time has come.
fn next_phase(
    window: &Window,
    current: CurrentOccurrence,
    observations: &Observations,
) -> Option<NextPhase> {
    match current.phase {
        Phase::Planned => after_planned(window, current.planned, observations.now),
        Phase::Draining | Phase::Drained | Phase::Open => {
            after_in_effect(window, current, observations)
        }
        Phase::Restoring => after_restoring(window, observations),
        Phase::Done | Phase::Cancelled | Phase::Overrun | Phase::Refused => None,
    }
}

/// A planned window ends without an effect when it is cancelled or too little time is left. Whether it starts is the
/// budget's matter.
fn after_planned(window: &Window, planned: Span, now: WallTime) -> Option<NextPhase> {
    let progress = window.progress.as_ref();
    if window.cancelled.is_some() {
        let is_known = progress.is_some_and(|progress| progress.phase == Phase::Cancelled);
        return (!is_known).then(|| NextPhase::new(Phase::Cancelled, "called off"));
    }
    if now + window.lead() < window.actual_span(planned).end {
        return None;
    }
    let waited_for = progress
        .filter(|progress| progress.phase == Phase::Planned && !progress.reason.is_empty())
        .map_or("nobody held the duty", |progress| &progress.reason);
    let reason = format!("its time ran out: {waited_for}");
    Some(NextPhase::new(Phase::Refused, reason))
}

fn after_in_effect(
    window: &Window,
    current: CurrentOccurrence,
    observations: &Observations,
) -> Option<NextPhase> {
    let now = observations.now;
    let occurrence = current.planned.begin;
    let span = window.actual_span(current.planned);
    if window.cancelled.is_some() {
        return Some(NextPhase::new(Phase::Restoring, "called off"));
    }
    if window.planned_span(occurrence).is_none() {
        return Some(NextPhase::new(Phase::Restoring, "its content was replaced"));
    }
    match current.phase {
        Phase::Draining | Phase::Drained if now >= span.end => Some(NextPhase::new(
            Phase::Restoring,
            "its end came before it was open",
        )),
        Phase::Draining => after_draining(window, observations),
        Phase::Drained if window.is_started_early(occurrence) => {
            Some(NextPhase::new(Phase::Open, "begun by hand"))
        }
        Phase::Drained if now >= span.begin => Some(NextPhase::new(Phase::Open, "its begin")),
        Phase::Open if now >= span.end => after_open(window, span, observations),
        _ => None,
    }
}

/// Backends are drained once every live proxy reports no open request on them, or when the lead is over.
fn after_draining(window: &Window, observations: &Observations) -> Option<NextPhase> {
    let Observations { now, reports, .. } = *observations;
    let since = window.phase_since(now);
    let backends = window.targeted_backends(observations.fleet);
    let open: u64 = reports
        .values()
        .flat_map(|report| backends.iter().filter_map(|name| report.open.get(*name)))
        .map(|open| u64::from(*open))
        .sum();
    // An older report may come from before its proxy was notified, with a request still to follow.
    let all_notified = reports
        .values()
        .all(|report| now - report.age >= since + MAX_NOTIFICATION_DELAY);
    if open == 0 && all_notified && !reports.is_empty() {
        let reason = format!("no request open at {} proxies", reports.len());
        return Some(NextPhase::new(Phase::Drained, reason));
    }
    if now < since + window.lead() {
        return None;
    }
    let reason = format!("the lead is over, {open} requests open");
    Some(NextPhase::new(Phase::Drained, reason))
}

/// A window closes when its backends are listed as serving again. Whether they are ready cannot be known: nothing is
/// sent to them during the window, so one that was ejected before would never be.
fn after_open(window: &Window, span: Span, observations: &Observations) -> Option<NextPhase> {
    let fleet = observations.fleet;
    let missing: BTreeSet<&str> = window
        .targeted_backends(fleet)
        .into_iter()
        .filter(|name| fleet.get(*name).is_none_or(|backend| !backend.serving))
        .collect();
    let Some(first) = missing.first() else {
        return Some(NextPhase::new(Phase::Restoring, "its end"));
    };
    if observations.now < span.end + window.overrun() {
        return None;
    }
    let count = missing.len();
    let reason = format!("restored with {count} not back, {first} first");
    Some(NextPhase::new(Phase::Overrun, reason))
}

fn after_restoring(window: &Window, observations: &Observations) -> Option<NextPhase> {
    let now = observations.now;
    if now < window.phase_since(now) + observations.slow_start {
        return None;
    }
    Some(if window.cancelled.is_some() {
        NextPhase::new(Phase::Cancelled, "called off")
    } else {
        NextPhase::new(Phase::Done, "the slow start is over")
    })
}
