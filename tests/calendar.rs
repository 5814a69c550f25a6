//! The calendar of maintenance windows: bodies, local time, phases, budget, merging, isolated proxies.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use meadowproxy::fleet::calendar::*;
use meadowproxy::fleet::lease::Token;
use meadowproxy::Micros;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// 2026-12-02, noon.
const NOON: WallTime = WallTime(1_796_212_800_000_000);
const RAMP: u64 = 10;

fn at(secs: u64) -> WallTime {
    NOON + Micros(secs * 1_000_000)
}

fn instant(text: &str) -> WallTime {
    parse_instant("", text).unwrap()
}

fn calendar(floor: f64) -> Calendar {
    let budget = DisruptionBudget {
        kind_floor: floor,
        zone_floor: floor,
    };
    Calendar::new(Rules {
        budget,
        slow_start: Micros(RAMP * 1_000_000),
        isolation_timeout: Micros(5_000_000),
    })
}

fn token(number: u64) -> Token {
    Token {
        number,
        incarnation: 7,
    }
}

fn version(secs: u64) -> Version {
    Version {
        called_at: at(secs),
        incarnation: 1,
    }
}

fn ids(ids: &[usize]) -> Targets {
    Targets::Ids(ids.iter().map(|i| format!("s{i}")).collect())
}

/// From second to second after noon.
fn once(targets: Targets, begin: u64, end: u64, lead_s: u32, overrun_s: u32) -> Spec {
    let when = Schedule::Once(Span {
        begin: at(begin),
        end: at(end),
    });
    Spec {
        targets,
        schedule: when,
        lead_s,
        overrun_s,
        requested_by: "ops".into(),
    }
}

/// Twelve backends of two kinds in three zones.
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

/// One proxy without open requests, that just said so.
fn idle() -> OpenRequestReports {
    BTreeMap::from([(1, OpenRequestReport::default())])
}

fn phase(calendar: &Calendar, id: &str, now: WallTime) -> Phase {
    calendar
        .list(now)
        .into_iter()
        .find(|v| v.id == id)
        .unwrap()
        .phase
}

/// Steps each second and notes what happens, as "second window step".
fn run(
    calendar: &mut Calendar,
    secs: std::ops::Range<u64>,
    fleet: &ListedBackends,
    reports: &OpenRequestReports,
) -> Vec<String> {
    let steps = secs.flat_map(|s| {
        let steps = calendar.advance(at(s), token(1), fleet, reports);
        steps
            .into_iter()
            .map(move |t| format!("{s} {} {}", t.window, t.to.name()))
    });
    steps.collect()
}

#[test]
fn a_body_is_refused_by_the_field_at_fault() {
    let base = r#""begin":"2026-12-02T13:00:00Z","end":"2026-12-02T14:00:00Z","by":"ops""#;
    let often = |more: &str| format!(r#""ids":["a"],"by":"x","recurring":{{{more}}}"#);
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
            often(r#""days":["mo"],"at":"02:30","zone":"UTC","lasts_s":60"#),
            "recurring.days",
        ),
        (
            often(r#""days":[],"at":"02:30","zone":"UTC","lasts_s":60"#),
            "recurring.days",
        ),
        (
            often(r#""days":"daily","at":"24:00","zone":"UTC","lasts_s":60"#),
            "recurring.at",
        ),
        (
            often(r#""days":"daily","at":"02:30","zone":"Africa/Atlantis","lasts_s":60"#),
            "recurring.zone",
        ),
        (
            often(r#""days":"daily","at":"02:30","zone":"UTC","lasts_s":0"#),
            "recurring.lasts_s",
        ),
        (
            often(r#""days":"daily","at":"02:30","zone":"UTC","lasts_s":75600"#),
            "recurring.lasts_s",
        ),
    ];
    for (body, field) in cases {
        let refused = Spec::from_json(format!("{{{body}}}").as_bytes()).unwrap_err();
        assert_eq!(refused.field, field, "{body}: {refused}");
    }
    let odd =
        Spec::from_json(format!(r#"{{"ids":["a"],"colour":1,{base}}}"#).as_bytes()).unwrap_err();
    assert!(odd.to_string().contains("colour"), "{odd}");
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
fn a_call_conflicts_repeats_or_comes_too_late() {
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
    // A later call wins, though it came to a proxy whose clock is behind.
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
    // An hour later the id is free, and so is its place.
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
fn local_time_follows_daylight() {
    let spec = |days: &str, zone: &str| {
        let when = format!(r#"{{"days":{days},"at":"02:30","zone":"{zone}","lasts_s":3600}}"#);
        Spec::from_json(format!(r#"{{"ids":["a"],"by":"x","recurring":{when}}}"#).as_bytes())
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
    // There is no 02:30 on 29 March: it is 03:30 then. On 25 October there are two, and the first counts.
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
        "at the instant itself"
    );
    assert_eq!(
        instant("2026-03-29T02:30:00[Europe/Berlin]"),
        instant("2026-03-29T01:30:00Z")
    );
    assert_eq!(instant("2026-12-02T13:00:00+01:00[Africa/Lagos]"), NOON);
    assert!(
        parse_instant("end", "2026-12-02T13:00:00+05:00[Africa/Lagos]").is_err(),
        "not Lagos' offset"
    );
}

#[test]
fn a_window_goes_through_its_phases() {
    let (mut c, mut fleet) = (calendar(0.5), fleet());
    c.put("w", once(ids(&[0]), 100, 200, 30, 60), version(0), at(0))
        .unwrap();
    // Drained only after every report is younger than the notification, and has no open request.
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
    // Its end comes, and its backend is not back.
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

    // Begun by hand, it opens when drained, lasts as long as planned, and comes again the next day.
    let mut c = calendar(0.5);
    let when = Schedule::Recurring {
        weekdays: 0x7f,
        minute_of_day: 14 * 60,
        time_zone: "UTC".into(),
        duration_s: 100,
    };
    let spec = Spec {
        schedule: when,
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
    // Nobody held the duty for two days: what was on ends, what was missed is skipped, the next one comes.
    let days = 4 * 24 * 3600 + 2 * 3600;
    let steps = run(&mut c, days - 40..days - 29, &fleet, &idle());
    let want = [
        (days - 40, "restoring"),
        (days - 30, "done"),
        (days - 30, "draining"),
    ];
    assert_eq!(steps, want.map(|(s, step)| format!("{s} often {step}")));
}

#[test]
fn windows_wait_for_the_budget_in_order() {
    let (mut c, mut fleet) = (calendar(0.5), fleet());
    // Kind m1 has six: each takes two, and only one fits beside a disabled one.
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
    // d waits behind them though its backend is banned anyway; m2 takes nothing of what they wait for.
    steps.retain(|s| s.ends_with("draining"));
    assert_eq!(steps, ["60 c draining", "90 m2 draining"]);
    // a is next even though b takes less; b's time runs out.
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
fn a_former_holders_decision_loses_everywhere() {
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
    // The one holds, steps and stops before anyone hears it; the other, its clock a little behind, is next.
    assert_eq!(late.advance(at(69), token(1), &fleet, &idle()).len(), 1);
    assert_eq!(next.advance(at(67), token(2), &fleet, &idle()), []);
    for entry in late.take_changed() {
        next.merge(&entry, at(71)).unwrap();
    }
    for entry in next.take_changed() {
        late.merge(&entry, at(71)).unwrap();
    }
    assert_eq!(late.get("v"), next.get("v"));
    assert_eq!(
        phase(&late, "v", at(71)),
        Phase::Planned,
        "the decision of the higher token"
    );
    assert_eq!(
        late.advance(at(72), token(1), &fleet, &idle()),
        [],
        "and the former holder is notified"
    );
    // What is under way goes on under the next token from where it stands.
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
fn a_proxy_that_is_cut_off_goes_by_its_copy() {
    let (mut c, mut fleet) = (calendar(0.5), fleet());
    let names = |out: BTreeSet<String>| out.into_iter().collect::<Vec<_>>().join(" ");
    let (since_holder, lost) = (Micros(5_000_000), Micros(5_000_001));
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
        "the decision of the holder"
    );
    assert_eq!(names(c.backends_in_maintenance(at(69), lost, &fleet)), "s0");
    // Due by its own clock, where the budget allows; a zone as a whole is over it.
    assert_eq!(
        names(c.backends_in_maintenance(at(70), lost, &fleet)),
        "s0 s1 s2 s3"
    );
    // Once begun it stays, though the budget would not allow it any more, and after a decision that names others.
    (4..9).for_each(|i| fleet.get_mut(&format!("s{i}")).unwrap().readiness = 0.0);
    assert_eq!(
        names(c.backends_in_maintenance(at(150), lost, &fleet)),
        "s0 s1 s2 s3"
    );
    assert_eq!(
        names(c.backends_in_maintenance(at(160), since_holder, &fleet)),
        "s0 s1 s2 s3"
    );
    // Until the holder's newer decision on it, or its end.
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
    // Whoever comes to hold the duty continues what it drained while isolated: no budget and no lead, which is longer
    // than the time left, brings it back into its window.
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
        names(c.backends_in_maintenance(at(200), lost, &fleet)),
        "s0"
    );
    // The holder's own end would wait for the overrun; who is cut off restores at the end, and stays so.
    assert_eq!(
        names(c.backends_in_maintenance(at(299), lost, &fleet)),
        "s0"
    );
    assert_eq!(
        names(
            c.clone()
                .backends_in_maintenance(at(300), since_holder, &fleet)
        ),
        "s0"
    );
    assert_eq!(names(c.backends_in_maintenance(at(300), lost, &fleet)), "");
    assert_eq!(
        names(c.backends_in_maintenance(at(310), since_holder, &fleet)),
        ""
    );
    // Begun by hand and over, it does not come again at its planned time, but the next day.
    let (mut c, fleet) = (calendar(0.5), self::fleet());
    let when = Schedule::Recurring {
        weekdays: 0x7f,
        minute_of_day: 14 * 60,
        time_zone: "UTC".into(),
        duration_s: 100,
    };
    c.put(
        "often",
        Spec {
            schedule: when,
            ..once(ids(&[1]), 0, 0, 30, 0)
        },
        version(0),
        at(0),
    )
    .unwrap();
    c.start_now("often", version(10), at(10)).unwrap();
    let outs = [
        10,
        139,
        140,
        7200,
        26 * 3600 - 31,
        26 * 3600 - 30,
        26 * 3600 + 100,
    ];
    let outs = outs.map(|s| names(c.backends_in_maintenance(at(s), lost, &fleet)));
    assert_eq!(outs, ["s1", "s1", "", "", "", "s1", ""]);
    assert_eq!(
        c.list(at(5000))[0].begin.as_deref(),
        Some("2026-12-03T14:00:00Z")
    );
    // An operator's cancel that reached the copy counts at once.
    let mut c = calendar(0.5);
    c.put("off", once(ids(&[0]), 50, 300, 30, 0), version(0), at(0))
        .unwrap();
    assert_eq!(names(c.backends_in_maintenance(at(60), lost, &fleet)), "s0");
    c.cancel("off", version(61), at(61)).unwrap();
    assert_eq!(names(c.backends_in_maintenance(at(62), lost, &fleet)), "");
}

/// An entry with every field as long as it may be.
fn largest() -> Window {
    let name = |i: usize| format!("{i:0>63}");
    let when = Schedule::Recurring {
        weekdays: 0x7f,
        minute_of_day: 1439,
        time_zone: "America/Argentina/ComodRivadavia".into(),
        duration_s: 9999,
    };
    let spec = Spec {
        targets: Targets::Ids((0..MAX_IDS_BYTES / 64).map(name).collect()),
        schedule: when,
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
    let mark = Progress {
        occurrence: at(0),
        token,
        phase: Phase::Refused,
        since: at(0),
        reason: "y".repeat(160),
    };
    let (spec, cancelled, mark) = (
        Versioned {
            version,
            value: spec,
        },
        Some(version),
        Some(mark),
    );
    Window {
        id: "z".repeat(MAX_NAME_BYTES),
        spec,
        extension: change.clone(),
        early_start: change,
        cancelled,
        progress: mark,
    }
}

#[test]
fn the_largest_entry_fits_a_datagram() {
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
    let mut odd = largest();
    odd.progress.as_mut().unwrap().token.number = u64::MAX;
    assert!(
        matches!(Window::decode(&odd.encode(), at(0)), Err(WindowError::Field(f)) if f.field == "mark")
    );
}

#[test]
fn who_joins_late_is_sent_all() {
    let (mut full, mut fresh, mut rounds) = (calendar(0.5), calendar(0.5), 0);
    for i in 0..MAX_WINDOWS {
        full.put(
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
    while full.digests(at(1)) != fresh.digests(at(1)) {
        rounds += 1;
        assert!(rounds < 10);
        for digest in fresh.digests(at(1)) {
            let lacking = full.compare(&digest, at(1));
            assert!(lacking.to_send.len() <= MAX_WINDOWS_PER_RESPONSE);
            merge_all(
                &mut full,
                &fresh.windows_with_id_hashes(&lacking.to_request, at(1)),
                at(1),
            );
            merge_all(&mut fresh, &lacking.to_send, at(1));
        }
    }
    assert_eq!(full.list(at(1)).len(), MAX_WINDOWS + 1);
    // What is forgotten is neither sent nor taken.
    let entry = full.get("own").unwrap().clone();
    assert!(full.digests(at(3800)).iter().all(|d| d.rows.is_empty()));
    assert_eq!(calendar(0.5).merge(&entry, at(3800)), Ok(false));
}

/// Windows whose ids, times, tokens and stamps meet often.
fn entries() -> impl Strategy<Value = Window> {
    let version = || {
        (0..3u64, 0..3u64).prop_map(|(s, by)| Version {
            called_at: at(s),
            incarnation: by,
        })
    };
    let change = || {
        let of = |(version, s): (Version, u64)| Versioned {
            version,
            value: OccurrenceChange {
                occurrence: at(100),
                at: at(s),
            },
        };
        proptest::option::of((version(), 200..203u64).prop_map(of))
    };
    let steps = [
        Phase::Planned,
        Phase::Draining,
        Phase::Drained,
        Phase::Open,
        Phase::Restoring,
        Phase::Done,
        Phase::Refused,
    ];
    let mark = (
        0..2u64,
        0..3u64,
        proptest::sample::select(steps.to_vec()),
        0..3u64,
    );
    let mark = mark.prop_map(|(o, t, step, s)| Progress {
        occurrence: at(100 + o),
        token: token(t),
        phase: step,
        since: at(s),
        reason: format!("{s}"),
    });
    let fields = (
        version(),
        0..2usize,
        change(),
        change(),
        proptest::option::of(version()),
        proptest::option::of(mark),
    );
    fields.prop_map(|(version, i, extended, begun, cancelled, mark)| {
        let spec = Versioned {
            version,
            value: once(ids(&[i]), 100, 200, 30, 0),
        };
        Window {
            id: "w".into(),
            spec,
            extension: extended,
            early_start: begun,
            cancelled,
            progress: mark,
        }
    })
}

fn merged(mut one: Window, other: &Window) -> Window {
    one.merge(other);
    one
}

fn merge_all(to: &mut Calendar, entries: &[Window], now: WallTime) {
    entries
        .iter()
        .for_each(|e| assert!(to.merge(e, now).is_ok()));
}

/// An operator's call or nothing, at a second.
fn call(c: &mut Calendar, kind: u8, i: usize, now: u64) {
    let (id, s) = (
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
            c.put(&id, spec, s, at(now))
        }
        4 => c.cancel(&id, s, at(now)),
        5 => c.extend(&id, at(now + 60), s, at(now)),
        6 => c.start_now(&id, s, at(now)),
        _ => Ok(CallOutcome::Unchanged),
    };
}

/// What the second brings: a call, a change of one backend, a change of the holder.
type Second = (u8, usize, usize, u8, u8);

fn seconds() -> impl Strategy<Value = Vec<Second>> {
    proptest::collection::vec((0..60u8, 0..12usize, 0..12usize, 0..30u8, 0..20u8), 150)
}

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

/// The names that windows in these steps have, by an own reading of the list.
fn occupied_backends(
    c: &Calendar,
    fleet: &ListedBackends,
    now: WallTime,
    steps: &[Phase],
    of: &dyn Fn(&str) -> bool,
) -> BTreeSet<String> {
    let views = c
        .list(now)
        .into_iter()
        .filter(|v| steps.contains(&v.phase) && of(&v.id));
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

const IN_EFFECT: [Phase; 3] = [Phase::Draining, Phase::Drained, Phase::Open];
const OCCUPIED: [Phase; 4] = [
    Phase::Draining,
    Phase::Drained,
    Phase::Open,
    Phase::Restoring,
];

/// Listed and free capacity of the kind or zone, without these.
fn capacity(fleet: &ListedBackends, group: &str, without: &BTreeSet<String>) -> (f64, f64) {
    let of = fleet
        .iter()
        .filter(|(_, b)| b.kind == group || b.zone == group);
    of.fold((0.0, 0.0), |(listed, free), (name, b)| {
        let usable = b.serving && !b.disabled && !without.contains(name);
        (listed + 1.0, free + if usable { b.readiness } else { 0.0 })
    })
}

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
    fn merging_is_commutative_associative_and_idempotent(a in entries(), b in entries(), c in entries()) {
        let ab = merged(a.clone(), &b);
        prop_assert_eq!(&ab, &merged(b.clone(), &a));
        prop_assert_eq!(merged(ab.clone(), &c), merged(a.clone(), &merged(b.clone(), &c)));
        prop_assert_eq!(merged(ab.clone(), &a), ab.clone());
        prop_assert!(!ab.clone().merge(&b), "nothing new the second time");
        prop_assert!(ab.cancelled >= a.cancelled && ab.progress >= a.progress);
        if a.progress.as_ref().zip(b.progress.as_ref()).is_some_and(|(a, b)| a.occurrence == b.occurrence && a.token > b.token) {
            prop_assert_eq!(ab.progress, a.progress, "the higher token's decision");
        }
        if a.spec.version > b.spec.version {
            prop_assert_eq!(ab.spec, a.spec, "the later call");
        }
    }

    /// Three proxies take calls and hold in turn; what one sends is lost, duplicated or delayed, and
    /// digests repair it.
    #[test]
    fn replicas_become_equal(seconds in seconds(), deliveries in proptest::collection::vec(0..4u8, 64)) {
        let (mut proxies, fleet, mut holding) = (vec![calendar(0.5); 3], fleet(), 1);
        let mut deliveries = deliveries.into_iter().cycle();
        let mut late: Vec<(usize, Window)> = Vec::new();
        for (s, (kind, i, _, _, turn)) in seconds.into_iter().enumerate() {
            let now = s as u64;
            call(&mut proxies[i % 3], kind, i, now);
            holding += u64::from(turn == 0);
            proxies[holding as usize % 3].advance(at(now), token(holding), &fleet, &idle());
            for from in 0..3 {
                for entry in proxies[from].take_changed() {
                    for to in (0..3).filter(|to| *to != from) {
                        match deliveries.next().unwrap() {
                            0 => {}
                            1 => late.push((to, entry.clone())),
                            n => (1..n).for_each(|_| merge_all(&mut proxies[to], std::slice::from_ref(&entry), at(now))),
                        }
                    }
                }
            }
        }
        let now = at(150);
        late.reverse();
        late.into_iter().for_each(|(to, entry)| merge_all(&mut proxies[to], &[entry], now));
        for (from, to) in [(0, 1), (1, 2), (0, 1), (2, 0)] {
            for digest in proxies[from].digests(now) {
                let lacking = proxies[to].compare(&digest, now);
                let answers = proxies[from].windows_with_id_hashes(&lacking.to_request, now);
                merge_all(&mut proxies[to], &answers, now);
                merge_all(&mut proxies[from], &lacking.to_send, now);
            }
        }
        for other in &proxies[1..] {
            prop_assert_eq!(proxies[0].list(now), other.list(now));
            prop_assert_eq!(proxies[0].digests(now), other.digests(now));
        }
    }

    #[test]
    fn nothing_from_outside_panics(edits in proptest::collection::vec((any::<prop::sample::Index>(), any::<u8>(), 0..3u8), 1..6), s in 0..400u64) {
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
            if let Ok(entry) = Window::decode(&bytes, now) {
                let _ = c.merge(&entry, now);
                prop_assert!(c.get(&entry.id).is_none_or(|e| e.encode().len() <= MAX_WINDOW_BYTES));
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

    /// Holders change at random, backends fail and come back, operators call: no window starts that leaves
    /// less than the floor; each window and each backend goes out once and returns once.
    #[test]
    fn the_floor_holds_and_all_return(seconds in seconds()) {
        let floor = 0.5;
        let (mut holder, mut follower, mut fleet) = (calendar(floor), calendar(floor), fleet());
        let (mut token_now, mut seen) = (1, BTreeMap::<(String, Phase), usize>::new());
        let (mut out, mut back) = (BTreeSet::new(), BTreeMap::<String, usize>::new());
        for s in 0..400u64 {
            let now = at(s);
            if let Some(&(kind, i, j, change, turn)) = seconds.get(s as usize) {
                call(if j % 2 == 0 { &mut holder } else { &mut follower }, kind, i, s);
                change_fleet(&mut fleet, j, change);
                if turn == 0 {
                    token_now += 1;
                    std::mem::swap(&mut holder, &mut follower);
                }
                merge_all(&mut holder, &follower.take_changed(), now);
            }
            let steps = holder.advance(now, token(token_now), &fleet, &idle());
            merge_all(&mut follower, &holder.take_changed(), now);
            let begun: Vec<String> = steps.iter().filter(|t| t.to == Phase::Draining).map(|t| t.window.clone()).collect();
            let taken = occupied_backends(&holder, &fleet, now, &[Phase::Draining], &|id| begun.contains(&id.to_string()));
            let held = occupied_backends(&holder, &fleet, now, &OCCUPIED, &|_| true);
            let touched = taken.iter().filter_map(|n| fleet.get(n)).flat_map(|b| [&b.kind, &b.zone]);
            for group in touched.collect::<BTreeSet<_>>() {
                let (listed, free) = capacity(&fleet, group, &held);
                prop_assert!(free >= floor * listed - 1e-9, "{s}: {group} {free} of {listed}: {steps:?}");
            }
            for step in &steps {
                prop_assert!(step.to > step.from && step.token == token(token_now));
                *seen.entry((step.window.clone(), step.to)).or_default() += 1;
            }
            let again = holder.clone().advance(now, token(token_now), &fleet, &idle());
            prop_assert!(again.iter().all(|t| !seen.contains_key(&(t.window.clone(), t.to))), "{again:?}");
            let kept = follower.backends_in_maintenance(now, Micros(0), &fleet);
            prop_assert_eq!(&kept, &occupied_backends(&holder, &fleet, now, &IN_EFFECT, &|_| true));
            for name in out.difference(&kept) {
                *back.entry(String::clone(name)).or_default() += 1;
            }
            out = kept;
        }
        prop_assert!(out.is_empty(), "{out:?} never came back");
        prop_assert!(seen.values().all(|times| *times == 1), "{seen:?}");
        let times = |step| seen.keys().filter(|(_, s)| *s == step).count();
        prop_assert_eq!(times(Phase::Draining), times(Phase::Restoring) + times(Phase::Overrun));
        prop_assert!(back.values().all(|n| *n <= times(Phase::Draining)));
    }
}

proptest! {
    /// While it says that it needs no fleet, a calendar steps the same with one and without, and has the same backends in maintenance, isolated or
    /// not; and so it does from then on.
    #[test]
    fn while_the_fleet_is_not_needed_it_makes_no_difference(
        windows in prop::collection::vec((0u64..200, 1u64..100, 0u32..30, 0usize..4, any::<bool>()), 1..5),
        times in prop::collection::vec((0u64..400, any::<bool>()), 1..20),
    ) {
        let fleet = fleet();
        let mut held = calendar(0.4);
        for (n, (begin, lasts, lead, what, cancelled)) in windows.into_iter().enumerate() {
            let targets = [ids(&[n, n + 3]), Targets::Zone("a".into()), Targets::Kind("m1".into()), Targets::Cell(1)];
            let id = format!("w{n}");
            let put = held.put(&id, once(targets[what].clone(), begin + 1, begin + 1 + lasts.max(1) + u64::from(lead), lead, 5), version(0), at(0));
            prop_assert!(put.is_ok(), "{put:?}");
            if cancelled {
                prop_assert!(held.cancel(&id, version(1), at(0)).is_ok());
            }
        }
        let mut times = times;
        times.sort_unstable();
        let since_holder = [Micros(0), Micros(u64::MAX)];
        for (secs, cut) in times {
            let now = at(secs);
            if !held.needs_backends(now) {
                let mut blind = held.clone();
                let mut seeing = held.clone();
                let none = ListedBackends::new();
                for since_holder in since_holder {
                    prop_assert_eq!(blind.backends_in_maintenance(now, since_holder, &none), seeing.backends_in_maintenance(now, since_holder, &fleet));
                }
                prop_assert_eq!(blind.advance(now, token(9), &none, &OpenRequestReports::new()), seeing.advance(now, token(9), &fleet, &idle()));
                prop_assert_eq!(blind.take_changed(), seeing.take_changed());
            }
            if cut {
                held.backends_in_maintenance(now, since_holder[1], &fleet);
            } else {
                held.advance(now, token(8), &fleet, &idle());
            }
        }
    }
}

/// A quiet calendar needs no fleet: from 5 s before a window drains until it is over, and no longer.
#[test]
fn the_fleet_is_needed_around_windows_only() {
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
    let whole: Vec<u64> = (85..130 + RAMP).collect();
    assert_eq!(needed, whole);
}
