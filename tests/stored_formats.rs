//! Checks formats that proxies of different versions exchange and texts that operators' tools read: what the program
//! writes has to equal the recorded fixtures.

#[path = "fixtures/mod.rs"]
mod fixtures;

use fixtures::{assert_bytes, assert_lines, assert_text};
use meadowproxy::fleet::calendar::{
    Calendar, CallError, CallOutcome, DisruptionBudget, OccurrenceChange, Phase, Progress, Rules,
    Schedule, Span, Spec, Targets, Version, Versioned, WallTime, Window,
};
use meadowproxy::fleet::lease::Ballot;
use meadowproxy::fleet::relay::{BroadcastHeader, Forward, HashRange, Relay};
use meadowproxy::Micros;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

/// 2025-12-03T08:00:00Z.
const NOW: WallTime = WallTime(1_764_748_800_000_000);

/// The time `seconds` after [`NOW`].
fn at(seconds: u64) -> WallTime {
    NOW + Micros(seconds * 1_000_000)
}

/// The version of a call made one second after [`NOW`].
fn version(incarnation: u64) -> Version {
    Version {
        called_at: at(1),
        incarnation,
    }
}

fn once() -> Schedule {
    Schedule::Once(Span {
        begin: at(600),
        end: at(4200),
    })
}

fn recurring() -> Schedule {
    Schedule::Recurring {
        weekdays: 0b001_0011,
        minute_of_day: 150,
        time_zone: "Africa/Lagos".into(),
        duration_s: 3600,
    }
}

/// The name of a variant. The match makes the compiler point here when a variant is added; add one to [`windows`] too.
fn targets_name(targets: &Targets) -> &'static str {
    match targets {
        Targets::Ids(_) => "ids",
        Targets::Zone(_) => "zone",
        Targets::Kind(_) => "kind",
        Targets::Cell(_) => "cell",
    }
}

fn schedule_name(schedule: &Schedule) -> &'static str {
    match schedule {
        Schedule::Once(_) => "once",
        Schedule::Recurring { .. } => "recurring",
    }
}

/// The phase that follows in [`phases`]. The match makes the compiler point here when a phase is added.
fn following_phase(phase: Phase) -> Option<Phase> {
    match phase {
        Phase::Planned => Some(Phase::Draining),
        Phase::Draining => Some(Phase::Drained),
        Phase::Drained => Some(Phase::Open),
        Phase::Open => Some(Phase::Restoring),
        Phase::Restoring => Some(Phase::Done),
        Phase::Done => Some(Phase::Cancelled),
        Phase::Cancelled => Some(Phase::Overrun),
        Phase::Overrun => Some(Phase::Refused),
        Phase::Refused => None,
    }
}

/// All phases.
fn phases() -> Vec<Phase> {
    std::iter::successors(Some(Phase::Planned), |phase| following_phase(*phase)).collect()
}

/// A window with all optional fields, named after its variants.
fn window(targets: Targets, schedule: Schedule, phase: Phase) -> Window {
    let id = format!(
        "{}-{}-{}",
        targets_name(&targets),
        schedule_name(&schedule),
        phase.name()
    );
    let begin = match &schedule {
        Schedule::Once(span) => span.begin,
        // 02:30 in Lagos on Monday, 2025-12-08, an occurrence of the schedule.
        Schedule::Recurring { .. } => WallTime(1_765_157_400_000_000),
    };
    let change = |incarnation, at| {
        Some(Versioned {
            version: version(incarnation),
            value: OccurrenceChange {
                occurrence: begin,
                at,
            },
        })
    };
    let token = Ballot {
        number: 1_764_748_800_123,
        incarnation: 0x0123_4567_89ab_cdef,
    };
    Window {
        id,
        spec: Versioned {
            version: version(1),
            value: Spec {
                targets,
                schedule,
                lead_s: 45,
                overrun_s: 900,
                requested_by: "größer@ops".into(),
            },
        },
        extension: change(2, begin + Micros(7_200_000_000)),
        early_start: change(3, at(300)),
        cancelled: (phase == Phase::Cancelled).then(|| version(4)),
        progress: Some(Progress {
            occurrence: begin,
            token,
            phase,
            since: at(30),
            reason: "zone east: 2 of 3 out".into(),
        }),
    }
}

/// A window for each phase and each kind of targets, and one without optional fields.
fn windows() -> Vec<Window> {
    let ids = Targets::Ids(["s-1", "größer"].map(String::from).into());
    let others = [
        Targets::Zone("east".into()),
        Targets::Kind("small".into()),
        Targets::Cell(u64::MAX),
    ];
    let mut windows: Vec<Window> = phases()
        .into_iter()
        .map(|phase| window(ids.clone(), once(), phase))
        .collect();
    windows.extend(others.map(|targets| window(targets, recurring(), Phase::Open)));
    let plain = window(ids, once(), Phase::Planned);
    windows.push(Window {
        id: "bare".into(),
        extension: None,
        early_start: None,
        progress: None,
        ..plain
    });
    windows
}

fn calendar() -> Calendar {
    let budget = DisruptionBudget {
        kind_floor: 0.5,
        zone_floor: 0.5,
    };
    Calendar::new(Rules {
        budget,
        slow_start: Micros(1_000_000),
        isolation_timeout: Micros(5_000_000),
    })
}

#[test]
fn windows_keep_their_bytes() {
    let windows = windows();
    let named: Vec<(&str, Window)> = windows.iter().map(|w| (w.id.as_str(), w.clone())).collect();
    assert_bytes("windows.txt", &named, Window::encode, |bytes| {
        Window::decode(bytes, NOW).unwrap()
    });
}

/// Digests identify windows by hashes, which have to be the same at every proxy.
#[test]
fn digests_of_windows_keep_their_bytes() {
    let mut calendar = calendar();
    windows()
        .iter()
        .for_each(|w| assert!(calendar.merge(w, NOW).unwrap()));
    let digests = calendar.digests(NOW);
    let named = [("all windows", digests[0].clone())];
    assert_eq!(digests.len(), 1);
    let encode = |digest: &_| postcard::to_stdvec(digest).unwrap();
    assert_bytes("window-digest.txt", &named, encode, |bytes| {
        postcard::from_bytes(bytes).unwrap()
    });
}

#[test]
fn the_list_of_windows_keeps_its_json() {
    let mut calendar = calendar();
    windows()
        .iter()
        .for_each(|w| assert!(calendar.merge(w, NOW).unwrap()));
    let views = calendar.list(NOW);
    assert_eq!(views.len(), windows().len());
    let text = |view| serde_json::to_string(view).unwrap();
    let named: Vec<_> = views
        .iter()
        .map(|view| (view.id.as_str(), text(view)))
        .collect();
    assert_lines("window-list.txt", &named);
}

const ONCE: &str = r#"{"ids":["s-2","s-1"],"begin":"2025-12-03T09:00:00Z","end":"2025-12-03T10:00:00+01:00[Africa/Lagos]","by":"ops"}"#;
const BODIES: [(&str, &str); 6] = [
    (
        "once",
        r#"{"ids":["s-2","s-1"],"begin":"2025-12-03T09:00:00Z","end":"2025-12-03T11:00:00+01:00[Africa/Lagos]","lead_s":60,"overrun_s":120,"by":"ops"}"#,
    ),
    (
        "zone",
        r#"{"zone":"east","begin":"2025-12-03T09:00:00Z","end":"2025-12-03T10:00:00Z","by":"ops"}"#,
    ),
    (
        "kind",
        r#"{"kind":"small","begin":"2025-12-03T09:00:00Z","end":"2025-12-03T10:00:00Z","by":"ops"}"#,
    ),
    (
        "cell",
        r#"{"cell":7,"begin":"2025-12-03T09:00:00Z","end":"2025-12-03T10:00:00Z","by":"ops"}"#,
    ),
    (
        "daily",
        r#"{"zone":"east","recurring":{"days":"daily","at":"02:30","zone":"Africa/Lagos","lasts_s":3600},"by":"ops"}"#,
    ),
    (
        "days",
        r#"{"zone":"east","recurring":{"days":["mon","sun"],"at":"23:59","zone":"Europe/Berlin","lasts_s":60},"by":"ops"}"#,
    ),
];
const BAD_BODIES: [(&str, &str); 6] = [
    ("cut short", "{"),
    ("unknown key", r#"{"zones":"east"}"#),
    ("nobody asks", r#"{"zone":"east"}"#),
    ("label", r#"{"label":{"a":"b"},"by":"ops"}"#),
    ("two targets", r#"{"zone":"east","cell":1,"by":"ops"}"#),
    ("ends before it begins", ONCE),
];

/// The body of a call is parsed to the same specification as before.
#[test]
fn bodies_of_calls_on_windows_are_parsed_as_before() {
    let parse = |body: &str| Spec::from_json(body.as_bytes());
    let named: Vec<(&str, Spec)> = BODIES
        .iter()
        .map(|(name, body)| (*name, parse(body).unwrap()))
        .collect();
    let encode = |spec: &Spec| postcard::to_stdvec(spec).unwrap();
    assert_bytes("window-bodies.txt", &named, encode, |bytes| {
        postcard::from_bytes(bytes).unwrap()
    });
    let error = |body| serde_json::to_string(&parse(body).unwrap_err()).unwrap();
    let named: Vec<_> = BAD_BODIES
        .iter()
        .map(|(name, body)| (*name, error(body)))
        .collect();
    assert_lines("window-bodies-refused.txt", &named);
}

/// The name of a variant. The match makes the compiler point here when a variant is added.
fn error_name(error: &CallError) -> &'static str {
    match error {
        CallError::Invalid(_) => "invalid",
        CallError::Conflict(_) => "conflict",
        CallError::NotFound => "unknown",
        CallError::Full => "full",
    }
}

#[test]
fn refusals_of_calls_on_windows_keep_their_status_and_json() {
    let mut calendar = calendar();
    let put = |calendar: &mut Calendar, id: &str, body: &str| {
        calendar.put(
            id,
            Spec::from_json(body.as_bytes()).unwrap(),
            version(1),
            NOW,
        )
    };
    assert_eq!(
        put(&mut calendar, "w", BODIES[0].1),
        Ok(CallOutcome::Changed)
    );
    let invalid = put(&mut calendar, "a b", BODIES[0].1).unwrap_err();
    let conflict = put(&mut calendar, "w", BODIES[1].1).unwrap_err();
    let unknown = calendar.cancel("x", version(1), NOW).unwrap_err();
    let errors = [invalid, conflict, unknown, CallError::Full];
    let text = |r: &CallError| {
        format!(
            "{} {}",
            r.status(),
            serde_json::to_string(&r.invalid_field()).unwrap()
        )
    };
    let named: Vec<_> = errors.iter().map(|r| (error_name(r), text(r))).collect();
    assert_lines("window-refusals.txt", &named);
}

/// All proxies of a fleet have to divide a broadcast's range in the same way, as a datagram doesn't list the members
/// that its recipient forwards it to.
#[test]
fn broadcasts_are_forwarded_over_the_same_tree() {
    let v4 = (1..=40).map(|n| SocketAddr::from(([10, 0, 0, n], 7000)));
    let v6 = (1..=3).map(|n| SocketAddr::from(([0x2001, 0xdb8, 0, 0, 0, 0, 0, n], 7000)));
    let members: Vec<SocketAddr> = v4.chain(v6).collect();
    let mut origin = Relay::new(members[0], 0x55aa, Micros(5_000_000));
    let at_origin = origin.originate(NOW.0);
    let from_origin = origin.forward(&at_origin, &members);
    let range = HashRange {
        first: 5,
        last: u32::MAX / 2,
        hops: 1,
    };
    let at_member = BroadcastHeader { range, ..at_origin };
    let member = Relay::new(members[7], 9, Micros(5_000_000));
    let from_member = member.forward(&at_member, &members);
    let pairs = |next: Vec<Forward>| -> Vec<(SocketAddr, BroadcastHeader)> {
        next.into_iter().map(|f| (f.to, f.header)).collect()
    };
    let named = [
        ("by its origin", pairs(from_origin)),
        ("by another", pairs(from_member)),
    ];
    let encode = |next: &Vec<(SocketAddr, BroadcastHeader)>| postcard::to_stdvec(next).unwrap();
    assert_bytes("broadcast-tree.txt", &named, encode, |bytes| {
        postcard::from_bytes(bytes).unwrap()
    });
}

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/local.toml");

/// The proxy's command, without settings from the environment.
fn program() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_meadowproxy"));
    for name in [
        "NODE_CONFIG",
        "NODE_CONTROL",
        "NODE_SOCKET_FD",
        "NODE_SNAPSHOT",
        "NODE_LOG_FORMAT",
    ] {
        command.env_remove(name);
    }
    command
}

#[test]
fn show_config_keeps_its_text() {
    let output = program().args(["show-config", EXAMPLE]).output().unwrap();
    assert!(output.status.success(), "{output:?}");
    assert_text(
        "show-config.txt",
        &String::from_utf8(output.stdout).unwrap(),
    );
}

/// The settings include the sections of a proxy in a fleet, with their defaults.
#[test]
fn show_config_of_a_proxy_in_a_fleet_keeps_its_text() {
    let settings = [
        "version=1764748800123",
        "discovery=127.0.0.1:8500",
        "limits.cores=2.0",
        "limits.memory_mb=512.0",
        "snapshot.dir=/var/lib/proxy",
        "peers.listen=127.0.0.1:7000",
        "peers.advertise=10.0.0.1:7000",
        "peers.cluster=lagos",
        r#"peers.seeds=["10.0.0.2:7000"]"#,
        r#"duties.voters=["10.0.0.1:7000","10.0.0.2:7000","10.0.0.3:7000"]"#,
        "duties.zone_floor=0.25",
    ];
    let mut command = program();
    command.args(["show-config", EXAMPLE]);
    for setting in settings {
        command.args(["--set", setting]);
    }
    let output = command.output().unwrap();
    assert!(output.status.success(), "{output:?}");
    assert_text(
        "show-config-fleet.txt",
        &String::from_utf8(output.stdout).unwrap(),
    );
}

/// Collects the paths of all files in a directory and its subdirectories, without the digits after `process-`.
fn files(root: &Path, directory: &Path, found: &mut Vec<String>) {
    for entry in std::fs::read_dir(directory).into_iter().flatten() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files(root, &path, found);
        } else {
            let name = path
                .strip_prefix(root)
                .unwrap()
                .to_string_lossy()
                .into_owned();
            let pattern = name
                .split_once("process-")
                .map(|(before, _)| format!("{before}process-"));
            found.push(pattern.unwrap_or(name));
        }
    }
}

/// A process of another version, which runs at the same time or later, expects the files at the same paths.
#[test]
fn the_running_program_keeps_its_file_paths() {
    let directory = std::env::temp_dir().join(format!("fixtures-files-{}", std::process::id()));
    std::fs::create_dir_all(&directory).unwrap();
    let mut command = program();
    command.arg("run");
    let snapshots = format!("snapshot.dir={}", directory.join("kept").display());
    let settings = [
        "listen=127.0.0.1:0",
        "control=127.0.0.1:0",
        "snapshot.every_ms=50",
        &snapshots,
    ];
    for setting in settings {
        command.args(["--set", setting]);
    }
    command
        .args(["--config", EXAMPLE])
        .env("TMPDIR", &directory);
    let mut child = command.stderr(Stdio::null()).spawn().unwrap();
    let (started_at, mut found) = (Instant::now(), Vec::new());
    let is_complete = |found: &[String]| {
        found.len() == 3
            && !found
                .iter()
                .any(|f| f.contains("/.process") || f.ends_with(".part"))
    };
    while !is_complete(&found) && started_at.elapsed() < Duration::from_secs(20) {
        std::thread::sleep(Duration::from_millis(20));
        found.clear();
        files(&directory, &directory, &mut found);
    }
    child.kill().unwrap();
    child.wait().unwrap();
    std::fs::remove_dir_all(&directory).unwrap();
    found.sort();
    assert_text("files.txt", &(found.join("\n") + "\n"));
}
