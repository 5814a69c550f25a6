//! Every proxy's part: its copy, what it passes on, and what it says to the holder and, as a voter, as one.

use super::acceptor::Acceptor;
use super::message::{Memory, Message, Paxos};
use super::proposer::{Proposer, Step};
use super::repair::Repair;
use super::submit::{Rejected, Submissions};
use super::table::{Applied, Digest, Entry, Table};
use super::{Change, Refused, MOST_NUMBER, MOST_WAITING};
use crate::fleet::lease::{self, Token};
use crate::interface::{Micros, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// To how many members a change is passed on.
const FANOUT: usize = 6;
/// When the holder says a change again.
const AGAIN: [Micros; 2] = [Micros(200_000), Micros(600_000)];
/// How often a digest goes out; and while this proxy waits for something.
const BEAT: Micros = Micros(1_000_000);
const CATCH_UP: Micros = Micros(200_000);
/// Each so many digests one goes to a voter, believed alive or not.
const TO_VOTER: u32 = 5;
/// More changes at once than this are a repair, and are not passed on.
const NEWS: usize = 4;
/// Changes that one question is answered with at most.
const MOST_GIVEN: usize = 64;
/// The bytes of changes or entries in one message.
pub(super) const LOAD: usize = 1150;
/// Bytes a second that this proxy spends on others' repairs, and how far ahead of that it may be.
const RATE: u64 = 24 << 10;
const BURST: Micros = Micros(2_000_000);

type Out = Vec<(SocketAddr, Message)>;

/// What all proxies agree on, and who this one is.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The leases': terms and the number of voters.
    pub lease: lease::Rules,
    /// The voters, as many as the leases' rules say.
    pub voters: Vec<SocketAddr>,
    /// This proxy.
    pub own: SocketAddr,
}

/// What the host knows at this instant.
#[derive(Clone, Copy, Debug)]
pub struct Surroundings<'a> {
    /// The wall clock in milliseconds since 1970.
    pub wall_ms: u64,
    /// Live members but this proxy.
    pub members: &'a [SocketAddr],
    /// Those of its own zone.
    pub near: &'a [SocketAddr],
    /// The token under which this proxy holds the duty, by the clock.
    pub holding: Option<Token>,
    /// Who is known to hold it.
    pub holder: Option<SocketAddr>,
}

/// What the host has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// These entries changed together; the table is at that version now.
    InForce {
        /// The version.
        version: u64,
        /// What is different from before.
        entries: Vec<Entry>,
    },
    /// What became of a submission of this proxy: the change's number, or why it is not taken.
    Outcome {
        /// The submission's.
        id: u64,
        /// What became of it.
        result: Result<u64, Rejected>,
    },
    /// Another proxy holds the duty under a higher token: the lease is to be told.
    Superseded(Token),
    /// Another copy of the same version has another content, which must not be.
    Diverged(SocketAddr),
}

/// One proxy's state of the configuration.
#[derive(Clone, Debug)]
pub struct Replica {
    pub(super) rules: Rules,
    pub(super) table: Table,
    acceptor: Option<Acceptor>,
    pub(super) proposer: Option<Proposer>,
    /// The last token that it proposed under, which is never taken up again.
    last: Token,
    pub(super) submissions: Submissions,
    /// Changes that came before what they follow, by that.
    waiting: BTreeMap<u64, Change>,
    pub(super) repair: Repair,
    /// What the holder says again.
    again: VecDeque<(Time, Change)>,
    digest_at: Time,
    digests: u32,
    /// The highest version that was heard of.
    newest: u64,
    /// It has just started, and nobody confirmed yet that it lacks nothing.
    new: bool,
    /// Up to when its bytes for repairs are spent.
    spent: Time,
    random: Pcg32,
    pub(super) events: Vec<Event>,
}

impl Replica {
    /// An empty copy. `seed` is drawn at random by the host at each start.
    pub fn new(rules: Rules, seed: u64, now: Time) -> Replica {
        let mut random = Pcg32::seed_from_u64(seed);
        let place = rules.voters.iter().position(|voter| *voter == rules.own);
        let acceptor = place.map(|place| Acceptor::new(rules.lease, place, random.next_u64(), now));
        let (table, proposer, last, submissions, waiting) = Default::default();
        let (repair, again, digests, newest, events) = Default::default();
        let (digest_at, spent, new) = (now, now, true);
        Replica {
            rules,
            table,
            acceptor,
            proposer,
            last,
            submissions,
            waiting,
            repair,
            again,
            digest_at,
            digests,
            newest,
            new,
            spent,
            random,
            events,
        }
    }

    /// Begins with the copy that an earlier process of this proxy kept, unless it has one by now: no copy goes back. What this proxy
    /// promised as a voter it has forgotten all the same, as the copy may be older than that.
    pub fn restore(&mut self, table: Table) {
        if self.table.version() < table.version() {
            let entries = table
                .range(0, u64::MAX)
                .map(|(_, entry)| entry.clone())
                .collect();
            self.table = table;
            self.new_in_force(self.table.version(), entries);
        }
    }

    /// The copy in force.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// The highest version that it heard of: above its copy's while it is behind.
    pub fn newest(&self) -> u64 {
        self.newest.max(self.table.version())
    }

    /// Whether nobody has confirmed yet, since its start, that it lacks nothing.
    pub fn is_new(&self) -> bool {
        self.new
    }

    /// It takes part though nobody confirmed that: there is nobody, or none answered for long.
    pub fn take_part(&mut self) {
        self.new = false;
    }

    /// Whether it is a voter that takes part; `None` where it is no voter.
    pub fn votes(&self) -> Option<bool> {
        self.acceptor.as_ref().map(Acceptor::votes)
    }

    /// The voters that a voter without memory waits for.
    pub fn unanswered(&self) -> Vec<SocketAddr> {
        let places = self.acceptor.iter().flat_map(Acceptor::unanswered);
        places
            .filter_map(|place| self.rules.voters.get(place).copied())
            .collect()
    }

    /// The number of the change that this proxy, as the holder, waits for a majority with.
    pub fn proposed(&self) -> Option<u64> {
        self.proposer
            .as_ref()
            .and_then(Proposer::proposed)
            .map(|change| change.number)
    }

    /// The number of the change that this proxy, as a voter, keeps and does not know to be decided.
    pub fn keeps(&self) -> Option<u64> {
        self.acceptor.as_ref().and_then(Acceptor::keeps)
    }

    /// What happened since the last call, in order.
    pub fn events(&mut self) -> Vec<Event> {
        std::mem::take(&mut self.events)
    }

    /// Lets time pass. To be called each tenth of a second or more often, and when the holding changes.
    pub fn tick(&mut self, now: Time, around: &Surroundings, out: &mut Out) {
        self.recover(now, around, out);
        self.hold(now, around, out);
        self.resend(now, around, out);
        while self.again.front().is_some_and(|(at, _)| *at <= now) {
            if let Some((_, change)) = self.again.pop_front() {
                self.push(vec![change], around, out);
            }
        }
        self.digest(now, around, out);
        self.repair_late(now, around, out);
    }

    /// Takes another proxy's message.
    ///
    /// # Errors
    /// Why it is not used; it changed nothing.
    #[expect(
        clippy::too_many_lines,
        reason = "issue 32: code that reads as well as it works"
    )]
    pub fn handle(
        &mut self,
        now: Time,
        around: &Surroundings,
        from: SocketAddr,
        message: Message,
        out: &mut Out,
    ) -> Result<(), Refused> {
        message.check()?;
        match message {
            Message::Paxos(message) => self.paxos(now, around, from, message, out),
            Message::Changes {
                changes,
                version,
                push,
            } => {
                if version >= MOST_NUMBER {
                    return Err(Refused::Number(version));
                }
                self.newest = self.newest.max(version);
                self.take(around, changes, push, out)?;
                self.ask_since(now, from, version, out);
                Ok(())
            }
            Message::Digest { digest, new, ask } => {
                if digest.version >= MOST_NUMBER {
                    return Err(Refused::Number(digest.version));
                }
                self.compare(now, from, digest, (new, ask), out);
                Ok(())
            }
            Message::Since { version } => {
                self.give(now, from, version, out);
                Ok(())
            }
            Message::Hashes { node } => {
                let hashes = self.table.hashes(node);
                let digest = self.table.digest();
                self.spend(
                    now,
                    from,
                    Message::Children {
                        digest,
                        node,
                        hashes,
                    },
                    180,
                    out,
                );
                Ok(())
            }
            Message::Range { from: first, to } => {
                self.part(now, from, (first, to), out);
                Ok(())
            }
            Message::Children {
                digest,
                node,
                hashes,
            } => self.children(now, from, digest, node, &hashes, out),
            Message::Part {
                digest,
                from: first,
                to,
                entries,
            } => self.fetched(now, from, digest, (first, to), entries, out),
            Message::Submit(submission) => {
                if around.holding.is_some() {
                    self.queue(now, around, from, submission, out);
                }
                Ok(())
            }
            Message::Outcome { id, result } => {
                self.settled(id, result);
                Ok(())
            }
        }
    }

    fn paxos(
        &mut self,
        now: Time,
        around: &Surroundings,
        from: SocketAddr,
        message: Paxos,
        out: &mut Out,
    ) -> Result<(), Refused> {
        let place = self.rules.voters.iter().position(|voter| *voter == from);
        let version = self.table.version();
        match message {
            Paxos::Prepare { .. } | Paxos::Accept { .. } | Paxos::Recover { .. } => {
                if let Paxos::Accept { change, .. } = &message {
                    change.check()?;
                }
                let acceptor = self.acceptor.as_mut().ok_or(Refused::NoVoter)?;
                let answer = acceptor.handle(message, version);
                out.extend(answer.map(|answer| (from, Message::Paxos(answer))));
            }
            Paxos::Known {
                nonce,
                memory,
                remembers,
            } => {
                let place = place.ok_or(Refused::Stranger)?;
                check_memory(&memory)?;
                let acceptor = self.acceptor.as_mut().ok_or(Refused::NoVoter)?;
                acceptor.known(
                    now,
                    around.wall_ms,
                    version,
                    place,
                    nonce,
                    (remembers, memory),
                );
            }
            Paxos::Promise { .. }
            | Paxos::Accepted { .. }
            | Paxos::Behind { .. }
            | Paxos::Refused { .. } => {
                let place = place.ok_or(Refused::Stranger)?;
                if let Paxos::Promise {
                    accepted: Some((_, change)),
                    ..
                } = &message
                {
                    change.check()?;
                }
                let mut said = Vec::new();
                self.answered(now, around, place, message, &mut said, out);
                self.ask_voters(now, around, said, out);
                self.propose(now, around, out);
            }
        }
        Ok(())
    }

    /// What a voter's answer means for what is proposed here.
    fn answered(
        &mut self,
        now: Time,
        around: &Surroundings,
        place: usize,
        message: Paxos,
        said: &mut Vec<Paxos>,
        out: &mut Out,
    ) {
        let version = self.table.version();
        // A holder that was stopped looks at its lease before it counts anything.
        let Some(proposer) = self
            .proposer
            .as_mut()
            .filter(|p| around.holding == Some(p.token()))
        else {
            return;
        };
        match proposer.heard(now, version, place, message, said) {
            Step::Wait => {}
            Step::Decided(change) => self.decided(now, around, change, out),
            Step::Lacks(theirs, again) => {
                let voter = self.rules.voters[place];
                self.give(now, voter, theirs, out);
                out.push((voter, Message::Paxos(again)));
            }
            Step::Superseded(token) => {
                self.proposer = None;
                self.submissions.forget_queue();
                self.events.push(Event::Superseded(token));
            }
        }
    }

    /// To every voter; this proxy's own is asked here.
    pub(super) fn ask_voters(
        &mut self,
        now: Time,
        around: &Surroundings,
        said: Vec<Paxos>,
        out: &mut Out,
    ) {
        let mut said = VecDeque::from(said);
        while let Some(message) = said.pop_front() {
            for (place, voter) in self.rules.voters.clone().into_iter().enumerate() {
                if voter != self.rules.own {
                    out.push((voter, Message::Paxos(message.clone())));
                    continue;
                }
                let version = self.table.version();
                let answer = self
                    .acceptor
                    .as_mut()
                    .and_then(|a| a.handle(message.clone(), version));
                let Some(answer) = answer else { continue };
                let mut more = Vec::new();
                self.answered(now, around, place, answer, &mut more, out);
                said.extend(more);
            }
        }
    }

    /// A majority of the voters keeps it.
    fn decided(&mut self, now: Time, around: &Surroundings, change: Change, out: &mut Out) {
        let (id, number) = (change.id, change.number);
        if self.advance(&change) == Ok(Applied::New) {
            let all = Message::Changes {
                changes: vec![change.clone()],
                version: number,
                push: true,
            };
            let others = self
                .rules
                .voters
                .iter()
                .filter(|voter| **voter != self.rules.own);
            out.extend(others.map(|voter| (*voter, all.clone())));
            self.push(vec![change.clone()], around, out);
            self.again
                .extend(AGAIN.map(|pause| (now + pause, change.clone())));
            self.again.make_contiguous().sort_by_key(|(at, _)| *at);
        }
        self.decided_for(id, number, out);
    }

    /// Takes a change into the copy if it is the next, and then what waited for it.
    fn advance(&mut self, change: &Change) -> Result<Applied, Refused> {
        let applied = self.table.apply(change)?;
        match applied {
            Applied::New => {
                self.new_in_force(change.number, change.entries());
                self.settled(change.id, Ok(change.number)); // the holder's own answer may be lost
                self.follow();
            }
            // What follows a version that this copy is past is of another chain: a repair brings it.
            Applied::Gap if change.after > self.table.version() => {
                self.waiting.insert(change.after, change.clone());
                if self.waiting.len() > MOST_WAITING {
                    self.waiting.pop_last();
                }
            }
            Applied::Gap | Applied::Known => {}
        }
        Ok(applied)
    }

    /// Takes the changes that waited for this version, and forgets what it is past.
    pub(super) fn follow(&mut self) {
        while let Some(change) = self.waiting.remove(&self.table.version()) {
            if self.table.apply(&change) == Ok(Applied::New) {
                self.new_in_force(change.number, change.entries());
                self.settled(change.id, Ok(change.number));
            }
        }
        self.waiting = self.waiting.split_off(&self.table.version());
    }

    /// The copy went to another version.
    pub(super) fn new_in_force(&mut self, version: u64, entries: Vec<Entry>) {
        self.events.push(Event::InForce { version, entries });
        self.repair = Repair::default(); // what was staged beside the old one does not fit any more
    }

    /// Takes changes from another proxy, and passes on what is news here too.
    fn take(
        &mut self,
        around: &Surroundings,
        changes: Vec<Change>,
        push: bool,
        out: &mut Out,
    ) -> Result<(), Refused> {
        changes.iter().try_for_each(Change::check)?;
        let mut news = Vec::new();
        for change in changes {
            if self.advance(&change)? == Applied::New {
                news.push(change);
            }
        }
        // What came by a repair is news to those who were cut off with this proxy, unless it is long past.
        if !news.is_empty() && (push || news.len() <= NEWS) {
            self.push(news, around, out);
        }
        Ok(())
    }

    /// Sends changes to some members drawn at random.
    fn push(&mut self, changes: Vec<Change>, around: &Surroundings, out: &mut Out) {
        let mut members = around.members.to_vec();
        let version = self.table.version();
        for drawn in 0..FANOUT.min(members.len()) {
            let other = drawn + self.draw(members.len() - drawn);
            members.swap(drawn, other);
            for part in parts(changes.clone(), Change::size) {
                out.push((
                    members[drawn],
                    Message::Changes {
                        changes: part,
                        version,
                        push: true,
                    },
                ));
            }
        }
    }

    /// Another proxy's digest: who is behind asks, who is ahead gives.
    fn compare(
        &mut self,
        now: Time,
        from: SocketAddr,
        theirs: Digest,
        (new, ask): (bool, bool),
        out: &mut Out,
    ) {
        let mine = self.table.digest();
        self.newest = self.newest.max(theirs.version);
        if theirs.version == mine.version && theirs.root != mine.root {
            self.events.push(Event::Diverged(from));
        }
        if !new && theirs.version <= mine.version {
            self.new = false; // this copy has all that one has that takes part
        }
        if theirs.version > mine.version {
            self.ask_since(now, from, theirs.version, out);
        } else if theirs.version < mine.version {
            self.give(now, from, theirs.version, out);
        }
        if ask {
            out.push((
                from,
                Message::Digest {
                    digest: mine,
                    new: self.new,
                    ask: false,
                },
            ));
        }
    }

    /// Gives the changes after a version, some messages of them; the root's hashes where they are not kept.
    fn give(&mut self, now: Time, to: SocketAddr, version: u64, out: &mut Out) {
        let mine = self.table.digest();
        if version >= mine.version {
            return;
        }
        let Some(changes) = self.table.since(version) else {
            let node = super::Node::ROOT;
            let hashes = self.table.hashes(node);
            return self.spend(
                now,
                to,
                Message::Children {
                    digest: mine,
                    node,
                    hashes,
                },
                180,
                out,
            );
        };
        let changes: Vec<Change> = changes.take(MOST_GIVEN).cloned().collect();
        let parts = parts(changes, Change::size);
        let last = parts.len();
        for (n, part) in parts.into_iter().enumerate() {
            let size = part.iter().map(Change::size).sum::<usize>() + 80;
            // Only the last one makes the other proxy ask on.
            let version = if n + 1 == last { mine.version } else { 0 };
            let message = Message::Changes {
                changes: part,
                version,
                push: false,
            };
            self.spend(now, to, message, size, out);
        }
    }

    /// Sends what another proxy's repair needs, unless this one gave too much lately.
    pub(super) fn spend(
        &mut self,
        now: Time,
        to: SocketAddr,
        message: Message,
        bytes: usize,
        out: &mut Out,
    ) {
        let begun = self.spent.max(now);
        if begun - now <= BURST {
            self.spent = begun + Micros(bytes as u64 * 1_000_000 / RATE);
            out.push((to, message));
        }
    }

    /// A voter's start: it asks the others what it may have forgotten.
    fn recover(&mut self, now: Time, around: &Surroundings, out: &mut Out) {
        let Some(acceptor) = &mut self.acceptor else {
            return;
        };
        let mut said = Vec::new();
        acceptor.tick(now, around.wall_ms, self.table.version(), &mut said);
        for message in said {
            let others = self
                .rules
                .voters
                .iter()
                .filter(|voter| **voter != self.rules.own);
            out.extend(others.map(|voter| (*voter, Message::Paxos(message.clone()))));
        }
    }

    /// The holder's part begins and ends with the lease.
    fn hold(&mut self, now: Time, around: &Surroundings, out: &mut Out) {
        if self
            .proposer
            .as_ref()
            .is_some_and(|p| around.holding != Some(p.token()))
        {
            self.proposer = None;
            self.submissions.forget_queue();
        }
        if let Some(token) = around
            .holding
            .filter(|token| self.proposer.is_none() && *token > self.last)
        {
            self.last = token;
            self.proposer = Some(Proposer::new(self.rules.lease, token));
        }
        let Some(proposer) = &mut self.proposer else {
            return;
        };
        let mut said = Vec::new();
        proposer.tick(now, self.table.version(), &mut said);
        self.ask_voters(now, around, said, out);
        self.propose(now, around, out);
    }

    /// Tells one other proxy what this one has.
    fn digest(&mut self, now: Time, around: &Surroundings, out: &mut Out) {
        if now < self.digest_at {
            return;
        }
        let reaching = self
            .acceptor
            .as_ref()
            .is_some_and(|a| a.reaching().is_some())
            || self
                .proposer
                .as_ref()
                .is_some_and(|p| p.reaching().is_some());
        self.digest_at = now + if self.new || reaching { CATCH_UP } else { BEAT };
        self.digests = self.digests.wrapping_add(1);
        let voters: Vec<SocketAddr> = self
            .rules
            .voters
            .iter()
            .copied()
            .filter(|voter| *voter != self.rules.own)
            .collect();
        let to =
            match reaching || self.digests.is_multiple_of(TO_VOTER) || around.members.is_empty() {
                true => self.one_of(&voters),
                false if self.new => self.neighbour(around),
                false => self.one_of(around.members),
            };
        let digest = self.table.digest();
        out.extend(to.map(|to| {
            (
                to,
                Message::Digest {
                    digest,
                    new: self.new,
                    ask: self.new,
                },
            )
        }));
    }

    /// Whom to ask for much: mostly one of the same zone.
    pub(super) fn neighbour(&mut self, around: &Surroundings) -> Option<SocketAddr> {
        match around.near.is_empty() || self.draw(4) == 0 {
            true => self.one_of(around.members),
            false => self.one_of(around.near),
        }
    }

    fn one_of(&mut self, of: &[SocketAddr]) -> Option<SocketAddr> {
        (!of.is_empty()).then(|| of[self.draw(of.len())])
    }

    /// Any number below this one, which is above 0.
    fn draw(&mut self, below: usize) -> usize {
        ((u64::from(self.random.next_u32()) * below as u64) >> 32) as usize
    }
}

fn check_memory(memory: &Memory) -> Result<(), Refused> {
    memory
        .accepted
        .as_ref()
        .map_or(Ok(()), |(_, change)| change.check())
}

/// Parts of a list that each fit into one message.
pub(super) fn parts<T>(items: Vec<T>, size: impl Fn(&T) -> usize) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut filled = 0;
    for item in items {
        filled += size(&item);
        match parts.last_mut().filter(|_| filled <= LOAD) {
            Some(part) => part.push(item),
            None => {
                filled = size(&item);
                parts.push(vec![item]);
            }
        }
    }
    parts
}
