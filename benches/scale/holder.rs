//! The holder of the configuration is lost in the middle of a change: it must come into force everywhere or nowhere.

use super::fleet::AcceptedChange;
use super::light_proxy::mono_us;
use super::phases::{PhaseEvents, PhaseRunner};
use super::protocol::{Absence, Isolation};
use super::real::{format_call, wait_until};
use super::rig::{lease_history::Token, Client};
use std::time::Duration;

/// What is wrong with the holder's datagrams while its change is under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HeardBy {
    /// Nobody hears it, and so nobody else has the change.
    Nobody,
    /// All hear it, and it hears nobody: the voters have the change, and it does not know so.
    All,
}

/// What then befalls it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HolderFailure {
    Killed,
    /// SIGSTOP past its lease.
    Stopped,
    Partitioned,
}

/// No step takes as long: it only ends one that does not come.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

impl PhaseRunner {
    pub fn holder_failure(&mut self, heard: HeardBy, failure: HolderFailure) {
        let name = format!(
            "holder {}, heard by {}",
            failure_name(failure),
            if heard == HeardBy::All {
                "all"
            } else {
                "nobody"
            }
        );
        self.measure(&name, Duration::ZERO, |play| {
            let mut done = PhaseEvents {
                events: 1,
                ..PhaseEvents::default()
            };
            let outcome = play.fail_holder(heard, failure, &mut done);
            done.unexpected = outcome.is_err();
            done.outcome = Some(outcome.unwrap_or_else(|why| why));
            done
        });
        self.fleet.isolate(Isolation::default());
        self.settle();
    }

    fn fail_holder(
        &mut self,
        heard: HeardBy,
        failure: HolderFailure,
        done: &mut PhaseEvents,
    ) -> Result<String, String> {
        let (at, token) = self.fleet.holder(None).ok_or("nobody holds the duty")?;
        let base = self.change_until_accepted(at + 1)?.version;
        self.wait_all_active(base, "a change before")?;
        let holder = self.fleet.real[at].number;
        self.fleet.isolate(match heard {
            HeardBy::Nobody => Isolation {
                outbound_blocked: Some(holder),
                inbound_blocked: None,
            },
            HeardBy::All => Isolation {
                outbound_blocked: None,
                inbound_blocked: Some(holder),
            },
        });
        let (number, line, body) = self.fleet.prepare_change(base);
        let from = mono_us();
        let mut caller =
            Client::connect(self.fleet.real[at].proxy.control_address.ok_or("no door")?);
        caller.send(&format_call(&line, &body));
        let proposed = || self.fleet.real[at].json("/config")["proposed"].is_u64();
        let proposed = wait_until(Duration::from_secs(2), proposed);
        let stored = heard == HeardBy::All
            && wait_until(Duration::from_secs(2), || self.stored_by_voters(at, &line));
        if !proposed || (heard == HeardBy::All && !stored) {
            return Err(format!(
                "not in the middle of a change: proposed {proposed}, kept by the voters {stored}"
            ));
        }
        self.inject_failure(at, failure, &token)?;
        done.absences.push(Absence {
            proxy: holder,
            from,
            to: None,
        });
        self.fleet.isolate(Isolation::default());
        let after = self.change_until_accepted(at + 1)?;
        self.wait_all_active(after.version, "a change after")?;
        std::thread::sleep(Duration::from_secs(1)); // whatever is late
        self.check_all_or_nothing(number, from, &line, heard, failure)
    }

    fn inject_failure(
        &mut self,
        at: usize,
        failure: HolderFailure,
        token: &Token,
    ) -> Result<(), String> {
        let holder = self.fleet.real[at].number;
        match failure {
            HolderFailure::Killed => self.fleet.real[at].kill(),
            HolderFailure::Stopped => self.fleet.real[at].proxy.suspend(),
            HolderFailure::Partitioned => {}
        }
        // What is on its way stays there.
        self.fleet.isolate(Isolation {
            outbound_blocked: Some(holder),
            inbound_blocked: Some(holder),
        });
        let other = wait_until(STEP_TIMEOUT, || self.fleet.holder(Some(token)).is_some());
        match failure {
            HolderFailure::Killed => {
                let launch = &self.fleet.launch;
                self.fleet.real[at].restart(launch);
            }
            HolderFailure::Stopped => self.fleet.real[at].proxy.resume(),
            HolderFailure::Partitioned => {}
        }
        other
            .then_some(())
            .ok_or("nobody else came to hold the duty".into())
    }

    /// Whether all other voters keep the change, or have it in force already.
    fn stored_by_voters(&self, holder: usize, line: &str) -> bool {
        let others = self
            .fleet
            .real
            .iter()
            .enumerate()
            .filter(|(n, r)| *n != holder && r.is_voter);
        others.into_iter().all(|(_, r)| {
            let get = line.replace("PUT", "GET");
            !r.json("/config")["keeps"].is_null()
                || r.call(&get, "").is_some_and(|a| a.status() == 200)
        })
    }

    /// A change at a door that is taken in the end.
    fn change_until_accepted(&mut self, at: usize) -> Result<AcceptedChange, String> {
        let (mut last, mut taken) = (String::new(), None);
        wait_until(STEP_TIMEOUT, || {
            let mut base = self.fleet.newest_version();
            match self.fleet.change(at, &mut base) {
                Ok(changed) => taken = Some(changed),
                Err(why) => last = why,
            }
            taken.is_some()
        });
        taken.ok_or(format!("no change was taken: {last}"))
    }

    fn wait_all_active(&mut self, version: u64, what: &str) -> Result<(), String> {
        let all_reached = wait_until(STEP_TIMEOUT, || self.fleet.all_reached(version, |_| true));
        let all: Vec<u64> = self
            .fleet
            .real
            .iter()
            .map(super::real::RealProxy::active_version)
            .collect();
        all_reached
            .then_some(())
            .ok_or_else(|| format!("{what}: {version} is not in force everywhere: {all:?}"))
    }

    /// Everywhere or nowhere, and no two states of one version.
    fn check_all_or_nothing(
        &mut self,
        number: u32,
        from: u64,
        line: &str,
        heard: HeardBy,
        failure: HolderFailure,
    ) -> Result<String, String> {
        let get = line.replace("PUT", "GET");
        let has = |status| {
            let at = self
                .fleet
                .real
                .iter()
                .filter(|r| r.call(&get, "").is_some_and(|a| a.status() == status));
            at.count()
        };
        let (real_with, real_without) = (has(200), has(404));
        let observed = self.fleet.observations(from, &[], &[(number, from)], None);
        let light_with: u32 = observed.received.iter().map(|(_, n)| n).sum();
        let light_without = observed.received_missing;
        let violations = self.fleet.consistency_violations();
        violations
            .iter()
            .for_each(|violation| eprintln!("holder: {violation}"));
        let summary = format!(
            "in force at {real_with} real and {light_with} hollow ones, not at {real_without} and \
             {light_without}; contradictions: {}",
            violations.len()
        );
        let everywhere = real_with == self.fleet.real.len() && light_without == 0;
        let nowhere = real_without == self.fleet.real.len() && light_with == 0;
        let expected = match (heard, failure) {
            (HeardBy::All, _) => everywhere, // a majority of the voters kept it
            (HeardBy::Nobody, HolderFailure::Killed) => nowhere,
            (HeardBy::Nobody, _) => everywhere || nowhere,
        };
        if expected && violations.is_empty() {
            Ok(summary)
        } else {
            Err(summary)
        }
    }
}

fn failure_name(failure: HolderFailure) -> &'static str {
    match failure {
        HolderFailure::Killed => "killed",
        HolderFailure::Stopped => "stopped",
        HolderFailure::Partitioned => "cut off",
    }
}
