//! Operators' changes on their way: at the proxy that was called, and in the holder's queue.

use super::message::{Message, Paxos};
use super::proposer::Proposer;
use super::replica::{Event, Replica, Surroundings};
use super::table::Table;
use super::{check, Edit, Invalid, MOST_WAITING};
use crate::interface::{Micros, Time};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::fmt;
use std::net::SocketAddr;

/// How often a change is sent to the holder until its outcome is known, and for how long.
const REPEAT: Micros = Micros(250_000);
const PATIENCE: Micros = Micros(10_000_000);

/// An operator's change, as a proxy sends it to the holder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Submission {
    /// Drawn at random by the proxy that was called.
    pub id: u64,
    /// The version that the change was made from.
    pub base: u64,
    /// What it sets.
    pub edits: Vec<Edit>,
}

/// Why a change is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Rejected {
    /// An entry was changed, by that number, after the version that this change was made from.
    Conflict {
        /// The entry's key.
        key: String,
        /// The number of its last change.
        number: u64,
    },
    /// An entry is out of its bounds.
    Invalid(Invalid),
    /// The table is full.
    Full,
    /// Too many changes wait.
    Busy,
    /// No proxy is known to hold the duty.
    NoHolder,
    /// No outcome came in time: it may come into force yet.
    Unknown,
}

impl Rejected {
    /// The HTTP status that says so.
    pub fn status(&self) -> u16 {
        match self {
            Rejected::Conflict { .. } => 409,
            Rejected::Invalid(_) => 422,
            Rejected::Full => 507,
            Rejected::Busy | Rejected::NoHolder | Rejected::Unknown => 503,
        }
    }
}

impl fmt::Display for Rejected {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejected::Conflict { key, number } => {
                write!(f, "{key}: change {number} came in between")
            }
            Rejected::Invalid(why) => write!(f, "{why}"),
            Rejected::Full => f.write_str("the configuration's table is full"),
            Rejected::Busy => write!(f, "{MOST_WAITING} changes wait already"),
            Rejected::NoHolder => {
                f.write_str("no proxy holds the duty: no majority of the voters answers")
            }
            Rejected::Unknown => {
                f.write_str("no answer in time: the change may come into force yet")
            }
        }
    }
}

impl std::error::Error for Rejected {}

/// A change that this proxy was asked for.
#[derive(Clone, Debug)]
pub(super) struct Mine {
    submission: Submission,
    since: Time,
    sent: Option<Time>,
}

/// Changes that this proxy was asked for, and those that wait here while it is the holder.
#[derive(Clone, Debug, Default)]
pub(super) struct Submissions {
    mine: BTreeMap<u64, Mine>,
    queue: VecDeque<(SocketAddr, Submission)>,
    /// Who asked for the change that is proposed, and its id.
    open: Option<(SocketAddr, u64)>,
}

impl Submissions {
    /// What waits at the holder is sent again to the next one by those who were asked for it.
    pub(super) fn forget_queue(&mut self) {
        self.queue.clear();
        self.open = None;
    }

    /// An outcome is known.
    pub(super) fn settle(&mut self, id: u64) -> bool {
        self.mine.remove(&id).is_some()
    }
}

/// Whether a change may follow on the table: `Ok(false)` where all is so already.
fn fits(table: &Table, submission: &Submission) -> Result<bool, Rejected> {
    check(&submission.edits).map_err(Rejected::Invalid)?;
    let mut changes = false;
    for edit in &submission.edits {
        let entry = table.get(edit.key.position());
        if entry.is_some_and(|entry| entry.edit == *edit) {
            continue;
        }
        changes = true;
        if edit
            .contained()
            .is_some_and(|number| number > table.version() || number < table.contained())
        {
            let why = format!("expected {} to {}", table.contained(), table.version());
            return Err(Rejected::Invalid(Invalid {
                key: edit.key.to_string(),
                why,
            }));
        }
        match entry {
            Some(entry) if entry.edit.key != edit.key => {
                let why = format!("its name's hash is that of {}", entry.edit.key);
                return Err(Rejected::Invalid(Invalid {
                    key: edit.key.to_string(),
                    why,
                }));
            }
            Some(entry) if entry.number > submission.base => {
                return Err(Rejected::Conflict {
                    key: edit.key.to_string(),
                    number: entry.number,
                });
            }
            _ => {}
        }
    }
    table.room(&submission.edits).map_err(|_| Rejected::Full)?;
    Ok(changes)
}

impl Replica {
    /// Takes an operator's change; its outcome comes as an event.
    ///
    /// # Errors
    /// What can be said at once.
    pub fn submit(
        &mut self,
        now: Time,
        around: &Surroundings,
        submission: Submission,
        out: &mut Vec<(SocketAddr, Message)>,
    ) -> Result<(), Rejected> {
        check(&submission.edits).map_err(Rejected::Invalid)?;
        if self.submissions.mine.len() >= MOST_WAITING {
            return Err(Rejected::Busy);
        }
        if around.holding.is_none() && around.holder.is_none() {
            return Err(Rejected::NoHolder);
        }
        let id = submission.id;
        self.submissions.mine.insert(
            id,
            Mine {
                submission,
                since: now,
                sent: None,
            },
        );
        self.resend(now, around, out);
        Ok(())
    }

    /// Sends a change to the holder no more: who asked for it was told that its outcome is not known.
    pub fn withdraw(&mut self, id: u64) {
        self.submissions.settle(id);
    }

    /// Sends what has no outcome yet to the holder.
    pub(super) fn resend(
        &mut self,
        now: Time,
        around: &Surroundings,
        out: &mut Vec<(SocketAddr, Message)>,
    ) {
        let mut due = Vec::new();
        for (id, mine) in &mut self.submissions.mine {
            if now - mine.since >= PATIENCE {
                self.events.push(Event::Outcome {
                    id: *id,
                    result: Err(Rejected::Unknown),
                });
            } else if mine.sent.is_none_or(|sent| now - sent >= REPEAT) {
                mine.sent = Some(now);
                due.push(mine.submission.clone());
            }
        }
        self.submissions
            .mine
            .retain(|_, mine| now - mine.since < PATIENCE);
        for submission in due {
            if around.holding.is_some() {
                self.queue(now, around, self.rules.own, submission, out);
            } else if let Some(holder) = around.holder {
                out.push((holder, Message::Submit(submission)));
            }
        }
    }

    /// Lets a change wait for its turn, if this proxy is the holder; else who asked sends it to another.
    pub(super) fn queue(
        &mut self,
        now: Time,
        around: &Surroundings,
        asker: SocketAddr,
        submission: Submission,
        out: &mut Vec<(SocketAddr, Message)>,
    ) {
        if self.proposer.is_none() {
            return;
        }
        let id = submission.id;
        if let Some(number) = self.table.numbered(id) {
            return self.outcome(asker, id, Ok(number), out);
        }
        let proposed = self
            .proposer
            .as_ref()
            .and_then(Proposer::proposed)
            .is_some_and(|c| c.id == id);
        let queue = &mut self.submissions.queue;
        if proposed || queue.iter().any(|(_, waiting)| waiting.id == id) {
            return;
        }
        if queue.len() >= MOST_WAITING {
            return self.outcome(asker, id, Err(Rejected::Busy), out);
        }
        queue.push_back((asker, submission));
        self.propose(now, around, out);
    }

    /// Proposes the next change that can be, while none is open.
    pub(super) fn propose(
        &mut self,
        now: Time,
        around: &Surroundings,
        out: &mut Vec<(SocketAddr, Message)>,
    ) {
        while self.proposer.as_ref().is_some_and(Proposer::is_ready) {
            let Some((asker, submission)) = self.submissions.queue.pop_front() else {
                return;
            };
            let id = submission.id;
            match fits(&self.table, &submission) {
                Ok(true) => {
                    self.submissions.open = Some((asker, id));
                    let (mut said, version) = (Vec::<Paxos>::new(), self.table.version());
                    if let Some(proposer) = &mut self.proposer {
                        proposer.propose(
                            now,
                            around.wall_ms,
                            version,
                            (id, submission.edits),
                            &mut said,
                        );
                    }
                    self.ask_voters(now, around, said, out);
                }
                Ok(false) => self.outcome(asker, id, Ok(self.table.version()), out),
                Err(why) => self.outcome(asker, id, Err(why), out),
            }
        }
    }

    /// A change that was proposed here is decided: who asked for it is told.
    pub(super) fn decided_for(
        &mut self,
        id: u64,
        number: u64,
        out: &mut Vec<(SocketAddr, Message)>,
    ) {
        if let Some((asker, _)) = self.submissions.open.take_if(|(_, open)| *open == id) {
            self.outcome(asker, id, Ok(number), out);
        }
    }

    fn outcome(
        &mut self,
        asker: SocketAddr,
        id: u64,
        result: Result<u64, Rejected>,
        out: &mut Vec<(SocketAddr, Message)>,
    ) {
        if asker != self.rules.own {
            out.push((asker, Message::Outcome { id, result }));
        } else {
            self.settled(id, result);
        }
    }

    /// An outcome came; the first one counts.
    pub(super) fn settled(&mut self, id: u64, result: Result<u64, Rejected>) {
        if self.submissions.settle(id) {
            self.events.push(Event::Outcome { id, result });
        }
    }
}
