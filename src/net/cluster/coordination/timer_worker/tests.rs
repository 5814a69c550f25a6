//! Tests of when the request loop has to publish the listed backends, and which decisions wait for them.

use super::super::fleet_view::FleetView;
use super::super::request_loop::{BackendSnapshot, Effect};
use super::*;
use crate::net::host::BackendStatus;
use meadowproxy::fleet::calendar::{Phase, Progress, Spec, Version, WallTime};
use meadowproxy::fleet::lease::Ballot;

const SECOND_US: u64 = 1_000_000;

/// The timer worker of a proxy that has caught up, its demand for snapshots, and the effects for its request loop.
struct TestProxy {
    worker: TimerWorker,
    demand: watch::Receiver<BackendDemand>,
    effects: tokio::sync::mpsc::Receiver<Effect>,
}

impl TestProxy {
    fn new() -> TestProxy {
        let (shared, effects) = SharedState::example();
        shared.maintenance.lock().compared_ranges = None;
        *shared.fleet_view.lock() = FleetView::default();
        let (demand_sender, demand) = watch::channel(BackendDemand::NotNeeded);
        let own_address = SocketAddr::from(([127, 0, 0, 1], 9));
        let worker = TimerWorker::new(
            Arc::new(shared),
            watch::channel(None).1,
            demand_sender,
            own_address,
            false,
        );
        TestProxy {
            worker,
            demand,
            effects,
        }
    }

    fn shared(&self) -> &SharedState {
        &self.worker.shared
    }

    /// Publishes a view taken at `at`, with two backends unless they are not needed.
    fn publish_view(&self, at: Time) {
        let row = |name: &str| BackendStatus {
            name: name.into(),
            zone: "z".into(),
            kind: "k".into(),
            cell: 0,
            listed: true,
            serving: true,
            readiness: 1.0,
            disabled_by_operator: false,
            in_flight: 0,
        };
        let snapshot = BackendSnapshot {
            taken_at: at,
            rows: vec![row("a"), row("b")],
        };
        let snapshot =
            Some(Arc::new(snapshot)).filter(|_| *self.demand.borrow() != BackendDemand::NotNeeded);
        let view = LoopView {
            backends: snapshot,
            open: BTreeMap::new(),
            members: Vec::new(),
            config_version: 0,
            file_version: 0,
        };
        self.shared().fleet_view.lock().update(Arc::new(view));
    }

    /// Adds a window of 60 s with those targets that begins in `begin` seconds.
    fn put_window(&self, id: &str, targets: &str, begin: u64) {
        let at = |secs| WallTime(wall_now().0 + secs * SECOND_US);
        let body = format!(
            r#"{{{targets},"begin":"{}","end":"{}","lead_s":1,"by":"x"}}"#,
            at(begin),
            at(begin + 60)
        );
        let spec = Spec::from_json(body.as_bytes()).unwrap();
        let put = self.shared().maintenance.lock().calendar.put(
            id,
            spec,
            Version {
                called_at: wall_now(),
                incarnation: 1,
            },
            wall_now(),
        );
        put.unwrap();
    }

    /// Receives a holder's heartbeat and, with `phase`, the holder's progress of window "w".
    fn receive_heartbeat(&self, phase: Option<Phase>) {
        let token = Ballot {
            number: 5,
            incarnation: 10,
        };
        let mut outgoing = DutyMessages::new();
        let from = SocketAddr::from(([127, 0, 0, 1], 10));
        self.shared()
            .calendar_lease
            .lock()
            .admit_effect(from, token, true, &mut outgoing)
            .unwrap();
        let Some(phase) = phase else { return };
        let mut maintenance = self.shared().maintenance.lock();
        let mut window = maintenance.calendar.get("w").unwrap().clone();
        let occurrence = match window.spec.value.schedule {
            meadowproxy::fleet::calendar::Schedule::Once(span) => span.begin,
            _ => unreachable!("the window is not recurring"),
        };
        window.progress = Some(Progress {
            occurrence,
            token,
            phase,
            since: wall_now(),
            reason: String::new(),
        });
        maintenance.calendar.merge(&window, wall_now()).unwrap();
    }

    fn demand(&self) -> BackendDemand {
        self.worker.update_demand();
        *self.demand.borrow()
    }

    /// Updates the maintenance, and returns the backends whose maintenance begins (`-`) or ends (`+`).
    fn take_effects(&mut self) -> Vec<(char, String)> {
        self.shared().update_maintenance();
        let signed = |effect| match effect {
            Effect::BeginMaintenance(name) => ('-', name),
            Effect::EndMaintenance(name) => ('+', name),
            _ => unreachable!("expected effects on maintenance only"),
        };
        std::iter::from_fn(|| self.effects.try_recv().ok())
            .map(signed)
            .collect()
    }
}

fn effects(sign: char, names: &[&str]) -> Vec<(char, String)> {
    names.iter().map(|name| (sign, name.to_string())).collect()
}

/// A proxy that receives the holder's heartbeats never needs the backends while none is in maintenance, even if a
/// window is due; an isolated proxy needs them from shortly before a window.
#[test]
fn backends_are_demanded_only_when_needed() {
    let mut proxy = TestProxy::new();
    assert!(
        proxy.demand() == BackendDemand::NotNeeded,
        "isolated, without windows"
    );
    proxy.put_window("v", r#""ids":["b"]"#, 3600);
    assert!(
        proxy.demand() == BackendDemand::NotNeeded,
        "isolated, with a window in an hour"
    );
    proxy.put_window("w", r#""ids":["a"]"#, 3);
    assert!(
        proxy.demand() == BackendDemand::EveryUpdate,
        "isolated, with a window that is due"
    );
    proxy.receive_heartbeat(None);
    assert!(
        proxy.demand() == BackendDemand::NotNeeded,
        "with a holder, which makes the decisions"
    );
    proxy.receive_heartbeat(Some(Phase::Draining));
    assert!(
        proxy.demand() == BackendDemand::NotNeeded,
        "with a window in effect that names its backend"
    );
    assert_eq!(proxy.take_effects(), effects('-', &["a"]));
    assert!(
        proxy.demand() == BackendDemand::NotNeeded,
        "with a window in effect that names its backend"
    );
    proxy.receive_heartbeat(Some(Phase::Done));
    assert!(
        proxy.demand() == BackendDemand::Occasional,
        "with a backend whose maintenance has not ended yet"
    );
    proxy.publish_view(monotonic_now());
    assert_eq!(proxy.take_effects(), effects('+', &["a"]));
    assert!(proxy.demand() == BackendDemand::NotNeeded);
}

/// An isolated proxy bases its decisions only on snapshots taken since decisions depend on them.
#[test]
fn decisions_ignore_earlier_snapshots() {
    let mut proxy = TestProxy::new();
    proxy.put_window("w", r#""ids":["a"]"#, 1);
    let before = monotonic_now();
    assert!(proxy.demand() == BackendDemand::EveryUpdate);
    assert_eq!(proxy.take_effects(), [], "without a snapshot");
    proxy.publish_view(Time(before.0 - 1));
    assert_eq!(proxy.take_effects(), [], "with an earlier snapshot only");
    proxy.publish_view(monotonic_now());
    assert!(proxy.demand() == BackendDemand::EveryUpdate);
    assert_eq!(proxy.take_effects(), effects('-', &["a"]));
}

/// A window that names its backends takes effect without the list of backends; a window of a zone takes effect as soon
/// as the list is published.
#[test]
fn only_windows_of_zones_wait_for_the_list_of_backends() {
    let mut proxy = TestProxy::new();
    proxy.put_window("w", r#""ids":["a"]"#, 3);
    proxy.receive_heartbeat(Some(Phase::Draining));
    assert_eq!(proxy.take_effects(), effects('-', &["a"]));
    let mut proxy = TestProxy::new();
    proxy.put_window("w", r#""zone":"z""#, 3);
    proxy.receive_heartbeat(Some(Phase::Draining));
    assert_eq!(proxy.take_effects(), []);
    assert!(proxy.demand() == BackendDemand::Occasional);
    proxy.publish_view(monotonic_now());
    assert_eq!(proxy.take_effects(), effects('-', &["a", "b"]));
}
