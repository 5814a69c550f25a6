//! The backends and members known to this proxy, and the counts of open requests that members report.

use super::clocks::monotonic_now;
use super::message::OpenRequestCount;
use super::request_loop::{BackendSnapshot, LoopView};
use crate::net::host::BackendStatus;
use meadowproxy::fleet::calendar::{
    BackendCapacity, ListedBackends, OpenRequestReport, OpenRequestReports,
};
use meadowproxy::{Micros, Time};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// How long a member's count of open requests is valid.
const REPORT_LIFETIME: Micros = Micros(2_500_000);

/// One member's count of open requests at one backend.
#[derive(Clone, Copy)]
struct ReportedCount {
    open: u32,
    reported_at: Time,
}

/// The listed backends, computed from a snapshot and the set of backends in maintenance.
struct CachedBackends {
    snapshot: Arc<BackendSnapshot>,
    in_maintenance: BTreeSet<String>,
    backends: Arc<ListedBackends>,
}

/// This proxy's view of the backends and the fleet's members.
#[derive(Default)]
pub struct FleetView {
    /// The view that the request loop published last; `None` before the first one.
    pub loop_view: Option<Arc<LoopView>>,
    /// When decisions began to depend on the backends; `None` while none does. Earlier snapshots are not used for them.
    pub decisions_since: Option<Time>,
    /// The listed backends as computed last, reused while snapshot and maintenance stay the same.
    cached: Option<CachedBackends>,
    /// Open requests at backends in maintenance, by the reporting member and the backend's name.
    reports: BTreeMap<SocketAddr, BTreeMap<String, ReportedCount>>,
}

impl FleetView {
    /// Creates the view of a proxy that starts, for which any snapshot is new enough.
    pub fn at_start() -> FleetView {
        FleetView {
            decisions_since: Some(Time(0)),
            ..FleetView::default()
        }
    }

    /// Returns the live members other than this proxy.
    pub fn members(&self) -> Vec<SocketAddr> {
        self.loop_view
            .as_ref()
            .map(|loop_view| loop_view.members.clone())
            .unwrap_or_default()
    }

    /// Stores a view published by the request loop.
    pub fn update(&mut self, loop_view: Arc<LoopView>) {
        if loop_view.backends.is_none() {
            self.cached = None;
        }
        self.loop_view = Some(loop_view);
    }

    /// Returns the listed backends, if the request loop publishes them; with `for_decision`, only from a snapshot taken
    /// since decisions depend on them. A backend in maintenance counts as ready, as its readiness is not known.
    pub fn listed_backends(
        &mut self,
        in_maintenance: &BTreeSet<String>,
        for_decision: bool,
    ) -> Option<Arc<ListedBackends>> {
        let snapshot = self.loop_view.as_ref()?.backends.as_ref()?;
        if for_decision
            && self
                .decisions_since
                .is_none_or(|since| snapshot.taken_at < since)
        {
            return None;
        }
        if let Some(cached) = &self.cached {
            if Arc::ptr_eq(&cached.snapshot, snapshot) && cached.in_maintenance == *in_maintenance {
                return Some(cached.backends.clone());
            }
        }
        let backends: ListedBackends = snapshot
            .rows
            .iter()
            .filter(|row| row.listed)
            .map(|row| (row.name.clone(), backend_capacity(row, in_maintenance)))
            .collect();
        let backends = Arc::new(backends);
        self.cached = Some(CachedBackends {
            snapshot: snapshot.clone(),
            in_maintenance: in_maintenance.clone(),
            backends: backends.clone(),
        });
        Some(backends)
    }

    /// Returns the open requests at the backends in maintenance, as reported by all live members and this proxy. A
    /// backend without a valid count from a member is assumed to have one open request there.
    pub fn open_requests(
        &self,
        own_address: SocketAddr,
        in_maintenance: &BTreeSet<String>,
    ) -> OpenRequestReports {
        let now = monotonic_now();
        self.members()
            .into_iter()
            .chain([own_address])
            .enumerate()
            .map(|(index, member)| {
                let report = self.member_report(member, in_maintenance, now);
                (index as u64, report)
            })
            .collect()
    }

    /// Returns one member's open requests at the backends in maintenance, and the age of its oldest count.
    fn member_report(
        &self,
        member: SocketAddr,
        in_maintenance: &BTreeSet<String>,
        now: Time,
    ) -> OpenRequestReport {
        let counts = self.reports.get(&member);
        let mut report = OpenRequestReport::default();
        for name in in_maintenance {
            let count = counts
                .and_then(|counts| counts.get(name))
                .filter(|count| now - count.reported_at < REPORT_LIFETIME);
            let open = count.map_or(1, |count| count.open);
            report.open.insert(name.clone(), open);
            if let Some(count) = count {
                report.age = report.age.max(now - count.reported_at);
            }
        }
        report
    }

    /// Records a member's report as received now, with counts for at most `max_backends` backends.
    pub fn record_report(
        &mut self,
        from: SocketAddr,
        open: Vec<OpenRequestCount>,
        max_backends: usize,
    ) {
        let now = monotonic_now();
        let counts = self.reports.entry(from).or_default();
        counts.retain(|_, count| now - count.reported_at < REPORT_LIFETIME);
        for OpenRequestCount { backend, open } in open {
            if counts.len() < max_backends || counts.contains_key(&backend) {
                let count = ReportedCount {
                    open,
                    reported_at: now,
                };
                counts.insert(backend, count);
            }
        }
    }
}

/// Converts a backend's status for the calendar.
fn backend_capacity(row: &BackendStatus, in_maintenance: &BTreeSet<String>) -> BackendCapacity {
    let readiness = if in_maintenance.contains(&row.name) {
        1.0
    } else {
        row.readiness
    };
    BackendCapacity {
        zone: row.zone.clone(),
        kind: row.kind.clone(),
        cell: row.cell,
        serving: row.serving,
        readiness,
        disabled: row.disabled_by_operator,
        capacity: 1.0,
    }
}
