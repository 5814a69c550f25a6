//! Operators change the configuration while things befall the fleet.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use super::fleet::AcceptedChange;
use super::light_proxy::mono_us;
use super::phases::{PhaseEvents, PhaseRunner, HEAVY_FAULTS, RESTART_TIME};
use super::protocol::{Absence, Cut, Faults};
use std::time::{Duration, Instant};

/// Changes a second, at one real proxy's door after the other.
const PER_SECOND: f64 = 5.0;
/// The last change has so long to come into force everywhere.
const LAST_CHANGE_TIME: Duration = Duration::from_secs(5);
/// Real ones that clients ask meanwhile, and how often a second each.
const CLIENT_PROXIES: usize = 4;
const CLIENT_REQUESTS_PER_SECOND: f64 = 10.0;
/// Copies are to be equal so soon after a heal; it is watched for longer.
const MAX_CONVERGENCE: Duration = Duration::from_secs(5);
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(30);

impl PhaseRunner {
    /// Changes at the doors of real ones, with so many restarts of hollow ones beside.
    pub fn changes(&mut self, name: &str, faults: Faults, churn: f64) {
        self.fleet
            .start_clients(CLIENT_PROXIES, CLIENT_REQUESTS_PER_SECOND);
        self.fleet.set_faults(faults);
        let span = self.spans.changes;
        self.measure(name, span + LAST_CHANGE_TIME, |play| {
            let rate = play.events_in(span, churn);
            let mut done = PhaseEvents::default();
            play.make_changes(name, span, rate, &mut done);
            done
        });
        self.end_of_changes(name);
    }

    /// A tenth of the datagrams lost and a rack gone at once.
    pub fn changes_without_rack(&mut self) {
        let name = "changes, 10% lost, rack gone";
        let (who, span) = (self.neighbors(40), self.spans.changes);
        self.fleet
            .start_clients(CLIENT_PROXIES, CLIENT_REQUESTS_PER_SECOND);
        self.fleet.set_faults(HEAVY_FAULTS);
        self.measure(name, span + LAST_CHANGE_TIME, |play| {
            let from = mono_us();
            play.fleet.stop(&who, false);
            let absences = who
                .iter()
                .map(|n| Absence {
                    proxy: *n,
                    from,
                    to: None,
                })
                .collect();
            let mut done = PhaseEvents {
                absences,
                ..PhaseEvents::default()
            };
            play.make_changes(name, span, 0, &mut done);
            done.unexpected = false; // here the distribution is asked for, as it is
            done
        });
        self.fleet.start(&who);
        self.end_of_changes(name);
    }

    fn end_of_changes(&mut self, name: &str) {
        self.fleet.stop_clients();
        self.fleet.set_faults(Faults::default());
        let versions = self.fleet.light_versions();
        eprintln!(
            "{name}: versions at the end {versions:?}, at the doors {}",
            self.fleet.newest_version()
        );
        self.settle();
    }

    /// So many restarts among the changes of a span.
    fn make_changes(&mut self, name: &str, span: Duration, restarts: u32, done: &mut PhaseEvents) {
        let (begun, mut from) = (Instant::now(), self.fleet.newest_version());
        let count = (span.as_secs_f64() * PER_SECOND) as u32;
        let mut returns = Vec::new();
        for n in 0..count {
            let at = begun + span.mul_f64(f64::from(n) / f64::from(count));
            self.back_until(at, &mut returns, &mut done.absences);
            if restarts > 0 && n % (count / restarts).max(1) == 0 {
                let proxy = self.random_proxy(&done.absences);
                done.absences.push(Absence {
                    proxy,
                    from: mono_us(),
                    to: None,
                });
                self.fleet.stop(&[proxy], true);
                returns.push((Instant::now() + RESTART_TIME, done.absences.len() - 1));
            }
            match self.fleet.change(n as usize, &mut from) {
                Ok(changed) => done.record(changed),
                Err(why) => {
                    eprintln!("{name}: change {n}: {why}");
                    from = self.fleet.newest_version();
                }
            }
        }
        self.back_until(begun + span, &mut returns, &mut done.absences);
        done.events = done.changes.len() as u32;
        let last = done
            .changes
            .iter()
            .map(|c| c.answered_us.saturating_sub(c.requested_us) / 1000)
            .max()
            .unwrap_or(0);
        done.outcome = Some(format!(
            "{} of {count} taken, answered after {last} ms at the last",
            done.events
        ));
        done.unexpected = done.events < count;
    }

    /// The region of the last real proxy is cut off: its doors refuse changes, the others take them, and all copies are
    /// equal soon after the heal.
    pub fn changes_while_cut(&mut self) {
        let plan = self.fleet.plan;
        let Some(region) = self.fleet.real.last().map(|r| plan.region(r.number)) else {
            return eprintln!("changes-region: no real proxy");
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
        self.measure("changes, region cut", self.spans.partition, |play| {
            let cut = Some(Cut {
                region,
                from,
                to: u64::MAX / 2,
            });
            let mut done = PhaseEvents {
                cut,
                ..PhaseEvents::default()
            };
            let (mut refused, mut taken, mut tries) = (0, 0, 0);
            let (mut reason, mut base) = (String::new(), play.fleet.newest_version());
            let mut last_taken = Duration::ZERO;
            let end = begun + play.spans.partition.saturating_sub(Duration::from_secs(2));
            while Instant::now() < end {
                std::thread::sleep(Duration::from_millis(500));
                match play
                    .fleet
                    .change(outside_proxies[tries % outside_proxies.len()], &mut base)
                {
                    Ok(changed) => done.record(changed),
                    Err(why) => eprintln!("changes, region cut: outside: {why}"),
                }
                let mut from = base;
                match play
                    .fleet
                    .change(inside_proxies[tries % inside_proxies.len()], &mut from)
                {
                    Ok(_) => (taken, last_taken) = (taken + 1, begun.elapsed()),
                    Err(why) => {
                        refused += u32::from(why.starts_with("503"));
                        reason = why;
                    }
                }
                tries += 1;
            }
            newest = base;
            done.events = done.changes.len() as u32;
            let last = last_taken.as_secs_f64();
            done.outcome = Some(format!(
                "outside {} of {tries} taken, inside {taken} (the last after {last:.1} s), \
                 {refused} refused with 503, at the end: {reason}",
                done.events
            ));
            done.unexpected = taken > 0 || refused as usize != tries;
            done
        });
        self.measure("changes, region healed", self.spans.after_return, |play| {
            let (to, begun) = (play.fleet.set_faults(Faults::default()), Instant::now());
            let mut done = PhaseEvents {
                cut: Some(Cut { region, from, to }),
                ..PhaseEvents::default()
            };
            let equal = loop {
                if play.fleet.all_reached(newest, |_| true) {
                    break Some(begun.elapsed());
                }
                if begun.elapsed() > CONVERGENCE_TIMEOUT {
                    break None;
                }
                std::thread::sleep(Duration::from_millis(50));
            };
            let violations = play.fleet.consistency_violations();
            done.unexpected =
                !violations.is_empty() || equal.is_none_or(|after| after > MAX_CONVERGENCE);
            let equal = equal.map_or("not equal in 30 s".into(), |after| {
                format!("equal after {:.1} s", after.as_secs_f64())
            });
            done.outcome = Some(format!("{equal}, contradictions: {}", violations.len()));
            violations
                .iter()
                .for_each(|violation| eprintln!("changes, region: {violation}"));
            done
        });
        self.settle();
    }
}

impl PhaseEvents {
    fn record(&mut self, changed: AcceptedChange) {
        self.probes.push((changed.number, changed.requested_us));
        self.changes.push(changed);
    }
}
