//! The backends and members as this proxy sees them, and the open requests that members report.

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

/// A member's count of open requests is valid for so long.
const REPORT_LIFETIME: Micros = Micros(2_500_000);

/// A member's count of open requests at one backend.
#[derive(Clone, Copy)]
struct ReportedCount {
    open: u32,
    reported_at: Time,
}

/// The fleet as it follows from one snapshot, and from which backends are in maintenance.
struct DerivedBackends {
    snapshot: Arc<BackendSnapshot>,
    in_maintenance: BTreeSet<String>,
    fleet: Arc<ListedBackends>,
}

/// What this proxy sees of backends and members.
#[derive(Default)]
pub struct FleetView {
    /// What the request loop showed last; `None` until it did.
    pub seen: Option<Arc<LoopView>>,
    /// Since when decisions depend on the backends: earlier snapshots do not count.
    pub deciding_since: Option<Time>,
    derived: Option<DerivedBackends>,
    /// Open requests at backends in maintenance, by the member that reported them.
    reports: BTreeMap<SocketAddr, BTreeMap<String, ReportedCount>>,
}

impl FleetView {
    /// At the start any snapshot is new enough.
    pub fn at_start() -> FleetView {
        FleetView {
            deciding_since: Some(Time(0)),
            ..FleetView::default()
        }
    }

    pub fn members(&self) -> Vec<SocketAddr> {
        self.seen
            .as_ref()
            .map(|seen| seen.members.clone())
            .unwrap_or_default()
    }

    /// Takes what the request loop shows.
    pub fn update(&mut self, seen: Arc<LoopView>) {
        if seen.backends.is_none() {
            self.derived = None;
        }
        self.seen = Some(seen);
    }

    /// The listed backends, where they are shown; with `for_decision` only from a snapshot since decisions depend on
    /// them. The readiness of one that is in maintenance is not known: it counts as ready.
    pub fn fleet(
        &mut self,
        in_maintenance: &BTreeSet<String>,
        for_decision: bool,
    ) -> Option<Arc<ListedBackends>> {
        let snapshot = self.seen.as_ref()?.backends.as_ref()?;
        if for_decision
            && self
                .deciding_since
                .is_none_or(|since| snapshot.taken_at < since)
        {
            return None;
        }
        if let Some(derived) = &self.derived {
            if Arc::ptr_eq(&derived.snapshot, snapshot) && derived.in_maintenance == *in_maintenance
            {
                return Some(derived.fleet.clone());
            }
        }
        let fleet: ListedBackends = snapshot
            .rows
            .iter()
            .filter(|row| row.listed)
            .map(|row| (row.name.clone(), backend(row, in_maintenance)))
            .collect();
        let fleet = Arc::new(fleet);
        self.derived = Some(DerivedBackends {
            snapshot: snapshot.clone(),
            in_maintenance: in_maintenance.clone(),
            fleet: fleet.clone(),
        });
        Some(fleet)
    }

    /// Open requests at the backends in maintenance, as all live members and this proxy report them. Where one did not
    /// report, a request counts as open at each.
    pub fn open_requests(
        &self,
        own: SocketAddr,
        in_maintenance: &BTreeSet<String>,
    ) -> OpenRequestReports {
        let now = monotonic_now();
        self.members()
            .into_iter()
            .chain([own])
            .enumerate()
            .map(|(place, member)| {
                let report = self.member_report(member, in_maintenance, now);
                (place as u64, report)
            })
            .collect()
    }

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

    /// Takes a report, with the time at which it came.
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

fn backend(row: &BackendStatus, in_maintenance: &BTreeSet<String>) -> BackendCapacity {
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
