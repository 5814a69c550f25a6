//! Tenant quotas: a token bucket for each tenant that had traffic. A request that finds no token is over quota.

use crate::interface::{TenantId, Time};
use std::collections::HashMap;

/// Depth of a bucket, in seconds of its tenant's quota.
const BUCKET_DEPTH_S: f64 = 2.0;
/// Minimum depth that a bucket may fill to, in tokens, as a few requests of a small tenant may arrive at once by
/// chance.
const MIN_BUCKET_DEPTH_TOKENS: f64 = 5.0;
/// Number of tokens that a request takes.
const TOKENS_PER_REQUEST: f64 = 1.0;

struct TokenBucket {
    tokens: f64,
    filled_at: Time,
}

/// The token buckets of all tenants.
///
/// A new bucket holds the tokens of [`BUCKET_DEPTH_S`], but at least one. A full bucket is not dropped, as a new one of
/// a small tenant would hold fewer tokens.
#[derive(Default)]
pub(super) struct TenantQuotas {
    buckets: HashMap<TenantId, TokenBucket>,
}

impl TenantQuotas {
    /// Takes a token from the tenant's bucket, which is filled at `rate_per_s`. Returns whether there was one.
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
