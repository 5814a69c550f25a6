//! Leases: a duty that one proxy of the fleet holds at a time, without a disk.
//!
//! A [`Candidate`] asks the [`Voter`]s, a small fixed set of proxies. Each voter grants a duty to one candidate at a
//! time, for a while; whoever has a majority's grants holds the duty for one term. There is one candidate and one
//! voter machine for each duty; its name travels beside the [`Message`].
//!
//! Why no two candidates hold at once: two majorities share a voter, and a voter has one live grant at a time. A
//! holder counts its term from before it asked, and a grant outlives that on any clock that runs within `1 +- drift`
//! of true time. A voter that starts with empty memory says nothing for one grant's life, so that whatever it granted
//! before is over. An answer counts only for the round that it names, so a late one proves nothing.
//!
//! Why tokens grow: a voter grants nothing below the highest ballot that it granted, and the shared voter saw both.
//! Where voters forgot that in a restart, [`Voter::learn`] tells them again, and no ballot's number is below the wall
//! clock at its bid. A bid that is not won within [`Rules::patience`] is over, so two holdings between which a
//! voter forgot were bid for most of a term apart.

use crate::interface::{Micros, Time};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

/// A bid for a duty, ordered by number and then by candidate.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Ballot {
    /// Above every number that the candidate had seen, and at least its wall clock in milliseconds since 1970.
    pub number: u64,
    /// The candidate's incarnation: a number that its host draws at random at each start.
    pub by: u64,
}

impl Ballot {
    /// The least ballot above this one.
    pub(crate) fn above(self) -> Ballot {
        match self.by.checked_add(1) {
            Some(by) => Ballot { by, ..self },
            None => Ballot {
                number: self.number.saturating_add(1),
                by: 0,
            },
        }
    }
}

/// Names one holding from its gain to its loss, over all renewals: the ballot that won it. Effects carry it.
pub type Token = Ballot;

/// What all voters and candidates of a fleet agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Rules {
    voters: u8,
    term: Micros,
    grant_life: Micros,
}

/// The longest term: a dead holder is missed for longer than that.
const LONGEST_TERM: Micros = Micros(24 * 3_600 * 1_000_000);

impl Rules {
    /// Rules for so many voters (1, 3, 5 or 7), a holding that lasts `term` (up to a day) unless it is renewed, and
    /// monotonic clocks that run within `1 +- drift` of true time (0 up to below 0.5).
    ///
    /// # Errors
    /// The first of them that is out of its range.
    pub fn new(voters: usize, term: Micros, drift: f64) -> Result<Rules, RulesError> {
        if !matches!(voters, 1 | 3 | 5 | 7) {
            return Err(RulesError::Voters(voters));
        }
        if term.0 == 0 || term > LONGEST_TERM {
            return Err(RulesError::Term(term));
        }
        if !(0.0..0.5).contains(&drift) {
            return Err(RulesError::Drift);
        }
        let life = (term.0 as f64 * (1.0 + drift) / (1.0 - drift)).ceil();
        Ok(Rules {
            voters: voters as u8,
            term,
            grant_life: Micros(life as u64),
        })
    }

    /// How many voters there are.
    pub fn voters(&self) -> usize {
        usize::from(self.voters)
    }

    /// How long a holding lasts without a renewal, on the holder's clock.
    pub fn term(&self) -> Micros {
        self.term
    }

    /// How long a grant lasts on a voter's clock, and how long a voter keeps silent after its start: the term on the
    /// slowest clock, told by the fastest.
    pub fn grant_life(&self) -> Micros {
        self.grant_life
    }

    /// A bid that is not won within this time is given up.
    pub fn patience(&self) -> Micros {
        self.part(4)
    }

    fn part(&self, of: u64) -> Micros {
        Micros((self.term.0 / of).max(1))
    }

    fn majority(&self) -> u32 {
        u32::from(self.voters) / 2 + 1
    }
}

/// Why rules were not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RulesError {
    /// So many voters are not 1, 3, 5 or 7.
    Voters(usize),
    /// This term is 0 or over a day.
    Term(Micros),
    /// The drift is not from 0 to below 0.5.
    Drift,
}

impl std::fmt::Display for RulesError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            RulesError::Voters(n) => write!(f, "voters: expected 1, 3, 5 or 7, not {n}"),
            RulesError::Term(term) => {
                write!(
                    f,
                    "term: expected above 0 and up to a day, not {} s",
                    term.as_secs_f64()
                )
            }
            RulesError::Drift => f.write_str("drift: expected from 0 to below 0.5"),
        }
    }
}

impl std::error::Error for RulesError {}

/// What candidates and voters say to each other about one duty. Candidates speak to all voters at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Candidate: would you grant this? It binds nobody, so that who asks in vain takes no voter from a holder.
    Ask {
        /// What would be proposed.
        ballot: Ballot,
    },
    /// Voter: as things are, yes.
    Free {
        /// What was asked.
        ballot: Ballot,
    },
    /// Candidate: grant this, or let it last on.
    Propose {
        /// What is to be granted.
        ballot: Ballot,
        /// Which of this ballot's rounds this is, from 1.
        round: u32,
    },
    /// Voter: granted, for one grant's life from now.
    Accepted {
        /// What was granted.
        ballot: Ballot,
        /// The round that it answers.
        round: u32,
    },
    /// Voter: no, as another's grant lives or a higher ballot was granted.
    Refused {
        /// What was asked or proposed.
        ballot: Ballot,
        /// The round that it answers, 0 for [`Message::Ask`].
        round: u32,
        /// The highest ballot that this voter granted or learned of.
        highest: Ballot,
    },
    /// Candidate: what was granted to this ballot is no longer needed, for ever.
    Release {
        /// The ballot.
        ballot: Ballot,
    },
}

/// One voter's memory of one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Voter {
    rules: Rules,
    silent_until: Time,
    /// Nothing below this is granted.
    floor: Ballot,
    grant: Option<(Ballot, Time)>,
}

impl Voter {
    /// A voter that has just started and remembers nothing: it is silent for one grant's life.
    pub fn new(rules: Rules, now: Time) -> Voter {
        Voter {
            rules,
            silent_until: now + rules.grant_life,
            floor: Ballot::default(),
            grant: None,
        }
    }

    /// Whether it still keeps silent after its start.
    pub fn silent(&self, now: Time) -> bool {
        now < self.silent_until
    }

    /// Takes a candidate's message and gives the answer to it, if there is one.
    pub fn handle(&mut self, now: Time, message: Message) -> Option<Message> {
        self.grant = self.grant.filter(|(_, until)| now < *until);
        match message {
            Message::Ask { ballot } if !self.silent(now) => Some(match self.grants(now, ballot) {
                true => Message::Free { ballot },
                false => Message::Refused {
                    ballot,
                    round: 0,
                    highest: self.floor,
                },
            }),
            Message::Propose { ballot, round } if !self.silent(now) => {
                Some(self.proposed(now, ballot, round))
            }
            // What a holder renews meanwhile is worth knowing, as this voter may have forgotten it.
            Message::Propose { ballot, .. } => {
                self.learn(ballot);
                None
            }
            Message::Release { ballot } => {
                self.released(ballot);
                None
            }
            _ => None,
        }
    }

    /// Nothing below this token is granted from now on: other proxies told of it.
    pub fn learn(&mut self, token: Token) {
        self.floor = self.floor.max(token);
    }

    /// The ballot that its grant is for, while one lives.
    pub fn granted(&self, now: Time) -> Option<Ballot> {
        self.grant
            .filter(|(_, until)| now < *until)
            .map(|(ballot, _)| ballot)
    }

    fn grants(&self, now: Time, ballot: Ballot) -> bool {
        ballot >= self.floor && self.granted(now).is_none_or(|held| held == ballot)
    }

    fn proposed(&mut self, now: Time, ballot: Ballot, round: u32) -> Message {
        if !self.grants(now, ballot) {
            return Message::Refused {
                ballot,
                round,
                highest: self.floor,
            };
        }
        self.learn(ballot);
        self.grant = Some((ballot, now + self.rules.grant_life));
        Message::Accepted { ballot, round }
    }

    /// A proposal that arrives behind its release must not be granted any more.
    fn released(&mut self, ballot: Ballot) {
        if self.grant.is_some_and(|(held, _)| held == ballot) {
            self.grant = None;
            self.learn(ballot.above());
        }
    }
}

/// What became of a candidate's holding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// It holds the duty, under this token.
    Gained(Token),
    /// It holds it no longer.
    Lost(Token, Loss),
}

/// Why a holding ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Loss {
    /// The host wanted it no longer.
    Released,
    /// No majority renewed it within its term.
    TermOver,
    /// A higher token was seen.
    Superseded(Token),
}

/// Voters that gave the same answer, a bit each.
type Votes = u8;

/// A ballot on its way from being asked for to being held.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Bid {
    ballot: Ballot,
    asked: Time,
    /// 0 while it is only asked for.
    round: u32,
    /// When the latest round went out.
    sent: Time,
    yes: Votes,
    no: Votes,
    /// It is held up to here, once it is won.
    until: Option<Time>,
}

/// A proxy that may come to hold one duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Candidate {
    rules: Rules,
    incarnation: u64,
    /// The highest number seen anywhere.
    highest: u64,
    bid: Option<Bid>,
    /// No bid before this; `None` while the duty is not wanted.
    rest: Option<Time>,
    changes: Vec<Change>,
}

impl Candidate {
    /// A candidate that holds nothing. `incarnation` is drawn at random by the host at each start, so that no two
    /// candidates and no two lives of one ever share a ballot.
    pub fn new(rules: Rules, incarnation: u64) -> Candidate {
        Candidate {
            rules,
            incarnation,
            highest: 0,
            bid: None,
            rest: None,
            changes: Vec::new(),
        }
    }

    /// The token under which it holds the duty at this instant. To be asked with the clock's time right before each
    /// act: a holder that was stalled finds its term over here, whatever was last done to it.
    pub fn holds(&self, now: Time) -> Option<Token> {
        let bid = self.bid.as_ref()?;
        bid.until.filter(|until| now < *until).map(|_| bid.ballot)
    }

    /// The end of its term, as far as it is renewed, while it holds the duty.
    pub fn holds_until(&self) -> Option<Time> {
        self.bid.as_ref().and_then(|bid| bid.until)
    }

    /// Lets time pass: bids, renews, gives up. `wall_ms` is the wall clock in milliseconds since 1970. What is put
    /// into `out` goes to every voter. Call it at [`Candidate::next`] and when `wanted` changes.
    pub fn tick(&mut self, now: Time, wall_ms: u64, wanted: bool, out: &mut Vec<Message>) {
        if !wanted {
            return self.release(now, out);
        }
        self.expire(now, out);
        let rest = *self.rest.get_or_insert(now);
        match &self.bid {
            None if now >= rest => self.ask(now, wall_ms, out),
            Some(bid) if bid.until.is_some() && now >= self.renewal(bid) => self.propose(now, out),
            _ => {}
        }
    }

    /// When to tick next, if ever; later than the last tick.
    pub fn next(&self) -> Option<Time> {
        match &self.bid {
            None => self.rest,
            Some(bid) => Some(match bid.until {
                Some(until) => until.min(self.renewal(bid)),
                None => bid.asked + self.rules.patience() + Micros(1),
            }),
        }
    }

    /// Takes a voter's answer; `voter` is its place, from 0. What is put into `out` goes to every voter.
    pub fn heard(&mut self, now: Time, voter: usize, message: Message, out: &mut Vec<Message>) {
        self.expire(now, out);
        if voter >= self.rules.voters() {
            return;
        }
        let vote: Votes = 1 << voter;
        match message {
            Message::Free { ballot } => self.agreed(now, ballot, 0, vote, out),
            Message::Accepted { ballot, round } => self.agreed(now, ballot, round, vote, out),
            Message::Refused {
                ballot,
                round,
                highest,
            } => {
                self.highest = self.highest.max(highest.number);
                self.denied(now, ballot, round, vote, highest, out);
            }
            Message::Ask { .. } | Message::Propose { .. } | Message::Release { .. } => {}
        }
    }

    /// A token was seen: in an effect, a refusal of one, or a digest. A lower holding or bid ends.
    pub fn learn(&mut self, now: Time, token: Token, out: &mut Vec<Message>) {
        self.expire(now, out);
        self.highest = self.highest.max(token.number);
        if self.bid.as_ref().is_some_and(|bid| bid.ballot < token) {
            self.end(now, Loss::Superseded(token), out);
        }
    }

    /// Gives the duty up, or the bid for it, until a tick wants it again: for a host that drains.
    pub fn release(&mut self, now: Time, out: &mut Vec<Message>) {
        self.expire(now, out);
        self.end(now, Loss::Released, out);
        self.rest = None;
    }

    /// What has become of its holding since the last call, in order. At [`Loss::TermOver`] the term may have been over
    /// for long: [`Candidate::holds`] knew.
    pub fn changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// A round that was won leaves most of its term for the next; one that was not is repeated sooner.
    fn renewal(&self, bid: &Bid) -> Time {
        let won = bid.yes.count_ones() >= self.rules.majority();
        bid.sent + self.rules.part(if won { 3 } else { 6 })
    }

    /// Ends what is over by the clock.
    fn expire(&mut self, now: Time, out: &mut Vec<Message>) {
        let over = self.bid.as_ref().is_some_and(|bid| match bid.until {
            Some(until) => now >= until,
            None => now - bid.asked > self.rules.patience(),
        });
        if over {
            self.end(now, Loss::TermOver, out);
        }
    }

    fn ask(&mut self, now: Time, wall_ms: u64, out: &mut Vec<Message>) {
        self.highest = self.highest.saturating_add(1).max(wall_ms);
        let ballot = Ballot {
            number: self.highest,
            by: self.incarnation,
        };
        self.bid = Some(Bid {
            ballot,
            asked: now,
            round: 0,
            sent: now,
            yes: 0,
            no: 0,
            until: None,
        });
        out.push(Message::Ask { ballot });
    }

    fn propose(&mut self, now: Time, out: &mut Vec<Message>) {
        if let Some(bid) = &mut self.bid {
            bid.round = bid.round.saturating_add(1);
            (bid.sent, bid.yes, bid.no) = (now, 0, 0);
            out.push(Message::Propose {
                ballot: bid.ballot,
                round: bid.round,
            });
        }
    }

    /// Only what is live is looked at here, as [`Candidate::expire`] came before.
    fn agreed(
        &mut self,
        now: Time,
        ballot: Ballot,
        round: u32,
        vote: Votes,
        out: &mut Vec<Message>,
    ) {
        let Some(bid) = self
            .bid
            .as_mut()
            .filter(|bid| bid.ballot == ballot && bid.round == round)
        else {
            return;
        };
        bid.yes |= vote;
        if bid.yes.count_ones() < self.rules.majority() {
            return;
        }
        if round == 0 {
            return self.propose(now, out);
        }
        if bid.until.is_none() {
            self.changes.push(Change::Gained(ballot));
        }
        bid.until = Some(bid.sent + self.rules.term);
    }

    /// A holder outlasts refusals by a minority; a bid that cannot be won any more, or is too low, ends at once.
    fn denied(
        &mut self,
        now: Time,
        ballot: Ballot,
        round: u32,
        vote: Votes,
        highest: Ballot,
        out: &mut Vec<Message>,
    ) {
        let mine =
            |bid: &&mut Bid| bid.ballot == ballot && bid.round == round && bid.until.is_none();
        let Some(bid) = self.bid.as_mut().filter(mine) else {
            return;
        };
        bid.no |= vote;
        if highest > ballot || bid.no.count_ones() >= self.rules.majority() {
            self.end(now, Loss::TermOver, out);
        }
    }

    /// Ends the bid, whether it was won or not, and rests for a random while.
    fn end(&mut self, now: Time, loss: Loss, out: &mut Vec<Message>) {
        let Some(bid) = self.bid.take() else { return };
        if bid.until.is_some() {
            self.changes.push(Change::Lost(bid.ballot, loss));
        }
        if bid.round > 0 {
            out.push(Message::Release { ballot: bid.ballot });
        }
        self.rest = Some(now + self.pause(bid.ballot));
    }

    /// Between a tenth and a fifth of a term, drawn from the ballot, so that equals do not go on in step.
    fn pause(&self, ballot: Ballot) -> Micros {
        let drawn = Pcg32::seed_from_u64(ballot.number ^ ballot.by.rotate_left(32)).next_u32();
        let more = self.rules.part(10).0 as f64 * f64::from(drawn) / 4_294_967_296.0;
        Micros(self.rules.part(10).0.saturating_add(more as u64))
    }
}
