//! The lease holder's transitions of windows through their phases.
//!
//! A window is maintenance of backends that an operator planned; it occurs once or repeatedly. Each occurrence goes
//! through the phases [`Planned`](Phase::Planned), [`Draining`](Phase::Draining), [`Drained`](Phase::Drained),
//! [`Open`](Phase::Open), [`Restoring`](Phase::Restoring) and [`Done`](Phase::Done), or ends in another final phase.
//!
//! - The lease holder is the one proxy that decides on transitions. Its fencing token is part of each decision.
//! - An occurrence is identified by its planned begin. Its planned span is the one in the window's content; its actual
//!   span also takes an early start and an extension into account.
//! - The lead is the time before the actual begin at which the backends start to drain. A planned occurrence is due
//!   when its lead has begun, and in progress from the phase `Draining` to `Restoring`.
//! - The overrun is the maximum time that an open window waits after its end for its backends to serve again. If that
//!   was not enough, the occurrence ends in the phase [`Overrun`](Phase::Overrun).
//! - Listed backends are those in discovery's list. A backend's readiness is the usable share of its capacity: 0 when
//!   ejected, below 1 in slow start.
//! - A proxy that hears of no lease holder is isolated, and starts windows by its own decision.

use super::disruption_budget::{ListedBackends, RemainingCapacity};
use super::due_window::DueWindow;
use super::isolation::IsolatedWindow;
use super::spec::Span;
use super::window::{CurrentOccurrence, Phase, Progress, Window};
use super::{Calendar, WallTime};
use crate::fleet::lease::Token;
use crate::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// The maximum time until a live proxy has acted on the lease holder's decision. After this time it sends no new
/// requests to a draining backend, so the number of open requests that it reports for it can only fall.
pub const MAX_NOTIFICATION_DELAY: Micros = Micros(2_000_000);
/// A new lease holder claims windows that start to drain within this time. A former holder whose clock is ahead may
/// have started these already; the clocks of two proxies differ by less than this.
pub(super) const CLAIM_LOOKAHEAD: Micros = Micros(5_000_000);
/// The minimum time between two updates of the reason why a window waits. The reason contains figures that may change
/// at every call, and each update is sent to all proxies.
const REASON_REFRESH: Micros = Micros(5_000_000);

/// A live proxy's report of its open requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OpenRequestReport {
    /// The time since the report; since its oldest number if they were reported at different times.
    pub age: Micros,
    /// The number of open requests by backend; a backend that is missing has none. For a backend whose number is
    /// not known the caller inserts 1, so that it does not count as drained.
    pub open: BTreeMap<String, u32>,
}

/// The last report of each live proxy, including the lease holder itself, by a key of the caller's choice.
pub type OpenRequestReports = BTreeMap<u64, OpenRequestReport>;

/// A phase change of a window, for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transition {
    /// The window's id.
    pub window: String,
    /// The previous phase.
    pub from: Phase,
    /// The new phase.
    pub to: Phase,
    /// The time of the change.
    pub at: WallTime,
    /// The reason, for operators.
    pub reason: String,
    /// The lease holder's token.
    pub token: Token,
}

/// The phase that a window enters next, and the reason.
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

/// The observations that transitions are decided on.
struct Observations<'a> {
    now: WallTime,
    slow_start: Micros,
    listed: &'a ListedBackends,
    reports: &'a OpenRequestReports,
}

impl Calendar {
    /// Performs all transitions that are due, and returns them. To be called a few times per second by the current
    /// lease holder only, with a clock that is not set back in between. If any window has a higher token, nothing
    /// happens. All changed windows, also those without a transition, are returned by the next
    /// [`take_changed`](Calendar::take_changed).
    pub fn advance(
        &mut self,
        now: WallTime,
        token: Token,
        listed: &ListedBackends,
        reports: &OpenRequestReports,
    ) -> Vec<Transition> {
        if token < self.highest_token() {
            return Vec::new();
        }
        let observations = Observations {
            now,
            slow_start: self.rules.slow_start,
            listed,
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

    /// Continues windows that this proxy started while it was isolated, now under its token as the lease holder. They
    /// are not ended before their time, however little is left and whatever the budget allows now, because they are in
    /// effect already at this proxy, and probably at other isolated ones.
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

    /// Performs all transitions that do not depend on the budget; a window may go through several phases at once.
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

    /// Starts draining the windows that are due and fit the budget.
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

    /// The new progress of windows that are due, by id. They start to drain if they fit the budget; otherwise they stay
    /// planned, with the reason why they wait. Windows whose stored reason needs no update are left out.
    fn decide_due_windows(
        &self,
        token: Token,
        observations: &Observations,
    ) -> Vec<(String, Progress)> {
        let now = observations.now;
        let listed = observations.listed;
        let due = self.due_windows(now);
        if due.is_empty() {
            return Vec::new(); // avoids summing up the capacity of all backends, which is expensive
        }
        let in_maintenance = self
            .windows
            .values()
            .filter(|window| occupies_backends(window, now, observations.slow_start))
            .flat_map(|window| window.targeted_backends(listed))
            .collect();
        let mut remaining = RemainingCapacity::new(listed, self.rules.budget, in_maintenance);
        let mut decisions = Vec::new();
        for due in due {
            let window = due.window;
            let next = match remaining.take(&window.id, window.targeted_backends(listed)) {
                Ok(()) => NextPhase::new(Phase::Draining, "its lead begins and the budget allows"),
                Err(exceeded) => NextPhase::new(Phase::Planned, exceeded.to_string()),
            };
            let progress = Progress::new(due.occurrence, token, next.phase, now, &next.reason);
            if next.phase == Phase::Draining || needs_reason_update(&due, token, &next.reason, now)
            {
                decisions.push((window.id.clone(), progress));
            }
        }
        decisions
    }

    /// The planned windows whose lead has begun, in the order in which they take from the budget.
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

    /// Sets a new lease holder's token on all windows that are in progress, or due within [`CLAIM_LOOKAHEAD`], without
    /// changing their phase. A decision of a former holder that arrives late then has a lower token, and is discarded
    /// by every merge. A claim without an earlier decision has an empty reason.
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

/// Whether an occurrence is in progress, or due within [`CLAIM_LOOKAHEAD`], and does not have the lease holder's token
/// yet.
fn needs_claim(window: &Window, current: CurrentOccurrence, token: Token, now: WallTime) -> bool {
    let drains_at = window.actual_span(current.planned).begin - window.lead();
    let is_due_soon = window.cancelled.is_none() && drains_at <= now + CLAIM_LOOKAHEAD;
    let is_claimed = window.progress.as_ref().is_some_and(|progress| {
        progress.token == token && progress.occurrence == current.planned.begin
    });
    (current.phase != Phase::Planned || is_due_soon) && !is_claimed
}

/// Whether a window's backends count as unavailable: the window is in effect, or its backends get requests again and
/// are in slow start, which the list of backends may be too old to show. After an overrun the slow start begins without
/// the phase [`Phase::Restoring`].
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

/// Whether the reason why a window waits has to be stored: if this lease holder stored no decision on the occurrence
/// yet, or a different reason that is empty (a claim) or older than [`REASON_REFRESH`].
fn needs_reason_update(due: &DueWindow, token: Token, reason: &str, now: WallTime) -> bool {
    let stored = due
        .window
        .progress
        .as_ref()
        .filter(|progress| progress.occurrence == due.occurrence && progress.token == token);
    stored.is_none_or(|progress| {
        let is_stale = progress.reason.is_empty() || now >= progress.since + REASON_REFRESH;
        progress.reason != reason && is_stale
    })
}

/// The next phase of a window, if the transition is due.
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

/// A planned window ends without taking effect when it is cancelled or too little time is left. Its start depends on
/// the budget and is decided in `start_due_windows`.
fn after_planned(window: &Window, planned: Span, now: WallTime) -> Option<NextPhase> {
    let progress = window.progress.as_ref();
    if window.cancelled.is_some() {
        let is_recorded = progress.is_some_and(|progress| progress.phase == Phase::Cancelled);
        return (!is_recorded).then(|| NextPhase::new(Phase::Cancelled, "called off"));
    }
    if now + window.lead() < window.actual_span(planned).end {
        return None;
    }
    let wait_reason = progress
        .filter(|progress| progress.phase == Phase::Planned && !progress.reason.is_empty())
        .map_or("nobody held the duty", |progress| &progress.reason);
    let reason = format!("its time ran out: {wait_reason}");
    Some(NextPhase::new(Phase::Refused, reason))
}

/// A window that is in effect is restored at once when it is cancelled or its new content lacks the occurrence.
/// Otherwise it is drained, opened at its begin, and restored after its end.
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

/// Backends are drained when every live proxy reports no open requests on them, or when the lead is over, counted from
/// the begin of the phase [`Phase::Draining`].
fn after_draining(window: &Window, observations: &Observations) -> Option<NextPhase> {
    let Observations { now, reports, .. } = *observations;
    let draining_since = window.phase_since(now);
    let backends = window.targeted_backends(observations.listed);
    let open: u64 = reports
        .values()
        .flat_map(|report| backends.iter().filter_map(|name| report.open.get(*name)))
        .map(|open| u64::from(*open))
        .sum();
    // An older report may date from before its proxy was notified, and the proxy may have sent requests after it.
    let all_notified = reports
        .values()
        .all(|report| now - report.age >= draining_since + MAX_NOTIFICATION_DELAY);
    if open == 0 && all_notified && !reports.is_empty() {
        let reason = format!("no request open at {} proxies", reports.len());
        return Some(NextPhase::new(Phase::Drained, reason));
    }
    if now < draining_since + window.lead() {
        return None;
    }
    let reason = format!("the lead is over, {open} requests open");
    Some(NextPhase::new(Phase::Drained, reason))
}

/// A window whose end has come is restored when its backends are listed as serving again. After the time allowed for
/// its overrun it ends in the phase [`Phase::Overrun`]. Readiness of the backends is not required: no requests are sent
/// to them during the window, so a backend that was ejected before could not become ready.
fn after_open(window: &Window, span: Span, observations: &Observations) -> Option<NextPhase> {
    let listed = observations.listed;
    let not_serving: BTreeSet<&str> = window
        .targeted_backends(listed)
        .into_iter()
        .filter(|name| listed.get(*name).is_none_or(|backend| !backend.serving))
        .collect();
    let Some(first) = not_serving.first() else {
        return Some(NextPhase::new(Phase::Restoring, "its end"));
    };
    if observations.now < span.end + window.overrun() {
        return None;
    }
    let count = not_serving.len();
    let reason = format!("restored with {count} not back, {first} first");
    Some(NextPhase::new(Phase::Overrun, reason))
}

/// A window is over when the slow start of its backends is over.
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
