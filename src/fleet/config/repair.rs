//! How a copy that is behind gets what it lacks: the changes since, where another proxy's log has them, else by comparing
//! the trees of hashes from the root down and fetching the ranges that differ, beside the copy that is in force.

use super::message::Message;
use super::replica::{Replica, Surroundings, LOAD};
use super::table::{Digest, Entry, Staged};
use super::tree::Node;
use super::Refused;
use crate::interface::{Micros, Time};
use std::net::SocketAddr;

/// How long one proxy has for an answer before another is asked.
const ANSWER: Micros = Micros(300_000);
/// How many times another one is asked before a state is given up that nobody seems to have.
const TRIES: u32 = 20;

/// What is fetched by ranges.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Fetching {
    from: SocketAddr,
    staged: Staged,
    /// What is asked for now, and what comes then, the last first.
    task: Task,
    todo: Vec<Task>,
    asked: Time,
    tries: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Task {
    Compare(Node),
    Fetch(u64, u64),
}

impl Task {
    fn message(self) -> Message {
        match self {
            Task::Compare(node) => Message::Hashes { node },
            Task::Fetch(from, to) => Message::Range { from, to },
        }
    }
}

/// What this proxy lacks and is getting.
#[derive(Clone, Debug, Default)]
pub(super) struct Repair {
    /// Who was asked last for the changes since, and when.
    asked: Option<(SocketAddr, Time)>,
    fetching: Option<Fetching>,
}

impl Replica {
    /// Whether this proxy fetches the table by ranges.
    pub fn is_fetching(&self) -> bool {
        self.repair.fetching.is_some()
    }

    /// Asks a proxy that has more for what came since, one at a time.
    pub(super) fn ask_since(
        &mut self,
        now: Time,
        from: SocketAddr,
        theirs: u64,
        out: &mut Vec<(SocketAddr, Message)>,
    ) {
        let version = self.table.version();
        let asking = self.repair.asked.is_some_and(|(_, at)| now - at < ANSWER);
        if theirs > version && !asking && self.repair.fetching.is_none() {
            self.repair.asked = Some((from, now));
            out.push((from, Message::Since { version }));
        }
    }

    /// Answers what lies in a range, as much as fits.
    pub(super) fn part(
        &mut self,
        now: Time,
        to: SocketAddr,
        (first, last): (u64, u64),
        out: &mut Vec<(SocketAddr, Message)>,
    ) {
        let (mut entries, mut bytes, mut upto) = (Vec::new(), 0, last);
        for (position, entry) in self.table.range(first, last) {
            bytes += entry.edit.size() + 10;
            if bytes > LOAD && !entries.is_empty() {
                upto = position - 1; // above the entry before
                break;
            }
            entries.push(entry.clone());
        }
        let digest = self.table.digest();
        let message = Message::Part {
            digest,
            from: first,
            to: upto,
            entries,
        };
        self.spend(now, to, message, bytes.min(LOAD) + 100, out);
    }

    /// The hashes of a range's children: the answer to a comparison, or the begin of one.
    pub(super) fn children(
        &mut self,
        now: Time,
        from: SocketAddr,
        digest: Digest,
        node: Node,
        hashes: &[u64],
        out: &mut Vec<(SocketAddr, Message)>,
    ) -> Result<(), Refused> {
        let begins = self.repair.asked.is_some_and(|(of, _)| of == from) && node == Node::ROOT;
        if self.repair.fetching.is_none() && begins && digest.version > self.table.version() {
            self.repair.asked = None;
            let staged = Staged::new(&self.table, digest);
            let (task, todo, asked, tries) = (Task::Compare(node), Vec::new(), now, 0);
            self.repair.fetching = Some(Fetching {
                from,
                staged,
                task,
                todo,
                asked,
                tries,
            });
        }
        let fetching = self.expected(from, digest, Task::Compare(node))?;
        let differing = fetching.staged.differing(node, hashes);
        if node == Node::ROOT && differing.is_empty() && !fetching.staged.is_whole() {
            self.repair.fetching = None; // its hashes do not add up to its root
            return Err(Refused::Unasked);
        }
        let task = |node: Node| match node.children().next() {
            Some(_) => Task::Compare(node),
            None => Task::Fetch(node.span().0, node.span().1),
        };
        fetching.todo.extend(differing.into_iter().map(task));
        if node == Node::ROOT && self.table.is_empty() {
            // All of it is lacking: nothing is to be compared.
            if let Some(fetching) = &mut self.repair.fetching {
                fetching.todo = vec![Task::Fetch(0, u64::MAX)];
            }
        }
        self.go_on(now, out);
        Ok(())
    }

    /// What lies in a range that was asked for.
    pub(super) fn fetched(
        &mut self,
        now: Time,
        from: SocketAddr,
        digest: Digest,
        (first, to): (u64, u64),
        entries: Vec<Entry>,
        out: &mut Vec<(SocketAddr, Message)>,
    ) -> Result<(), Refused> {
        let asked = self.repair.fetching.as_ref().map(|fetching| fetching.task);
        let Some(Task::Fetch(start, end)) = asked.filter(|task| matches!(task, Task::Fetch(..)))
        else {
            return Err(Refused::Unasked);
        };
        if first != start || to > end {
            return Err(Refused::Unasked);
        }
        let table = std::mem::take(&mut self.table);
        let taken = self
            .expected(from, digest, Task::Fetch(start, end))
            .and_then(|fetching| {
                fetching.staged.fetched(&table, (first, to), entries)?;
                if to < end {
                    fetching.todo.push(Task::Fetch(to + 1, end));
                }
                Ok(())
            });
        self.table = table;
        taken?;
        self.go_on(now, out);
        Ok(())
    }

    /// The fetching that this answers, with the answer's state as its target: it is never a lower one.
    fn expected(
        &mut self,
        from: SocketAddr,
        digest: Digest,
        task: Task,
    ) -> Result<&mut Fetching, Refused> {
        let fetching = self.repair.fetching.as_mut().ok_or(Refused::Unasked)?;
        let fits = fetching.from == from && fetching.task == task;
        if !fits || digest.version < fetching.staged.target.version {
            return Err(Refused::Unasked);
        }
        fetching.staged.target = digest;
        Ok(fetching)
    }

    /// Asks for what comes next; where nothing is left it is whole, or the other copy went on and is compared anew.
    fn go_on(&mut self, now: Time, out: &mut Vec<(SocketAddr, Message)>) {
        let Some(fetching) = &mut self.repair.fetching else {
            return;
        };
        if fetching.todo.is_empty() && fetching.staged.is_whole() {
            let Some(fetching) = self.repair.fetching.take() else {
                return;
            };
            let (from, version) = (fetching.from, fetching.staged.target.version);
            if let Some(entries) = self.table.go_to(fetching.staged) {
                self.new_in_force(version, entries);
                self.follow();
                out.push((from, Message::Since { version }));
            }
            return;
        }
        fetching.task = fetching.todo.pop().unwrap_or(Task::Compare(Node::ROOT));
        (fetching.asked, fetching.tries) = (now, 0);
        out.push((fetching.from, fetching.task.message()));
    }

    /// Asks another proxy where one did not answer: what is fetched stays, and is compared with what that one has.
    pub(super) fn repair_late(
        &mut self,
        now: Time,
        around: &Surroundings,
        out: &mut Vec<(SocketAddr, Message)>,
    ) {
        if self
            .repair
            .fetching
            .as_ref()
            .is_none_or(|f| now - f.asked < ANSWER)
        {
            return;
        }
        let Some(other) = self.neighbour(around) else {
            return;
        };
        let Some(fetching) = &mut self.repair.fetching else {
            return;
        };
        fetching.tries += 1;
        if fetching.tries > TRIES {
            self.repair.fetching = None;
            return;
        }
        // A datagram may have been lost: every third time somebody else is asked.
        if fetching.tries.is_multiple_of(3) {
            fetching.from = other;
            fetching.todo.clear();
            fetching.task = Task::Compare(Node::ROOT);
        }
        fetching.asked = now;
        out.push((fetching.from, fetching.task.message()));
    }
}
