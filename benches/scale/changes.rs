//! Operators change the configuration while things befall the fleet.
#![expect(clippy::too_many_lines, reason = "scenarios read from start to end")]

use super::fleet::Changed;
use super::hollow::mono_us;
use super::phases::{Done, Play, RESTARTED, WORST};
use super::protocol::{Absence, Cut, Faults};
use std::time::{Duration, Instant};

/// Changes a second, at one real proxy's door after the other.
const PER_SECOND: f64 = 5.0;
/// The last change has so long to come into force everywhere.
const LAST: Duration = Duration::from_secs(5);
/// Real ones that clients ask meanwhile, and how often a second each.
const ASKED: usize = 4;
const ASKED_PER_SECOND: f64 = 10.0;
/// Copies are to be equal so soon after a heal; it is watched for longer.
const EQUAL: Duration = Duration::from_secs(5);
const WATCHED: Duration = Duration::from_secs(30);

impl Play {
    /// Changes at the doors of real ones, with so many restarts of hollow ones beside.
    pub fn changes(&mut self, name: &str, faults: Faults, churn: f64) {
        self.fleet.ask(ASKED, ASKED_PER_SECOND);
        self.fleet.faults(faults);
        let span = self.spans.changes;
        self.watch(name, span + LAST, |play| {
            let rate = play.events_in(span, churn);
            let mut done = Done::default();
            play.changing(name, span, rate, &mut done);
            done
        });
        self.end_of_changes(name);
    }

    /// A tenth of the datagrams lost and a rack gone at once.
    pub fn changes_without_rack(&mut self) {
        let name = "changes, 10% lost, rack gone";
        let (who, span) = (self.neighbours(40), self.spans.changes);
        self.fleet.ask(ASKED, ASKED_PER_SECOND);
        self.fleet.faults(WORST);
        self.watch(name, span + LAST, |play| {
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
            let mut done = Done {
                absences,
                ..Done::default()
            };
            play.changing(name, span, 0, &mut done);
            done.wrong = false; // here the distribution is asked for, as it is
            done
        });
        self.fleet.start(&who);
        self.end_of_changes(name);
    }

    fn end_of_changes(&mut self, name: &str) {
        self.fleet.calm();
        self.fleet.faults(Faults::default());
        let versions = self.fleet.hollow_versions();
        eprintln!(
            "{name}: versions at the end {versions:?}, at the doors {}",
            self.fleet.version()
        );
        self.settle();
    }

    /// So many restarts among the changes of a span.
    fn changing(&mut self, name: &str, span: Duration, restarts: u32, done: &mut Done) {
        let (begun, mut from) = (Instant::now(), self.fleet.version());
        let count = (span.as_secs_f64() * PER_SECOND) as u32;
        let mut returns = Vec::new();
        for n in 0..count {
            let at = begun + span.mul_f64(f64::from(n) / f64::from(count));
            self.back_until(at, &mut returns, &mut done.absences);
            if restarts > 0 && n % (count / restarts).max(1) == 0 {
                let proxy = self.drawn(&done.absences);
                done.absences.push(Absence {
                    proxy,
                    from: mono_us(),
                    to: None,
                });
                self.fleet.stop(&[proxy], true);
                returns.push((Instant::now() + RESTARTED, done.absences.len() - 1));
            }
            match self.fleet.change(n as usize, &mut from) {
                Ok(changed) => done.take(changed),
                Err(why) => {
                    eprintln!("{name}: change {n}: {why}");
                    from = self.fleet.version();
                }
            }
        }
        self.back_until(begun + span, &mut returns, &mut done.absences);
        done.events = done.changes.len() as u32;
        let last = done
            .changes
            .iter()
            .map(|c| c.answered.saturating_sub(c.asked) / 1000)
            .max()
            .unwrap_or(0);
        done.outcome = Some(format!(
            "{} of {count} taken, answered after {last} ms at the last",
            done.events
        ));
        done.wrong = done.events < count;
    }

    /// The region of the last real proxy is cut off: its doors refuse changes, the others take them, and all copies are
    /// equal soon after the heal.
    pub fn changes_while_cut(&mut self) {
        let plan = self.fleet.plan;
        let Some(region) = self.fleet.real.last().map(|r| plan.region(r.number)) else {
            return eprintln!("changes-region: no real proxy");
        };
        let inside = |number: u32| plan.region(number) == region;
        let doors = |within: bool| {
            let all = self.fleet.real.iter().enumerate();
            all.filter(|(_, r)| inside(r.number) == within)
                .map(|(n, _)| n)
                .collect::<Vec<_>>()
        };
        let (shut, open) = (doors(true), doors(false));
        let begun = Instant::now();
        let from = self.fleet.faults(Faults {
            cut: Some(region),
            ..Faults::default()
        });
        let mut newest = 0;
        self.watch("changes, region cut", self.spans.cut, |play| {
            let cut = Some(Cut {
                region,
                from,
                to: u64::MAX / 2,
            });
            let mut done = Done {
                cut,
                ..Done::default()
            };
            let (mut refused, mut taken, mut tries) = (0, 0, 0);
            let (mut reason, mut base) = (String::new(), play.fleet.version());
            let mut last_taken = Duration::ZERO;
            let end = begun + play.spans.cut.saturating_sub(Duration::from_secs(2));
            while Instant::now() < end {
                std::thread::sleep(Duration::from_millis(500));
                match play.fleet.change(open[tries % open.len()], &mut base) {
                    Ok(changed) => done.take(changed),
                    Err(why) => eprintln!("changes, region cut: outside: {why}"),
                }
                let mut from = base;
                match play.fleet.change(shut[tries % shut.len()], &mut from) {
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
            done.wrong = taken > 0 || refused as usize != tries;
            done
        });
        self.watch("changes, region healed", self.spans.back, |play| {
            let (to, begun) = (play.fleet.faults(Faults::default()), Instant::now());
            let mut done = Done {
                cut: Some(Cut { region, from, to }),
                ..Done::default()
            };
            let equal = loop {
                if play.fleet.reached(newest, |_| true) {
                    break Some(begun.elapsed());
                }
                if begun.elapsed() > WATCHED {
                    break None;
                }
                std::thread::sleep(Duration::from_millis(50));
            };
            let wrong = play.fleet.contradictions();
            done.wrong = !wrong.is_empty() || equal.is_none_or(|after| after > EQUAL);
            let equal = equal.map_or("not equal in 30 s".into(), |after| {
                format!("equal after {:.1} s", after.as_secs_f64())
            });
            done.outcome = Some(format!("{equal}, contradictions: {}", wrong.len()));
            wrong
                .iter()
                .for_each(|wrong| eprintln!("changes, region: {wrong}"));
            done
        });
        self.settle();
    }
}

impl Done {
    fn take(&mut self, changed: Changed) {
        self.probes.push((changed.number, changed.asked));
        self.changes.push(changed);
    }
}
