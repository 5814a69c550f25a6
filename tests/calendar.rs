//! Tests of the maintenance calendar: bodies of calls, local time, the phases of a window, the disruption budget,
//! merging of replicas, and isolated proxies.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use meadowproxy::fleet::calendar::*;
use meadowproxy::fleet::lease::Token;
use meadowproxy::Micros;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// 2026-12-02T12:00:00Z.
const NOON: WallTime = WallTime(1_796_212_800_000_000);
/// The duration of a slow start in seconds.
const SLOW_START_S: u64 = 10;

/// The time `secs` seconds after noon.
fn at(secs: u64) -> WallTime {
    NOON + Micros(secs * 1_000_000)
}

fn instant(text: &str) -> WallTime {
    parse_instant("", text).unwrap()
}

/// An empty calendar whose budget leaves at least the share `floor` of each kind's and zone's capacity.
fn calendar(floor: f64) -> Calendar {
    let budget = DisruptionBudget {
        kind_floor: floor,
        zone_floor: floor,
    };
    Calendar::new(Rules {
        budget,
        slow_start: Micros(SLOW_START_S * 1_000_000),
        isolation_timeout: Micros(5_000_000),
    })
}

fn token(number: u64) -> Token {
    Token {
        number,
        incarnation: 7,
    }
}

/// The version of a call made `secs` seconds after noon.
fn version(secs: u64) -> Version {
    Version {
        called_at: at(secs),
        incarnation: 1,
    }
}

/// The backends with these numbers.
fn ids(ids: &[usize]) -> Targets {
    Targets::Ids(ids.iter().map(|i| format!("s{i}")).collect())
}

/// The specification of a window that occurs once, with `begin` and `end` in seconds after noon.
fn once(targets: Targets, begin: u64, end: u64, lead_s: u32, overrun_s: u32) -> Spec {
    let schedule = Schedule::Once(Span {
        begin: at(begin),
        end: at(end),
    });
    Spec {
        targets,
        schedule,
        lead_s,
        overrun_s,
        requested_by: "ops".into(),
    }
}

/// Twelve backends of two kinds, in three zones and three cells.
fn fleet() -> ListedBackends {
    let backend = |i: usize| BackendCapacity {
        zone: ["a", "b", "c"][i % 3].into(),
        kind: ["m1", "m2"][i % 2].into(),
        cell: i as u64 / 4,
        serving: true,
        readiness: 1.0,
        disabled: false,
        capacity: 1.0,
    };
    (0..12).map(|i| (format!("s{i}"), backend(i))).collect()
}

/// A report that one proxy made just now, without open requests.
fn idle() -> OpenRequestReports {
    BTreeMap::from([(1, OpenRequestReport::default())])
}

/// The phase of a window.
fn phase(calendar: &Calendar, id: &str, now: WallTime) -> Phase {
    calendar
        .list(now)
        .into_iter()
        .find(|v| v.id == id)
        .unwrap()
        .phase
}

/// Advances the calendar at each second. Returns the transitions, each as "second window phase".
fn run(
    calendar: &mut Calendar,
    secs: std::ops::Range<u64>,
    fleet: &ListedBackends,
    reports: &OpenRequestReports,
) -> Vec<String> {
    let transitions = secs.flat_map(|s| {
        let transitions = calendar.advance(at(s), token(1), fleet, reports);
        transitions
            .into_iter()
            .map(move |t| format!("{s} {} {}", t.window, t.to.name()))
    });
    transitions.collect()
}

#[test]
fn an_invalid_body_is_rejected_with_its_field() {
    let base = r#""begin":"2026-12-02T13:00:00Z","end":"2026-12-02T14:00:00Z","by":"ops""#;
    let recurring = |fields: &str| format!(r#""ids":["a"],"by":"x","recurring":{{{fields}}}"#);
    let cases = [
        (format!(r#""ids":[],{base}"#), "ids"),
        (format!(r#""ids":[""],{base}"#), "ids"),
        (format!(r#""ids":["{}"],{base}"#, "x".repeat(65)), "ids"),
        (
            format!(
                r#""ids":[{}"y"],{base}"#,
                (0..99)
                    .map(|i| format!("\"s-{i:07}\","))
                    .collect::<String>()
            ),
            "ids",
        ),
        (format!(r#""ids":["a"],"zone":"b",{base}"#), "zone"),
        (format!(r#""label":"x",{base}"#), "label"),
        (base.to_string(), "ids"),
        (format!(r#""cell":-1,{base}"#), "cell"),
        (format!(r#""kind":"a\u0000",{base}"#), "kind"),
        (format!(r#""ids":["a"],"lead_s":3601,{base}"#), "lead_s"),
        (
            format!(r#""ids":["a"],"overrun_s":86401,{base}"#),
            "overrun_s",
        ),
        (
            r#""ids":["a"],"begin":"2026-12-02T13:00:00Z","by":"x""#.into(),
            "end",
        ),
        (
            r#""ids":["a"],"begin":"tomorrow","end":"2026-12-02T13:00:00Z","by":"x""#.into(),
            "begin",
        ),
        (
            r#""ids":["a"],"begin":"2026-12-02T13:00:00","end":"2026-12-02T13:00:00Z","by":"x""#
                .into(),
            "begin",
        ),
        (
            r#""ids":["a"],"begin":"2026-12-02T13:00:00Z","end":"2026-12-02T13:00:00Z","by":"x""#
                .into(),
            "end",
        ),
        (
            r#""ids":["a"],"begin":"2026-12-02T13:00:00Z","end":"2026-12-09T13:00:01Z","by":"x""#
                .into(),
            "end",
        ),
        (
            r#""ids":["a"],"begin":"2026-12-02T13:00:00Z","end":"2026-12-02T14:00:00Z","by":" ""#
                .into(),
            "by",
        ),
        (
            r#""ids":["a"],"begin":"2026-12-02T13:00:00Z","end":"2026-12-02T14:00:00Z""#.into(),
            "by",
        ),
        (
            format!(
                r#"{base},"ids":["a"],"recurring":{{"days":"daily","at":"02:30","zone":"UTC","lasts_s":60}}"#
            ),
            "begin",
        ),
        (
            recurring(r#""days":["mo"],"at":"02:30","zone":"UTC","lasts_s":60"#),
            "recurring.days",
        ),
        (
            recurring(r#""days":[],"at":"02:30","zone":"UTC","lasts_s":60"#),
            "recurring.days",
        ),
        (
            recurring(r#""days":"daily","at":"24:00","zone":"UTC","lasts_s":60"#),
            "recurring.at",
        ),
        (
            recurring(r#""days":"daily","at":"02:30","zone":"Africa/Atlantis","lasts_s":60"#),
            "recurring.zone",
        ),
        (
            recurring(r#""days":"daily","at":"02:30","zone":"UTC","lasts_s":0"#),
            "recurring.lasts_s",
        ),
        (
            recurring(r#""days":"daily","at":"02:30","zone":"UTC","lasts_s":75600"#),
            "recurring.lasts_s",
        ),
    ];
    for (body, field) in cases {
        let error = Spec::from_json(format!("{{{body}}}").as_bytes()).unwrap_err();
        assert_eq!(error.field, field, "{body}: {error}");
    }
    let unknown_key =
        Spec::from_json(format!(r#"{{"ids":["a"],"colour":1,{base}}}"#).as_bytes()).unwrap_err();
    assert!(unknown_key.to_string().contains("colour"), "{unknown_key}");
    for body in ["", "[]", "{} {}", "nonsense"] {
        assert!(Spec::from_json(body.as_bytes()).is_err(), "{body}");
    }
    let spec = Spec::from_json(format!(r#"{{"ids":["a"],{base}}}"#).as_bytes()).unwrap();
    assert_eq!(
        (spec.lead_s, spec.overrun_s, spec.requested_by.as_str()),
        (DEFAULT_LEAD_S, 0, "ops")
    );
    assert_eq!(
        spec.next_occurrence(WallTime(0)),
        Some(Span {
            begin: at(3600),
            end: at(7200)
        })
    );
}

#[test]
fn conflicting_repeated_and_late_calls_are_answered_as_such() {
    let mut c = calendar(0.5);
    let spec = || once(ids(&[0]), 100, 200, 30, 0);
    assert_eq!(
        c.put("w", spec(), version(0), at(0)),
        Ok(CallOutcome::Changed)
    );
    assert_eq!(
        c.put("w", spec(), version(9), at(9)),
        Ok(CallOutcome::Unchanged)
    );
    let status = |answer: Result<CallOutcome, CallError>| {
        answer
            .map_err(|r| (r.status(), r.invalid_field().field))
            .unwrap_err()
    };
    assert_eq!(
        status(c.put("w", once(ids(&[1]), 100, 200, 30, 0), version(9), at(9))),
        (409, "targets".into())
    );
    assert_eq!(
        status(c.put("a/b", spec(), version(9), at(9))),
        (422, "id".into())
    );
    assert_eq!(
        status(c.put("x", once(ids(&[1]), 100, 200, 30, 0), version(0), at(200))),
        (422, "end".into())
    );
    assert_eq!(
        status(c.put("x", once(ids(&[1]), 100, 200, 30, 0), version(0), at(170))),
        (422, "lead_s".into())
    );
    assert_eq!(status(c.cancel("x", version(9), at(9))), (404, "id".into()));
    assert_eq!(
        status(c.extend("w", at(199), version(9), at(9))),
        (422, "until".into())
    );
    assert_eq!(
        status(c.extend("w", at(8 * 24 * 3600), version(9), at(9))),
        (422, "until".into())
    );
    assert_eq!(
        c.extend("w", at(300), version(9), at(9)),
        Ok(CallOutcome::Changed)
    );
    // A later call takes precedence, even if its proxy's clock is behind.
    let before = c.get("w").unwrap().clone();
    assert_eq!(
        c.extend("w", at(400), version(1), at(9)),
        Ok(CallOutcome::Changed)
    );
    assert_eq!(c.merge(&before, at(9)), Ok(false));
    assert_eq!(
        c.extend("w", at(400), version(9), at(9)),
        Ok(CallOutcome::Unchanged)
    );
    assert_eq!(
        c.list(at(9))[0].end.as_deref(),
        Some("2026-12-02T12:06:40Z")
    );
    assert_eq!(c.cancel("w", version(10), at(10)), Ok(CallOutcome::Changed));
    assert_eq!(
        c.cancel("w", version(11), at(11)),
        Ok(CallOutcome::Unchanged)
    );
    assert_eq!(
        status(c.put("w", spec(), version(11), at(11))),
        (409, "id".into())
    );
    assert_eq!(
        status(c.start_now("w", version(11), at(11))),
        (409, "id".into())
    );
    assert_eq!(phase(&c, "w", at(11)), Phase::Cancelled);
    // An hour later the id can be used again, and the window no longer counts towards the maximum.
    let later = once(ids(&[1]), 5000, 6000, 30, 0);
    for i in 1..MAX_WINDOWS {
        assert_eq!(
            c.put(&format!("w{i}"), later.clone(), version(11), at(11)),
            Ok(CallOutcome::Changed)
        );
    }
    assert_eq!(
        status(c.put("v", later.clone(), version(11), at(11))),
        (507, "id".into())
    );
    assert_eq!(
        c.put("w", later, version(3610), at(3610)),
        Ok(CallOutcome::Changed)
    );
}

#[test]
fn local_time_follows_daylight_saving_time() {
    let spec = |days: &str, zone: &str| {
        let schedule = format!(r#"{{"days":{days},"at":"02:30","zone":"{zone}","lasts_s":3600}}"#);
        Spec::from_json(format!(r#"{{"ids":["a"],"by":"x","recurring":{schedule}}}"#).as_bytes())
            .unwrap()
    };
    let begins = |spec: &Spec, from: &str, n: usize| -> Vec<String> {
        let next = |s: &Span| spec.next_occurrence(s.begin + Micros(1));
        let all = std::iter::successors(spec.next_occurrence(instant(from)), next).take(n);
        all.inspect(|s| assert_eq!(s.end - s.begin, Micros(3_600_000_000)))
            .map(|s| s.begin.to_string())
            .collect()
    };
    let berlin = spec("\"daily\"", "Europe/Berlin");
    // On 29 March there is no 02:30, and the window begins at 03:30. On 25 October 02:30 occurs twice, and the first
    // counts.
    let march = [
        "2026-03-28T01:30:00Z",
        "2026-03-29T01:30:00Z",
        "2026-03-30T00:30:00Z",
    ];
    assert_eq!(begins(&berlin, "2026-03-28T00:00:00Z", 3), march);
    let october = [
        "2026-10-24T00:30:00Z",
        "2026-10-25T00:30:00Z",
        "2026-10-26T01:30:00Z",
    ];
    assert_eq!(begins(&berlin, "2026-10-24T00:00:00Z", 3), october);
    let lagos = spec(r#"["mon","thu"]"#, "Africa/Lagos");
    let winter = [
        "2026-03-26T01:30:00Z",
        "2026-03-30T01:30:00Z",
        "2026-04-02T01:30:00Z",
    ];
    assert_eq!(begins(&lagos, "2026-03-24T00:00:00Z", 3), winter);
    assert_eq!(
        begins(&lagos, "2026-03-26T01:30:00Z", 1),
        winter[..1],
        "an occurrence that begins at the given instant counts"
    );
    assert_eq!(
        instant("2026-03-29T02:30:00[Europe/Berlin]"),
        instant("2026-03-29T01:30:00Z")
    );
    assert_eq!(instant("2026-12-02T13:00:00+01:00[Africa/Lagos]"), NOON);
    assert!(
        parse_instant("end", "2026-12-02T13:00:00+05:00[Africa/Lagos]").is_err(),
        "the offset is not that of Lagos"
    );
}

#[test]
fn a_window_goes_through_its_phases() {
    let (mut c, mut fleet) = (calendar(0.5), fleet());
    c.put("w", once(ids(&[0]), 100, 200, 30, 60), version(0), at(0))
        .unwrap();
    // The window is drained only when each report is newer than the notification, and has no open request to the
    // backend.
    let old = OpenRequestReport {
        age: Micros(4_000_000),
        ..OpenRequestReport::default()
    };
    let busy = OpenRequestReport {
        open: BTreeMap::from([("s0".into(), 1)]),
        ..OpenRequestReport::default()
    };
    assert_eq!(
        run(&mut c, 0..75, &fleet, &BTreeMap::from([(1, old)])),
        ["70 w draining"]
    );
    assert_eq!(
        run(
            &mut c,
            75..90,
            &fleet,
            &BTreeMap::from([(1, busy), (2, OpenRequestReport::default())])
        ),
        [""; 0]
    );
    assert_eq!(
        run(&mut c, 90..150, &fleet, &idle()),
        ["90 w drained", "100 w open"]
    );
    // The window's end passes, but its backend doesn't serve yet.
    fleet.get_mut("s0").unwrap().serving = false;
    assert_eq!(run(&mut c, 150..230, &fleet, &idle()), [""; 0]);
    fleet.get_mut("s0").unwrap().serving = true;
    assert_eq!(
        run(&mut c, 230..300, &fleet, &idle()),
        ["230 w restoring", "240 w done"]
    );

    let mut c = calendar(0.5);
    c.put("late", once(ids(&[0]), 100, 200, 30, 60), version(0), at(0))
        .unwrap();
    c.put("off", once(ids(&[1]), 100, 200, 30, 60), version(0), at(0))
        .unwrap();
    let busy = BTreeMap::from([(
        1,
        OpenRequestReport {
            open: [("s0".into(), 3)].into(),
            ..OpenRequestReport::default()
        },
    )]);
    let steps = run(&mut c, 0..150, &fleet, &busy);
    assert_eq!(
        steps[2..],
        [
            "72 off drained",
            "100 late drained",
            "100 late open",
            "100 off open"
        ]
    );
    c.cancel("off", version(150), at(150)).unwrap();
    fleet.remove("s0");
    let steps = run(&mut c, 150..300, &fleet, &idle());
    assert_eq!(
        steps,
        ["150 off restoring", "160 off cancelled", "260 late overrun"]
    );

    // A recurring window that an operator starts early opens when drained, lasts as long as planned, and recurs the
    // next day.
    let mut c = calendar(0.5);
    let schedule = Schedule::Recurring {
        weekdays: 0x7f,
        minute_of_day: 14 * 60,
        time_zone: "UTC".into(),
        duration_s: 100,
    };
    let spec = Spec {
        schedule,
        ..once(ids(&[1]), 0, 0, 30, 0)
    };
    c.put("often", spec, version(0), at(0)).unwrap();
    c.start_now("often", version(10), at(10)).unwrap();
    let steps = run(&mut c, 10..200, &fleet, &idle());
    let once = [
        "10 often draining",
        "12 often drained",
        "12 often open",
        "140 often restoring",
        "150 often done",
    ];
    assert_eq!(steps, once);
    assert_eq!(
        c.list(at(200))[0].begin.as_deref(),
        Some("2026-12-03T14:00:00Z")
    );
    let next_day = 26 * 3600;
    assert_eq!(
        run(&mut c, next_day - 31..next_day - 29, &fleet, &idle()),
        [format!("{} often draining", next_day - 30)]
    );
    // No proxy held the lease for two days. The occurrence in effect ends, missed ones are skipped, and the next one
    // begins.
    let days = 4 * 24 * 3600 + 2 * 3600;
    let steps = run(&mut c, days - 40..days - 29, &fleet, &idle());
    let expected = [
        (days - 40, "restoring"),
        (days - 30, "done"),
        (days - 30, "draining"),
    ];
    assert_eq!(
        steps,
        expected.map(|(s, phase)| format!("{s} often {phase}"))
    );
}

#[test]
fn windows_wait_for_the_budget_in_order() {
    let (mut c, mut fleet) = (calendar(0.5), fleet());
    // Kind m1 has six backends. Each window takes two of them, and only one window fits beside a disabled backend.
    c.put("b", once(ids(&[0, 2]), 100, 300, 30, 0), version(0), at(0))
        .unwrap();
    c.put("a", once(ids(&[4, 6]), 100, 400, 30, 0), version(0), at(0))
        .unwrap();
    c.put("c", once(ids(&[8, 10]), 90, 900, 30, 0), version(0), at(0))
        .unwrap();
    c.put("d", once(ids(&[0]), 110, 330, 30, 0), version(0), at(0))
        .unwrap();
    c.put("m2", once(ids(&[1]), 120, 130, 30, 0), version(0), at(0))
        .unwrap();
    fleet.get_mut("s0").unwrap().disabled = true;
    let mut steps = run(&mut c, 0..200, &fleet, &idle());
    let waiting = |c: &Calendar, id| {
        c.list(at(200))
            .into_iter()
            .find(|v| v.id == id)
            .unwrap()
            .waiting
    };
    assert_eq!(
        waiting(&c, "a").as_deref(),
        Some("kind m1: 1.00 of 6.00 left, floor 3.00")
    );
    assert_eq!(waiting(&c, "b").as_deref(), Some("kind m1: behind a"));
    // d waits behind them although its backend is disabled anyway. m2 takes no capacity that they wait for.
    steps.retain(|s| s.ends_with("draining"));
    assert_eq!(steps, ["60 c draining", "90 m2 draining"]);
    // a is next even though b takes less capacity. b's time runs out.
    fleet.get_mut("s0").unwrap().disabled = false;
    fleet.get_mut("s4").unwrap().readiness = 0.0;
    let mut steps = run(&mut c, 200..500, &fleet, &idle());
    steps.retain(|s| !s.contains(" c "));
    assert_eq!(steps, ["270 b refused", "300 d refused", "370 a refused"]);
    assert!(c.list(at(500))[0]
        .reason
        .as_deref()
        .unwrap()
        .starts_with("its time ran out: kind m1"));
}

#[test]
fn a_former_holders_decision_is_overridden_at_all_proxies() {
    let (mut late, mut next, fleet) = (calendar(0.5), calendar(0.5), fleet());
    for c in [&mut late, &mut next] {
        c.put("w", once(ids(&[0]), 100, 200, 30, 0), version(0), at(0))
            .unwrap();
        c.put(
            "v",
            once(ids(&[2, 4, 6]), 99, 200, 30, 0),
            version(0),
            at(0),
        )
        .unwrap();
    }
    // The first holder makes a decision and stalls before it can send it. The next holder's clock is a little behind.
    assert_eq!(late.advance(at(69), token(1), &fleet, &idle()).len(), 1);
    assert_eq!(next.advance(at(67), token(2), &fleet, &idle()), []);
    for window in late.take_changed() {
        next.merge(&window, at(71)).unwrap();
    }
    for window in next.take_changed() {
        late.merge(&window, at(71)).unwrap();
    }
    assert_eq!(late.get("v"), next.get("v"));
    assert_eq!(
        phase(&late, "v", at(71)),
        Phase::Planned,
        "the decision with the higher token does not apply"
    );
    assert_eq!(
        late.advance(at(72), token(1), &fleet, &idle()),
        [],
        "the former holder did not learn of the next one"
    );
    // A window in progress continues in its phase under the next token.
    assert_eq!(next.advance(at(72), token(2), &fleet, &idle()).len(), 1);
    merge_all(&mut late, &next.take_changed(), at(72));
    assert_eq!(late.advance(at(73), token(3), &fleet, &idle()), []);
    let (old, new) = (
        next.get("v").unwrap().progress.clone().unwrap(),
        late.get("v").unwrap().progress.clone().unwrap(),
    );
    assert_eq!(
        new,
        Progress {
            token: token(3),
            ..old
        }
    );
}

#[test]
fn an_isolated_proxy_follows_its_own_copy() {
    let (mut c, mut fleet) = (calendar(0.5), fleet());
    let names = |out: BTreeSet<String>| out.into_iter().collect::<Vec<_>>().join(" ");
    let (since_holder, isolated) = (Micros(5_000_000), Micros(5_000_001));
    c.put("on", once(ids(&[0]), 50, 300, 30, 60), version(0), at(0))
        .unwrap();
    c.put(
        "due",
        once(Targets::Cell(0), 100, 200, 30, 0),
        version(0),
        at(0),
    )
    .unwrap();
    c.put(
        "much",
        once(Targets::Zone("b".into()), 100, 200, 30, 0),
        version(0),
        at(0),
    )
    .unwrap();
    run(&mut c, 0..60, &fleet, &idle());
    assert_eq!(
        names(
            c.clone()
                .backends_in_maintenance(at(80), since_holder, &fleet)
        ),
        "s0",
        "the holder's decision does not apply"
    );
    assert_eq!(
        names(c.backends_in_maintenance(at(69), isolated, &fleet)),
        "s0"
    );
    // When isolated, the proxy drains windows that are due by its own clock if the budget allows. A whole zone exceeds
    // it.
    assert_eq!(
        names(c.backends_in_maintenance(at(70), isolated, &fleet)),
        "s0 s1 s2 s3"
    );
    // A window that it drained stays in effect, although the budget no longer allows it, and although the holder's
    // decisions name only others.
    (4..9).for_each(|i| fleet.get_mut(&format!("s{i}")).unwrap().readiness = 0.0);
    assert_eq!(
        names(c.backends_in_maintenance(at(150), isolated, &fleet)),
        "s0 s1 s2 s3"
    );
    assert_eq!(
        names(c.backends_in_maintenance(at(160), since_holder, &fleet)),
        "s0 s1 s2 s3"
    );
    // It stays so until the holder makes a newer decision on the window, or until the window's end.
    let (mut notified, mut other) = (c.clone(), calendar(0.5));
    for id in ["on", "due", "much"] {
        other.merge(c.get(id).unwrap(), at(160)).unwrap();
    }
    other.advance(at(161), token(2), &fleet, &idle());
    merge_all(&mut notified, &other.take_changed(), at(161));
    assert_eq!(
        names(notified.backends_in_maintenance(at(161), since_holder, &fleet)),
        "s0"
    );
    // A proxy that acquires the lease continues the windows that it drained while isolated. Neither the budget nor the
    // lead, which is longer than the time left, makes it return a backend during its window.
    let mut holder = c.clone();
    let steps = holder.advance(at(180), token(2), &fleet, &idle());
    assert_eq!(
        steps.iter().map(|t| (&*t.window, t.to)).collect::<Vec<_>>(),
        [("due", Phase::Draining), ("much", Phase::Refused)]
    );
    assert_eq!(
        names(holder.backends_in_maintenance(at(180), since_holder, &fleet)),
        "s0 s1 s2 s3"
    );
    (181..200).for_each(|s| drop(holder.advance(at(s), token(2), &fleet, &idle())));
    assert_eq!(phase(&holder, "due", at(199)), Phase::Open);
    holder.advance(at(200), token(2), &fleet, &idle());
    assert_eq!(
        names(holder.backends_in_maintenance(at(200), since_holder, &fleet)),
        "s0"
    );
    assert_eq!(
        names(c.backends_in_maintenance(at(200), isolated, &fleet)),
        "s0"
    );
    // The holder would wait for the overrun. An isolated proxy restores the backend at the window's end, and does not
    // drain it again.
    assert_eq!(
        names(c.backends_in_maintenance(at(299), isolated, &fleet)),
        "s0"
    );
    assert_eq!(
        names(
            c.clone()
                .backends_in_maintenance(at(300), since_holder, &fleet)
        ),
        "s0"
    );
    assert_eq!(
        names(c.backends_in_maintenance(at(300), isolated, &fleet)),
        ""
    );
    assert_eq!(
        names(c.backends_in_maintenance(at(310), since_holder, &fleet)),
        ""
    );
    // A recurring window that was started early and is over does not begin again at its planned time, but on the next
    // day.
    let (mut c, fleet) = (calendar(0.5), self::fleet());
    let schedule = Schedule::Recurring {
        weekdays: 0x7f,
        minute_of_day: 14 * 60,
        time_zone: "UTC".into(),
        duration_s: 100,
    };
    c.put(
        "often",
        Spec {
            schedule,
            ..once(ids(&[1]), 0, 0, 30, 0)
        },
        version(0),
        at(0),
    )
    .unwrap();
    c.start_now("often", version(10), at(10)).unwrap();
    let times = [
        10,
        139,
        140,
        7200,
        26 * 3600 - 31,
        26 * 3600 - 30,
        26 * 3600 + 100,
    ];
    let outs = times.map(|s| names(c.backends_in_maintenance(at(s), isolated, &fleet)));
    assert_eq!(outs, ["s1", "s1", "", "", "", "s1", ""]);
    assert_eq!(
        c.list(at(5000))[0].begin.as_deref(),
        Some("2026-12-03T14:00:00Z")
    );
    // An operator's cancellation takes effect as soon as it reaches the copy.
    let mut c = calendar(0.5);
    c.put("off", once(ids(&[0]), 50, 300, 30, 0), version(0), at(0))
        .unwrap();
    assert_eq!(
        names(c.backends_in_maintenance(at(60), isolated, &fleet)),
        "s0"
    );
    c.cancel("off", version(61), at(61)).unwrap();
    assert_eq!(
        names(c.backends_in_maintenance(at(62), isolated, &fleet)),
        ""
    );
}

/// A window with every field at its maximum length.
fn largest() -> Window {
    let name = |i: usize| format!("{i:0>63}");
    let schedule = Schedule::Recurring {
        weekdays: 0x7f,
        minute_of_day: 1439,
        time_zone: "America/Argentina/ComodRivadavia".into(),
        duration_s: 9999,
    };
    let spec = Spec {
        targets: Targets::Ids((0..MAX_IDS_BYTES / 64).map(name).collect()),
        schedule,
        lead_s: MAX_LEAD_S,
        overrun_s: 9999,
        requested_by: "x".repeat(MAX_NAME_BYTES),
    };
    spec.check().unwrap();
    let version = Version {
        called_at: at(0),
        incarnation: u64::MAX,
    };
    let change = Some(Versioned {
        version,
        value: OccurrenceChange {
            occurrence: at(0),
            at: at(100),
        },
    });
    let token = Token {
        number: NOON.0 / 1000,
        incarnation: u64::MAX,
    };
    let progress = Progress {
        occurrence: at(0),
        token,
        phase: Phase::Refused,
        since: at(0),
        reason: "y".repeat(160),
    };
    let (spec, cancelled, progress) = (
        Versioned {
            version,
            value: spec,
        },
        Some(version),
        Some(progress),
    );
    Window {
        id: "z".repeat(MAX_NAME_BYTES),
        spec,
        extension: change.clone(),
        early_start: change,
        cancelled,
        progress,
    }
}

#[test]
fn the_largest_window_fits_into_a_datagram() {
    let bytes = largest().encode();
    assert!(
        (1000..=MAX_WINDOW_BYTES).contains(&bytes.len()),
        "{}",
        bytes.len()
    );
    assert_eq!(Window::decode(&bytes, at(0)), Ok(largest()));
    let digest = Digest {
        from: u64::MAX,
        to: u64::MAX,
        rows: vec![
            DigestRow {
                id_hash: u64::MAX,
                content_hash: u64::MAX
            };
            MAX_DIGEST_ROWS
        ],
    };
    assert!(postcard::to_stdvec(&digest).unwrap().len() <= MAX_WINDOW_BYTES);
    let mut invalid = largest();
    invalid.progress.as_mut().unwrap().token.number = u64::MAX;
    assert!(
        matches!(Window::decode(&invalid.encode(), at(0)), Err(WindowError::Field(f)) if f.field == "mark")
    );
}

#[test]
fn a_new_replica_receives_all_windows() {
    let (mut complete, mut fresh, mut rounds) = (calendar(0.5), calendar(0.5), 0);
    for i in 0..MAX_WINDOWS {
        complete
            .put(
                &format!("w{i}"),
                once(ids(&[i % 12]), 100, 200, 30, 0),
                version(0),
                at(0),
            )
            .unwrap();
    }
    fresh
        .put("own", once(ids(&[0]), 100, 200, 30, 0), version(0), at(0))
        .unwrap();
    while complete.digests(at(1)) != fresh.digests(at(1)) {
        rounds += 1;
        assert!(rounds < 10);
        for digest in fresh.digests(at(1)) {
            let differences = complete.compare(&digest, at(1));
            assert!(differences.to_send.len() <= MAX_WINDOWS_PER_RESPONSE);
            merge_all(
                &mut complete,
                &fresh.windows_with_id_hashes(&differences.to_request, at(1)),
                at(1),
            );
            merge_all(&mut fresh, &differences.to_send, at(1));
        }
    }
    assert_eq!(complete.list(at(1)).len(), MAX_WINDOWS + 1);
    // Windows that ended an hour ago are neither sent nor accepted.
    let window = complete.get("own").unwrap().clone();
    assert!(complete.digests(at(3800)).iter().all(|d| d.rows.is_empty()));
    assert_eq!(calendar(0.5).merge(&window, at(3800)), Ok(false));
}

/// Versions of one window whose times, tokens and call versions are often equal.
fn any_window() -> impl Strategy<Value = Window> {
    let version = || {
        (0..3u64, 0..3u64).prop_map(|(s, incarnation)| Version {
            called_at: at(s),
            incarnation,
        })
    };
    let change = || {
        let versioned = |(version, s): (Version, u64)| Versioned {
            version,
            value: OccurrenceChange {
                occurrence: at(100),
                at: at(s),
            },
        };
        proptest::option::of((version(), 200..203u64).prop_map(versioned))
    };
    let phases = [
        Phase::Planned,
        Phase::Draining,
        Phase::Drained,
        Phase::Open,
        Phase::Restoring,
        Phase::Done,
        Phase::Refused,
    ];
    let progress = (
        0..2u64,
        0..3u64,
        proptest::sample::select(phases.to_vec()),
        0..3u64,
    );
    let progress = progress.prop_map(|(delay_s, number, phase, s)| Progress {
        occurrence: at(100 + delay_s),
        token: token(number),
        phase,
        since: at(s),
        reason: format!("{s}"),
    });
    let fields = (
        version(),
        0..2usize,
        change(),
        change(),
        proptest::option::of(version()),
        proptest::option::of(progress),
    );
    fields.prop_map(
        |(version, i, extension, early_start, cancelled, progress)| {
            let spec = Versioned {
                version,
                value: once(ids(&[i]), 100, 200, 30, 0),
            };
            Window {
                id: "w".into(),
                spec,
                extension,
                early_start,
                cancelled,
                progress,
            }
        },
    )
}

/// The result of merging `other` into `one`.
fn merged(mut one: Window, other: &Window) -> Window {
    one.merge(other);
    one
}

/// Merges windows into a calendar, which has to accept all of them.
fn merge_all(to: &mut Calendar, windows: &[Window], now: WallTime) {
    windows
        .iter()
        .for_each(|e| assert!(to.merge(e, now).is_ok()));
}

/// Makes an operator's call at second `now`, or none, depending on `kind`. The call may be rejected.
fn call(c: &mut Calendar, kind: u8, i: usize, now: u64) {
    let (id, version) = (
        format!("w{}", i % 6),
        Version {
            called_at: at(now),
            incarnation: kind.into(),
        },
    );
    let _ = match kind {
        0..=3 => {
            let targets = [
                ids(&[i, (i + 2) % 12]),
                ids(&[i]),
                Targets::Cell(i as u64 % 3),
                Targets::Kind("m1".into()),
            ];
            let begin = now + 20 + 7 * i as u64;
            let spec = once(
                targets[usize::from(kind)].clone(),
                begin,
                begin + 40,
                10 * (i as u32 % 3),
                15,
            );
            c.put(&id, spec, version, at(now))
        }
        4 => c.cancel(&id, version, at(now)),
        5 => c.extend(&id, at(now + 60), version, at(now)),
        6 => c.start_now(&id, version, at(now)),
        _ => Ok(CallOutcome::Unchanged),
    };
}

/// The random events of one second: the kind and number of a call, the backend that changes and how, and whether the
/// holder changes.
type Second = (u8, usize, usize, u8, u8);

fn seconds() -> impl Strategy<Value = Vec<Second>> {
    proptest::collection::vec((0..60u8, 0..12usize, 0..12usize, 0..30u8, 0..20u8), 150)
}

/// Changes the state of one backend, depending on `kind`.
fn change_fleet(fleet: &mut ListedBackends, i: usize, kind: u8) {
    let backend = fleet.get_mut(&format!("s{i}")).unwrap();
    match kind {
        0 => backend.readiness = 0.0,
        1 => backend.readiness = 0.4,
        2 => backend.disabled ^= true,
        3 => backend.serving ^= true,
        4..=6 => (backend.readiness, backend.disabled, backend.serving) = (1.0, false, true),
        _ => {}
    }
}

/// The backends of the windows in these phases, computed from the list of windows and independently of the calendar.
fn occupied_backends(
    c: &Calendar,
    fleet: &ListedBackends,
    now: WallTime,
    phases: &[Phase],
    includes: &dyn Fn(&str) -> bool,
) -> BTreeSet<String> {
    let views = c
        .list(now)
        .into_iter()
        .filter(|v| phases.contains(&v.phase) && includes(&v.id));
    let names = views.flat_map(|v| match v.targets {
        Targets::Ids(ids) => ids.into_iter().collect::<Vec<_>>(),
        Targets::Kind(kind) => fleet
            .iter()
            .filter(|(_, b)| b.kind == kind)
            .map(|(n, _)| n.clone())
            .collect(),
        Targets::Zone(zone) => fleet
            .iter()
            .filter(|(_, b)| b.zone == zone)
            .map(|(n, _)| n.clone())
            .collect(),
        Targets::Cell(cell) => fleet
            .iter()
            .filter(|(_, b)| b.cell == cell)
            .map(|(n, _)| n.clone())
            .collect(),
    });
    names.collect()
}

/// The phases in which a window's backends get no requests.
const IN_EFFECT: [Phase; 3] = [Phase::Draining, Phase::Drained, Phase::Open];
/// The phases in which a window takes capacity from the budget.
const OCCUPIED: [Phase; 4] = [
    Phase::Draining,
    Phase::Drained,
    Phase::Open,
    Phase::Restoring,
];

/// The listed capacity of a kind or zone, and the usable one without the given backends.
fn capacity(fleet: &ListedBackends, group: &str, without: &BTreeSet<String>) -> (f64, f64) {
    let in_group = fleet
        .iter()
        .filter(|(_, b)| b.kind == group || b.zone == group);
    in_group.fold((0.0, 0.0), |(listed, free), (name, b)| {
        let usable = b.serving && !b.disabled && !without.contains(name);
        (listed + 1.0, free + if usable { b.readiness } else { 0.0 })
    })
}

/// A proptest configuration with a fixed seed.
fn config(cases: u32) -> ProptestConfig {
    let rng_seed = proptest::test_runner::RngSeed::Fixed(19);
    ProptestConfig {
        cases,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config(512))]

    #[test]
    fn merging_is_commutative_associative_and_idempotent(a in any_window(), b in any_window(), c in any_window()) {
        let ab = merged(a.clone(), &b);
        prop_assert_eq!(&ab, &merged(b.clone(), &a));
        prop_assert_eq!(merged(ab.clone(), &c), merged(a.clone(), &merged(b.clone(), &c)));
        prop_assert_eq!(merged(ab.clone(), &a), ab.clone());
        prop_assert!(!ab.clone().merge(&b), "the second merge of the same window changed something");
        prop_assert!(ab.cancelled >= a.cancelled && ab.progress >= a.progress);
        if a.progress.as_ref().zip(b.progress.as_ref()).is_some_and(|(a, b)| a.occurrence == b.occurrence && a.token > b.token) {
            prop_assert_eq!(ab.progress, a.progress, "the decision with the higher token does not apply");
        }
        if a.spec.version > b.spec.version {
            prop_assert_eq!(ab.spec, a.spec, "the later call does not apply");
        }
    }

    /// Three proxies accept calls and hold the lease in holder_draw, while the windows that they send are lost,
    /// duplicated or delayed. Comparing digests makes them equal again.
    #[test]
    fn replicas_become_equal(seconds in seconds(), deliveries in proptest::collection::vec(0..4u8, 64)) {
        let (mut proxies, fleet, mut token_number) = (vec![calendar(0.5); 3], fleet(), 1);
        let mut deliveries = deliveries.into_iter().cycle();
        let mut delayed: Vec<(usize, Window)> = Vec::new();
        for (s, (kind, i, _, _, holder_draw)) in seconds.into_iter().enumerate() {
            let now = s as u64;
            call(&mut proxies[i % 3], kind, i, now);
            token_number += u64::from(holder_draw == 0);
            proxies[token_number as usize % 3].advance(at(now), token(token_number), &fleet, &idle());
            for from in 0..3 {
                for window in proxies[from].take_changed() {
                    for to in (0..3).filter(|to| *to != from) {
                        match deliveries.next().unwrap() {
                            0 => {}
                            1 => delayed.push((to, window.clone())),
                            n => (1..n).for_each(|_| merge_all(&mut proxies[to], std::slice::from_ref(&window), at(now))),
                        }
                    }
                }
            }
        }
        let now = at(150);
        delayed.reverse();
        delayed.into_iter().for_each(|(to, window)| merge_all(&mut proxies[to], &[window], now));
        for (from, to) in [(0, 1), (1, 2), (0, 1), (2, 0)] {
            for digest in proxies[from].digests(now) {
                let differences = proxies[to].compare(&digest, now);
                let answers = proxies[from].windows_with_id_hashes(&differences.to_request, now);
                merge_all(&mut proxies[to], &answers, now);
                merge_all(&mut proxies[from], &differences.to_send, now);
            }
        }
        for other in &proxies[1..] {
            prop_assert_eq!(proxies[0].list(now), other.list(now));
            prop_assert_eq!(proxies[0].digests(now), other.digests(now));
        }
    }

    #[test]
    fn malformed_input_causes_no_panic(edits in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3u8), 1..6), s in 0..400u64) {
        let edit = |mut bytes: Vec<u8>| {
            for (at, byte, how) in &edits {
                let at = at.index(bytes.len().max(1)).min(bytes.len());
                match how {
                    0 if at < bytes.len() => bytes[at] = *byte,
                    1 => bytes.insert(at, *byte),
                    _ => bytes.truncate(bytes.len() - (bytes.len() - at).min(usize::from(*byte))),
                }
            }
            bytes
        };
        let (mut c, now) = (calendar(0.5), at(s));
        let body = br#"{"kind":"m1","recurring":{"days":["mon","wed"],"at":"12:02","zone":"Africa/Lagos","lasts_s":60},"by":"x"}"#;
        for bytes in [body.to_vec(), edit(body.to_vec())] {
            if let Ok(spec) = Spec::from_json(&bytes) {
                let _ = c.put("w", spec, version(s), now);
            }
        }
        let known = c.get("w").unwrap().encode();
        for bytes in [edit(largest().encode()), edit(known)] {
            if let Ok(window) = Window::decode(&bytes, now) {
                let _ = c.merge(&window, now);
                prop_assert!(c.get(&window.id).is_none_or(|e| e.encode().len() <= MAX_WINDOW_BYTES));
            }
        }
        if let Ok(digest) = postcard::from_bytes::<Digest>(&edit(postcard::to_stdvec(&c.digests(now)[0]).unwrap())) {
            c.compare(&digest, now);
        }
        for later in [now, at(s + 90), WallTime(u64::MAX), WallTime(0)] {
            c.advance(later, token(9), &fleet(), &idle());
            c.backends_in_maintenance(later, Micros(u64::MAX), &fleet());
            c.list(later);
        }
    }
}

proptest! {
    #![proptest_config(config(64))]

    /// While holders change at random, backends fail and recover, and operators make calls, no window starts that
    /// leaves less capacity than the floor, and each window and its backends go out of service once and return once.
    #[test]
    fn the_floor_is_kept_and_all_backends_return(seconds in seconds()) {
        let floor = 0.5;
        let (mut holder, mut follower, mut fleet) = (calendar(floor), calendar(floor), fleet());
        let (mut token_number, mut seen) = (1, BTreeMap::<(String, Phase), usize>::new());
        let (mut previously_in_maintenance, mut returns) = (BTreeSet::new(), BTreeMap::<String, usize>::new());
        for s in 0..400u64 {
            let now = at(s);
            if let Some(&(kind, i, j, change, holder_draw)) = seconds.get(s as usize) {
                call(if j % 2 == 0 { &mut holder } else { &mut follower }, kind, i, s);
                change_fleet(&mut fleet, j, change);
                if holder_draw == 0 {
                    token_number += 1;
                    std::mem::swap(&mut holder, &mut follower);
                }
                merge_all(&mut holder, &follower.take_changed(), now);
            }
            let transitions = holder.advance(now, token(token_number), &fleet, &idle());
            merge_all(&mut follower, &holder.take_changed(), now);
            let begun: Vec<String> = transitions.iter().filter(|t| t.to == Phase::Draining).map(|t| t.window.clone()).collect();
            let newly_drained = occupied_backends(&holder, &fleet, now, &[Phase::Draining], &|id| begun.contains(&id.to_string()));
            let occupied = occupied_backends(&holder, &fleet, now, &OCCUPIED, &|_| true);
            let touched = newly_drained.iter().filter_map(|n| fleet.get(n)).flat_map(|b| [&b.kind, &b.zone]);
            for group in touched.collect::<BTreeSet<_>>() {
                let (listed, free) = capacity(&fleet, group, &occupied);
                prop_assert!(free >= floor * listed - 1e-9, "second {s}: {free} of {listed} left of {group} after {transitions:?}");
            }
            for transition in &transitions {
                prop_assert!(transition.to > transition.from && transition.token == token(token_number));
                *seen.entry((transition.window.clone(), transition.to)).or_default() += 1;
            }
            let again = holder.clone().advance(now, token(token_number), &fleet, &idle());
            prop_assert!(again.iter().all(|t| !seen.contains_key(&(t.window.clone(), t.to))), "repeated transitions: {again:?}");
            let in_maintenance = follower.backends_in_maintenance(now, Micros(0), &fleet);
            prop_assert_eq!(&in_maintenance, &occupied_backends(&holder, &fleet, now, &IN_EFFECT, &|_| true));
            for name in previously_in_maintenance.difference(&in_maintenance) {
                *returns.entry(String::clone(name)).or_default() += 1;
            }
            previously_in_maintenance = in_maintenance;
        }
        prop_assert!(previously_in_maintenance.is_empty(), "{previously_in_maintenance:?} never returned");
        prop_assert!(seen.values().all(|times| *times == 1), "{seen:?}");
        let times = |phase| seen.keys().filter(|(_, p)| *p == phase).count();
        prop_assert_eq!(times(Phase::Draining), times(Phase::Restoring) + times(Phase::Overrun));
        prop_assert!(returns.values().all(|n| *n <= times(Phase::Draining)));
    }
}

proptest! {
    /// While a calendar reports that it needs no list of backends, its transitions and its backends in maintenance are
    /// the same with and without the list, whether the proxy is isolated or not, and remain the same afterwards.
    #[test]
    fn the_list_of_backends_has_no_effect_while_it_is_not_needed(
        windows in prop::collection::vec((0u64..200, 1u64..100, 0u32..30, 0usize..4, any::<bool>()), 1..5),
        times in prop::collection::vec((0u64..400, any::<bool>()), 1..20),
    ) {
        let fleet = fleet();
        let mut original = calendar(0.4);
        for (n, (begin, duration_s, lead, target, cancelled)) in windows.into_iter().enumerate() {
            let targets = [ids(&[n, n + 3]), Targets::Zone("a".into()), Targets::Kind("m1".into()), Targets::Cell(1)];
            let id = format!("w{n}");
            let put = original.put(&id, once(targets[target].clone(), begin + 1, begin + 1 + duration_s.max(1) + u64::from(lead), lead, 5), version(0), at(0));
            prop_assert!(put.is_ok(), "{put:?}");
            if cancelled {
                prop_assert!(original.cancel(&id, version(1), at(0)).is_ok());
            }
        }
        let mut times = times;
        times.sort_unstable();
        let since_holder = [Micros(0), Micros(u64::MAX)];
        for (secs, is_isolated) in times {
            let now = at(secs);
            if !original.needs_backends(now) {
                let mut without_list = original.clone();
                let mut with_list = original.clone();
                let none = ListedBackends::new();
                for since_holder in since_holder {
                    prop_assert_eq!(without_list.backends_in_maintenance(now, since_holder, &none), with_list.backends_in_maintenance(now, since_holder, &fleet));
                }
                prop_assert_eq!(without_list.advance(now, token(9), &none, &OpenRequestReports::new()), with_list.advance(now, token(9), &fleet, &idle()));
                prop_assert_eq!(without_list.take_changed(), with_list.take_changed());
            }
            if is_isolated {
                original.backends_in_maintenance(now, since_holder[1], &fleet);
            } else {
                original.advance(now, token(8), &fleet, &idle());
            }
        }
    }
}

/// A calendar needs the list of backends only from 5 s before a window drains until the window is over.
#[test]
fn the_list_of_backends_is_needed_only_around_windows() {
    let mut calendar = calendar(0.4);
    assert!(!calendar.needs_backends(at(0)) && !calendar.any_window_in_effect());
    calendar
        .put("w", once(ids(&[1]), 100, 130, 10, 0), version(0), at(0))
        .unwrap();
    let mut needed = Vec::new();
    for secs in 0..200 {
        calendar.advance(at(secs), token(8), &fleet(), &idle());
        if calendar.needs_backends(at(secs)) {
            needed.push(secs);
        }
    }
    let expected: Vec<u64> = (85..130 + SLOW_START_S).collect();
    assert_eq!(needed, expected);
}
