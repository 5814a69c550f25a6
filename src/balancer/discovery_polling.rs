//! When a proxy that has to ask discovery asks again, after calls that failed.

use crate::interface::{Micros, Time};

/// While discovery fails: the first gap between the beginnings of two calls, s. It doubles with each that fails.
const FIRST: f64 = 0.1;
/// In the end all proxies together leave this gap between two calls, s, ...
const TURN: f64 = 0.05;
/// ... but one proxy no less than this, s, as a call costs a small fleet's discovery next to nothing, ...
const LEAST: f64 = 1.0;
/// ... and no more than this, s: one more call, heard to the end of its patience, then still tells within 6 s of
/// the moment that discovery can be reached what it had by then, with 0.3 s to spare (docs/design.md).
const MOST: f64 = 3.9;
/// The least part of a gap that is drawn while it grows, which soon spreads evenly proxies that failed together, ...
const GROWING: f64 = 0.25;
/// ... and once it grows no more, which keeps them so.
const GROWN: f64 = 0.75;

/// The patience with a call that waits for no news and may hang without a word, ...
pub const CALL_PATIENCE: Micros = Micros(1_800_000);
/// ... and with one that surely stands in a line, s: discovery ends by itself what has waited for 3 s there.
const LINE: f64 = 3.2;

/// The gap between two calls in the end, s.
fn longest(proxies: u32) -> f64 {
    (f64::from(proxies) * TURN).clamp(LEAST, MOST)
}

/// How long to wait for a call after one that discovery refused. So it lives, and has a line as long as it lets one grow:
/// what it took in since stands at the end, and another call of the same proxy costs both their places. In a large fleet it
/// is less: should the call hang after all, what comes before the next one still fits into the 6 s. That is a pause
/// of half the gap, or the gap where the module repeats its question meanwhile.
pub fn in_line(proxies: u32, within: Micros) -> Micros {
    let half = within.as_secs_f64() / 2.0;
    let gap = longest(proxies).min(half);
    let behind = if half < LINE {
        gap
    } else {
        (FIRST + gap) / 2.0
    };
    Micros::from_secs_f64((MOST - behind).clamp(CALL_PATIENCE.as_secs_f64(), LINE))
}

/// A proxy's calls. A gap runs from the beginning of one to the next and not from a failure on: so a call that hangs
/// till its patience ends makes the next one no later than one that is refused at once.
#[derive(Debug)]
pub struct Ask {
    /// When the next call is due, if any is.
    at: Option<Time>,
    /// When the last one began.
    begun: Time,
    /// The last gap before it was drawn, s.
    gap: f64,
}

impl Ask {
    /// Due at once, or never where lists come unasked.
    pub fn new(asked: bool) -> Ask {
        Ask {
            at: asked.then_some(Time(0)),
            begun: Time(0),
            gap: 0.0,
        }
    }

    /// A call failed, at one of so many proxies of which each has to ask `within` so long; `drawn` is even in 0..1.
    pub fn failed(&mut self, now: Time, proxies: u32, within: Micros, drawn: f64) {
        let most = longest(proxies).min(within.as_secs_f64() / 2.0);
        let next = (self.gap * 2.0).clamp(FIRST, most.max(FIRST));
        let least = if self.gap < next { GROWING } else { GROWN };
        self.gap = next;
        let gap = Micros::from_secs_f64(self.gap * (least + (1.0 - least) * drawn));
        // It may have hung for longer than the gap, at all proxies alike: they are not to stay in step.
        let pause = Micros::from_secs_f64((FIRST + self.gap * drawn) / 2.0);
        self.at = Some((self.begun + gap).max(now + pause));
    }

    /// Discovery has answered.
    pub fn answered(&mut self) {
        (self.at, self.gap) = (None, 0.0);
    }

    pub fn next(&self) -> Option<Time> {
        self.at
    }

    /// Whether a call is due; from then on it counts as begun.
    pub fn take_due(&mut self, now: Time, within: Micros) -> bool {
        let due = self.at.is_some_and(|at| now >= at);
        if due {
            // Unanswered so long, the call itself was lost.
            (self.at, self.begun) = (Some(now + within.mul_f64(0.5)), now);
        }
        due
    }
}
