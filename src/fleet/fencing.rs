//! Fencing: rejects effects of former lease holders.
//!
//! Each effect that a lease holder requests from another proxy carries the holder's fencing token. The proxy that carries
//! the effect out checks the token with [`Fence::admit`] first, which accepts only the highest token seen for the duty.

use super::lease::Token;
use std::collections::BTreeMap;

/// The highest fencing token that this proxy has seen for each duty.
#[derive(Clone, Debug)]
pub struct Fence<K> {
    highest: BTreeMap<K, Token>,
    rejected: u64,
}

impl<K> Default for Fence<K> {
    fn default() -> Fence<K> {
        Fence {
            highest: BTreeMap::new(),
            rejected: 0,
        }
    }
}

impl<K: Ord> Fence<K> {
    /// Checks that an effect under `token` may be carried out, and records the token as seen.
    ///
    /// # Errors
    /// Returns [`StaleToken`] if a higher token was seen: the sender lost the duty and has to be notified.
    pub fn admit(&mut self, duty: K, token: Token) -> Result<(), StaleToken> {
        let highest = self.highest.entry(duty).or_insert(token);
        if token < *highest {
            self.rejected = self.rejected.saturating_add(1);
            return Err(StaleToken { highest: *highest });
        }
        *highest = token;
        Ok(())
    }

    /// Records a token that came without an effect: from another proxy's digest, or this proxy's own.
    pub fn observe(&mut self, duty: K, token: Token) {
        let highest = self.highest.entry(duty).or_insert(token);
        *highest = token.max(*highest);
    }

    /// Returns the highest token seen for a duty.
    pub fn highest(&self, duty: &K) -> Option<Token> {
        self.highest.get(duty).copied()
    }

    /// Iterates over the highest token of each duty, for the digests that go to other proxies.
    pub fn tokens(&self) -> impl Iterator<Item = (&K, Token)> {
        self.highest.iter().map(|(duty, token)| (duty, *token))
    }

    /// Returns the number of effects rejected so far, over all duties.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}

/// The error of an effect whose duty has a higher token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("stale fencing token: a higher one was seen for the duty")]
pub struct StaleToken {
    /// The highest token seen for the duty.
    pub highest: Token,
}
