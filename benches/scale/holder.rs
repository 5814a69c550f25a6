//! The phases in which the holder of the configuration's duty fails in the middle of a change. The change must become active
//! everywhere or nowhere.

use super::fleet::AcceptedChange;
use super::light_proxy::mono_us;
use super::phases::{PhaseEvents, PhaseRunner};
use super::protocol::{Absence, Isolation};
use super::real::{format_call, wait_until};
use super::rig::{lease_history::Token, Client};
use std::time::Duration;

/// Which proxies receive the holder's datagrams while its change is in progress.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ReceivedBy {
    /// No proxy, so that only the holder has the change.
    NoProxy,
    /// All proxies, but the holder receives none of theirs: the voters store the change, and the holder doesn't know it.
    AllProxies,
}

/// How the holder then fails.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HolderFailure {
    /// Killed with SIGKILL, and later restarted without state.
    Killed,
    /// Suspended with SIGSTOP until after its lease expired.
    Stopped,
    /// Partitioned from all other proxies.
    Partitioned,
}

/// The timeout for each step, longer than a step that succeeds ever takes.
const STEP_TIMEOUT: Duration = Duration::from_secs(30);

impl PhaseRunner {
    /// Runs the phase for one way of failing and one reach of the holder's datagrams, and records its outcome.
    pub fn holder_failure(&mut self, received_by: ReceivedBy, failure: HolderFailure) {
        let name = format!(
            "holder {}, heard by {}",
            failure_name(failure),
            if received_by == ReceivedBy::AllProxies {
                "all"
            } else {
                "nobody"
            }
        );
        self.measure(&name, Duration::ZERO, |runner| {
            let mut events = PhaseEvents {
                event_count: 1,
                ..PhaseEvents::default()
            };
            let outcome = runner.fail_holder(received_by, failure, &mut events);
            events.unexpected = outcome.is_err();
            events.outcome = Some(outcome.unwrap_or_else(|why| why));
            events
        });
        self.fleet.isolate(Isolation::default());
        self.settle();
    }

    /// Starts a change at the holder, makes the holder fail, and checks the result once a later change is active everywhere.
    /// Returns a summary of the outcome, or of what went wrong.
    fn fail_holder(
        &mut self,
        received_by: ReceivedBy,
        failure: HolderFailure,
        events: &mut PhaseEvents,
    ) -> Result<String, String> {
        let (index, token) = self
            .fleet
            .holder(None)
            .ok_or("no proxy holds the configuration's duty")?;
        let base = self.change_until_accepted(index + 1)?.version;
        self.wait_all_active(base, "the change before the failure")?;
        let holder = self.fleet.real[index].number;
        self.fleet.isolate(match received_by {
            ReceivedBy::NoProxy => Isolation {
                outbound_blocked: Some(holder),
                inbound_blocked: None,
            },
            ReceivedBy::AllProxies => Isolation {
                outbound_blocked: None,
                inbound_blocked: Some(holder),
            },
        });
        let (number, line, body) = self.fleet.prepare_change(base);
        let requested_us = mono_us();
        let mut client = Client::connect(
            self.fleet.real[index]
                .proxy
                .control_address
                .ok_or("the holder has no control address")?,
        );
        client.send(&format_call(&line, &body));
        let proposed = || self.fleet.real[index].json("/config")["proposed"].is_u64();
        let proposed = wait_until(Duration::from_secs(2), proposed);
        let stored = received_by == ReceivedBy::AllProxies
            && wait_until(Duration::from_secs(2), || {
                self.stored_by_voters(index, &line)
            });
        if !proposed || (received_by == ReceivedBy::AllProxies && !stored) {
            return Err(format!(
                "the change is not in progress: proposed {proposed}, stored by the voters {stored}"
            ));
        }
        self.inject_failure(index, failure, &token)?;
        events.absences.push(Absence {
            proxy: holder,
            from: requested_us,
            to: None,
        });
        self.fleet.isolate(Isolation::default());
        let after = self.change_until_accepted(index + 1)?;
        self.wait_all_active(after.version, "the change after the failure")?;
        std::thread::sleep(Duration::from_secs(1)); // for delayed datagrams
        self.check_all_or_nothing(number, requested_us, &line, received_by, failure)
    }

    /// Makes the holder fail until another proxy holds the duty, and then restarts or resumes it.
    fn inject_failure(
        &mut self,
        index: usize,
        failure: HolderFailure,
        token: &Token,
    ) -> Result<(), String> {
        let holder = self.fleet.real[index].number;
        match failure {
            HolderFailure::Killed => self.fleet.real[index].kill(),
            HolderFailure::Stopped => self.fleet.real[index].proxy.suspend(),
            HolderFailure::Partitioned => {}
        }
        // Blocks the holder's datagrams that are still in transit.
        self.fleet.isolate(Isolation {
            outbound_blocked: Some(holder),
            inbound_blocked: Some(holder),
        });
        let taken_over = wait_until(STEP_TIMEOUT, || self.fleet.holder(Some(token)).is_some());
        match failure {
            HolderFailure::Killed => {
                let launch = &self.fleet.launch;
                self.fleet.real[index].restart(launch);
            }
            HolderFailure::Stopped => self.fleet.real[index].proxy.resume(),
            HolderFailure::Partitioned => {}
        }
        taken_over
            .then_some(())
            .ok_or("no other proxy took over the configuration's duty".into())
    }

    /// Whether all other voters have stored the change, or have it active already.
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

    /// Requests a change at a control address until one is accepted.
    fn change_until_accepted(&mut self, index: usize) -> Result<AcceptedChange, String> {
        let (mut last_error, mut accepted) = (String::new(), None);
        wait_until(STEP_TIMEOUT, || {
            let mut base = self.fleet.newest_version();
            match self.fleet.change(index, &mut base) {
                Ok(changed) => accepted = Some(changed),
                Err(why) => last_error = why,
            }
            accepted.is_some()
        });
        accepted.ok_or(format!("no change was accepted: {last_error}"))
    }

    /// Waits until this version is active at all proxies.
    fn wait_all_active(&mut self, version: u64, what: &str) -> Result<(), String> {
        let all_reached = wait_until(STEP_TIMEOUT, || self.fleet.all_reached(version, |_| true));
        let versions: Vec<u64> = self
            .fleet
            .real
            .iter()
            .map(super::real::RealProxy::active_version)
            .collect();
        all_reached.then_some(()).ok_or_else(|| {
            format!("{what}: version {version} is not active everywhere: {versions:?}")
        })
    }

    /// Checks that the change is active everywhere or nowhere, and that the logs show no violation of consistency.
    fn check_all_or_nothing(
        &mut self,
        number: u32,
        requested_us: u64,
        line: &str,
        received_by: ReceivedBy,
        failure: HolderFailure,
    ) -> Result<String, String> {
        let get = line.replace("PUT", "GET");
        let count_with_status = |status| {
            let matching = self
                .fleet
                .real
                .iter()
                .filter(|r| r.call(&get, "").is_some_and(|a| a.status() == status));
            matching.count()
        };
        let (real_with, real_without) = (count_with_status(200), count_with_status(404));
        let observed = self
            .fleet
            .observations(requested_us, &[], &[(number, requested_us)], None);
        let light_with: u32 = observed.received.iter().map(|(_, n)| n).sum();
        let light_without = observed.received_missing;
        let violations = self.fleet.consistency_violations();
        violations
            .iter()
            .for_each(|violation| eprintln!("holder: {violation}"));
        let summary = format!(
            "active at {real_with} real and {light_with} lightweight proxies, missing at {real_without} and \
             {light_without}; consistency violations: {}",
            violations.len()
        );
        let everywhere = real_with == self.fleet.real.len() && light_without == 0;
        let nowhere = real_without == self.fleet.real.len() && light_with == 0;
        let expected = match (received_by, failure) {
            (ReceivedBy::AllProxies, _) => everywhere, // a majority of the voters stored it
            (ReceivedBy::NoProxy, HolderFailure::Killed) => nowhere, // only the killed holder had it
            (ReceivedBy::NoProxy, _) => everywhere || nowhere,
        };
        if expected && violations.is_empty() {
            Ok(summary)
        } else {
            Err(summary)
        }
    }
}

/// The failure's name in the phase's name.
fn failure_name(failure: HolderFailure) -> &'static str {
    match failure {
        HolderFailure::Killed => "killed",
        HolderFailure::Stopped => "stopped",
        HolderFailure::Partitioned => "cut off",
    }
}
