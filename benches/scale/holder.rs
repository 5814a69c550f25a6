//! The holder of the configuration is lost in the middle of a change: it must come into force everywhere or nowhere.

use super::fleet::Changed;
use super::hollow::mono_us;
use super::phases::{Done, Play};
use super::protocol::{Absence, Isolation};
use super::real::{call, wait};
use super::rig::{lease_history::Token, Client};
use std::time::Duration;

/// What is wrong with the holder's datagrams while its change is under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PeerVerdict {
    /// Nobody hears it, and so nobody else has the change.
    Nobody,
    /// All hear it, and it hears nobody: the voters have the change, and it does not know so.
    All,
}

/// What then befalls it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Killed,
    /// SIGSTOP past its lease.
    Stopped,
    CutOff,
}

/// No step takes as long: it only ends one that does not come.
const PATIENCE: Duration = Duration::from_secs(30);

impl Play {
    pub fn without_holder(&mut self, heard: PeerVerdict, fate: Fate) {
        let name = format!(
            "holder {}, heard by {}",
            words(fate),
            if heard == PeerVerdict::All {
                "all"
            } else {
                "nobody"
            }
        );
        self.watch(&name, Duration::ZERO, |play| {
            let mut done = Done {
                events: 1,
                ..Done::default()
            };
            let outcome = play.lose_holder(heard, fate, &mut done);
            done.wrong = outcome.is_err();
            done.outcome = Some(outcome.unwrap_or_else(|why| why));
            done
        });
        self.fleet.isolate(Isolation::default());
        self.settle();
    }

    fn lose_holder(
        &mut self,
        heard: PeerVerdict,
        fate: Fate,
        done: &mut Done,
    ) -> Result<String, String> {
        let (at, token) = self.fleet.holder(None).ok_or("nobody holds the duty")?;
        let base = self.change_surely(at + 1)?.version;
        self.reach(base, "a change before")?;
        let holder = self.fleet.real[at].number;
        self.fleet.isolate(match heard {
            PeerVerdict::Nobody => Isolation {
                mute: Some(holder),
                deaf: None,
            },
            PeerVerdict::All => Isolation {
                mute: None,
                deaf: Some(holder),
            },
        });
        let (number, line, body) = self.fleet.next_change(base);
        let from = mono_us();
        let mut caller =
            Client::connect(self.fleet.real[at].proxy.control_address.ok_or("no door")?);
        caller.send(&call(&line, &body));
        let begun = || self.fleet.real[at].json("/config")["proposed"].is_u64();
        let begun = wait(Duration::from_secs(2), begun);
        let kept =
            heard == PeerVerdict::All && wait(Duration::from_secs(2), || self.kept(at, &line));
        if !begun || (heard == PeerVerdict::All && !kept) {
            return Err(format!(
                "not in the middle of a change: proposed {begun}, kept by the voters {kept}"
            ));
        }
        self.befall(at, fate, &token)?;
        done.absences.push(Absence {
            proxy: holder,
            from,
            to: None,
        });
        self.fleet.isolate(Isolation::default());
        let after = self.change_surely(at + 1)?;
        self.reach(after.version, "a change after")?;
        std::thread::sleep(Duration::from_secs(1)); // whatever is late
        self.judge(number, from, &line, heard, fate)
    }

    fn befall(&mut self, at: usize, fate: Fate, token: &Token) -> Result<(), String> {
        let holder = self.fleet.real[at].number;
        match fate {
            Fate::Killed => self.fleet.real[at].kill(),
            Fate::Stopped => self.fleet.real[at].proxy.suspend(),
            Fate::CutOff => {}
        }
        // What is on its way stays there.
        self.fleet.isolate(Isolation {
            mute: Some(holder),
            deaf: Some(holder),
        });
        let other = wait(PATIENCE, || self.fleet.holder(Some(token)).is_some());
        match fate {
            Fate::Killed => {
                let recipe = &self.fleet.recipe;
                self.fleet.real[at].restart(recipe);
            }
            Fate::Stopped => self.fleet.real[at].proxy.resume(),
            Fate::CutOff => {}
        }
        other
            .then_some(())
            .ok_or("nobody else came to hold the duty".into())
    }

    /// Whether all other voters keep the change, or have it in force already.
    fn kept(&self, holder: usize, line: &str) -> bool {
        let others = self
            .fleet
            .real
            .iter()
            .enumerate()
            .filter(|(n, r)| *n != holder && r.votes);
        others.into_iter().all(|(_, r)| {
            let get = line.replace("PUT", "GET");
            !r.json("/config")["keeps"].is_null()
                || r.call(&get, "").is_some_and(|a| a.status() == 200)
        })
    }

    /// A change at a door that is taken in the end.
    fn change_surely(&mut self, at: usize) -> Result<Changed, String> {
        let (mut last, mut taken) = (String::new(), None);
        wait(PATIENCE, || {
            let mut base = self.fleet.version();
            match self.fleet.change(at, &mut base) {
                Ok(changed) => taken = Some(changed),
                Err(why) => last = why,
            }
            taken.is_some()
        });
        taken.ok_or(format!("no change was taken: {last}"))
    }

    fn reach(&mut self, version: u64, what: &str) -> Result<(), String> {
        let reached = wait(PATIENCE, || self.fleet.reached(version, |_| true));
        let all: Vec<u64> = self
            .fleet
            .real
            .iter()
            .map(super::real::RealProxy::in_force)
            .collect();
        reached
            .then_some(())
            .ok_or_else(|| format!("{what}: {version} is not in force everywhere: {all:?}"))
    }

    /// Everywhere or nowhere, and no two states of one version.
    fn judge(
        &mut self,
        number: u32,
        from: u64,
        line: &str,
        heard: PeerVerdict,
        fate: Fate,
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
        let hollow = self.fleet.learned(from, &[], &[(number, from)], None);
        let hollow_with: u32 = hollow.heard.iter().map(|(_, n)| n).sum();
        let hollow_without = hollow.heard_missing;
        let wrong = self.fleet.contradictions();
        wrong.iter().for_each(|wrong| eprintln!("holder: {wrong}"));
        let told = format!(
            "in force at {real_with} real and {hollow_with} hollow ones, not at {real_without} and \
             {hollow_without}; contradictions: {}",
            wrong.len()
        );
        let everywhere = real_with == self.fleet.real.len() && hollow_without == 0;
        let nowhere = real_without == self.fleet.real.len() && hollow_with == 0;
        let due = match (heard, fate) {
            (PeerVerdict::All, _) => everywhere, // a majority of the voters kept it
            (PeerVerdict::Nobody, Fate::Killed) => nowhere,
            (PeerVerdict::Nobody, _) => everywhere || nowhere,
        };
        if due && wrong.is_empty() {
            Ok(told)
        } else {
            Err(told)
        }
    }
}

fn words(fate: Fate) -> &'static str {
    match fate {
        Fate::Killed => "killed",
        Fate::Stopped => "stopped",
        Fate::CutOff => "cut off",
    }
}
