//! Token buckets that limit retries, half-open trials and the RPCs of each tenant.
//!
//! [`RetryTokens`] is the local retry budget of this balancer: each RPC earns a part of a retry, so that retries stay a small
//! share of all attempts. [`SharedBudgets`] holds this member's part of the budgets that a fleet of balancers divides: each
//! member is granted rates that expire, and spends tokens at these rates.

use crate::host::{InvalidSetting, Time, SECOND};
use crate::settings::TenantQuota;
use std::collections::BTreeMap;

/// The name by which a fleet grants retries: attempts after the first one of an RPC.
pub const RETRY_BUDGET: &str = "transmissions beyond the first";
/// The name by which a fleet grants half-open trials to any one upstream.
pub const TRIAL_BUDGET: &str = "trials to one upstream";

/// The local retry budget of this balancer, in attempts.
pub(crate) struct RetryTokens(f64);

/// Limits the retries in a short fault to what was saved up before it.
const MAX_RETRY_TOKENS: f64 = 10.0;

impl RetryTokens {
    /// A full budget.
    pub(crate) fn full() -> Self {
        RetryTokens(MAX_RETRY_TOKENS)
    }

    /// Adds the part of a retry that one RPC earns.
    pub(crate) fn credit_rpc(&mut self) {
        /// Keeps the attempts of all tiers together below twice the number of RPCs.
        const TOKENS_PER_RPC: f64 = 0.1;
        self.0 = (self.0 + TOKENS_PER_RPC).min(MAX_RETRY_TOKENS);
    }

    /// Whether this many tokens are available.
    pub(crate) fn covers(&self, cost: f64) -> bool {
        self.0 >= cost
    }

    /// Removes the tokens of a retry that was sent.
    pub(crate) fn spend(&mut self, cost: f64) {
        self.0 -= cost;
    }
}

/// A rate that the fleet grants until it expires.
#[derive(Clone, Copy, Default)]
struct RateGrant {
    tokens_per_second: f64,
    expires_at: Time,
}

/// Two grants that add up: a renewed grant and the one that it replaces, until that expires.
type RateGrants = [RateGrant; 2];

/// Tokens that refill at the granted rates, up to two seconds' worth.
#[derive(Clone, Default)]
pub(crate) struct TokenBucket {
    grants: RateGrants,
    /// The capacity however low the rate is.
    min_capacity: f64,
    granted_by_fleet: bool,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates an empty bucket that holds at least one token and is refilled only by the fleet's grants.
    fn empty(now: Time) -> Self {
        TokenBucket { min_capacity: 1.0, granted_by_fleet: true, refilled_at: now, ..TokenBucket::default() }
    }

    fn set_grants(&mut self, now: Time, grants: RateGrants) {
        self.refill(now);
        (self.grants, self.granted_by_fleet) = (grants, true);
        // Tokens saved under a larger grant now belong to another member.
        self.refill(now);
    }

    /// The tokens at this time. A grant counts only until its expiry, also in a process that was suspended and resumes later.
    fn available(&self, now: Time) -> f64 {
        let refill = |grant: &RateGrant| {
            grant.tokens_per_second * now.min(grant.expires_at).saturating_sub(self.refilled_at) as f64
        };
        let in_force = self.grants.iter().filter(|grant| now < grant.expires_at);
        let rate: f64 = in_force.map(|grant| grant.tokens_per_second).sum();
        // An expired grant leaves no capacity: its tokens belong to another member.
        let has_capacity = rate > 0.0 || !self.granted_by_fleet;
        let capacity = if has_capacity { (2.0 * rate).max(self.min_capacity) } else { 0.0 };
        (self.tokens + self.grants.iter().map(refill).sum::<f64>() / SECOND as f64).min(capacity)
    }

    fn refill(&mut self, now: Time) {
        (self.tokens, self.refilled_at) = (self.available(now), now);
    }

    /// Removes one token; false if none is available.
    fn try_take(&mut self, now: Time) -> bool {
        self.refill(now);
        let available = self.tokens >= 1.0;
        self.tokens -= f64::from(u8::from(available));
        available
    }
}

/// This balancer's part of the budgets that all balancers share: tenants' quotas and, where a fleet divides them, retries and
/// half-open trials.
#[derive(Default)]
pub(crate) struct SharedBudgets {
    /// By the tenant's name, as the settings list them.
    tenants: BTreeMap<String, TokenBucket>,
    /// None where the fleet does not divide retries.
    retries: Option<TokenBucket>,
    /// The grants for trials to any one upstream, which has its own bucket; none where the fleet does not divide trials.
    trials: Option<RateGrants>,
    retries_wanted: u64,
}

impl SharedBudgets {
    /// Gives each tenant an even part of its quota. Tokens that were saved up stay, and so do grants of the fleet.
    pub(crate) fn update_settings(&mut self, now: Time, quotas: &[TenantQuota], instances: f64) {
        /// In tokens: RPCs of one tenant that coincide by chance are within its quota.
        const BURST_TOKENS: f64 = 4.0;
        let bucket = |quota: &TenantQuota| {
            let rate = quota.rpcs_per_second / instances;
            let full = TokenBucket {
                min_capacity: BURST_TOKENS,
                tokens: rate.max(BURST_TOKENS),
                refilled_at: now,
                ..TokenBucket::default()
            };
            let mut bucket = self.tenants.get(&quota.name).cloned().unwrap_or(full);
            if !bucket.granted_by_fleet {
                let even_part = RateGrant { tokens_per_second: rate, expires_at: Time::MAX };
                bucket.grants = [even_part, RateGrant::default()];
            }
            (quota.name.clone(), bucket)
        };
        self.tenants = quotas.iter().map(bucket).collect();
    }

    /// Replaces the fleet's grants, all of them or none: rates per second, each until its expiry. A tenant that is not named is
    /// granted nothing; retries and trials that are not named are unlimited.
    ///
    /// # Errors
    /// A budget that does not exist, or a rate that is negative or not finite.
    pub(crate) fn set_grants(
        &mut self,
        now: Time,
        rates: &[(&str, [(f64, Time); 2])],
    ) -> Result<(), InvalidSetting> {
        let exists =
            |name: &str| matches!(name, RETRY_BUDGET | TRIAL_BUDGET) || self.tenants.contains_key(name);
        let is_valid = |(rate, _): &(f64, Time)| rate.is_finite() && *rate >= 0.0;
        let invalid = rates.iter().find(|(name, rates)| !exists(name) || !rates.iter().all(is_valid));
        if let Some((name, _)) = invalid {
            return Err(InvalidSetting {
                setting: (*name).to_owned(),
                reason: "unknown budget or invalid rate",
            });
        }
        let granted = |name: &str| {
            let found = rates.iter().find(|(budget, _)| *budget == name);
            found.map(|(_, rates)| {
                rates.map(|(tokens_per_second, expires_at)| RateGrant { tokens_per_second, expires_at })
            })
        };
        for (name, bucket) in &mut self.tenants {
            bucket.set_grants(now, granted(name).unwrap_or_default());
        }
        self.trials = granted(TRIAL_BUDGET);
        self.retries = granted(RETRY_BUDGET).map(|grants| {
            let mut bucket = self.retries.take().unwrap_or_else(|| TokenBucket::empty(now));
            bucket.set_grants(now, grants);
            bucket
        });
        Ok(())
    }

    /// Removes a token of this tenant's quota; false if the RPC is beyond it.
    pub(crate) fn take_tenant_token(&mut self, now: Time, tenant: &str) -> bool {
        self.tenants.get_mut(tenant).is_none_or(|bucket| bucket.try_take(now))
    }

    /// Whether a retry is within the fleet's budget.
    pub(crate) fn allows_retry(&self, now: Time) -> bool {
        self.retries.as_ref().is_none_or(|bucket| bucket.available(now) >= 1.0)
    }

    /// Counts a retry that is wanted now, and returns whether it is within the fleet's budget.
    pub(crate) fn request_retry(&mut self, now: Time) -> bool {
        self.retries_wanted += 1;
        self.allows_retry(now)
    }

    /// Removes the token of a retry that was sent.
    pub(crate) fn retry_sent(&mut self, now: Time) {
        if let Some(bucket) = &mut self.retries {
            bucket.try_take(now);
        }
    }

    /// How many retries were wanted since the start, within the budget or not.
    pub(crate) fn retries_wanted(&self) -> u64 {
        self.retries_wanted
    }

    /// Whether a trial is within the fleet's budget for the upstream of this bucket. Trials sent before the first grant
    /// are not charged.
    pub(crate) fn allows_trial(&self, now: Time, upstream_trials: &mut TokenBucket) -> bool {
        let Some(grants) = self.trials else { return true };
        if !upstream_trials.granted_by_fleet {
            *upstream_trials = TokenBucket::empty(now);
        }
        upstream_trials.set_grants(now, grants);
        upstream_trials.available(now) >= 1.0
    }

    /// Removes the token of a trial that was sent to the upstream of this bucket, where the fleet divides trials.
    pub(crate) fn trial_sent(&self, now: Time, upstream_trials: &mut TokenBucket) {
        if self.trials.is_some() {
            upstream_trials.try_take(now);
        }
    }
}
