//! Tenants' quotas: a token bucket for each tenant that had traffic. A request without a token is over quota.

use crate::interface::{TenantId, Time};
use std::collections::HashMap;

/// A bucket holds the tokens of this time.
const BUCKET_DEPTH_S: f64 = 2.0;
/// A bucket may gather at least so many tokens, as requests of small tenants come a few at once by chance.
const MIN_BUCKET_DEPTH_TOKENS: f64 = 5.0;
/// Tokens that a request takes.
const TOKENS_PER_REQUEST: f64 = 1.0;

struct TokenBucket {
    tokens: f64,
    filled_at: Time,
}

/// The token buckets of all tenants.
///
/// A bucket starts with the tokens of [`BUCKET_DEPTH_S`]. It is kept once it is full again, as a new one of a small
/// tenant would hold less.
#[derive(Default)]
pub(super) struct TenantQuotas {
    buckets: HashMap<TenantId, TokenBucket>,
}

impl TenantQuotas {
    /// Takes a token of the tenant, whose bucket is filled at `rate_per_s`; whether there was one.
    pub fn try_take(&mut self, tenant: TenantId, now: Time, rate_per_s: f64) -> bool {
        let depth = rate_per_s * BUCKET_DEPTH_S;
        let tokens = match self.buckets.get(&tenant) {
            None => depth.max(TOKENS_PER_REQUEST),
            Some(bucket) => {
                let elapsed_s = (now - bucket.filled_at).as_secs_f64();
                (bucket.tokens + rate_per_s * elapsed_s).min(depth.max(MIN_BUCKET_DEPTH_TOKENS))
            }
        };
        let within_quota = tokens >= TOKENS_PER_REQUEST;
        let taken = if within_quota {
            TOKENS_PER_REQUEST
        } else {
            0.0
        };
        let bucket = TokenBucket {
            tokens: tokens - taken,
            filled_at: now,
        };
        self.buckets.insert(tenant, bucket);
        within_quota
    }
}

#[cfg(test)]
mod tests;
