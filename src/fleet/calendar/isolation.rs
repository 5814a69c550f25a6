//! Which backends are in maintenance: the lease holder's decision or, while this proxy is isolated, its own.
//!
//! A proxy that heard of no lease holder for over [`Rules::isolation_timeout`](super::Rules::isolation_timeout) is
//! isolated. It then does for itself what the holder does for all, with the backends that it sees: a window that is due
//! and fits the budget takes effect from its lead on, and each window that is in effect ends at its end, overrun or
//! not. It remembers these decisions, as a budget that is checked again in the middle of a window could bring a backend
//! back into it. A decision is valid until the holder's next one on that window; a proxy that comes to hold the lease
//! itself adopts it.

use super::disruption_budget::{ListedBackends, RemainingCapacity};
use super::due_window::DueWindow;
use super::window::{Phase, Progress, Window};
use super::{Calendar, WallTime};
use crate::fleet::lease::Token;
use crate::Micros;
use std::collections::BTreeSet;

/// What an isolated proxy decided on one occurrence: in maintenance until its end, then back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct IsolatedDecision {
    occurrence: WallTime,
    /// The holder's decision at that time; a different one is newer.
    holder_decision: Option<HolderDecision>,
}

impl IsolatedDecision {
    fn new(window: &Window, occurrence: WallTime) -> IsolatedDecision {
        IsolatedDecision {
            occurrence,
            holder_decision: HolderDecision::of(window),
        }
    }

    fn is_current(&self, window: &Window) -> bool {
        HolderDecision::of(window) == self.holder_decision
    }
}

/// What identifies a decision of the lease holder: its progress without the reason.
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

/// A window that is in effect only because this proxy decided so.
pub(super) struct IsolatedWindow {
    pub(super) id: String,
    pub(super) occurrence: WallTime,
}

impl Calendar {
    /// The backends that get no new requests from this proxy now, because of windows. `since_holder` is how long ago a
    /// lease holder was last heard of, a huge value where none ever was.
    pub fn backends_in_maintenance(
        &mut self,
        now: WallTime,
        since_holder: Micros,
        fleet: &ListedBackends,
    ) -> BTreeSet<String> {
        let windows = &self.windows;
        self.isolated_decisions.retain(|id, decision| {
            windows
                .get(id)
                .is_some_and(|window| decision.is_current(window))
        });
        if since_holder > self.rules.isolation_timeout {
            self.end_isolated(now);
            self.start_isolated(now, fleet);
        }
        self.windows
            .values()
            .filter(|window| self.is_in_effect(window, now))
            .flat_map(|window| window.targeted_backends(fleet))
            .map(String::from)
            .collect()
    }

    /// The windows that are in effect only because this proxy decided so.
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

    fn is_in_effect(&self, window: &Window, now: WallTime) -> bool {
        let Some(decision) = self.isolated_decisions.get(&window.id) else {
            return window.is_in_effect();
        };
        window.cancelled.is_none() && !window.is_over(decision.occurrence, now)
    }

    /// Ends windows that the holder put into effect: at their end, or once a cancellation has reached this replica.
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

    /// Puts windows into effect that are due and fit the budget, in the order of begin and id.
    fn start_isolated(&mut self, now: WallTime, fleet: &ListedBackends) {
        let mut due: Vec<DueWindow> = self
            .windows
            .values()
            .filter(|window| window.cancelled.is_none() && !self.is_in_effect(window, now))
            .filter_map(|window| due_in_isolation(window, now))
            .collect();
        if due.is_empty() {
            return; // summing up the capacity of the whole fleet is not free
        }
        due.sort_by_key(DueWindow::order);
        let in_maintenance = self
            .windows
            .values()
            .filter(|window| self.is_in_effect(window, now))
            .flat_map(|window| window.targeted_backends(fleet))
            .collect();
        let mut remaining = RemainingCapacity::new(fleet, self.rules.budget, in_maintenance);
        let mut started = Vec::new();
        for DueWindow {
            occurrence, window, ..
        } in due
        {
            let backends = window.targeted_backends(fleet);
            if remaining.take(&window.id, backends).is_ok() {
                let decision = IsolatedDecision::new(window, occurrence);
                started.push((window.id.clone(), decision));
            }
        }
        self.isolated_decisions.extend(started);
    }
}

/// The next occurrence of a window, where it is due and the holder did not start it yet.
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
