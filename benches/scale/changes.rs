//! The phases in which operators change the configuration while proxies restart, datagrams are lost or a region is
//! partitioned.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use super::fleet::AcceptedChange;
use super::light_proxy::mono_us;
use super::phases::{PhaseEvents, PhaseRunner, HEAVY_FAULTS, RESTART_TIME};
use super::protocol::{Absence, Cut, Faults};
use std::time::{Duration, Instant};

/// Changes per second, requested at the real proxies in turn.
const PER_SECOND: f64 = 5.0;
/// The time after the last change until it must be active everywhere.
const LAST_CHANGE_TIME: Duration = Duration::from_secs(5);
/// The number of real proxies with clients, and the requests per second of each.
const CLIENT_PROXIES: usize = 4;
const CLIENT_REQUESTS_PER_SECOND: f64 = 10.0;
/// All replicas must be equal this soon after a partition heals. The phase waits longer, to measure a slower convergence.
const MAX_CONVERGENCE: Duration = Duration::from_secs(5);
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);

impl PhaseRunner {
    /// Requests changes at real proxies while lightweight proxies restart at `churn` times the target deployment's rate.
    pub fn changes(&mut self, name: &str, faults: Faults, churn: f64) {
        self.fleet
            .start_clients(CLIENT_PROXIES, CLIENT_REQUESTS_PER_SECOND);
        self.fleet.set_faults(faults);
        let span = self.spans.changes;
        self.measure(name, span + LAST_CHANGE_TIME, |runner| {
            let restarts = runner.events_in(span, churn);
            let mut events = PhaseEvents::default();
            runner.make_changes(name, span, restarts, &mut events);
            events
        });
        self.end_of_changes(name);
    }

    /// Requests changes while a tenth of the datagrams is lost and after a whole rack failed.
    pub fn changes_with_failed_rack(&mut self) {
        let name = "changes, 10% lost, rack gone";
        let (proxies, span) = (self.neighbors(40), self.spans.changes);
        self.fleet
            .start_clients(CLIENT_PROXIES, CLIENT_REQUESTS_PER_SECOND);
        self.fleet.set_faults(HEAVY_FAULTS);
        self.measure(name, span + LAST_CHANGE_TIME, |runner| {
            let from = mono_us();
            runner.fleet.stop(&proxies, false);
            let absences = proxies
                .iter()
                .map(|n| Absence {
                    proxy: *n,
                    from,
                    to: None,
                })
                .collect();
            let mut events = PhaseEvents {
                absences,
                ..PhaseEvents::default()
            };
            runner.make_changes(name, span, 0, &mut events);
            events.unexpected = false; // this phase only measures the propagation times
            events
        });
        self.fleet.start(&proxies);
        self.end_of_changes(name);
    }

    /// Stops clients and faults, prints the versions and waits until the fleet has converged.
    fn end_of_changes(&mut self, name: &str) {
        self.fleet.stop_clients();
        self.fleet.set_faults(Faults::default());
        let versions = self.fleet.light_versions();
        eprintln!(
            "{name}: lightweight proxies end at versions {versions:?}, real proxies at {}",
            self.fleet.newest_version()
        );
        self.settle();
    }

    /// Requests changes over a span, with `restarts` restarts of random proxies spread over them.
    fn make_changes(
        &mut self,
        name: &str,
        span: Duration,
        restarts: u32,
        events: &mut PhaseEvents,
    ) {
        let (begun, mut from) = (Instant::now(), self.fleet.newest_version());
        let count = (span.as_secs_f64() * PER_SECOND) as u32;
        let mut returns = Vec::new();
        for n in 0..count {
            let at = begun + span.mul_f64(f64::from(n) / f64::from(count));
            self.restart_due_until(at, &mut returns, &mut events.absences);
            if restarts > 0 && n % (count / restarts).max(1) == 0 {
                let proxy = self.random_proxy(&events.absences);
                events.absences.push(Absence {
                    proxy,
                    from: mono_us(),
                    to: None,
                });
                self.fleet.stop(&[proxy], true);
                returns.push((Instant::now() + RESTART_TIME, events.absences.len() - 1));
            }
            match self.fleet.change(n as usize, &mut from) {
                Ok(changed) => events.record(changed),
                Err(why) => {
                    eprintln!("{name}: change {n} was not accepted: {why}");
                    from = self.fleet.newest_version();
                }
            }
        }
        self.restart_due_until(begun + span, &mut returns, &mut events.absences);
        events.event_count = events.changes.len() as u32;
        let slowest_ms = events
            .changes
            .iter()
            .map(|c| c.answered_us.saturating_sub(c.requested_us) / 1000)
            .max()
            .unwrap_or(0);
        events.outcome = Some(format!(
            "{} of {count} changes accepted, the slowest answer after {slowest_ms} ms",
            events.event_count
        ));
        events.unexpected = events.event_count < count;
    }

    /// Partitions the region of the last real proxy. Proxies inside must refuse changes with 503, those outside accept them,
    /// and all replicas must be equal soon after the partition heals.
    pub fn changes_during_partition(&mut self) {
        let plan = self.fleet.plan;
        let Some(region) = self.fleet.real.last().map(|r| plan.region(r.number)) else {
            return eprintln!("changes-region: skipped, the fleet has no real proxies");
        };
        let inside = |number: u32| plan.region(number) == region;
        let positions = |within: bool| {
            let all = self.fleet.real.iter().enumerate();
            all.filter(|(_, r)| inside(r.number) == within)
                .map(|(n, _)| n)
                .collect::<Vec<_>>()
        };
        let (inside_proxies, outside_proxies) = (positions(true), positions(false));
        let begun = Instant::now();
        let from = self.fleet.set_faults(Faults {
            cut: Some(region),
            ..Faults::default()
        });
        let mut newest = 0;
        self.measure("changes, region cut", self.spans.partition, |runner| {
            let cut = Some(Cut {
                region,
                from,
                to: u64::MAX / 2,
            });
            let mut events = PhaseEvents {
                cut,
                ..PhaseEvents::default()
            };
            let (mut refused, mut accepted, mut attempts) = (0, 0, 0);
            let (mut reason, mut base) = (String::new(), runner.fleet.newest_version());
            let mut last_accepted = Duration::ZERO;
            let end = begun + runner.spans.partition.saturating_sub(Duration::from_secs(2));
            while Instant::now() < end {
                std::thread::sleep(Duration::from_millis(500));
                match runner
                    .fleet
                    .change(outside_proxies[attempts % outside_proxies.len()], &mut base)
                {
                    Ok(changed) => events.record(changed),
                    Err(why) => eprintln!("changes, region cut: not accepted outside: {why}"),
                }
                let mut from = base;
                match runner
                    .fleet
                    .change(inside_proxies[attempts % inside_proxies.len()], &mut from)
                {
                    Ok(_) => (accepted, last_accepted) = (accepted + 1, begun.elapsed()),
                    Err(why) => {
                        refused += u32::from(why.starts_with("503"));
                        reason = why;
                    }
                }
                attempts += 1;
            }
            newest = base;
            events.event_count = events.changes.len() as u32;
            let last = last_accepted.as_secs_f64();
            events.outcome = Some(format!(
                "outside {} of {attempts} changes accepted; inside {accepted} accepted (the last after {last:.1} s), \
                 {refused} refused with 503, the last reason: {reason}",
                events.event_count
            ));
            events.unexpected = accepted > 0 || refused as usize != attempts;
            events
        });
        self.measure(
            "changes, region healed",
            self.spans.after_return,
            |runner| {
                let (to, begun) = (runner.fleet.set_faults(Faults::default()), Instant::now());
                let mut events = PhaseEvents {
                    cut: Some(Cut { region, from, to }),
                    ..PhaseEvents::default()
                };
                let equal = loop {
                    if runner.fleet.all_reached(newest, |_| true) {
                        break Some(begun.elapsed());
                    }
                    if begun.elapsed() > CONVERGENCE_TIMEOUT {
                        break None;
                    }
                    std::thread::sleep(Duration::from_millis(50));
                };
                let violations = runner.fleet.consistency_violations();
                events.unexpected =
                    !violations.is_empty() || equal.is_none_or(|after| after > MAX_CONVERGENCE);
                let equal = equal.map_or("not equal after 30 s".into(), |after| {
                    format!("equal after {:.1} s", after.as_secs_f64())
                });
                events.outcome = Some(format!(
                    "replicas {equal}, consistency violations: {}",
                    violations.len()
                ));
                violations
                    .iter()
                    .for_each(|violation| eprintln!("changes, region healed: {violation}"));
                events
            },
        );
        self.settle();
    }
}

impl PhaseEvents {
    fn record(&mut self, changed: AcceptedChange) {
        self.probes.push((changed.number, changed.requested_us));
        self.changes.push(changed);
    }
}
