//! Settings that change while requests are open.

mod common;

use common::*;
use shaletide::*;

fn config() -> Config {
    let classes = vec![class(Effect::Free), class(Effect::Unsafe)];
    Config { proxies: 1, classes, max_attempts: 3, ..Config::example() }
}

/// The second class becomes free to repeat, under a number of its own; attempts get fewer.
fn changed() -> Config {
    let classes = vec![class(Effect::Free), class(Effect::Unsafe), class(Effect::Free)];
    Config { classes, max_attempts: 2, ..config() }
}

fn change(host: &mut Host) {
    host.cfg = changed();
    host.cfg.max_attempts = 3; // the harness checks the most that any open request may have
    let config = Box::new(changed());
    let heirs = vec![(ClassId(2), ClassId(1))];
    host.event(Event::Settings { config, live: vec![true, false, true], heirs });
}

fn host(seed: u64) -> Host {
    let mut host = Host::new(config(), seed);
    host.members(ListUpdate::Full, (0..6).map(|n| backend(n, 0, 0)).collect());
    for _ in 0..30 {
        host.burst(3, 0, 400_000);
        host.burst(3, 1, 400_000);
        host.serve_all(20_000);
    }
    host
}

#[test]
fn a_request_ends_under_the_rules_that_it_came_with() {
    let mut host = host(3);
    let (free, bound) = (host.arrive(0, 400_000), host.arrive(1, 400_000));
    change(&mut host);
    let again = host.arrive(2, 400_000);
    host.end(bound, 0, Outcome::Reset);
    assert_eq!(host.requests[&bound].answer, Some("failed"), "unsafe when it came");
    for (id, most) in [(free, 3), (again, 2)] {
        for no in 0..most {
            host.end(id, no, Outcome::Error);
        }
        assert_eq!((host.sent_to(id).len(), host.requests[&id].answer), (most, Some("refused")));
    }
}

/// What was learned of a class goes on under its new number, and a class that was dropped still ends what it has.
#[test]
fn estimates_go_on_and_what_was_dropped_weighs_no_more() {
    let mut host = host(4);
    let last = host.arrive(1, 400_000);
    change(&mut host);
    host.serve_all(20_000);
    assert_eq!(host.requests[&last].answer, Some("served"));
    // Its usual time is known: held past that, it is refused while refusing is still harmless.
    let fleet: Vec<_> = host.list.values().cloned().collect();
    host.members(ListUpdate::Full, Vec::new());
    let held = host.arrive(2, 400_000);
    host.advance(365_000);
    assert_eq!(host.requests[&held].answer, None, "not a quarter of its aim before the end, as if unknown");
    host.advance(35_000);
    assert_eq!(host.requests[&held].answer, Some("refused"));
    host.members(ListUpdate::Full, fleet);
    let ids = host.burst(4, 2, 400_000);
    host.serve_all(20_000);
    assert!(ids.iter().all(|id| host.requests[id].answer == Some("served")));
}

#[test]
fn settings_that_forget_a_number_are_not_taken() {
    let mut host = host(5);
    for bad in
        [Config { classes: vec![class(Effect::Free)], ..config() }, Config { max_attempts: 0, ..changed() }]
    {
        let live = vec![true; bad.classes.len()];
        host.event(Event::Settings { config: Box::new(bad), live, heirs: vec![(ClassId(9), ClassId(7))] });
        let id = host.arrive(1, 400_000);
        host.serve_all(20_000);
        assert_eq!(host.requests[&id].answer, Some("served"));
    }
}
