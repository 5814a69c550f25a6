use super::*;

const START: Time = Time(1_000_000);
const TENANT: TenantId = TenantId(7);

fn seconds_later(seconds: u64) -> Time {
    Time(START.0 + seconds * 1_000_000)
}

/// Takes all tokens of the tenant and returns their number.
fn take_all(quotas: &mut TenantQuotas, now: Time, rate_per_s: f64) -> usize {
    (0..1_000)
        .take_while(|_| quotas.try_take(TENANT, now, rate_per_s))
        .count()
}

#[test]
fn a_new_bucket_holds_two_seconds_of_the_quota() {
    let mut quotas = TenantQuotas::default();
    assert_eq!(take_all(&mut quotas, START, 10.0), 20);
}

#[test]
fn a_bucket_fills_at_the_rate_of_the_quota_up_to_its_depth() {
    let mut quotas = TenantQuotas::default();
    take_all(&mut quotas, START, 10.0);
    assert_eq!(take_all(&mut quotas, seconds_later(1), 10.0), 10);
    assert_eq!(take_all(&mut quotas, seconds_later(100), 10.0), 20);
}

#[test]
fn the_bucket_of_a_small_tenant_starts_with_one_token_and_fills_up_to_five() {
    let mut quotas = TenantQuotas::default();
    assert_eq!(take_all(&mut quotas, START, 0.1), 1);
    assert_eq!(take_all(&mut quotas, seconds_later(1_000), 0.1), 5);
}
