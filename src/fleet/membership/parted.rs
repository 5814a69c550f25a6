//! Coming together again: a proxy that the others took for down, and the smaller side of a fleet that was in two.

use super::member::Member;
use super::{new_swim, Membership, News, Now, Out, Output};
use crate::interface::Micros;
use foca::State;

/// One down to so many live, and a fleet was in two: the larger side of one that lost less than a quarter has fewer, the
/// smaller has more before it has found all of the other down.
const PARTED: usize = 3;
/// So long after a parting those that were on the same side, and are not back under a later start yet, are believed that
/// they live and nothing else: they may still tell that the other side is down.
const BEHIND: Micros = Micros(5_000_000);

impl Membership {
    /// Goes by a later start, as the others took this one for down, and with nothing left to tell from before. foca's
    /// own way would tell all first that the one before is down, and where that comes ahead of the new one it is taken
    /// for down once more. On the smaller side of a parting it forgets whom it took for down, so that they can stay who
    /// they are.
    pub(super) fn rejoin(&mut self, now: Now, out: &mut Out) {
        let renewed = self.swim.identity().renewed(now.wall_us);
        let mut known: Vec<_> = self.swim.iter_membership_state().cloned().collect();
        if self.parted() {
            known.retain(|m| m.state() != State::Down);
            self.old = (
                now.time + BEHIND,
                known.iter().map(|m| m.id().clone()).collect(),
            );
        }
        self.timers.clear(); // those of the one before
        self.swim = new_swim(
            &self.rules,
            renewed,
            self.seed,
            &self.ration,
            &self.board,
            &self.clock,
        );
        let listed = self
            .swim
            .apply_many(known.into_iter(), false, &mut self.outbox);
        if let Err(e) = listed.and_then(|()| self.swim.gossip(&mut self.outbox)) {
            out.push(Output::News(News::TimerFailed(e)));
        }
        out.push(Output::News(News::Rejoined {
            members: self.swim.num_members(),
        }));
        self.compare_soon(now);
    }

    /// Whether this proxy is on the smaller side of a parting, or of two equal ones.
    fn parted(&self) -> bool {
        let down = self
            .swim
            .iter_membership_state()
            .filter(|m| m.state() == State::Down)
            .count();
        down * PARTED > self.swim.num_members() + 1
    }

    /// Word straight from one that is down here: on the smaller side the parting is over, and it is for this proxy to
    /// come back. Otherwise it is for the one that was heard, and foca tells it so.
    pub(super) fn end_parted(&mut self, from: &Member, now: Now, out: &mut Out) {
        let down = |m: &foca::Member<Member>| m.state() == State::Down && m.id() == from;
        if !self.swim.iter_membership_state().any(down) || !self.parted() {
            return;
        }
        self.rejoin(now, out);
        if let Err(e) = self.swim.announce(from.clone(), &mut self.outbox) {
            out.push(Output::News(News::AnnounceFailed(from.addr, e)));
        }
    }

    /// Whether what this one passes on may be of a parting that this proxy has found to be over.
    pub(super) fn behind(&self, from: &Member, now: Now) -> bool {
        now.time < self.old.0 && self.old.1.contains(from)
    }
}
