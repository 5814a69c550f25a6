//! Refuses late effects: of each duty only the highest token seen so far may act.

use super::lease::Token;
use std::collections::BTreeMap;

/// The highest token that this proxy has seen, by duty.
#[derive(Clone, Debug)]
pub struct Fence<K> {
    highest: BTreeMap<K, Token>,
    refused: u64,
}

impl<K> Default for Fence<K> {
    fn default() -> Fence<K> {
        Fence {
            highest: BTreeMap::new(),
            refused: 0,
        }
    }
}

impl<K: Ord> Fence<K> {
    /// Whether an effect under this token may still be carried out; the token counts as seen from then on.
    ///
    /// # Errors
    /// The highest token, where this one is lower: its holder lost the duty and is to be told so.
    pub fn admit(&mut self, duty: K, token: Token) -> Result<(), Token> {
        let highest = self.highest.entry(duty).or_insert(token);
        if token < *highest {
            self.refused = self.refused.saturating_add(1);
            return Err(*highest);
        }
        *highest = token;
        Ok(())
    }

    /// A token was seen without an effect: in another proxy's digest, or as this proxy's own.
    pub fn learn(&mut self, duty: K, token: Token) {
        let highest = self.highest.entry(duty).or_insert(token);
        *highest = token.max(*highest);
    }

    /// The highest token seen for a duty.
    pub fn highest(&self, duty: &K) -> Option<Token> {
        self.highest.get(duty).copied()
    }

    /// The highest token of each duty, for the digests that other proxies are sent.
    pub fn tokens(&self) -> impl Iterator<Item = (&K, Token)> {
        self.highest.iter().map(|(duty, token)| (duty, *token))
    }

    /// How many effects were refused so far, over all duties.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
