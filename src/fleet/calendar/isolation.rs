//! Determines which backends are in maintenance: by the lease holder's decisions or, while this proxy is isolated, by
//! its own.
//!
//! A proxy that has heard of no lease holder for longer than
//! [`Rules::isolation_timeout`](super::Rules::isolation_timeout) is isolated. It then decides for itself, based on the
//! backends that it knows: a window that is due and fits the budget takes effect when its lead begins, and each window
//! in effect ends at its end, whatever its overrun. The proxy stores these decisions, because checking the budget again
//! during a window could return a backend to service too early. A decision is valid until the lease holder's next
//! decision on the window; a proxy that becomes the lease holder adopts its own decisions.

use super::disruption_budget::{ListedBackends, RemainingCapacity};
use super::due_window::DueWindow;
use super::window::{Phase, Progress, Window};
use super::{Calendar, WallTime};
use crate::fleet::lease::Token;
use crate::Micros;
use std::collections::BTreeSet;

/// The decision of an isolated proxy on one occurrence: its backends are in maintenance until it ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct IsolatedDecision {
    /// The occurrence, by its planned begin.
    occurrence: WallTime,
    /// The lease holder's decision at that time. If the window has a different one now, that is newer.
    holder_decision: Option<HolderDecision>,
}

impl IsolatedDecision {
    fn new(window: &Window, occurrence: WallTime) -> IsolatedDecision {
        IsolatedDecision {
            occurrence,
            holder_decision: HolderDecision::of(window),
        }
    }

    /// Whether the lease holder has not decided on the window since.
    fn is_current(&self, window: &Window) -> bool {
        HolderDecision::of(window) == self.holder_decision
    }
}

/// The identity of a decision of the lease holder: the window's progress without the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct HolderDecision {
    occurrence: WallTime,
    token: Token,
    phase: Phase,
    since: WallTime,
}

impl HolderDecision {
    fn of(window: &Window) -> Option<HolderDecision> {
        let Progress {
            occurrence,
            token,
            phase,
            since,
            ..
        } = *window.progress.as_ref()?;
        Some(HolderDecision {
            occurrence,
            token,
            phase,
            since,
        })
    }
}

/// A window that is in effect only by this proxy's own decision.
pub(super) struct IsolatedWindow {
    pub(super) id: String,
    pub(super) occurrence: WallTime,
}

impl Calendar {
    /// The backends that get no new requests from this proxy now because of windows. `since_holder` is the time since
    /// this proxy last heard of a lease holder, a very large value if it never did.
    pub fn backends_in_maintenance(
        &mut self,
        now: WallTime,
        since_holder: Micros,
        listed: &ListedBackends,
    ) -> BTreeSet<String> {
        let windows = &self.windows;
        self.isolated_decisions.retain(|id, decision| {
            windows
                .get(id)
                .is_some_and(|window| decision.is_current(window))
        });
        if since_holder > self.rules.isolation_timeout {
            self.end_isolated(now);
            self.start_isolated(now, listed);
        }
        self.windows
            .values()
            .filter(|window| self.is_in_effect(window, now))
            .flat_map(|window| window.targeted_backends(listed))
            .map(String::from)
            .collect()
    }

    /// The windows that are in effect only by this proxy's own decision.
    pub(super) fn in_effect_by_isolation(&self, now: WallTime) -> Vec<IsolatedWindow> {
        let mut in_effect = Vec::new();
        for (id, decision) in &self.isolated_decisions {
            let Some(window) = self.windows.get(id) else {
                continue;
            };
            let by_isolation = decision.is_current(window) && !window.is_in_effect();
            if by_isolation && self.is_in_effect(window, now) {
                in_effect.push(IsolatedWindow {
                    id: id.clone(),
                    occurrence: decision.occurrence,
                });
            }
        }
        in_effect
    }

    /// Whether a window is in effect at this proxy. Its own decision, if there is one, overrides the lease holder's.
    fn is_in_effect(&self, window: &Window, now: WallTime) -> bool {
        let Some(decision) = self.isolated_decisions.get(&window.id) else {
            return window.is_in_effect();
        };
        window.cancelled.is_none() && !window.is_over(decision.occurrence, now)
    }

    /// Ends windows that the lease holder put into effect: at their end, or when this replica has received a
    /// cancellation.
    fn end_isolated(&mut self, now: WallTime) {
        for window in self.windows.values() {
            let Some(progress) = &window.progress else {
                continue;
            };
            if !progress.phase.is_in_effect() || self.isolated_decisions.contains_key(&window.id) {
                continue;
            }
            if window.is_over(progress.occurrence, now) || window.cancelled.is_some() {
                let decision = IsolatedDecision::new(window, progress.occurrence);
                self.isolated_decisions.insert(window.id.clone(), decision);
            }
        }
    }

    /// Puts the windows into effect that are due and fit the budget, in the order of begin and id.
    fn start_isolated(&mut self, now: WallTime, listed: &ListedBackends) {
        let mut due: Vec<DueWindow> = self
            .windows
            .values()
            .filter(|window| window.cancelled.is_none() && !self.is_in_effect(window, now))
            .filter_map(|window| due_in_isolation(window, now))
            .collect();
        if due.is_empty() {
            return; // avoids summing up the capacity of all backends, which is expensive
        }
        due.sort_by_key(DueWindow::order);
        let in_maintenance = self
            .windows
            .values()
            .filter(|window| self.is_in_effect(window, now))
            .flat_map(|window| window.targeted_backends(listed))
            .collect();
        let mut remaining = RemainingCapacity::new(listed, self.rules.budget, in_maintenance);
        let mut started = Vec::new();
        for DueWindow {
            occurrence, window, ..
        } in due
        {
            let backends = window.targeted_backends(listed);
            if remaining.take(&window.id, backends).is_ok() {
                let decision = IsolatedDecision::new(window, occurrence);
                started.push((window.id.clone(), decision));
            }
        }
        self.isolated_decisions.extend(started);
    }
}

/// The next occurrence of a window, if it is due and the lease holder did not start it yet.
fn due_in_isolation(window: &Window, now: WallTime) -> Option<DueWindow<'_>> {
    let planned = window.next_planned(now)?;
    let span = window.actual_span(planned);
    let started = window.progress.as_ref().is_some_and(|progress| {
        progress.occurrence == planned.begin && progress.phase != Phase::Planned
    });
    let is_due = span.begin - window.lead() <= now && now + window.lead() < span.end;
    (is_due && !started).then_some(DueWindow {
        begin: span.begin,
        occurrence: planned.begin,
        window,
    })
}
