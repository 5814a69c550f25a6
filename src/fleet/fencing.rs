//! Fencing: rejects effects of former lease holders.
//!
//! Whatever a lease holder does elsewhere carries its fencing token. Whoever carries the effect out checks it with
//! [`Fence::admit`] first: of each duty only the highest token seen so far may act.

use super::lease::Token;
use std::collections::BTreeMap;

/// The highest token that this proxy has seen, by duty.
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
    /// Whether an effect under this token may still be carried out; the token counts as seen from then on.
    ///
    /// # Errors
    /// The token is stale: its holder lost the duty and is to be notified.
    pub fn admit(&mut self, duty: K, token: Token) -> Result<(), StaleToken> {
        let highest = self.highest.entry(duty).or_insert(token);
        if token < *highest {
            self.rejected = self.rejected.saturating_add(1);
            return Err(StaleToken { highest: *highest });
        }
        *highest = token;
        Ok(())
    }

    /// A token was seen without an effect: in another proxy's digest, or as this proxy's own.
    pub fn observe(&mut self, duty: K, token: Token) {
        let highest = self.highest.entry(duty).or_insert(token);
        *highest = token.max(*highest);
    }

    /// The highest token seen for a duty.
    pub fn highest(&self, duty: &K) -> Option<Token> {
        self.highest.get(duty).copied()
    }

    /// The highest token of each duty, for the digests that go to other proxies.
    pub fn tokens(&self) -> impl Iterator<Item = (&K, Token)> {
        self.highest.iter().map(|(duty, token)| (duty, *token))
    }

    /// How many effects were rejected so far, over all duties.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}

/// Why an effect was rejected: a higher token was seen for its duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a higher fencing token was seen")]
pub struct StaleToken {
    /// The highest token seen.
    pub highest: Token,
}
