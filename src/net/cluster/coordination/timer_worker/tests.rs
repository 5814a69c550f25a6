//! Schedule the listed backends are asked of the request loop, and what waits for them.

use super::super::request_loop::{BackendSnapshot, Effect};
use super::super::roster::Roster;
use super::*;
use crate::net::host::RosterRow;
use meadowproxy::fleet::calendar::{Phase, Progress, Spec, Version, WallTime};
use meadowproxy::fleet::lease::Ballot;

const S: u64 = 1_000_000;

/// A proxy that takes part, its clock, what the request loop is asked to show, and what it is asked to do.
struct One {
    worker: TimerWorker,
    need: watch::Receiver<BackendDemand>,
    told: tokio::sync::mpsc::Receiver<Effect>,
}

impl One {
    fn new() -> One {
        let (tables, told) = Tables::example();
        tables.calendar.lock().compared_ranges = None;
        *tables.roster.lock() = Roster::default();
        let (ask, need) = watch::channel(BackendDemand::Nothing);
        let own = SocketAddr::from(([127, 0, 0, 1], 9));
        let worker = TimerWorker::new(Arc::new(tables), watch::channel(None).1, ask, own, false);
        One { worker, need, told }
    }

    fn tables(&self) -> &Tables {
        &self.worker.tables
    }

    /// Whatever is asked for is shown, as it is at that time.
    fn show(&self, at: Time) {
        let row = |name: &str| RosterRow {
            name: name.into(),
            zone: "z".into(),
            kind: "k".into(),
            cell: 0,
            listed: true,
            serving: true,
            ready: 1.0,
            by_hand: false,
            open: 0,
        };
        let rows = BackendSnapshot {
            taken_at: at,
            rows: vec![row("a"), row("b")],
        };
        let rows = Some(Arc::new(rows)).filter(|_| *self.need.borrow() != BackendDemand::Nothing);
        let seen = LoopSnapshot {
            backends: rows,
            open: BTreeMap::new(),
            members: Vec::new(),
            config: 0,
            file: 0,
        };
        self.tables().roster.lock().update(Arc::new(seen));
    }

    /// A window that takes one or all, and begins in so many seconds.
    fn put(&self, id: &str, targets: &str, begin: u64) {
        let at = |secs| WallTime(wall().0 + secs * S);
        let body = format!(
            r#"{{{targets},"begin":"{}","end":"{}","lead_s":1,"by":"x"}}"#,
            at(begin),
            at(begin + 60)
        );
        let spec = Spec::from_json(body.as_bytes()).unwrap();
        let put = self.tables().calendar.lock().calendar.put(
            id,
            spec,
            Version {
                called_at: wall(),
                incarnation: 1,
            },
            wall(),
        );
        put.unwrap();
    }

    /// A holder's word came just now; with `step` one on the window as well.
    fn hear(&self, step: Option<Phase>) {
        let token = Ballot {
            number: 5,
            incarnation: 10,
        };
        let mut mail = Outgoing::new();
        let from = SocketAddr::from(([127, 0, 0, 1], 10));
        self.tables()
            .leases
            .lock()
            .admit_effect(from, token, true, &mut mail)
            .unwrap();
        let Some(step) = step else { return };
        let mut windows = self.tables().calendar.lock();
        let mut entry = windows.calendar.get("w").unwrap().clone();
        let occurrence = match entry.spec.value.schedule {
            meadowproxy::fleet::calendar::Schedule::Once(span) => span.begin,
            _ => unreachable!("it comes once"),
        };
        entry.progress = Some(Progress {
            occurrence,
            token,
            phase: step,
            since: wall(),
            reason: String::new(),
        });
        windows.calendar.merge(&entry, wall()).unwrap();
    }

    fn needs(&self) -> BackendDemand {
        self.worker.update_demand();
        *self.need.borrow()
    }

    /// What the request loop is asked to take out, and to take back.
    fn moved(&mut self) -> Vec<(char, String)> {
        self.tables().update_maintenance();
        let of = |effect| match effect {
            Effect::BeginMaintenance(name) => ('-', name),
            Effect::EndMaintenance(name) => ('+', name),
            _ => unreachable!("nothing else is asked here"),
        };
        std::iter::from_fn(|| self.told.try_recv().ok())
            .map(of)
            .collect()
    }
}

fn moves(way: char, names: &[&str]) -> Vec<(char, String)> {
    names.iter().map(|name| (way, name.to_string())).collect()
}

/// A proxy that hears its holder never asks for the backends while nothing is out, whatever is due; one that is cut off does from
/// shortly before a window.
#[test]
fn only_who_needs_the_backends_asks_for_them() {
    let mut one = One::new();
    assert!(
        one.needs() == BackendDemand::Nothing,
        "cut off, without windows"
    );
    one.put("v", r#""ids":["b"]"#, 3600);
    assert!(
        one.needs() == BackendDemand::Nothing,
        "cut off, with a window in an hour"
    );
    one.put("w", r#""ids":["a"]"#, 3);
    assert!(
        one.needs() == BackendDemand::EachTime,
        "cut off, with one that is due"
    );
    one.hear(None);
    assert!(one.needs() == BackendDemand::Nothing, "the holder decides");
    one.hear(Some(Phase::Draining));
    assert!(one.needs() == BackendDemand::Nothing, "the window names it");
    assert_eq!(one.moved(), moves('-', &["a"]));
    assert!(one.needs() == BackendDemand::Nothing, "the window names it");
    one.hear(Some(Phase::Done));
    assert!(
        one.needs() == BackendDemand::Occasional,
        "it is not back yet"
    );
    one.show(mono());
    assert_eq!(one.moved(), moves('+', &["a"]));
    assert!(one.needs() == BackendDemand::Nothing);
}

/// Who is cut off decides by what was shown since, and not by what it had been shown before.
#[test]
fn what_was_shown_before_decides_nothing() {
    let mut one = One::new();
    one.put("w", r#""ids":["a"]"#, 1);
    let before = mono();
    assert!(one.needs() == BackendDemand::EachTime);
    assert_eq!(one.moved(), [], "without any");
    one.show(Time(before.0 - 1));
    assert_eq!(one.moved(), [], "by what was shown before");
    one.show(mono());
    assert!(one.needs() == BackendDemand::EachTime);
    assert_eq!(one.moved(), moves('-', &["a"]));
}

/// A window that names its backends goes out before any backend is shown; a zone's as soon as they are.
#[test]
fn the_holders_word_waits_for_no_more_than_it_names() {
    let mut one = One::new();
    one.put("w", r#""ids":["a"]"#, 3);
    one.hear(Some(Phase::Draining));
    assert_eq!(one.moved(), moves('-', &["a"]));
    let mut one = One::new();
    one.put("w", r#""zone":"z""#, 3);
    one.hear(Some(Phase::Draining));
    assert_eq!(one.moved(), []);
    assert!(one.needs() == BackendDemand::Occasional);
    one.show(mono());
    assert_eq!(one.moved(), moves('-', &["a", "b"]));
}
